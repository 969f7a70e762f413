//! Events of a run, and the data that they carry.

use crate::faults::Drain;
use quillhub::{AttemptOutcome, EndpointState, LoadReport};
use std::time::Duration;

/// Event of a run.
pub(super) enum Event {
    /// A number of messages of a stream arrive at the same time, for one destination.
    Arrival { stream: usize, count: u64 },
    /// A client submits its message to an instance, for the first time or again.
    Submission { request: u64 },
    /// The new connection of a call is established.
    Connected { call: u64 },
    /// A call arrives at its endpoint.
    CallArrives { call: u64 },
    /// A call is executed at its destination.
    CallExecutes { call: u64 },
    /// A worker of a server completes a call.
    CallCompletes { call: u64, server: usize },
    /// An instance receives the outcome of its call.
    CallEnds { call: u64, end: CallEnd },
    /// A timer set by an instance expires.
    TimerFires { instance: usize, incarnation: u32 },
    /// A gossip message arrives at an instance.
    Gossip { instance: usize, bytes: Vec<u8> },
    /// Service discovery reports endpoints to an instance.
    EndpointsReported { instance: usize, incarnation: u32, update: ListChange },
    /// An instance's request to service discovery fails.
    DiscoveryFails { instance: usize, incarnation: u32 },
    /// A fault of the scenario begins.
    FaultBegins { fault: usize },
    /// A fault of the scenario ends.
    FaultEnds { fault: usize },
    /// An endpoint begins to drain.
    DrainBegins { entry: usize, drain: Drain },
    /// The drain of an endpoint ends, and the endpoint is removed from the list.
    DrainEnds { entry: usize, drain: Drain },
    /// A crashed instance restarts.
    Restart { instance: usize },
}

/// Result of a call, as its instance receives it.
pub(super) struct CallEnd {
    pub(super) outcome: AttemptOutcome,
    /// `true` if the connection can be reused.
    pub(super) reusable: bool,
    /// Load report in the response, if any.
    pub(super) load_report: Option<LoadReport>,
}

impl CallEnd {
    /// Creates the result of a call that leaves its connection unusable.
    pub(super) fn broken(outcome: AttemptOutcome) -> Self {
        Self { outcome, reusable: false, load_report: None }
    }

    /// Creates the result of a call whose connection stays open, without a load report.
    pub(super) fn with_reusable_connection(outcome: AttemptOutcome) -> Self {
        Self { outcome, reusable: true, load_report: None }
    }
}

/// Entries of the endpoint list, by their number, with their states.
pub(super) type Entries = Vec<(usize, EndpointState)>;

/// Update sent by service discovery.
pub(super) enum ListChange {
    /// Entries that changed.
    Changes(Entries),
    /// Full list; endpoints that are missing from it are removed.
    Snapshot(Entries),
}

/// Active fault of service discovery.
pub(super) struct DiscoveryFault {
    pub(super) fault: usize,
    /// Extra delay of updates; `None` if service discovery is unreachable.
    pub(super) delay: Option<Duration>,
}
