//! Responsiveness: whether an endpoint still answers calls, which decides what the silence on a connection proves.
//!
//! A response on a reused connection may be a copy of an earlier one. If so, the response to the last call is
//! outstanding, and silence until the deadline of that call shows that it is not, unless the endpoint has stopped
//! answering: it is silent then too. The silence therefore counts only together with what other calls show.
//!
//! Invariant: a response of this table is attributed only after its connection was quiet, and never once a later call
//! has shown that the endpoint did not answer.

use super::connections::EndpointKey;
use super::latency::{ASSUMED_LATENCY, LatencyWindow};
use super::state::{Attempt, State};
use crate::{AttemptOutcome, AttemptResult, CallId, ConnectionId, DestinationId, Driver, Uncertainty};
use std::collections::BTreeMap;
use std::time::Duration;

/// Unattributed response.
pub(crate) struct ProvisionalResponse {
    uncertainty: Uncertainty,
    endpoint: EndpointKey,
    /// Start of the call.
    started: Duration,
    /// Time until which the endpoint may respond to the call.
    call_deadline: Duration,
    /// Deadline of the message, by which the response is attributed if nothing speaks against it.
    message_deadline: Duration,
    /// Time at which the message is attempted again if no later call was answered by then; `None` if it is not to be.
    retry_at: Option<Duration>,
    connection: Option<ConnectionId>,
    /// `true` once the connection was quiet until the deadline of its last call.
    is_quiet: bool,
    /// `true` once a later call has shown that the endpoint had stopped answering.
    is_refuted: bool,
}

impl ProvisionalResponse {
    pub(super) fn new(
        attempt: &Attempt,
        (message_deadline, retry_at): (Duration, Option<Duration>),
        uncertainty: Uncertainty,
        connection: Option<ConnectionId>,
    ) -> Self {
        Self {
            uncertainty,
            endpoint: (attempt.destination, attempt.endpoint.clone()),
            started: attempt.started,
            call_deadline: attempt.call_deadline,
            message_deadline,
            retry_at,
            connection,
            is_quiet: false,
            is_refuted: false,
        }
    }
}

/// Call in flight at an endpoint with provisional responses.
struct CallInFlight<'a> {
    endpoint: &'a EndpointKey,
    started: Duration,
    /// `true` if it has been in flight for longer than calls at a healthy endpoint take.
    is_overdue: bool,
}

/// Whether a provisional response is its call's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attribution {
    Attributed,
    Misattributed,
}

/// What the calls to an endpoint show about whether it answers.
#[derive(Default)]
struct Evidence {
    /// Start of the last call that was answered, by connection.
    last_answered: BTreeMap<ConnectionId, Duration>,
    /// Start of the last call after which any response was read.
    possibly_answered: Duration,
    /// Start of the last call that was certainly answered: the first one of its connection, or one with an answered call
    /// behind it on its connection, of whose two responses a copy can be only one.
    certainly_answered: Duration,
}

impl Evidence {
    /// Handles the response to a call that started at `started`.
    fn on_answer(&mut self, started: Duration, connection: ConnectionId, is_own: bool) {
        self.possibly_answered = self.possibly_answered.max(started);
        let before = self.last_answered.insert(connection, started);
        let certain = if is_own { Some(started) } else { before };
        self.certainly_answered = self.certainly_answered.max(certain.unwrap_or_default());
    }

    /// Returns `true` if the endpoint certainly answered a call that started after `time`.
    fn has_answer_after(&self, time: Duration) -> bool {
        self.certainly_answered > time
    }
}

/// Provisional responses of all endpoints, and the evidence on them.
#[derive(Default)]
pub(crate) struct ProvisionalResponses {
    responses: BTreeMap<CallId, ProvisionalResponse>,
    /// Evidence by endpoint, for endpoints with provisional responses.
    evidence: BTreeMap<EndpointKey, Evidence>,
}

impl ProvisionalResponses {
    /// Adds a response that was read.
    pub(super) fn add(&mut self, call: CallId, response: ProvisionalResponse) {
        self.evidence.entry(response.endpoint.clone()).or_default();
        self.responses.insert(call, response);
    }

    /// Removes the response to a call, if it is provisional, and the evidence that concerns no other response.
    pub(super) fn remove(&mut self, call: CallId) {
        let Some(response) = self.responses.remove(&call) else { return };
        let same_endpoint = self.responses.values().filter(|other| other.endpoint == response.endpoint);
        let Some(oldest) = same_endpoint.map(|other| other.started).min() else {
            self.evidence.remove(&response.endpoint);
            return;
        };
        if let Some(evidence) = self.evidence.get_mut(&response.endpoint) {
            evidence.last_answered.retain(|_, started| *started >= oldest);
        }
    }

    /// Handles the quiet time of the connection with the response to `call`.
    fn on_quiet(&mut self, call: CallId) {
        if let Some(response) = self.responses.get_mut(&call) {
            response.is_quiet = true;
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
        if let Some(evidence) = self.evidence.get_mut(endpoint) {
            evidence.on_answer(started, connection, is_own);
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
            let is_silent_since = !is_answering && !evidence.has_answer_after(response.started);
            let may_be_a_copy = is_silent_since || response.connection == Some(connection);
            response.is_refuted |= may_be_a_copy && response.uncertainty == Uncertainty::Call;
        }
    }

    /// Returns the response of which it is known at `now` whether it is its call's own, if there is one, given the calls in
    /// flight.
    fn find_settled(&self, now: Duration, in_flight: &[CallInFlight]) -> Option<(CallId, Attribution)> {
        let attribution = |response: &ProvisionalResponse| {
            if response.is_refuted || self.is_to_be_repeated(response, now) {
                return Some(Attribution::Misattributed);
            }
            if now >= response.message_deadline && self.is_silent(response, in_flight) {
                return Some(Attribution::Misattributed);
            }
            let is_known = response.uncertainty == Uncertainty::Completeness
                || now >= response.message_deadline
                || self.is_answering(response, in_flight);
            (response.is_quiet && is_known).then_some(Attribution::Attributed)
        };
        self.responses.iter().find_map(|(call, response)| Some((*call, attribution(response)?)))
    }

    /// Returns `true` if nothing is known of the endpoint since this call, and it is time to attempt the message again.
    fn is_to_be_repeated(&self, response: &ProvisionalResponse, now: Duration) -> bool {
        let is_last = || self.evidence[&response.endpoint].possibly_answered <= response.started;
        let is_due = response.retry_at.is_some_and(|retry_at| retry_at <= now);
        response.uncertainty == Uncertainty::Call && response.is_quiet && is_due && is_last()
    }

    /// Returns `true` if the endpoint has certainly answered a call that started after the deadline of this one, and none in
    /// between is unanswered.
    fn is_answering(&self, response: &ProvisionalResponse, in_flight: &[CallInFlight]) -> bool {
        let evidence = &self.evidence[&response.endpoint];
        let between = response.started..evidence.certainly_answered;
        let is_unanswered =
            |call: &CallInFlight| *call.endpoint == response.endpoint && between.contains(&call.started);
        evidence.has_answer_after(response.call_deadline) && !in_flight.iter().any(is_unanswered)
    }

    /// Returns `true` if a later call has been waiting for longer than calls at a healthy endpoint take, and no call that
    /// started after it was certainly answered.
    fn is_silent(&self, response: &ProvisionalResponse, in_flight: &[CallInFlight]) -> bool {
        let evidence = &self.evidence[&response.endpoint];
        let is_unanswered = |call: &CallInFlight| {
            *call.endpoint == response.endpoint
                && call.is_overdue
                && call.started >= response.started
                && !evidence.has_answer_after(call.started)
        };
        response.uncertainty == Uncertainty::Call
            && !evidence.has_answer_after(response.started)
            && in_flight.iter().any(is_unanswered)
    }

    /// Returns the time after `now` at which the next response may be settled without further evidence, or `None` if
    /// there is none.
    pub(super) fn next_deadline(&self, now: Duration) -> Option<Duration> {
        let times = |response: &ProvisionalResponse| [Some(response.message_deadline), response.retry_at];
        let times = self.responses.values().flat_map(times).flatten();
        times.filter(|time| *time > now).min()
    }

    /// Ends the time in which something could speak for or against the responses.
    fn stop_waiting(&mut self) {
        self.responses.values_mut().for_each(|response| response.message_deadline = Duration::ZERO);
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
            | AttemptOutcome::NotSent => {}
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

    /// Rule: settles the first provisional response of which it is known whether it is its call's own.
    ///
    /// It is not if the endpoint may have stopped answering. It is if the connection was quiet and the endpoint has
    /// certainly answered a call that started after the deadline of this one, with none in between unanswered; without
    /// such a call, at the deadline of the message unless one has been waiting for too long. If only its completeness was uncertain, it is as soon as the
    /// connection was quiet.
    ///
    /// If the endpoint has answered no later call at all and the response came sooner than any recent one, a message that
    /// may be executed again is attempted again as late as possible.
    pub(crate) fn settle_response(&mut self, driver: &mut dyn Driver) -> bool {
        let in_flight = self.calls_beside_provisional();
        let Some((call, attribution)) = self.provisional.find_settled(self.now, &in_flight) else {
            if let Some(next) = self.provisional.next_deadline(self.now) {
                self.next_due = self.next_due.min(next);
            }
            return false;
        };
        match attribution {
            Attribution::Attributed => {
                self.attribute(call);
                driver.response_attributed(call);
            }
            Attribution::Misattributed => {
                self.response_misattributed(call);
                driver.response_misattributed(call);
            }
        }
        true
    }

    /// Attributes the responses on connections that were or will be quiet, as the process is about to end and no later
    /// call will show more.
    pub(crate) fn stop_waiting_for_evidence(&mut self) {
        self.provisional.stop_waiting();
    }
}

#[cfg(test)]
#[path = "tests/responsiveness.rs"]
mod tests;
