//! The gateway under test, started as a process of its own with the deploy file's `run`.

use crate::client::Client;
use std::fs::{self, File};
use std::io;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time in which the gateway must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Process id of the gateway that runs; 0 if none does.
static RUNNING: AtomicU32 = AtomicU32::new(0);

/// Kills the gateway if it still runs, for a case that does not end.
pub fn kill_running() {
    let id = RUNNING.swap(0, Ordering::SeqCst);
    if id != 0 {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {id}")]).status();
    }
}

/// Gateway process; killed when this is dropped.
pub struct Gateway {
    child: Child,
    pub port: u16,
    log: PathBuf,
}

/// Returns the value of `run` in the deploy file.
fn run_command(root: &Path) -> io::Result<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let value =
        text.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next().map(str::to_owned));
    value.ok_or_else(|| io::Error::other("deploy/balancer.toml has no run"))
}

/// Returns a port that is free now.
pub fn free_port() -> io::Result<u16> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}

impl Gateway {
    /// Starts a gateway on a free port and waits until it is ready. `settings` and `known` are JSON texts.
    pub fn start(root: &Path, folder: &Path, platform: u16, known: &str, settings: &str) -> io::Result<Self> {
        let port = free_port()?;
        let (state, configuration, log) =
            (folder.join("state"), folder.join("config.json"), folder.join("gateway.log"));
        fs::create_dir_all(&state)?;
        let text = format!(
            "{{\"name\":\"n1\",\"listen\":\"127.0.0.1:{port}\",\"discovery\":\"127.0.0.1:{platform}\",\"seed\":\"8c1f30d27a5be964\",\
            \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512,\"disk_mb\":3}},\"known\":{known},\"settings\":{settings}}}"
        );
        fs::write(&configuration, text)?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command(root)?])
            .current_dir(root)
            .env("RELAY_NAME", "n1")
            .env("RELAY_CONFIG", &configuration)
            .env("RELAY_STATE", &state)
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log)?)
            .spawn()?;
        RUNNING.store(child.id(), Ordering::SeqCst);
        fs::write(folder.join("gateway.pid"), child.id().to_string())?; // for the script, if it is ended early
        let gateway = Self { child, port, log };
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            if Client::new(port).send(&["PING"]).as_deref() == Some("+PONG") {
                return Ok(gateway);
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the gateway was not ready in time"))
    }

    /// Returns what the gateway has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.store(0, Ordering::SeqCst);
    }
}
