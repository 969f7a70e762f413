//! The way from one zone to another is cut, in that direction only: nothing arrives, and nobody hears of it.

use super::{FaultKind, Injection, ScheduledFault};
use crate::conditions::PathFault;
use serde::{Deserialize, Serialize};

/// Nothing gets from one zone to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cut {
    /// The zone that it goes from; absent, any.
    #[serde(default)]
    pub from: Option<String>,
    /// The zone that it goes to; absent, any.
    #[serde(default)]
    pub to: Option<String>,
}

impl FaultKind for Cut {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Paths { from: &self.from, to: &self.to, kind: PathFault::Cut }
    }
}
