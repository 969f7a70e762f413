use super::*;
use crate::policy::test_support::*;
use crate::{AttemptOutcome, NewMessage, RetrySafety};

/// Guards against one slow call becoming typical, and against a timeout that does not follow the latency of a slow
/// destination, which would cut off calls that it is about to answer.
#[test]
fn the_typical_duration_is_the_recent_median_and_timeouts_double_the_attempt_timeout() {
    let mut latency = LatencyWindow::default();
    assert_eq!(latency.typical(ms(5)), ASSUMED_LATENCY);
    [300, 9_000, 400].iter().for_each(|duration| latency.on_delivery(ms(10), ms(*duration)));
    assert_eq!(latency.typical(ms(20)), ms(400));
    assert_eq!(latency.attempt_timeout(ms(0), 1.0), ms(18_000));
    latency.consecutive_timeouts = 1;
    assert_eq!(latency.attempt_timeout(ms(0), 1.0), ms(36_000));
    assert_eq!(latency.typical(ms(10) + MAX_SAMPLE_AGE), ASSUMED_LATENCY);
    let empty = LatencyWindow::default();
    let timeouts = [1.0, 0.75, 0.1].map(|share| empty.attempt_timeout(ms(0), share));
    assert_eq!(timeouts, [ms(2_000), ms(1_500), ms(1_000)]);
}

/// Guards against short timeouts at destinations without samples: ones that were merely slow had 7% of their calls time
/// out and were ejected 157 times. An at-most-once message is lost with its attempt, so its timeout extends to its
/// deadline.
#[test]
fn with_few_samples_the_timeout_is_that_of_the_class_and_extends_to_the_deadline_if_at_most_once() {
    let mut dispatcher = dispatcher_for(RetrySafety::AtMostOnce);
    [3_000, 400, 400].iter().for_each(|duration| {
        let class_latency = &mut dispatcher.state.shared.class_latency;
        class_latency.entry(0).or_default().on_delivery(ms(1), ms(*duration));
    });
    let fallback_tail_bound = dispatcher.state.shared.class_latency[&0].tail_bound();
    let mut few_samples = LatencyWindow::default();
    let timeouts = (
        few_samples.attempt_timeout(fallback_tail_bound, 1.0),
        few_samples.attempt_timeout(fallback_tail_bound, 0.5),
    );
    assert_eq!(timeouts, (ms(6_000), ms(3_000)));
    (0..MIN_SAMPLES).for_each(|_| few_samples.on_delivery(ms(1), ms(300)));
    assert_eq!(few_samples.attempt_timeout(fallback_tail_bound, 1.0), MIN_ATTEMPT_TIMEOUT);
    let mut recorded = RecordedPlans::default();
    dispatcher.accept(NewMessage { deadline: ms(9_001), ..message(1) }).unwrap();
    dispatcher.apply_rules(&mut recorded);
    assert_eq!(recorded.0.iter().map(|plan| plan.timeout).collect::<Vec<_>>(), [ms(9_000)]);
}

/// Guards against calls whose responses are lost using up the slots: with a fifth of all responses lost, the calls that
/// waited 2 s for them held all slots.
#[test]
fn isolated_losses_shorten_the_minimum_timeout_until_deliveries_outweigh_them() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.advance_to(ms(2_000));
    endpoint_mut(&mut dispatcher, "a").health.set_last_delivery(ms(1_900));
    let attempt = attempt_at("a", ms(50));
    (0..2).for_each(|_| process_outcome(&mut dispatcher, &attempt, AttemptOutcome::TimedOut));
    let share = |dispatcher: &crate::Dispatcher| dispatcher.state.shared.isolated_losses.share;
    assert!(share(&dispatcher) >= HIGH_LOSS_SHARE, "the minimum timeout depends on the free slots");
    (0..60).for_each(|_| process_outcome(&mut dispatcher, &attempt, AttemptOutcome::Delivered));
    assert!(share(&dispatcher) < HIGH_LOSS_SHARE / 10.0);
}
