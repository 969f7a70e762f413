//! Service discovery: how it reports changes, and which rates it lists.

use quillhub::ListedRateAccuracy;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Way in which service discovery reports changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "enum RegisterForm", rename_all = "lowercase")]
pub enum DiscoveryForm {
    /// Changes are pushed to every instance.
    Push,
    /// Changes are reported only in response to a watch request of an instance.
    Watch,
}

/// Settings of service discovery.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Register", deny_unknown_fields, default)]
pub struct DiscoverySpec {
    /// Way in which changes are reported; push by default.
    pub form: DiscoveryForm,
    /// Min delay from a change until an instance receives it, 500 ms by default; a random part of up to the same length
    /// is added.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "late")]
    pub delay: Duration,
    /// Rates in the endpoint list; none by default.
    pub rates: ListedRates,
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        Self { form: DiscoveryForm::Push, delay: Duration::from_millis(500), rates: ListedRates::Absent }
    }
}

/// Rate that is listed for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "enum Rates", rename_all = "lowercase")]
pub enum ListedRates {
    /// No rate.
    Absent,
    /// The true rate.
    Exact,
    /// A rate up to 50% too high or too low.
    #[serde(rename = "rough")]
    Approximate,
}

impl ListedRates {
    /// Returns the accuracy of the listed rates, in the dispatcher's terms.
    pub(crate) fn accuracy(self) -> ListedRateAccuracy {
        match self {
            Self::Absent => ListedRateAccuracy::Absent,
            Self::Exact => ListedRateAccuracy::Exact,
            Self::Approximate => ListedRateAccuracy::Approximate,
        }
    }
}
