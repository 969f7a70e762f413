//! All decisions: which endpoint, which message, whether to retry, when to give up.
//!
//! Each mechanism stands in a module of its own with its constants and its private state. [`state`] puts them together;
//! the rules and the reactions to inputs are methods of [`state::State`] in the module of the mechanism that decides.
//! The ordered list of rules is in [`crate::dispatcher`]; docs/design.md says where each mechanism comes from.

pub(crate) mod admission;
mod backoff;
pub(crate) mod concurrency;
mod connections;
mod discovery;
mod expiry;
mod latency;
mod ordering;
mod outlier;
mod rate_limit;
mod retry_budget;
mod scheduling;
mod selection;
pub(crate) mod slow_start;
pub(crate) mod state;
mod verdict;

pub use outlier::Health;

#[cfg(test)]
#[path = "tests/fleet.rs"]
mod fleet_tests;
#[cfg(test)]
#[path = "tests/support.rs"]
mod test_support;
