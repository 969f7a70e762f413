//! What each role needs at the target, worked out from the kept runs, beside its limit and the mechanism that carries it.

use super::evidence::{Evidence, Figure};
use super::target::{self, *};
use crate::scale::short;
use quillhub_scale::figure;
use quillhub_scale::plan::Slope::{self, Backlog, Changes, Destinations, Instances};
use quillhub_server::MAX_LIST_BYTES;

/// Microseconds of a second.
const US: f64 = 1e6;
/// Network of one machine, in bytes a second: ten gigabits, the least that is usual in a data centre today.
const NETWORK: f64 = 1.25e9;
/// Memory of an instance's machine for it, in MB: four gigabytes a core, as usual machines have.
const MEMORY_MB: f64 = 4_096.0;
/// Descriptors of an instance, as its configuration names them in the runs.
const DESCRIPTORS: f64 = 4_096.0;
/// Share of the messages offered that must be delivered for a size to count as carried.
const ALL: f64 = 0.99;

/// A part of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes messages and delivers them.
    Courier,
    /// Discovery and the machines set aside for control.
    Control,
    /// Takes final outcomes.
    Platform,
    /// The destinations.
    Endpoints,
    /// Whoever hands in messages.
    Clients,
    /// What the operators watch and measure with.
    Tools,
    /// All of it on a bad day.
    Failures,
}

impl Role {
    /// In the order of the page.
    pub const ALL: [Role; 7] = [
        Self::Courier,
        Self::Control,
        Self::Platform,
        Self::Endpoints,
        Self::Clients,
        Self::Tools,
        Self::Failures,
    ];

    /// Name of its block on the page.
    pub fn block(self) -> &'static str {
        match self {
            Self::Courier => "courier",
            Self::Control => "control",
            Self::Platform => "platform",
            Self::Endpoints => "endpoints",
            Self::Clients => "clients",
            Self::Tools => "tools",
            Self::Failures => "failures",
        }
    }
}

/// What a need may not go over.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// In the unit of the need.
    pub value: f64,
    /// Who set it.
    pub source: &'static str,
}

const OPERATORS: &str = "operators";
const ONE_CORE: Limit = Limit { value: 1.0, source: "one thread" };

/// Whether the mechanism stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Within the limit in kept runs, or by a fit of them that holds.
    Carries,
    /// Within the limit as far as is measured, and no further.
    NotShown,
    /// Over the limit; nothing carries it.
    Missing,
    /// Nothing limits it that is known.
    Unlimited,
}

impl Status {
    /// In words.
    pub fn name(self) -> &'static str {
        match self {
            Self::Carries => "carries today",
            Self::NotShown => "not shown",
            Self::Missing => "missing",
            Self::Unlimited => "no limit set",
        }
    }
}

/// One need of one role.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// Whose.
    pub role: Role,
    /// Of what, with unit.
    pub what: &'static str,
    /// Each step of the arithmetic.
    pub steps: String,
    /// How much.
    pub need: f64,
    /// Whether that is all, or only a lower bound.
    pub firm: bool,
    /// Nothing if nobody set one.
    pub limit: Option<Limit>,
    /// What carries it, or would.
    pub mechanism: &'static str,
    /// The runs it rests on; empty for arithmetic on the target alone.
    pub runs: Vec<String>,
}

impl Need {
    fn of(role: Role, what: &'static str, found: Figure) -> Self {
        let Figure { value, steps, firm, run } = found;
        let runs = if run.is_empty() { Vec::new() } else { vec![run] };
        Self { role, what, steps, need: value, firm, limit: None, mechanism: "", runs }
    }

    fn plain(role: Role, what: &'static str, need: f64, steps: String) -> Self {
        Self::of(role, what, Figure { value: need, steps, firm: true, run: String::new() })
    }

    /// Multiplied, with the step named.
    fn times(mut self, factor: f64, named: &str) -> Self {
        self.need *= factor;
        self.steps = format!("{}; x {named} = {}", self.steps, short(self.need));
        self
    }

    fn plus(mut self, other: Figure, factor: f64, named: &str) -> Self {
        self.need += other.value * factor;
        self.firm &= other.firm;
        self.steps = format!("{}; + {} x {named} = {}", self.steps, other.steps, short(self.need));
        self.runs.push(other.run);
        self
    }

    fn under(mut self, limit: Limit) -> Self {
        self.limit = Some(limit);
        self
    }

    fn by(mut self, mechanism: &'static str) -> Self {
        self.mechanism = mechanism;
        self
    }

    /// Need over limit.
    pub fn ratio(&self) -> Option<f64> {
        self.limit.as_ref().map(|limit| self.need / limit.value)
    }

    /// As the figures have it.
    pub fn status(&self) -> Status {
        match self.ratio() {
            None => Status::Unlimited,
            Some(ratio) if ratio > 1.0 => Status::Missing,
            Some(_) if !self.firm => Status::NotShown,
            Some(_) => Status::Carries,
        }
    }
}

fn operators(value: f64) -> Limit {
    Limit { value, source: OPERATORS }
}

fn estimate(value: f64, source: &'static str) -> Limit {
    Limit { value, source }
}

const PLACEMENT: &str = "placement: each courier knows a share of the destinations";
const DURABLE_BACKLOG: &str = "durable backlog with a bounded working set";
const MODULE: &str = "the decision module and its host";
const WATCH: &str = "the watch on discovery";

/// All needs, in the order of the page.
pub fn all(evidence: &Evidence) -> Result<Vec<Need>, String> {
    let parts = [courier, backlog, control, platform, endpoints, clients, tools, failures];
    let rows: Result<Vec<_>, _> = parts.iter().map(|part| part(evidence)).collect();
    Ok(rows?.concat())
}

/// Processor time of the messages of one instance, in cores, at `rate` a second.
fn cores(
    evidence: &Evidence,
    role: Role,
    what: &'static str,
    slope: Slope,
    size: f64,
    rate: f64,
) -> Result<Need, String> {
    let found = evidence.at(slope, figure::MESSAGE_US, size)?;
    let named = format!("{} messages a second / 1e6 us", short(rate));
    Ok(Need::of(role, what, found).times(rate / US, &named).under(ONE_CORE))
}

fn courier(evidence: &Evidence) -> Result<Vec<Need>, String> {
    let (role, rate) = (Role::Courier, target::rate(COURIERS));
    let at = |slope, name, size| evidence.at(slope, name, size);
    let need = |what, slope, name, size| Ok::<_, String>(Need::of(role, what, at(slope, name, size)?));
    let control = |what, size| {
        Ok::<_, String>(
            need(what, Destinations, figure::MEMORY_MB, size)?.under(operators(CONTROL_MEMORY_MB)),
        )
    };
    let idle = |what, slope, size| {
        let found = need(what, slope, figure::IDLE_PERCENT, size)?;
        Ok::<_, String>(found.under(operators(CONTROL_CPU_PERCENT)))
    };
    let change_bytes = evidence.each(Changes, figure::CONTROL_BYTES)?;
    let changes_per_hour = CHANGES_PER_DAY / DAY_H;
    Ok(vec![
        cores(evidence, role, "processor, all destinations known, cores", Destinations, DESTINATIONS, rate)?
            .by(PLACEMENT),
        cores(evidence, role, "processor, a share of 740 known, cores", Destinations, SHARE, rate)?
            .by(MODULE),
        control("memory, all destinations known, MB", DESTINATIONS)?.by(PLACEMENT),
        control("memory, a share of 740 known, MB", SHARE)?.by(MODULE),
        idle("idle processor, all destinations known, % of a core", Destinations, DESTINATIONS)?
            .by(PLACEMENT),
        idle("idle processor, a share of 740 known, % of a core", Destinations, SHARE)?.by(MODULE),
        idle("idle processor beside 1,300 couriers, % of a core", Instances, COURIERS)?.by(MODULE),
        need("control, bytes a second", Instances, figure::CONTROL_BYTES, COURIERS)?
            .plus(change_bytes, changes_per_hour, "71 changes an hour")
            .under(operators(CONTROL_BYTES_PER_S))
            .by(WATCH),
        need("control, packets a second", Instances, figure::CONTROL_PACKETS, COURIERS)?.by(WATCH),
        need("the whole list, bytes of one line", Destinations, figure::LIST_BYTES, DESTINATIONS)?
            .under(Limit { value: MAX_LIST_BYTES as f64, source: "discovery.rs, MAX_LIST_BYTES" })
            .by(PLACEMENT),
        need("the whole list, s of its control bytes", Destinations, figure::LIST_BYTES, DESTINATIONS)?
            .times(1.0 / CONTROL_BYTES_PER_S, "1 / 6,000 bytes a second")
            .under(operators(IN_FORCE_S))
            .by(PLACEMENT),
        need("the list of a share of 740, s of its control bytes", Destinations, figure::LIST_BYTES, SHARE)?
            .times(1.0 / CONTROL_BYTES_PER_S, "1 / 6,000 bytes a second")
            .under(operators(IN_FORCE_S))
            .by("a list in parts, or by differences"),
        need("ready, all destinations known, s", Destinations, figure::READY_S, DESTINATIONS)?
            .under(operators(READY_S))
            .by(PLACEMENT),
    ])
}

fn backlog(evidence: &Evidence) -> Result<Vec<Need>, String> {
    let (role, held, rate) = (Role::Courier, target::backlog_each(), target::rate(COURIERS));
    let need = |what, name| Ok::<_, String>(Need::of(role, what, evidence.at(Backlog, name, held)?));
    let carried = evidence.largest(Backlog, figure::DELIVERED, ALL * rate)?;
    let steps = format!("6.6e9 / 1,300 = {}; {}", short(held), carried.steps);
    let mut messages = Need::plain(role, "messages held while all others are delivered", held, steps);
    messages.runs.push(carried.run);
    let carried = Limit { value: carried.value, source: "the largest that is carried" };
    Ok(vec![
        messages.under(carried).by(DURABLE_BACKLOG),
        cores(evidence, role, "processor beside the full backlog, cores", Backlog, held, rate)?
            .by(DURABLE_BACKLOG),
        need("handing in a message of the full backlog, cores", figure::FILL_US)?
            .times(rate / US, "423 messages a second / 1e6 us")
            .under(ONE_CORE)
            .by(DURABLE_BACKLOG),
        need("memory with the full backlog, MB", figure::MEMORY_MB)?
            .under(estimate(MEMORY_MB, "estimate: 4 GB a core, as usual machines have"))
            .by(DURABLE_BACKLOG),
        need("idle processor with the full backlog, % of a core", figure::IDLE_PERCENT)?
            .under(estimate(100.0, "one thread"))
            .by(DURABLE_BACKLOG),
        need("ready after a kill with the full backlog, s", figure::READY_AGAIN_S)?
            .under(operators(READY_S))
            .by(DURABLE_BACKLOG),
        need("state directory with the full backlog, MB", figure::STATE_MB)?.by(DURABLE_BACKLOG),
    ])
}

fn control(evidence: &Evidence) -> Result<Vec<Need>, String> {
    let role = Role::Control;
    let need = |what, name| Ok::<_, String>(Need::of(role, what, evidence.at(Instances, name, COURIERS)?));
    let changes_per_s = CHANGES_PER_DAY / DAY_S;
    let machines = || Limit { value: CONTROL_MACHINES, source: "operators: machines, taken as a core each" };
    Ok(vec![
        need("connections of discovery", figure::CONNECTIONS)?
            .under(estimate(CONTROL_MACHINES * 20_000.0, "estimate: 20,000 descriptors a machine"))
            .by(WATCH),
        need("bytes a second while nothing changes", figure::DISCOVERY_BYTES)?
            .under(estimate(CONTROL_MACHINES * NETWORK, "estimate: 10 Gbit/s a machine"))
            .by(WATCH),
        need("processor while nothing changes, cores", figure::DISCOVERY_US)?
            .times(1.0 / US, "1 / 1e6 us")
            .under(machines())
            .by(WATCH),
        need("bytes of the day's changes told to all, a second", figure::CHANGE_BYTES)?
            .times(changes_per_s, "1,700 / 86,400 changes a second")
            .under(estimate(CONTROL_MACHINES * NETWORK, "estimate: 10 Gbit/s a machine"))
            .by(WATCH),
        need("processor of the day's changes, cores", figure::CHANGE_MS)?
            .times(changes_per_s / 1e3, "1,700 / 86,400 changes a second / 1e3 ms")
            .under(machines())
            .by(WATCH),
        need("a change in force at the last courier, s", figure::CALM_WORST_S)?
            .under(operators(IN_FORCE_S))
            .by(WATCH),
        need("the same while a tenth restarts, s", figure::RESTARTING_WORST_S)?
            .under(operators(IN_FORCE_S))
            .by(WATCH),
    ])
}

fn platform(evidence: &Evidence) -> Result<Vec<Need>, String> {
    let role = Role::Platform;
    let finals = MESSAGES_PER_S * DOWN;
    let steps =
        format!("{} messages a second x {} down = {}", short(MESSAGES_PER_S), short(DOWN), short(finals));
    let bytes = evidence.at(Instances, figure::RESTART_PLATFORM_BYTES, COURIERS)?;
    Ok(vec![
        Need::plain(
            role,
            "final outcomes a second, if all for a destination that is down fail",
            finals,
            steps,
        )
        .by("calls of up to 64 outcomes each"),
        Need::of(role, "bytes a second, one outcome a call", bytes)
            .times(finals / COURIERS, "6,050 outcomes a second / 1,300 in the run")
            .under(estimate(NETWORK, "estimate: 10 Gbit/s, one machine"))
            .by("calls of up to 64 outcomes each"),
    ])
}

fn endpoints(_: &Evidence) -> Result<Vec<Need>, String> {
    let role = Role::Endpoints;
    let each = MESSAGES_PER_S / DESTINATIONS;
    let share = COURIERS * SHARE / DESTINATIONS;
    let kept = (DESCRIPTORS - 64.0) / 4.0;
    Ok(vec![
        Need::plain(
            role,
            "messages a second of one destination",
            each,
            format!("550,000 / 320,000 = {}", short(each)),
        ),
        Need::plain(
            role,
            "connections to one destination, all couriers serve it",
            COURIERS,
            "1,300 couriers x 1 connection".into(),
        )
        .by(PLACEMENT),
        Need::plain(
            role,
            "connections to one destination, shares of 740",
            share,
            format!("1,300 x 740 / 320,000 = {}", short(share)),
        )
        .by(PLACEMENT),
        Need::plain(
            role,
            "connections that a courier would keep, shares of 740",
            SHARE,
            format!("740 against (4,096 - 64) / 4 = {} that it may keep idle", short(kept)),
        )
        .under(Limit { value: kept, source: "architecture.md, Bounds, with 4,096 descriptors" })
        .by("`limits.sockets` of the configuration; the oldest idle one closes"),
    ])
}

fn clients(evidence: &Evidence) -> Result<Vec<Need>, String> {
    let role = Role::Clients;
    let carried = evidence.carried()?;
    let taken = |what, couriers: f64| {
        let rate = target::rate(couriers);
        let steps = format!("550,000 / {} = {}; {}", short(couriers), short(rate), carried.steps);
        let mut need = Need::plain(role, what, rate, steps).by(MODULE);
        need.runs.push(carried.run.clone());
        need.under(Limit { value: carried.value, source: "the highest rate carried" })
    };
    Ok(vec![
        taken("messages a second of one courier", COURIERS),
        taken("the same with a region cut off", COURIERS / 2.0),
    ])
}

fn tools(_: &Evidence) -> Result<Vec<Need>, String> {
    let role = Role::Tools;
    let lines = COURIERS;
    Ok(vec![
        Need::plain(role, "logs to be read side by side", lines, "1,300 couriers x 1 log".into())
            .by("a view over all couriers, which is not there"),
    ])
}

fn failures(evidence: &Evidence) -> Result<Vec<Need>, String> {
    let role = Role::Failures;
    let share = |what, couriers| {
        let need = cores(evidence, role, what, Destinations, SHARE, target::rate(couriers))?;
        Ok::<_, String>(need.by(MODULE))
    };
    let need = |what, name| Ok::<_, String>(Need::of(role, what, evidence.at(Instances, name, COURIERS)?));
    let list = evidence.at(Destinations, figure::LIST_BYTES, DESTINATIONS)?;
    let drained = target::rate(COURIERS) + target::backlog_each() / DAY_S;
    let message = evidence.at(Destinations, figure::MESSAGE_US, SHARE)?;
    Ok(vec![
        share("3 machines down, 424 a second each, cores", COURIERS - MACHINES_DOWN)?,
        share("a zone out, 494 a second each, cores", COURIERS * (ZONES - 1.0) / ZONES)?,
        share("a region cut off, 846 a second each, cores", COURIERS / 2.0)?,
        Need::of(role, "the rate of draining the full backlog within a day, beside all else, cores", message)
            .times(drained / US, "(423 + 5.077e6 / 86,400 s) a second / 1e6 us")
            .under(ONE_CORE)
            .by(MODULE),
        need("restart of all at once, 20 destinations, s", figure::RESTART_S)?
            .under(operators(READY_S))
            .by(WATCH),
        need("restart of all at once, control processor, core seconds", figure::RESTART_CPU_S)?
            .under(estimate(CONTROL_MACHINES * READY_S, "operators: 20 machines for 10 s"))
            .by(WATCH),
        Need::of(role, "restart of all at once, the whole list to each, s of the network", list)
            .times(COURIERS / (CONTROL_MACHINES * NETWORK), "1,300 / (20 x 1.25e9 bytes a second)")
            .by(PLACEMENT),
    ])
}
