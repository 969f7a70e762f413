//! Lightweight destinations: ids without number on two shared listeners, one whose calls are answered at once and
//! one whose calls are never answered.

use crate::settings;
use crate::thread::Worker;
use quillhub_fakes::accept::accept_each;
use quillhub_fakes::endpoints::ListedEndpoint;
use quillhub_fakes::http::ServerConnection;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Destinations that hang, among which a backlog is spread.
pub const HANGING: u64 = 20;

/// The listeners behind all destinations.
pub struct Destinations {
    healthy: SocketAddr,
    hanging: SocketAddr,
    delivered: Arc<AtomicU64>,
    _worker: Worker,
}

async fn answer_all(stream: TcpStream, delivered: Arc<AtomicU64>) {
    let mut link = ServerConnection::new(stream);
    while let Ok(Some(_)) = link.next().await {
        if link.answer(200, "", b"ok").await.is_err() {
            return;
        }
        delivered.fetch_add(1, Ordering::Relaxed);
    }
}

async fn answer_none(stream: TcpStream) {
    let mut link = ServerConnection::new(stream);
    while let Ok(Some(_)) = link.next().await {}
}

impl Destinations {
    pub fn start() -> Result<Self, String> {
        let delivered = Arc::new(AtomicU64::new(0));
        let counted = delivered.clone();
        let (worker, (healthy, hanging)) = Worker::start(move || async move {
            let (healthy, hanging) =
                (TcpListener::bind("127.0.0.1:0").await?, TcpListener::bind("127.0.0.1:0").await?);
            let addresses = (healthy.local_addr()?, hanging.local_addr()?);
            spawn_local(accept_each(healthy, move |stream| answer_all(stream, counted.clone())));
            spawn_local(accept_each(hanging, answer_none));
            Ok(addresses)
        })?;
        Ok(Self { healthy, hanging, delivered, _worker: worker })
    }

    /// The endpoints of so many destinations that answer, numbered from 1, and after them of those that hang.
    pub fn listed(&self, healthy: u64, hanging: u64) -> Vec<ListedEndpoint> {
        let endpoint = |destination: u64| ListedEndpoint {
            id: endpoint(destination),
            address: if destination <= healthy { self.healthy } else { self.hanging },
            zone: settings::ZONE.into(),
            kind: settings::KIND.into(),
            destination,
        };
        (1..=healthy + hanging).map(endpoint).collect()
    }

    /// Calls that were answered.
    pub fn delivered(&self) -> Arc<AtomicU64> {
        self.delivered.clone()
    }
}

/// The id of a destination's endpoint.
pub fn endpoint(destination: u64) -> String {
    format!("e{destination}")
}
