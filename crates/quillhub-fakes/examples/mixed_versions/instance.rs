//! Parts of an instance's configuration, and the servers that it calls.

use quillhub_fakes::accept::accept_each;
use quillhub_fakes::endpoints::ListedEndpoint;
use quillhub_fakes::http::ServerConnection;
use quillhub_fakes::scratch::ScratchDirectory;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};

/// Server with an address of its own that can be closed and opened again.
pub struct Server {
    /// Address of the server, also while it is closed.
    pub address: SocketAddr,
    accepting: Option<JoinHandle<()>>,
}

impl Server {
    /// Creates a closed server at a loopback address that was free at the time of the call.
    pub fn closed() -> io::Result<Self> {
        let address = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        Ok(Self { address, accepting: None })
    }

    /// Accepts connections from now on and handles each with `serve`.
    pub async fn open<F>(&mut self, serve: impl Fn(ServerConnection) -> F + 'static) -> io::Result<()>
    where
        F: Future<Output = ()> + 'static,
    {
        let listener = TcpListener::bind(self.address).await?;
        let accept = move |stream: TcpStream| serve(ServerConnection::new(stream));
        self.accepting = Some(spawn_local(async move { accept_each(listener, accept).await }));
        Ok(())
    }

    /// Refuses connections from now on; those that were accepted stay open.
    pub fn close(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
        }
    }
}

/// Returns an endpoint, as discovery lists it.
pub fn listed_endpoint(id: &str, address: SocketAddr, destination: u64) -> ListedEndpoint {
    ListedEndpoint { id: id.into(), address, zone: "north".into(), kind: "library".into(), destination }
}

/// Writes `configuration` to a file of `directory` and returns its path.
pub fn write_configuration(directory: &ScratchDirectory, configuration: &Value) -> io::Result<PathBuf> {
    let path = directory.0.join("configuration.json");
    std::fs::write(&path, configuration.to_string())?;
    Ok(path)
}

/// Returns a service class of the settings; `deadline_ms` is also its soft deadline.
pub fn service_class(name: &str, effect: &str, deadline_ms: u64) -> Value {
    let deadline_us = deadline_ms * 1_000;
    let window_us = if effect == "guarded" { deadline_us } else { 0 };
    json!({"name": name, "effect": effect, "memorySpanUs": window_us, "aimUs": deadline_us, "giveUpUs": deadline_us})
}
