//! All destinations of a scenario as one thing: what is where, who is struck, and what an endpoint does with a call
//! that came. No events and no instances: the simulation drives it in virtual time, fakes drive it on sockets.

use crate::conditions::ServerFault;
use crate::faults::{Drain, Injection, Target, chance_of_fault};
use crate::rate_limit::RateLimit;
use crate::scenario::Scenario;
use crate::server::{Route, Server, warm_share};
use quillhub::LoadReport;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::time::Duration;

/// Part of its usual time after which a call fails that is to fail.
const FAILED_CALL_TIME_SHARE: f64 = 0.1;
/// A fault that is not of the scenario's: the failure of an overloaded route.
const OVERLOAD_FAULT: usize = usize::MAX;

/// A seed of its own for each use of chance, so that one use more does not shift the others.
pub(crate) fn chance(seed: u64, use_of: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed ^ use_of.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// What became of a call that came to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionResult {
    /// What the server does with it.
    pub admission: Admission,
    /// Whether it overloaded the route, which fails from now on.
    pub overloads_route: bool,
}

/// The destination that a server belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Owner<'s> {
    /// The destination's number, from 0.
    pub destination: usize,
    /// Its kind.
    pub kind: &'s str,
    /// The zone that the server stands in.
    pub zone: &'s str,
}

/// What is wrong with new connections to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionFaults {
    /// None is let in.
    pub refuses: bool,
    /// Nothing at all comes back.
    pub silent: bool,
}

/// What is wrong with responses and kept connections of a server, as shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseFaults {
    /// Share of the responses that are lost.
    pub lost: f64,
    /// Share of the kept connections that are dead.
    pub stale: f64,
}

/// What an endpoint does with a call that came.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// Its connection breaks.
    Reset,
    /// Nothing comes back.
    Unanswered,
    /// Rejected unseen, with the retry-after, if there is one.
    Rejected(Option<Duration>),
    /// It fails, after so long.
    Failed(Duration),
    /// A worker takes it up at once; [`Site::begin_call`] tells for how long.
    Started,
    /// It waits for a worker.
    Queued,
}

/// What fakes on sockets have to do for a fault of a scenario.
#[derive(Clone, Copy, Debug)]
pub enum SocketFault<'a> {
    /// Nothing but [`Site::begin_fault`].
    Endpoints,
    /// Service discovery is out of reach.
    Discovery,
    /// These servers drain, one after the other.
    Drain(&'a Drain),
    /// It is in [`crate::arrivals`] already.
    Arrivals,
    /// It cannot be shown there.
    Unsupported,
}

/// What changed for a route by a fault's begin or end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RouteChange {
    Down,
    Recovered,
}

/// The destinations of a scenario with their servers.
pub struct Site<'a> {
    pub(crate) scenario: &'a Scenario,
    seed: u64,
    pub(crate) servers: Vec<Server>,
    pub(crate) routes: Vec<Route>,
    /// By destination, from 0: its servers, in order of their making.
    pub(crate) servers_by_destination: Vec<Vec<usize>>,
    /// Of each destination, how far a rough listed rate is off.
    pub(crate) rough_rate_factors: Vec<f64>,
}

impl<'a> Site<'a> {
    /// The destinations of the scenario's kinds, in their order; numbers of servers and destinations begin at 0.
    pub fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let (servers, routes, servers_by_destination, rough_rate_factors) =
            (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let mut site = Self { scenario, seed, servers, routes, servers_by_destination, rough_rate_factors };
        let mut rng = chance(seed, 2);
        for (kind, of) in scenario.destinations.iter().enumerate() {
            for _ in 0..of.count {
                let destination = site.servers_by_destination.len();
                site.servers_by_destination.push(Vec::new());
                let time_factor = of.spread.powf(rng.random_range(-1.0..=1.0));
                site.rough_rate_factors.push(rng.random_range(0.5..1.5));
                for nth in 0..of.endpoints {
                    if nth == 0 || of.routes_apart {
                        let rate_limit = of.rate_limit.map(RateLimit::new);
                        site.routes.push(Route::new(rate_limit));
                    }
                    let route = site.routes.len() - 1;
                    let server = site.servers.len();
                    let zone = server % scenario.instances.zones.len();
                    site.servers.push(Server::new(destination, kind, zone, route, time_factor));
                    site.servers_by_destination[destination].push(server);
                    site.routes[route].servers.push(server);
                    site.routes[route].per_s +=
                        of.workers as f64 / (of.service.mean.as_secs_f64() * time_factor);
                }
            }
        }
        site
    }

    /// How many servers there are, with those that were replaced.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// The destination that a server belongs to.
    pub fn owner(&self, server: usize) -> Owner<'_> {
        let of = &self.servers[server];
        let kind = &self.scenario.destinations[of.kind];
        let zone = &self.scenario.instances.zones[of.zone];
        Owner { destination: of.destination, kind: &kind.kind, zone }
    }

    /// Calls a second that a route's limit lets in, or that its servers work off when warm.
    pub(crate) fn route_rate(&self, route: usize) -> f64 {
        self.routes[route].rate_limit.as_ref().map_or(self.routes[route].per_s, RateLimit::per_s)
    }

    /// A new server that does an old one's work; what the old one still has ends there.
    pub(crate) fn replace_server(&mut self, old: usize) -> usize {
        let at = &self.servers[old];
        let (destination, route) = (at.destination, at.route);
        self.servers.push(Server::new(destination, at.kind, at.zone, route, at.time_factor));
        let new = self.servers.len() - 1;
        self.servers_by_destination[destination].retain(|other| *other != old);
        self.servers_by_destination[destination].push(new);
        let route = &mut self.routes[route];
        route.servers.retain(|other| *other != old);
        route.servers.push(new);
        new
    }

    /// What a server does with a call that came; it is counted.
    pub fn admit(&mut self, at: usize, now: Duration, rng: &mut Pcg64Mcg) -> AdmissionResult {
        let rules = &self.scenario.rules;
        let route = self.servers[at].route;
        let overloads_route = !self.routes[route].is_overloaded && self.routes[route].record_call(now, rules);
        if overloads_route {
            self.routes[route].is_overloaded = true;
            for server in self.routes[route].servers.clone() {
                self.servers[server].faults.push((OVERLOAD_FAULT, ServerFault::Refuses));
            }
        }
        let (server, route) = (&mut self.servers[at], &mut self.routes[route]);
        let kind = &self.scenario.destinations[server.kind];
        let rejection = match server.shut_until() {
            Some(until) => Some(until.map(|until| until.saturating_sub(now))),
            None => match route.rate_limit.as_mut().map(|limit| (limit.take(now), limit.retry_after_share()))
            {
                Some((Err(wait), retry_after_share)) => {
                    Some((rng.random::<f64>() < retry_after_share).then_some(wait))
                }
                _ => None,
            },
        };
        let admission = if server.refuses() {
            Admission::Reset
        } else if server.hangs() {
            Admission::Unanswered
        } else if let Some(wait) = rejection {
            Admission::Rejected(wait)
        } else if rng.random::<f64>() < server.error_share() {
            Admission::Failed(kind.service.draw(rng).mul_f64(server.time_factor * FAILED_CALL_TIME_SHARE))
        } else if server.busy < kind.workers {
            server.busy += 1;
            Admission::Started
        } else if server.queue.len() < kind.queue {
            Admission::Queued
        } else {
            Admission::Rejected(None)
        };
        AdmissionResult { admission, overloads_route }
    }

    /// A worker takes up a call: for so long.
    pub fn begin_call(&mut self, at: usize, now: Duration, rng: &mut Pcg64Mcg) -> Duration {
        let server = &self.servers[at];
        let warm = self.routes[server.route].capacity_share(now, &self.scenario.rules).max(0.01);
        let kind = &self.scenario.destinations[server.kind];
        kind.service.draw(rng).mul_f64(server.time_factor * server.slowdown() / warm)
    }

    /// Puts a call in the queue of a server.
    pub fn enqueue(&mut self, at: usize, call: u64) {
        self.servers[at].queue.push_back(call);
    }

    /// A worker is free; the call that it takes up next, if one waits.
    pub fn end_call(&mut self, at: usize) -> Option<u64> {
        let server = &mut self.servers[at];
        server.busy -= 1;
        let next = server.queue.pop_front();
        server.busy += usize::from(next.is_some());
        next
    }

    /// What is wrong with new connections to a server.
    pub fn connection_faults(&self, at: usize) -> ConnectionFaults {
        ConnectionFaults { refuses: self.servers[at].refuses(), silent: self.servers[at].is_silent() }
    }

    /// What is wrong with responses and kept connections of a server.
    pub fn response_faults(&self, at: usize) -> ResponseFaults {
        ResponseFaults { lost: self.servers[at].response_loss(), stale: self.servers[at].stale_share() }
    }

    /// Connections that a server takes, idle ones counted, where it has a bound.
    pub fn connection_limit(&self, at: usize) -> Option<usize> {
        self.scenario.destinations[self.servers[at].kind].connections
    }

    /// How long endpoints let a connection idle.
    pub fn idle_timeout(&self) -> Duration {
        self.scenario.network.idle_close
    }

    /// How often a server began anew: what it worked on before an outage is gone.
    pub fn reset_count(&self, at: usize) -> u32 {
        self.servers[at].reset_count
    }

    /// All calls that wait for a worker.
    pub fn queued_calls(&self) -> BTreeSet<u64> {
        self.servers.iter().flat_map(|server| &server.queue).copied().collect()
    }

    /// The report in an answer, where there are reports.
    pub fn load_report(&mut self, at: usize, now: Duration) -> Option<LoadReport> {
        let server = &self.servers[at];
        let kind = &self.scenario.destinations[server.kind];
        kind.reports.then(|| match &mut self.routes[server.route].rate_limit {
            Some(limit) => limit.load_report(now, kind.report_age),
            None => LoadReport { remaining_share: 1.0, rate_limit: 0.0 },
        })
    }

    /// Calls that a server could begin at once, and its route would let in.
    pub(crate) fn free_capacity(&self, at: usize, now: Duration) -> usize {
        let server = &self.servers[at];
        let route = &self.routes[server.route];
        if server.is_out() || route.is_overloaded {
            return 0;
        }
        let workers = self.scenario.destinations[server.kind].workers;
        let free = workers.saturating_sub(server.busy + server.queue.len());
        let cold = route.recovered_at.map_or(free, |back| {
            let warm = warm_share(&self.scenario.rules, now - back);
            let may = (self.scenario.rules.overload_factor * route.per_s * warm * 0.9) as usize;
            may.saturating_sub(route.calls.iter().filter(|at| **at + Duration::from_secs(1) > now).count())
        });
        let limit = route.rate_limit.clone().map_or(free, |mut limit| limit.free_capacity(now));
        free.min(limit).min(cold)
    }

    /// The servers that a fault strikes; `open` says which may be struck. The choice is the same whatever was
    /// decided before.
    pub fn affected_servers(
        &self,
        number: usize,
        target: &Target,
        open: impl Fn(usize) -> bool,
    ) -> Vec<usize> {
        let kind = |at: usize| &self.scenario.destinations[self.servers[at].kind].kind;
        let zone = |at: usize| &self.scenario.instances.zones[self.servers[at].zone];
        let of_kind = |id: usize| {
            let first = self.servers_by_destination[id].first();
            first.is_some_and(|at| target.kind.as_ref().is_none_or(|wanted| wanted == kind(*at)))
        };
        let ids = target.choose(
            self.servers_by_destination.len(),
            of_kind,
            &mut chance_of_fault(self.seed, number),
        );
        let mut struck = Vec::new();
        for id in ids {
            let open = self.servers_by_destination[id].iter().copied().filter(|at| open(*at));
            let in_zone = open.filter(|at| target.zone.as_ref().is_none_or(|wanted| wanted == zone(*at)));
            struck.extend(in_zone.take(target.endpoints.unwrap_or(usize::MAX)));
        }
        struck
    }

    /// What a fault of the scenario is on sockets. A new endpoint at a new address is more than fakes do.
    pub fn socket_fault(&self, number: usize) -> SocketFault<'a> {
        let scheduled = &self.scenario.faults[number];
        match scheduled.fault.injection(scheduled) {
            Injection::Servers(_) => SocketFault::Endpoints,
            Injection::Discovery(None) => SocketFault::Discovery,
            Injection::Drain(by) if by.same_address || !by.replaced => SocketFault::Drain(by),
            Injection::TrafficSurge { .. } => SocketFault::Arrivals,
            _ => SocketFault::Unsupported,
        }
    }

    /// A fault of the scenario begins, as far as it strikes endpoints.
    pub fn begin_fault(&mut self, number: usize, now: Duration) {
        let scheduled = &self.scenario.faults[number];
        let Injection::Servers(fault) = scheduled.fault.injection(scheduled) else { return };
        for at in self.affected_servers(number, &scheduled.target, |_| true) {
            self.apply_fault(at, number, fault);
            self.update_route(self.servers[at].route, now);
        }
    }

    /// A fault of the scenario ends, as far as it struck endpoints.
    pub fn end_fault(&mut self, number: usize, now: Duration) {
        for at in self.remove_fault(number) {
            self.update_route(self.servers[at].route, now);
        }
    }

    /// A fault begins at a server. What stood there is cut off if it refuses connections from now on: its queue is
    /// empty then, and its workers are free.
    pub(crate) fn apply_fault(&mut self, at: usize, number: usize, fault: ServerFault) {
        let server = &mut self.servers[at];
        if number != OVERLOAD_FAULT {
            server.faults.push((number, fault));
        }
        if fault == ServerFault::Refuses {
            server.idle.clear();
            server.queue.clear();
            server.busy = 0;
            server.reset_count += 1;
        }
    }

    /// The end of a fault; the servers that it struck.
    pub(crate) fn remove_fault(&mut self, number: usize) -> Vec<usize> {
        let mut struck = Vec::new();
        for (at, server) in self.servers.iter_mut().enumerate() {
            let before = server.faults.len();
            server.faults.retain(|(fault, _)| *fault != number);
            if server.faults.len() != before {
                struck.push(at);
            }
        }
        struck
    }

    /// A route is out once all its endpoints are, and back once one is not; whether that is new.
    pub(crate) fn update_route(&mut self, route: usize, now: Duration) -> Option<RouteChange> {
        let is_down = self.routes[route].servers.iter().all(|server| self.servers[*server].is_out());
        let route = &mut self.routes[route];
        if is_down == route.is_down || route.is_overloaded {
            return None;
        }
        route.is_down = is_down;
        route.recovered_at = (!is_down).then_some(now);
        route.calls.clear();
        Some(if is_down { RouteChange::Down } else { RouteChange::Recovered })
    }

    /// The servers of the route of a server.
    pub(crate) fn route_servers(&self, at: usize) -> Vec<usize> {
        self.routes[self.servers[at].route].servers.clone()
    }

    pub(crate) const OVERLOAD_FAULT: usize = OVERLOAD_FAULT;
}
