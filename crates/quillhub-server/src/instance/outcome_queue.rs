//! Final outcomes that the platform has not confirmed, oldest first.

use crate::wal::FinalResult;
use quillhub::MessageId;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::Notify;

/// The final outcome of a message that was not delivered, for the platform.
pub struct FinalOutcome {
    /// The message.
    pub message: MessageId,
    /// The client's own id for it, by which the platform knows it.
    pub client_id: Box<[u8]>,
    /// How it ended.
    pub result: FinalResult,
}

/// The final outcomes that wait for the platform's confirmation.
#[derive(Default)]
pub struct OutcomeQueue {
    unconfirmed: VecDeque<FinalOutcome>,
    added: Rc<Notify>,
}

impl OutcomeQueue {
    /// Adds an outcome, and wakes whoever sends them.
    pub fn add(&mut self, outcome: FinalOutcome) {
        self.unconfirmed.push_back(outcome);
        self.added.notify_one();
    }

    /// Notified when there is an outcome to send.
    pub fn added(&self) -> Rc<Notify> {
        self.added.clone()
    }

    /// The outcomes, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &FinalOutcome> {
        self.unconfirmed.iter()
    }

    /// Takes the oldest `count` out.
    pub fn take_oldest(&mut self, count: usize) -> Vec<FinalOutcome> {
        self.unconfirmed.drain(..count).collect()
    }

    /// Whether every outcome is confirmed.
    pub fn is_empty(&self) -> bool {
        self.unconfirmed.is_empty()
    }
}
