//! What decides for an instance, as the simulation sees it: the dispatcher itself, or whatever is compared with it.

use crate::scenario::{DiscoveryForm, Scenario};
use quillhub::{AttemptResult, Dispatcher, Driver, EndpointUpdate, MessageId, NewMessage, RecoveredAttempts};
use std::collections::BTreeSet;
use std::time::Duration;

/// An input of a decider at an instant; each is the method of [`Dispatcher`] that its doc names.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// An entry of the endpoint list ([`Dispatcher::endpoint_updated`]).
    EndpointUpdated(EndpointUpdate<'a>),
    /// The entries that come at once end here ([`Dispatcher::endpoint_list_ended`]).
    EndpointListEnded {
        /// All names of a whole list, if it was one.
        snapshot: Option<&'a BTreeSet<String>>,
        /// Whether discovery sent it, and not the instance's own memory.
        from_discovery: bool,
    },
    /// The call to service discovery failed ([`Dispatcher::endpoint_list_failed`]).
    EndpointListFailed,
    /// A message was submitted ([`Dispatcher::accept`]).
    Message(NewMessage<'a>),
    /// The message that came before was recovered after a restart ([`Dispatcher::restore_attempts`]).
    Recovered {
        /// Its identifier.
        message: MessageId,
        /// Its attempts before the restart.
        attempts: RecoveredAttempts<'a>,
    },
    /// An attempt ended ([`Dispatcher::attempt_ended`]).
    AttemptEnded(AttemptResult),
    /// A gossip message came from another instance ([`Dispatcher::gossip_received`]).
    Gossip(&'a [u8]),
    /// The timer that was asked for last has run out ([`Dispatcher::timer_fired`]).
    TimerFired,
}

/// A decider for one instance.
pub trait Decider {
    /// The instant of the inputs that follow, by the instance's own clock.
    fn advance_to(&mut self, now: Duration);
    /// Takes an input; what follows from it is carried out by [`Decider::apply_rules`].
    fn handle(&mut self, input: Input);
    /// Whether an attempt whose connection has come up may still begin.
    fn may_send_request(&self, _: MessageId, _attempt: u32, _now: Duration) -> bool {
        true
    }
    /// Carries out what follows from the inputs since the last call.
    fn apply_rules(&mut self, driver: &mut dyn Driver);
    /// Whether [`Decider::observe_capacity`] is to be called before each [`Decider::apply_rules`]; only an oracle
    /// wants it.
    fn wants_capacity(&self) -> bool {
        false
    }
    /// The calls that an endpoint can take at this instant without rejecting any or letting it wait.
    fn observe_capacity(&mut self, _capacity: &dyn Fn(&str) -> usize) {}
}

impl Decider for Dispatcher {
    fn advance_to(&mut self, now: Duration) {
        self.advance_to(now);
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::EndpointUpdated(update) => self.endpoint_updated(update),
            Input::EndpointListEnded { snapshot, from_discovery } => {
                self.endpoint_list_ended(snapshot, from_discovery);
            }
            Input::EndpointListFailed => self.endpoint_list_failed(),
            Input::Message(message) => {
                // A scenario's streams name its own service classes.
                let accepted = self.accept(message);
                debug_assert!(accepted.is_ok(), "unknown service class {}", message.service_class);
            }
            Input::Recovered { message, attempts } => self.restore_attempts(message, attempts),
            Input::AttemptEnded(result) => self.attempt_ended(result),
            Input::Gossip(octets) => self.gossip_received(octets),
            Input::TimerFired => self.timer_fired(),
        }
    }

    fn may_send_request(&self, id: MessageId, attempt: u32, now: Duration) -> bool {
        self.may_send_request(id, attempt, now)
    }

    fn apply_rules(&mut self, driver: &mut dyn Driver) {
        self.apply_rules(driver);
    }
}

/// What a decider is started with: its seed, its zone, and the scenario whose settings instances get.
pub struct Start<'a> {
    /// Seed of its random numbers.
    pub seed: u64,
    /// The zone that it stands in.
    pub zone: &'a str,
    /// The scenario, for its settings.
    pub scenario: &'a Scenario,
}

/// The dispatcher itself, with the settings of the scenario.
pub fn dispatcher(start: &Start) -> Box<dyn Decider> {
    let scenario = start.scenario;
    let (instances, rules) = (&scenario.instances, &scenario.rules);
    let mut dispatcher = Dispatcher::new(start.seed, instances.count, start.zone);
    dispatcher.set_limits(Some(instances.slots), Some(instances.capacity), Some(instances.max_attempts));
    dispatcher.set_max_retry_after(Some(instances.max_retry_after));
    dispatcher.set_slow_start(rules.overload_factor, rules.initial_share, rules.warm_up);
    dispatcher.set_overload_tolerance(rules.overload_tolerance);
    dispatcher.set_endpoint_idle_timeout(scenario.network.idle_timeout);
    dispatcher.allow_gossip(instances.gossip);
    dispatcher.set_ordering_pause(rules.ordering_pause);
    dispatcher
        .set_discovery(scenario.discovery.form == DiscoveryForm::Watch, scenario.discovery.rates.accuracy());
    for service_class in &scenario.service_classes {
        dispatcher.add_service_class(&service_class.name, service_class.service_class());
    }
    for kind in scenario.destinations.iter().filter(|kind| kind.separate_routes) {
        dispatcher.separate_routes(&kind.kind);
    }
    for tenant in &scenario.tenants {
        dispatcher.add_tenant(&tenant.name, tenant.per_s, tenant.excess_value_share);
    }
    Box::new(dispatcher)
}
