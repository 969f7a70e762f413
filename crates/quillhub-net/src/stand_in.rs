//! Helpers of the tests: a scratch folder, stand-ins for endpoints and the platform, a host.

use crate::endpoints::Endpoints;
use crate::host::Host;
use crate::wal::Wal;
use quillhub::Listing;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};

pub const LONG: Duration = Duration::from_secs(60);
pub const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// An empty folder of its own, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let name = format!("quillhub-{}-{}", std::process::id(), NUMBER.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    /// What its files take, in whole blocks.
    pub fn size(&self) -> u64 {
        let files = std::fs::read_dir(&self.0).unwrap();
        files.map(|file| file.unwrap().metadata().unwrap().len().div_ceil(512) * 512).sum()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs `test` on a runtime like the courier's.
pub fn on_one_thread<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(test))
}

/// Whether all of a call is there, or nothing that tells its length.
fn whole(call: &[u8]) -> bool {
    let text = String::from_utf8_lossy(call);
    let Some((head, _)) = text.split_once("\r\n\r\n") else { return !text.starts_with("POST") };
    let length = head.split_once("Content-Length: ").map(|(_, rest)| rest.lines().next().unwrap());
    call.len() >= head.len() + 4 + length.map_or(0, |length| length.parse().unwrap())
}

/// Takes one call a connection: answers each with the next of `answers` and leaves the connection open, or
/// closes it where that is empty. Hands out what was read.
pub async fn answering(answers: Vec<&'static [u8]>) -> (SocketAddr, UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (at, (tell, told)) = (listener.local_addr().unwrap(), unbounded_channel());
    spawn_local(async move {
        let mut open = Vec::new();
        for answer in answers {
            let mut stream = listener.accept().await.unwrap().0;
            let mut read = Vec::new();
            while stream.read_buf(&mut read).await.unwrap() > 0 && !whole(&read) {}
            let _ = tell.send(String::from_utf8_lossy(&read).into_owned());
            if !answer.is_empty() {
                stream.write_all(answer).await.unwrap();
                open.push(stream);
            }
        }
        std::future::pending::<()>().await;
    });
    (at, told)
}

/// A configuration for a courier with a lasting folder of 1 MB; all its addresses are picked by the system.
pub fn plan() -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "7",
        "limits": {"sockets": 256, "disk_mb": 1},
        "settings": {"familyInfo": {"maxCalls": 4}, "limits": {"mostTries": 5, "maxOpen": 9}, "classes": [
            {"name": "free", "effect": "free", "aimUs": 1000000, "giveUpUs": 9000000},
            {"name": "once", "effect": "single_shot", "aimUs": 1000000, "giveUpUs": 9000000}]}})
}

/// A host on `folder` with destination 9 at `at`, which has taken back what the folder held.
pub fn host(folder: &Folder, at: SocketAddr) -> Rc<RefCell<Host>> {
    let (courier, _) = quillhub_settings::read(7, &plan()["settings"]).unwrap();
    let (wal, owed) = Wal::open(&folder.0, 1 << 20).unwrap();
    let host = Host::new(courier, wal, Endpoints::new(LONG, 8), LONG, None, false);
    let mut new = host.borrow_mut();
    new.endpoints.listed("e", at);
    new.event(|courier| {
        courier.listed("e", "", "", 9, Listing::Open, None);
        courier.list_ends(None, false);
    });
    new.take_back(owed);
    drop(new);
    host
}
