//! Helpers of the tests: a configuration, and a instance on it.

use crate::instance::{Instance, InstanceParts};
use crate::pool::ConnectionPool;
use crate::wal::Wal;
use quillhub::{EndpointState, EndpointUpdate};
pub use quillhub_fakes::scratch::{Folder, Folder as StateDirectory, on_one_thread};
pub use quillhub_fakes::scripted::{OK, answering, full};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

pub const LONG: Duration = Duration::from_secs(60);

/// A configuration of an instance with a state directory of 1 MB; all its addresses are picked by the system.
pub fn configuration() -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "7",
        "limits": {"sockets": 256, "disk_mb": 1},
        "settings": {"familyInfo": {"maxCalls": 4}, "limits": {"mostTries": 5, "maxOpen": 9}, "classes": [
            {"name": "free", "effect": "free", "aimUs": 1000000, "giveUpUs": 9000000},
            {"name": "once", "effect": "single_shot", "aimUs": 1000000, "giveUpUs": 9000000},
            {"name": "marked", "effect": "guarded", "memorySpanUs": 3000000, "aimUs": 1000000, "giveUpUs": 9000000}]}})
}

/// An instance on a state directory, whose messages it has recovered, with the endpoint `e` of destination 9 at `at`.
pub fn instance(directory: &StateDirectory, at: SocketAddr) -> Rc<RefCell<Instance>> {
    instance_with(7, &configuration()["settings"], directory, at)
}

/// The same with another seed and other settings.
pub fn instance_with(
    seed: u64,
    settings: &Value,
    directory: &StateDirectory,
    at: SocketAddr,
) -> Rc<RefCell<Instance>> {
    let (dispatcher, _) = quillhub_settings::read(seed, settings).unwrap();
    let (wal, recovered) = Wal::open(&directory.0, 1 << 20).unwrap();
    let instance = Instance::new(InstanceParts {
        dispatcher,
        wal,
        pool: ConnectionPool::new(LONG, 8),
        connect_timeout: LONG,
        peers: None,
        load_reports: false,
    });
    let mut new = instance.borrow_mut();
    new.endpoint_listed("e", at);
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
