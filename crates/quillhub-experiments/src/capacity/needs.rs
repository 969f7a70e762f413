//! Needs of each role at the operators' target, computed from the kept results, with the limit of each need and the
//! mechanism that satisfies it.

use super::evidence::{Evidence, Figure};
use super::target::{self, *};
use crate::scale::short;
use quillhub_scale::figure;
use quillhub_scale::plan::Slope::{self, Backlog, Changes, Destinations, Instances};
use quillhub_server::MAX_LIST_BYTES;

/// Number of microseconds per second.
const US_PER_S: f64 = 1e6;
/// Network capacity of one machine in bytes per second: 10 Gbit/s, the minimum that is usual in a data centre today.
const NETWORK_BYTES_PER_S: f64 = 1.25e9;
/// Memory of a machine that is available to one instance, in MB: 4 GB per core, as machines usually have.
const MEMORY_MB: f64 = 4_096.0;
/// Number of file descriptors of an instance, as configured in the scale tests.
const DESCRIPTORS: f64 = 4_096.0;
/// Minimum share of the offered messages that must be delivered for a size to count as sustained.
const MIN_DELIVERED_SHARE: f64 = 0.99;

/// Part of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Gateway instance, which accepts messages and delivers them.
    Instance,
    /// Discovery, and the machines reserved for control.
    Control,
    /// Platform, which receives final outcomes.
    Platform,
    /// Endpoints of the destinations.
    Endpoints,
    /// Clients, which submit messages.
    Clients,
    /// Tools with which the operators monitor and measure.
    Tools,
    /// Whole system during failures and restarts.
    Failures,
}

impl Role {
    /// All roles, in the order of the page.
    pub const ALL: [Role; 7] = [
        Self::Instance,
        Self::Control,
        Self::Platform,
        Self::Endpoints,
        Self::Clients,
        Self::Tools,
        Self::Failures,
    ];

    /// Returns the name for the tables of the page.
    pub fn name(self) -> &'static str {
        match self {
            Self::Instance => "instance",
            _ => self.block(),
        }
    }

    /// Returns the name of the block on the page.
    pub fn block(self) -> &'static str {
        match self {
            Self::Instance => "courier",
            Self::Control => "control",
            Self::Platform => "platform",
            Self::Endpoints => "endpoints",
            Self::Clients => "clients",
            Self::Tools => "tools",
            Self::Failures => "failures",
        }
    }
}

/// Upper limit of a need.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// Limit in the unit of the need.
    pub value: f64,
    /// Origin of the limit: who set it, or which estimate it is.
    pub source: &'static str,
}

const OPERATORS: &str = "operators";
const ONE_CORE: Limit = Limit { value: 1.0, source: "one thread" };

/// Relation of a need to its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Within the limit according to kept results, or to a fit that predicts the held-out size.
    Satisfied,
    /// Within the limit at the measured sizes; not known at the target.
    NotShown,
    /// Over the limit; no mechanism exists yet that reduces it.
    Missing,
    /// Without a known limit.
    Unlimited,
}

impl Status {
    /// Returns the text for the page.
    pub fn name(self) -> &'static str {
        match self {
            Self::Satisfied => "satisfied",
            Self::NotShown => "not confirmed",
            Self::Missing => "missing",
            Self::Unlimited => "no limit set",
        }
    }
}

/// Need of one role at the target.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// Role that has the need.
    pub role: Role,
    /// Name of the needed quantity, with its unit.
    pub quantity: &'static str,
    /// Derivation of the value, step by step.
    pub steps: String,
    /// Needed amount, or a lower bound of it if `is_conclusive` is `false`.
    pub value: f64,
    /// `true` if `value` is the whole need, not only a lower bound.
    pub is_conclusive: bool,
    /// Upper limit, if one is known.
    pub limit: Option<Limit>,
    /// Mechanism that satisfies the need, or would; empty if none is named.
    pub mechanism: &'static str,
    /// Experiments from which the value is derived; empty for arithmetic on the target alone.
    pub experiments: Vec<String>,
}

impl Need {
    fn new(role: Role, quantity: &'static str, found: Figure) -> Self {
        let Figure { value, steps, is_conclusive, experiment } = found;
        let experiments = if experiment.is_empty() { Vec::new() } else { vec![experiment] };
        Self { role, quantity, steps, value, is_conclusive, limit: None, mechanism: "", experiments }
    }

    fn computed(role: Role, quantity: &'static str, need: f64, steps: String) -> Self {
        Self::new(
            role,
            quantity,
            Figure { value: need, steps, is_conclusive: true, experiment: String::new() },
        )
    }

    /// Multiplies the value by `factor` and adds the step, described by `description`.
    fn times(mut self, factor: f64, description: &str) -> Self {
        self.value *= factor;
        self.steps = format!("{}; x {description} = {}", self.steps, short(self.value));
        self
    }

    fn plus(mut self, other: Figure, factor: f64, description: &str) -> Self {
        self.value += other.value * factor;
        self.is_conclusive &= other.is_conclusive;
        self.steps = format!("{}; + {} x {description} = {}", self.steps, other.steps, short(self.value));
        self.experiments.push(other.experiment);
        self
    }

    fn limit(mut self, limit: Limit) -> Self {
        self.limit = Some(limit);
        self
    }

    fn mechanism(mut self, mechanism: &'static str) -> Self {
        self.mechanism = mechanism;
        self
    }

    /// Returns the ratio of the value to the limit, if there is one.
    pub fn ratio(&self) -> Option<f64> {
        self.limit.as_ref().map(|limit| self.value / limit.value)
    }

    /// Returns the relation of the value to the limit.
    pub fn status(&self) -> Status {
        match self.ratio() {
            None => Status::Unlimited,
            Some(ratio) if ratio > 1.0 => Status::Missing,
            Some(_) if !self.is_conclusive => Status::NotShown,
            Some(_) => Status::Satisfied,
        }
    }
}

fn operators(value: f64) -> Limit {
    Limit { value, source: OPERATORS }
}

fn estimate(value: f64, source: &'static str) -> Limit {
    Limit { value, source }
}

const PLACEMENT: &str = "placement: each instance knows a share of the destinations";
const DURABLE_BACKLOG: &str = "durable backlog with a bounded working set";
const DISPATCHER: &str = "the dispatcher and its host";
const WATCH: &str = "the watch on discovery";

/// Returns all needs, in the order of the page.
///
/// # Errors
///
/// Returns a message if the kept results lack a figure.
pub fn all(evidence: &Evidence) -> Result<Vec<Need>, String> {
    let parts = [instance, endpoint_list, backlog, control, platform, endpoints, clients, tools, failures];
    let rows: Result<Vec<_>, _> = parts.iter().map(|part| part(evidence)).collect();
    Ok(rows?.concat())
}

/// Returns the need of processor time, in cores, of one instance that handles `rate` messages per second.
fn cores(
    evidence: &Evidence,
    role: Role,
    quantity: &'static str,
    slope: Slope,
    size: f64,
    rate: f64,
) -> Result<Need, String> {
    let found = evidence.figure_at(slope, figure::MESSAGE_US, size)?;
    let description = format!("{} messages a second / 1e6 us", short(rate));
    Ok(Need::new(role, quantity, found).times(rate / US_PER_S, &description).limit(ONE_CORE))
}

fn instance(evidence: &Evidence) -> Result<Vec<Need>, String> {
    let (role, rate) = (Role::Instance, target::messages_per_s_each(INSTANCES));
    let at = |slope, name, size| evidence.figure_at(slope, name, size);
    let need =
        |quantity, slope, name, size| Ok::<_, String>(Need::new(role, quantity, at(slope, name, size)?));
    let control = |quantity, size| {
        Ok::<_, String>(
            need(quantity, Destinations, figure::MEMORY_MB, size)?.limit(operators(MAX_CONTROL_MEMORY_MB)),
        )
    };
    let idle = |quantity, slope, size| {
        let found = need(quantity, slope, figure::IDLE_PERCENT, size)?;
        Ok::<_, String>(found.limit(operators(MAX_CONTROL_CPU_PERCENT)))
    };
    let change_bytes = evidence.slope_per_unit(Changes, figure::CONTROL_BYTES)?;
    let changes_per_hour = CHANGES_PER_DAY / HOURS_PER_DAY;
    Ok(vec![
        cores(evidence, role, "CPU, all destinations known, cores", Destinations, DESTINATIONS, rate)?
            .mechanism(PLACEMENT),
        cores(
            evidence,
            role,
            "CPU, a share of 740 destinations known, cores",
            Destinations,
            DESTINATIONS_EACH,
            rate,
        )?
        .mechanism(DISPATCHER),
        control("memory, all destinations known, MB", DESTINATIONS)?.mechanism(PLACEMENT),
        control("memory, a share of 740 destinations known, MB", DESTINATIONS_EACH)?.mechanism(DISPATCHER),
        idle("idle CPU, all destinations known, % of a core", Destinations, DESTINATIONS)?
            .mechanism(PLACEMENT),
        idle("idle CPU, a share of 740 destinations known, % of a core", Destinations, DESTINATIONS_EACH)?
            .mechanism(DISPATCHER),
        idle("idle CPU beside 1,300 instances, % of a core", Instances, INSTANCES)?.mechanism(DISPATCHER),
        need("control traffic, bytes a second", Instances, figure::CONTROL_BYTES, INSTANCES)?
            .plus(change_bytes, changes_per_hour, "71 changes an hour")
            .limit(operators(MAX_CONTROL_BYTES_PER_S))
            .mechanism(WATCH),
        need("control traffic, packets a second", Instances, figure::CONTROL_PACKETS, INSTANCES)?
            .mechanism(WATCH),
    ])
}

/// Returns the needs that arise from the endpoint list of one instance.
fn endpoint_list(evidence: &Evidence) -> Result<Vec<Need>, String> {
    let need = |quantity, name, size| {
        let found = evidence.figure_at(Destinations, name, size)?;
        Ok::<_, String>(Need::new(Role::Instance, quantity, found))
    };
    Ok(vec![
        need("full endpoint list, bytes in one line", figure::LIST_BYTES, DESTINATIONS)?
            .limit(Limit { value: MAX_LIST_BYTES as f64, source: "discovery.rs, MAX_LIST_BYTES" })
            .mechanism(PLACEMENT),
        need("full endpoint list, s at the limit of control traffic", figure::LIST_BYTES, DESTINATIONS)?
            .times(1.0 / MAX_CONTROL_BYTES_PER_S, "1 / 6,000 bytes a second")
            .limit(operators(MAX_PROPAGATION_S))
            .mechanism(PLACEMENT),
        need(
            "endpoint list of a share of 740 destinations, s at the limit of control traffic",
            figure::LIST_BYTES,
            DESTINATIONS_EACH,
        )?
        .times(1.0 / MAX_CONTROL_BYTES_PER_S, "1 / 6,000 bytes a second")
        .limit(operators(MAX_PROPAGATION_S))
        .mechanism("a list in parts, or by differences"),
        need("time until ready, all destinations known, s", figure::READY_S, DESTINATIONS)?
            .limit(operators(MAX_READY_S))
            .mechanism(PLACEMENT),
    ])
}

fn backlog(evidence: &Evidence) -> Result<Vec<Need>, String> {
    let (role, backlog, rate) =
        (Role::Instance, target::backlog_per_instance(), target::messages_per_s_each(INSTANCES));
    let need = |quantity, name| {
        Ok::<_, String>(Need::new(role, quantity, evidence.figure_at(Backlog, name, backlog)?))
    };
    let sustained = evidence.largest_size_with(Backlog, figure::DELIVERED, MIN_DELIVERED_SHARE * rate)?;
    let steps = format!("6.6e9 / 1,300 = {}; {}", short(backlog), sustained.steps);
    let mut messages =
        Need::computed(role, "pending messages while all others are delivered", backlog, steps);
    messages.experiments.push(sustained.experiment);
    let limit = Limit { value: sustained.value, source: "the largest size sustained" };
    Ok(vec![
        messages.limit(limit).mechanism(DURABLE_BACKLOG),
        cores(evidence, role, "CPU with the full backlog, cores", Backlog, backlog, rate)?
            .mechanism(DURABLE_BACKLOG),
        need("submitting a message of the full backlog, cores", figure::FILL_US)?
            .times(rate / US_PER_S, "423 messages a second / 1e6 us")
            .limit(ONE_CORE)
            .mechanism(DURABLE_BACKLOG),
        need("memory with the full backlog, MB", figure::MEMORY_MB)?
            .limit(estimate(MEMORY_MB, "estimate: 4 GB a core, as machines usually have"))
            .mechanism(DURABLE_BACKLOG),
        need("idle CPU with the full backlog, % of a core", figure::IDLE_PERCENT)?
            .limit(estimate(100.0, "one thread"))
            .mechanism(DURABLE_BACKLOG),
        need("time until ready after a kill with the full backlog, s", figure::READY_AGAIN_S)?
            .limit(operators(MAX_READY_S))
            .mechanism(DURABLE_BACKLOG),
        need("state directory with the full backlog, MB", figure::STATE_MB)?.mechanism(DURABLE_BACKLOG),
    ])
}

fn control(evidence: &Evidence) -> Result<Vec<Need>, String> {
    let role = Role::Control;
    let need = |quantity, name| {
        Ok::<_, String>(Need::new(role, quantity, evidence.figure_at(Instances, name, INSTANCES)?))
    };
    let changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY;
    let machines = || Limit { value: CONTROL_MACHINES, source: "operators: machines, taken as a core each" };
    Ok(vec![
        need("connections to discovery", figure::CONNECTIONS)?
            .limit(estimate(CONTROL_MACHINES * 20_000.0, "estimate: 20,000 descriptors a machine"))
            .mechanism(WATCH),
        need("bytes a second while nothing changes", figure::DISCOVERY_BYTES)?
            .limit(estimate(CONTROL_MACHINES * NETWORK_BYTES_PER_S, "estimate: 10 Gbit/s a machine"))
            .mechanism(WATCH),
        need("CPU while nothing changes, cores", figure::DISCOVERY_US)?
            .times(1.0 / US_PER_S, "1 / 1e6 us")
            .limit(machines())
            .mechanism(WATCH),
        need("bytes a second to send a day's changes to all instances", figure::CHANGE_BYTES)?
            .times(changes_per_s, "1,700 / 86,400 changes a second")
            .limit(estimate(CONTROL_MACHINES * NETWORK_BYTES_PER_S, "estimate: 10 Gbit/s a machine"))
            .mechanism(WATCH),
        need("CPU for a day's changes, cores", figure::CHANGE_MS)?
            .times(changes_per_s / 1e3, "1,700 / 86,400 changes a second / 1e3 ms")
            .limit(machines())
            .mechanism(WATCH),
        need("time until a change is in force at the last instance, s", figure::CALM_WORST_S)?
            .limit(operators(MAX_PROPAGATION_S))
            .mechanism(WATCH),
        need(
            "time until a change is in force at the last instance while a tenth of the instances restart, s",
            figure::RESTARTING_WORST_S,
        )?
        .limit(operators(MAX_PROPAGATION_S))
        .mechanism(WATCH),
    ])
}

fn platform(evidence: &Evidence) -> Result<Vec<Need>, String> {
    let role = Role::Platform;
    let outcomes = MESSAGES_PER_S * DOWN_SHARE;
    let steps = format!(
        "{} messages a second x {} down = {}",
        short(MESSAGES_PER_S),
        short(DOWN_SHARE),
        short(outcomes)
    );
    let bytes = evidence.figure_at(Instances, figure::RESTART_PLATFORM_BYTES, INSTANCES)?;
    Ok(vec![
        Need::computed(
            role,
            "final outcomes a second if all messages for destinations that are down fail",
            outcomes,
            steps,
        )
        .mechanism("calls of up to 64 outcomes each"),
        Need::new(role, "bytes a second with one outcome per call", bytes)
            .times(outcomes / INSTANCES, "6,050 outcomes a second / 1,300 in the run")
            .limit(estimate(NETWORK_BYTES_PER_S, "estimate: 10 Gbit/s, one machine"))
            .mechanism("calls of up to 64 outcomes each"),
    ])
}

fn endpoints(_: &Evidence) -> Result<Vec<Need>, String> {
    let role = Role::Endpoints;
    let each = MESSAGES_PER_S / DESTINATIONS;
    let share = INSTANCES * DESTINATIONS_EACH / DESTINATIONS;
    let max_idle = (DESCRIPTORS - 64.0) / 4.0;
    Ok(vec![
        Need::computed(
            role,
            "messages a second of one destination",
            each,
            format!("550,000 / 320,000 = {}", short(each)),
        ),
        Need::computed(
            role,
            "connections to one destination, all instances serve it",
            INSTANCES,
            "1,300 instances x 1 connection".into(),
        )
        .mechanism(PLACEMENT),
        Need::computed(
            role,
            "connections to one destination, shares of 740",
            share,
            format!("1,300 x 740 / 320,000 = {}", short(share)),
        )
        .mechanism(PLACEMENT),
        Need::computed(
            role,
            "idle connections of an instance, shares of 740",
            DESTINATIONS_EACH,
            format!("740; limit (4,096 - 64) / 4 = {}", short(max_idle)),
        )
        .limit(Limit { value: max_idle, source: "architecture.md, Bounds, with 4,096 descriptors" })
        .mechanism("`limits.sockets` of the configuration; the oldest idle connection is closed"),
    ])
}

fn clients(evidence: &Evidence) -> Result<Vec<Need>, String> {
    let role = Role::Clients;
    let sustained = evidence.max_sustained_rate()?;
    let submitted = |quantity, instances: f64| {
        let rate = target::messages_per_s_each(instances);
        let steps = format!("550,000 / {} = {}; {}", short(instances), short(rate), sustained.steps);
        let mut need = Need::computed(role, quantity, rate, steps).mechanism(DISPATCHER);
        need.experiments.push(sustained.experiment.clone());
        need.limit(Limit { value: sustained.value, source: "the highest rate sustained" })
    };
    Ok(vec![
        submitted("messages a second of one instance", INSTANCES),
        submitted("messages a second of one instance with a region cut off", INSTANCES / 2.0),
    ])
}

fn tools(_: &Evidence) -> Result<Vec<Need>, String> {
    let role = Role::Tools;
    let lines = INSTANCES;
    Ok(vec![
        Need::computed(role, "logs to read together", lines, "1,300 instances x 1 log".into())
            .mechanism("a view over all instances, which does not exist"),
    ])
}

fn failures(evidence: &Evidence) -> Result<Vec<Need>, String> {
    let role = Role::Failures;
    let share = |quantity, instances| {
        let need = cores(
            evidence,
            role,
            quantity,
            Destinations,
            DESTINATIONS_EACH,
            target::messages_per_s_each(instances),
        )?;
        Ok::<_, String>(need.mechanism(DISPATCHER))
    };
    let need = |quantity, name| {
        Ok::<_, String>(Need::new(role, quantity, evidence.figure_at(Instances, name, INSTANCES)?))
    };
    let list = evidence.figure_at(Destinations, figure::LIST_BYTES, DESTINATIONS)?;
    let drained = target::messages_per_s_each(INSTANCES) + target::backlog_per_instance() / SECONDS_PER_DAY;
    let message = evidence.figure_at(Destinations, figure::MESSAGE_US, DESTINATIONS_EACH)?;
    Ok(vec![
        share("CPU with 3 machines down, 424 messages a second each, cores", INSTANCES - FAILED_MACHINES)?,
        share(
            "CPU with one zone down, 494 messages a second each, cores",
            INSTANCES * (ZONES - 1.0) / ZONES,
        )?,
        share("CPU with a region cut off, 846 messages a second each, cores", INSTANCES / 2.0)?,
        Need::new(
            role,
            "CPU to drain the full backlog within a day in addition to new messages, cores",
            message,
        )
        .times(drained / US_PER_S, "(423 + 5.077e6 / 86,400 s) a second / 1e6 us")
        .limit(ONE_CORE)
        .mechanism(DISPATCHER),
        need("restart of all instances at once, 20 destinations, s", figure::RESTART_S)?
            .limit(operators(MAX_READY_S))
            .mechanism(WATCH),
        need("restart of all instances at once, control CPU, core seconds", figure::RESTART_CPU_S)?
            .limit(estimate(CONTROL_MACHINES * MAX_READY_S, "operators: 20 machines for 10 s"))
            .mechanism(WATCH),
        Need::new(
            role,
            "restart of all instances at once, full endpoint list to each, s of network time",
            list,
        )
        .times(INSTANCES / (CONTROL_MACHINES * NETWORK_BYTES_PER_S), "1,300 / (20 x 1.25e9 bytes a second)")
        .mechanism(PLACEMENT),
    ])
}
