//! Fault laboratory: runs real instance processes against clients, endpoints, discovery and platform on loopback, with a
//! faulty proxy in front of each endpoint and signals to the processes, and counts from the outside which rules broke.
//!
//! A seed determines the whole schedule of a run: load, faults and signals. The time that the system takes to transmit
//! and to schedule is real, so that two runs of one seed are alike but not identical. The verdict comes only from what
//! clients, endpoints and platform recorded, never from an instance.

mod audit;
mod builders;
mod client;
mod crowd;
mod endpoint;
mod hold_up;
mod hold_up_plans;
mod plan;
mod platform_faults;
mod proxy;
mod record;
mod response;
mod run;
mod shim;
mod state;

pub use audit::{Tally, Verdict, Violation};
pub use plan::{
    BurstPlan, ClumpPlan, CopyPlan, CopyShape, CopyTiming, CrowdPlan, HangPlan, HoldUpPlan, OverPlan, Pause,
    Plan, PlatformFaultPlan, Reload, Restart, ServiceClassPlan, SilencePlan, SpoiltRejectionPlan,
    StorageFaults,
};
pub use run::run;
pub use shim::{ShortIo, SocketFaults};
