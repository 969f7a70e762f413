//! Service classes: until when a message is needed, what it is worth, and what a retry of it may do.

use super::default_one;
use quillhub::{RetrySafety, ServiceClass, ValueDecay};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a retry of a message may do at its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "enum EffectOf", rename_all = "lowercase")]
pub enum RetrySafetyKind {
    /// A retry does no harm.
    #[serde(rename = "retriable")]
    Idempotent,
    /// A retry is dropped for as long as its idempotency key is remembered.
    #[serde(rename = "fingerprinted")]
    Deduplicated,
    /// It must not run twice, and its destination cannot tell.
    #[serde(rename = "binding")]
    AtMostOnce,
}

/// A service class: what a message of it may do, until when it is needed, and what it is worth.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct GradeOf", deny_unknown_fields)]
pub struct ServiceClassSpec {
    /// Its name.
    pub name: String,
    /// What a retry may do at its destination.
    #[serde(rename = "effect")]
    pub retry_safety: RetrySafetyKind,
    /// How long a destination remembers an idempotency key, for deduplicated ones.
    #[serde(default, with = "humantime_serde")]
    #[serde(rename = "memory")]
    pub deduplication_window: Duration,
    /// Whether only endpoints of one zone share that memory.
    #[serde(default)]
    #[serde(rename = "one_zone")]
    pub per_zone: bool,
    /// Soft deadline: delivered within this time after it was first submitted, a message has its full value.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "contract")]
    pub soft_deadline: Duration,
    /// Deadline: a message has its final outcome within this time after it was first submitted.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "limit")]
    pub deadline: Duration,
    /// Value of a message delivered within its soft deadline, in units of the experiment's own.
    #[serde(default = "default_one")]
    #[serde(rename = "earnings")]
    pub value: f64,
    /// Share of the value that is left at the deadline.
    #[serde(default)]
    #[serde(rename = "late_share")]
    pub late_value_share: f64,
    /// Whether the value halves over each further span as long as `contract`; otherwise it falls evenly.
    #[serde(default)]
    pub halving: bool,
    /// Whether messages of one ordering key are delivered one at a time, in the order taken.
    #[serde(default)]
    #[serde(rename = "in_order")]
    pub ordered: bool,
}

impl ServiceClassSpec {
    /// The class as instances know it.
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
