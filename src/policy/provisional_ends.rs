//! Provisional ends: messages of which a response says that nothing more is owed, delivered or over, while that is not
//! proven.
//!
//! Invariant: a message is either pending or here, so that it is not attempted again while it is here. It ends as finished
//! once its response is proven; otherwise it is abandoned, or becomes pending again if its permission allows that.

use super::connection_ledger::{CallId, ResponseMeaning};
use super::permissions::{NextAttempt, Permission, Standing};
use super::state::{PendingMessage, RecordedPossibleExecution, State};
use crate::{AttemptOutcome, Driver, MessageId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Message of which a response says that nothing more is owed.
pub(crate) struct ProvisionalEnd {
    /// Attempt with that response.
    pub(super) attempt: u32,
    pub(super) meaning: ResponseMeaning,
    /// That attempt, if the message may become pending again.
    pub(super) possible_execution: Option<RecordedPossibleExecution>,
    pub(super) message: PendingMessage,
    /// `true` if a response with status 410 that was read later may be the message's own.
    pub(super) may_be_over: bool,
    /// `true` once the response can no longer be proven, and the message is only to be abandoned.
    pub(super) is_unprovable: bool,
}

impl ProvisionalEnd {
    /// Returns the time at which the message is abandoned unless its response is settled before.
    fn abandoned_at(&self) -> Duration {
        if self.is_unprovable { Duration::ZERO } else { self.message.budget.decided_by }
    }
}

/// Messages with a provisional end, by id.
#[derive(Default)]
pub(crate) struct ProvisionalEnds(BTreeMap<MessageId, ProvisionalEnd>);

impl ProvisionalEnds {
    pub(super) fn add(&mut self, id: MessageId, end: ProvisionalEnd) {
        self.0.insert(id, end);
    }

    /// Removes and returns a message, or `None` if it is not here.
    pub(super) fn remove(&mut self, id: MessageId) -> Option<PendingMessage> {
        self.0.remove(&id).map(|end| end.message)
    }

    pub(super) fn get_mut(&mut self, id: MessageId) -> Option<&mut ProvisionalEnd> {
        self.0.get_mut(&id)
    }

    /// Returns `true` if the response to this call is the one that provisionally ended its message.
    pub(super) fn contains(&self, call: CallId) -> bool {
        self.0.get(&call.message).is_some_and(|end| end.attempt == call.attempt && !end.is_unprovable)
    }

    /// Returns the time at which the first message is abandoned unless its response is settled, or `None` if there are no
    /// messages.
    pub(super) fn next_abandonment(&self) -> Option<Duration> {
        self.0.values().map(ProvisionalEnd::abandoned_at).min()
    }
}

impl State {
    /// Handles that the response which provisionally ended a message can no longer be proven. The message becomes pending
    /// again if that is allowed, and is to be abandoned otherwise.
    pub(super) fn end_became_unprovable(&mut self, id: MessageId) {
        let Some(end) = self.provisional_ends.get_mut(id) else { return };
        let retry_safety = self.classes[end.message.class].class.retry_safety;
        let permission_of = if end.may_be_over { Permission::before_over } else { Permission::of };
        let permission = permission_of(end.meaning, Standing::Unprovable, retry_safety);
        if permission.next_attempt == NextAttempt::Never {
            end.is_unprovable = true;
        } else {
            self.reopen(id);
        }
    }

    /// Makes a message pending again that is not known to be delivered.
    fn reopen(&mut self, id: MessageId) {
        let Some(end) = self.provisional_ends.0.remove(&id) else { return };
        let mut message = end.message;
        message.start_backoff(AttemptOutcome::ConnectionReset, self.now, &mut self.shared.rng);
        if let Some(execution) = end.possible_execution {
            message.may_have_been_executed(execution);
        }
        self.pending.insert(id, message);
    }

    /// Rule: abandons the first message that may be over and whose response can no longer be proven, or whose end is still
    /// provisional after its deadline. A notification of a message that is over or delivered does no harm.
    pub(crate) fn abandon_unproven(&mut self, driver: &mut dyn Driver) -> bool {
        let mut ends = self.provisional_ends.0.iter();
        let unproven = ends.find(|(_, end)| end.abandoned_at() <= self.now);
        let Some(id) = unproven.map(|(id, _)| *id) else { return false };
        driver.abandon(id);
        self.finish(id);
        true
    }
}

#[cfg(test)]
#[path = "tests/provisional_ends.rs"]
mod tests;
