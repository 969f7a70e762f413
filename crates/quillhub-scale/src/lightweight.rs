//! Lightweight instances: the decision module with its real state and the real protocol to discovery, platform and
//! peers, but no clients, no state directory and no calls to endpoints. Many share one thread.

use crate::settings;
use crate::thread::Worker;
use quillhub::{
    AttemptOutcome, AttemptResult, Dispatcher, Driver, EndpointState, EndpointUpdate, LogEvent, MessageId,
    NewMessage,
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

/// From one message that makes an instance gossip to its next: what each of them is assumed to tell.
pub const GOSSIP_GAP: Duration = Duration::from_secs(60);
/// A watch silent for so long has ended, as for a real instance.
const SILENCE: Duration = Duration::from_millis(2_500);
/// Pause after a watch or a call that ended.
const PAUSE: Duration = Duration::from_millis(250);
/// Deadline of the messages that make an instance gossip.
const GOSSIP_DEADLINE: Duration = Duration::from_secs(30);
/// Calls of such a message that fail before one succeeds: two in a row make its destination's return news.
const FAILED_CALLS: u32 = 2;
/// Bytes of a datagram.
const MOST_DATAGRAM: usize = 256;

/// What is seen of a lightweight instance from outside its thread.
#[derive(Debug, Default)]
pub struct Status {
    revision: AtomicU64,
    /// Nanoseconds from the fleet's beginning until that revision was in force.
    in_force_ns: AtomicU64,
    confirmed: AtomicU64,
}

impl Status {
    /// The last revision in force, 0 before the first, and when it came into force since the fleet's beginning.
    pub fn in_force(&self) -> (u64, Duration) {
        let at = Duration::from_nanos(self.in_force_ns.load(Ordering::Acquire));
        (self.revision.load(Ordering::Acquire), at)
    }

    /// Whether its list is in force and the platform has confirmed its final outcome.
    pub fn ready(&self) -> bool {
        self.revision.load(Ordering::Acquire) > 0 && self.confirmed.load(Ordering::Acquire) > 0
    }
}

/// What all lightweight instances of a run have in common.
#[derive(Clone, Copy)]
pub struct Common {
    /// Discovery and platform.
    pub control: SocketAddr,
    /// What reaches all peers.
    pub peers: SocketAddr,
    /// Instances in all, real ones too.
    pub couriers: u64,
    /// Destinations numbered from 1 that messages may be for.
    pub destinations: u64,
    pub seed: u64,
    /// The instant that times count from.
    pub beginning: Instant,
}

/// What the dispatcher asked for in one round.
#[derive(Default)]
struct Actions {
    calls: Vec<MessageId>,
    ended: Vec<(MessageId, bool)>,
    gossip: Vec<Vec<u8>>,
    wakes: Vec<Duration>,
}

impl Driver for Actions {
    fn start_attempt(&mut self, id: MessageId, _endpoint: &str, _timeout: Duration) {
        self.calls.push(id);
    }
    fn reject(&mut self, id: MessageId, _retry_after: Option<Duration>) {
        self.ended.push((id, true));
    }
    fn abandon(&mut self, id: MessageId) {
        self.ended.push((id, false));
    }
    fn close_idle_connections(&mut self, _endpoint: &str) {}
    fn broadcast(&mut self, gossip: &[u8]) {
        self.gossip.push(gossip.to_vec());
    }
    fn set_timer(&mut self, wait: Duration) {
        self.wakes.push(wait);
    }
    fn watch_endpoints(&mut self) {}
    fn log(&mut self, _line: &LogEvent) {}
}

/// The state of one lightweight instance.
struct State {
    dispatcher: Dispatcher,
    started: Instant,
    wakes: BinaryHeap<Reverse<Instant>>,
    /// Calls of each message so far, by its id; ids count up.
    calls: std::collections::BTreeMap<MessageId, u32>,
    outcomes: VecDeque<(MessageId, bool)>,
    gossip: VecDeque<Vec<u8>>,
    next: MessageId,
}

struct Lightweight {
    state: RefCell<State>,
    /// There is something to do for the tasks that wait: a timer, a final outcome, gossip.
    timer: Notify,
    outcomes: Notify,
    gossip: Notify,
    status: Arc<Status>,
    common: Common,
    number: u64,
}

impl Lightweight {
    fn event<T>(&self, event: impl FnOnce(&mut Dispatcher) -> T) -> T {
        let mut state = self.state.borrow_mut();
        let (told, calls) = self.round(&mut state, event);
        // Calls end at once, so what they lead to is told before anything else.
        let mut calls = VecDeque::from(calls);
        while let Some(id) = calls.pop_front() {
            let nth = *state.calls.entry(id).and_modify(|calls| *calls += 1).or_insert(0);
            let delivered = nth >= FAILED_CALLS;
            let outcome = if delivered { AttemptOutcome::Delivered } else { AttemptOutcome::ConnectFailed };
            if delivered {
                state.calls.remove(&id);
            }
            let more = self.round(&mut state, |dispatcher| {
                dispatcher.attempt_ended(AttemptResult {
                    message: id,
                    attempt: nth,
                    outcome,
                    duration: Duration::from_millis(1),
                    finished: delivered,
                    load_report: None,
                });
            });
            calls.extend(more.1);
        }
        told
    }

    /// One event, and the calls that it leads to.
    fn round<T>(&self, state: &mut State, event: impl FnOnce(&mut Dispatcher) -> T) -> (T, Vec<MessageId>) {
        let mut actions = Actions::default();
        state.dispatcher.advance_to(state.started.elapsed());
        let told = event(&mut state.dispatcher);
        state.dispatcher.apply_rules(&mut actions);
        let now = Instant::now();
        if !actions.wakes.is_empty() {
            state.wakes.extend(actions.wakes.iter().map(|wait| Reverse(now + *wait)));
            self.timer.notify_one();
        }
        if !actions.ended.is_empty() {
            actions.ended.iter().for_each(|(id, _)| {
                state.calls.remove(id);
            });
            state.outcomes.extend(actions.ended);
            self.outcomes.notify_one();
        }
        if !actions.gossip.is_empty() {
            state.gossip.extend(actions.gossip);
            self.gossip.notify_one();
        }
        (told, actions.calls)
    }

    fn submit(&self, destination: u64, deadline: Duration) {
        let id = {
            let mut state = self.state.borrow_mut();
            state.next += 1;
            state.next
        };
        let limit = self.state.borrow().started.elapsed() + deadline;
        let message = NewMessage {
            id,
            service_class: settings::CLASS,
            ordering_key: None,
            deadline: limit,
            tenant: None,
            destination,
        };
        let accepted = self.event(|dispatcher| dispatcher.accept(message));
        accepted.expect("the settings have this service class");
    }

    /// Tells the dispatcher a list or changes of it.
    fn apply(&self, list: &Value) -> io::Result<u64> {
        let malformed = || io::Error::from(io::ErrorKind::InvalidData);
        let revision = list["revision"].as_u64().ok_or_else(malformed)?;
        let rows = list["members"].as_array().ok_or_else(malformed)?;
        let whole = list["complete"].as_bool().unwrap_or(false);
        let word = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
        let names: BTreeSet<String> = rows.iter().map(|row| word(row, "id")).collect();
        self.event(|dispatcher| {
            for row in rows {
                let listing = match row["phase"].as_str() {
                    Some("up") => EndpointState::Available,
                    Some("draining") => EndpointState::Draining,
                    _ => EndpointState::Removed,
                };
                let (name, zone, kind) = (word(row, "id"), word(row, "locality"), word(row, "flavor"));
                let owner = row["cell"].as_u64().unwrap_or_default();
                dispatcher.endpoint_updated(EndpointUpdate {
                    name: &name,
                    zone: &zone,
                    kind: &kind,
                    destination: owner,
                    state: listing,
                    listed_rate: row["size"].as_f64(),
                });
            }
            dispatcher.endpoint_list_ended(whole.then_some(&names), true);
        });
        let since = self.common.beginning.elapsed().as_nanos() as u64;
        self.status.in_force_ns.store(since, Ordering::Release);
        self.status.revision.store(revision, Ordering::Release);
        Ok(revision)
    }

    async fn watch_once(&self, revision: &mut Option<u64>) -> io::Result<()> {
        let at = self.common.control;
        let after = match *revision {
            Some(revision) => revision,
            None => {
                let mut link = HttpConnection::open(at).await?;
                let head = ask(&mut link, at, "GET", "/registry/instances", &[]).await?;
                let framing = head.framing().map_err(ConnectionError::from)?;
                let body = timeout(SILENCE, link.body(framing, MAX_LIST_BYTES)).await??;
                let first = self.apply(&serde_json::from_slice(&body)?)?;
                *revision = Some(first);
                // Its one final outcome: a message whose deadline is over when it comes.
                self.submit(1, Duration::ZERO);
                first
            }
        };
        let mut link = HttpConnection::open(at).await?;
        ask(&mut link, at, "GET", &format!("/registry/instances?watch=1&after={after}"), &[]).await?;
        let mut text = Vec::new();
        loop {
            let chunk = timeout(SILENCE, link.chunk(MAX_LIST_BYTES)).await??;
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

    async fn follow_discovery(&self) {
        let mut revision = None;
        loop {
            let _ = self.watch_once(&mut revision).await;
            self.event(Dispatcher::endpoint_list_failed);
            sleep(PAUSE).await;
        }
    }

    async fn report_outcomes(&self) {
        let mut link = None;
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
                self.outcomes.notified().await;
                continue;
            }
            match self.post(link.take(), body.as_bytes()).await {
                Ok(kept) => {
                    self.state.borrow_mut().outcomes.drain(..count);
                    self.status.confirmed.fetch_add(count as u64, Ordering::Release);
                    link = Some(kept);
                }
                Err(_) => sleep(PAUSE).await,
            }
        }
    }

    async fn post(&self, link: Option<HttpConnection>, body: &[u8]) -> io::Result<HttpConnection> {
        let at = self.common.control;
        let mut link = match link {
            Some(link) => link,
            None => HttpConnection::open(at).await?,
        };
        let head = timeout(SILENCE, ask(&mut link, at, "POST", "/v2/finals", body)).await??;
        if head.status == 204 { Ok(link) } else { Err(io::ErrorKind::InvalidData.into()) }
    }

    async fn keep_timers(&self) {
        loop {
            let next = self.state.borrow().wakes.peek().map(|Reverse(at)| *at);
            let Some(next) = next else {
                self.timer.notified().await;
                continue;
            };
            tokio::select! {
                () = sleep_until(next.into()) => {
                    self.state.borrow_mut().wakes.pop();
                    self.event(Dispatcher::timer_fired);
                }
                () = self.timer.notified() => {}
            }
        }
    }

    async fn exchange_gossip(&self, socket: &UdpSocket) {
        let mut octets = [0; MOST_DATAGRAM];
        loop {
            tokio::select! {
                came = socket.recv_from(&mut octets) => if let Ok((length, _)) = came {
                    self.event(|dispatcher| dispatcher.gossip_received(&octets[..length]));
                },
                () = self.gossip.notified() => {
                    let messages = std::mem::take(&mut self.state.borrow_mut().gossip);
                    for message in messages {
                        let _ = socket.send_to(&message, self.common.peers).await;
                    }
                }
            }
        }
    }

    /// A message every so often whose first calls fail: its destination's return is then told to all. The instances'
    /// turns are spread over the gap.
    async fn make_gossip(&self) {
        let turn = self.number as f64 / self.common.couriers.max(1) as f64;
        sleep(GOSSIP_GAP.mul_f64(turn)).await;
        loop {
            self.submit(1 + self.number % self.common.destinations, GOSSIP_DEADLINE);
            sleep(GOSSIP_GAP).await;
        }
    }
}

async fn live(common: Common, number: u64, status: Arc<Status>, socket: Rc<UdpSocket>) {
    let read =
        quillhub_settings::dispatcher_from_json(common.seed + number, &settings::decisions(common.couriers));
    let (mut dispatcher, _) = read.expect("the rig's own settings can be read");
    dispatcher.disable_batching();
    let state = State {
        dispatcher,
        started: Instant::now(),
        wakes: BinaryHeap::new(),
        calls: Default::default(),
        outcomes: VecDeque::new(),
        gossip: VecDeque::new(),
        next: 0,
    };
    let lightweight = Lightweight {
        state: RefCell::new(state),
        timer: Notify::new(),
        outcomes: Notify::new(),
        gossip: Notify::new(),
        status,
        common,
        number,
    };
    tokio::join!(
        lightweight.follow_discovery(),
        lightweight.report_outcomes(),
        lightweight.keep_timers(),
        lightweight.exchange_gossip(&socket),
        lightweight.make_gossip(),
    );
}

/// Asks on `link`, a connection to `at`; the answer's head.
async fn ask(
    link: &mut HttpConnection,
    at: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> io::Result<Head> {
    link.write(&http::request(method, path, &at.to_string(), &[], body)).await?;
    Ok(link.head().await?)
}

/// Lightweight instances that share one thread.
pub struct Group {
    /// One for each, in order.
    pub statuses: Vec<Arc<Status>>,
    /// Where each hears gossip.
    pub addresses: Vec<SocketAddr>,
    restart: UnboundedSender<usize>,
    _worker: Worker,
}

impl Group {
    /// Starts those numbered from `first` on.
    pub fn start(common: Common, first: u64, count: u64) -> Result<Self, String> {
        let statuses: Vec<Arc<Status>> = (0..count).map(|_| Arc::default()).collect();
        let (restart, mut restarts) = unbounded_channel::<usize>();
        let told = statuses.clone();
        let (worker, addresses) = Worker::start(move || async move {
            let mut sockets = Vec::new();
            for _ in &told {
                sockets.push(Rc::new(UdpSocket::bind("127.0.0.1:0").await?));
            }
            let addresses =
                sockets.iter().map(|socket| socket.local_addr()).collect::<io::Result<Vec<_>>>()?;
            let begin = move |nth: usize| -> JoinHandle<()> {
                spawn_local(live(common, first + nth as u64, told[nth].clone(), sockets[nth].clone()))
            };
            let mut running: Vec<_> = (0..count as usize).map(&begin).collect();
            spawn_local(async move {
                while let Some(nth) = restarts.recv().await {
                    running[nth].abort();
                    running[nth] = begin(nth);
                }
            });
            Ok(addresses)
        })?;
        Ok(Self { statuses, addresses, restart, _worker: worker })
    }

    /// Ends one as if it were killed, and starts it anew: all that it knew is gone.
    pub fn restart(&self, nth: usize) {
        self.statuses[nth].revision.store(0, Ordering::Release);
        self.statuses[nth].confirmed.store(0, Ordering::Release);
        let _ = self.restart.send(nth);
    }
}
