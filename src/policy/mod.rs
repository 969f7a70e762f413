//! Decisions of a dispatcher: selection of messages and endpoints, retries, and giving up messages.
//!
//! Each mechanism is a module with its constants and its private state, and [`state`] combines these states. The rules
//! and the handlers of events are methods of [`state::State`], defined in the module of the mechanism that decides. The
//! ordered list of rules is in [`crate::dispatcher`]; docs/design.md describes the origin of each mechanism.

mod admission;
mod answer_evidence;
mod attribution;
mod backoff;
mod concurrency;
mod connection_choice;
mod connection_ledger;
mod connections;
mod deadline_budget;
mod discovery;
mod expiry;
mod latency;
mod ordering;
mod outlier;
mod permissions;
mod provisional_ends;
mod provisional_response;
mod rate_limit;
mod report_schedule;
mod responsiveness;
mod retry_budget;
mod scheduling;
mod selection;
pub(crate) mod slow_start;
pub(crate) mod state;
mod verdict;

pub use connection_choice::{CallTimes, ConnectionChoice, choose_connection};
pub use connection_ledger::{
    AttributionTerms, CallId, ConnectionId, ConnectionLedger, LedgerUpdate, ResponseMeaning, Uncertainty,
};
pub use deadline_budget::{CommandAge, is_response_in_time};
pub use outlier::Health;
pub use report_schedule::{
    FAILURE_PAUSE, MAX_OUTCOMES_PER_REPORT, MAX_REPORTS, MAX_REQUESTS_PER_REPORT, ReportSchedule,
};
pub use responsiveness::AttributionGround;

#[cfg(test)]
#[path = "tests/fleet.rs"]
mod fleet_tests;
#[cfg(test)]
#[path = "tests/support.rs"]
mod test_support;
