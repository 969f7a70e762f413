//! The register tells a whole list in which a share of the endpoints is missing, and the true one at its end.

use super::{Does, Planned, Strike, Wrong, share};
use serde::{Deserialize, Serialize};

/// The fault's figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partial {
    /// Share of the endpoints that the list leaves out.
    pub share: f64,
}

impl Strike for Partial {
    fn check(&self) -> Wrong {
        share("what.partial.share", self.share)
    }

    fn does(&self, _: &Planned) -> Does<'_> {
        Does::Partial(self.share)
    }
}
