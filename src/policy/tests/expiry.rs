use crate::policy::test_support::*;
use crate::{AttemptOutcome, EndpointState, EndpointUpdate, RetrySafety, ms};

/// Guards against rejecting a message that a client may not submit again, and against retrying one in a zone that does
/// not recognize its idempotency key.
#[test]
fn retry_safety_decides_between_rejection_and_abandonment() {
    let cases =
        [(RetrySafety::Idempotent, "reject"), (DEDUPLICATED, "reject"), (RetrySafety::AtMostOnce, "abandon")];
    for (retry_safety, outcome) in cases {
        let mut dispatcher = dispatcher_for(retry_safety);
        submit(&mut dispatcher, 1, None);
        dispatcher.attempt_ended(ended(1, 0, AttemptOutcome::TimedOut));
        dispatcher.advance_to(ms(10_000));
        assert!(actions(&mut dispatcher)[0].starts_with(outcome), "{retry_safety:?}");
    }
    let per_zone = RetrySafety::Deduplicated { window: ms(6_000), per_zone: true };
    let mut dispatcher = dispatcher_for(per_zone);
    submit(&mut dispatcher, 1, None);
    dispatcher.attempt_ended(ended(1, 0, AttemptOutcome::Failed));
    dispatcher.endpoint_updated(EndpointUpdate { state: EndpointState::Removed, ..endpoint_of("a", "x") });
    dispatcher.advance_to(ms(1_000));
    assert!(actions(&mut dispatcher).is_empty(), "the other zone does not recognize the idempotency key");
    dispatcher.advance_to(ms(6_100));
    assert_eq!(actions(&mut dispatcher), ["abandon 1"]);
}

/// Guards against a second execution of an at-most-once message, which happens if it is retried after a failure that
/// does not prove that it was not executed.
#[test]
fn an_at_most_once_message_is_retried_only_after_an_attempt_known_not_to_have_been_executed() {
    let mut dispatcher = dispatcher_for(RetrySafety::AtMostOnce);
    submit(&mut dispatcher, 1, None);
    dispatcher.attempt_ended(ended(1, 0, AttemptOutcome::ConnectFailed));
    dispatcher.advance_to(ms(2_000));
    assert!(actions(&mut dispatcher)[0].starts_with("attempt 1"));
    dispatcher.attempt_ended(ended(1, 1, AttemptOutcome::Failed));
    assert_eq!(actions(&mut dispatcher), ["abandon 1"]);
}

/// Guards against a second execution after a rejection that is not well-formed, which does not prove that the message
/// was not executed, and against calls before the end of its retry-after.
#[test]
fn an_ambiguous_rejection_counts_as_a_possible_execution_and_its_retry_after_is_respected() {
    let mut dispatcher = dispatcher_for(RetrySafety::AtMostOnce);
    assert_eq!(submit(&mut dispatcher, 1, None), ["attempt 1 a"]);
    let outcome = AttemptOutcome::AmbiguousRejection { retry_after: Some(ms(900)) };
    dispatcher.attempt_ended(ended(1, 0, outcome));
    assert_eq!(actions(&mut dispatcher), ["abandon 1"]);
    assert!(submit(&mut dispatcher, 2, None).is_empty() && dispatcher.state.retry_after_end(9) >= ms(900));
}
