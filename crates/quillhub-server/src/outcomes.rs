//! Reports the final outcomes of undelivered messages to the platform, oldest first, and repeats each report until the
//! platform confirms it or reports that it cannot read it.
//!
//! Invariant: each unconfirmed outcome is in the instance's queue or in exactly one [`Report`], which returns it to the queue
//! if it ends otherwise.

use crate::connection::{ConnectionError, HttpConnection, UnexpectedInput};
use crate::http;
use crate::instance::{FinalOutcome, Instance};
use crate::wal::FinalResult;
use quillhub::{
    FAILURE_PAUSE, MAX_OUTCOMES_PER_REPORT, MAX_REPORTS, MAX_REQUESTS_PER_REPORT, ReportSchedule,
};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep, sleep_until};

/// Path at which the platform accepts final outcomes.
const OUTCOMES_PATH: &str = "/v2/finals";
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
async fn post(address: SocketAddr, body: Rc<[u8]>) -> Result<u16, ConnectionError> {
    let mut connection = HttpConnection::open(address).await.map_err(ConnectionError::Failed)?;
    let headers = [("Content-Type", &b"application/x-ndjson"[..])];
    let request = http::request("POST", OUTCOMES_PATH, &address.to_string(), &headers, &body);
    connection.write(&request).await.map_err(ConnectionError::Failed)?;
    let head = connection.head().await?;
    connection.body(head.framing()?, MAX_RESPONSE_BODY_BYTES).await?;
    // Prevents a malformed response from dropping an outcome. A confirmation stands whatever follows it.
    if head.status == STATUS_UNREADABLE && connection.unexpected_input() == UnexpectedInput::Bytes {
        return Err(ConnectionError::Malformed);
    }
    Ok(head.status)
}

/// Final answer of the platform to a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Confirmed,
    /// One of the outcomes cannot be read.
    Unreadable,
}

/// Open requests of a report, oldest first.
struct Requests {
    body: Rc<[u8]>,
    open: JoinSet<Result<u16, ConnectionError>>,
    handles: VecDeque<AbortHandle>,
}

impl Requests {
    fn new(body: Rc<[u8]>) -> Self {
        Self { body, open: JoinSet::new(), handles: VecDeque::new() }
    }

    /// Sends one more request, in place of the oldest one if too many are open.
    fn send(&mut self, address: SocketAddr) {
        self.handles.retain(|handle| !handle.is_finished());
        if self.handles.len() >= MAX_REQUESTS_PER_REPORT {
            self.handles.pop_front().iter().for_each(AbortHandle::abort);
        }
        self.handles.push_back(self.open.spawn_local(post(address, self.body.clone())));
    }

    /// Waits for the end of a request, and returns the answer if it is final. Never returns if none is open.
    async fn next_end(&mut self) -> Option<Answer> {
        match self.open.join_next().await {
            None => std::future::pending().await,
            Some(Ok(Ok(STATUS_CONFIRMED))) => Some(Answer::Confirmed),
            Some(Ok(Ok(STATUS_UNREADABLE))) => Some(Answer::Unreadable),
            Some(Ok(Ok(status))) => {
                tracing::warn!(status, "platform did not confirm final outcomes");
                None
            }
            Some(Ok(Err(error))) => {
                tracing::debug!(%error, "final outcomes could not be sent");
                None
            }
            // Given up, or panicked.
            Some(Err(_)) => None,
        }
    }
}

/// Sends a report until the platform gives a final answer, and returns that.
///
/// If the address of the platform changes, the report is repeated at the new address, since it may never have been read at
/// the old one.
async fn send_until_answered(body: Rc<[u8]>, platform: &mut watch::Receiver<SocketAddr>) -> Answer {
    let mut requests = Requests::new(body.clone());
    let mut schedule = ReportSchedule::new();
    let mut next = Instant::now();
    loop {
        if Instant::now() >= next {
            requests.send(*platform.borrow_and_update());
            next = Instant::now() + schedule.next_delay();
        }
        tokio::select! {
            answer = requests.next_end() => {
                if let Some(answer) = answer {
                    return answer;
                }
            }
            Ok(()) = platform.changed() => {
                requests = Requests::new(body.clone());
                schedule = ReportSchedule::new();
                next = Instant::now();
            }
            () = sleep_until(next) => tracing::debug!("final outcomes are not confirmed and are sent again"),
        }
        if requests.open.is_empty() {
            next = next.min(Instant::now() + FAILURE_PAUSE);
        }
    }
}

/// Outcomes that are reported together.
struct Report {
    instance: Rc<RefCell<Instance>>,
    outcomes: Vec<FinalOutcome>,
}

impl Report {
    /// Takes outcomes from the queue; `None` if there are none.
    fn take(instance: &Rc<RefCell<Instance>>) -> Option<Self> {
        let outcomes = instance.borrow_mut().take_unreported_outcomes(MAX_OUTCOMES_PER_REPORT);
        (!outcomes.is_empty()).then(|| Self { instance: instance.clone(), outcomes })
    }

    /// Reports the outcomes until each is confirmed or found to be unreadable.
    ///
    /// An unreadable outcome would block all others forever. It is searched for by halves, and dropped once the platform has
    /// refused two requests that contained it, the last one alone.
    async fn send(mut self, mut platform: watch::Receiver<SocketAddr>) {
        let mut count = self.outcomes.len();
        let mut was_refused = false;
        while !self.outcomes.is_empty() {
            count = count.min(self.outcomes.len());
            let body: String = self.outcomes[..count].iter().map(json_line).collect();
            match send_until_answered(body.as_bytes().into(), &mut platform).await {
                Answer::Unreadable if count > 1 || !was_refused => {
                    count = count.div_ceil(2);
                    was_refused = true;
                    sleep(FAILURE_PAUSE).await;
                    continue;
                }
                Answer::Unreadable => {
                    tracing::error!(body, "platform cannot read this final outcome, which is dropped");
                }
                Answer::Confirmed => was_refused = false,
            }
            let answered = self.outcomes.drain(..count).collect();
            self.instance.borrow_mut().outcomes_confirmed(answered);
            count = self.outcomes.len();
        }
    }
}

impl Drop for Report {
    /// Returns the outcomes that are not confirmed to the queue.
    fn drop(&mut self) {
        let outcomes = std::mem::take(&mut self.outcomes);
        if !outcomes.is_empty() {
            self.instance.borrow_mut().return_unreported_outcomes(outcomes);
        }
    }
}

/// Reports the final outcomes of the instance's undelivered messages to the platform. Never returns.
pub async fn send(instance: Rc<RefCell<Instance>>, platform: watch::Receiver<SocketAddr>) {
    let decided = instance.borrow().outcome_decided();
    let mut reports = JoinSet::new();
    loop {
        while reports.len() < MAX_REPORTS {
            let Some(report) = Report::take(&instance) else { break };
            reports.spawn_local(report.send(platform.clone()));
        }
        tokio::select! {
            () = decided.notified() => {}
            Some(_) = reports.join_next() => {}
        }
    }
}

#[cfg(test)]
#[path = "outcomes_tests.rs"]
mod tests;
