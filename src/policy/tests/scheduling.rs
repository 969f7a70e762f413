use crate::policy::outlier::Health;
use crate::policy::test_support::*;
use crate::{Dispatcher, EndpointUpdate, NewMessage, RetrySafety, ms};
use std::time::Duration;

/// Guards against messages that get no final outcome by their deadline: timers fired at whole microseconds, a fraction
/// of one early, and no other timer was requested.
#[test]
fn a_timer_that_fires_a_little_early_is_followed_by_another() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    submit(&mut dispatcher, 1, None);
    dispatcher.attempt_ended(ended(1, 0, rejected()));
    let timer = |dispatcher: &mut Dispatcher| {
        let mut recorded = RecordedActions::default();
        dispatcher.apply_rules(&mut recorded);
        let micros = recorded.0.iter().find_map(|action| action.strip_prefix("timer ")?.parse().ok());
        micros.map(Duration::from_micros)
    };
    let wait = timer(&mut dispatcher).expect("a timer for the end of the backoff");
    assert_eq!(wait.subsec_micros() % 1_000, 0);
    dispatcher.state.timer = dispatcher.state.timer.map(|at| at + Duration::from_nanos(1));
    dispatcher.advance_to(dispatcher.state.now + wait);
    dispatcher.timer_fired();
    dispatcher.state.pending.get_mut(&1).unwrap().not_before += wait;
    dispatcher.advance_to(dispatcher.state.now + Duration::from_micros(1));
    assert!(timer(&mut dispatcher).is_some());
}

/// Guards against rate limits, which count calls, being used up by messages that could be added to one call: each
/// message had its own call, and half of the messages were rejected.
#[test]
fn messages_waiting_for_one_endpoint_are_added_to_one_call_that_is_counted_once() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.set_batch_limit("k", 3);
    dispatcher.set_limits(Some(1), Some(100), Some(5));
    for id in 1..=5 {
        dispatcher.accept(NewMessage { deadline: ms(9_000), ..message(id) }).unwrap();
    }
    let attempts = actions(&mut dispatcher);
    assert_eq!(attempts, ["attempt 1 a", "attempt 2 a", "attempt 3 a"]); // the only slot is used by this call
    let in_flight = |dispatcher: &Dispatcher| endpoint(dispatcher, "a").concurrency.in_flight();
    let first_attempts = route(&dispatcher).retry_budget.first_attempts(ms(1));
    assert_eq!((in_flight(&dispatcher), first_attempts), (1, 1));
    dispatcher.advance_to(ms(5));
    (1..=3).for_each(|id| dispatcher.attempt_ended(ended(id, 0, rejected())));
    let rejections = route(&dispatcher).limit.rejections();
    assert_eq!((in_flight(&dispatcher), rejections), (0, 1)); // the outcome of the call is counted once
    assert!(dispatcher.state.pending.values().filter(|message| message.backoff_count == 1).count() == 3);
}

/// Guards against messages to slow destinations using all slots (incidents iaa78c2 and ide3163).
#[test]
fn if_slots_are_scarce_the_message_of_the_highest_value_per_second_of_slot_time_is_attempted_first() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.endpoint_updated(EndpointUpdate { destination: 8, ..endpoint_of("c", "x") });
    dispatcher.set_limits(Some(0), Some(100), None);
    for (id, duration) in [(8, 100), (9, 900)] {
        let destination = dispatcher.state.destinations.get_mut(&id).unwrap();
        destination.latency.entry(0).or_default().on_delivery(ms(1), ms(duration));
    }
    for (id, destination) in [(1, 9), (2, 8)] {
        dispatcher.accept(NewMessage { destination, ..message(id) }).unwrap();
    }
    dispatcher.set_limits(Some(1), Some(100), None);
    assert_eq!(actions(&mut dispatcher), ["attempt 2 c"]);
}

/// Guards against losing a message by a health check that fails though a message that can be retried was available.
#[test]
fn a_health_check_is_made_with_a_message_that_can_be_executed_again_if_possible() {
    let mut dispatcher = dispatcher_for(RetrySafety::AtMostOnce);
    dispatcher.add_service_class("idempotent", class_of(RetrySafety::Idempotent, 0.1));
    for name in ["a", "b"] {
        let endpoint = endpoint_mut(&mut dispatcher, name);
        endpoint.health.set_status(Health::Ejected);
        endpoint.budget.fill();
    }
    dispatcher.accept(message(1)).unwrap();
    dispatcher.accept(NewMessage { service_class: "idempotent", ..message(2) }).unwrap();
    assert_eq!(actions(&mut dispatcher), ["attempt 2 a"]);
}
