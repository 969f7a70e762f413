//! Decision logic of quillhub, an outbound message gateway: when a message is attempted, at which endpoint, when it
//! is retried and when it is given up.
//!
//! The crate performs no I/O and reads no clock, and a seed determines its random draws. The host, the program that
//! embeds the crate, creates one [`Dispatcher`] per gateway instance, reports events through its methods, and carries
//! out its decisions by implementing [`Driver`]. A point in time is a [`Duration`] on the instance's own clock, which
//! starts at zero.

mod attempt;
mod dispatcher;
mod driver;
mod endpoint;
mod gossip;
mod message;
mod policy;

pub use attempt::{AttemptOutcome, AttemptResult, LoadReport};
pub use dispatcher::Dispatcher;
pub use driver::{AttemptPlan, ConnectionUse, Driver, LogEvent};
pub use endpoint::{EndpointState, EndpointUpdate, ListedRateAccuracy};
pub use message::{
    DestinationId, MessageId, NewMessage, PossibleExecution, RecoveredAttempts, RetrySafety, ServiceClass,
    UnknownServiceClass, ValueDecay,
};
pub use policy::{
    AttributionGround, AttributionTerms, CallId, CallTimes, CommandAge, ConnectionChoice, ConnectionId,
    ConnectionLedger, FAILURE_PAUSE, Health, LedgerUpdate, MAX_OUTCOMES_PER_REPORT, MAX_REPORTS,
    MAX_REQUESTS_PER_REPORT, ReportSchedule, ResponseMeaning, Uncertainty, choose_connection,
    is_response_in_time,
};

use std::time::Duration;

/// Shorthand for [`Duration::from_millis`].
pub(crate) const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
