//! The auditor against deliberately wrong deciders: each wraps the real dispatcher, goes wrong in one way, and must
//! be caught under exactly the rule that it breaks; the dispatcher itself is clean on the same scenarios.

use quillhub::{
    AttemptOutcome, AttemptResult, DestinationId, Driver, EndpointState, EndpointUpdate, LogEvent, MessageId,
};
use quillhub_simulator::{Breach, Decider, Input, Rule, Scenario, Simulation, Start, dispatcher};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Flaw {
    LosesMessages,
    FinishesTwice,
    AttemptsAfterTheEnd,
    FinishesLate,
    RetriesAtMostOnce,
    StartsTwoAttempts,
    RejectsAtMostOnce,
    AttemptsAtDraining,
    ShortensRetryAfter,
    ForgetsAtRestart,
    ForgetsAttemptsAtRestart,
    SeesNoOutage,
    /// The dispatcher itself, with the settings of a scenario that is not quite the true one.
    OtherScenario,
}

enum Action {
    StartAttempt(MessageId, String, Duration),
    Reject(MessageId, Option<Duration>),
    Abandon(MessageId),
    CloseIdleConnections(String),
    Broadcast(Vec<u8>),
    SetTimer(Duration),
    WatchEndpoints,
}

#[derive(Default)]
struct Actions(Vec<Action>);

impl Driver for Actions {
    fn start_attempt(&mut self, message: MessageId, endpoint: &str, timeout: Duration) {
        self.0.push(Action::StartAttempt(message, endpoint.into(), timeout));
    }
    fn reject(&mut self, message: MessageId, retry_after: Option<Duration>) {
        self.0.push(Action::Reject(message, retry_after));
    }
    fn abandon(&mut self, message: MessageId) {
        self.0.push(Action::Abandon(message));
    }
    fn close_idle_connections(&mut self, endpoint: &str) {
        self.0.push(Action::CloseIdleConnections(endpoint.into()));
    }
    fn broadcast(&mut self, gossip: &[u8]) {
        self.0.push(Action::Broadcast(gossip.into()));
    }
    fn set_timer(&mut self, wait: Duration) {
        self.0.push(Action::SetTimer(wait));
    }
    fn watch_endpoints(&mut self) {
        self.0.push(Action::WatchEndpoints);
    }
    fn log(&mut self, _: &LogEvent) {}
}

struct FlawedDecider {
    inner: Box<dyn Decider>,
    flaw: Flaw,
    at_most_once: BTreeSet<MessageId>,
    deadlines: BTreeMap<MessageId, Duration>,
    /// The inner one's number of each attempt that the simulation knows; nothing for those it did not ask for.
    numbers: BTreeMap<(MessageId, u32), Option<u32>>,
    attempts: BTreeMap<MessageId, (u32, u32)>,
    late: Vec<(Duration, Action)>,
    /// Each message's destination, and a millisecond before the end of its retry-after.
    to: BTreeMap<MessageId, DestinationId>,
    waits: BTreeMap<DestinationId, Duration>,
    now: Duration,
}

impl FlawedDecider {
    fn pass(&mut self, action: Action, driver: &mut dyn Driver) {
        match action {
            Action::StartAttempt(id, endpoint, timeout) => {
                let copies = if self.flaw == Flaw::StartsTwoAttempts { 2 } else { 1 };
                for copy in 0..copies {
                    let (simulation, inner) = self.attempts.entry(id).or_default();
                    self.numbers.insert((id, *simulation), (copy == 0).then_some(*inner));
                    *simulation += 1;
                    *inner += u32::from(copy == 0);
                    driver.start_attempt(id, &endpoint, timeout);
                }
            }
            Action::Reject(id, retry_after) => {
                driver.reject(id, retry_after);
                if self.flaw == Flaw::FinishesTwice {
                    driver.reject(id, retry_after);
                }
                if self.flaw == Flaw::AttemptsAfterTheEnd {
                    driver.start_attempt(id, "e1", Duration::from_secs(1));
                }
            }
            Action::Abandon(id) if self.flaw == Flaw::RejectsAtMostOnce => driver.reject(id, None),
            Action::Abandon(id) => driver.abandon(id),
            Action::WatchEndpoints => driver.watch_endpoints(),
            Action::SetTimer(wait) => driver.set_timer(wait),
            Action::CloseIdleConnections(endpoint) => driver.close_idle_connections(&endpoint),
            Action::Broadcast(gossip) => driver.broadcast(&gossip),
        }
    }

    fn recovered(&mut self, id: MessageId, attempts: u32, input: Input) {
        self.attempts.insert(id, (attempts, attempts));
        match self.flaw {
            Flaw::ForgetsAtRestart => {
                self.deadlines.remove(&id);
            }
            Flaw::ForgetsAttemptsAtRestart => {
                self.attempts.insert(id, (attempts, 0));
            }
            _ => self.inner.handle(input),
        }
    }

    /// The inner one's number of an attempt that ended. A copy that is delivered ends the message: then the one that
    /// was asked for has its end too.
    fn inner_number(&mut self, id: MessageId, attempt: u32, over: bool) -> Option<u32> {
        let mine = self.numbers.remove(&(id, attempt)).flatten();
        let of_copy =
            || self.numbers.iter().find(|((of, _), n)| *of == id && n.is_some()).and_then(|(_, n)| *n);
        mine.or_else(|| of_copy().filter(|_| over))
    }

    /// The outcome that the inner decider gets.
    fn falsified(&mut self, id: MessageId, outcome: AttemptOutcome) -> AttemptOutcome {
        match (self.flaw, outcome) {
            (Flaw::RetriesAtMostOnce, AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset)
                if self.at_most_once.contains(&id) =>
            {
                AttemptOutcome::ConnectFailed
            }
            // The attempts that it then starts at the dispatcher's own time wait until just before the wait's end.
            (Flaw::ShortensRetryAfter, AttemptOutcome::Rejected { retry_after: Some(wait) }) => {
                let end = self.now + wait.saturating_sub(Duration::from_millis(1));
                let until = self.waits.entry(self.to[&id]).or_default();
                *until = end.max(*until);
                AttemptOutcome::Rejected { retry_after: None }
            }
            (
                Flaw::SeesNoOutage,
                AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::ConnectFailed,
            ) => AttemptOutcome::NotSent,
            _ => outcome,
        }
    }
}

/// The list as a decider sees it that takes every endpoint for open, and none for gone.
fn hide_drains(input: Input) -> Input {
    match input {
        Input::EndpointUpdated(update) => {
            Input::EndpointUpdated(EndpointUpdate { state: EndpointState::Available, ..update })
        }
        Input::EndpointListEnded { from_discovery, .. } => {
            Input::EndpointListEnded { snapshot: None, from_discovery }
        }
        other => other,
    }
}

impl Decider for FlawedDecider {
    fn advance_to(&mut self, now: Duration) {
        self.now = now;
        self.inner.advance_to(now);
    }
    fn handle(&mut self, input: Input) {
        match input {
            Input::EndpointUpdated(_) | Input::EndpointListEnded { .. }
                if self.flaw == Flaw::AttemptsAtDraining =>
            {
                self.inner.handle(hide_drains(input));
            }
            Input::Message(message) => {
                if message.service_class == "pay" {
                    self.at_most_once.insert(message.id);
                }
                self.deadlines.insert(message.id, message.deadline);
                self.to.insert(message.id, message.destination);
                self.inner.handle(input);
            }
            Input::Recovered { message, attempts } => self.recovered(message, attempts.count, input),
            Input::AttemptEnded(result) => {
                // What nobody asked for has no outcome.
                if let Some(attempt) = self.inner_number(result.message, result.attempt, result.finished) {
                    let outcome = self.falsified(result.message, result.outcome);
                    self.inner.handle(Input::AttemptEnded(AttemptResult { attempt, outcome, ..result }));
                }
            }
            other => self.inner.handle(other),
        }
    }
    fn may_send_request(&self, id: MessageId, attempt: u32, now: Duration) -> bool {
        // What it did not ask for goes no further than that: its asking is the breach.
        let inner = self.numbers.get(&(id, attempt)).copied().flatten();
        inner.is_some_and(|inner| self.inner.may_send_request(id, inner, now))
    }
    fn apply_rules(&mut self, driver: &mut dyn Driver) {
        let mut actions = Actions::default();
        self.inner.apply_rules(&mut actions);
        let (due, late) = std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= self.now);
        self.late = late;
        let due: Vec<(Duration, Action)> = due;
        due.into_iter().for_each(|(_, action)| self.pass(action, driver));
        for action in actions.0 {
            if let Action::StartAttempt(id, endpoint, timeout) = &action
                && let Some(end) = self.waits.get(&self.to[id]).filter(|end| **end > self.now)
                && *timeout > *end - self.now
            {
                let action = Action::StartAttempt(*id, endpoint.clone(), *timeout - (*end - self.now));
                driver.set_timer(*end - self.now);
                self.late.push((*end, action));
                continue;
            }
            let (Action::Reject(id, _) | Action::Abandon(id)) = action else {
                self.pass(action, driver);
                continue;
            };
            // What was forgotten at a restart is not known, so nobody answers for it.
            let forgotten = self.deadlines.remove(&id).is_none();
            match self.flaw {
                Flaw::LosesMessages => {}
                Flaw::ForgetsAtRestart if forgotten => {}
                Flaw::FinishesLate => {
                    let wait = Duration::from_secs(20);
                    self.late.push((self.now + wait, action));
                    driver.set_timer(wait);
                }
                _ => self.pass(action, driver),
            }
        }
    }
}

/// Instances, service classes and destinations of all scenarios here.
const SURROUNDINGS: &str = "[couriers]
count = 2
slots = 40
room = 400
zones = ['east', 'west']
[[grades]]
name = 'order'
effect = 'fingerprinted'
memory = '2 s'
contract = '2 s'
limit = '8 s'
[[grades]]
name = 'zoned'
effect = 'fingerprinted'
memory = '6 s'
one_zone = true
contract = '2 s'
limit = '8 s'
[[grades]]
name = 'pay'
effect = 'binding'
contract = '2 s'
limit = '8 s'
[[grades]]
name = 'status'
effect = 'retriable'
contract = '2 s'
limit = '8 s'
[[grades]]
name = 'turns'
effect = 'retriable'
contract = '2 s'
limit = '8 s'
in_order = true
[[destinations]]
kind = 'open'
count = 4
endpoints = 2
workers = 4
queue = 20
service = { mean = '80 ms' }
weight = 2.0
[[destinations]]
kind = 'limited'
count = 2
endpoints = 2
workers = 4
service = { mean = '40 ms' }
limit = { per_s = 4.0, span = '1 s', tells = 1.0 }
";

/// A scenario with service classes, destinations and faults for all six rules; `service classes` and `faults` pick
/// what is played.
fn scenario(service_classes: &[&str], faults: &str, more: &str) -> Scenario {
    let streams: String = service_classes
        .iter()
        .map(|g| {
            format!(
                "[[arrivals]]\nper_s = {}\ngrade = '{g}'\nkeys = 12\n",
                24.0 / service_classes.len() as f64
            )
        })
        .collect();
    let text = format!(
        "length = '40 s'
{more}
{SURROUNDINGS}{streams}
{faults}
"
    );
    let scenario: Scenario = toml::from_str(&text).unwrap_or_else(|e| panic!("{e}"));
    scenario.check().unwrap_or_else(|e| panic!("{e}"));
    scenario
}

const HANG: &str = "[[faults]]\nat = '5 s'\nlasts = '12 s'\nwhat = 'hang'\nwhom = { ids = [1, 2] }\n";
const LOST_RESPONSES: &str = "[[faults]]\nat = '5 s'\nlasts = '30 s'\nwhat = { mute = { share = 0.4 } }\n";
const DRAIN: &str =
    "[[faults]]\nat = '8 s'\nlasts = '4 s'\nwhat = { drain = {} }\nwhom = { endpoints = 1 }\n";
const CRASH: &str = "[[faults]]\nat = '12 s'\nlasts = '1 s'\nwhat = { crash = {} }\nwhom = { ids = [1] }\n";

/// The breaches of a scenario played by the dispatcher with the settings of `configured`, gone wrong by `flaw`.
fn breaches(scenario: &Scenario, configured: &Scenario, flaw: Flaw) -> Vec<Breach> {
    let make = |start: &Start| {
        let inner = dispatcher(&Start { seed: start.seed, zone: start.zone, scenario: configured });
        let (at_most_once, deadlines) = (BTreeSet::new(), BTreeMap::new());
        let (numbers, attempts, late) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        let (to, waits, now) = (BTreeMap::new(), BTreeMap::new(), Duration::ZERO);
        let decider =
            FlawedDecider { inner, flaw, at_most_once, deadlines, numbers, attempts, late, to, waits, now };
        Box::new(decider) as Box<dyn Decider>
    };
    Simulation::run(scenario, 7, &make, |_, _| {}).breaches
}

fn caught(scenario: &Scenario, configured: &Scenario, flaw: Flaw, rule: Rule) {
    let honest = Simulation::run(scenario, 7, &dispatcher, |_, _| {}).breaches;
    assert!(honest.is_empty(), "the dispatcher itself: {}", honest[0]);
    let found = breaches(scenario, configured, flaw);
    assert!(!found.is_empty(), "{flaw:?} is not caught");
    let other = found.iter().find(|breach| breach.rule != rule);
    assert!(other.is_none(), "{flaw:?}: {}", other.unwrap());
}

fn flaw(service_classes: &[&str], faults: &str, flaw: Flaw, rule: Rule) {
    let scenario = scenario(service_classes, faults, "");
    caught(&scenario, &scenario, flaw, rule);
}

#[test]
fn a_message_without_a_final_outcome_is_caught() {
    flaw(&["order", "status"], HANG, Flaw::LosesMessages, Rule::OneAnswer);
}

#[test]
fn two_final_outcomes_of_a_message_are_caught() {
    flaw(&["order", "status"], HANG, Flaw::FinishesTwice, Rule::OneAnswer);
}

#[test]
fn an_attempt_after_the_final_outcome_is_caught() {
    flaw(&["order", "status"], HANG, Flaw::AttemptsAfterTheEnd, Rule::OneAnswer);
}

#[test]
fn a_final_outcome_after_the_deadline_is_caught() {
    flaw(&["order", "status"], HANG, Flaw::FinishesLate, Rule::OneAnswer);
}

#[test]
fn messages_forgotten_at_a_restart_are_caught() {
    flaw(&["order"], &format!("{CRASH}{HANG}"), Flaw::ForgetsAtRestart, Rule::OneAnswer);
}

#[test]
fn an_at_most_once_message_retried_after_a_timeout_is_caught() {
    flaw(&["pay"], HANG, Flaw::RetriesAtMostOnce, Rule::OneEffect);
}

#[test]
fn an_at_most_once_message_rejected_though_it_may_have_run_is_caught() {
    flaw(&["pay"], HANG, Flaw::RejectsAtMostOnce, Rule::OneEffect);
}

#[test]
fn an_at_most_once_message_retried_after_a_restart_is_caught() {
    flaw(&["pay"], &format!("{CRASH}{HANG}"), Flaw::ForgetsAttemptsAtRestart, Rule::OneEffect);
}

#[test]
fn two_attempts_in_flight_at_once_are_caught() {
    let mut scenario = scenario(&["order", "status"], "", "");
    scenario
        .service_classes
        .iter_mut()
        .for_each(|service_class| service_class.deadline = Duration::from_secs(60)); // none ends with a copy out
    scenario.destinations.truncate(1); // and no copy meets a retry-after
    caught(&scenario, &scenario, Flaw::StartsTwoAttempts, Rule::OneEffect);
}

#[test]
fn a_deduplicated_message_retried_after_its_window_is_caught() {
    let scenario = scenario(&["order"], &format!("{HANG}{LOST_RESPONSES}"), "");
    let mut configured = scenario.clone();
    configured.service_classes[0].deduplication_window = Duration::from_secs(60);
    caught(&scenario, &configured, Flaw::OtherScenario, Rule::OneEffect);
}

#[test]
fn a_deduplicated_message_retried_in_another_zone_is_caught() {
    let scenario = scenario(&["zoned"], LOST_RESPONSES, "");
    let mut configured = scenario.clone();
    configured.service_classes[1].per_zone = false;
    caught(&scenario, &configured, Flaw::OtherScenario, Rule::OneEffect);
}

#[test]
fn an_attempt_at_a_draining_endpoint_after_the_grace_is_caught() {
    flaw(&["status"], DRAIN, Flaw::AttemptsAtDraining, Rule::Drains);
}

#[test]
fn an_attempt_a_millisecond_before_the_end_of_a_retry_after_is_caught() {
    let mut scenario = scenario(&["status"], "", "");
    // Where much waits at a wait's end, at a pace that lets some go at once.
    scenario.destinations.remove(0);
    scenario.destinations[0].rate_limit.as_mut().unwrap().per_s = 40.0;
    scenario.arrivals[0].per_s = 100.0;
    caught(&scenario, &scenario, Flaw::ShortensRetryAfter, Rule::Waits);
}

#[test]
fn the_overload_of_a_recovering_destination_is_caught() {
    let faults = HANG.replace("[1, 2]", "[1]");
    let mut scenario = scenario(&["status"], &faults, "[returns]\nstart = 0.1\npush = '1500 ms'");
    scenario.destinations.truncate(1);
    let one = &mut scenario.destinations[0];
    (one.count, one.endpoints, one.workers) = (1, 1, 1); // 12 a second when warm
    scenario.arrivals[0].per_s = 10.0;
    caught(&scenario, &scenario, Flaw::SeesNoOutage, Rule::Returns);
}

#[test]
fn messages_of_one_ordering_key_out_of_order_are_caught() {
    let scenario = scenario(&["turns"], LOST_RESPONSES, "");
    let mut configured = scenario.clone();
    configured.service_classes[4].ordered = false;
    caught(&scenario, &configured, Flaw::OtherScenario, Rule::Order);
}

#[test]
fn an_ordering_key_that_does_not_pause_is_caught() {
    let scenario = scenario(&["turns"], LOST_RESPONSES, "");
    let mut configured = scenario.clone();
    configured.rules.ordering_pause = Duration::ZERO;
    caught(&scenario, &configured, Flaw::OtherScenario, Rule::Order);
}

/// All faults at once, on several seeds: the dispatcher keeps all rules.
#[test]
fn the_dispatcher_breaks_no_rule_in_a_scenario_with_all_faults() {
    let all = ["order", "zoned", "pay", "status", "turns"];
    let faults = format!("{HANG}{LOST_RESPONSES}{DRAIN}{CRASH}");
    for seed in 0..5 {
        let found = Simulation::run(&scenario(&all, &faults, ""), seed, &dispatcher, |_, _| {}).breaches;
        assert!(found.is_empty(), "seed {seed}: {}", found[0]);
    }
}
