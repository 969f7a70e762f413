//! A share of the answers is lost once their calls have run.

use super::{Does, Planned, Strike, Wrong, share};
use crate::trouble::Trouble;
use serde::{Deserialize, Serialize};

/// The fault's figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mute {
    /// Share of the answers lost.
    pub share: f64,
}

impl Strike for Mute {
    fn check(&self) -> Wrong {
        share("what.mute.share", self.share)
    }

    fn does(&self, _: &Planned) -> Does<'_> {
        Does::Strike(Trouble::Mutes(self.share))
    }
}
