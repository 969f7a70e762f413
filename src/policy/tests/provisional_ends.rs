use super::*;
use crate::ms;
use crate::policy::test_support::*;
use crate::{AttemptResult, Dispatcher, RetrySafety, Uncertainty};

const CLASSES: [RetrySafety; 3] = [RetrySafety::Idempotent, DEDUPLICATED, RetrySafety::AtMostOnce];
const UNCERTAINTIES: [Uncertainty; 2] = [Uncertainty::Call, Uncertainty::Completeness];
const CALL: CallId = CallId { message: 1, attempt: 0 };
/// Deadline of the message.
const DEADLINE: Duration = ms(10_001);
/// Time at which a message whose first call could be retried was retried.
const AFTER_BACKOFF: Duration = ms(4_000);

/// Advances the clock step by step, and returns the actions for messages with the times of their steps in milliseconds.
fn actions_until(dispatcher: &mut Dispatcher, until: Duration) -> Vec<(u128, String)> {
    let mut all = Vec::new();
    while dispatcher.state.now < until {
        dispatcher.advance_to(dispatcher.state.now + ms(50));
        let now = dispatcher.state.now.as_millis();
        let mut actions = actions(dispatcher);
        actions.retain(|action| action.contains(" 1"));
        all.extend(actions.into_iter().map(|action| (now, action)));
    }
    all
}

/// Guards against a further attempt after a 410 that may belong to another call or be malformed: its message is abandoned
/// at once when that can no longer be known, and otherwise at its deadline.
#[test]
fn a_message_that_may_be_over_is_abandoned_and_not_attempted_again() {
    for class in CLASSES {
        for uncertainty in UNCERTAINTIES {
            let mut unprovable = ended_with(class, AttemptOutcome::Over, uncertainty);
            unprovable.response_misattributed(CALL);
            assert_eq!(actions_until(&mut unprovable, DEADLINE + ms(500)), [(150, "abandon 1".into())]);
            let mut open = ended_with(class, AttemptOutcome::Over, uncertainty);
            let actions = actions_until(&mut open, DEADLINE + ms(500));
            assert_eq!(actions, [(10_200, "abandon 1".into())], "{class:?}, {uncertainty:?}");
        }
    }
}

/// Guards against an outcome for a message that is over, and against one that comes only at the deadline: once the
/// connection was quiet, the call can no longer be executed.
#[test]
fn a_message_is_finished_or_abandoned_when_the_call_with_a_410_can_no_longer_be_executed() {
    for class in CLASSES {
        let mut whole = ended_with(class, AttemptOutcome::Over, Uncertainty::Completeness);
        whole.connection_quiet(CALL);
        assert_eq!(actions_until(&mut whole, DEADLINE + ms(500)), []);
        let mut unproven = ended_with(class, AttemptOutcome::Over, Uncertainty::Call);
        unproven.connection_quiet(CALL);
        assert_eq!(actions_until(&mut unproven, DEADLINE + ms(500)), [(150, "abandon 1".into())]);
    }
}

/// Guards against an attempt after a 410 that was read later on the connection of a call than the response that was taken
/// for the call's: it may be the call's own.
#[test]
fn a_message_whose_own_response_may_be_a_later_410_is_not_attempted_again() {
    let outcomes = [AttemptOutcome::Delivered, AttemptOutcome::Failed, rejected()];
    for outcome in outcomes {
        for class in CLASSES {
            let mut unprovable = ended_with(class, outcome, Uncertainty::Call);
            unprovable.response_may_be_over(CALL);
            unprovable.response_misattributed(CALL);
            let actions = actions_until(&mut unprovable, DEADLINE + ms(500));
            assert_eq!(actions, [(150, "abandon 1".into())], "{outcome:?}, {class:?}");
            let mut open = ended_with(class, outcome, Uncertainty::Call);
            open.response_may_be_over(CALL);
            let actions = actions_until(&mut open, DEADLINE + ms(500));
            assert_eq!(actions.len(), 1, "{outcome:?}, {class:?}: {actions:?}");
            assert_eq!(actions[0].1, "abandon 1", "{outcome:?}, {class:?}");
        }
    }
}

/// Guards against a message that is given up although its rejection is proven, so that the later 410 was another call's.
#[test]
fn a_message_is_attempted_again_once_its_rejection_before_a_410_is_proven() {
    for class in CLASSES {
        let mut dispatcher = ended_with(class, rejected(), Uncertainty::Call);
        dispatcher.response_may_be_over(CALL);
        dispatcher.state.attribute(CALL);
        let actions = actions_until(&mut dispatcher, AFTER_BACKOFF);
        assert!(actions[0].1.starts_with("attempt 1"), "{class:?}: {actions:?}");
    }
}

/// Guards against a rejection of a message that may be over, which its client would submit again.
#[test]
fn a_message_that_may_be_over_is_not_rejected() {
    let mut dispatcher = ended_with(RetrySafety::Idempotent, rejected(), Uncertainty::Call);
    dispatcher.response_may_be_over(CALL);
    dispatcher.set_limits(Some(8), Some(1), Some(1));
    let actions = actions_until(&mut dispatcher, DEADLINE + ms(500));
    assert_eq!(actions.iter().map(|(_, action)| &action[..]).collect::<Vec<_>>(), ["abandon 1"]);
}

/// Guards against a request that is written although a 410 which may be the message's own was read while its connection was
/// being established, or while it waited for its last byte.
#[test]
fn an_attempt_that_is_not_sent_yet_is_not_sent_after_a_410_for_the_first_one() {
    for is_closed in [false, true] {
        let mut dispatcher = ended_with(RetrySafety::Idempotent, rejected(), Uncertainty::Call);
        let actions = actions_until(&mut dispatcher, AFTER_BACKOFF);
        assert!(actions[0].1.starts_with("attempt 1"), "{actions:?}");
        assert!(dispatcher.may_send_request(1, 1, AFTER_BACKOFF));
        dispatcher.response_may_be_over(CALL);
        if is_closed {
            dispatcher.response_misattributed(CALL);
        }
        assert!(!dispatcher.may_send_request(1, 1, AFTER_BACKOFF), "connection closed: {is_closed}");
        dispatcher.attempt_ended(ended(1, 1, AttemptOutcome::NotSent));
        let actions = actions_until(&mut dispatcher, DEADLINE + ms(500));
        assert_eq!(actions.last().unwrap().1, "abandon 1");
        assert_eq!(actions.len(), 1, "{actions:?}");
    }
}

/// Guards against calls to no use: a message that has had all its attempts gets its final outcome, at once if its call can no
/// longer be executed.
#[test]
fn a_message_gets_its_final_outcome_once_it_has_had_all_its_attempts() {
    for (class, expected) in [
        (RetrySafety::Idempotent, "reject 1, retry-after: false"),
        (DEDUPLICATED, "reject 1, retry-after: false"),
        (RetrySafety::AtMostOnce, "abandon 1"),
    ] {
        let exhausted = |uncertainty| ended_with(class, AttemptOutcome::AttemptsExhausted, uncertainty);
        let mut closed = exhausted(Uncertainty::Call);
        closed.response_misattributed(CALL);
        assert_eq!(actions_until(&mut closed, DEADLINE), [(150, expected.into())]);
        let mut proven = exhausted(Uncertainty::Call);
        proven.state.attribute(CALL);
        let actions = actions_until(&mut proven, DEADLINE);
        assert_eq!(actions, [(150, "reject 1, retry-after: false".into())], "{class:?}");
    }
    let mut dispatcher = dispatcher_for(RetrySafety::AtMostOnce);
    submit(&mut dispatcher, 1, None);
    dispatcher.attempt_ended(ended(1, 0, AttemptOutcome::AttemptsExhausted));
    assert_eq!(actions(&mut dispatcher), ["reject 1, retry-after: false"]);
}

/// Guards against a message that stays pending after a 410 from a host that knows which response belongs to a call.
#[test]
fn a_message_is_finished_by_a_certain_410() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    submit(&mut dispatcher, 1, None);
    dispatcher.attempt_ended(ended(1, 0, AttemptOutcome::Over));
    assert_eq!(actions_until(&mut dispatcher, DEADLINE), []);
    assert!(dispatcher.state.pending.is_empty());
}

/// Guards against messages that are given up without copies, and against a suspicion that never ends.
#[test]
fn copies_are_suspected_for_a_while_after_a_surplus_response_only() {
    let mut dispatcher = ended_with(RetrySafety::Idempotent, AttemptOutcome::Over, Uncertainty::Call);
    assert!(!dispatcher.suspects_copies());
    dispatcher.surplus_response("a", ms(0), None);
    assert!(dispatcher.suspects_copies());
    dispatcher.advance_to(ms(70_000));
    assert!(!dispatcher.suspects_copies());
}

/// Guards against messages at an endpoint that are given up or repeated since a proxy answers in its place: its 410 came
/// sooner than the endpoint can have answered, which speaks for a copy.
#[test]
fn a_response_of_a_proxy_that_comes_at_once_does_not_speak_for_a_copy() {
    let needs_certain_answer = |outcome| {
        let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
        for id in 10..30 {
            submit(&mut dispatcher, id, None);
            dispatcher.attempt_ended(AttemptResult { duration: ms(80), ..delivered(id, 0) });
        }
        let started = submit(&mut dispatcher, 1, None);
        let result = AttemptResult { duration: ms(2), ..ended(1, 0, outcome) };
        dispatcher.attempt_ended_unattributed(result, Uncertainty::Call);
        dispatcher.connection_quiet(CALL);
        let endpoint = started[0].rsplit(' ').next().expect("an attempt names its endpoint");
        dispatcher.state.needs_certain_answer(DESTINATION, endpoint)
    };
    assert!(needs_certain_answer(AttemptOutcome::Failed));
    for outcome in [AttemptOutcome::Over, AttemptOutcome::AttemptsExhausted, AttemptOutcome::NotSent] {
        assert!(!needs_certain_answer(outcome), "{outcome:?}");
    }
}
