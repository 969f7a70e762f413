use super::*;
use crate::instance::{FinalOutcome, SubmitOutcome};
use crate::test_support::{
    InstanceBuilder, OK, StateDirectory, configuration, instance, log_with, message, on_one_thread,
    scripted_server, silent_endpoint, submit, unconnectable_address, unfinished_in, until_attempts_ended,
    until_idle,
};
use crate::wal::FinalResult;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Response to a successful delivery, on a connection that cannot be reused.
const DELIVERED_AND_CLOSED: &[u8] = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

fn is_rejected(outcome: &FinalOutcome) -> bool {
    matches!(outcome.result, FinalResult::Rejected { .. })
}

/// Starts an instance on the state directory of an earlier one and applies the dispatcher's rules once.
fn restart(directory: &StateDirectory, endpoint: SocketAddr) -> Rc<RefCell<Instance>> {
    let instance = instance(directory, endpoint);
    instance.borrow_mut().handle_event(|_| ());
    instance
}

/// Guards against lost messages and against a second execution: at the crash, the endpoint has received the requests
/// and not responded.
#[test]
fn messages_in_flight_at_a_crash_are_recovered_and_an_at_most_once_message_is_not_retried() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let (address, mut requests) = scripted_server(vec![b"HTTP/1.1 100 Continue\r\n\r\n"; 4]).await;
        let first = instance(&directory, address);
        assert_eq!(submit(&first, "once"), SubmitOutcome::Accepted(1));
        assert_eq!(submit(&first, "free"), SubmitOutcome::Accepted(2));
        for _ in 0..2 {
            assert!(requests.recv().await.unwrap().ends_with("body"));
        }
        drop(first);
        let second = restart(&directory, address);
        let second = second.borrow();
        let outcomes: Vec<_> = second.outcomes.iter().map(|end| (end.message, is_rejected(end))).collect();
        assert_eq!(outcomes, [(1, false)], "the at-most-once message is abandoned");
        let attempts = second.messages.get(2).unwrap().attempts;
        assert_eq!((attempts, second.attempts_in_flight()), (2, 1), "the other is retried");
    });
}

/// Guards against attempts for a message whose client or platform may already know that it was rejected.
#[test]
fn a_recorded_outcome_is_final_across_a_restart() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let (address, _listener) = silent_endpoint().await;
        let first = instance(&directory, address);
        submit(&first, "free");
        let retry_after = Some(Duration::from_millis(500));
        first.borrow_mut().reject(1, retry_after);
        drop(first);
        let second = restart(&directory, address);
        let mut second = second.borrow_mut();
        let results: Vec<_> = second.outcomes.iter().map(|outcome| outcome.result).collect();
        assert_eq!((second.attempts_in_flight(), results.len()), (0, 1));
        assert_eq!(results[0], FinalResult::Rejected { retry_after });
        second.confirm_oldest_outcome();
    });
    assert!(unfinished_in(&directory).is_empty());
}

/// Guards against a message that stays in the log without an outcome because the settings no longer define its service
/// class.
#[test]
fn a_recovered_message_of_an_unknown_service_class_is_abandoned() {
    let directory = StateDirectory::new();
    drop(log_with(&directory, &[message("unheard")]));
    on_one_thread(async {
        let (address, _listener) = silent_endpoint().await;
        let instance = instance(&directory, address);
        let instance = instance.borrow();
        let outcomes: Vec<_> = instance.outcomes.iter().map(|end| (end.message, is_rejected(end))).collect();
        assert_eq!((outcomes, instance.messages.len()), (vec![(1, false)], 0));
    });
    assert_eq!(unfinished_in(&directory)[&1].outcome, Some(FinalResult::Abandoned));
}

/// Guards against a second execution after the wall clock was set back, here by an hour. The age of the recorded
/// attempt is then unknown, and the deduplication window may have passed.
#[test]
fn a_deduplicated_message_whose_attempt_lies_in_the_future_is_not_retried() {
    for (in_future, attempts) in [(false, 1), (true, 0)] {
        let directory = StateDirectory::new();
        let mut log = log_with(&directory, &[message("marked")]);
        let (now, hour) = (SystemTime::now(), Duration::from_secs(3_600));
        log.record_attempt_started(1, 0, if in_future { now + hour } else { now }, "e").unwrap();
        on_one_thread(async {
            let (address, _listener) = silent_endpoint().await;
            let instance = restart(&directory, address);
            let instance = instance.borrow();
            assert_eq!(
                (instance.attempts_in_flight(), instance.outcomes.iter().count()),
                (attempts, 1 - attempts)
            );
        });
    }
}

/// Guards against attempts that start while the process exits: the exit would interrupt them, and they may have
/// executed their message.
#[test]
fn an_attempt_not_started_at_shutdown_is_left_to_the_next_process() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let (address, mut requests) = scripted_server(vec![OK, OK]).await;
        let first = instance(&directory, address);
        assert_eq!(submit(&first, "once"), SubmitOutcome::Accepted(1));
        assert_eq!(first.borrow().attempts_in_flight(), 1);
        first.borrow_mut().stop_deciding(); // before the attempt's task has run
        until_attempts_ended(&first).await;
        assert!(first.borrow().outcomes.is_empty() && requests.try_recv().is_err());
        drop(first);
        let _second = restart(&directory, address);
        let received = [requests.recv().await.unwrap(), requests.recv().await.unwrap()];
        let by_the_second_only = received[0].is_empty() && received[1].ends_with("body");
        assert!(by_the_second_only, "{received:?}");
    });
}

/// Guards against abandoning an at-most-once message that was never sent. Opening a connection may take more than a
/// second; if the process crashes within that time, the endpoint has received nothing.
#[test]
fn a_message_whose_connection_was_still_opening_at_a_crash_counts_as_unattempted() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let (unresponsive, _full_queue) = unconnectable_address();
        let first = instance(&directory, unresponsive);
        assert_eq!(submit(&first, "once"), SubmitOutcome::Accepted(1));
        assert_eq!(first.borrow().attempts_in_flight(), 1);
        for _ in 0..10 {
            tokio::task::yield_now().await; // until the attempt's task waits
        }
        drop(first);
        let (address, mut requests) = scripted_server(vec![OK]).await;
        let second = restart(&directory, address);
        assert!(second.borrow().outcomes.is_empty(), "the message is not abandoned");
        assert!(requests.recv().await.unwrap().ends_with("body"));
    });
}

/// Guards against messages that are lost or finished twice because a crash cut off the log within a record. For the
/// log of one message, truncated after each byte, recovery must lead to exactly one next step.
#[test]
fn a_log_cut_off_at_any_byte_leads_to_exactly_one_next_step() {
    let intact = StateDirectory::new();
    let path = intact.0.join("wal-0000000000");
    let size = || std::fs::metadata(&path).unwrap().len();
    let mut log = log_with(&intact, &[message("once")]);
    let mut record_ends = vec![size()];
    log.record_attempt_started(1, 0, SystemTime::now(), "e").unwrap();
    record_ends.push(size());
    log.record_not_executed(1, 0).unwrap();
    record_ends.push(size());
    log.record_attempt_started(1, 1, SystemTime::now(), "e").unwrap();
    record_ends.push(size());
    log.record_outcome_decided(1, FinalResult::Rejected { retry_after: None }).unwrap();
    record_ends.push(size());
    log.record_finished(1).unwrap();
    record_ends.push(size());
    let content = std::fs::read(&path).unwrap();
    for cut in 0..=content.len() {
        let directory = StateDirectory::new();
        std::fs::write(directory.0.join("wal-0000000000"), &content[..cut]).unwrap();
        // After 0 to 6 complete records: nothing; an attempt; abandoned, because the attempt may have executed the
        // message; an attempt; abandoned; rejected; nothing.
        let expected = match record_ends.iter().filter(|end| **end <= cut as u64).count() {
            0 | 6 => (0, None),
            1 | 3 => (1, None),
            2 | 4 => (0, Some(false)),
            _ => (0, Some(true)),
        };
        on_one_thread(async {
            let (address, _listener) = silent_endpoint().await;
            let instance = restart(&directory, address);
            let instance = instance.borrow();
            let outcomes: Vec<_> = instance.outcomes.iter().map(is_rejected).collect();
            assert!(outcomes.len() < 2, "after {cut} bytes");
            let next_step = (instance.attempts_in_flight(), outcomes.first().copied());
            assert_eq!(next_step, expected, "after {cut} of {} bytes", content.len());
        });
    }
}

/// Starts an instance with a deduplication window of 1 s. Its state directory contains message 1, with one attempt that
/// started `age` ago and may have executed it, and message 2 with the same ordering key and no attempt.
fn restart_after(directory: &StateDirectory, endpoint: SocketAddr, age: Duration) -> Rc<RefCell<Instance>> {
    let messages = [1, 2].map(|id| LoggedMessage {
        ordering_key: Some(5),
        client_id: format!("ab{id}").into_bytes(),
        idempotency_key: Some(format!("k{id}").into_bytes()),
        body: Vec::new(),
        ..message("marked")
    });
    let mut log = log_with(directory, &messages);
    log.record_attempt_started(1, 0, SystemTime::now() - age, "e").unwrap();
    drop(log);
    let mut settings = configuration()["settings"].take();
    settings["rules"] = serde_json::json!({"keyRestUs": 300_000});
    settings["classes"][2]["memorySpanUs"] = 1_000_000.into();
    settings["classes"][2]["byArrival"] = true.into();
    InstanceBuilder::new(directory, endpoint).settings(settings).build()
}

/// Guards against a message that blocks the later ones of its ordering key after a restart. Its deduplication window
/// may have expired during the restart, or have less time left than a usual attempt takes.
#[test]
fn a_message_whose_window_expires_during_a_restart_is_given_up_at_once_and_does_not_block_its_ordering_key() {
    for age in [700, 1_000, 1_200, 60_000].map(Duration::from_millis) {
        let directory = StateDirectory::new();
        on_one_thread(async {
            let (address, mut requests) = scripted_server(vec![OK]).await;
            let instance = restart_after(&directory, address, age);
            let finished: Vec<_> = instance.borrow().outcomes.iter().map(|end| end.message).collect();
            assert_eq!(finished, [1], "age {age:?}");
            let request = requests.recv().await.unwrap();
            assert!(request.contains("X-Request-Id: ab2\r\n"), "age {age:?}: {request}");
            until_attempts_ended(&instance).await;
            instance.borrow_mut().confirm_oldest_outcome();
            assert!(instance.borrow().is_idle(), "age {age:?}");
        });
        assert!(unfinished_in(&directory).is_empty(), "age {age:?}");
    }
}

/// Guards against giving up a message that a retry can still deliver, and against breaking the order of its key.
#[test]
fn a_message_whose_deduplication_window_still_allows_an_attempt_after_a_restart_is_retried_first() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let (address, mut requests) = scripted_server(vec![DELIVERED_AND_CLOSED; 2]).await;
        let instance = restart_after(&directory, address, Duration::ZERO);
        assert!(instance.borrow().outcomes.is_empty());
        let request = requests.recv().await.unwrap();
        assert!(request.contains("X-Request-Id: ab1\r\n"), "{request}");
        assert!(request.contains("Idempotency-Key: k1\r\n"), "{request}");
        until_idle(&instance).await;
    });
    assert!(unfinished_in(&directory).is_empty());
}
