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
    /// A client hands its message to an instance, for the first time or again.
    Submission {
        request: u64,
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
    CallExecutes {
        call: u64,
    },
    /// A worker of a server has finished a call.
    CallCompletes {
        call: u64,
        server: usize,
    },
    /// An instance hears how its call ended.
    CallEnds {
        call: u64,
        end: CallEnd,
    },
    /// A timer that an instance asked for.
    TimerFires {
        instance: usize,
        incarnation: u32,
    },
    /// A gossip message reaches an instance.
    Gossip {
        instance: usize,
        bytes: Vec<u8>,
    },
    /// Service discovery tells an instance of endpoints.
    EndpointsReported {
        instance: usize,
        incarnation: u32,
        update: ListChange,
    },
    /// An instance's call to service discovery fails.
    DiscoveryFails {
        instance: usize,
        incarnation: u32,
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
    /// An instance that died starts again.
    Restart {
        instance: usize,
    },
}

/// How a call ended, as its instance hears it.
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
    pub(super) delay: Option<Duration>,
}
