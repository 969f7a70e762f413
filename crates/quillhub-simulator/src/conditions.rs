//! What can be wrong with an endpoint or with a path through the network.

use std::time::Duration;

/// What is wrong with a server, by the fault that did it; several hold at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ServerFault {
    /// Connections are refused, and those that stood are reset.
    Refuses,
    /// Calls are taken and none is answered; connections come up.
    Hangs,
    /// Nothing at all comes back, not even for a connection.
    Silent,
    /// Such a share of the calls fails at once.
    Fails(f64),
    /// All calls are rejected, with a retry-after until then if there is one.
    Shut { until: Option<Duration> },
    /// Calls take so many times as long.
    Slow(f64),
    /// Such a share of the answers is lost after their calls ran.
    LosesResponses(f64),
    /// Such a share of the kept connections is dead when used.
    Stale(f64),
    /// Opening a connection takes so much longer.
    Handshake(Duration),
}

impl ServerFault {
    /// Whether an endpoint struck by it counts as out: down, silent, hung, shut, or most calls failing.
    pub(crate) fn is_outage(self) -> bool {
        match self {
            Self::Refuses | Self::Hangs | Self::Silent | Self::Shut { .. } => true,
            Self::Fails(share) => share > 0.5,
            _ => false,
        }
    }
}

/// What is wrong with the path from zone to zone.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PathFault {
    /// Nothing gets through, and nobody hears of it.
    Cut,
    /// Such a share of what is sent does not arrive.
    Loses(f64),
    /// So much longer on the way.
    Slower(Duration),
}
