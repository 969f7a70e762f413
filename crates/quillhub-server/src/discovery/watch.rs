//! One watch on discovery: requests the complete list if no revision is known, then reads the stream of changes until
//! it ends.
//!
//! Invariant: every wait is bounded, so that a watch always ends after discovery stops sending.

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

/// Path of the endpoint list and of the watch.
pub(super) const REGISTRY_PATH: &str = "/registry/instances";
/// Time without input after which a watch counts as ended, even if its connection is still open. Discovery sends a line
/// every 2 s.
pub(super) const READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time limit of a request from opening the connection to the end of the response's head. Discovery responds at once,
/// and the limit leaves time for a connection that is established by the first retransmission of its SYN, after 1 s.
/// Connection and head share one limit, since a request that is lost while discovery returns must leave time for the
/// next one (docs/discovery-timing.md).
pub(super) const REQUEST_TIMEOUT: Duration = READ_TIMEOUT;
/// Time limit for a list from its first byte to its last, while more of it keeps arriving: enough for the longest list
/// at 140 KB/s.
const LIST_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum length of a list from discovery, in any number of lines: enough for the complete list of a large deployment.
pub const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Sends a request to discovery and reads the head of the response; returns the connection and the framing of the body.
///
/// # Errors
///
/// Returns an error if no head arrives within [`REQUEST_TIMEOUT`], or one with a status other than 200.
pub(super) async fn request(
    address: SocketAddr,
    path: &str,
) -> Result<(HttpConnection, Framing), ConnectionError> {
    let head = async {
        let mut connection = HttpConnection::open(address).await.map_err(ConnectionError::Failed)?;
        let request = http::request("GET", path, &address.to_string(), &[], &[]);
        connection.write(&request).await.map_err(ConnectionError::Failed)?;
        let head = connection.head().await?;
        Ok((connection, head))
    };
    let (mut connection, head) =
        timeout(REQUEST_TIMEOUT, head).await.unwrap_or(Err(ConnectionError::Ended))?;
    tracing::debug!(path, status = head.status, "discovery responded");
    if head.status != 200 {
        return Err(ConnectionError::Malformed);
    }
    connection.set_read_timeout(READ_TIMEOUT);
    Ok((connection, head.framing()?))
}

/// Watches discovery at `address` for changes after `revision`, until the watch ends.
///
/// Without a revision, the complete list is requested first: discovery at a new address may number its lists
/// differently.
pub(super) async fn watch(
    instance: &RefCell<Instance>,
    address: SocketAddr,
    revision: &Cell<Option<u64>>,
) -> Result<(), ConnectionError> {
    let responded = instance.borrow().discovery_responded();
    let after = match revision.get() {
        Some(revision) => revision,
        None => {
            request_list(instance, address, revision).await?;
            responded.notify_one();
            revision.get().unwrap_or_default()
        }
    };
    let (connection, framing) = request(address, &format!("{REGISTRY_PATH}?watch=1&after={after}")).await?;
    if framing != Framing::Chunked {
        return Err(ConnectionError::Malformed);
    }
    read_changes(instance, connection, revision, &responded).await
}

async fn request_list(
    instance: &RefCell<Instance>,
    address: SocketAddr,
    revision: &Cell<Option<u64>>,
) -> Result<(), ConnectionError> {
    let (mut connection, framing) = request(address, REGISTRY_PATH).await?;
    let body = connection.body(framing, MAX_LIST_BYTES);
    let body = timeout(LIST_TIMEOUT, body).await.map_err(|_| ConnectionError::Ended)??;
    let list = serde_json::from_slice(&body).map_err(|_| ConnectionError::Malformed)?;
    update(instance, &list, revision)
}

/// Applies the changes in the response of a watch, until it ends.
async fn read_changes(
    instance: &RefCell<Instance>,
    mut connection: HttpConnection,
    revision: &Cell<Option<u64>>,
    responded: &Notify,
) -> Result<(), ConnectionError> {
    let mut text = Vec::new();
    let mut boundaries = ValueBoundaries::default();
    let mut list_started = Instant::now();
    loop {
        let chunk = timeout(LIST_TIMEOUT, connection.chunk(MAX_LIST_BYTES))
            .await
            .map_err(|_| ConnectionError::Ended)??;
        if text.is_empty() {
            list_started = Instant::now();
        }
        if chunk.is_empty() || text.len() > MAX_LIST_BYTES || list_started.elapsed() > LIST_TIMEOUT {
            return Err(ConnectionError::Ended);
        }
        text.extend_from_slice(&chunk);
        if boundaries.scan(&chunk) {
            for list in take_values(&mut text).map_err(|_| ConnectionError::Malformed)? {
                update(instance, &list, revision)?;
            }
        }
        responded.notify_one();
    }
}

/// Applies a list to the instance's endpoints, and stores its revision in `revision`. An invalid list is logged,
/// changes nothing and ends the watch.
fn update(
    instance: &RefCell<Instance>,
    list: &Value,
    revision: &Cell<Option<u64>>,
) -> Result<(), ConnectionError> {
    let updated = update_endpoints(&mut instance.borrow_mut(), list, Origin::Discovery);
    tracing::debug!(revision = ?updated, "received an endpoint list from discovery");
    revision.set(Some(updated.map_err(|error| {
        tracing::error!(%error, "invalid endpoint list from discovery");
        ConnectionError::Malformed
    })?));
    Ok(())
}
