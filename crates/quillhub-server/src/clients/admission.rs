//! Permits for connections and for large commands, and the choice of the connection to evict when none is free.
//!
//! Invariant: a connection is evicted at most once, since its eviction removes its entry.

use crate::event_loop::EventLoopClock;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::{Instant, timeout};

/// Maximum number of large commands that are read at the same time. Limits the memory for incomplete commands to a few
/// megabytes.
const LARGE_COMMAND_PERMITS: usize = 24;
/// Time after the acceptance or the last reply from which a connection without a successful command is evicted before
/// idle ones. Ordinary clients send their first command as soon as they are connected.
const FIRST_SUCCESS_GRACE: Duration = Duration::from_millis(500);
/// Highest rank of a connection that is evicted for each waiting one: all but those on which a command is expected.
const MAX_IDLE_RANK: u8 = 2;
/// Time limit for an evicted connection to close, after which another one is evicted.
pub(super) const EVICTION_TIMEOUT: Duration = Duration::from_millis(20);

/// Phase of the instance's shutdown, as far as client connections depend on it.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum Phase {
    /// Connections are accepted and stay open.
    Serving,
    /// Connections close between commands. New ones are still accepted, and each may send one command.
    Stopping,
    /// No connections are accepted, and all that wait for a command close.
    Closing,
}

/// Resource that is limited by permits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Resource {
    Connection,
    LargeCommand,
}

/// Activity of a connection, as far as eviction depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Activity {
    /// No command on the connection has succeeded yet.
    NoSuccessYet,
    /// All commands were answered, and no part of a further one was read.
    Idle,
    /// Part of a further command was read.
    Receiving,
    /// The server's side is closed, and the client's is not.
    HalfClosed,
}

/// Open connection that can be evicted.
struct Entry {
    /// Time of the last reply on the connection, or of its acceptance before the first reply.
    since: Instant,
    activity: Activity,
    /// `true` if the connection holds a permit for a large command.
    holds_large_permit: bool,
    evicted: Rc<Notify>,
}

impl Entry {
    /// Returns the rank of the entry; the lowest one is evicted first. Half-closed connections have the lowest rank,
    /// followed by those without a successful command for [`FIRST_SUCCESS_GRACE`], idle ones, and all others.
    fn eviction_rank(&self, now: Instant) -> u8 {
        match self.activity {
            Activity::HalfClosed => 0,
            Activity::NoSuccessYet if now >= self.since + FIRST_SUCCESS_GRACE => 1,
            Activity::Idle => 2,
            Activity::NoSuccessYet | Activity::Receiving => 3,
        }
    }
}

/// Connection that may be evicted. The lowest one is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    rank: u8,
    /// Time of the last reply on the connection, or of its acceptance before the first reply.
    since: Instant,
    number: u64,
}

/// State that all client connections share: the phase of the shutdown, the permits, and the candidates for eviction.
pub struct Admission {
    phase: watch::Receiver<Phase>,
    connections: Arc<Semaphore>,
    /// Permits of accepted connections that wait for a permit to be served.
    waiting: Arc<Semaphore>,
    large_commands: Arc<Semaphore>,
    /// Time from which on a connection may be evicted on which a command is expected.
    next_busy_eviction: Cell<Instant>,
    /// Entries by connection number; an entry is removed when its connection ends or is evicted.
    entries: RefCell<BTreeMap<u64, Entry>>,
    next_number: Cell<u64>,
    event_loop: EventLoopClock,
}

impl Admission {
    /// Creates the shared state for the connections of one instance; `connections` has one permit for each connection
    /// that may be served, and up to `max_waiting` more may be open until others are evicted for them.
    pub fn new(
        phase: watch::Receiver<Phase>,
        connections: Arc<Semaphore>,
        max_waiting: usize,
        event_loop: EventLoopClock,
    ) -> Rc<Self> {
        Rc::new(Self {
            phase,
            connections,
            waiting: Arc::new(Semaphore::new(max_waiting)),
            next_busy_eviction: Cell::new(Instant::now()),
            large_commands: Arc::new(Semaphore::new(LARGE_COMMAND_PERMITS)),
            entries: RefCell::default(),
            next_number: Cell::new(0),
            event_loop,
        })
    }

    pub(super) fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.clone()
    }

    /// Returns the clock of the event loop.
    pub(super) fn event_loop(&self) -> EventLoopClock {
        self.event_loop.clone()
    }

    /// Registers a connection that was just accepted.
    pub(super) fn register(self: &Rc<Self>) -> Registration {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let evicted = Rc::new(Notify::new());
        let entry = Entry {
            since: Instant::now(),
            activity: Activity::NoSuccessYet,
            holds_large_permit: false,
            evicted: evicted.clone(),
        };
        self.entries.borrow_mut().insert(number, entry);
        Registration { admission: self.clone(), number, evicted }
    }

    /// Returns a permit to wait for a connection permit, once one is free. Returns `None` if the semaphore is closed.
    pub(super) async fn waiting_permit(&self) -> Option<OwnedSemaphorePermit> {
        self.waiting.clone().acquire_owned().await.ok()
    }

    /// Returns a permit for a new connection, and evicts others if none is free. Returns `None` if the semaphore is
    /// closed.
    pub(super) async fn connection_permit(&self) -> Option<OwnedSemaphorePermit> {
        self.permit(Resource::Connection).await
    }

    /// Returns a permit for a large command, and evicts connections that hold one if none is free. Returns `None` if
    /// the semaphore is closed.
    pub(super) async fn large_command_permit(&self) -> Option<OwnedSemaphorePermit> {
        self.permit(Resource::LargeCommand).await
    }

    async fn permit(&self, resource: Resource) -> Option<OwnedSemaphorePermit> {
        let permits = match resource {
            Resource::Connection => &self.connections,
            Resource::LargeCommand => &self.large_commands,
        };
        loop {
            if let Ok(permit) = permits.clone().try_acquire_owned() {
                return Some(permit);
            }
            self.evict_if_due(resource);
            if let Ok(permit) = timeout(EVICTION_TIMEOUT, permits.clone().acquire_owned()).await {
                return permit.ok();
            }
        }
    }

    /// Evicts a connection for one that waits. Each of those evicts an idle one, but together they evict at most one in
    /// [`EVICTION_TIMEOUT`] on which a command is expected.
    fn evict_if_due(&self, resource: Resource) {
        let now = Instant::now();
        let Some(candidate) = self.first_candidate(resource, now) else { return };
        if candidate.rank > MAX_IDLE_RANK {
            if now < self.next_busy_eviction.get() {
                return;
            }
            self.next_busy_eviction.set(now + EVICTION_TIMEOUT);
        }
        self.evict(candidate);
    }

    /// Evicts the connection of the lowest rank that holds `resource`, if any does.
    #[cfg(test)]
    pub(super) fn evict_one(&self, resource: Resource) {
        if let Some(candidate) = self.first_candidate(resource, Instant::now()) {
            self.evict(candidate);
        }
    }

    fn evict(&self, candidate: Candidate) {
        if let Some(entry) = self.entries.borrow_mut().remove(&candidate.number) {
            entry.evicted.notify_one();
        }
    }

    /// Returns the connection of the lowest rank that holds `resource`; among several of that rank, the one whose last reply,
    /// or acceptance, is oldest.
    fn first_candidate(&self, resource: Resource, now: Instant) -> Option<Candidate> {
        let entries = self.entries.borrow();
        let holders =
            entries.iter().filter(|(_, entry)| resource == Resource::Connection || entry.holds_large_permit);
        let candidates = holders.map(|(number, entry)| Candidate {
            rank: entry.eviction_rank(now),
            since: entry.since,
            number: *number,
        });
        candidates.min()
    }
}

/// Handle of a connection's entry in [`Admission`]. Updates have no effect once the connection is evicted.
pub(super) struct Registration {
    admission: Rc<Admission>,
    number: u64,
    evicted: Rc<Notify>,
}

impl Registration {
    fn update(&self, change: impl FnOnce(&mut Entry)) {
        if let Some(entry) = self.admission.entries.borrow_mut().get_mut(&self.number) {
            change(entry);
        }
    }

    /// Registers that a command was answered. From now on the connection is in `activity`, and holds a permit for a
    /// large command if `holds_large_permit` is set.
    pub(super) fn answered(&self, activity: Activity, holds_large_permit: bool) {
        self.update(|entry| {
            entry.since = Instant::now();
            entry.activity = activity;
            entry.holds_large_permit = holds_large_permit;
        });
    }

    /// Registers that the first part of a command was read on an idle connection.
    pub(super) fn command_started(&self) {
        self.update(|entry| entry.activity = Activity::Receiving);
    }

    pub(super) fn large_command_started(&self) {
        self.update(|entry| entry.holds_large_permit = true);
    }

    /// Registers that the server's side of the connection is about to close.
    pub(super) fn half_closed(&self) {
        self.update(|entry| {
            entry.activity = Activity::HalfClosed;
            entry.holds_large_permit = false;
        });
    }

    /// Waits until the connection is evicted.
    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    pub(super) fn remove(&self) {
        self.admission.entries.borrow_mut().remove(&self.number);
    }
}

#[cfg(test)]
#[path = "admission_tests.rs"]
mod tests;
