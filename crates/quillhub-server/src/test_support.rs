//! Helpers of the tests: a configuration, and a instance on it.

use crate::instance::Instance;
use crate::pool::ConnectionPool;
use crate::wal::Wal;
use quillhub::{EndpointState, EndpointUpdate};
pub use quillhub_fakes::scratch::{Folder, on_one_thread};
pub use quillhub_fakes::scripted::{OK, answering, full};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

pub const LONG: Duration = Duration::from_secs(60);

/// A configuration for a courier with a lasting folder of 1 MB; all its addresses are picked by the system.
pub fn configuration() -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "7",
        "limits": {"sockets": 256, "disk_mb": 1},
        "settings": {"familyInfo": {"maxCalls": 4}, "limits": {"mostTries": 5, "maxOpen": 9}, "classes": [
            {"name": "free", "effect": "free", "aimUs": 1000000, "giveUpUs": 9000000},
            {"name": "once", "effect": "single_shot", "aimUs": 1000000, "giveUpUs": 9000000},
            {"name": "marked", "effect": "guarded", "memorySpanUs": 3000000, "aimUs": 1000000, "giveUpUs": 9000000}]}})
}

/// A instance on `folder` with destination 9 at `at`, which has taken back what the folder held.
pub fn instance(folder: &Folder, at: SocketAddr) -> Rc<RefCell<Instance>> {
    instance_with(7, &configuration()["settings"], folder, at)
}

/// The same with another seed and other settings.
pub fn instance_with(seed: u64, settings: &Value, folder: &Folder, at: SocketAddr) -> Rc<RefCell<Instance>> {
    let (dispatcher, _) = quillhub_settings::read(seed, settings).unwrap();
    let (wal, recovered) = Wal::open(&folder.0, 1 << 20).unwrap();
    let instance = Instance::new(dispatcher, wal, ConnectionPool::new(LONG, 8), LONG, None, false);
    let mut new = instance.borrow_mut();
    new.pool.listed("e", at);
    new.handle_event(|dispatcher| {
        dispatcher.endpoint_updated(EndpointUpdate {
            name: "e",
            zone: "",
            kind: "",
            destination: 9,
            state: EndpointState::Available,
            listed_rate: None,
        });
        dispatcher.endpoint_list_ended(None, false);
    });
    new.recover(recovered);
    drop(new);
    instance
}
