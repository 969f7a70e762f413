//! The configuration that real and lightweight instances of one run share.

use serde_json::{Value, json};
use std::net::SocketAddr;

/// Calls out at once of each instance.
pub const CALLS: u64 = 400;
/// The one service class: idempotent, so that its messages may be retried.
pub const CLASS: &str = "status";
/// Kind and zone of all endpoints.
pub const KIND: &str = "library";
/// Zone of all instances and endpoints.
pub const ZONE: &str = "north";
/// The longest deadline, in milliseconds: messages that are held outlast every measurement.
pub const LONGEST_MS: u64 = 3_600_000;
/// Megabytes of the state directory: a million messages of some hundred bytes each, with the room that cleaning
/// needs.
const STATE_MB: u64 = 2_048;
/// Descriptors of a real instance.
const DESCRIPTORS: u64 = 4_096;

const SECOND_US: u64 = 1_000_000;

/// What the decisions go by, with so many instances in all.
pub fn decisions(instances: u64) -> Value {
    json!({
        "nInstances": instances,
        "zone": ZONE,
        "familyInfo": {"maxCalls": CALLS, "losesWorth": "evenly", "separateRoutes": [false]},
        "limits": {"retryAfter": true, "maxRetryAfterUs": 2 * SECOND_US, "idleCloseUs": 60 * SECOND_US,
            "connectTimeoutUs": SECOND_US, "peerMessages": true},
        "rules": {"overloadFactor": 2.0, "startCapacity": 0.2, "warmUpUs": 10 * SECOND_US, "keyRestUs": 0},
        "membershipMode": "push",
        "classes": [{"name": CLASS, "effect": "free", "aimUs": SECOND_US, "giveUpUs": LONGEST_MS * 1_000,
            "importance": 1.0, "lateWorth": 0.5, "byArrival": false}],
        "skus": [KIND],
        "failureDomains": [ZONE],
    })
}

/// The addresses of one real instance.
pub struct Addresses {
    /// Where its clients connect.
    pub listen: SocketAddr,
    /// Discovery and platform.
    pub discovery: SocketAddr,
    /// Where it hears gossip.
    pub gossip: SocketAddr,
    /// What reaches all peers.
    pub peers: SocketAddr,
}

/// The configuration of a real instance. `known` is the endpoint list as text, spliced in as it is: a large one is
/// not read into values here.
pub fn configuration(seed: u64, instances: u64, at: &Addresses, known: Option<&str>) -> String {
    let rest = json!({
        "listen": at.listen.to_string(),
        "discovery": at.discovery.to_string(),
        "seed": format!("{seed:x}"),
        "limits": {"sockets": DESCRIPTORS, "disk_mb": STATE_MB},
        "peer_listen": at.gossip.to_string(),
        "peers_all": at.peers.to_string(),
        "settings": decisions(instances),
    })
    .to_string();
    match known {
        Some(list) => format!("{{\"known\":{list},{}", &rest[1..]),
        None => rest,
    }
}
