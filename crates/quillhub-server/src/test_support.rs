//! Helpers for tests: a configuration, an instance with that configuration, messages, and the content of a state
//! directory.

use crate::instance::{CommandTimes, Instance, InstanceParts, Submission, SubmitOutcome};
use crate::pool::{ConnectionPool, EndpointProcess};
use crate::stream_io::{receive, stamp_input};
use crate::wal::{LoggedMessage, Wal, accepted_payload};
use crate::wall_clock::WallClock;
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
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Timeout that is longer than any test and so never expires.
pub const UNREACHED_TIMEOUT: Duration = Duration::from_secs(60);
/// Time from submission to deadline of the messages in tests.
pub const TIME_TO_LIVE: Duration = Duration::from_secs(9);
/// Destination that the instances in tests know, with `e` as its only endpoint.
pub const DESTINATION: u64 = 9;
/// Maximum size of the state directories in tests.
pub const STATE_BUDGET_BYTES: u64 = 1 << 20;

/// Returns the configuration of an instance with a state directory of 1 MiB. The system chooses the port for clients;
/// nothing listens at discovery's address.
pub fn configuration() -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "7",
        "limits": {"sockets": 256, "disk_mb": 1},
        "settings": {"familyInfo": {"maxCalls": 4}, "limits": {"mostTries": 5, "maxOpen": 9}, "classes": [
            {"name": "free", "effect": "free", "aimUs": 1000000, "giveUpUs": 9000000},
            {"name": "once", "effect": "single_shot", "aimUs": 1000000, "giveUpUs": 9000000},
            {"name": "marked", "effect": "guarded", "memorySpanUs": 3000000, "aimUs": 1000000, "giveUpUs": 9000000}]}})
}

/// Builder of an instance that recovers the messages of a state directory and knows the endpoint `e` of
/// [`DESTINATION`].
pub struct InstanceBuilder<'a> {
    directory: &'a StateDirectory,
    endpoint: SocketAddr,
    seed: u64,
    settings: Value,
}

impl<'a> InstanceBuilder<'a> {
    /// Creates a builder with the settings of [`configuration`].
    pub fn new(directory: &'a StateDirectory, endpoint: SocketAddr) -> Self {
        Self { directory, endpoint, seed: 7, settings: configuration()["settings"].take() }
    }

    /// Replaces the seed.
    pub fn seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Replaces the settings.
    pub fn settings(self, settings: Value) -> Self {
        Self { settings, ..self }
    }

    /// Creates the instance and recovers the messages.
    pub fn build(self) -> Rc<RefCell<Instance>> {
        let (dispatcher, _) = quillhub_settings::dispatcher_from_json(self.seed, &self.settings).unwrap();
        let (wal, recovered) = Wal::open(&self.directory.0, STATE_BUDGET_BYTES).unwrap();
        let instance = Instance::new(InstanceParts {
            dispatcher,
            wal,
            wall_clock: WallClock::open(&self.directory.0),
            pool: ConnectionPool::new(UNREACHED_TIMEOUT, 8),
            connect_timeout: UNREACHED_TIMEOUT,
            gossip: None,
            load_reports: false,
        });
        let mut borrowed = instance.borrow_mut();
        borrowed.endpoint_listed("e", process_at(self.endpoint));
        borrowed.handle_event(|dispatcher| {
            dispatcher.endpoint_updated(endpoint_update(EndpointState::Available));
            dispatcher.endpoint_list_ended(None, false);
        });
        borrowed.recover(recovered);
        drop(borrowed);
        instance
    }
}

/// Creates an instance with the settings of [`configuration`].
pub fn instance(directory: &StateDirectory, endpoint: SocketAddr) -> Rc<RefCell<Instance>> {
    InstanceBuilder::new(directory, endpoint).build()
}

/// Creates an instance with the given seed and settings.
pub fn instance_with(
    seed: u64,
    settings: &Value,
    directory: &StateDirectory,
    endpoint: SocketAddr,
) -> Rc<RefCell<Instance>> {
    InstanceBuilder::new(directory, endpoint).seed(seed).settings(settings.clone()).build()
}

/// Returns a process of an endpoint of [`DESTINATION`] that started long ago.
pub fn process_at(address: SocketAddr) -> EndpointProcess {
    EndpointProcess { address, destination: DESTINATION, up_since_ms: 0 }
}

/// Returns the update by which discovery reports that the endpoint `e` is in `state`.
pub fn endpoint_update(state: EndpointState) -> EndpointUpdate<'static> {
    EndpointUpdate { name: "e", zone: "", kind: "", destination: DESTINATION, state, listed_rate: None }
}

/// Submits a message with a unique client id.
pub fn submit(instance: &RefCell<Instance>, service_class: &str) -> SubmitOutcome {
    submit_body(instance, service_class, b"\0body")
}

/// Submits a message with a unique client id and the given body.
pub fn submit_body(instance: &RefCell<Instance>, service_class: &str, body: &[u8]) -> SubmitOutcome {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let client_id = format!("ab{}", NUMBER.fetch_add(1, Ordering::Relaxed));
    let submission = Submission { client_id: client_id.as_bytes(), body, ..submission(service_class) };
    instance.borrow_mut().submit(submission)
}

/// Submits a message with the given client id.
pub fn submit_as(instance: &RefCell<Instance>, service_class: &str, client_id: &str) -> SubmitOutcome {
    let submission = Submission { client_id: client_id.as_bytes(), ..submission(service_class) };
    instance.borrow_mut().submit(submission)
}

/// Returns a submission to [`DESTINATION`].
pub fn submission(service_class: &str) -> Submission<'_> {
    Submission {
        service_class,
        ordering_key: None,
        times: CommandTimes::now(),
        time_to_live: TIME_TO_LIVE,
        destination: DESTINATION,
        client_id: b"ab",
        idempotency_key: Some(b"k"),
        body: b"body",
    }
}

/// Returns a message to [`DESTINATION`], without ordering key and idempotency key, as the log stores it.
pub fn message(service_class: &str) -> LoggedMessage {
    LoggedMessage {
        service_class: service_class.into(),
        destination: DESTINATION,
        deadline: Some(SystemTime::now() + TIME_TO_LIVE),
        client_id: b"ab".to_vec(),
        body: b"body".to_vec(),
        ..LoggedMessage::default()
    }
}

/// Creates a log in `directory` that contains `messages`, whose ids count from 1.
pub fn log_with(directory: &StateDirectory, messages: &[LoggedMessage]) -> Wal {
    let (mut wal, _) = Wal::open(&directory.0, STATE_BUDGET_BYTES).unwrap();
    for message in messages {
        let id = wal.allocate_id();
        wal.record_accepted(id, &accepted_payload(message)).unwrap();
    }
    wal
}

/// Returns the unfinished messages in a state directory.
pub fn unfinished_in(directory: &StateDirectory) -> BTreeMap<MessageId, LoggedMessage> {
    Wal::open(&directory.0, STATE_BUDGET_BYTES).unwrap().1
}

/// Starts an endpoint that accepts connections and never responds until the listener is dropped.
pub async fn silent_endpoint() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    (listener.local_addr().unwrap(), listener)
}

/// Waits until the instance has no pending message, no attempt in flight and no unconfirmed outcome.
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

/// Waits until the kernel stamps input, which it begins to do some time after the first socket has asked for it.
pub async fn until_input_is_stamped() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    stamp_input(&listener).unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let server = listener.accept().await.unwrap().0;
    loop {
        client.write_all(b"x").await.unwrap();
        server.readable().await.unwrap();
        if matches!(receive(&server, &mut [0; 8]), Ok((_, Some(_)))) {
            return;
        }
    }
}
