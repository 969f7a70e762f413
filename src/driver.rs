//! Interface between a dispatcher and its host: actions that the dispatcher requests, and events that it logs.

use crate::{AttributionGround, AttributionTerms, CallId, DestinationId, Health, MessageId};
use std::fmt;
use std::time::Duration;

/// Event that a dispatcher reports for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// This instance's assessment of an endpoint's health changed.
    HealthChanged {
        /// Name of the endpoint.
        endpoint: String,
        /// Destination that the endpoint belongs to.
        destination: DestinationId,
        /// Health before the change.
        before: Health,
        /// Health after the change.
        after: Health,
    },
    /// The queue was nearly full, and the pending message of the least value was rejected.
    QueueNearlyFull {
        /// Messages still pending after the rejection.
        pending: usize,
        /// Attempts in flight.
        in_flight: usize,
    },
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::HealthChanged { endpoint, destination, before, after } => {
                write!(f, "endpoint {endpoint} of destination {destination}: {before} -> {after}")
            }
            Self::QueueNearlyFull { pending, in_flight } => {
                write!(f, "queue is nearly full: {pending} messages pending, {in_flight} attempts in flight")
            }
        }
    }
}

/// Use of connections by an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// Uses an idle connection if there is one, and leaves its connection to later attempts.
    Pooled,
    /// Opens a new connection and leaves it to later attempts.
    New,
    /// Opens a new connection, which carries no other call.
    Single,
}

/// Parameters of an attempt. Hosts without connections of their own need only the timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptPlan {
    /// Time without a response after which the outcome is
    /// [`AttemptOutcome::TimedOut`](crate::AttemptOutcome::TimedOut).
    pub timeout: Duration,
    /// Use of connections.
    pub connection: ConnectionUse,
    /// Terms on which the response is attributed to the attempt.
    pub attribution: AttributionTerms,
}

impl AttemptPlan {
    /// Creates the plan of an attempt on any connection, for deciders that make no decisions about connections.
    pub fn with_timeout(timeout: Duration) -> Self {
        let attribution = AttributionTerms {
            call_deadline: Duration::MAX,
            message_deadline: Duration::MAX,
            rests_unless_delivered: false,
            needs_proof: false,
        };
        Self { timeout, connection: ConnectionUse::Pooled, attribution }
    }
}

/// Actions that a dispatcher requests from its host. Each takes effect at the time of the event being handled.
pub trait Driver {
    /// Starts an attempt to deliver `message` to `endpoint`.
    fn start_attempt(&mut self, message: MessageId, endpoint: &str, plan: AttemptPlan);
    /// Gives `message` the final outcome rejected: it is not known to have been delivered, and the client may submit it
    /// again, preferably after `retry_after`, the suggested delay.
    fn reject(&mut self, message: MessageId, retry_after: Option<Duration>);
    /// Gives `message` the final outcome abandoned: it is not known to have been delivered, but may have been
    /// executed.
    fn abandon(&mut self, message: MessageId);
    /// Records that the response to `call`, which was provisional, is its own and complete: the outcome is final. Does
    /// nothing by default, for hosts that know which response belongs to a call.
    fn response_attributed(&mut self, _call: CallId, _ground: AttributionGround) {}
    /// Records that the response to `call`, which was provisional, may belong to another call. The call may still be out on
    /// its connection, which is to be closed. Does nothing by default.
    fn response_misattributed(&mut self, _call: CallId) {}
    /// Closes the instance's idle connections to `endpoint`.
    fn close_idle_connections(&mut self, endpoint: &str);
    /// Sends a gossip datagram to every other instance, without any guarantee of delivery.
    fn broadcast(&mut self, datagram: &[u8]);
    /// Schedules a call of [`Dispatcher::timer_fired`](crate::Dispatcher::timer_fired) after `wait`. A timer requested
    /// earlier may still fire.
    fn set_timer(&mut self, wait: Duration);
    /// Polls discovery once for the endpoint list; the response may stay open as a watch that reports later changes.
    fn watch_endpoints(&mut self);
    /// Writes an event to the log.
    fn log(&mut self, event: &LogEvent);
}
