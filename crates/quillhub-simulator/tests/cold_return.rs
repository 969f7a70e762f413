//! The sum of what many couriers send to a destination that returns cold, call by call, against what it can bear: in
//! every window of the settings' length no more than N + 2 root N + 2 calls, N being what the settings allow it then.
//! Beyond that a cold destination falls, and it is the couriers' doing where two thirds of the calls came from couriers
//! that had seen a call fail, or be refused, there during the outage.

use quillhub::{AttemptOutcome, MessageId};
use quillhub_simulator::{Day, Fact, Start, World, module};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const SEEDS: u64 = 20;
const FLEETS: [u32; 3] = [20, 30, 100];
/// The share of the calls that couriers which knew of the outage must have sent for it to be their doing.
const KNEW: f64 = 2.0 / 3.0;
/// A factor that no fleet reaches: destinations do not fall here, so that every window is seen to its end.
const NEVER: f64 = 1e6;

/// One route's return, as far as it is seen.
#[derive(Default)]
struct Route {
    out: bool,
    /// When it came back, and the calls a second that it works off when warm.
    back: Option<(Duration, f64)>,
    /// Couriers that saw a call fail, or be refused, there during the outage.
    told: BTreeSet<usize>,
    /// The calls of the current window: when, and whether their courier had been told.
    window: VecDeque<(Duration, bool)>,
    fell: bool,
}

/// What came out over all seeds of a case.
#[derive(Debug, Default)]
struct Found {
    returns: usize,
    /// First falls of a route after its return, and those of them that are the couriers' doing.
    falls: usize,
    blamed: usize,
    calls: usize,
}

/// Looks at the facts of one run.
struct Watch<'a> {
    day: &'a Day,
    routes: BTreeMap<usize, Route>,
    placed: BTreeMap<String, usize>,
    attempts: BTreeMap<(usize, MessageId, u32), usize>,
    found: Found,
}

impl<'a> Watch<'a> {
    fn new(day: &'a Day) -> Self {
        let (routes, placed, attempts) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { day, routes, placed, attempts, found: Found::default() }
    }

    fn sees(&mut self, now: Duration, fact: &Fact) {
        match fact {
            Fact::Placed { endpoint, route, .. } => {
                self.placed.insert((*endpoint).into(), *route);
                self.routes.entry(*route).or_default();
            }
            Fact::Out { route } => self.routes.entry(*route).or_default().out = true,
            Fact::Back { route, milli_per_s } => {
                let route = self.routes.entry(*route).or_default();
                route.out = false;
                route.back = Some((now, *milli_per_s as f64 / 1_000.0));
                self.found.returns += 1;
            }
            Fact::Sent { courier, notice, send, endpoint, .. } => {
                self.attempts.insert((*courier, *notice, *send), self.placed[*endpoint]);
            }
            Fact::Reached { courier, notice, send } => {
                let route = self.attempts[&(*courier, *notice, *send)];
                self.call_reaches(now, *courier, route);
            }
            Fact::Ended { courier, notice, send, outcome, .. } => {
                let Some(route) = self.attempts.get(&(*courier, *notice, *send)) else { return };
                let route = self.routes.entry(*route).or_default();
                if route.out && !matches!(outcome, AttemptOutcome::Delivered | AttemptOutcome::NotSent) {
                    route.told.insert(*courier);
                }
            }
            _ => {}
        }
    }

    fn call_reaches(&mut self, now: Duration, courier: usize, route: usize) {
        let rules = &self.day.returns;
        let route = self.routes.entry(route).or_default();
        let Some((back, per_s)) = route.back.filter(|(back, _)| now < *back + rules.warm_up) else { return };
        self.found.calls += 1;
        route.window.push_back((now, route.told.contains(&courier)));
        while route.window.front().is_some_and(|(at, _)| *at + rules.push < now) {
            route.window.pop_front();
        }
        if route.fell || now < back + rules.push {
            return;
        }
        // Capacity grows evenly, so the middle of the window tells its mean.
        let middle = (now - rules.push / 2 - back).as_secs_f64() / rules.warm_up.as_secs_f64();
        let share = rules.start + (1.0 - rules.start) * middle.min(1.0);
        let allowed = rules.factor * share * per_s * rules.push.as_secs_f64();
        let calls = route.window.len() as f64;
        if calls > allowed + 2.0 * allowed.sqrt() + 2.0 {
            route.fell = true;
            self.found.falls += 1;
            let told = route.window.iter().filter(|(_, told)| *told).count() as f64;
            self.found.blamed += usize::from(told >= KNEW * calls);
        }
    }
}

/// Twelve destinations with two endpoints each, handed four fifths of what they take, half of them out for 10 s.
fn day(couriers: u32, kind: &str, rates: &str, factor: f64, faults: &str) -> Day {
    let text = format!(
        r#"
        length = "32 s"
        [couriers]
        count = {couriers}
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
    let day: Day = toml::from_str(&text).unwrap();
    day.check().unwrap();
    day
}

fn returns(day: &Day) -> Found {
    let mut site = day.clone();
    site.returns.factor = NEVER;
    let mut all = Found::default();
    for seed in 0..SEEDS {
        let mut watch = Watch::new(day);
        World::run(&site, seed, &|start: &Start| module(&Start { day, ..*start }), |now, fact| {
            watch.sees(now, fact);
        });
        all.returns += watch.found.returns;
        all.falls += watch.found.falls;
        all.blamed += watch.found.blamed;
        all.calls += watch.found.calls;
    }
    all
}

/// The settings let a fleet of `couriers` send so much, and it does not push a returning destination over.
fn none_is_pushed_over(couriers: u32, kind: &str, rates: &str, factor: f64, faults: &str) {
    let found = returns(&day(couriers, kind, rates, factor, faults));
    println!("{couriers} couriers: {found:?}");
    assert!(found.returns >= 5 * SEEDS as usize && found.calls > 1_000, "{couriers} couriers: {found:?}");
    assert_eq!(found.blamed, 0, "{couriers} couriers: {found:?}");
}

/// Half of the destinations are out for 10 s, in one way.
fn outage(what: &str) -> String {
    format!("[[faults]]\nat = \"6 s\"\nlasts = \"10 s\"\nwhat = {what}\nwhom = {{ share = 0.5 }}\n")
}

const SERVICE: &str = r#"service = { mean = "200 ms", law = "lognormal", cv = 0.5 }"#;

#[test]
fn destinations_that_fail_all_calls_and_have_an_endpoint_replaced_meanwhile() {
    let faults = outage("{ errors = { share = 1.0 } }")
        + r#"
        [[faults]]
        at = "8 s"
        lasts = "6 s"
        what = { drain = { gone_after = "2 s" } }
        whom = { endpoints = 1 }
    "#;
    for couriers in FLEETS {
        none_is_pushed_over(couriers, SERVICE, "rough", 1.5, &faults);
    }
}

/// Small routes apart that are shut, and whose refusals tell nothing of their limit.
fn shut_routes(couriers: u32) {
    let kind = format!(
        "{SERVICE}\nroutes_apart = true\nlimit = {{ per_s = 4.0, span = \"2 s\", refused_count = true }}"
    );
    let faults = outage("{ shut = {} }");
    none_is_pushed_over(couriers, &kind, "rough", 1.5, &faults);
}

#[test]
fn small_routes_that_were_shut_are_not_pushed_over_by_20_couriers() {
    shut_routes(20);
}

#[test]
fn small_routes_that_were_shut_are_not_pushed_over_by_30_couriers() {
    shut_routes(30);
}

#[test]
fn small_routes_that_were_shut_are_not_pushed_over_by_100_couriers() {
    shut_routes(100);
}

#[test]
fn destinations_that_refuse_connections_and_tell_their_limit_when_they_answer() {
    let kind = format!("{SERVICE}\nreports = true\nlimit = {{ per_s = 8.0 }}");
    let faults = outage(r#""refuse""#);
    for couriers in FLEETS {
        none_is_pushed_over(couriers, &kind, "absent", 2.0, &faults);
    }
}

/// Endpoints that hang refuse by their full queues, and what they tell of their limit looks like any other's.
#[test]
fn small_destinations_that_hung_and_tell_their_limit_are_not_pushed_over_by_200_couriers() {
    let kind = format!("{SERVICE}\nreports = true\nlimit = {{ per_s = 5.0, refused_count = true }}");
    let faults = outage(r#""hang""#);
    none_is_pushed_over(200, &kind, "exact", 2.0, &faults);
}
