//! The instance: owns the dispatcher, tells it what happened on the sockets, and does there what it asks for.

use crate::http;
use crate::peers::Peers;
use crate::pool::{self, CallError, ConnectionPool, Response};
use crate::wal::{self, RecoveredMessage, Wal};
use quillhub::{
    AttemptResult, Dispatcher, Driver, MessageId, NewMessage, PossibleExecution, RecoveredAttempts,
};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// A message that is held: what its calls and its final answer need. Gone with its end.
struct PendingMessage {
    client_id: Box<[u8]>,
    idempotency_key: Option<Box<[u8]>>,
    body: Rc<[u8]>,
    attempts: u32,
    /// Its record, until that is on file.
    unwritten_record: Option<Vec<u8>>,
}

impl PendingMessage {
    fn of(recovered: RecoveredMessage, unwritten_record: Option<Vec<u8>>) -> Self {
        let (client_id, idempotency_key) =
            (recovered.client_id.into(), recovered.idempotency_key.map(Into::into));
        let attempts = recovered.attempts.last_key_value().map_or(0, |(attempt, _)| attempt + 1);
        Self { client_id, idempotency_key, body: recovered.body.into(), attempts, unwritten_record }
    }
}

/// How taking on a message ended.
#[derive(Debug, PartialEq)]
pub enum SubmitOutcome {
    Accepted(MessageId),
    Busy {
        retry_after: Option<Duration>,
    },
    Failed(&'static str),
    /// What was handed in cannot be a message.
    Invalid(&'static str),
}

/// A final answer for the platform: the message, its own name for it, and the wait of a denial.
pub struct FinalOutcome {
    pub id: MessageId,
    pub client_id: Box<[u8]>,
    pub rejected: bool,
    pub retry_after: Option<Duration>,
}

/// How long the name of a message that is over is still known: whoever takes it for a new one, or for another's
/// that is still held, does so soon.
const CLIENT_ID_REMEMBERED: Duration = Duration::from_secs(5);

/// Longer than any destination remembers a mark.
const LONG_AGO: Duration = Duration::from_secs(30 * 24 * 3_600);

pub struct Instance {
    weak: Weak<RefCell<Instance>>,
    /// Out of its place only while it is told something.
    dispatcher: Option<Dispatcher>,
    started: Instant,
    /// What the dispatcher's clock showed at `started`: it begins with what is owed from before.
    clock_offset: Duration,
    messages: BTreeMap<MessageId, PendingMessage>,
    /// The clients' names for what is held, and for what is over since a short while; these in ordering_key, with when.
    client_ids: BTreeSet<Box<[u8]>>,
    recently_finished: VecDeque<(Duration, Box<[u8]>)>,
    /// The answer of the round that is taking on a message.
    immediate_outcome: Option<SubmitOutcome>,
    wal: Wal,
    /// FinalOutcome answers that the platform has not confirmed; each goes with its confirmation.
    pub outcomes: VecDeque<FinalOutcome>,
    pub outcome_waits: Rc<Notify>,
    pub pool: ConnectionPool,
    connect_timeout: Duration,
    /// Connections to endpoints, those of calls and idle ones.
    max_connections: usize,
    peers: Option<Rc<Peers>>,
    pub watch_requested: Rc<Notify>,
    /// Told whenever discovery has said something.
    pub discovery_responded: Rc<Notify>,
    reads_load_reports: bool,
    /// Calls that are out.
    pub attempts_in_flight: usize,
    /// Set when the process is about to end: nothing new is decided then.
    stopping: bool,
}

fn log_failed(what: &str, result: std::io::Result<()>) {
    if let Err(error) = result {
        tracing::error!(%error, "{what} could not be written to the lasting folder");
    }
}

impl Instance {
    /// `connect_timeout` bounds the opening of a connection; `reads_load_reports` says whether answers hold reads_load_reports.
    pub fn new(
        dispatcher: Dispatcher,
        wal: Wal,
        pool: ConnectionPool,
        connect_timeout: Duration,
        peers: Option<Rc<Peers>>,
        reads_load_reports: bool,
    ) -> Rc<RefCell<Self>> {
        Rc::new_cyclic(|weak| {
            RefCell::new(Self {
                weak: weak.clone(),
                dispatcher: Some(dispatcher),
                started: Instant::now(),
                clock_offset: Duration::ZERO,
                messages: BTreeMap::new(),
                client_ids: BTreeSet::new(),
                recently_finished: VecDeque::new(),
                immediate_outcome: None,
                wal,
                outcomes: VecDeque::new(),
                outcome_waits: Rc::new(Notify::new()),
                pool,
                connect_timeout,
                max_connections: usize::MAX,
                peers,
                watch_requested: Rc::new(Notify::new()),
                discovery_responded: Rc::new(Notify::new()),
                reads_load_reports,
                attempts_in_flight: 0,
                stopping: false,
            })
        })
    }

    /// Bounds the connections to endpoints, of which each call takes one. Against calls that nobody answers, which
    /// would take the descriptors of discovery, the platform and the state directory.
    pub fn limit_connections(&mut self, most: usize) {
        self.max_connections = most;
        self.handle_event(|dispatcher| dispatcher.cap_concurrency(most));
    }

    fn now(&self) -> Duration {
        self.clock_offset + self.started.elapsed()
    }

    /// Tells the dispatcher what happened, and lets it act. A panic in there ends only the task that told it.
    pub fn handle_event<T>(&mut self, event: impl FnOnce(&mut Dispatcher) -> T) -> T {
        let mut dispatcher = self.dispatcher.take().expect("it is put back below, after a panic too");
        let now = self.now();
        let result = catch_unwind(AssertUnwindSafe(|| {
            dispatcher.advance_to(now);
            let result = event(&mut dispatcher);
            if !self.stopping {
                dispatcher.apply_rules(self);
            }
            result
        }));
        self.dispatcher = Some(dispatcher);
        result.unwrap_or_else(|panic| resume_unwind(panic))
    }

    /// Takes back what was owed when the last process ended; what is answered goes to the platform first.
    pub fn recover(&mut self, all: BTreeMap<MessageId, RecoveredMessage>) {
        let wall = SystemTime::now();
        // Against a clock that was set back meanwhile: how long ago that was is not known, so that no memory of it
        // is counted on. May write off what a repeat would have saved.
        let ago = |at: &SystemTime| wall.duration_since(*at).unwrap_or(LONG_AGO);
        let runs =
            all.values().flat_map(|recovered| recovered.attempts.values().flatten()).map(|(at, _)| ago(at));
        self.clock_offset = runs.max().unwrap_or_default();
        let now = self.now();
        tracing::info!(messages = all.len(), "owed from before");
        let mut held = Vec::new();
        for (id, recovered) in all {
            self.client_ids.insert(recovered.client_id.as_slice().into());
            if let Some((rejected, retry_after)) = recovered.outcome {
                self.outcomes.push_back(FinalOutcome {
                    id,
                    client_id: recovered.client_id.into(),
                    rejected,
                    retry_after,
                });
                continue;
            }
            let time_left =
                recovered.deadline.and_then(|limit| limit.duration_since(wall).ok()).unwrap_or_default();
            let first = recovered.attempts.values().flatten().min();
            let first = first.map(|(at, name)| (now.saturating_sub(ago(at)), name.clone()));
            let (grade, ordering_key, destination) =
                (recovered.service_class.clone(), recovered.ordering_key, recovered.destination);
            let message = PendingMessage::of(recovered, None);
            held.push((id, grade, ordering_key, now + time_left, destination, message.attempts, first));
            self.messages.insert(id, message);
        }
        self.outcome_waits.notify_one();
        let unknown = self.handle_event(|dispatcher| {
            held.retain(|(id, grade, ordering_key, limit, destination, sends, first)| {
                let accepted = dispatcher.accept(NewMessage {
                    id: *id,
                    service_class: grade,
                    ordering_key: *ordering_key,
                    deadline: *limit,
                    tenant: None,
                    destination: *destination,
                });
                let first_execution = first
                    .as_ref()
                    .map(|(started, endpoint)| PossibleExecution { started: *started, endpoint });
                dispatcher.recover(*id, RecoveredAttempts { count: *sends, first_execution });
                accepted.is_err()
            });
            held
        });
        for (id, grade, ..) in unknown {
            tracing::error!(message = id, grade, "owed, but of no known grade: written off");
            self.abandon(id);
        }
    }

    /// Takes on a message: the dispatcher is told of it, and if it does not turn it away at once, it is on file.
    #[allow(clippy::too_many_arguments)]
    pub fn submit(
        &mut self,
        service_class: &str,
        ordering_key: Option<u64>,
        time_left: Duration,
        destination: u64,
        reference: &[u8],
        idempotency_key: Option<&[u8]>,
        body: &[u8],
    ) -> SubmitOutcome {
        let now = self.now();
        while let Some((_, recently_finished)) =
            self.recently_finished.front().filter(|(at, _)| *at + CLIENT_ID_REMEMBERED <= now)
        {
            self.client_ids.remove(recently_finished);
            self.recently_finished.pop_front();
        }
        // Against ids of messages that are held: two of one name could not be told apart at their endpoints.
        if self.client_ids.contains(reference) {
            return SubmitOutcome::Invalid("the id is held already");
        }
        if !self.dispatcher.as_ref().is_some_and(|dispatcher| dispatcher.knows_destination(destination)) {
            return SubmitOutcome::Invalid("unknown destination");
        }
        let id = self.wal.next_id();
        let recovered = RecoveredMessage {
            service_class: service_class.into(),
            destination,
            ordering_key,
            deadline: Some(SystemTime::now() + time_left),
            client_id: reference.into(),
            idempotency_key: idempotency_key.map(Into::into),
            body: body.into(),
            ..RecoveredMessage::default()
        };
        let record = wal::accepted_payload(&recovered);
        let room = self.wal.remaining_capacity().saturating_sub(record.len() as u64);
        let message = PendingMessage::of(recovered, Some(record));
        self.messages.insert(id, message);
        self.immediate_outcome = None;
        let limit = self.now() + time_left;
        let accepted = self.handle_event(|dispatcher| {
            dispatcher.set_storage_room(room);
            dispatcher.accept(NewMessage {
                id,
                service_class,
                ordering_key,
                deadline: limit,
                tenant: None,
                destination,
            })
        });
        if accepted.is_err() {
            self.messages.remove(&id);
            return SubmitOutcome::Invalid("unknown grade");
        }
        if let Some(answer) = self.immediate_outcome.take() {
            return answer;
        }
        let name = String::from_utf8_lossy(reference);
        tracing::debug!(message = id, %name, service_class, destination, ?time_left, "taken on");
        self.client_ids.insert(reference.into());
        if let Err(error) = self.write_record(id) {
            tracing::error!(%error, "a message could not be taken on");
            self.withdraw(id);
            return SubmitOutcome::Failed("the lasting folder cannot be written");
        }
        SubmitOutcome::Accepted(id)
    }

    fn write_record(&mut self, id: MessageId) -> std::io::Result<()> {
        let Some(message) = self.messages.get_mut(&id) else { return Ok(()) };
        if let Some(record) = &message.unwritten_record {
            self.wal.accepted(id, record)?;
            message.unwritten_record = None;
        }
        Ok(())
    }

    /// The client left before it heard that its message is taken on, or the message is over for other reasons.
    pub fn withdraw(&mut self, id: MessageId) {
        if let Some(message) = self.messages.remove(&id) {
            self.client_ids.remove(&message.client_id);
            if message.unwritten_record.is_none() {
                log_failed("an end", self.wal.finished(id));
            }
        }
        self.handle_event(|dispatcher| dispatcher.finish(id));
    }

    /// The platform has these final answers: nothing is owed any more.
    pub fn outcomes_confirmed(&mut self, count: usize) {
        for end in self.outcomes.drain(..count).collect::<Vec<_>>() {
            log_failed("an end", self.wal.finished(end.id));
            self.recently_finished.push_back((self.now(), end.client_id));
        }
    }

    /// A final answer of the dispatcher: the client's, if it still waits for the first, or else the platform's.
    fn finish(&mut self, id: MessageId, rejected: bool, retry_after: Option<Duration>) {
        let Some(message) = self.messages.remove(&id) else { return };
        tracing::debug!(message = id, rejected, ?retry_after, sends = message.attempts, "given up");
        if message.unwritten_record.is_some() {
            self.immediate_outcome = Some(if rejected {
                SubmitOutcome::Busy { retry_after: retry_after }
            } else {
                SubmitOutcome::Failed("written off")
            });
            return;
        }
        log_failed("an answer", self.wal.outcome_decided(id, rejected, retry_after));
        self.outcomes.push_back(FinalOutcome { id, client_id: message.client_id, rejected, retry_after });
        self.outcome_waits.notify_one();
    }

    fn attempt_ended(
        &mut self,
        id: MessageId,
        attempt: u32,
        name: &str,
        end: Result<Response, CallError>,
        took: Duration,
    ) {
        self.attempts_in_flight -= 1;
        let took = end.as_ref().map_or(took, |response| response.latency);
        let (outcome, over) = pool::outcome(&end, self.reads_load_reports);
        let load_report =
            end.as_ref().ok().and_then(|answer| answer.load_report).filter(|_| self.reads_load_reports);
        tracing::debug!(message = id, attempt, endpoint = name, ?outcome, ?took, ?load_report, "call ended");
        if self.messages.contains_key(&id) {
            if over {
                log_failed("an end", self.wal.finished(id));
                let reference = self.messages.remove(&id).map(|message| message.client_id);
                self.recently_finished.extend(reference.map(|reference| (self.now(), reference)));
            } else if outcome.never_executed() {
                log_failed("an outcome", self.wal.not_executed(id, attempt));
            }
        }
        self.handle_event(|dispatcher| {
            dispatcher.attempt_ended(AttemptResult {
                message: id,
                attempt: attempt,
                outcome,
                duration: took,
                finished: over,
                load_report,
            })
        });
    }

    /// Asked before a call's first byte: whether the dispatcher still wants it to go; if so, it is on file from now on that
    /// it may have run. None begins once the process is about to end: it would be cut off, and may have run; held
    /// back, it is tried by the next one.
    fn may_begin(&mut self, id: MessageId, attempt: u32, endpoint: &str) -> bool {
        let now = self.now();
        if self.stopping
            || !self.dispatcher.as_ref().is_some_and(|dispatcher| dispatcher.may_begin(id, attempt, now))
        {
            return false;
        }
        let filed = self.wal.attempt_started(id, attempt, SystemTime::now(), endpoint);
        let safe = filed.is_ok();
        log_failed("a send", filed);
        safe
    }

    /// Whether nothing is out and nothing is recovered.
    pub fn is_idle(&self) -> bool {
        self.attempts_in_flight == 0 && self.messages.is_empty() && self.outcomes.is_empty()
    }

    /// From now on nothing new is decided and no call begins; what ends is still noted.
    pub fn stop_deciding(&mut self) {
        self.stopping = true;
    }
}

impl Driver for Instance {
    fn start_attempt(&mut self, id: MessageId, endpoint: &str, timeout: Duration) {
        let started = Instant::now();
        let filed = self.write_record(id);
        let Some(message) = self.messages.get_mut(&id) else { return };
        let attempt = message.attempts;
        message.attempts += 1;
        let (reference, mark, body) =
            (message.client_id.clone(), message.idempotency_key.clone(), message.body.clone());
        let address = self.pool.address(endpoint);
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
        let link = self.pool.take(endpoint);
        if link.is_none() {
            self.pool.close_oldest_beyond(self.max_connections.saturating_sub(self.attempts_in_flight + 1));
        }
        let (me, name, connect_timeout) = (self.weak.clone(), endpoint.to_owned(), self.connect_timeout);
        self.attempts_in_flight += 1;
        tracing::debug!(message = id, attempt, endpoint, ?timeout, kept = link.is_some(), "call goes");
        spawn_local(async move {
            let (asked, to) = (me.clone(), name.clone());
            let goes = move || {
                asked.upgrade().is_some_and(|instance| instance.borrow_mut().may_begin(id, attempt, &to))
            };
            let call = spawn_local(async move {
                match address.filter(|_| on_file) {
                    Some(at) => pool::call(link, at, connect_timeout, timeout, request, goes).await,
                    None => (Err(CallError::NotSent), None),
                }
            });
            // A panic there ends only that call; it may have run.
            let (end, link) = call.await.unwrap_or((Err(CallError::ConnectionReset), None));
            let Some(instance) = me.upgrade() else { return };
            let mut instance = instance.borrow_mut();
            if let Some(link) = link {
                instance.pool.put_back(&name, link);
            }
            instance.attempt_ended(id, attempt, &name, end, started.elapsed());
        });
    }

    fn reject(&mut self, id: MessageId, retry_after: Option<Duration>) {
        self.finish(id, true, retry_after);
    }

    fn abandon(&mut self, id: MessageId) {
        self.finish(id, false, None);
    }

    fn close_idle_connections(&mut self, endpoint: &str) {
        self.pool.close_idle(endpoint);
    }

    fn broadcast(&mut self, gossip: &[u8]) {
        if let Some(peers) = &self.peers {
            peers.tell(gossip);
        }
    }

    fn set_timer(&mut self, wait: Duration) {
        let me = self.weak.clone();
        spawn_local(async move {
            tokio::time::sleep(wait).await;
            if let Some(instance) = me.upgrade() {
                instance.borrow_mut().handle_event(Dispatcher::timer_fired);
            }
        });
    }

    fn watch_endpoints(&mut self) {
        self.watch_requested.notify_one();
    }

    fn log(&mut self, line: &str) {
        tracing::info!("{line}");
    }
}

#[cfg(test)]
#[path = "instance_tests.rs"]
mod tests;
