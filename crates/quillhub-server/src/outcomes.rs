//! Sends the final outcomes of undelivered messages to the platform, oldest first, and repeats each until the platform
//! confirms it or reports that it cannot read it.

use crate::connection::{ConnectionError, HttpConnection, UnexpectedInput};
use crate::http;
use crate::instance::{FinalOutcome, Instance};
use crate::wal::FinalResult;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::error::Elapsed;
use tokio::time::{sleep, timeout};

/// Path at which the platform accepts final outcomes.
const OUTCOMES_PATH: &str = "/v2/finals";
/// Maximum number of outcomes in one request, which keeps it to a few kilobytes.
const MAX_OUTCOMES_PER_REQUEST: usize = 64;
/// Initial timeout of a request, after which it is repeated on a new connection. The platform responds at once, and an
/// outcome must reach it within 300 ms after the deadline of its message, even if the open connection has broken
/// undetected.
const INITIAL_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum timeout of a request. The timeout doubles with each consecutive request that gets no response, for a
/// platform that has become slow.
const MAX_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a request that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Maximum length of the body of a response.
const MAX_RESPONSE_BODY_BYTES: usize = 64 * 1024;
/// Status of a response that confirms all outcomes of its request.
const STATUS_CONFIRMED: u16 = 204;
/// Status of a response to a request with an outcome that the platform cannot read.
const STATUS_UNREADABLE: u16 = 400;

/// Encodes one outcome as a line of JSON.
fn json_line(outcome: &FinalOutcome) -> String {
    let reference = serde_json::Value::from(String::from_utf8_lossy(&outcome.client_id));
    match outcome.result {
        FinalResult::Rejected { retry_after: Some(delay) } => {
            format!("{{\"ref\":{reference},\"result\":\"bounced\",\"wait_ms\":{}}}\n", delay.as_millis())
        }
        FinalResult::Rejected { retry_after: None } => {
            format!("{{\"ref\":{reference},\"result\":\"bounced\"}}\n")
        }
        FinalResult::Abandoned => format!("{{\"ref\":{reference},\"result\":\"dead\"}}\n"),
    }
}

/// Sends one request with the lines in `body` on a new connection, and returns the status of the response.
///
/// Guards against a late copy of an earlier response, which would confirm outcomes that the platform has not read.
/// Costs a connection for each request.
async fn post(address: SocketAddr, body: &[u8]) -> Result<u16, ConnectionError> {
    let mut connection = HttpConnection::open(address).await.map_err(ConnectionError::Failed)?;
    let headers = [("Content-Type", &b"application/x-ndjson"[..])];
    let request = http::request("POST", OUTCOMES_PATH, &address.to_string(), &headers, body);
    connection.write(&request).await.map_err(ConnectionError::Failed)?;
    let head = connection.head().await?;
    connection.body(head.framing()?, MAX_RESPONSE_BODY_BYTES).await?;
    // Prevents a malformed response from dropping an outcome. A confirmation stands whatever follows it.
    if head.status == STATUS_UNREADABLE && connection.unexpected_input() == UnexpectedInput::Bytes {
        return Err(ConnectionError::Malformed);
    }
    Ok(head.status)
}

/// Outcomes of one request.
struct Batch {
    /// Number of outcomes.
    count: usize,
    /// Lines of JSON, one for each outcome.
    body: String,
}

/// State that is kept between requests to the platform.
struct Sender {
    instance: Rc<RefCell<Instance>>,
    /// Maximum number of outcomes in the next request; 1 while the sender searches for an unreadable one.
    max_outcomes: usize,
    /// Timeout of the next request.
    timeout: Duration,
}

impl Sender {
    /// Returns the outcomes for the next request; empty if all are confirmed.
    fn next_batch(&self) -> Batch {
        let instance = self.instance.borrow();
        let lines: Vec<_> = instance.unconfirmed_outcomes().take(self.max_outcomes).map(json_line).collect();
        Batch { count: lines.len(), body: lines.concat() }
    }

    /// Handles the end of a batch's request: marks its outcomes as confirmed, or prepares the repetition.
    async fn request_ended(&mut self, batch: &Batch, end: Result<Result<u16, ConnectionError>, Elapsed>) {
        let Batch { count, ref body } = *batch;
        self.timeout = if end.is_ok() { INITIAL_TIMEOUT } else { (self.timeout * 2).min(MAX_TIMEOUT) };
        match end {
            Ok(Ok(STATUS_CONFIRMED)) => {
                self.instance.borrow_mut().outcomes_confirmed(count);
                self.max_outcomes = MAX_OUTCOMES_PER_REQUEST;
            }
            // An unreadable outcome would block all others forever. A request with only this outcome identifies it, and
            // it is dropped.
            Ok(Ok(STATUS_UNREADABLE)) if self.max_outcomes == 1 => {
                tracing::error!(body, "platform cannot read this final outcome, which is dropped");
                self.instance.borrow_mut().outcomes_confirmed(count);
            }
            Ok(Ok(status)) => {
                tracing::warn!(status, count, "platform did not confirm final outcomes");
                self.max_outcomes = if status == STATUS_UNREADABLE { 1 } else { MAX_OUTCOMES_PER_REQUEST };
                sleep(RETRY_PAUSE).await;
            }
            Ok(Err(error)) => {
                tracing::debug!(%error, count, "final outcomes could not be sent");
                sleep(RETRY_PAUSE).await;
            }
            Err(Elapsed { .. }) => tracing::debug!(count, "no response to final outcomes"),
        }
    }
}

/// Sends the final outcomes of the instance's undelivered messages to the platform. Never returns.
///
/// If the address of the platform changes during a request, the request is repeated at the new address, since its
/// outcomes may never have been read at the old one.
pub async fn send(instance: Rc<RefCell<Instance>>, mut platform: watch::Receiver<SocketAddr>) {
    let decided = instance.borrow().outcome_decided();
    let mut sender = Sender { instance, max_outcomes: MAX_OUTCOMES_PER_REQUEST, timeout: INITIAL_TIMEOUT };
    loop {
        let batch = sender.next_batch();
        if batch.count == 0 {
            decided.notified().await;
            continue;
        }
        sender.instance.borrow_mut().outcomes_sent(batch.count);
        let address = *platform.borrow_and_update();
        tokio::select! {
            end = timeout(sender.timeout, post(address, batch.body.as_bytes())) => {
                sender.request_ended(&batch, end).await;
            }
            Ok(()) = platform.changed() => sender.max_outcomes = MAX_OUTCOMES_PER_REQUEST,
        }
    }
}

#[cfg(test)]
#[path = "outcomes_tests.rs"]
mod tests;
