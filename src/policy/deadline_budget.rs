//! Deadline budget: how much of its time a message has lost before it is accepted, and whether it is still accepted.
//!
//! The time of a message counts from the arrival of its command at this machine, since clients count it from its last byte.

use crate::ms;
use std::time::Duration;

/// Time for which a client waits for the reply to its command, after which it leaves and may submit its message elsewhere.
const CLIENT_TIMEOUT: Duration = ms(400);
/// Longest time for which the process may be held up once, by whatever stops it.
const MAX_HOLD_UP: Duration = ms(150);
/// Age above which a command is rejected: if the process is held up before the reply is written, its client has left.
/// A rejection does no harm, and a late confirmation leaves a message behind that its client submits again.
const MAX_COMMAND_AGE: Duration = CLIENT_TIMEOUT.saturating_sub(MAX_HOLD_UP);

/// Age of the command that submits a message, of which only the limits may be known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommandAge {
    /// Lower limit.
    pub at_least: Duration,
    /// Upper limit.
    pub at_most: Duration,
}

impl CommandAge {
    /// Returns the time that the message has left of its `time_to_live`, or `None` if its submission is to be rejected, since
    /// nothing is left or its client may have left.
    ///
    /// The whole age is charged that the command may have, but no more than a client that is still connected has waited.
    pub fn time_left(&self, time_to_live: Duration) -> Option<Duration> {
        if self.at_least > MAX_COMMAND_AGE {
            return None;
        }
        let charged = self.at_most.min(CLIENT_TIMEOUT);
        time_to_live.checked_sub(charged).filter(|left| !left.is_zero())
    }
}

#[cfg(test)]
#[path = "tests/deadline_budget.rs"]
mod tests;
