use super::*;
use crate::PossibleExecution;
use crate::policy::test_support::*;

#[test]
fn a_short_queue_rejects_what_is_worth_least() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.set_limits(Some(0), Some(3), None);
    for (id, service_class) in [(1, "dear"), (2, "g"), (3, "dear")] {
        dispatcher.accept(NewMessage { service_class, ..message(id) }).unwrap();
    }
    assert_eq!(actions(&mut dispatcher), ["reject 2 false"]);
}

#[test]
fn a_message_over_its_tenants_quota_is_worth_less() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.add_tenant("t", 2.0, 0.1);
    dispatcher.add_tenant("u", 6.0, 0.1);
    (1..=2).for_each(|id| {
        dispatcher.accept(NewMessage { tenant: Some("t"), ..message(id) }).unwrap();
    });
    assert_eq!((dispatcher.state.pending[&1].value, dispatcher.state.pending[&2].value), (1.0, 0.1));
}

/// tunis-lac, big-1: six instances carried a fifth of all, held nearly all of it for over its quotas, and rejected it.
#[test]
fn a_message_within_its_tenants_part_of_what_a_busy_instance_is_handed_is_worth_its_full_value() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.add_tenant("t", 2.0, 0.1);
    dispatcher.add_tenant("u", 6.0, 0.1);
    for id in 1..=80 {
        let tenant = if id % 4 == 0 { "t" } else { "u" };
        dispatcher.accept(NewMessage { tenant: Some(tenant), ..message(id) }).unwrap();
    }
    assert!(dispatcher.state.pending.values().filter(|message| message.value == 1.0).count() >= 78);
}

#[test]
fn an_unknown_service_class_or_message_changes_nothing() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    let unknown = NewMessage { service_class: "none", ..message(1) };
    assert!(dispatcher.accept(unknown).is_err());
    dispatcher.attempt_ended(delivered(4, 0));
    dispatcher.finish(4);
    assert!(dispatcher.state.pending.is_empty() && actions(&mut dispatcher).is_empty());
}

#[test]
fn without_storage_only_what_is_handed_in_just_then_is_rejected() {
    let mut dispatcher = dispatcher_for(DEDUPLICATED);
    assert_eq!(submit(&mut dispatcher, 1, None), ["attempt 1 a"]);
    dispatcher.set_storage_capacity(0);
    assert_eq!(submit(&mut dispatcher, 2, None), ["reject 2 false"]);
    dispatcher.set_storage_capacity(1);
    assert_eq!(submit(&mut dispatcher, 3, None).len(), 1);
    assert!(dispatcher.state.pending.contains_key(&1) && dispatcher.state.pending.contains_key(&3));
}

#[test]
fn what_may_have_been_executed_before_a_restart_is_retried_only_while_its_key_is_remembered() {
    for (retry_safety, ago, then) in [
        (DEDUPLICATED, 4_000, "attempt 1 a"),
        (DEDUPLICATED, 7_000, "reject 1 false"),
        (RetrySafety::AtMostOnce, 4_000, "abandon 1"),
        (RetrySafety::Idempotent, 7_000, "attempt 1 a"),
    ] {
        let mut dispatcher = dispatcher_for(retry_safety);
        dispatcher.advance_to(ms(8_000));
        let recovered = NewMessage { ordering_key: Some(5), deadline: ms(18_000), ..message(1) };
        dispatcher.accept(recovered).unwrap();
        let first = PossibleExecution { started: ms(8_000 - ago), endpoint: "a" };
        dispatcher.restore_attempts(1, RecoveredAttempts { count: 1, first_execution: Some(first) });
        assert_eq!(actions(&mut dispatcher), [then], "{retry_safety:?}, {ago} ms ago");
    }
}

/// lublin-ledger, roll+term: 65 of 133 that a restart found untried with half their time left were given up untried.
#[test]
fn what_a_restart_found_untried_goes_first_and_is_given_up_last() {
    for (count, first) in [(0, "attempt 1 a"), (1, "attempt 3 a")] {
        let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
        dispatcher.set_limits(Some(1), Some(3), Some(5));
        dispatcher.advance_to(ms(8_000));
        // Late, and of little value.
        dispatcher.accept(NewMessage { deadline: ms(11_000), ..message(1) }).unwrap();
        dispatcher.restore_attempts(1, RecoveredAttempts { count, first_execution: None });
        for id in [2, 3] {
            let service_class = if id == 2 { "g" } else { "dear" };
            dispatcher.accept(NewMessage { service_class, deadline: ms(18_000), ..message(id) }).unwrap();
        }
        let rejected = if count == 0 { "reject 2 false" } else { "reject 1 false" };
        assert_eq!(actions(&mut dispatcher), [first, rejected], "after {count} attempts");
    }
}

#[test]
fn a_message_lasts_no_longer_than_its_service_class_allows() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.accept(NewMessage { deadline: ms(9_000_000), ..message(1) }).unwrap();
    assert_eq!(dispatcher.state.pending[&1].deadline, dispatcher.state.now + ms(10_000));
}
