//! Actions that a decider requests, collected until the simulation carries them out.

use crate::fact::FinalOutcome;
use quillhub::{AttemptPlan, Driver, LogEvent, MessageId};
use std::time::Duration;

/// Action requested by a decider; the methods of [`Driver`] describe each one.
pub(super) enum Action {
    StartAttempt { message: MessageId, endpoint: String, timeout: Duration },
    Finish { message: MessageId, outcome: FinalOutcome },
    CloseIdle { endpoint: String },
    Gossip { bytes: Vec<u8> },
    SetTimer { wait: Duration },
    Watch,
}

/// Actions requested in one call of [`Decider::apply_rules`](crate::Decider::apply_rules), in order.
#[derive(Default)]
pub(super) struct Actions(pub(super) Vec<Action>);

impl Driver for Actions {
    fn start_attempt(&mut self, message: MessageId, endpoint: &str, plan: AttemptPlan) {
        self.0.push(Action::StartAttempt { message, endpoint: endpoint.into(), timeout: plan.timeout });
    }
    fn reject(&mut self, message: MessageId, retry_after: Option<Duration>) {
        self.0.push(Action::Finish { message, outcome: FinalOutcome::Rejected { retry_after } });
    }
    fn abandon(&mut self, message: MessageId) {
        self.0.push(Action::Finish { message, outcome: FinalOutcome::Abandoned });
    }
    fn close_idle_connections(&mut self, endpoint: &str) {
        self.0.push(Action::CloseIdle { endpoint: endpoint.into() });
    }
    fn broadcast(&mut self, gossip: &[u8]) {
        self.0.push(Action::Gossip { bytes: gossip.into() });
    }
    fn set_timer(&mut self, wait: Duration) {
        self.0.push(Action::SetTimer { wait });
    }
    fn watch_endpoints(&mut self) {
        self.0.push(Action::Watch);
    }
    fn log(&mut self, _: &LogEvent) {}
}
