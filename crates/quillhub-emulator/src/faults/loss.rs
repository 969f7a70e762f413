//! A share of what goes from one zone to another does not arrive.

use super::{Does, Planned, Strike, Wrong, share};
use crate::trouble::How;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Loss {
    pub share: f64,
    /// Zones that it goes from and to; absent, any.
    #[serde(default)]
    pub from: Option<String>,
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
