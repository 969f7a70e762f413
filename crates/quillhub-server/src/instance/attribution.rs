//! Attribution of responses: keeps the results of attempts until it is known that their responses are their own and
//! complete, and records what is known of them.
//!
//! Invariant: the result of an attempt whose response is unattributed is not in the log, so that a restart treats the
//! message as possibly executed. That the message may be over is in the log before anything else depends on it.

use super::connections::CloseReason;
use super::{AttemptId, Instance, log_failed_write};
use crate::attempts::ClassifiedResult;
use crate::wal::{OverSuspicion, RecordKind};
use quillhub::{
    AttributionGround, CallId, Dispatcher, LedgerUpdate, MessageId, ResponseMeaning, Uncertainty,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Result of an attempt whose response is unattributed.
pub(super) struct UnattributedResult {
    pub(super) id: AttemptId,
    pub(super) classified: ClassifiedResult,
    pub(super) uncertainty: Uncertainty,
    /// Number of the connection on which the response was read.
    pub(super) connection: u64,
    /// `true` if the log says that a later response with status 410 may be the call's own.
    pub(super) is_before_over: bool,
}

/// Results of attempts whose responses are unattributed.
#[derive(Default)]
pub(super) struct UnattributedResults(BTreeMap<CallId, UnattributedResult>);

impl UnattributedResults {
    pub(super) fn insert(&mut self, result: UnattributedResult) {
        self.0.insert(result.id.call(), result);
    }

    /// Returns the calls whose responses were read on a connection.
    pub(super) fn calls_on(&self, connection: u64) -> Vec<CallId> {
        let on_connection = self.0.iter().filter(|(_, result)| result.connection == connection);
        on_connection.map(|(call, _)| *call).collect()
    }

    /// Returns the calls of which a response may still be outstanding on a connection, although it was quiet.
    pub(super) fn uncertain_calls_on(&self, connection: u64) -> Vec<CallId> {
        let is_uncertain = |result: &UnattributedResult| {
            result.connection == connection && result.uncertainty == Uncertainty::Call
        };
        self.0.iter().filter(|(_, result)| is_uncertain(result)).map(|(call, _)| *call).collect()
    }

    /// Returns the endpoints and connections on which an attempt of the message may still be out.
    pub(super) fn connections_of(&self, message: MessageId) -> Vec<(String, u64)> {
        let results = self.0.range(CallId::all_of(message)).map(|(_, result)| result);
        let may_be_out = results.filter(|result| result.uncertainty == Uncertainty::Call);
        may_be_out.map(|result| (result.id.endpoint.clone(), result.connection)).collect()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Removes the results of a message that has its final outcome.
    pub(super) fn remove_message(&mut self, message: MessageId) {
        let calls: Vec<_> = self.0.range(CallId::all_of(message)).map(|(call, _)| *call).collect();
        calls.iter().for_each(|call| drop(self.0.remove(call)));
    }
}

/// Surplus response from an endpoint.
pub(super) struct SurplusResponse {
    pub(super) endpoint: String,
    /// Time since the response before it.
    pub(super) age: Duration,
    pub(super) retry_after: Option<Duration>,
}

/// Effects of the events on connections, for the log and the dispatcher.
#[derive(Default)]
pub(super) struct ConnectionEffects {
    pub(super) update: LedgerUpdate,
    pub(super) surplus: Vec<SurplusResponse>,
}

impl ConnectionEffects {
    pub(super) fn add(&mut self, update: LedgerUpdate) {
        self.update.quiet.extend(update.quiet);
        self.update.over_if_copied.extend(update.over_if_copied);
        self.update.possibly_over.extend(update.possibly_over);
        self.update.misattributed.extend(update.misattributed);
    }

    fn is_empty(&self) -> bool {
        self.update.is_empty() && self.surplus.is_empty()
    }

    /// Reports the effects to the dispatcher.
    pub(super) fn report(&self, dispatcher: &mut Dispatcher) {
        self.update.quiet.iter().for_each(|call| dispatcher.connection_quiet(*call));
        self.update.possibly_over.iter().for_each(|call| dispatcher.response_may_be_over(*call));
        self.update.misattributed.iter().for_each(|call| dispatcher.response_misattributed(*call));
        for surplus in &self.surplus {
            dispatcher.surplus_response(&surplus.endpoint, surplus.age, surplus.retry_after);
        }
    }
}

impl Instance {
    /// Applies effects that do not belong to the end of an attempt.
    pub(super) fn apply_effects(&mut self, mut effects: ConnectionEffects) {
        if effects.is_empty() {
            return;
        }
        self.record_effects(&mut effects);
        self.handle_event(|dispatcher| effects.report(dispatcher));
    }

    /// Records which messages may be over, and removes the misattributed results.
    pub(super) fn record_effects(&mut self, effects: &mut ConnectionEffects) {
        let over_if_copied = std::mem::take(&mut effects.update.over_if_copied);
        if self.dispatcher.as_ref().is_some_and(Dispatcher::suspects_copies) {
            effects.update.possibly_over.extend(over_if_copied);
        }
        effects.update.possibly_over.iter().for_each(|call| self.record_possibly_over(*call));
        effects.update.misattributed.iter().for_each(|call| self.remove_misattributed(*call));
    }

    /// Records that a later response with status 410 may be the own one of a call.
    fn record_possibly_over(&mut self, call: CallId) {
        let Some(message) = self.messages.get_mut(call.message) else { return };
        let client_id = String::from_utf8_lossy(&message.client_id);
        tracing::info!(
            message_id = call.message,
            %client_id,
            attempt = call.attempt,
            "a later status 410 on its connection may be the response to this call"
        );
        if let Some(result) = self.unattributed.0.get_mut(&call) {
            result.is_before_over = true;
        }
        self.record_suspicion(call, OverSuspicion::Possible);
    }

    fn record_suspicion(&mut self, call: CallId, suspicion: OverSuspicion) {
        let written = self.wal.record_possibly_over(call.message, call.attempt, suspicion);
        log_failed_write(call.message, RecordKind::PossiblyOver, written);
    }

    /// Writes the result of a call whose response is attributed to the log.
    pub(super) fn record_attributed(&mut self, call: CallId, ground: AttributionGround) {
        if let Some(result) = self.unattributed.0.remove(&call) {
            tracing::debug!(
                message_id = call.message,
                attempt = call.attempt,
                connection = result.connection,
                ?ground,
                rest = ?result.id.rest,
                "response is its call's own"
            );
            if result.classified.meaning() == ResponseMeaning::Over {
                let client_id = String::from_utf8_lossy(&result.id.client_id);
                tracing::info!(message_id = call.message, %client_id, "message is over: its response is proven");
            }
            self.record_attempt(&result.id, &result.classified);
            if result.is_before_over && self.messages.contains(call.message) {
                self.record_suspicion(call, OverSuspicion::RuledOut);
            }
        }
    }

    /// Removes the result of a call whose response is misattributed.
    fn remove_misattributed(&mut self, call: CallId) {
        let Some(result) = self.unattributed.0.remove(&call) else { return };
        let UnattributedResult { id, classified, uncertainty, .. } = result;
        let client_id = String::from_utf8_lossy(&id.client_id);
        let (attempt, endpoint, outcome) = (call.attempt, id.endpoint, classified.outcome);
        match uncertainty {
            Uncertainty::Call => tracing::warn!(
                message_id = call.message,
                %client_id,
                attempt,
                endpoint,
                ?outcome,
                "response may belong to an earlier call on its connection"
            ),
            Uncertainty::Completeness => tracing::info!(
                message_id = call.message,
                %client_id,
                attempt,
                endpoint,
                ?outcome,
                "rejection proves nothing: more may have followed it"
            ),
        }
    }

    /// Removes the result of a call that may still be out, since its endpoint has stopped answering, and closes its
    /// connection, so that the call is not out beside a retry. A call that waits behind it is aborted.
    pub(super) fn end_unanswered_call(&mut self, call: CallId) {
        if let Some(result) = self.unattributed.0.get(&call) {
            let (endpoint, connection) = (result.id.endpoint.clone(), result.connection);
            match self.attempt_tasks.values().find(|task| task.pooled == Some(connection)) {
                Some(task) => {
                    tracing::info!(connection, endpoint, "attempt aborted: an earlier call may still be out");
                    task.abort.abort();
                }
                None => {
                    self.close_idle_connection(endpoint, connection, CloseReason::Unanswered, vec![call]);
                }
            }
        }
        self.remove_misattributed(call);
    }
}

#[cfg(test)]
#[path = "attribution_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "rejection_tests.rs"]
mod rejection_tests;
