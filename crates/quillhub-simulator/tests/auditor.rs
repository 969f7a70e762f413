//! Tests that the auditor detects deciders with a deliberate flaw.
//!
//! Each flawed decider wraps the real dispatcher and violates one rule. The auditor must report breaches of exactly
//! that rule, and none for the unmodified dispatcher in the same scenario.

use quillhub::{
    AttemptOutcome, AttemptPlan, AttemptResult, DestinationId, Driver, EndpointState, EndpointUpdate,
    LogEvent, MessageId,
};
use quillhub_simulator::{Breach, Decider, DeciderParameters, Input, Rule, Scenario, Simulation, dispatcher};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Way in which a decider deviates from the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Flaw {
    LosesMessages,
    FinishesTwice,
    AttemptsAfterFinalOutcome,
    FinishesLate,
    RetriesAtMostOnce,
    StartsTwoAttempts,
    RejectsAtMostOnce,
    AttemptsAtDraining,
    ShortensRetryAfter,
    ForgetsAtRestart,
    ForgetsAttemptsAtRestart,
    SeesNoOutage,
    /// The dispatcher itself, but configured with the settings of another scenario.
    OtherScenario,
}

/// Action requested by the wrapped dispatcher, recorded so that it can be changed, delayed or dropped.
enum Action {
    StartAttempt(MessageId, String, Duration),
    Reject(MessageId, Option<Duration>),
    Abandon(MessageId),
    CloseIdleConnections(String),
    Broadcast(Vec<u8>),
    SetTimer(Duration),
    WatchEndpoints,
}

/// Driver that records actions.
#[derive(Default)]
struct Actions(Vec<Action>);

impl Driver for Actions {
    fn start_attempt(&mut self, message: MessageId, endpoint: &str, plan: AttemptPlan) {
        self.0.push(Action::StartAttempt(message, endpoint.into(), plan.timeout));
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

/// Decider that wraps the dispatcher and adds a flaw.
struct FlawedDecider {
    inner: Box<dyn Decider>,
    flaw: Flaw,
    /// Messages of the at-most-once service class.
    at_most_once: BTreeSet<MessageId>,
    /// Deadlines of pending messages, without those forgotten at a restart.
    deadlines: BTreeMap<MessageId, Duration>,
    /// Attempt numbers of the wrapped dispatcher, by the simulation's; `None` for attempts that it did not request.
    inner_numbers: BTreeMap<(MessageId, u32), Option<u32>>,
    /// Number of attempts in the simulation and at the wrapped dispatcher, by message.
    attempt_counts: BTreeMap<MessageId, (u32, u32)>,
    /// Delayed actions and the times at which they are due.
    delayed: Vec<(Duration, Action)>,
    destinations: BTreeMap<MessageId, DestinationId>,
    /// Times one millisecond before the end of a retry-after, by destination.
    shortened_waits: BTreeMap<DestinationId, Duration>,
    now: Duration,
}

impl FlawedDecider {
    /// Carries out an action of the wrapped dispatcher, changed by the flaw.
    fn forward(&mut self, action: Action, driver: &mut dyn Driver) {
        match action {
            Action::StartAttempt(id, endpoint, timeout) => {
                let copies = if self.flaw == Flaw::StartsTwoAttempts { 2 } else { 1 };
                for copy in 0..copies {
                    let (simulation, inner) = self.attempt_counts.entry(id).or_default();
                    self.inner_numbers.insert((id, *simulation), (copy == 0).then_some(*inner));
                    *simulation += 1;
                    *inner += u32::from(copy == 0);
                    driver.start_attempt(id, &endpoint, AttemptPlan::with_timeout(timeout));
                }
            }
            Action::Reject(id, retry_after) => {
                driver.reject(id, retry_after);
                if self.flaw == Flaw::FinishesTwice {
                    driver.reject(id, retry_after);
                }
                if self.flaw == Flaw::AttemptsAfterFinalOutcome {
                    driver.start_attempt(id, "e1", AttemptPlan::with_timeout(Duration::from_secs(1)));
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

    /// Handles a message recovered after a restart, which some flaws forget in whole or in part.
    fn recovered(&mut self, id: MessageId, attempts: u32, input: Input) {
        self.attempt_counts.insert(id, (attempts, attempts));
        match self.flaw {
            Flaw::ForgetsAtRestart => {
                self.deadlines.remove(&id);
            }
            Flaw::ForgetsAttemptsAtRestart => {
                self.attempt_counts.insert(id, (attempts, 0));
            }
            _ => self.inner.handle(input),
        }
    }

    /// Returns the wrapped dispatcher's number of an attempt that ended, if it requested the attempt. If a copy
    /// finishes the message, the number is that of the requested attempt.
    fn inner_number(&mut self, id: MessageId, attempt: u32, finished: bool) -> Option<u32> {
        let requested = self.inner_numbers.remove(&(id, attempt)).flatten();
        let of_same_message = || {
            self.inner_numbers
                .iter()
                .find(|((message, _), n)| *message == id && n.is_some())
                .and_then(|(_, n)| *n)
        };
        requested.or_else(|| of_same_message().filter(|_| finished))
    }

    /// Returns the outcome that the wrapped dispatcher receives instead of `outcome`.
    fn falsified_outcome(&mut self, id: MessageId, outcome: AttemptOutcome) -> AttemptOutcome {
        match (self.flaw, outcome) {
            (Flaw::RetriesAtMostOnce, AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset)
                if self.at_most_once.contains(&id) =>
            {
                AttemptOutcome::ConnectFailed
            }
            // The dispatcher does not learn of the retry-after; `apply_rules` delays its attempts until 1 ms before the
            // end.
            (Flaw::ShortensRetryAfter, AttemptOutcome::Rejected { retry_after: Some(wait) }) => {
                let end = self.now + wait.saturating_sub(Duration::from_millis(1));
                let until = self.shortened_waits.entry(self.destinations[&id]).or_default();
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

/// Changes an endpoint list so that every endpoint appears available, and none appears removed.
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
                self.destinations.insert(message.id, message.destination);
                self.inner.handle(input);
            }
            Input::Recovered { message, attempts } => self.recovered(message, attempts.count, input),
            Input::AttemptEnded(result) => {
                // The wrapped dispatcher receives no outcome of an attempt that it did not request.
                if let Some(attempt) = self.inner_number(result.message, result.attempt, result.finished) {
                    let outcome = self.falsified_outcome(result.message, result.outcome);
                    self.inner.handle(Input::AttemptEnded(AttemptResult { attempt, outcome, ..result }));
                }
            }
            other => self.inner.handle(other),
        }
    }
    fn may_send_request(&self, id: MessageId, attempt: u32, now: Duration) -> bool {
        // An attempt that the dispatcher did not request is not sent: its start already is the breach.
        let inner_number = self.inner_numbers.get(&(id, attempt)).copied().flatten();
        inner_number.is_some_and(|number| self.inner.may_send_request(id, number, now))
    }
    fn apply_rules(&mut self, driver: &mut dyn Driver) {
        let mut actions = Actions::default();
        self.inner.apply_rules(&mut actions);
        let (due, delayed) =
            std::mem::take(&mut self.delayed).into_iter().partition(|(due_at, _)| *due_at <= self.now);
        self.delayed = delayed;
        let due: Vec<(Duration, Action)> = due;
        due.into_iter().for_each(|(_, action)| self.forward(action, driver));
        for action in actions.0 {
            if let Action::StartAttempt(id, endpoint, timeout) = &action
                && let Some(end) =
                    self.shortened_waits.get(&self.destinations[id]).filter(|end| **end > self.now)
                && *timeout > *end - self.now
            {
                let action = Action::StartAttempt(*id, endpoint.clone(), *timeout - (*end - self.now));
                driver.set_timer(*end - self.now);
                self.delayed.push((*end, action));
                continue;
            }
            let (Action::Reject(id, _) | Action::Abandon(id)) = action else {
                self.forward(action, driver);
                continue;
            };
            // With `ForgetsAtRestart`, a message that was forgotten gets no final outcome.
            let forgotten = self.deadlines.remove(&id).is_none();
            match self.flaw {
                Flaw::LosesMessages => {}
                Flaw::ForgetsAtRestart if forgotten => {}
                Flaw::FinishesLate => {
                    let wait = Duration::from_secs(20);
                    self.delayed.push((self.now + wait, action));
                    driver.set_timer(wait);
                }
                _ => self.forward(action, driver),
            }
        }
    }
}

/// Instances, service classes and destinations of all scenarios in this file, which together involve all six rules.
const COMMON_SETTINGS: &str = "[couriers]
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

/// Returns a scenario of 40 s with 24 messages per second, divided evenly among `service_classes`, and with `faults`.
/// `settings` are further tables of the experiment file.
fn scenario(service_classes: &[&str], faults: &str, settings: &str) -> Scenario {
    let streams: String = service_classes
        .iter()
        .map(|class| {
            format!(
                "[[arrivals]]\nper_s = {}\ngrade = '{class}'\nkeys = 12\n",
                24.0 / service_classes.len() as f64
            )
        })
        .collect();
    let text = format!(
        "length = '40 s'
{settings}
{COMMON_SETTINGS}{streams}
{faults}
"
    );
    let scenario: Scenario = toml::from_str(&text).unwrap_or_else(|error| panic!("{error}"));
    scenario.check().unwrap_or_else(|error| panic!("{error}"));
    scenario
}

const HANG: &str = "[[faults]]\nat = '5 s'\nlasts = '12 s'\nwhat = 'hang'\nwhom = { ids = [1, 2] }\n";
const LOST_RESPONSES: &str = "[[faults]]\nat = '5 s'\nlasts = '30 s'\nwhat = { mute = { share = 0.4 } }\n";
const DRAIN: &str =
    "[[faults]]\nat = '8 s'\nlasts = '4 s'\nwhat = { drain = {} }\nwhom = { endpoints = 1 }\n";
const CRASH: &str = "[[faults]]\nat = '12 s'\nlasts = '1 s'\nwhat = { crash = {} }\nwhom = { ids = [1] }\n";

/// Runs a scenario with a flawed dispatcher that has the settings of `configured`, and returns the breaches.
fn breaches(scenario: &Scenario, configured: &Scenario, flaw: Flaw) -> Vec<Breach> {
    let make = |start: &DeciderParameters| {
        let inner =
            dispatcher(&DeciderParameters { seed: start.seed, zone: start.zone, scenario: configured });
        let (at_most_once, deadlines) = (BTreeSet::new(), BTreeMap::new());
        let (inner_numbers, attempt_counts, delayed) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        let (destinations, shortened_waits, now) = (BTreeMap::new(), BTreeMap::new(), Duration::ZERO);
        let decider = FlawedDecider {
            inner,
            flaw,
            at_most_once,
            deadlines,
            inner_numbers,
            attempt_counts,
            delayed,
            destinations,
            shortened_waits,
            now,
        };
        Box::new(decider) as Box<dyn Decider>
    };
    Simulation::run(scenario, 7, &make, |_, _| {}).breaches
}

/// Asserts that the unmodified dispatcher breaks no rule, and that with the flaw there are breaches of `rule` and of no
/// other.
fn assert_detected(scenario: &Scenario, configured: &Scenario, flaw: Flaw, rule: Rule) {
    let unmodified = Simulation::run(scenario, 7, &dispatcher, |_, _| {}).breaches;
    assert!(unmodified.is_empty(), "breach by the unmodified dispatcher: {}", unmodified[0]);
    let found = breaches(scenario, configured, flaw);
    assert!(!found.is_empty(), "no breach found for {flaw:?}");
    let other = found.iter().find(|breach| breach.rule != rule);
    assert!(other.is_none(), "breach of another rule for {flaw:?}: {}", other.unwrap());
}

/// Asserts that a flaw is detected under `rule` in a scenario with these service classes and faults.
fn assert_flaw_detected(service_classes: &[&str], faults: &str, flaw: Flaw, rule: Rule) {
    let scenario = scenario(service_classes, faults, "");
    assert_detected(&scenario, &scenario, flaw, rule);
}

#[test]
fn a_message_without_a_final_outcome_is_detected() {
    // Guards against an auditor that misses lost messages: the decider drops every rejection and abandonment.
    assert_flaw_detected(&["order", "status"], HANG, Flaw::LosesMessages, Rule::OneAnswer);
}

#[test]
fn two_final_outcomes_of_a_message_are_detected() {
    // Guards against an auditor that accepts a second final outcome: the decider rejects each message twice.
    assert_flaw_detected(&["order", "status"], HANG, Flaw::FinishesTwice, Rule::OneAnswer);
}

#[test]
fn an_attempt_after_the_final_outcome_is_detected() {
    // Guards against an auditor that ignores finished messages: the decider starts an attempt after each rejection.
    assert_flaw_detected(&["order", "status"], HANG, Flaw::AttemptsAfterFinalOutcome, Rule::OneAnswer);
}

#[test]
fn a_final_outcome_after_the_deadline_is_detected() {
    // Guards against an auditor that ignores deadlines: the decider delays final outcomes by 20 s.
    assert_flaw_detected(&["order", "status"], HANG, Flaw::FinishesLate, Rule::OneAnswer);
}

#[test]
fn messages_forgotten_at_a_restart_are_detected() {
    // Guards against an auditor that excuses messages lost by a restart although the state directory is kept: the
    // decider ignores recovered messages.
    assert_flaw_detected(&["order"], &format!("{CRASH}{HANG}"), Flaw::ForgetsAtRestart, Rule::OneAnswer);
}

#[test]
fn an_at_most_once_message_retried_after_a_timeout_is_detected() {
    // Guards against an auditor that accepts unsafe retries: the decider treats a timeout as a failure to connect, so
    // it retries a message that may have been executed.
    assert_flaw_detected(&["pay"], HANG, Flaw::RetriesAtMostOnce, Rule::OneEffect);
}

#[test]
fn an_at_most_once_message_rejected_though_it_may_have_been_executed_is_detected() {
    // Guards against an auditor that accepts the rejection of a message that may have been executed, although its
    // client may submit it again: the decider rejects the messages that it should abandon.
    assert_flaw_detected(&["pay"], HANG, Flaw::RejectsAtMostOnce, Rule::OneEffect);
}

#[test]
fn an_at_most_once_message_retried_after_a_restart_is_detected() {
    // Guards against an auditor that forgets attempts made before a restart: the decider recovers messages without
    // their attempts.
    assert_flaw_detected(
        &["pay"],
        &format!("{CRASH}{HANG}"),
        Flaw::ForgetsAttemptsAtRestart,
        Rule::OneEffect,
    );
}

#[test]
fn two_attempts_in_flight_at_once_are_detected() {
    // Guards against an auditor that accepts concurrent attempts at a message: the decider starts each attempt twice.
    let mut scenario = scenario(&["order", "status"], "", "");
    // Long deadlines, so that no message finishes with a copy in flight.
    scenario
        .service_classes
        .iter_mut()
        .for_each(|service_class| service_class.deadline = Duration::from_secs(60));
    // Only the kind without a rate limit, so that no copy violates a retry-after.
    scenario.destinations.truncate(1);
    assert_detected(&scenario, &scenario, Flaw::StartsTwoAttempts, Rule::OneEffect);
}

#[test]
fn a_deduplicated_message_retried_after_its_window_is_detected() {
    // Guards against an auditor that ignores the deduplication window: the decider assumes 60 s instead of 2 s.
    let scenario = scenario(&["order"], &format!("{HANG}{LOST_RESPONSES}"), "");
    let mut configured = scenario.clone();
    configured.service_classes[0].deduplication_window = Duration::from_secs(60);
    assert_detected(&scenario, &configured, Flaw::OtherScenario, Rule::OneEffect);
}

#[test]
fn a_deduplicated_message_retried_in_another_zone_is_detected() {
    // Guards against an auditor that ignores zones: the decider treats an idempotency key that only one zone knows as
    // one that all zones know.
    let scenario = scenario(&["zoned"], LOST_RESPONSES, "");
    let mut configured = scenario.clone();
    configured.service_classes[1].per_zone = false;
    assert_detected(&scenario, &configured, Flaw::OtherScenario, Rule::OneEffect);
}

#[test]
fn an_attempt_at_a_draining_endpoint_after_the_grace_is_detected() {
    // Guards against an auditor that ignores drains: the decider treats draining and removed endpoints as available.
    assert_flaw_detected(&["status"], DRAIN, Flaw::AttemptsAtDraining, Rule::Drains);
}

#[test]
fn an_attempt_a_millisecond_before_the_end_of_a_retry_after_is_detected() {
    // Guards against an auditor that is inexact about the end of a retry-after: the decider starts attempts 1 ms early.
    let mut scenario = scenario(&["status"], "", "");
    // A high rate keeps messages waiting for the end of each retry-after, and the limit of 40 per second lets some
    // start at once.
    scenario.destinations.remove(0);
    scenario.destinations[0].rate_limit.as_mut().unwrap().per_s = 40.0;
    scenario.arrivals[0].per_s = 100.0;
    assert_detected(&scenario, &scenario, Flaw::ShortensRetryAfter, Rule::Waits);
}

#[test]
fn the_overload_of_a_recovering_destination_is_detected() {
    // Guards against an auditor that misses overloads after an outage: the decider treats failures as attempts that
    // were never sent, and continues at the full rate when the destination recovers.
    let faults = HANG.replace("[1, 2]", "[1]");
    let mut scenario = scenario(&["status"], &faults, "[returns]\nstart = 0.1\npush = '1500 ms'");
    scenario.destinations.truncate(1);
    let kind = &mut scenario.destinations[0];
    (kind.count, kind.endpoints, kind.workers) = (1, 1, 1); // 12 calls per second at full capacity
    scenario.arrivals[0].per_s = 10.0;
    assert_detected(&scenario, &scenario, Flaw::SeesNoOutage, Rule::Returns);
}

#[test]
fn messages_of_one_ordering_key_out_of_order_are_detected() {
    // Guards against an auditor that ignores ordering: the decider treats an ordered service class as an unordered one.
    let scenario = scenario(&["turns"], LOST_RESPONSES, "");
    let mut configured = scenario.clone();
    configured.service_classes[4].ordered = false;
    assert_detected(&scenario, &configured, Flaw::OtherScenario, Rule::Order);
}

#[test]
fn an_ordering_key_that_does_not_pause_is_detected() {
    // Guards against an auditor that ignores the ordering pause: the decider assumes a pause of zero.
    let scenario = scenario(&["turns"], LOST_RESPONSES, "");
    let mut configured = scenario.clone();
    configured.rules.ordering_pause = Duration::ZERO;
    assert_detected(&scenario, &configured, Flaw::OtherScenario, Rule::Order);
}

#[test]
fn the_dispatcher_breaks_no_rule_in_a_scenario_with_all_faults() {
    // Guards against breaches by the dispatcher that only combined faults cause, and against false reports by the
    // auditor: all service classes and faults at once, with 5 seeds.
    let all = ["order", "zoned", "pay", "status", "turns"];
    let faults = format!("{HANG}{LOST_RESPONSES}{DRAIN}{CRASH}");
    for seed in 0..5 {
        let found = Simulation::run(&scenario(&all, &faults, ""), seed, &dispatcher, |_, _| {}).breaches;
        assert!(found.is_empty(), "seed {seed}: {}", found[0]);
    }
}
