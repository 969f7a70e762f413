//! Endpoints fail a share of the calls, quickly.

use super::{Does, Planned, Strike, Wrong, share};
use crate::trouble::Trouble;
use serde::{Deserialize, Serialize};

/// The fault's figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Errors {
    /// Share of the calls that fail.
    pub share: f64,
}

impl Strike for Errors {
    fn check(&self) -> Wrong {
        share("what.errors.share", self.share)
    }

    fn does(&self, _: &Planned) -> Does<'_> {
        Does::Strike(Trouble::Errs(self.share))
    }
}
