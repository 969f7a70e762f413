//! Interface between the simulation and the implementation that decides for a gateway instance: the dispatcher, or one
//! that it is compared with.

use crate::scenario::{DiscoveryForm, Scenario};
use quillhub::{AttemptResult, Dispatcher, Driver, EndpointUpdate, MessageId, NewMessage, RecoveredAttempts};
use std::collections::BTreeSet;
use std::time::Duration;

/// Event reported to a decider. Each variant corresponds to the method of [`Dispatcher`] that its documentation names.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// Service discovery reported an entry of the endpoint list ([`Dispatcher::endpoint_updated`]).
    EndpointUpdated(EndpointUpdate<'a>),
    /// The entries of one update are complete ([`Dispatcher::endpoint_list_ended`]).
    EndpointListEnded {
        /// All names in the list if the update was a full list; `None` if it was a list of changes.
        snapshot: Option<&'a BTreeSet<String>>,
        /// `true` if service discovery sent the update; `false` if the instance restored it after a restart.
        from_discovery: bool,
    },
    /// The request to service discovery failed ([`Dispatcher::endpoint_list_failed`]).
    EndpointListFailed,
    /// A message was submitted ([`Dispatcher::accept`]).
    Message(NewMessage<'a>),
    /// A message submitted before a restart was recovered ([`Dispatcher::restore_attempts`]).
    Recovered {
        /// Identifier of the message, which an [`Input::Message`] has already reported.
        message: MessageId,
        /// Attempts of the message before the restart.
        attempts: RecoveredAttempts<'a>,
    },
    /// An attempt ended ([`Dispatcher::attempt_ended`]).
    AttemptEnded(AttemptResult),
    /// A gossip message arrived from another instance ([`Dispatcher::gossip_received`]).
    Gossip(&'a [u8]),
    /// A timer that the decider set expired ([`Dispatcher::timer_fired`]).
    TimerFired,
}

/// Implementation that decides for one gateway instance when and at which endpoint each message is attempted.
pub trait Decider {
    /// Sets the current time for the inputs that follow, by the instance's own clock.
    fn advance_to(&mut self, now: Duration);
    /// Handles an event without acting; [`Decider::apply_rules`] requests the resulting actions.
    fn handle(&mut self, input: Input);
    /// Returns `true` if the request of an attempt may still be sent, now that its connection is established.
    fn may_send_request(&self, _: MessageId, _attempt: u32, _now: Duration) -> bool {
        true
    }
    /// Requests from `driver` the actions that follow from the inputs since the last call.
    fn apply_rules(&mut self, driver: &mut dyn Driver);
    /// Returns `true` if [`Decider::observe_capacity`] is to be called before each [`Decider::apply_rules`]. Only an
    /// oracle, which knows the true state of endpoints, needs it.
    fn wants_capacity(&self) -> bool {
        false
    }
    /// Reports the true capacity of endpoints: for an endpoint's name, `capacity` returns the number of calls that it
    /// can start now without rejecting or queueing any.
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
                // The service class is known: validation of the scenario checks the classes that its streams name.
                let accepted = self.accept(message);
                debug_assert!(accepted.is_ok(), "unknown service class {}", message.service_class);
            }
            Input::Recovered { message, attempts } => self.restore_attempts(message, attempts),
            Input::AttemptEnded(result) => self.attempt_ended(result),
            Input::Gossip(bytes) => self.gossip_received(bytes),
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

/// Parameters that a decider is created with.
pub struct DeciderParameters<'a> {
    /// Seed of the decider's random draws.
    pub seed: u64,
    /// Zone that the instance runs in.
    pub zone: &'a str,
    /// Scenario that contains the settings of the instances.
    pub scenario: &'a Scenario,
}

/// Creates a [`Dispatcher`] with the settings of the scenario.
pub fn dispatcher(parameters: &DeciderParameters) -> Box<dyn Decider> {
    let scenario = parameters.scenario;
    let (instances, rules) = (&scenario.instances, &scenario.rules);
    let mut dispatcher = Dispatcher::new(parameters.seed, instances.count, parameters.zone);
    dispatcher.set_limits(
        Some(instances.slots),
        Some(instances.queue_capacity),
        Some(instances.max_attempts),
    );
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
