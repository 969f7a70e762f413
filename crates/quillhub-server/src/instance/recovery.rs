//! Recovery: makes the unfinished messages in the log pending again when the process starts.
//!
//! Invariant: every recovered message gets one final outcome: delivered, rejected or abandoned. A message that was
//! rejected or abandoned before the restart is reported to the platform and not attempted again, nor is one that may be
//! over.

use super::Instance;
use super::messages::PendingMessage;
use super::outcome_queue::FinalOutcome;
use super::timeline::MessageTimeline;
use crate::wal::{FinalResult, LoggedMessage};
use quillhub::{
    DestinationId, Dispatcher, Driver, MessageId, NewMessage, PossibleExecution, RecoveredAttempts,
};
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

/// Age assumed for an attempt whose real age is unknown; longer than any deduplication window.
const UNKNOWN_ATTEMPT_AGE: Duration = Duration::from_secs(30 * 24 * 3_600);

/// Recovered message with its times converted to the dispatcher's clock.
struct Recovered {
    id: MessageId,
    service_class: String,
    ordering_key: Option<u64>,
    destination: DestinationId,
    /// Deadline on the dispatcher's clock; the current time if it already passed.
    deadline: Duration,
    attempts: u32,
    first_possible_execution: Option<FirstPossibleExecution>,
}

/// First attempt that may have executed a message.
struct FirstPossibleExecution {
    /// Start of the attempt on the dispatcher's clock.
    started: Duration,
    endpoint: String,
}

impl Recovered {
    /// Passes the message and its earlier attempts to the dispatcher. Returns `false` if the dispatcher does not know
    /// the message's service class.
    fn pass_to(&self, dispatcher: &mut Dispatcher) -> bool {
        let accepted = dispatcher.accept(NewMessage {
            id: self.id,
            service_class: &self.service_class,
            ordering_key: self.ordering_key,
            deadline: self.deadline,
            tenant: None,
            destination: self.destination,
        });
        let first_possible_execution = self
            .first_possible_execution
            .as_ref()
            .map(|first| PossibleExecution { started: first.started, endpoint: &first.endpoint });
        dispatcher.restore_attempts(
            self.id,
            RecoveredAttempts { count: self.attempts, first_execution: first_possible_execution },
        );
        accepted.is_ok()
    }
}

/// Returns the time from `start` to `now`, up to [`UNKNOWN_ATTEMPT_AGE`], which is also returned if `start` is later.
///
/// Guards against a wall clock that was set back in the meantime. The real age of the attempt is then unknown, so that
/// its deduplication window must be assumed to have passed, and a retry could execute the message twice. May cause a
/// message to be given up (rejected or abandoned) that a retry would have delivered.
fn elapsed_since(start: SystemTime, now: SystemTime) -> Duration {
    now.duration_since(start).unwrap_or(UNKNOWN_ATTEMPT_AGE).min(UNKNOWN_ATTEMPT_AGE)
}

impl Instance {
    /// Restores the messages that were unfinished when the previous process exited. Messages that it had rejected or
    /// abandoned are queued for the platform first.
    pub fn recover(&mut self, messages: BTreeMap<MessageId, LoggedMessage>) {
        let wall_clock_now = self.wall_clock.now();
        let possible_executions = messages.values().flat_map(LoggedMessage::possible_executions);
        let oldest =
            possible_executions.map(|execution| elapsed_since(execution.started, wall_clock_now)).max();
        self.clock_offset = oldest.unwrap_or_default();
        let now = self.now();
        tracing::info!(messages = messages.len(), "messages recovered");
        let mut undecided = Vec::new();
        for (id, message) in messages {
            self.messages.add_client_id(&message.client_id);
            let result = message.outcome.or(message.may_be_over().then_some(FinalResult::Abandoned));
            if let Some(result) = result {
                let timeline = MessageTimeline::recovered(Duration::ZERO);
                let client_id = message.client_id.into();
                self.outcomes.add(FinalOutcome { message: id, client_id, result, timeline });
            } else {
                undecided.push(self.restore(id, message, now, wall_clock_now));
            }
        }
        self.dispatch_recovered(undecided);
    }

    /// Makes a message pending again and returns it for the dispatcher.
    fn restore(
        &mut self,
        id: MessageId,
        message: LoggedMessage,
        now: Duration,
        wall_clock_now: SystemTime,
    ) -> Recovered {
        let time_left = message.deadline.and_then(|deadline| deadline.duration_since(wall_clock_now).ok());
        let first_possible_execution =
            message.possible_executions().min().map(|first| FirstPossibleExecution {
                started: now.saturating_sub(elapsed_since(first.started, wall_clock_now)),
                endpoint: first.endpoint.to_owned(),
            });
        let (service_class, ordering_key) = (message.service_class.clone(), message.ordering_key);
        let destination = message.destination;
        let time_left = time_left.unwrap_or_default();
        let pending = PendingMessage::recovered(message, MessageTimeline::recovered(time_left));
        let attempts = pending.attempts;
        self.messages.insert(id, pending);
        let deadline = now + time_left;
        Recovered {
            id,
            service_class,
            ordering_key,
            destination,
            deadline,
            attempts,
            first_possible_execution,
        }
    }

    /// Passes the messages to the dispatcher in one event, and abandons those of unknown service classes.
    fn dispatch_recovered(&mut self, mut messages: Vec<Recovered>) {
        let unknown = self.handle_event(|dispatcher| {
            messages.retain(|message| !message.pass_to(dispatcher));
            messages
        });
        for Recovered { id, service_class, .. } in unknown {
            tracing::error!(
                message_id = id,
                service_class,
                "recovered message of unknown service class is abandoned"
            );
            self.abandon(id);
        }
    }
}

#[cfg(test)]
#[path = "recovery_tests.rs"]
mod tests;
