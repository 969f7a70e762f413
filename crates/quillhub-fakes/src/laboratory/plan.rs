//! Plan of a run: load, behaviour of the endpoints, faults and signals, all determined by a seed.

use super::shim::{ShortIo, SocketFaults};
use crate::process::Signal;
use std::ops::Range;
use std::time::Duration;

/// When a proxy writes a surplus copy of a response.
#[derive(Clone, Debug, PartialEq)]
pub enum CopyTiming {
    /// After a delay drawn uniformly from zero to this maximum.
    Late(Duration),
    /// This long after the last byte of the next request on the connection.
    BehindNextRequest(Duration),
    /// After a delay drawn uniformly from this range, unless another request has reached the endpoint by then.
    Directly(Range<Duration>),
}

/// What a proxy writes as a surplus response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyShape {
    /// The response once more, unchanged.
    Identical,
    /// The response once more, in two writes.
    TwoPieces,
    /// The response once more, with status 503 in place of 200 and the reverse.
    OtherStatus,
    /// Bytes that are no response.
    Noise,
    /// An interim response.
    Interim,
    /// The response once more; then the connection is closed.
    ThenClose,
    /// The response once more; then the connection is reset.
    ThenReset,
}

impl CopyShape {
    /// All shapes.
    pub const ALL: [Self; 7] = [
        Self::Identical,
        Self::TwoPieces,
        Self::OtherStatus,
        Self::Noise,
        Self::Interim,
        Self::ThenClose,
        Self::ThenReset,
    ];
}

/// Surplus responses of some endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct CopyPlan {
    /// One endpoint in this many writes surplus responses.
    pub one_endpoint_in: usize,
    /// Share of its responses that are followed by a surplus one, from 0 to 1.
    pub share: f64,
    /// Time of the surplus response.
    pub timing: CopyTiming,
    /// Content of the surplus response.
    pub shape: CopyShape,
}

/// Rejections that are malformed, as more bytes follow them than they announce. The endpoint executes these calls.
#[derive(Clone, Debug, PartialEq)]
pub struct SpoiltRejectionPlan {
    /// Share of all calls that get such a response, from 0 to 1.
    pub share: f64,
    /// Maximum time from the announced end of the response to the surplus, at most until the deadline that the call
    /// states. The time is zero for a third of the responses, otherwise up to 10 ms or up to this maximum.
    pub max_delay: Duration,
}

/// Endpoints that stop answering for a while: a call that arrives meanwhile is read and never answered, and its
/// connection stays open. On some connections a copy of the last response arrives behind the first such call.
#[derive(Clone, Debug, PartialEq)]
pub struct HangPlan {
    /// One endpoint in this many hangs, one after the other.
    pub one_endpoint_in: usize,
    /// Time for which the first endpoint hangs, from the start of the load.
    pub time: Range<Duration>,
    /// Share of the connections with a copy, from 0 to 1.
    pub copied_share: f64,
    /// Maximum time from the last byte of a call to the copy.
    pub max_copy_delay: Duration,
}

impl HangPlan {
    /// Time from the start of one endpoint's hang to that of the next one's.
    const STAGGER: Duration = Duration::from_millis(150);

    /// Returns hangs without copies.
    pub(super) fn without_copies(one_endpoint_in: usize, time: Range<Duration>) -> Self {
        Self { one_endpoint_in, time, copied_share: 0.0, max_copy_delay: Duration::ZERO }
    }

    /// Returns the time for which an endpoint hangs, from the start of the load, if it does.
    pub(super) fn time_of(&self, endpoint: usize) -> Option<Range<Duration>> {
        let offset = Self::STAGGER * (endpoint / self.one_endpoint_in) as u32;
        (endpoint % self.one_endpoint_in == 0).then(|| self.time.start + offset..self.time.end + offset)
    }
}

/// Responses with status 410, which say that the message is over, in many forms: whole, cut off, with bytes behind them,
/// written twice, on connections that stay open, are closed or are reset.
#[derive(Clone, Debug, PartialEq)]
pub struct OverPlan {
    /// Share of all calls that get such a response, from 0 to 1.
    pub share: f64,
    /// Share of the other calls that get a response with status 504, which says that the message has had all its attempts.
    pub exhausted_share: f64,
    /// `true` if bytes or copies follow some of the responses.
    pub has_surplus: bool,
}

/// Calls that get no response on a connection that stays open.
#[derive(Clone, Debug, PartialEq)]
pub struct SilencePlan {
    /// Time left below which a call is dropped without being executed.
    pub dropped_below: Duration,
    /// Share of the other calls that are executed and whose responses are lost, from 0 to 1.
    pub lost_share: f64,
}

/// Destinations that get nothing but clumps of messages, submitted together, in turn.
#[derive(Clone, Debug, PartialEq)]
pub struct ClumpPlan {
    /// Number of these destinations, in addition to the others.
    pub destinations: u64,
    /// Messages of a clump.
    pub messages: usize,
    /// Time from one clump of an instance to the next.
    pub interval: Duration,
    /// Time for which each of their endpoints stops answering after its first response, behind which it writes a copy.
    pub hang_time: Duration,
    /// Range from which the time from that response to the copy is drawn.
    pub copy_delay: Range<Duration>,
}

/// Hold-ups of the instances by SIGSTOP and SIGCONT, in cycles: while clients submit messages, at a random moment of the
/// time that these messages have, and at their deadline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldUpPlan {
    /// Length of each hold-up but those while clients submit messages.
    pub length: Duration,
    /// Length of the hold-ups while clients submit messages.
    pub submission_length: Duration,
    /// Messages that are submitted meanwhile in each way: on open, on new and on pipelined connections.
    pub messages: u64,
    /// Length of a cycle; longer than the messages have, by what their ends may take.
    pub cycle: Duration,
}

/// Faults of the platform, of which each message meets at most one.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformFaultPlan {
    /// Share of requests that are confirmed late, from 0 to 1.
    pub late_share: f64,
    /// Time after which they are confirmed.
    pub late_by: Duration,
    /// Share of requests that are neither read nor answered, from 0 to 1.
    pub lost_share: f64,
    /// Time at which the platform moves to another address, from the start of the load, if it does: all instances get SIGHUP,
    /// and the old address loses all requests from then on.
    pub moves_at: Option<Duration>,
}

/// Clients that connect, send PING, and stay idle until the instance closes their connection. All whose connections were
/// closed come back together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrowdPlan {
    /// Number of clients of the first instance.
    pub clients: usize,
    /// Time between two returns.
    pub interval: Duration,
}

/// Messages whose deadlines fall on the same moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BurstPlan {
    /// Number of messages of each instance.
    pub messages: u64,
    /// Number of messages that are submitted together on one connection.
    pub messages_per_connection: u64,
    /// Time between two such submissions.
    pub interval: Duration,
    /// Common deadline, from the start of the load.
    pub deadline: Duration,
}

/// SIGHUP to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reload {
    /// Time of the signal, from the start of the load.
    pub at: Duration,
    /// Index of the instance.
    pub instance: usize,
}

/// Restart of an instance on its state directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restart {
    /// Time of the signal, from the start of the load.
    pub at: Duration,
    /// Index of the instance.
    pub instance: usize,
    /// Signal that ends the process.
    pub signal: Signal,
    /// Seconds by which the wall clock is set forward before the restart, or back if negative.
    pub wall_clock_step_s: i64,
}

impl Restart {
    /// Returns the restart of the first instance after SIGKILL.
    pub fn kill(at: Duration) -> Self {
        Self { at, instance: 0, signal: Signal::KILL, wall_clock_step_s: 0 }
    }
}

/// Pause of an instance by SIGSTOP and SIGCONT.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pause {
    /// Time of SIGSTOP, from the start of the load.
    pub at: Duration,
    /// Index of the instance.
    pub instance: usize,
    /// Time until SIGCONT.
    pub length: Duration,
}

/// Operations on the files of the first instance that fail for a while.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StorageFaults {
    /// Time of the faults, from the start of the load.
    pub time: Range<Duration>,
    /// Share of operations that fail, in percent.
    pub failed_percent: u32,
}

/// Service class of the messages in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceClassPlan {
    /// Name, as in the settings.
    pub name: &'static str,
    /// Value of the setting `effect`.
    pub effect: &'static str,
    /// Deduplication window; zero without one.
    pub window: Duration,
}

/// Service classes of every run: idempotent, deduplicated, at most once.
pub const SERVICE_CLASSES: [ServiceClassPlan; 3] = [
    ServiceClassPlan { name: "free", effect: "free", window: Duration::ZERO },
    ServiceClassPlan { name: "keyed", effect: "guarded", window: Duration::from_secs(2) },
    ServiceClassPlan { name: "once", effect: "single_shot", window: Duration::ZERO },
];

/// Time from submission to deadline of short-lived messages.
pub(super) const SHORT_TIME_TO_LIVE: Duration = Duration::from_millis(250);

/// Number of messages that an instance may have pending without a burst.
const MAX_PENDING: u64 = 512;

/// Plan of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Seed of all draws during the run.
    pub seed: u64,
    /// Number of instances.
    pub instances: usize,
    /// Number of destinations.
    pub destinations: u64,
    /// Number of endpoints of each destination.
    pub endpoints_per_destination: usize,
    /// Duration of the load.
    pub load_time: Duration,
    /// Messages per second and instance.
    pub rate_per_s: f64,
    /// Time from submission to deadline.
    pub time_to_live: Duration,
    /// Share of the messages whose time to live is 250 ms instead, from 0 to 1.
    pub short_lived_share: f64,
    /// Number of ordering keys of each instance, if its messages have any. All classes are ordered then.
    pub ordering_keys: Option<u64>,
    /// Share of the submissions that are three pipelined messages on a new connection, from 0 to 1.
    pub pipelined_share: f64,
    /// Share of the calls that are answered just before the deadline that they state, from 0 to 1.
    pub just_in_time_share: f64,
    /// Range from which the time that bytes take on a connection is drawn, in each direction.
    pub path_time: Range<Duration>,
    /// Range from which an endpoint draws the time that a call takes.
    pub service_time: Range<Duration>,
    /// Share of calls that are rejected with status 503.
    pub rejected_share: f64,
    /// Share of calls that fail with status 500.
    pub failed_share: f64,
    /// Share of calls that are answered by interim responses without end.
    pub endless_share: f64,
    /// Calls without a response, if any.
    pub silences: Option<SilencePlan>,
    /// Destinations that are called seldom, if any.
    pub clumps: Option<ClumpPlan>,
    /// Messages whose deadlines fall on the same moment, if any.
    pub burst: Option<BurstPlan>,
    /// Surplus responses, if any.
    pub copies: Option<CopyPlan>,
    /// Malformed rejections, if any.
    pub spoilt_rejections: Option<SpoiltRejectionPlan>,
    /// Endpoints that stop answering, if any.
    pub hangs: Option<HangPlan>,
    /// Responses with status 410, if any.
    pub over: Option<OverPlan>,
    /// Range from which an endpoint draws the time after which it closes a connection that rests, if it does.
    pub rest_before_close: Option<Range<Duration>>,
    /// Restarts, in order of time.
    pub restarts: Vec<Restart>,
    /// Reloads, in order of time.
    pub reloads: Vec<Reload>,
    /// Pauses, in order of time.
    pub pauses: Vec<Pause>,
    /// Hold-ups of the instances, if any.
    pub hold_ups: Option<HoldUpPlan>,
    /// Faults of the platform, if any.
    pub platform_faults: Option<PlatformFaultPlan>,
    /// Time for which discovery does not respond, from the start of the load, if it does so.
    pub discovery_outage: Option<Range<Duration>>,
    /// Idle clients, if any.
    pub crowd: Option<CrowdPlan>,
    /// `true` if the kernel does not stamp input that arrives at the instances.
    pub is_input_unstamped: bool,
    /// Reads and writes on sockets of the instances that do not complete, if any.
    pub short_io: Option<ShortIo>,
    /// Failing calls on sockets of the instances, if any.
    pub socket_faults: Option<SocketFaults>,
    /// Failing operations on files, if any.
    pub storage_faults: Option<StorageFaults>,
}

impl Plan {
    /// Returns the number of messages that an instance may have pending.
    pub(super) fn max_pending(&self) -> u64 {
        MAX_PENDING + self.burst.as_ref().map_or(0, |burst| burst.messages)
    }

    /// Returns the number of endpoints, of which those for clumps are the last.
    pub(super) fn endpoint_count(&self) -> usize {
        let for_clumps = self.clumps.as_ref().map_or(0, |clumps| clumps.destinations);
        self.destinations as usize * self.endpoints_per_destination + for_clumps as usize
    }

    /// Returns the destination of an endpoint. One that gets clumps has a single endpoint.
    pub(super) fn destination_of(&self, endpoint: usize) -> u64 {
        let regular = self.destinations as usize * self.endpoints_per_destination;
        match endpoint.checked_sub(regular) {
            Some(index) => self.destinations + 1 + index as u64,
            None => 1 + endpoint as u64 % self.destinations,
        }
    }

    /// Returns the plan of clumps if the endpoint gets nothing else.
    pub(super) fn clumps_at(&self, endpoint: usize) -> Option<&ClumpPlan> {
        self.clumps.as_ref().filter(|_| self.destination_of(endpoint) > self.destinations)
    }
}
