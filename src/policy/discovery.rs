//! Discovery: polling of the endpoint list, and the changes that its entries make.

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

/// Upper bound of the random delay before the poll after a first failure; the bound grows with further failures.
const MAX_FIRST_RETRY_DELAY: Duration = ms(500);
/// Maximum time from the start of one poll to the start of the next. Instances must know of a change within 6 s of
/// discovery being reachable.
const MAX_POLL_INTERVAL: Duration = ms(5_000);
/// Range of the random factor of [`MAX_POLL_INTERVAL`], which spreads out the polls of many instances.
const POLL_INTERVAL_JITTER: Range<f64> = 0.8..1.0;
/// Range of the random factor of the poll period, which spreads out the polls of many instances.
const POLL_PERIOD_JITTER: Range<f64> = 0.5..1.0;
/// Time for which a destination is known after its last endpoint has left the endpoint list.
const KNOWN_DESTINATION_RETENTION: Duration = ms(600_000);

/// Schedule of the polls of discovery.
pub(crate) struct DiscoveryPolls {
    /// `true` if discovery reports changes only to instances that poll it.
    must_poll: bool,
    /// Period in which each instance should poll discovery once.
    period: Duration,
    /// `true` while a poll, or the watch that it opened, is in progress.
    is_poll_in_progress: bool,
    /// Start of the last poll.
    last_poll_started: Duration,
    /// Number of failures since the last endpoint list; at least 1 before the first one.
    failures: u32,
    /// Earliest time of the next poll.
    next_poll: Duration,
}

impl DiscoveryPolls {
    pub(super) fn new() -> Self {
        let zero = Duration::ZERO;
        // The time before the first endpoint list counts as a failure.
        Self {
            must_poll: false,
            period: zero,
            is_poll_in_progress: false,
            last_poll_started: zero,
            failures: 1,
            next_poll: zero,
        }
    }

    pub(crate) fn set_must_poll(&mut self, must_poll: bool) {
        self.must_poll = must_poll;
    }

    pub(crate) fn set_period(&mut self, period: Duration) {
        self.period = period;
    }

    /// Returns `true` if a poll is due, and registers its start if so.
    fn start_poll_if_due(&mut self, now: Duration) -> bool {
        let due = self.must_poll && !self.is_poll_in_progress && self.next_poll <= now;
        if due {
            self.is_poll_in_progress = true;
            self.last_poll_started = now;
        }
        due
    }

    /// Registers a list from discovery, which ends the series of failures.
    fn on_list(&mut self) {
        self.is_poll_in_progress = true;
        self.failures = 0;
    }

    /// Schedules the next poll after one that failed or ended.
    ///
    /// Prevents the instances from sending more polls than discovery can answer in time, which would leave all of them
    /// unanswered. May delay the first endpoint list or a change by up to [`MAX_POLL_INTERVAL`], which applies from the
    /// start of one poll to the start of the next, unless the first one takes too long for that.
    pub(crate) fn on_failure(&mut self, now: Duration, rng: &mut Pcg64Mcg) {
        self.is_poll_in_progress = false;
        self.failures += 1;
        let earliest = now + MAX_FIRST_RETRY_DELAY.mul_f64(rng.random());
        let period = self.period.mul_f64(rng.random_range(POLL_PERIOD_JITTER));
        let desired = now + full_jitter(rng, self.failures, MAX_FIRST_RETRY_DELAY, MAX_DELAY) + period;
        let latest =
            self.last_poll_started + MAX_POLL_INTERVAL.mul_f64(rng.random_range(POLL_INTERVAL_JITTER));
        self.next_poll = if self.failures > 1 { desired.min(latest).max(earliest) } else { earliest };
    }

    /// Returns the time until the next poll, or `None` if none is planned.
    pub(super) fn time_until_poll(&self, now: Duration) -> Option<Duration> {
        (self.must_poll && !self.is_poll_in_progress).then(|| self.next_poll.saturating_sub(now))
    }
}

/// Time at which each destination last had an endpoint in the endpoint list.
///
/// A destination is removed [`KNOWN_DESTINATION_RETENTION`] after that.
#[derive(Default)]
pub(crate) struct KnownDestinations {
    last_listed: BTreeMap<DestinationId, Duration>,
}

impl KnownDestinations {
    /// Returns `true` if the destination is known; while no destination is, as before the first list, every one counts
    /// as known.
    pub(crate) fn contains(&self, destination: DestinationId) -> bool {
        self.last_listed.is_empty() || self.last_listed.contains_key(&destination)
    }

    /// Registers the destinations in the current endpoint list, and removes those not listed within
    /// [`KNOWN_DESTINATION_RETENTION`].
    fn on_list(&mut self, listed: impl Iterator<Item = DestinationId>, now: Duration) {
        self.last_listed.extend(listed.map(|id| (id, now)));
        self.last_listed.retain(|_, listed_at| now < *listed_at + KNOWN_DESTINATION_RETENTION);
    }
}

impl State {
    /// Rule: polls discovery if a poll is due.
    pub(crate) fn poll_discovery(&mut self, driver: &mut dyn Driver) -> bool {
        let due = self.discovery.start_poll_if_due(self.now);
        if due {
            driver.watch_endpoints();
        }
        due
    }

    /// Handles an entry of the endpoint list, or a change to one.
    pub(crate) fn update_endpoint(&mut self, update: EndpointUpdate) {
        self.remove_from_earlier_destination(&update);
        let estimate = self.rate_estimate(update.listed_rate);
        let now = self.now;
        let route_name = if self.separate_routes.contains(update.kind) { update.name } else { "" };
        let destination = self.destinations.entry(update.destination).or_default();
        let new_route = || Route::new(RouteLimit::new(TokenBucket::new(estimate, now)));
        let route = destination.routes.entry(route_name.into()).or_insert_with(new_route);
        route.limit.on_listed_rate(estimate);

        let health = initial_health(destination, &update, route_name);
        let rng = &mut self.shared.rng;
        let endpoint = destination.endpoints.entry(update.name.into()).or_insert_with(|| {
            let tie_breaker = rng.random();
            let budget = SlowStartBudget::new(rng.random(), now);
            Endpoint::new(&update, route_name, tie_breaker, EndpointHealth::new(health), budget)
        });
        endpoint.state = update.state;
        self.any_removed |= update.state == EndpointState::Removed;
    }

    /// Removes an endpoint from the destination that it belonged to before, if that is another one.
    ///
    /// Prevents calls for that destination at an endpoint that now serves another one.
    fn remove_from_earlier_destination(&mut self, update: &EndpointUpdate) {
        let earlier = self.endpoint_destinations.insert(update.name.to_owned(), update.destination);
        let Some(earlier) = earlier.filter(|earlier| *earlier != update.destination) else { return };
        let destination = self.destinations.get_mut(&earlier);
        if let Some(endpoint) = destination.and_then(|known| known.endpoints.get_mut(update.name)) {
            endpoint.state = EndpointState::Removed;
            self.any_removed = true;
        }
    }

    /// Returns the rate estimate for a listed rate, which is ignored unless it is positive and rates are meaningful.
    fn rate_estimate(&self, listed_rate: Option<f64>) -> RateEstimate {
        let is_known = self.listed_rate_accuracy != ListedRateAccuracy::Absent;
        let rate = listed_rate.filter(|rate| *rate > 0.0 && is_known);
        RateEstimate::from_listed(rate, self.listed_rate_accuracy == ListedRateAccuracy::Approximate)
    }

    /// Handles the end of an endpoint list or of a series of changes; endpoints missing from a `snapshot` are removed.
    pub(crate) fn end_endpoint_list(&mut self, snapshot: Option<&BTreeSet<String>>, from_discovery: bool) {
        let listed = self.destinations.iter().filter(|(_, destination)| destination.is_listed());
        self.known_destinations.on_list(listed.map(|(id, _)| *id), self.now);
        if snapshot.is_some() || self.any_removed {
            self.drop_removed_endpoints(snapshot);
        }
        if from_discovery {
            self.discovery.on_list();
        }
    }

    /// Removes the endpoints that have left the endpoint list and have no attempt in flight, and then the routes and
    /// destinations that are no longer needed.
    fn drop_removed_endpoints(&mut self, snapshot: Option<&BTreeSet<String>>) {
        let now = self.now;
        let busy: BTreeSet<_> = self.in_flight.values().map(|attempt| &attempt.endpoint).collect();
        let mut any_removed_left = false;
        self.destinations.retain(|id, destination| {
            destination.endpoints.retain(|name, endpoint| {
                if snapshot.is_some_and(|names| !names.contains(name)) {
                    endpoint.state = EndpointState::Removed;
                }
                let removed = endpoint.state == EndpointState::Removed;
                let is_kept = !removed || busy.contains(name);
                any_removed_left |= removed && is_kept;
                if !is_kept && self.endpoint_destinations.get(name) == Some(id) {
                    self.endpoint_destinations.remove(name);
                }
                is_kept
            });
            destination.drop_unused_routes(now);
            !destination.routes.is_empty()
        });
        self.any_removed = any_removed_left;
    }
}

/// Returns the initial health of a new endpoint: the best health among the other endpoints of its route. The result for
/// a known endpoint is not used.
///
/// Prevents a new endpoint from receiving the full load of a destination whose endpoints are ejected or warming up. May
/// delay calls to a new endpoint that works although the others do not. An endpoint with a separate route starts
/// healthy.
fn initial_health(destination: &Destination, update: &EndpointUpdate, route: &str) -> Health {
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
