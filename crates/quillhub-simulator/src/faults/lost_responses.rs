//! Lost responses: a share of the calls is executed, but the response does not reach the instance.

use super::{CheckResult, FaultKind, Injection, ScheduledFault, check_share};
use crate::active_faults::ServerFault;
use serde::{Deserialize, Serialize};

/// Parameters of lost responses.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Mute", deny_unknown_fields)]
pub struct LostResponses {
    /// Share of the responses that is lost, from 0 to 1.
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
