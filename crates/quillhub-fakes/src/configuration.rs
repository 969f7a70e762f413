//! The configuration of an instance for a scenario: the same figures as the simulator tells its deciders.

use quillhub::RetrySafety;
use quillhub_simulator::{DiscoveryForm, Scenario};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

fn us(span: Duration) -> u64 {
    span.as_micros() as u64
}

fn class(of: &quillhub_simulator::ServiceClassSpec) -> Value {
    let service_class = of.service_class();
    let (retry_safety, window, all) = match service_class.retry_safety {
        RetrySafety::Idempotent => ("free", Duration::ZERO, true),
        RetrySafety::Deduplicated { window, per_zone } => ("guarded", window, !per_zone),
        RetrySafety::AtMostOnce => ("single_shot", Duration::ZERO, true),
    };
    json!({"name": of.name, "effect": retry_safety, "memorySpanUs": us(window), "keyScope": if all { "all" } else { "group" },
        "aimUs": us(service_class.soft_deadline), "giveUpUs": us(service_class.deadline), "importance": service_class.value,
        "lateWorth": service_class.late_value_share, "byArrival": service_class.ordered})
}

/// For one instance of `scenario` that listens at `listen`, with service discovery and platform at `discovery` and
/// the list `known`; it may have `sockets` descriptors.
pub fn instance(
    scenario: &Scenario,
    seed: u64,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: Value,
    sockets: u64,
) -> Value {
    let (instances, network, rules) = (&scenario.instances, &scenario.network, &scenario.rules);
    let watch = scenario.discovery.form == DiscoveryForm::Watch;
    let halving = scenario.service_classes.iter().all(|service_class| service_class.halving);
    let reports = scenario.destinations.iter().any(|kind| kind.sends_load_reports);
    let names: &[&str] = if reports { &["x0", "x1"] } else { &[] };
    let kinds: Vec<_> = scenario.destinations.iter().map(|kind| &kind.kind).collect();
    let apart: Vec<_> = scenario.destinations.iter().map(|kind| kind.separate_routes).collect();
    let classes: Vec<_> = scenario.service_classes.iter().map(class).collect();
    json!({
        "listen": listen.to_string(),
        "discovery": discovery.to_string(),
        "seed": format!("{seed:x}"),
        "limits": {"sockets": sockets, "disk_mb": 256},
        "known": known,
        "settings": {
            "nInstances": instances.count,
            "zone": instances.zones[0],
            "familyInfo": {"maxCalls": instances.slots, "losesWorth": if halving { "halving" } else { "evenly" },
                "separateRoutes": apart},
            "limits": {"mostTries": instances.max_attempts, "maxOpen": instances.capacity, "retryAfter": true,
                "maxRetryAfterUs": us(instances.max_retry_after), "idleCloseUs": us(network.idle_timeout),
                "connectTimeoutUs": us(network.connect_timeout)},
            "rules": {"overloadFactor": rules.overload_factor, "startCapacity": rules.initial_share,
                "warmUpUs": us(rules.warm_up), "keyRestUs": us(rules.ordering_pause)},
            "membershipMode": if watch { "subscribe" } else { "push" },
            "classes": classes, "skus": kinds, "failureDomains": instances.zones, "report": {"names": names},
        },
    })
}
