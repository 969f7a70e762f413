//! Connection pool: the addresses of the endpoints that discovery lists, and idle connections to them.
//!
//! Invariant: only listed endpoints have idle connections. Removing an endpoint closes its connections, and each idle
//! connection expires.

use crate::connection::HttpConnection;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Divisor of the endpoints' idle timeout: a connection is not used in the last tenth of it, since the endpoint might
/// close the connection before a request arrives. A tenth is longer than a round trip.
const IDLE_MARGIN_DIVISOR: u32 = 10;

/// Idle connection.
struct Idle {
    connection: HttpConnection,
    since: Instant,
}

impl Idle {
    /// Returns `true` if the connection is open and has been idle for less than `idle_timeout`.
    fn is_usable(&self, idle_timeout: Duration) -> bool {
        self.since.elapsed() < idle_timeout && self.connection.is_idle()
    }
}

/// Addresses of the listed endpoints, and the idle connections to them.
pub struct ConnectionPool {
    addresses: BTreeMap<String, SocketAddr>,
    /// Idle connections by endpoint, the one used last at the end.
    idle: BTreeMap<String, Vec<Idle>>,
    /// Time after which an idle connection is not used any more; shorter than the endpoints' own timeout.
    idle_timeout: Duration,
    /// Maximum number of idle connections, to all endpoints together.
    max_idle: usize,
}

impl ConnectionPool {
    /// Creates an empty pool of up to `max_idle` connections, to all endpoints together. Endpoints close connections
    /// that are idle for `idle_timeout`.
    pub fn new(idle_timeout: Duration, max_idle: usize) -> Self {
        let idle_timeout = idle_timeout - idle_timeout / IDLE_MARGIN_DIVISOR;
        Self { addresses: BTreeMap::new(), idle: BTreeMap::new(), idle_timeout, max_idle }
    }

    /// Sets the address of an endpoint. If it had another address, its idle connections are closed.
    pub fn endpoint_listed(&mut self, endpoint: &str, address: SocketAddr) {
        if self.addresses.insert(endpoint.into(), address).is_some_and(|before| before != address) {
            self.idle.remove(endpoint);
        }
    }

    /// Removes an endpoint and closes its idle connections.
    pub fn endpoint_removed(&mut self, endpoint: &str) {
        self.addresses.remove(endpoint);
        self.idle.remove(endpoint);
    }

    /// Removes the endpoints for which `listed` returns `false`, and closes their idle connections.
    pub fn keep_only(&mut self, listed: impl Fn(&str) -> bool) {
        self.addresses.retain(|endpoint, _| listed(endpoint));
        self.idle.retain(|endpoint, _| listed(endpoint));
    }

    /// Returns the address of the endpoint, or `None` if it is not listed.
    pub fn address(&self, endpoint: &str) -> Option<SocketAddr> {
        self.addresses.get(endpoint).copied()
    }

    /// Removes and returns the idle connection used last that is still usable. Connections used after it, which are not
    /// usable, are closed.
    pub fn take(&mut self, endpoint: &str) -> Option<HttpConnection> {
        let idle = self.idle.get_mut(endpoint)?;
        while let Some(last) = idle.pop() {
            if last.is_usable(self.idle_timeout) {
                return Some(last.connection);
            }
        }
        None
    }

    /// Adds an idle connection, and closes the oldest ones if there are too many. The connection is closed instead if
    /// the endpoint is not listed.
    pub fn put_back(&mut self, endpoint: &str, connection: HttpConnection) {
        if !self.addresses.contains_key(endpoint) || self.max_idle == 0 {
            return;
        }
        self.close_oldest_beyond(self.max_idle - 1);
        let idle = Idle { connection, since: Instant::now() };
        self.idle.entry(endpoint.into()).or_default().push(idle);
    }

    /// Closes the oldest idle connections until at most `max` are left, to all endpoints together.
    pub fn close_oldest_beyond(&mut self, max: usize) {
        if max >= self.max_idle {
            return; // the pool never holds more than `max_idle`
        }
        while self.idle.values().map(Vec::len).sum::<usize>() > max {
            let oldest =
                self.idle.iter().filter_map(|(endpoint, idle)| Some((idle.first()?.since, endpoint)));
            let Some(endpoint) = oldest.min().map(|(_, endpoint)| endpoint.clone()) else { break };
            let Some(idle) = self.idle.get_mut(&endpoint) else { break };
            idle.remove(0);
        }
    }

    /// Closes the endpoint's idle connections.
    pub fn close_idle(&mut self, endpoint: &str) {
        self.idle.remove(endpoint);
    }

    /// Closes the idle connections that their endpoint has closed, or may close soon.
    pub fn close_expired(&mut self) {
        let idle_timeout = self.idle_timeout;
        self.idle.retain(|_, idle| {
            idle.retain(|idle| idle.is_usable(idle_timeout));
            !idle.is_empty()
        });
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
