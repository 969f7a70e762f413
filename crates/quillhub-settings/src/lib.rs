//! Reads the settings of a new courier and hands each to it; shared by all hosts of couriers.

use quillhub::Dispatcher;
use quillhub::{ListedRate, RepeatSafety, ServiceClass, ValueDecay};
use serde_json::Value;
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

/// The longest piece of what was found that a message quotes.
const QUOTED: usize = 60;

/// One line on what was expected and what stands there instead.
pub fn expected(what: impl Display, found: &str) -> String {
    let short: String = found.chars().take(QUOTED).collect();
    let more = if short.len() < found.len() { ".." } else { "" };
    format!("expected {what}, found '{short}{more}'")
}

/// A JSON value with the path it stands at, for messages.
#[derive(Clone)]
pub struct At<'a> {
    pub value: &'a Value,
    path: String,
}

impl<'a> At<'a> {
    pub fn top(value: &'a Value) -> Self {
        Self { value, path: String::new() }
    }

    /// What stands under `name`; nothing if it is absent or null.
    pub fn get(&self, name: &str) -> Option<At<'a>> {
        let value = self.value.get(name).filter(|value| !value.is_null())?;
        Some(At { value, path: format!("{}.{name}", self.path).trim_start_matches('.').into() })
    }

    pub fn need(&self, name: &str) -> Result<At<'a>, String> {
        self.get(name).ok_or(format!("expected settings with {}.{name}, found none", self.path))
    }

    pub fn wrong<T>(&self, wanted: &str) -> Result<T, String> {
        let what = format!("{wanted} as settings' {}", self.path);
        Err(expected(what, &self.value.to_string()))
    }

    pub fn number(&self) -> Result<f64, String> {
        self.value.as_f64().map_or_else(|| self.wrong("a number"), Ok)
    }

    pub fn whole(&self) -> Result<u64, String> {
        self.value.as_u64().map_or_else(|| self.wrong("a whole number"), Ok)
    }

    pub fn span(&self) -> Result<Duration, String> {
        self.whole().map(Duration::from_micros)
    }

    pub fn flag(&self) -> Result<bool, String> {
        self.value.as_bool().map_or_else(|| self.wrong("true or false"), Ok)
    }

    pub fn word(&self) -> Result<&'a str, String> {
        self.value.as_str().map_or_else(|| self.wrong("a text"), Ok)
    }

    pub fn address(&self) -> Result<SocketAddr, String> {
        self.word()?.parse().or_else(|_| self.wrong("an address"))
    }

    pub fn rows(&self) -> Result<Vec<At<'a>>, String> {
        let Some(rows) = self.value.as_array() else { return self.wrong("a list") };
        let row = |(at, value)| At { value, path: format!("{}[{at}]", self.path) };
        Ok(rows.iter().enumerate().map(row).collect())
    }

    pub fn words(&self) -> Result<Vec<&'a str>, String> {
        self.rows()?.iter().map(At::word).collect()
    }
}

/// Where the values of a load report stand that couriers go by: the share left, and the limit.
#[derive(Default)]
pub struct ReportPlaces {
    pub left: Option<usize>,
    pub limit: Option<usize>,
}

/// A courier started with the settings in `text`, and where its load reports hold what.
pub fn start(seed: u64, text: &str) -> Result<(Dispatcher, ReportPlaces), String> {
    match serde_json::from_str::<Value>(text) {
        Ok(value) => read(seed, &value),
        Err(_) => Err(expected("settings as a JSON object", text)),
    }
}

/// The same with settings that are read already.
pub fn read(seed: u64, value: &Value) -> Result<(Dispatcher, ReportPlaces), String> {
    if !value.is_object() {
        return Err(expected("settings as a JSON object", &value.to_string()));
    }
    let top = At::top(value);
    let none = Value::Object(serde_json::Map::new());
    let part = |name: &str| top.get(name).unwrap_or(At { value: &none, path: name.into() });
    let (limits, rules, family) = (part("limits"), part("rules"), part("familyInfo"));

    let couriers = top.get("nInstances").map(|v| v.whole()).transpose()?.unwrap_or(1);
    let Ok(couriers) = u32::try_from(couriers) else {
        return top.need("nInstances")?.wrong("a smaller number");
    };
    let zone = top.get("zone").map(|v| v.word()).transpose()?.unwrap_or_default();
    let mut courier = Dispatcher::new(seed, couriers, zone);

    let whole = |from: &At, name: &str| from.get(name).map(|v| v.whole()).transpose();
    let flag = |from: &At, name: &str| from.get(name).map_or(Ok(false), |v| v.flag());
    let span = |from: &At, name: &str| from.get(name).map(|v| v.span()).transpose();
    let sends = whole(&limits, "mostTries")?.map(|most| u32::try_from(most).unwrap_or(u32::MAX));
    courier.set_limits(
        whole(&family, "maxCalls")?.map(|most| most as usize),
        whole(&limits, "maxOpen")?.map(|most| most as usize),
        sends,
    );
    courier.set_longest_retry_after(if flag(&limits, "retryAfter")? {
        span(&limits, "maxRetryAfterUs")?
    } else {
        None
    });
    if let Some(factor) = rules.get("overloadFactor") {
        let start = rules.get("startCapacity").map_or(Ok(0.0), |v| v.number())?;
        courier.set_slow_start(factor.number()?, start, span(&rules, "warmUpUs")?.unwrap_or_default());
    }
    courier.set_overload_tolerance(span(&rules, "tipAfterUs")?.unwrap_or_default());
    if let Some(after) = span(&limits, "idleCloseUs")? {
        courier.set_idle_timeout(after);
    }
    courier.allow_gossip(flag(&limits, "peerMessages")?);
    courier.set_ordering_pause(span(&rules, "keyRestUs")?.unwrap_or_default());

    let mode = top.get("membershipMode").map(|v| v.word()).transpose()?;
    let rate = match top.get("weights").map(|v| v.word()).transpose()? {
        Some("nominal") => ListedRate::Exact,
        Some("rough") => ListedRate::Approximate,
        _ => ListedRate::Absent,
    };
    courier.set_discovery(mode == Some("subscribe"), rate);
    courier.set_poll_period(span(&rules, "askEveryUs")?.unwrap_or_default());

    let decay = match family.get("losesWorth").map(|v| v.word()).transpose()? {
        Some("halving") => ValueDecay::Halving,
        _ => ValueDecay::Linear,
    };
    for class in top.get("classes").map_or(Ok(Vec::new()), |v| v.rows())? {
        let effect = class.need("effect")?;
        let effect = match effect.word()? {
            "free" => RepeatSafety::Idempotent,
            "guarded" => RepeatSafety::Deduplicated {
                window: span(&class, "memorySpanUs")?.unwrap_or_default(),
                per_zone: class.get("keyScope").map_or(Ok("all"), |v| v.word())? != "all",
            },
            "single_shot" => RepeatSafety::AtMostOnce,
            _ => return effect.wrong("free, guarded or single_shot"),
        };
        let grade = ServiceClass {
            repeat_safety: effect,
            soft_deadline: class.need("aimUs")?.span()?,
            deadline: class.need("giveUpUs")?.span()?,
            value: class.get("importance").map_or(Ok(1.0), |v| v.number())?,
            late_value_share: class.get("lateWorth").map_or(Ok(0.0), |v| v.number())?,
            decay,
            ordered: flag(&class, "byArrival")?,
        };
        courier.add_service_class(class.need("name")?.word()?, grade);
    }

    let kinds = top.get("skus").map_or(Ok(Vec::new()), |v| v.words())?;
    let apart = family.get("separateRoutes").map_or(Ok(Vec::new()), |v| v.rows())?;
    for (kind, apart) in kinds.iter().zip(apart) {
        if apart.flag()? {
            courier.separate_routes(kind);
        }
    }
    let batches = family.get("batchByKind").map_or(Ok(Vec::new()), |v| v.rows())?;
    for (kind, most) in kinds.iter().zip(batches) {
        match u32::try_from(most.whole()?) {
            Ok(0) | Err(_) => return most.wrong("a whole number from 1 on"),
            Ok(1) => {}
            Ok(several) => courier.set_batch_limit(kind, several),
        }
    }
    let zones = top.get("failureDomains").map_or(Ok(Vec::new()), |v| v.words())?;
    let tolls = family.get("toll").map_or(Ok(Vec::new()), |v| v.rows())?;
    for (zone, toll) in zones.iter().zip(tolls) {
        courier.set_zone_cost(zone, toll.number()?);
    }
    courier.set_rejection_cost(family.get("refusedPrice").map_or(Ok(0.0), |v| v.number())?);
    let over_share = top.get("overShareWorth").map_or(Ok(1.0), |v| v.number())?;
    for tenant in top.get("parties").map_or(Ok(Vec::new()), |v| v.rows())? {
        if let Some(quota) = tenant.get("quotaPerS") {
            courier.add_tenant(tenant.need("name")?.word()?, quota.number()?, over_share);
        }
    }

    let names = match top.get("report").and_then(|report| report.get("names")) {
        Some(names) => names.words()?,
        None => Vec::new(),
    };
    let place = |wanted: &str| names.iter().position(|name| *name == wanted);
    Ok((courier, ReportPlaces { left: place("x0"), limit: place("x1") }))
}
