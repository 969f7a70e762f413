//! Destinations are shut: every call is turned away unseen, with the wait told or without.

use super::{Planned, Strike};
use crate::server::Trouble;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shut {
    /// Whether answers tell when it opens.
    #[serde(default)]
    pub tells: bool,
}

impl Strike for Shut {
    fn trouble(&self, planned: &Planned) -> Option<Trouble> {
        Some(Trouble::Shut { until: self.tells.then(|| planned.at + planned.lasts) })
    }
}
