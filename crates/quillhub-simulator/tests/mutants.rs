//! The auditor against deliberately wrong deciders: each wraps the real module, goes wrong in one way, and must be
//! caught under exactly the rule that it breaks; the module itself is clean on the same days.

use quillhub::{
    AttemptOutcome, AttemptResult, DestinationId, Driver, EndpointState, EndpointUpdate, LogEvent, MessageId,
};
use quillhub_simulator::{Breach, Day, Decider, Input, Rule, Start, World, module};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Flaw {
    LosesNotices,
    AnswersTwice,
    SendsAfterTheEnd,
    AnswersLate,
    SendsBindingAgain,
    SendsTwoAtOnce,
    DeniesBinding,
    SendsToDraining,
    CutsWaitsShort,
    ForgetsAtRestart,
    ForgetsSendsAtRestart,
    SeesNoOutage,
    /// The module itself, told a day that is not quite the true one.
    IsTold,
}

enum Act {
    Send(MessageId, String, Duration),
    Deny(MessageId, Option<Duration>),
    WriteOff(MessageId),
    Other(Vec<u8>, Option<Duration>, bool, Option<String>),
}

#[derive(Default)]
struct Acts(Vec<Act>);

impl Driver for Acts {
    fn start_attempt(&mut self, message: MessageId, endpoint: &str, timeout: Duration) {
        self.0.push(Act::Send(message, endpoint.into(), timeout));
    }
    fn reject(&mut self, message: MessageId, retry_after: Option<Duration>) {
        self.0.push(Act::Deny(message, retry_after));
    }
    fn abandon(&mut self, message: MessageId) {
        self.0.push(Act::WriteOff(message));
    }
    fn close_idle_connections(&mut self, endpoint: &str) {
        self.0.push(Act::Other(Vec::new(), None, false, Some(endpoint.into())));
    }
    fn broadcast(&mut self, gossip: &[u8]) {
        self.0.push(Act::Other(gossip.into(), None, false, None));
    }
    fn set_timer(&mut self, wait: Duration) {
        self.0.push(Act::Other(Vec::new(), Some(wait), false, None));
    }
    fn watch_endpoints(&mut self) {
        self.0.push(Act::Other(Vec::new(), None, true, None));
    }
    fn log(&mut self, _: &LogEvent) {}
}

struct Mutant {
    inner: Box<dyn Decider>,
    flaw: Flaw,
    binding: BTreeSet<MessageId>,
    limits: BTreeMap<MessageId, Duration>,
    /// The inner one's number of each send that the world knows; nothing for those it did not ask for.
    numbers: BTreeMap<(MessageId, u32), Option<u32>>,
    sent: BTreeMap<MessageId, (u32, u32)>,
    late: Vec<(Duration, Act)>,
    /// Each notice's destination, and a millisecond before the end of the wait that it told.
    to: BTreeMap<MessageId, DestinationId>,
    waits: BTreeMap<DestinationId, Duration>,
    now: Duration,
}

impl Mutant {
    fn pass(&mut self, act: Act, driver: &mut dyn Driver) {
        match act {
            Act::Send(id, endpoint, patience) => {
                let copies = if self.flaw == Flaw::SendsTwoAtOnce { 2 } else { 1 };
                for copy in 0..copies {
                    let (world, inner) = self.sent.entry(id).or_default();
                    self.numbers.insert((id, *world), (copy == 0).then_some(*inner));
                    *world += 1;
                    *inner += u32::from(copy == 0);
                    driver.start_attempt(id, &endpoint, patience);
                }
            }
            Act::Deny(id, come_back) => {
                driver.reject(id, come_back);
                if self.flaw == Flaw::AnswersTwice {
                    driver.reject(id, come_back);
                }
                if self.flaw == Flaw::SendsAfterTheEnd {
                    driver.start_attempt(id, "e1", Duration::from_secs(1));
                }
            }
            Act::WriteOff(id) if self.flaw == Flaw::DeniesBinding => driver.reject(id, None),
            Act::WriteOff(id) => driver.abandon(id),
            Act::Other(_, _, true, _) => driver.watch_endpoints(),
            Act::Other(_, Some(wait), ..) => driver.set_timer(wait),
            Act::Other(_, _, _, Some(endpoint)) => driver.close_idle_connections(&endpoint),
            Act::Other(note, ..) => driver.broadcast(&note),
        }
    }

    fn recovered(&mut self, id: MessageId, attempts: u32, input: Input) {
        self.sent.insert(id, (attempts, attempts));
        match self.flaw {
            Flaw::ForgetsAtRestart => {
                self.limits.remove(&id);
            }
            Flaw::ForgetsSendsAtRestart => {
                self.sent.insert(id, (attempts, 0));
            }
            _ => self.inner.tell(input),
        }
    }

    /// The inner one's number of an attempt that ended. A copy that is handled ends the notice: then the one that was
    /// asked for has its end too.
    fn inner_number(&mut self, id: MessageId, attempt: u32, over: bool) -> Option<u32> {
        let mine = self.numbers.remove(&(id, attempt)).flatten();
        let of_copy =
            || self.numbers.iter().find(|((of, _), n)| *of == id && n.is_some()).and_then(|(_, n)| *n);
        mine.or_else(|| of_copy().filter(|_| over))
    }

    /// The outcome that the inner one is told.
    fn falsified(&mut self, id: MessageId, outcome: AttemptOutcome) -> AttemptOutcome {
        match (self.flaw, outcome) {
            (Flaw::SendsBindingAgain, AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset)
                if self.binding.contains(&id) =>
            {
                AttemptOutcome::ConnectFailed
            }
            // What it then sends at the module's own time is held until just before the wait's end.
            (Flaw::CutsWaitsShort, AttemptOutcome::Rejected { retry_after: Some(wait) }) => {
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

impl Decider for Mutant {
    fn at(&mut self, now: Duration) {
        self.now = now;
        self.inner.at(now);
    }
    fn tell(&mut self, input: Input) {
        match input {
            Input::EndpointUpdated(_) | Input::EndpointListEnded { .. }
                if self.flaw == Flaw::SendsToDraining =>
            {
                self.inner.tell(hide_drains(input));
            }
            Input::Message(message) => {
                if message.service_class == "pay" {
                    self.binding.insert(message.id);
                }
                self.limits.insert(message.id, message.deadline);
                self.to.insert(message.id, message.destination);
                self.inner.tell(input);
            }
            Input::Recovered { message, attempts } => self.recovered(message, attempts.count, input),
            Input::AttemptEnded(result) => {
                // What nobody asked for has no outcome.
                if let Some(attempt) = self.inner_number(result.message, result.attempt, result.finished) {
                    let outcome = self.falsified(result.message, result.outcome);
                    self.inner.tell(Input::AttemptEnded(AttemptResult { attempt, outcome, ..result }));
                }
            }
            other => self.inner.tell(other),
        }
    }
    fn may_go(&self, id: MessageId, send: u32, now: Duration) -> bool {
        // What it did not ask for goes no further than that: its asking is the breach.
        let inner = self.numbers.get(&(id, send)).copied().flatten();
        inner.is_some_and(|send| self.inner.may_go(id, send, now))
    }
    fn settle(&mut self, driver: &mut dyn Driver) {
        let mut acts = Acts::default();
        self.inner.settle(&mut acts);
        let (due, late) = std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= self.now);
        self.late = late;
        let due: Vec<(Duration, Act)> = due;
        due.into_iter().for_each(|(_, act)| self.pass(act, driver));
        for act in acts.0 {
            if let Act::Send(id, endpoint, patience) = &act
                && let Some(end) = self.waits.get(&self.to[id]).filter(|end| **end > self.now)
                && *patience > *end - self.now
            {
                let act = Act::Send(*id, endpoint.clone(), *patience - (*end - self.now));
                driver.set_timer(*end - self.now);
                self.late.push((*end, act));
                continue;
            }
            let (Act::Deny(id, _) | Act::WriteOff(id)) = act else {
                self.pass(act, driver);
                continue;
            };
            // What was forgotten at a restart is not known, so nobody answers for it.
            let forgotten = self.limits.remove(&id).is_none();
            match self.flaw {
                Flaw::LosesNotices => {}
                Flaw::ForgetsAtRestart if forgotten => {}
                Flaw::AnswersLate => {
                    let wait = Duration::from_secs(20);
                    self.late.push((self.now + wait, act));
                    driver.set_timer(wait);
                }
                _ => self.pass(act, driver),
            }
        }
    }
}

/// A day with grades, destinations and faults for all six rules; `grades` and `faults` pick what is played.
fn day(grades: &[&str], faults: &str, more: &str) -> Day {
    let streams: String = grades
        .iter()
        .map(|g| format!("[[arrivals]]\nper_s = {}\ngrade = '{g}'\nkeys = 12\n", 24.0 / grades.len() as f64))
        .collect();
    let text = format!(
        "length = '40 s'
{more}
[couriers]
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
service = {{ mean = '80 ms' }}
weight = 2.0
[[destinations]]
kind = 'limited'
count = 2
endpoints = 2
workers = 4
service = {{ mean = '40 ms' }}
limit = {{ per_s = 4.0, span = '1 s', tells = 1.0 }}
{streams}
{faults}
"
    );
    let day: Day = toml::from_str(&text).unwrap_or_else(|e| panic!("{e}"));
    day.check().unwrap_or_else(|e| panic!("{e}"));
    day
}

const HANG: &str = "[[faults]]\nat = '5 s'\nlasts = '12 s'\nwhat = 'hang'\nwhom = { ids = [1, 2] }\n";
const MUTE: &str = "[[faults]]\nat = '5 s'\nlasts = '30 s'\nwhat = { mute = { share = 0.4 } }\n";
const DRAIN: &str =
    "[[faults]]\nat = '8 s'\nlasts = '4 s'\nwhat = { drain = {} }\nwhom = { endpoints = 1 }\n";
const CRASH: &str = "[[faults]]\nat = '12 s'\nlasts = '1 s'\nwhat = { crash = {} }\nwhom = { ids = [1] }\n";

/// The breaches of a day played by the module told `told`, gone wrong by `flaw`.
fn breaches(day: &Day, told: &Day, flaw: Flaw) -> Vec<Breach> {
    let make = |start: &Start| {
        let inner = module(&Start { seed: start.seed, zone: start.zone, day: told });
        let (binding, limits) = (BTreeSet::new(), BTreeMap::new());
        let (numbers, sent, late) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        let (to, waits, now) = (BTreeMap::new(), BTreeMap::new(), Duration::ZERO);
        let mutant = Mutant { inner, flaw, binding, limits, numbers, sent, late, to, waits, now };
        Box::new(mutant) as Box<dyn Decider>
    };
    World::run(day, 7, &make, |_, _| {}).breaches
}

fn caught(day: &Day, told: &Day, flaw: Flaw, rule: Rule) {
    let honest = World::run(day, 7, &module, |_, _| {}).breaches;
    assert!(honest.is_empty(), "the module itself: {}", honest[0]);
    let found = breaches(day, told, flaw);
    assert!(!found.is_empty(), "{flaw:?} is not caught");
    let other = found.iter().find(|breach| breach.rule != rule);
    assert!(other.is_none(), "{flaw:?}: {}", other.unwrap());
}

fn flaw(grades: &[&str], faults: &str, flaw: Flaw, rule: Rule) {
    let day = day(grades, faults, "");
    caught(&day, &day, flaw, rule);
}

#[test]
fn a_notice_that_is_never_answered() {
    flaw(&["order", "status"], HANG, Flaw::LosesNotices, Rule::OneAnswer);
}

#[test]
fn two_final_answers() {
    flaw(&["order", "status"], HANG, Flaw::AnswersTwice, Rule::OneAnswer);
}

#[test]
fn a_send_after_the_end() {
    flaw(&["order", "status"], HANG, Flaw::SendsAfterTheEnd, Rule::OneAnswer);
}

#[test]
fn an_answer_after_the_limit() {
    flaw(&["order", "status"], HANG, Flaw::AnswersLate, Rule::OneAnswer);
}

#[test]
fn notices_forgotten_at_a_restart() {
    flaw(&["order"], &format!("{CRASH}{HANG}"), Flaw::ForgetsAtRestart, Rule::OneAnswer);
}

#[test]
fn a_binding_notice_sent_again_after_a_time_out() {
    flaw(&["pay"], HANG, Flaw::SendsBindingAgain, Rule::OneEffect);
}

#[test]
fn a_binding_notice_denied_though_it_may_have_run() {
    flaw(&["pay"], HANG, Flaw::DeniesBinding, Rule::OneEffect);
}

#[test]
fn a_binding_notice_sent_again_after_a_restart() {
    flaw(&["pay"], &format!("{CRASH}{HANG}"), Flaw::ForgetsSendsAtRestart, Rule::OneEffect);
}

#[test]
fn two_sends_at_once() {
    let mut day = day(&["order", "status"], "", "");
    day.grades.iter_mut().for_each(|grade| grade.limit = Duration::from_secs(60)); // none ends with a copy out
    day.destinations.truncate(1); // and no copy meets a told wait
    caught(&day, &day, Flaw::SendsTwoAtOnce, Rule::OneEffect);
}

#[test]
fn a_marked_notice_sent_again_after_the_memory() {
    let day = day(&["order"], &format!("{HANG}{MUTE}"), "");
    let mut told = day.clone();
    told.grades[0].memory = Duration::from_secs(60);
    caught(&day, &told, Flaw::IsTold, Rule::OneEffect);
}

#[test]
fn a_marked_notice_sent_again_to_another_zone() {
    let day = day(&["zoned"], MUTE, "");
    let mut told = day.clone();
    told.grades[1].one_zone = false;
    caught(&day, &told, Flaw::IsTold, Rule::OneEffect);
}

#[test]
fn a_send_after_the_grace_of_a_drain() {
    flaw(&["status"], DRAIN, Flaw::SendsToDraining, Rule::Drains);
}

#[test]
fn a_send_a_millisecond_inside_a_told_wait() {
    let mut day = day(&["status"], "", "");
    // Where much waits at a wait's end, at a pace that lets some go at once.
    day.destinations.remove(0);
    day.destinations[0].limit.as_mut().unwrap().per_s = 40.0;
    day.arrivals[0].per_s = 100.0;
    caught(&day, &day, Flaw::CutsWaitsShort, Rule::Waits);
}

#[test]
fn a_returning_destination_pushed_over() {
    let faults = HANG.replace("[1, 2]", "[1]");
    let mut day = day(&["status"], &faults, "[returns]\nstart = 0.1\npush = '1500 ms'");
    day.destinations.truncate(1);
    let one = &mut day.destinations[0];
    (one.count, one.endpoints, one.workers) = (1, 1, 1); // 12 a second when warm
    day.arrivals[0].per_s = 10.0;
    caught(&day, &day, Flaw::SeesNoOutage, Rule::Returns);
}

#[test]
fn order_not_kept() {
    let day = day(&["turns"], MUTE, "");
    let mut told = day.clone();
    told.grades[4].in_order = false;
    caught(&day, &told, Flaw::IsTold, Rule::Order);
}

#[test]
fn a_key_that_does_not_rest() {
    let day = day(&["turns"], MUTE, "");
    let mut told = day.clone();
    told.returns.key_rest = Duration::ZERO;
    caught(&day, &told, Flaw::IsTold, Rule::Order);
}

/// All faults at once, on several seeds: the module keeps all rules.
#[test]
fn the_module_is_clean_on_a_day_with_all_of_it() {
    let all = ["order", "zoned", "pay", "status", "turns"];
    let faults = format!("{HANG}{MUTE}{DRAIN}{CRASH}");
    for seed in 0..5 {
        let found = World::run(&day(&all, &faults, ""), seed, &module, |_, _| {}).breaches;
        assert!(found.is_empty(), "seed {seed}: {}", found[0]);
    }
}
