//! So many times as many notices come: a flash crowd, or a hot caller where it names one stream.

use super::{Does, Planned, Strike, Wrong, over_zero};
use serde::{Deserialize, Serialize};

/// The fault's figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crowd {
    /// How many times as many messages come.
    pub factor: f64,
    /// Only this one of the day's streams, from 0; absent, all.
    #[serde(default)]
    pub stream: Option<usize>,
}

impl Strike for Crowd {
    fn check(&self) -> Wrong {
        over_zero("what.crowd.factor", self.factor)
    }

    fn does(&self, _: &Planned) -> Does<'_> {
        Does::Crowd { stream: self.stream, factor: self.factor }
    }
}
