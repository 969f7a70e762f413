//! Network partition in one direction: all traffic from one zone to another is dropped, without any error at either
//! end.

use super::{FaultKind, Injection, ScheduledFault};
use crate::active_faults::PathFault;
use serde::{Deserialize, Serialize};

/// Parameters of a one-way partition between zones.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cut {
    /// Zone that the traffic comes from; any by default.
    #[serde(default)]
    pub from: Option<String>,
    /// Zone that the traffic goes to; any by default.
    #[serde(default)]
    pub to: Option<String>,
}

impl FaultKind for Cut {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Paths { from: &self.from, to: &self.to, kind: PathFault::Cut }
    }
}
