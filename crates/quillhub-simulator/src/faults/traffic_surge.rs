//! Traffic surge: more messages arrive in all streams, as in a flash crowd, or in a single one, as from a hot caller.

use super::{CheckResult, FaultKind, Injection, ScheduledFault, check_positive};
use serde::{Deserialize, Serialize};

/// Parameters of a traffic surge.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Crowd", deny_unknown_fields)]
pub struct TrafficSurge {
    /// Factor by which the rate is multiplied; greater than 0.
    pub factor: f64,
    /// Index, from 0, of the only stream affected; all streams by default.
    #[serde(default)]
    pub stream: Option<usize>,
}

impl FaultKind for TrafficSurge {
    fn check(&self) -> CheckResult {
        check_positive("what.crowd.factor", self.factor)
    }

    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::TrafficSurge { stream: self.stream, factor: self.factor }
    }
}
