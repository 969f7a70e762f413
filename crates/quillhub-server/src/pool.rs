//! Connection pool: the processes of the endpoints that discovery lists, and idle connections to them.
//!
//! Invariants: only the listed processes of endpoints have reusable idle connections. Removing an endpoint retires its
//! connections, and each idle connection expires. A retired connection carries no other call; it stays open while responses
//! on it are unattributed, so that a response that is still outstanding can be noticed.

use crate::connection::HttpConnection;
use quillhub::{CallTimes, DestinationId, choose_connection};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Divisor of the endpoints' idle timeout: a connection is not used in the last tenth of it, since the endpoint might
/// close the connection before a request arrives. A tenth is longer than a round trip.
const IDLE_MARGIN_DIVISOR: u32 = 10;

/// Task that watches an idle connection; aborted when this is dropped.
pub struct Watcher(AbortHandle);

impl Watcher {
    /// Creates the owner of a task.
    pub fn new(task: AbortHandle) -> Self {
        Self(task)
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// What identifies the process behind a listed endpoint. If any of it changes, it is another process, to which nothing of
/// the earlier one applies: no open connection, and no attempt that is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointProcess {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Destination that it belongs to.
    pub destination: DestinationId,
    /// Time of its start as discovery lists it, in milliseconds since the Unix epoch; 0 for long ago.
    pub up_since_ms: u64,
}

/// Idle connection.
struct Idle {
    connection: HttpConnection,
    since: Instant,
    is_retired: bool,
    _watcher: Option<Watcher>,
}

impl Idle {
    /// Returns the position of the connection among those to close: settled ones first, then the oldest.
    fn close_order(&self) -> (bool, Instant) {
        (!self.connection.ledger.is_settled(), self.since)
    }

    /// Returns `true` if the connection stays open, and logs otherwise why it is closed.
    fn is_kept(&self, idle_timeout: Duration, endpoint: &str) -> bool {
        let idle_time = self.since.elapsed();
        let is_expired = idle_time >= idle_timeout;
        let is_kept = !self.is_retired && !is_expired || !self.connection.ledger.is_settled();
        if !is_kept {
            let (connection, is_retired) = (self.connection.number(), self.is_retired);
            tracing::info!(
                endpoint,
                connection,
                ?idle_time,
                is_retired,
                is_expired,
                "idle connection closed"
            );
        }
        is_kept
    }
}

/// Result of taking a connection.
#[derive(Default)]
pub struct Taken {
    /// Connection that may carry the call, and the time until it is at rest, if there is one.
    pub connection: Option<(HttpConnection, Duration)>,
    /// Connections that were found closed or with unexpected input.
    pub unusable: Vec<HttpConnection>,
}

/// Processes of the listed endpoints, and the idle connections to them.
pub struct ConnectionPool {
    processes: BTreeMap<String, EndpointProcess>,
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
        Self { processes: BTreeMap::new(), idle: BTreeMap::new(), idle_timeout, max_idle }
    }

    /// Sets the process of an endpoint. If it had another one, its idle connections are retired.
    pub fn endpoint_listed(&mut self, endpoint: &str, process: EndpointProcess) {
        let before = self.processes.insert(endpoint.into(), process);
        if let Some(before) = before.filter(|before| *before != process) {
            tracing::info!(endpoint, ?before, ?process, "endpoint is another process");
            self.retire(endpoint);
        }
    }

    /// Removes an endpoint and retires its idle connections.
    pub fn endpoint_removed(&mut self, endpoint: &str) {
        self.processes.remove(endpoint);
        self.retire(endpoint);
    }

    /// Removes the endpoints for which `listed` returns `false`, and retires their idle connections.
    pub fn keep_only(&mut self, listed: impl Fn(&str) -> bool) {
        self.processes.retain(|endpoint, _| listed(endpoint));
        let unlisted: Vec<_> = self.idle.keys().filter(|endpoint| !listed(endpoint)).cloned().collect();
        unlisted.iter().for_each(|endpoint| self.retire(endpoint));
    }

    /// Returns the process of the endpoint, or `None` if it is not listed.
    pub fn process(&self, endpoint: &str) -> Option<EndpointProcess> {
        self.processes.get(endpoint).copied()
    }

    /// Removes and returns the idle connection that is to carry the call. Connections chosen before it that are not usable
    /// are returned too.
    pub fn take(&mut self, endpoint: &str, times: CallTimes) -> Taken {
        let mut taken = Taken::default();
        let Some(idle) = self.idle.get_mut(endpoint) else { return taken };
        loop {
            let is_reusable = |idle: &Idle| !idle.is_retired && idle.since.elapsed() < self.idle_timeout;
            let offered = idle.iter().enumerate().filter(|(_, idle)| is_reusable(idle));
            let ledgers = offered.map(|(index, idle)| (index, &idle.connection.ledger));
            let Some(choice) = choose_connection(ledgers, times) else { return taken };
            let connection = idle.remove(choice.index).connection;
            if connection.is_idle() {
                taken.connection = Some((connection, choice.wait));
                return taken;
            }
            taken.unusable.push(connection);
        }
    }

    /// Adds an idle connection to a process of the endpoint. It is retired at once if that is not the listed one or the pool
    /// holds no connections, and [`Self::close_oldest_beyond`] has made room for it otherwise.
    pub fn put_back(
        &mut self,
        endpoint: &str,
        process: Option<EndpointProcess>,
        connection: HttpConnection,
        watcher: Option<Watcher>,
    ) {
        let is_listed = process.is_some() && self.process(endpoint) == process;
        let is_retired = !is_listed || self.max_idle == 0;
        self.add(endpoint, connection, watcher, is_retired);
    }

    /// Adds a connection that carries no other call, until its responses are attributed.
    pub fn put_back_retired(&mut self, endpoint: &str, connection: HttpConnection, watcher: Option<Watcher>) {
        self.add(endpoint, connection, watcher, true);
    }

    fn add(
        &mut self,
        endpoint: &str,
        connection: HttpConnection,
        watcher: Option<Watcher>,
        is_retired: bool,
    ) {
        if is_retired && connection.ledger.is_settled() {
            return;
        }
        let idle = Idle { connection, since: Instant::now(), is_retired, _watcher: watcher };
        self.idle.entry(endpoint.into()).or_default().push(idle);
    }

    /// Removes and returns the idle connection of this number, if it is still idle.
    pub fn remove(&mut self, endpoint: &str, number: u64) -> Option<HttpConnection> {
        let idle = self.idle.get_mut(endpoint)?;
        let index = idle.iter().position(|idle| idle.connection.number() == number)?;
        Some(idle.remove(index).connection)
    }

    /// Returns the idle connection of this number, if it is still idle.
    pub fn get_mut(&mut self, endpoint: &str, number: u64) -> Option<&mut HttpConnection> {
        let idle = self.idle.get_mut(endpoint)?;
        idle.iter_mut().map(|idle| &mut idle.connection).find(|connection| connection.number() == number)
    }

    /// Returns the maximum number of idle connections.
    pub fn max_idle(&self) -> usize {
        self.max_idle
    }

    /// Removes the oldest idle connections until at most `max` are left, to all endpoints together, those without
    /// unattributed responses first. Returns them with their endpoints.
    pub fn close_oldest_beyond(&mut self, max: usize) -> Vec<(String, HttpConnection)> {
        let mut closed = Vec::new();
        while self.idle.values().map(Vec::len).sum::<usize>() > max {
            let connections = self.idle.iter().flat_map(|(endpoint, idle)| {
                idle.iter().enumerate().map(move |(index, idle)| (idle.close_order(), endpoint, index))
            });
            let Some((_, endpoint, index)) = connections.min() else { break };
            let endpoint = endpoint.clone();
            let Some(idle) = self.idle.get_mut(&endpoint) else { break };
            closed.push((endpoint, idle.remove(index).connection));
        }
        closed
    }

    /// Retires the endpoint's idle connections: those without unattributed responses are closed.
    pub fn retire(&mut self, endpoint: &str) {
        if let Some(idle) = self.idle.get_mut(endpoint) {
            idle.iter_mut().for_each(|idle| idle.is_retired = true);
        }
        self.drop_retired();
    }

    /// Closes the retired connections without unattributed responses, and the expired ones.
    pub fn drop_retired(&mut self) {
        let idle_timeout = self.idle_timeout;
        self.idle.retain(|endpoint, idle| {
            idle.retain(|idle| idle.is_kept(idle_timeout, endpoint));
            !idle.is_empty()
        });
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
