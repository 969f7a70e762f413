//! Ordering: messages with the same ordering key are delivered one at a time, in order of acceptance.

use crate::MessageId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Messages with one ordering key.
///
/// Removed when a message is finished, if then no message is pending or in flight and no pause is in force.
#[derive(Default)]
struct OrderingQueue {
    /// Pending messages in order of acceptance.
    pending: VecDeque<MessageId>,
    /// Messages of the attempts in flight, some of which may already have a final outcome.
    in_flight: Vec<MessageId>,
    paused_until: Duration,
    /// Message that may be attempted during the pause.
    pause_exempt: Option<MessageId>,
}

impl OrderingQueue {
    /// Returns `true` if an attempt of the message may start at `now`.
    fn may_start(&self, id: MessageId, now: Duration) -> bool {
        self.pending.front() == Some(&id)
            && self.in_flight.iter().all(|other| *other == id)
            && (self.paused_until <= now || self.pause_exempt == Some(id))
    }

    /// Returns `true` if the queue restricts no message at `now` and can be removed.
    fn is_unused(&self, now: Duration) -> bool {
        self.pending.is_empty() && self.in_flight.is_empty() && self.paused_until <= now
    }
}

/// Queues of all ordering keys in use.
#[derive(Default)]
pub(crate) struct OrderingQueues {
    queues: BTreeMap<u64, OrderingQueue>,
    /// Length of the pause of an ordering key after an attempt by which a message may still be executed.
    pause: Duration,
}

impl OrderingQueues {
    pub(crate) fn set_pause(&mut self, pause: Duration) {
        self.pause = pause;
    }

    /// Adds an accepted message to the queue of its ordering key.
    pub(super) fn on_accepted(&mut self, key: u64, id: MessageId) {
        self.queues.entry(key).or_default().pending.push_back(id);
    }

    /// Returns `true` if the ordering key permits an attempt of the message to start at `now`.
    pub(super) fn may_start(&self, key: u64, id: MessageId, now: Duration) -> bool {
        self.queues.get(&key).is_some_and(|queue| queue.may_start(id, now))
    }

    /// Registers the start of an attempt.
    pub(super) fn on_started(&mut self, key: u64, id: MessageId) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.in_flight.push(id);
        }
    }

    /// Registers the end of an attempt, and pauses its ordering key if the message may still be executed by the
    /// attempt.
    pub(super) fn on_ended(&mut self, key: u64, id: MessageId, may_still_be_executed: bool, now: Duration) {
        let Some(queue) = self.queues.get_mut(&key) else { return };
        queue.in_flight.retain(|other| *other != id);
        if may_still_be_executed {
            self.pause_others(key, id, now);
        }
    }

    /// Starts a pause of the ordering key, during which only the message `id` may be attempted.
    pub(super) fn pause_others(&mut self, key: u64, id: MessageId, now: Duration) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.paused_until = now + self.pause;
            queue.pause_exempt = Some(id);
        }
    }

    /// Removes a message that has its final outcome, and the queues that are no longer needed.
    pub(super) fn on_finished(&mut self, key: u64, id: MessageId, now: Duration) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.pending.retain(|other| *other != id);
            self.queues.retain(|_, queue| !queue.is_unused(now));
        }
    }

    /// Returns the end of the pause that ends first, or `None` if no pause is in force.
    pub(super) fn next_pause_end(&self, now: Duration) -> Option<Duration> {
        self.queues.values().map(|queue| queue.paused_until).filter(|end| *end > now).min()
    }
}

#[cfg(test)]
#[path = "tests/ordering.rs"]
mod tests;
