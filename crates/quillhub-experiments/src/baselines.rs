//! Deciders to compare the dispatcher with, and for nothing else: ways of retrying that the design's source weighs,
//! each as plain as it can be, and an oracle that sees the true state of every endpoint.

use quillhub::{
    AttemptOutcome, AttemptResult, DestinationId, Driver, EndpointState, EndpointUpdate, MessageId,
    NewMessage, RecoveredAttempts, RetrySafety, ServiceClass,
};
use quillhub_simulator::{Decider, Input, Start, dispatcher};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The span over which first attempts and retries are compared.
const BUDGET_SPAN: Duration = Duration::from_secs(10);
/// After which a message that the budget held back is looked at again.
const BUDGET_RECHECK: Duration = Duration::from_secs(1);
/// A message is given up so long before its deadline, so that its final outcome is in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// Messages looked at in one step; the rest is looked at in the next.
const MAX_DUE_MESSAGES: usize = 1_000;
/// How long an oracle expects a call to take.
const USUAL_DURATION: Duration = Duration::from_millis(200);
/// After which a message that found no endpoint is looked at again.
const ENDPOINT_RECHECK: Duration = Duration::from_millis(50);

/// What a decider's file name stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Named {
    /// The dispatcher.
    Module,
    /// A retry after the same interval each time, counted from attempt to attempt.
    Fixed,
    /// Growing gaps without chance.
    Exponential,
    /// Growing gaps, each drawn evenly from zero on, and no bound on their sum.
    Jitter,
    /// Retries at once, as long as they stay under a share of first attempts.
    Budget,
    /// No retries.
    Single,
    /// Sees the true state of every endpoint.
    Oracle,
}

impl Named {
    /// The name in an experiment file.
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
    /// Of `exponential` and `jitter`: by how much each gap is longer than the one before.
    pub multiplier: f64,
    /// Of `exponential` and `jitter`: the longest gap.
    #[serde(with = "humantime_serde")]
    pub cap: Duration,
    /// Of all: the attempt timeout.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
    /// Of `budget`: retries for each first attempt.
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

/// The gap before the k-th retry, without chance: `min(cap, base * multiplier^(k - 1))`.
pub fn ideal_gap(of: &Baselines, k: u32) -> Duration {
    let s = of.base.as_secs_f64() * of.multiplier.powi(k.saturating_sub(1) as i32);
    Duration::from_secs_f64(s.min(of.cap.as_secs_f64()))
}

/// A decider of that name.
pub fn make(named: Named, of: &Baselines, start: &Start) -> Box<dyn Decider> {
    if named == Named::Module {
        return dispatcher(start);
    }
    let scenario = start.scenario;
    Box::new(Baseline {
        named,
        of: of.clone(),
        rng: Pcg64Mcg::seed_from_u64(start.seed),
        now: Duration::ZERO,
        slots: scenario.instances.slots,
        capacity: scenario.instances.capacity,
        max_attempts: if named == Named::Single { 1 } else { scenario.instances.max_attempts },
        service_classes: scenario
            .service_classes
            .iter()
            .map(|service_class| (service_class.name.clone(), service_class.service_class()))
            .collect(),
        endpoints: BTreeMap::new(),
        by_destination: BTreeMap::new(),
        pending: BTreeMap::new(),
        due: BTreeSet::new(),
        ends: BTreeSet::new(),
        retry_after: BTreeMap::new(),
        recent: BTreeMap::new(),
        calls: 0,
        to_finish: Vec::new(),
        timer: None,
    })
}

struct KnownEndpoint {
    zone: String,
    destination: DestinationId,
    state: EndpointState,
    in_flight: usize,
    /// As last seen by an oracle.
    capacity: usize,
}

struct PendingMessage {
    service_class: usize,
    destination: DestinationId,
    deadline: Duration,
    attempts: u32,
    due: Duration,
    started: Duration,
    endpoint: String,
    /// The first attempt that may have run, and its zone.
    first_execution: Option<(Duration, String)>,
}

/// What was sent to a destination in the budget's span, and how much of it again.
#[derive(Default)]
struct RecentAttempts {
    times: VecDeque<(Duration, bool)>,
    retries: u32,
}

impl RecentAttempts {
    fn forget(&mut self, now: Duration) {
        while let Some((_, is_retry)) = self.times.front().filter(|(at, _)| *at + BUDGET_SPAN <= now) {
            self.retries -= u32::from(*is_retry);
            self.times.pop_front();
        }
    }

    fn count(&mut self, now: Duration, is_retry: bool) {
        self.forget(now);
        self.times.push_back((now, is_retry));
        self.retries += u32::from(is_retry);
    }
}

struct Baseline {
    named: Named,
    of: Baselines,
    rng: Pcg64Mcg,
    now: Duration,
    slots: usize,
    capacity: usize,
    max_attempts: u32,
    service_classes: Vec<(String, ServiceClass)>,
    endpoints: BTreeMap<String, KnownEndpoint>,
    by_destination: BTreeMap<DestinationId, BTreeSet<String>>,
    pending: BTreeMap<MessageId, PendingMessage>,
    /// What is not out, by when it may go.
    due: BTreeSet<(Duration, MessageId)>,
    /// Pending messages, by when they must have a final outcome.
    ends: BTreeSet<(Duration, MessageId)>,
    /// Each goes when it is over.
    retry_after: BTreeMap<DestinationId, Duration>,
    /// Attempts of the span of the budget.
    recent: BTreeMap<DestinationId, RecentAttempts>,
    calls: usize,
    /// To be rejected or abandoned at the next step.
    to_finish: Vec<MessageId>,
    timer: Option<Duration>,
}

impl Baseline {
    /// Whether the service class allows an attempt of `pending` in `zone` now.
    fn may_attempt(&self, pending: &PendingMessage, zone: &str) -> bool {
        match (&pending.first_execution, self.service_classes[pending.service_class].1.retry_safety) {
            (None, _) | (_, RetrySafety::Idempotent) => true,
            (Some(_), RetrySafety::AtMostOnce) => false,
            (Some((first, of)), RetrySafety::Deduplicated { window, per_zone }) => {
                self.now <= *first + window && (!per_zone || of == zone)
            }
        }
    }

    fn gap(&mut self, attempts: u32, started: Duration) -> Duration {
        let ideal = ideal_gap(&self.of, attempts);
        match self.named {
            Named::Fixed => started + self.of.every,
            Named::Exponential => self.now + ideal,
            Named::Jitter => self.now + ideal.mul_f64(self.rng.random()),
            _ => self.now,
        }
    }

    /// Whether the budget allows a retry there.
    fn budget(&mut self, destination: DestinationId) -> bool {
        let recent = self.recent.entry(destination).or_default();
        recent.forget(self.now);
        f64::from(recent.retries) < self.of.share * (recent.times.len() as f64 - f64::from(recent.retries))
    }

    /// The endpoint for a message: the one with the fewest calls out, at random among equals; an oracle's has free capacity.
    fn endpoint(&mut self, id: MessageId) -> Option<String> {
        let pending = &self.pending[&id];
        let oracle = self.named == Named::Oracle;
        let names = self.by_destination.get(&pending.destination)?;
        let open = names.iter().map(|name| (name, &self.endpoints[name])).filter(|(_, known)| {
            known.state == EndpointState::Available
                && (!oracle || known.capacity > 0)
                && self.may_attempt(pending, &known.zone)
        });
        let load = |known: &KnownEndpoint| if oracle { usize::MAX - known.capacity } else { known.in_flight };
        let least = open.clone().map(|(_, known)| load(known)).min()?;
        let best: Vec<_> = open.filter(|(_, known)| load(known) == least).map(|(name, _)| name).collect();
        let at = self.rng.random_range(0..best.len());
        Some(best[at].clone())
    }

    fn give_up(&mut self, id: MessageId, driver: &mut dyn Driver) {
        let Some(pending) = self.pending.remove(&id) else { return };
        self.due.remove(&(pending.due, id));
        self.ends.remove(&(pending.deadline, id));
        if pending.first_execution.is_some()
            && self.service_classes[pending.service_class].1.retry_safety == RetrySafety::AtMostOnce
        {
            driver.abandon(id);
        } else {
            driver.reject(id, None);
        }
    }

    /// What may go now, first what came due first; an oracle takes what its soft deadline still covers before what
    /// it does not, and of each what is due sooner.
    fn due_messages(&self) -> Vec<MessageId> {
        if self.calls >= self.slots {
            return Vec::new();
        }
        let due = self.due.iter().take_while(|(at, _)| *at <= self.now).take(MAX_DUE_MESSAGES);
        let mut due: Vec<_> = due.map(|(_, id)| *id).collect();
        if self.named == Named::Oracle {
            due.sort_by_key(|id| {
                let pending = &self.pending[id];
                let service_class = &self.service_classes[pending.service_class].1;
                let soft_deadline =
                    (pending.deadline + service_class.soft_deadline).saturating_sub(service_class.deadline);
                (self.now + USUAL_DURATION > soft_deadline, soft_deadline)
            });
        }
        due
    }

    fn postpone(&mut self, id: MessageId, until: Duration) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        self.due.remove(&(pending.due, id));
        pending.due = until;
        self.due.insert((until, id));
    }

    fn endpoint_updated(&mut self, update: EndpointUpdate) {
        let EndpointUpdate { name, zone, destination, state, .. } = update;
        self.by_destination.entry(destination).or_default().insert(name.into());
        let new = || KnownEndpoint { zone: zone.into(), destination, state, in_flight: 0, capacity: 0 };
        self.endpoints.entry(name.into()).or_insert_with(new).state = state;
    }

    fn endpoint_list_ended(&mut self, whole: Option<&BTreeSet<String>>) {
        let by_destination = &mut self.by_destination;
        self.endpoints.retain(|name, known| {
            if whole.is_some_and(|names| !names.contains(name)) {
                known.state = EndpointState::Removed;
            }
            let stays = known.state != EndpointState::Removed || known.in_flight > 0;
            if !stays && let Some(names) = by_destination.get_mut(&known.destination) {
                names.remove(name);
            }
            stays
        });
    }

    fn accept(&mut self, message: NewMessage) {
        let NewMessage { id, service_class, deadline, destination, .. } = message;
        let Some(service_class) = self.service_classes.iter().position(|g| g.0 == service_class) else {
            return;
        };
        let deadline = deadline.saturating_sub(DEADLINE_MARGIN);
        let (now, endpoint) = (self.now, String::new());
        let pending = PendingMessage {
            service_class,
            destination,
            deadline,
            attempts: 0,
            due: now,
            started: now,
            endpoint,
            first_execution: None,
        };
        self.pending.insert(id, pending);
        self.due.insert((now, id));
        self.ends.insert((deadline, id));
        if self.pending.len() > self.capacity {
            self.to_finish.push(id);
        }
    }

    fn recover(&mut self, id: MessageId, attempts: RecoveredAttempts) {
        let first_execution = attempts.first_execution;
        let endpoint = first_execution.and_then(|execution| self.endpoints.get(execution.endpoint));
        let zone = endpoint.map_or(String::new(), |endpoint| endpoint.zone.clone());
        if let Some(pending) = self.pending.get_mut(&id) {
            (pending.attempts, pending.first_execution) =
                (attempts.count, first_execution.map(|execution| (execution.started, zone)));
        }
    }

    fn attempt_ended(&mut self, result: AttemptResult) {
        let AttemptResult { message: id, outcome, finished, .. } = result;
        self.calls -= 1;
        if let (
            Some(pending),
            AttemptOutcome::Rejected { retry_after: Some(wait) }
            | AttemptOutcome::AmbiguousRejection { retry_after: Some(wait) },
        ) = (self.pending.get(&id), outcome)
        {
            let until = self.retry_after.entry(pending.destination).or_default();
            *until = (*until).max(self.now + wait);
        }
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let known = self.endpoints.get_mut(&pending.endpoint);
        let zone = known.map_or(String::new(), |known| {
            known.in_flight -= 1;
            known.zone.clone()
        });
        if finished {
            let deadline = pending.deadline;
            self.pending.remove(&id);
            self.ends.remove(&(deadline, id));
            return;
        }
        if !outcome.known_not_executed() && pending.first_execution.is_none() {
            pending.first_execution = Some((pending.started, zone));
        }
        let (attempts, started) = (pending.attempts, pending.started);
        let due = self.gap(attempts, started).max(self.now);
        let pending = &self.pending[&id];
        let zones: Vec<_> = self.by_destination.get(&pending.destination).into_iter().flatten().collect();
        let fits = zones.iter().any(|name| self.may_attempt(pending, &self.endpoints[*name].zone));
        if attempts >= self.max_attempts || due >= pending.deadline || !fits {
            self.to_finish.push(id);
        } else {
            self.pending.get_mut(&id).expect("just seen").due = due;
            self.due.insert((due, id));
        }
    }
}

impl Decider for Baseline {
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
            Input::TimerFired => self.timer = self.timer.filter(|at| *at > self.now),
            Input::EndpointListFailed | Input::Gossip(_) => {}
        }
    }

    fn may_send_request(&self, id: MessageId, _: u32, now: Duration) -> bool {
        let Some(pending) = self.pending.get(&id) else { return false };
        let open = self.endpoints.get(&pending.endpoint).is_some_and(|e| e.state == EndpointState::Available);
        open && self.retry_after.get(&pending.destination).is_none_or(|until| *until <= now)
    }

    fn apply_rules(&mut self, driver: &mut dyn Driver) {
        for id in std::mem::take(&mut self.to_finish) {
            self.give_up(id, driver);
        }
        let now = self.now;
        while let Some((_, id)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.give_up(id, driver);
        }
        self.retry_after.retain(|_, until| *until > now);
        for id in self.due_messages() {
            let pending = &self.pending[&id];
            let (destination, attempts, deadline) = (pending.destination, pending.attempts, pending.deadline);
            let retry_after = self.retry_after.get(&destination).copied();
            if let Some(until) = retry_after {
                self.postpone(id, until.min(deadline));
                continue;
            }
            if attempts > 0 && self.named == Named::Budget && !self.budget(destination) {
                self.postpone(id, (now + BUDGET_RECHECK).min(deadline));
                continue;
            }
            if self.calls >= self.slots {
                break;
            }
            let Some(name) = self.endpoint(id) else {
                self.postpone(id, (now + ENDPOINT_RECHECK).min(deadline));
                continue;
            };
            let timeout = if self.named == Named::Oracle { deadline - now } else { self.of.timeout };
            let timeout = timeout.min(deadline - now);
            driver.start_attempt(id, &name, timeout);
            self.calls += 1;
            if self.named == Named::Budget {
                self.recent.entry(destination).or_default().count(now, attempts > 0);
            }
            let known = self.endpoints.get_mut(&name).expect("just chosen");
            known.in_flight += 1;
            known.capacity = known.capacity.saturating_sub(1);
            let pending = self.pending.get_mut(&id).expect("just seen");
            self.due.remove(&(pending.due, id));
            (pending.attempts, pending.started, pending.endpoint) = (attempts + 1, now, name);
        }
        // The next that comes due, or the deadline of what waits for a slot: the end of a call shows free ones.
        let next = self.due.first().into_iter().chain(self.ends.first()).map(|(at, _)| *at).min();
        let next = next.map(|at| at.max(now + ENDPOINT_RECHECK / 5));
        if let Some(at) = next.filter(|at| self.timer.is_none_or(|timer| timer > *at || timer <= now)) {
            self.timer = Some(at);
            driver.set_timer(at - now);
        }
    }

    fn wants_capacity(&self) -> bool {
        self.named == Named::Oracle
    }

    fn observe_capacity(&mut self, capacity: &dyn Fn(&str) -> usize) {
        let due: BTreeSet<_> =
            self.due.iter().take_while(|d| d.0 <= self.now).map(|d| self.pending[&d.1].destination).collect();
        for destination in due {
            for name in self.by_destination.get(&destination).into_iter().flatten() {
                if let Some(known) = self.endpoints.get_mut(name) {
                    known.capacity = capacity(name);
                }
            }
        }
    }
}
