//! Service discovery: how it tells of changes, and which rates it lists.

use quillhub::ListedRateAccuracy;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How service discovery tells of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "enum RegisterForm", rename_all = "lowercase")]
pub enum DiscoveryForm {
    /// Tells changes to every instance.
    Push,
    /// Answers only when an instance asks for changes.
    Watch,
}

/// Service discovery.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Register", deny_unknown_fields, default)]
pub struct DiscoverySpec {
    /// How it tells of changes.
    pub form: DiscoveryForm,
    /// From a change to when instances hear of it; up to as much again by chance.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "late")]
    pub delay: Duration,
    /// Which rates it lists.
    pub rates: Rates,
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        Self { form: DiscoveryForm::Push, delay: Duration::from_millis(500), rates: Rates::Absent }
    }
}

/// What is listed of an endpoint's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Rates {
    /// No rate.
    Absent,
    /// The true rate.
    Exact,
    /// Up to half too high or too low.
    Rough,
}

impl Rates {
    pub(crate) fn accuracy(self) -> ListedRateAccuracy {
        match self {
            Self::Absent => ListedRateAccuracy::Absent,
            Self::Exact => ListedRateAccuracy::Exact,
            Self::Rough => ListedRateAccuracy::Approximate,
        }
    }
}
