//! The network between couriers and endpoints: delays, and what goes wrong on the way between two zones.

use crate::day::Network;
use crate::trouble::How;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Share lost from which an oracle takes a way for bad.
const BAD: f64 = 0.1;

/// What is wrong with the way from one zone to another; absent means any zone.
#[derive(Clone, Debug)]
pub(crate) struct Spoilt {
    pub(crate) fault: usize,
    pub(crate) from: Option<usize>,
    pub(crate) to: Option<usize>,
    pub(crate) how: How,
}

impl Spoilt {
    fn is_between(&self, from: usize, to: usize) -> bool {
        self.from.is_none_or(|zone| zone == from) && self.to.is_none_or(|zone| zone == to)
    }
}

pub(crate) struct Ways {
    pub(crate) of: Network,
    /// What is wrong now; each goes with the end of its fault.
    pub(crate) spoilt: Vec<Spoilt>,
}

impl Ways {
    pub(crate) fn new(of: Network) -> Self {
        Self { of, spoilt: Vec::new() }
    }

    /// Whether a good part of what goes from zone to zone is lost.
    pub(crate) fn is_bad(&self, from: usize, to: usize) -> bool {
        let bad = |how: How| matches!(how, How::Cut) || matches!(how, How::Loses(share) if share > BAD);
        self.spoilt.iter().any(|spoilt| spoilt.is_between(from, to) && bad(spoilt.how))
    }

    /// The time that one thing takes from zone to zone; nothing if it does not arrive.
    pub(crate) fn pass(&self, rng: &mut Pcg64Mcg, from: usize, to: usize) -> Option<Duration> {
        let base = if from == to { self.of.within } else { self.of.between };
        let mut time = base.mul_f64(1.0 + self.of.jitter.max(0.0) * rng.random::<f64>());
        for spoilt in self.spoilt.iter().filter(|spoilt| spoilt.is_between(from, to)) {
            match spoilt.how {
                How::Cut => return None,
                How::Loses(share) => {
                    if rng.random::<f64>() < share {
                        return None;
                    }
                }
                How::Slower(more) => time += more,
            }
        }
        Some(time)
    }
}
