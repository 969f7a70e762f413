//! Network between gateway instances and endpoints: delays, and faults on the paths between zones.

use crate::active_faults::PathFault;
use crate::scenario::Network;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Share of lost transmissions above which the oracle decider treats a path as unusable.
const MAX_USABLE_LOSS_SHARE: f64 = 0.1;

/// Fault on the paths from one zone to another; `None` stands for every zone.
#[derive(Clone, Debug)]
pub(crate) struct ImpairedPath {
    /// Index of the fault in the scenario.
    pub(crate) fault: usize,
    pub(crate) from: Option<usize>,
    pub(crate) to: Option<usize>,
    pub(crate) kind: PathFault,
}

impl ImpairedPath {
    fn is_between(&self, from: usize, to: usize) -> bool {
        self.from.is_none_or(|zone| zone == from) && self.to.is_none_or(|zone| zone == to)
    }
}

/// Paths between all zones, with their active faults.
pub(crate) struct Paths {
    network: Network,
    /// Active faults; each is removed when its fault of the scenario ends.
    pub(crate) impaired: Vec<ImpairedPath>,
}

impl Paths {
    pub(crate) fn new(network: Network) -> Self {
        Self { network, impaired: Vec::new() }
    }

    /// Returns `true` if an active fault cuts the path from one zone to the other, or loses more than
    /// [`MAX_USABLE_LOSS_SHARE`] of its transmissions.
    pub(crate) fn is_unusable(&self, from: usize, to: usize) -> bool {
        let makes_unusable = |kind: PathFault| {
            matches!(kind, PathFault::Cut)
                || matches!(kind, PathFault::Loses(share) if share > MAX_USABLE_LOSS_SHARE)
        };
        self.impaired.iter().any(|impaired| impaired.is_between(from, to) && makes_unusable(impaired.kind))
    }

    /// Draws the one-way delay of a transmission between two zones; `None` if it is lost.
    pub(crate) fn transit_time(&self, rng: &mut Pcg64Mcg, from: usize, to: usize) -> Option<Duration> {
        let base = if from == to { self.network.intra_zone_delay } else { self.network.inter_zone_delay };
        let mut time = base.mul_f64(1.0 + self.network.jitter.max(0.0) * rng.random::<f64>());
        for impaired in self.impaired.iter().filter(|impaired| impaired.is_between(from, to)) {
            match impaired.kind {
                PathFault::Cut => return None,
                PathFault::Loses(share) => {
                    if rng.random::<f64>() < share {
                        return None;
                    }
                }
                PathFault::Slower(extra) => time += extra,
            }
        }
        Some(time)
    }
}
