//! Scenarios as experiment files describe them: sizes, probability distributions, rates and faults.
//!
//! Durations are written with a unit ("250 ms"). A key that is left out has the default named at its field.

mod arrivals;
mod clients;
mod destinations;
mod discovery;
mod instances;
mod network;
mod rules;
mod service_class;
mod validation;

pub use arrivals::{Pattern, StreamSpec};
pub use clients::Clients;
pub use destinations::{DestinationKind, RateLimitSpec, ServiceTime, ServiceTimeDistribution};
pub use discovery::{DiscoveryForm, DiscoverySpec, ListedRates};
pub use instances::Instances;
pub use network::Network;
pub use rules::RuleSettings;
pub use service_class::{RetrySafetyKind, ServiceClassSpec};
pub use validation::InvalidScenario;

use crate::faults::ScheduledFault;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Input of a run, except for its seed and its deciders.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Day", deny_unknown_fields)]
pub struct Scenario {
    /// Time during which messages arrive; messages that are pending at its end still get their final outcome.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// Gateway instances, and the load balancer in front of them.
    #[serde(rename = "couriers")]
    pub instances: Instances,
    /// Network between instances and endpoints.
    #[serde(default)]
    pub network: Network,
    /// Settings of service discovery.
    #[serde(default)]
    #[serde(rename = "register")]
    pub discovery: DiscoverySpec,
    /// Recovery of destinations after an outage, and the thresholds of the rules.
    #[serde(default)]
    #[serde(rename = "returns")]
    pub rules: RuleSettings,
    /// Service classes that messages may have; at least one.
    #[serde(rename = "grades")]
    pub service_classes: Vec<ServiceClassSpec>,
    /// Destinations, by kind; at least one kind.
    pub destinations: Vec<DestinationKind>,
    /// Streams of messages; at least one.
    pub arrivals: Vec<StreamSpec>,
    /// Tenants and their quotas; none by default.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Retry behaviour of clients.
    #[serde(default)]
    pub clients: Clients,
    /// Faults and their times; none by default.
    #[serde(default)]
    pub faults: Vec<ScheduledFault>,
}

/// Tenant with a quota. The simulator does not enforce quotas; the dispatcher values messages beyond them less.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant, by which streams refer to it.
    pub name: String,
    /// Quota in messages per second, at all instances together.
    pub per_s: f64,
    /// Share of the value that messages beyond the quota keep, from 0 to 1; 1 by default.
    #[serde(rename = "over_share", default = "default_one")]
    pub excess_value_share: f64,
}

fn default_one() -> f64 {
    1.0
}
