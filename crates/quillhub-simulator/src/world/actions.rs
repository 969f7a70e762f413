//! What a decider asks for, kept until the world is free to do it.

use crate::fact::Answered;
use quillhub::{Hands, NoticeId};
use std::time::Duration;

/// One thing that a decider asks for; the methods of [`Hands`] say what each means.
pub(super) enum Action {
    Send { notice: NoticeId, endpoint: String, patience: Duration },
    Answer { notice: NoticeId, answer: Answered },
    CloseIdle { endpoint: String },
    Gossip { octets: Vec<u8> },
    Wake { wait: Duration },
    Watch,
}

/// The actions of one turn of a decider, in their order.
#[derive(Default)]
pub(super) struct Actions(pub(super) Vec<Action>);

impl Hands for Actions {
    fn send(&mut self, notice: NoticeId, endpoint: &str, patience: Duration) {
        self.0.push(Action::Send { notice, endpoint: endpoint.into(), patience });
    }
    fn deny(&mut self, notice: NoticeId, come_back: Option<Duration>) {
        self.0.push(Action::Answer { notice, answer: Answered::Denied(come_back) });
    }
    fn write_off(&mut self, notice: NoticeId) {
        self.0.push(Action::Answer { notice, answer: Answered::WrittenOff });
    }
    fn hang_up(&mut self, endpoint: &str) {
        self.0.push(Action::CloseIdle { endpoint: endpoint.into() });
    }
    fn tell(&mut self, note: &[u8]) {
        self.0.push(Action::Gossip { octets: note.into() });
    }
    fn wake(&mut self, wait: Duration) {
        self.0.push(Action::Wake { wait });
    }
    fn watch(&mut self) {
        self.0.push(Action::Watch);
    }
    fn log(&mut self, _: &str) {}
}
