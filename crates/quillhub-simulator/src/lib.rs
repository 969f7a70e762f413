//! The world that couriers serve, in virtual time: destinations, the network, the register, clients, and the
//! faults of all of these. It has no I/O and no threads, and one seed settles a run to the last bit.
//!
//! A [`Day`] says what there is and what happens to it. [`World::run`] plays it: for each courier it starts one
//! [`Decider`], the real module ([`module`]) or whatever is to be compared with it, tells it its inputs and
//! carries out its acts. What happens comes out as [`Fact`]s, from which an [`Auditor`] judges the six rules
//! without knowing the module, and a [`Tally`] counts. All figures of the emulator are simulated.
//!
//! ```
//! use quillhub_simulator::{Day, World, module};
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
//! let day: Day = toml::from_str(text).unwrap();
//! day.check().unwrap();
//! let run = || World::run(&day, 7, &module, |_, _| {});
//! let (first, second) = (run(), run());
//! assert!(first.breaches.is_empty() && first.tally.asked > 300);
//! assert_eq!(first.hash, second.hash);
//! ```

mod audit;
mod clients;
mod conditions;
mod day;
mod decider;
mod fact;
pub mod faults;
mod limit;
mod network;
mod server;
mod site;
mod tally;
mod world;

pub use audit::{Auditor, Breach, Rule};
pub use clients::{Arrival, arrivals};
pub use day::{
    Arrivals, Couriers, Day, Destinations, GradeOf, Law, LimitOf, Network, Pattern, Register, RegisterForm,
    Returns, Service,
};
pub use decider::{Decider, Input, Start, module};
pub use fact::{Answered, Fact, line};
pub use faults::Whom;
pub use site::{Shown, Site, Taken};
pub use tally::{Second, Tally};
pub use world::{Report, World};
