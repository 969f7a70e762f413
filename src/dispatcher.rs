//! What a courier holds: the figures it was started with, and what it has seen. Nothing is decided here; the
//! parts that decide are in `policy.rs`.

use crate::policy::{Credits, FORGET, Latency};
use crate::{DestinationId, EndpointState, ListedRate, MessageId, ServiceClass};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Slots for calls out at once.
pub(crate) struct Slots {
    pub(crate) most: usize,
}

impl Slots {
    pub(crate) fn part(&self, share: f64) -> usize {
        ((self.most as f64 * share) as usize).max(1)
    }
}

/// What the rules say of a destination that returns.
#[derive(Clone, Copy)]
pub(crate) struct Return {
    pub(crate) factor: f64,
    pub(crate) start: f64,
    pub(crate) warm_up: Duration,
}

/// The register: whether it must be asked, how often at least, and when next.
pub(crate) struct Register {
    pub(crate) must_ask: bool,
    pub(crate) every: Duration,
    pub(crate) asked: bool,
    /// When the last ask began.
    pub(crate) began: Duration,
    pub(crate) failures: u32,
    pub(crate) next: Duration,
}

/// Who has the turn among the notices with one key; gone when none is held, out or resting.
#[derive(Default)]
pub(crate) struct Turn {
    pub(crate) line: VecDeque<MessageId>,
    pub(crate) out: Vec<MessageId>,
    pub(crate) rest: Duration,
    pub(crate) rests_for: Option<MessageId>,
}

impl Turn {
    pub(crate) fn has(&self, id: MessageId, now: Duration) -> bool {
        self.line.front() == Some(&id)
            && self.out.iter().all(|other| *other == id)
            && (self.rest <= now || self.rests_for == Some(id))
    }
}

/// What one that is not well may get: the larger, of a share of what is handed in or of its known rate.
pub(crate) struct Ration {
    pub(crate) by_notice: f64,
    pub(crate) by_time: f64,
}

impl Ration {
    /// Against a herd of all couriers that begin to earn it in one instant.
    pub(crate) fn by_chance(rng: &mut Pcg64Mcg) -> Self {
        let chance = rng.random();
        Self { by_notice: chance, by_time: chance }
    }

    pub(crate) fn ready(&self) -> bool {
        self.by_notice >= 1.0 || self.by_time >= 1.0
    }

    pub(crate) fn spend(&mut self) {
        self.by_notice = (self.by_notice - 1.0).max(0.0);
        self.by_time = (self.by_time - 1.0).max(0.0);
    }
}

/// What this courier takes an endpoint for: as healthy as it sorts low.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Health {
    Well,
    Cold { since: Duration },
    Out,
}

/// What is known of an endpoint's health, and the budget of one that is not healthy.
pub(crate) struct Outage {
    pub(crate) health: Health,
    pub(crate) share: f64,
    pub(crate) told: Duration,
    pub(crate) answered: Duration,
    pub(crate) ration: Ration,
    pub(crate) filled: Duration,
}

/// This courier's pace of calls to one route: no more than the whole rate known for it; a refusal empties it.
pub(crate) struct Pace {
    pub(crate) known: Option<f64>,
    pub(crate) sure: Option<f64>,
    pub(crate) own: Option<f64>,
    pub(crate) saved: f64,
    pub(crate) filled: Duration,
}

/// What was sent of late to one route, and what went wrong there since a call was last handled.
#[derive(Default)]
pub(crate) struct Repeats {
    /// First tries and repeats, by second; old seconds leave with each count.
    pub(crate) seconds: VecDeque<(u64, u32, u32)>,
    pub(crate) failures: u32,
    /// Since when calls fail or are refused.
    pub(crate) failing: Option<Duration>,
    /// Whether one of these was refused where no answer tells of the limit.
    pub(crate) untold: bool,
}

/// How long an idle connection to endpoints of one kind is kept. Against tables full of other couriers' idle
/// ones. May cost handshakes after outages.
pub(crate) struct Keep {
    pub(crate) time: Duration,
    pub(crate) least: Duration,
}

/// A tenant's share of the pool that falls to this courier, as buckets of one second: by time, an equal part of
/// its rate; by notice, its part of whatever this courier is handed in. The fuller one counts, as some couriers
/// are handed in far more than others.
pub(crate) struct Quota {
    pub(crate) rate: f64,
    pub(crate) by_time: f64,
    pub(crate) by_notice: f64,
    pub(crate) filled: Duration,
}

impl Quota {
    /// One notice of any tenant was handed in, of which `part` is this one's.
    pub(crate) fn handed_in(&mut self, now: Duration, part: f64) {
        let (most, more) = (self.rate.max(1.0), self.rate * (now - self.filled).as_secs_f64());
        self.by_time = (self.by_time + more).min(most);
        self.by_notice = (self.by_notice + part).min(most);
        self.filled = now;
    }

    /// Whether one more notice is within the share; if so, it is counted.
    pub(crate) fn covers(&mut self) -> bool {
        let covers = self.by_time.max(self.by_notice) >= 1.0;
        let spent = f64::from(u8::from(covers));
        (self.by_time, self.by_notice) = ((self.by_time - spent).max(0.0), (self.by_notice - spent).max(0.0));
        covers
    }
}

/// A destination as far as the list names its endpoints; gone with the last of them, once no wait binds.
#[derive(Default)]
pub(crate) struct Destination {
    pub(crate) endpoints: BTreeMap<String, Endpoint>,
    pub(crate) routes: BTreeMap<String, Route>,
    pub(crate) latency: BTreeMap<usize, Latency>,
}

impl Destination {
    fn is_named(&self) -> bool {
        self.endpoints.values().any(|endpoint| endpoint.listing != EndpointState::Removed)
    }
}

pub(crate) struct Endpoint {
    pub(crate) zone: String,
    pub(crate) kind: String,
    pub(crate) place: u32,
    pub(crate) route: String,
    pub(crate) listing: EndpointState,
    pub(crate) credits: Credits,
    pub(crate) outage: Outage,
    pub(crate) used: Option<Duration>,
    /// When the last call to it began, and how many more notices may travel in that one.
    pub(crate) mates: (Duration, u32),
}

/// What shares one limit: a destination, or one endpoint where routes are apart. Gone with its endpoints.
pub(crate) struct Route {
    pub(crate) told: Duration,
    pub(crate) pace: Pace,
    pub(crate) reported: bool,
    pub(crate) repeats: Repeats,
    pub(crate) refusals: u32,
    pub(crate) refused: Duration,
    pub(crate) rounds: u32,
    pub(crate) rested: Duration,
    pub(crate) closed: Duration,
    pub(crate) trials: u32,
    pub(crate) trial: Duration,
}

impl Route {
    pub(crate) fn new(pace: Pace) -> Self {
        let zero = Duration::ZERO;
        let (repeats, reported) = (Repeats::default(), false);
        Self {
            told: zero,
            pace,
            reported,
            repeats,
            refusals: 0,
            refused: zero,
            rounds: 0,
            rested: zero,
            closed: zero,
            trials: 0,
            trial: zero,
        }
    }
}

/// A notice taken and not yet answered.
pub(crate) struct Held {
    pub(crate) grade: usize,
    pub(crate) destination: DestinationId,
    pub(crate) key: Option<u64>,
    pub(crate) limit: Duration,
    pub(crate) worth: f64,
    pub(crate) sends: u32,
    pub(crate) failures: u32,
    pub(crate) out: u32,
    pub(crate) not_before: Duration,
    /// Whether its last send found no room for its connection.
    pub(crate) crowded: bool,
    /// Whether its last send was turned away.
    pub(crate) refused: bool,
    pub(crate) may_have_run: Option<(Duration, String)>,
    /// Whether it was owed when the courier started, and is untried.
    pub(crate) left_over: bool,
}

impl Held {
    pub(crate) fn new(
        grade: usize,
        destination: DestinationId,
        key: Option<u64>,
        limit: Duration,
        worth: f64,
    ) -> Self {
        Self {
            grade,
            destination,
            key,
            limit,
            worth,
            sends: 0,
            failures: 0,
            out: 0,
            not_before: Duration::ZERO,
            crowded: false,
            refused: false,
            may_have_run: None,
            left_over: false,
        }
    }
}

pub(crate) struct Call {
    pub(crate) destination: DestinationId,
    pub(crate) endpoint: String,
    pub(crate) grade: usize,
    pub(crate) key: Option<u64>,
    pub(crate) started: Duration,
    /// It travels in the call of another notice: one slot, one call at the destination, one fate.
    pub(crate) joined: bool,
}

pub struct Dispatcher {
    pub(crate) now: Duration,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) couriers: u32,
    pub(crate) zone: String,
    pub(crate) slots: Slots,
    pub(crate) room: usize,
    pub(crate) folder_room: u64,
    /// The notice handed in last, until the rules have been gone through.
    pub(crate) fresh: Option<MessageId>,
    pub(crate) most_sends: u32,
    pub(crate) longest_wait: Duration,
    pub(crate) ramp: Return,
    pub(crate) falls_after: Duration,
    pub(crate) key_rest: Duration,
    pub(crate) listed: ListedRate,
    pub(crate) register: Register,
    pub(crate) grades: Vec<(String, ServiceClass)>,
    /// Recent times of each grade over all destinations; as many as there are grades.
    pub(crate) latencies: BTreeMap<usize, Latency>,
    pub(crate) apart: BTreeSet<String>,
    /// Kinds of destination that take several notices in one call, and how many at most.
    pub(crate) batches: BTreeMap<String, u32>,
    pub(crate) tolls: BTreeMap<String, f64>,
    pub(crate) quotas: BTreeMap<String, Quota>,
    pub(crate) over_share: f64,
    pub(crate) destinations: BTreeMap<DestinationId, Destination>,
    /// Destinations, and when the list last named an endpoint of theirs; gone a good while after.
    pub(crate) named: BTreeMap<DestinationId, Duration>,
    pub(crate) left: bool,
    /// Endpoints with an idle connection, and since when; gone once it is used or closed.
    pub(crate) idle: BTreeMap<(DestinationId, String), Duration>,
    pub(crate) idle_close: Duration,
    /// How long idle connections are kept, by kind; as many as the list has kinds.
    pub(crate) keeps: BTreeMap<String, Keep>,
    pub(crate) turns: BTreeMap<u64, Turn>,
    pub(crate) held: BTreeMap<MessageId, Held>,
    pub(crate) calls: BTreeMap<(MessageId, u32), Call>,
    /// About the share of calls that got no answer while others at their endpoint did.
    pub(crate) strays: f64,
    /// Repeats after refusals that may be sent, over all destinations.
    pub(crate) again: f64,
    pub(crate) refusal_price: f64,
    pub(crate) beat: Option<Duration>,
    /// When the rules may next have something to do, as found in going through them.
    pub(crate) due: Duration,
    pub(crate) logged: Option<Duration>,
    pub(crate) lines: Vec<String>,
    pub(crate) may_tell: bool,
    pub(crate) news: Vec<(DestinationId, String)>,
}

impl Dispatcher {
    pub fn new(seed: u64, couriers: u32, zone: &str) -> Self {
        Self {
            now: Duration::ZERO,
            rng: Pcg64Mcg::seed_from_u64(seed),
            couriers: couriers.max(1),
            zone: zone.into(),
            slots: Slots { most: 1 },
            room: usize::MAX,
            folder_room: u64::MAX,
            fresh: None,
            most_sends: u32::MAX,
            longest_wait: Duration::ZERO,
            ramp: Return { factor: 1.0, start: 0.0, warm_up: Duration::ZERO },
            falls_after: Duration::ZERO,
            key_rest: Duration::ZERO,
            listed: ListedRate::Absent,
            register: Register {
                must_ask: false,
                every: Duration::ZERO,
                asked: false,
                began: Duration::ZERO,
                failures: 1, // as nothing has stood yet
                next: Duration::ZERO,
            },
            grades: Vec::new(),
            latencies: BTreeMap::new(),
            apart: BTreeSet::new(),
            batches: BTreeMap::new(),
            tolls: BTreeMap::new(),
            quotas: BTreeMap::new(),
            over_share: 1.0,
            destinations: BTreeMap::new(),
            named: BTreeMap::new(),
            left: false,
            idle: BTreeMap::new(),
            idle_close: Duration::ZERO,
            keeps: BTreeMap::new(),
            turns: BTreeMap::new(),
            held: BTreeMap::new(),
            calls: BTreeMap::new(),
            strays: 0.0,
            again: 1.0,
            refusal_price: 0.0,
            beat: None,
            due: Duration::MAX,
            logged: None,
            lines: Vec::new(),
            may_tell: false,
            news: Vec::new(),
        }
    }

    /// Calls out at once, notices held at once, and sends for one notice, where limited.
    pub fn set_limits(&mut self, slots: Option<usize>, held: Option<usize>, sends: Option<u32>) {
        self.slots.most = slots.unwrap_or(1);
        self.room = held.unwrap_or(usize::MAX);
        self.most_sends = sends.unwrap_or(u32::MAX);
    }

    /// For hosts that have room for so many calls out at once only, whatever the settings allow.
    pub fn cap_concurrency(&mut self, most: usize) {
        self.slots.most = self.slots.most.min(most.max(1));
    }

    /// The longest wait that may be told with a denial; none if none may be told.
    pub fn set_longest_retry_after(&mut self, longest: Option<Duration>) {
        self.longest_wait = longest.unwrap_or_default();
    }

    pub fn set_slow_start(&mut self, factor: f64, start: f64, warm_up: Duration) {
        self.ramp = Return { factor, start, warm_up };
    }

    /// For how long one that returns bears too much before it falls; zero, as at first, if that is not known.
    pub fn set_overload_tolerance(&mut self, span: Duration) {
        self.falls_after = span;
    }

    /// How long a connection may idle before it closes by itself; zero, as at first, if that is not known.
    pub fn set_idle_timeout(&mut self, after: Duration) {
        self.idle_close = after;
    }

    /// Whether notes may be sent to other couriers.
    pub fn allow_gossip(&mut self, allowed: bool) {
        self.may_tell = allowed;
    }

    pub fn set_ordering_pause(&mut self, rest: Duration) {
        self.key_rest = rest;
    }

    pub fn set_discovery(&mut self, must_ask: bool, rate: ListedRate) {
        self.register.must_ask = must_ask;
        self.listed = rate;
    }

    /// The period in which a register that must be asked wants each courier to ask once.
    pub fn set_poll_period(&mut self, period: Duration) {
        self.register.every = period;
    }

    pub fn add_service_class(&mut self, name: &str, grade: ServiceClass) {
        self.grades.push((name.into(), grade));
    }

    /// A kind of destination whose endpoints are routes apart.
    pub fn separate_routes(&mut self, kind: &str) {
        self.apart.insert(kind.into());
    }

    /// A kind of destination that takes up to so many notices in one call; only from hosts that send those that
    /// are asked for at one instant, to one endpoint, in one call.
    pub fn set_batch_limit(&mut self, kind: &str, most: u32) {
        self.batches.insert(kind.into(), most);
    }

    /// For hosts that send each notice in a call of its own, whatever the settings allow.
    pub fn disable_batching(&mut self) {
        self.batches.clear();
    }

    /// What refused calls cost, in points of the result if there were one for each first try; 0 if nothing.
    pub fn set_rejection_cost(&mut self, points: f64) {
        self.refusal_price = points;
    }

    pub fn set_zone_cost(&mut self, zone: &str, points: f64) {
        self.tolls.insert(zone.into(), points);
    }

    /// A tenant's rate for the whole pool; what comes over it earns only `over_share`.
    pub fn add_tenant(&mut self, name: &str, rate: f64, over_share: f64) {
        let rate = rate / f64::from(self.couriers);
        self.quotas
            .insert(name.into(), Quota { rate, by_time: rate, by_notice: 0.0, filled: Duration::ZERO });
        self.over_share = over_share;
    }

    /// The time of what is told next.
    pub fn advance_to(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// The end of a list or of changes; what a whole list leaves out is gone.
    pub fn endpoint_list_ended(&mut self, whole: Option<&BTreeSet<String>>, asked: bool) {
        let now = self.now;
        self.named.extend(self.destinations.iter().filter(|(_, d)| d.is_named()).map(|(id, _)| (*id, now)));
        self.named.retain(|_, at| now < *at + FORGET);
        if whole.is_some() || self.left {
            let busy: BTreeSet<_> = self.calls.values().map(|call| &call.endpoint).collect();
            self.left = false;
            self.destinations.retain(|_, destination| {
                destination.endpoints.retain(|name, endpoint| {
                    if whole.is_some_and(|names| !names.contains(name)) {
                        endpoint.listing = EndpointState::Removed;
                    }
                    let gone = endpoint.listing == EndpointState::Removed;
                    self.left |= gone && busy.contains(name);
                    !gone || busy.contains(name)
                });
                let live: BTreeSet<_> = destination.endpoints.values().map(|e| &e.route).collect();
                destination.routes.retain(|name, route| {
                    live.contains(name) || route.told > now || route.repeats.suspect(now)
                });
                !destination.routes.is_empty()
            });
        }
        if asked {
            (self.register.asked, self.register.failures) = (true, 0);
        }
    }

    /// Whether there is such a destination, as far as the list tells; one without endpoints now may have some
    /// soon. With no list at all there may be any.
    pub fn knows_destination(&self, destination: DestinationId) -> bool {
        self.named.is_empty() || self.named.contains_key(&destination)
    }

    /// The client left, or the notice is over: nothing more is owed for it.
    pub fn finish(&mut self, id: MessageId) {
        if let Some(key) = self.held.remove(&id).and_then(|held| held.key)
            && let Some(turn) = self.turns.get_mut(&key)
        {
            turn.line.retain(|other| *other != id);
            let now = self.now;
            self.turns.retain(|_, t| !t.line.is_empty() || !t.out.is_empty() || t.rest > now);
        }
    }

    /// Bytes that the host can still keep on file; told before each notice, without that notice's own.
    pub fn set_storage_room(&mut self, bytes: u64) {
        self.folder_room = bytes;
    }

    pub(crate) fn routes_of(&self, destination: DestinationId) -> impl Iterator<Item = &Route> {
        self.destinations.get(&destination).into_iter().flat_map(|d| d.routes.values())
    }

    pub(crate) fn endpoint(&self, destination: DestinationId, name: &str) -> Option<&Endpoint> {
        self.destinations.get(&destination).and_then(|d| d.endpoints.get(name))
    }

    /// The zone of an endpoint; empty once it is gone.
    pub(crate) fn zone_of(&self, destination: DestinationId, name: &str) -> String {
        self.endpoint(destination, name).map_or(String::new(), |e| e.zone.clone())
    }

    pub(crate) fn latency(&self, destination: DestinationId, grade: usize) -> Option<&Latency> {
        self.destinations.get(&destination).and_then(|d| d.latency.get(&grade))
    }

    /// The end of the waits told for all routes of a destination.
    pub(crate) fn told(&self, destination: DestinationId) -> Duration {
        self.routes_of(destination).map(|r| r.told).min().unwrap_or_default()
    }
}
