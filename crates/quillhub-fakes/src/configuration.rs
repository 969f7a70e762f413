//! The configuration of a courier for a day: the same figures as the emulator tells its deciders.

use quillhub::RepeatSafety;
use quillhub_simulator::{DiscoveryForm, Scenario};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

fn us(span: Duration) -> u64 {
    span.as_micros() as u64
}

fn class(of: &quillhub_simulator::ServiceClassSpec) -> Value {
    let grade = of.service_class();
    let (effect, memory, all) = match grade.repeat_safety {
        RepeatSafety::Idempotent => ("free", Duration::ZERO, true),
        RepeatSafety::Deduplicated { window, per_zone } => ("guarded", window, !per_zone),
        RepeatSafety::AtMostOnce => ("single_shot", Duration::ZERO, true),
    };
    json!({"name": of.name, "effect": effect, "memorySpanUs": us(memory), "keyScope": if all { "all" } else { "group" },
        "aimUs": us(grade.soft_deadline), "giveUpUs": us(grade.deadline), "importance": grade.value,
        "lateWorth": grade.late_value_share, "byArrival": grade.ordered})
}

/// For one courier of `day` that listens at `listen`, with register and platform at `discovery` and the list `known`;
/// it may have `sockets` descriptors.
pub fn courier(
    day: &Scenario,
    seed: u64,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: Value,
    sockets: u64,
) -> Value {
    let (couriers, network, rules) = (&day.instances, &day.network, &day.rules);
    let watch = day.discovery.form == DiscoveryForm::Watch;
    let halving = day.service_classes.iter().all(|grade| grade.halving);
    let reports = day.destinations.iter().any(|kind| kind.reports);
    let names: &[&str] = if reports { &["x0", "x1"] } else { &[] };
    let kinds: Vec<_> = day.destinations.iter().map(|kind| &kind.kind).collect();
    let apart: Vec<_> = day.destinations.iter().map(|kind| kind.routes_apart).collect();
    let classes: Vec<_> = day.service_classes.iter().map(class).collect();
    json!({
        "listen": listen.to_string(),
        "discovery": discovery.to_string(),
        "seed": format!("{seed:x}"),
        "limits": {"sockets": sockets, "disk_mb": 256},
        "known": known,
        "settings": {
            "nInstances": couriers.count,
            "zone": couriers.zones[0],
            "familyInfo": {"maxCalls": couriers.slots, "losesWorth": if halving { "halving" } else { "evenly" },
                "separateRoutes": apart},
            "limits": {"mostTries": couriers.max_attempts, "maxOpen": couriers.capacity, "retryAfter": true,
                "maxRetryAfterUs": us(couriers.max_retry_after), "idleCloseUs": us(network.idle_close),
                "connectTimeoutUs": us(network.connecting)},
            "rules": {"overloadFactor": rules.overload_factor, "startCapacity": rules.initial_share,
                "warmUpUs": us(rules.warm_up), "keyRestUs": us(rules.ordering_pause)},
            "membershipMode": if watch { "subscribe" } else { "push" },
            "classes": classes, "skus": kinds, "failureDomains": couriers.zones, "report": {"names": names},
        },
    })
}
