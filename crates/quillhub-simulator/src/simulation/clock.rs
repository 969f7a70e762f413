//! Clock of a run: virtual time and the queue of scheduled events.
//!
//! Events are processed in order of their time, and those of the same time in the order in which they were scheduled.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Entry of the queue: time of the event, its number in the order of scheduling, and its slot.
type Scheduled = Reverse<(Duration, u64, usize)>;

/// Virtual time since the start of the run, and the scheduled events.
pub(super) struct Clock<E> {
    now: Duration,
    queue: BinaryHeap<Scheduled>,
    /// Scheduled events; a slot is reused after its event was processed.
    slots: Vec<Option<E>>,
    free_slots: Vec<usize>,
    schedule_count: u64,
}

impl<E> Clock<E> {
    pub(super) fn new() -> Self {
        Self {
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            slots: Vec::new(),
            free_slots: Vec::new(),
            schedule_count: 0,
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.now
    }

    /// Returns the time of the next event, if one is scheduled.
    pub(super) fn next_time(&self) -> Option<Duration> {
        self.queue.peek().map(|Reverse((at, ..))| *at)
    }

    /// Schedules an event at a time since the start of the run.
    pub(super) fn schedule(&mut self, at: Duration, event: E) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(event);
        self.schedule_count += 1;
        self.queue.push(Reverse((at, self.schedule_count, slot)));
    }

    /// Advances the time to the next event, and removes the event from the queue.
    pub(super) fn advance(&mut self) -> Option<E> {
        let Reverse((at, _, slot)) = self.queue.pop()?;
        self.now = at;
        self.free_slots.push(slot);
        self.slots[slot].take()
    }
}

#[cfg(test)]
#[path = "clock_tests.rs"]
mod tests;
