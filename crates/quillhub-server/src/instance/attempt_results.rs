//! Results of attempts: what the log says before an attempt sends its request and after it has ended, and the report to
//! the dispatcher.
//!
//! Invariant: an attempt sends its first byte only after the log contains its start.

use super::attribution::UnattributedResult;
use super::messages::PendingMessage;
use super::{AttemptId, Instance, log_failed_write};
use crate::attempts::{
    AttemptControl, AttemptEnd, AttemptError, ClassifiedResult, Response, STATUS_OVER, UsedConnection,
};
use crate::wal::{FinalResult, RecordKind};
use quillhub::{AttemptOutcome, AttemptResult, ConnectionId, Dispatcher, MessageId, Uncertainty};
use std::cell::RefCell;
use std::rc::Weak;
use std::time::Duration;

/// Control of an attempt by its instance. Once the instance is gone, nothing is permitted.
pub(super) struct InstanceControl {
    pub(super) instance: Weak<RefCell<Instance>>,
    pub(super) id: AttemptId,
}

impl AttemptControl for InstanceControl {
    fn may_send_request(&self) -> bool {
        self.instance.upgrade().is_some_and(|instance| instance.borrow_mut().may_send_request(&self.id))
    }

    fn may_complete_request(&self) -> bool {
        self.instance.upgrade().is_some_and(|instance| instance.borrow().may_complete_request(&self.id))
    }

    fn message_may_be_over(&self) {
        if let Some(instance) = self.instance.upgrade() {
            instance.borrow_mut().log_abandonment(self.id.message);
        }
    }
}

/// Logs the end of an attempt, at level info if the endpoint responded that the message is over.
fn log_attempt_end(
    id: &AttemptId,
    result: &Result<Response, AttemptError>,
    classified: &ClassifiedResult,
    uncertainty: Option<Uncertainty>,
    connection: Option<&UsedConnection>,
) {
    let state = connection.map(|used| used.state);
    let connection = connection.map(|used| used.connection.number());
    let outcome = classified.outcome;
    let response = result.as_ref().ok();
    if let Some(response) = response.filter(|response| response.status == STATUS_OVER) {
        tracing::info!(
            message_id = id.message,
            client_id = %String::from_utf8_lossy(&id.client_id),
            attempt = id.attempt,
            endpoint = id.endpoint,
            connection,
            ?state,
            complete = response.complete,
            is_proven = uncertainty.is_none() && response.complete,
            ?uncertainty,
            ?outcome,
            "endpoint responded that the message is over"
        );
    }
    tracing::debug!(
        message_id = id.message,
        attempt = id.attempt,
        endpoint = id.endpoint,
        connection,
        ?state,
        ?outcome,
        latency = ?response.map(|response| response.latency),
        load_report = ?response.and_then(|response| response.load_report),
        ?uncertainty,
        "attempt ended"
    );
}

impl Instance {
    /// Returns `true` if the attempt may send its request; to be called before its first byte. The log then records
    /// that the message may have been executed.
    ///
    /// Returns `false` if the endpoint is another process by now, if the dispatcher no longer permits the attempt, if the
    /// record cannot be written, or if the process is about to exit. In the last case, the exit would interrupt the attempt
    /// and leave unknown whether the message was executed; the next process makes the attempt instead.
    pub(super) fn may_send_request(&mut self, id: &AttemptId) -> bool {
        let now = self.now();
        let is_permitted = |dispatcher: &Dispatcher| dispatcher.may_send_request(id.message, id.attempt, now);
        let is_same_process = self.pool.process(&id.endpoint) == id.process;
        if self.stopping || !is_same_process || !self.dispatcher.as_ref().is_some_and(is_permitted) {
            return false;
        }
        let started = self.wall_clock.now();
        let written = self.wal.record_attempt_started(id.message, id.attempt, started, &id.endpoint);
        let recorded = written.is_ok();
        log_failed_write(id.message, RecordKind::AttemptStarted, written);
        if let Some(message) = self.messages.get_mut(id.message).filter(|_| recorded) {
            message.may_have_been_sent = true;
        }
        recorded
    }

    fn may_complete_request(&self, id: &AttemptId) -> bool {
        self.dispatcher
            .as_ref()
            .is_some_and(|dispatcher| dispatcher.may_complete_request(id.message, id.attempt))
    }

    /// Records in the log that a message is abandoned, since a response with status 410 was read for it. A restart then
    /// reports it and does not attempt it again. A proof of that response finishes the message instead.
    pub(super) fn log_abandonment(&mut self, id: MessageId) {
        let Some(message) = self.messages.get_mut(id) else { return };
        if !std::mem::replace(&mut message.is_abandonment_logged, true) {
            let written = self.wal.record_outcome_decided(id, FinalResult::Abandoned);
            log_failed_write(id, RecordKind::OutcomeDecided, written);
        }
    }

    /// Records the end of an attempt, `elapsed` after its start, and reports it to the dispatcher.
    pub(super) fn attempt_ended(&mut self, id: &AttemptId, end: AttemptEnd, elapsed: Duration) {
        self.attempt_tasks.remove(&id.call());
        let AttemptEnd { result, connection, replaced } = end;
        let classified = ClassifiedResult::classify(&result, self.load_reports);
        let duration = result.as_ref().map_or(elapsed, |response| response.latency);
        let response = result.is_ok().then(|| classified.meaning());
        let number = connection.as_ref().map(|used| used.connection.number());
        let uncertainty = connection
            .as_ref()
            .zip(response)
            .and_then(|(used, meaning)| used.connection.ledger.uncertainty(meaning, &id.plan.attribution));
        log_attempt_end(id, &result, &classified, uncertainty, connection.as_ref());
        let load_report = result.ok().and_then(|response| response.load_report);
        let load_report = load_report.filter(|_| self.load_reports);
        if let Some(message) = self.messages.get_mut(id.message) {
            message.last_outcome = Some(classified.outcome);
            message.timeline.call_ended();
        }
        if classified.outcome == AttemptOutcome::Over {
            self.log_abandonment(id.message);
        }
        let result = AttemptResult {
            message: id.message,
            attempt: id.attempt,
            outcome: classified.outcome,
            duration,
            finished: classified.finished,
            load_report,
            connection: number.map(ConnectionId),
        };
        match uncertainty.zip(number) {
            Some((uncertainty, connection)) => {
                let id = id.clone();
                let is_before_over = false;
                self.unattributed.insert(UnattributedResult {
                    id,
                    classified,
                    uncertainty,
                    connection,
                    is_before_over,
                });
            }
            None => self.record_attempt(id, &classified),
        }
        let mut effects = self.attempt_connections_ended(id, connection, replaced, response);
        self.record_effects(&mut effects);
        self.handle_event(|dispatcher| {
            match uncertainty {
                Some(uncertainty) => dispatcher.attempt_ended_unattributed(result, uncertainty),
                None => dispatcher.attempt_ended(result),
            }
            effects.report(dispatcher);
        });
    }

    /// Logs and counts a message that was delivered after its deadline.
    fn log_if_late(&mut self, id: &AttemptId, message: &PendingMessage) {
        if message.timeline.is_late() {
            self.figures.late_deliveries += 1;
            let client_id = String::from_utf8_lossy(&message.client_id);
            let times = message.timeline;
            tracing::info!(message_id = id.message, %client_id, %times, "message was finished after its deadline");
        }
    }

    /// Records in the log that an attempt finished its message or is known not to have executed it.
    pub(super) fn record_attempt(&mut self, id: &AttemptId, classified: &ClassifiedResult) {
        if !self.messages.contains(id.message) {
            return;
        }
        if classified.finished {
            log_failed_write(id.message, RecordKind::Finished, self.wal.record_finished(id.message));
            if let Some(message) = self.messages.remove(id.message) {
                self.log_if_late(id, &message);
                self.messages.retain_client_id(self.now(), message.client_id);
            }
        } else if classified.outcome.known_not_executed() {
            log_failed_write(
                id.message,
                RecordKind::NotExecuted,
                self.wal.record_not_executed(id.message, id.attempt),
            );
        }
    }
}
