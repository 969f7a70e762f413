//! The dispatcher: typed inputs, and the ordered list of rules that follows from them.
//!
//! A host tells one input at a time, after [`Dispatcher::advance_to`]; then [`Dispatcher::apply_rules`] goes through
//! the rules, in order and again from the first, until none acts. The state and the decisions are in [`crate::policy`].

use crate::policy::slow_start::SlowStart;
use crate::policy::state::State;
use crate::{
    AttemptResult, DestinationId, Driver, EndpointUpdate, ListedRate, MessageId, NewMessage,
    RecoveredAttempts, ServiceClass, UnknownServiceClass, gossip,
};
use std::collections::BTreeSet;
use std::time::Duration;

/// A rule: a condition and what is done then; whether it acted.
type Rule = fn(&mut State, &mut dyn Driver) -> bool;

/// The rules, in the order in which they are tried.
const RULES: [Rule; 6] = [
    State::poll_discovery,
    State::shed_unstorable,
    State::give_up_expired,
    State::start_most_valuable,
    State::shed_least_valuable,
    State::close_idle_connections,
];

/// Decides for one gateway instance which message is attempted when and where, and when it is given up.
pub struct Dispatcher {
    pub(crate) state: State,
}

/// What a dispatcher is started with.
impl Dispatcher {
    /// A dispatcher for one of `instances` that share the work, in `zone`; `seed` settles its random draws.
    pub fn new(seed: u64, instances: u32, zone: &str) -> Self {
        Self { state: State::new(seed, instances, zone) }
    }

    /// Attempts in flight at once, messages pending at once, and attempts for one message, where limited.
    pub fn set_limits(
        &mut self,
        concurrency: Option<usize>,
        queue_capacity: Option<usize>,
        max_attempts: Option<u32>,
    ) {
        self.state.slots.set(concurrency.unwrap_or(1));
        self.state.admission.set_queue_capacity(queue_capacity.unwrap_or(usize::MAX));
        self.state.max_attempts = max_attempts.unwrap_or(u32::MAX);
    }

    /// For hosts that have capacity for so many attempts in flight only, whatever the settings allow.
    pub fn cap_concurrency(&mut self, most: usize) {
        self.state.slots.cap(most);
    }

    /// The longest Retry-After that a rejection may carry; none if it may carry none.
    pub fn set_longest_retry_after(&mut self, longest: Option<Duration>) {
        self.state.longest_retry_after = longest.unwrap_or_default();
    }

    /// How far over its capacity a returning destination may be loaded, the share of it that it begins with, and how
    /// long it warms up.
    pub fn set_slow_start(&mut self, overload_factor: f64, initial_share: f64, warm_up: Duration) {
        self.state.slow_start = SlowStart { overload_factor, initial_share, warm_up };
    }

    /// For how long a returning destination bears too much before it falls; zero, as at first, if that is not known.
    pub fn set_overload_tolerance(&mut self, span: Duration) {
        self.state.overload_tolerance = span;
    }

    /// After which an idle connection closes by itself; zero, as at first, if that is not known.
    pub fn set_idle_timeout(&mut self, after: Duration) {
        self.state.shared.connections.set_endpoint_timeout(after);
    }

    /// Whether gossip may be sent to other instances.
    pub fn allow_gossip(&mut self, allowed: bool) {
        self.state.shared.gossip.is_allowed = allowed;
    }

    /// How long an ordering key pauses after an attempt that may still be executed.
    pub fn set_ordering_pause(&mut self, pause: Duration) {
        self.state.ordering.set_pause(pause);
    }

    /// Whether discovery notifies changes only to those that poll, and what the rates of its list mean.
    pub fn set_discovery(&mut self, must_poll: bool, rates: ListedRate) {
        self.state.discovery.set_must_poll(must_poll);
        self.state.listed_rates = rates;
    }

    /// The period in which a discovery that must be polled wants each instance to poll once.
    pub fn set_poll_period(&mut self, period: Duration) {
        self.state.discovery.set_period(period);
    }

    /// A service class that messages may name.
    pub fn add_service_class(&mut self, name: &str, class: ServiceClass) {
        self.state.add_class(name, class);
    }

    /// A kind of destination whose endpoints are routes of their own.
    pub fn separate_routes(&mut self, kind: &str) {
        self.state.separate_routes.insert(kind.into());
    }

    /// A kind of destination that takes up to so many messages in one call; only from hosts that send those that are
    /// asked for at one instant, to one endpoint, in one call.
    pub fn set_batch_limit(&mut self, kind: &str, most: u32) {
        self.state.batch_limits.insert(kind.into(), most);
    }

    /// For hosts that send each message in a call of its own, whatever the settings allow.
    pub fn disable_batching(&mut self) {
        self.state.batch_limits.clear();
    }

    /// What rejected calls cost, in points of the result if there were one for each first attempt; 0 if nothing.
    pub fn set_rejection_cost(&mut self, points: f64) {
        self.state.shared.retry_credit.set_rejection_cost(points);
    }

    /// What a call to an endpoint of `zone` costs.
    pub fn set_zone_cost(&mut self, zone: &str, points: f64) {
        self.state.zone_costs.insert(zone.into(), points);
    }

    /// A tenant's rate for the whole pool; what comes over it has only `excess_value_share` of its value.
    pub fn add_tenant(&mut self, name: &str, rate: f64, excess_value_share: f64) {
        self.state.add_tenant(name, rate, excess_value_share);
    }
}

/// Inputs.
impl Dispatcher {
    /// The time of the inputs that follow.
    pub fn advance_to(&mut self, now: Duration) {
        self.state.now = self.state.now.max(now);
    }

    /// An entry of the endpoint list, or a change of it.
    pub fn endpoint_updated(&mut self, update: EndpointUpdate) {
        self.state.update_endpoint(update);
    }

    /// The end of a list or of changes; what a `snapshot` leaves out is removed. `from_discovery` is false for a list
    /// that the host knew by itself.
    pub fn endpoint_list_ended(&mut self, snapshot: Option<&BTreeSet<String>>, from_discovery: bool) {
        self.state.end_endpoint_list(snapshot, from_discovery);
    }

    /// A poll or watch of discovery failed or ended.
    pub fn endpoint_list_failed(&mut self) {
        let state = &mut self.state;
        state.discovery.on_failure(state.now, &mut state.shared.rng);
    }

    /// Whether there is such a destination, as far as the endpoint list tells; one without endpoints now may have some
    /// soon. With no list at all there may be any.
    pub fn knows_destination(&self, destination: DestinationId) -> bool {
        self.state.known_destinations.contains(destination)
    }

    /// Bytes that the host can still store; set before each message, without that message's own.
    pub fn set_storage_capacity(&mut self, bytes: u64) {
        self.state.admission.set_storage_capacity(bytes);
    }

    /// A message was handed in.
    ///
    /// # Errors
    ///
    /// If its service class is unknown: then nothing was accepted.
    pub fn accept(&mut self, message: NewMessage) -> Result<(), UnknownServiceClass> {
        self.state.accept(message)
    }

    /// What is known of the attempts before a restart, of a message that was just accepted.
    pub fn recover(&mut self, message: MessageId, attempts: RecoveredAttempts) {
        self.state.recover(message, attempts);
    }

    /// Whether an attempt may begin whose connection has come up; asked before its first byte.
    pub fn may_begin(&self, message: MessageId, attempt: u32, now: Duration) -> bool {
        self.state.may_begin(message, attempt, now)
    }

    /// An attempt ended.
    pub fn attempt_ended(&mut self, result: AttemptResult) {
        self.state.attempt_ended(&result);
    }

    /// The client left, or the message has its final outcome: nothing more is done for it.
    pub fn finish(&mut self, message: MessageId) {
        self.state.finish(message);
    }

    /// A gossip message came from another instance.
    pub fn gossip_received(&mut self, octets: &[u8]) {
        self.state.gossip_received(octets);
    }

    /// The timer that was asked for last has run out.
    pub fn timer_fired(&mut self) {
        self.state.timer_fired();
    }
}

/// What follows from the inputs.
impl Dispatcher {
    /// Goes through the rules until none acts, then asks for the next call back.
    pub fn apply_rules(&mut self, driver: &mut dyn Driver) {
        self.write_events(driver);
        let state = &mut self.state;
        loop {
            state.next_due = Duration::MAX;
            if !RULES.iter().any(|rule| rule(state, driver)) {
                break;
            }
        }
        state.set_timer(driver);
    }

    fn write_events(&mut self, driver: &mut dyn Driver) {
        let shared = &mut self.state.shared;
        shared.log_events.drain(..).for_each(|event| driver.log(&event));
        for (destination, route) in shared.gossip.returned_routes.drain(..) {
            driver.broadcast(&gossip::encode_return(destination, &route));
        }
    }
}
