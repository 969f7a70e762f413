//! Configuration of an instance for a scenario, with the settings that the simulator gives its deciders.

use quillhub::RetrySafety;
use quillhub_simulator::{DiscoveryForm, Scenario};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// Returns `duration` in whole microseconds.
fn us(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

/// Returns an entry of the setting `classes`.
fn class(spec: &quillhub_simulator::ServiceClassSpec) -> Value {
    let service_class = spec.service_class();
    let (retry_safety, window, known_in_all_zones) = match service_class.retry_safety {
        RetrySafety::Idempotent => ("free", Duration::ZERO, true),
        RetrySafety::Deduplicated { window, per_zone } => ("guarded", window, !per_zone),
        RetrySafety::AtMostOnce => ("single_shot", Duration::ZERO, true),
    };
    json!({"name": spec.name, "effect": retry_safety, "memorySpanUs": us(window), "keyScope": if known_in_all_zones { "all" } else { "group" },
        "aimUs": us(service_class.soft_deadline), "giveUpUs": us(service_class.deadline), "importance": service_class.value,
        "lateWorth": service_class.late_value_share, "byArrival": service_class.ordered})
}

/// Returns the configuration of one instance of `scenario`.
///
/// The instance listens at `listen`, uses service discovery and platform at `discovery`, starts with the endpoint list
/// `known_endpoints` and opens at most `max_descriptors` file descriptors; `seed` determines its random draws.
pub fn instance(
    scenario: &Scenario,
    seed: u64,
    listen: SocketAddr,
    discovery: SocketAddr,
    known_endpoints: Value,
    max_descriptors: u64,
) -> Value {
    let (instances, network, rules) = (&scenario.instances, &scenario.network, &scenario.rules);
    let watch = scenario.discovery.form == DiscoveryForm::Watch;
    let halving = scenario.service_classes.iter().all(|service_class| service_class.halving);
    let has_load_reports = scenario.destinations.iter().any(|kind| kind.sends_load_reports);
    let names: &[&str] = if has_load_reports { &["x0", "x1"] } else { &[] };
    let kinds: Vec<_> = scenario.destinations.iter().map(|kind| &kind.kind).collect();
    let separate_routes: Vec<_> = scenario.destinations.iter().map(|kind| kind.separate_routes).collect();
    let classes: Vec<_> = scenario.service_classes.iter().map(class).collect();
    json!({
        "listen": listen.to_string(),
        "discovery": discovery.to_string(),
        "seed": format!("{seed:x}"),
        "limits": {"sockets": max_descriptors, "disk_mb": 256},
        "known": known_endpoints,
        "settings": {
            "nInstances": instances.count,
            "zone": instances.zones[0],
            "familyInfo": {"maxCalls": instances.slots, "losesWorth": if halving { "halving" } else { "evenly" },
                "separateRoutes": separate_routes},
            "limits": {"mostTries": instances.max_attempts, "maxOpen": instances.queue_capacity, "retryAfter": true,
                "maxRetryAfterUs": us(instances.max_retry_after), "idleCloseUs": us(network.idle_timeout),
                "connectTimeoutUs": us(network.connect_timeout)},
            "rules": {"overloadFactor": rules.overload_factor, "startCapacity": rules.initial_share,
                "warmUpUs": us(rules.warm_up), "keyRestUs": us(rules.ordering_pause)},
            "membershipMode": if watch { "subscribe" } else { "push" },
            "classes": classes, "skus": kinds, "failureDomains": instances.zones, "report": {"names": names},
        },
    })
}
