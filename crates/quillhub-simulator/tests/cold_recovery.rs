//! The sum of what many instances send to a destination that recovers cold, call by call, against what it can bear:
//! in every window of the settings' length no more than N + 2 root N + 2 calls, N being what the settings allow it
//! then. Beyond that a cold destination falls, and it is the instances' doing where two thirds of the calls came
//! from instances that had seen a call fail, or be refused, there during the outage.

use quillhub::{AttemptOutcome, MessageId};
use quillhub_simulator::{Fact, Scenario, Simulation, Start, dispatcher};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const SEEDS: u64 = 20;
const FLEETS: [u32; 3] = [20, 30, 100];
/// The share of the calls that instances which knew of the outage must have sent for it to be their doing.
const INFORMED_SHARE: f64 = 2.0 / 3.0;
/// A factor that no fleet reaches: destinations do not fall here, so that every window is seen to its end.
const NEVER: f64 = 1e6;

/// One route's return, as far as it is seen.
#[derive(Default)]
struct Route {
    out: bool,
    /// When it came back, and the calls a second that it works off when warm.
    back: Option<(Duration, f64)>,
    /// Instances that saw a call fail, or be refused, there during the outage.
    informed: BTreeSet<usize>,
    /// The calls of the current window: when, and whether their instance was informed.
    window: VecDeque<(Duration, bool)>,
    fell: bool,
}

/// What came out over all seeds of a case.
#[derive(Debug, Default)]
struct Found {
    recoveries: usize,
    /// First falls of a route after its return, and those of them that are the instances' doing.
    falls: usize,
    blamed: usize,
    calls: usize,
}

/// Looks at the facts of one run.
struct Watch<'a> {
    scenario: &'a Scenario,
    routes: BTreeMap<usize, Route>,
    placed: BTreeMap<String, usize>,
    attempts: BTreeMap<(usize, MessageId, u32), usize>,
    found: Found,
}

impl<'a> Watch<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let (routes, placed, attempts) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { scenario, routes, placed, attempts, found: Found::default() }
    }

    fn observe_capacity(&mut self, now: Duration, fact: &Fact) {
        match fact {
            Fact::EndpointPlaced { endpoint, route, .. } => {
                self.placed.insert((*endpoint).into(), *route);
                self.routes.entry(*route).or_default();
            }
            Fact::RouteDown { route } => self.routes.entry(*route).or_default().out = true,
            Fact::RouteRecovered { route, milli_per_s } => {
                let route = self.routes.entry(*route).or_default();
                route.out = false;
                route.back = Some((now, *milli_per_s as f64 / 1_000.0));
                self.found.recoveries += 1;
            }
            Fact::AttemptStarted { instance, message_id, attempt, endpoint, .. } => {
                self.attempts.insert((*instance, *message_id, *attempt), self.placed[*endpoint]);
            }
            Fact::AttemptArrived { instance, message_id, attempt } => {
                let route = self.attempts[&(*instance, *message_id, *attempt)];
                self.call_reaches(now, *instance, route);
            }
            Fact::AttemptEnded { instance, message_id, attempt, outcome, .. } => {
                let Some(route) = self.attempts.get(&(*instance, *message_id, *attempt)) else { return };
                let route = self.routes.entry(*route).or_default();
                if route.out && !matches!(outcome, AttemptOutcome::Delivered | AttemptOutcome::NotSent) {
                    route.informed.insert(*instance);
                }
            }
            _ => {}
        }
    }

    fn call_reaches(&mut self, now: Duration, instance: usize, route: usize) {
        let rules = &self.scenario.rules;
        let route = self.routes.entry(route).or_default();
        let Some((back, per_s)) = route.back.filter(|(back, _)| now < *back + rules.warm_up) else { return };
        self.found.calls += 1;
        route.window.push_back((now, route.informed.contains(&instance)));
        while route.window.front().is_some_and(|(at, _)| *at + rules.overload_tolerance < now) {
            route.window.pop_front();
        }
        if route.fell || now < back + rules.overload_tolerance {
            return;
        }
        // Capacity grows evenly, so the middle of the window tells its mean.
        let middle = (now - rules.overload_tolerance / 2 - back).as_secs_f64() / rules.warm_up.as_secs_f64();
        let share = rules.initial_share + (1.0 - rules.initial_share) * middle.min(1.0);
        let allowed = rules.overload_factor * share * per_s * rules.overload_tolerance.as_secs_f64();
        let calls = route.window.len() as f64;
        if calls > allowed + 2.0 * allowed.sqrt() + 2.0 {
            route.fell = true;
            self.found.falls += 1;
            let informed = route.window.iter().filter(|(_, informed)| *informed).count() as f64;
            self.found.blamed += usize::from(informed >= INFORMED_SHARE * calls);
        }
    }
}

/// Twelve destinations with two endpoints each, handed four fifths of what they take, half of them out for 10 s.
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

fn recoveries(scenario: &Scenario) -> Found {
    let mut site = scenario.clone();
    site.rules.overload_factor = NEVER;
    let mut all = Found::default();
    for seed in 0..SEEDS {
        let mut watch = Watch::new(scenario);
        Simulation::run(
            &site,
            seed,
            &|start: &Start| dispatcher(&Start { scenario, ..*start }),
            |now, fact| {
                watch.observe_capacity(now, fact);
            },
        );
        all.recoveries += watch.found.recoveries;
        all.falls += watch.found.falls;
        all.blamed += watch.found.blamed;
        all.calls += watch.found.calls;
    }
    all
}

/// The settings let a fleet of `instances` start so many attempts, and it does not overload a recovering destination.
fn assert_none_is_overloaded(instances: u32, kind: &str, rates: &str, factor: f64, faults: &str) {
    let found = recoveries(&scenario(instances, kind, rates, factor, faults));
    println!("{instances} instances: {found:?}");
    assert!(
        found.recoveries >= 5 * SEEDS as usize && found.calls > 1_000,
        "{instances} instances: {found:?}"
    );
    assert_eq!(found.blamed, 0, "{instances} instances: {found:?}");
}

/// Half of the destinations are out for 10 s, in one way.
fn outage(what: &str) -> String {
    format!("[[faults]]\nat = \"6 s\"\nlasts = \"10 s\"\nwhat = {what}\nwhom = {{ share = 0.5 }}\n")
}

const SERVICE: &str = r#"service = { mean = "200 ms", law = "lognormal", cv = 0.5 }"#;

#[test]
fn destinations_that_failed_all_calls_while_an_endpoint_was_replaced_are_not_overloaded() {
    let faults = outage("{ errors = { share = 1.0 } }")
        + r#"
        [[faults]]
        at = "8 s"
        lasts = "6 s"
        what = { drain = { gone_after = "2 s" } }
        whom = { endpoints = 1 }
    "#;
    for instances in FLEETS {
        assert_none_is_overloaded(instances, SERVICE, "rough", 1.5, &faults);
    }
}

/// Small routes apart that are shut, and whose refusals tell nothing of their limit.
fn shut_routes(instances: u32) {
    let kind = format!(
        "{SERVICE}\nroutes_apart = true\nlimit = {{ per_s = 4.0, span = \"2 s\", refused_count = true }}"
    );
    let faults = outage("{ shut = {} }");
    assert_none_is_overloaded(instances, &kind, "rough", 1.5, &faults);
}

#[test]
fn small_routes_that_were_shut_are_not_overloaded_by_20_instances() {
    shut_routes(20);
}

#[test]
fn small_routes_that_were_shut_are_not_overloaded_by_30_instances() {
    shut_routes(30);
}

#[test]
fn small_routes_that_were_shut_are_not_overloaded_by_100_instances() {
    shut_routes(100);
}

#[test]
fn destinations_that_refused_connections_and_report_their_rate_limit_are_not_overloaded() {
    let kind = format!("{SERVICE}\nreports = true\nlimit = {{ per_s = 8.0 }}");
    let faults = outage(r#""refuse""#);
    for instances in FLEETS {
        assert_none_is_overloaded(instances, &kind, "absent", 2.0, &faults);
    }
}

/// Endpoints that hang refuse by their full queues, and what they tell of their limit looks like any other's.
#[test]
fn small_destinations_that_hung_and_report_their_rate_limit_are_not_overloaded_by_200_instances() {
    let kind = format!("{SERVICE}\nreports = true\nlimit = {{ per_s = 5.0, refused_count = true }}");
    let faults = outage(r#""hang""#);
    assert_none_is_overloaded(200, &kind, "exact", 2.0, &faults);
}
