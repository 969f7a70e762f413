//! A discrete-event simulation of what gateway instances serve, in virtual time: destinations, the network,
//! service discovery, clients, and the faults of all of these. It has no I/O and no threads, and one seed settles a
//! run to the last bit.
//!
//! A [`Scenario`] says what there is and what happens to it. [`Simulation::run`] plays it: for each instance it
//! starts one [`Decider`], the real [`dispatcher`] or whatever is to be compared with it, hands it its inputs and
//! carries out its actions. What happens comes out as [`Fact`]s, from which an [`Auditor`] judges the six rules
//! without knowing the dispatcher, and a [`Tally`] counts. All figures of the simulator are simulated.
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

mod audit;
mod clients;
mod conditions;
mod decider;
mod fact;
pub mod faults;
mod network;
mod rate_limit;
mod scenario;
mod server;
mod simulation;
mod site;
mod tally;

pub use audit::{Auditor, Breach, Rule};
pub use clients::{Arrival, arrivals};
pub use decider::{Decider, Input, Start, dispatcher};
pub use fact::{Fact, FinalOutcome, line};
pub use faults::Target;
pub use scenario::{
    Arrivals, Clients, Destinations, DiscoveryForm, DiscoverySpec, Instances, InvalidScenario, Law, Network,
    Pattern, RateLimitSpec, Rates, RetrySafetyKind, RuleSettings, Scenario, Service, ServiceClassSpec,
    Tenant,
};
pub use simulation::{Report, Simulation};
pub use site::{Admission, AdmissionResult, ConnectionFaults, Owner, ResponseFaults, Site, SocketFault};
pub use tally::{Second, Tally};
