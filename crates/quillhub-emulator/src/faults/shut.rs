//! Destinations are shut: every call is turned away unseen, with the wait told or without.

use super::{Does, Planned, Strike};
use crate::trouble::Trouble;
use serde::{Deserialize, Serialize};

/// The fault's figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shut {
    /// Whether answers tell when it opens.
    #[serde(default)]
    pub tells: bool,
}

impl Strike for Shut {
    fn does(&self, planned: &Planned) -> Does<'_> {
        Does::Strike(Trouble::Shut { until: self.tells.then(|| planned.at + planned.lasts) })
    }
}
