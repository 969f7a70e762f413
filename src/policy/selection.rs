//! Selection: endpoints of a destination that may be called now, ranked by preference.

use super::concurrency::{DestinationLoad, is_share_exhausted};
use super::slow_start::SlowStart;
use super::state::{Attempt, Destination, Endpoint, PendingMessage, Route, State};
use super::{latency, outlier::Health};
use crate::{DestinationId, MessageId, RetrySafety};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Calls in flight that are added to the load of an endpoint in another zone, as its latency and cost are higher.
const OTHER_ZONE_LOAD_CALLS: i64 = 2;
/// Factor by which zone costs, in points, are multiplied before they are rounded for the comparison.
const ZONE_COST_SCALE: f64 = 1e6;

/// Load of each destination with attempts in flight.
pub(super) type Loads = BTreeMap<DestinationId, DestinationLoad>;

/// Rank of a candidate among those of its destination; the lowest is preferred.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// `true` if the endpoint is ejected, so that it only receives health checks, after all other endpoints.
    is_health_check: bool,
    /// Cost of a call to the endpoint's zone, in points scaled by [`ZONE_COST_SCALE`].
    zone_cost: i64,
    /// Calls in flight with additions for another zone and for recent failures; minimal if the message would be added
    /// to a call.
    load: i64,
    /// Time since the last use; the endpoint used last is preferred, as its connection is open.
    idle_for: Duration,
    tie_breaker: u32,
}

/// Endpoint that may be called now.
pub(super) struct Candidate {
    pub(super) endpoint: String,
    zone: String,
    /// `true` if the retry budget of the route allows a retry, or the message would be added to a call.
    allows_retries: bool,
    /// `true` if there is an idle connection to the endpoint.
    has_connection: bool,
    /// `true` if the message would be added to a call that started at the current time.
    added_to_call: bool,
    rank: Rank,
}

impl Candidate {
    /// Returns `true` if an attempt at the endpoint is a health check.
    pub(super) fn is_health_check(&self) -> bool {
        self.rank.is_health_check
    }
}

/// Readiness of an endpoint for a call.
struct Readiness {
    /// Earliest time at which the next call may start.
    earliest_start: Duration,
    /// `true` if the concurrency limit of the endpoint has a free permit.
    has_permit: bool,
    /// `true` if the message would be added to a call that started at the current time.
    added_to_call: bool,
}

/// State outside an endpoint and its route on which the endpoint's readiness depends.
struct CallContext {
    now: Duration,
    instances: u32,
    slow_start: SlowStart,
    available_endpoints: usize,
}

/// Refills the token bucket and the slow-start budget of `endpoint`, and returns its readiness for a call.
fn check_readiness(endpoint: &mut Endpoint, route: &mut Route, context: &CallContext) -> Readiness {
    let CallContext { now, instances, slow_start, available_endpoints } = *context;
    route.limit.bucket.refill(now);
    let endpoint_rate = route.limit.bucket.safe_rate() / f64::from(instances) / available_endpoints as f64;
    let retry_after_end = route.limit.retry_after_end();
    endpoint.budget.skip_earning_until(retry_after_end.min(now));
    let allowed_share =
        endpoint.health.update_allowed_share(endpoint.budget.midpoint_since_refill(now), slow_start);
    let rate =
        (allowed_share * endpoint_rate).max(endpoint.health.min_check_rate(instances, available_endpoints));
    let budget_wait = endpoint.budget.refill(now, rate);

    let is_ejected = endpoint.health.is_ejected();
    // An endpoint that is not healthy, or whose route is suspect, is limited by its slow-start budget. Prevents an
    // overload by many instances, each of which makes too few calls to eject the endpoint. May slow down an endpoint
    // that loses some calls.
    let is_unrestricted = endpoint.health.status() == Health::Healthy && !route.streak.is_suspect(now);
    let mut earliest_start = route.limit.next_call_at(now);
    if !is_unrestricted {
        earliest_start = earliest_start.max(now + budget_wait);
    }
    if is_ejected {
        earliest_start = earliest_start.max(route.checks.next());
    }
    // Rate limits count calls, so messages that wait for the same endpoint are added to a call at no cost to the limit.
    // May lose all of them with one call.
    let added_to_call = endpoint.batch.can_add(now) && !is_ejected && retry_after_end <= now;
    Readiness { earliest_start, has_permit: endpoint.concurrency.free_permits() > 0, added_to_call }
}

impl State {
    /// Returns `true` if an attempt has been in flight for so long that its destination is likely to be slow.
    ///
    /// Prevents isolated losses from marking a destination as slow while later calls are delivered in their typical
    /// time. May detect late that a destination is slow if it is slow only at times.
    pub(super) fn indicates_slow_destination(&self, attempt: &Attempt) -> bool {
        let typical = self.typical_latency(attempt.destination, attempt.class);
        if !latency::is_slow(self.now - attempt.started, typical) {
            return false;
        }
        let endpoint = self.endpoint(attempt.destination, &attempt.endpoint);
        let has_later_delivery =
            endpoint.is_some_and(|endpoint| endpoint.health.delivered_since(attempt.started));
        let last_duration =
            self.latency(attempt.destination, attempt.class).and_then(|window| window.last_duration());
        !has_later_delivery || last_duration.is_some_and(|duration| latency::is_slow(duration, typical))
    }

    /// Returns the number of slots in use; messages in the same call use one slot together.
    pub(super) fn slots_in_use(&self) -> usize {
        if self.batch_limits.is_empty() {
            return self.in_flight.len();
        }
        let calls: BTreeSet<_> =
            self.in_flight.values().map(|attempt| (&attempt.endpoint, attempt.started)).collect();
        calls.len()
    }

    /// Returns the load of each destination with attempts in flight.
    pub(super) fn loads(&self) -> Loads {
        let mut loads = Loads::new();
        let mut calls = BTreeSet::new();
        for attempt in self.in_flight.values() {
            let load = loads.entry(attempt.destination).or_default();
            load.slots += usize::from(calls.insert((&attempt.endpoint, attempt.started)));
            load.impaired = load.impaired || self.indicates_slow_destination(attempt);
        }
        for (id, load) in &mut loads {
            load.impaired |= self.destinations.get(id).is_some_and(Destination::all_available_ejected);
        }
        loads
    }

    /// Returns the endpoints of a destination that may be called now, in order of preference. Refills their budgets,
    /// and lowers `next_due` to the earliest start at an endpoint that is not ready.
    ///
    /// Without a free slot for the destination, these are only endpoints with a call to which a message can be added.
    pub(super) fn candidates(
        &mut self,
        id: DestinationId,
        loads: &Loads,
        slots_full: bool,
    ) -> Vec<Candidate> {
        let Some(destination) = self.destinations.get_mut(&id) else { return Vec::new() };
        let load = loads.get(&id).copied().unwrap_or_default();
        let impaired = load.impaired || destination.all_available_ejected();
        let impaired_slots = loads.values().filter(|load| load.impaired).map(|load| load.slots).sum();
        let is_full = slots_full || is_share_exhausted(&self.slots, load, impaired, impaired_slots);
        let now = self.now;
        let context = CallContext {
            now,
            instances: self.instances,
            slow_start: self.slow_start,
            available_endpoints: destination.available_endpoints(),
        };
        let mut candidates = Vec::new();
        for (name, endpoint) in
            destination.endpoints.iter_mut().filter(|(_, endpoint)| endpoint.is_available())
        {
            let Some(route) = destination.routes.get_mut(&endpoint.route) else { continue };
            let readiness = check_readiness(endpoint, route, &context);
            if !readiness.added_to_call
                && (is_full || readiness.earliest_start > now || !readiness.has_permit)
            {
                if readiness.earliest_start > now {
                    self.next_due = self.next_due.min(readiness.earliest_start);
                }
                continue;
            }
            let key = (id, name.clone());
            let has_connection = self.shared.connections.contains(&key);
            let zone_cost = self.zone_costs.get(&endpoint.zone).copied().unwrap_or(0.0);
            candidates.push(Candidate {
                endpoint: key.1,
                zone: endpoint.zone.clone(),
                allows_retries: readiness.added_to_call
                    || route.retry_budget.allows(now, route.streak.has_failures()),
                has_connection,
                added_to_call: readiness.added_to_call,
                rank: rank(endpoint, readiness.added_to_call, zone_cost, &self.zone, now),
            });
        }
        candidates.sort_by_key(|candidate| candidate.rank);
        candidates
    }

    /// Returns the preferred candidate at which `message` may be attempted now, if there is one.
    pub(super) fn candidate_for<'a>(
        &self,
        id: MessageId,
        message: &PendingMessage,
        candidates: &'a [Candidate],
    ) -> Option<&'a Candidate> {
        let backoff_is_over = message.not_before <= self.now;
        let is_ready = !message.is_undecided(self.now)
            && (backoff_is_over || message.last_attempt_hit_connection_limit())
            && !self.has_used_up_attempts(message);
        if !is_ready || !self.is_in_order(id, message) || self.latest_start(message) < self.now {
            return None;
        }
        let required_zone = self.required_zone(message);
        let may_retry = |candidate: &Candidate| {
            candidate.allows_retries
                && (!message.last_attempt_was_rejected()
                    || candidate.added_to_call
                    || self.shared.retry_credit.allows())
        };
        // During the backoff after a connection limit, only idle connections are used. Prevents instances from filling
        // the connection table of an endpoint.
        let reachable = candidates.iter().filter(|candidate| backoff_is_over || candidate.has_connection);
        let mut allowed = reachable
            .filter(|candidate| message.attempts == 0 || candidate.is_health_check() || may_retry(candidate));
        allowed.find(|candidate| required_zone.is_none_or(|zone| *zone == candidate.zone))
    }

    /// Returns `true` if the ordering key of the message, if any, permits an attempt now.
    fn is_in_order(&self, id: MessageId, message: &PendingMessage) -> bool {
        message.ordering_key.is_none_or(|key| self.ordering.may_start(key, id, self.now))
    }

    /// Returns the zone that recognizes the idempotency key of the message, if only one zone does.
    fn required_zone<'a>(&self, message: &'a PendingMessage) -> Option<&'a String> {
        let per_zone =
            matches!(self.class(message).retry_safety, RetrySafety::Deduplicated { per_zone: true, .. });
        message.first_possible_execution().filter(|_| per_zone).map(|first| &first.zone)
    }
}

/// Returns the rank of an endpoint in the selection by an instance in `own_zone`.
fn rank(endpoint: &Endpoint, added_to_call: bool, zone_cost: f64, own_zone: &str, now: Duration) -> Rank {
    let load = i64::from(endpoint.concurrency.in_flight())
        + OTHER_ZONE_LOAD_CALLS * i64::from(endpoint.zone != own_zone)
        + endpoint.health.load_penalty();
    Rank {
        is_health_check: endpoint.health.is_ejected(),
        zone_cost: (zone_cost * ZONE_COST_SCALE) as i64,
        load: if added_to_call { i64::MIN } else { load },
        idle_for: endpoint.last_used.map_or(Duration::MAX, |last_used| now - last_used),
        tie_breaker: endpoint.tie_breaker,
    }
}

#[cfg(test)]
#[path = "tests/selection.rs"]
mod tests;
