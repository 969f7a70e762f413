//! Sends final outcomes to the platform, oldest first; each is sent until the platform has confirmed it.

use crate::connection::{ConnectionError, HttpConnection};
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

const PATH: &str = "/v2/finals";
/// Outcomes in one request: some kilobytes.
const MAX_OUTCOMES: usize = 64;
/// The platform responds at once; a request without a response for so long is given up and made again, on a new
/// connection: an outcome has to be there 300 ms after its message's deadline, also over a connection that has fallen
/// silent.
const TIMEOUT: Duration = Duration::from_millis(100);
/// Up to which that doubles with each request in a row that gets none, for a platform that has become slow.
const MAX_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a request that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Octets of the response's body.
const MAX_BODY: usize = 64 * 1024;
/// All outcomes of the request are confirmed.
const CONFIRMED: u16 = 204;
/// One of the request's outcomes cannot be read.
const UNREADABLE: u16 = 400;

/// The platform's response.
struct Reply {
    status: u16,
    /// The connection, if it may be used again.
    reusable: Option<HttpConnection>,
}

/// The line that tells the platform of one outcome.
fn line(outcome: &FinalOutcome) -> String {
    let reference = serde_json::Value::from(String::from_utf8_lossy(&outcome.client_id));
    match outcome.result {
        FinalResult::Rejected { retry_after: Some(wait) } => {
            format!("{{\"ref\":{reference},\"result\":\"bounced\",\"wait_ms\":{}}}\n", wait.as_millis())
        }
        FinalResult::Rejected { retry_after: None } => {
            format!("{{\"ref\":{reference},\"result\":\"bounced\"}}\n")
        }
        FinalResult::Abandoned => format!("{{\"ref\":{reference},\"result\":\"dead\"}}\n"),
    }
}

/// Makes one request.
async fn post(
    connection: Option<HttpConnection>,
    address: SocketAddr,
    body: &[u8],
) -> Result<Reply, ConnectionError> {
    let mut connection = match connection.filter(HttpConnection::is_idle) {
        Some(connection) => connection,
        None => HttpConnection::open(address).await.map_err(ConnectionError::Failed)?,
    };
    let headers = [("Content-Type", &b"application/x-ndjson"[..])];
    let request = http::request("POST", PATH, &address.to_string(), &headers, body);
    connection.write(&request).await.map_err(ConnectionError::Failed)?;
    let head = connection.head().await?;
    connection.body(head.framing()?, MAX_BODY).await?;
    Ok(Reply { status: head.status, reusable: head.keeps_alive().then_some(connection) })
}

/// The outcomes of one request.
struct Batch {
    count: usize,
    /// A line for each.
    body: String,
}

/// What stays from one request to the platform to the next.
struct Sender {
    instance: Rc<RefCell<Instance>>,
    connection: Option<HttpConnection>,
    /// Where the last request went.
    address: SocketAddr,
    /// Outcomes in the next request.
    max_outcomes: usize,
    timeout: Duration,
}

impl Sender {
    /// The outcomes of the next request.
    fn next_batch(&self) -> Batch {
        let instance = self.instance.borrow();
        let lines: Vec<_> = instance.unconfirmed_outcomes().take(self.max_outcomes).map(line).collect();
        Batch { count: lines.len(), body: lines.concat() }
    }

    /// A connection to `address`, if there is one.
    fn take_connection(&mut self, address: SocketAddr) -> Option<HttpConnection> {
        let same_address = address == std::mem::replace(&mut self.address, address);
        self.connection.take().filter(|_| same_address)
    }

    /// The request of a batch has ended.
    async fn request_ended(&mut self, batch: &Batch, end: Result<Result<Reply, ConnectionError>, Elapsed>) {
        let Batch { count, ref body } = *batch;
        self.timeout = if end.is_ok() { TIMEOUT } else { (self.timeout * 2).min(MAX_TIMEOUT) };
        match end {
            Ok(Ok(Reply { status: CONFIRMED, reusable })) => {
                self.instance.borrow_mut().outcomes_confirmed(count);
                (self.connection, self.max_outcomes) = (reusable, MAX_OUTCOMES);
            }
            // One that cannot be read would hold up all others for ever: it is found by itself and given up.
            Ok(Ok(Reply { status: UNREADABLE, .. })) if self.max_outcomes == 1 => {
                tracing::error!(body, "platform cannot read this final outcome, which is dropped");
                self.instance.borrow_mut().outcomes_confirmed(count);
            }
            Ok(Ok(Reply { status, .. })) => {
                tracing::warn!(status, count, "platform did not confirm final outcomes");
                self.max_outcomes = if status == UNREADABLE { 1 } else { MAX_OUTCOMES };
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

/// Sends outcomes without end. Once the platform is elsewhere, a request that is out is made again there: one that
/// the old address has not confirmed may never have been read.
pub async fn flush(instance: Rc<RefCell<Instance>>, mut platform: watch::Receiver<SocketAddr>) {
    let decided = instance.borrow().outcome_decided();
    let address = *platform.borrow();
    let mut sender =
        Sender { instance, connection: None, address, max_outcomes: MAX_OUTCOMES, timeout: TIMEOUT };
    loop {
        let batch = sender.next_batch();
        if batch.count == 0 {
            decided.notified().await;
            continue;
        }
        let address = *platform.borrow_and_update();
        let connection = sender.take_connection(address);
        tokio::select! {
            end = timeout(sender.timeout, post(connection, address, batch.body.as_bytes())) => {
                sender.request_ended(&batch, end).await;
            }
            Ok(()) = platform.changed() => sender.max_outcomes = MAX_OUTCOMES,
        }
    }
}

#[cfg(test)]
#[path = "outcomes_tests.rs"]
mod tests;
