//! True state of the destinations: routes with their rate limits, outages and recoveries, and the servers behind
//! endpoints with their workers, queues, connections and active faults.
//!
//! The module does not depend on the event loop.

use crate::active_faults::ServerFault;
use crate::rate_limit::RateLimit;
use crate::scenario::{DestinationKind, RuleSettings};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Servers that share one rate limit and that fail and recover as one.
pub(crate) struct Route {
    pub(crate) rate_limit: Option<RateLimit>,
    /// Numbers of the servers that belong to the route.
    pub(crate) servers: Vec<usize>,
    /// `true` while all servers of the route have an outage.
    pub(crate) is_down: bool,
    /// `true` once the route was overloaded during a recovery, after which it stays down for the rest of the
    /// run.
    pub(crate) is_overloaded: bool,
    /// Time of the recovery, while the route is warming up; `None` if it is warm or has never been down.
    pub(crate) recovered_at: Option<Duration>,
    /// Full capacity in calls per second.
    pub(crate) full_capacity_per_s: f64,
    /// Arrival times of calls while the route is warming up; those older than the overload window
    /// of `overload_tolerance` are removed.
    pub(crate) calls: VecDeque<Duration>,
}

/// Returns the share of its full capacity that a route has at `age` after its recovery.
pub(crate) fn warm_share(rules: &RuleSettings, age: Duration) -> f64 {
    let progress = (age.as_secs_f64() / rules.warm_up.as_secs_f64().max(1e-9)).min(1.0);
    rules.initial_share + (1.0 - rules.initial_share) * progress
}

impl Route {
    /// Creates a warm route without servers.
    pub(crate) fn new(rate_limit: Option<RateLimit>) -> Self {
        Self {
            rate_limit,
            servers: Vec::new(),
            is_down: false,
            is_overloaded: false,
            recovered_at: None,
            full_capacity_per_s: 0.0,
            calls: VecDeque::new(),
        }
    }

    /// Returns the share of its full capacity that the route has now, and ends the warm-up if it is over.
    pub(crate) fn capacity_share(&mut self, now: Duration, rules: &RuleSettings) -> f64 {
        let Some(recovered_at) = self.recovered_at else { return 1.0 };
        if now >= recovered_at + rules.warm_up {
            self.recovered_at = None;
            self.calls.clear();
            return 1.0;
        }
        warm_share(rules, now - recovered_at)
    }

    /// Records the arrival of a call. Returns `true` if the calls of the last overload window exceed `overload_factor`
    /// times the capacity of the recovering route in that window.
    pub(crate) fn record_call(&mut self, now: Duration, rules: &RuleSettings) -> bool {
        let Some(recovered_at) = self.recovered_at else { return false };
        self.calls.push_back(now);
        while self.calls.front().is_some_and(|at| *at + rules.overload_tolerance < now) {
            self.calls.pop_front();
        }
        if now < recovered_at + rules.overload_tolerance {
            return false; // the route recovered less than one overload window ago
        }
        // The capacity grows linearly, so its mean over the window is its value at the middle of the window.
        let capacity = self.full_capacity_per_s
            * rules.overload_tolerance.as_secs_f64()
            * warm_share(rules, now - rules.overload_tolerance / 2 - recovered_at);
        self.calls.len() as f64 > rules.overload_factor * capacity
    }
}

/// Server behind an endpoint, at one address.
pub(crate) struct Server {
    /// Number of the destination, counted from 0.
    pub(crate) destination: usize,
    /// Index of the destination's kind in the scenario.
    pub(crate) kind: usize,
    /// Index of the server's zone in the scenario.
    pub(crate) zone: usize,
    /// Number of the route, counted from 0.
    pub(crate) route: usize,
    /// Factor on the service times of the destination's kind.
    pub(crate) time_factor: f64,
    /// Number of workers that are serving a call.
    pub(crate) busy_workers: usize,
    /// Number of times that the server began to refuse connections, which drops its calls.
    pub(crate) reset_count: u32,
    /// Numbers of the calls that wait for a worker, in order of arrival.
    pub(crate) queue: VecDeque<u64>,
    /// Number of connections that are being opened or carry a call.
    pub(crate) open_connections: usize,
    /// For each instance, the times since which its connections are idle. A connection is removed when it is reused,
    /// closed by its instance, or closed by the server after the idle timeout.
    pub(crate) idle_since: BTreeMap<usize, Vec<Duration>>,
    /// Active faults, with their numbers in the scenario.
    pub(crate) faults: Vec<(usize, ServerFault)>,
}

impl Server {
    pub(crate) fn new(destination: usize, kind: usize, zone: usize, route: usize, time_factor: f64) -> Self {
        let (idle_since, faults, queue) = (BTreeMap::new(), Vec::new(), VecDeque::new());
        Self {
            destination,
            kind,
            zone,
            route,
            time_factor,
            busy_workers: 0,
            reset_count: 0,
            queue,
            open_connections: 0,
            idle_since,
            faults,
        }
    }

    pub(crate) fn has_outage(&self) -> bool {
        self.faults.iter().any(|(_, fault)| fault.is_outage())
    }

    pub(crate) fn refuses(&self) -> bool {
        self.faults.iter().any(|(_, fault)| *fault == ServerFault::Refuses)
    }

    pub(crate) fn is_silent(&self) -> bool {
        self.faults.iter().any(|(_, fault)| *fault == ServerFault::Silent)
    }

    pub(crate) fn hangs(&self) -> bool {
        self.faults.iter().any(|(_, fault)| matches!(fault, ServerFault::Hangs | ServerFault::Silent))
    }

    /// Returns `None` if the server is not shut, and otherwise the time at which it reopens, if that is known.
    pub(crate) fn shut_until(&self) -> Option<Option<Duration>> {
        let shut =
            |fault: &ServerFault| if let ServerFault::Shut { until } = fault { Some(*until) } else { None };
        self.faults.iter().filter_map(|(_, fault)| shut(fault)).max()
    }

    /// Returns the share that all active faults together leave unaffected. `share_of` returns the share that one fault
    /// affects, or `None` if the fault is of another kind.
    fn unaffected_share(&self, share_of: impl Fn(&ServerFault) -> Option<f64>) -> f64 {
        self.faults.iter().filter_map(|(_, fault)| share_of(fault)).map(|share| 1.0 - share).product()
    }

    pub(crate) fn error_share(&self) -> f64 {
        1.0 - self
            .unaffected_share(|fault| if let ServerFault::Fails(share) = fault { Some(*share) } else { None })
    }

    pub(crate) fn lost_response_share(&self) -> f64 {
        1.0 - self.unaffected_share(|fault| {
            if let ServerFault::LosesResponses(share) = fault { Some(*share) } else { None }
        })
    }

    pub(crate) fn stale_share(&self) -> f64 {
        1.0 - self
            .unaffected_share(|fault| if let ServerFault::Stale(share) = fault { Some(*share) } else { None })
    }

    pub(crate) fn slowdown(&self) -> f64 {
        let factor =
            |fault: &ServerFault| if let ServerFault::Slow(factor) = fault { Some(*factor) } else { None };
        self.faults.iter().filter_map(|(_, fault)| factor(fault)).product()
    }

    pub(crate) fn extra_handshake(&self) -> Duration {
        let extra =
            |fault: &ServerFault| if let ServerFault::Handshake(extra) = fault { Some(*extra) } else { None };
        self.faults.iter().filter_map(|(_, fault)| extra(fault)).sum()
    }

    /// Closes the connections that have been idle for `idle_timeout` or longer.
    pub(crate) fn close_expired_connections(&mut self, now: Duration, idle_timeout: Duration) {
        self.idle_since.retain(|_, since| {
            since.retain(|at| *at + idle_timeout > now);
            !since.is_empty()
        });
    }

    /// Returns `true` if one more connection is within the connection limit.
    pub(crate) fn accepts_connection(&self, kind: &DestinationKind) -> bool {
        let idle: usize = self.idle_since.values().map(Vec::len).sum();
        kind.max_connections.is_none_or(|max| self.open_connections + idle < max)
    }

    /// Takes the instance's most recently used idle connection. Returns `false` if it has none.
    pub(crate) fn take_idle_connection(&mut self, instance: usize) -> bool {
        let Some(since) = self.idle_since.get_mut(&instance) else { return false };
        let found = since.pop().is_some();
        if since.is_empty() {
            self.idle_since.remove(&instance);
        }
        found
    }
}

#[cfg(test)]
#[path = "server_tests.rs"]
mod tests;
