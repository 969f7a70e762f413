//! A share of the kept connections is dead, which shows only when one is used.

use super::{Does, Planned, Strike, Wrong, share};
use crate::trouble::Trouble;
use serde::{Deserialize, Serialize};

/// The fault's figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stale {
    /// Share of the kept connections that are dead.
    pub share: f64,
}

impl Strike for Stale {
    fn check(&self) -> Wrong {
        share("what.stale.share", self.share)
    }

    fn does(&self, _: &Planned) -> Does<'_> {
        Does::Strike(Trouble::Stale(self.share))
    }
}
