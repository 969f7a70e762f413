//! Overlapping requests to discovery: which of them are still open, and which of their lists apply.
//!
//! A request without a response in time is overdue: another one is sent, and the overdue one stays open, since its
//! response may only be late. Invariants: a request is given up only after a younger one was answered, or once
//! [`MAX_OPEN_REQUESTS`] are open; a list never replaces a newer one.

use crate::progress::Progress;
use std::time::Duration;
use tokio::time::Instant;

/// Time without progress after which a request, or the watch that it opened, is overdue and another request is sent.
/// Discovery that works responds at once and sends a line every 2 s. The limit leaves time for a connection that is
/// established by the first retransmission of its SYN, after 1 s, and for one more request if this one is lost
/// (docs/discovery-timing.md).
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum number of requests and watches that are open at the same time. Bounds descriptors and memory while
/// discovery does not respond.
pub(super) const MAX_OPEN_REQUESTS: usize = 4;

/// Identifies a request. Ids increase in the order in which the requests are started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RequestId(u64);

/// Request or watch whose connection has not ended.
struct OpenRequest<T> {
    id: RequestId,
    progress: Progress,
    /// `true` if the request opens a watch, and `false` if it returns the complete list and ends.
    is_watch: bool,
    /// `true` from the time at which it is overdue until it is answered.
    is_overdue: bool,
    /// Kept while the request is open, and dropped to give it up.
    _task: T,
}

/// List that was applied last.
struct AppliedList {
    revision: u64,
    request: RequestId,
    /// Last request that was started before the list was applied.
    last_started: RequestId,
}

/// Use of a list that a request has returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListOrder {
    /// The list is not older than the one applied last, and applies.
    Current,
    /// The changes are older than what is known, and the request returns all later ones too.
    Outdated,
    /// The complete list has a lower revision than the one applied last, and was requested before that was known: it
    /// is older, or discovery has restarted and numbers its lists anew. Only a request that is started later can tell.
    Undecided,
}

/// Open requests to discovery, in the order of their start. `T` is the task of a request, which ends when it is
/// dropped.
pub(super) struct OverlappingRequests<T> {
    open: Vec<OpenRequest<T>>,
    last_started: RequestId,
    applied: Option<AppliedList>,
}

impl<T> OverlappingRequests<T> {
    pub(super) fn new() -> Self {
        Self { open: Vec::new(), last_started: RequestId(0), applied: None }
    }

    /// Registers the start of a request whose task `spawn` creates. Gives up the one without progress for the longest
    /// time if too many are open.
    pub(super) fn start(
        &mut self,
        now: Instant,
        is_watch: bool,
        spawn: impl FnOnce(RequestId, Progress) -> T,
    ) {
        if self.open.len() >= MAX_OPEN_REQUESTS {
            let stalest =
                self.open.iter().min_by_key(|request| request.progress.last()).map(|found| found.id);
            self.open.retain(|request| Some(request.id) != stalest);
        }
        let id = RequestId(self.last_started.0 + 1);
        self.last_started = id;
        let progress = Progress::new(now);
        let task = spawn(id, progress.clone());
        self.open.push(OpenRequest { id, progress, is_watch, is_overdue: false, _task: task });
    }

    /// Returns `true` if the request is open.
    pub(super) fn is_open(&self, id: RequestId) -> bool {
        self.open.iter().any(|request| request.id == id)
    }

    /// Returns `true` if a request for a watch is open that was started after the given one.
    pub(super) fn is_watch_open_after(&self, id: RequestId) -> bool {
        self.open.iter().any(|request| request.is_watch && request.id > id)
    }

    /// Registers that a request was answered, so that older ones are no longer needed.
    pub(super) fn on_answer(&mut self, id: RequestId) {
        self.open.retain(|request| request.id >= id);
        for request in self.open.iter_mut().filter(|request| request.id == id) {
            request.is_overdue = false;
        }
    }

    /// Removes a request that has ended.
    pub(super) fn remove(&mut self, id: RequestId) {
        self.open.retain(|request| request.id != id);
    }

    /// Gives up all requests and forgets the lists that were applied, as after a change of discovery's address.
    pub(super) fn clear(&mut self) {
        self.open.clear();
        self.applied = None;
    }

    /// Returns how a list of the request relates to the one that was applied last.
    ///
    /// Revisions are compared only where the order of the requests decides nothing: a list of the same request, or of
    /// one that was started after the last list was applied, is newer whatever its revision, since discovery may have
    /// restarted and number its lists anew.
    pub(super) fn order(&self, id: RequestId, revision: u64, is_complete: bool) -> ListOrder {
        let Some(applied) = &self.applied else { return ListOrder::Current };
        let is_ordered = id == applied.request || id > applied.last_started;
        match (is_ordered || revision >= applied.revision, is_complete) {
            (true, _) => ListOrder::Current,
            (false, false) => ListOrder::Outdated,
            (false, true) => ListOrder::Undecided,
        }
    }

    /// Registers that a list of the request was applied.
    pub(super) fn on_applied(&mut self, id: RequestId, revision: u64) {
        self.applied = Some(AppliedList { revision, request: id, last_started: self.last_started });
    }

    /// Marks the requests without progress for [`RESPONSE_TIMEOUT`] as overdue, and returns their number.
    pub(super) fn mark_overdue(&mut self, now: Instant) -> usize {
        let is_late = |request: &&mut OpenRequest<T>| {
            !request.is_overdue && now >= request.progress.last() + RESPONSE_TIMEOUT
        };
        self.open.iter_mut().filter(is_late).map(|request| request.is_overdue = true).count()
    }

    /// Returns `true` if a request is open that is not overdue.
    pub(super) fn is_any_in_time(&self) -> bool {
        self.open.iter().any(|request| !request.is_overdue)
    }

    /// Returns the earliest time at which a request may become overdue.
    pub(super) fn next_timeout(&self) -> Option<Instant> {
        let in_time = self.open.iter().filter(|request| !request.is_overdue);
        in_time.map(|request| request.progress.last() + RESPONSE_TIMEOUT).min()
    }
}

#[cfg(test)]
#[path = "overlap_tests.rs"]
mod tests;
