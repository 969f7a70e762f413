use super::*;
use crate::policy::test_support::DEDUPLICATED;

const MEANINGS: [ResponseMeaning; 5] = [
    ResponseMeaning::Delivered,
    ResponseMeaning::Over,
    ResponseMeaning::AttemptsExhausted,
    ResponseMeaning::NotExecuted,
    ResponseMeaning::PossiblyExecuted,
];
const STANDINGS: [Standing; 4] = [
    Standing::Proven,
    Standing::Provisional(Uncertainty::Completeness),
    Standing::Provisional(Uncertainty::Call),
    Standing::Unprovable,
];
const CLASSES: [RetrySafety; 3] = [RetrySafety::Idempotent, DEDUPLICATED, RetrySafety::AtMostOnce];

/// Reading of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// It is its call's own, and whole.
    Own,
    /// It is its call's own, and malformed.
    Malformed,
    /// It is the response to an earlier call, and that to this call has not come, or came later.
    Copy,
}

/// Returns the possible readings of a response.
fn readings(standing: Standing) -> &'static [Reading] {
    match standing {
        Standing::Proven => &[Reading::Own],
        Standing::Provisional(Uncertainty::Completeness) => &[Reading::Own, Reading::Malformed],
        Standing::Provisional(Uncertainty::Call) | Standing::Unprovable => {
            &[Reading::Own, Reading::Malformed, Reading::Copy]
        }
    }
}

/// What is the case for a message by one reading of a response.
#[derive(Clone, Copy, Debug)]
struct Facts {
    is_delivered: bool,
    is_over: bool,
    has_attempts_left: bool,
    may_be_executed: bool,
    /// The call may still be executed, so that another one would be a second at once.
    may_be_out: bool,
}

impl Facts {
    fn of(meaning: ResponseMeaning, standing: Standing, reading: Reading) -> Self {
        let unknown = Self {
            is_delivered: false,
            is_over: false,
            has_attempts_left: true,
            may_be_executed: true,
            may_be_out: reading == Reading::Copy && standing != Standing::Unprovable,
        };
        match (meaning, reading) {
            // The status alone says so.
            (ResponseMeaning::Delivered, Reading::Own | Reading::Malformed) => {
                Self { is_delivered: true, ..unknown }
            }
            (ResponseMeaning::Over, Reading::Own) => {
                Self { is_over: true, may_be_executed: false, ..unknown }
            }
            (ResponseMeaning::AttemptsExhausted, Reading::Own) => {
                Self { has_attempts_left: false, may_be_executed: false, ..unknown }
            }
            (ResponseMeaning::NotExecuted, Reading::Own) => Self { may_be_executed: false, ..unknown },
            (ResponseMeaning::PossiblyExecuted, Reading::Own) | (_, Reading::Malformed | Reading::Copy) => {
                unknown
            }
        }
    }

    /// Returns `true` if a later attempt does not break a rule. An endpoint answers a repetition of a delivered message that
    /// its class allows as delivered once more.
    fn allows_attempt(&self, class: RetrySafety) -> bool {
        let may_repeat = !self.may_be_executed || class != RetrySafety::AtMostOnce;
        !self.is_over && self.has_attempts_left && may_repeat
    }

    fn is_outcome_owed(&self) -> bool {
        !self.is_over && !self.is_delivered
    }
}

/// Calls `check` with each cell of the table, its permission, and what is the case by each possible reading.
fn for_each_cell(check: impl Fn((ResponseMeaning, Standing, RetrySafety), Permission, &[Facts])) {
    for meaning in MEANINGS {
        for standing in STANDINGS {
            for class in CLASSES {
                let facts = readings(standing).iter().map(|reading| Facts::of(meaning, standing, *reading));
                let permission = Permission::of(meaning, standing, class);
                check((meaning, standing, class), permission, &facts.collect::<Vec<_>>());
            }
        }
    }
}

/// Guards against an attempt that one possible reading of a response forbids.
#[test]
fn a_further_attempt_is_allowed_only_if_every_reading_of_the_response_allows_it() {
    for_each_cell(|cell, permission, facts| {
        let (_, standing, class) = cell;
        let all_allow = facts.iter().all(|facts| facts.allows_attempt(class));
        let any_allows = facts.iter().any(|facts| facts.allows_attempt(class));
        match permission.next_attempt {
            NextAttempt::Allowed => assert!(all_allow, "{cell:?}"),
            NextAttempt::AfterSettlement => {
                assert!(any_allows && matches!(standing, Standing::Provisional(_)), "{cell:?}");
            }
            // Nothing that is learned later allows an attempt, or nothing is owed.
            NextAttempt::Never => {
                let is_finished = !facts.iter().any(Facts::is_outcome_owed);
                assert!(is_finished || !all_allow, "{cell:?}");
            }
        }
        let may_be_out = facts.iter().any(|facts| facts.may_be_out);
        assert!(!may_be_out || permission.waits_for_call, "{cell:?}");
    });
}

/// Guards against a table that forbids what no reading forbids, so that messages are given up that could be delivered.
#[test]
fn a_further_attempt_is_allowed_if_every_reading_allows_it_and_an_outcome_is_owed() {
    for_each_cell(|cell, permission, facts| {
        let all_allow = facts.iter().all(|facts| facts.allows_attempt(cell.2));
        if all_allow && facts.iter().all(Facts::is_outcome_owed) {
            assert_eq!(permission.next_attempt, NextAttempt::Allowed, "{cell:?}");
        }
    });
}

/// Guards against a message without a final outcome, and against one that is reported although it is certainly finished.
#[test]
fn a_final_outcome_is_owed_if_any_reading_demands_it() {
    for_each_cell(|cell, permission, facts| {
        let is_owed = facts.iter().any(Facts::is_outcome_owed);
        assert_eq!(permission.owed != OwedOutcome::None, is_owed, "{cell:?}");
    });
}

/// Guards against the rejection of a message that may be over: its client would submit it again.
#[test]
fn a_message_that_may_be_over_is_only_abandoned() {
    for_each_cell(|cell, permission, facts| {
        let may_be_over = facts.iter().any(|facts| facts.is_over);
        let is_certainly_over = facts.iter().all(|facts| facts.is_over);
        if may_be_over && !is_certainly_over {
            assert_eq!(permission.owed, OwedOutcome::Abandonment, "{cell:?}");
        }
    });
}

/// Guards against a retry or a rejection that assumes that a message was not executed.
#[test]
fn a_message_may_have_been_executed_if_any_reading_says_so() {
    for_each_cell(|cell, permission, facts| {
        let may_be_executed = facts.iter().any(|facts| facts.may_be_executed);
        assert_eq!(permission.may_be_executed, may_be_executed, "{cell:?}");
    });
}

/// Guards against a further attempt after a 410, whatever is known of it.
#[test]
fn no_attempt_follows_a_410_of_any_standing_in_any_class() {
    for standing in STANDINGS {
        for class in CLASSES {
            let permission = Permission::of(ResponseMeaning::Over, standing, class);
            assert_eq!(permission.next_attempt, NextAttempt::Never, "{standing:?}, {class:?}");
        }
    }
}

/// Guards against an attempt after a response that is not proven, if a later 410 on its connection may be the call's own.
#[test]
fn a_response_before_a_410_allows_nothing_until_it_is_proven() {
    for meaning in MEANINGS {
        for class in CLASSES {
            let before_over = |standing| Permission::before_over(meaning, standing, class);
            assert_eq!(before_over(Standing::Proven), Permission::of(meaning, Standing::Proven, class));
            for uncertainty in [Uncertainty::Call, Uncertainty::Completeness] {
                let provisional = before_over(Standing::Provisional(uncertainty));
                assert!(provisional.next_attempt <= NextAttempt::AfterSettlement, "{meaning:?}, {class:?}");
                assert_eq!(provisional.owed, OwedOutcome::Abandonment, "{meaning:?}, {class:?}");
            }
            let unprovable = before_over(Standing::Unprovable);
            assert_eq!(unprovable.next_attempt, NextAttempt::Never, "{meaning:?}, {class:?}");
            assert_eq!(unprovable.owed, OwedOutcome::Abandonment, "{meaning:?}, {class:?}");
        }
    }
}

/// Guards against an outcome whose meaning contradicts what it says about an execution.
#[test]
fn an_outcome_means_that_a_message_was_not_executed_if_it_is_known_not_to_have_been() {
    let outcomes = [
        AttemptOutcome::Delivered,
        AttemptOutcome::Failed,
        AttemptOutcome::Rejected { retry_after: None },
        AttemptOutcome::AmbiguousRejection { retry_after: None },
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::ConnectionReset,
        AttemptOutcome::Cancelled,
        AttemptOutcome::NotSent,
        AttemptOutcome::ConnectionLimit,
        AttemptOutcome::Over,
        AttemptOutcome::AttemptsExhausted,
    ];
    for outcome in outcomes {
        for class in CLASSES {
            let permission = Permission::of(ResponseMeaning::of(outcome), Standing::Proven, class);
            assert_eq!(permission.may_be_executed, !outcome.known_not_executed(), "{outcome:?}");
        }
    }
}
