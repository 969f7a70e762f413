//! Load that many instances together put on recovering destinations.
//!
//! A recovering route counts as overloaded if more than N + 2√N + 2 calls arrive in any window as long as the
//! overload window, where N is the number that the settings allow in that window. The instances cause an overload if two
//! thirds of the calls in the window came from instances that had a failed or rejected call there during the outage.

use quillhub::{AttemptOutcome, MessageId};
use quillhub_simulator::{DeciderParameters, Fact, Scenario, Simulation, dispatcher};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const SEEDS: u64 = 20;
const INSTANCE_COUNTS: [u32; 3] = [20, 30, 100];
/// Minimum share of the calls in a window, sent by instances that knew of the outage, for an overload to count as
/// caused by the instances.
const INFORMED_SHARE: f64 = 2.0 / 3.0;
/// Overload factor that no number of instances reaches, so that simulated destinations do not fail and every window can
/// be checked.
const UNREACHED_OVERLOAD_FACTOR: f64 = 1e6;

/// Observed state of one route's outage and recovery.
#[derive(Default)]
struct Route {
    is_down: bool,
    /// Time of the last recovery, and the capacity in calls per second when warm.
    recovered: Option<(Duration, f64)>,
    /// Instances that had a failed or rejected call to the route during the outage.
    informed: BTreeSet<usize>,
    /// Calls in the current window: time of arrival, and `true` if the instance knew of the outage.
    window: VecDeque<(Duration, bool)>,
    overloaded: bool,
}

/// Counts over one run, or over all seeds of a case.
#[derive(Debug, Default)]
struct Counts {
    /// Recoveries of routes.
    recoveries: usize,
    /// Routes that were overloaded during a recovery; only the first overload of a route counts.
    overloads: usize,
    /// Overloads caused by instances that knew of the outage.
    caused_by_instances: usize,
    /// Calls that arrived at recovering routes.
    calls: usize,
}

/// Checks the load on recovering routes by the facts of one run.
struct LoadChecker<'a> {
    scenario: &'a Scenario,
    routes: BTreeMap<usize, Route>,
    route_of_endpoint: BTreeMap<String, usize>,
    attempts: BTreeMap<(usize, MessageId, u32), usize>,
    counts: Counts,
}

impl<'a> LoadChecker<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let (routes, route_of_endpoint, attempts) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { scenario, routes, route_of_endpoint, attempts, counts: Counts::default() }
    }

    fn observe(&mut self, now: Duration, fact: &Fact) {
        match fact {
            Fact::EndpointPlaced { endpoint, route, .. } => {
                self.route_of_endpoint.insert((*endpoint).into(), *route);
                self.routes.entry(*route).or_default();
            }
            Fact::RouteDown { route } => self.routes.entry(*route).or_default().is_down = true,
            Fact::RouteRecovered { route, milli_per_s } => {
                let route = self.routes.entry(*route).or_default();
                route.is_down = false;
                route.recovered = Some((now, *milli_per_s as f64 / 1_000.0));
                self.counts.recoveries += 1;
            }
            Fact::AttemptStarted { instance, message_id, attempt, endpoint, .. } => {
                self.attempts.insert((*instance, *message_id, *attempt), self.route_of_endpoint[*endpoint]);
            }
            Fact::AttemptArrived { instance, message_id, attempt } => {
                let route = self.attempts[&(*instance, *message_id, *attempt)];
                self.check_call(now, *instance, route);
            }
            Fact::AttemptEnded { instance, message_id, attempt, outcome, .. } => {
                let Some(route) = self.attempts.get(&(*instance, *message_id, *attempt)) else { return };
                let route = self.routes.entry(*route).or_default();
                if route.is_down && !matches!(outcome, AttemptOutcome::Delivered | AttemptOutcome::NotSent) {
                    route.informed.insert(*instance);
                }
            }
            _ => {}
        }
    }

    fn check_call(&mut self, now: Duration, instance: usize, route: usize) {
        let rules = &self.scenario.rules;
        let route = self.routes.entry(route).or_default();
        let Some((recovered_at, per_s)) =
            route.recovered.filter(|(recovered_at, _)| now < *recovered_at + rules.warm_up)
        else {
            return;
        };
        self.counts.calls += 1;
        route.window.push_back((now, route.informed.contains(&instance)));
        while route.window.front().is_some_and(|(at, _)| *at + rules.overload_tolerance < now) {
            route.window.pop_front();
        }
        if route.overloaded || now < recovered_at + rules.overload_tolerance {
            return;
        }
        // The capacity grows linearly, so its mean over the window is its value at the middle of the window.
        let progress =
            (now - rules.overload_tolerance / 2 - recovered_at).as_secs_f64() / rules.warm_up.as_secs_f64();
        let share = rules.initial_share + (1.0 - rules.initial_share) * progress.min(1.0);
        let allowed = rules.overload_factor * share * per_s * rules.overload_tolerance.as_secs_f64();
        let calls = route.window.len() as f64;
        if calls > allowed + 2.0 * allowed.sqrt() + 2.0 {
            route.overloaded = true;
            self.counts.overloads += 1;
            let informed = route.window.iter().filter(|(_, informed)| *informed).count() as f64;
            self.counts.caused_by_instances += usize::from(informed >= INFORMED_SHARE * calls);
        }
    }
}

/// Creates a scenario with twelve destinations of two endpoints each, with 80 messages per second, two thirds of the capacity
/// of their workers, and with `faults`, which take half of them down for 10 s.
fn scenario(instances: u32, kind: &str, rates: &str, factor: f64, faults: &str) -> Scenario {
    let text = format!(
        r#"
        length = "32 s"
        [couriers]
        count = {instances}
        slots = 8
        room = 60
        skew = 0.5
        [register]
        rates = "{rates}"
        [returns]
        start = 0.25
        warm_up = "12 s"
        factor = {factor:.1}
        push = "2 s"
        [[grades]]
        name = "order"
        effect = "fingerprinted"
        memory = "20 s"
        contract = "2500 ms"
        limit = "20 s"
        [[grades]]
        name = "status"
        effect = "retriable"
        contract = "1 s"
        limit = "5 s"
        [[destinations]]
        kind = "partner"
        count = 12
        endpoints = 2
        workers = 1
        queue = 6
        {kind}
        [[arrivals]]
        per_s = 80.0
        {faults}
        "#
    );
    let scenario: Scenario = toml::from_str(&text).unwrap();
    scenario.check().unwrap();
    scenario
}

fn count_overloads(scenario: &Scenario) -> Counts {
    let mut environment = scenario.clone();
    environment.rules.overload_factor = UNREACHED_OVERLOAD_FACTOR;
    let mut total = Counts::default();
    for seed in 0..SEEDS {
        let mut checker = LoadChecker::new(scenario);
        Simulation::run(
            &environment,
            seed,
            &|start: &DeciderParameters| dispatcher(&DeciderParameters { scenario, ..*start }),
            |now, fact| {
                checker.observe(now, fact);
            },
        );
        total.recoveries += checker.counts.recoveries;
        total.overloads += checker.counts.overloads;
        total.caused_by_instances += checker.counts.caused_by_instances;
        total.calls += checker.counts.calls;
    }
    total
}

/// Asserts that `instances` instances, which may load a recovering destination with `factor` times its capacity, cause
/// no overload. Also asserts that the runs contain enough recoveries and calls to detect one.
fn assert_instances_overload_no_destination(
    instances: u32,
    kind: &str,
    rates: &str,
    factor: f64,
    faults: &str,
) {
    let counts = count_overloads(&scenario(instances, kind, rates, factor, faults));
    println!("{instances} instances: {counts:?}");
    assert!(
        counts.recoveries >= 5 * SEEDS as usize && counts.calls > 1_000,
        "{instances} instances: {counts:?}"
    );
    assert_eq!(counts.caused_by_instances, 0, "{instances} instances: {counts:?}");
}

/// Returns a fault that takes half of the destinations down for 10 s.
fn outage(fault: &str) -> String {
    format!("[[faults]]\nat = \"6 s\"\nlasts = \"10 s\"\nwhat = {fault}\nwhom = {{ share = 0.5 }}\n")
}

const SERVICE: &str = r#"service = { mean = "200 ms", law = "lognormal", cv = 0.5 }"#;

#[test]
fn destinations_that_failed_all_calls_while_an_endpoint_was_replaced_are_not_overloaded() {
    // Guards against overloading a destination whose endpoint is replaced during the outage: the instances have no
    // failed calls to the new endpoint.
    let faults = outage("{ errors = { share = 1.0 } }")
        + r#"
        [[faults]]
        at = "8 s"
        lasts = "6 s"
        what = { drain = { gone_after = "2 s" } }
        whom = { endpoints = 1 }
    "#;
    for instances in INSTANCE_COUNTS {
        assert_instances_overload_no_destination(instances, SERVICE, "rough", 1.5, &faults);
    }
}

/// Asserts that small separate routes are not overloaded after they were shut. Their rejections do not report the rate
/// limit, so the instances cannot learn it from them.
fn assert_shut_routes_are_not_overloaded(instances: u32) {
    let kind = format!(
        "{SERVICE}\nroutes_apart = true\nlimit = {{ per_s = 4.0, span = \"2 s\", refused_count = true }}"
    );
    let faults = outage("{ shut = {} }");
    assert_instances_overload_no_destination(instances, &kind, "rough", 1.5, &faults);
}

#[test]
fn small_routes_that_were_shut_are_not_overloaded_by_20_instances() {
    assert_shut_routes_are_not_overloaded(20);
}

#[test]
fn small_routes_that_were_shut_are_not_overloaded_by_30_instances() {
    assert_shut_routes_are_not_overloaded(30);
}

#[test]
fn small_routes_that_were_shut_are_not_overloaded_by_100_instances() {
    assert_shut_routes_are_not_overloaded(100);
}

#[test]
fn destinations_that_refused_connections_and_report_their_rate_limit_are_not_overloaded() {
    // Guards against overloading a destination whose load reports give the rate limit, which is higher than the
    // capacity of a recovering destination.
    let kind = format!("{SERVICE}\nreports = true\nlimit = {{ per_s = 8.0 }}");
    let faults = outage(r#""refuse""#);
    for instances in INSTANCE_COUNTS {
        assert_instances_overload_no_destination(instances, &kind, "absent", 2.0, &faults);
    }
}

#[test]
fn small_destinations_that_hung_and_report_their_rate_limit_are_not_overloaded_by_200_instances() {
    // Guards against overloading a destination whose endpoints reject calls because their queues are full: the load
    // reports of these rejections look like any other.
    let kind = format!("{SERVICE}\nreports = true\nlimit = {{ per_s = 5.0, refused_count = true }}");
    let faults = outage(r#""hang""#);
    assert_instances_overload_no_destination(200, &kind, "exact", 2.0, &faults);
}
