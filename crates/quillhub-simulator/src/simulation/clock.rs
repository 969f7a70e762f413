//! The clock of a run: virtual time, and the queue of the events that are scheduled. Events come by instant, and
//! those of one instant in the order in which they were scheduled.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// An event in the queue: its instant, its number in the order of scheduling, and the slot that holds it.
type Scheduled = Reverse<(Duration, u64, usize)>;

/// Virtual time since the start of the run, and what is scheduled.
pub(super) struct Clock<E> {
    now: Duration,
    queue: BinaryHeap<Scheduled>,
    /// Scheduled events; a slot is used again once its event has come.
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

    /// The instant of the next event, if one is scheduled.
    pub(super) fn next_time(&self) -> Option<Duration> {
        self.queue.peek().map(|Reverse((at, ..))| *at)
    }

    /// Schedules an event for an instant.
    pub(super) fn schedule(&mut self, at: Duration, event: E) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(event);
        self.schedule_count += 1;
        self.queue.push(Reverse((at, self.schedule_count, slot)));
    }

    /// Moves on to the next event and takes it out.
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
