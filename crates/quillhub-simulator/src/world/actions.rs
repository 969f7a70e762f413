//! What a decider asks for, kept until the world is free to do it.

use crate::fact::Answered;
use quillhub::{Driver, LogEvent, MessageId};
use std::time::Duration;

/// One thing that a decider asks for; the methods of [`Driver`] say what each means.
pub(super) enum Action {
    Attempt { message: MessageId, endpoint: String, timeout: Duration },
    Answer { message: MessageId, answer: Answered },
    CloseIdle { endpoint: String },
    Gossip { octets: Vec<u8> },
    Wake { wait: Duration },
    Watch,
}

/// The actions of one turn of a decider, in their order.
#[derive(Default)]
pub(super) struct Actions(pub(super) Vec<Action>);

impl Driver for Actions {
    fn start_attempt(&mut self, message: MessageId, endpoint: &str, timeout: Duration) {
        self.0.push(Action::Attempt { message, endpoint: endpoint.into(), timeout });
    }
    fn reject(&mut self, message: MessageId, retry_after: Option<Duration>) {
        self.0.push(Action::Answer { message, answer: Answered::Denied(retry_after) });
    }
    fn abandon(&mut self, message: MessageId) {
        self.0.push(Action::Answer { message, answer: Answered::WrittenOff });
    }
    fn close_idle_connections(&mut self, endpoint: &str) {
        self.0.push(Action::CloseIdle { endpoint: endpoint.into() });
    }
    fn broadcast(&mut self, gossip: &[u8]) {
        self.0.push(Action::Gossip { octets: gossip.into() });
    }
    fn set_timer(&mut self, wait: Duration) {
        self.0.push(Action::Wake { wait });
    }
    fn watch_endpoints(&mut self) {
        self.0.push(Action::Watch);
    }
    fn log(&mut self, _: &LogEvent) {}
}
