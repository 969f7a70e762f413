//! Network loss: a share of the traffic from one zone to another is dropped.

use super::{CheckResult, FaultKind, Injection, ScheduledFault, check_share};
use crate::active_faults::PathFault;
use serde::{Deserialize, Serialize};

/// Parameters of a one-way network loss between zones.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Loss {
    /// Share of the transmissions that is dropped, from 0 to 1.
    pub share: f64,
    /// Zone that the traffic comes from; any by default.
    #[serde(default)]
    pub from: Option<String>,
    /// Zone that the traffic goes to; any by default.
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
