//! FinalOutcome answers on their way to the platform: each is sent until it is confirmed.

use crate::http;
use crate::instance::{FinalOutcome, Instance};
use crate::link::{Broken, Link};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

const PATH: &str = "/v2/finals";
/// Answers in one call: some kilobytes.
const MAX_LINES: usize = 64;
/// The platform answers at once; a call without an answer for so long is given up and made again, on a new
/// connection: an answer has to be there 300 ms after its notice's time, also over a connection that has fallen silent.
const TIMEOUT: Duration = Duration::from_millis(100);
/// Up to which that doubles with each call in a row that gets none, for a platform that has become slow.
const MAX_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Bytes of the answer's body.
const MAX_BODY: usize = 64 * 1024;

/// The line that tells of one final answer.
fn line(end: &FinalOutcome) -> String {
    let reference = serde_json::Value::from(String::from_utf8_lossy(&end.client_id));
    let result = if end.rejected { "bounced" } else { "dead" };
    match end.retry_after {
        Some(wait) if end.rejected => {
            format!("{{\"ref\":{reference},\"result\":\"{result}\",\"wait_ms\":{}}}\n", wait.as_millis())
        }
        _ => format!("{{\"ref\":{reference},\"result\":\"{result}\"}}\n"),
    }
}

/// One call; its status, and the link if it may be used again.
async fn post(link: Option<Link>, at: SocketAddr, body: &[u8]) -> Result<(u16, Option<Link>), Broken> {
    let mut link = match link.filter(Link::quiet) {
        Some(link) => link,
        None => Link::open(at).await.map_err(Broken::Failed)?,
    };
    let headers = [("Content-Type", &b"application/x-ndjson"[..])];
    let request = http::request("POST", PATH, &at.to_string(), &headers, body);
    link.write(&request).await.map_err(Broken::Failed)?;
    let head = link.head().await?;
    link.body(head.framing()?, MAX_BODY).await?;
    Ok((head.status, head.keeps().then_some(link)))
}

/// Sends what waits, oldest first, as long as the instance lives. Once the platform is elsewhere, a call that is
/// out is made again there: one that the old address has not confirmed may never have been read.
pub async fn flush(instance: Rc<RefCell<Instance>>, mut platform: watch::Receiver<SocketAddr>) {
    let waits = instance.borrow().outcome_waits.clone();
    let (mut link, mut max_lines, mut last_address) = (None, MAX_LINES, *platform.borrow());
    let mut call_timeout = TIMEOUT;
    loop {
        let (count, body) = {
            let instance = instance.borrow();
            let lines: Vec<_> = instance.outcomes.iter().take(max_lines).map(line).collect();
            (lines.len(), lines.concat())
        };
        if count == 0 {
            waits.notified().await;
            continue;
        }
        let at = *platform.borrow_and_update();
        let ended = tokio::select! {
            ended = timeout(call_timeout, post(link.take().filter(|_| at == last_address), at, body.as_bytes())) => ended,
            Ok(()) = platform.changed() => {
                max_lines = MAX_LINES;
                continue;
            }
        };
        last_address = at;
        call_timeout = if ended.is_ok() { TIMEOUT } else { (call_timeout * 2).min(MAX_TIMEOUT) };
        match ended {
            Ok(Ok((204, kept))) => {
                instance.borrow_mut().outcomes_confirmed(count);
                (link, max_lines) = (kept, MAX_LINES);
            }
            // One that cannot be read would hold up all others for ever: it is found by itself and given up.
            Ok(Ok((400, _))) if max_lines == 1 => {
                tracing::error!(body, "the platform cannot read this final answer; it is given up");
                instance.borrow_mut().outcomes_confirmed(count);
            }
            Ok(Ok((status, _))) => {
                tracing::warn!(status, count, "final answers were not taken");
                max_lines = if status == 400 { 1 } else { MAX_LINES };
                sleep(RETRY_PAUSE).await;
            }
            Ok(Err(error)) => {
                tracing::debug!(%error, count, "final answers did not get through");
                sleep(RETRY_PAUSE).await;
            }
            Err(_) => tracing::debug!(count, "no answer to final answers"),
        }
    }
}

#[cfg(test)]
#[path = "outcomes_tests.rs"]
mod tests;
