//! What a scenario consists of, as written in an experiment file: sizes, laws of chance, rates, and the faults. Every
//! span is written with its unit ("250 ms"); what is left out has the value named at its field.

mod arrivals;
mod clients;
mod destinations;
mod discovery;
mod instances;
mod network;
mod rules;
mod service_class;
mod validation;

pub use arrivals::{Arrivals, Pattern};
pub use clients::Clients;
pub use destinations::{Destinations, Law, RateLimitSpec, Service};
pub use discovery::{DiscoveryForm, DiscoverySpec, Rates};
pub use instances::Instances;
pub use network::Network;
pub use rules::RuleSettings;
pub use service_class::{RetrySafetyKind, ServiceClassSpec};
pub use validation::InvalidScenario;

use crate::faults::ScheduledFault;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A scenario: everything that a run needs but its seed and its deciders.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Day", deny_unknown_fields)]
pub struct Scenario {
    /// From the first arrival to the last; messages pending then still get their final outcome.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// The instances, and the front that deals messages out to them.
    #[serde(rename = "couriers")]
    pub instances: Instances,
    /// Delays, and what connections cost.
    #[serde(default)]
    pub network: Network,
    /// Service discovery.
    #[serde(default)]
    #[serde(rename = "register")]
    pub discovery: DiscoverySpec,
    /// How destinations that were out return, and the figures of the rules.
    #[serde(default)]
    #[serde(rename = "returns")]
    pub rules: RuleSettings,
    /// The service classes.
    #[serde(rename = "grades")]
    pub service_classes: Vec<ServiceClassSpec>,
    /// The destinations, by kind.
    pub destinations: Vec<Destinations>,
    /// The streams of messages.
    pub arrivals: Vec<Arrivals>,
    /// Tenants with a quota.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// What clients do with what did not get through.
    #[serde(default)]
    pub clients: Clients,
    /// What goes wrong, and when.
    #[serde(default)]
    pub faults: Vec<ScheduledFault>,
}

/// A tenant and what it bought, in messages a second for all instances; the quota is not enforced.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its quota.
    pub per_s: f64,
    /// Share of their value that messages over the quota have.
    #[serde(rename = "over_share", default = "default_one")]
    pub excess_value_share: f64,
}

fn default_one() -> f64 {
    1.0
}
