//! Expiry: latest start of an attempt, and the final outcome of a message that can no longer be attempted.

use super::state::{PendingMessage, RecordedPossibleExecution, State};
use crate::{Driver, MessageId, RetrySafety};
use std::time::Duration;

impl State {
    /// Returns the latest time at which another attempt of `message` may start.
    ///
    /// An attempt of the typical duration must end by the time at which the calls of the message end and, if the message may have been
    /// executed by an earlier attempt, within the deduplication window. An at-most-once message that may have been
    /// executed must not be attempted again; the result is zero for it.
    pub(super) fn latest_start(&self, message: &PendingMessage) -> Duration {
        self.latest_start_after(message, message.first_possible_execution())
    }

    /// Returns the latest time at which another attempt of `message` may start if `first` is the first attempt by which
    /// it may have been executed.
    pub(super) fn latest_start_after(
        &self,
        message: &PendingMessage,
        first: Option<&RecordedPossibleExecution>,
    ) -> Duration {
        let typical = self.typical_latency(message.destination, message.class);
        let by_deadline = message.budget.calls_end.saturating_sub(typical);
        match (first, self.class(message).retry_safety) {
            (None, _) | (_, RetrySafety::Idempotent) => by_deadline,
            // Prevents a retry that arrives or is executed after the deduplication window has passed: like the
            // deadline, the window must cover a typical call. May give up a message whose retry would have been in
            // time.
            (Some(first), RetrySafety::Deduplicated { window, .. }) => {
                by_deadline.min((first.started + window).saturating_sub(typical))
            }
            (Some(_), RetrySafety::AtMostOnce) => Duration::ZERO,
        }
    }

    /// Returns the time after which `message` is given up, whatever attempts turn out to be its own: unattributed
    /// responses may still prove that it was not executed by them.
    fn give_up_time(&self, message: &PendingMessage) -> Duration {
        self.latest_start_after(message, message.first_possible_execution.as_ref())
    }

    /// Returns `true` if `message` may only be rejected once its unattributed responses are attributed.
    fn may_become_rejectable(&self, message: &PendingMessage) -> bool {
        !message.unattributed.is_empty()
            && message.first_possible_execution.is_none()
            && !self.may_reject(message)
    }

    /// Returns `true` if `message` has had all its attempts, by their number or by what a response allows.
    pub(super) fn has_used_up_attempts(&self, message: &PendingMessage) -> bool {
        !message.may_be_attempted || message.attempts >= self.max_attempts
    }

    /// Returns `true` if `message` has used up its attempts, or no further attempt can start in time.
    fn cannot_be_attempted_again(&self, message: &PendingMessage) -> bool {
        let next_start = self.now.max(message.not_before).max(self.retry_after_end(message.destination));
        self.has_used_up_attempts(message) && !self.may_become_rejectable(message)
            || next_start > self.give_up_time(message)
    }

    /// Returns the time at which `message` is given up unless that changes before: not while an endpoint may be
    /// executing it.
    fn next_expiry_check(&self, message: &PendingMessage) -> Duration {
        self.give_up_time(message).max(message.unattributed.waits_until())
    }

    /// Rule: gives up the message of the lowest identifier that can no longer be attempted and of which no call may be
    /// in flight.
    pub(crate) fn give_up_expired(&mut self, driver: &mut dyn Driver) -> bool {
        let mut waiting = self.pending.iter().filter(|(_, message)| !message.is_undecided(self.now));
        let expired = waiting.find(|(_, message)| self.cannot_be_attempted_again(message));
        let Some(id) = expired.map(|(id, _)| *id) else {
            let waiting = self.pending.values().filter(|message| message.in_flight == 0);
            if let Some(next) = waiting.map(|message| self.next_expiry_check(message)).min() {
                self.next_due = self.next_due.min(next);
            }
            return false;
        };
        self.give_up(id, driver);
        true
    }

    /// Gives a message its final outcome.
    ///
    /// The message is rejected if [`State::may_reject`] allows it, with the time until its destination may be called
    /// again, up to the maximum, as `retry_after`. Otherwise it is abandoned.
    pub(super) fn give_up(&mut self, id: MessageId, driver: &mut dyn Driver) {
        let Some(message) = self.pending.get(&id) else { return };
        if self.may_reject(message) {
            let routes = self.routes_of(message.destination);
            let callable_from =
                routes.map(|route| route.limit.retry_after_end().max(route.checks.next())).min();
            let wait = callable_from.unwrap_or_default().saturating_sub(self.now).min(self.max_retry_after);
            driver.reject(id, (!wait.is_zero()).then_some(wait));
        } else {
            driver.abandon(id);
        }
        self.finish(id);
    }
}

#[cfg(test)]
#[path = "tests/expiry.rs"]
mod tests;
