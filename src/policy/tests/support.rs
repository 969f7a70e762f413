//! Builders of dispatchers, messages and results for tests, and drivers that record the actions of a dispatcher.

use super::state::{Attempt, Endpoint, Route};
use crate::{
    AttemptOutcome, AttemptPlan, AttemptResult, ConnectionUse, Dispatcher, Driver, EndpointState,
    EndpointUpdate, LoadReport, LogEvent, MessageId, NewMessage, RetrySafety, ServiceClass, Uncertainty,
    ValueDecay, ms,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Destination of all messages unless a test sets another one.
pub(super) const DESTINATION: u64 = 9;
/// Retry safety with a deduplication window of 6 s for all zones.
pub(super) const DEDUPLICATED: RetrySafety = RetrySafety::Deduplicated { window: ms(6_000), per_zone: false };

/// Driver that records the actions that a dispatcher requests, except log events, as one string each.
#[derive(Default)]
pub(super) struct RecordedActions(pub(super) Vec<String>);

impl Driver for RecordedActions {
    fn start_attempt(&mut self, message: MessageId, endpoint: &str, _: AttemptPlan) {
        self.0.push(format!("attempt {message} {endpoint}"));
    }
    fn reject(&mut self, message: MessageId, retry_after: Option<Duration>) {
        self.0.push(format!("reject {message}, retry-after: {}", retry_after.is_some()));
    }
    fn abandon(&mut self, message: MessageId) {
        self.0.push(format!("abandon {message}"));
    }
    fn close_idle_connections(&mut self, endpoint: &str) {
        self.0.push(format!("close idle connections {endpoint}"));
    }
    fn broadcast(&mut self, datagram: &[u8]) {
        self.0.push(format!("broadcast {datagram:?}"));
    }
    fn set_timer(&mut self, wait: Duration) {
        self.0.push(format!("timer {}", wait.as_micros()));
    }
    fn watch_endpoints(&mut self) {
        self.0.push("watch".into());
    }
    fn log(&mut self, _: &LogEvent) {}
}

/// Driver that records the parameters of each attempt.
#[derive(Default)]
pub(super) struct RecordedPlans(pub(super) Vec<AttemptPlan>);

impl Driver for RecordedPlans {
    fn start_attempt(&mut self, _: MessageId, _: &str, plan: AttemptPlan) {
        self.0.push(plan);
    }
    fn reject(&mut self, _: MessageId, _: Option<Duration>) {}
    fn abandon(&mut self, _: MessageId) {}
    fn close_idle_connections(&mut self, _: &str) {}
    fn broadcast(&mut self, _: &[u8]) {}
    fn set_timer(&mut self, _: Duration) {}
    fn watch_endpoints(&mut self) {}
    fn log(&mut self, _: &LogEvent) {}
}

/// Returns a random number generator with a fixed seed.
pub(super) fn rng() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(7)
}

/// Returns an ordered service class with a soft deadline of 1 s, a deadline of 10 s, and linear decay.
pub(super) fn class_of(retry_safety: RetrySafety, value: f64) -> ServiceClass {
    ServiceClass {
        retry_safety,
        soft_deadline: ms(1_000),
        deadline: ms(10_000),
        value,
        late_value_share: 0.1,
        decay: ValueDecay::Linear,
        ordered: true,
    }
}

/// Returns an entry of the endpoint list for an available endpoint of [`DESTINATION`], of kind `k`.
pub(super) fn endpoint_of<'a>(name: &'a str, zone: &'a str) -> EndpointUpdate<'a> {
    EndpointUpdate {
        name,
        zone,
        kind: "k",
        destination: DESTINATION,
        state: EndpointState::Available,
        listed_rate: None,
    }
}

/// Returns the dispatcher of one of two instances, with eight slots, in zone `x`.
///
/// [`DESTINATION`] has the endpoints `a` and `b` in the zones `x` and `y`. The service classes are `standard`, and
/// `valuable` with twice the value.
pub(super) fn dispatcher_for(retry_safety: RetrySafety) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(7, 2, "x");
    dispatcher.set_limits(Some(8), Some(100), Some(5));
    dispatcher.set_max_retry_after(Some(ms(3_000)));
    dispatcher.set_slow_start(2.0, 0.2, ms(10_000));
    dispatcher.set_ordering_pause(ms(700));
    dispatcher.add_service_class("standard", class_of(retry_safety, 1.0));
    dispatcher.add_service_class("valuable", class_of(retry_safety, 2.0));
    dispatcher.endpoint_updated(endpoint_of("a", "x"));
    dispatcher.endpoint_updated(endpoint_of("b", "y"));
    dispatcher.advance_to(ms(1));
    dispatcher
}

/// Returns a message of class `standard` for [`DESTINATION`] with a deadline of 9.5 s after the start.
pub(super) fn message(id: MessageId) -> NewMessage<'static> {
    NewMessage {
        id,
        service_class: "standard",
        ordering_key: None,
        deadline: ms(9_500),
        tenant: None,
        destination: DESTINATION,
    }
}

/// Applies the rules and returns the requested actions except timers.
pub(super) fn actions(dispatcher: &mut Dispatcher) -> Vec<String> {
    let mut driver = RecordedActions::default();
    dispatcher.apply_rules(&mut driver);
    driver.0.retain(|action| !action.starts_with("timer"));
    driver.0
}

/// Submits a message with the deadline of its class, applies the rules, and returns the requested actions.
pub(super) fn submit(dispatcher: &mut Dispatcher, id: MessageId, ordering_key: Option<u64>) -> Vec<String> {
    let deadline = dispatcher.state.now + ms(10_000);
    dispatcher.accept(NewMessage { ordering_key, deadline, ..message(id) }).unwrap();
    actions(dispatcher)
}

/// Returns the result of an attempt after which its message stays pending.
pub(super) fn ended(message: MessageId, attempt: u32, outcome: AttemptOutcome) -> AttemptResult {
    AttemptResult {
        message,
        attempt,
        outcome,
        duration: ms(9),
        finished: false,
        load_report: None,
        connection: None,
    }
}

/// Returns the result of an attempt that delivered its message.
pub(super) fn delivered(message: MessageId, attempt: u32) -> AttemptResult {
    AttemptResult { finished: true, ..ended(message, attempt, AttemptOutcome::Delivered) }
}

/// Returns a dispatcher with message 1, whose attempt ended with `outcome` at 100 ms, of which `uncertainty` remains.
pub(super) fn ended_with(
    retry_safety: RetrySafety,
    outcome: AttemptOutcome,
    uncertainty: Uncertainty,
) -> Dispatcher {
    let mut dispatcher = dispatcher_for(retry_safety);
    assert_eq!(submit(&mut dispatcher, 1, None).len(), 1);
    dispatcher.advance_to(ms(100));
    let finished = outcome == AttemptOutcome::Delivered;
    let result = AttemptResult { finished, ..ended(1, 0, outcome) };
    dispatcher.attempt_ended_unattributed(result, uncertainty);
    dispatcher
}

/// Returns a rejection without a retry-after.
pub(super) fn rejected() -> AttemptOutcome {
    AttemptOutcome::Rejected { retry_after: None }
}

/// Returns a rejection with a retry-after.
pub(super) fn rejected_with_retry_after(retry_after: Duration) -> AttemptOutcome {
    AttemptOutcome::Rejected { retry_after: Some(retry_after) }
}

/// Returns an attempt at an endpoint of [`DESTINATION`] that started at `started`.
pub(super) fn attempt_at(endpoint: &str, started: Duration) -> Attempt {
    let endpoint = endpoint.into();
    Attempt {
        destination: DESTINATION,
        endpoint,
        class: 0,
        ordering_key: None,
        started,
        connection: ConnectionUse::Pooled,
        call_deadline: Duration::ZERO,
        added_to_call: false,
    }
}

/// Processes the outcome of an attempt, without changing the state of a message.
pub(super) fn process_outcome(dispatcher: &mut Dispatcher, attempt: &Attempt, outcome: AttemptOutcome) {
    process_outcome_with_report(dispatcher, attempt, outcome, None);
}

/// Processes the outcome of an attempt with a load report, without changing the state of a message.
pub(super) fn process_outcome_with_report(
    dispatcher: &mut Dispatcher,
    attempt: &Attempt,
    outcome: AttemptOutcome,
    load_report: Option<LoadReport>,
) {
    let result = AttemptResult { load_report, ..ended(0, 0, outcome) };
    dispatcher.state.process_result(attempt, &result);
}

/// Returns an endpoint of [`DESTINATION`].
pub(super) fn endpoint<'a>(dispatcher: &'a Dispatcher, name: &str) -> &'a Endpoint {
    &dispatcher.state.destinations[&DESTINATION].endpoints[name]
}

/// Returns an endpoint of [`DESTINATION`] for modification.
pub(super) fn endpoint_mut<'a>(dispatcher: &'a mut Dispatcher, name: &str) -> &'a mut Endpoint {
    let destination = dispatcher.state.destinations.get_mut(&DESTINATION).unwrap();
    destination.endpoints.get_mut(name).unwrap()
}

/// Returns the only route of [`DESTINATION`].
pub(super) fn route(dispatcher: &Dispatcher) -> &Route {
    &dispatcher.state.destinations[&DESTINATION].routes[""]
}

/// Returns the only route of [`DESTINATION`] for modification.
pub(super) fn route_mut(dispatcher: &mut Dispatcher) -> &mut Route {
    dispatcher.state.destinations.get_mut(&DESTINATION).unwrap().routes.get_mut("").unwrap()
}
