//! Classification of an attempt's result: the outcome for the dispatcher, and whether the message is finished.

use super::Response;
use quillhub::{AttemptOutcome, ResponseMeaning};
use std::io;

/// System error: the process has no file descriptor left.
const EMFILE: i32 = 24;
/// System error: the system has no file descriptor left.
const ENFILE: i32 = 23;
/// System error: the system has no buffer space left.
const ENOBUFS: i32 = 105;

/// Status of a response which says that the message is over, so that nothing more is to be done for it.
pub const STATUS_OVER: u16 = 410;
/// Status of a response which says that the message has had all its attempts.
const STATUS_ATTEMPTS_EXHAUSTED: u16 = 504;

/// Error of an attempt without a response; tells which part of the request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptError {
    /// This process lacked a resource for the connection, the attempt could not be made, or the request was no longer
    /// permitted or had no time left once the connection was open.
    #[error("the request never left this instance")]
    NotSent,
    /// The connection could not be established, or broke before the last byte of the request was written, or the
    /// attempt timed out before that.
    #[error("the connection could not be established or broke before the request was written")]
    ConnectFailed,
    /// The connection broke after the request was written, or the endpoint sent something that is no response.
    #[error("the connection broke after the request was written, or the response was malformed")]
    ConnectionReset,
    /// No response arrived in time after the request was written.
    #[error("no response arrived within the attempt timeout")]
    TimedOut,
}

impl AttemptError {
    /// Classifies the error of opening a connection: [`AttemptError::NotSent`] if this process lacks a resource,
    /// otherwise [`AttemptError::ConnectFailed`].
    pub fn from_connect_error(error: &io::Error) -> Self {
        use io::ErrorKind::{AddrInUse, AddrNotAvailable, OutOfMemory, PermissionDenied};
        match error.kind() {
            AddrNotAvailable | AddrInUse | OutOfMemory | PermissionDenied => Self::NotSent,
            _ if matches!(error.raw_os_error(), Some(ENFILE | EMFILE | ENOBUFS)) => Self::NotSent,
            _ => Self::ConnectFailed,
        }
    }
}

/// Classified result of an attempt.
#[derive(Debug, PartialEq)]
pub struct ClassifiedResult {
    /// Outcome to report to the dispatcher.
    pub outcome: AttemptOutcome,
    /// `true` if the message has its final outcome with this attempt.
    pub finished: bool,
}

impl ClassifiedResult {
    /// Returns what the response says of the message; for an attempt with a response.
    pub fn meaning(&self) -> ResponseMeaning {
        ResponseMeaning::of(self.outcome)
    }

    /// Classifies the result of an attempt; `load_reports` is `true` if endpoints send load reports in their responses.
    pub fn classify(result: &Result<Response, AttemptError>, load_reports: bool) -> Self {
        let outcome = match result {
            Ok(response) => outcome_of(response, load_reports),
            Err(AttemptError::NotSent) => AttemptOutcome::NotSent,
            Err(AttemptError::ConnectFailed) => AttemptOutcome::ConnectFailed,
            Err(AttemptError::ConnectionReset) => AttemptOutcome::ConnectionReset,
            Err(AttemptError::TimedOut) => AttemptOutcome::TimedOut,
        };
        let finished = matches!(
            result,
            Ok(Response { status: 200, .. } | Response { status: STATUS_OVER, complete: true, .. })
        );
        Self { outcome, finished }
    }
}

/// Returns the outcome that a response stands for.
///
/// If endpoints send load reports, a rejection that has none and answers the first request on a connection is due to a
/// full connection table of the endpoint, not to its rate limit.
///
/// A proxy between the instance and the endpoint responds with 504, 410, or 503 with `X-Egress-Full: 1` if it did not
/// send the message on: 504 since the message has had all its attempts, 410 since it is over (withdrawn or expired), so
/// that nothing more is to be done for it, and 503 since all slots on the way to the endpoint were taken. The statuses 504
/// and 410 forbid a further attempt even if the rest of the response is malformed or missing.
fn outcome_of(response: &Response, load_reports: bool) -> AttemptOutcome {
    let retry_after = response.retry_after;
    match response {
        Response { status: 200, .. } => AttemptOutcome::Delivered,
        Response { status: 503, egress_full: true, complete: true, .. } => AttemptOutcome::NotSent,
        Response {
            status: 503,
            retry_after: None,
            complete: true,
            on_new_connection: true,
            load_report: None,
            ..
        } if load_reports => AttemptOutcome::ConnectionLimit,
        Response { status: 429 | 503, complete: true, .. } => AttemptOutcome::Rejected { retry_after },
        Response { status: 429 | 503, .. } => AttemptOutcome::AmbiguousRejection { retry_after },
        Response { status: STATUS_OVER, .. } => AttemptOutcome::Over,
        Response { status: STATUS_ATTEMPTS_EXHAUSTED, .. } => AttemptOutcome::AttemptsExhausted,
        _ => AttemptOutcome::Failed,
    }
}
