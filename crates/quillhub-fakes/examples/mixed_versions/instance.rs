//! Process of an instance, parts of its configuration, and the servers that it calls.

use quillhub_fakes::accept::accept_each;
use quillhub_fakes::http::ServerConnection;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};

/// Running `quillhub serve`, killed when this is dropped.
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts `program` on the state directory `state`; its configuration and log are written to `directory`.
    pub fn start(
        program: &Path,
        configuration: &Value,
        state: &Path,
        directory: &Path,
        name: &str,
    ) -> io::Result<Self> {
        let (config, log) = (directory.join(format!("{name}.json")), directory.join(format!("{name}.log")));
        std::fs::write(&config, configuration.to_string())?;
        std::fs::create_dir_all(state)?;
        let mut command = Command::new(program);
        command.args(["serve", "--config"]).arg(config).arg("--state").arg(state);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(std::fs::File::create(&log)?);
        Ok(Self { child: command.spawn()?, log })
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Returns the number of log lines that contain `text`.
    pub fn count_log_lines(&self, text: &str) -> usize {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).count()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

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

/// Returns an entry of the endpoint list.
pub fn list_entry(id: &str, address: SocketAddr, destination: u64) -> Value {
    json!({"id": id, "host_port": address.to_string(), "cell": destination, "phase": "up"})
}

/// Returns a complete endpoint list.
pub fn endpoint_list(members: &[Value]) -> Value {
    json!({"revision": 1, "complete": true, "members": members})
}

/// Writes the chunked response to a request for the endpoint list or for its changes.
pub async fn write_endpoint_list(stream: &mut ServerConnection, list: &Value) -> io::Result<()> {
    let line = format!("{list}\n");
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes()).await
}

/// Returns a service class of the settings; `deadline_ms` is also its soft deadline.
pub fn service_class(name: &str, effect: &str, deadline_ms: u64) -> Value {
    let deadline_us = deadline_ms * 1_000;
    let window_us = if effect == "guarded" { deadline_us } else { 0 };
    json!({"name": name, "effect": effect, "memorySpanUs": window_us, "aimUs": deadline_us, "giveUpUs": deadline_us})
}
