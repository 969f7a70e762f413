//! What decides for a courier, as the world sees it: the module itself, or whatever is compared with it.

use crate::day::Day;
use quillhub::{AttemptResult, Dispatcher, Driver, EndpointUpdate, MessageId, NewMessage, RecoveredAttempts};
use std::collections::BTreeSet;
use std::time::Duration;

/// What a decider is told at an instant; each is the method of [`Dispatcher`] that its doc names.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// An entry of the endpoint list ([`Dispatcher::endpoint_updated`]).
    EndpointUpdated(EndpointUpdate<'a>),
    /// The entries that are told at once end here ([`Dispatcher::endpoint_list_ended`]).
    EndpointListEnded {
        /// All names of a whole list, if it was one.
        snapshot: Option<&'a BTreeSet<String>>,
        /// Whether discovery sent it, and not the instance's own memory.
        from_discovery: bool,
    },
    /// The call to service discovery failed ([`Dispatcher::endpoint_list_failed`]).
    EndpointListFailed,
    /// A message was handed in ([`Dispatcher::accept`]).
    Message(NewMessage<'a>),
    /// A message just told of was recovered after a restart ([`Dispatcher::recover`]).
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

/// A decider for one courier.
pub trait Decider {
    /// The instant of the inputs that follow, by the courier's own clock.
    fn at(&mut self, now: Duration);
    /// Takes an input; what follows from it is asked for in [`Decider::settle`].
    fn tell(&mut self, input: Input);
    /// Whether an attempt whose connection has come up may still leave.
    fn may_go(&self, _: MessageId, _attempt: u32, _now: Duration) -> bool {
        true
    }
    /// Asks for what follows from the inputs since the last call.
    fn settle(&mut self, driver: &mut dyn Driver);
    /// Whether [`Decider::sees`] is to be called before each [`Decider::settle`]; only an oracle wants it.
    fn wants_truth(&self) -> bool {
        false
    }
    /// The calls that an endpoint can take at this instant without turning any away or letting it wait.
    fn sees(&mut self, _room: &dyn Fn(&str) -> usize) {}
}

impl Decider for Dispatcher {
    fn at(&mut self, now: Duration) {
        self.advance_to(now);
    }

    fn tell(&mut self, input: Input) {
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
            Input::Recovered { message, attempts } => self.recover(message, attempts),
            Input::AttemptEnded(result) => self.attempt_ended(result),
            Input::Gossip(octets) => self.gossip_received(octets),
            Input::TimerFired => self.timer_fired(),
        }
    }

    fn may_go(&self, id: MessageId, attempt: u32, now: Duration) -> bool {
        self.may_begin(id, attempt, now)
    }

    fn settle(&mut self, driver: &mut dyn Driver) {
        self.apply_rules(driver);
    }
}

/// What a decider is started with: its chance, its zone, and the day's figures that couriers are told.
pub struct Start<'a> {
    /// Seed of its chance.
    pub seed: u64,
    /// The zone that it stands in.
    pub zone: &'a str,
    /// The day, for the figures that couriers are told.
    pub day: &'a Day,
}

/// The real module.
pub fn module(start: &Start) -> Box<dyn Decider> {
    let day = start.day;
    let mut courier = Dispatcher::new(start.seed, day.couriers.count, start.zone);
    courier.set_limits(Some(day.couriers.slots), Some(day.couriers.room), Some(day.couriers.most_sends));
    courier.set_longest_retry_after(Some(day.couriers.longest_wait));
    courier.set_slow_start(day.returns.factor, day.returns.start, day.returns.warm_up);
    courier.set_overload_tolerance(day.returns.push);
    courier.set_idle_timeout(day.network.idle_close);
    courier.allow_gossip(day.couriers.notes);
    courier.set_ordering_pause(day.returns.key_rest);
    courier.set_discovery(day.register.form == crate::day::RegisterForm::Watch, day.register.rates.word());
    for grade in &day.grades {
        courier.add_service_class(&grade.name, grade.grade());
    }
    for kind in day.destinations.iter().filter(|kind| kind.routes_apart) {
        courier.separate_routes(&kind.kind);
    }
    for tenant in &day.tenants {
        courier.add_tenant(&tenant.name, tenant.per_s, tenant.over_share);
    }
    Box::new(courier)
}
