//! State of all destinations of a scenario: their servers and routes, the active faults, and the treatment of calls.
//!
//! The module does not depend on the event loop, so it has two users: the simulation in virtual time, and the fakes on
//! sockets.

use crate::active_faults::ServerFault;
use crate::faults::{Drain, Injection, Target, target_rng};
use crate::rate_limit::RateLimit;
use crate::scenario::Scenario;
use crate::server::{Route, Server, warm_share};
use quillhub::LoadReport;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::time::Duration;

/// Share of its service time after which a failing call returns its error.
const FAILED_CALL_TIME_SHARE: f64 = 0.1;
/// Minimum share of its full capacity that a route is assumed to have, which bounds the service times of calls.
const MIN_CAPACITY_SHARE: f64 = 0.01;
/// Share of the calls that would overload a recovering route up to which the oracle sees free capacity.
const ORACLE_OVERLOAD_SHARE: f64 = 0.9;
/// Fault number of the failure of an overloaded route, which is not among the faults of the scenario.
const OVERLOAD_FAULT: usize = usize::MAX;

/// Creates a random number generator for one purpose. Each purpose has its own sequence, so that a new one does not
/// change the draws of the others.
pub(crate) fn seeded_rng(seed: u64, purpose: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed ^ purpose.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Result of [`DestinationsState::admit`]: the treatment of a call, and its effect on the route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionResult {
    /// Treatment of the call by the server.
    pub admission: Admission,
    /// `true` if the call overloaded the recovering route, which refuses all connections from now on.
    pub overloads_route: bool,
}

/// Destination and zone of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerPlacement<'s> {
    /// Number of the destination, counted from 0.
    pub destination: usize,
    /// Kind of the destination, as named in the scenario.
    pub kind: &'s str,
    /// Zone that the server runs in.
    pub zone: &'s str,
}

/// Active faults that affect new connections to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionFaults {
    /// `true` if the server refuses every connection.
    pub refuses: bool,
    /// `true` if the server does not respond at all, not even to a connection attempt.
    pub silent: bool,
}

/// Active faults that affect responses and idle connections of a server, as shares from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseFaults {
    /// Share of the responses that are lost after their calls were executed.
    pub lost_response_share: f64,
    /// Share of the idle connections that turn out to be broken when reused.
    pub stale_connection_share: f64,
}

/// Treatment of a call by the server that it arrived at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The connection is reset.
    Reset,
    /// The call is accepted but never answered.
    Unanswered,
    /// The call is rejected without being executed, with the retry-after if the server sends one.
    Rejected(Option<Duration>),
    /// The call returns an error after this time.
    Failed(Duration),
    /// A worker starts the call at once; [`DestinationsState::begin_call`] returns its service time.
    Started,
    /// All workers are busy; the caller must add the call to the queue with [`DestinationsState::enqueue`].
    Queued,
}

/// Component of the fakes on sockets that applies a fault of the scenario.
#[derive(Clone, Copy, Debug)]
pub enum FaultHandler<'a> {
    /// The fake endpoints, by calling [`DestinationsState::begin_fault`].
    Endpoints,
    /// The fake discovery, which becomes unreachable.
    Discovery,
    /// The fake discovery, which drains the target servers one after the other.
    Drain(&'a Drain),
    /// None: the fault is already part of [`crate::arrivals`].
    Arrivals,
    /// None: the fakes cannot apply this fault.
    Unsupported,
}

/// Change of a route's availability when a fault begins or ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RouteChange {
    Down,
    Recovered,
}

/// Destinations of a scenario with their servers, routes and active faults.
pub struct DestinationsState<'a> {
    pub(crate) scenario: &'a Scenario,
    seed: u64,
    pub(crate) servers: Vec<Server>,
    pub(crate) routes: Vec<Route>,
    /// Servers of each destination, in order of their creation.
    pub(crate) servers_by_destination: Vec<Vec<usize>>,
    /// For each destination, the factor by which an approximate listed rate differs from the true one.
    pub(crate) listed_rate_factors: Vec<f64>,
}

impl<'a> DestinationsState<'a> {
    /// Creates the destinations of the scenario's kinds, in their order. Servers and destinations are numbered from 0.
    pub fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let (servers, routes, servers_by_destination, listed_rate_factors) =
            (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let mut destinations_state =
            Self { scenario, seed, servers, routes, servers_by_destination, listed_rate_factors };
        let mut rng = seeded_rng(seed, 2);
        for (kind, spec) in scenario.destinations.iter().enumerate() {
            for _ in 0..spec.count {
                let destination = destinations_state.servers_by_destination.len();
                destinations_state.servers_by_destination.push(Vec::new());
                let time_factor = spec.spread.powf(rng.random_range(-1.0..=1.0));
                destinations_state.listed_rate_factors.push(rng.random_range(0.5..1.5));
                for nth in 0..spec.endpoints {
                    if nth == 0 || spec.separate_routes {
                        let rate_limit = spec.rate_limit.map(RateLimit::new);
                        destinations_state.routes.push(Route::new(rate_limit));
                    }
                    let route = destinations_state.routes.len() - 1;
                    let server = destinations_state.servers.len();
                    let zone = server % scenario.instances.zones.len();
                    destinations_state.servers.push(Server::new(destination, kind, zone, route, time_factor));
                    destinations_state.servers_by_destination[destination].push(server);
                    destinations_state.routes[route].servers.push(server);
                    destinations_state.routes[route].full_capacity_per_s +=
                        spec.workers as f64 / (spec.service.mean.as_secs_f64() * time_factor);
                }
            }
        }
        destinations_state
    }

    /// Returns the number of servers, including those that were replaced.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Returns the destination and zone of a server.
    pub fn placement(&self, server_id: usize) -> ServerPlacement<'_> {
        let server = &self.servers[server_id];
        let kind = &self.scenario.destinations[server.kind];
        let zone = &self.scenario.instances.zones[server.zone];
        ServerPlacement { destination: server.destination, kind: &kind.kind, zone }
    }

    /// Returns the rate limit of a route in calls per second, or, if it has none, the full capacity of its servers.
    pub(crate) fn route_rate(&self, route: usize) -> f64 {
        self.routes[route]
            .rate_limit
            .as_ref()
            .map_or(self.routes[route].full_capacity_per_s, RateLimit::per_s)
    }

    /// Adds a server that replaces `old`, and returns its number. Calls already at the old server finish there.
    pub(crate) fn replace_server(&mut self, old: usize) -> usize {
        let replaced = &self.servers[old];
        let (destination, route) = (replaced.destination, replaced.route);
        self.servers.push(Server::new(
            destination,
            replaced.kind,
            replaced.zone,
            route,
            replaced.time_factor,
        ));
        let new = self.servers.len() - 1;
        self.servers_by_destination[destination].retain(|other| *other != old);
        self.servers_by_destination[destination].push(new);
        let route = &mut self.routes[route];
        route.servers.retain(|other| *other != old);
        route.servers.push(new);
        new
    }

    /// Decides what a server does with an arriving call, and counts it against the route's limits.
    pub fn admit(&mut self, server_id: usize, now: Duration, rng: &mut Pcg64Mcg) -> AdmissionResult {
        let rules = &self.scenario.rules;
        let route = self.servers[server_id].route;
        let overloads_route = !self.routes[route].is_overloaded && self.routes[route].record_call(now, rules);
        if overloads_route {
            self.routes[route].is_overloaded = true;
            for server in self.routes[route].servers.clone() {
                self.servers[server].faults.push((OVERLOAD_FAULT, ServerFault::Refuses));
            }
        }
        let (server, route) = (&mut self.servers[server_id], &mut self.routes[route]);
        let kind = &self.scenario.destinations[server.kind];
        let rejection = match server.shut_until() {
            Some(until) => Some(until.map(|until| until.saturating_sub(now))),
            None => {
                match route.rate_limit.as_mut().map(|limit| (limit.acquire(now), limit.retry_after_share())) {
                    Some((Err(wait), retry_after_share)) => {
                        Some((rng.random::<f64>() < retry_after_share).then_some(wait))
                    }
                    _ => None,
                }
            }
        };
        let admission = if server.refuses() {
            Admission::Reset
        } else if server.hangs() {
            Admission::Unanswered
        } else if let Some(wait) = rejection {
            Admission::Rejected(wait)
        } else if rng.random::<f64>() < server.error_share() {
            Admission::Failed(kind.service.draw(rng).mul_f64(server.time_factor * FAILED_CALL_TIME_SHARE))
        } else if server.busy_workers < kind.workers {
            server.busy_workers += 1;
            Admission::Started
        } else if server.queue.len() < kind.max_queued {
            Admission::Queued
        } else {
            Admission::Rejected(None)
        };
        AdmissionResult { admission, overloads_route }
    }

    /// Draws the service time of a call that a worker starts now.
    pub fn begin_call(&mut self, server_id: usize, now: Duration, rng: &mut Pcg64Mcg) -> Duration {
        let server = &self.servers[server_id];
        let capacity_share =
            self.routes[server.route].capacity_share(now, &self.scenario.rules).max(MIN_CAPACITY_SHARE);
        let kind = &self.scenario.destinations[server.kind];
        kind.service.draw(rng).mul_f64(server.time_factor * server.slowdown() / capacity_share)
    }

    /// Adds a call to the queue of a server.
    pub fn enqueue(&mut self, server_id: usize, call: u64) {
        self.servers[server_id].queue.push_back(call);
    }

    /// Frees the worker of a completed call, and returns the queued call that the worker starts next, if any.
    pub fn end_call(&mut self, server_id: usize) -> Option<u64> {
        let server = &mut self.servers[server_id];
        server.busy_workers -= 1;
        let next = server.queue.pop_front();
        server.busy_workers += usize::from(next.is_some());
        next
    }

    /// Returns the active faults that affect new connections to a server.
    pub fn connection_faults(&self, server_id: usize) -> ConnectionFaults {
        ConnectionFaults {
            refuses: self.servers[server_id].refuses(),
            silent: self.servers[server_id].is_silent(),
        }
    }

    /// Returns the active faults that affect responses and idle connections of a server.
    pub fn response_faults(&self, server_id: usize) -> ResponseFaults {
        ResponseFaults {
            lost_response_share: self.servers[server_id].lost_response_share(),
            stale_connection_share: self.servers[server_id].stale_share(),
        }
    }

    /// Returns the maximum number of connections to a server, idle ones included; `None` if it is unlimited.
    pub fn connection_limit(&self, server_id: usize) -> Option<usize> {
        self.scenario.destinations[self.servers[server_id].kind].max_connections
    }

    /// Returns the time after which endpoints close an idle connection.
    pub fn idle_timeout(&self) -> Duration {
        self.scenario.network.idle_timeout
    }

    /// Returns the number of times that a server began to refuse connections, which drops all its calls.
    pub fn reset_count(&self, server_id: usize) -> u32 {
        self.servers[server_id].reset_count
    }

    /// Returns the calls that wait for a worker at any server.
    pub fn queued_calls(&self) -> BTreeSet<u64> {
        self.servers.iter().flat_map(|server| &server.queue).copied().collect()
    }

    /// Returns the load report to include in a response, or `None` if the destination's kind sends no reports.
    pub fn load_report(&mut self, server_id: usize, now: Duration) -> Option<LoadReport> {
        let server = &self.servers[server_id];
        let kind = &self.scenario.destinations[server.kind];
        kind.sends_load_reports.then(|| match &mut self.routes[server.route].rate_limit {
            Some(limit) => limit.load_report(now, kind.load_report_age),
            None => LoadReport { remaining_share: 1.0, rate_limit: 0.0 },
        })
    }

    /// Returns the number of calls that a server could start at once within the limits of its route.
    pub(crate) fn free_capacity(&self, server_id: usize, now: Duration) -> usize {
        let server = &self.servers[server_id];
        let route = &self.routes[server.route];
        if server.has_outage() || route.is_overloaded {
            return 0;
        }
        let workers = self.scenario.destinations[server.kind].workers;
        let free = workers.saturating_sub(server.busy_workers + server.queue.len());
        let slow_start = route.recovered_at.map_or(free, |recovered_at| {
            let warm = warm_share(&self.scenario.rules, now - recovered_at);
            let allowed = (self.scenario.rules.overload_factor
                * route.full_capacity_per_s
                * warm
                * ORACLE_OVERLOAD_SHARE) as usize;
            allowed
                .saturating_sub(route.calls.iter().filter(|at| **at + Duration::from_secs(1) > now).count())
        });
        let limit = route.rate_limit.clone().map_or(free, |mut limit| limit.free_capacity(now));
        free.min(limit).min(slow_start)
    }

    /// Chooses the servers that a fault affects, among those for which `is_eligible` returns `true`.
    ///
    /// The random choice depends only on the seed and the fault's number, so runs of one seed with different
    /// deciders have the same faults.
    pub fn affected_servers(
        &self,
        number: usize,
        target: &Target,
        is_eligible: impl Fn(usize) -> bool,
    ) -> Vec<usize> {
        let kind = |server_id: usize| &self.scenario.destinations[self.servers[server_id].kind].kind;
        let zone = |server_id: usize| &self.scenario.instances.zones[self.servers[server_id].zone];
        let is_of_kind = |id: usize| {
            let first = self.servers_by_destination[id].first();
            first
                .is_some_and(|server_id| target.kind.as_ref().is_none_or(|wanted| wanted == kind(*server_id)))
        };
        let ids =
            target.choose(self.servers_by_destination.len(), is_of_kind, &mut target_rng(self.seed, number));
        let mut affected = Vec::new();
        for id in ids {
            let eligible =
                self.servers_by_destination[id].iter().copied().filter(|server_id| is_eligible(*server_id));
            let in_zone = eligible
                .filter(|server_id| target.zone.as_ref().is_none_or(|wanted| wanted == zone(*server_id)));
            affected.extend(in_zone.take(target.endpoints.unwrap_or(usize::MAX)));
        }
        affected
    }

    /// Returns the component of the fakes that applies a fault of the scenario. Fakes cannot replace an endpoint by one
    /// at a new address.
    pub fn fault_handler(&self, number: usize) -> FaultHandler<'a> {
        let scheduled = &self.scenario.faults[number];
        match scheduled.fault.injection(scheduled) {
            Injection::Servers(_) => FaultHandler::Endpoints,
            Injection::Discovery(None) => FaultHandler::Discovery,
            Injection::Drain(drain) if drain.same_address || !drain.replaced => FaultHandler::Drain(drain),
            Injection::TrafficSurge { .. } => FaultHandler::Arrivals,
            _ => FaultHandler::Unsupported,
        }
    }

    /// Applies a fault of the scenario to the servers that it affects; faults of other components have no effect here.
    pub fn begin_fault(&mut self, number: usize, now: Duration) {
        let scheduled = &self.scenario.faults[number];
        let Injection::Servers(fault) = scheduled.fault.injection(scheduled) else { return };
        for server_id in self.affected_servers(number, &scheduled.target, |_| true) {
            self.apply_fault(server_id, number, fault);
            self.update_route(self.servers[server_id].route, now);
        }
    }

    /// Removes a fault of the scenario from the servers that it affects.
    pub fn end_fault(&mut self, number: usize, now: Duration) {
        for server_id in self.remove_fault(number) {
            self.update_route(self.servers[server_id].route, now);
        }
    }

    /// Applies a fault to a server. A server that refuses connections from now on also drops its connections and calls,
    /// which empties its queue and frees its workers.
    pub(crate) fn apply_fault(&mut self, server_id: usize, number: usize, fault: ServerFault) {
        let server = &mut self.servers[server_id];
        if number != OVERLOAD_FAULT {
            server.faults.push((number, fault));
        }
        if fault == ServerFault::Refuses {
            server.idle_since.clear();
            server.queue.clear();
            server.busy_workers = 0;
            server.reset_count += 1;
        }
    }

    /// Removes a fault, and returns the servers that it affected.
    pub(crate) fn remove_fault(&mut self, number: usize) -> Vec<usize> {
        let mut affected = Vec::new();
        for (server_id, server) in self.servers.iter_mut().enumerate() {
            let before = server.faults.len();
            server.faults.retain(|(fault, _)| *fault != number);
            if server.faults.len() != before {
                affected.push(server_id);
            }
        }
        affected
    }

    /// Updates the availability of a route, and returns the change, if any. A route is down while all its servers
    /// have an outage.
    pub(crate) fn update_route(&mut self, route: usize, now: Duration) -> Option<RouteChange> {
        let is_down = self.routes[route].servers.iter().all(|server| self.servers[*server].has_outage());
        let route = &mut self.routes[route];
        if is_down == route.is_down || route.is_overloaded {
            return None;
        }
        route.is_down = is_down;
        route.recovered_at = (!is_down).then_some(now);
        route.calls.clear();
        Some(if is_down { RouteChange::Down } else { RouteChange::Recovered })
    }

    /// Returns the servers of the route that a server belongs to.
    pub(crate) fn route_servers(&self, server_id: usize) -> Vec<usize> {
        self.routes[self.servers[server_id].route].servers.clone()
    }

    pub(crate) const OVERLOAD_FAULT: usize = OVERLOAD_FAULT;
}
