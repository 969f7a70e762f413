//! State that the auditor keeps of messages, attempts, ordering keys, routes and instances.

use crate::fact::FinalOutcome;
use quillhub::{AttemptOutcome, MessageId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Endpoint added by [`Fact::EndpointPlaced`](crate::Fact::EndpointPlaced).
#[derive(Clone, Copy)]
pub(super) struct Endpoint {
    /// Position in the order in which endpoints were added, counted from 0.
    pub(super) number: usize,
    /// Number of the zone that the endpoint is in, in the order of their first use.
    pub(super) zone: usize,
    /// Number of the route that the endpoint belongs to, as facts name it.
    pub(super) route: usize,
}

/// Attempt at a message.
pub(super) struct Attempt {
    /// Endpoint that the attempt goes to; absent if no endpoint of that name was added.
    pub(super) endpoint: Option<Endpoint>,
    /// Time at which the instance started the attempt.
    pub(super) started_at: Duration,
    /// Outcome that the instance received; absent until then.
    pub(super) outcome: Option<AttemptOutcome>,
    /// `true` if the instance died before it received the outcome.
    pub(super) orphaned: bool,
}

impl Attempt {
    /// Returns `true` if a live instance still waits for the outcome.
    pub(super) fn is_in_flight(&self) -> bool {
        self.outcome.is_none() && !self.orphaned
    }

    /// Returns `true` unless the outcome proves that the message was not executed by the attempt.
    pub(super) fn may_have_executed(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.known_not_executed())
    }
}

/// Message that an instance accepted.
pub(super) struct Message {
    /// Instance that accepted the message, counted from 0.
    pub(super) instance: usize,
    /// Index of the service class in the scenario.
    pub(super) service_class: usize,
    /// Ordering key; absent if the service class is not ordered.
    pub(super) ordering_key: Option<u64>,
    /// Time by which the message must have its final outcome.
    pub(super) deadline: Duration,
    /// Time of acceptance.
    pub(super) accepted_at: Duration,
    /// Attempts so far, by number.
    pub(super) attempts: BTreeMap<u32, Attempt>,
    /// Time and kind of the final outcome; absent while the message is pending.
    pub(super) finished: Option<(Duration, FinalOutcome)>,
    /// Time of the last execution at the destination; recorded only for at-most-once messages.
    pub(super) executed: Option<Duration>,
}

impl Message {
    /// Returns `true` if any attempt is in flight.
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.values().any(Attempt::is_in_flight)
    }

    /// Returns the first attempt that may have been executed.
    pub(super) fn first_possible_execution(&self) -> Option<&Attempt> {
        self.attempts.values().find(|attempt| attempt.may_have_executed())
    }
}

/// Pause of an ordering key after an attempt that may still be executed.
#[derive(Clone, Copy)]
pub(super) struct OrderingPause {
    /// End of the pause.
    pub(super) until: Duration,
    /// Message of that attempt, which may be retried during the pause.
    pub(super) message_id: MessageId,
}

/// Messages of an ordering key at one instance.
#[derive(Default)]
pub(super) struct OrderingQueue {
    /// Messages in the order of acceptance, without those that are finished and have no attempt in flight.
    pub(super) messages: VecDeque<MessageId>,
    /// Latest pause, which may have ended; absent if there was none.
    pub(super) pause: Option<OrderingPause>,
}

/// Recovery of a route from an outage, kept until its capacity is back to the full one.
#[derive(Clone, Copy)]
pub(super) struct Recovery {
    /// End of the outage.
    pub(super) recovered_at: Duration,
    /// Full capacity of the route, in calls per second.
    pub(super) full_capacity_per_s: f64,
}

/// Outage, recovery and load of a route.
#[derive(Default)]
pub(super) struct Route {
    /// `true` during an outage.
    pub(super) is_down: bool,
    /// Instances with a failed or rejected call during the latest outage.
    pub(super) informed: BTreeSet<usize>,
    /// Latest recovery, kept until the first call after the end of the warm-up; absent before any outage and during
    /// one.
    pub(super) recovery: Option<Recovery>,
    /// Arrival times and instances of the calls within the overload tolerance, recorded during a recovery.
    pub(super) calls: VecDeque<(Duration, usize)>,
    /// `true` once an overload was found during the current recovery, after which no further one is reported.
    pub(super) overload_found: bool,
}

/// Retry-after that an instance received from a route.
#[derive(Clone, Copy)]
pub(super) struct RetryAfter {
    /// Time at which the instance received it.
    pub(super) since: Duration,
    /// Time at which it expires.
    pub(super) until: Duration,
}

/// Knowledge of an instance that constrains its attempts, and the time up to which it could not act.
#[derive(Default)]
pub(super) struct Instance {
    /// Times since which the instance has known endpoints to be draining or removed, by endpoint number.
    pub(super) drains: BTreeMap<usize, Duration>,
    /// Retry-after that ends last, by route number.
    pub(super) retry_after: BTreeMap<usize, RetryAfter>,
    /// End of the latest stall, or time of the latest start; final outcomes due earlier may be late by the catch-up
    /// grace.
    pub(super) unavailable_until: Duration,
}
