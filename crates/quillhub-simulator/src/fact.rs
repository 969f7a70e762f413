//! Facts: the record of a run, which the auditor, the tally and `explain` evaluate.

use quillhub::{AttemptOutcome, DestinationId, EndpointState, MessageId};
use std::time::Duration;

/// Final outcome of a message, as reported to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalOutcome {
    /// An endpoint reported success.
    Delivered,
    /// The message was not delivered and is safe to submit again.
    Rejected {
        /// Recommended delay before the client submits the message again, if any.
        retry_after: Option<Duration>,
    },
    /// The message is not known to have been delivered, but may have been executed.
    Abandoned,
}

/// Event of a run, as recorded by the simulation. Instances are numbered from 0. A message identifier identifies one
/// submission and stays the same when the message is recovered after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fact<'a> {
    /// An instance accepted a submitted message.
    Accepted {
        /// Instance that accepted the message.
        instance: usize,
        /// Identifier assigned for this submission.
        message_id: MessageId,
        /// The client's number of the message, which is the same at each submission.
        request: u64,
        /// Name of the service class.
        service_class: &'a str,
        /// Destination of the message.
        destination: DestinationId,
        /// Ordering key; absent if the service class is not ordered.
        ordering_key: Option<u64>,
        /// Deadline for the final outcome, as time since the start of the run.
        deadline: Duration,
    },
    /// An instance started an attempt, which occupies one of its slots from now on.
    AttemptStarted {
        /// Instance that started the attempt.
        instance: usize,
        /// Message that is attempted.
        message_id: MessageId,
        /// Number of the attempt among those of its message, counted from 0.
        attempt: u32,
        /// Name of the endpoint called.
        endpoint: &'a str,
        /// Time after which the attempt ends as timed out.
        timeout: Duration,
    },
    /// An instance sent the first byte of a request; it may be lost if the connection is broken.
    FirstByteSent {
        /// Instance that sent the byte.
        instance: usize,
        /// Message that is attempted.
        message_id: MessageId,
        /// Number of the attempt, counted from 0.
        attempt: u32,
    },
    /// A call reached its endpoint, which may execute, reject or ignore it.
    AttemptArrived {
        /// Instance that made the call.
        instance: usize,
        /// Message that is attempted.
        message_id: MessageId,
        /// Number of the attempt, counted from 0.
        attempt: u32,
    },
    /// The destination executed a call, or dropped it as a duplicate.
    Executed {
        /// Message that was attempted.
        message_id: MessageId,
        /// The client's number of the message.
        request: u64,
        /// Number of the attempt, counted from 0.
        attempt: u32,
        /// `true` if the destination recognized the idempotency key and dropped the call.
        deduplicated: bool,
        /// `true` if the request was executed before although its service class is not idempotent, and the destination
        /// did not recognize it.
        duplicate_effect: bool,
    },
    /// An instance received the outcome of an attempt.
    AttemptEnded {
        /// Instance that made the attempt.
        instance: usize,
        /// Message that was attempted.
        message_id: MessageId,
        /// Number of the attempt, counted from 0.
        attempt: u32,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
    },
    /// An instance reported the final outcome of a message.
    Finished {
        /// Instance that had accepted the message.
        instance: usize,
        /// Message that is finished.
        message_id: MessageId,
        /// Final outcome of the message.
        outcome: FinalOutcome,
    },
    /// An instance received the state of an endpoint from service discovery.
    EndpointLearned {
        /// Instance that received the state.
        instance: usize,
        /// Name of the endpoint.
        endpoint: &'a str,
        /// State of the endpoint in the endpoint list.
        state: EndpointState,
    },
    /// An instance died.
    InstanceDied {
        /// Instance that died.
        instance: usize,
        /// `true` if its state directory is kept; otherwise all its pending messages are lost.
        state_kept: bool,
    },
    /// An instance stalled: it handles no events for a while.
    InstanceStalled {
        /// Instance that stalled.
        instance: usize,
        /// End of the stall, as time since the start of the run.
        until: Duration,
    },
    /// An instance started or restarted.
    InstanceStarted {
        /// Instance that started.
        instance: usize,
        /// `true` if it recovered pending messages from its state directory.
        state_recovered: bool,
    },
    /// An endpoint was added to a route: to that of its destination, or to its own if the destination has separate
    /// routes.
    EndpointPlaced {
        /// Name of the endpoint.
        endpoint: &'a str,
        /// Name of the zone that the endpoint is in.
        zone: &'a str,
        /// Number of the route.
        route: usize,
    },
    /// A route went down: all its endpoints have an outage.
    RouteDown {
        /// Number of the route.
        route: usize,
    },
    /// A route recovered from an outage, at a reduced capacity that grows until the end of its warm-up.
    RouteRecovered {
        /// Number of the route.
        route: usize,
        /// Full capacity of the route, in calls per 1000 seconds.
        milli_per_s: u64,
    },
    /// A recovering route was overloaded, and stays down for the rest of the run.
    RouteOverloaded {
        /// Number of the route.
        route: usize,
    },
    /// A fault began, or ended.
    FaultChanged {
        /// Index of the fault in the scenario.
        number: usize,
        /// `true` if the fault began, `false` if it ended.
        begins: bool,
    },
}

impl Fact<'_> {
    /// Returns the identifier of the message concerned, if any.
    pub fn message_id(&self) -> Option<MessageId> {
        match self {
            Self::Accepted { message_id, .. }
            | Self::AttemptStarted { message_id, .. }
            | Self::FirstByteSent { message_id, .. }
            | Self::AttemptArrived { message_id, .. }
            | Self::Executed { message_id, .. }
            | Self::AttemptEnded { message_id, .. }
            | Self::Finished { message_id, .. } => Some(*message_id),
            _ => None,
        }
    }
}

/// Formats a fact as a line of text for operators, after its time in seconds.
pub fn line(at: Duration, fact: &Fact) -> String {
    format!("{:11.6}  {}", at.as_secs_f64(), sentence(fact))
}

fn sentence(fact: &Fact) -> String {
    match fact {
        Fact::Accepted {
            instance,
            message_id,
            request,
            service_class,
            destination,
            ordering_key,
            deadline,
        } => format!(
            "instance {instance} accepts message {message_id} (request {request}): {service_class} for \
             destination {destination}{}, deadline {:.3} s",
            ordering_key.map_or(String::new(), |key| format!(", ordering key {key}")),
            deadline.as_secs_f64()
        ),
        Fact::AttemptStarted { instance, message_id, attempt, endpoint, timeout } => format!(
            "instance {instance} starts attempt {attempt} of message {message_id} at {endpoint}, with a timeout \
             of {:.3} s",
            timeout.as_secs_f64()
        ),
        Fact::FirstByteSent { message_id, attempt, .. } => {
            format!("first byte of message {message_id}, attempt {attempt}, is sent")
        }
        Fact::AttemptArrived { message_id, attempt, .. } => {
            format!("message {message_id}, attempt {attempt}, reaches its endpoint")
        }
        Fact::Executed { message_id, attempt, deduplicated, duplicate_effect, .. } => {
            let execution = match (deduplicated, duplicate_effect) {
                (true, _) => "is dropped as a duplicate by its idempotency key",
                (_, true) => "is executed a second time",
                _ => "is executed",
            };
            format!("message {message_id}, attempt {attempt}, {execution}")
        }
        Fact::AttemptEnded { instance, message_id, attempt, outcome } => {
            format!(
                "instance {instance} receives the outcome of message {message_id}, attempt {attempt}: {outcome:?}"
            )
        }
        Fact::Finished { instance, message_id, outcome } => {
            format!("instance {instance} finishes message {message_id}: {outcome:?}")
        }
        other => format!("{other:?}"),
    }
}
