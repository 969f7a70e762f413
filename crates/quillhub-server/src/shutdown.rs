//! Graceful shutdown in four steps: accept new connections, attempt pending messages, wait for attempts in flight, send
//! final outcomes to the platform. Each step but the first ends early once it has nothing left to wait for.
//!
//! Invariant: the shutdown ends before the operators' process supervision kills the process, 3.7 s after it requested
//! the shutdown.

use crate::clients::Phase;
use crate::instance::Instance;
use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep, sleep_until};

// All deadlines are counted from the request to shut down.
/// Deadline for new client connections.
const ACCEPT_DEADLINE: Duration = Duration::from_millis(500);
/// Deadline for decisions of the dispatcher on pending messages.
const DECISION_DEADLINE: Duration = Duration::from_millis(2_000);
/// Deadline for attempts in flight to show whether the endpoints still answer.
const EVIDENCE_DEADLINE: Duration = Duration::from_millis(2_900);
/// Deadline for the end of attempts in flight, and for the attribution of their responses.
const ATTEMPT_DEADLINE: Duration = Duration::from_millis(3_000);
/// Deadline for sending final outcomes to the platform and replies to clients, 400 ms before the process is killed.
const OUTCOME_DEADLINE: Duration = Duration::from_millis(3_300);
/// Interval between checks whether a step has anything left to wait for.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// State of the client connections that a shutdown needs.
pub struct ClientConnections {
    /// Publishes the phase of the shutdown to the connections.
    pub phase: watch::Sender<Phase>,
    /// Permits to open a connection; each open connection holds one.
    pub permits: Arc<Semaphore>,
    /// Number of permits while no connection is open.
    pub max_open: usize,
}

impl ClientConnections {
    /// Returns `true` if no client is connected.
    fn all_closed(&self) -> bool {
        self.permits.available_permits() == self.max_open
    }
}

/// Shuts down an instance; the deadlines count from the call.
pub async fn shut_down(instance: &RefCell<Instance>, clients: &ClientConnections) {
    let requested = Instant::now();
    clients.phase.send_replace(Phase::Stopping);
    sleep_until(requested + ACCEPT_DEADLINE).await;
    clients.phase.send_replace(Phase::Closing);
    wait_until(requested + DECISION_DEADLINE, || instance.borrow().is_idle() && clients.all_closed()).await;
    instance.borrow_mut().stop_deciding();
    // A delivery that is not attributed when the process exits is repeated after the restart.
    let nothing_in_flight =
        || instance.borrow().attempts_in_flight() == 0 && !instance.borrow().has_unattributed_responses();
    let nothing_unanswered = || instance.borrow().attempts_in_flight() == 0;
    wait_until(requested + EVIDENCE_DEADLINE, nothing_unanswered).await;
    instance.borrow_mut().stop_waiting_for_evidence();
    wait_until(requested + ATTEMPT_DEADLINE, nothing_in_flight).await;
    // Also waits for client connections within a command, whose `COMMAND_TIMEOUT` expires before this deadline.
    let nothing_left = || instance.borrow().all_outcomes_confirmed() && clients.all_closed();
    wait_until(requested + OUTCOME_DEADLINE, nothing_left).await;
}

/// Waits until `done` returns `true`, but at most until `deadline`.
async fn wait_until(deadline: Instant, done: impl Fn() -> bool) {
    while Instant::now() < deadline && !done() {
        sleep(CHECK_INTERVAL).await;
    }
}
