//! What the auditor remembers of messages, their attempts, ordering keys, routes and instances.

use crate::fact::FinalOutcome;
use quillhub::{AttemptOutcome, MessageId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// An endpoint, as it was placed.
#[derive(Clone, Copy)]
pub(super) struct Endpoint {
    pub(super) number: usize,
    pub(super) zone: usize,
    pub(super) route: usize,
}

/// One attempt.
pub(super) struct Attempt {
    /// Where it went, if there is such an endpoint.
    pub(super) endpoint: Option<Endpoint>,
    pub(super) started_at: Duration,
    pub(super) outcome: Option<AttemptOutcome>,
    /// Its instance died before it learned of its outcome.
    pub(super) orphaned: bool,
}

impl Attempt {
    pub(super) fn is_in_flight(&self) -> bool {
        self.outcome.is_none() && !self.orphaned
    }

    pub(super) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| {
            !matches!(
                outcome,
                AttemptOutcome::Rejected { .. }
                    | AttemptOutcome::ConnectFailed
                    | AttemptOutcome::ConnectionLimit
                    | AttemptOutcome::NotSent
            )
        })
    }
}

/// An accepted message.
pub(super) struct Message {
    pub(super) instance: usize,
    /// Its place in the scenario's list of service classes.
    pub(super) service_class: usize,
    pub(super) ordering_key: Option<u64>,
    pub(super) deadline: Duration,
    pub(super) accepted: Duration,
    pub(super) attempts: BTreeMap<u32, Attempt>,
    pub(super) finished: Option<(Duration, FinalOutcome)>,
    pub(super) executed: Option<Duration>,
}

impl Message {
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.values().any(Attempt::is_in_flight)
    }

    /// The first attempt that may have run.
    pub(super) fn first_possible_execution(&self) -> Option<&Attempt> {
        self.attempts.values().find(|attempt| attempt.may_have_run())
    }
}

/// A pause of an ordering key after an attempt whose outcome is not known.
#[derive(Clone, Copy)]
pub(super) struct OrderingPause {
    pub(super) until: Duration,
    /// The message of that attempt, which may be tried again.
    pub(super) message_id: MessageId,
}

/// The messages of one ordering key at one instance.
#[derive(Default)]
pub(super) struct OrderingQueue {
    /// In the order of acceptance; those that are finished and have no attempt in flight leave.
    pub(super) messages: VecDeque<MessageId>,
    pub(super) pause: Option<OrderingPause>,
}

/// A route that is back, until it is warm.
#[derive(Clone, Copy)]
pub(super) struct Recovery {
    pub(super) recovered_at: Duration,
    /// Calls a second that the route works off when warm.
    pub(super) warm_per_s: f64,
}

/// What the auditor knows of a route.
#[derive(Default)]
pub(super) struct Route {
    pub(super) is_down: bool,
    /// Instances that saw a call fail, or be rejected, while it was down.
    pub(super) informed: BTreeSet<usize>,
    pub(super) recovery: Option<Recovery>,
    /// The calls that reached it of late, and their instances; emptied with the overload span.
    pub(super) calls: VecDeque<(Duration, usize)>,
    /// Whether it was found overloaded since its recovery.
    pub(super) overload_found: bool,
}

/// A retry-after that an instance received from a route.
#[derive(Clone, Copy)]
pub(super) struct RetryAfter {
    pub(super) since: Duration,
    pub(super) until: Duration,
}

/// What an instance learned.
#[derive(Default)]
pub(super) struct Instance {
    /// By endpoint: since when it is known to drain.
    pub(super) drains: BTreeMap<usize, Duration>,
    /// By route.
    pub(super) retry_after: BTreeMap<usize, RetryAfter>,
    /// Until when it could not act; what was due before then is due a moment after it.
    pub(super) unavailable_until: Duration,
}
