//! Service classes of a scenario: deadlines, value, and whether a retry is safe.

use super::default_one;
use quillhub::{RetrySafety, ServiceClass, ValueDecay};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Conditions under which a message may be retried after an attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "enum EffectOf", rename_all = "lowercase")]
pub enum RetrySafetyKind {
    /// The message can be executed again without harm.
    #[serde(rename = "retriable")]
    Idempotent,
    /// The destination drops a retry within the deduplication window.
    #[serde(rename = "fingerprinted")]
    Deduplicated,
    /// The message must never be executed twice, and its destination does not recognize a retry.
    #[serde(rename = "binding")]
    AtMostOnce,
}

/// Service class of messages: deadlines, value, and constraints on attempts.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct GradeOf", deny_unknown_fields)]
pub struct ServiceClassSpec {
    /// Name of the service class, unique in the scenario.
    pub name: String,
    /// Conditions for a retry.
    #[serde(rename = "effect")]
    pub retry_safety: RetrySafetyKind,
    /// Time for which a destination remembers an idempotency key; zero, the default, unless the class is deduplicated.
    #[serde(default, with = "humantime_serde")]
    #[serde(rename = "memory")]
    pub deduplication_window: Duration,
    /// `true` if only the endpoints in the zone that first received an idempotency key know it; `false` by default.
    #[serde(default)]
    #[serde(rename = "one_zone")]
    pub per_zone: bool,
    /// Age, counted from the first submission, up to which a delivered message has its full value.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "contract")]
    pub soft_deadline: Duration,
    /// Age, counted from the first submission, by which a message must have its final outcome.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "limit")]
    pub deadline: Duration,
    /// Value of a message delivered by its soft deadline, in a unit common to all service classes; 1 by default.
    #[serde(default = "default_one")]
    #[serde(rename = "earnings")]
    pub value: f64,
    /// Share of the value that is left at the deadline, from 0 to 1; 0 by default.
    #[serde(default)]
    #[serde(rename = "late_share")]
    pub late_value_share: f64,
    /// `true` if the value halves with each further period as long as the soft deadline; by default, it falls linearly.
    #[serde(default)]
    pub halving: bool,
    /// `true` if messages with the same ordering key are delivered one at a time, in order of acceptance; `false` by
    /// default.
    #[serde(default)]
    #[serde(rename = "in_order")]
    pub ordered: bool,
}

impl ServiceClassSpec {
    /// Returns the service class as the dispatcher is configured with it.
    pub fn service_class(&self) -> ServiceClass {
        let retry_safety = match self.retry_safety {
            RetrySafetyKind::Idempotent => RetrySafety::Idempotent,
            RetrySafetyKind::Deduplicated => {
                RetrySafety::Deduplicated { window: self.deduplication_window, per_zone: self.per_zone }
            }
            RetrySafetyKind::AtMostOnce => RetrySafety::AtMostOnce,
        };
        ServiceClass {
            retry_safety,
            soft_deadline: self.soft_deadline,
            deadline: self.deadline,
            value: self.value,
            late_value_share: self.late_value_share,
            decay: if self.halving { ValueDecay::Halving } else { ValueDecay::Linear },
            ordered: self.ordered,
        }
    }
}
