//! Destinations as they are: routes with their limits, outages and returns, and the servers behind endpoints with
//! workers, queues, connections and whatever faults strike them. Nothing here knows of events or couriers' minds.

use crate::conditions::ServerFault;
use crate::day::{Destinations, Returns};
use crate::limit::Limit;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// What shares one limit and returns as one.
pub(crate) struct Route {
    pub(crate) limit: Option<Limit>,
    pub(crate) servers: Vec<usize>,
    pub(crate) out: bool,
    pub(crate) fell: bool,
    /// Since when it is back, while it is cold.
    pub(crate) back: Option<Duration>,
    /// Calls a second that it works off when warm.
    pub(crate) per_s: f64,
    /// When calls came while it is cold; emptied with the span that pushes it over.
    pub(crate) came: VecDeque<Duration>,
}

/// The share of its capacity that a route has `age` after its return.
pub(crate) fn warmth(rules: &Returns, age: Duration) -> f64 {
    let part = (age.as_secs_f64() / rules.warm_up.as_secs_f64().max(1e-9)).min(1.0);
    rules.start + (1.0 - rules.start) * part
}

impl Route {
    /// The share of its capacity that it has now.
    pub(crate) fn capacity(&mut self, now: Duration, rules: &Returns) -> f64 {
        let Some(back) = self.back else { return 1.0 };
        if now >= back + rules.warm_up {
            self.back = None;
            self.came.clear();
            return 1.0;
        }
        warmth(rules, now - back)
    }

    /// A call came. True if, with it, the route was sent too much for too long while it is cold.
    pub(crate) fn pushed(&mut self, now: Duration, rules: &Returns) -> bool {
        let Some(back) = self.back else { return false };
        self.came.push_back(now);
        while self.came.front().is_some_and(|at| *at + rules.push < now) {
            self.came.pop_front();
        }
        if now < back + rules.push {
            return false; // it has not been back for so long
        }
        // What it could do in the span: capacity grows evenly, so its middle tells its mean.
        let could = self.per_s * rules.push.as_secs_f64() * warmth(rules, now - rules.push / 2 - back);
        self.came.len() as f64 > rules.factor * could
    }
}

/// The machine behind an endpoint, at one address.
pub(crate) struct Server {
    pub(crate) destination: usize,
    pub(crate) kind: usize,
    pub(crate) zone: usize,
    pub(crate) route: usize,
    /// How many times as long as usual calls take here.
    pub(crate) pace: f64,
    pub(crate) busy: usize,
    /// How often it began anew.
    pub(crate) starts: u32,
    /// Calls that wait for a worker, by number.
    pub(crate) queue: VecDeque<u64>,
    /// Connections with a call, or being opened.
    pub(crate) open: usize,
    /// Idle connections by courier, and since when; gone when used, hung up or closed for idleness.
    pub(crate) idle: BTreeMap<usize, Vec<Duration>>,
    pub(crate) faults: Vec<(usize, ServerFault)>,
}

impl Server {
    pub(crate) fn new(destination: usize, kind: usize, zone: usize, route: usize, pace: f64) -> Self {
        let (idle, faults, queue) = (BTreeMap::new(), Vec::new(), VecDeque::new());
        Self { destination, kind, zone, route, pace, busy: 0, starts: 0, queue, open: 0, idle, faults }
    }

    pub(crate) fn is_out(&self) -> bool {
        self.faults.iter().any(|(_, fault)| fault.is_outage())
    }

    pub(crate) fn refuses(&self) -> bool {
        self.faults.iter().any(|(_, t)| *t == ServerFault::Refuses)
    }

    pub(crate) fn silent(&self) -> bool {
        self.faults.iter().any(|(_, t)| *t == ServerFault::Silent)
    }

    pub(crate) fn hangs(&self) -> bool {
        self.faults.iter().any(|(_, t)| matches!(t, ServerFault::Hangs | ServerFault::Silent))
    }

    /// When it opens, if it is shut, and whether that is told.
    pub(crate) fn shut(&self) -> Option<Option<Duration>> {
        let shut = |t: &ServerFault| if let ServerFault::Shut { until } = t { Some(*until) } else { None };
        self.faults.iter().filter_map(|(_, t)| shut(t)).max()
    }

    /// The share that all faults together leave over, of those shares that `of` picks.
    fn spared(&self, of: impl Fn(&ServerFault) -> Option<f64>) -> f64 {
        self.faults.iter().filter_map(|(_, t)| of(t)).map(|share| 1.0 - share).product()
    }

    pub(crate) fn errs(&self) -> f64 {
        1.0 - self.spared(|t| if let ServerFault::Errs(share) = t { Some(*share) } else { None })
    }

    pub(crate) fn mutes(&self) -> f64 {
        1.0 - self.spared(|t| if let ServerFault::Mutes(share) = t { Some(*share) } else { None })
    }

    pub(crate) fn stale(&self) -> f64 {
        1.0 - self.spared(|t| if let ServerFault::Stale(share) = t { Some(*share) } else { None })
    }

    pub(crate) fn slow(&self) -> f64 {
        let factor = |t: &ServerFault| if let ServerFault::Slow(factor) = t { Some(*factor) } else { None };
        self.faults.iter().filter_map(|(_, t)| factor(t)).product()
    }

    pub(crate) fn handshake(&self) -> Duration {
        let more = |t: &ServerFault| if let ServerFault::Handshake(more) = t { Some(*more) } else { None };
        self.faults.iter().filter_map(|(_, t)| more(t)).sum()
    }

    /// Closes what idled for too long.
    pub(crate) fn sweep(&mut self, now: Duration, idle_close: Duration) {
        self.idle.retain(|_, since| {
            since.retain(|at| *at + idle_close > now);
            !since.is_empty()
        });
    }

    /// Whether one more connection fits.
    pub(crate) fn has_place(&self, kind: &Destinations) -> bool {
        let idle: usize = self.idle.values().map(Vec::len).sum();
        kind.connections.is_none_or(|most| self.open + idle < most)
    }

    /// Takes the connection of that courier that idled the shortest.
    pub(crate) fn reuse(&mut self, courier: usize) -> bool {
        let Some(since) = self.idle.get_mut(&courier) else { return false };
        let found = since.pop().is_some();
        if since.is_empty() {
            self.idle.remove(&courier);
        }
        found
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn route(rules: &Returns, per_s: f64) -> Route {
        let back = Some(rules.push * 10);
        let (out, fell, came) = (false, false, VecDeque::new());
        Route { limit: None, servers: vec![0], out, fell, back, per_s, came }
    }

    /// Whether a cold route that takes 10 calls a second when warm is pushed over by `per_s` for the warm-up.
    fn falls(per_s: u64) -> bool {
        let rules = Returns::default();
        let mut route = route(&rules, 10.0);
        let from = route.back.unwrap();
        let calls = (0..per_s * 10).map(|n| from + Duration::from_millis(1_000 * n / per_s));
        calls.into_iter().any(|at| route.pushed(at, &rules))
    }

    #[test]
    fn a_cold_route_falls_when_sent_more_than_its_multiple_for_the_span() {
        // After 3 s it could do 20% to 44% of 10 a second: 9.6 in the span, and twice that may come.
        assert!(!falls(6) && falls(7));
    }

    #[test]
    fn faults_compose() {
        let mut server = Server::new(0, 0, 0, 0, 1.0);
        server.faults =
            vec![(0, ServerFault::Slow(2.0)), (1, ServerFault::Slow(3.0)), (2, ServerFault::Errs(0.5))];
        assert_eq!((server.slow(), server.errs(), server.is_out()), (6.0, 0.5, false));
        server.faults.push((3, ServerFault::Errs(0.5)));
        assert_eq!(server.errs(), 0.75);
        server.faults.retain(|(fault, _)| *fault != 0);
        assert_eq!(server.slow(), 3.0);
    }
}
