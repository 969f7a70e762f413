//! Idle connections: how long they are kept open before this instance closes them.

use super::state::State;
use crate::{DestinationId, Driver};
use std::collections::BTreeMap;
use std::time::Duration;

/// Instances that may keep theirs as long as they last: so few fill no endpoint's table.
const INSTANCES_WITHOUT_LIMIT: u32 = 4;
/// What a failed connection divides the idle timeout by: three are enough to learn by.
const FAILURE_DIVISOR: u32 = 4;
/// Share of it regained with each delivery: in the long run one connection in seventy fails.
const DELIVERY_GROWTH: f64 = 0.02;

/// How long an idle connection to endpoints of one kind is kept.
///
/// Against tables full of other instances' idle connections. May cost handshakes after outages.
struct IdleTimeout {
    current: Duration,
    least: Duration,
}

impl IdleTimeout {
    fn new(endpoint_timeout: Duration, instances: u32) -> Self {
        let least = endpoint_timeout / instances.max(INSTANCES_WITHOUT_LIMIT) * INSTANCES_WITHOUT_LIMIT;
        Self { current: endpoint_timeout, least }
    }

    fn on_failure(&mut self) {
        self.current = (self.current / FAILURE_DIVISOR).max(self.least);
    }

    fn on_delivery(&mut self, most: Duration) {
        self.current = self.current.mul_f64(1.0 + DELIVERY_GROWTH).min(most);
    }
}

/// An endpoint of a destination.
pub(crate) type EndpointKey = (DestinationId, String);

/// The endpoints with an idle connection, and how long these are kept by the kind of their destination.
pub(crate) struct IdleConnections {
    /// Since when; gone once it is used or closed.
    idle_since: BTreeMap<EndpointKey, Duration>,
    /// As many as the list has kinds.
    timeouts: BTreeMap<String, IdleTimeout>,
    /// After which a connection closes by itself; zero if that is not known.
    endpoint_timeout: Duration,
    instances: u32,
}

impl IdleConnections {
    pub(super) fn new(instances: u32) -> Self {
        Self {
            idle_since: BTreeMap::new(),
            timeouts: BTreeMap::new(),
            endpoint_timeout: Duration::ZERO,
            instances,
        }
    }

    pub(crate) fn set_endpoint_timeout(&mut self, timeout: Duration) {
        self.endpoint_timeout = timeout;
    }

    /// A call to an endpoint of `kind` has ended; from the first on, its idle timeout is known.
    pub(super) fn on_call(&mut self, kind: &str) {
        if !self.timeouts.contains_key(kind) {
            let timeout = IdleTimeout::new(self.endpoint_timeout, self.instances);
            self.timeouts.insert(kind.to_owned(), timeout);
        }
    }

    pub(super) fn on_delivery(&mut self, kind: &str) {
        if let Some(timeout) = self.timeouts.get_mut(kind) {
            timeout.on_delivery(self.endpoint_timeout);
        }
    }

    /// A connection did not come up, or found the endpoint's table full.
    pub(super) fn on_connect_failure(&mut self, kind: &str) {
        if let Some(timeout) = self.timeouts.get_mut(kind) {
            timeout.on_failure();
        }
    }

    /// The last call in flight there has ended, and its connection stays open.
    pub(super) fn on_idle(&mut self, endpoint: EndpointKey, now: Duration) {
        if !self.endpoint_timeout.is_zero() {
            self.idle_since.insert(endpoint, now);
        }
    }

    /// The connection is used or closed.
    pub(super) fn remove(&mut self, endpoint: &EndpointKey) {
        self.idle_since.remove(endpoint);
    }

    pub(super) fn contains(&self, endpoint: &EndpointKey) -> bool {
        self.idle_since.contains_key(endpoint)
    }

    /// Whether any endpoint of `destination` has an idle connection.
    pub(super) fn any_to(&self, destination: DestinationId) -> bool {
        let mut from_first = self.idle_since.range((destination, String::new())..);
        from_first.next().is_some_and(|((to, _), _)| *to == destination)
    }

    /// The time that is left to a connection which is idle since `since`; none where its endpoint's kind is unknown.
    pub(super) fn time_left(&self, kind: Option<&str>, since: Duration, now: Duration) -> Duration {
        let timeout = kind.and_then(|kind| self.timeouts.get(kind));
        let timeout = timeout.map_or(Duration::ZERO, |timeout| timeout.current);
        since.saturating_add(timeout).saturating_sub(now)
    }

    /// The least time for which any is kept, if that is known.
    pub(super) fn least_timeout(&self) -> Option<Duration> {
        self.timeouts.values().map(|timeout| timeout.current).min()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&EndpointKey, Duration)> {
        self.idle_since.iter().map(|(endpoint, since)| (endpoint, *since))
    }
}

impl State {
    /// The time that is left to an idle connection.
    fn idle_time_left(&self, key: &EndpointKey, since: Duration) -> Duration {
        let kind = self.endpoint(key.0, &key.1).map(|endpoint| endpoint.kind.as_str());
        self.shared.connections.time_left(kind, since, self.now)
    }

    /// The time until the next idle connection is to be closed.
    pub(super) fn next_idle_close(&self) -> Option<Duration> {
        self.shared.connections.iter().map(|(key, since)| self.idle_time_left(key, since)).min()
    }

    /// Rule: closes the idle connections of one endpoint whose time is over.
    pub(crate) fn close_idle_connections(&mut self, driver: &mut dyn Driver) -> bool {
        let Some(least) = self.shared.connections.least_timeout() else { return false };
        let is_over = |key: &EndpointKey, since: Duration| {
            since + least <= self.now && self.idle_time_left(key, since).is_zero()
        };
        let over = self.shared.connections.iter().find(|(key, since)| is_over(key, *since));
        let Some(key) = over.map(|(key, _)| key.clone()) else { return false };
        self.shared.connections.remove(&key);
        let destination = self.destinations.get_mut(&key.0);
        if let Some(endpoint) = destination.and_then(|destination| destination.endpoints.get_mut(&key.1)) {
            endpoint.last_used = None;
            driver.close_idle_connections(&key.1);
        }
        true
    }
}

#[cfg(test)]
#[path = "tests/connections.rs"]
mod tests;
