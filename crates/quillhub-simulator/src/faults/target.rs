//! Who is struck by a fault: destinations or instances, picked by the same rules.

use crate::site::seeded_rng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Who is struck by a fault; all that fit, where nothing is said.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(expecting = "struct Whom", deny_unknown_fields, default)]
pub struct Target {
    /// Destinations of this kind.
    pub kind: Option<String>,
    /// These destinations, or instances, by number; they begin at 1.
    pub ids: Vec<u64>,
    /// Such a share of those that fit, by chance; one at least.
    pub share: Option<f64>,
    /// Only so many endpoints of each destination.
    pub endpoints: Option<usize>,
    /// Only endpoints, or instances, of this zone.
    pub zone: Option<String>,
}

impl Target {
    /// Those of `count` destinations or instances that are struck, numbered from 0: by their numbers, by what `fits` says
    /// of each, and then by chance.
    pub(crate) fn choose(
        &self,
        count: usize,
        fits: impl Fn(usize) -> bool,
        rng: &mut Pcg64Mcg,
    ) -> Vec<usize> {
        let is_named = |at: usize| self.ids.is_empty() || self.ids.contains(&(at as u64 + 1));
        let mut chosen: Vec<_> = (0..count).filter(|at| is_named(*at) && fits(*at)).collect();
        if let Some(share) = self.share {
            chosen.shuffle(rng);
            let many = (chosen.len() as f64 * share).round() as usize;
            chosen.truncate(many.max(1));
        }
        chosen
    }
}

/// The chance by which a fault picks: its own, so that the choice is the same whatever was decided before.
pub(crate) fn chance_of_fault(seed: u64, fault: usize) -> Pcg64Mcg {
    seeded_rng(seed, 1 << 48 | fault as u64)
}
