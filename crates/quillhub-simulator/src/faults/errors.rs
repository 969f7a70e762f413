//! Errors fault: a share of the calls fails with an error, in less than the usual service time.

use super::{CheckResult, FaultKind, Injection, ScheduledFault, check_share};
use crate::active_faults::ServerFault;
use serde::{Deserialize, Serialize};

/// Parameters of failing calls.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Errors {
    /// Share of the calls that fail, from 0 to 1; above 0.5, the fault counts as an outage.
    pub share: f64,
}

impl FaultKind for Errors {
    fn check(&self) -> CheckResult {
        check_share("what.errors.share", self.share)
    }

    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Servers(ServerFault::Fails(self.share))
    }
}
