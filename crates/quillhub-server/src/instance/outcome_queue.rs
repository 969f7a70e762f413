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
    /// Outcomes that are not being reported.
    unreported: VecDeque<FinalOutcome>,
    /// Number of outcomes that are being reported.
    reported: usize,
    added: Rc<Notify>,
}

impl OutcomeQueue {
    /// Adds an outcome and notifies the task that reports outcomes to the platform.
    pub fn add(&mut self, outcome: FinalOutcome) {
        self.unreported.push_back(outcome);
        self.added.notify_one();
    }

    /// Returns the `Notify` that is notified when an outcome is added.
    pub fn added(&self) -> Rc<Notify> {
        self.added.clone()
    }

    /// Returns the outcomes that are not being reported, oldest first.
    #[cfg(test)]
    pub fn iter(&self) -> impl Iterator<Item = &FinalOutcome> {
        self.unreported.iter()
    }

    /// Removes and returns the oldest outcomes, at most `max`, which are being reported from now on.
    pub fn take(&mut self, max: usize) -> Vec<FinalOutcome> {
        let count = max.min(self.unreported.len());
        self.reported += count;
        let mut outcomes: Vec<_> = self.unreported.drain(..count).collect();
        outcomes.iter_mut().for_each(|outcome| outcome.timeline.sent());
        outcomes
    }

    /// Puts outcomes back that were not confirmed, before all others.
    pub fn put_back(&mut self, outcomes: Vec<FinalOutcome>) {
        self.reported -= outcomes.len();
        outcomes.into_iter().rev().for_each(|outcome| self.unreported.push_front(outcome));
        self.added.notify_one();
    }

    /// Registers that `count` outcomes that were being reported are confirmed.
    pub fn confirmed(&mut self, count: usize) {
        self.reported -= count;
    }

    /// Returns `true` if no outcome awaits confirmation.
    pub fn is_empty(&self) -> bool {
        self.unreported.is_empty() && self.reported == 0
    }
}
