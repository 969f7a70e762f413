use crate::policy::test_support::*;
use crate::{AttemptOutcome, RetrySafety, ms};

/// Guards against delivery out of order: a message whose attempt timed out may still be executed, even after it was
/// finished, so the next message with its ordering key has to wait for the pause.
#[test]
fn messages_with_one_ordering_key_are_attempted_one_at_a_time_with_a_pause_after_a_timeout() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    assert_eq!(submit(&mut dispatcher, 1, Some(5)), ["attempt 1 a"]);
    assert!(submit(&mut dispatcher, 2, Some(5)).is_empty());
    dispatcher.attempt_ended(ended(1, 0, AttemptOutcome::TimedOut));
    dispatcher.finish(1);
    dispatcher.advance_to(ms(600));
    assert!(actions(&mut dispatcher).is_empty());
    dispatcher.advance_to(ms(710));
    assert!(actions(&mut dispatcher)[0].starts_with("attempt 2"));
    dispatcher.attempt_ended(delivered(2, 0));
    assert!(dispatcher.state.ordering.queues.is_empty() && dispatcher.state.pending.is_empty());
}
