//! What happened in a run, one fact at a time: for the auditor, for figures, and for whoever asks after one message.

use quillhub::{AttemptOutcome, DestinationId, EndpointState, MessageId};
use std::time::Duration;

/// How a message ended, as its client hears it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalOutcome {
    /// Delivered.
    Delivered,
    /// Rejected: a retry is harmless.
    Rejected {
        /// How long to wait before it, if that is known.
        retry_after: Option<Duration>,
    },
    /// Abandoned: it may have taken effect or not.
    Abandoned,
}

/// One fact; `instance` counts from 0, and `message` names one submission, which survives a restart with a state
/// directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fact<'a> {
    /// A message was submitted and accepted; `request` is the client's own number for it, the same at each
    /// submission.
    Accepted {
        /// The instance that accepted it.
        instance: usize,
        /// Its number.
        message_id: MessageId,
        /// Its client's number.
        request: u64,
        /// Its service class.
        service_class: &'a str,
        /// Where it goes.
        destination: DestinationId,
        /// Its ordering key, where its class asks for order.
        ordering_key: Option<u64>,
        /// Its deadline, since the start of the run.
        deadline: Duration,
    },
    /// An instance decided on an attempt, which takes a slot from now on.
    AttemptStarted {
        /// The instance that decided.
        instance: usize,
        /// The message.
        message_id: MessageId,
        /// The attempt's number, from 0.
        attempt: u32,
        /// The endpoint that it goes to.
        endpoint: &'a str,
        /// After which it ends as timed out.
        timeout: Duration,
    },
    /// Its first byte left; on a connection that broke, it may not arrive.
    FirstByteSent {
        /// The instance that it left.
        instance: usize,
        /// The message.
        message_id: MessageId,
        /// The attempt's number.
        attempt: u32,
    },
    /// It reached its endpoint, whatever the endpoint makes of it.
    AttemptArrived {
        /// The instance that it comes from.
        instance: usize,
        /// The message.
        message_id: MessageId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Its effect took place; `deduplicated` if the destination knew its idempotency key and
    /// dropped it; `duplicate_effect` if the same request had
    /// its effect before, and must not, but the destination had forgotten its idempotency key.
    Executed {
        /// The message.
        message_id: MessageId,
        /// Its client's number.
        request: u64,
        /// The attempt's number.
        attempt: u32,
        /// Whether the destination knew its idempotency key and dropped it.
        deduplicated: bool,
        /// Whether the request had its effect before, and must not have it again.
        duplicate_effect: bool,
    },
    /// The instance learned the outcome of its attempt.
    AttemptEnded {
        /// The instance that learned of it.
        instance: usize,
        /// The message.
        message_id: MessageId,
        /// The attempt's number.
        attempt: u32,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// A message had its final outcome.
    Finished {
        /// The instance that had accepted it.
        instance: usize,
        /// The message.
        message_id: MessageId,
        /// Its final outcome.
        outcome: FinalOutcome,
    },
    /// An instance learned the state of an endpoint from service discovery.
    EndpointLearned {
        /// The instance that learned of it.
        instance: usize,
        /// The endpoint's name.
        endpoint: &'a str,
        /// What the list says of it.
        state: EndpointState,
    },
    /// An instance died; without `state_kept` all its pending messages are lost.
    InstanceDied {
        /// The instance that died.
        instance: usize,
        /// Whether its state directory outlasts it.
        state_kept: bool,
    },
    /// An instance stands still.
    InstanceStalled {
        /// The instance that stands still.
        instance: usize,
        /// Until when.
        until: Duration,
    },
    /// An instance began, or began again, with what is in its state directory or with nothing.
    InstanceStarted {
        /// The instance that began.
        instance: usize,
        /// Whether it recovered pending messages from its state directory.
        state_recovered: bool,
    },
    /// An endpoint appeared at a route: a destination, or one endpoint of it where routes are apart.
    EndpointPlaced {
        /// The endpoint's name.
        endpoint: &'a str,
        /// The zone that it stands in.
        zone: &'a str,
        /// The route that it belongs to.
        route: usize,
    },
    /// All that a route may be reached by is out.
    RouteDown {
        /// The route that is out.
        route: usize,
    },
    /// It is back, cold; warm it works off so many calls in a thousand seconds.
    RouteRecovered {
        /// The route that is back.
        route: usize,
        /// Its warm capacity, in calls in a thousand seconds.
        milli_per_s: u64,
    },
    /// It was pushed over, and stays down.
    RouteOverloaded {
        /// The route that fell.
        route: usize,
    },
    /// A fault began, or ended.
    FaultChanged {
        /// The fault's place in the scenario's list.
        number: usize,
        /// Whether it began, and did not end.
        begins: bool,
    },
}

impl Fact<'_> {
    /// The message that it is about, if it is about one.
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

/// One line for people: the instant in seconds, and the fact.
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
             destination {destination}{}, until {:.3}",
            ordering_key.map_or(String::new(), |key| format!(", ordering key {key}")),
            deadline.as_secs_f64()
        ),
        Fact::AttemptStarted { instance, message_id, attempt, endpoint, timeout } => format!(
            "instance {instance} starts attempt {attempt} of message {message_id} at {endpoint}, for {:.3} s",
            timeout.as_secs_f64()
        ),
        Fact::FirstByteSent { message_id, attempt, .. } => {
            format!("first byte of message {message_id}, attempt {attempt}")
        }
        Fact::AttemptArrived { message_id, attempt, .. } => {
            format!("message {message_id}, attempt {attempt}, is at its endpoint")
        }
        Fact::Executed { message_id, attempt, deduplicated, duplicate_effect, .. } => {
            let effect = match (deduplicated, duplicate_effect) {
                (true, _) => "is known by its idempotency key and dropped",
                (_, true) => "takes effect, a second time",
                _ => "takes effect",
            };
            format!("message {message_id}, attempt {attempt}, {effect}")
        }
        Fact::AttemptEnded { instance, message_id, attempt, outcome } => {
            format!("instance {instance} hears of message {message_id}, attempt {attempt}: {outcome:?}")
        }
        Fact::Finished { instance, message_id, outcome } => {
            format!("instance {instance} finishes message {message_id}: {outcome:?}")
        }
        other => format!("{other:?}"),
    }
}
