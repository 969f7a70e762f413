//! Attribution: whether a response belongs to the call that it was read for and is complete, and what it proves until
//! that is known.
//!
//! HTTP/1.1 ties a response to its request by order alone. If an endpoint writes one response too many, the response to
//! each later call on that connection may be that of the call before. A response on a connection that carried an
//! earlier call is therefore unattributed until the connection has been quiet for so long that a response that is still
//! outstanding would have arrived. Until then, a delivered message is kept so that it can be attempted again, and a
//! rejected one counts as possibly executed and as still out.
//!
//! The response to the first call of a connection is its own, but as long as the endpoint may write more, it may turn
//! out to be malformed, and the message to have been executed. A rejection is therefore unattributed too until the
//! connection has been quiet for that long or the endpoint has ended it. A status of 200 stands whatever follows it.
//!
//! Invariant: an unattributed response ends no message finally, and permits no attempt that its class forbids after a
//! possible execution.

use super::backoff::BASE_DELAY;
use super::connection_ledger::TRANSIT_TIME;
use super::permissions::{NextAttempt, OwedOutcome, Permission, Standing};
use super::provisional_ends::ProvisionalEnd;
use super::provisional_response::{ProvisionalResponse, ProvisionalTimes};
use super::state::{Attempt, Endpoint, PendingMessage, RecordedPossibleExecution, State};
use crate::{
    AttemptOutcome, AttemptResult, AttributionTerms, CallId, ConnectionUse, MessageId, ResponseMeaning,
    RetrySafety, Uncertainty, ms,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which no connection to an endpoint is used for a second call after a surplus response from it: far longer
/// than the life of a connection, and short enough for an endpoint that was repaired.
const DISTRUST_PERIOD: Duration = ms(60_000);
/// Age of a surplus response up to which it does not cause distrust: it came together with the response before it, so
/// that no later call could take it for its own. Longer than two reads of one write.
const MAX_ADJACENT_AGE: Duration = ms(5);
/// Unattributed response of a pending message that was not delivered.
pub(crate) struct UnattributedAttempt {
    meaning: ResponseMeaning,
    possible_execution: RecordedPossibleExecution,
    /// Time until which the message gets no retry and no final outcome, at most its deadline: the endpoint may be
    /// executing the call, so that a retry could make two attempts at once, or the attribution decides on both.
    waits_until: Duration,
    /// `true` if a response with status 410 was read later on the connection, which may be the call's own.
    may_be_over: bool,
}

/// Unattributed responses of one pending message, by attempt number.
#[derive(Default)]
pub(crate) struct UnattributedAttempts(BTreeMap<u32, UnattributedAttempt>);

impl UnattributedAttempts {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the time until which the message waits for one of the attributions; zero if there are none.
    pub(super) fn waits_until(&self) -> Duration {
        self.0.values().map(|attempt| attempt.waits_until).max().unwrap_or_default()
    }

    /// Returns `true` if a response with status 410 may be the own one of an attempt. The message then gets no retry, and no
    /// final outcome but abandoned, unless another response is proven to be the own one.
    pub(super) fn may_be_over(&self) -> bool {
        self.0.values().any(|attempt| attempt.may_be_over)
    }

    /// Returns the first attempt by which the message may have been executed, if any.
    pub(super) fn first_possible_execution(&self) -> Option<&RecordedPossibleExecution> {
        self.0.values().map(|attempt| &attempt.possible_execution).min_by_key(|execution| execution.started)
    }
}

impl State {
    /// Returns how an attempt at an endpoint may use connections.
    ///
    /// A connection carries a single call after a surplus response from its endpoint, and if its idle timeout is so short
    /// that it would be closed before a response to a second call could be attributed.
    ///
    /// Messages with an ordering key get a connection of their own: the next message of the key may only be attempted
    /// once the response is attributed. So do calls to an endpoint that may have stopped answering after a copy.
    pub(super) fn connection_use(
        &self,
        message: &PendingMessage,
        (name, endpoint): (&str, &Endpoint),
        timeout: Duration,
    ) -> ConnectionUse {
        if !self.attributes_by_order {
            ConnectionUse::Pooled
        } else if endpoint.distrusted_until > self.now
            || !self.shared.connections.are_kept_for(&endpoint.kind, timeout)
        {
            ConnectionUse::Single
        } else if message.ordering_key.is_some() || self.needs_certain_answer(message.destination, name) {
            ConnectionUse::New
        } else {
            ConnectionUse::Pooled
        }
    }

    /// Returns the terms on which the response to a call of `message` that starts now is attributed.
    ///
    /// The call's deadline is the one that the request states to the endpoint, so that no response is expected later.
    pub(super) fn attribution_terms(&self, message: &PendingMessage, timeout: Duration) -> AttributionTerms {
        let retry_safety = self.class(message).retry_safety;
        AttributionTerms {
            call_deadline: self.now + timeout,
            message_deadline: message.budget.calls_end,
            rests_unless_delivered: retry_safety == RetrySafety::AtMostOnce,
            needs_proof: retry_safety != RetrySafety::Idempotent,
        }
    }

    /// Handles the end of an attempt whose response is unattributed.
    ///
    /// If only its completeness is uncertain, the endpoint has ended the call, and a message that may be executed again
    /// is retried without waiting.
    pub(crate) fn attempt_ended_unattributed(&mut self, result: &AttemptResult, uncertainty: Uncertainty) {
        let Some(attempt) = self.in_flight.remove(&(result.message, result.attempt)) else { return };
        let is_early = self.is_early(&attempt, result);
        if !attempt.added_to_call {
            self.process_result(&attempt, result);
            self.observe_responsiveness(&attempt, result, uncertainty == Uncertainty::Completeness);
        }
        self.add_provisional(&attempt, result, uncertainty, is_early);
        if let Some(key) = attempt.ordering_key {
            let may_still_be_executed = uncertainty == Uncertainty::Call;
            self.ordering.on_ended(key, result.message, may_still_be_executed, self.now);
        }
        let permission = self.permission(&attempt, result.outcome, Standing::Provisional(uncertainty));
        match permission.owed {
            OwedOutcome::None => self.finish(result.message),
            OwedOutcome::Abandonment => self.end_provisionally(&attempt, result),
            OwedOutcome::Any => self.await_settlement(&attempt, result, permission),
        }
    }

    /// Returns `true` if a response came sooner than the endpoint can have answered. One that a proxy writes in place of the
    /// endpoint may come at once.
    fn is_early(&self, attempt: &Attempt, result: &AttemptResult) -> bool {
        let is_from_proxy = matches!(
            result.outcome,
            AttemptOutcome::Over | AttemptOutcome::AttemptsExhausted | AttemptOutcome::NotSent
        );
        let latency = self.latency(attempt.destination, attempt.class);
        !is_from_proxy && latency.is_some_and(|latency| latency.is_early(result.duration))
    }

    /// Starts the backoff of a message whose response is unattributed and says that its final outcome is owed.
    fn await_settlement(&mut self, attempt: &Attempt, result: &AttemptResult, permission: Permission) {
        let possible_execution = self.possible_execution(attempt);
        self.back_off(attempt, result, permission);
        let Some(message) = self.pending.get_mut(&result.message) else { return };
        let call_end = attempt.call_deadline.saturating_add(TRANSIT_TIME).min(message.budget.deadline);
        let waits_until = if permission.waits_for_call { call_end } else { self.now };
        let meaning = ResponseMeaning::of(result.outcome);
        let unattributed =
            UnattributedAttempt { meaning, possible_execution, waits_until, may_be_over: false };
        message.unattributed.0.insert(result.attempt, unattributed);
    }

    /// Adds the response to the provisional ones. It needs no evidence if its message has its final outcome, as nothing
    /// depends on it.
    fn add_provisional(
        &mut self,
        attempt: &Attempt,
        result: &AttemptResult,
        uncertainty: Uncertainty,
        is_early: bool,
    ) {
        let message = self.pending.get(&result.message);
        let is_delivered = result.outcome == AttemptOutcome::Delivered;
        let uncertainty = if message.is_some() { uncertainty } else { Uncertainty::Completeness };
        let latest_retry = message.filter(|_| is_delivered).and_then(|message| {
            let execution = self.possible_execution(attempt);
            self.latest_start_after(message, Some(&execution)).checked_sub(BASE_DELAY)
        });
        let budget = message.map(|message| message.budget);
        let tail_bound = self.tail_bound(attempt.destination, attempt.class);
        let times = ProvisionalTimes {
            started: attempt.started,
            expected_by: attempt.call_deadline.min(attempt.started + tail_bound),
            retry_at: latest_retry.filter(|time| *time > attempt.call_deadline + TRANSIT_TIME),
            delivery_deadline: budget.filter(|_| is_delivered).map(|budget| budget.calls_end),
            expires_at: budget.map_or(Duration::MAX, |budget| budget.decided_by),
            ends_with_call: result.outcome == AttemptOutcome::Over,
        };
        let call = CallId { message: result.message, attempt: result.attempt };
        let response = ProvisionalResponse::new(attempt, times, uncertainty, (result.connection, is_early));
        self.provisional.add(call, response);
    }

    /// Keeps a message of which a response says that it is delivered or over until that is settled.
    fn end_provisionally(&mut self, attempt: &Attempt, result: &AttemptResult) {
        let possible_execution = self.possible_execution(attempt);
        let Some(mut message) = self.pending.remove(&result.message) else { return };
        message.in_flight -= 1;
        let end = ProvisionalEnd {
            attempt: result.attempt,
            meaning: ResponseMeaning::of(result.outcome),
            possible_execution: Some(possible_execution),
            may_be_over: message.unattributed.may_be_over(),
            message,
            is_unprovable: false,
        };
        self.provisional_ends.add(result.message, end);
    }

    /// Returns the attempt as one by which its message may have been executed.
    pub(super) fn possible_execution(&self, attempt: &Attempt) -> RecordedPossibleExecution {
        RecordedPossibleExecution {
            started: attempt.started,
            zone: self.zone_of(attempt.destination, &attempt.endpoint),
        }
    }

    /// Makes the outcome of a call final.
    pub(super) fn attribute(&mut self, call: CallId) {
        self.provisional.remove(call);
        if self.provisional_ends.contains(call) {
            self.finish(call.message);
        } else if let Some(message) = self.unfinished_mut(call.message) {
            message.unattributed.0.remove(&call.attempt);
        }
    }

    /// Handles a response that may belong to an earlier call or is malformed, after its connection was closed: the
    /// message may have been executed and is not known to be delivered. Its ordering key pauses, as after any malformed
    /// rejection.
    pub(crate) fn response_misattributed(&mut self, call: CallId) {
        self.provisional.remove(call);
        if self.provisional_ends.contains(call) {
            self.end_became_unprovable(call.message);
        } else {
            self.attempt_became_unprovable(call);
        }
    }

    /// Handles that the response to a call, after which the message stayed pending, can no longer be proven.
    fn attempt_became_unprovable(&mut self, call: CallId) {
        let Some(message) = self.unfinished_mut(call.message) else { return };
        let Some(attempt) = message.unattributed.0.remove(&call.attempt) else { return };
        let (class, ordering_key) = (message.class, message.ordering_key);
        let retry_safety = self.classes[class].class.retry_safety;
        let permission_of = if attempt.may_be_over { Permission::before_over } else { Permission::of };
        let permission = permission_of(attempt.meaning, Standing::Unprovable, retry_safety);
        if let Some(key) = ordering_key {
            self.ordering.pause_others(key, call.message, self.now);
        }
        let Some(message) = self.unfinished_mut(call.message) else { return };
        if permission.may_be_executed {
            message.may_have_been_executed(attempt.possible_execution);
        }
        message.may_be_attempted &= permission.next_attempt != NextAttempt::Never;
        if permission.owed == OwedOutcome::Abandonment {
            self.end_as_over(call);
        }
    }

    /// Handles that a response with status 410 was read on the connection of a call, after the response that was read for
    /// the call: it may be the call's own.
    ///
    /// Until the call's response is proven, the message is not attempted again. If it is unprovable, as its connection was
    /// closed before, the message is abandoned.
    pub(crate) fn response_may_be_over(&mut self, call: CallId) {
        if self.provisional_ends.contains(call) {
            self.provisional.on_later_over(call);
            if let Some(end) = self.provisional_ends.get_mut(call.message) {
                end.may_be_over = true;
            }
            return;
        }
        let Some(message) = self.unfinished_mut(call.message) else { return };
        let deadline = message.budget.deadline;
        match message.unattributed.0.get_mut(&call.attempt) {
            Some(attempt) => {
                attempt.may_be_over = true;
                attempt.waits_until = deadline;
            }
            None => self.end_as_over(call),
        }
    }

    /// Removes a message from the pending ones that may be over by a call whose response is unprovable.
    fn end_as_over(&mut self, call: CallId) {
        if let Some(end) = self.provisional_ends.get_mut(call.message) {
            end.may_be_over = true;
            return;
        }
        let Some(message) = self.pending.remove(&call.message) else { return };
        let end = ProvisionalEnd {
            attempt: call.attempt,
            meaning: ResponseMeaning::Over,
            possible_execution: None,
            message,
            may_be_over: true,
            is_unprovable: true,
        };
        self.provisional_ends.add(call.message, end);
    }

    /// Returns a message that is pending or whose end is provisional.
    fn unfinished_mut(&mut self, id: MessageId) -> Option<&mut PendingMessage> {
        let ended = self.provisional_ends.get_mut(id).map(|end| &mut end.message);
        ended.or(self.pending.get_mut(&id))
    }

    /// Handles a surplus response, `age` after the response before it: unless it came together with that, each connection
    /// to the endpoint carries a single call for [`DISTRUST_PERIOD`]. A retry-after in it is respected, as it may be the
    /// response to a call whose place an earlier one took. Responses of all endpoints may then be copies.
    pub(crate) fn surplus_response(&mut self, endpoint: &str, age: Duration, retry_after: Option<Duration>) {
        let now = self.now;
        self.suspect_copies_for(DISTRUST_PERIOD);
        for destination in self.destinations.values_mut() {
            let Some(state) = destination.endpoints.get_mut(endpoint) else { continue };
            if age > MAX_ADJACENT_AGE {
                state.distrusted_until = now + DISTRUST_PERIOD;
            }
            if let Some(route) = destination.routes.get_mut(&state.route) {
                route.limit.on_late_retry_after(now, retry_after.unwrap_or_default());
            }
        }
    }
}

#[cfg(test)]
#[path = "tests/attribution.rs"]
mod tests;
