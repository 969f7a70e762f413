//! Builders for states, messages and outcomes, and drivers that record what a dispatcher asks for.

use super::state::{Attempt, Endpoint, Route};
use crate::{
    AttemptOutcome, AttemptResult, Dispatcher, Driver, EndpointState, EndpointUpdate, LoadReport, LogEvent,
    MessageId, NewMessage, RetrySafety, ServiceClass, ValueDecay, ms,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The destination of all messages here, but where a test says otherwise.
pub(super) const DESTINATION: u64 = 9;
pub(super) const DEDUPLICATED: RetrySafety = RetrySafety::Deduplicated { window: ms(6_000), per_zone: false };

/// Records what a dispatcher asks for, one line each.
#[derive(Default)]
pub(super) struct RecordedActions(pub(super) Vec<String>);

impl Driver for RecordedActions {
    fn start_attempt(&mut self, message: MessageId, endpoint: &str, _: Duration) {
        self.0.push(format!("attempt {message} {endpoint}"));
    }
    fn reject(&mut self, message: MessageId, retry_after: Option<Duration>) {
        self.0.push(format!("reject {message} {}", retry_after.is_some()));
    }
    fn abandon(&mut self, message: MessageId) {
        self.0.push(format!("abandon {message}"));
    }
    fn close_idle_connections(&mut self, endpoint: &str) {
        self.0.push(format!("close idle connections {endpoint}"));
    }
    fn broadcast(&mut self, gossip: &[u8]) {
        self.0.push(format!("broadcast {gossip:?}"));
    }
    fn set_timer(&mut self, wait: Duration) {
        self.0.push(format!("timer {}", wait.as_micros()));
    }
    fn watch_endpoints(&mut self) {
        self.0.push("watch".into());
    }
    fn log(&mut self, _: &LogEvent) {}
}

/// Records the timeout of each attempt.
#[derive(Default)]
pub(super) struct RecordedTimeouts(pub(super) Vec<Duration>);

impl Driver for RecordedTimeouts {
    fn start_attempt(&mut self, _: MessageId, _: &str, timeout: Duration) {
        self.0.push(timeout);
    }
    fn reject(&mut self, _: MessageId, _: Option<Duration>) {}
    fn abandon(&mut self, _: MessageId) {}
    fn close_idle_connections(&mut self, _: &str) {}
    fn broadcast(&mut self, _: &[u8]) {}
    fn set_timer(&mut self, _: Duration) {}
    fn watch_endpoints(&mut self) {}
    fn log(&mut self, _: &LogEvent) {}
}

pub(super) fn rng() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(7)
}

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

/// An entry of the endpoint list for [`DESTINATION`]; its kind is `k`.
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

/// A dispatcher of two instances with eight slots, and [`DESTINATION`] with endpoints `a` and `b` in zones x and y.
/// Its classes are `g`, and `dear` of twice the value.
pub(super) fn dispatcher_for(retry_safety: RetrySafety) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(7, 2, "x");
    dispatcher.set_limits(Some(8), Some(100), Some(5));
    dispatcher.set_max_retry_after(Some(ms(3_000)));
    dispatcher.set_slow_start(2.0, 0.2, ms(10_000));
    dispatcher.set_ordering_pause(ms(700));
    dispatcher.add_service_class("g", class_of(retry_safety, 1.0));
    dispatcher.add_service_class("dear", class_of(retry_safety, 2.0));
    dispatcher.endpoint_updated(endpoint_of("a", "x"));
    dispatcher.endpoint_updated(endpoint_of("b", "y"));
    dispatcher.advance_to(ms(1));
    dispatcher
}

/// A message of class `g` for [`DESTINATION`], due in the first seconds.
pub(super) fn message(id: MessageId) -> NewMessage<'static> {
    NewMessage {
        id,
        service_class: "g",
        ordering_key: None,
        deadline: ms(9_500),
        tenant: None,
        destination: DESTINATION,
    }
}

/// What a dispatcher asks for now, but for timers.
pub(super) fn actions(dispatcher: &mut Dispatcher) -> Vec<String> {
    let mut recorded = RecordedActions::default();
    dispatcher.apply_rules(&mut recorded);
    recorded.0.retain(|action| !action.starts_with("timer"));
    recorded.0
}

/// Hands in a message with the class's whole time; what the dispatcher asks for then.
pub(super) fn submit(dispatcher: &mut Dispatcher, id: MessageId, ordering_key: Option<u64>) -> Vec<String> {
    let deadline = dispatcher.state.now + ms(10_000);
    dispatcher.accept(NewMessage { ordering_key, deadline, ..message(id) }).unwrap();
    actions(dispatcher)
}

/// The end of an attempt that leaves its message pending.
pub(super) fn ended(message: MessageId, attempt: u32, outcome: AttemptOutcome) -> AttemptResult {
    AttemptResult { message, attempt, outcome, duration: ms(9), finished: false, load_report: None }
}

/// The end of an attempt that delivers its message.
pub(super) fn delivered(message: MessageId, attempt: u32) -> AttemptResult {
    AttemptResult { finished: true, ..ended(message, attempt, AttemptOutcome::Delivered) }
}

pub(super) fn rejected() -> AttemptOutcome {
    AttemptOutcome::Rejected { retry_after: None }
}

pub(super) fn rejected_for(retry_after: Duration) -> AttemptOutcome {
    AttemptOutcome::Rejected { retry_after: Some(retry_after) }
}

/// An attempt at an endpoint of [`DESTINATION`].
pub(super) fn attempt_at(endpoint: &str, started: Duration) -> Attempt {
    let endpoint = endpoint.into();
    Attempt { destination: DESTINATION, endpoint, class: 0, ordering_key: None, started, is_batched: false }
}

/// Hands the outcome of an attempt to the mechanisms, whatever its message.
pub(super) fn judge(dispatcher: &mut Dispatcher, attempt: &Attempt, outcome: AttemptOutcome) {
    judge_with_report(dispatcher, attempt, outcome, None);
}

pub(super) fn judge_with_report(
    dispatcher: &mut Dispatcher,
    attempt: &Attempt,
    outcome: AttemptOutcome,
    load_report: Option<LoadReport>,
) {
    let result = AttemptResult { load_report, ..ended(0, 0, outcome) };
    dispatcher.state.process_result(attempt, &result);
}

pub(super) fn endpoint<'a>(dispatcher: &'a Dispatcher, name: &str) -> &'a Endpoint {
    &dispatcher.state.destinations[&DESTINATION].endpoints[name]
}

pub(super) fn endpoint_mut<'a>(dispatcher: &'a mut Dispatcher, name: &str) -> &'a mut Endpoint {
    let destination = dispatcher.state.destinations.get_mut(&DESTINATION).unwrap();
    destination.endpoints.get_mut(name).unwrap()
}

/// The one route of [`DESTINATION`].
pub(super) fn route(dispatcher: &Dispatcher) -> &Route {
    &dispatcher.state.destinations[&DESTINATION].routes[""]
}

pub(super) fn route_mut(dispatcher: &mut Dispatcher) -> &mut Route {
    dispatcher.state.destinations.get_mut(&DESTINATION).unwrap().routes.get_mut("").unwrap()
}
