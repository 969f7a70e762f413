//! The host: owns the courier, tells it what happened on the sockets, and does there what it asks for.

use crate::endpoints::{self, Answer, Endpoints, Failed};
use crate::http;
use crate::peers::Peers;
use crate::wal::{self, Owed, Wal};
use quillhub::{
    AttemptResult, Dispatcher, Driver, LogEvent, MessageId, NewMessage, PossibleExecution, RecoveredAttempts,
};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// A notice that is held: what its calls and its final answer need. Gone with its end.
struct Notice {
    reference: Box<[u8]>,
    mark: Option<Box<[u8]>>,
    body: Rc<[u8]>,
    sends: u32,
    /// Its record, until that is on file.
    unfiled: Option<Vec<u8>>,
}

impl Notice {
    fn of(owed: Owed, unfiled: Option<Vec<u8>>) -> Self {
        let (reference, mark) = (owed.reference.into(), owed.mark.map(Into::into));
        let sends = owed.sends.last_key_value().map_or(0, |(send, _)| send + 1);
        Self { reference, mark, body: owed.body.into(), sends, unfiled }
    }
}

/// How taking on a notice ended.
#[derive(Debug, PartialEq)]
pub enum Taken {
    On(MessageId),
    Denied(Option<Duration>),
    Failed(&'static str),
    /// What was handed in cannot be a notice.
    Unusable(&'static str),
}

/// A final answer for the platform: the notice, its own name for it, and the wait of a denial.
pub struct Final {
    pub id: MessageId,
    pub reference: Box<[u8]>,
    pub denied: bool,
    pub come_back: Option<Duration>,
}

/// How long the name of a notice that is over is still known: whoever takes it for a new one, or for another's
/// that is still held, does so soon.
const KNOWN: Duration = Duration::from_secs(5);

/// Longer than any destination remembers a mark.
const LONG_AGO: Duration = Duration::from_secs(30 * 24 * 3_600);

pub struct Host {
    me: Weak<RefCell<Host>>,
    /// Out of its place only while it is told something.
    courier: Option<Dispatcher>,
    started: Instant,
    /// What the courier's clock showed at `started`: it begins with what is owed from before.
    before: Duration,
    notices: BTreeMap<MessageId, Notice>,
    /// The clients' names for what is held, and for what is over since a short while; these in turn, with when.
    references: BTreeSet<Box<[u8]>>,
    past: VecDeque<(Duration, Box<[u8]>)>,
    /// The answer of the round that is taking on a notice.
    turned_away: Option<Taken>,
    wal: Wal,
    /// Final answers that the platform has not confirmed; each goes with its confirmation.
    pub finals: VecDeque<Final>,
    pub finals_wait: Rc<Notify>,
    pub endpoints: Endpoints,
    connecting: Duration,
    /// Connections to endpoints, those of calls and idle ones.
    most_connections: usize,
    peers: Option<Rc<Peers>>,
    pub watch_wanted: Rc<Notify>,
    /// Told whenever discovery has said something.
    pub discovery_heard: Rc<Notify>,
    reports: bool,
    /// Calls that are out.
    pub calls: usize,
    /// Set when the process is about to end: nothing new is decided then.
    closing: bool,
}

fn log_failed(what: &str, result: std::io::Result<()>) {
    if let Err(error) = result {
        tracing::error!(%error, "{what} could not be written to the lasting folder");
    }
}

impl Host {
    /// `connecting` bounds the opening of a connection; `reports` says whether answers hold reports.
    pub fn new(
        courier: Dispatcher,
        wal: Wal,
        endpoints: Endpoints,
        connecting: Duration,
        peers: Option<Rc<Peers>>,
        reports: bool,
    ) -> Rc<RefCell<Self>> {
        Rc::new_cyclic(|me| {
            RefCell::new(Self {
                me: me.clone(),
                courier: Some(courier),
                started: Instant::now(),
                before: Duration::ZERO,
                notices: BTreeMap::new(),
                references: BTreeSet::new(),
                past: VecDeque::new(),
                turned_away: None,
                wal,
                finals: VecDeque::new(),
                finals_wait: Rc::new(Notify::new()),
                endpoints,
                connecting,
                most_connections: usize::MAX,
                peers,
                watch_wanted: Rc::new(Notify::new()),
                discovery_heard: Rc::new(Notify::new()),
                reports,
                calls: 0,
                closing: false,
            })
        })
    }

    /// Bounds the connections to endpoints, of which each call takes one. Against calls that nobody answers, which
    /// would take the descriptors of discovery, the platform and the state directory.
    pub fn bound_connections(&mut self, most: usize) {
        self.most_connections = most;
        self.event(|courier| courier.cap_concurrency(most));
    }

    fn now(&self) -> Duration {
        self.before + self.started.elapsed()
    }

    /// Tells the courier what happened, and lets it act. A panic in there ends only the task that told it.
    pub fn event<T>(&mut self, event: impl FnOnce(&mut Dispatcher) -> T) -> T {
        let mut courier = self.courier.take().expect("it is put back below, after a panic too");
        let now = self.now();
        let told = catch_unwind(AssertUnwindSafe(|| {
            courier.advance_to(now);
            let told = event(&mut courier);
            if !self.closing {
                courier.apply_rules(self);
            }
            told
        }));
        self.courier = Some(courier);
        told.unwrap_or_else(|panic| resume_unwind(panic))
    }

    /// Takes back what was owed when the last process ended; what is answered goes to the platform first.
    pub fn take_back(&mut self, all: BTreeMap<MessageId, Owed>) {
        let wall = SystemTime::now();
        // Against a clock that was set back meanwhile: how long ago that was is not known, so that no memory of it
        // is counted on. May write off what a repeat would have saved.
        let ago = |at: &SystemTime| wall.duration_since(*at).unwrap_or(LONG_AGO);
        let runs = all.values().flat_map(|owed| owed.sends.values().flatten()).map(|(at, _)| ago(at));
        self.before = runs.max().unwrap_or_default();
        let now = self.now();
        tracing::info!(notices = all.len(), "owed from before");
        let mut held = Vec::new();
        for (id, owed) in all {
            self.references.insert(owed.reference.as_slice().into());
            if let Some((denied, come_back)) = owed.answer {
                self.finals.push_back(Final { id, reference: owed.reference.into(), denied, come_back });
                continue;
            }
            let lasts = owed.limit.and_then(|limit| limit.duration_since(wall).ok()).unwrap_or_default();
            let first = owed.sends.values().flatten().min();
            let first = first.map(|(at, name)| (now.saturating_sub(ago(at)), name.clone()));
            let (grade, turn, destination) = (owed.grade.clone(), owed.turn, owed.destination);
            let notice = Notice::of(owed, None);
            held.push((id, grade, turn, now + lasts, destination, notice.sends, first));
            self.notices.insert(id, notice);
        }
        self.finals_wait.notify_one();
        let unknown = self.event(|courier| {
            held.retain(|(id, grade, turn, limit, destination, sends, first)| {
                let accepted = courier.accept(NewMessage {
                    id: *id,
                    service_class: grade,
                    ordering_key: *turn,
                    deadline: *limit,
                    tenant: None,
                    destination: *destination,
                });
                let first_execution = first
                    .as_ref()
                    .map(|(started, endpoint)| PossibleExecution { started: *started, endpoint });
                courier.recover(*id, RecoveredAttempts { count: *sends, first_execution });
                accepted.is_err()
            });
            held
        });
        for (id, grade, ..) in unknown {
            tracing::error!(notice = id, grade, "owed, but of no known grade: written off");
            self.abandon(id);
        }
    }

    /// Takes on a notice: the courier is told of it, and if it does not turn it away at once, it is on file.
    #[allow(clippy::too_many_arguments)]
    pub fn take_on(
        &mut self,
        grade: &str,
        turn: Option<u64>,
        lasts: Duration,
        destination: u64,
        reference: &[u8],
        mark: Option<&[u8]>,
        body: &[u8],
    ) -> Taken {
        let now = self.now();
        while let Some((_, past)) = self.past.front().filter(|(at, _)| *at + KNOWN <= now) {
            self.references.remove(past);
            self.past.pop_front();
        }
        // Against ids of notices that are held: two of one name could not be told apart at their endpoints.
        if self.references.contains(reference) {
            return Taken::Unusable("the id is held already");
        }
        if !self.courier.as_ref().is_some_and(|courier| courier.knows_destination(destination)) {
            return Taken::Unusable("unknown destination");
        }
        let id = self.wal.number();
        let owed = Owed {
            grade: grade.into(),
            destination,
            turn,
            limit: Some(SystemTime::now() + lasts),
            reference: reference.into(),
            mark: mark.map(Into::into),
            body: body.into(),
            ..Owed::default()
        };
        let record = wal::taken(&owed);
        let room = self.wal.room().saturating_sub(record.len() as u64);
        let notice = Notice::of(owed, Some(record));
        self.notices.insert(id, notice);
        self.turned_away = None;
        let limit = self.now() + lasts;
        let accepted = self.event(|courier| {
            courier.set_storage_room(room);
            courier.accept(NewMessage {
                id,
                service_class: grade,
                ordering_key: turn,
                deadline: limit,
                tenant: None,
                destination,
            })
        });
        if accepted.is_err() {
            self.notices.remove(&id);
            return Taken::Unusable("unknown grade");
        }
        if let Some(answer) = self.turned_away.take() {
            return answer;
        }
        let name = String::from_utf8_lossy(reference);
        tracing::debug!(notice = id, %name, grade, destination, ?lasts, "taken on");
        self.references.insert(reference.into());
        if let Err(error) = self.file(id) {
            tracing::error!(%error, "a notice could not be taken on");
            self.gone(id);
            return Taken::Failed("the lasting folder cannot be written");
        }
        Taken::On(id)
    }

    fn file(&mut self, id: MessageId) -> std::io::Result<()> {
        let Some(notice) = self.notices.get_mut(&id) else { return Ok(()) };
        if let Some(record) = &notice.unfiled {
            self.wal.taken(id, record)?;
            notice.unfiled = None;
        }
        Ok(())
    }

    /// The client left before it heard that its notice is taken on, or the notice is over for other reasons.
    pub fn gone(&mut self, id: MessageId) {
        if let Some(notice) = self.notices.remove(&id) {
            self.references.remove(&notice.reference);
            if notice.unfiled.is_none() {
                log_failed("an end", self.wal.over(id));
            }
        }
        self.event(|courier| courier.finish(id));
    }

    /// The platform has these final answers: nothing is owed any more.
    pub fn confirmed(&mut self, count: usize) {
        for end in self.finals.drain(..count).collect::<Vec<_>>() {
            log_failed("an end", self.wal.over(end.id));
            self.past.push_back((self.now(), end.reference));
        }
    }

    /// A final answer of the courier: the client's, if it still waits for the first, or else the platform's.
    fn answer(&mut self, id: MessageId, denied: bool, come_back: Option<Duration>) {
        let Some(notice) = self.notices.remove(&id) else { return };
        tracing::debug!(notice = id, denied, ?come_back, sends = notice.sends, "given up");
        if notice.unfiled.is_some() {
            self.turned_away =
                Some(if denied { Taken::Denied(come_back) } else { Taken::Failed("written off") });
            return;
        }
        log_failed("an answer", self.wal.answered(id, denied, come_back));
        self.finals.push_back(Final { id, reference: notice.reference, denied, come_back });
        self.finals_wait.notify_one();
    }

    fn ended(&mut self, id: MessageId, send: u32, name: &str, end: Result<Answer, Failed>, took: Duration) {
        self.calls -= 1;
        let took = end.as_ref().map_or(took, |answer| answer.took);
        let (outcome, over) = endpoints::outcome(&end, self.reports);
        let load_report = end.as_ref().ok().and_then(|answer| answer.load_report).filter(|_| self.reports);
        tracing::debug!(notice = id, send, endpoint = name, ?outcome, ?took, ?load_report, "call ended");
        if self.notices.contains_key(&id) {
            if over {
                log_failed("an end", self.wal.over(id));
                let reference = self.notices.remove(&id).map(|notice| notice.reference);
                self.past.extend(reference.map(|reference| (self.now(), reference)));
            } else if outcome.never_executed() {
                log_failed("an outcome", self.wal.did_not_run(id, send));
            }
        }
        self.event(|courier| {
            courier.attempt_ended(AttemptResult {
                message: id,
                attempt: send,
                outcome,
                duration: took,
                finished: over,
                load_report,
            })
        });
    }

    /// Asked before a call's first byte: whether the courier still wants it to go; if so, it is on file from now on that
    /// it may have run. None begins once the process is about to end: it would be cut off, and may have run; held
    /// back, it is tried by the next one.
    fn begins(&mut self, id: MessageId, send: u32, endpoint: &str) -> bool {
        let now = self.now();
        if self.closing || !self.courier.as_ref().is_some_and(|courier| courier.may_begin(id, send, now)) {
            return false;
        }
        let filed = self.wal.may_have_run(id, send, SystemTime::now(), endpoint);
        let safe = filed.is_ok();
        log_failed("a send", filed);
        safe
    }

    /// Whether nothing is out and nothing is owed.
    pub fn at_rest(&self) -> bool {
        self.calls == 0 && self.notices.is_empty() && self.finals.is_empty()
    }

    /// From now on nothing new is decided and no call begins; what ends is still noted.
    pub fn close(&mut self) {
        self.closing = true;
    }
}

impl Driver for Host {
    fn start_attempt(&mut self, id: MessageId, endpoint: &str, timeout: Duration) {
        let started = Instant::now();
        let filed = self.file(id);
        let Some(message) = self.notices.get_mut(&id) else { return };
        let send = message.sends;
        message.sends += 1;
        let (reference, mark, body) = (message.reference.clone(), message.mark.clone(), message.body.clone());
        let address = self.endpoints.address(endpoint);
        let host = address.map(|at| at.to_string()).unwrap_or_default();
        let request = move |waits: Duration| {
            let waits = format!("{:.3}", waits.as_secs_f64());
            let mut headers = vec![("X-Request-Id", &reference[..])];
            headers.extend(mark.as_deref().map(|mark| ("Idempotency-Key", mark)));
            headers.push(("X-Deadline", waits.as_bytes()));
            http::request("POST", "/events", &host, &headers, &body)
        };
        let on_file = filed.is_ok();
        log_failed("a message", filed);
        let link = self.endpoints.take(endpoint);
        if link.is_none() {
            self.endpoints.close_oldest_beyond(self.most_connections.saturating_sub(self.calls + 1));
        }
        let (me, name, connecting) = (self.me.clone(), endpoint.to_owned(), self.connecting);
        self.calls += 1;
        tracing::debug!(message = id, send, endpoint, ?timeout, kept = link.is_some(), "call goes");
        spawn_local(async move {
            let (asked, to) = (me.clone(), name.clone());
            let goes = move || asked.upgrade().is_some_and(|host| host.borrow_mut().begins(id, send, &to));
            let call = spawn_local(async move {
                match address.filter(|_| on_file) {
                    Some(at) => endpoints::call(link, at, connecting, timeout, request, goes).await,
                    None => (Err(Failed::Here), None),
                }
            });
            // A panic there ends only that call; it may have run.
            let (end, link) = call.await.unwrap_or((Err(Failed::Broken), None));
            let Some(host) = me.upgrade() else { return };
            let mut host = host.borrow_mut();
            if let Some(link) = link {
                host.endpoints.put(&name, link);
            }
            host.ended(id, send, &name, end, started.elapsed());
        });
    }

    fn reject(&mut self, id: MessageId, retry_after: Option<Duration>) {
        self.answer(id, true, retry_after);
    }

    fn abandon(&mut self, id: MessageId) {
        self.answer(id, false, None);
    }

    fn close_idle_connections(&mut self, endpoint: &str) {
        self.endpoints.hang_up(endpoint);
    }

    fn broadcast(&mut self, gossip: &[u8]) {
        if let Some(peers) = &self.peers {
            peers.tell(gossip);
        }
    }

    fn set_timer(&mut self, wait: Duration) {
        let me = self.me.clone();
        spawn_local(async move {
            tokio::time::sleep(wait).await;
            if let Some(host) = me.upgrade() {
                host.borrow_mut().event(Dispatcher::timer_fired);
            }
        });
    }

    fn watch_endpoints(&mut self) {
        self.watch_wanted.notify_one();
    }

    fn log(&mut self, event: &LogEvent) {
        match event {
            LogEvent::HealthChanged { endpoint, destination, before, after } => {
                tracing::info!(endpoint, destination, %before, %after, "endpoint health changed");
            }
            LogEvent::QueueShort { pending, in_flight } => {
                tracing::info!(pending, in_flight, "queue is short");
            }
        }
    }
}

#[cfg(test)]
#[path = "host_tests.rs"]
mod tests;
