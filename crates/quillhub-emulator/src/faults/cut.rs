//! The way from one zone to another is cut, in that direction only: nothing arrives, and nobody is told.

use super::{Does, Planned, Strike};
use crate::trouble::How;
use serde::{Deserialize, Serialize};

/// The fault's figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cut {
    /// Zones that it goes from and to; absent, any.
    #[serde(default)]
    pub from: Option<String>,
    /// The zone that it goes to; absent, any.
    #[serde(default)]
    pub to: Option<String>,
}

impl Strike for Cut {
    fn does(&self, _: &Planned) -> Does<'_> {
        Does::Spoil { from: &self.from, to: &self.to, how: How::Cut }
    }
}
