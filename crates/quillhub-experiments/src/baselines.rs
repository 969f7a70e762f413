//! Baselines that the dispatcher is compared with: simple retry strategies, and an oracle that knows the free capacity
//! of every endpoint. They serve experiments only.

use quillhub::{
    AttemptOutcome, AttemptPlan, AttemptResult, DestinationId, Driver, EndpointState, EndpointUpdate,
    MessageId, NewMessage, RecoveredAttempts, RetrySafety, ServiceClass,
};
use quillhub_simulator::{Decider, DeciderParameters, Input, dispatcher};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Period over which the budget compares retries with first attempts.
const BUDGET_PERIOD: Duration = Duration::from_secs(10);
/// Delay before a retry that the budget did not allow is considered again.
const BUDGET_RECHECK_DELAY: Duration = Duration::from_secs(1);
/// Time before its deadline at which a message is given up, so that its final outcome arrives by the deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// Maximum number of due messages considered in one step; the others are considered in later steps.
const MAX_DUE_MESSAGES: usize = 1_000;
/// Duration that the oracle assumes for a call.
const ORACLE_CALL_DURATION: Duration = Duration::from_millis(200);
/// Delay before a message without a usable endpoint is considered again.
const ENDPOINT_RECHECK_DELAY: Duration = Duration::from_millis(50);

/// Decider of a run, as named in experiment files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DeciderKind {
    /// Dispatcher of quillhub.
    Module,
    /// Baseline that retries at a fixed interval, measured between the starts of attempts.
    Fixed,
    /// Baseline that retries with exponential backoff without jitter.
    Exponential,
    /// Baseline that retries with exponential backoff and full jitter, without a limit on the total number of retries.
    Jitter,
    /// Baseline that retries at once while retries stay below a share of the first attempts.
    Budget,
    /// Baseline that never retries.
    Single,
    /// Baseline that knows the free capacity of every endpoint.
    Oracle,
}

impl DeciderKind {
    /// Returns the name in experiment files and kept results.
    pub fn name(self) -> &'static str {
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

/// Settings of the baselines in an experiment file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BaselineSettings {
    /// Time between the starts of two attempts of `fixed`.
    #[serde(rename = "every", with = "humantime_serde")]
    pub interval: Duration,
    /// Delay before the first retry of `exponential`, and its upper bound for `jitter`.
    #[serde(rename = "base", with = "humantime_serde")]
    pub base_delay: Duration,
    /// Factor by which the delay of `exponential` and `jitter` grows with each retry.
    pub multiplier: f64,
    /// Maximum delay of `exponential` and `jitter`.
    #[serde(rename = "cap", with = "humantime_serde")]
    pub max_delay: Duration,
    /// Attempt timeout of all baselines except `oracle`, whose attempts time out at the deadline.
    #[serde(rename = "timeout", with = "humantime_serde")]
    pub attempt_timeout: Duration,
    /// Maximum number of retries per first attempt of `budget`, over the last `BUDGET_PERIOD`.
    #[serde(rename = "share")]
    pub retry_share: f64,
}

impl Default for BaselineSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
            base_delay: Duration::from_millis(200),
            multiplier: 3.0,
            max_delay: Duration::from_secs(4),
            attempt_timeout: Duration::from_secs(2),
            retry_share: 0.1,
        }
    }
}

/// Returns the delay before the k-th retry without jitter: `min(max_delay, base_delay * multiplier^(k - 1))`.
pub fn exponential_delay(settings: &BaselineSettings, k: u32) -> Duration {
    let delay_s = settings.base_delay.as_secs_f64() * settings.multiplier.powi(k.saturating_sub(1) as i32);
    Duration::from_secs_f64(delay_s.min(settings.max_delay.as_secs_f64()))
}

/// Creates the decider of one instance.
pub fn create_decider(
    kind: DeciderKind,
    settings: &BaselineSettings,
    start: &DeciderParameters,
) -> Box<dyn Decider> {
    if kind == DeciderKind::Module {
        return dispatcher(start);
    }
    let scenario = start.scenario;
    Box::new(Baseline {
        kind,
        settings: settings.clone(),
        rng: Pcg64Mcg::seed_from_u64(start.seed),
        now: Duration::ZERO,
        slots: scenario.instances.slots,
        queue_capacity: scenario.instances.queue_capacity,
        max_attempts: if kind == DeciderKind::Single { 1 } else { scenario.instances.max_attempts },
        service_classes: scenario
            .service_classes
            .iter()
            .map(|service_class| (service_class.name.clone(), service_class.service_class()))
            .collect(),
        endpoints: BTreeMap::new(),
        by_destination: BTreeMap::new(),
        pending: BTreeMap::new(),
        due: BTreeSet::new(),
        deadlines: BTreeSet::new(),
        retry_after: BTreeMap::new(),
        recent: BTreeMap::new(),
        in_flight: 0,
        to_finish: Vec::new(),
        timer: None,
    })
}

struct KnownEndpoint {
    zone: String,
    destination: DestinationId,
    state: EndpointState,
    in_flight: usize,
    /// Free capacity when the oracle last observed it; 0 for the other baselines.
    free_capacity: usize,
}

struct PendingMessage {
    service_class: usize,
    destination: DestinationId,
    deadline: Duration,
    attempts: u32,
    due: Duration,
    started: Duration,
    endpoint: String,
    /// Start and zone of the first attempt by which the message may have been executed.
    first_execution: Option<(Duration, String)>,
}

/// Attempts at a destination within the budget's period, and the number of retries among them.
#[derive(Default)]
struct RecentAttempts {
    times: VecDeque<(Duration, bool)>,
    retries: u32,
}

impl RecentAttempts {
    fn remove_expired(&mut self, now: Duration) {
        while let Some((_, is_retry)) = self.times.front().filter(|(at, _)| *at + BUDGET_PERIOD <= now) {
            self.retries -= u32::from(*is_retry);
            self.times.pop_front();
        }
    }

    fn record(&mut self, now: Duration, is_retry: bool) {
        self.remove_expired(now);
        self.times.push_back((now, is_retry));
        self.retries += u32::from(is_retry);
    }
}

struct Baseline {
    kind: DeciderKind,
    settings: BaselineSettings,
    rng: Pcg64Mcg,
    now: Duration,
    slots: usize,
    queue_capacity: usize,
    max_attempts: u32,
    service_classes: Vec<(String, ServiceClass)>,
    endpoints: BTreeMap<String, KnownEndpoint>,
    by_destination: BTreeMap<DestinationId, BTreeSet<String>>,
    pending: BTreeMap<MessageId, PendingMessage>,
    /// Pending messages without an attempt in flight, by the time of their next attempt.
    due: BTreeSet<(Duration, MessageId)>,
    /// Pending messages, by the time at which they are given up.
    deadlines: BTreeSet<(Duration, MessageId)>,
    /// End of the retry-after of each destination; entries are removed when they expire.
    retry_after: BTreeMap<DestinationId, Duration>,
    /// Attempts within the budget's period, by destination.
    recent: BTreeMap<DestinationId, RecentAttempts>,
    in_flight: usize,
    /// Messages to reject or abandon in the next step.
    to_finish: Vec<MessageId>,
    timer: Option<Duration>,
}

impl Baseline {
    /// Returns `true` if the service class allows an attempt of `pending` in `zone` now.
    fn may_attempt(&self, pending: &PendingMessage, zone: &str) -> bool {
        match (&pending.first_execution, self.service_classes[pending.service_class].1.retry_safety) {
            (None, _) | (_, RetrySafety::Idempotent) => true,
            (Some(_), RetrySafety::AtMostOnce) => false,
            (Some((first, first_zone)), RetrySafety::Deduplicated { window, per_zone }) => {
                self.now <= *first + window && (!per_zone || first_zone == zone)
            }
        }
    }

    fn next_attempt_time(&mut self, attempts: u32, started: Duration) -> Duration {
        let delay = exponential_delay(&self.settings, attempts);
        match self.kind {
            DeciderKind::Fixed => started + self.settings.interval,
            DeciderKind::Exponential => self.now + delay,
            DeciderKind::Jitter => self.now + delay.mul_f64(self.rng.random()),
            _ => self.now,
        }
    }

    /// Returns `true` if the budget allows a retry at `destination`.
    fn budget_allows_retry(&mut self, destination: DestinationId) -> bool {
        let recent = self.recent.entry(destination).or_default();
        recent.remove_expired(self.now);
        f64::from(recent.retries)
            < self.settings.retry_share * (recent.times.len() as f64 - f64::from(recent.retries))
    }

    /// Chooses the endpoint with the fewest calls in flight, or for the oracle the one with the most free capacity; at
    /// random among equals.
    fn choose_endpoint(&mut self, id: MessageId) -> Option<String> {
        let pending = &self.pending[&id];
        let oracle = self.kind == DeciderKind::Oracle;
        let names = self.by_destination.get(&pending.destination)?;
        let available = names.iter().map(|name| (name, &self.endpoints[name])).filter(|(_, known)| {
            known.state == EndpointState::Available
                && (!oracle || known.free_capacity > 0)
                && self.may_attempt(pending, &known.zone)
        });
        let load =
            |known: &KnownEndpoint| if oracle { usize::MAX - known.free_capacity } else { known.in_flight };
        let min_load = available.clone().map(|(_, known)| load(known)).min()?;
        let best: Vec<_> =
            available.filter(|(_, known)| load(known) == min_load).map(|(name, _)| name).collect();
        let index = self.rng.random_range(0..best.len());
        Some(best[index].clone())
    }

    fn give_up(&mut self, id: MessageId, driver: &mut dyn Driver) {
        let Some(pending) = self.pending.remove(&id) else { return };
        self.due.remove(&(pending.due, id));
        self.deadlines.remove(&(pending.deadline, id));
        if pending.first_execution.is_some()
            && self.service_classes[pending.service_class].1.retry_safety == RetrySafety::AtMostOnce
        {
            driver.abandon(id);
        } else {
            driver.reject(id, None);
        }
    }

    /// Returns the due messages, earliest due time first. The oracle puts messages that can still be delivered by their
    /// soft deadline before the others, and orders both by soft deadline.
    fn due_messages(&self) -> Vec<MessageId> {
        if self.in_flight >= self.slots {
            return Vec::new();
        }
        let due = self.due.iter().take_while(|(at, _)| *at <= self.now).take(MAX_DUE_MESSAGES);
        let mut due: Vec<_> = due.map(|(_, id)| *id).collect();
        if self.kind == DeciderKind::Oracle {
            due.sort_by_key(|id| {
                let pending = &self.pending[id];
                let service_class = &self.service_classes[pending.service_class].1;
                let soft_deadline =
                    (pending.deadline + service_class.soft_deadline).saturating_sub(service_class.deadline);
                (self.now + ORACLE_CALL_DURATION > soft_deadline, soft_deadline)
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
        let new_endpoint =
            || KnownEndpoint { zone: zone.into(), destination, state, in_flight: 0, free_capacity: 0 };
        self.endpoints.entry(name.into()).or_insert_with(new_endpoint).state = state;
    }

    fn endpoint_list_ended(&mut self, snapshot: Option<&BTreeSet<String>>) {
        let by_destination = &mut self.by_destination;
        self.endpoints.retain(|name, known| {
            if snapshot.is_some_and(|names| !names.contains(name)) {
                known.state = EndpointState::Removed;
            }
            let is_kept = known.state != EndpointState::Removed || known.in_flight > 0;
            if !is_kept && let Some(names) = by_destination.get_mut(&known.destination) {
                names.remove(name);
            }
            is_kept
        });
    }

    fn accept(&mut self, message: NewMessage) {
        let NewMessage { id, service_class, deadline, destination, .. } = message;
        let Some(service_class) = self.service_classes.iter().position(|class| class.0 == service_class)
        else {
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
        self.deadlines.insert((deadline, id));
        if self.pending.len() > self.queue_capacity {
            self.to_finish.push(id);
        }
    }

    fn restore_attempts(&mut self, id: MessageId, attempts: RecoveredAttempts) {
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
        self.in_flight -= 1;
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
            self.deadlines.remove(&(deadline, id));
            return;
        }
        if !outcome.known_not_executed() && pending.first_execution.is_none() {
            pending.first_execution = Some((pending.started, zone));
        }
        let (attempts, started) = (pending.attempts, pending.started);
        let due = self.next_attempt_time(attempts, started).max(self.now);
        let pending = &self.pending[&id];
        let names: Vec<_> = self.by_destination.get(&pending.destination).into_iter().flatten().collect();
        let has_allowed_zone =
            names.iter().any(|name| self.may_attempt(pending, &self.endpoints[*name].zone));
        if attempts >= self.max_attempts || due >= pending.deadline || !has_allowed_zone {
            self.to_finish.push(id);
        } else {
            self.pending.get_mut(&id).expect("the message is pending").due = due;
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
            Input::Recovered { message, attempts } => self.restore_attempts(message, attempts),
            Input::AttemptEnded(result) => self.attempt_ended(result),
            Input::TimerFired => self.timer = self.timer.filter(|at| *at > self.now),
            Input::EndpointListFailed | Input::Gossip(_) => {}
        }
    }

    fn may_send_request(&self, id: MessageId, _: u32, now: Duration) -> bool {
        let Some(pending) = self.pending.get(&id) else { return false };
        let is_available =
            self.endpoints.get(&pending.endpoint).is_some_and(|e| e.state == EndpointState::Available);
        is_available && self.retry_after.get(&pending.destination).is_none_or(|until| *until <= now)
    }

    fn apply_rules(&mut self, driver: &mut dyn Driver) {
        for id in std::mem::take(&mut self.to_finish) {
            self.give_up(id, driver);
        }
        let now = self.now;
        while let Some((_, id)) = self.deadlines.first().copied().filter(|(at, _)| *at <= now) {
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
            if attempts > 0 && self.kind == DeciderKind::Budget && !self.budget_allows_retry(destination) {
                self.postpone(id, (now + BUDGET_RECHECK_DELAY).min(deadline));
                continue;
            }
            if self.in_flight >= self.slots {
                break;
            }
            let Some(name) = self.choose_endpoint(id) else {
                self.postpone(id, (now + ENDPOINT_RECHECK_DELAY).min(deadline));
                continue;
            };
            let timeout =
                if self.kind == DeciderKind::Oracle { deadline - now } else { self.settings.attempt_timeout };
            let timeout = timeout.min(deadline - now);
            driver.start_attempt(id, &name, AttemptPlan::with_timeout(timeout));
            self.in_flight += 1;
            if self.kind == DeciderKind::Budget {
                self.recent.entry(destination).or_default().record(now, attempts > 0);
            }
            let known = self.endpoints.get_mut(&name).expect("the endpoint was just chosen");
            known.in_flight += 1;
            known.free_capacity = known.free_capacity.saturating_sub(1);
            let pending = self.pending.get_mut(&id).expect("the message is pending");
            self.due.remove(&(pending.due, id));
            (pending.attempts, pending.started, pending.endpoint) = (attempts + 1, now, name);
        }
        // Sets a timer for the next due time or deadline; messages that wait for a slot are started when a call ends.
        let next = self.due.first().into_iter().chain(self.deadlines.first()).map(|(at, _)| *at).min();
        let next = next.map(|at| at.max(now + ENDPOINT_RECHECK_DELAY / 5));
        if let Some(at) = next.filter(|at| self.timer.is_none_or(|timer| timer > *at || timer <= now)) {
            self.timer = Some(at);
            driver.set_timer(at - now);
        }
    }

    fn wants_capacity(&self) -> bool {
        self.kind == DeciderKind::Oracle
    }

    fn observe_capacity(&mut self, capacity: &dyn Fn(&str) -> usize) {
        let due: BTreeSet<_> =
            self.due.iter().take_while(|d| d.0 <= self.now).map(|d| self.pending[&d.1].destination).collect();
        for destination in due {
            for name in self.by_destination.get(&destination).into_iter().flatten() {
                if let Some(known) = self.endpoints.get_mut(name) {
                    known.free_capacity = capacity(name);
                }
            }
        }
    }
}
