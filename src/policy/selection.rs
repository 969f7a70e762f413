//! Selection: which endpoints of a destination may be called now, and which is best.

use super::concurrency::{DestinationLoad, share_is_used};
use super::slow_start::SlowStart;
use super::state::{Attempt, Destination, Endpoint, PendingMessage, Route, State};
use super::{latency, outlier::Health};
use crate::{DestinationId, MessageId, RetrySafety};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Calls in flight that an endpoint of another zone counts for: its way is longer, and has a cost.
const OTHER_ZONE_LOAD: i64 = 2;
/// Parts of a point in which costs are compared.
const COST_PARTS: f64 = 1e6;

/// What is in flight, by destination.
pub(super) type Loads = BTreeMap<DestinationId, DestinationLoad>;

/// The order of a destination's candidates: the least is best.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Healthy endpoints go before ejected ones, which get health checks only.
    is_health_check: bool,
    zone_cost: i64,
    load: i64,
    /// The endpoint used last has an open connection.
    idle_for: Duration,
    tie_breaker: u32,
}

/// An endpoint that may be called now.
pub(super) struct Candidate {
    pub(super) endpoint: String,
    zone: String,
    /// Whether the retry budget of its route allows a retry.
    allows_retries: bool,
    /// Whether an idle connection to it is open.
    has_connection: bool,
    /// Whether a call that starts just now has a place for another message.
    is_batched: bool,
    rank: Rank,
}

impl Candidate {
    pub(super) fn is_health_check(&self) -> bool {
        self.rank.is_health_check
    }
}

/// What an endpoint's mechanisms say of a call now.
struct Gate {
    opens: Duration,
    has_permit: bool,
    is_batched: bool,
}

/// What the gate of each endpoint of a destination goes by.
struct GateInput {
    now: Duration,
    instances: u32,
    slow_start: SlowStart,
    available_endpoints: usize,
}

/// When `endpoint` takes its next call; its token bucket and slow-start budget are refilled.
fn gate(endpoint: &mut Endpoint, route: &mut Route, input: &GateInput) -> Gate {
    let GateInput { now, instances, slow_start, available_endpoints } = *input;
    route.limit.bucket.refill(now);
    let part = route.limit.bucket.safe_rate() / f64::from(instances) / available_endpoints as f64;
    let retry_after = route.limit.retry_after_end();
    endpoint.budget.skip_earning_until(retry_after.min(now));
    let share = endpoint.health.allowed_share(endpoint.budget.midpoint_since_refill(now), slow_start);
    let rate = (share * part).max(endpoint.health.min_check_rate(instances, available_endpoints));
    let until_earned = endpoint.budget.refill(now, rate);

    let is_ejected = endpoint.health.is_ejected();
    // Against many instances that each see too little to eject it. May slow an endpoint that loses some calls.
    let is_sound = endpoint.health.status() == Health::Healthy && !route.streak.is_suspect(now);
    let mut opens = route.limit.next_call_at(now);
    if !is_sound {
        opens = opens.max(now + until_earned);
    }
    if is_ejected {
        opens = opens.max(route.checks.next());
    }
    // Where calls are what is limited: what waits for the same endpoint goes along, at no cost to it. May lose all in
    // one call.
    let is_batched = endpoint.batch.has_place(now) && !is_ejected && retry_after <= now;
    Gate { opens, has_permit: endpoint.concurrency.available() > 0, is_batched }
}

impl State {
    /// Whether an attempt in flight for so long tells of a slow destination.
    ///
    /// Against taking calls lost one by one for that, where later ones are answered in their typical time. May tell
    /// late of one that is slow now and then.
    pub(super) fn tells_of_slowness(&self, attempt: &Attempt) -> bool {
        let typical = self.typical_call(attempt.destination, attempt.class);
        if !latency::is_slow(self.now - attempt.started, typical) {
            return false;
        }
        let endpoint = self.endpoint(attempt.destination, &attempt.endpoint);
        let answers = endpoint.is_some_and(|endpoint| endpoint.health.delivered_since(attempt.started));
        let last = self.latency(attempt.destination, attempt.class).and_then(|window| window.last_duration());
        !answers || last.is_some_and(|last| latency::is_slow(last, typical))
    }

    /// Slots in use: messages that travel in one call take one together.
    pub(super) fn slots_in_use(&self) -> usize {
        if self.batch_limits.is_empty() {
            return self.in_flight.len();
        }
        let calls: BTreeSet<_> =
            self.in_flight.values().map(|attempt| (&attempt.endpoint, attempt.started)).collect();
        calls.len()
    }

    /// What is in flight to each destination, and whether that is impaired.
    pub(super) fn loads(&self) -> Loads {
        let mut loads = Loads::new();
        let mut calls = BTreeSet::new();
        for attempt in self.in_flight.values() {
            let load = loads.entry(attempt.destination).or_default();
            load.slots += usize::from(calls.insert((&attempt.endpoint, attempt.started)));
            load.impaired = load.impaired || self.tells_of_slowness(attempt);
        }
        for (id, load) in &mut loads {
            load.impaired |= self.destinations.get(id).is_some_and(Destination::is_out);
        }
        loads
    }

    /// The endpoints of a destination that may be called now, best first; only batched ones if no slot is free.
    pub(super) fn candidates(
        &mut self,
        id: DestinationId,
        loads: &Loads,
        slots_full: bool,
    ) -> Vec<Candidate> {
        let Some(destination) = self.destinations.get_mut(&id) else { return Vec::new() };
        let load = loads.get(&id).copied().unwrap_or_default();
        let impaired = load.impaired || destination.is_out();
        let impaired_slots = loads.values().filter(|load| load.impaired).map(|load| load.slots).sum();
        let is_full = slots_full || share_is_used(&self.slots, load, impaired, impaired_slots);
        let now = self.now;
        let input = GateInput {
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
            let gate = gate(endpoint, route, &input);
            if !gate.is_batched && (is_full || gate.opens > now || !gate.has_permit) {
                if gate.opens > now {
                    self.next_due = self.next_due.min(gate.opens);
                }
                continue;
            }
            let key = (id, name.clone());
            let has_connection = self.shared.connections.contains(&key);
            let zone_cost = self.zone_costs.get(&endpoint.zone).copied().unwrap_or(0.0);
            candidates.push(Candidate {
                endpoint: key.1,
                zone: endpoint.zone.clone(),
                allows_retries: gate.is_batched
                    || route.retry_budget.allows(now, route.streak.has_failures()),
                has_connection,
                is_batched: gate.is_batched,
                rank: rank(endpoint, gate.is_batched, zone_cost, &self.zone, now),
            });
        }
        candidates.sort_by_key(|candidate| candidate.rank);
        candidates
    }

    /// The best of its destination's candidates that `message` may go to now.
    pub(super) fn candidate_for<'a>(
        &self,
        id: MessageId,
        message: &PendingMessage,
        candidates: &'a [Candidate],
    ) -> Option<&'a Candidate> {
        let backoff_is_over = message.not_before <= self.now;
        let is_ready = message.in_flight == 0
            && (backoff_is_over || message.found_no_connection())
            && message.attempts < self.max_attempts;
        if !is_ready || !self.is_in_order(id, message) || self.latest_start(message) < self.now {
            return None;
        }
        let required_zone = self.required_zone(message);
        let may_retry = |candidate: &Candidate| {
            candidate.allows_retries
                && (!message.was_rejected() || candidate.is_batched || self.shared.retry_credit.allows())
        };
        // What found no capacity for a connection needs none of its own. Against tables that all instances fill.
        let reachable = candidates.iter().filter(|candidate| backoff_is_over || candidate.has_connection);
        let mut allowed = reachable
            .filter(|candidate| message.attempts == 0 || candidate.is_health_check() || may_retry(candidate));
        allowed.find(|candidate| required_zone.is_none_or(|zone| *zone == candidate.zone))
    }

    fn is_in_order(&self, id: MessageId, message: &PendingMessage) -> bool {
        message.ordering_key.is_none_or(|key| self.ordering.may_start(key, id, self.now))
    }

    /// The zone that knows the message's idempotency key, where only that one does.
    fn required_zone<'a>(&self, message: &'a PendingMessage) -> Option<&'a String> {
        let per_zone =
            matches!(self.class(message).retry_safety, RetrySafety::Deduplicated { per_zone: true, .. });
        message.first_execution.as_ref().filter(|_| per_zone).map(|first| &first.zone)
    }
}

fn rank(endpoint: &Endpoint, is_batched: bool, zone_cost: f64, own_zone: &str, now: Duration) -> Rank {
    let load = i64::from(endpoint.concurrency.in_flight())
        + OTHER_ZONE_LOAD * i64::from(endpoint.zone != own_zone)
        + endpoint.health.load_penalty();
    Rank {
        is_health_check: endpoint.health.is_ejected(),
        zone_cost: (zone_cost * COST_PARTS) as i64,
        load: if is_batched { i64::MIN } else { load },
        idle_for: endpoint.last_used.map_or(Duration::MAX, |at| now - at),
        tie_breaker: endpoint.tie_breaker,
    }
}

#[cfg(test)]
#[path = "tests/selection.rs"]
mod tests;
