//! Attempts to deliver a message, their outcomes, and the load reports in responses.

use crate::ConnectionId;
use crate::MessageId;
use std::time::Duration;

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// The endpoint reported success.
    Delivered,
    /// The endpoint reported an error; the message may have been executed.
    Failed,
    /// The endpoint rejected the message without executing it.
    Rejected {
        /// Delay that the endpoint requests before the next attempt, if any.
        retry_after: Option<Duration>,
    },
    /// The response is a rejection but not well-formed, so the message may have been executed.
    AmbiguousRejection {
        /// Delay that the endpoint requests before the next attempt, if any.
        retry_after: Option<Duration>,
    },
    /// No response arrived within the attempt timeout; the message may have been executed.
    TimedOut,
    /// The connection could not be established, or broke before the request was written.
    ConnectFailed,
    /// The connection broke after the request was written; the message may have been executed.
    ConnectionReset,
    /// The attempt was cancelled; the message may have been executed.
    Cancelled,
    /// The host did not send the request.
    NotSent,
    /// The message is over: it was withdrawn or has expired, so that nothing more is to be done for it. It was not executed
    /// by this attempt.
    Over,
    /// The message was not executed, as it has had all its attempts. It is still to get its final outcome.
    AttemptsExhausted,
    /// The endpoint refused the call because it holds as many connections as it allows.
    ConnectionLimit,
}

impl AttemptOutcome {
    /// Returns `true` if the message is known not to have been executed by the attempt.
    pub fn known_not_executed(self) -> bool {
        match self {
            Self::Rejected { .. }
            | Self::ConnectFailed
            | Self::ConnectionLimit
            | Self::NotSent
            | Self::Over
            | Self::AttemptsExhausted => true,
            Self::Delivered
            | Self::Failed
            | Self::AmbiguousRejection { .. }
            | Self::TimedOut
            | Self::ConnectionReset
            | Self::Cancelled => false,
        }
    }
}

/// State of a route's rate limit, as reported in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Share of the rate limit that is left, from 0 to 1.
    pub remaining_share: f64,
    /// Rate limit in calls per second; 0 if the route has none.
    pub rate_limit: f64,
}

/// Result of an attempt, reported through [`Dispatcher::attempt_ended`](crate::Dispatcher::attempt_ended).
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// Message that was attempted.
    pub message: MessageId,
    /// Number of the attempt among those of its message, counted from 0.
    pub attempt: u32,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Time from the start of the attempt to its end.
    pub duration: Duration,
    /// `true` if the message has its final outcome with this attempt.
    pub finished: bool,
    /// Load report in the response, if any.
    pub load_report: Option<LoadReport>,
    /// Connection on which the request was sent; `None` if there was none, or if the host knows by other means which
    /// response belongs to a call.
    pub connection: Option<ConnectionId>,
}
