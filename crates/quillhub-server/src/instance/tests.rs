use super::messages::CLIENT_ID_RETENTION;
use super::submission::{InvalidSubmission, SubmitFailure};
use super::*;
use crate::test_support::{
    OK, STATE_BUDGET_BYTES, StateDirectory, TIME_TO_LIVE, endpoint_update, instance, on_one_thread,
    process_at, scripted_server, silent_endpoint, submission, submit, submit_body, unfinished_in,
    until_attempts_ended, until_idle,
};
use quillhub::{AttemptOutcome, AttemptResult, Driver, EndpointState};
use std::time::SystemTime;

/// Guards against a request that lacks the message's ids or changes its body, and against a delivered message that
/// stays pending and is sent again after a restart.
#[test]
fn a_message_is_forwarded_unchanged_and_finished_by_a_200() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let (address, mut requests) = scripted_server(vec![OK]).await;
        let instance = instance(&directory, address);
        assert_eq!(submit(&instance, "once"), SubmitOutcome::Accepted(1));
        let request = requests.recv().await.unwrap();
        for expected in ["POST /events HTTP/1.1\r\n", "\r\nX-Request-Id: ab", "\r\nIdempotency-Key: k\r\n"] {
            assert!(request.contains(expected), "{request}");
        }
        assert!(request.ends_with("\r\nContent-Length: 5\r\n\r\n\0body"), "{request}");
        until_idle(&instance).await;
    });
    assert!(unfinished_in(&directory).is_empty());
}

/// Guards against submissions that are refused but still take a place in the queue, in the log or among the final
/// outcomes, because the instance stores the message before the dispatcher decides.
#[test]
fn a_message_rejected_at_submission_leaves_nothing_pending() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let (address, _listener) = silent_endpoint().await;
        let instance = instance(&directory, address);
        let unknown = SubmitOutcome::Invalid(InvalidSubmission::UnknownServiceClass);
        assert_eq!(submit(&instance, "unheard"), unknown);
        for _ in 0..8 {
            assert!(matches!(submit(&instance, "once"), SubmitOutcome::Accepted(_)));
        }
        assert_eq!(
            submit(&instance, "once"),
            SubmitOutcome::Rejected { retry_after: None },
            "the queue is nearly full"
        );
        assert!(instance.borrow().outcomes.is_empty());
    });
    assert_eq!(unfinished_in(&directory).len(), 8);
}

/// Guards against a state directory that exceeds its budget while endpoints do not respond.
#[test]
fn a_full_state_directory_rejects_messages() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let (address, _listener) = silent_endpoint().await;
        let instance = instance(&directory, address);
        let body = vec![0; 60_000];
        let submit = || submit_body(&instance, "once", &body);
        let accepted = (0..9).take_while(|_| matches!(submit(), SubmitOutcome::Accepted(_))).count();
        assert!((3..9).contains(&accepted));
        assert_eq!(submit(), SubmitOutcome::Rejected { retry_after: None });
        assert!(directory.size() <= STATE_BUDGET_BYTES);
    });
}

/// Guards against a message that is sent but unknown after a crash, because its record could not be written.
#[test]
fn a_message_that_cannot_be_recorded_is_neither_accepted_nor_sent() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let (address, mut requests) = scripted_server(vec![OK, OK, OK]).await;
        let instance = instance(&directory, address);
        std::fs::remove_dir_all(&directory.0).unwrap();
        let body = vec![0; 60_000]; // one message fills a segment, so that the next one needs a new file
        let submit = || submit_body(&instance, "free", &body);
        assert_eq!(submit(), SubmitOutcome::Accepted(1));
        for _ in 0..2 {
            assert_eq!(submit(), SubmitOutcome::Failed(SubmitFailure::StateDirectory));
        }
        until_idle(&instance).await;
        assert!(requests.try_recv().is_ok() && requests.try_recv().is_err(), "one attempt");
    });
}

/// Guards against attempts after a restart for a message whose client never learned that it was accepted.
#[test]
fn a_withdrawn_message_leaves_nothing_pending() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let (address, _listener) = silent_endpoint().await;
        let instance = instance(&directory, address);
        submit(&instance, "free");
        instance.borrow_mut().withdraw(1);
        assert!(instance.borrow().messages.is_empty());
    });
    assert!(unfinished_in(&directory).is_empty());
}

/// Guards against an instance without a dispatcher: it is taken out while an event is handled, and a panic skips the
/// rest of the handler.
#[test]
fn a_panic_in_an_event_leaves_the_dispatcher_in_place() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let (address, _listener) = silent_endpoint().await;
        let instance = instance(&directory, address);
        let panics = || instance.borrow_mut().handle_event(|_| panic!("a panic in an event"));
        assert!(catch_unwind(AssertUnwindSafe(panics)).is_err());
        assert_eq!(submit(&instance, "free"), SubmitOutcome::Accepted(1));
    });
}

/// Guards against attempts that start shortly before the process exits and would be interrupted.
#[test]
fn after_stop_deciding_messages_are_accepted_but_not_attempted() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let (address, _listener) = silent_endpoint().await;
        let instance = instance(&directory, address);
        instance.borrow_mut().stop_deciding();
        assert_eq!(submit(&instance, "free"), SubmitOutcome::Accepted(1));
        assert_eq!(instance.borrow().attempts_in_flight(), 0);
    });
    assert_eq!(unfinished_in(&directory).len(), 1);
}

/// Guards against requests that are sent after the decision for them is outdated. Each change happens after the
/// dispatcher started the attempt and before the attempt's first byte, while its connection opens.
#[test]
fn no_request_is_sent_after_a_withdrawal_or_once_its_endpoint_drains_is_removed_or_sends_a_retry_after() {
    let listed = |state| {
        move |instance: &mut Instance| {
            instance.handle_event(|dispatcher| dispatcher.endpoint_updated(endpoint_update(state)))
        }
    };
    let rejected = AttemptResult {
        message: 2,
        attempt: 0,
        outcome: AttemptOutcome::Rejected { retry_after: Some(TIME_TO_LIVE) },
        duration: TIME_TO_LIVE,
        finished: false,
        load_report: None,
        connection: None,
    };
    type Change = Box<dyn Fn(&mut Instance)>;
    let changes: [(&str, Change); 5] = [
        ("the message is withdrawn", Box::new(|instance| instance.withdraw(1))),
        ("the endpoint drains", Box::new(listed(EndpointState::Draining))),
        ("the endpoint is removed", Box::new(listed(EndpointState::Removed))),
        (
            "the endpoint sends a retry-after",
            Box::new(move |instance| instance.handle_event(|dispatcher| dispatcher.attempt_ended(rejected))),
        ),
        ("no change", Box::new(|_| ())),
    ];
    for (description, change) in changes {
        let directory = StateDirectory::new();
        on_one_thread(async {
            let (address, mut requests) = scripted_server(vec![OK; 9]).await;
            let instance = instance(&directory, address);
            assert_eq!(submit(&instance, "once"), SubmitOutcome::Accepted(1));
            assert_eq!(submit(&instance, "once"), SubmitOutcome::Accepted(2));
            assert_eq!(instance.borrow().attempts_in_flight(), 2);
            instance.borrow_mut().handle_event(|dispatcher| dispatcher.finish(2));
            change(&mut instance.borrow_mut());
            until_attempts_ended(&instance).await;
            let mut received = std::iter::from_fn(|| requests.try_recv().ok());
            assert_eq!(
                received.any(|request| request.ends_with("body")),
                description == "no change",
                "{description}"
            );
        });
    }
}

/// Guards against two messages with the same client id, which endpoints and the platform could not distinguish, for
/// example when a client submits a message again after a restart of the instance.
#[test]
fn a_duplicate_client_id_is_refused_and_the_first_message_stays_pending() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let (address, _listener) = silent_endpoint().await;
        let first = instance(&directory, address);
        let submit = |instance: &RefCell<Instance>, client_id, destination| {
            let submission =
                Submission { client_id, destination, idempotency_key: None, ..submission("free") };
            instance.borrow_mut().submit(submission)
        };
        let duplicate = SubmitOutcome::Invalid(InvalidSubmission::DuplicateClientId);
        assert_eq!(submit(&first, b"a", 9), SubmitOutcome::Accepted(1));
        assert_eq!(submit(&first, b"a", 9), duplicate);
        let unknown = submit(&first, b"b", 404);
        assert_eq!(unknown, SubmitOutcome::Invalid(InvalidSubmission::UnknownDestination));
        assert_eq!((first.borrow().messages.len(), first.borrow().attempts_in_flight()), (1, 1));
        drop(first);
        let second = instance(&directory, address);
        assert_eq!(submit(&second, b"a", 9), duplicate, "also after a restart");
        second.borrow_mut().abandon(1);
        second.borrow_mut().confirm_oldest_outcome();
        assert_eq!(submit(&second, b"a", 9), duplicate, "also after the message is finished");
        second.borrow_mut().clock_offset += CLIENT_ID_RETENTION;
        assert!(matches!(submit(&second, b"a", 9), SubmitOutcome::Accepted(_)));
        assert_eq!(second.borrow().messages.retained_id_count(), 0);
    });
}

/// Guards against a message that is executed twice, since its client had left before the confirmation and it came again with
/// the same id: the first submission had been sent to an endpoint already.
#[test]
fn a_withdrawn_message_keeps_its_client_id_in_use_once_it_may_have_been_sent() {
    for is_sent in [false, true] {
        let directory = StateDirectory::new();
        on_one_thread(async {
            let (address, _listener) = silent_endpoint().await;
            let instance = instance(&directory, address);
            let SubmitOutcome::Accepted(id) = instance.borrow_mut().submit(submission("once")) else {
                panic!("the message is accepted");
            };
            let may_have_been_sent = || instance.borrow().messages.get(id).unwrap().may_have_been_sent;
            while is_sent && !may_have_been_sent() {
                tokio::task::yield_now().await;
            }
            instance.borrow_mut().withdraw(id);
            let again = instance.borrow_mut().submit(submission("once"));
            let is_refused = again == SubmitOutcome::Invalid(InvalidSubmission::DuplicateClientId);
            assert_eq!(is_refused, is_sent, "{again:?}");
        });
    }
}

/// Guards against a request to the process that has taken the place of an endpoint while the attempt was being connected.
#[test]
fn no_request_is_sent_once_the_endpoint_is_another_process() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let (address, listener) = silent_endpoint().await;
        let instance = instance(&directory, address);
        instance.borrow_mut().submit(submission("free"));
        let other = EndpointProcess { up_since_ms: 1, ..process_at(address) };
        instance.borrow_mut().endpoint_listed("e", other);
        let (stream, _) = listener.accept().await.unwrap();
        while instance.borrow().attempts_in_flight() > 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!(stream.try_read(&mut [0]).unwrap_or_default(), 0, "nothing was sent");
    });
}

/// Returns the times of a command that arrived `age` ago and was read now.
fn arrived_before(age: Duration) -> CommandTimes {
    let now = Instant::now();
    CommandTimes { arrived: now - age, arrived_by: now - age, read: now }
}

/// Guards against a deadline that counts from the execution of a command that waited, also after a restart.
#[test]
fn the_time_that_a_command_waited_is_charged_to_its_message_and_in_the_log() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let (address, _listener) = silent_endpoint().await;
        let instance = instance(&directory, address);
        let waited = Duration::from_millis(200);
        let submission = Submission { times: arrived_before(waited), ..submission("free") };
        let latest = SystemTime::now() + TIME_TO_LIVE - waited;
        assert!(matches!(instance.borrow_mut().submit(submission), SubmitOutcome::Accepted(_)));
        let logged = unfinished_in(&directory).into_values().next().unwrap().deadline.unwrap();
        let charged = latest.duration_since(logged).unwrap_or_default();
        let late = logged.duration_since(latest).unwrap_or_default();
        assert!(charged < waited / 2 && late < waited / 2, "{charged:?} before, {late:?} after");
    });
}

/// Guards against messages that are accepted although their clients may have left, or although their time is over.
#[test]
fn a_message_whose_command_waited_for_too_long_is_rejected_and_may_come_again() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let (address, _listener) = silent_endpoint().await;
        let instance = instance(&directory, address);
        let rejected = SubmitOutcome::Rejected { retry_after: None };
        let stale = Submission { times: arrived_before(Duration::from_millis(390)), ..submission("free") };
        assert_eq!(instance.borrow_mut().submit(stale), rejected);
        let expired = Submission {
            times: arrived_before(Duration::from_millis(150)),
            time_to_live: Duration::from_millis(140),
            ..submission("free")
        };
        assert_eq!(instance.borrow_mut().submit(expired), rejected);
        let timely = submission("free");
        assert!(matches!(instance.borrow_mut().submit(timely), SubmitOutcome::Accepted(_)));
    });
}
