//! Ordering: messages with one ordering key are delivered one at a time, in the order of their acceptance.

use crate::MessageId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The messages with one key; gone when none is pending, in flight or paused for.
#[derive(Default)]
struct OrderingQueue {
    waiting: VecDeque<MessageId>,
    in_flight: Vec<MessageId>,
    paused_until: Duration,
    /// The message that the pause does not hold back.
    paused_for: Option<MessageId>,
}

impl OrderingQueue {
    fn may_start(&self, id: MessageId, now: Duration) -> bool {
        self.waiting.front() == Some(&id)
            && self.in_flight.iter().all(|other| *other == id)
            && (self.paused_until <= now || self.paused_for == Some(id))
    }

    fn is_done(&self, now: Duration) -> bool {
        self.waiting.is_empty() && self.in_flight.is_empty() && self.paused_until <= now
    }
}

/// The queues of all ordering keys in use.
#[derive(Default)]
pub(crate) struct OrderingQueues {
    queues: BTreeMap<u64, OrderingQueue>,
    /// How long a key pauses after an attempt that may still be executed.
    pause: Duration,
}

impl OrderingQueues {
    pub(crate) fn set_pause(&mut self, pause: Duration) {
        self.pause = pause;
    }

    pub(super) fn on_accepted(&mut self, key: u64, id: MessageId) {
        self.queues.entry(key).or_default().waiting.push_back(id);
    }

    pub(super) fn may_start(&self, key: u64, id: MessageId, now: Duration) -> bool {
        self.queues.get(&key).is_some_and(|queue| queue.may_start(id, now))
    }

    pub(super) fn on_started(&mut self, key: u64, id: MessageId) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.in_flight.push(id);
        }
    }

    /// An attempt ended; `may_be_executed` if it may still be, so that the key pauses.
    pub(super) fn on_ended(&mut self, key: u64, id: MessageId, may_be_executed: bool, now: Duration) {
        let Some(queue) = self.queues.get_mut(&key) else { return };
        queue.in_flight.retain(|other| *other != id);
        if may_be_executed {
            self.pause_for(key, id, now);
        }
    }

    /// Holds back all messages with the key but `id` for a while.
    pub(super) fn pause_for(&mut self, key: u64, id: MessageId, now: Duration) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.paused_until = now + self.pause;
            queue.paused_for = Some(id);
        }
    }

    /// A message has its final outcome.
    pub(super) fn on_finished(&mut self, key: u64, id: MessageId, now: Duration) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.waiting.retain(|other| *other != id);
            self.queues.retain(|_, queue| !queue.is_done(now));
        }
    }

    /// When the next pause ends.
    pub(super) fn next_pause_end(&self, now: Duration) -> Option<Duration> {
        self.queues.values().map(|queue| queue.paused_until).filter(|until| *until > now).min()
    }
}

#[cfg(test)]
#[path = "tests/ordering.rs"]
mod tests;
