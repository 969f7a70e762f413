//! Active faults of servers and network paths.

use std::time::Duration;

/// Active fault of a server; several may be active at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ServerFault {
    /// New connections are refused, and established ones are reset when the fault begins.
    Refuses,
    /// Connections are accepted, but no call gets a response.
    Hangs,
    /// No packet is answered, so connection attempts time out as well.
    Silent,
    /// The given share of the calls, from 0 to 1, fails quickly with an error.
    Fails(f64),
    /// All calls are rejected without being executed.
    Shut {
        /// Time at which the fault ends, sent as a retry-after; without it, rejections carry none.
        until: Option<Duration>,
    },
    /// Calls take the given multiple of their usual time.
    Slow(f64),
    /// The given share of the responses, from 0 to 1, is lost after the call was executed.
    LosesResponses(f64),
    /// The given share of the idle connections, from 0 to 1, turns out broken when reused.
    Stale(f64),
    /// Opening a connection takes longer by the given delay.
    Handshake(Duration),
}

impl ServerFault {
    /// Returns `true` if the fault counts as an outage of the server: it refuses connections, hangs, is silent or shut,
    /// or fails more than half of the calls.
    pub(crate) fn is_outage(self) -> bool {
        match self {
            Self::Refuses | Self::Hangs | Self::Silent | Self::Shut { .. } => true,
            Self::Fails(share) => share > 0.5,
            _ => false,
        }
    }
}

/// Active fault of the network path from one zone to another, in that direction only.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PathFault {
    /// All traffic is dropped, without any error at either end.
    Cut,
    /// The given share of the transmissions, from 0 to 1, is dropped.
    Loses(f64),
    /// Each transmission takes longer by the given delay.
    Slower(Duration),
}
