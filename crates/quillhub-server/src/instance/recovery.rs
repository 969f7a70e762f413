//! Recovery: the messages that the log held when the process started become pending again.
//!
//! Invariant: every recovered message ends once. One whose outcome is decided is not attempted again, only its outcome
//! is sent to the platform.

use super::Instance;
use super::messages::PendingMessage;
use super::outcome_queue::FinalOutcome;
use crate::wal::RecoveredMessage;
use quillhub::{
    DestinationId, Dispatcher, Driver, MessageId, NewMessage, PossibleExecution, RecoveredAttempts,
};
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

/// Longer than any destination remembers an idempotency key.
const LONG_AGO: Duration = Duration::from_secs(30 * 24 * 3_600);

/// A recovered message in the dispatcher's terms.
struct Recovered {
    id: MessageId,
    service_class: String,
    ordering_key: Option<u64>,
    destination: DestinationId,
    /// By the dispatcher's clock.
    deadline: Duration,
    attempts: u32,
    first_execution: Option<FirstExecution>,
}

/// The first attempt that may have executed a message.
struct FirstExecution {
    /// By the dispatcher's clock.
    started: Duration,
    endpoint: String,
}

impl Recovered {
    /// Hands it to the dispatcher; false if that does not know its service class.
    fn hand_to(&self, dispatcher: &mut Dispatcher) -> bool {
        let accepted = dispatcher.accept(NewMessage {
            id: self.id,
            service_class: &self.service_class,
            ordering_key: self.ordering_key,
            deadline: self.deadline,
            tenant: None,
            destination: self.destination,
        });
        let first_execution = self
            .first_execution
            .as_ref()
            .map(|first| PossibleExecution { started: first.started, endpoint: &first.endpoint });
        dispatcher.restore_attempts(self.id, RecoveredAttempts { count: self.attempts, first_execution });
        accepted.is_ok()
    }
}

/// How long before `now` something happened. Against a clock that was set back meanwhile: how long ago that was is not
/// known, so that no endpoint is counted on to remember an idempotency key. May abandon what a retry would have saved.
fn elapsed_since(at: SystemTime, now: SystemTime) -> Duration {
    now.duration_since(at).unwrap_or(LONG_AGO)
}

impl Instance {
    /// Takes over the messages that were pending when the last process ended. Decided outcomes go to the platform
    /// first.
    pub fn recover(&mut self, messages: BTreeMap<MessageId, RecoveredMessage>) {
        let wall_clock = SystemTime::now();
        let executions = messages.values().flat_map(RecoveredMessage::possible_executions);
        let oldest = executions.map(|execution| elapsed_since(execution.started, wall_clock)).max();
        self.clock_offset = oldest.unwrap_or_default();
        let now = self.now();
        tracing::info!(messages = messages.len(), "messages recovered");
        let mut undecided = Vec::new();
        for (id, message) in messages {
            self.messages.reserve_client_id(&message.client_id);
            if let Some(result) = message.outcome {
                self.outcomes.add(FinalOutcome { message: id, client_id: message.client_id.into(), result });
            } else {
                undecided.push(self.restore(id, message, now, wall_clock));
            }
        }
        self.hand_over(undecided);
    }

    /// Makes a message pending again.
    fn restore(
        &mut self,
        id: MessageId,
        message: RecoveredMessage,
        now: Duration,
        wall_clock: SystemTime,
    ) -> Recovered {
        let time_left = message.deadline.and_then(|deadline| deadline.duration_since(wall_clock).ok());
        let first_execution = message.possible_executions().min().map(|first| FirstExecution {
            started: now.saturating_sub(elapsed_since(first.started, wall_clock)),
            endpoint: first.endpoint.to_owned(),
        });
        let (service_class, ordering_key) = (message.service_class.clone(), message.ordering_key);
        let destination = message.destination;
        let pending = PendingMessage::recovered(message);
        let attempts = pending.attempts;
        self.messages.insert(id, pending);
        let deadline = now + time_left.unwrap_or_default();
        Recovered { id, service_class, ordering_key, destination, deadline, attempts, first_execution }
    }

    /// Hands the messages to the dispatcher in one event, and abandons those of service classes that it does not know.
    fn hand_over(&mut self, mut messages: Vec<Recovered>) {
        let unknown = self.handle_event(|dispatcher| {
            messages.retain(|message| !message.hand_to(dispatcher));
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
