//! A share of what goes from one zone to another does not arrive.

use super::{Does, Planned, Strike, Wrong, share};
use crate::trouble::How;
use serde::{Deserialize, Serialize};

/// The fault's figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Loss {
    /// Share of what is lost.
    pub share: f64,
    /// Zones that it goes from and to; absent, any.
    #[serde(default)]
    pub from: Option<String>,
    /// The zone that it goes to; absent, any.
    #[serde(default)]
    pub to: Option<String>,
}

impl Strike for Loss {
    fn check(&self) -> Wrong {
        share("what.loss.share", self.share)
    }

    fn does(&self, _: &Planned) -> Does<'_> {
        Does::Spoil { from: &self.from, to: &self.to, how: How::Loses(self.share) }
    }
}
