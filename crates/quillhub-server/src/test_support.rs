//! Support of the tests: a configuration, an instance on it, messages, and a look into a state directory.

use crate::instance::{Instance, InstanceParts, Submission, SubmitOutcome};
use crate::pool::ConnectionPool;
use crate::wal::{RecoveredMessage, Wal, accepted_payload};
use quillhub::{EndpointState, EndpointUpdate, MessageId};
pub use quillhub_fakes::scratch::{ScratchDirectory as StateDirectory, on_one_thread};
pub use quillhub_fakes::scripted::{OK, scripted_server, unconnectable_address};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime};
use tokio::net::TcpListener;

/// Longer than any test takes.
pub const LONG: Duration = Duration::from_secs(60);
/// How long the messages of the tests have.
pub const TIME_TO_LIVE: Duration = Duration::from_secs(9);
/// The destination that an instance of the tests knows, by its one endpoint `e`.
pub const DESTINATION: u64 = 9;
/// Octets that a state directory of the tests may hold.
pub const STATE_BUDGET: u64 = 1 << 20;

/// A configuration of an instance with a state directory of 1 MB; all its addresses are picked by the system.
pub fn configuration() -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "7",
        "limits": {"sockets": 256, "disk_mb": 1},
        "settings": {"familyInfo": {"maxCalls": 4}, "limits": {"mostTries": 5, "maxOpen": 9}, "classes": [
            {"name": "free", "effect": "free", "aimUs": 1000000, "giveUpUs": 9000000},
            {"name": "once", "effect": "single_shot", "aimUs": 1000000, "giveUpUs": 9000000},
            {"name": "marked", "effect": "guarded", "memorySpanUs": 3000000, "aimUs": 1000000, "giveUpUs": 9000000}]}})
}

/// Builds an instance on a state directory, whose messages it recovers, with [`DESTINATION`]'s endpoint `e`.
pub struct InstanceBuilder<'a> {
    directory: &'a StateDirectory,
    endpoint: SocketAddr,
    seed: u64,
    settings: Value,
}

impl<'a> InstanceBuilder<'a> {
    /// With the settings of [`configuration`].
    pub fn new(directory: &'a StateDirectory, endpoint: SocketAddr) -> Self {
        Self { directory, endpoint, seed: 7, settings: configuration()["settings"].take() }
    }

    /// With another seed.
    pub fn seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// With other settings.
    pub fn settings(self, settings: Value) -> Self {
        Self { settings, ..self }
    }

    /// Starts it.
    pub fn build(self) -> Rc<RefCell<Instance>> {
        let (dispatcher, _) = quillhub_settings::read(self.seed, &self.settings).unwrap();
        let (wal, recovered) = Wal::open(&self.directory.0, STATE_BUDGET).unwrap();
        let instance = Instance::new(InstanceParts {
            dispatcher,
            wal,
            pool: ConnectionPool::new(LONG, 8),
            connect_timeout: LONG,
            gossip: None,
            load_reports: false,
        });
        let mut new = instance.borrow_mut();
        new.endpoint_listed("e", self.endpoint);
        new.handle_event(|dispatcher| {
            dispatcher.endpoint_updated(endpoint_in(EndpointState::Available));
            dispatcher.endpoint_list_ended(None, false);
        });
        new.recover(recovered);
        drop(new);
        instance
    }
}

/// An instance with the settings of [`configuration`].
pub fn instance(directory: &StateDirectory, endpoint: SocketAddr) -> Rc<RefCell<Instance>> {
    InstanceBuilder::new(directory, endpoint).build()
}

/// The same with another seed and other settings.
pub fn instance_with(
    seed: u64,
    settings: &Value,
    directory: &StateDirectory,
    endpoint: SocketAddr,
) -> Rc<RefCell<Instance>> {
    InstanceBuilder::new(directory, endpoint).seed(seed).settings(settings.clone()).build()
}

/// Discovery's word on the endpoint `e`.
pub fn endpoint_in(state: EndpointState) -> EndpointUpdate<'static> {
    EndpointUpdate { name: "e", zone: "", kind: "", destination: DESTINATION, state, listed_rate: None }
}

/// Submits a message with an id of its own.
pub fn submit(instance: &RefCell<Instance>, service_class: &str) -> SubmitOutcome {
    submit_body(instance, service_class, b"\0body")
}

/// The same with a body.
pub fn submit_body(instance: &RefCell<Instance>, service_class: &str, body: &[u8]) -> SubmitOutcome {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let client_id = format!("ab{}", NUMBER.fetch_add(1, Ordering::Relaxed));
    let submission = Submission { client_id: client_id.as_bytes(), body, ..submission(service_class) };
    instance.borrow_mut().submit(submission)
}

/// A submission to [`DESTINATION`].
pub fn submission(service_class: &str) -> Submission<'_> {
    Submission {
        service_class,
        ordering_key: None,
        time_to_live: TIME_TO_LIVE,
        destination: DESTINATION,
        client_id: b"ab",
        idempotency_key: Some(b"k"),
        body: b"body",
    }
}

/// A message to [`DESTINATION`] as a log holds it, without keys.
pub fn message(service_class: &str) -> RecoveredMessage {
    RecoveredMessage {
        service_class: service_class.into(),
        destination: DESTINATION,
        deadline: Some(SystemTime::now() + TIME_TO_LIVE),
        client_id: b"ab".to_vec(),
        body: b"body".to_vec(),
        ..RecoveredMessage::default()
    }
}

/// A log in `directory` that holds `messages`, whose ids count from 1.
pub fn log_with(directory: &StateDirectory, messages: &[RecoveredMessage]) -> Wal {
    let (mut wal, _) = Wal::open(&directory.0, STATE_BUDGET).unwrap();
    for message in messages {
        let id = wal.next_id();
        wal.accepted(id, &accepted_payload(message)).unwrap();
    }
    wal
}

/// The pending messages of a state directory.
pub fn pending_in(directory: &StateDirectory) -> BTreeMap<MessageId, RecoveredMessage> {
    Wal::open(&directory.0, STATE_BUDGET).unwrap().1
}

/// An address where connections are made and nothing is answered, as long as the listener lives.
pub async fn silent_endpoint() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    (listener.local_addr().unwrap(), listener)
}

/// Waits until nothing is left to do.
pub async fn until_idle(instance: &RefCell<Instance>) {
    while !instance.borrow().is_idle() {
        tokio::task::yield_now().await;
    }
}

/// Waits until no attempt is in flight.
pub async fn until_attempts_ended(instance: &RefCell<Instance>) {
    while instance.borrow().attempts_in_flight() > 0 {
        tokio::task::yield_now().await;
    }
}
