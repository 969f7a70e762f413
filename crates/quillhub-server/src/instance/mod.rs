//! The state of one gateway instance: its dispatcher, its messages and their log, its connections to endpoints.
//!
//! Everything on the server that shares state shares it as `Rc<RefCell<Instance>>`, and in no other way. The server
//! runs on one thread; whoever handles an event borrows the instance for just that event and never across an `await`,
//! so that a borrow cannot fail and no lock is needed.
//!
//! Invariant: an attempt sends its first octet only after the log holds the message and the start of the attempt.

mod driver;
mod messages;
mod outcome_queue;
mod recovery;
mod submission;

pub use outcome_queue::FinalOutcome;
pub use submission::{InvalidSubmission, Submission, SubmitOutcome};

use crate::attempts::{AttemptEnd, Verdict};
use crate::gossip::GossipSocket;
use crate::pool::ConnectionPool;
use crate::wal::{AppendError, FinalResult, RecordKind, Wal};
use messages::Messages;
use outcome_queue::OutcomeQueue;
use quillhub::{AttemptResult, Dispatcher, MessageId};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime};
use tokio::sync::Notify;
use tokio::time::Instant;

/// What an instance is made of.
pub struct InstanceParts {
    /// Makes the decisions.
    pub dispatcher: Dispatcher,
    /// The log in the state directory.
    pub wal: Wal,
    /// The connections to endpoints.
    pub pool: ConnectionPool,
    /// Bounds the opening of a connection.
    pub connect_timeout: Duration,
    /// The other instances, where they may be told anything.
    pub gossip: Option<Rc<GossipSocket>>,
    /// Whether responses hold load reports.
    pub load_reports: bool,
}

/// The state of one gateway instance.
pub struct Instance {
    /// Itself, for the tasks that it spawns.
    weak: Weak<RefCell<Instance>>,
    /// None only while it handles an event.
    dispatcher: Option<Dispatcher>,
    started: Instant,
    /// What the dispatcher's clock showed at `started`: it begins with the oldest recovered attempt.
    clock_offset: Duration,
    messages: Messages,
    /// How the submission that is being handled ended, if the dispatcher finished it at once.
    immediate_outcome: Option<SubmitOutcome>,
    wal: Wal,
    outcomes: OutcomeQueue,
    pool: ConnectionPool,
    connect_timeout: Duration,
    /// Connections to endpoints, those of attempts and idle ones.
    max_connections: usize,
    gossip: Option<Rc<GossipSocket>>,
    watch_requested: Rc<Notify>,
    discovery_responded: Rc<Notify>,
    load_reports: bool,
    attempts_in_flight: usize,
    /// Set when the process is about to end: nothing new is decided then.
    stopping: bool,
}

/// One attempt of a message.
#[derive(Clone)]
struct AttemptId {
    message: MessageId,
    /// Counted from 0.
    attempt: u32,
    endpoint: String,
}

/// Logs that a record could not be written. The instance goes on: what is only in memory is lost with the process.
fn log_failed_write(message_id: MessageId, record: RecordKind, result: Result<(), AppendError>) {
    if let Err(error) = result {
        tracing::error!(message_id, ?record, %error, "record could not be written to the state directory");
    }
}

impl Instance {
    /// An instance without messages.
    pub fn new(parts: InstanceParts) -> Rc<RefCell<Self>> {
        Rc::new_cyclic(|weak| {
            RefCell::new(Self {
                weak: weak.clone(),
                dispatcher: Some(parts.dispatcher),
                started: Instant::now(),
                clock_offset: Duration::ZERO,
                messages: Messages::default(),
                immediate_outcome: None,
                wal: parts.wal,
                outcomes: OutcomeQueue::default(),
                pool: parts.pool,
                connect_timeout: parts.connect_timeout,
                max_connections: usize::MAX,
                gossip: parts.gossip,
                watch_requested: Rc::new(Notify::new()),
                discovery_responded: Rc::new(Notify::new()),
                load_reports: parts.load_reports,
                attempts_in_flight: 0,
                stopping: false,
            })
        })
    }

    /// Bounds the connections to endpoints, of which each attempt takes one. Against attempts that nobody answers,
    /// which would take the descriptors of discovery, the platform and the state directory.
    pub fn limit_connections(&mut self, max: usize) {
        self.max_connections = max;
        self.handle_event(|dispatcher| dispatcher.cap_concurrency(max));
    }

    /// Lets the dispatcher handle an event, and carries out what it decides by it. A panic in there ends only the
    /// task that brought the event.
    pub fn handle_event<T>(&mut self, event: impl FnOnce(&mut Dispatcher) -> T) -> T {
        let mut dispatcher = self.dispatcher.take().expect("it is put back below, after a panic too");
        let now = self.now();
        let handled = catch_unwind(AssertUnwindSafe(|| {
            dispatcher.advance_to(now);
            let result = event(&mut dispatcher);
            if !self.stopping {
                dispatcher.apply_rules(self);
            }
            result
        }));
        self.dispatcher = Some(dispatcher);
        handled.unwrap_or_else(|panic| resume_unwind(panic))
    }

    /// The dispatcher's time.
    fn now(&self) -> Duration {
        self.clock_offset + self.started.elapsed()
    }

    /// Discovery lists the endpoint `name` at `address`.
    pub fn endpoint_listed(&mut self, name: &str, address: SocketAddr) {
        self.pool.endpoint_listed(name, address);
    }

    /// Discovery lists the endpoint `name` no longer.
    pub fn endpoint_removed(&mut self, name: &str) {
        self.pool.endpoint_removed(name);
    }

    /// Discovery's list is complete: no endpoint but those that are `listed` is left.
    pub fn keep_only_endpoints(&mut self, listed: impl Fn(&str) -> bool) {
        self.pool.keep_only(listed);
    }

    /// Notified when the dispatcher wants to hear of the endpoint list's changes.
    pub fn watch_requested(&self) -> Rc<Notify> {
        self.watch_requested.clone()
    }

    /// Notified whenever discovery has responded.
    pub fn discovery_responded(&self) -> Rc<Notify> {
        self.discovery_responded.clone()
    }

    /// Where an endpoint is, if it is listed.
    #[cfg(test)]
    pub fn endpoint_address(&self, name: &str) -> Option<SocketAddr> {
        self.pool.address(name)
    }

    /// Closes idle connections that have expired or were closed by their endpoint.
    pub fn close_expired_connections(&mut self) {
        self.pool.close_expired();
    }

    /// Notified when a final outcome waits for the platform.
    pub fn outcome_decided(&self) -> Rc<Notify> {
        self.outcomes.added()
    }

    /// The final outcomes that the platform has not confirmed, oldest first.
    pub fn unconfirmed_outcomes(&self) -> impl Iterator<Item = &FinalOutcome> {
        self.outcomes.iter()
    }

    /// A final outcome as it stands after a decision of the dispatcher.
    #[cfg(test)]
    pub fn add_outcome(&mut self, outcome: FinalOutcome) {
        self.outcomes.add(outcome);
    }

    /// The platform has the oldest `count` outcomes: nothing is left to do for their messages.
    pub fn outcomes_confirmed(&mut self, count: usize) {
        for outcome in self.outcomes.take_oldest(count) {
            log_failed_write(outcome.message, RecordKind::Finished, self.wal.finished(outcome.message));
            self.messages.remember_client_id(self.now(), outcome.client_id);
        }
    }

    /// The client left before it heard that its message is accepted.
    pub fn withdraw(&mut self, id: MessageId) {
        if let Some(message) = self.messages.remove(id) {
            self.messages.release_client_id(&message.client_id);
            if message.unwritten_record.is_none() {
                log_failed_write(id, RecordKind::Finished, self.wal.finished(id));
            }
        }
        self.handle_event(|dispatcher| dispatcher.finish(id));
    }

    /// Writes the record of a message's acceptance, if that is still to be done.
    fn write_record(&mut self, id: MessageId) -> Result<(), AppendError> {
        let Some(message) = self.messages.get_mut(id) else { return Ok(()) };
        if let Some(record) = &message.unwritten_record {
            self.wal.accepted(id, record)?;
            message.unwritten_record = None;
        }
        Ok(())
    }

    /// The dispatcher gives a message up. The client hears of it, if it still waits for the submission's outcome, or
    /// else the platform.
    fn finish(&mut self, id: MessageId, result: FinalResult) {
        let Some(message) = self.messages.remove(id) else { return };
        tracing::debug!(
            message_id = id,
            ?result,
            attempts = message.attempts,
            "message finished undelivered"
        );
        if message.unwritten_record.is_some() {
            self.immediate_outcome = Some(result.into());
            return;
        }
        log_failed_write(id, RecordKind::OutcomeDecided, self.wal.outcome_decided(id, result));
        self.outcomes.add(FinalOutcome { message: id, client_id: message.client_id, result });
    }

    /// Asked before an attempt's first octet: whether the dispatcher still wants it to be sent; if so, the log says
    /// from now on that the message may have been executed. None begins once the process is about to end: it would be
    /// cut off, and may have been executed; not begun, it is made by the next process.
    fn may_send_request(&mut self, id: &AttemptId) -> bool {
        let now = self.now();
        let wanted = |dispatcher: &Dispatcher| dispatcher.may_send_request(id.message, id.attempt, now);
        if self.stopping || !self.dispatcher.as_ref().is_some_and(wanted) {
            return false;
        }
        let written = self.wal.attempt_started(id.message, id.attempt, SystemTime::now(), &id.endpoint);
        let recorded = written.is_ok();
        log_failed_write(id.message, RecordKind::AttemptStarted, written);
        recorded
    }

    /// An attempt has ended `elapsed` after its start.
    fn attempt_ended(&mut self, id: &AttemptId, end: AttemptEnd, elapsed: Duration) {
        let AttemptId { message, attempt, ref endpoint } = *id;
        self.attempts_in_flight -= 1;
        if let Some(connection) = end.reusable {
            self.pool.put_back(endpoint, connection);
        }
        let verdict = Verdict::of(&end.result, self.load_reports);
        let duration = end.result.as_ref().map_or(elapsed, |response| response.latency);
        let load_report = end.result.ok().and_then(|response| response.load_report);
        let load_report = load_report.filter(|_| self.load_reports);
        let outcome = verdict.outcome;
        tracing::debug!(
            message_id = message,
            attempt,
            endpoint,
            ?outcome,
            ?duration,
            ?load_report,
            "attempt ended"
        );
        self.record_attempt(id, &verdict);
        let finished = verdict.finished;
        self.handle_event(|dispatcher| {
            dispatcher.attempt_ended(AttemptResult {
                message,
                attempt,
                outcome,
                duration,
                finished,
                load_report,
            })
        });
    }

    /// Whether no attempt is in flight, and no message or outcome is left.
    pub fn is_idle(&self) -> bool {
        self.attempts_in_flight == 0 && self.messages.is_empty() && self.outcomes.is_empty()
    }

    /// Whether the platform has confirmed every final outcome.
    pub fn all_outcomes_confirmed(&self) -> bool {
        self.outcomes.is_empty()
    }

    /// Attempts that have not ended.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts_in_flight
    }

    /// From now on nothing new is decided and no attempt begins; the ends of attempts are still recorded.
    pub fn stop_deciding(&mut self) {
        self.stopping = true;
    }
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
