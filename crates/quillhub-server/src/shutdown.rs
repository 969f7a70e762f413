//! Graceful shutdown, in phases: connections still come, accepted messages are worked on, attempts in flight may end,
//! final outcomes may reach the platform. Each phase ends early once it has nothing left to wait for.
//!
//! Invariant: the last phase is over before the process would be killed, 3.7 s after it was told to stop.

use crate::clients::Phase;
use crate::instance::Instance;
use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep, sleep_until};

// Deadlines, counted from when the process is told to stop.
/// New connections may still come.
const ACCEPT: Duration = Duration::from_millis(500);
/// The dispatcher still decides on pending messages.
const DECIDE: Duration = Duration::from_millis(2_000);
/// Attempts in flight may still end.
const END_ATTEMPTS: Duration = Duration::from_millis(3_000);
/// Final outcomes may still be sent, and clients' commands answered.
const FLUSH_OUTCOMES: Duration = Duration::from_millis(3_300);
/// How often it is looked whether a phase has nothing left to wait for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The clients' connections, as a shutdown has to do with them.
pub struct ClientConnections {
    /// Tells the connections how far the shutdown is.
    pub phase: watch::Sender<Phase>,
    /// A permit for each connection that is not open.
    pub permits: Arc<Semaphore>,
    /// Permits when no connection is open.
    pub max: usize,
}

impl ClientConnections {
    fn all_closed(&self) -> bool {
        self.permits.available_permits() == self.max
    }
}

/// Shuts an instance down that is told to stop now.
pub async fn shut_down(instance: &RefCell<Instance>, clients: &ClientConnections) {
    let signalled = Instant::now();
    clients.phase.send_replace(Phase::Stopping);
    sleep_until(signalled + ACCEPT).await;
    clients.phase.send_replace(Phase::Closing);
    wait_until(signalled + DECIDE, || instance.borrow().is_idle() && clients.all_closed()).await;
    instance.borrow_mut().stop_deciding();
    wait_until(signalled + END_ATTEMPTS, || instance.borrow().attempts_in_flight() == 0).await;
    // A connection in the midst of a command has until then, too: the time of a command is over before.
    let flushed = || instance.borrow().all_outcomes_confirmed() && clients.all_closed();
    wait_until(signalled + FLUSH_OUTCOMES, flushed).await;
}

async fn wait_until(deadline: Instant, done: impl Fn() -> bool) {
    while Instant::now() < deadline && !done() {
        sleep(POLL_INTERVAL).await;
    }
}
