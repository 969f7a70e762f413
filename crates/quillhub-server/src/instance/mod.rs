//! State of one gateway instance: its dispatcher, its messages, the write-ahead log, and its connections to endpoints.
//!
//! All tasks of the server share this state as `Rc<RefCell<Instance>>`, and in no other way. The server runs on one
//! thread. A task borrows the instance while it handles one event and never across an `await`, so that a borrow cannot
//! fail and no lock is needed.
//!
//! Invariant: an attempt sends its first byte only after the log contains the message and the start of the attempt.

mod attempt_results;
mod attribution;
mod connections;
mod driver;
mod figures;
mod messages;
mod outcome_queue;
mod recovery;
mod submission;
mod timeline;

pub use outcome_queue::FinalOutcome;
pub use submission::{InvalidSubmission, Submission, SubmitOutcome};
pub use timeline::CommandTimes;
#[cfg(test)]
pub use timeline::MessageTimeline;

use crate::gossip::GossipSocket;
use crate::pool::{ConnectionPool, EndpointProcess};
use crate::wal::{AppendError, FinalResult, RecordKind, Wal};
use crate::wall_clock::WallClock;
use attribution::UnattributedResults;
use figures::Figures;
use messages::Messages;
use outcome_queue::OutcomeQueue;
use quillhub::{AttemptPlan, CallId, Dispatcher, MessageId};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Components from which [`Instance::new`] creates an instance.
pub struct InstanceParts {
    /// Dispatcher that decides when and where messages are attempted.
    pub dispatcher: Dispatcher,
    /// Write-ahead log in the state directory.
    pub wal: Wal,
    /// Wall clock of the times in the log.
    pub wall_clock: WallClock,
    /// Addresses of the endpoints and idle connections to them.
    pub pool: ConnectionPool,
    /// Maximum time for opening a connection to an endpoint.
    pub connect_timeout: Duration,
    /// Socket for gossip with the other instances; `None` if gossip is disabled.
    pub gossip: Option<Rc<GossipSocket>>,
    /// `true` if the settings declare that responses contain load reports.
    pub load_reports: bool,
}

/// State of one gateway instance.
pub struct Instance {
    /// Reference to this instance, for the tasks that it spawns.
    weak: Weak<RefCell<Instance>>,
    /// `None` only while the dispatcher handles an event.
    dispatcher: Option<Dispatcher>,
    started: Instant,
    /// Time of the dispatcher's clock at `started`. The clock is at zero at the start of the oldest recovered attempt
    /// that may have executed its message.
    clock_offset: Duration,
    messages: Messages,
    /// Tasks of the attempts in flight.
    attempt_tasks: BTreeMap<CallId, AttemptTask>,
    /// Results of attempts whose responses are unattributed.
    unattributed: UnattributedResults,
    /// Outcome of the submission being handled, if the dispatcher finished its message immediately.
    immediate_outcome: Option<SubmitOutcome>,
    wal: Wal,
    wall_clock: WallClock,
    outcomes: OutcomeQueue,
    figures: Figures,
    /// Figures that were logged last.
    logged_figures: Figures,
    pool: ConnectionPool,
    connect_timeout: Duration,
    /// Maximum number of connections to endpoints, those of attempts and idle ones together.
    max_connections: usize,
    gossip: Option<Rc<GossipSocket>>,
    watch_requested: Rc<Notify>,
    discovery_responded: Rc<Notify>,
    load_reports: bool,
    /// Set when the process is about to exit; the dispatcher makes no further decisions then.
    stopping: bool,
}

/// Task of an attempt in flight.
struct AttemptTask {
    abort: AbortHandle,
    /// Number of the pooled connection that the attempt was given, if any.
    pooled: Option<u64>,
}

/// Identifies one attempt to deliver a message, with the endpoint that it is made at.
#[derive(Clone)]
struct AttemptId {
    message: MessageId,
    /// Number of the attempt among those of the message, counted from 0.
    attempt: u32,
    endpoint: String,
    /// Process of the endpoint at the start of the attempt; `None` if it was not listed.
    process: Option<EndpointProcess>,
    /// Client id of the message, for the log.
    client_id: Box<[u8]>,
    plan: AttemptPlan,
    /// Number of the pooled connection that the attempt was given, if any.
    pooled: Option<u64>,
    /// Time from the last response on the pooled connection to the start of the call, if there was one.
    rest: Option<Duration>,
}

impl AttemptId {
    fn call(&self) -> CallId {
        CallId { message: self.message, attempt: self.attempt }
    }
}

/// Logs an error if a record could not be written. The instance continues to work, but what the record says is known
/// only in memory and is lost when the process exits.
fn log_failed_write(message_id: MessageId, record: RecordKind, result: Result<(), AppendError>) {
    if let Err(error) = result {
        tracing::error!(message_id, ?record, %error, "record could not be written to the state directory");
    }
}

impl Instance {
    /// Creates an instance without messages.
    pub fn new(parts: InstanceParts) -> Rc<RefCell<Self>> {
        Rc::new_cyclic(|weak| {
            RefCell::new(Self {
                weak: weak.clone(),
                dispatcher: Some(parts.dispatcher),
                started: Instant::now(),
                clock_offset: Duration::ZERO,
                messages: Messages::default(),
                attempt_tasks: BTreeMap::new(),
                unattributed: UnattributedResults::default(),
                immediate_outcome: None,
                wal: parts.wal,
                wall_clock: parts.wall_clock,
                outcomes: OutcomeQueue::default(),
                figures: Figures::default(),
                logged_figures: Figures::default(),
                pool: parts.pool,
                connect_timeout: parts.connect_timeout,
                max_connections: usize::MAX,
                gossip: parts.gossip,
                watch_requested: Rc::new(Notify::new()),
                discovery_responded: Rc::new(Notify::new()),
                load_reports: parts.load_reports,
                stopping: false,
            })
        })
    }

    /// Limits the number of connections to endpoints, of which each attempt needs one. Prevents attempts without a
    /// response from exhausting the file descriptors that discovery, the platform and the state directory need.
    pub fn limit_connections(&mut self, max: usize) {
        self.max_connections = max;
        self.handle_event(|dispatcher| dispatcher.cap_concurrency(max));
    }

    /// Passes an event to the dispatcher and executes the resulting decisions. A panic while doing so ends only the
    /// task that reported the event.
    pub fn handle_event<T>(&mut self, event: impl FnOnce(&mut Dispatcher) -> T) -> T {
        let mut dispatcher =
            self.dispatcher.take().expect("the dispatcher is restored after each event, even after a panic");
        let now = self.now();
        let handled = catch_unwind(AssertUnwindSafe(|| {
            dispatcher.advance_to(now);
            let result = event(&mut dispatcher);
            if self.stopping {
                dispatcher.settle_responses(self);
            } else {
                dispatcher.apply_rules(self);
            }
            result
        }));
        self.dispatcher = Some(dispatcher);
        handled.unwrap_or_else(|panic| resume_unwind(panic))
    }

    /// Returns the current time of the dispatcher's clock.
    fn now(&self) -> Duration {
        self.clock_offset + self.started.elapsed()
    }

    /// Sets the process of the endpoint `name`, which an endpoint list contains.
    pub fn endpoint_listed(&mut self, name: &str, process: EndpointProcess) {
        self.pool.endpoint_listed(name, process);
    }

    /// Removes the endpoint `name` and closes its idle connections.
    pub fn endpoint_removed(&mut self, name: &str) {
        self.pool.endpoint_removed(name);
    }

    /// Removes all endpoints except those that are `listed`, after a complete list.
    pub fn keep_only_endpoints(&mut self, listed: impl Fn(&str) -> bool) {
        self.pool.keep_only(listed);
    }

    /// Returns the `Notify` that is notified when the dispatcher requests a watch of the endpoint list.
    pub fn watch_requested(&self) -> Rc<Notify> {
        self.watch_requested.clone()
    }

    /// Returns the `Notify` that is notified when discovery has responded.
    pub fn discovery_responded(&self) -> Rc<Notify> {
        self.discovery_responded.clone()
    }

    /// Returns the address of an endpoint, or `None` if it is not listed.
    #[cfg(test)]
    pub fn endpoint_address(&self, name: &str) -> Option<std::net::SocketAddr> {
        self.pool.process(name).map(|process| process.address)
    }

    /// Closes idle connections that expired, and writes the records of final outcomes that could not be written before.
    pub fn close_expired_connections(&mut self) {
        self.wal.write_kept();
        self.pool.drop_retired();
    }

    /// Returns the `Notify` that is notified when a final outcome is queued for the platform.
    pub fn outcome_decided(&self) -> Rc<Notify> {
        self.outcomes.added()
    }

    /// Returns the final outcomes of undelivered messages that are not being reported to the platform, oldest first.
    #[cfg(test)]
    pub fn unconfirmed_outcomes(&self) -> impl Iterator<Item = &FinalOutcome> {
        self.outcomes.iter()
    }

    /// Queues a final outcome, as `finish_undelivered` does.
    #[cfg(test)]
    pub fn add_outcome(&mut self, outcome: FinalOutcome) {
        self.outcomes.add(outcome);
    }

    /// Takes the oldest unconfirmed outcomes, at most `max`, to report them to the platform.
    pub fn take_unreported_outcomes(&mut self, max: usize) -> Vec<FinalOutcome> {
        self.outcomes.take(max)
    }

    /// Puts outcomes back whose report was given up.
    pub fn return_unreported_outcomes(&mut self, outcomes: Vec<FinalOutcome>) {
        self.outcomes.put_back(outcomes);
    }

    /// Finishes the messages of outcomes that the platform confirmed or cannot read.
    pub fn outcomes_confirmed(&mut self, outcomes: Vec<FinalOutcome>) {
        self.outcomes.confirmed(outcomes.len());
        for outcome in outcomes {
            self.log_if_slow(&outcome);
            log_failed_write(
                outcome.message,
                RecordKind::Finished,
                self.wal.record_finished(outcome.message),
            );
            self.messages.retain_client_id(self.now(), outcome.client_id);
        }
    }

    /// Logs and counts a final outcome that was decided late or confirmed slowly.
    fn log_if_slow(&mut self, outcome: &FinalOutcome) {
        if outcome.timeline.is_slow() {
            self.figures.slow_outcomes += 1;
            let client_id = String::from_utf8_lossy(&outcome.client_id);
            let times = outcome.timeline;
            tracing::info!(message_id = outcome.message, %client_id, result = ?outcome.result, %times, "final outcome was slow");
        }
    }

    /// Finishes the message of the oldest outcome, as if the platform had confirmed it.
    #[cfg(test)]
    pub fn confirm_oldest_outcome(&mut self) {
        let outcomes = self.take_unreported_outcomes(1);
        self.outcomes_confirmed(outcomes);
    }

    /// Counts a command that waited for long before it was executed.
    pub fn command_waited(&mut self) {
        self.figures.waited_commands += 1;
    }

    /// Logs the figures if they have changed since they were logged last.
    pub fn log_figures(&mut self) {
        if self.figures == self.logged_figures {
            return;
        }
        self.logged_figures = self.figures;
        let Figures { waited_commands, stale_submissions, slow_outcomes, late_deliveries } = self.figures;
        tracing::info!(
            waited_commands,
            stale_submissions,
            slow_outcomes,
            late_deliveries,
            "figures since the start"
        );
    }

    /// Withdraws a message whose acceptance was not confirmed to its client: its record or the reply could not be
    /// written. Its client id stays in use if it may have been sent, so that it is not executed twice if it comes again.
    pub fn withdraw(&mut self, id: MessageId) {
        if let Some(message) = self.messages.remove(id) {
            let client_id = String::from_utf8_lossy(&message.client_id);
            let may_have_been_sent = message.may_have_been_sent;
            tracing::info!(message_id = id, %client_id, may_have_been_sent, "message is withdrawn: not confirmed");
            if may_have_been_sent {
                self.messages.retain_client_id(self.now(), message.client_id);
            } else {
                self.messages.remove_client_id(&message.client_id);
            }
            if message.unwritten_acceptance.is_none() {
                log_failed_write(id, RecordKind::Finished, self.wal.record_finished(id));
            }
        }
        self.handle_event(|dispatcher| dispatcher.finish(id));
    }

    /// Writes the record of a message's acceptance unless it is written already.
    fn write_acceptance(&mut self, id: MessageId) -> Result<(), AppendError> {
        let Some(message) = self.messages.get_mut(id) else { return Ok(()) };
        if let Some(record) = &message.unwritten_acceptance {
            self.wal.record_accepted(id, record)?;
            message.unwritten_acceptance = None;
        }
        Ok(())
    }

    /// Ends a message that the dispatcher rejects or abandons. Reports the result to the client if the submission is
    /// still being handled, and otherwise to the platform.
    fn finish_undelivered(&mut self, id: MessageId, result: FinalResult) {
        let Some(message) = self.messages.remove(id) else { return };
        self.unattributed.remove_message(id);
        let (attempts, mut timeline) = (message.attempts, message.timeline);
        timeline.decided();
        if message.unwritten_acceptance.is_some() {
            tracing::debug!(message_id = id, ?result, "message is rejected or abandoned at once");
            self.immediate_outcome = Some(result.into());
            return;
        }
        let client_id = String::from_utf8_lossy(&message.client_id);
        let last_outcome = message.last_outcome;
        tracing::info!(message_id = id, %client_id, ?result, attempts, ?last_outcome, "message is rejected or abandoned");
        self.abort_attempts_of(id);
        if !message.is_abandonment_logged {
            log_failed_write(id, RecordKind::OutcomeDecided, self.wal.record_outcome_decided(id, result));
        }
        self.outcomes.add(FinalOutcome { message: id, client_id: message.client_id, result, timeline });
    }

    /// Gives up the attempts in flight of a message that has its final outcome.
    fn abort_attempts_of(&self, id: MessageId) {
        for (call, task) in self.attempt_tasks.range(CallId::all_of(id)) {
            tracing::info!(
                message_id = id,
                attempt = call.attempt,
                "attempt aborted: its message has its final outcome"
            );
            task.abort.abort();
        }
    }

    /// Returns `true` if no attempt is in flight, no message is pending, and the platform has confirmed every final
    /// outcome.
    pub fn is_idle(&self) -> bool {
        self.attempt_tasks.is_empty() && self.messages.is_empty() && self.outcomes.is_empty()
    }

    /// Returns `true` if the platform has confirmed every final outcome.
    pub fn all_outcomes_confirmed(&self) -> bool {
        self.outcomes.is_empty()
    }

    /// Returns the number of attempts that have not ended.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempt_tasks.len()
    }

    /// Returns `true` if a response may still turn out to belong to an earlier call.
    pub fn has_unattributed_responses(&self) -> bool {
        !self.unattributed.is_empty()
    }

    /// Stops all decisions and prevents attempts from starting. Attempts in flight may end, which is still recorded.
    pub fn stop_deciding(&mut self) {
        self.stopping = true;
    }

    /// Attributes the responses on connections that were quiet and that nothing speaks against, as no later call will show
    /// whether their endpoints still answer.
    pub fn stop_waiting_for_evidence(&mut self) {
        self.handle_event(Dispatcher::stop_waiting_for_evidence);
    }
}

#[cfg(test)]
mod scripted_endpoint;

#[cfg(test)]
#[path = "tests.rs"]
mod tests;

#[cfg(test)]
#[path = "over_tests.rs"]
mod over_tests;
