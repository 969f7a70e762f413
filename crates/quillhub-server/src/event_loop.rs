//! Delays of the event loop: whether a task, or whatever stopped the process, has kept all others from their turn.

use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay from which on it is logged. Responses that wait in a socket for longer may count as late.
const MAX_DELAY: Duration = Duration::from_millis(100);

/// Logs each delay of the event loop that exceeds [`MAX_DELAY`]. Never returns.
pub async fn log_delays() {
    loop {
        let delay = next_delay().await;
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
