//! The six rules, and what is reported where one is broken.

use quillhub::MessageId;
use std::time::Duration;

/// What each rule asks for, in the order of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each accepted message gets exactly one final outcome in time, and no attempt starts after it.
    OneAnswer = 1,
    /// No effect twice.
    OneEffect,
    /// No new attempt at an endpoint once it is known to drain and the grace is over.
    Drains,
    /// A destination that recovers is not overloaded by those who knew that it was down.
    Returns,
    /// One at a time and in the order of acceptance, for each ordering key, where a service class asks for it.
    Order,
    /// No attempt at a destination before the end of its retry-after.
    Waits,
}

/// One breach: the rule, the message where there is one, the instants, and what was seen.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// The rule that was broken.
    pub rule: Rule,
    /// The message that it was broken for, if it was one.
    pub message_id: Option<MessageId>,
    /// When what was broken began to bind.
    pub since: Duration,
    /// When it was broken.
    pub at: Duration,
    /// What was seen, in words.
    pub what: &'static str,
}

impl std::fmt::Display for Breach {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let message = self.message_id.map_or(String::new(), |id| format!(", notice {id}"));
        let (since, at) = (self.since.as_secs_f64(), self.at.as_secs_f64());
        write!(
            f,
            "rule {} ({:?}){message}: {} at {at:.6} s, {since:.6} s",
            self.rule as u8, self.rule, self.what
        )
    }
}
