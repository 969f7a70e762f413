//! Endpoints fail a share of the calls, quickly.

use super::{FaultKind, Injection, ScheduledFault, Wrong, share};
use crate::conditions::ServerFault;
use serde::{Deserialize, Serialize};

/// Endpoints fail a share of the calls.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Errors {
    /// Share of the calls that fail.
    pub share: f64,
}

impl FaultKind for Errors {
    fn check(&self) -> Wrong {
        share("what.errors.share", self.share)
    }

    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Servers(ServerFault::Errs(self.share))
    }
}
