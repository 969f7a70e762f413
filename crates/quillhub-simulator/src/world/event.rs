//! The events of a run.

use crate::faults::Drain;
use quillhub::{AttemptOutcome, EndpointState, LoadReport};
use std::time::Duration;

/// What happens at an instant of a run.
pub(super) enum Event {
    /// So many messages come at once in a stream, for one destination.
    Arrival {
        stream: usize,
        count: u64,
    },
    /// A client hands its message to a courier, for the first time or again.
    Submission {
        order: u64,
    },
    /// The connection that was opened for a call is up.
    Connected {
        call: u64,
    },
    /// A call arrives at its endpoint.
    CallArrives {
        call: u64,
    },
    /// What a call asks for takes effect at its destination.
    RepeatSafety {
        call: u64,
    },
    /// A worker of a server has finished a call.
    Served {
        call: u64,
        server: usize,
    },
    /// A courier hears how its call ended.
    CallEnds {
        call: u64,
        end: CallEnd,
    },
    /// A timer that a courier asked for.
    Wake {
        courier: usize,
        life: u32,
    },
    /// A gossip message reaches a courier.
    Gossip {
        courier: usize,
        octets: Vec<u8>,
    },
    /// Service discovery tells a courier of endpoints.
    EndpointsTold {
        courier: usize,
        life: u32,
        update: ListChange,
    },
    /// A courier's call to service discovery fails.
    DiscoveryFails {
        courier: usize,
        life: u32,
    },
    FaultBegins {
        fault: usize,
    },
    FaultEnds {
        fault: usize,
    },
    /// The drain of an entry of the endpoint list begins.
    DrainBegins {
        entry: usize,
        drain: Drain,
    },
    /// It ends: the endpoint is gone.
    DrainEnds {
        entry: usize,
        drain: Drain,
    },
    /// A courier that died starts again.
    Restart {
        courier: usize,
    },
}

/// How a call ended, as its courier hears it.
pub(super) struct CallEnd {
    pub(super) outcome: AttemptOutcome,
    /// Whether its connection can be used again.
    pub(super) reusable: bool,
    /// The endpoint's report in the answer, where there is one.
    pub(super) load_report: Option<LoadReport>,
}

impl CallEnd {
    /// An end after which the connection is of no use.
    pub(super) fn broken(outcome: AttemptOutcome) -> Self {
        Self { outcome, reusable: false, load_report: None }
    }

    /// An answer without a report, after which the connection stays open.
    pub(super) fn answered(outcome: AttemptOutcome) -> Self {
        Self { outcome, reusable: true, load_report: None }
    }
}

/// Entries of the endpoint list with their states.
pub(super) type Entries = Vec<(usize, EndpointState)>;

/// What service discovery tells at once.
pub(super) enum ListChange {
    /// What changed.
    Changes(Entries),
    /// A whole list; what it leaves out is gone.
    Snapshot(Entries),
}

/// What is wrong with service discovery while a fault lasts: so much later, or out of reach.
pub(super) struct DiscoveryFault {
    pub(super) fault: usize,
    pub(super) late: Option<Duration>,
}
