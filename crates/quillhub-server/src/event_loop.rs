//! Turns of the event loop: until when all input is handled, and whether a task, or whatever stopped the process, has kept
//! all others from their turn.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Time between two checks, and half of the uncertainty of [`EventLoopClock`].
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Delay from which on it is logged. Responses that wait in a socket for longer may count as late.
const MAX_DELAY: Duration = Duration::from_millis(100);

/// Time until which the event loop has handled the input of all sockets that are waited for.
#[derive(Clone, Debug)]
pub struct EventLoopClock(Rc<Cell<Instant>>);

impl EventLoopClock {
    /// Creates the clock of an event loop that has handled nothing so far.
    pub fn new() -> Self {
        Self(Rc::new(Cell::new(Instant::now())))
    }

    /// Returns a time until which all input was handled that the system had then.
    pub fn handled_until(&self) -> Instant {
        self.0.get()
    }
}

/// Advances `clock`, and logs each delay of the event loop that exceeds [`MAX_DELAY`]. Never returns.
pub async fn watch(clock: EventLoopClock) {
    loop {
        let started = Instant::now();
        let delay = next_delay().await;
        // The event loop has looked for input since, and wakes the tasks that wait for it before this one.
        clock.0.set(started);
        if delay > MAX_DELAY {
            tracing::warn!(?delay, "event loop was held up");
        }
    }
}

/// Waits for [`CHECK_INTERVAL`], and returns the time for which the event loop did not handle the end of the wait.
async fn next_delay() -> Duration {
    let due = Instant::now() + CHECK_INTERVAL;
    sleep_until(due).await;
    due.elapsed()
}

#[cfg(test)]
#[path = "event_loop_tests.rs"]
mod tests;
