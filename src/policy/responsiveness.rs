//! Responsiveness: whether an endpoint still answers calls, which decides what the silence on a connection proves.
//!
//! A response on a reused connection may be a copy of an earlier one. If so, the response to the last call is
//! outstanding, and silence until the deadline of that call shows that it is not, unless the endpoint has stopped
//! answering: it is silent then too. The silence therefore counts only together with what other calls show.
//!
//! Invariant: a response of this table is attributed only after its connection was quiet. If anything suggests that it may
//! be a copy, it is attributed only once another call shows that the endpoint still answered; without that, its message is
//! attempted again as late as possible, or ended as abandoned.

use super::answer_evidence::Evidence;
use super::connections::EndpointKey;
use super::latency::{ASSUMED_LATENCY, LatencyWindow};
use super::provisional_response::ProvisionalResponse;
use super::state::{Attempt, State};
use crate::{AttemptOutcome, AttemptResult, CallId, ConnectionId, DestinationId, Driver, Uncertainty};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

/// Call in flight at an endpoint with provisional responses.
struct CallInFlight<'a> {
    endpoint: &'a EndpointKey,
    started: Duration,
    /// `true` if it has been in flight for longer than calls at a healthy endpoint take.
    is_overdue: bool,
}

/// Ground on which a provisional response is attributed to its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttributionGround {
    /// It was its call's own from the start, and nothing followed it until its connection was quiet.
    Complete,
    /// Later responses followed on its connection.
    Followed,
    /// The endpoint has certainly answered a later call.
    LaterAnswer,
    /// Nothing spoke against it until the deadline of its message.
    Deadline,
    /// Nothing spoke against it until the process stopped.
    Stop,
}

/// What is known of a provisional response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Settlement {
    /// It is its call's own.
    Attributed(AttributionGround),
    /// It may not be its call's own, and the message can still be attempted again, or is to have its final outcome now.
    Misattributed,
    /// Nothing, and the message has its final outcome.
    Expired,
}

/// Provisional responses of all endpoints, and the evidence on them.
#[derive(Default)]
pub(crate) struct ProvisionalResponses {
    responses: BTreeMap<CallId, ProvisionalResponse>,
    /// Times at which a response may be settled without further evidence.
    due: BTreeSet<(Duration, CallId)>,
    /// Responses whose connections were quiet.
    quiet: BTreeSet<CallId>,
    /// Responses that came sooner than their endpoints can have answered.
    early: BTreeSet<CallId>,
    /// Responses that too few later ones have followed, by connection.
    unfollowed: BTreeMap<ConnectionId, BTreeSet<CallId>>,
    /// Evidence by endpoint, for endpoints with provisional responses.
    evidence: BTreeMap<EndpointKey, Evidence>,
    /// Time until which any response may be a copy, as copies were received recently.
    copies_suspected_until: Duration,
    /// `true` once no further call will be made.
    is_stopping: bool,
}

impl ProvisionalResponses {
    /// Adds a response that was read.
    pub(super) fn add(&mut self, call: CallId, response: ProvisionalResponse) {
        let evidence = self.evidence.entry(response.endpoint.clone()).or_default();
        evidence.provisional.insert((response.times.started, call));
        self.due.extend(response.times.due().map(|time| (time, call)));
        if response.is_quiet {
            self.quiet.insert(call);
        }
        if response.is_early {
            self.early.insert(call);
        }
        if let Some(connection) = response.connection {
            self.unfollowed.entry(connection).or_default().insert(call);
        }
        self.responses.insert(call, response);
    }

    /// Removes the response to a call, if it is provisional, and the evidence that concerns no other response.
    pub(super) fn remove(&mut self, call: CallId) {
        let Some(response) = self.responses.remove(&call) else { return };
        for time in response.times.due() {
            self.due.remove(&(time, call));
        }
        self.quiet.remove(&call);
        self.early.remove(&call);
        if let Some(connection) = response.connection {
            self.remove_unfollowed(connection, call);
        }
        let Some(evidence) = self.evidence.get_mut(&response.endpoint) else { return };
        evidence.provisional.remove(&(response.times.started, call));
        match evidence.provisional.first() {
            Some(&(oldest, _)) => evidence.last_answered.retain(|_, started| *started >= oldest),
            None => drop(self.evidence.remove(&response.endpoint)),
        }
    }

    fn remove_unfollowed(&mut self, connection: ConnectionId, call: CallId) {
        let Some(calls) = self.unfollowed.get_mut(&connection) else { return };
        calls.remove(&call);
        if calls.is_empty() {
            self.unfollowed.remove(&connection);
        }
    }

    /// Handles the quiet time of the connection with the response to `call`.
    fn on_quiet(&mut self, call: CallId) {
        if let Some(response) = self.responses.get_mut(&call) {
            response.is_quiet = true;
            self.quiet.insert(call);
        }
    }

    /// Handles a response with status 410 that was read after the response to `call` on its connection.
    pub(super) fn on_later_over(&mut self, call: CallId) {
        if let Some(response) = self.responses.get_mut(&call) {
            response.is_before_over = true;
        }
    }

    /// Handles the response to a call that started at `started`; `is_own` is `true` if it is known to be its call's own.
    fn on_answer(
        &mut self,
        endpoint: &EndpointKey,
        started: Duration,
        connection: ConnectionId,
        is_own: bool,
    ) {
        let Some(evidence) = self.evidence.get_mut(endpoint) else { return };
        evidence.on_answer(started, connection, is_own);
        let earlier: Vec<_> = self.unfollowed.get(&connection).into_iter().flatten().copied().collect();
        for call in earlier {
            let Some(response) = self.responses.get_mut(&call) else { continue };
            if response.times.started < started {
                response.on_following_response();
                if !response.needs_evidence() {
                    self.remove_unfollowed(connection, call);
                }
            }
        }
    }

    /// Handles the timeout of a call that started at `started`.
    ///
    /// If no call that started later was certainly answered, the endpoint may have been silent since its last certain
    /// answer, and each unattributed response to a call after that may have been a copy. Otherwise this holds only for
    /// the connection of the call.
    fn on_timeout(&mut self, endpoint: &EndpointKey, started: Duration, connection: ConnectionId) {
        let Some(evidence) = self.evidence.get(endpoint) else { return };
        let is_answering = evidence.has_answer_after(started);
        for response in self.responses.values_mut().filter(|response| response.endpoint == *endpoint) {
            let is_silent_since = !is_answering && !evidence.has_answer_after(response.times.started);
            let may_be_a_copy = is_silent_since || response.connection == Some(connection);
            response.is_refuted |= may_be_a_copy && response.uncertainty == Uncertainty::Call;
        }
    }

    /// Returns a response of which all is known at `now` that will be known, if there is one, given the calls in flight.
    fn find_settled(&self, now: Duration, in_flight: &[CallInFlight]) -> Option<(CallId, Settlement)> {
        let due = self.due.iter().take_while(|(time, _)| *time <= now).map(|(_, call)| call);
        self.quiet.iter().chain(due).find_map(|call| {
            let response = self.responses.get(call)?;
            Some((*call, self.settlement(response, now, in_flight)?))
        })
    }

    fn settlement(
        &self,
        response: &ProvisionalResponse,
        now: Duration,
        in_flight: &[CallInFlight],
    ) -> Option<Settlement> {
        if let Some(ground) = self.proof(response, in_flight).filter(|_| response.is_quiet) {
            return Some(Settlement::Attributed(ground));
        }
        if response.is_quiet && response.times.ends_with_call {
            return Some(Settlement::Misattributed);
        }
        if response.is_quiet && self.may_be_copy(response, now, in_flight) {
            if response.retry_at().is_some_and(|retry_at| retry_at <= now) {
                return Some(Settlement::Misattributed);
            }
        } else if response.is_quiet
            && response.times.delivery_deadline.is_some_and(|deadline| self.is_stopping || deadline <= now)
        {
            let ground = if self.is_stopping { AttributionGround::Stop } else { AttributionGround::Deadline };
            return Some(Settlement::Attributed(ground));
        }
        (response.times.expires_at <= now).then_some(Settlement::Expired)
    }

    /// Returns what proves that the response is its call's own, if anything does, provided that its connection is quiet.
    fn proof(&self, response: &ProvisionalResponse, in_flight: &[CallInFlight]) -> Option<AttributionGround> {
        if response.uncertainty == Uncertainty::Completeness {
            Some(AttributionGround::Complete)
        } else if !response.needs_evidence() {
            Some(AttributionGround::Followed)
        } else if response.is_early {
            // That the endpoint answers others does not show what it answered to this call.
            None
        } else if !response.is_refuted && self.is_answering(response, in_flight) {
            Some(AttributionGround::LaterAnswer)
        } else {
            None
        }
    }

    /// Returns `true` if anything suggests that the response is a copy and its endpoint has stopped answering: a later call
    /// is unanswered, it or an earlier one came too soon, or copies were received recently.
    fn may_be_copy(&self, response: &ProvisionalResponse, now: Duration, in_flight: &[CallInFlight]) -> bool {
        response.is_refuted
            || now < self.copies_suspected_until
            || self.is_behind_early_response(response)
            || self.is_later_call_overdue(response, in_flight)
    }

    /// Returns `true` if the response, or one to an earlier call at its endpoint that is not proven, came sooner than the
    /// endpoint can have answered.
    fn is_behind_early_response(&self, response: &ProvisionalResponse) -> bool {
        self.early.iter().filter_map(|call| self.responses.get(call)).any(|earlier| {
            earlier.endpoint == response.endpoint
                && earlier.needs_evidence()
                && earlier.times.started <= response.times.started
        })
    }

    /// Returns `true` if a later call has been waiting for longer than calls at a healthy endpoint take, and no call that
    /// started after it was certainly answered.
    fn is_later_call_overdue(&self, response: &ProvisionalResponse, in_flight: &[CallInFlight]) -> bool {
        let evidence = &self.evidence[&response.endpoint];
        in_flight.iter().any(|call| {
            *call.endpoint == response.endpoint
                && call.is_overdue
                && call.started >= response.times.started
                && !evidence.has_answer_after(call.started)
        })
    }

    /// Returns `true` if the endpoint has certainly answered a call that started after this one should have been
    /// answered, and none in between is overdue.
    fn is_answering(&self, response: &ProvisionalResponse, in_flight: &[CallInFlight]) -> bool {
        let evidence = &self.evidence[&response.endpoint];
        let between = response.times.started..evidence.certainly_answered;
        let is_overdue = |call: &CallInFlight| {
            *call.endpoint == response.endpoint && call.is_overdue && between.contains(&call.started)
        };
        evidence.has_answer_after(response.times.expected_by) && !in_flight.iter().any(is_overdue)
    }

    /// Returns `true` if a response of the endpoint, whose connection was quiet, may be a copy, and a certain answer would
    /// show that it is none.
    fn needs_certain_answer(&self, endpoint: &EndpointKey, now: Duration) -> bool {
        self.quiet.iter().filter_map(|call| self.responses.get(call)).any(|response| {
            response.endpoint == *endpoint
                && response.needs_evidence()
                && self.may_be_copy(response, now, &[])
        })
    }

    /// Returns the time after `now` at which the next response may be settled without further evidence, or `None` if
    /// there is none.
    pub(super) fn next_deadline(&self, now: Duration) -> Option<Duration> {
        self.due.range((Bound::Excluded((now, CallId::MAX)), Bound::Unbounded)).next().map(|(time, _)| *time)
    }
}

impl State {
    /// Handles the quiet time of the connection with the response to `call`.
    pub(crate) fn connection_quiet(&mut self, call: CallId) {
        self.provisional.on_quiet(call);
    }

    /// Records what the end of a call shows about whether its endpoint answers. `is_own` is `true` unless its response, if
    /// there is one, may belong to an earlier call.
    ///
    /// A timeout shows nothing if the call waited for less time than calls at a healthy endpoint may take.
    pub(super) fn observe_responsiveness(&mut self, attempt: &Attempt, result: &AttemptResult, is_own: bool) {
        let Some(connection) = result.connection else { return };
        let endpoint = (attempt.destination, attempt.endpoint.clone());
        let waited = attempt.call_deadline.saturating_sub(attempt.started);
        match result.outcome {
            AttemptOutcome::Delivered
            | AttemptOutcome::Failed
            | AttemptOutcome::Rejected { .. }
            | AttemptOutcome::AmbiguousRejection { .. }
            | AttemptOutcome::ConnectionLimit => {
                self.provisional.on_answer(&endpoint, attempt.started, connection, is_own);
            }
            AttemptOutcome::TimedOut if waited >= self.tail_bound(attempt.destination, attempt.class) => {
                self.provisional.on_timeout(&endpoint, attempt.started, connection);
            }
            AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionReset
            | AttemptOutcome::Cancelled
            // Written by a proxy in place of the endpoint.
            | AttemptOutcome::NotSent
            | AttemptOutcome::Over
            | AttemptOutcome::AttemptsExhausted => {}
        }
    }

    /// Returns the calls in flight at endpoints with provisional responses.
    fn calls_beside_provisional(&self) -> Vec<CallInFlight<'_>> {
        let attempts = self.in_flight.values().filter_map(|attempt| {
            let key = (attempt.destination, attempt.endpoint.clone());
            let (endpoint, _) = self.provisional.evidence.get_key_value(&key)?;
            let is_overdue = self.now.saturating_sub(attempt.started)
                >= self.tail_bound(attempt.destination, attempt.class);
            Some(CallInFlight { endpoint, started: attempt.started, is_overdue })
        });
        attempts.collect()
    }

    /// Returns the time that a call of a service class stays below at a healthy endpoint of a destination.
    pub(super) fn tail_bound(&self, destination: DestinationId, class: usize) -> Duration {
        self.latency(destination, class).map_or(ASSUMED_LATENCY, LatencyWindow::tail_bound)
    }

    /// Returns `true` if a call to the endpoint should have a connection of its own, so that its response is certainly its
    /// own and shows whether an earlier one may have been a copy.
    pub(super) fn needs_certain_answer(&self, destination: DestinationId, endpoint: &str) -> bool {
        self.provisional.needs_certain_answer(&(destination, endpoint.to_owned()), self.now)
    }

    /// Returns `true` if copies were received recently, so that any response may be one.
    ///
    /// A message whose own response may be a later 410 is given up on this ground alone. A response that came too soon, or
    /// an endpoint that does not answer, shows less: without copies, delivered messages would be given up.
    pub(crate) fn suspects_copies(&self) -> bool {
        self.now < self.provisional.copies_suspected_until
    }

    /// Handles a surplus response: other copies may have passed for responses.
    pub(super) fn suspect_copies_for(&mut self, period: Duration) {
        self.provisional.copies_suspected_until = self.now.saturating_add(period);
    }

    /// Attributes the responses that nothing speaks against, as the process is about to end and no later call will show
    /// more.
    pub(crate) fn stop_waiting_for_evidence(&mut self) {
        self.provisional.is_stopping = true;
    }

    /// Rule: settles the first provisional response of which all is known that will be known.
    ///
    /// It is its call's own if its connection was quiet, and if a later response followed on the connection, or the
    /// endpoint has certainly answered a later call and none in between is overdue. If only its completeness was
    /// uncertain, the quiet is enough. Otherwise, if it may be a copy, its message is attempted again as late as possible,
    /// or else ended as abandoned at its deadline: it is not known to be delivered, and a notification of a message that
    /// is delivered does no harm. A delivery that nothing speaks against is attributed at the deadline of its message.
    pub(crate) fn settle_response(&mut self, driver: &mut dyn Driver) -> bool {
        let in_flight =
            if self.provisional.quiet.is_empty() { Vec::new() } else { self.calls_beside_provisional() };
        let Some((call, settlement)) = self.provisional.find_settled(self.now, &in_flight) else {
            if let Some(next) = self.provisional.next_deadline(self.now) {
                self.next_due = self.next_due.min(next);
            }
            return false;
        };
        match settlement {
            Settlement::Attributed(ground) => {
                self.attribute(call);
                driver.response_attributed(call, ground);
            }
            Settlement::Misattributed => {
                self.response_misattributed(call);
                driver.response_misattributed(call);
            }
            Settlement::Expired => self.provisional.remove(call),
        }
        true
    }
}

#[cfg(test)]
#[path = "tests/responsiveness.rs"]
mod tests;
