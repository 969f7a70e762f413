//! Destinations as they are: routes with their limits, outages and returns, and the servers behind endpoints with
//! workers, queues, connections and whatever faults strike them. Nothing here knows of events or instances.

use crate::conditions::ServerFault;
use crate::rate_limit::RateLimit;
use crate::scenario::{Destinations, RuleSettings};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// What shares one limit and returns as one.
pub(crate) struct Route {
    pub(crate) rate_limit: Option<RateLimit>,
    pub(crate) servers: Vec<usize>,
    pub(crate) is_down: bool,
    pub(crate) is_overloaded: bool,
    /// Since when it is back, while it is cold.
    pub(crate) recovered_at: Option<Duration>,
    /// Calls a second that it works off when warm.
    pub(crate) per_s: f64,
    /// When calls came while it is cold; emptied with the overload span.
    pub(crate) calls: VecDeque<Duration>,
}

/// The share of its capacity that a route has `age` after its return.
pub(crate) fn warm_share(rules: &RuleSettings, age: Duration) -> f64 {
    let progress = (age.as_secs_f64() / rules.warm_up.as_secs_f64().max(1e-9)).min(1.0);
    rules.initial_share + (1.0 - rules.initial_share) * progress
}

impl Route {
    /// A route without servers, warm.
    pub(crate) fn new(rate_limit: Option<RateLimit>) -> Self {
        Self {
            rate_limit,
            servers: Vec::new(),
            is_down: false,
            is_overloaded: false,
            recovered_at: None,
            per_s: 0.0,
            calls: VecDeque::new(),
        }
    }

    /// The share of its capacity that it has now.
    pub(crate) fn capacity_share(&mut self, now: Duration, rules: &RuleSettings) -> f64 {
        let Some(back) = self.recovered_at else { return 1.0 };
        if now >= back + rules.warm_up {
            self.recovered_at = None;
            self.calls.clear();
            return 1.0;
        }
        warm_share(rules, now - back)
    }

    /// A call came. True if, with it, the route was sent too much for too long while it is cold.
    pub(crate) fn record_call(&mut self, now: Duration, rules: &RuleSettings) -> bool {
        let Some(back) = self.recovered_at else { return false };
        self.calls.push_back(now);
        while self.calls.front().is_some_and(|at| *at + rules.overload_span < now) {
            self.calls.pop_front();
        }
        if now < back + rules.overload_span {
            return false; // it has not been back for so long
        }
        // What it could do in the span: capacity grows evenly, so its middle tells its mean.
        let capacity = self.per_s
            * rules.overload_span.as_secs_f64()
            * warm_share(rules, now - rules.overload_span / 2 - back);
        self.calls.len() as f64 > rules.overload_factor * capacity
    }
}

/// The machine behind an endpoint, at one address.
pub(crate) struct Server {
    pub(crate) destination: usize,
    pub(crate) kind: usize,
    pub(crate) zone: usize,
    pub(crate) route: usize,
    /// How many times as long as usual calls take here.
    pub(crate) time_factor: f64,
    pub(crate) busy: usize,
    /// How often it began anew.
    pub(crate) reset_count: u32,
    /// Calls that wait for a worker, by number.
    pub(crate) queue: VecDeque<u64>,
    /// Connections with a call, or being opened.
    pub(crate) open: usize,
    /// Idle connections by instance, and since when; gone when used, closed by its instance or closed for idleness.
    pub(crate) idle: BTreeMap<usize, Vec<Duration>>,
    pub(crate) faults: Vec<(usize, ServerFault)>,
}

impl Server {
    pub(crate) fn new(destination: usize, kind: usize, zone: usize, route: usize, time_factor: f64) -> Self {
        let (idle, faults, queue) = (BTreeMap::new(), Vec::new(), VecDeque::new());
        Self {
            destination,
            kind,
            zone,
            route,
            time_factor,
            busy: 0,
            reset_count: 0,
            queue,
            open: 0,
            idle,
            faults,
        }
    }

    pub(crate) fn is_out(&self) -> bool {
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

    /// When it opens, if it is shut, if that is known.
    pub(crate) fn shut_until(&self) -> Option<Option<Duration>> {
        let shut =
            |fault: &ServerFault| if let ServerFault::Shut { until } = fault { Some(*until) } else { None };
        self.faults.iter().filter_map(|(_, fault)| shut(fault)).max()
    }

    /// The share that all faults together leave over, of those shares that `of` picks.
    fn unaffected_share(&self, share_of: impl Fn(&ServerFault) -> Option<f64>) -> f64 {
        self.faults.iter().filter_map(|(_, fault)| share_of(fault)).map(|share| 1.0 - share).product()
    }

    pub(crate) fn error_share(&self) -> f64 {
        1.0 - self
            .unaffected_share(|fault| if let ServerFault::Errs(share) = fault { Some(*share) } else { None })
    }

    pub(crate) fn response_loss(&self) -> f64 {
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

    /// Closes what idled for too long.
    pub(crate) fn close_expired_connections(&mut self, now: Duration, idle_close: Duration) {
        self.idle.retain(|_, since| {
            since.retain(|at| *at + idle_close > now);
            !since.is_empty()
        });
    }

    /// Whether one more connection fits.
    pub(crate) fn accepts_connection(&self, kind: &Destinations) -> bool {
        let idle: usize = self.idle.values().map(Vec::len).sum();
        kind.connections.is_none_or(|max| self.open + idle < max)
    }

    /// Takes the connection of that instance that idled the shortest.
    pub(crate) fn take_idle_connection(&mut self, instance: usize) -> bool {
        let Some(since) = self.idle.get_mut(&instance) else { return false };
        let found = since.pop().is_some();
        if since.is_empty() {
            self.idle.remove(&instance);
        }
        found
    }
}

#[cfg(test)]
#[path = "server_tests.rs"]
mod tests;
