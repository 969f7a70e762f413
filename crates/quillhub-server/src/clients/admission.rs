//! Permits for connections and for large commands, and the choice of the connection to evict where they are short.
//!
//! Invariant: a connection is evicted at most once, since its entry is removed with that.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::{Instant, timeout};

/// Large commands that may be read at the same time. Against many half-read commands: they take some megabytes at
/// most.
const LARGE_COMMAND_PERMITS: usize = 24;
/// How old a connection that never sent a complete command must be to close before one that is idle: a usual client's first
/// command arrives with it.
const FIRST_COMMAND_GRACE: Duration = Duration::from_millis(500);
/// How long an evicted connection may take to close before the next is evicted.
pub(super) const EVICTION_TIMEOUT: Duration = Duration::from_millis(20);

/// How far the instance is with its shutdown.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum Phase {
    /// Connections are accepted and stay open.
    Serving,
    /// Connections close between commands, but new ones still arrive, each with a command on its way.
    Stopping,
    /// No new connections, and those that still wait for a command close.
    Closing,
}

/// What there may be only so many of at the same time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Resource {
    Connection,
    LargeCommand,
}

/// What a connection is at, as far as eviction depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Activity {
    /// None of its commands has succeeded yet.
    Unproven,
    /// It waits between two commands.
    Idle,
    /// Part of a further command has been read.
    Receiving,
    /// Our side is closed, so that only the client's close is waited for.
    HalfClosed,
}

/// An open connection, as a candidate for eviction.
struct Entry {
    /// When it was last answered, or else accepted.
    since: Instant,
    activity: Activity,
    /// Whether it holds a permit for a large command.
    large: bool,
    evicted: Rc<Notify>,
}

impl Entry {
    /// Entries of a lower rank are evicted first: one whose client only has to close, then one that never sent a complete
    /// command, then an idle one, then any.
    fn eviction_rank(&self, now: Instant) -> u8 {
        match self.activity {
            Activity::HalfClosed => 0,
            Activity::Unproven if now >= self.since + FIRST_COMMAND_GRACE => 1,
            Activity::Idle => 2,
            Activity::Unproven | Activity::Receiving => 3,
        }
    }
}

/// What connections need to know of each other and of the shutdown: when to close, and who holds a permit.
pub struct Admission {
    phase: watch::Receiver<Phase>,
    connections: Arc<Semaphore>,
    large_commands: Arc<Semaphore>,
    /// By number; an entry is removed with its connection, or when that is evicted.
    entries: RefCell<BTreeMap<u64, Entry>>,
    next_number: Cell<u64>,
}

impl Admission {
    /// `connections` has a permit for each connection that may be open.
    pub fn new(phase: watch::Receiver<Phase>, connections: Arc<Semaphore>) -> Rc<Self> {
        Rc::new(Self {
            phase,
            connections,
            large_commands: Arc::new(Semaphore::new(LARGE_COMMAND_PERMITS)),
            entries: RefCell::default(),
            next_number: Cell::new(0),
        })
    }

    pub(super) fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.clone()
    }

    /// Enters a connection that was just accepted.
    pub(super) fn register(self: &Rc<Self>) -> Registration {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let evicted = Rc::new(Notify::new());
        let entry = Entry {
            since: Instant::now(),
            activity: Activity::Unproven,
            large: false,
            evicted: evicted.clone(),
        };
        self.entries.borrow_mut().insert(number, entry);
        Registration { admission: self.clone(), number, evicted }
    }

    /// A permit for a new connection; others are evicted if there is none.
    pub(super) async fn connection_permit(&self) -> Option<OwnedSemaphorePermit> {
        self.permit(Resource::Connection).await
    }

    /// A permit for a large command; others that hold one are evicted if there is none.
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
            self.evict_one(resource);
            if let Ok(permit) = timeout(EVICTION_TIMEOUT, permits.clone().acquire_owned()).await {
                return permit.ok();
            }
        }
    }

    /// Evicts the first connection by rank that holds `resource`, of one rank the oldest.
    pub(super) fn evict_one(&self, resource: Resource) {
        let now = Instant::now();
        let mut entries = self.entries.borrow_mut();
        let first = entries
            .iter()
            .filter(|(_, entry)| resource == Resource::Connection || entry.large)
            .min_by_key(|(_, entry)| (entry.eviction_rank(now), entry.since))
            .map(|(number, _)| *number);
        if let Some(entry) = first.and_then(|number| entries.remove(&number)) {
            entry.evicted.notify_one();
        }
    }
}

/// A connection's entry in [`Admission`]. Changes to it do nothing once it is evicted.
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

    /// A command was answered; the connection is at `activity` now.
    pub(super) fn answered(&self, activity: Activity, large: bool) {
        self.update(|entry| {
            entry.since = Instant::now();
            entry.activity = activity;
            entry.large = large;
        });
    }

    /// The first part of a command was read on an idle connection.
    pub(super) fn command_begun(&self) {
        self.update(|entry| entry.activity = Activity::Receiving);
    }

    pub(super) fn large_command_begun(&self) {
        self.update(|entry| entry.large = true);
    }

    /// Our side of the connection is about to close.
    pub(super) fn half_closed(&self) {
        self.update(|entry| {
            entry.activity = Activity::HalfClosed;
            entry.large = false;
        });
    }

    /// Returns once the connection is evicted.
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
