//! The rule on recovering destinations: instances that knew of an outage do not overload the route after it.

use super::records::{Endpoint, Recovery, Route};
use super::{AttemptId, Auditor, Breach, Rule};
use crate::scenario::RuleSettings;
use std::time::Duration;

/// Min share of the calls in an overload from instances that knew of the outage, for the overload to be a breach.
const INFORMED_SHARE: f64 = 2.0 / 3.0;
/// Number of steps in which the growing capacity of a recovering route is summed.
const CAPACITY_STEPS: u32 = 100;

/// Returns the number of calls that the route could process in the window of the overload tolerance that ends at `now`:
/// its capacity summed in small steps.
fn capacity_in_window(now: Duration, rules: &RuleSettings, recovery: Recovery) -> f64 {
    let (initial_share, warm_up, window) = (rules.initial_share, rules.warm_up, rules.overload_tolerance);
    let steps = f64::from(CAPACITY_STEPS);
    let capacity_of_step = |step: u32| {
        let age = now - window - recovery.recovered_at + window.mul_f64((f64::from(step) + 0.5) / steps);
        let progress = (age.as_secs_f64() / warm_up.as_secs_f64()).min(1.0);
        (initial_share + (1.0 - initial_share) * progress)
            * recovery.full_capacity_per_s
            * window.as_secs_f64()
            / steps
    };
    (0..CAPACITY_STEPS).map(capacity_of_step).sum()
}

impl Route {
    /// Records a call at `now`, and drops those older than `window`.
    fn call_arrived(&mut self, now: Duration, instance: usize, window: Duration) {
        self.calls.push_back((now, instance));
        while self.calls.front().is_some_and(|(arrived_at, _)| *arrived_at + window < now) {
            self.calls.pop_front();
        }
    }
}

impl Auditor {
    /// Handles the end of an outage: the route recovers, with a full capacity of `milli_per_s` calls per 1000 seconds.
    pub(super) fn route_recovered(&mut self, now: Duration, route: usize, milli_per_s: u64) {
        let route = self.routes.entry(route).or_default();
        route.is_down = false;
        route.recovery =
            Some(Recovery { recovered_at: now, full_capacity_per_s: milli_per_s as f64 / 1_000.0 });
        route.calls.clear();
    }

    /// Checks for an overload when an attempt reaches its endpoint.
    pub(super) fn attempt_arrived(&mut self, now: Duration, id: AttemptId) {
        let Some(Endpoint { route, .. }) = self.endpoint_of(id) else { return };
        let rules = &self.rules;
        let Some(route) = self.routes.get_mut(&route) else { return };
        let Some(recovery) = route.recovery else { return };
        if now >= recovery.recovered_at + rules.warm_up {
            route.recovery = None;
            route.calls.clear();
            return;
        }
        route.call_arrived(now, id.instance, rules.overload_tolerance);
        if route.overload_found || now < recovery.recovered_at + rules.overload_tolerance {
            return;
        }
        let calls = route.calls.len() as f64;
        if calls <= rules.overload_factor * capacity_in_window(now, rules, recovery) {
            return;
        }
        route.overload_found = true;
        let informed = route.calls.iter().filter(|(_, instance)| route.informed.contains(instance)).count();
        if informed as f64 >= calls * INFORMED_SHARE {
            self.report(Breach {
                rule: Rule::Returns,
                message_id: None,
                since: recovery.recovered_at,
                at: now,
                description: "pushed over by couriers that knew it was out",
            });
        }
    }
}
