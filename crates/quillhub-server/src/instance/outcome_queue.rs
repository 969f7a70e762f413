//! Queue of the final outcomes of undelivered messages that the platform has not confirmed, oldest first.

use super::timeline::MessageTimeline;
use crate::wal::FinalResult;
use quillhub::MessageId;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::Notify;

/// Final outcome of an undelivered message, which is reported to the platform.
pub struct FinalOutcome {
    /// Id that this instance assigned to the message.
    pub message: MessageId,
    /// Id that the client assigned to the message, by which the platform identifies it.
    pub client_id: Box<[u8]>,
    /// Kind of the outcome: rejected or abandoned.
    pub result: FinalResult,
    /// Times of the message, for the log.
    pub timeline: MessageTimeline,
}

/// Queue of the final outcomes of undelivered messages that await confirmation by the platform.
#[derive(Default)]
pub struct OutcomeQueue {
    unconfirmed: VecDeque<FinalOutcome>,
    added: Rc<Notify>,
}

impl OutcomeQueue {
    /// Adds an outcome and notifies the task that sends outcomes to the platform.
    pub fn add(&mut self, outcome: FinalOutcome) {
        self.unconfirmed.push_back(outcome);
        self.added.notify_one();
    }

    /// Returns the `Notify` that is notified when an outcome is added.
    pub fn added(&self) -> Rc<Notify> {
        self.added.clone()
    }

    /// Returns the unconfirmed outcomes, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &FinalOutcome> {
        self.unconfirmed.iter()
    }

    /// Records that a request with the oldest `count` outcomes is being sent.
    pub fn oldest_sent(&mut self, count: usize) {
        self.unconfirmed.iter_mut().take(count).for_each(|outcome| outcome.timeline.sent());
    }

    /// Removes and returns the oldest `count` outcomes.
    pub fn take_oldest(&mut self, count: usize) -> Vec<FinalOutcome> {
        self.unconfirmed.drain(..count).collect()
    }

    /// Returns `true` if no outcome awaits confirmation.
    pub fn is_empty(&self) -> bool {
        self.unconfirmed.is_empty()
    }
}
