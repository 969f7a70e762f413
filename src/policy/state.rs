//! What the decisions go by: the figures that a dispatcher was started with, and what it has seen.
//!
//! Nothing is decided here. The state of each mechanism is private to its module; this module puts them together by
//! endpoint, route, destination and instance. The rules in the other modules are methods of [`State`].

use super::admission::{Admission, TenantQuotas};
use super::concurrency::{ConcurrencyLimit, Slots};
use super::connections::IdleConnections;
use super::discovery::{DiscoveryPolls, KnownDestinations};
use super::latency::{ASSUMED_LATENCY, IsolatedLosses, LatencyWindow};
use super::ordering::OrderingQueues;
use super::outlier::{EndpointHealth, FailureStreak, HealthChecks};
use super::rate_limit::RouteLimit;
use super::retry_budget::{RetryBudget, RetryCredit};
use super::slow_start::{SlowStart, SlowStartBudget};
use crate::{
    AttemptOutcome, DestinationId, EndpointState, EndpointUpdate, ListedRateAccuracy, LogEvent, MessageId,
    ServiceClass,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A destination as far as the list names its endpoints; gone with the last of them, once no wait binds.
#[derive(Default)]
pub(crate) struct Destination {
    pub(super) endpoints: BTreeMap<String, Endpoint>,
    pub(super) routes: BTreeMap<String, Route>,
    /// Recent latencies by service class.
    pub(super) latency: BTreeMap<usize, LatencyWindow>,
}

impl Destination {
    /// Whether the list names any endpoint of it.
    pub(super) fn is_named(&self) -> bool {
        self.endpoints.values().any(|endpoint| endpoint.state != EndpointState::Removed)
    }

    /// Endpoints that take calls, as far as the list tells.
    pub(super) fn available_endpoints(&self) -> usize {
        self.endpoints.values().filter(|endpoint| endpoint.is_available()).count()
    }

    /// Whether all endpoints that take calls are ejected.
    pub(super) fn is_out(&self) -> bool {
        let mut available = self.endpoints.values().filter(|endpoint| endpoint.is_available()).peekable();
        available.peek().is_some() && available.all(|endpoint| endpoint.health.is_ejected())
    }

    /// Drops routes without endpoints, unless a Retry-After is in force or calls fail there.
    pub(super) fn drop_unused_routes(&mut self, now: Duration) {
        let used: BTreeSet<_> = self.endpoints.values().map(|endpoint| &endpoint.route).collect();
        self.routes.retain(|name, route| {
            used.contains(name) || route.limit.retry_after_end() > now || route.streak.is_suspect(now)
        });
    }
}

/// One endpoint of a destination.
pub(crate) struct Endpoint {
    pub(super) zone: String,
    pub(super) kind: String,
    /// The name of its route.
    pub(super) route: String,
    pub(super) state: EndpointState,
    /// Drawn once, so that instances prefer different endpoints among equals.
    pub(super) tie_breaker: u32,
    pub(super) concurrency: ConcurrencyLimit,
    pub(super) health: EndpointHealth,
    pub(super) budget: SlowStartBudget,
    /// When it was called last, if its connection may still be open.
    pub(super) last_used: Option<Duration>,
    pub(super) batch: Batch,
}

impl Endpoint {
    pub(super) fn new(
        update: &EndpointUpdate,
        route: &str,
        tie_breaker: u32,
        health: EndpointHealth,
        budget: SlowStartBudget,
    ) -> Self {
        Self {
            zone: update.zone.into(),
            kind: update.kind.into(),
            route: route.into(),
            state: update.state,
            tie_breaker,
            concurrency: ConcurrencyLimit::new(),
            health,
            budget,
            last_used: None,
            batch: Batch::default(),
        }
    }

    pub(super) fn is_available(&self) -> bool {
        self.state == EndpointState::Available
    }
}

/// The last call to an endpoint, as far as more messages may travel in it.
#[derive(Clone, Copy, Default)]
pub(crate) struct Batch {
    started: Duration,
    places: u32,
}

impl Batch {
    /// A call that starts now and holds up to `most` messages, one of which it carries.
    pub(super) fn start(now: Duration, most: u32) -> Self {
        Self { started: now, places: most.saturating_sub(1) }
    }

    /// Whether the call starts just now and has a place left.
    pub(super) fn has_place(&self, now: Duration) -> bool {
        self.started == now && self.places > 0
    }

    pub(super) fn join(&mut self) {
        self.places -= 1;
    }
}

/// What shares one rate limit: a destination, or one endpoint where routes are separate. Gone with its endpoints.
pub(crate) struct Route {
    pub(super) limit: RouteLimit,
    pub(super) retry_budget: RetryBudget,
    pub(super) streak: FailureStreak,
    pub(super) checks: HealthChecks,
}

impl Route {
    pub(super) fn new(limit: RouteLimit) -> Self {
        Self {
            limit,
            retry_budget: RetryBudget::default(),
            streak: FailureStreak::default(),
            checks: HealthChecks::default(),
        }
    }
}

/// An attempt that may have been executed.
pub(crate) struct Execution {
    pub(super) started: Duration,
    pub(super) zone: String,
}

/// A message accepted and without its final outcome.
pub(crate) struct PendingMessage {
    /// The position of its service class.
    pub(super) class: usize,
    pub(super) destination: DestinationId,
    pub(super) ordering_key: Option<u64>,
    pub(super) deadline: Duration,
    pub(super) value: f64,
    pub(super) attempts: u32,
    pub(super) failures: u32,
    pub(super) in_flight: u32,
    /// The end of its backoff.
    pub(super) not_before: Duration,
    pub(super) last_outcome: Option<AttemptOutcome>,
    /// The first attempt that may have been executed.
    pub(super) first_execution: Option<Execution>,
    /// Whether it was pending when the instance started, and has not been attempted.
    pub(super) is_recovered_untried: bool,
}

impl PendingMessage {
    /// Whether its last attempt found no capacity for its connection.
    pub(super) fn found_no_connection(&self) -> bool {
        self.last_outcome == Some(AttemptOutcome::ConnectionLimit)
    }

    /// Whether its last attempt was turned away.
    pub(super) fn was_rejected(&self) -> bool {
        matches!(
            self.last_outcome,
            Some(AttemptOutcome::Rejected { .. } | AttemptOutcome::AmbiguousRejection { .. })
        )
    }
}

/// An attempt in flight.
pub(crate) struct Attempt {
    pub(super) destination: DestinationId,
    pub(super) endpoint: String,
    pub(super) class: usize,
    pub(super) ordering_key: Option<u64>,
    pub(super) started: Duration,
    /// It travels in another message's call: one slot, one call at the destination, one outcome.
    pub(super) is_batched: bool,
}

/// A service class and its name.
pub(crate) struct NamedClass {
    pub(super) name: String,
    pub(super) class: ServiceClass,
}

/// Gossip about routes that answer again, until it is sent.
#[derive(Default)]
pub(crate) struct GossipOutbox {
    pub(crate) is_allowed: bool,
    pub(crate) returned_routes: Vec<(DestinationId, String)>,
}

/// What outcomes at any endpoint change for the whole instance.
pub(crate) struct Shared {
    pub(crate) rng: Pcg64Mcg,
    /// Recent latencies of each service class over all destinations.
    pub(super) class_latency: BTreeMap<usize, LatencyWindow>,
    pub(crate) connections: IdleConnections,
    pub(super) isolated_losses: IsolatedLosses,
    pub(crate) retry_credit: RetryCredit,
    pub(crate) gossip: GossipOutbox,
    /// Events for the log, until they are written.
    pub(crate) log_events: Vec<LogEvent>,
}

/// The state of one dispatcher.
pub(crate) struct State {
    pub(crate) now: Duration,
    pub(super) instances: u32,
    pub(super) zone: String,
    pub(crate) slots: Slots,
    pub(crate) admission: Admission,
    pub(crate) quotas: TenantQuotas,
    pub(crate) max_attempts: u32,
    pub(crate) longest_retry_after: Duration,
    pub(crate) slow_start: SlowStart,
    /// For how long a returning destination bears too much before it falls; zero if that is not known.
    pub(crate) overload_tolerance: Duration,
    pub(crate) listed_rates: ListedRateAccuracy,
    pub(crate) discovery: DiscoveryPolls,
    pub(crate) classes: Vec<NamedClass>,
    /// Kinds of destination whose endpoints are routes of their own.
    pub(crate) separate_routes: BTreeSet<String>,
    /// Kinds of destination that take several messages in one call, and how many at most.
    pub(crate) batch_limits: BTreeMap<String, u32>,
    pub(crate) zone_costs: BTreeMap<String, f64>,
    pub(super) destinations: BTreeMap<DestinationId, Destination>,
    pub(crate) known_destinations: KnownDestinations,
    /// Whether the list has named endpoints that are removed and still held.
    pub(super) any_removed: bool,
    pub(crate) ordering: OrderingQueues,
    pub(super) pending: BTreeMap<MessageId, PendingMessage>,
    /// By message and attempt number.
    pub(super) in_flight: BTreeMap<(MessageId, u32), Attempt>,
    pub(crate) shared: Shared,
    /// When the host was asked to call back.
    pub(super) timer: Option<Duration>,
    /// When the rules may next have something to do, as found in going through them.
    pub(crate) next_due: Duration,
}

impl State {
    pub(crate) fn new(seed: u64, instances: u32, zone: &str) -> Self {
        let instances = instances.max(1);
        let shared = Shared {
            rng: Pcg64Mcg::seed_from_u64(seed),
            class_latency: BTreeMap::new(),
            connections: IdleConnections::new(instances),
            isolated_losses: IsolatedLosses::default(),
            retry_credit: RetryCredit::new(),
            gossip: GossipOutbox::default(),
            log_events: Vec::new(),
        };
        Self {
            now: Duration::ZERO,
            instances,
            zone: zone.into(),
            slots: Slots::new(1),
            admission: Admission::new(),
            quotas: TenantQuotas::new(),
            max_attempts: u32::MAX,
            longest_retry_after: Duration::ZERO,
            slow_start: SlowStart { overload_factor: 1.0, initial_share: 0.0, warm_up: Duration::ZERO },
            overload_tolerance: Duration::ZERO,
            listed_rates: ListedRateAccuracy::Absent,
            discovery: DiscoveryPolls::new(),
            classes: Vec::new(),
            separate_routes: BTreeSet::new(),
            batch_limits: BTreeMap::new(),
            zone_costs: BTreeMap::new(),
            destinations: BTreeMap::new(),
            known_destinations: KnownDestinations::default(),
            any_removed: false,
            ordering: OrderingQueues::default(),
            pending: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            shared,
            timer: None,
            next_due: Duration::MAX,
        }
    }

    pub(crate) fn add_class(&mut self, name: &str, class: ServiceClass) {
        self.classes.push(NamedClass { name: name.into(), class });
    }

    /// A tenant's rate for the whole pool.
    pub(crate) fn add_tenant(&mut self, name: &str, rate: f64, excess_value_share: f64) {
        self.quotas.add(name, rate / f64::from(self.instances), excess_value_share);
    }

    pub(super) fn class(&self, message: &PendingMessage) -> &ServiceClass {
        &self.classes[message.class].class
    }

    pub(super) fn endpoint(&self, destination: DestinationId, name: &str) -> Option<&Endpoint> {
        self.destinations.get(&destination)?.endpoints.get(name)
    }

    /// The zone of an endpoint; empty once it is gone.
    pub(super) fn zone_of(&self, destination: DestinationId, name: &str) -> String {
        self.endpoint(destination, name).map_or(String::new(), |endpoint| endpoint.zone.clone())
    }

    pub(super) fn routes_of(&self, destination: DestinationId) -> impl Iterator<Item = &Route> {
        self.destinations.get(&destination).into_iter().flat_map(|destination| destination.routes.values())
    }

    pub(super) fn latency(&self, destination: DestinationId, class: usize) -> Option<&LatencyWindow> {
        self.destinations.get(&destination)?.latency.get(&class)
    }

    /// How long a call of a class typically takes at a destination.
    pub(super) fn typical_call(&self, destination: DestinationId, class: usize) -> Duration {
        self.latency(destination, class).map_or(ASSUMED_LATENCY, |latency| latency.typical(self.now))
    }

    /// The end of the Retry-After in force for all routes of a destination.
    pub(super) fn retry_after(&self, destination: DestinationId) -> Duration {
        self.routes_of(destination).map(|route| route.limit.retry_after_end()).min().unwrap_or_default()
    }

    /// What `message` is worth when delivered at `at`.
    pub(super) fn value_at(&self, message: &PendingMessage, at: Duration) -> f64 {
        let class = self.class(message);
        message.value * class.value_share((at + class.deadline).saturating_sub(message.deadline))
    }

    /// What `message` is worth if an attempt starts now and takes as long as is typical.
    pub(super) fn value_if_attempted_now(&self, message: &PendingMessage) -> f64 {
        let typical = self.typical_call(message.destination, message.class);
        self.value_at(message, self.now + typical)
    }

    /// The message has its final outcome.
    pub(crate) fn finish(&mut self, id: MessageId) {
        let message = self.pending.remove(&id);
        if let Some(key) = message.and_then(|message| message.ordering_key) {
            self.ordering.on_finished(key, id, self.now);
        }
    }
}
