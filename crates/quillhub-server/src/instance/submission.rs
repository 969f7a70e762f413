//! Submission of messages by clients, which the instance accepts, rejects or refuses as invalid.
//!
//! Invariant: a message is reported as accepted only after the log contains it.

use super::Instance;
use super::messages::PendingMessage;
use super::timeline::{CommandTimes, MessageTimeline};
use crate::wal::{self, FinalResult, LoggedMessage};
use quillhub::{DestinationId, MessageId, NewMessage};
use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// Message as a client submits it.
#[derive(Clone, Copy, Debug)]
pub struct Submission<'a> {
    /// Name of the message's service class in the settings.
    pub service_class: &'a str,
    /// Ordering key, if any: messages with the same key are delivered in order if their service class is ordered.
    pub ordering_key: Option<u64>,
    /// When the command that submits the message arrived and was read.
    pub times: CommandTimes,
    /// Time from the arrival of the command to the deadline of the message.
    pub time_to_live: Duration,
    /// Destination of the message.
    pub destination: DestinationId,
    /// Id that the client assigned to the message.
    pub client_id: &'a [u8],
    /// Key by which endpoints recognize a retry of the message, if it has one.
    pub idempotency_key: Option<&'a [u8]>,
    /// Body to deliver.
    pub body: &'a [u8],
}

/// Outcome of a submission.
#[derive(Debug, PartialEq)]
pub enum SubmitOutcome {
    /// The message is in the log and will have a final outcome, even if the process crashes. Carries the id that the
    /// instance assigned to it.
    Accepted(MessageId),
    /// The message was rejected and may be submitted again, preferably after `retry_after`.
    Rejected {
        /// Suggested delay before the client submits the message again; `None` if none is suggested.
        retry_after: Option<Duration>,
    },
    /// The message is valid but could not be accepted.
    Failed(SubmitFailure),
    /// The submission is invalid.
    Invalid(InvalidSubmission),
}

/// Reason why a valid message could not be accepted. Clients receive these texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmitFailure {
    /// The record of the message cannot be written to the state directory; the cause is logged.
    #[error("the lasting folder cannot be written")]
    StateDirectory,
    /// The dispatcher abandoned the message immediately, and its service class does not allow a rejection.
    #[error("written off")]
    Abandoned,
}

/// Reason why a submission is invalid. Clients receive these texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSubmission {
    /// A message with the same client id is pending or was finished recently.
    #[error("the id is held already")]
    DuplicateClientId,
    /// The endpoint list does not contain the destination, and has not contained it recently.
    #[error("unknown destination")]
    UnknownDestination,
    /// The settings define no service class of the given name.
    #[error("unknown grade")]
    UnknownServiceClass,
}

impl From<FinalResult> for SubmitOutcome {
    /// Converts the result of a message that the dispatcher finished while it was being submitted.
    fn from(result: FinalResult) -> Self {
        match result {
            FinalResult::Rejected { retry_after } => Self::Rejected { retry_after },
            FinalResult::Abandoned => Self::Failed(SubmitFailure::Abandoned),
        }
    }
}

impl Instance {
    /// Accepts a message unless the submission is invalid, the dispatcher finishes the message immediately, or its
    /// record cannot be written.
    pub fn submit(&mut self, submission: Submission) -> SubmitOutcome {
        self.messages.remove_expired_client_ids(self.now());
        // Refuses ids of pending and of recently finished messages: endpoints could not distinguish two messages with
        // the same id.
        if self.messages.contains_client_id(submission.client_id) {
            return SubmitOutcome::Invalid(InvalidSubmission::DuplicateClientId);
        }
        let is_known =
            |destination| self.dispatcher.as_ref().is_some_and(|d| d.knows_destination(destination));
        if !is_known(submission.destination) {
            return SubmitOutcome::Invalid(InvalidSubmission::UnknownDestination);
        }
        let Some(time_left) = submission.times.age().time_left(submission.time_to_live) else {
            self.reject_stale(&submission);
            return SubmitOutcome::Rejected { retry_after: None };
        };
        let id = self.wal.allocate_id();
        let message = logged_message(&submission, self.wall_clock.now() + time_left);
        let record = wal::accepted_payload(&message);
        let capacity = self.wal.remaining_capacity().saturating_sub(record.len() as u64);
        let timeline = MessageTimeline::accepted(submission.times, Instant::now() + time_left);
        self.messages.insert(id, PendingMessage::submitted(message, record, timeline));
        if let Some(outcome) = self.dispatch(id, &submission, time_left, capacity) {
            return outcome;
        }
        self.commit(id, &submission)
    }

    /// Logs and counts a submission that is rejected since its command waited for too long.
    fn reject_stale(&mut self, submission: &Submission) {
        self.figures.stale_submissions += 1;
        let client_id = String::from_utf8_lossy(submission.client_id);
        let (age, time_to_live) = (submission.times.age(), submission.time_to_live);
        tracing::info!(%client_id, ?age, ?time_to_live, "message is rejected: its command waited for too long");
    }

    /// Passes the message to the dispatcher, with `time_left` until its deadline; `capacity` is the number of bytes that the state directory has left after
    /// storing the message. Returns the outcome if the dispatcher finishes the message immediately or does not know its
    /// service class.
    fn dispatch(
        &mut self,
        id: MessageId,
        submission: &Submission,
        time_left: Duration,
        capacity: u64,
    ) -> Option<SubmitOutcome> {
        self.immediate_outcome = None;
        let deadline = self.now() + time_left;
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

    /// Writes the record of the message's acceptance, unless its first attempt has done so. From then on the message
    /// gets a final outcome, even if the process crashes.
    fn commit(&mut self, id: MessageId, submission: &Submission) -> SubmitOutcome {
        let Submission { service_class, destination, time_to_live, client_id, .. } = *submission;
        let printable_id = String::from_utf8_lossy(client_id);
        tracing::debug!(
            message_id = id,
            client_id = %printable_id,
            service_class,
            destination,
            ?time_to_live,
            "message submitted"
        );
        self.messages.add_client_id(client_id);
        if let Err(error) = self.write_acceptance(id) {
            tracing::error!(message_id = id, %error, "message could not be accepted");
            self.withdraw(id);
            return SubmitOutcome::Failed(SubmitFailure::StateDirectory);
        }
        SubmitOutcome::Accepted(id)
    }
}

/// Returns the message in the form in which the log stores it, with its deadline on the wall clock.
fn logged_message(submission: &Submission, deadline: SystemTime) -> LoggedMessage {
    LoggedMessage {
        service_class: submission.service_class.into(),
        destination: submission.destination,
        ordering_key: submission.ordering_key,
        deadline: Some(deadline),
        client_id: submission.client_id.into(),
        idempotency_key: submission.idempotency_key.map(Into::into),
        body: submission.body.into(),
        ..LoggedMessage::default()
    }
}
