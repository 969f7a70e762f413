//! Deadline budget: how the time of a message is divided among the stages from the arrival of its command to the report of
//! its final outcome.
//!
//! The time counts from the arrival of the command at this machine, since clients count it from its last byte. Calls end so
//! early that whatever has to follow the last one is done in time: the attribution of its response, the decision, the
//! report, which may be lost once, and one hold-up of the process at any of these stages.
//!
//! Invariant: the stages share one limit, and no stage has an allowance beyond it.

use super::connection_ledger::TRANSIT_TIME;
use super::state::State;
use crate::ms;
use std::time::Duration;

/// Time for which a client waits for the reply to its command, after which it leaves and may submit its message elsewhere.
const CLIENT_TIMEOUT: Duration = ms(400);
/// Longest time for which the process may be held up once, by whatever stops it.
const MAX_HOLD_UP: Duration = ms(150);
/// Time after its deadline by which the platform must have read the final outcome of a message.
const OUTCOME_LIMIT: Duration = ms(300);
/// Time after which a report to the platform that is not confirmed is repeated.
pub(super) const REPORT_REPEAT_DELAY: Duration = ms(50);
/// Time from a decision until the platform has read the report: a new connection, the request, and the resolution of timers.
const REPORT_TIME: Duration = ms(30);
/// Time from the end of the last call of a message to the decision on its final outcome, by which the response is attributed.
pub(super) const ATTRIBUTION_TIME: Duration = TRANSIT_TIME.saturating_add(ms(50));
/// Time before the deadline of a message at which its calls end. Its final outcome is then decided by the deadline.
const OUTCOME_RESERVE: Duration = ATTRIBUTION_TIME;
/// Divisor of the time that a message has; the quotient is its maximum reserve. Leaves most of the time of short-lived
/// messages to their calls.
const MAX_RESERVE_DIVISOR: u32 = 8;
/// Maximum time from the deadline of a message to the decision on its final outcome, which a smaller reserve may need.
const MAX_DECISION_DELAY: Duration =
    OUTCOME_LIMIT.saturating_sub(MAX_HOLD_UP).saturating_sub(REPORT_REPEAT_DELAY).saturating_sub(REPORT_TIME);

/// Age above which a command is rejected: if the process is held up before the reply is written, its client has left.
/// A rejection does no harm, and a late confirmation leaves a message behind that its client submits again.
const MAX_COMMAND_AGE: Duration = CLIENT_TIMEOUT.saturating_sub(MAX_HOLD_UP);

/// Maximum time from the arrival of a response to its read by a process that was held up. A response that looks older counts
/// as late, since a step of the wall clock makes input look older than it is.
const MAX_READ_DELAY: Duration = ms(250);

/// Returns `true` if a response that is read at `read` came before the deadline that its call stated. It arrived at
/// `arrived`, and may have arrived when it was read if that is not known. All times count from the start of the attempt.
///
/// A later response counts as none, since the endpoint may have stopped processing the call by then.
pub fn is_response_in_time(read: Duration, arrived: Option<Duration>, deadline: Duration) -> bool {
    let is_believed = |arrived: &Duration| read.saturating_sub(*arrived) <= MAX_READ_DELAY;
    let arrived_in_time = arrived.filter(is_believed).is_some_and(|arrived| arrived <= deadline);
    read < deadline || arrived_in_time
}

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

/// Times by which the stages of a message end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DeadlineBudget {
    /// Deadline of the message.
    pub(super) deadline: Duration,
    /// Time by which its calls end.
    pub(super) calls_end: Duration,
    /// Time by which its final outcome is decided, whatever is known of the response to its last call.
    pub(super) decided_by: Duration,
}

impl DeadlineBudget {
    /// Returns the budget of a message whose calls may last until its deadline.
    pub(super) fn without_reserve(deadline: Duration) -> Self {
        Self { deadline, calls_end: deadline, decided_by: deadline.saturating_add(ATTRIBUTION_TIME) }
    }

    /// Returns the budget of a message that is accepted at `now`, with a reserve for all that follows its last call.
    pub(super) fn with_reserve(deadline: Duration, now: Duration) -> Self {
        let time_left = deadline.saturating_sub(now);
        let calls_end = deadline - OUTCOME_RESERVE.min(time_left / MAX_RESERVE_DIVISOR);
        let decided_by = (calls_end + ATTRIBUTION_TIME).min(deadline.saturating_add(MAX_DECISION_DELAY));
        Self { deadline, calls_end, decided_by }
    }
}

impl State {
    /// Returns the budget of a message that is accepted now.
    pub(super) fn deadline_budget(&self, deadline: Duration) -> DeadlineBudget {
        if self.reserves_outcome_time {
            DeadlineBudget::with_reserve(deadline, self.now)
        } else {
            DeadlineBudget::without_reserve(deadline)
        }
    }
}

#[cfg(test)]
#[path = "tests/deadline_budget.rs"]
mod tests;
