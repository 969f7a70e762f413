//! A share of the answers is lost once their calls have run.

use super::{Planned, Strike, Wrong, share};
use crate::server::Trouble;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mute {
    pub share: f64,
}

impl Strike for Mute {
    fn check(&self) -> Wrong {
        share("what.mute.share", self.share)
    }

    fn trouble(&self, _: &Planned) -> Option<Trouble> {
        Some(Trouble::Mutes(self.share))
    }
}
