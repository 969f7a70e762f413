//! Discrete-event simulation, in virtual time, of the environment of gateway instances: destinations, the network,
//! service discovery, clients, and faults in each of them.
//!
//! The simulation does no I/O and uses no threads, and a run is fully determined by its scenario,
//! seed and deciders.
//!
//! A [`Scenario`] describes the environment and its faults. [`Simulation::run`] runs it: for each instance it creates
//! one [`Decider`], which is the real [`dispatcher`] or an implementation to compare with it, reports events to it, and
//! carries out the actions that it requests. Everything that happens is recorded as a [`Fact`]. From the facts, an
//! [`Auditor`] checks the six rules independently of the dispatcher, and a [`Tally`] computes the figures of the run.
//! All figures are simulated, not measured.
//!
//! ```
//! use quillhub_simulator::{Scenario, Simulation, dispatcher};
//!
//! let text = r#"
//!     length = "20 s"
//!     [couriers]
//!     count = 2
//!     [[grades]]
//!     name = "order"
//!     effect = "fingerprinted"
//!     memory = "6 s"
//!     contract = "1 s"
//!     limit = "8 s"
//!     [[destinations]]
//!     kind = "library"
//!     count = 3
//!     service = { mean = "50 ms" }
//!     [[arrivals]]
//!     per_s = 20.0
//!     [[faults]]
//!     at = "5 s"
//!     lasts = "5 s"
//!     what = "refuse"
//!     whom = { ids = [1] }
//! "#;
//! let scenario: Scenario = toml::from_str(text).unwrap();
//! scenario.check().unwrap();
//! let run = || Simulation::run(&scenario, 7, &dispatcher, |_, _| {});
//! let (first, second) = (run(), run());
//! assert!(first.breaches.is_empty() && first.tally.submitted > 300);
//! assert_eq!(first.hash, second.hash);
//! ```

mod active_faults;
mod audit;
mod clients;
mod decider;
mod destinations_state;
mod fact;
pub mod faults;
mod network;
mod rate_limit;
mod scenario;
mod server;
mod simulation;
mod tally;

pub use audit::{Auditor, Breach, Rule};
pub use clients::{Arrival, arrivals};
pub use decider::{Decider, DeciderParameters, Input, dispatcher};
pub use destinations_state::{
    Admission, AdmissionResult, ConnectionFaults, DestinationsState, FaultHandler, ResponseFaults,
    ServerPlacement,
};
pub use fact::{Fact, FinalOutcome, line};
pub use faults::Target;
pub use scenario::{
    Clients, DestinationKind, DiscoveryForm, DiscoverySpec, Instances, InvalidScenario, ListedRates, Network,
    Pattern, RateLimitSpec, RetrySafetyKind, RuleSettings, Scenario, ServiceClassSpec, ServiceTime,
    ServiceTimeDistribution, StreamSpec, Tenant,
};
pub use simulation::{Report, Simulation};
pub use tally::{CourseRow, Tally};
