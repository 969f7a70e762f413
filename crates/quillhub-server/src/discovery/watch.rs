//! One watch on discovery: the list if none is known, then the stream of its changes until that ends.
//!
//! Invariant: every wait is bounded, so that a watch always ends after discovery has fallen silent.

use super::entries::{Origin, update_endpoints};
use super::stream::{ValueBoundaries, take_values};
use crate::connection::{ConnectionError, HttpConnection};
use crate::http::{self, Framing};
use crate::instance::Instance;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

pub(super) const PATH: &str = "/registry/instances";
/// A watch sends a line every 2 s; one silent for so long has ended, whatever its connection says.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a request may take from its begin to the end of its response's head: discovery answers at once, and this
/// leaves time for a connection that comes up with its second try, after 1 s. One bound for all of it: a request that
/// is lost as discovery comes back must leave time for the next (docs/discovery-timing.md).
pub(super) const REQUEST_TIMEOUT: Duration = SILENCE_TIMEOUT;
/// How long a list may take from its first byte to its last, if more of it keeps coming: the longest, at 140 KB/s.
const LIST_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes of a line that an instance takes from discovery: the complete list of a large deployment.
pub const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Sends a request to discovery; its response as far as the head, and where its body ends.
pub(super) async fn request(
    at: SocketAddr,
    path: &str,
) -> Result<(HttpConnection, Framing), ConnectionError> {
    let head = async {
        let mut connection = HttpConnection::open(at).await.map_err(ConnectionError::Failed)?;
        let request = http::request("GET", path, &at.to_string(), &[], &[]);
        connection.write(&request).await.map_err(ConnectionError::Failed)?;
        let head = connection.head().await?;
        Ok((connection, head))
    };
    let (mut connection, head) =
        timeout(REQUEST_TIMEOUT, head).await.unwrap_or(Err(ConnectionError::Ended))?;
    tracing::debug!(path, status = head.status, "discovery answered");
    if head.status != 200 {
        return Err(ConnectionError::Malformed);
    }
    connection.set_silence_timeout(SILENCE_TIMEOUT);
    Ok((connection, head.framing()?))
}

/// Watches discovery at `at` from `revision` on, until the watch ends. Where there is none, the complete list is
/// requested first: another discovery may number its changes otherwise.
pub(super) async fn watch(
    instance: &RefCell<Instance>,
    at: SocketAddr,
    revision: &Cell<Option<u64>>,
) -> Result<(), ConnectionError> {
    let heard = instance.borrow().discovery_responded();
    let after = match revision.get() {
        Some(revision) => revision,
        None => {
            request_list(instance, at, revision).await?;
            heard.notify_one();
            revision.get().unwrap_or_default()
        }
    };
    let (connection, framing) = request(at, &format!("{PATH}?watch=1&after={after}")).await?;
    if framing != Framing::Chunked {
        return Err(ConnectionError::Malformed);
    }
    read_changes(instance, connection, revision, &heard).await
}

async fn request_list(
    instance: &RefCell<Instance>,
    at: SocketAddr,
    revision: &Cell<Option<u64>>,
) -> Result<(), ConnectionError> {
    let (mut connection, framing) = request(at, PATH).await?;
    let body = connection.body(framing, MAX_LIST_BYTES);
    let body = timeout(LIST_TIMEOUT, body).await.map_err(|_| ConnectionError::Ended)??;
    let list = serde_json::from_slice(&body).map_err(|_| ConnectionError::Malformed)?;
    update(instance, &list, revision)
}

/// Applies the changes that a watch's response streams, until it ends.
async fn read_changes(
    instance: &RefCell<Instance>,
    mut connection: HttpConnection,
    revision: &Cell<Option<u64>>,
    heard: &Notify,
) -> Result<(), ConnectionError> {
    let mut text = Vec::new();
    let mut boundaries = ValueBoundaries::default();
    let mut began = Instant::now();
    loop {
        let chunk = timeout(LIST_TIMEOUT, connection.chunk(MAX_LIST_BYTES))
            .await
            .map_err(|_| ConnectionError::Ended)??;
        if text.is_empty() {
            began = Instant::now();
        }
        if chunk.is_empty() || text.len() > MAX_LIST_BYTES || began.elapsed() > LIST_TIMEOUT {
            return Err(ConnectionError::Ended);
        }
        text.extend_from_slice(&chunk);
        if boundaries.within(&chunk) {
            for list in take_values(&mut text).map_err(|_| ConnectionError::Malformed)? {
                update(instance, &list, revision)?;
            }
        }
        heard.notify_one();
    }
}

/// Updates the instance's endpoints, and stores the list's revision.
fn update(
    instance: &RefCell<Instance>,
    list: &Value,
    revision: &Cell<Option<u64>>,
) -> Result<(), ConnectionError> {
    let updated = update_endpoints(&mut instance.borrow_mut(), list, Origin::Discovery);
    tracing::debug!(revision = ?updated, "discovery sent an endpoint list");
    revision.set(Some(updated.map_err(|error| {
        tracing::error!(%error, "discovery's endpoint list cannot be read");
        ConnectionError::Malformed
    })?));
    Ok(())
}
