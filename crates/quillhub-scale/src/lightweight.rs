//! Lightweight instances: they have a dispatcher and use the protocols of an instance with discovery, platform and
//! peers, but have no clients and no state directory and make no calls to endpoints. Many share one thread.

use crate::settings;
use crate::thread::MeasuredThread;
use quillhub::{
    AttemptOutcome, AttemptPlan, AttemptResult, Dispatcher, Driver, EndpointState, EndpointUpdate, LogEvent,
    MessageId, NewMessage,
};
use quillhub_server::MAX_LIST_BYTES;
use quillhub_server::connection::{ConnectionError, HttpConnection};
use quillhub_server::http::{self, Head};
use serde_json::Value;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, sleep_until, timeout};

/// Time between two messages that make an instance send gossip; each instance sends gossip at this interval.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(60);
/// Time without data after which a watch or a response has failed, as for a real instance.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay before the next attempt after a watch ended or a request failed.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time to live of the messages that make an instance send gossip.
const GOSSIP_TIME_TO_LIVE: Duration = Duration::from_secs(30);
/// Number of simulated attempts of a message that fail before one succeeds: after two failures in a row, an instance
/// sends gossip of the destination's recovery.
const FAILED_ATTEMPTS: u32 = 2;
/// Maximum size of a datagram that a lightweight instance receives, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;

/// Status of a lightweight instance, for other threads.
#[derive(Debug, Default)]
pub struct Status {
    revision: AtomicU64,
    /// Nanoseconds from the start of the fleet until `revision` was applied.
    applied_ns: AtomicU64,
    confirmed: AtomicU64,
}

impl Status {
    /// Returns the last revision of the endpoint list that was applied, 0 before the first, and the time from the start
    /// of the fleet until then.
    pub fn applied_revision(&self) -> (u64, Duration) {
        let applied = Duration::from_nanos(self.applied_ns.load(Ordering::Acquire));
        (self.revision.load(Ordering::Acquire), applied)
    }

    /// Returns `true` if the instance has applied an endpoint list and the platform has confirmed a final outcome.
    pub fn is_ready(&self) -> bool {
        self.revision.load(Ordering::Acquire) > 0 && self.confirmed.load(Ordering::Acquire) > 0
    }
}

/// Parameters shared by all lightweight instances of a run.
#[derive(Clone, Copy)]
pub struct FleetParameters {
    /// Address of discovery and platform.
    pub control_address: SocketAddr,
    /// Address of the relay that passes gossip on to all other instances.
    pub relay_address: SocketAddr,
    /// Number of instances, with the real ones.
    pub instances: u64,
    /// Number of destinations that messages may be for; they are numbered from 1.
    pub destinations: u64,
    /// Seed of the instances' random draws, to which the number of the instance is added.
    pub seed: u64,
    /// Start of the fleet, from which the times of [`Status`] are measured.
    pub fleet_started: Instant,
}

/// Actions that the dispatcher requested while it handled one event.
#[derive(Default)]
struct Actions {
    attempts: Vec<MessageId>,
    /// Messages with a final outcome; `true` if the message was rejected.
    outcomes: Vec<(MessageId, bool)>,
    gossip: Vec<Vec<u8>>,
    timers: Vec<Duration>,
}

impl Driver for Actions {
    fn start_attempt(&mut self, id: MessageId, _endpoint: &str, _plan: AttemptPlan) {
        self.attempts.push(id);
    }
    fn reject(&mut self, id: MessageId, _retry_after: Option<Duration>) {
        self.outcomes.push((id, true));
    }
    fn abandon(&mut self, id: MessageId) {
        self.outcomes.push((id, false));
    }
    fn close_idle_connections(&mut self, _endpoint: &str) {}
    fn broadcast(&mut self, gossip: &[u8]) {
        self.gossip.push(gossip.to_vec());
    }
    fn set_timer(&mut self, wait: Duration) {
        self.timers.push(wait);
    }
    fn watch_endpoints(&mut self) {}
    fn log(&mut self, _event: &LogEvent) {}
}

/// State of one lightweight instance.
struct State {
    dispatcher: Dispatcher,
    started: Instant,
    timers: BinaryHeap<Reverse<Instant>>,
    /// Number of the last attempt, from 0, of each pending message with an attempt.
    attempts: std::collections::BTreeMap<MessageId, u32>,
    /// Final outcomes that the platform has not confirmed yet; `true` if the message was rejected.
    outcomes: VecDeque<(MessageId, bool)>,
    gossip: VecDeque<Vec<u8>>,
    last_id: MessageId,
}

struct Lightweight {
    state: RefCell<State>,
    /// Notified when a timer is set.
    timer_set: Notify,
    /// Notified when a message has its final outcome.
    outcome_added: Notify,
    /// Notified when there is gossip to send.
    gossip_added: Notify,
    status: Arc<Status>,
    parameters: FleetParameters,
    /// Number of the instance among the lightweight ones, from 0.
    number: u64,
}

impl Lightweight {
    /// Handles an event, and simulates all attempts that it leads to.
    fn handle<T>(&self, event: impl FnOnce(&mut Dispatcher) -> T) -> T {
        let mut state = self.state.borrow_mut();
        let (returned, attempts) = self.handle_one(&mut state, event);
        // Simulated attempts end at once, so their results are reported before any other event.
        let mut attempts = VecDeque::from(attempts);
        while let Some(id) = attempts.pop_front() {
            let attempt = *state.attempts.entry(id).and_modify(|attempts| *attempts += 1).or_insert(0);
            let delivered = attempt >= FAILED_ATTEMPTS;
            let outcome = if delivered { AttemptOutcome::Delivered } else { AttemptOutcome::ConnectFailed };
            if delivered {
                state.attempts.remove(&id);
            }
            let more = self.handle_one(&mut state, |dispatcher| {
                dispatcher.attempt_ended(AttemptResult {
                    message: id,
                    attempt,
                    outcome,
                    duration: Duration::from_millis(1),
                    finished: delivered,
                    load_report: None,
                    connection: None,
                });
            });
            attempts.extend(more.1);
        }
        returned
    }

    /// Handles one event; returns its result and the messages whose attempts are to be simulated.
    fn handle_one<T>(
        &self,
        state: &mut State,
        event: impl FnOnce(&mut Dispatcher) -> T,
    ) -> (T, Vec<MessageId>) {
        let mut actions = Actions::default();
        state.dispatcher.advance_to(state.started.elapsed());
        let returned = event(&mut state.dispatcher);
        state.dispatcher.apply_rules(&mut actions);
        let now = Instant::now();
        if !actions.timers.is_empty() {
            state.timers.extend(actions.timers.iter().map(|wait| Reverse(now + *wait)));
            self.timer_set.notify_one();
        }
        if !actions.outcomes.is_empty() {
            actions.outcomes.iter().for_each(|(id, _)| {
                state.attempts.remove(id);
            });
            state.outcomes.extend(actions.outcomes);
            self.outcome_added.notify_one();
        }
        if !actions.gossip.is_empty() {
            state.gossip.extend(actions.gossip);
            self.gossip_added.notify_one();
        }
        (returned, actions.attempts)
    }

    /// Submits a message that expires after `time_to_live`.
    fn submit(&self, destination: u64, time_to_live: Duration) {
        let id = {
            let mut state = self.state.borrow_mut();
            state.last_id += 1;
            state.last_id
        };
        let deadline = self.state.borrow().started.elapsed() + time_to_live;
        let message = NewMessage {
            id,
            service_class: settings::SERVICE_CLASS,
            ordering_key: None,
            deadline,
            tenant: None,
            destination,
        };
        let accepted = self.handle(|dispatcher| dispatcher.accept(message));
        accepted.expect("the settings have this service class");
    }

    /// Reports a complete list or changes of it to the dispatcher; returns its revision.
    fn apply(&self, list: &Value) -> io::Result<u64> {
        let malformed = || io::Error::from(io::ErrorKind::InvalidData);
        let revision = list["revision"].as_u64().ok_or_else(malformed)?;
        let rows = list["members"].as_array().ok_or_else(malformed)?;
        let is_complete = list["complete"].as_bool().unwrap_or(false);
        let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
        let names: BTreeSet<String> = rows.iter().map(|row| text(row, "id")).collect();
        self.handle(|dispatcher| {
            for row in rows {
                let state = match row["phase"].as_str() {
                    Some("up") => EndpointState::Available,
                    Some("draining") => EndpointState::Draining,
                    _ => EndpointState::Removed,
                };
                let (name, zone, kind) = (text(row, "id"), text(row, "locality"), text(row, "flavor"));
                let destination = row["cell"].as_u64().unwrap_or_default();
                dispatcher.endpoint_updated(EndpointUpdate {
                    name: &name,
                    zone: &zone,
                    kind: &kind,
                    destination,
                    state,
                    listed_rate: row["size"].as_f64(),
                });
            }
            dispatcher.endpoint_list_ended(is_complete.then_some(&names), true);
        });
        let applied_ns = self.parameters.fleet_started.elapsed().as_nanos() as u64;
        self.status.applied_ns.store(applied_ns, Ordering::Release);
        self.status.revision.store(revision, Ordering::Release);
        Ok(revision)
    }

    /// Fetches the complete list if no `revision` is known, then applies changes until the watch ends.
    async fn watch_once(&self, revision: &mut Option<u64>) -> io::Result<()> {
        let address = self.parameters.control_address;
        let after = match *revision {
            Some(revision) => revision,
            None => {
                let mut connection = HttpConnection::open(address).await?;
                let head = request(&mut connection, address, "GET", "/registry/instances", &[]).await?;
                let framing = head.framing().map_err(ConnectionError::from)?;
                let body = timeout(SILENCE_TIMEOUT, connection.body(framing, MAX_LIST_BYTES)).await??;
                let first = self.apply(&serde_json::from_slice(&body)?)?;
                *revision = Some(first);
                // This message has expired when it is submitted, which gives the platform a final outcome to confirm.
                self.submit(1, Duration::ZERO);
                first
            }
        };
        let mut connection = HttpConnection::open(address).await?;
        request(&mut connection, address, "GET", &format!("/registry/instances?watch=1&after={after}"), &[])
            .await?;
        let mut text = Vec::new();
        loop {
            let chunk = timeout(SILENCE_TIMEOUT, connection.chunk(MAX_LIST_BYTES)).await??;
            if chunk.is_empty() {
                return Ok(());
            }
            text.extend_from_slice(&chunk);
            if text.ends_with(b"\n") {
                for line in text.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
                    *revision = Some(self.apply(&serde_json::from_slice(line)?)?);
                }
                text.clear();
            }
        }
    }

    /// Keeps the endpoint list up to date, until the task is aborted.
    async fn follow_discovery(&self) {
        let mut revision = None;
        loop {
            let _ = self.watch_once(&mut revision).await;
            self.handle(Dispatcher::endpoint_list_failed);
            sleep(RETRY_DELAY).await;
        }
    }

    /// Reports final outcomes to the platform until it confirms them; runs until the task is aborted.
    async fn report_outcomes(&self) {
        let mut idle = None;
        loop {
            let (count, body) = {
                let state = self.state.borrow();
                let line = |(id, rejected): &(MessageId, bool)| {
                    let result = if *rejected { "bounced" } else { "dead" };
                    format!("{{\"ref\":\"h{}-{id}\",\"result\":\"{result}\"}}\n", self.number)
                };
                (state.outcomes.len(), state.outcomes.iter().map(line).collect::<String>())
            };
            if count == 0 {
                self.outcome_added.notified().await;
                continue;
            }
            match self.post(idle.take(), body.as_bytes()).await {
                Ok(connection) => {
                    self.state.borrow_mut().outcomes.drain(..count);
                    self.status.confirmed.fetch_add(count as u64, Ordering::Release);
                    idle = Some(connection);
                }
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Reports `body` on an idle or a new connection; returns the connection if the platform confirms it.
    async fn post(&self, idle: Option<HttpConnection>, body: &[u8]) -> io::Result<HttpConnection> {
        let address = self.parameters.control_address;
        let mut connection = match idle {
            Some(connection) => connection,
            None => HttpConnection::open(address).await?,
        };
        let head =
            timeout(SILENCE_TIMEOUT, request(&mut connection, address, "POST", "/v2/finals", body)).await??;
        if head.status == 204 { Ok(connection) } else { Err(io::ErrorKind::InvalidData.into()) }
    }

    /// Reports timers to the dispatcher when they fire, until the task is aborted.
    async fn run_timers(&self) {
        loop {
            let next = self.state.borrow().timers.peek().map(|Reverse(time)| *time);
            let Some(next) = next else {
                self.timer_set.notified().await;
                continue;
            };
            tokio::select! {
                () = sleep_until(next.into()) => {
                    self.state.borrow_mut().timers.pop();
                    self.handle(Dispatcher::timer_fired);
                }
                () = self.timer_set.notified() => {}
            }
        }
    }

    /// Sends and receives gossip, until the task is aborted.
    async fn exchange_gossip(&self, socket: &UdpSocket) {
        let mut octets = [0; MAX_DATAGRAM_BYTES];
        loop {
            tokio::select! {
                received = socket.recv_from(&mut octets) => if let Ok((length, _)) = received {
                    self.handle(|dispatcher| dispatcher.gossip_received(&octets[..length]));
                },
                () = self.gossip_added.notified() => {
                    let messages = std::mem::take(&mut self.state.borrow_mut().gossip);
                    for message in messages {
                        let _ = socket.send_to(&message, self.parameters.relay_address).await;
                    }
                }
            }
        }
    }

    /// Submits a message per [`GOSSIP_INTERVAL`], until the task is aborted. Its first attempts fail, so that its
    /// delivery makes the instance send gossip of a recovery. The instances start at different times, spread evenly
    /// over the interval.
    async fn cause_gossip(&self) {
        let share = self.number as f64 / self.parameters.instances.max(1) as f64;
        sleep(GOSSIP_INTERVAL.mul_f64(share)).await;
        loop {
            self.submit(1 + self.number % self.parameters.destinations, GOSSIP_TIME_TO_LIVE);
            sleep(GOSSIP_INTERVAL).await;
        }
    }
}

/// Runs a lightweight instance until its task is aborted.
async fn run(parameters: FleetParameters, number: u64, status: Arc<Status>, socket: Rc<UdpSocket>) {
    let read = quillhub_settings::dispatcher_from_json(
        parameters.seed + number,
        &settings::instance_settings(parameters.instances),
    );
    let (mut dispatcher, _) = read.expect("the settings of lightweight instances are valid");
    dispatcher.disable_batching();
    let state = State {
        dispatcher,
        started: Instant::now(),
        timers: BinaryHeap::new(),
        attempts: Default::default(),
        outcomes: VecDeque::new(),
        gossip: VecDeque::new(),
        last_id: 0,
    };
    let lightweight = Lightweight {
        state: RefCell::new(state),
        timer_set: Notify::new(),
        outcome_added: Notify::new(),
        gossip_added: Notify::new(),
        status,
        parameters,
        number,
    };
    tokio::join!(
        lightweight.follow_discovery(),
        lightweight.report_outcomes(),
        lightweight.run_timers(),
        lightweight.exchange_gossip(&socket),
        lightweight.cause_gossip(),
    );
}

/// Sends a request on a connection to `address` and returns the head of the response.
async fn request(
    connection: &mut HttpConnection,
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> io::Result<Head> {
    connection.write(&http::request(method, path, &address.to_string(), &[], body)).await?;
    Ok(connection.head().await?)
}

/// Lightweight instances that share one thread, stopped when this is dropped.
pub struct Group {
    /// Status of each instance, in the order of their numbers.
    pub statuses: Vec<Arc<Status>>,
    /// Address at which each instance receives gossip.
    pub addresses: Vec<SocketAddr>,
    restart: UnboundedSender<usize>,
    _worker: MeasuredThread,
}

impl Group {
    /// Starts `count` instances, numbered from `first`.
    pub fn start(parameters: FleetParameters, first: u64, count: u64) -> Result<Self, String> {
        let statuses: Vec<Arc<Status>> = (0..count).map(|_| Arc::default()).collect();
        let (restart, mut restarts) = unbounded_channel::<usize>();
        let thread_statuses = statuses.clone();
        let (worker, addresses) = MeasuredThread::start(move || async move {
            let mut sockets = Vec::new();
            for _ in &thread_statuses {
                sockets.push(Rc::new(UdpSocket::bind("127.0.0.1:0").await?));
            }
            let addresses =
                sockets.iter().map(|socket| socket.local_addr()).collect::<io::Result<Vec<_>>>()?;
            let start = move |index: usize| -> JoinHandle<()> {
                spawn_local(run(
                    parameters,
                    first + index as u64,
                    thread_statuses[index].clone(),
                    sockets[index].clone(),
                ))
            };
            let mut running: Vec<_> = (0..count as usize).map(&start).collect();
            spawn_local(async move {
                while let Some(index) = restarts.recv().await {
                    running[index].abort();
                    running[index] = start(index);
                }
            });
            Ok(addresses)
        })?;
        Ok(Self { statuses, addresses, restart, _worker: worker })
    }

    /// Restarts the instance at `index` without any state, as if it had been killed.
    pub fn restart(&self, index: usize) {
        self.statuses[index].revision.store(0, Ordering::Release);
        self.statuses[index].confirmed.store(0, Ordering::Release);
        let _ = self.restart.send(index);
    }
}
