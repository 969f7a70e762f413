//! What a day consists of, as written in an experiment file: sizes, laws of chance, rates, and the faults. Every
//! span is written with its unit ("250 ms"); what is left out has the value named at its field.

use crate::faults::ScheduledFault;
use quillhub::{ListedRate, RepeatSafety, ServiceClass, ValueDecay};
use rand::Rng;
use rand_distr::{Distribution, Exp, Gamma, LogNormal, Pareto};
use serde::{Deserialize, Serialize};
use std::time::Duration;

type Span = Duration;

/// A day: everything that a run needs but its seed and its deciders.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// From the first arrival to the last; what is held then still gets its end.
    #[serde(with = "humantime_serde")]
    pub length: Span,
    /// The couriers, and the front that deals messages out to them.
    pub couriers: Couriers,
    /// Delays, and what connections cost.
    #[serde(default)]
    pub network: Network,
    /// Service discovery.
    #[serde(default)]
    pub register: Register,
    /// How destinations that were out return, and the figures of the rules.
    #[serde(default)]
    pub returns: Returns,
    /// The service classes.
    pub grades: Vec<GradeOf>,
    /// The destinations, by kind.
    pub destinations: Vec<Destinations>,
    /// The streams of messages.
    pub arrivals: Vec<Arrivals>,
    /// Tenants with a quota.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// What clients do with what did not get through.
    #[serde(default)]
    pub clients: Clients,
    /// What goes wrong, and when.
    #[serde(default)]
    pub faults: Vec<ScheduledFault>,
}

/// A tenant and what it bought, in notices a second for all couriers; no limit is enforced, what comes over it
/// earns `over_share`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    pub per_s: f64,
    #[serde(default = "one")]
    pub over_share: f64,
}

/// The couriers, and the front that deals messages out to them.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Couriers {
    /// How many there are.
    pub count: u32,
    /// Calls out at once.
    pub slots: usize,
    /// Notices held at once.
    pub room: usize,
    /// Attempts for one message at most.
    pub most_sends: u32,
    /// Longest wait told with a denial.
    #[serde(with = "humantime_serde")]
    pub longest_wait: Span,
    /// Couriers and endpoints are dealt out to these in turn.
    pub zones: Vec<String>,
    /// The front sends the k-th courier 1/k^skew of what it sends the first; 0 spreads evenly.
    pub skew: f64,
    /// Whether what is held outlasts a courier's death.
    pub folder: bool,
    /// Whether couriers may tell each other of returns.
    pub notes: bool,
    /// Share of notes lost.
    pub notes_lost: f64,
    /// Whether a call is looked at once more before its first byte, as on sockets.
    pub last_look: bool,
}

impl Default for Couriers {
    fn default() -> Self {
        Self {
            count: 1,
            slots: 64,
            room: 1_000,
            most_sends: 12,
            longest_wait: Span::from_secs(4),
            zones: vec!["east".into()],
            skew: 0.0,
            folder: true,
            notes: false,
            notes_lost: 0.0,
            last_look: true,
        }
    }
}

/// Delays, and what connections cost.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way inside a zone.
    #[serde(with = "humantime_serde")]
    pub within: Span,
    /// One way between two zones.
    #[serde(with = "humantime_serde")]
    pub between: Span,
    /// Up to such a share of the delay more, by even chance.
    pub jitter: f64,
    /// What a new connection costs besides a way there and back.
    #[serde(with = "humantime_serde")]
    pub handshake: Span,
    /// A connection not up by then counts as failed.
    #[serde(with = "humantime_serde")]
    pub connecting: Span,
    /// Endpoints close connections idle for so long.
    #[serde(with = "humantime_serde")]
    pub idle_close: Span,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            within: Span::from_millis(1),
            between: Span::from_millis(4),
            jitter: 0.2,
            handshake: Span::from_millis(2),
            connecting: Span::from_secs(2),
            idle_close: Span::from_secs(10),
        }
    }
}

/// How service discovery tells of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RegisterForm {
    /// Tells changes to every courier.
    Push,
    /// Answers only when a courier asks for changes.
    Watch,
}

/// Service discovery.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Register {
    /// How it tells of changes.
    pub form: RegisterForm,
    /// From a change to when it is told; as much again by chance.
    #[serde(with = "humantime_serde")]
    pub late: Span,
    /// Which rates it lists.
    pub rates: Rates,
}

impl Default for Register {
    fn default() -> Self {
        Self { form: RegisterForm::Push, late: Span::from_millis(500), rates: Rates::Absent }
    }
}

/// What is listed of an endpoint's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Rates {
    Absent,
    Exact,
    /// Up to half too high or too low.
    Rough,
}

impl Rates {
    pub(crate) fn word(self) -> ListedRate {
        match self {
            Self::Absent => ListedRate::Absent,
            Self::Exact => ListedRate::Exact,
            Self::Rough => ListedRate::Approximate,
        }
    }
}

/// The figures of the rules.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Returns {
    /// Nothing new goes to an endpoint so long after its drain was told.
    #[serde(with = "humantime_serde")]
    pub grace: Span,
    /// A destination just back starts at this share of its capacity and is warm after `warm_up`.
    pub start: f64,
    /// From a destination's return until it is warm; its capacity grows evenly until then.
    #[serde(with = "humantime_serde")]
    pub warm_up: Span,
    /// Sent more than `factor` times what it can do, for `push`, it falls over and stays down.
    pub factor: f64,
    /// How long it stands more than that.
    #[serde(with = "humantime_serde")]
    pub push: Span,
    /// A key rests so long after a time-out, reset or cancel.
    #[serde(with = "humantime_serde")]
    pub key_rest: Span,
}

impl Default for Returns {
    fn default() -> Self {
        Self {
            grace: Span::from_millis(250),
            start: 0.2,
            warm_up: Span::from_secs(10),
            factor: 2.0,
            push: Span::from_secs(3),
            key_rest: Span::from_millis(700),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EffectOf {
    Retriable,
    Fingerprinted,
    Binding,
}

/// A service class: what a message of it may do, until when it is needed, and what it is worth.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GradeOf {
    /// Its name.
    pub name: String,
    /// What a repeat may do at its destination.
    pub effect: EffectOf,
    /// How long a destination remembers a mark, for fingerprinted ones.
    #[serde(default, with = "humantime_serde")]
    pub memory: Span,
    /// Whether only endpoints of one zone share that memory.
    #[serde(default)]
    pub one_zone: bool,
    /// Soft deadline: delivered within this time after it was first handed in, a message has its full value.
    #[serde(with = "humantime_serde")]
    pub contract: Span,
    /// Deadline: a message has its final outcome within this time after it was first handed in.
    #[serde(with = "humantime_serde")]
    pub limit: Span,
    /// Value of a message delivered within its soft deadline, in units of the experiment's own.
    #[serde(default = "one")]
    pub earnings: f64,
    /// Share of the value that is left at the deadline.
    #[serde(default)]
    pub late_share: f64,
    /// Whether the value halves over each further span as long as `contract`; otherwise it falls evenly.
    #[serde(default)]
    pub halving: bool,
    /// Whether messages of one ordering key are delivered one at a time, in the order taken.
    #[serde(default)]
    pub in_order: bool,
}

impl GradeOf {
    /// The class as couriers know it.
    pub fn grade(&self) -> ServiceClass {
        let repeat_safety = match self.effect {
            EffectOf::Retriable => RepeatSafety::Idempotent,
            EffectOf::Fingerprinted => {
                RepeatSafety::Deduplicated { window: self.memory, per_zone: self.one_zone }
            }
            EffectOf::Binding => RepeatSafety::AtMostOnce,
        };
        ServiceClass {
            repeat_safety,
            soft_deadline: self.contract,
            deadline: self.limit,
            value: self.earnings,
            late_value_share: self.late_share,
            decay: if self.halving { ValueDecay::Halving } else { ValueDecay::Linear },
            ordered: self.in_order,
        }
    }
}

/// Destinations of one kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Destinations {
    /// Its name.
    pub kind: String,
    /// How many destinations there are of this kind.
    #[serde(default = "one_of")]
    pub count: usize,
    /// Of each destination.
    #[serde(default = "one_of")]
    pub endpoints: usize,
    /// Calls that an endpoint works on at once, and that wait there; what comes beyond is turned away as full.
    #[serde(default = "eight")]
    pub workers: usize,
    /// Calls that wait at an endpoint for a worker.
    #[serde(default = "sixty_four")]
    pub queue: usize,
    /// The time that a call takes.
    pub service: Service,
    /// Some are slower than others: by even chance up to so many times, or a part as long.
    #[serde(default = "one")]
    pub spread: f64,
    /// What couriers may send, where that is limited.
    pub limit: Option<LimitOf>,
    /// Whether each endpoint has a limit, and returns, by itself.
    #[serde(default)]
    pub routes_apart: bool,
    /// Connections that an endpoint takes, idle ones counted.
    pub connections: Option<usize>,
    /// Share of the notices' traffic that goes to this kind, against the other kinds' shares.
    #[serde(default = "one")]
    pub weight: f64,
    /// Within the kind the k-th busiest gets 1/k^skew of what the busiest gets; 0 spreads evenly.
    #[serde(default)]
    pub skew: f64,
    /// Whether answers hold a report on the limit, as it was up to `report_age` ago.
    #[serde(default)]
    pub reports: bool,
    /// How old what a report tells may be.
    #[serde(default, with = "humantime_serde")]
    pub report_age: Span,
}

/// A law of chance for the time that a call takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Law {
    /// Always the mean.
    Constant,
    /// Exponential.
    Exponential,
    /// Log-normal.
    LogNormal,
    /// Gamma.
    Gamma,
    /// A heavy tail.
    Pareto,
}

/// The time that a call takes at an endpoint of usual pace.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The mean time.
    #[serde(with = "humantime_serde")]
    pub mean: Span,
    /// The law.
    #[serde(default = "lognormal")]
    pub law: Law,
    /// Standard deviation over mean, for the laws that take one; over 0.
    #[serde(default = "half")]
    pub cv: f64,
}

impl Service {
    /// One time drawn.
    pub fn draw(&self, rng: &mut impl Rng) -> Span {
        let mean = self.mean.as_secs_f64().max(1e-6);
        let (cv, law) = (self.cv, "the law's figures were checked");
        let s = match self.law {
            Law::Constant => return self.mean,
            Law::Exponential => Exp::new(1.0 / mean).expect(law).sample(rng),
            Law::LogNormal => LogNormal::from_mean_cv(mean, cv).expect(law).sample(rng),
            Law::Gamma => Gamma::new(1.0 / (cv * cv), mean * cv * cv).expect(law).sample(rng),
            Law::Pareto => {
                // The shape that has this cv, and the scale that has this mean.
                let shape = 1.0 + (1.0 + 1.0 / (cv * cv)).sqrt();
                Pareto::new(mean * (shape - 1.0) / shape, shape).expect(law).sample(rng)
            }
        };
        Span::from_secs_f64(s.clamp(1e-6, 3_600.0))
    }
}

/// What all couriers together may send a route.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitOf {
    /// Calls a second.
    pub per_s: f64,
    /// Counted in spans that begin one after the other; absent, a plain rate with a burst of one second.
    #[serde(default, with = "humantime_serde")]
    pub span: Option<Span>,
    /// Share of the refusals that tell how long to wait.
    #[serde(default)]
    pub tells: f64,
    /// Whether refused calls use it up too, down to as much below nothing as it holds.
    #[serde(default)]
    pub refused_count: bool,
}

/// When the messages of a stream come.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "law", rename_all = "lowercase", deny_unknown_fields)]
pub enum Pattern {
    /// Each at any instant, whatever the others do.
    Poisson,
    /// One after each `1/per_s`.
    Even,
    /// Clumps for one destination: `of` at once on average.
    Bursts {
        /// Messages that come at once, on average.
        of: f64,
    },
    /// A wave round `per_s`, from `1 - depth` to `1 + depth` times it.
    Daily {
        /// The length of one wave.
        #[serde(with = "humantime_serde")]
        every: Span,
        /// How far the wave goes up and down, as a share of the rate.
        depth: f64,
    },
    /// Evenly, but only in the part of each `every` that begins at `from`.
    Part {
        /// The length of one span.
        #[serde(with = "humantime_serde")]
        every: Span,
        /// Where in each span its part begins.
        #[serde(with = "humantime_serde")]
        from: Span,
    },
}

/// One open-loop stream of notices: it comes whatever became of those before.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arrivals {
    /// Messages a second, on average.
    pub per_s: f64,
    /// When they come.
    #[serde(default = "poisson")]
    pub pattern: Pattern,
    /// Its grade; absent, all grades in turn.
    pub grade: Option<String>,
    /// Kind of its destinations; absent, all by weight.
    pub to: Option<String>,
    /// Its tenant, and the number of turn keys in use.
    pub tenant: Option<String>,
    /// How many ordering keys are in use; 0 for none.
    #[serde(default)]
    pub keys: u64,
    /// A sidecar's stream: all goes to the courier of this number.
    pub courier: Option<u32>,
    /// When the stream begins.
    #[serde(default, with = "humantime_serde")]
    pub from: Span,
    /// Absent, until the day's end.
    #[serde(default, with = "humantime_serde")]
    pub until: Option<Span>,
}

/// What clients do with a notice that did not get through.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Times that a denied notice is handed in again.
    pub tries: u32,
    /// Before it, by chance from half of it; what a denial told is a floor.
    #[serde(with = "humantime_serde")]
    pub wait: Span,
    /// For so long the front goes on sending to a courier that died.
    #[serde(with = "humantime_serde")]
    pub notices_dead: Span,
}

impl Default for Clients {
    fn default() -> Self {
        Self { tries: 3, wait: Span::from_secs(1), notices_dead: Span::from_secs(2) }
    }
}

fn one() -> f64 {
    1.0
}

fn half() -> f64 {
    0.5
}

fn one_of() -> usize {
    1
}

fn eight() -> usize {
    8
}

fn sixty_four() -> usize {
    64
}

fn lognormal() -> Law {
    Law::LogNormal
}

fn poisson() -> Pattern {
    Pattern::Poisson
}

/// Couriers, endpoints or notices beyond which a day is taken for a mistake.
const MOST: f64 = 1e7;

impl Day {
    /// What is wrong with the day, if anything: the place, what is expected there, what was found.
    pub fn check(&self) -> Result<(), String> {
        let wrong = |place: &str, wanted: &str, found: &dyn std::fmt::Display| {
            Err(format!("{place}: expected {wanted}, found {found}"))
        };
        let share = |place: &str, value: f64| {
            if (0.0..=1.0).contains(&value) { Ok(()) } else { wrong(place, "a share from 0 to 1", &value) }
        };
        let zones = &self.couriers.zones;
        if self.length.is_zero() {
            return wrong("length", "a span over zero", &"0s");
        }
        for (place, count) in [
            ("couriers.count", self.couriers.count as usize),
            ("couriers.slots", self.couriers.slots),
            ("couriers.room", self.couriers.room),
            ("couriers.most_sends", self.couriers.most_sends as usize),
            ("couriers.zones", zones.len()),
            ("grades", self.grades.len()),
            ("destinations", self.destinations.len()),
            ("arrivals", self.arrivals.len()),
        ] {
            if count == 0 || count as f64 > MOST {
                return wrong(place, "one at least, and no more than ten million", &count);
            }
        }
        share("couriers.notes_lost", self.couriers.notes_lost)?;
        if !self.couriers.skew.is_finite() || self.couriers.skew < 0.0 {
            return wrong("couriers.skew", "a number from 0", &self.couriers.skew);
        }
        share("returns.start", self.returns.start)?;
        if self.returns.factor < 1.0 {
            return wrong("returns.factor", "1 or more", &self.returns.factor);
        }
        for (at, grade) in self.grades.iter().enumerate() {
            let place = |field: &str| format!("grades[{at}].{field}");
            if self.grades[..at].iter().any(|other| other.name == grade.name) {
                return wrong(&place("name"), "a name of its own", &grade.name);
            }
            if grade.contract > grade.limit {
                let found = format!("{:?} and a limit of {:?}", grade.contract, grade.limit);
                return wrong(&place("contract"), "a contract time within the limit", &found);
            }
            if (grade.effect == EffectOf::Fingerprinted) == grade.memory.is_zero() {
                let wanted = "a memory for a fingerprinted grade, and none for others";
                return wrong(&place("memory"), wanted, &format!("{:?}", grade.memory));
            }
            share(&place("late_share"), grade.late_share)?;
        }
        for (at, kind) in self.destinations.iter().enumerate() {
            let place = |field: &str| format!("destinations[{at}].{field}");
            if self.destinations[..at].iter().any(|other| other.kind == kind.kind) {
                return wrong(&place("kind"), "a name of its own", &kind.kind);
            }
            for (field, count) in
                [("count", kind.count), ("endpoints", kind.endpoints), ("workers", kind.workers)]
            {
                if count == 0 || count as f64 > MOST {
                    return wrong(&place(field), "one at least, and no more than ten million", &count);
                }
            }
            for (field, value) in [("spread", kind.spread), ("service.cv", kind.service.cv)] {
                if !value.is_finite() || value <= 0.0 {
                    return wrong(&place(field), "a number over 0", &value);
                }
            }
            if !kind.weight.is_finite() || kind.weight < 0.0 {
                return wrong(&place("weight"), "a number from 0", &kind.weight);
            }
            if let Some(limit) = kind.limit {
                share(&place("limit.tells"), limit.tells)?;
                if !limit.per_s.is_finite() || limit.per_s <= 0.0 {
                    return wrong(&place("limit.per_s"), "a rate over 0", &limit.per_s);
                }
                if limit.span.is_some_and(|span| span.as_secs_f64() * limit.per_s < 1.0) {
                    let found = format!("{:?} at {} a second", limit.span.unwrap_or_default(), limit.per_s);
                    return wrong(&place("limit.span"), "a span in which one call fits", &found);
                }
            }
        }
        if self.destinations.iter().all(|kind| kind.weight == 0.0) {
            return wrong("destinations", "a kind with a weight over 0", &"none");
        }
        for (at, stream) in self.arrivals.iter().enumerate() {
            let place = |field: &str| format!("arrivals[{at}].{field}");
            if !stream.per_s.is_finite() || stream.per_s <= 0.0 {
                return wrong(&place("per_s"), "a rate over 0", &stream.per_s);
            }
            let until = stream.until.unwrap_or(self.length).min(self.length);
            if stream.per_s * until.saturating_sub(stream.from).as_secs_f64() > MOST {
                return wrong(&place("per_s"), "at most ten million notices in all", &stream.per_s);
            }
            if let Some(name) = stream.grade.as_ref().filter(|n| self.grades.iter().all(|g| g.name != **n)) {
                return wrong(&place("grade"), "the name of a grade", name);
            }
            if let Some(name) = stream.to.as_ref().filter(|n| self.destinations.iter().all(|d| d.kind != **n))
            {
                return wrong(&place("to"), "a kind of destination", name);
            }
            if let Some(name) = stream.tenant.as_ref().filter(|n| self.tenants.iter().all(|t| t.name != **n))
            {
                return wrong(&place("tenant"), "the name of a tenant", name);
            }
            if let Some(number) = stream.courier.filter(|n| !(1..=self.couriers.count).contains(n)) {
                return wrong(&place("courier"), "the number of a courier, from 1", &number);
            }
            match &stream.pattern {
                Pattern::Bursts { of } if !(*of >= 1.0 && of.is_finite()) => {
                    return wrong(&place("pattern.of"), "1 or more", of);
                }
                Pattern::Daily { depth, .. } => share(&place("pattern.depth"), *depth)?,
                Pattern::Part { every, from } if from >= every => {
                    return wrong(&place("pattern.from"), "less than every", &format!("{from:?}"));
                }
                _ => {}
            }
        }
        for (at, fault) in self.faults.iter().enumerate() {
            let place = |field: &str| format!("faults[{at}].{field}");
            let whom = &fault.whom;
            if let Some(name) = whom.kind.as_ref().filter(|n| self.destinations.iter().all(|d| d.kind != **n))
            {
                return wrong(&place("whom.kind"), "a kind of destination", name);
            }
            if let Some(name) = whom.zone.as_ref().filter(|n| !zones.contains(n)) {
                return wrong(&place("whom.zone"), "a zone", name);
            }
            if let Some(name) = fault.what.zones().into_iter().find(|name| !zones.contains(name)) {
                return wrong(&place("what"), "a zone of couriers.zones", name);
            }
            if let Some(value) = whom.share {
                share(&place("whom.share"), value)?;
            }
            let most = self.destinations.iter().map(|d| d.count).sum::<usize>();
            let most = if fault.what.strikes_couriers() { self.couriers.count as usize } else { most };
            if let Some(id) = whom.ids.iter().find(|id| !(1..=most as u64).contains(id)) {
                return wrong(&place("whom.ids"), &format!("numbers from 1 to {most}"), id);
            }
            if let Err((field, wanted, found)) = fault.what.check() {
                return wrong(&place(field), wanted, &found);
            }
            if fault.at > self.length {
                return wrong(&place("at"), "an instant within the day", &format!("{:?}", fault.at));
            }
        }
        Ok(())
    }
}
