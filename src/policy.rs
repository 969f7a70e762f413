//! All decisions of a courier. Its hosts call [`Dispatcher`]: `crates/quillhub-bench-adapter` on the bench's wire,
//! `crates/quillhub-server` on sockets. Its interface, the words and the trait [`Driver`], is in `lib.rs`.
//!
//! A host tells one input at a time, after [`Dispatcher::at`]; then [`Dispatcher::settle`] goes through the rules,
//! in order and again from the first, until none fires. docs/design.md says where each rule comes from.

use crate::dispatcher::{
    Call, Destination, Dispatcher, Endpoint, Health, Held, Keep, Outage, Pace, Ration, Repeats, Return, Route,
};
use crate::{
    AttemptOutcome, AttemptResult, DestinationId, Driver, EndpointState, EndpointUpdate, ListedRate,
    MessageId, NewMessage, RecoveredAttempts, RepeatSafety, UnknownServiceClass, gossip, ms,
};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

// Backoff: the design page's own starting values.
const BASE: Duration = ms(200); // first gap's upper end: about one call
const MULTIPLIER: f64 = 3.0; // of one gap to the next: the article's
const CAP: Duration = ms(4_000); // longest gap: well inside the time limits seen in practice
// Repeat budget.
const SPAN: Duration = ms(10_000); // over which first tries and repeats are compared: the design page's
const REPEAT_SHARE: f64 = 0.1; // repeats for each first try: the design page's
const REPEATS_PER_S: f64 = 1.0; // and so many a second besides: the design page's
const AGAIN: f64 = 0.25; // repeats after refusals that a handled call earns, a refused costs: none at half
const REPEATS_UNANSWERED: f64 = 1.0; // but so many in all while nothing is answered there: the article
// Latency.
const UNKNOWN_CALL: Duration = ms(500); // a usual call where nothing recent is known: the design page's
const SAMPLES: usize = 31; // calls whose median is usual: odd; a slow spell does not become usual at once
const RECENT: Duration = ms(40_000); // older samples say nothing of now
const PATIENCE: f64 = 2.0; // x the longest recent call: the tail of a healthy destination ends before it
const LEAST_PATIENCE: Duration = ms(2_000); // room for a handshake and a queue, while slots are free
const FEW: usize = 3; // samples under which a destination is little known: no median before
const STRAYS: f64 = 0.05; // of calls lost one by one: much; the least patience then goes by the free slots
const MOST_DOUBLINGS: u32 = 3; // of patience after time-outs in a row, so that a slow one gets through
const LEAST_CALL: f64 = 0.05; // s of a slot that any call counts for, so that none is taken for free
const SLOW: f64 = 4.0; // x usual call: a call out so long marks its destination as slow
// Slot share.
const SHARE: f64 = 0.75; // of the slots for one destination: the design page's
const SICK_SHARE: f64 = 0.5; // for all that fail or are slow together: the design page's, for one
// Credits of an endpoint at this courier, in calls out at once.
const FIRST_CREDITS: f64 = 2.0; // as many as one of usual pace serves at once; a slow one takes no more slots
const MOST_CREDITS: f64 = 32.0; // an endpoint that proves itself may earn so many
const AWAY: i64 = 2; // calls out that an endpoint of another zone counts for: its way is longer, and priced
// Idle connections.
const KEPT_BY: u32 = 4; // couriers that may keep theirs as long as they last: so few fill no endpoint's table
const KEEP_CUT: u32 = 4; // to which part a failed connection cuts the time kept: three are enough to learn by
const KEEP_GROWTH: f64 = 0.02; // of it regained with each handled call: in the long run one in seventy fails
const DOUBT: f64 = 4.0; // calls out that a failing share of 1 counts for: a repeat goes elsewhere first
// Pace of a route.
const BURST: Duration = ms(700); // of the rate may go at once: limits are counted over a second or so
const OWN_CUT: f64 = 0.6; // of what was sent, after a refusal
const OWN_GROWTH: f64 = 0.5; // of it with each handled call, times the share of the limit that is left
const OWN_LEFT: f64 = 0.2; // share taken to be left where none is told
const OWN_LEAST: f64 = 0.5; // of an equal part of the limit: the sum of all couriers' then is under it
const LISTED_SLACK: f64 = 1.5; // a rough rate may be so far off, either way; credits do the rest
// Outage of an endpoint.
const SUSPECT: u32 = 2; // failures in a row that make a route suspect, on rations: a call and its repeat
const STREAK: u32 = 3; // refusals in a row from which each counts as a failure: seldom a limit
const FAIL_WEIGHT: f64 = 0.2; // of an answered failure in the failing share: four are a verdict
const SILENT_WEIGHT: f64 = 0.35; // of a failed connection or a time-out: two are a verdict
const LOST_WEIGHT: f64 = 0.1; // of a refusal, a reset, or one lost while others were answered: seven are one
const OUT_SHARE: f64 = 0.5; // failing share over which an endpoint is out: most calls fail
const BACK_SHARE: f64 = 0.4; // failing share of one just back: another failure or two and it is out again
const SHUT: Duration = ms(2_500); // refusing for longer than a limit's span, a second or two, is being shut
const TRIAL_GAP: Duration = ms(1_000); // longest gap between trials that cannot have run
const DEAR_TRIAL_GAP: Duration = ms(1_500); // and between those that may: each can cost its notice
const BY_NOTICE: f64 = 0.9; // of the ramp, for each notice handed in: more may be asked for than it takes
const TRIALS_PER_S: f64 = 1.0; // of all couriers together at one that is out: the page's one a second
const FIRST_COLD_RATE: f64 = 1.0; // calls/s that a destination of unknown rate is taken for when cold: little
const RAMP_FACTOR: f64 = 0.75; // of the allowed multiple: the rest is for trials and for the others' parts
const MOST_RAMP: f64 = 1.6; // x the warm part of the known rate: capacity lies over a limit, by a half or so
// Register.
const ASK_BASE: Duration = ms(500); // first gap's upper end between asks that failed
const ASK_WITHIN: Duration = ms(5_000); // from one ask to the next: a change counts as told after 6 s
pub(crate) const FORGET: Duration = ms(600_000); // until a destination without endpoints does not exist
// Holding room, and time.
const SPARE_ROOM: f64 = 0.05; // of the room kept free, so that this courier chooses who is denied
const BEAT: Duration = ms(20); // shortest time between two looks at what waits
const LOOK: Duration = ms(500); // and the longest: a ramp opens sooner than its rate of now tells
const LOG_GAP: Duration = ms(5_000); // between two lines on short room

/// The wait before the next try after failure `k` (from 1): even chance from zero to a growing end.
fn gap(rng: &mut Pcg64Mcg, k: u32, base: Duration, cap: Duration) -> Duration {
    let end = base.as_secs_f64() * MULTIPLIER.powi(k.saturating_sub(1).min(40) as i32);
    cap.min(Duration::from_secs_f64(end.min(cap.as_secs_f64()))).mul_f64(rng.random())
}

/// The wait before trial `k`: half of it sure, so that trials never come in a bunch.
fn trial_gap(rng: &mut Pcg64Mcg, k: u32, cap: Duration) -> Duration {
    cap / 2 + gap(rng, k, BASE, cap) / 2
}

/// The time in which `rate` a second adds up to `wanted`; a bit at least, an hour at most.
fn until(wanted: f64, rate: f64) -> Duration {
    Duration::from_secs_f64((wanted / rate).clamp(0.001, 3_600.0))
}

impl Repeats {
    fn count(&mut self, now: Duration, repeat: bool) {
        let second = now.as_secs();
        self.seconds.retain(|s| s.0 + SPAN.as_secs() > second);
        if self.seconds.back().is_none_or(|s| s.0 != second) {
            self.seconds.push_back((second, 0, 0));
        }
        let last = self.seconds.back_mut().expect("just pushed");
        *(if repeat { &mut last.2 } else { &mut last.1 }) += 1;
    }

    fn handled(&mut self) {
        (self.failures, self.failing, self.untold) = (0, None, false);
    }

    /// Whether nothing was handled for longer than a limit's span.
    fn long(&self, now: Duration) -> bool {
        self.failing.is_some_and(|since| since + SHUT < now)
    }

    /// Refusals count once they last, where no answer tells of a limit. Against couriers that call too seldom
    /// to see two failures. May hold back calls that a limit would take.
    pub(crate) fn suspect(&self, now: Duration) -> bool {
        self.failures >= SUSPECT || self.untold && self.long(now)
    }

    /// Since when what is counted goes back, and the first tries and repeats since then.
    fn live(&self, now: Duration) -> (u64, u32, u32) {
        let live = self.seconds.iter().filter(|s| s.0 + SPAN.as_secs() > now.as_secs());
        let since = live.clone().next().map_or(now.as_secs(), |first| first.0);
        live.fold((since, 0, 0), |sum, s| (sum.0, sum.1 + s.1, sum.2 + s.2))
    }

    /// Sends a second of late, over `span` at least.
    fn rate(&self, now: Duration, span: Duration) -> f64 {
        let (since, firsts, repeats) = self.live(now);
        f64::from(firsts + repeats) / ((now.as_secs() - since + 1) as f64).max(span.as_secs_f64())
    }

    fn allows(&self, now: Duration) -> bool {
        let (_, firsts, repeats) = self.live(now);
        // Against the sum of many couriers' repeats at one that returns. May hold back a notice lost twice.
        let besides = if self.failures > 0 { REPEATS_UNANSWERED } else { REPEATS_PER_S * SPAN.as_secs_f64() };
        f64::from(repeats) < REPEAT_SHARE * f64::from(firsts) + besides
    }
}

/// Recent times of handled calls of one destination and grade; holds SAMPLES at most.
#[derive(Default)]
pub(crate) struct Latency {
    taken: VecDeque<(Duration, Duration)>,
    median: Option<Duration>,
    timed_out: u32,
}

impl Latency {
    fn handled(&mut self, now: Duration, took: Duration) {
        self.taken.push_back((now, took));
        self.taken.retain(|s| s.0 + RECENT > now);
        if self.taken.len() > SAMPLES {
            self.taken.pop_front();
        }
        let mut sorted: Vec<_> = self.taken.iter().map(|s| s.1).collect();
        sorted.sort();
        self.median = Some(sorted[sorted.len() / 2]);
        self.timed_out = 0;
    }

    fn usual(&self, now: Duration) -> Duration {
        let recent = self.taken.back().is_some_and(|s| s.0 + RECENT > now);
        self.median.filter(|_| recent).unwrap_or(UNKNOWN_CALL)
    }

    /// After how long a call of this kind is past its usual time.
    fn calm(&self) -> Duration {
        self.taken.iter().map(|s| s.1).max().unwrap_or(UNKNOWN_CALL).mul_f64(PATIENCE)
    }

    /// Longer after each time-out in a row, so that a slow one gets to answer. `least`, what others of its
    /// grade took, counts while little is known; `floor` is the part of the least patience that slots leave
    /// room for.
    fn patience(&self, least: Duration, floor: f64) -> Duration {
        let least = if self.taken.len() < FEW { least.max(LEAST_PATIENCE) } else { LEAST_PATIENCE };
        let calm = self.calm().max(least.mul_f64(floor));
        calm * 2u32.pow(self.timed_out.min(MOST_DOUBLINGS))
    }
}

/// Credits of one endpoint: spent by a send, earned back by an answer.
pub(crate) struct Credits {
    most: f64,
    spent: u32,
}

impl Credits {
    fn left(&self) -> i64 {
        self.most as i64 - i64::from(self.spent)
    }

    fn earned(&mut self, lost: bool) {
        if lost {
            self.most = (self.most / 2.0).max(1.0);
        } else if f64::from(self.spent) * 2.0 >= self.most {
            self.most = (self.most + 1.0 / self.most).min(MOST_CREDITS);
        }
        self.spent = self.spent.saturating_sub(1);
    }
}

impl Keep {
    fn new(idle_close: Duration, couriers: u32) -> Self {
        let least = idle_close / couriers.max(KEPT_BY) * KEPT_BY;
        Self { time: idle_close, least }
    }

    fn failed(&mut self) {
        self.time = (self.time / KEEP_CUT).max(self.least);
    }

    fn handled(&mut self, most: Duration) {
        self.time = self.time.mul_f64(1.0 + KEEP_GROWTH).min(most);
    }
}

impl Pace {
    fn rate(&self) -> Option<f64> {
        self.own.into_iter().chain(self.known).reduce(f64::min)
    }

    /// Against limits that refused calls use up too: `sent` a second by this courier was too much.
    fn refused(&mut self, sent: f64, couriers: u32) {
        let least = self.known.unwrap_or(TRIALS_PER_S) * OWN_LEAST / f64::from(couriers);
        self.own = Some((self.own.map_or(sent, |own| own.min(sent)) * OWN_CUT).max(least));
    }

    /// `left` is the share of the limit that the answer tells to be left.
    fn handled(&mut self, left: Option<f64>) {
        let grown = self.own.map(|own| own * (1.0 + OWN_GROWTH * left.unwrap_or(OWN_LEFT)));
        self.own = grown.filter(|own| *own < self.known.unwrap_or(f64::INFINITY));
    }

    fn fill(&mut self, now: Duration) {
        if let Some(rate) = self.rate() {
            let most = (rate * BURST.as_secs_f64()).max(1.0);
            self.saved = (self.saved + rate * (now - self.filled).as_secs_f64()).min(most);
        }
        self.filled = now;
    }

    /// The time until the next call may go.
    fn next(&self) -> Duration {
        self.rate().filter(|_| self.saved < 1.0).map_or(Duration::ZERO, |rate| until(1.0 - self.saved, rate))
    }
}

impl Return {
    /// Of what a warm destination takes, what it may get after `age`: a little over what it can do by then.
    fn share(&self, age: Duration) -> f64 {
        let warmth = (age.as_secs_f64() / self.warm_up.as_secs_f64().max(0.001)).min(1.0);
        let now = self.start + (1.0 - self.start) * warmth;
        (self.factor * RAMP_FACTOR).min(MOST_RAMP) * now
    }
}

impl Outage {
    /// The ration begins by chance under one: of many couriers with little work each, some send at once.
    fn new(health: Health, chance: f64, now: Duration) -> Self {
        let (zero, ration) = (Duration::ZERO, Ration { by_notice: chance, by_time: 0.0 });
        Self { health, share: 0.0, told: zero, answered: zero, ration, filled: now }
    }

    fn failed(&mut self, now: Duration, weight: f64) {
        self.share += (1.0 - self.share) * weight;
        self.told = now;
        if self.share > OUT_SHARE {
            self.health = Health::Out;
        } else if let Health::Cold { since } = &mut self.health {
            *since = now;
        }
    }

    fn handled(&mut self, now: Duration) {
        self.share *= 1.0 - FAIL_WEIGHT;
        self.answered = now;
        if self.health == Health::Out {
            self.returns(now);
        }
    }

    fn quiet(&self, now: Duration, began: Duration) -> bool {
        self.answered <= began && self.answered + LEAST_PATIENCE <= now
    }

    fn returns(&mut self, now: Duration) {
        self.share = self.share.min(BACK_SHARE);
        self.health = Health::Cold { since: now };
    }

    /// The share of the ration for `at`; one that stayed cold for the warm-up time without a failure is well.
    fn allowed(&mut self, at: Duration, ramp: Return) -> f64 {
        match self.health {
            Health::Cold { since } if at >= since + ramp.warm_up => self.health = Health::Well,
            Health::Cold { since } => return ramp.share(at.saturating_sub(since)),
            _ => {}
        }
        ramp.share(Duration::ZERO)
    }

    /// `part` calls/s are this courier's part of what the endpoint takes when warm, `trials` of its trials;
    /// the time until the ration is ready.
    fn fill(&mut self, now: Duration, ramp: Return, part: f64, trials: f64) -> Duration {
        let share = self.allowed((now + self.filled) / 2, ramp); // the ramp is straight
        let trials = if matches!(self.health, Health::Cold { .. }) { 0.0 } else { trials };
        let rate = (share * part).max(trials);
        self.ration.by_time = (self.ration.by_time + rate * (now - self.filled).as_secs_f64()).min(1.0);
        self.filled = now;
        if self.ration.ready() { Duration::ZERO } else { until(1.0 - self.ration.by_time, rate) }
    }

    /// One notice for its destination, of which `part` falls to this endpoint.
    fn handed_in(&mut self, now: Duration, ramp: Return, part: f64) {
        let share = self.allowed(now, ramp);
        self.ration.by_notice = (self.ration.by_notice + share * BY_NOTICE * part).min(1.0);
    }
}

impl Destination {
    /// All that may be sent to is out.
    fn out(&self) -> bool {
        let mut open = self.endpoints.values().filter(|e| e.listing == EndpointState::Available).peekable();
        open.peek().is_some() && open.all(|e| e.outage.health == Health::Out)
    }
}

/// An endpoint that may be sent to now; of those of a destination, the one of least rank is best.
struct Way {
    endpoint: String,
    zone: String,
    repeats: bool,
    kept: bool,                            // whether an idle connection to it is open
    joins: bool,                           // whether a call that begins just now has room for more notices
    rank: (bool, i64, i64, Duration, u32), // first, whether it is a trial
}

impl Dispatcher {
    /// An entry of the endpoint list, or a change of it.
    pub fn endpoint_updated(&mut self, update: EndpointUpdate) {
        let EndpointUpdate { name, zone, kind, destination: owner, state: listing, listed_rate: rate } =
            update;
        let route = if self.apart.contains(kind) { name } else { "" };
        let rate = rate.filter(|rate| *rate > 0.0 && self.listed != ListedRate::Absent);
        let known = rate.map(|rate| rate * LISTED_SLACK);
        let sure =
            rate.map(|rate| if self.listed == ListedRate::Approximate { rate / LISTED_SLACK } else { rate });
        let now = self.now;
        let destination = self.destinations.entry(owner).or_default();
        let fresh = || Route::new(Pace { known, sure, own: None, saved: 1.0, filled: now });
        let entry = destination.routes.entry(route.into()).or_insert_with(fresh);
        if !entry.reported {
            (entry.pace.known, entry.pace.sure) = (known, sure);
        }
        // Against taking a new endpoint of a destination that is out or cold for a way around that.
        let shared = route != name && !destination.endpoints.contains_key(name);
        let siblings = destination.endpoints.values().take_while(|_| shared).map(|e| e.outage.health);
        let health = siblings.clone().find(|h| *h == Health::Well).or_else(|| siblings.min());
        let endpoint = destination.endpoints.entry(name.into()).or_insert_with(|| Endpoint {
            zone: zone.into(),
            kind: kind.into(),
            place: self.rng.random(),
            route: route.into(),
            listing,
            credits: Credits { most: FIRST_CREDITS, spent: 0 },
            outage: Outage::new(health.unwrap_or(Health::Well), self.rng.random(), now),
            used: None,
            mates: (now, 0),
        });
        endpoint.listing = listing;
        self.left |= listing == EndpointState::Removed;
    }

    pub fn endpoint_list_failed(&mut self) {
        let register = &mut self.register;
        (register.asked, register.failures) = (false, register.failures + 1);
        let soon = self.now + ASK_BASE.mul_f64(self.rng.random());
        let period = register.every.mul_f64(self.rng.random_range(0.5..1.0));
        let later = self.now + gap(&mut self.rng, register.failures, ASK_BASE, CAP) + period;
        let last = register.began + ASK_WITHIN.mul_f64(self.rng.random_range(0.8..1.0));
        // Against more asks of all than it answers in time, so that none is. `last` is from begin to begin.
        register.next = if register.failures > 1 { later.min(last).max(soon) } else { soon };
    }

    /// A message was handed in.
    ///
    /// # Errors
    ///
    /// If its service class is unknown: then nothing was accepted.
    pub fn accept(&mut self, message: NewMessage) -> Result<(), UnknownServiceClass> {
        let NewMessage { id, service_class, ordering_key: key, deadline: limit, tenant, destination } =
            message;
        let grade = self.grades.iter().position(|g| g.0 == service_class).ok_or(UnknownServiceClass)?;
        let mut worth = self.grades[grade].1.value;
        let all: f64 = self.quotas.values().map(|quota| quota.rate).sum();
        self.quotas.values_mut().for_each(|quota| quota.handed_in(self.now, quota.rate / all));
        if let Some(quota) = tenant.and_then(|name| self.quotas.get_mut(name)) {
            worth *= if quota.covers() { 1.0 } else { self.over_share };
        }
        let key = key.filter(|_| self.grades[grade].1.ordered);
        if let Some(key) = key {
            self.turns.entry(key).or_default().line.push_back(id);
        }
        if let Some(to) = self.destinations.get_mut(&destination) {
            let open = to.endpoints.values().filter(|e| e.listing == EndpointState::Available).count().max(1);
            let (now, routes) = (self.now, &to.routes);
            let waits = |e: &Endpoint| routes.get(&e.route).is_some_and(|r| r.told > now);
            for e in to.endpoints.values_mut().filter(|e| !waits(e)) {
                e.outage.handed_in(now, self.ramp, 1.0 / open as f64);
            }
        }
        let limit = limit.min(self.now + self.grades[grade].1.deadline); // against limits that none may ask for
        self.held.insert(id, Held::new(grade, destination, key, limit, worth));
        self.fresh = Some(id);
        Ok(())
    }

    /// Against effects that happen twice across a restart: what was sent of a notice told just now.
    pub fn recover(&mut self, id: MessageId, attempts: RecoveredAttempts) {
        let sends = attempts.count;
        let ran = attempts.first_execution.map(|execution| (execution.started, execution.endpoint));
        let Some(destination) = self.held.get(&id).map(|held| held.destination) else { return };
        let ran = ran.map(|(at, name)| (at, self.zone_of(destination, name)));
        let Some(held) = self.held.get_mut(&id) else { return };
        (held.sends, held.may_have_run, held.left_over) = (sends, ran, sends == 0);
        let key = held.key.filter(|_| held.may_have_run.is_some());
        if let Some(turn) = key.and_then(|key| self.turns.get_mut(&key)) {
            (turn.rest, turn.rests_for) = (self.now + self.key_rest, Some(id));
        }
    }

    /// Asked before a call's first byte. Against waits and drains told while its connection was opened, which
    /// may also last until the notice is over or its mark forgotten. May hold back one that would be in time.
    pub fn may_begin(&self, id: MessageId, send: u32, now: Duration) -> bool {
        let Some(call) = self.calls.get(&(id, send)) else { return false };
        if self.held.get(&id).is_none_or(|held| now > self.last_start(held)) {
            return false;
        }
        let Some(endpoint) = self.endpoint(call.destination, &call.endpoint) else { return false };
        let told = self.destinations[&call.destination].routes[&endpoint.route].told;
        endpoint.listing == EndpointState::Available && told <= now
    }

    /// How a send ended; a report is the share of the limit that is left, and the limit in calls a second.
    pub fn attempt_ended(&mut self, result: AttemptResult) {
        let AttemptResult {
            message: id,
            attempt: send,
            outcome,
            duration: took,
            finished: over,
            load_report,
        } = result;
        let report = load_report.map(|report| (report.remaining_share, report.rate_limit));
        let Some(call) = self.calls.remove(&(id, send)) else { return };
        if !call.joined {
            self.judge(&call, outcome, took, report);
        }
        if let Some(turn) = call.key.and_then(|key| self.turns.get_mut(&key)) {
            turn.out.retain(|other| *other != id);
            if !outcome.never_executed()
                && !matches!(outcome, AttemptOutcome::Delivered | AttemptOutcome::Failed)
            {
                (turn.rest, turn.rests_for) = (self.now + self.key_rest, Some(id));
            }
        }
        if over {
            self.finish(id);
        }
        let zone = self.zone_of(call.destination, &call.endpoint);
        let Some(held) = self.held.get_mut(&id) else { return };
        held.out -= 1;
        held.failures += u32::from(outcome != AttemptOutcome::NotSent);
        held.crowded = outcome == AttemptOutcome::ConnectionLimit;
        held.refused =
            matches!(outcome, AttemptOutcome::Rejected { .. } | AttemptOutcome::AmbiguousRejection { .. });
        held.not_before = self.now + gap(&mut self.rng, held.failures, BASE, CAP);
        if !outcome.never_executed() && held.may_have_run.as_ref().is_none_or(|first| first.0 > call.started)
        {
            held.may_have_run = Some((call.started, zone));
        }
    }

    /// What one outcome says of its endpoint, its route and its destination.
    fn judge(&mut self, call: &Call, outcome: AttemptOutcome, took: Duration, report: Option<(f64, f64)>) {
        let Some(destination) = self.destinations.get_mut(&call.destination) else { return };
        let Some(endpoint) = destination.endpoints.get_mut(&call.endpoint) else { return };
        let Some(route) = destination.routes.get_mut(&endpoint.route) else { return };
        let latency = destination.latency.entry(call.grade).or_default();
        route.pace.fill(self.now);
        if let Some((_, rate)) = report.filter(|r| r.1 > 0.0) {
            (route.pace.known, route.pace.sure, route.reported) = (Some(rate), Some(rate), true);
        }
        let (before, suspect) = (endpoint.outage.health, route.repeats.suspect(self.now));
        // Whether the call got no answer, or is the first refused of several; how much it says of an outage.
        let (mut lost, mut shut, mut first, mut back, mut weight) = (false, false, false, false, 0.0);
        let keep = || Keep::new(self.idle_close, self.couriers);
        let keep = self.keeps.entry(endpoint.kind.clone()).or_insert_with(keep);
        match outcome {
            AttemptOutcome::Delivered => {
                keep.handled(self.idle_close);
                latency.handled(self.now, took);
                self.latencies.entry(call.grade).or_default().handled(self.now, took);
                self.again = (self.again + AGAIN).min(REPEATS_PER_S * SPAN.as_secs_f64());
                self.strays *= 1.0 - STRAYS;
                endpoint.outage.handled(self.now);
                (route.refusals, route.rounds) = (0, 0);
                route.pace.handled(report.map(|r| r.0));
                if before == Health::Out {
                    (route.trials, route.trial) = (0, self.now); // its siblings may be back too
                }
                if self.may_tell && (before == Health::Out || suspect) {
                    self.news.push((call.destination, endpoint.route.clone()));
                }
                back = route.repeats.failures >= SUSPECT && route.repeats.long(self.now);
                route.repeats.handled();
            }
            AttemptOutcome::Rejected { retry_after: wait }
            | AttemptOutcome::AmbiguousRejection { retry_after: wait } => {
                // Against a herd of all that were refused or told to wait together, where no answer tells of
                // the sum: a wait ends by chance up to as long again, the pace's next call is due within
                // twice its gap. May leave room unused after a wait.
                let chance = if route.reported { 1.0 } else { 2.0 * self.rng.random::<f64>() };
                route.pace.saved = route.pace.saved.min(0.0);
                if route.refusals == 0 {
                    route.refused = self.now;
                }
                route.refusals += 1;
                self.again = (self.again - AGAIN).max(0.0);
                if call.started >= route.rested {
                    (route.rounds, route.rested) = (route.rounds + 1, self.now); // those out together are one
                    // Answers that tell of a limit pace it; else one call is no rate of one a second.
                    let span = if route.reported { Duration::ZERO } else { self.falls_after };
                    route.pace.refused(route.repeats.rate(self.now, span), self.couriers);
                    route.pace.saved = 1.0 - chance;
                    route.closed = route.closed.max(self.now + gap(&mut self.rng, route.rounds, BASE, CAP));
                }
                route.told = route.told.max(self.now + wait.unwrap_or_default());
                let later = if route.reported { 0.0 } else { chance / 2.0 };
                route.closed = route.closed.max(route.told + wait.unwrap_or_default().mul_f64(later));
                shut = route.told > self.now + SHUT;
                if self.now > route.refused + SHUT {
                    weight = SILENT_WEIGHT;
                } else if call.started >= endpoint.outage.told {
                    weight = LOST_WEIGHT;
                }
                first = !route.reported && !route.repeats.untold;
                route.repeats.untold |= first;
                // Where answers tell of no limit, or so many came in a row, it is shut or its queue full.
                let no_limit = report.is_some_and(|(_, rate)| rate <= 0.0);
                route.repeats.failures += u32::from(no_limit || route.refusals >= STREAK);
                route.repeats.failures += if shut { SUSPECT } else { 0 };
            }
            AttemptOutcome::Failed => {
                weight = FAIL_WEIGHT;
                route.repeats.failures += 1;
            }
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionReset => {
                if outcome == AttemptOutcome::ConnectFailed {
                    keep.failed();
                }
                // Against taking calls that get lost one by one, as on a bad network, for an outage: where
                // others are just answered, or the connection stood, it says little. May delay a verdict.
                let refused =
                    outcome == AttemptOutcome::ConnectFailed && endpoint.outage.answered <= call.started;
                lost = refused
                    || outcome == AttemptOutcome::TimedOut && endpoint.outage.quiet(self.now, call.started);
                weight = if lost { SILENT_WEIGHT } else { LOST_WEIGHT };
                latency.timed_out += u32::from(lost && outcome == AttemptOutcome::TimedOut);
                let stray = !lost && outcome == AttemptOutcome::TimedOut;
                self.strays += if stray { STRAYS } else { 0.0 };
                route.repeats.failures += 1;
            }
            // Against many couriers' connections that fill an endpoint's table: it lives, and no limit is
            // reached. Another endpoint, or a table that others left, may take the next one.
            AttemptOutcome::ConnectionLimit => {
                keep.failed();
                endpoint.used = None;
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
        if !matches!(
            outcome,
            AttemptOutcome::Delivered
                | AttemptOutcome::ConnectionLimit
                | AttemptOutcome::Cancelled
                | AttemptOutcome::NotSent
        ) {
            route.repeats.failing = route.repeats.failing.or(Some(self.now));
        }
        endpoint.credits.earned(lost);
        if endpoint.credits.spent == 0
            && !matches!(outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionLimit)
            && !self.idle_close.is_zero()
        {
            self.idle.insert((call.destination, call.endpoint.clone()), self.now);
        }
        if weight > 0.0 {
            endpoint.outage.failed(self.now, weight);
        }
        let after = endpoint.outage.health;
        if after == Health::Out && outcome != AttemptOutcome::Delivered {
            route.trials += 1;
            let cap = if outcome.never_executed() { TRIAL_GAP } else { DEAR_TRIAL_GAP };
            route.trial = route.trial.max(self.now + trial_gap(&mut self.rng, route.trials, cap));
        }
        if std::mem::discriminant(&before) != std::mem::discriminant(&after) {
            let (name, owner) = (&call.endpoint, call.destination);
            self.lines.push(format!("{name} of destination {owner}: {before:?} -> {after:?}"));
        }
        let ejected = before == Health::Well && after == Health::Out;
        let begins = shut || first || ejected || !suspect && route.repeats.suspect(self.now);
        let Some(name) = (begins || back).then(|| endpoint.route.clone()) else { return };
        for e in destination.endpoints.values_mut().filter(|e| e.route == name) {
            // Against a herd at the end of a wait told by one that is shut: all its endpoints return cold.
            if shut {
                e.outage.failed(self.now, 1.0);
            }
            // Against all that waits at many couriers, released by the first call that each sees handled.
            if back && e.outage.health == Health::Well {
                e.outage.returns(self.now);
            }
            // Against budgets saved up while all was well: of many couriers each would send a call at once.
            if begins {
                (e.outage.ration, e.outage.filled) = (Ration::by_chance(&mut self.rng), self.now);
            }
        }
    }

    /// A route answered another courier. Against learning of a return courier by courier.
    pub fn gossip_received(&mut self, octets: &[u8]) {
        let Some((destination, route)) = gossip::read(octets) else { return };
        let Some(destination) = self.destinations.get_mut(&destination) else { return };
        let Some(repeats) = destination.routes.get_mut(route).map(|r| &mut r.repeats) else { return };
        for e in destination.endpoints.values_mut().filter(|e| e.route == route) {
            if e.outage.health == Health::Out
                || repeats.suspect(self.now) && e.outage.quiet(self.now, self.now)
            {
                e.outage.returns(self.now);
                e.outage.ration = Ration::by_chance(&mut self.rng);
            }
        }
        repeats.handled();
    }

    pub fn apply_rules(&mut self, driver: &mut dyn Driver) {
        self.lines.drain(..).for_each(|line| driver.log(&line));
        self.news.drain(..).for_each(|(to, route)| driver.broadcast(&gossip::of_return(to, &route)));
        while {
            self.due = Duration::MAX;
            self.ask_register(driver)
                || self.keep_folder(driver)
                || self.end_what_cannot_be_delivered(driver)
                || self.send_what_earns_most(driver)
                || self.keep_room(driver)
                || self.close_idle(driver)
        } {}
        self.keep_beat(driver);
    }

    pub fn timer_fired(&mut self) {
        self.beat = self.beat.filter(|at| *at > self.now);
    }

    fn ask_register(&mut self, driver: &mut dyn Driver) -> bool {
        let due = self.register.must_ask && !self.register.asked && self.register.next <= self.now;
        if due {
            (self.register.asked, self.register.began) = (true, self.now);
            driver.watch_endpoints();
        }
        due
    }

    fn usual(&self, destination: DestinationId, grade: usize) -> Duration {
        self.latency(destination, grade).map_or(UNKNOWN_CALL, |l| l.usual(self.now))
    }

    /// What `held` earns when handled at `at`.
    fn earns(&self, held: &Held, at: Duration) -> f64 {
        let grade = &self.grades[held.grade].1;
        held.worth * grade.value_share((at + grade.deadline).saturating_sub(held.limit))
    }

    /// The last moment at which another send of `held` may start, by its limit and its destination's memory.
    fn last_start(&self, held: &Held) -> Duration {
        let usual = self.usual(held.destination, held.grade);
        let by_limit = held.limit.saturating_sub(usual);
        match (&held.may_have_run, self.grades[held.grade].1.repeat_safety) {
            (None, _) | (_, RepeatSafety::Idempotent) => by_limit,
            // Against a repeat that arrives, or runs, once its mark is forgotten: as design.md has it for the
            // limit, the window must hold a usual call. May give up one that would have been in time.
            (Some(first), RepeatSafety::Deduplicated { window, .. }) => {
                by_limit.min((first.0 + window).saturating_sub(usual))
            }
            (Some(_), RepeatSafety::AtMostOnce) => Duration::ZERO,
        }
    }

    fn may_deny(&self, held: &Held) -> bool {
        match self.grades[held.grade].1.repeat_safety {
            RepeatSafety::Idempotent => true,
            RepeatSafety::Deduplicated { per_zone, .. } => held.may_have_run.is_none() || !per_zone,
            RepeatSafety::AtMostOnce => held.may_have_run.is_none(),
        }
    }

    fn answer(&mut self, id: MessageId, driver: &mut dyn Driver) {
        let Some(held) = self.held.get(&id) else { return };
        if self.may_deny(held) {
            let open = self.routes_of(held.destination).map(|r| r.told.max(r.trial)).min();
            let wait = open.unwrap_or_default().saturating_sub(self.now).min(self.longest_wait);
            driver.reject(id, (!wait.is_zero()).then_some(wait));
        } else {
            driver.abandon(id);
        }
        self.finish(id);
    }

    fn end_what_cannot_be_delivered(&mut self, driver: &mut dyn Driver) -> bool {
        let lost = self.held.iter().find(|(_, held)| {
            held.out == 0
                && (held.sends >= self.most_sends
                    || self.now.max(held.not_before).max(self.told(held.destination)) > self.last_start(held))
        });
        let Some((&id, _)) = lost else {
            let ends =
                self.held.values().filter(|held| held.out == 0).map(|held| self.last_start(held)).min();
            self.due = self.due.min(ends.unwrap_or(Duration::MAX));
            return false;
        };
        self.answer(id, driver);
        true
    }

    /// Whether a call out so long tells of a slow destination. Against taking calls lost one by one for that,
    /// where later ones are answered in their usual time. May tell late of one that is slow now and then.
    fn slow(&self, call: &Call) -> bool {
        let long = |took| took > self.usual(call.destination, call.grade).mul_f64(SLOW);
        let last = || self.latency(call.destination, call.grade).and_then(|l| l.taken.back());
        let endpoint = || self.endpoint(call.destination, &call.endpoint);
        let answers = || endpoint().is_some_and(|e| e.outage.answered > call.started);
        long(self.now - call.started) && (!answers() || last().is_some_and(|last| long(last.1)))
    }

    /// Slots taken: notices that travel in one call take one together.
    fn busy(&self) -> usize {
        if self.batches.is_empty() {
            return self.calls.len();
        }
        let calls: BTreeSet<_> = self.calls.values().map(|call| (&call.endpoint, call.started)).collect();
        calls.len()
    }

    /// The calls out to each destination, and whether it is sick: slow, or all its endpoints are out.
    fn calls_out(&self) -> BTreeMap<DestinationId, (usize, bool)> {
        let (mut out, mut seen) = (BTreeMap::new(), BTreeSet::new());
        for call in self.calls.values() {
            let entry: &mut (usize, bool) = out.entry(call.destination).or_default();
            entry.0 += usize::from(seen.insert((&call.endpoint, call.started)));
            entry.1 = entry.1 || self.slow(call);
        }
        for (id, entry) in &mut out {
            entry.1 |= self.destinations.get(id).is_some_and(Destination::out);
        }
        out
    }

    /// The endpoints of a destination that may be sent to now, best first.
    fn doors(
        &mut self,
        id: DestinationId,
        out: &BTreeMap<DestinationId, (usize, bool)>,
        slots_out: bool,
    ) -> Vec<Way> {
        let Some(destination) = self.destinations.get_mut(&id) else { return Vec::new() };
        let (calls, slow) = out.get(&id).copied().unwrap_or_default();
        let sick_calls: usize = out.values().filter(|o| o.1).map(|o| o.0).sum();
        let sick = slow || destination.out();
        let share_out = calls >= self.slots.part(SHARE) || sick && sick_calls >= self.slots.part(SICK_SHARE);
        let full = slots_out || share_out;
        let open = destination.endpoints.values().filter(|e| e.listing == EndpointState::Available).count();
        let mut ways = Vec::new();
        for (name, e) in
            destination.endpoints.iter_mut().filter(|(_, e)| e.listing == EndpointState::Available)
        {
            let Some(route) = destination.routes.get_mut(&e.route) else { continue };
            route.pace.fill(self.now);
            let part = route.pace.sure.unwrap_or(FIRST_COLD_RATE) / f64::from(self.couriers);
            let trials = TRIALS_PER_S / f64::from(self.couriers);
            e.outage.filled = e.outage.filled.max(route.told.min(self.now)); // a wait earns nothing
            let earned = e.outage.fill(self.now, self.ramp, part / open as f64, trials / open as f64);
            let trial = e.outage.health == Health::Out;
            // Against many couriers that each see too little for a verdict. May slow one that loses some.
            let suspect = route.repeats.suspect(self.now);
            let sound = e.outage.health == Health::Well && !suspect;
            let opens = route.told.max(route.closed).max(self.now + route.pace.next());
            let opens = opens.max(if sound { self.now } else { self.now + earned });
            let opens = opens.max(if trial { route.trial } else { self.now });
            // Where calls are what is limited: what waits for the same endpoint goes along, at no cost to it.
            // May lose all in one call.
            let joins = e.mates.0 == self.now && e.mates.1 > 0 && !trial && route.told <= self.now;
            if !joins && (full || opens > self.now || e.credits.left() <= 0) {
                self.due = if opens > self.now { self.due.min(opens) } else { self.due };
                continue;
            }
            let toll = (self.tolls.get(&e.zone).unwrap_or(&0.0) * 1e6) as i64;
            let idle = e.used.map_or(Duration::MAX, |at| self.now - at); // the last used has a connection
            let doubt = (e.outage.share * DOUBT) as i64;
            let load = i64::from(e.credits.spent) + AWAY * i64::from(e.zone != self.zone) + doubt;
            let rank = (trial, toll, if joins { i64::MIN } else { load }, idle, e.place);
            let repeats = joins || route.repeats.allows(self.now);
            let (at, zone) = ((id, name.clone()), e.zone.clone());
            let kept = self.idle.contains_key(&at);
            ways.push(Way { endpoint: at.1, zone, repeats, kept, joins, rank });
        }
        ways.sort_by_key(|way| way.rank);
        ways
    }

    fn way<'a>(&self, id: MessageId, held: &Held, ways: &'a [Way]) -> Option<&'a Way> {
        let has_turn = |key| self.turns.get(&key).is_some_and(|turn| turn.has(id, self.now));
        let due = held.not_before <= self.now;
        let ready = held.out == 0 && (due || held.crowded) && held.sends < self.most_sends;
        if !ready || !held.key.is_none_or(has_turn) || self.last_start(held) < self.now {
            return None;
        }
        let one_zone = matches!(
            self.grades[held.grade].1.repeat_safety,
            RepeatSafety::Deduplicated { per_zone: true, .. }
        );
        let zone = held.may_have_run.as_ref().filter(|_| one_zone).map(|first| &first.1);
        // Against limits that refused calls use up, where each is priced: the sum of all couriers' repeats
        // takes the room of first tries. May end a notice that a repeat would have saved.
        let again = |w: &Way| !held.refused || w.joins || self.refusal_price <= 0.0 || self.again >= 1.0;
        // What found no room for a connection needs none of its own. Against tables that all couriers fill.
        ways.iter().filter(|w| due || w.kept).find(|w| {
            (held.sends == 0 || w.repeats && again(w) || w.rank.0) && zone.is_none_or(|zone| *zone == w.zone)
        })
    }

    fn send_what_earns_most(&mut self, driver: &mut dyn Driver) -> bool {
        let slots_out = self.busy() >= self.slots.most;
        if slots_out && self.batches.is_empty() || self.held.is_empty() {
            return false;
        }
        let kept = |to| self.idle.range((to, String::new())..).next().is_some_and(|(at, _)| at.0 == to);
        let goes = |held: &Held| held.not_before <= self.now || held.crowded && kept(held.destination);
        let waiting = self.held.values().filter(|held| held.out == 0 && goes(held));
        let waiting: BTreeSet<_> = waiting.map(|held| held.destination).collect();
        let out = self.calls_out();
        let doors = waiting.into_iter().map(|id| (id, self.doors(id, &out, slots_out)));
        let doors: BTreeMap<_, _> = doors.collect();
        let mut best: Option<(_, MessageId, &Way)> = None;
        for (id, held) in &self.held {
            let Some(ways) = doors.get(&held.destination) else { continue };
            let Some(way) = self.way(*id, held, ways) else { continue };
            let usual = self.usual(held.destination, held.grade);
            let earns = self.earns(held, self.now + usual);
            let grade = &self.grades[held.grade].1;
            let again = u8::from(grade.repeat_safety == RepeatSafety::Idempotent);
            let safe = if !way.rank.0 { 3 } else { held.may_have_run.as_ref().map_or(again, |_| 2) };
            let due = (held.limit + grade.soft_deadline).saturating_sub(grade.deadline);
            // Against what a restart left over, late by then and of little earnings, waiting untried behind
            // all that is new until its time is over. May delay what earns more, by one call each.
            let earns = (earns * 1e6 / usual.as_secs_f64().max(LEAST_CALL)) as i64;
            let rank = (safe, held.left_over, earns, Reverse(due));
            if best.as_ref().is_none_or(|(top, ..)| rank > *top) {
                best = Some((rank, *id, way));
            }
        }
        let Some((_, id, way)) = best else {
            let later = self.held.values().map(|held| held.not_before).filter(|at| *at > self.now);
            let rests = self.turns.values().map(|turn| turn.rest).filter(|at| *at > self.now);
            self.due = later.chain(rests).min().map_or(self.due, |at| at.min(self.due));
            return false;
        };
        self.send(id, &way.endpoint.clone(), way.rank.0, driver);
        true
    }

    fn send(&mut self, id: MessageId, name: &str, trial: bool, driver: &mut dyn Driver) {
        let now = self.now;
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(destination) = self.destinations.get_mut(&held.destination) else { return };
        let Some(endpoint) = destination.endpoints.get_mut(name) else { return };
        let Some(route) = destination.routes.get_mut(&endpoint.route) else { return };
        let latency = destination.latency.entry(held.grade).or_default();
        // Against lost answers that hold all slots. May give up one that turns slow in the midst of that.
        let busy = self.calls.values().filter(|call| !call.joined).count().min(self.slots.most);
        let free = (1.0 - busy as f64 / self.slots.most as f64).max(1.0 - self.strays / STRAYS);
        let left = held.limit.saturating_sub(now);
        let binding = self.grades[held.grade].1.repeat_safety == RepeatSafety::AtMostOnce;
        let joined = endpoint.mates.0 == now && endpoint.mates.1 > 0;
        let others = self.latencies.get(&held.grade).map_or(Duration::ZERO, Latency::calm);
        // A binding notice that is given up is lost: it waits for its answer while slots are free.
        let least = if binding { others.max(left) } else { others };
        let patience = latency.patience(least, free).min(left);
        driver.start_attempt(id, name, patience);
        if joined {
            endpoint.mates.1 -= 1;
        } else {
            let most = self.batches.get(&endpoint.kind).copied().unwrap_or(1);
            endpoint.mates = (now, most.saturating_sub(1));
            route.repeats.count(now, held.sends > 0);
            self.again -= if held.refused { self.again.min(1.0) } else { 0.0 };
            route.pace.saved -= 1.0;
            endpoint.credits.spent += 1;
        }
        if trial {
            route.trials += 1;
            route.trial = now + trial_gap(&mut self.rng, route.trials, TRIAL_GAP);
        }
        self.idle.remove(&(held.destination, name.to_owned()));
        if !joined && (endpoint.outage.health != Health::Well || route.repeats.suspect(self.now)) {
            endpoint.outage.ration.spend();
        }
        endpoint.used = Some(now);
        let (destination, endpoint, grade, key) = (held.destination, name.into(), held.grade, held.key);
        self.calls.insert((id, held.sends), Call { destination, endpoint, grade, key, started: now, joined });
        if let Some(turn) = held.key.and_then(|key| self.turns.get_mut(&key)) {
            turn.out.push(id);
        }
        held.sends += 1;
        held.out += 1;
        held.left_over = false;
    }

    /// The lasting folder is short: what was handed in just now is not taken on.
    fn keep_folder(&mut self, driver: &mut dyn Driver) -> bool {
        let Some(id) = self.fresh.take().filter(|_| self.folder_room == 0) else { return false };
        self.answer(id, driver);
        true
    }

    /// Room short: the one that earns least goes, so that it is not chance that turns the next one away.
    fn keep_room(&mut self, driver: &mut dyn Driver) -> bool {
        let spare = ((self.room as f64 * SPARE_ROOM) as usize).max(1);
        if self.held.len().saturating_add(spare) <= self.room {
            return false;
        }
        let waiting = self.held.iter().filter(|(_, held)| held.out == 0 && self.may_deny(held));
        let least = waiting.min_by(|a, b| {
            let earns = |held: &Held| self.earns(held, self.now + self.usual(held.destination, held.grade));
            let order = a.1.left_over.cmp(&b.1.left_over); // what a restart left over goes last
            order.then(earns(a.1).total_cmp(&earns(b.1))).then(b.0.cmp(a.0))
        });
        let Some(id) = least.map(|(id, _)| *id) else { return false };
        self.answer(id, driver);
        if self.logged.is_none_or(|at| at + LOG_GAP <= self.now) {
            self.logged = Some(self.now);
            driver.log(&format!("room short: {} held, {} out", self.held.len(), self.calls.len()));
        }
        true
    }

    fn kept(&self, destination: DestinationId, name: &str, since: Duration) -> Duration {
        let keep = self.endpoint(destination, name).and_then(|e| self.keeps.get(&e.kind));
        since.saturating_add(keep.map_or(Duration::ZERO, |keep| keep.time)).saturating_sub(self.now)
    }

    fn close_idle(&mut self, driver: &mut dyn Driver) -> bool {
        let Some(least) = self.keeps.values().map(|keep| keep.time).min() else { return false };
        let over = |(at, since): &(&(DestinationId, String), &Duration)| {
            **since + least <= self.now && self.kept(at.0, &at.1, **since).is_zero()
        };
        let Some(at) = self.idle.iter().find(over).map(|(at, _)| at.clone()) else { return false };
        self.idle.remove(&at);
        if let Some(endpoint) = self.destinations.get_mut(&at.0).and_then(|d| d.endpoints.get_mut(&at.1)) {
            endpoint.used = None;
            driver.close_idle_connections(&at.1);
        }
        true
    }

    fn keep_beat(&mut self, driver: &mut dyn Driver) {
        let waits = self.held.values().any(|held| held.out == 0);
        let waits = waits.then(|| self.due.saturating_sub(self.now).min(LOOK));
        let asks = self.register.must_ask && !self.register.asked;
        let asks = asks.then(|| self.register.next.saturating_sub(self.now));
        let kept = || self.idle.iter().map(|(at, since)| self.kept(at.0, &at.1, *since)).min();
        let Some(wait) = waits.or_else(kept).into_iter().chain(asks).min() else { return };
        // Whole steps and a new one for one that is past: against a wake-up that a host's coarser clock
        // brings a little early, taken for none, and no other asked for. May ask for one too many.
        let wait = ms(wait.max(BEAT).as_millis() as u64 + 1);
        if self.beat.is_none_or(|at| at <= self.now || at > self.now + wait) {
            self.beat = Some(self.now + wait);
            driver.set_timer(wait);
        }
    }
}

#[cfg(test)]
#[path = "policy_tests.rs"]
mod tests;
