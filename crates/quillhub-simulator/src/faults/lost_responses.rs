//! A share of the answers is lost once their calls have run.

use super::{CheckResult, FaultKind, Injection, ScheduledFault, check_share};
use crate::conditions::ServerFault;
use serde::{Deserialize, Serialize};

/// A share of the answers is lost.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Mute", deny_unknown_fields)]
pub struct LostResponses {
    /// Share of the answers lost.
    pub share: f64,
}

impl FaultKind for LostResponses {
    fn check(&self) -> CheckResult {
        check_share("what.mute.share", self.share)
    }

    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Servers(ServerFault::LosesResponses(self.share))
    }
}
