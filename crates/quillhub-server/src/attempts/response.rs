//! Response to a delivery request: its status, and the values of the headers that matter to the dispatcher.

use super::ConnectionState;
use crate::connection::{HttpConnection, UnexpectedInput};
use crate::http;
use quillhub::LoadReport;
use std::time::Duration;

/// Maximum size of a response's body. The content is ignored; it is only read so that the connection can be reused.
const MAX_RESPONSE_BODY_BYTES: usize = 64 * 1024;
/// Maximum plausible rate limit in a load report, in requests per second; a report with a higher one is ignored.
const MAX_RATE_PER_S: f64 = 1e6;

/// Name of the header with the delay that the endpoint requests before the next attempt, in milliseconds.
const RETRY_AFTER_HEADER: &str = "x-backoff-ms";
/// Name of the header that a proxy between the instance and the endpoint sets to 1 if it did not send the message on
/// because all slots on the way to the endpoint were taken.
const EGRESS_FULL_HEADER: &str = "x-egress-full";
/// Name of the header with the load report of the endpoint.
const LOAD_REPORT_HEADER: &str = "x-load";

/// Response, as far as it could be read.
#[derive(Debug)]
pub struct Response {
    /// Status code in the status line.
    pub status: u16,
    /// `true` if the whole response was read, its framing is valid, and nothing that was received by then follows it.
    /// Only then, and if nothing follows it later, a status proves that the message was not executed.
    pub complete: bool,
    /// Time from the start of the attempt until the status line was read.
    pub latency: Duration,
    /// Delay that the endpoint requests before the next attempt, if any.
    pub retry_after: Option<Duration>,
    /// `true` if a proxy did not send the message on because all slots on the way to the endpoint were taken.
    pub egress_full: bool,
    /// `true` if the connection was opened for this attempt.
    pub on_new_connection: bool,
    /// Load report, if there is a valid one.
    pub load_report: Option<LoadReport>,
}

impl Response {
    /// Creates a response of which only the status line was read.
    pub fn with_status(status: u16, latency: Duration, on_new_connection: bool) -> Self {
        Self {
            status,
            complete: false,
            latency,
            retry_after: None,
            egress_full: false,
            on_new_connection,
            load_report: None,
        }
    }

    /// Reads the headers and the body, and returns the state of the connection. If the future is dropped before it
    /// completes, the values of the headers read by then are kept.
    pub async fn read_rest(&mut self, connection: &mut HttpConnection) -> ConnectionState {
        let Ok(head) = connection.head().await else { return ConnectionState::Malformed };
        self.read_headers(&head);
        let Ok(framing) = head.framing() else { return ConnectionState::Malformed };
        if connection.body(framing, MAX_RESPONSE_BODY_BYTES).await.is_err() {
            return ConnectionState::Malformed;
        }
        if framing == http::Framing::ToEnd {
            self.complete = true;
            return ConnectionState::Ended;
        }
        let state = match connection.unexpected_input() {
            UnexpectedInput::Bytes => ConnectionState::Surplus,
            UnexpectedInput::End => ConnectionState::Ended,
            UnexpectedInput::Failed => ConnectionState::Closed,
            UnexpectedInput::None if head.keeps_alive() => ConnectionState::Reusable,
            UnexpectedInput::None => ConnectionState::Closing,
        };
        self.complete = state != ConnectionState::Surplus;
        state
    }

    fn read_headers(&mut self, head: &http::Head) {
        self.retry_after = retry_after(head);
        self.egress_full = head.header(EGRESS_FULL_HEADER).is_some_and(|full| full.trim() == "1");
        self.load_report = head.header(LOAD_REPORT_HEADER).and_then(parse_load_report);
    }
}

/// Returns the delay in a response's head that the endpoint requests before the next attempt, if any.
pub fn retry_after(head: &http::Head) -> Option<Duration> {
    let millis = head.header(RETRY_AFTER_HEADER)?.trim().parse::<f64>().ok()?;
    let retry_after = Duration::try_from_secs_f64(millis / 1e3).ok()?;
    (!retry_after.is_zero()).then_some(retry_after)
}

/// Parses a load report such as `x0=0.4,x1=25`, where `x0` is the share of the rate limit that is left and `x1` the
/// limit. Returns `None` if a value is missing, malformed or implausible.
pub(super) fn parse_load_report(text: &str) -> Option<LoadReport> {
    let value = |name| {
        let pair = text.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='));
        pair?.trim().parse().ok().filter(|value: &f64| value.is_finite())
    };
    let (remaining_share, rate_limit) = (value("x0")?, value("x1")?);
    let plausible = (0.0..=1.0).contains(&remaining_share) && (0.0..=MAX_RATE_PER_S).contains(&rate_limit);
    plausible.then_some(LoadReport { remaining_share, rate_limit })
}
