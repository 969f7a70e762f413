//! The dispatcher of quillhub, an outbound message gateway: it decides when a message is attempted, at which
//! endpoint, when it is retried and when it is given up.
//!
//! There is no I/O, no clock and no randomness of its own here. A host makes one [`Dispatcher`] for each gateway
//! instance, tells it what happened through its methods, and carries out what it decides through [`Driver`].
//! Times are spans since that instance's own start.

mod attempt;
mod dispatcher;
mod driver;
mod endpoint;
mod gossip;
mod message;
mod policy;

pub use attempt::{AttemptOutcome, AttemptResult, LoadReport};
pub use dispatcher::Dispatcher;
pub use driver::{Driver, LogEvent};
pub use endpoint::{EndpointState, EndpointUpdate, ListedRate};
pub use message::{
    DestinationId, MessageId, NewMessage, PossibleExecution, RecoveredAttempts, RepeatSafety, ServiceClass,
    UnknownServiceClass, ValueDecay,
};
pub use policy::Health;

use std::time::Duration;

pub(crate) const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}
