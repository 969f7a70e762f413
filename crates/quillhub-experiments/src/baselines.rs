//! Deciders to compare the module with, and for nothing else: ways of repeating that the design's source weighs, each
//! as plain as it can be, and an oracle that sees the true state of every endpoint.

use quillhub::{
    AttemptOutcome, AttemptResult, DestinationId, Driver, EndpointState, EndpointUpdate, MessageId,
    NewMessage, RecoveredAttempts, RepeatSafety, ServiceClass,
};
use quillhub_simulator::{Decider, Input, Start, dispatcher};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Over which first tries and repeats are compared.
const BUDGET_SPAN: Duration = Duration::from_secs(10);
/// After which what the budget held back looks again.
const BUDGET_LOOK: Duration = Duration::from_secs(1);
/// Before its limit a notice is answered, so that the answer is in time.
const MARGIN: Duration = Duration::from_millis(20);
/// What is looked at in one settling; the rest has its turn in the next.
const MOST_TURNS: usize = 1_000;
/// What an oracle takes a call for.
const USUAL: Duration = Duration::from_millis(200);
/// After which what found no endpoint looks again.
const LOOK: Duration = Duration::from_millis(50);

/// What a decider's file name stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Named {
    /// The real one.
    Module,
    /// A repeat after the same interval each time, counted from send to send.
    Fixed,
    /// Growing gaps without chance.
    Exponential,
    /// Growing gaps, each drawn evenly from zero on, and no bound on their sum.
    Jitter,
    /// Repeats at once, as long as they stay under a share of first tries.
    Budget,
    /// No repeats.
    Single,
    /// Sees the true state of every endpoint.
    Oracle,
}

impl Named {
    pub fn word(self) -> &'static str {
        match self {
            Self::Module => "module",
            Self::Fixed => "fixed",
            Self::Exponential => "exponential",
            Self::Jitter => "jitter",
            Self::Budget => "budget",
            Self::Single => "single",
            Self::Oracle => "oracle",
        }
    }
}

/// The figures of the baselines in an experiment file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Baselines {
    /// Of `fixed`.
    #[serde(with = "humantime_serde")]
    pub every: Duration,
    /// Of `exponential` and `jitter`.
    #[serde(with = "humantime_serde")]
    pub base: Duration,
    pub multiplier: f64,
    #[serde(with = "humantime_serde")]
    pub cap: Duration,
    /// Of all: when a send is given up.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
    /// Of `budget`: repeats for each first try.
    pub share: f64,
}

impl Default for Baselines {
    fn default() -> Self {
        Self {
            every: Duration::from_secs(1),
            base: Duration::from_millis(200),
            multiplier: 3.0,
            cap: Duration::from_secs(4),
            timeout: Duration::from_secs(2),
            share: 0.1,
        }
    }
}

/// The gap before the k-th repeat, without chance: `min(cap, base * multiplier^(k - 1))`.
pub fn ideal_gap(of: &Baselines, k: u32) -> Duration {
    let s = of.base.as_secs_f64() * of.multiplier.powi(k.saturating_sub(1) as i32);
    Duration::from_secs_f64(s.min(of.cap.as_secs_f64()))
}

/// A decider of that name.
pub fn make(named: Named, of: &Baselines, start: &Start) -> Box<dyn Decider> {
    if named == Named::Module {
        return dispatcher(start);
    }
    let day = start.scenario;
    Box::new(Plain {
        named,
        of: of.clone(),
        rng: Pcg64Mcg::seed_from_u64(start.seed),
        now: Duration::ZERO,
        slots: day.instances.slots,
        room: day.instances.capacity,
        most_sends: if named == Named::Single { 1 } else { day.instances.max_attempts },
        grades: day.service_classes.iter().map(|grade| (grade.name.clone(), grade.service_class())).collect(),
        endpoints: BTreeMap::new(),
        by_destination: BTreeMap::new(),
        held: BTreeMap::new(),
        due: BTreeSet::new(),
        ends: BTreeSet::new(),
        waits: BTreeMap::new(),
        sent: BTreeMap::new(),
        calls: 0,
        over: Vec::new(),
        beat: None,
    })
}

struct Known {
    zone: String,
    owner: DestinationId,
    listing: EndpointState,
    out: usize,
    /// As last seen by an oracle.
    room: usize,
}

struct Held {
    grade: usize,
    destination: DestinationId,
    limit: Duration,
    sends: u32,
    due: Duration,
    started: Duration,
    endpoint: String,
    /// The first send that may have run, and its zone.
    ran: Option<(Duration, String)>,
}

/// What was sent to a destination in the budget's span, and how much of it again.
#[derive(Default)]
struct Sent {
    times: VecDeque<(Duration, bool)>,
    repeats: u32,
}

impl Sent {
    fn forget(&mut self, now: Duration) {
        while let Some((_, repeat)) = self.times.front().filter(|(at, _)| *at + BUDGET_SPAN <= now) {
            self.repeats -= u32::from(*repeat);
            self.times.pop_front();
        }
    }

    fn count(&mut self, now: Duration, repeat: bool) {
        self.forget(now);
        self.times.push_back((now, repeat));
        self.repeats += u32::from(repeat);
    }
}

struct Plain {
    named: Named,
    of: Baselines,
    rng: Pcg64Mcg,
    now: Duration,
    slots: usize,
    room: usize,
    most_sends: u32,
    grades: Vec<(String, ServiceClass)>,
    endpoints: BTreeMap<String, Known>,
    by_destination: BTreeMap<DestinationId, BTreeSet<String>>,
    held: BTreeMap<MessageId, Held>,
    /// What is not out, by when it may go.
    due: BTreeSet<(Duration, MessageId)>,
    /// What is held, by when it must be answered.
    ends: BTreeSet<(Duration, MessageId)>,
    /// Told waits; each goes when it is over.
    waits: BTreeMap<DestinationId, Duration>,
    /// First tries and repeats of the budget's span.
    sent: BTreeMap<DestinationId, Sent>,
    calls: usize,
    /// To be answered at the next settling.
    over: Vec<MessageId>,
    beat: Option<Duration>,
}

impl Plain {
    /// Whether the grade lets `held` be sent to `zone` now.
    fn may_send(&self, held: &Held, zone: &str) -> bool {
        match (&held.ran, self.grades[held.grade].1.repeat_safety) {
            (None, _) | (_, RepeatSafety::Idempotent) => true,
            (Some(_), RepeatSafety::AtMostOnce) => false,
            (Some((first, of)), RepeatSafety::Deduplicated { window, per_zone }) => {
                self.now <= *first + window && (!per_zone || of == zone)
            }
        }
    }

    fn gap(&mut self, held_sends: u32, started: Duration) -> Duration {
        let ideal = ideal_gap(&self.of, held_sends);
        match self.named {
            Named::Fixed => started + self.of.every,
            Named::Exponential => self.now + ideal,
            Named::Jitter => self.now + ideal.mul_f64(self.rng.random()),
            _ => self.now,
        }
    }

    /// Whether the budget allows a repeat there.
    fn budget(&mut self, destination: DestinationId) -> bool {
        let sent = self.sent.entry(destination).or_default();
        sent.forget(self.now);
        f64::from(sent.repeats) < self.of.share * (sent.times.len() as f64 - f64::from(sent.repeats))
    }

    /// The endpoint for a notice: the one with the fewest calls out, by chance among equals; an oracle's has room.
    fn endpoint(&mut self, id: MessageId) -> Option<String> {
        let held = &self.held[&id];
        let oracle = self.named == Named::Oracle;
        let names = self.by_destination.get(&held.destination)?;
        let open = names.iter().map(|name| (name, &self.endpoints[name])).filter(|(_, known)| {
            known.listing == EndpointState::Available
                && (!oracle || known.room > 0)
                && self.may_send(held, &known.zone)
        });
        let load = |known: &Known| if oracle { usize::MAX - known.room } else { known.out };
        let least = open.clone().map(|(_, known)| load(known)).min()?;
        let best: Vec<_> = open.filter(|(_, known)| load(known) == least).map(|(name, _)| name).collect();
        let at = self.rng.random_range(0..best.len());
        Some(best[at].clone())
    }

    fn answer(&mut self, id: MessageId, driver: &mut dyn Driver) {
        let Some(held) = self.held.remove(&id) else { return };
        self.due.remove(&(held.due, id));
        self.ends.remove(&(held.limit, id));
        if held.ran.is_some() && self.grades[held.grade].1.repeat_safety == RepeatSafety::AtMostOnce {
            driver.abandon(id);
        } else {
            driver.reject(id, None);
        }
    }

    /// What may go now, first what came due first; an oracle takes what its contract time still covers before what
    /// it does not, and of each what is due sooner.
    fn turns(&self) -> Vec<MessageId> {
        if self.calls >= self.slots {
            return Vec::new();
        }
        let due = self.due.iter().take_while(|(at, _)| *at <= self.now).take(MOST_TURNS);
        let mut due: Vec<_> = due.map(|(_, id)| *id).collect();
        if self.named == Named::Oracle {
            due.sort_by_key(|id| {
                let held = &self.held[id];
                let grade = &self.grades[held.grade].1;
                let contract = (held.limit + grade.soft_deadline).saturating_sub(grade.deadline);
                (self.now + USUAL > contract, contract)
            });
        }
        due
    }

    fn put_off(&mut self, id: MessageId, until: Duration) {
        let Some(held) = self.held.get_mut(&id) else { return };
        self.due.remove(&(held.due, id));
        held.due = until;
        self.due.insert((until, id));
    }

    fn endpoint_updated(&mut self, update: EndpointUpdate) {
        let EndpointUpdate { name, zone, destination: owner, state: listing, .. } = update;
        self.by_destination.entry(owner).or_default().insert(name.into());
        let new = || Known { zone: zone.into(), owner, listing, out: 0, room: 0 };
        self.endpoints.entry(name.into()).or_insert_with(new).listing = listing;
    }

    fn endpoint_list_ended(&mut self, whole: Option<&BTreeSet<String>>) {
        let by_destination = &mut self.by_destination;
        self.endpoints.retain(|name, known| {
            if whole.is_some_and(|names| !names.contains(name)) {
                known.listing = EndpointState::Removed;
            }
            let stays = known.listing != EndpointState::Removed || known.out > 0;
            if !stays && let Some(names) = by_destination.get_mut(&known.owner) {
                names.remove(name);
            }
            stays
        });
    }

    fn accept(&mut self, message: NewMessage) {
        let NewMessage { id, service_class, deadline, destination, .. } = message;
        let Some(grade) = self.grades.iter().position(|g| g.0 == service_class) else { return };
        let limit = deadline.saturating_sub(MARGIN);
        let (now, endpoint) = (self.now, String::new());
        let held = Held { grade, destination, limit, sends: 0, due: now, started: now, endpoint, ran: None };
        self.held.insert(id, held);
        self.due.insert((now, id));
        self.ends.insert((limit, id));
        if self.held.len() > self.room {
            self.over.push(id);
        }
    }

    fn recover(&mut self, id: MessageId, attempts: RecoveredAttempts) {
        let ran = attempts.first_execution;
        let endpoint = ran.and_then(|execution| self.endpoints.get(execution.endpoint));
        let zone = endpoint.map_or(String::new(), |endpoint| endpoint.zone.clone());
        if let Some(held) = self.held.get_mut(&id) {
            (held.sends, held.ran) = (attempts.count, ran.map(|execution| (execution.started, zone)));
        }
    }

    fn attempt_ended(&mut self, result: AttemptResult) {
        let AttemptResult { message: id, outcome, finished: over, .. } = result;
        self.calls -= 1;
        if let (
            Some(held),
            AttemptOutcome::Rejected { retry_after: Some(wait) }
            | AttemptOutcome::AmbiguousRejection { retry_after: Some(wait) },
        ) = (self.held.get(&id), outcome)
        {
            let until = self.waits.entry(held.destination).or_default();
            *until = (*until).max(self.now + wait);
        }
        let Some(held) = self.held.get_mut(&id) else { return };
        let known = self.endpoints.get_mut(&held.endpoint);
        let zone = known.map_or(String::new(), |known| {
            known.out -= 1;
            known.zone.clone()
        });
        if over {
            let limit = held.limit;
            self.held.remove(&id);
            self.ends.remove(&(limit, id));
            return;
        }
        if !outcome.never_executed() && held.ran.is_none() {
            held.ran = Some((held.started, zone));
        }
        let (sends, started) = (held.sends, held.started);
        let due = self.gap(sends, started).max(self.now);
        let held = &self.held[&id];
        let zones: Vec<_> = self.by_destination.get(&held.destination).into_iter().flatten().collect();
        let fits = zones.iter().any(|name| self.may_send(held, &self.endpoints[*name].zone));
        if sends >= self.most_sends || due >= held.limit || !fits {
            self.over.push(id);
        } else {
            self.held.get_mut(&id).expect("just seen").due = due;
            self.due.insert((due, id));
        }
    }
}

impl Decider for Plain {
    fn advance_to(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::EndpointUpdated(update) => self.endpoint_updated(update),
            Input::EndpointListEnded { snapshot, .. } => self.endpoint_list_ended(snapshot),
            Input::Message(message) => self.accept(message),
            Input::Recovered { message, attempts } => self.recover(message, attempts),
            Input::AttemptEnded(result) => self.attempt_ended(result),
            Input::TimerFired => self.beat = self.beat.filter(|at| *at > self.now),
            Input::EndpointListFailed | Input::Gossip(_) => {}
        }
    }

    fn may_begin(&self, id: MessageId, _: u32, now: Duration) -> bool {
        let Some(held) = self.held.get(&id) else { return false };
        let open = self.endpoints.get(&held.endpoint).is_some_and(|e| e.listing == EndpointState::Available);
        open && self.waits.get(&held.destination).is_none_or(|until| *until <= now)
    }

    fn apply_rules(&mut self, driver: &mut dyn Driver) {
        for id in std::mem::take(&mut self.over) {
            self.answer(id, driver);
        }
        let now = self.now;
        while let Some((_, id)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.answer(id, driver);
        }
        self.waits.retain(|_, until| *until > now);
        for id in self.turns() {
            let held = &self.held[&id];
            let (destination, sends, limit) = (held.destination, held.sends, held.limit);
            let waits = self.waits.get(&destination).copied();
            if let Some(until) = waits {
                self.put_off(id, until.min(limit));
                continue;
            }
            if sends > 0 && self.named == Named::Budget && !self.budget(destination) {
                self.put_off(id, (now + BUDGET_LOOK).min(limit));
                continue;
            }
            if self.calls >= self.slots {
                break;
            }
            let Some(name) = self.endpoint(id) else {
                self.put_off(id, (now + LOOK).min(limit));
                continue;
            };
            let timeout = if self.named == Named::Oracle { limit - now } else { self.of.timeout };
            let patience = timeout.min(limit - now);
            driver.start_attempt(id, &name, patience);
            self.calls += 1;
            if self.named == Named::Budget {
                self.sent.entry(destination).or_default().count(now, sends > 0);
            }
            let known = self.endpoints.get_mut(&name).expect("just chosen");
            known.out += 1;
            known.room = known.room.saturating_sub(1);
            let held = self.held.get_mut(&id).expect("just seen");
            self.due.remove(&(held.due, id));
            (held.sends, held.started, held.endpoint) = (sends + 1, now, name);
        }
        // The next that comes due, or the limit of what waits for a slot: an end of a call tells of free ones.
        let next = self.due.first().into_iter().chain(self.ends.first()).map(|(at, _)| *at).min();
        let next = next.map(|at| at.max(now + LOOK / 5));
        if let Some(at) = next.filter(|at| self.beat.is_none_or(|beat| beat > *at || beat <= now)) {
            self.beat = Some(at);
            driver.set_timer(at - now);
        }
    }

    fn wants_capacity(&self) -> bool {
        self.named == Named::Oracle
    }

    fn observe_capacity(&mut self, room: &dyn Fn(&str) -> usize) {
        let due: BTreeSet<_> =
            self.due.iter().take_while(|d| d.0 <= self.now).map(|d| self.held[&d.1].destination).collect();
        for destination in due {
            for name in self.by_destination.get(&destination).into_iter().flatten() {
                if let Some(known) = self.endpoints.get_mut(name) {
                    known.room = room(name);
                }
            }
        }
    }
}
