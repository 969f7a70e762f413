//! Permissions: what a response to a call allows next for its message, and which final outcome it leaves owed.
//!
//! A response that is not proven to be its call's own and whole has several readings, and each of them allows something
//! and owes something. Invariant: what is allowed is what every possible reading allows; what is owed is what any possible
//! reading demands.

use super::connection_ledger::{ResponseMeaning, Uncertainty};
use crate::{AttemptOutcome, RetrySafety};

/// What is known of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// It is its call's own, and whole.
    Proven,
    /// It may be something else, and more may become known of it.
    Provisional(Uncertainty),
    /// It may be something else, and nothing more will become known of it, as its connection is closed. The call can no
    /// longer be executed.
    Unprovable,
}

/// Whether the message may be attempted again, as far as this response is concerned: backoff and deduplication window apply
/// in addition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum NextAttempt {
    /// Never.
    Never,
    /// Only once the response is proven or unprovable, by what is allowed then.
    AfterSettlement,
    /// Yes.
    Allowed,
}

/// Final outcome that is owed to the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwedOutcome {
    /// None: the message has its final outcome.
    None,
    /// Abandoned, once the call can no longer be executed and unless the response is proven. The message may be over, so
    /// that it must not be rejected: its client would submit it again.
    Abandonment,
    /// Any: delivered, rejected or abandoned.
    Any,
}

/// What a response allows and owes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Permission {
    pub(super) next_attempt: NextAttempt,
    /// `true` if a retry and a final outcome wait until the response is settled or the call can no longer be executed.
    pub(super) waits_for_call: bool,
    /// `true` if the message may have been executed by the call, or may yet be.
    pub(super) may_be_executed: bool,
    pub(super) owed: OwedOutcome,
}

impl ResponseMeaning {
    /// Returns what a response with this outcome says of its message if it is its call's own and whole.
    pub fn of(outcome: AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::Delivered => Self::Delivered,
            AttemptOutcome::Over => Self::Over,
            AttemptOutcome::AttemptsExhausted => Self::AttemptsExhausted,
            AttemptOutcome::Rejected { .. }
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionLimit
            | AttemptOutcome::NotSent => Self::NotExecuted,
            AttemptOutcome::Failed
            | AttemptOutcome::AmbiguousRejection { .. }
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectionReset
            | AttemptOutcome::Cancelled => Self::PossiblyExecuted,
        }
    }
}

impl Permission {
    /// Returns what a response allows and owes. docs/design.md, "permissions", has the same table.
    pub(super) fn of(meaning: ResponseMeaning, standing: Standing, retry_safety: RetrySafety) -> Self {
        use NextAttempt::{AfterSettlement, Allowed, Never};
        use OwedOutcome::{Abandonment, Any, None};
        use ResponseMeaning::{AttemptsExhausted, Delivered, NotExecuted, Over, PossiblyExecuted};
        use RetrySafety::{AtMostOnce, Deduplicated, Idempotent};
        use Standing::{Proven, Provisional, Unprovable};
        use Uncertainty::{Call, Completeness};
        let permission = |next_attempt, waits_for_call, may_be_executed, owed| Self {
            next_attempt,
            waits_for_call,
            may_be_executed,
            owed,
        };
        match (meaning, standing, retry_safety) {
            // The status alone says that the message is delivered, whatever follows it.
            (Delivered, Proven | Provisional(Completeness), _) => permission(Never, false, true, None),
            (Delivered, Provisional(Call), Idempotent | Deduplicated { .. }) => {
                permission(AfterSettlement, true, true, Abandonment)
            }
            (Delivered, Provisional(Call), AtMostOnce) => permission(Never, true, true, Abandonment),
            (Delivered, Unprovable, Idempotent | Deduplicated { .. }) => {
                permission(Allowed, false, true, Any)
            }
            (Delivered, Unprovable, AtMostOnce) => permission(Never, false, true, Abandonment),

            (Over, Proven, _) => permission(Never, false, false, None),
            (Over, Provisional(_), _) => permission(Never, true, true, Abandonment),
            (Over, Unprovable, _) => permission(Never, false, true, Abandonment),

            (AttemptsExhausted, Proven, _) => permission(Never, false, false, Any),
            (AttemptsExhausted, Provisional(Call), _) => permission(Never, true, true, Any),
            (AttemptsExhausted, Provisional(Completeness), Idempotent | Deduplicated { .. }) => {
                permission(Never, false, true, Any)
            }
            // Proof would allow a rejection.
            (AttemptsExhausted, Provisional(Completeness), AtMostOnce) => permission(Never, true, true, Any),
            (AttemptsExhausted, Unprovable, _) => permission(Never, false, true, Any),

            (NotExecuted, Proven, _) => permission(Allowed, false, false, Any),
            (NotExecuted, Provisional(Call), Idempotent | Deduplicated { .. }) => {
                permission(Allowed, true, true, Any)
            }
            (NotExecuted, Provisional(Completeness) | Unprovable, Idempotent | Deduplicated { .. }) => {
                permission(Allowed, false, true, Any)
            }
            (NotExecuted, Provisional(_), AtMostOnce) => permission(AfterSettlement, true, true, Any),
            (NotExecuted, Unprovable, AtMostOnce) => permission(Never, false, true, Any),

            (PossiblyExecuted, Provisional(Call), Idempotent | Deduplicated { .. }) => {
                permission(Allowed, true, true, Any)
            }
            (
                PossiblyExecuted,
                Proven | Provisional(Completeness) | Unprovable,
                Idempotent | Deduplicated { .. },
            ) => permission(Allowed, false, true, Any),
            (PossiblyExecuted, Provisional(Call), AtMostOnce) => permission(Never, true, true, Any),
            (PossiblyExecuted, Proven | Provisional(Completeness) | Unprovable, AtMostOnce) => {
                permission(Never, false, true, Any)
            }
        }
    }

    /// Returns what a response allows and owes if a response with status 410 was read later on its connection, which may be
    /// the call's own in its place.
    pub(super) fn before_over(
        meaning: ResponseMeaning,
        standing: Standing,
        retry_safety: RetrySafety,
    ) -> Self {
        match standing {
            Standing::Proven => Self::of(meaning, standing, retry_safety),
            Standing::Provisional(_) => {
                let next_attempt = Self::of(meaning, standing, retry_safety).next_attempt;
                Self {
                    next_attempt: next_attempt.min(NextAttempt::AfterSettlement),
                    ..Self::of(ResponseMeaning::Over, standing, retry_safety)
                }
            }
            Standing::Unprovable => Self::of(ResponseMeaning::Over, standing, retry_safety),
        }
    }
}

#[cfg(test)]
#[path = "tests/permissions.rs"]
mod tests;
