//! An instance of this process, served on the current thread, for tests that look at it from outside.
//! Each of them uses a part of it.

#![allow(dead_code)]

use quillhub_fakes::scratch::Folder;
use quillhub_server::ServeError;
use serde_json::{Value, json};
use std::future::pending;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, spawn_local};

/// Far more than any of this takes.
pub const LONG: Duration = Duration::from_secs(40);
/// The destination whose endpoints the tests serve.
pub const DESTINATION: u64 = 9;

/// An instance that runs.
pub struct Instance {
    pub listen: SocketAddr,
    stop: oneshot::Sender<()>,
    ended: JoinHandle<Result<(), ServeError>>,
}

impl Instance {
    /// Starts one with `configuration` on the state directory `state`, and waits until it serves.
    pub async fn start(mut configuration: Value, state: &Path) -> Self {
        let listen = unused_address();
        configuration["listen"] = json!(listen.to_string());
        let (text, state) = (configuration.to_string(), state.to_owned());
        let (stop, stopped) = oneshot::channel();
        let ended = spawn_local(async move {
            let told_to_stop = async { drop(stopped.await) };
            quillhub_server::serve(&text, &state, told_to_stop, pending).await
        });
        assert!(quillhub_fakes::clients::ready(listen, LONG).await);
        Self { listen, stop, ended }
    }

    /// Stops it, and waits until what it still works on is finished.
    pub async fn stop(self) {
        self.stop.send(()).unwrap();
        self.ended.await.unwrap().unwrap();
    }
}

/// An address that is nobody's now.
fn unused_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A list of destination 9's endpoints, `e1` first.
pub fn members(endpoints: &[SocketAddr]) -> Value {
    let row = |(number, at): (usize, &SocketAddr)| json!({"id": format!("e{}", number + 1), "host_port": at.to_string(), "cell": DESTINATION, "phase": "up"});
    let rows: Vec<_> = endpoints.iter().enumerate().map(row).collect();
    json!({"revision": 1, "complete": true, "members": rows})
}

/// A message class whose messages last a minute and lose nothing by then.
pub fn class(name: &str, effect: &str, key_remembered_us: u64) -> Value {
    let lasts = 60_000_000;
    json!({"name": name, "effect": effect, "memorySpanUs": key_remembered_us, "aimUs": lasts, "giveUpUs": lasts})
}

/// A configuration with discovery and the platform at `discovery`, and at most `open` messages at once.
pub fn configuration(discovery: SocketAddr, open: u64, classes: &[Value]) -> Value {
    json!({"discovery": discovery.to_string(), "seed": "7", "limits": {"sockets": 256, "disk_mb": 1},
        "settings": {"familyInfo": {"maxCalls": 4}, "classes": classes,
        "limits": {"mostTries": 5, "maxOpen": open, "retryAfter": true, "maxRetryAfterUs": 1_500_000}}})
}

/// A century: a key that is remembered for so long is never forgotten here.
const CENTURY_US: u64 = 100 * 365 * 24 * 3_600 * 1_000_000;
const SECOND_US: u64 = 1_000_000;

/// The classes of the messages in the state directory of the first version, but for one that is not known.
pub fn classes() -> [Value; 4] {
    [
        class("free", "free", 0),
        class("once", "single_shot", 0),
        class("keyed", "guarded", CENTURY_US),
        class("keyed-briefly", "guarded", SECOND_US),
    ]
}

/// Copies the kept state directory of the first version, so that it stays as it is.
pub fn first_state_directory() -> Folder {
    let (kept, copy) = (Path::new("tests/fixtures/state-directory-v1"), Folder::new());
    for segment in ["wal-0000000000", "wal-0000000001"] {
        std::fs::write(copy.0.join(segment), std::fs::read(kept.join(segment)).unwrap()).unwrap();
    }
    copy
}
