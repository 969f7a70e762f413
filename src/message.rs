//! Messages and their service classes: value, deadlines, and whether a retry is safe.

use std::time::Duration;

/// Identifier of a message, assigned by the host.
pub type MessageId = u64;
/// Identifier of a destination, assigned by the host.
pub type DestinationId = u64;

/// Conditions under which a message may be retried after an attempt by which it may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// The message can be executed again without harm.
    Idempotent,
    /// The message carries an idempotency key by which its destination recognizes a retry.
    Deduplicated {
        /// Deduplication window: time during which the destination recognizes the key, counted from the first attempt
        /// by which the message may have been executed.
        window: Duration,
        /// `true` if only endpoints in the zone that first received the key recognize it.
        per_zone: bool,
    },
    /// The message must never be executed twice.
    AtMostOnce,
}

/// Decline of a message's value after its soft deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueDecay {
    /// The value falls linearly to the share left at the deadline.
    Linear,
    /// The value halves every `soft_deadline` after the soft deadline, but does not fall below the share left at the
    /// deadline.
    Halving,
}

/// Service class of a message: its value, its deadlines, and the constraints on its attempts.
///
/// The age of a message is measured back from its deadline: it equals `deadline` at the time [`NewMessage::deadline`].
/// It thus counts from the submission, unless the client asked for an earlier deadline.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceClass {
    /// Conditions for a retry after an attempt by which the message may have been executed.
    pub retry_safety: RetrySafety,
    /// Age up to which a delivered message has its full value.
    pub soft_deadline: Duration,
    /// Age at which an undelivered message is given up.
    pub deadline: Duration,
    /// Value of a message delivered by its soft deadline, in points, the unit of value and cost.
    pub value: f64,
    /// Share of the value that is left at the deadline, from 0 to 1.
    pub late_value_share: f64,
    /// Decline of the value between the soft deadline and the deadline.
    pub decay: ValueDecay,
    /// `true` if messages with the same ordering key are delivered one at a time, in order of acceptance.
    pub ordered: bool,
}

/// Minimum length of a linear decay, which keeps the division by it defined when both deadlines are equal.
const MIN_DECAY_SECS: f64 = 0.001;

impl ServiceClass {
    /// Returns the share of the value that is left when a message is delivered at `age`.
    ///
    /// ```
    /// use quillhub::{RetrySafety, ServiceClass, ValueDecay};
    /// use std::time::Duration;
    ///
    /// let linear = ServiceClass {
    ///     retry_safety: RetrySafety::Idempotent,
    ///     soft_deadline: Duration::from_secs(1),
    ///     deadline: Duration::from_secs(5),
    ///     value: 1.0,
    ///     late_value_share: 0.2,
    ///     decay: ValueDecay::Linear,
    ///     ordered: false,
    /// };
    /// let share = |seconds| (linear.value_share(Duration::from_secs(seconds)) * 10.0).round();
    /// assert_eq!([1, 3, 5].map(share), [10.0, 6.0, 2.0]);
    ///
    /// let halving = ServiceClass { decay: ValueDecay::Halving, ..linear };
    /// let share = |seconds| halving.value_share(Duration::from_secs(seconds));
    /// assert_eq!([2, 3, 5].map(share), [0.5, 0.25, 0.2]);
    /// ```
    pub fn value_share(&self, age: Duration) -> f64 {
        if age <= self.soft_deadline {
            return 1.0;
        }
        let late_secs = (age - self.soft_deadline).as_secs_f64();
        match self.decay {
            ValueDecay::Halving => {
                0.5f64.powf(late_secs / self.soft_deadline.as_secs_f64()).max(self.late_value_share)
            }
            ValueDecay::Linear => {
                let decay_period = self.deadline.saturating_sub(self.soft_deadline);
                let decay_secs = decay_period.as_secs_f64().max(MIN_DECAY_SECS);
                1.0 - (1.0 - self.late_value_share) * (late_secs / decay_secs).min(1.0)
            }
        }
    }
}

/// Message submitted by a client.
#[derive(Clone, Copy, Debug)]
pub struct NewMessage<'a> {
    /// Identifier, unique among the pending messages.
    pub id: MessageId,
    /// Name of the message's service class.
    pub service_class: &'a str,
    /// Ordering key, if any: messages with the same key are delivered in order if their service class is ordered.
    pub ordering_key: Option<u64>,
    /// Time by which the message is to have its final outcome; a later time than [`ServiceClass::deadline`] after the
    /// acceptance is replaced by that one.
    pub deadline: Duration,
    /// Name of the tenant whose quota applies, if any.
    pub tenant: Option<&'a str>,
    /// Destination of the message.
    pub destination: DestinationId,
}

/// Error for a message that names a service class unknown to the dispatcher; the message is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown service class")]
pub struct UnknownServiceClass;

/// Attempts of a recovered message that were made before the restart.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecoveredAttempts<'a> {
    /// Number of attempts made.
    pub count: u32,
    /// First attempt by which the message may have been executed, if any.
    pub first_execution: Option<PossibleExecution<'a>>,
}

/// Attempt by which the message may have been executed at the endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PossibleExecution<'a> {
    /// Time at which the attempt started.
    pub started: Duration,
    /// Name of the endpoint that was called.
    pub endpoint: &'a str,
}
