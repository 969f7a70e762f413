//! Discovery: when the endpoint list is polled, and what its entries change.

use super::backoff::{MAX_DELAY, full_jitter};
use super::outlier::{EndpointHealth, Health};
use super::rate_limit::{RateEstimate, RouteLimit, TokenBucket};
use super::slow_start::SlowStartBudget;
use super::state::{Destination, Endpoint, Route, State};
use crate::{DestinationId, Driver, EndpointState, EndpointUpdate, ListedRateAccuracy, ms};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

/// Upper end of the first gap between polls that failed.
const FIRST_GAP: Duration = ms(500);
/// From one poll to the next at most: a change counts as notified after 6 s.
const POLL_WITHIN: Duration = ms(5_000);
/// Part of that bound, and of the poll period, that is drawn at random: polls of a fleet spread out.
const BOUND_SPREAD: Range<f64> = 0.8..1.0;
const PERIOD_SPREAD: Range<f64> = 0.5..1.0;
/// How long a destination without endpoints still exists.
const FORGET: Duration = ms(600_000);

/// When discovery is polled.
pub(crate) struct DiscoveryPolls {
    /// Whether it notifies changes only to those that poll.
    must_poll: bool,
    /// The period in which it wants each instance to poll once.
    period: Duration,
    /// Whether a poll is in flight, or the watch that it opened stands.
    is_watching: bool,
    /// When the last poll began.
    began: Duration,
    failures: u32,
    next: Duration,
}

impl DiscoveryPolls {
    pub(super) fn new() -> Self {
        let zero = Duration::ZERO;
        // Before the first success counts as a failure.
        Self { must_poll: false, period: zero, is_watching: false, began: zero, failures: 1, next: zero }
    }

    pub(crate) fn set_must_poll(&mut self, must_poll: bool) {
        self.must_poll = must_poll;
    }

    pub(crate) fn set_period(&mut self, period: Duration) {
        self.period = period;
    }

    fn begin_if_due(&mut self, now: Duration) -> bool {
        let due = self.must_poll && !self.is_watching && self.next <= now;
        if due {
            self.is_watching = true;
            self.began = now;
        }
        due
    }

    fn on_list(&mut self) {
        self.is_watching = true;
        self.failures = 0;
    }

    /// Against more polls of all instances than discovery answers in time, so that it answers none. The last bound
    /// counts from begin to begin.
    pub(crate) fn on_failure(&mut self, now: Duration, rng: &mut Pcg64Mcg) {
        self.is_watching = false;
        self.failures += 1;
        let soon = now + FIRST_GAP.mul_f64(rng.random());
        let period = self.period.mul_f64(rng.random_range(PERIOD_SPREAD));
        let later = now + full_jitter(rng, self.failures, FIRST_GAP, MAX_DELAY) + period;
        let last = self.began + POLL_WITHIN.mul_f64(rng.random_range(BOUND_SPREAD));
        self.next = if self.failures > 1 { later.min(last).max(soon) } else { soon };
    }

    /// The time until the next poll, if one is to come.
    pub(super) fn wait(&self, now: Duration) -> Option<Duration> {
        (self.must_poll && !self.is_watching).then(|| self.next.saturating_sub(now))
    }
}

/// Destinations, and when the list last named an endpoint of theirs; forgotten a good while after.
#[derive(Default)]
pub(crate) struct KnownDestinations {
    last_named: BTreeMap<DestinationId, Duration>,
}

impl KnownDestinations {
    /// Whether there is such a destination. With no list at all there may be any.
    pub(crate) fn contains(&self, destination: DestinationId) -> bool {
        self.last_named.is_empty() || self.last_named.contains_key(&destination)
    }

    fn on_list(&mut self, named: impl Iterator<Item = DestinationId>, now: Duration) {
        self.last_named.extend(named.map(|id| (id, now)));
        self.last_named.retain(|_, at| now < *at + FORGET);
    }
}

impl State {
    /// Rule: polls discovery once that is due.
    pub(crate) fn poll_discovery(&mut self, driver: &mut dyn Driver) -> bool {
        let due = self.discovery.begin_if_due(self.now);
        if due {
            driver.watch_endpoints();
        }
        due
    }

    /// Takes in one entry of the endpoint list.
    pub(crate) fn update_endpoint(&mut self, update: EndpointUpdate) {
        let estimate = self.rate_estimate(update.listed_rate);
        let now = self.now;
        let route_name = if self.separate_routes.contains(update.kind) { update.name } else { "" };
        let destination = self.destinations.entry(update.destination).or_default();
        let new_route = || Route::new(RouteLimit::new(TokenBucket::new(estimate, now)));
        let route = destination.routes.entry(route_name.into()).or_insert_with(new_route);
        route.limit.on_listed_rate(estimate);

        let health = first_health(destination, &update, route_name);
        let rng = &mut self.shared.rng;
        let endpoint = destination.endpoints.entry(update.name.into()).or_insert_with(|| {
            let tie_breaker = rng.random();
            let budget = SlowStartBudget::new(rng.random(), now);
            Endpoint::new(&update, route_name, tie_breaker, EndpointHealth::new(health), budget)
        });
        endpoint.state = update.state;
        self.any_removed |= update.state == EndpointState::Removed;
    }

    fn rate_estimate(&self, listed_rate: Option<f64>) -> RateEstimate {
        let is_known = self.listed_rates != ListedRateAccuracy::Absent;
        let rate = listed_rate.filter(|rate| *rate > 0.0 && is_known);
        RateEstimate::from_listed(rate, self.listed_rates == ListedRateAccuracy::Approximate)
    }

    /// The end of a list or of changes; what a `snapshot` leaves out is removed.
    pub(crate) fn end_endpoint_list(&mut self, snapshot: Option<&BTreeSet<String>>, from_discovery: bool) {
        let named = self.destinations.iter().filter(|(_, destination)| destination.is_named());
        self.known_destinations.on_list(named.map(|(id, _)| *id), self.now);
        if snapshot.is_some() || self.any_removed {
            self.drop_removed_endpoints(snapshot);
        }
        if from_discovery {
            self.discovery.on_list();
        }
    }

    /// Drops the endpoints that are removed and have nothing in flight, and what went only with them.
    fn drop_removed_endpoints(&mut self, snapshot: Option<&BTreeSet<String>>) {
        let now = self.now;
        let busy: BTreeSet<_> = self.in_flight.values().map(|attempt| &attempt.endpoint).collect();
        let mut any_left = false;
        self.destinations.retain(|_, destination| {
            destination.endpoints.retain(|name, endpoint| {
                if snapshot.is_some_and(|names| !names.contains(name)) {
                    endpoint.state = EndpointState::Removed;
                }
                let removed = endpoint.state == EndpointState::Removed;
                any_left |= removed && busy.contains(name);
                !removed || busy.contains(name)
            });
            destination.drop_unused_routes(now);
            !destination.routes.is_empty()
        });
        self.any_removed = any_left;
    }
}

/// The health that a new endpoint begins with: the best of its route's siblings.
///
/// Against taking a new endpoint of a destination that is ejected or warming up for a way around that.
fn first_health(destination: &Destination, update: &EndpointUpdate, route: &str) -> Health {
    let is_new = !destination.endpoints.contains_key(update.name);
    if !is_new || route == update.name {
        return Health::Healthy;
    }
    let siblings = destination.endpoints.values().map(|endpoint| endpoint.health.status());
    let best = siblings.clone().find(|status| *status == Health::Healthy).or_else(|| siblings.min());
    best.unwrap_or(Health::Healthy)
}

#[cfg(test)]
#[path = "tests/discovery.rs"]
pub(in crate::policy) mod tests;
