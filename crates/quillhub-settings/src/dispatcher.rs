//! Creation of a dispatcher from JSON settings, with one function for each group of related settings.

use crate::error::{Excerpt, SettingsError};
use crate::setting::Setting;
use quillhub::{Dispatcher, ListedRateAccuracy, RetrySafety, ServiceClass, ValueDecay};
use serde_json::Value;
use std::time::Duration;

/// Positions, counted from 0, of the values in an endpoint's load report that the dispatcher uses.
///
/// The setting `report.names` determines them; a value that it does not name has no position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportPositions {
    /// Position of the share of the rate limit that is left.
    pub remaining_share: Option<usize>,
    /// Position of the rate limit.
    pub rate_limit: Option<usize>,
}

/// Creates a dispatcher from JSON text, and returns it with the positions of the values in load reports.
///
/// `seed` determines the dispatcher's random draws.
///
/// # Errors
///
/// Returns an error if `text` is not a JSON object; otherwise the error of the first invalid or missing setting.
pub fn dispatcher_from_text(seed: u64, text: &str) -> Result<(Dispatcher, ReportPositions), SettingsError> {
    let value: Value = serde_json::from_str(text)
        .map_err(|source| SettingsError::NotJson { found: Excerpt::new(text), source })?;
    dispatcher_from_json(seed, &value)
}

/// Creates a dispatcher from parsed JSON, and returns it with the positions of the values in load reports.
///
/// `seed` determines the dispatcher's random draws.
///
/// # Errors
///
/// Returns an error if `value` is not an object; otherwise the error of the first invalid or missing setting.
pub fn dispatcher_from_json(
    seed: u64,
    value: &Value,
) -> Result<(Dispatcher, ReportPositions), SettingsError> {
    if !value.is_object() {
        return Err(SettingsError::NotAnObject { found: Excerpt::new(&value.to_string()) });
    }
    let settings = Sections::new(value);
    let mut dispatcher = settings.new_dispatcher(seed)?;
    settings.set_limits(&mut dispatcher)?;
    settings.set_slow_start(&mut dispatcher)?;
    settings.set_idle_timeout_gossip_and_ordering(&mut dispatcher)?;
    settings.set_discovery(&mut dispatcher)?;
    settings.add_service_classes(&mut dispatcher)?;
    settings.set_routes_and_batch_limits(&mut dispatcher)?;
    settings.set_costs(&mut dispatcher)?;
    settings.add_tenants(&mut dispatcher)?;
    Ok((dispatcher, settings.report_positions()?))
}

/// Root of the settings, and the sections that several functions read; an absent section counts as empty.
struct Sections<'a> {
    root: Setting<'a>,
    limits: Setting<'a>,
    rules: Setting<'a>,
    family_info: Setting<'a>,
}

impl<'a> Sections<'a> {
    fn new(value: &'a Value) -> Self {
        let root = Setting::root(value);
        Self {
            limits: root.section("limits"),
            rules: root.section("rules"),
            family_info: root.section("familyInfo"),
            root,
        }
    }

    fn new_dispatcher(&self, seed: u64) -> Result<Dispatcher, SettingsError> {
        let instances = self.root.optional("nInstances", Setting::as_u64)?.unwrap_or(1);
        let instances = u32::try_from(instances)
            .map_err(|_| self.root.section("nInstances").unexpected("a whole number up to 4294967295"))?;
        let zone = self.root.optional("zone", Setting::as_str)?.unwrap_or_default();
        Ok(Dispatcher::new(seed, instances, zone))
    }

    fn set_limits(&self, dispatcher: &mut Dispatcher) -> Result<(), SettingsError> {
        let max_attempts = self.limits.optional("mostTries", Setting::as_u64)?;
        let max_attempts = max_attempts.map(|max| u32::try_from(max).unwrap_or(u32::MAX));
        let concurrency = self.family_info.optional("maxCalls", Setting::as_u64)?;
        let queue_capacity = self.limits.optional("maxOpen", Setting::as_u64)?;
        dispatcher.set_limits(
            concurrency.map(|max| max as usize),
            queue_capacity.map(|max| max as usize),
            max_attempts,
        );
        let sends_retry_after = self.limits.optional("retryAfter", Setting::as_bool)?.unwrap_or(false);
        dispatcher.set_max_retry_after(if sends_retry_after {
            self.limits.optional("maxRetryAfterUs", Setting::as_duration)?
        } else {
            None
        });
        Ok(())
    }

    fn set_slow_start(&self, dispatcher: &mut Dispatcher) -> Result<(), SettingsError> {
        if let Some(overload_factor) = self.rules.get("overloadFactor") {
            let initial_share = self.rules.optional("startCapacity", Setting::as_f64)?.unwrap_or(0.0);
            let overload_factor = overload_factor.as_f64()?;
            let warm_up = duration_or_zero(&self.rules, "warmUpUs")?;
            dispatcher.set_slow_start(overload_factor, initial_share, warm_up);
        }
        dispatcher.set_overload_tolerance(duration_or_zero(&self.rules, "tipAfterUs")?);
        Ok(())
    }

    fn set_idle_timeout_gossip_and_ordering(&self, dispatcher: &mut Dispatcher) -> Result<(), SettingsError> {
        if let Some(timeout) = self.limits.optional("idleCloseUs", Setting::as_duration)? {
            dispatcher.set_endpoint_idle_timeout(timeout);
        }
        let gossip_allowed = self.limits.optional("peerMessages", Setting::as_bool)?.unwrap_or(false);
        dispatcher.allow_gossip(gossip_allowed);
        dispatcher.set_ordering_pause(duration_or_zero(&self.rules, "keyRestUs")?);
        Ok(())
    }

    fn set_discovery(&self, dispatcher: &mut Dispatcher) -> Result<(), SettingsError> {
        let membership_mode = self.root.optional("membershipMode", Setting::as_str)?;
        let rate_accuracy = match self.root.optional("weights", Setting::as_str)? {
            Some("nominal") => ListedRateAccuracy::Exact,
            Some("rough") => ListedRateAccuracy::Approximate,
            _ => ListedRateAccuracy::Absent,
        };
        dispatcher.set_discovery(membership_mode == Some("subscribe"), rate_accuracy);
        dispatcher.set_poll_period(duration_or_zero(&self.rules, "askEveryUs")?);
        Ok(())
    }

    fn add_service_classes(&self, dispatcher: &mut Dispatcher) -> Result<(), SettingsError> {
        let decay = match self.family_info.optional("losesWorth", Setting::as_str)? {
            Some("halving") => ValueDecay::Halving,
            _ => ValueDecay::Linear,
        };
        for class in list_or_empty(&self.root, "classes")? {
            let service_class = service_class(&class, decay)?;
            dispatcher.add_service_class(class.require("name")?.as_str()?, service_class);
        }
        Ok(())
    }

    fn set_routes_and_batch_limits(&self, dispatcher: &mut Dispatcher) -> Result<(), SettingsError> {
        let kinds = self.root.optional("skus", Setting::as_str_list)?.unwrap_or_default();
        let separate_flags = list_or_empty(&self.family_info, "separateRoutes")?;
        for (kind, separate) in kinds.iter().zip(separate_flags) {
            if separate.as_bool()? {
                dispatcher.separate_routes(kind);
            }
        }
        let batch_limits = list_or_empty(&self.family_info, "batchByKind")?;
        for (kind, limit) in kinds.iter().zip(batch_limits) {
            match u32::try_from(limit.as_u64()?) {
                Ok(0) | Err(_) => return Err(limit.unexpected("a whole number from 1 to 4294967295")),
                Ok(1) => {}
                Ok(max_messages) => dispatcher.set_batch_limit(kind, max_messages),
            }
        }
        Ok(())
    }

    fn set_costs(&self, dispatcher: &mut Dispatcher) -> Result<(), SettingsError> {
        let zones = self.root.optional("failureDomains", Setting::as_str_list)?.unwrap_or_default();
        let costs = list_or_empty(&self.family_info, "toll")?;
        for (zone, cost) in zones.iter().zip(costs) {
            dispatcher.set_zone_cost(zone, cost.as_f64()?);
        }
        let rejection_cost = self.family_info.optional("refusedPrice", Setting::as_f64)?;
        dispatcher.set_rejection_cost(rejection_cost.unwrap_or(0.0));
        Ok(())
    }

    fn add_tenants(&self, dispatcher: &mut Dispatcher) -> Result<(), SettingsError> {
        let excess_value_share = self.root.optional("overShareWorth", Setting::as_f64)?.unwrap_or(1.0);
        for tenant in list_or_empty(&self.root, "parties")? {
            if let Some(quota) = tenant.get("quotaPerS") {
                let name = tenant.require("name")?.as_str()?;
                dispatcher.add_tenant(name, quota.as_f64()?, excess_value_share);
            }
        }
        Ok(())
    }

    fn report_positions(&self) -> Result<ReportPositions, SettingsError> {
        let names = self.root.section("report").optional("names", Setting::as_str_list)?.unwrap_or_default();
        let position = |value_name: &str| names.iter().position(|name| *name == value_name);
        Ok(ReportPositions { remaining_share: position("x0"), rate_limit: position("x1") })
    }
}

fn service_class(class: &Setting, decay: ValueDecay) -> Result<ServiceClass, SettingsError> {
    Ok(ServiceClass {
        retry_safety: retry_safety(class)?,
        soft_deadline: class.require("aimUs")?.as_duration()?,
        deadline: class.require("giveUpUs")?.as_duration()?,
        value: class.optional("importance", Setting::as_f64)?.unwrap_or(1.0),
        late_value_share: class.optional("lateWorth", Setting::as_f64)?.unwrap_or(0.0),
        decay,
        ordered: class.optional("byArrival", Setting::as_bool)?.unwrap_or(false),
    })
}

fn retry_safety(class: &Setting) -> Result<RetrySafety, SettingsError> {
    let effect = class.require("effect")?;
    match effect.as_str()? {
        "free" => Ok(RetrySafety::Idempotent),
        "guarded" => Ok(RetrySafety::Deduplicated {
            window: duration_or_zero(class, "memorySpanUs")?,
            per_zone: class.optional("keyScope", Setting::as_str)?.unwrap_or("all") != "all",
        }),
        "single_shot" => Ok(RetrySafety::AtMostOnce),
        _ => Err(effect.unexpected("free, guarded or single_shot")),
    }
}

fn duration_or_zero(section: &Setting, name: &str) -> Result<Duration, SettingsError> {
    Ok(section.optional(name, Setting::as_duration)?.unwrap_or_default())
}

fn list_or_empty<'a>(section: &Setting<'a>, name: &str) -> Result<Vec<Setting<'a>>, SettingsError> {
    Ok(section.optional(name, Setting::as_list)?.unwrap_or_default())
}
