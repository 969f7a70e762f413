//! The six rules, and the breach that is reported for a violation.

use quillhub::MessageId;
use std::time::Duration;

/// Rules that a run must satisfy; the discriminant is the number of the rule in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each accepted message gets exactly one final outcome in time, and no attempt starts after it.
    OneAnswer = 1,
    /// No message is executed twice at its destination in violation of the retry safety of its service class.
    OneEffect,
    /// No attempt goes to an endpoint that the instance has known to be draining for longer than the drain grace.
    Drains,
    /// Instances that knew of an outage do not overload the destination while it recovers.
    Returns,
    /// In ordered service classes, the messages of an ordering key are attempted one at a time and in the order of
    /// acceptance.
    Order,
    /// No attempt goes to a route before the retry-after that it sent has expired.
    Waits,
}

/// Violation of a rule; times are measured from the start of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// Rule that was violated.
    pub rule: Rule,
    /// Message concerned; absent if the rule concerns a route.
    pub message_id: Option<MessageId>,
    /// Time from which the violated constraint applied.
    pub since: Duration,
    /// Time of the violation.
    pub at: Duration,
    /// Description of the violation, which is part of kept results.
    pub description: &'static str,
}

impl std::fmt::Display for Breach {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let message = self.message_id.map_or(String::new(), |id| format!(", notice {id}"));
        let (since, at) = (self.since.as_secs_f64(), self.at.as_secs_f64());
        write!(
            f,
            "rule {} ({:?}){message}: {} at {at:.6} s, {since:.6} s",
            self.rule as u8, self.rule, self.description
        )
    }
}
