//! Final answers on their way to the platform: each is sent until it is confirmed.

use crate::host::{Final, Host};
use crate::http;
use crate::link::{Broken, Link};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

const PATH: &str = "/v2/finals";
/// Answers in one call: some kilobytes.
const MOST: usize = 64;
/// The platform answers at once; a call without an answer for so long is given up and made again, on a new
/// connection: an answer has to be there 300 ms after its notice's time, also over a connection that has fallen silent.
const PATIENCE: Duration = Duration::from_millis(100);
/// Up to which that doubles with each call in a row that gets none, for a platform that has become slow.
const MOST_PATIENCE: Duration = Duration::from_secs(1);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(50);
/// Bytes of the answer's body.
const MOST_BODY: usize = 64 * 1024;

/// The line that tells of one final answer.
fn line(end: &Final) -> String {
    let reference = serde_json::Value::from(String::from_utf8_lossy(&end.reference));
    let result = if end.denied { "bounced" } else { "dead" };
    match end.come_back {
        Some(wait) if end.denied => {
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
    link.body(head.framing()?, MOST_BODY).await?;
    Ok((head.status, head.keeps().then_some(link)))
}

/// Sends what waits, oldest first, as long as the host lives. Once the platform is elsewhere, a call that is
/// out is made again there: one that the old address has not confirmed may never have been read.
pub async fn flush(host: Rc<RefCell<Host>>, mut platform: watch::Receiver<SocketAddr>) {
    let waits = host.borrow().finals_wait.clone();
    let (mut link, mut most, mut to) = (None, MOST, *platform.borrow());
    let mut patience = PATIENCE;
    loop {
        let (count, body) = {
            let host = host.borrow();
            let lines: Vec<_> = host.finals.iter().take(most).map(line).collect();
            (lines.len(), lines.concat())
        };
        if count == 0 {
            waits.notified().await;
            continue;
        }
        let at = *platform.borrow_and_update();
        let ended = tokio::select! {
            ended = timeout(patience, post(link.take().filter(|_| at == to), at, body.as_bytes())) => ended,
            Ok(()) = platform.changed() => {
                most = MOST;
                continue;
            }
        };
        to = at;
        patience = if ended.is_ok() { PATIENCE } else { (patience * 2).min(MOST_PATIENCE) };
        match ended {
            Ok(Ok((204, kept))) => {
                host.borrow_mut().confirmed(count);
                (link, most) = (kept, MOST);
            }
            // One that cannot be read would hold up all others for ever: it is found by itself and given up.
            Ok(Ok((400, _))) if most == 1 => {
                tracing::error!(body, "the platform cannot read this final answer; it is given up");
                host.borrow_mut().confirmed(count);
            }
            Ok(Ok((status, _))) => {
                tracing::warn!(status, count, "final answers were not taken");
                most = if status == 400 { 1 } else { MOST };
                sleep(PAUSE).await;
            }
            Ok(Err(error)) => {
                tracing::debug!(%error, count, "final answers did not get through");
                sleep(PAUSE).await;
            }
            Err(_) => tracing::debug!(count, "no answer to final answers"),
        }
    }
}

#[cfg(test)]
#[path = "finals_tests.rs"]
mod tests;
