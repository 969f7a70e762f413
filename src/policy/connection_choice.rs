//! Connection choice: which idle connection carries a call, and how long the call waits for it.
//!
//! HTTP/1.1 ties a response to its request by order alone, and an endpoint may write a second copy directly behind a
//! response. A copy that is on its way when a request is sent is read as the response to that request.
//!
//! Invariant: no call starts on a connection that is not at rest. On one that is, whatever the endpoint wrote behind the
//! responses so far has arrived, and shows as surplus input before the call starts.

use super::connection_ledger::ConnectionLedger;
use std::time::Duration;

/// Divisor of the time that a call has; the quotient is the longest time for which it waits until a connection is at rest.
/// A call with less time opens a new connection.
const WAIT_DIVISOR: u32 = 10;

/// Number of idle connections to an endpoint that are not at rest above which a call opens a new one rather than wait: so
/// many calls are made there that another connection will be used again.
const MAX_UNRESTED: usize = 1;

/// Times of a call for which a connection is chosen, on the dispatcher's clock.
#[derive(Clone, Copy, Debug)]
pub struct CallTimes {
    /// Start of the call.
    pub now: Duration,
    /// Time until which the call may be answered.
    pub deadline: Duration,
}

impl CallTimes {
    fn max_wait(&self) -> Duration {
        self.deadline.saturating_sub(self.now) / WAIT_DIVISOR
    }
}

/// Idle connection that is to carry a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionChoice {
    /// Index of the connection among those offered.
    pub index: usize,
    /// Time for which the call waits before it starts, until the connection is at rest.
    pub wait: Duration,
}

/// Chooses among the idle connections to an endpoint, the one used last at the end: the last one that is at rest, so that
/// the others can expire. If the only one is not at rest, the call waits for it. Returns `None` if the call is to open a
/// new connection.
pub fn choose_connection<'a>(
    idle: impl DoubleEndedIterator<Item = (usize, &'a ConnectionLedger)>,
    call: CallTimes,
) -> Option<ConnectionChoice> {
    let usable = idle.rev().filter(|(_, ledger)| ledger.may_carry_until(call.deadline, call.now));
    let mut first_at_rest: Option<ConnectionChoice> = None;
    let mut unrested = 0;
    for (index, ledger) in usable {
        let choice = ConnectionChoice { index, wait: ledger.time_to_rest(call.now) };
        if choice.wait.is_zero() {
            return Some(choice);
        }
        unrested += 1;
        if first_at_rest.is_none_or(|first| choice.wait < first.wait) {
            first_at_rest = Some(choice);
        }
    }
    first_at_rest.filter(|choice| unrested <= MAX_UNRESTED && choice.wait <= call.max_wait())
}

#[cfg(test)]
#[path = "tests/connection_choice.rs"]
mod tests;
