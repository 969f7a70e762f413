//! A response to a delivery: its status, and what its headers tell.

use crate::connection::HttpConnection;
use crate::http;
use quillhub::LoadReport;
use std::time::Duration;

/// Octets of a response's body: it means nothing, and is only read so that the connection can be reused.
const MAX_BODY: usize = 64 * 1024;
/// Requests a second beyond which a reported limit cannot be one.
const MAX_RATE: f64 = 1e6;

/// How long the endpoint asks to wait, in milliseconds.
const RETRY_AFTER: &str = "x-backoff-ms";
/// Set to 1 by what stands between the instance and the endpoint, if it did not pass the request on.
const EGRESS_FULL: &str = "x-egress-full";
/// The endpoint's load report.
const LOAD_REPORT: &str = "x-load";

/// A response, as far as it came.
#[derive(Debug)]
pub struct Response {
    /// The status of its first line.
    pub status: u16,
    /// Whether all of it came, framed to the letter, and nothing behind it but a duplicate: only then a status proves
    /// that the message was not executed.
    pub complete: bool,
    /// From the attempt's start to the response's first line.
    pub latency: Duration,
    /// How long the endpoint asks to wait.
    pub retry_after: Option<Duration>,
    /// Whether the request was not passed on to the endpoint, as all slots of the way there were taken.
    pub egress_full: bool,
    /// Whether the connection was opened for this attempt.
    pub on_new_connection: bool,
    /// The load report, if there is one that can be read.
    pub load_report: Option<LoadReport>,
}

impl Response {
    /// A response of which only the first line was read.
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

    /// Reads what follows the first line; true if the connection may be used again. What was learned by then stays
    /// if this never ends.
    pub async fn read_rest(&mut self, connection: &mut HttpConnection) -> bool {
        let Ok(head) = connection.head().await else { return false };
        self.read_headers(&head);
        let Ok(framing) = head.framing() else { return false };
        if connection.body(framing, MAX_BODY).await.is_err() {
            return false;
        }
        self.complete = connection.has_no_surplus() || connection.surplus_is_response();
        self.complete && framing != http::Framing::ToEnd && head.keeps_alive() && connection.is_idle()
    }

    fn read_headers(&mut self, head: &http::Head) {
        let retry_after = head.header(RETRY_AFTER).and_then(|millis| millis.trim().parse::<f64>().ok());
        let retry_after = retry_after.and_then(|millis| Duration::try_from_secs_f64(millis / 1e3).ok());
        self.retry_after = retry_after.filter(|wait| !wait.is_zero());
        self.egress_full = head.header(EGRESS_FULL).is_some_and(|full| full.trim() == "1");
        self.load_report = head.header(LOAD_REPORT).and_then(load_report);
    }
}

/// The share of the limit that is left and the limit, from a report like `x0=0.4,x1=25`.
pub fn load_report(text: &str) -> Option<LoadReport> {
    let value = |name| {
        let pair = text.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='));
        pair?.trim().parse().ok().filter(|value: &f64| value.is_finite())
    };
    let (remaining_share, rate_limit) = (value("x0")?, value("x1")?);
    let plausible = (0.0..=1.0).contains(&remaining_share) && (0.0..=MAX_RATE).contains(&rate_limit);
    plausible.then_some(LoadReport { remaining_share, rate_limit })
}
