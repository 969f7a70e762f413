//! State of a dispatcher: its configuration, and what it knows of endpoints, messages and attempts.
//!
//! This module makes no decisions. Each mechanism's module defines its state, which is private unless other mechanisms
//! need it; this module combines these states by endpoint, route, destination and instance. The rules in the other
//! modules are methods of [`State`].

use super::admission::{Admission, TenantQuotas};
use super::attribution::UnattributedAttempts;
use super::backoff::{BASE_DELAY, MAX_DELAY, full_jitter};
use super::concurrency::{ConcurrencyLimit, Slots};
use super::connections::IdleConnections;
use super::deadline_budget::DeadlineBudget;
use super::discovery::{DiscoveryPolls, KnownDestinations};
use super::latency::{ASSUMED_LATENCY, IsolatedLosses, LatencyWindow};
use super::ordering::OrderingQueues;
use super::outlier::{EndpointHealth, FailureStreak, HealthChecks};
use super::provisional_ends::ProvisionalEnds;
use super::rate_limit::RouteLimit;
use super::responsiveness::ProvisionalResponses;
use super::retry_budget::{RetryBudget, RetryCredit};
use super::slow_start::{SlowStart, SlowStartBudget};
use crate::{
    AttemptOutcome, ConnectionUse, DestinationId, EndpointState, EndpointUpdate, ListedRateAccuracy,
    LogEvent, MessageId, ServiceClass,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Destination with its endpoints and routes.
///
/// Removed together with its last route, see [`Destination::drop_unused_routes`].
#[derive(Default)]
pub(crate) struct Destination {
    pub(super) endpoints: BTreeMap<String, Endpoint>,
    pub(super) routes: BTreeMap<String, Route>,
    /// Recent latencies by the index of the service class.
    pub(super) latency: BTreeMap<usize, LatencyWindow>,
}

impl Destination {
    /// Returns `true` if the endpoint list contains an endpoint of the destination.
    pub(super) fn is_listed(&self) -> bool {
        self.endpoints.values().any(|endpoint| endpoint.state != EndpointState::Removed)
    }

    /// Returns the number of endpoints that accept calls according to the endpoint list.
    pub(super) fn available_endpoints(&self) -> usize {
        self.endpoints.values().filter(|endpoint| endpoint.is_available()).count()
    }

    /// Returns `true` if endpoints are available and all of these are ejected.
    pub(super) fn all_available_ejected(&self) -> bool {
        let mut available = self.endpoints.values().filter(|endpoint| endpoint.is_available()).peekable();
        available.peek().is_some() && available.all(|endpoint| endpoint.health.is_ejected())
    }

    /// Removes the routes without endpoints, except those with a retry-after in force and suspect ones. Prevents an
    /// unlimited load on a failing destination whose last endpoint is replaced, as its new endpoint would start with a
    /// fresh route.
    pub(super) fn drop_unused_routes(&mut self, now: Duration) {
        let used: BTreeSet<_> = self.endpoints.values().map(|endpoint| &endpoint.route).collect();
        self.routes.retain(|name, route| {
            used.contains(name) || route.limit.retry_after_end() > now || route.streak.is_suspect(now)
        });
    }
}

/// Endpoint of a destination, as this instance knows it.
pub(crate) struct Endpoint {
    pub(super) zone: String,
    pub(super) kind: String,
    /// Name of the route that the endpoint belongs to; empty unless the destination has separate routes.
    pub(super) route: String,
    pub(super) state: EndpointState,
    /// Random number drawn once, so that instances choose differently among equally good endpoints.
    pub(super) tie_breaker: u32,
    pub(super) concurrency: ConcurrencyLimit,
    pub(super) health: EndpointHealth,
    pub(super) budget: SlowStartBudget,
    /// Start of the last attempt; `None` before the first one, and after the connection limit was hit or this instance
    /// closed its idle connections to the endpoint.
    pub(super) last_used: Option<Duration>,
    /// Time until which each connection to the endpoint carries a single call.
    pub(super) distrusted_until: Duration,
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
            distrusted_until: Duration::ZERO,
            batch: Batch::default(),
        }
    }

    /// Returns `true` if the endpoint accepts calls according to the endpoint list.
    pub(super) fn is_available(&self) -> bool {
        self.state == EndpointState::Available
    }
}

/// Last call to an endpoint; messages can be added to it until the time advances.
#[derive(Clone, Copy, Default)]
pub(crate) struct Batch {
    started: Duration,
    /// Number of messages that can still be added.
    remaining_messages: u32,
}

impl Batch {
    /// Starts a call for up to `max_messages` messages, which carries one so far.
    pub(super) fn start(now: Duration, max_messages: u32) -> Self {
        Self { started: now, remaining_messages: max_messages.saturating_sub(1) }
    }

    /// Returns `true` if the call started at `now` and can carry another message.
    pub(super) fn can_add(&self, now: Duration) -> bool {
        self.started == now && self.remaining_messages > 0
    }

    /// Adds a message to the call.
    pub(super) fn add(&mut self) {
        self.remaining_messages -= 1;
    }
}

/// State shared by the endpoints of a route: all endpoints of a destination, or a single one if its routes are
/// separate.
///
/// Removed at the end of an endpoint list if it has no endpoints, no retry-after in force, and is not suspect, see
/// [`Destination::drop_unused_routes`].
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

/// Attempt by which the message may have been executed, with the zone of the endpoint that was called.
pub(crate) struct RecordedPossibleExecution {
    pub(super) started: Duration,
    /// Zone of the endpoint; empty if the endpoint was already removed.
    pub(super) zone: String,
}

/// Accepted message without a final outcome.
pub(crate) struct PendingMessage {
    /// Index of the service class in [`State::classes`].
    pub(super) class: usize,
    pub(super) destination: DestinationId,
    pub(super) ordering_key: Option<u64>,
    pub(super) budget: DeadlineBudget,
    /// Value before the soft deadline, reduced if the message exceeds its tenant's quota.
    pub(super) value: f64,
    /// Number of attempts started, including those before a restart.
    pub(super) attempts: u32,
    /// Number of attempts that ended without a final outcome, rejected ones too, but not counting
    /// [`AttemptOutcome::NotSent`]; determines the backoff.
    pub(super) backoff_count: u32,
    /// Number of attempts in flight.
    pub(super) in_flight: u32,
    /// End of the backoff.
    pub(super) not_before: Duration,
    pub(super) last_outcome: Option<AttemptOutcome>,
    /// `false` once a response has ruled out any further attempt.
    pub(super) may_be_attempted: bool,
    /// First attempt by which the message may have been executed, if any, apart from unattributed ones.
    pub(super) first_possible_execution: Option<RecordedPossibleExecution>,
    /// Attempts without a delivery whose responses may belong to other calls.
    pub(super) unattributed: UnattributedAttempts,
    /// `true` if the message was recovered after a restart and has never been attempted.
    pub(super) is_recovered_unattempted: bool,
}

impl PendingMessage {
    /// Returns the first attempt by which the message may have been executed, if any.
    pub(super) fn first_possible_execution(&self) -> Option<&RecordedPossibleExecution> {
        let unattributed = self.unattributed.first_possible_execution();
        let executions = [self.first_possible_execution.as_ref(), unattributed];
        executions.into_iter().flatten().min_by_key(|execution| execution.started)
    }

    /// Returns `true` if an attempt of this message is in flight, or if the attribution of a response to one decides on
    /// what follows.
    ///
    /// The message is then neither attempted nor given a final outcome: an endpoint may be executing a call, so that the
    /// next one would be a second at once, and the call one after the end of the message.
    pub(super) fn is_undecided(&self, now: Duration) -> bool {
        self.in_flight > 0 || self.unattributed.waits_until() > now
    }

    /// Records an attempt by which the message may have been executed.
    pub(super) fn may_have_been_executed(&mut self, execution: RecordedPossibleExecution) {
        if self.first_possible_execution.as_ref().is_none_or(|first| first.started > execution.started) {
            self.first_possible_execution = Some(execution);
        }
    }

    /// Starts the backoff after an attempt that ended with `outcome` and did not finish the message.
    pub(super) fn start_backoff(&mut self, outcome: AttemptOutcome, now: Duration, rng: &mut Pcg64Mcg) {
        self.backoff_count += u32::from(outcome != AttemptOutcome::NotSent);
        self.last_outcome = Some(outcome);
        self.not_before = now + full_jitter(rng, self.backoff_count, BASE_DELAY, MAX_DELAY);
    }

    /// Returns `true` if the last attempt was refused because the endpoint held too many connections.
    pub(super) fn last_attempt_hit_connection_limit(&self) -> bool {
        self.last_outcome == Some(AttemptOutcome::ConnectionLimit)
    }

    /// Returns `true` if the last attempt was rejected, ambiguously or not.
    pub(super) fn last_attempt_was_rejected(&self) -> bool {
        matches!(
            self.last_outcome,
            Some(AttemptOutcome::Rejected { .. } | AttemptOutcome::AmbiguousRejection { .. })
        )
    }
}

/// Attempt in flight.
pub(crate) struct Attempt {
    pub(super) destination: DestinationId,
    pub(super) endpoint: String,
    /// Index of the message's service class in [`State::classes`].
    pub(super) class: usize,
    pub(super) ordering_key: Option<u64>,
    pub(super) started: Duration,
    pub(super) connection: ConnectionUse,
    /// Time until which the endpoint may execute the call.
    pub(super) call_deadline: Duration,
    /// `true` if the message was added to the call of an earlier message, with which it shares the slot and the
    /// outcome; `false` for the first message of a call.
    pub(super) added_to_call: bool,
}

/// Service class with the name that messages refer to it by.
pub(crate) struct NamedClass {
    pub(super) name: String,
    pub(super) class: ServiceClass,
}

/// Gossip about recovered routes that is still to be sent.
#[derive(Default)]
pub(crate) struct GossipOutbox {
    /// `true` if this instance may send gossip.
    pub(crate) is_allowed: bool,
    /// Recovered routes by destination and route name.
    pub(crate) recovered_routes: Vec<(DestinationId, String)>,
}

/// State of the whole instance that the outcome of any attempt may change.
pub(crate) struct Shared {
    pub(crate) rng: Pcg64Mcg,
    /// Recent latencies over all destinations, by the index of the service class.
    pub(super) class_latency: BTreeMap<usize, LatencyWindow>,
    pub(crate) connections: IdleConnections,
    pub(super) isolated_losses: IsolatedLosses,
    pub(crate) retry_credit: RetryCredit,
    pub(crate) gossip: GossipOutbox,
    /// Events that are still to be written to the log.
    pub(crate) log_events: Vec<LogEvent>,
}

/// State of a dispatcher.
pub(crate) struct State {
    pub(crate) now: Duration,
    /// Number of gateway instances that share the work, at least 1.
    pub(super) instances: u32,
    /// Zone in which this instance runs.
    pub(super) zone: String,
    pub(crate) slots: Slots,
    pub(crate) admission: Admission,
    pub(super) quotas: TenantQuotas,
    /// Maximum number of attempts of one message.
    pub(crate) max_attempts: u32,
    /// Upper bound of the `retry_after` of rejected messages; zero if rejections carry none.
    pub(crate) max_retry_after: Duration,
    pub(crate) slow_start: SlowStart,
    /// Time for which a recovering destination withstands overload before it fails; zero if unknown.
    pub(crate) overload_tolerance: Duration,
    pub(crate) listed_rate_accuracy: ListedRateAccuracy,
    pub(crate) discovery: DiscoveryPolls,
    pub(super) classes: Vec<NamedClass>,
    /// Kinds of destinations whose endpoints are separate routes.
    pub(crate) separate_routes: BTreeSet<String>,
    /// Maximum number of messages in one call, by the kind of destination; one for kinds that are missing.
    pub(crate) batch_limits: BTreeMap<String, u32>,
    /// Cost of a call to an endpoint, in points by zone; zero for zones that are missing.
    pub(crate) zone_costs: BTreeMap<String, f64>,
    pub(super) destinations: BTreeMap<DestinationId, Destination>,
    /// Destination under which each endpoint was listed last, by the name of the endpoint.
    pub(super) endpoint_destinations: BTreeMap<String, DestinationId>,
    pub(crate) known_destinations: KnownDestinations,
    /// `true` if `destinations` may still contain endpoints that have left the endpoint list.
    pub(super) any_removed: bool,
    pub(crate) ordering: OrderingQueues,
    pub(super) pending: BTreeMap<MessageId, PendingMessage>,
    pub(super) provisional_ends: ProvisionalEnds,
    pub(super) provisional: ProvisionalResponses,
    /// `true` if the host ties responses to calls only by their order on a connection.
    pub(crate) attributes_by_order: bool,
    /// `true` if calls end before the deadlines of their messages, so that their final outcomes are reported in time.
    pub(crate) reserves_outcome_time: bool,
    /// Attempts in flight by message and attempt number.
    pub(super) in_flight: BTreeMap<(MessageId, u32), Attempt>,
    pub(crate) shared: Shared,
    /// Time at which the timer requested last expires; `None` once it has fired.
    pub(super) timer: Option<Duration>,
    /// Earliest time at which a rule may act again, as determined by the rules while they are tried.
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
            max_retry_after: Duration::ZERO,
            slow_start: SlowStart { overload_factor: 1.0, initial_share: 0.0, warm_up: Duration::ZERO },
            overload_tolerance: Duration::ZERO,
            listed_rate_accuracy: ListedRateAccuracy::Absent,
            discovery: DiscoveryPolls::new(),
            classes: Vec::new(),
            separate_routes: BTreeSet::new(),
            batch_limits: BTreeMap::new(),
            zone_costs: BTreeMap::new(),
            destinations: BTreeMap::new(),
            endpoint_destinations: BTreeMap::new(),
            known_destinations: KnownDestinations::default(),
            any_removed: false,
            ordering: OrderingQueues::default(),
            pending: BTreeMap::new(),
            provisional_ends: ProvisionalEnds::default(),
            provisional: ProvisionalResponses::default(),
            attributes_by_order: false,
            reserves_outcome_time: false,
            in_flight: BTreeMap::new(),
            shared,
            timer: None,
            next_due: Duration::MAX,
        }
    }

    pub(crate) fn add_class(&mut self, name: &str, class: ServiceClass) {
        self.classes.push(NamedClass { name: name.into(), class });
    }

    /// Adds a tenant with a quota of `rate_per_s` messages per second at all instances together.
    pub(crate) fn add_tenant(&mut self, name: &str, rate_per_s: f64, excess_value_share: f64) {
        self.quotas.add(name, rate_per_s / f64::from(self.instances), excess_value_share);
    }

    /// Returns the service class of `message`.
    pub(super) fn class(&self, message: &PendingMessage) -> &ServiceClass {
        &self.classes[message.class].class
    }

    pub(super) fn endpoint(&self, destination: DestinationId, name: &str) -> Option<&Endpoint> {
        self.destinations.get(&destination)?.endpoints.get(name)
    }

    /// Returns the zone of an endpoint, which is empty if the endpoint has been removed.
    pub(super) fn zone_of(&self, destination: DestinationId, name: &str) -> String {
        self.endpoint(destination, name).map_or(String::new(), |endpoint| endpoint.zone.clone())
    }

    pub(super) fn routes_of(&self, destination: DestinationId) -> impl Iterator<Item = &Route> {
        self.destinations.get(&destination).into_iter().flat_map(|destination| destination.routes.values())
    }

    /// Returns the recent latencies of a service class at a destination, or `None` if no call of that class has ended
    /// there.
    pub(super) fn latency(&self, destination: DestinationId, class: usize) -> Option<&LatencyWindow> {
        self.destinations.get(&destination)?.latency.get(&class)
    }

    /// Returns the typical duration of a call of a service class at a destination.
    pub(super) fn typical_latency(&self, destination: DestinationId, class: usize) -> Duration {
        self.latency(destination, class).map_or(ASSUMED_LATENCY, |latency| latency.typical(self.now))
    }

    /// Returns the time at which the first of a destination's routes has no retry-after in force, which may have
    /// passed; zero if it has no routes.
    pub(super) fn retry_after_end(&self, destination: DestinationId) -> Duration {
        self.routes_of(destination).map(|route| route.limit.retry_after_end()).min().unwrap_or_default()
    }

    /// Returns the value of `message` if it is delivered at `delivered`.
    pub(super) fn value_at(&self, message: &PendingMessage, delivered: Duration) -> f64 {
        let class = self.class(message);
        message.value
            * class.value_share((delivered + class.deadline).saturating_sub(message.budget.deadline))
    }

    /// Returns the value of `message` if it is delivered by an attempt that starts now and takes the typical time.
    pub(super) fn value_if_attempted_now(&self, message: &PendingMessage) -> f64 {
        let typical = self.typical_latency(message.destination, message.class);
        self.value_at(message, self.now + typical)
    }

    /// Stops handling a message, because it has its final outcome or its client has disconnected.
    pub(crate) fn finish(&mut self, id: MessageId) {
        let message = self.pending.remove(&id).or_else(|| self.provisional_ends.remove(id));
        if let Some(key) = message.and_then(|message| message.ordering_key) {
            self.ordering.on_finished(key, id, self.now);
        }
    }
}
