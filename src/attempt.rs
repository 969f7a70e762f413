//! Attempts: one call each made to deliver a message, and how it ended.

use crate::MessageId;
use std::time::Duration;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// The endpoint did what was asked.
    Delivered,
    /// The endpoint answered with an error; the message may have been executed.
    Failed,
    /// The endpoint turned the message away unexecuted.
    Rejected {
        /// How long the endpoint asks to wait, if it does.
        retry_after: Option<Duration>,
    },
    /// The same, by a response that is not well-formed: the message may have been executed.
    AmbiguousRejection {
        /// How long the endpoint asks to wait, if it does.
        retry_after: Option<Duration>,
    },
    /// No response came within the attempt timeout.
    TimedOut,
    /// The connection did not come up, or broke before the request was written.
    ConnectFailed,
    /// The connection broke after the request was written.
    ConnectionReset,
    /// The attempt was called off.
    Cancelled,
    /// The request never left this instance.
    NotSent,
    /// Turned away on a new connection, as one more than the endpoint holds.
    ConnectionLimit,
}

impl AttemptOutcome {
    /// True if the message is known not to have been executed.
    pub fn never_executed(self) -> bool {
        matches!(self, Self::Rejected { .. } | Self::ConnectFailed | Self::ConnectionLimit | Self::NotSent)
    }
}

/// What a response tells of its route's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// The share of the limit that is left, from 0 to 1.
    pub remaining_share: f64,
    /// The limit in calls a second; 0 if there is none.
    pub rate_limit: f64,
}

/// The end of an attempt, as its host tells it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The message.
    pub message: MessageId,
    /// The attempt's number, counted from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// How long it took.
    pub duration: Duration,
    /// Whether the message has its final outcome by it.
    pub finished: bool,
    /// The endpoint's load report, if it gave one.
    pub load_report: Option<LoadReport>,
}
