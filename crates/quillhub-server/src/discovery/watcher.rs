//! Keeps a watch on discovery open: starts requests, applies the lists that they return, and reports to the dispatcher
//! when none of them is in time.

use super::entries::{EndpointList, Origin};
use super::overlap::{ListOrder, OverlappingRequests, RequestId};
use super::request::{Request, RequestEvent};
use super::{WatchState, discard_notification};
use crate::connection::ConnectionError;
use crate::instance::Instance;
use serde_json::Value;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc::Sender;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

/// Minimum time from the start of one request to the next if the dispatcher does not decide when discovery is polled. A
/// watch that was open for longer is reopened at once.
const MIN_REOPEN_INTERVAL: Duration = Duration::from_millis(250);

/// Task of a request, which is aborted when this is dropped.
struct RequestTask(JoinHandle<()>);

impl Drop for RequestTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Reason for which a request or a watch has ended.
#[derive(Debug, Error)]
pub(super) enum RequestEnd {
    /// The connection has ended, or the response is malformed or too long.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// The response contains an invalid list.
    #[error("the list is invalid")]
    InvalidList,
    /// It cannot be told whether the list is newer than the one applied last.
    #[error("the list may be older than the one applied last, and is requested again")]
    UndecidedOrder,
}

/// Open requests to discovery, and the time of the next one.
pub(super) struct Watcher {
    instance: Rc<RefCell<Instance>>,
    watch_state: Rc<WatchState>,
    /// `true` if the dispatcher decides when discovery is polled.
    must_be_polled: bool,
    requests: OverlappingRequests<RequestTask>,
    events: Sender<(RequestId, RequestEvent)>,
    /// Start of the last request that did not follow a complete list.
    last_started: Option<Instant>,
    /// Time of the next request, unless the dispatcher decides it.
    next_request: Option<Instant>,
}

impl Watcher {
    pub(super) fn new(
        instance: Rc<RefCell<Instance>>,
        watch_state: Rc<WatchState>,
        must_be_polled: bool,
        events: Sender<(RequestId, RequestEvent)>,
    ) -> Self {
        let starts_at_once = !must_be_polled || watch_state.moved.get();
        Self {
            instance,
            watch_state,
            must_be_polled,
            requests: OverlappingRequests::new(),
            events,
            last_started: None,
            next_request: starts_at_once.then(Instant::now),
        }
    }

    /// Returns the revision of the list that was applied last.
    pub(super) fn revision(&self) -> Option<u64> {
        self.watch_state.revision.get()
    }

    /// Returns `true` if the dispatcher may ask for a request.
    pub(super) fn awaits_poll(&self) -> bool {
        self.must_be_polled && self.next_request.is_none() && !self.watch_state.outstanding.get()
    }

    /// Returns `true` if a request is due.
    pub(super) fn is_request_due(&self) -> bool {
        self.next_request.is_some_and(|due| due <= Instant::now())
    }

    /// Returns the earliest time at which a request may be overdue or due.
    pub(super) fn next_wake_up(&self) -> Option<Instant> {
        self.requests.next_timeout().into_iter().chain(self.next_request).min()
    }

    /// Sends a request to discovery at `address`.
    pub(super) fn start_request(&mut self, address: SocketAddr) {
        self.last_started = Some(Instant::now());
        self.next_request = None;
        self.watch_state.request_started();
        self.spawn_request(address);
    }

    fn spawn_request(&mut self, address: SocketAddr) {
        let (after, events) = (self.revision(), self.events.clone());
        self.requests.start(Instant::now(), after.is_some(), |id, progress| {
            RequestTask(spawn_local(Request { id, address, progress, events }.run(after)))
        });
    }

    /// Gives up all requests after a change of discovery's address, so that the complete list is requested at once.
    pub(super) fn discovery_moved(&mut self) {
        self.requests.clear();
        self.watch_state.discovery_moved();
        self.next_request = Some(Instant::now());
    }

    /// Handles an event of a request to discovery at `address`. Events of requests that were given up are ignored.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request has ended with this event.
    pub(super) fn handle(
        &mut self,
        id: RequestId,
        event: RequestEvent,
        address: SocketAddr,
    ) -> Result<(), RequestEnd> {
        if !self.requests.is_open(id) {
            return Ok(());
        }
        let result = match event {
            RequestEvent::Ended(error) => Err(error.into()),
            RequestEvent::CompleteList(list) => self.complete_list_received(id, &list, address),
            RequestEvent::WatchInput { lists, is_partial } => self.watch_input(id, &lists, is_partial),
        };
        if result.is_err() {
            self.requests.remove(id);
        }
        result
    }

    /// Applies the complete list, and opens the watch for the changes after it, unless a younger request has done so.
    fn complete_list_received(
        &mut self,
        id: RequestId,
        list: &Value,
        address: SocketAddr,
    ) -> Result<(), RequestEnd> {
        self.apply(id, list)?;
        self.request_answered(id);
        self.requests.remove(id);
        if !self.requests.is_watch_open_after(id) {
            self.spawn_request(address);
        }
        Ok(())
    }

    fn watch_input(&mut self, id: RequestId, lists: &[Value], is_partial: bool) -> Result<(), RequestEnd> {
        for list in lists {
            self.apply(id, list)?;
        }
        if !is_partial {
            self.request_answered(id);
        }
        Ok(())
    }

    fn request_answered(&mut self, id: RequestId) {
        self.requests.on_answer(id);
        self.instance.borrow().discovery_responded().notify_one();
    }

    /// Applies a list to the instance's endpoints, unless a newer one was applied before. An invalid list changes
    /// nothing.
    fn apply(&mut self, id: RequestId, list: &Value) -> Result<(), RequestEnd> {
        let list = EndpointList::parse(list).map_err(|error| {
            tracing::error!(%error, "invalid endpoint list from discovery");
            RequestEnd::InvalidList
        })?;
        let revision = list.revision();
        let order = self.requests.order(id, revision, list.is_complete());
        tracing::debug!(revision, ?order, "received an endpoint list from discovery");
        match order {
            ListOrder::Current => {
                list.apply(&mut self.instance.borrow_mut(), Origin::Discovery);
                self.requests.on_applied(id, revision);
                self.watch_state.revision.set(Some(revision));
                Ok(())
            }
            ListOrder::Outdated => Ok(()),
            ListOrder::Undecided => {
                self.watch_state.revision.set(None);
                Err(RequestEnd::UndecidedOrder)
            }
        }
    }

    /// Reports to the dispatcher that no request is in time any more, or that one is again, and plans the next one if
    /// the dispatcher does not.
    pub(super) async fn report_progress(&mut self) {
        let overdue = self.requests.mark_overdue(Instant::now());
        if overdue > 0 {
            tracing::info!(overdue, revision = self.revision(), "discovery does not respond");
        }
        match (self.watch_state.outstanding.get(), self.requests.is_any_in_time()) {
            (true, false) => self.report_failure().await,
            (false, true) => {
                // A late answer: without this report, the dispatcher would poll beside an open watch.
                self.instance
                    .borrow_mut()
                    .handle_event(|dispatcher| dispatcher.endpoint_list_ended(None, true));
                self.watch_state.outstanding.set(true);
                self.next_request = None;
            }
            _ => {}
        }
    }

    async fn report_failure(&mut self) {
        let watch_requested = self.instance.borrow().watch_requested();
        discard_notification(&watch_requested).await;
        self.instance.borrow_mut().handle_event(|dispatcher| dispatcher.endpoint_list_failed());
        self.watch_state.outstanding.set(false);
        if !self.must_be_polled {
            let earliest = self.last_started.map(|started| started + MIN_REOPEN_INTERVAL);
            self.next_request = Some(Instant::now()).max(earliest);
        }
    }
}
