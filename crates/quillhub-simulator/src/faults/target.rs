//! Targets of faults: destinations, endpoints or instances, selected by the same criteria.

use crate::destinations_state::seeded_rng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Criteria that select the destinations, endpoints or instances affected by a fault; without any, all are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(expecting = "struct Whom", deny_unknown_fields, default)]
pub struct Target {
    /// Kind of the destinations; any by default.
    pub kind: Option<String>,
    /// Numbers of the destinations or instances, from 1; any by default.
    pub ids: Vec<u64>,
    /// Share, from 0 to 1, of the matching destinations or instances that is selected at random, but at least one; all
    /// by default.
    pub share: Option<f64>,
    /// Max number of endpoints selected per destination; all by default.
    pub endpoints: Option<usize>,
    /// Zone of the endpoints or instances; any by default.
    pub zone: Option<String>,
}

impl Target {
    /// Returns the indices, from 0 to `count - 1`, of the destinations or instances that are selected: those that `ids`
    /// and `is_eligible` admit, or a random share of them.
    pub(crate) fn choose(
        &self,
        count: usize,
        is_eligible: impl Fn(usize) -> bool,
        rng: &mut Pcg64Mcg,
    ) -> Vec<usize> {
        let is_named = |index: usize| self.ids.is_empty() || self.ids.contains(&(index as u64 + 1));
        let mut chosen: Vec<_> = (0..count).filter(|index| is_named(*index) && is_eligible(*index)).collect();
        if let Some(share) = self.share {
            chosen.shuffle(rng);
            let selected = (chosen.len() as f64 * share).round() as usize;
            chosen.truncate(selected.max(1));
        }
        chosen
    }
}

/// Returns the random number generator that selects the targets of a fault. Each fault has its own, so that the
/// selection does not depend on earlier decisions of the run.
pub(crate) fn target_rng(seed: u64, fault: usize) -> Pcg64Mcg {
    seeded_rng(seed, 1 << 48 | fault as u64)
}
