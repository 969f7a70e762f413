//! Idle connections: idle timeouts, and the closing of connections that exceed them.

use super::state::State;
use crate::{DestinationId, Driver};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of instances up to which idle connections are kept until the endpoint closes them: so few instances do not
/// fill an endpoint's connection table.
const MAX_UNRESTRICTED_INSTANCES: u32 = 4;
/// Divisor of the idle timeout at each failed connection; three failures shorten it to a 64th, which is the minimum at
/// 256 instances.
const FAILURE_DIVISOR: u32 = 4;
/// Growth of the idle timeout with each delivery, as a share of it, which balances [`FAILURE_DIVISOR`] when one
/// connection in seventy fails.
const DELIVERY_GROWTH_SHARE: f64 = 0.02;

/// Adaptive idle timeout for connections to the endpoints of one kind of destination.
///
/// Prevents the idle connections of many instances from filling the connection tables of endpoints. Failed connections
/// of any other cause shorten the timeout too, so an outage may cost additional handshakes afterwards.
struct IdleTimeout {
    current: Duration,
    /// Lower bound of `current`, derived from the number of instances.
    min: Duration,
}

impl IdleTimeout {
    fn new(endpoint_timeout: Duration, instances: u32) -> Self {
        let min = endpoint_timeout / instances.max(MAX_UNRESTRICTED_INSTANCES) * MAX_UNRESTRICTED_INSTANCES;
        Self { current: endpoint_timeout, min }
    }

    fn on_failure(&mut self) {
        self.current = (self.current / FAILURE_DIVISOR).max(self.min);
    }

    fn on_delivery(&mut self, max: Duration) {
        self.current = self.current.mul_f64(1.0 + DELIVERY_GROWTH_SHARE).min(max);
    }
}

/// Destination and name of an endpoint.
pub(super) type EndpointKey = (DestinationId, String);

/// Endpoints to which this instance has an idle connection, and idle timeouts by kind of destination.
pub(crate) struct IdleConnections {
    /// Start of the idle time by endpoint; removed when the connection is used or closed.
    idle_since: BTreeMap<EndpointKey, Duration>,
    /// Idle timeouts by kind of destination, bounded in number by the kinds in the endpoint list.
    timeouts: BTreeMap<String, IdleTimeout>,
    /// Time after which an endpoint closes an idle connection; zero if unknown.
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

    /// Creates the idle timeout of `kind` if it does not exist yet.
    pub(super) fn ensure_timeout(&mut self, kind: &str) {
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

    /// Shortens the idle timeout of `kind` after a connection failed or was refused because the endpoint's table was
    /// full.
    pub(super) fn on_connect_failure(&mut self, kind: &str) {
        if let Some(timeout) = self.timeouts.get_mut(kind) {
            timeout.on_failure();
        }
    }

    /// Records that the last call in flight to `endpoint` has ended and its connection stays open.
    ///
    /// Does nothing while the endpoint's own timeout is unknown.
    pub(super) fn on_idle(&mut self, endpoint: EndpointKey, now: Duration) {
        if !self.endpoint_timeout.is_zero() {
            self.idle_since.insert(endpoint, now);
        }
    }

    /// Removes the idle connection to `endpoint`, which is being used or closed.
    pub(super) fn remove(&mut self, endpoint: &EndpointKey) {
        self.idle_since.remove(endpoint);
    }

    pub(super) fn contains(&self, endpoint: &EndpointKey) -> bool {
        self.idle_since.contains_key(endpoint)
    }

    /// Returns `true` if idle connections to endpoints of `kind` are kept open for `period` at least, or for an unknown
    /// time.
    pub(super) fn are_kept_for(&self, kind: &str, period: Duration) -> bool {
        let timeout = self.timeouts.get(kind).map_or(self.endpoint_timeout, |timeout| timeout.current);
        self.endpoint_timeout.is_zero() || timeout >= period
    }

    /// Returns `true` if there is an idle connection to any endpoint of `destination`.
    pub(super) fn has_any_to(&self, destination: DestinationId) -> bool {
        let mut from_destination = self.idle_since.range((destination, String::new())..);
        from_destination.next().is_some_and(|((id, _), _)| *id == destination)
    }

    /// Returns the time until a connection that has been idle since `since` exceeds its idle timeout; zero if its
    /// `kind` is unknown.
    fn time_left(&self, kind: Option<&str>, since: Duration, now: Duration) -> Duration {
        let timeout = kind.and_then(|kind| self.timeouts.get(kind));
        let timeout = timeout.map_or(Duration::ZERO, |timeout| timeout.current);
        since.saturating_add(timeout).saturating_sub(now)
    }

    /// Returns the shortest of the idle timeouts of all kinds, or `None` before the first call has ended.
    fn min_timeout(&self) -> Option<Duration> {
        self.timeouts.values().map(|timeout| timeout.current).min()
    }

    fn iter(&self) -> impl Iterator<Item = (&EndpointKey, Duration)> {
        self.idle_since.iter().map(|(endpoint, since)| (endpoint, *since))
    }
}

impl State {
    /// Returns the time until an idle connection to `key` exceeds its idle timeout; zero if the endpoint is no longer
    /// known.
    fn idle_time_left(&self, key: &EndpointKey, since: Duration) -> Duration {
        let kind = self.endpoint(key.0, &key.1).map(|endpoint| endpoint.kind.as_str());
        self.shared.connections.time_left(kind, since, self.now)
    }

    /// Returns the time until the next idle connection exceeds its timeout, or `None` if no connection is idle.
    pub(super) fn time_to_next_idle_close(&self) -> Option<Duration> {
        self.shared.connections.iter().map(|(key, since)| self.idle_time_left(key, since)).min()
    }

    /// Rule: if idle connections to an endpoint have exceeded their timeout, closes those of the first such endpoint.
    pub(crate) fn close_idle_connections(&mut self, driver: &mut dyn Driver) -> bool {
        let Some(min_timeout) = self.shared.connections.min_timeout() else { return false };
        let exceeds_timeout = |key: &EndpointKey, since: Duration| {
            since + min_timeout <= self.now && self.idle_time_left(key, since).is_zero()
        };
        let expired = self.shared.connections.iter().find(|(key, since)| exceeds_timeout(key, *since));
        let Some(key) = expired.map(|(key, _)| key.clone()) else { return false };
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
