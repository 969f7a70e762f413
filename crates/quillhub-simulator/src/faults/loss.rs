//! A share of what goes from one zone to another does not arrive.

use super::{CheckResult, FaultKind, Injection, ScheduledFault, check_share};
use crate::conditions::PathFault;
use serde::{Deserialize, Serialize};

/// A share of what goes from one zone to another is lost.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Loss {
    /// Share of what is lost.
    pub share: f64,
    /// The zone that it goes from; absent, any.
    #[serde(default)]
    pub from: Option<String>,
    /// The zone that it goes to; absent, any.
    #[serde(default)]
    pub to: Option<String>,
}

impl FaultKind for Loss {
    fn check(&self) -> CheckResult {
        check_share("what.loss.share", self.share)
    }

    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Paths { from: &self.from, to: &self.to, kind: PathFault::Loses(self.share) }
    }
}
