//! The network between instances and endpoints: delays, and what goes wrong on the path between two zones.

use crate::conditions::PathFault;
use crate::scenario::Network;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Share lost from which an oracle takes a path for bad.
const BAD: f64 = 0.1;

/// What is wrong with the path from one zone to another; absent means any zone.
#[derive(Clone, Debug)]
pub(crate) struct ImpairedPath {
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

/// The paths between zones.
pub(crate) struct Paths {
    network: Network,
    /// What is wrong now; each goes with the end of its fault.
    pub(crate) impaired: Vec<ImpairedPath>,
}

impl Paths {
    pub(crate) fn new(network: Network) -> Self {
        Self { network, impaired: Vec::new() }
    }

    /// Whether a good part of what goes from zone to zone is lost.
    pub(crate) fn is_bad(&self, from: usize, to: usize) -> bool {
        let bad = |kind: PathFault| {
            matches!(kind, PathFault::Cut) || matches!(kind, PathFault::Loses(share) if share > BAD)
        };
        self.impaired.iter().any(|impaired| impaired.is_between(from, to) && bad(impaired.kind))
    }

    /// The time that one thing takes from zone to zone; nothing if it does not arrive.
    pub(crate) fn pass(&self, rng: &mut Pcg64Mcg, from: usize, to: usize) -> Option<Duration> {
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
                PathFault::Slower(more) => time += more,
            }
        }
        Some(time)
    }
}
