//! A share of the kept connections is dead, which shows only when one is used.

use super::{Planned, Strike, Wrong, share};
use crate::server::Trouble;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stale {
    pub share: f64,
}

impl Strike for Stale {
    fn check(&self) -> Wrong {
        share("what.stale.share", self.share)
    }

    fn trouble(&self, _: &Planned) -> Option<Trouble> {
        Some(Trouble::Stale(self.share))
    }
}
