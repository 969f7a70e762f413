//! Submission: a client hands in a message, and the instance accepts it or says why not.
//!
//! Invariant: a message is accepted only once the log holds it.

use super::Instance;
use super::messages::PendingMessage;
use crate::wal::{self, FinalResult, RecoveredMessage};
use quillhub::{DestinationId, MessageId, NewMessage};
use std::time::{Duration, SystemTime};

/// A message as a client hands it in.
#[derive(Clone, Copy, Debug)]
pub struct Submission<'a> {
    /// The name of its service class.
    pub service_class: &'a str,
    /// Messages with the same key are delivered one after the other.
    pub ordering_key: Option<u64>,
    /// How long its delivery may take.
    pub time_to_live: Duration,
    /// Whom it is for.
    pub destination: DestinationId,
    /// The client's own id for it.
    pub client_id: &'a [u8],
    /// The key by which endpoints recognise a retry.
    pub idempotency_key: Option<&'a [u8]>,
    /// What is delivered.
    pub body: &'a [u8],
}

/// How a submission ended.
#[derive(Debug, PartialEq)]
pub enum SubmitOutcome {
    /// The instance has the message, and it will have a final outcome.
    Accepted(MessageId),
    /// Rejected for now: it may be submitted again, best after `retry_after`.
    Busy {
        /// How long the client should wait, if that is known.
        retry_after: Option<Duration>,
    },
    /// It could not be accepted.
    Failed(SubmitFailure),
    /// What was handed in cannot be a message.
    Invalid(InvalidSubmission),
}

/// Why a message could not be accepted; clients are told these texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmitFailure {
    /// Its record cannot be written; the cause is in the log.
    #[error("the lasting folder cannot be written")]
    StateDirectory,
    /// The dispatcher gave it up at once, and its service class does not allow a rejection.
    #[error("written off")]
    Abandoned,
}

/// Why a submission cannot be a message; clients are told these texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSubmission {
    /// A message of the same client id is pending or was finished a short while ago.
    #[error("the id is held already")]
    DuplicateClientId,
    /// Discovery lists no endpoint of the destination.
    #[error("unknown destination")]
    UnknownDestination,
    /// The settings have no such service class.
    #[error("unknown grade")]
    UnknownServiceClass,
}

impl From<FinalResult> for SubmitOutcome {
    /// The outcome of a submission whose message the dispatcher finished at once.
    fn from(result: FinalResult) -> Self {
        match result {
            FinalResult::Rejected { retry_after } => Self::Busy { retry_after },
            FinalResult::Abandoned => Self::Failed(SubmitFailure::Abandoned),
        }
    }
}

impl Instance {
    /// Accepts a message, unless it is invalid or the dispatcher rejects it at once.
    pub fn submit(&mut self, submission: Submission) -> SubmitOutcome {
        self.messages.forget_old_client_ids(self.now());
        // Against ids of pending messages: two of one id could not be told apart at their endpoints.
        if self.messages.knows_client_id(submission.client_id) {
            return SubmitOutcome::Invalid(InvalidSubmission::DuplicateClientId);
        }
        let knows = |destination| self.dispatcher.as_ref().is_some_and(|d| d.knows_destination(destination));
        if !knows(submission.destination) {
            return SubmitOutcome::Invalid(InvalidSubmission::UnknownDestination);
        }
        let id = self.wal.next_id();
        let recorded = recorded(&submission);
        let record = wal::accepted_payload(&recorded);
        let capacity = self.wal.remaining_capacity().saturating_sub(record.len() as u64);
        self.messages.insert(id, PendingMessage::accepted(recorded, record));
        if let Some(outcome) = self.dispatch(id, &submission, capacity) {
            return outcome;
        }
        self.commit(id, &submission)
    }

    /// Hands the message to the dispatcher, with the octets that the state directory can then still take. The
    /// outcome, if it is finished by that.
    fn dispatch(&mut self, id: MessageId, submission: &Submission, capacity: u64) -> Option<SubmitOutcome> {
        self.immediate_outcome = None;
        let deadline = self.now() + submission.time_to_live;
        let accepted = self.handle_event(|dispatcher| {
            dispatcher.set_remaining_storage(capacity);
            dispatcher.accept(NewMessage {
                id,
                service_class: submission.service_class,
                ordering_key: submission.ordering_key,
                deadline,
                tenant: None,
                destination: submission.destination,
            })
        });
        if accepted.is_err() {
            self.messages.remove(id);
            return Some(SubmitOutcome::Invalid(InvalidSubmission::UnknownServiceClass));
        }
        self.immediate_outcome.take()
    }

    /// Makes the acceptance last: from here on the message has a final outcome, whatever happens to the process.
    fn commit(&mut self, id: MessageId, submission: &Submission) -> SubmitOutcome {
        let Submission { service_class, destination, time_to_live, client_id, .. } = *submission;
        let shown_id = String::from_utf8_lossy(client_id);
        tracing::debug!(
            message_id = id,
            client_id = %shown_id,
            service_class,
            destination,
            ?time_to_live,
            "message accepted"
        );
        self.messages.reserve_client_id(client_id);
        if let Err(error) = self.write_record(id) {
            tracing::error!(message_id = id, %error, "message could not be accepted");
            self.withdraw(id);
            return SubmitOutcome::Failed(SubmitFailure::StateDirectory);
        }
        SubmitOutcome::Accepted(id)
    }
}

/// The message as the log is to hold it.
fn recorded(submission: &Submission) -> RecoveredMessage {
    RecoveredMessage {
        service_class: submission.service_class.into(),
        destination: submission.destination,
        ordering_key: submission.ordering_key,
        deadline: Some(SystemTime::now() + submission.time_to_live),
        client_id: submission.client_id.into(),
        idempotency_key: submission.idempotency_key.map(Into::into),
        body: submission.body.into(),
        ..RecoveredMessage::default()
    }
}
