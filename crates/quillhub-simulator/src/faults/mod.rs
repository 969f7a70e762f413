//! Faults of a scenario, as data: time, kind, target and parameters.
//!
//! Faults may overlap. Each kind has a module with its parameters and its effect on the simulation, and a variant of
//! [`Fault`].

mod crash;
mod cut;
mod delay;
mod discovery_outage;
mod drain;
mod errors;
mod gossip;
mod handshake;
mod hang;
mod hot_destinations;
mod loss;
mod lost_responses;
mod partial_snapshot;
mod refuse;
mod shut;
mod silent;
mod slow;
mod stale;
mod stall;
mod target;
mod traffic_surge;

use crate::active_faults::{PathFault, ServerFault};
use serde::{Deserialize, Serialize};
use std::time::Duration;

pub use crash::Crash;
pub use cut::Cut;
pub use delay::Delay;
pub use discovery_outage::DiscoveryOutage;
pub use drain::Drain;
pub use errors::Errors;
pub use gossip::Gossip;
pub use handshake::Handshake;
pub use hot_destinations::HotDestinations;
pub use loss::Loss;
pub use lost_responses::LostResponses;
pub use partial_snapshot::PartialSnapshot;
pub use shut::Shut;
pub use slow::Slow;
pub use stale::Stale;
pub use target::Target;
pub(crate) use target::target_rng;
pub use traffic_surge::TrafficSurge;

/// Fault with its time and its target.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledFault {
    /// Time at which the fault begins, since the start of the scenario.
    #[serde(rename = "at", with = "humantime_serde")]
    pub start: Duration,
    /// Time from the begin of the fault to its end.
    #[serde(rename = "lasts", with = "humantime_serde")]
    pub duration: Duration,
    /// Kind and parameters of the fault.
    #[serde(rename = "what")]
    pub fault: Fault,
    /// Destinations, endpoints or instances affected; all by default.
    #[serde(default)]
    #[serde(rename = "whom")]
    pub target: Target,
}

impl ScheduledFault {
    /// Returns the factor by which the fault multiplies the rate of a stream; `None` if the fault does not affect the
    /// stream.
    pub(crate) fn surge_factor(&self, stream_index: usize) -> Option<f64> {
        match self.fault.injection(self) {
            Injection::TrafficSurge { stream, factor } if stream.is_none_or(|only| only == stream_index) => {
                Some(factor)
            }
            _ => None,
        }
    }
}

/// Kind of a fault. In experiment files, a kind without parameters is a string, any other a table with one key.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Endpoints refuse new connections and reset established ones.
    Refuse,
    /// Endpoints accept connections but respond to no call.
    Hang,
    /// Endpoints answer no packet at all, so connection attempts time out as well.
    Silent,
    /// Instances handle no events until the end of the fault.
    Stall,
    /// A share of the calls fails quickly with an error.
    Errors(Errors),
    /// Destinations reject all calls without executing them.
    Shut(Shut),
    /// Calls take longer to execute.
    Slow(Slow),
    /// A share of the responses is lost after the calls were executed.
    #[serde(rename = "mute")]
    LostResponses(LostResponses),
    /// A share of the idle connections turns out broken when reused.
    Stale(Stale),
    /// Opening a connection to an endpoint takes longer.
    Handshake(Handshake),
    /// All traffic from one zone to another is dropped.
    Cut(Cut),
    /// A share of the traffic from one zone to another is dropped.
    Loss(Loss),
    /// Traffic from one zone to another takes longer.
    Delay(Delay),
    /// Service discovery is unreachable or delayed.
    #[serde(rename = "register")]
    DiscoveryOutage(DiscoveryOutage),
    /// Service discovery sends a snapshot in which endpoints are missing.
    #[serde(rename = "partial")]
    PartialSnapshot(PartialSnapshot),
    /// Endpoints drain one after the other and are removed.
    Drain(Drain),
    /// Instances die, and restart at the end of the fault.
    Crash(Crash),
    /// Gossip between instances is lost or delayed.
    #[serde(rename = "notes")]
    Gossip(Gossip),
    /// More messages arrive than usual.
    #[serde(rename = "crowd")]
    TrafficSurge(TrafficSurge),
    /// Some destinations receive more than their usual share of the messages.
    #[serde(rename = "hot")]
    HotDestinations(HotDestinations),
}

/// Result of checking a fault's parameters; the error is the invalid key, the expected values, and the value found.
pub(crate) type CheckResult = Result<(), (&'static str, &'static str, String)>;

fn invalid(field: &'static str, expected: &'static str, found: impl ToString) -> CheckResult {
    Err((field, expected, found.to_string()))
}

fn check_share(field: &'static str, value: f64) -> CheckResult {
    if (0.0..=1.0).contains(&value) { Ok(()) } else { invalid(field, "a share from 0 to 1", value) }
}

fn check_positive(field: &'static str, value: f64) -> CheckResult {
    if value > 0.0 && value.is_finite() { Ok(()) } else { invalid(field, "a number greater than 0", value) }
}

/// Effect of a fault on the simulation, from its begin to its end.
pub(crate) enum Injection<'a> {
    /// Adds a fault to the servers of the target.
    Servers(ServerFault),
    /// Adds a fault to the network paths from one zone to another.
    Paths {
        /// Zone that the traffic comes from; any if absent.
        from: &'a Option<String>,
        /// Zone that the traffic goes to; any if absent.
        to: &'a Option<String>,
        /// Fault of the paths.
        kind: PathFault,
    },
    /// Delays service discovery by the given time, or makes it unreachable.
    Discovery(Option<Duration>),
    /// Sends a snapshot without the given share of the target's endpoints, and the complete one at the end.
    PartialSnapshot(f64),
    /// Drains the endpoints of the target one after the other.
    Drain(&'a Drain),
    /// Kills the instances of the target, and restarts them at the end.
    Crash {
        /// `true` if the state directories are lost.
        state_directory_lost: bool,
    },
    /// Stalls the instances of the target until the end.
    Stall,
    /// Drops or delays gossip between instances.
    Gossip {
        /// Share of the gossip messages that are lost, from 0 to 1.
        lost_share: f64,
        /// Additional delay of the others.
        delay: Duration,
    },
    /// Multiplies the rate of arrivals.
    TrafficSurge {
        /// Index of the only stream affected; all streams if absent.
        stream: Option<usize>,
        /// Factor of the rate.
        factor: f64,
    },
    /// Multiplies the weight of the target's destinations in the distribution of messages by the given factor.
    HotDestinations(f64),
}

/// Behaviour of a kind of fault.
pub(crate) trait FaultKind {
    /// Checks the parameters; kinds without any need no check.
    fn check(&self) -> CheckResult {
        Ok(())
    }
    /// Returns the effect of the fault on the simulation; `scheduled` has its time and target.
    fn injection(&self, scheduled: &ScheduledFault) -> Injection<'_>;
}

impl Fault {
    fn kind(&self) -> &dyn FaultKind {
        match self {
            Self::Refuse => &refuse::Refuse,
            Self::Hang => &hang::Hang,
            Self::Silent => &silent::Silent,
            Self::Stall => &stall::Stall,
            Self::Errors(kind) => kind,
            Self::Shut(kind) => kind,
            Self::Slow(kind) => kind,
            Self::LostResponses(kind) => kind,
            Self::Stale(kind) => kind,
            Self::Handshake(kind) => kind,
            Self::Cut(kind) => kind,
            Self::Loss(kind) => kind,
            Self::Delay(kind) => kind,
            Self::DiscoveryOutage(kind) => kind,
            Self::PartialSnapshot(kind) => kind,
            Self::Drain(kind) => kind,
            Self::Crash(kind) => kind,
            Self::Gossip(kind) => kind,
            Self::TrafficSurge(kind) => kind,
            Self::HotDestinations(kind) => kind,
        }
    }

    /// Returns `true` if the numbers in its [`Target`] are those of instances rather than destinations.
    pub(crate) fn targets_instances(&self) -> bool {
        matches!(self, Self::Stall | Self::Crash(_))
    }

    /// Checks the parameters of the fault.
    pub(crate) fn check(&self) -> CheckResult {
        self.kind().check()
    }

    /// Returns the zones that the fault names, other than in its [`Target`].
    pub(crate) fn zones(&self) -> Vec<&String> {
        let (from, to) = match self {
            Self::Cut(Cut { from, to }) => (from, to),
            Self::Loss(Loss { from, to, .. }) | Self::Delay(Delay { from, to, .. }) => (from, to),
            _ => return Vec::new(),
        };
        from.iter().chain(to).collect()
    }

    /// Returns the effect of the fault on the simulation.
    pub(crate) fn injection(&self, scheduled: &ScheduledFault) -> Injection<'_> {
        self.kind().injection(scheduled)
    }
}
