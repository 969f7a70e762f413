//! Settings shared by the real and lightweight instances of a run, and the configuration of the real ones.

use serde_json::{Value, json};
use std::net::SocketAddr;

/// Maximum number of attempts in flight of each instance.
pub const MAX_CALLS: u64 = 400;
/// Name of the only service class, which is idempotent, so that all messages may be retried.
pub const SERVICE_CLASS: &str = "status";
/// Kind of all destinations.
pub const KIND: &str = "library";
/// Zone of all instances and endpoints.
pub const ZONE: &str = "north";
/// Deadline of the service class, in milliseconds: pending messages of a backlog must not expire during a measurement.
pub const BACKLOG_DEADLINE_MS: u64 = 3_600_000;
/// Maximum size of the state directory, in megabytes: a million messages of some hundred bytes each, and the space that
/// compaction needs.
const MAX_STATE_MB: u64 = 2_048;
/// Maximum number of file descriptors of a real instance.
const MAX_DESCRIPTORS: u64 = 4_096;

const SECOND_US: u64 = 1_000_000;

/// Returns the settings of one of `instances` instances.
pub fn instance_settings(instances: u64) -> Value {
    json!({
        "nInstances": instances,
        "zone": ZONE,
        "familyInfo": {"maxCalls": MAX_CALLS, "losesWorth": "evenly", "separateRoutes": [false]},
        "limits": {"retryAfter": true, "maxRetryAfterUs": 2 * SECOND_US, "idleCloseUs": 60 * SECOND_US,
            "connectTimeoutUs": SECOND_US, "peerMessages": true},
        "rules": {"overloadFactor": 2.0, "startCapacity": 0.2, "warmUpUs": 10 * SECOND_US, "keyRestUs": 0},
        "membershipMode": "push",
        "classes": [{"name": SERVICE_CLASS, "effect": "free", "aimUs": SECOND_US, "giveUpUs": BACKLOG_DEADLINE_MS * 1_000,
            "importance": 1.0, "lateWorth": 0.5, "byArrival": false}],
        "skus": [KIND],
        "failureDomains": [ZONE],
    })
}

/// Addresses of a real instance and of the servers that it uses.
pub struct Addresses {
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address of discovery and platform.
    pub discovery: SocketAddr,
    /// Address at which the instance receives gossip.
    pub gossip: SocketAddr,
    /// Address of the relay that passes gossip on to all other instances.
    pub peers: SocketAddr,
}

/// Returns the configuration of a real instance.
///
/// `known` is the text of the endpoint list that the instance starts with. It is inserted without being parsed, as
/// parsing would need much memory for a large list.
pub fn configuration(seed: u64, instances: u64, addresses: &Addresses, known: Option<&str>) -> String {
    let members = json!({
        "listen": addresses.listen.to_string(),
        "discovery": addresses.discovery.to_string(),
        "seed": format!("{seed:x}"),
        "limits": {"sockets": MAX_DESCRIPTORS, "disk_mb": MAX_STATE_MB},
        "peer_listen": addresses.gossip.to_string(),
        "peers_all": addresses.peers.to_string(),
        "settings": instance_settings(instances),
    })
    .to_string();
    match known {
        Some(list) => format!("{{\"known\":{list},{}", &members[1..]),
        None => members,
    }
}
