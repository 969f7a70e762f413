//! Messages and their service classes: what a message is worth, how long it lasts, and what a retry may do.

use std::time::Duration;

/// A message's identifier, as its host gives it.
pub type MessageId = u64;
/// A destination's number, as its host gives it.
pub type DestinationId = u64;

/// What a second execution of a message would do at its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatSafety {
    /// It may be executed again without harm.
    Idempotent,
    /// It carries an idempotency key by which its destination recognises a retry.
    Deduplicated {
        /// How long the key is remembered, counted from the first attempt that may have been executed.
        window: Duration,
        /// Whether the key is known only to the endpoints of the zone that saw it first.
        per_zone: bool,
    },
    /// It must never be executed twice.
    AtMostOnce,
}

/// How a message's value falls once its soft deadline has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueDecay {
    /// Evenly, until the deadline.
    Linear,
    /// By half with each further soft deadline's time.
    Halving,
}

/// A service class: what a message of it is worth, and until when.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceClass {
    /// What a second execution would do.
    pub repeat_safety: RepeatSafety,
    /// Delivered at this age or earlier, a message has its full value.
    pub soft_deadline: Duration,
    /// At this age a message is given up.
    pub deadline: Duration,
    /// The value of a message delivered before its soft deadline.
    pub value: f64,
    /// The share of the value that is left at the deadline.
    pub late_value_share: f64,
    /// How the value falls between the two deadlines.
    pub decay: ValueDecay,
    /// Whether messages with the same ordering key are delivered one at a time, in order.
    pub ordered: bool,
}

/// The least span over which a linear decay runs, in seconds.
const LEAST_DECAY_SPAN: f64 = 0.001;

impl ServiceClass {
    /// The share of the value that is left when a message is delivered at `age`.
    ///
    /// ```
    /// use quillhub::{RepeatSafety, ServiceClass, ValueDecay};
    /// use std::time::Duration;
    ///
    /// let linear = ServiceClass {
    ///     repeat_safety: RepeatSafety::Idempotent,
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
        let late = (age - self.soft_deadline).as_secs_f64();
        match self.decay {
            ValueDecay::Halving => {
                0.5f64.powf(late / self.soft_deadline.as_secs_f64()).max(self.late_value_share)
            }
            ValueDecay::Linear => {
                let span = self.deadline.saturating_sub(self.soft_deadline);
                let span = span.as_secs_f64().max(LEAST_DECAY_SPAN);
                1.0 - (1.0 - self.late_value_share) * (late / span).min(1.0)
            }
        }
    }
}

/// A message that a client hands in.
#[derive(Clone, Copy, Debug)]
pub struct NewMessage<'a> {
    /// Its identifier, which no pending message has.
    pub id: MessageId,
    /// The name of its service class.
    pub service_class: &'a str,
    /// Messages with the same key keep their order, where their class asks for it.
    pub ordering_key: Option<u64>,
    /// When it ends at the latest.
    pub deadline: Duration,
    /// The tenant that it belongs to, if any.
    pub tenant: Option<&'a str>,
    /// Where it goes.
    pub destination: DestinationId,
}

/// A message names a service class that the dispatcher was not given; nothing was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown service class")]
pub struct UnknownServiceClass;

/// What is known of a message's attempts before a restart.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecoveredAttempts<'a> {
    /// Attempts made so far.
    pub count: u32,
    /// The first of them that may have been executed.
    pub first_execution: Option<PossibleExecution<'a>>,
}

/// An attempt that may have been executed at its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PossibleExecution<'a> {
    /// When the attempt started.
    pub started: Duration,
    /// The name of its endpoint.
    pub endpoint: &'a str,
}
