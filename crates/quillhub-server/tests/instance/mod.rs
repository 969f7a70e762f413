//! Instance that runs on the current thread, and its configuration, for tests over its network interfaces.

#![allow(dead_code)] // each test uses only a part of this module

use quillhub_fakes::scratch::{ScratchDirectory, unused_address};
use quillhub_server::ServeError;
use serde_json::{Value, json};
use std::future::pending;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, spawn_local};

/// Time limit for a whole test, far longer than any test takes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(40);
/// Destination to which the tests submit messages.
pub const DESTINATION: u64 = 9;

/// Running instance.
pub struct Instance {
    /// Address at which clients connect.
    pub listen: SocketAddr,
    stop: oneshot::Sender<()>,
    ended: JoinHandle<Result<(), ServeError>>,
}

impl Instance {
    /// Starts an instance with `configuration`, except for its address, on the state directory `state`, and waits until
    /// it serves clients.
    pub async fn start(mut configuration: Value, state: &Path) -> Self {
        let listen = unused_address();
        configuration["listen"] = json!(listen.to_string());
        let (text, state) = (configuration.to_string(), state.to_owned());
        let (stop, stopped) = oneshot::channel();
        let ended = spawn_local(async move {
            let stop_requested = async { drop(stopped.await) };
            quillhub_server::serve(&text, &state, stop_requested, pending).await
        });
        assert!(quillhub_fakes::clients::wait_until_ready(listen, TEST_TIMEOUT).await);
        Self { listen, stop, ended }
    }

    /// Stops the instance, and waits until its shutdown is complete.
    pub async fn stop(self) {
        self.stop.send(()).unwrap();
        self.ended.await.unwrap().unwrap();
    }
}

/// Returns a complete list of the endpoints of [`DESTINATION`], named `e1`, `e2` and so on.
pub fn endpoint_list(endpoints: &[SocketAddr]) -> Value {
    let row = |(number, address): (usize, &SocketAddr)| json!({"id": format!("e{}", number + 1), "host_port": address.to_string(), "cell": DESTINATION, "phase": "up"});
    let rows: Vec<_> = endpoints.iter().enumerate().map(row).collect();
    json!({"revision": 1, "complete": true, "members": rows})
}

/// Returns the settings of a service class whose messages keep their full value until their deadline, a minute after
/// their submission.
pub fn class(name: &str, effect: &str, deduplication_window_us: u64) -> Value {
    let deadline_us = 60_000_000;
    json!({"name": name, "effect": effect, "memorySpanUs": deduplication_window_us, "aimUs": deadline_us, "giveUpUs": deadline_us})
}

/// Returns a configuration with discovery and the platform at `discovery`, and at most `max_open` messages pending at a
/// time.
pub fn configuration(discovery: SocketAddr, max_open: u64, classes: &[Value]) -> Value {
    json!({"discovery": discovery.to_string(), "seed": "7", "limits": {"sockets": 256, "disk_mb": 1},
        "settings": {"familyInfo": {"maxCalls": 4}, "classes": classes,
        "limits": {"mostTries": 5, "maxOpen": max_open, "retryAfter": true, "maxRetryAfterUs": 1_500_000}}})
}

/// Deduplication window that never expires during a test.
const CENTURY_US: u64 = 100 * 365 * 24 * 3_600 * 1_000_000;
const SECOND_US: u64 = 1_000_000;

/// Returns the service classes of the messages in the state directory of version 1, except for one that is meant to be
/// unknown.
pub fn classes() -> [Value; 4] {
    [
        class("free", "free", 0),
        class("once", "single_shot", 0),
        class("keyed", "guarded", CENTURY_US),
        class("keyed-briefly", "guarded", SECOND_US),
    ]
}

/// Returns a copy of the state directory of version 1, so that the fixture stays unchanged.
pub fn version_1_state_directory() -> ScratchDirectory {
    let (fixture, copy) = (Path::new("tests/fixtures/state-directory-v1"), ScratchDirectory::new());
    for segment in ["wal-0000000000", "wal-0000000001"] {
        std::fs::write(copy.0.join(segment), std::fs::read(fixture.join(segment)).unwrap()).unwrap();
    }
    copy
}
