//! Progress of a request whose response may be long.

use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// Time of the last progress of a request, which the connection that reads its response records: its start, the end of
/// the response's head, and any input after that.
#[derive(Clone, Debug)]
pub(crate) struct Progress(Rc<Cell<Instant>>);

impl Progress {
    /// Returns the progress of a request that starts at `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Self(Rc::new(Cell::new(now)))
    }

    /// Records progress at the current time.
    pub(crate) fn record(&self) {
        self.record_at(Instant::now());
    }

    /// Records progress at a time.
    pub(crate) fn record_at(&self, time: Instant) {
        self.0.set(time);
    }

    /// Returns the time of the last progress.
    pub(crate) fn last(&self) -> Instant {
        self.0.get()
    }
}
