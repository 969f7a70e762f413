use super::*;
use crate::policy::test_support::*;
use crate::{AttemptOutcome, NewMessage, RetrySafety};

#[test]
fn a_typical_call_is_the_recent_median_and_the_timeout_doubles_with_timeouts() {
    let mut latency = LatencyWindow::default();
    assert_eq!(latency.typical(ms(5)), UNKNOWN_CALL);
    [300, 9_000, 400].iter().for_each(|duration| latency.on_delivery(ms(10), ms(*duration)));
    assert_eq!(latency.typical(ms(20)), ms(400));
    assert_eq!(latency.attempt_timeout(ms(0), 1.0), ms(18_000));
    latency.timeouts_in_a_row = 1;
    assert_eq!(latency.attempt_timeout(ms(0), 1.0), ms(36_000));
    assert_eq!(latency.typical(ms(10) + RECENT), UNKNOWN_CALL);
    let quick = LatencyWindow::default();
    let timeouts = [1.0, 0.75, 0.1].map(|free| quick.attempt_timeout(ms(0), free));
    assert_eq!(timeouts, [ms(2_000), ms(1_500), ms(1_000)]);
}

/// glenmuir-claims, quiet: 7% of the calls were given up at partners that are merely slow, and 157 ejections were
/// false.
#[test]
fn a_little_known_destination_gets_the_time_that_others_take_and_an_at_most_once_message_its_own() {
    let mut dispatcher = dispatcher_for(RetrySafety::AtMostOnce);
    [3_000, 400, 400].iter().for_each(|duration| {
        let class_latency = &mut dispatcher.state.shared.class_latency;
        class_latency.entry(0).or_default().on_delivery(ms(1), ms(*duration));
    });
    let elsewhere = dispatcher.state.shared.class_latency[&0].tail_bound();
    let mut fresh = LatencyWindow::default();
    let timeouts = (fresh.attempt_timeout(elsewhere, 1.0), fresh.attempt_timeout(elsewhere, 0.5));
    assert_eq!(timeouts, (ms(6_000), ms(3_000)));
    (0..FEW).for_each(|_| fresh.on_delivery(ms(1), ms(300)));
    assert_eq!(fresh.attempt_timeout(elsewhere, 1.0), LEAST_TIMEOUT);
    let mut recorded = RecordedTimeouts::default();
    dispatcher.accept(NewMessage { deadline: ms(9_001), ..message(1) }).unwrap();
    dispatcher.apply_rules(&mut recorded);
    assert_eq!(recorded.0, [ms(9_000)]);
}

/// A fifth of the responses got lost, and the calls that waited for them for 2 s held all slots.
#[test]
fn isolated_losses_are_counted_until_others_are_delivered() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.advance_to(ms(2_000));
    endpoint_mut(&mut dispatcher, "a").health.set_last_delivery(ms(1_900));
    let attempt = attempt_at("a", ms(50));
    (0..2).for_each(|_| judge(&mut dispatcher, &attempt, AttemptOutcome::TimedOut));
    let share = |dispatcher: &crate::Dispatcher| dispatcher.state.shared.isolated_losses.share;
    assert!(share(&dispatcher) >= MANY_LOSSES, "the least timeout goes by the free slots");
    (0..60).for_each(|_| judge(&mut dispatcher, &attempt, AttemptOutcome::Delivered));
    assert!(share(&dispatcher) < MANY_LOSSES / 10.0);
}
