//! The connection pool: the endpoints' addresses by discovery's list, and idle connections to them.
//!
//! Invariant: only listed endpoints have idle connections. They go with their endpoint, and each with time.

use crate::connection::HttpConnection;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Part of the idle time before its end in which an idle connection is not used: a request written then could
/// reach an endpoint that has just closed. A tenth is more than the way there and back takes.
const IDLE_MARGIN: u32 = 10;

/// An idle connection.
struct Idle {
    connection: HttpConnection,
    since: Instant,
}

impl Idle {
    fn is_good(&self, idle_timeout: Duration) -> bool {
        self.since.elapsed() < idle_timeout && self.connection.is_idle()
    }
}

/// The addresses of endpoints and the idle connections to them.
pub struct ConnectionPool {
    addresses: BTreeMap<String, SocketAddr>,
    /// By endpoint, the one used last behind the others.
    idle: BTreeMap<String, Vec<Idle>>,
    idle_timeout: Duration,
    max_idle: usize,
}

impl ConnectionPool {
    /// Endpoints close what is idle for `idle_timeout`; `max_idle` connections are pooled, over all of them.
    pub fn new(idle_timeout: Duration, max_idle: usize) -> Self {
        let idle_timeout = idle_timeout - idle_timeout / IDLE_MARGIN;
        Self { addresses: BTreeMap::new(), idle: BTreeMap::new(), idle_timeout, max_idle }
    }

    /// The endpoint is at `address`; its connections go if it was elsewhere.
    pub fn listed(&mut self, endpoint: &str, address: SocketAddr) {
        if self.addresses.insert(endpoint.into(), address).is_some_and(|before| before != address) {
            self.idle.remove(endpoint);
        }
    }

    /// The endpoint is no more.
    pub fn removed(&mut self, endpoint: &str) {
        self.addresses.remove(endpoint);
        self.idle.remove(endpoint);
    }

    /// No endpoint but those that are `listed` is left.
    pub fn keep_only(&mut self, listed: impl Fn(&str) -> bool) {
        self.addresses.retain(|endpoint, _| listed(endpoint));
        self.idle.retain(|endpoint, _| listed(endpoint));
    }

    /// Where the endpoint is, if it is listed.
    pub fn address(&self, endpoint: &str) -> Option<SocketAddr> {
        self.addresses.get(endpoint).copied()
    }

    /// The connection used last that is still good; those that are not are closed.
    pub fn take(&mut self, endpoint: &str) -> Option<HttpConnection> {
        let idle = self.idle.get_mut(endpoint)?;
        while let Some(last) = idle.pop() {
            if last.is_good(self.idle_timeout) {
                return Some(last.connection);
            }
        }
        None
    }

    /// A connection is idle again.
    pub fn put_back(&mut self, endpoint: &str, connection: HttpConnection) {
        if !self.addresses.contains_key(endpoint) || self.max_idle == 0 {
            return;
        }
        self.close_oldest_beyond(self.max_idle - 1);
        let idle = Idle { connection, since: Instant::now() };
        self.idle.entry(endpoint.into()).or_default().push(idle);
    }

    /// Closes the oldest idle connections until there are `max` at most.
    pub fn close_oldest_beyond(&mut self, max: usize) {
        if max >= self.max_idle {
            return; // there are no more than that
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

    /// Closes what the other side closed or soon will.
    pub fn close_expired(&mut self) {
        let idle_timeout = self.idle_timeout;
        self.idle.retain(|_, idle| {
            idle.retain(|idle| idle.is_good(idle_timeout));
            !idle.is_empty()
        });
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
