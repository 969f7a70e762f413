//! Connection ledger: the calls of one connection whose responses may belong to an earlier call on it.
//!
//! Invariant: a response counts as attributed at once only on a connection that carried no other call; otherwise only
//! after the connection has stayed open and quiet until the deadline of its last call. If any response so far belonged
//! to an earlier call, the response to the last call would be outstanding, and would have arrived by then.

use crate::{MessageId, ms};
use std::time::Duration;

/// Time after the deadline of a call in which a response that was written by then arrives and is read, also by a process
/// that was held up.
pub(super) const TRANSIT_TIME: Duration = ms(100);

/// Identifies one attempt to deliver a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId {
    /// Message that was attempted.
    pub message: MessageId,
    /// Number of the attempt among those of its message, counted from 0.
    pub attempt: u32,
}

/// Terms on which the response to a call is attributed; the dispatcher decides them when the attempt starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttributionTerms {
    /// Time until which the endpoint may respond to the call.
    pub call_deadline: Duration,
    /// Deadline of the message, by which its response must be attributed.
    pub message_deadline: Duration,
    /// `true` if a response other than a delivery must be attributed before the connection carries another call.
    pub rests_unless_delivered: bool,
}

/// Effects of an event on the calls of a connection whose responses were unattributed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerUpdate {
    /// Calls whose responses are now known to be their own.
    pub attributed: Vec<CallId>,
    /// Calls whose responses may belong to earlier calls; the connection must be closed.
    pub misattributed: Vec<CallId>,
}

impl LedgerUpdate {
    /// Returns `true` if the event has no effect.
    pub fn is_empty(&self) -> bool {
        self.attributed.is_empty() && self.misattributed.is_empty()
    }
}

/// Call whose response is unattributed.
#[derive(Clone, Copy, Debug)]
struct UnattributedCall {
    id: CallId,
    message_deadline: Duration,
}

/// Calls of one connection whose responses are unattributed.
#[derive(Clone, Debug, Default)]
pub struct ConnectionLedger {
    /// `true` once a response was read.
    is_used: bool,
    unattributed: Vec<UnattributedCall>,
    last_response: Duration,
    /// Time at which all responses so far are attributed if no input arrives before: [`TRANSIT_TIME`] after the deadline
    /// of the last call.
    quiet_at: Duration,
    /// `true` if the connection carries no other call before `quiet_at`.
    rests: bool,
}

impl ConnectionLedger {
    /// Returns `true` if the connection carried a call, so that the next response may belong to an earlier one.
    pub fn is_used(&self) -> bool {
        self.is_used
    }

    /// Returns `true` if no response is unattributed.
    pub fn is_settled(&self) -> bool {
        self.unattributed.is_empty()
    }

    /// Returns the time at which the unattributed responses are attributed if no input arrives before, or `None` if
    /// there are none.
    pub fn quiet_at(&self) -> Option<Duration> {
        (!self.is_settled()).then_some(self.quiet_at)
    }

    /// Returns the time of the last response.
    pub fn last_response(&self) -> Duration {
        self.last_response
    }

    /// Returns `true` if the connection may carry a call from `now` until `deadline`.
    ///
    /// The responses so far can then still be attributed before the deadlines of their messages, after the call.
    pub fn may_carry_until(&self, deadline: Duration, now: Duration) -> bool {
        self.is_settled()
            || now >= self.quiet_at
            || !self.rests && self.unattributed.iter().all(|call| deadline <= call.message_deadline)
    }

    /// Records the response to a call at `now`.
    ///
    /// A response after the deadline of the call before it is not that call's, so that the earlier responses are
    /// attributed. It may still be a copy of one of them.
    pub fn on_response(
        &mut self,
        id: CallId,
        is_delivery: bool,
        terms: &AttributionTerms,
        now: Duration,
    ) -> LedgerUpdate {
        let update = self.on_quiet(now);
        if self.is_used {
            self.unattributed.push(UnattributedCall { id, message_deadline: terms.message_deadline });
        }
        self.is_used = true;
        self.last_response = now;
        self.quiet_at = terms.call_deadline.saturating_add(TRANSIT_TIME).max(now);
        self.rests = terms.rests_unless_delivered && !is_delivery;
        update
    }

    /// Attributes the responses if the connection has been quiet for long enough at `now`.
    pub fn on_quiet(&mut self, now: Duration) -> LedgerUpdate {
        if now < self.quiet_at {
            return LedgerUpdate::default();
        }
        LedgerUpdate { attributed: self.take_unattributed(), ..LedgerUpdate::default() }
    }

    /// Handles the end of the connection at `now`: a response that is outstanding can no longer arrive.
    pub fn on_closed(&mut self, now: Duration) -> LedgerUpdate {
        if now >= self.quiet_at { self.on_quiet(now) } else { self.on_surplus() }
    }

    /// Handles a surplus response: each unattributed response may belong to an earlier call.
    pub fn on_surplus(&mut self) -> LedgerUpdate {
        LedgerUpdate { misattributed: self.take_unattributed(), ..LedgerUpdate::default() }
    }

    fn take_unattributed(&mut self) -> Vec<CallId> {
        self.unattributed.drain(..).map(|call| call.id).collect()
    }
}

#[cfg(test)]
#[path = "tests/connection_ledger.rs"]
mod tests;
