//! Connection ledger: the calls of one connection whose responses may belong to an earlier call on it, or may not be
//! all that the endpoint writes for them.
//!
//! Invariant: a response counts as attributed at once only on a connection that carried no other call, and only if no
//! further byte can change what it says. Any other response is attributed once the connection has stayed open and quiet
//! until the deadline of its last call: a response that is outstanding, or the rest of a malformed one, would have
//! arrived by then. The response to the only call of a connection is also attributed once the endpoint ends the
//! connection, as it then has written all that it will write.

use crate::{MessageId, ms};
use std::ops::RangeInclusive;
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

impl CallId {
    /// Highest id.
    pub(super) const MAX: Self = Self { message: MessageId::MAX, attempt: u32::MAX };

    /// Returns the range of the ids of all attempts of a message.
    pub fn all_of(message: MessageId) -> RangeInclusive<Self> {
        Self { message, attempt: 0 }..=Self { message, attempt: u32::MAX }
    }
}

/// Number of a connection among those of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// What the response to a call says of its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMeaning {
    /// The message was delivered. The status alone says so, whatever follows it.
    Delivered,
    /// The message was not executed, and is over: nothing is owed any more.
    Over,
    /// The message was not executed and is not to be attempted again, but its final outcome is owed.
    AttemptsExhausted,
    /// The message was not executed.
    NotExecuted,
    /// The message may have been executed.
    PossiblyExecuted,
}

/// What is not known of an unattributed response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Uncertainty {
    /// It may be the response to an earlier call on its connection, and its own call may still be executed.
    Call,
    /// It is the response to its call, but more bytes may follow. It would then be malformed, and would not prove that
    /// the message was not executed.
    Completeness,
}

/// Terms on which the response to a call is attributed; the dispatcher decides them when the attempt starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttributionTerms {
    /// Time until which the endpoint may respond to the call.
    pub call_deadline: Duration,
    /// Time by which the calls of the message end, so that its response can still be attributed.
    pub message_deadline: Duration,
    /// `true` if a response other than a delivery must be attributed before the connection carries another call.
    pub rests_unless_delivered: bool,
    /// `true` if the class of the message allows more after a response which proves that it was not executed.
    pub needs_proof: bool,
}

/// Effects of an event on the calls of a connection whose responses were unattributed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerUpdate {
    /// Calls on whose connection no response can be outstanding, and after whose responses nothing more can follow,
    /// unless the endpoint has stopped answering.
    pub quiet: Vec<CallId>,
    /// Calls whose own response is one with status 410 that was read later, if the response that was read for them is a
    /// copy. To be handled before `misattributed`.
    pub over_if_copied: Vec<CallId>,
    /// Calls whose own response may be one with status 410 that was read later, as copies were read on the connection. To be
    /// handled before `misattributed`.
    pub possibly_over: Vec<CallId>,
    /// Calls whose responses may belong to earlier calls or be malformed; the connection must be closed.
    pub misattributed: Vec<CallId>,
}

impl LedgerUpdate {
    /// Returns `true` if the event has no effect.
    pub fn is_empty(&self) -> bool {
        self.quiet.is_empty()
            && self.over_if_copied.is_empty()
            && self.possibly_over.is_empty()
            && self.misattributed.is_empty()
    }
}

/// Call whose response is unattributed.
#[derive(Clone, Copy, Debug)]
struct UnattributedCall {
    id: CallId,
    message_deadline: Duration,
    uncertainty: Uncertainty,
    /// `true` if a response with status 410 was read after the one to this call.
    is_before_over: bool,
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

    /// Returns `true` if a response may belong to an earlier call.
    pub fn has_uncertain_call(&self) -> bool {
        self.unattributed.iter().any(|call| call.uncertainty == Uncertainty::Call)
    }

    /// Returns the time at which the unattributed responses are attributed if no input arrives before, or `None` if
    /// there are none.
    pub fn quiet_at(&self) -> Option<Duration> {
        (!self.is_settled()).then_some(self.quiet_at)
    }

    /// Returns `true` if no response can be outstanding on the connection at `now`, unless the endpoint has stopped
    /// answering.
    pub fn is_quiet(&self, now: Duration) -> bool {
        self.is_settled() || now >= self.quiet_at
    }

    /// Returns the time of the last response.
    pub fn last_response(&self) -> Duration {
        self.last_response
    }

    /// Returns the time after `now` at which the connection is at rest: what the endpoint wrote directly behind the responses
    /// so far has arrived by then.
    pub fn time_to_rest(&self, now: Duration) -> Duration {
        if self.is_used { (self.last_response + TRANSIT_TIME).saturating_sub(now) } else { Duration::ZERO }
    }

    /// Returns `true` if the connection may carry a call from `now` until `deadline`.
    ///
    /// The responses so far can then still be attributed before the deadlines of their messages, after the call.
    pub fn may_carry_until(&self, deadline: Duration, now: Duration) -> bool {
        self.is_quiet(now)
            || !self.rests && self.unattributed.iter().all(|call| deadline <= call.message_deadline)
    }

    /// Returns what would not be known of a response that is read now, or `None` if it would be attributed at once.
    pub fn uncertainty(&self, meaning: ResponseMeaning, terms: &AttributionTerms) -> Option<Uncertainty> {
        if self.is_used {
            return Some(Uncertainty::Call);
        }
        let is_proof = match meaning {
            ResponseMeaning::Delivered | ResponseMeaning::PossiblyExecuted => false,
            ResponseMeaning::Over => true,
            ResponseMeaning::NotExecuted | ResponseMeaning::AttemptsExhausted => terms.needs_proof,
        };
        is_proof.then_some(Uncertainty::Completeness)
    }

    /// Records the response to a call at `now`.
    ///
    /// A response after the deadline of the call before it is not that call's, so that the earlier responses are
    /// attributed. It may still be a copy of one of them. A response with status 410 may be that of any other earlier call
    /// but the first, if the response that was read for the call is a copy.
    pub fn on_response(
        &mut self,
        id: CallId,
        meaning: ResponseMeaning,
        terms: &AttributionTerms,
        now: Duration,
    ) -> LedgerUpdate {
        let mut update = self.on_quiet(now);
        if meaning == ResponseMeaning::Over {
            let uncertain = self.unattributed.iter_mut().filter(|call| call.uncertainty == Uncertainty::Call);
            uncertain.for_each(|call| call.is_before_over = true);
            update.over_if_copied = self.calls_before_over();
        }
        if let Some(uncertainty) = self.uncertainty(meaning, terms) {
            let message_deadline = terms.message_deadline;
            let is_before_over = false;
            self.unattributed.push(UnattributedCall { id, message_deadline, uncertainty, is_before_over });
        }
        self.is_used = true;
        self.last_response = now;
        self.quiet_at = terms.call_deadline.saturating_add(TRANSIT_TIME).max(now);
        self.rests = terms.rests_unless_delivered && meaning != ResponseMeaning::Delivered;
        update
    }

    /// Attributes the responses if the connection has been quiet for long enough at `now`.
    pub fn on_quiet(&mut self, now: Duration) -> LedgerUpdate {
        if now < self.quiet_at {
            return LedgerUpdate::default();
        }
        LedgerUpdate { quiet: self.take_unattributed(), ..LedgerUpdate::default() }
    }

    /// Handles the end of the connection by the endpoint at `now`, without a call in flight, after all that it wrote was
    /// read: the response to the only call is complete. Any other may have taken the place of one that is outstanding.
    pub fn on_ended(&mut self, now: Duration) -> LedgerUpdate {
        if let [UnattributedCall { uncertainty: Uncertainty::Completeness, .. }] = self.unattributed[..] {
            return LedgerUpdate { quiet: self.take_unattributed(), ..LedgerUpdate::default() };
        }
        self.on_closed(now)
    }

    /// Handles any other end of the connection at `now`: what is outstanding can no longer arrive.
    pub fn on_closed(&mut self, now: Duration) -> LedgerUpdate {
        if now >= self.quiet_at {
            return self.on_quiet(now);
        }
        self.on_malformed()
    }

    /// Handles a malformed response, after which nothing more will be known: each unattributed response may belong to an
    /// earlier call, or be malformed.
    pub fn on_malformed(&mut self) -> LedgerUpdate {
        let over_if_copied = self.calls_before_over();
        LedgerUpdate { over_if_copied, misattributed: self.take_unattributed(), ..LedgerUpdate::default() }
    }

    /// Handles surplus input: each unattributed response may belong to an earlier call, or be malformed.
    pub fn on_surplus(&mut self) -> LedgerUpdate {
        let possibly_over = self.calls_before_over();
        LedgerUpdate { possibly_over, misattributed: self.take_unattributed(), ..LedgerUpdate::default() }
    }

    /// Handles surplus input that may contain a response with status 410: each call whose response is unattributed may be
    /// the one that it belongs to.
    pub fn on_surplus_over(&mut self) -> LedgerUpdate {
        let update = self.on_surplus();
        LedgerUpdate { possibly_over: update.misattributed.clone(), ..update }
    }

    fn calls_before_over(&self) -> Vec<CallId> {
        self.unattributed.iter().filter(|call| call.is_before_over).map(|call| call.id).collect()
    }

    fn take_unattributed(&mut self) -> Vec<CallId> {
        self.unattributed.drain(..).map(|call| call.id).collect()
    }
}

#[cfg(test)]
#[path = "tests/connection_ledger.rs"]
mod tests;
