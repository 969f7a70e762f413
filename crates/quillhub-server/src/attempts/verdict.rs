//! What the end of an attempt means for its message.

use super::Response;
use quillhub::AttemptOutcome;
use std::io;

/// The process has no descriptor left.
const EMFILE: i32 = 24;
/// The system has no descriptor left.
const ENFILE: i32 = 23;
/// The system has no buffer left.
const ENOBUFS: i32 = 105;

/// How far a request came that got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No descriptor or address was free in this process, or the attempt was called off at the last moment.
    #[error("the request never left this instance")]
    NotSent,
    /// The connection did not come up, or broke before the request's last octet was out.
    #[error("no connection stood until the request was out")]
    ConnectFailed,
    /// It broke after that, or what came was no response.
    #[error("the connection broke after the request was out, or brought no response")]
    ConnectionReset,
    /// Nothing came in time after that.
    #[error("no response came in time")]
    TimedOut,
}

impl CallError {
    /// Why a connection did not open: for lack of something in this process, or otherwise by its endpoint.
    pub fn of_connect(error: &io::Error) -> Self {
        use io::ErrorKind::{AddrInUse, AddrNotAvailable, OutOfMemory, PermissionDenied};
        match error.kind() {
            AddrNotAvailable | AddrInUse | OutOfMemory | PermissionDenied => Self::NotSent,
            _ if matches!(error.raw_os_error(), Some(ENFILE | EMFILE | ENOBUFS)) => Self::NotSent,
            _ => Self::ConnectFailed,
        }
    }
}

/// What an attempt's end means.
#[derive(Debug, PartialEq)]
pub struct Verdict {
    /// The outcome, in the dispatcher's terms.
    pub outcome: AttemptOutcome,
    /// Whether the message is finished by it.
    pub finished: bool,
}

impl Verdict {
    /// Judges the end of an attempt; `load_reports` says whether responses hold load reports.
    pub fn of(result: &Result<Response, CallError>, load_reports: bool) -> Self {
        let outcome = match result {
            Ok(response) => outcome_of(response, load_reports),
            Err(CallError::NotSent) => AttemptOutcome::NotSent,
            Err(CallError::ConnectFailed) => AttemptOutcome::ConnectFailed,
            Err(CallError::ConnectionReset) => AttemptOutcome::ConnectionReset,
            Err(CallError::TimedOut) => AttemptOutcome::TimedOut,
        };
        let finished =
            matches!(result, Ok(Response { status: 200, .. } | Response { status: 410, complete: true, .. }));
        Self { outcome, finished }
    }
}

/// What a response means. Where responses hold load reports, a rejection without one, to the first request of a
/// connection, comes from the endpoint's connection table and not from its rate limit.
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
        Response { status: 504 | 410, complete: false, .. } => AttemptOutcome::ConnectionReset,
        Response { status: 504 | 410, .. } => AttemptOutcome::NotSent,
        _ => AttemptOutcome::Failed,
    }
}
