//! One request to discovery: for the complete list, or a watch, which reads the stream of changes until it ends.
//!
//! A request has no time limit of its own until its response begins: its task is aborted when it is given up
//! (`overlap.rs`).

use super::overlap::RequestId;
use super::stream::{ValueBoundaries, take_values};
use crate::connection::{ConnectionError, HttpConnection};
use crate::http::{self, Framing};
use crate::progress::Progress;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, timeout};

/// Path of the endpoint list and of the watch.
pub(super) const REGISTRY_PATH: &str = "/registry/instances";
/// Time limit for a list from its first byte to its last, while more of it keeps arriving: enough for the longest list
/// at 140 KB/s.
const LIST_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum length of a list from discovery, in any number of lines: enough for the complete list of a large deployment.
pub const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Event of a request.
#[derive(Debug)]
pub(super) enum RequestEvent {
    /// The complete list that was requested.
    CompleteList(Value),
    /// Input of a watch.
    WatchInput {
        /// Lists that are complete with this input; empty for a line that says that nothing has changed.
        lists: Vec<Value>,
        /// `true` if the input ends within a list.
        is_partial: bool,
    },
    /// The request, or the watch that it opened, has ended.
    Ended(ConnectionError),
}

/// Request to discovery, whose events are sent to the task that keeps the watch open.
pub(super) struct Request {
    pub(super) id: RequestId,
    pub(super) address: SocketAddr,
    pub(super) progress: Progress,
    pub(super) events: Sender<(RequestId, RequestEvent)>,
}

impl Request {
    /// Watches discovery for changes after the revision `after`, or requests the complete list without one: discovery
    /// at a new address may number its lists differently.
    pub(super) async fn run(self, after: Option<u64>) {
        let result = match after {
            Some(after) => self.watch(after).await,
            None => self.request_list().await,
        };
        if let Err(error) = result {
            self.send(RequestEvent::Ended(error)).await;
        }
    }

    /// Sends an event. Nobody receives it while the task that keeps the watch open restarts, which ends this one.
    async fn send(&self, event: RequestEvent) {
        let _ = self.events.send((self.id, event)).await;
    }

    /// Sends a request for `path` and reads the head of the response; returns the connection and the framing of the
    /// body.
    async fn send_request(&self, path: &str) -> Result<(HttpConnection, Framing), ConnectionError> {
        let mut connection = HttpConnection::open(self.address).await.map_err(ConnectionError::Failed)?;
        let request = http::request("GET", path, &self.address.to_string(), &[], &[]);
        connection.write(&request).await.map_err(ConnectionError::Failed)?;
        let head = connection.head().await?;
        tracing::debug!(path, status = head.status, "discovery responded");
        if head.status != 200 {
            return Err(ConnectionError::Malformed);
        }
        self.progress.record();
        connection.record_progress_in(self.progress.clone());
        Ok((connection, head.framing()?))
    }

    async fn request_list(&self) -> Result<(), ConnectionError> {
        let (mut connection, framing) = self.send_request(REGISTRY_PATH).await?;
        let body = connection.body(framing, MAX_LIST_BYTES);
        let body = timeout(LIST_TIMEOUT, body).await.map_err(|_| ConnectionError::Ended)??;
        let list = serde_json::from_slice(&body).map_err(|_| ConnectionError::Malformed)?;
        self.send(RequestEvent::CompleteList(list)).await;
        Ok(())
    }

    async fn watch(&self, after: u64) -> Result<(), ConnectionError> {
        let path = format!("{REGISTRY_PATH}?watch=1&after={after}");
        let (connection, framing) = self.send_request(&path).await?;
        if framing != Framing::Chunked {
            return Err(ConnectionError::Malformed);
        }
        self.read_changes(connection).await
    }

    /// Reads the changes in the response of a watch, until it ends.
    async fn read_changes(&self, mut connection: HttpConnection) -> Result<(), ConnectionError> {
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
            let mut lists = Vec::new();
            if boundaries.scan(&chunk) {
                lists = take_values(&mut text).map_err(|_| ConnectionError::Malformed)?;
            }
            let is_partial = !text.trim_ascii().is_empty();
            self.send(RequestEvent::WatchInput { lists, is_partial }).await;
        }
    }
}
