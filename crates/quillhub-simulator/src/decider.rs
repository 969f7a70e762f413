//! What decides for a courier, as the world sees it: the module itself, or whatever is compared with it.

use crate::day::Day;
use quillhub::courier::Courier;
use quillhub::{DestinationId, Hands, Listing, NoticeId, Outcome};
use std::collections::BTreeSet;
use std::time::Duration;

/// What a decider is told at an instant; each is the method of [`Courier`] that its doc names.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// An entry of the endpoint list ([`Courier::listed`]).
    Listed {
        /// The endpoint's name.
        endpoint: &'a str,
        /// The zone that it stands in.
        zone: &'a str,
        /// The kind of its destination.
        kind: &'a str,
        /// Its destination.
        destination: DestinationId,
        /// Its state.
        listing: Listing,
        /// Calls a second that it takes, where they are listed.
        rate: Option<f64>,
    },
    /// The entries that are told at once end here ([`Courier::list_ends`]).
    ListEnds {
        /// All names of a whole list, if it was one.
        snapshot: Option<&'a BTreeSet<String>>,
        /// Whether the courier had asked for it.
        asked: bool,
    },
    /// The call to service discovery failed ([`Courier::list_failed`]).
    ListFailed,
    /// A message was handed in ([`Courier::notice`]).
    Message {
        /// Its number.
        id: NoticeId,
        /// Its service class, by name.
        grade: &'a str,
        /// Its ordering key.
        key: Option<u64>,
        /// Until when it needs its final outcome.
        deadline: Duration,
        /// The tenant that it is of.
        tenant: Option<&'a str>,
        /// Where it goes.
        destination: DestinationId,
    },
    /// A message just told of was recovered after a restart ([`Courier::sent_before`]).
    Recovered {
        /// Its number.
        id: NoticeId,
        /// Attempts made before.
        attempts: u32,
        /// The first of them that may have run: when, and at which endpoint.
        may_have_run: Option<(Duration, &'a str)>,
    },
    /// An attempt ended ([`Courier::outcome`]).
    Outcome {
        /// The message.
        id: NoticeId,
        /// The attempt's number, from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        took: Duration,
        /// Whether the message is over with it.
        over: bool,
        /// The endpoint's report on its limit, where it gave one.
        report: Option<(f64, f64)>,
    },
    /// A gossip message came from another courier ([`Courier::told_by_courier`]).
    Gossip(&'a [u8]),
    /// The timer that was asked for last has run out ([`Courier::woken`]).
    Woken,
}

/// A decider for one courier.
pub trait Decider {
    /// The instant of the inputs that follow, by the courier's own clock.
    fn at(&mut self, now: Duration);
    /// Takes an input; what follows from it is asked for in [`Decider::settle`].
    fn tell(&mut self, input: Input);
    /// Whether an attempt whose connection has come up may still leave.
    fn may_go(&self, _: NoticeId, _attempt: u32, _now: Duration) -> bool {
        true
    }
    /// Asks for what follows from the inputs since the last call.
    fn settle(&mut self, hands: &mut dyn Hands);
    /// Whether [`Decider::sees`] is to be called before each [`Decider::settle`]; only an oracle wants it.
    fn wants_truth(&self) -> bool {
        false
    }
    /// The calls that an endpoint can take at this instant without turning any away or letting it wait.
    fn sees(&mut self, _room: &dyn Fn(&str) -> usize) {}
}

impl Decider for Courier {
    fn at(&mut self, now: Duration) {
        self.at(now);
    }

    fn tell(&mut self, input: Input) {
        match input {
            Input::Listed { endpoint, zone, kind, destination, listing, rate } => {
                self.listed(endpoint, zone, kind, destination, listing, rate);
            }
            Input::ListEnds { snapshot, asked } => self.list_ends(snapshot, asked),
            Input::ListFailed => self.list_failed(),
            Input::Message { id, grade, key, deadline, tenant, destination } => {
                self.notice(id, grade, key, deadline, tenant, destination);
            }
            Input::Recovered { id, attempts, may_have_run } => self.sent_before(id, attempts, may_have_run),
            Input::Outcome { id, attempt, outcome, took, over, report } => {
                self.outcome(id, attempt, outcome, took, over, report);
            }
            Input::Gossip(octets) => self.told_by_courier(octets),
            Input::Woken => self.woken(),
        }
    }

    fn may_go(&self, id: NoticeId, attempt: u32, now: Duration) -> bool {
        self.may_go(id, attempt, now)
    }

    fn settle(&mut self, hands: &mut dyn Hands) {
        self.settle(hands);
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
    let mut courier = Courier::new(start.seed, day.couriers.count, start.zone);
    courier.room(Some(day.couriers.slots), Some(day.couriers.room), Some(day.couriers.most_sends));
    courier.come_back(Some(day.couriers.longest_wait));
    courier.returning(day.returns.factor, day.returns.start, day.returns.warm_up);
    courier.falls_after(day.returns.push);
    courier.idle_close(day.network.idle_close);
    courier.may_tell(day.couriers.notes);
    courier.key_rest(day.returns.key_rest);
    courier.listing(day.register.form == crate::day::RegisterForm::Watch, day.register.rates.word());
    for grade in &day.grades {
        courier.grade(&grade.name, grade.grade());
    }
    for kind in day.destinations.iter().filter(|kind| kind.routes_apart) {
        courier.routes_apart(&kind.kind);
    }
    for tenant in &day.tenants {
        courier.tenant(&tenant.name, tenant.per_s, tenant.over_share);
    }
    Box::new(courier)
}
