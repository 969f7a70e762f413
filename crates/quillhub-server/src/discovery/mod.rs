//! Discovery: the list at first, then a watch on its changes, opened again whenever it ends or discovery has moved.
//!
//! Invariant: the dispatcher is notified of the end of every request, after a panic too, but where discovery has moved
//! and the next request goes at once. Otherwise it would never poll again.

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

/// Shortest time from one watch's opening to the next, where discovery sends changes unasked: one that lasted longer
/// is opened again at once.
const REOPEN_INTERVAL: Duration = Duration::from_millis(250);

/// How far [`follow`] is; outlives a panic of it.
#[derive(Default)]
pub struct Progress {
    /// The revision of the list that was applied last; none if the next must be a complete one.
    revision: Cell<Option<u64>>,
    /// Whether discovery has moved, and no request was sent to it there.
    moved: Cell<bool>,
    /// Whether a request, or the watch that it opened, has begun and the dispatcher was not notified of its end.
    outstanding: Cell<bool>,
}

impl Progress {
    /// Progress after the list of that revision, if there was any.
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

/// Takes back what was notified before now.
async fn clear(wanted: &Notify) {
    tokio::select! {
        biased;
        () = wanted.notified() => {}
        () = std::future::ready(()) => {}
    }
}

/// Keeps a watch open. Where discovery `must_be_polled`, the dispatcher decides when; but once discovery has moved it
/// is watched there at once, and its complete list requested.
pub async fn follow(
    instance: Rc<RefCell<Instance>>,
    mut discovery: watch_channel::Receiver<SocketAddr>,
    progress: Rc<Progress>,
    must_be_polled: bool,
) {
    let wanted = instance.borrow().watch_requested();
    loop {
        // Here, so that the dispatcher is also notified of what a panic has ended: it would never poll again.
        if progress.outstanding.get() {
            clear(&wanted).await;
            instance.borrow_mut().handle_event(|dispatcher| dispatcher.endpoint_list_failed());
            progress.outstanding.set(false);
        }
        if must_be_polled && !progress.moved.get() {
            tokio::select! {
                () = wanted.notified() => {}
                Ok(()) = discovery.changed() => progress.discovery_moved(),
            }
        }
        let at = *discovery.borrow_and_update();
        let opened = Instant::now();
        progress.request_started();
        let ended = tokio::select! {
            ended = watch::watch(&instance, at, &progress.revision) => ended,
            Ok(()) = discovery.changed() => {
                progress.discovery_moved();
                continue;
            }
        };
        if let Err(error) = ended {
            tracing::info!(%error, revision = progress.revision.get(), "the watch on discovery ended");
        }
        if !must_be_polled {
            sleep_until(opened + REOPEN_INTERVAL).await;
        }
    }
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;

#[cfg(test)]
#[path = "return_tests.rs"]
mod return_tests;
