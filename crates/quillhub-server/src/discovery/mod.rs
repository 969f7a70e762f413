//! Client of discovery: requests the endpoint list and then watches its changes. The watch is reopened when it ends and
//! when the address of discovery changes. A request without a response in time is followed by another one, but stays
//! open, since its response may only be late (`overlap.rs`).
//!
//! Invariant: the dispatcher is notified of the end of every request, even after a panic; without that, it would never
//! ask for another request. The exception is a change of discovery's address, after which the next request is sent at
//! once.

mod entries;
mod overlap;
mod request;
mod stream;
mod watcher;

pub use entries::{Origin, check, update_endpoints};
pub use request::MAX_LIST_BYTES;

use crate::instance::Instance;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{Notify, mpsc, watch as watch_channel};
use tokio::time::{Instant, sleep_until};
use watcher::Watcher;

/// Maximum number of events of requests that wait to be handled.
const MAX_QUEUED_EVENTS: usize = 1;

/// State of [`keep_watching`], kept outside of it so that it survives a panic.
#[derive(Default)]
pub struct WatchState {
    /// Revision of the list that was applied last; `None` if a complete list must be requested next.
    revision: Cell<Option<u64>>,
    /// `true` if discovery's address has changed and no request was sent to the new one.
    moved: Cell<bool>,
    /// `true` from the start of a request until the dispatcher is notified that no request or watch is in time any more.
    outstanding: Cell<bool>,
}

impl WatchState {
    /// Creates the state after the list of `revision` was applied, or before any list with `None`.
    pub fn new(revision: Option<u64>) -> Rc<Self> {
        Rc::new(Self { revision: Cell::new(revision), ..Self::default() })
    }

    fn request_started(&self) {
        self.outstanding.set(true);
        self.moved.set(false);
    }

    fn discovery_moved(&self) {
        self.moved.set(true);
        self.revision.set(None);
        self.outstanding.set(false);
    }
}

/// Discards a notification that was not received yet, if there is one.
async fn discard_notification(notify: &Notify) {
    tokio::select! {
        biased;
        () = notify.notified() => {}
        () = std::future::ready(()) => {}
    }
}

/// Keeps a watch on discovery open. Never returns.
///
/// With `must_be_polled`, the dispatcher decides when discovery is polled, that is, when the next request is sent; its
/// response may stay open as a watch. When discovery's address changes, the complete list is requested and a watch
/// opened there at once.
pub async fn keep_watching(
    instance: Rc<RefCell<Instance>>,
    mut discovery: watch_channel::Receiver<SocketAddr>,
    watch_state: Rc<WatchState>,
    must_be_polled: bool,
) {
    let watch_requested = instance.borrow().watch_requested();
    let (event_sender, mut events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let mut watcher = Watcher::new(instance, watch_state, must_be_polled, event_sender);
    loop {
        // First, so that a request that ended in a panic is reported too: otherwise the dispatcher would never ask for
        // another request.
        watcher.report_progress().await;
        if watcher.is_request_due() {
            watcher.start_request(*discovery.borrow_and_update());
        }
        let address = *discovery.borrow();
        let wake_up = watcher.next_wake_up();
        tokio::select! {
            biased;
            Ok(()) = discovery.changed() => watcher.discovery_moved(),
            Some((id, event)) = events.recv() => {
                if let Err(error) = watcher.handle(id, event, address) {
                    tracing::info!(%error, revision = watcher.revision(), "the watch on discovery ended");
                }
            }
            () = watch_requested.notified(), if watcher.awaits_poll() => watcher.start_request(address),
            () = sleep_until(wake_up.unwrap_or_else(Instant::now)), if wake_up.is_some() => {}
        }
    }
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;

#[cfg(test)]
#[path = "outage_tests.rs"]
mod outage_tests;

#[cfg(test)]
#[path = "delay_tests.rs"]
mod delay_tests;
