//! Client of discovery: requests the endpoint list and then watches its changes. The watch is reopened when it ends and
//! when the address of discovery changes.
//!
//! Invariant: the dispatcher is notified of the end of every request, even after a panic; without that, it would never
//! ask for another request. The exception is a change of discovery's address, after which the next request is sent at
//! once.

mod entries;
mod stream;
mod watch;

pub use entries::{Origin, check, update_endpoints};
pub use watch::MAX_LIST_BYTES;

use crate::instance::Instance;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch as watch_channel};
use tokio::time::{Instant, sleep_until};

/// Minimum time from the start of one request to the next if the dispatcher does not decide when discovery is polled. A
/// watch that was open for longer is reopened at once.
const MIN_REOPEN_INTERVAL: Duration = Duration::from_millis(250);

/// State of [`keep_watching`], kept outside of it so that it survives a panic.
#[derive(Default)]
pub struct WatchState {
    /// Revision of the list that was applied last; `None` if a complete list must be requested next.
    revision: Cell<Option<u64>>,
    /// `true` if discovery's address has changed and no request was sent to the new one.
    moved: Cell<bool>,
    /// `true` from the start of a request until the dispatcher is notified of its end, or of the end of the watch that
    /// it opened.
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
    loop {
        // At the start of the loop, so that a request that ended in a panic is reported too: otherwise the dispatcher
        // would never ask for another request.
        if watch_state.outstanding.get() {
            discard_notification(&watch_requested).await;
            instance.borrow_mut().handle_event(|dispatcher| dispatcher.endpoint_list_failed());
            watch_state.outstanding.set(false);
        }
        if must_be_polled && !watch_state.moved.get() {
            tokio::select! {
                () = watch_requested.notified() => {}
                Ok(()) = discovery.changed() => watch_state.discovery_moved(),
            }
        }
        let address = *discovery.borrow_and_update();
        let opened = Instant::now();
        watch_state.request_started();
        let result = tokio::select! {
            result = watch::watch(&instance, address, &watch_state.revision) => result,
            Ok(()) = discovery.changed() => {
                watch_state.discovery_moved();
                continue;
            }
        };
        if let Err(error) = result {
            tracing::info!(%error, revision = watch_state.revision.get(), "the watch on discovery ended");
        }
        if !must_be_polled {
            sleep_until(opened + MIN_REOPEN_INTERVAL).await;
        }
    }
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;

#[cfg(test)]
#[path = "outage_tests.rs"]
mod outage_tests;
