//! Faults of a scenario, as data: when, what, at which target, how much. They compose; each kind is one file here,
//! which says how it begins and how it ends, and one line in [`Fault`].

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

use crate::conditions::{PathFault, ServerFault};
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

/// A fault, when it begins and how long it lasts.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledFault {
    /// When it begins, since the start of the scenario.
    #[serde(rename = "at", with = "humantime_serde")]
    pub start: Duration,
    /// How long it lasts.
    #[serde(rename = "lasts", with = "humantime_serde")]
    pub duration: Duration,
    /// What it does.
    #[serde(rename = "what")]
    pub fault: Fault,
    /// Who is struck.
    #[serde(default)]
    #[serde(rename = "whom")]
    pub target: Target,
}

impl ScheduledFault {
    /// How many times as much of a stream comes by it.
    pub(crate) fn surge_factor(&self, nth: usize) -> Option<f64> {
        match self.fault.injection(self) {
            Injection::TrafficSurge { stream, factor } if stream.is_none_or(|one| one == nth) => Some(factor),
            _ => None,
        }
    }
}

/// The kinds of fault; those with nothing more to say are written as a word, others as a table of one row.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Endpoints refuse connections, and reset those that stood.
    Refuse,
    /// Endpoints take calls and answer none.
    Hang,
    /// Nothing at all comes back from endpoints, not even for a connection.
    Silent,
    /// Instances stand still.
    Stall,
    /// Endpoints fail a share of the calls.
    Errors(Errors),
    /// Destinations are shut.
    Shut(Shut),
    /// Calls take longer at endpoints.
    Slow(Slow),
    /// A share of the answers is lost.
    #[serde(rename = "mute")]
    LostResponses(LostResponses),
    /// A share of the kept connections is dead.
    Stale(Stale),
    /// Opening a connection takes longer.
    Handshake(Handshake),
    /// Nothing gets from one zone to another.
    Cut(Cut),
    /// A share of what goes from one zone to another is lost.
    Loss(Loss),
    /// The way from one zone to another takes longer.
    Delay(Delay),
    /// Service discovery is out of reach, or late.
    #[serde(rename = "register")]
    DiscoveryOutage(DiscoveryOutage),
    /// Service discovery tells a list that is not whole.
    #[serde(rename = "partial")]
    PartialSnapshot(PartialSnapshot),
    /// Endpoints drain.
    Drain(Drain),
    /// Instances die and start again.
    Crash(Crash),
    /// Gossip between instances is lost, or late.
    #[serde(rename = "notes")]
    Gossip(Gossip),
    /// More messages come.
    #[serde(rename = "crowd")]
    TrafficSurge(TrafficSurge),
    /// Some destinations get more than their share of the messages.
    #[serde(rename = "hot")]
    HotDestinations(HotDestinations),
}

/// The field that is wrong, what is expected there, and what was found.
pub(crate) type CheckResult = Result<(), (&'static str, &'static str, String)>;

fn invalid(field: &'static str, wanted: &'static str, found: impl ToString) -> CheckResult {
    Err((field, wanted, found.to_string()))
}

fn check_share(field: &'static str, value: f64) -> CheckResult {
    if (0.0..=1.0).contains(&value) { Ok(()) } else { invalid(field, "a share from 0 to 1", value) }
}

fn check_positive(field: &'static str, value: f64) -> CheckResult {
    if value > 0.0 && value.is_finite() { Ok(()) } else { invalid(field, "a number over 0", value) }
}

/// What a fault does to the simulation, from its begin to its end.
pub(crate) enum Injection<'a> {
    /// To the servers struck.
    Servers(ServerFault),
    /// To the paths from one zone to another; absent, any.
    Paths {
        from: &'a Option<String>,
        to: &'a Option<String>,
        kind: PathFault,
    },
    /// Service discovery is so much later, or out of reach.
    Discovery(Option<Duration>),
    /// A snapshot without such a share of the target endpoints is sent, and the true one at the end.
    PartialSnapshot(f64),
    Drain(&'a Drain),
    Crash {
        state_directory_lost: bool,
    },
    Stall,
    /// Gossip between instances is lost, or so much later.
    Gossip {
        lost: f64,
        delay: Duration,
    },
    TrafficSurge {
        stream: Option<usize>,
        factor: f64,
    },
    HotDestinations(f64),
}

/// A kind of fault.
pub(crate) trait FaultKind {
    fn check(&self) -> CheckResult {
        Ok(())
    }
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

    /// Whether the numbers of its [`Target`] are those of instances.
    pub(crate) fn targets_instances(&self) -> bool {
        matches!(self, Self::Stall | Self::Crash(_))
    }

    pub(crate) fn check(&self) -> CheckResult {
        self.kind().check()
    }

    /// The zones that it names.
    pub(crate) fn zones(&self) -> Vec<&String> {
        let (from, to) = match self {
            Self::Cut(Cut { from, to }) => (from, to),
            Self::Loss(Loss { from, to, .. }) | Self::Delay(Delay { from, to, .. }) => (from, to),
            _ => return Vec::new(),
        };
        from.iter().chain(to).collect()
    }

    pub(crate) fn injection(&self, scheduled: &ScheduledFault) -> Injection<'_> {
        self.kind().injection(scheduled)
    }
}
