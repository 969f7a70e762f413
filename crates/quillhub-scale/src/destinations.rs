//! Lightweight destinations: any number of ids on two shared listeners, one that responds to each call at once and one
//! that never responds.

use crate::settings;
use crate::thread::MeasuredThread;
use quillhub_fakes::accept::accept_each;
use quillhub_fakes::endpoints::ListedEndpoint;
use quillhub_fakes::http::ServerConnection;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Number of destinations that do not respond, to which the messages of a backlog are submitted in turn.
pub const UNRESPONSIVE_COUNT: u64 = 20;

/// Running listeners of all destinations, stopped when this is dropped.
pub struct Destinations {
    responding: SocketAddr,
    unresponsive: SocketAddr,
    delivered: Arc<AtomicU64>,
    _worker: MeasuredThread,
}

async fn respond(stream: TcpStream, delivered: Arc<AtomicU64>) {
    let mut connection = ServerConnection::new(stream);
    while let Ok(Some(_)) = connection.next().await {
        if connection.answer(200, "", b"ok").await.is_err() {
            return;
        }
        delivered.fetch_add(1, Ordering::Relaxed);
    }
}

async fn read_without_response(stream: TcpStream) {
    let mut connection = ServerConnection::new(stream);
    while let Ok(Some(_)) = connection.next().await {}
}

impl Destinations {
    /// Starts both listeners.
    pub fn start() -> Result<Self, String> {
        let delivered = Arc::new(AtomicU64::new(0));
        let counter = delivered.clone();
        let (worker, (responding, unresponsive)) = MeasuredThread::start(move || async move {
            let (responding, unresponsive) =
                (TcpListener::bind("127.0.0.1:0").await?, TcpListener::bind("127.0.0.1:0").await?);
            let addresses = (responding.local_addr()?, unresponsive.local_addr()?);
            spawn_local(accept_each(responding, move |stream| respond(stream, counter.clone())));
            spawn_local(accept_each(unresponsive, read_without_response));
            Ok(addresses)
        })?;
        Ok(Self { responding, unresponsive, delivered, _worker: worker })
    }

    /// Returns the endpoints of `responding` destinations, numbered from 1, and then of `unresponsive` ones.
    pub fn endpoints(&self, responding: u64, unresponsive: u64) -> Vec<ListedEndpoint> {
        let endpoint = |destination: u64| ListedEndpoint {
            id: endpoint_id(destination),
            address: if destination <= responding { self.responding } else { self.unresponsive },
            zone: settings::ZONE.into(),
            kind: settings::KIND.into(),
            destination,
        };
        (1..=responding + unresponsive).map(endpoint).collect()
    }

    /// Returns the counter of calls with a response, which is incremented as long as the listeners run.
    pub fn delivered(&self) -> Arc<AtomicU64> {
        self.delivered.clone()
    }
}

/// Returns the id of a destination's endpoint.
pub fn endpoint_id(destination: u64) -> String {
    format!("e{destination}")
}
