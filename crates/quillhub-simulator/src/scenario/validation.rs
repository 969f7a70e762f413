//! Validation of scenarios before a run. Errors name the keys of the experiment file.

use super::{DestinationKind, Pattern, RetrySafetyKind, Scenario, ServiceClassSpec, StreamSpec};
use crate::faults::ScheduledFault;
use std::fmt::Display;

/// Max number of instances, destinations, messages and the like; larger numbers are rejected as likely mistakes.
const MAX_COUNT: f64 = 1e7;
const COUNT_EXPECTED: &str = "a number from 1 to 10000000";

/// Error for a scenario that cannot be run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: expected {expected}, found {found}")]
pub struct InvalidScenario {
    /// Path of the key in the experiment file, relative to the scenario's table.
    pub key: String,
    /// Description of the values that are valid.
    pub expected: String,
    /// Invalid value that was found.
    pub found: String,
}

impl InvalidScenario {
    fn new(key: impl Into<String>, expected: impl Into<String>, found: impl Display) -> Self {
        Self { key: key.into(), expected: expected.into(), found: found.to_string() }
    }
}

/// Result of a check of one part of a scenario.
type CheckResult = Result<(), InvalidScenario>;

fn require(holds: bool, key: impl Into<String>, expected: &str, found: impl Display) -> CheckResult {
    if holds { Ok(()) } else { Err(InvalidScenario::new(key, expected, found)) }
}

fn require_share(key: impl Into<String>, value: f64) -> CheckResult {
    require((0.0..=1.0).contains(&value), key, "a share from 0 to 1", value)
}

fn require_count(key: impl Into<String>, count: usize) -> CheckResult {
    require(count != 0 && count as f64 <= MAX_COUNT, key, COUNT_EXPECTED, count)
}

/// Checks that `is_known` holds for a name, unless it is absent.
fn require_known(
    name: Option<&String>,
    is_known: impl Fn(&str) -> bool,
    key: String,
    expected: &str,
) -> CheckResult {
    match name {
        Some(name) => require(is_known(name), key, expected, name),
        None => Ok(()),
    }
}

impl Scenario {
    /// Checks that the scenario can be run.
    ///
    /// # Errors
    ///
    /// Returns the first invalid value that is found.
    pub fn check(&self) -> Result<(), InvalidScenario> {
        require(!self.length.is_zero(), "length", "a duration greater than 0", "0s")?;
        self.check_counts()?;
        self.check_shares_and_factors()?;
        for index in 0..self.service_classes.len() {
            self.check_service_class(index)?;
        }
        for index in 0..self.destinations.len() {
            self.check_destinations(index)?;
        }
        let is_weighted = self.destinations.iter().any(|kind| kind.weight != 0.0);
        require(is_weighted, "destinations", "a kind with a weight greater than 0", "none")?;
        for (index, stream) in self.arrivals.iter().enumerate() {
            self.check_stream(index, stream)?;
        }
        for (index, fault) in self.faults.iter().enumerate() {
            self.check_fault(index, fault)?;
        }
        Ok(())
    }

    fn check_counts(&self) -> CheckResult {
        require_count("couriers.count", self.instances.count as usize)?;
        require_count("couriers.slots", self.instances.slots)?;
        require_count("couriers.room", self.instances.queue_capacity)?;
        require_count("couriers.most_sends", self.instances.max_attempts as usize)?;
        require_count("couriers.zones", self.instances.zones.len())?;
        require_count("grades", self.service_classes.len())?;
        require_count("destinations", self.destinations.len())?;
        require_count("arrivals", self.arrivals.len())
    }

    /// Checks shares, the skew and the overload factor. An overload factor of NaN passes.
    fn check_shares_and_factors(&self) -> CheckResult {
        require_share("couriers.notes_lost", self.instances.lost_gossip_share)?;
        let skew = self.instances.skew;
        require(skew.is_finite() && skew >= 0.0, "couriers.skew", "a number of at least 0", skew)?;
        require_share("returns.start", self.rules.initial_share)?;
        let factor = self.rules.overload_factor;
        require(factor.is_nan() || factor >= 1.0, "returns.factor", "1 or more", factor)
    }

    fn check_service_class(&self, index: usize) -> CheckResult {
        let key = |field: &str| format!("grades[{index}].{field}");
        let ServiceClassSpec { name, soft_deadline, deadline, .. } = &self.service_classes[index];
        let class = &self.service_classes[index];
        let is_unique = self.service_classes[..index].iter().all(|other| other.name != *name);
        require(is_unique, key("name"), "a unique name", name)?;
        let found = format!("{soft_deadline:?} and a limit of {deadline:?}");
        let expected = "a contract no longer than the limit";
        require(soft_deadline <= deadline, key("contract"), expected, found)?;
        let needs_window = class.retry_safety == RetrySafetyKind::Deduplicated;
        let window = class.deduplication_window;
        let expected = "a memory greater than 0 for a fingerprinted grade, and no memory for others";
        require(needs_window != window.is_zero(), key("memory"), expected, format!("{window:?}"))?;
        require_share(key("late_share"), class.late_value_share)
    }

    fn check_destinations(&self, index: usize) -> CheckResult {
        let key = |field: &str| format!("destinations[{index}].{field}");
        let kind = &self.destinations[index];
        let is_unique = self.destinations[..index].iter().all(|other| other.kind != kind.kind);
        require(is_unique, key("kind"), "a unique name", &kind.kind)?;
        require_count(key("count"), kind.count)?;
        require_count(key("endpoints"), kind.endpoints)?;
        require_count(key("workers"), kind.workers)?;
        for (field, value) in [("spread", kind.spread), ("service.cv", kind.service.cv)] {
            require(value.is_finite() && value > 0.0, key(field), "a number greater than 0", value)?;
        }
        let weight = kind.weight;
        require(weight.is_finite() && weight >= 0.0, key("weight"), "a number of at least 0", weight)?;
        check_rate_limit(kind, key)
    }

    fn has_kind(&self, name: &str) -> bool {
        self.destinations.iter().any(|kind| kind.kind == name)
    }

    fn check_stream(&self, index: usize, stream: &StreamSpec) -> CheckResult {
        let key = |field: &str| format!("arrivals[{index}].{field}");
        let per_s = stream.per_s;
        require(per_s.is_finite() && per_s > 0.0, key("per_s"), "a rate greater than 0", per_s)?;
        let until = stream.until.unwrap_or(self.length).min(self.length);
        let messages = per_s * until.saturating_sub(stream.from).as_secs_f64();
        require(
            messages <= MAX_COUNT,
            key("per_s"),
            "a rate of at most 10000000 messages over the length of the stream",
            per_s,
        )?;
        let has_class = |name: &str| self.service_classes.iter().any(|class| class.name == name);
        require_known(stream.service_class.as_ref(), has_class, key("grade"), "the name of a grade")?;
        let kind = stream.destination_kind.as_ref();
        require_known(kind, |name| self.has_kind(name), key("to"), "a kind of destination")?;
        let has_tenant = |name: &str| self.tenants.iter().any(|tenant| tenant.name == name);
        require_known(stream.tenant.as_ref(), has_tenant, key("tenant"), "the name of a tenant")?;
        if let Some(number) = stream.instance {
            let exists = (1..=self.instances.count).contains(&number);
            require(exists, key("courier"), "the number of a courier, from 1", number)?;
        }
        check_pattern(&stream.pattern, key)
    }

    fn check_fault(&self, index: usize, scheduled: &ScheduledFault) -> CheckResult {
        let key = |field: &str| format!("faults[{index}].{field}");
        let (target, zones) = (&scheduled.target, &self.instances.zones);
        let is_zone = |name: &str| zones.iter().any(|zone| zone == name);
        let kind = target.kind.as_ref();
        require_known(kind, |name| self.has_kind(name), key("whom.kind"), "a kind of destination")?;
        require_known(target.zone.as_ref(), is_zone, key("whom.zone"), "a zone")?;
        for zone in scheduled.fault.zones() {
            require(is_zone(zone), key("what"), "a zone of couriers.zones", zone)?;
        }
        if let Some(share) = target.share {
            require_share(key("whom.share"), share)?;
        }
        let max_id = self.max_target_id(scheduled);
        for id in &target.ids {
            let expected = format!("numbers from 1 to {max_id}");
            require((1..=max_id as u64).contains(id), key("whom.ids"), &expected, id)?;
        }
        if let Err((field, expected, found)) = scheduled.fault.check() {
            return Err(InvalidScenario::new(key(field), expected, found));
        }
        let start = scheduled.start;
        require(start <= self.length, key("at"), "a time from 0s to `length`", format!("{start:?}"))
    }

    /// Returns the highest instance or destination number that a fault's target may contain.
    fn max_target_id(&self, scheduled: &ScheduledFault) -> usize {
        if scheduled.fault.targets_instances() {
            return self.instances.count as usize;
        }
        self.destinations.iter().map(|kind| kind.count).sum()
    }
}

fn check_rate_limit(kind: &DestinationKind, key: impl Fn(&str) -> String) -> CheckResult {
    let Some(limit) = kind.rate_limit else { return Ok(()) };
    require_share(key("limit.tells"), limit.retry_after_share)?;
    let per_s = limit.per_s;
    require(per_s.is_finite() && per_s > 0.0, key("limit.per_s"), "a rate greater than 0", per_s)?;
    let Some(window) = limit.window else { return Ok(()) };
    let found = format!("{window:?} at {per_s} a second");
    let fits_one = window.as_secs_f64() * per_s >= 1.0;
    require(fits_one, key("limit.span"), "a span of at least 1 / per_s seconds", found)
}

fn check_pattern(pattern: &Pattern, key: impl Fn(&str) -> String) -> CheckResult {
    match pattern {
        Pattern::Bursts { mean_size } => {
            require(*mean_size >= 1.0 && mean_size.is_finite(), key("pattern.of"), "1 or more", mean_size)
        }
        Pattern::Daily { depth, .. } => require_share(key("pattern.depth"), *depth),
        Pattern::Part { period, active_from } => require(
            active_from < period,
            key("pattern.from"),
            "a duration less than `every`",
            format!("{active_from:?}"),
        ),
        Pattern::Poisson | Pattern::Even => Ok(()),
    }
}
