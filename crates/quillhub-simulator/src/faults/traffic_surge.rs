//! So many times as many messages come: a flash crowd, or a hot caller where it names one stream.

use super::{CheckResult, FaultKind, Injection, ScheduledFault, check_positive};
use serde::{Deserialize, Serialize};

/// More messages come than usual.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Crowd", deny_unknown_fields)]
pub struct TrafficSurge {
    /// How many times as many messages come.
    pub factor: f64,
    /// Only this one of the scenario's streams, from 0; absent, all.
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
