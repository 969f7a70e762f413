//! Calls take so many times as long at endpoints.

use super::{Planned, Strike, Wrong, over_zero};
use crate::server::Trouble;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slow {
    pub factor: f64,
}

impl Strike for Slow {
    fn check(&self) -> Wrong {
        over_zero("what.slow.factor", self.factor)
    }

    fn trouble(&self, _: &Planned) -> Option<Trouble> {
        Some(Trouble::Slow(self.factor))
    }
}
