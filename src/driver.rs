//! What a host does for a dispatcher.

use crate::{DestinationId, Health, MessageId};
use std::fmt;
use std::time::Duration;

/// What a dispatcher reports for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// What this instance takes an endpoint for has changed.
    HealthChanged {
        /// The endpoint's name.
        endpoint: String,
        /// Its destination.
        destination: DestinationId,
        /// What it was taken for.
        before: Health,
        /// What it is taken for from now on.
        after: Health,
    },
    /// The queue is nearly full, and the message of the least value was rejected.
    QueueShort {
        /// Messages still pending.
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
            Self::QueueShort { pending, in_flight } => {
                write!(f, "queue is short: {pending} messages pending, {in_flight} attempts in flight")
            }
        }
    }
}

/// Carries out what a dispatcher decides. Each call takes effect at the time of the event being handled.
pub trait Driver {
    /// Calls `endpoint` for `message`; without a response after `timeout` the attempt ends as timed out.
    fn start_attempt(&mut self, message: MessageId, endpoint: &str, timeout: Duration);
    /// Final outcome: not delivered, and harmless to hand in again, best after `retry_after`.
    fn reject(&mut self, message: MessageId, retry_after: Option<Duration>);
    /// Final outcome: not delivered as far as is known; it may have been executed.
    fn abandon(&mut self, message: MessageId);
    /// Closes this instance's idle connections to `endpoint`.
    fn close_idle_connections(&mut self, endpoint: &str);
    /// Sends a gossip message to every other instance; it may be lost.
    fn broadcast(&mut self, gossip: &[u8]);
    /// Asks for [`Dispatcher::timer_fired`](crate::Dispatcher::timer_fired) after `wait`.
    fn set_timer(&mut self, wait: Duration);
    /// Asks discovery for the endpoint list's changes from now on.
    fn watch_endpoints(&mut self);
    /// Writes an event to the log.
    fn log(&mut self, event: &LogEvent);
}
