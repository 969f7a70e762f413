use super::scripted_endpoint::{ScriptedEndpoint, Step};
use crate::instance::{Instance, SubmitOutcome};
use crate::test_support::{
    OK, StateDirectory, endpoint_update, instance, on_one_thread, submit, until_attempts_ended,
};
use crate::wal::FinalResult;
use Step::{Close, Read, ReadPart, Release, Reset, Write};
use quillhub::EndpointState;
use std::cell::RefCell;
use std::time::Duration;
use tokio::task::yield_now;

/// Whole responses which say that the message is over.
const WHOLE: [&[u8]; 5] = [
    b"HTTP/1.1 410 x\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 410\r\nContent-Length: 4\r\n\r\nover",
    b"HTTP/1.1 410 x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nover\r\n0\r\n\r\n",
    b"HTTP/1.1 103 x\r\n\r\nHTTP/1.1 410 x\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 410 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
];
const OVER: &[u8] = WHOLE[0];
/// Responses with status 410 that are cut off or malformed.
const TORN: [&[u8]; 7] = [
    b"HTTP/1.1 410 x\r\nContent-Length: 4\r\n\r\nov",
    b"HTTP/1.1 410 x\r\nContent-Le",
    b"HTTP/1.1 410 x\r",
    b"HTTP/1.1 410",
    b"HTTP/1.1 41",
    b"HTTP/1.1 410 x\nContent-Length: 0\n\n",
    b"HTTP/1.1 410 x\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nover",
];
/// Delivery with a copy right behind it.
const TWO_DELIVERIES: &[u8] =
    b"HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n";
const REJECTED: &[u8] = b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n";
const FAILED: &[u8] = b"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n";
const EXHAUSTED: &[u8] = b"HTTP/1.1 504 x\r\nContent-Length: 0\r\n\r\n";
const CLASSES: [&str; 3] = ["free", "marked", "once"];
/// Time for which messages are observed that must not be called again: longer than the backoff and the time to live.
const OBSERVATION: Duration = Duration::from_secs(11);
/// Step by which paused time advances.
const TIME_STEP: Duration = Duration::from_millis(10);

/// Lets the time pass, with all tasks that it wakes.
async fn pass(time: Duration) {
    tokio::time::pause();
    let mut passed = Duration::ZERO;
    while passed < time {
        tokio::time::advance(TIME_STEP).await;
        yield_now().await;
        passed += TIME_STEP;
    }
    tokio::time::resume();
}

fn results(instance: &RefCell<Instance>) -> Vec<FinalResult> {
    instance.borrow().unconfirmed_outcomes().map(|outcome| outcome.result).collect()
}

/// Submits one message after the other to an endpoint with this script for its first connection, each after the end of the
/// attempt before, and releases the script. Returns the number of calls of each message by the end of the observation, and
/// the final outcomes.
fn calls_after(classes: &[&str], script: Vec<Step>) -> (Vec<usize>, Vec<FinalResult>) {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let endpoint = ScriptedEndpoint::start(vec![script]).await;
        let instance = instance(&directory, endpoint.address);
        for class in classes {
            submit(&instance, class);
            until_attempts_ended(&instance).await;
        }
        endpoint.release.notify_one();
        pass(OBSERVATION).await;
        (endpoint.calls_of_each(), results(&instance))
    })
}

/// Guards against a message that is called again after a 410 since its connection was closed or reset, or bytes or a copy
/// came behind it: "may have been executed" was read as "may be attempted again". Its notification is owed, as it may not
/// be the call's own response.
#[test]
fn a_message_is_not_called_again_after_a_410_whatever_becomes_of_the_connection() {
    for response in WHOLE {
        for class in CLASSES {
            for end in [vec![Reset], vec![Write(b" and more")], vec![Write(OVER)], vec![Write(b"H"), Close]] {
                let text = format!("{class}, {:?}, {end:?}", String::from_utf8_lossy(response));
                let script = [vec![Read, Write(response), Release], end].concat();
                let (calls, results) = calls_after(&[class], script);
                assert_eq!(calls, [1], "{text}");
                assert_eq!(results, [FinalResult::Abandoned], "{text}");
            }
        }
    }
}

/// Guards against a notification that nobody owes: a 410 that is proven to be whole and its call's own ends the message.
#[test]
fn a_proven_410_ends_its_message_without_a_notification() {
    for response in WHOLE {
        for class in CLASSES {
            for end in [vec![], vec![Close]] {
                let text = format!("{class}, {:?}, {end:?}", String::from_utf8_lossy(response));
                let script = [vec![Read, Write(response), Release], end].concat();
                assert_eq!(calls_after(&[class], script), (vec![1], vec![]), "{text}");
            }
        }
    }
}

/// Guards against a message that is called again after a 410 that is cut off or malformed.
#[test]
fn a_message_is_not_called_again_after_a_torn_410() {
    for response in TORN {
        for class in CLASSES {
            for end in [vec![Close], vec![Reset]] {
                let text = format!("{class}, {:?}, {end:?}", String::from_utf8_lossy(response));
                let script = [vec![Read, Write(response), Release], end.clone()].concat();
                let directory = StateDirectory::new();
                on_one_thread(async {
                    let endpoint = ScriptedEndpoint::start(vec![script]).await;
                    let instance = instance(&directory, endpoint.address);
                    submit(&instance, class);
                    endpoint.written.notified().await;
                    // The reset must not overtake the bytes before the instance has read them.
                    pass(TIME_STEP).await;
                    endpoint.release.notify_one();
                    until_attempts_ended(&instance).await;
                    pass(OBSERVATION).await;
                    assert_eq!(endpoint.calls_of_each(), [1], "{text}");
                    assert_eq!(results(&instance), [FinalResult::Abandoned], "{text}");
                });
            }
        }
    }
}

/// Guards against a call after a 410 on a connection that carried an earlier call, so that the 410 may be another call's:
/// the connection is closed, reset, or brings a surplus response.
#[test]
fn a_message_is_not_called_again_after_a_410_on_a_used_connection() {
    for class in CLASSES {
        for end in [vec![Close], vec![Reset], vec![Write(OK)], vec![Write(OVER)], vec![Write(REJECTED)]] {
            let text = format!("{class}, {end:?}");
            let script = [vec![Read, Write(OK), Read, Write(OVER), Release], end].concat();
            let (calls, results) = calls_after(&["free", class], script);
            assert_eq!(calls, [1, 1], "{text}");
            assert_eq!(results, [FinalResult::Abandoned], "{text}");
        }
    }
}

/// Guards against a call after a 410 that came as the response to a later call on the connection, or as a surplus response:
/// the response that was read for the call may be a copy, and the 410 its own.
#[test]
fn a_message_is_not_called_again_after_a_410_that_may_be_its_own() {
    for first in [OK, REJECTED, FAILED] {
        for class in ["free", "marked"] {
            let text = format!("{class}, {:?}", String::from_utf8_lossy(first));
            let surplus = vec![Read, Write(OK), Read, Write(first), Release, Write(OVER)];
            let (calls, results) = calls_after(&["free", class], surplus);
            assert_eq!(calls, [1, 1], "{text}, surplus");
            assert_eq!(results, [FinalResult::Abandoned], "{text}, surplus");
            let later = vec![Read, Write(OK), Read, Write(first), Read, Write(OVER), Release, Write(OK)];
            let (calls, results) = calls_after(&["free", class, "free"], later);
            assert_eq!(calls, [1, 1, 1], "{text}, later call");
            assert_eq!(results, [FinalResult::Abandoned; 2], "{text}, later call");
        }
    }
}

/// Guards against a request that is sent once more on another connection after the endpoint has answered 410 to its first
/// part.
#[test]
fn a_message_is_not_called_again_after_a_410_before_the_end_of_its_request() {
    for class in CLASSES {
        let (calls, results) = calls_after(&[class], vec![ReadPart, Write(OVER)]);
        assert_eq!(calls, [] as [usize; 0], "{class}: no call was complete");
        assert_eq!(results, [FinalResult::Abandoned], "{class}");
    }
}

/// Guards against a restart that attempts a message again after a 410 which was not proven before the process ended.
#[test]
fn a_restart_after_a_410_reports_the_message_and_does_not_attempt_it() {
    for response in [OVER, TORN[0], TORN[1], TORN[3]] {
        for class in CLASSES {
            let directory = StateDirectory::new();
            on_one_thread(async {
                let endpoint = ScriptedEndpoint::start(vec![vec![Read, Write(response)]]).await;
                let first = instance(&directory, endpoint.address);
                submit(&first, class);
                endpoint.written.notified().await;
                pass(TIME_STEP).await;
                drop(first);
                let second = instance(&directory, endpoint.address);
                pass(OBSERVATION).await;
                assert_eq!(endpoint.calls_of_each(), [1], "{class}");
                assert_eq!(results(&second), [FinalResult::Abandoned], "{class}");
            });
        }
    }
}

/// Guards against a restart that attempts a message again after a 410 that came as the response to a later call on its
/// connection, while copies are suspected as one was read on another connection.
#[test]
fn a_restart_after_a_410_that_may_belong_to_an_earlier_call_does_not_attempt_that_message() {
    for first in [OK, REJECTED] {
        let directory = StateDirectory::new();
        on_one_thread(async {
            let copied = vec![Read, Write(TWO_DELIVERIES)];
            let script = vec![Read, Write(OK), Read, Write(first), Read, Write(OVER)];
            let endpoint = ScriptedEndpoint::start(vec![copied, script]).await;
            let before = instance(&directory, endpoint.address);
            for _ in 0..4 {
                submit(&before, "free");
                until_attempts_ended(&before).await;
            }
            while endpoint.calls_of_each().len() < 4 {
                pass(TIME_STEP).await;
            }
            until_attempts_ended(&before).await;
            drop(before);
            let after = instance(&directory, endpoint.address);
            pass(OBSERVATION).await;
            assert_eq!(endpoint.calls_of_each(), [1; 4]);
            assert_eq!(results(&after), [FinalResult::Abandoned; 2]);
        });
    }
}

/// Guards against a delivered message that is given up although nothing suggests a copy: a later message on its connection is
/// over, and the endpoint closes the connection early.
#[test]
fn a_delivery_before_a_410_is_repeated_if_the_connection_ends_early_and_no_copy_is_suspected() {
    for class in ["free", "marked"] {
        let script = vec![Read, Write(OK), Read, Write(OK), Read, Write(OVER), Release, Close];
        let (calls, results) = calls_after(&["free", class, "free"], script);
        assert_eq!((calls, results), (vec![1, 2, 1], vec![FinalResult::Abandoned]), "{class}");
    }
}

/// Guards against a call after a 410 whose endpoint is drained or removed, or whose connection is closed for want of room,
/// before the 410 is proven.
#[test]
fn a_message_is_not_called_again_after_a_410_of_an_endpoint_that_leaves_or_an_evicted_connection() {
    fn change(instance: &RefCell<Instance>, state: EndpointState) {
        let mut instance = instance.borrow_mut();
        if state == EndpointState::Removed {
            instance.endpoint_removed("e");
        }
        instance.handle_event(|dispatcher| {
            dispatcher.endpoint_updated(endpoint_update(state));
            dispatcher.endpoint_list_ended(None, true);
        });
    }
    type Event = fn(&RefCell<Instance>);
    let events: [(&str, Event); 3] = [
        ("drained", |instance| change(instance, EndpointState::Draining)),
        ("removed", |instance| change(instance, EndpointState::Removed)),
        ("evicted", |instance| instance.borrow_mut().close_oldest_connections(0)),
    ];
    for (name, event) in events {
        for class in CLASSES {
            let directory = StateDirectory::new();
            on_one_thread(async {
                let endpoint = ScriptedEndpoint::start(vec![vec![Read, Write(OVER), Release, Reset]]).await;
                let instance = instance(&directory, endpoint.address);
                submit(&instance, class);
                until_attempts_ended(&instance).await;
                event(&instance);
                yield_now().await;
                endpoint.release.notify_one();
                pass(OBSERVATION).await;
                assert_eq!(endpoint.calls_of_each(), [1], "{name}, {class}");
                assert_eq!(results(&instance), [FinalResult::Abandoned], "{name}, {class}");
            });
        }
    }
}

/// Guards against a notification that comes after its time, or never: the 410 of a last attempt before the deadline stays in
/// question.
#[test]
fn a_message_with_a_410_in_question_is_reported_within_300_ms_after_its_deadline() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let script = vec![Read, Write(OK), Read, Write(OVER)];
        let endpoint = ScriptedEndpoint::start(vec![script]).await;
        let instance = instance(&directory, endpoint.address);
        submit(&instance, "free");
        until_attempts_ended(&instance).await;
        assert!(matches!(submit(&instance, "free"), SubmitOutcome::Accepted(_)));
        until_attempts_ended(&instance).await;
        pass(crate::test_support::TIME_TO_LIVE + Duration::from_millis(300)).await;
        assert_eq!(endpoint.calls_of_each(), [1, 1]);
        assert_eq!(results(&instance), [FinalResult::Abandoned]);
    });
}

/// Guards against calls to no use after a 504, which says that the message has had all its attempts and that its final
/// outcome is still owed: a rejection, unless the message may have been executed and must not be twice.
#[test]
fn a_message_gets_its_final_outcome_after_a_504_and_no_further_call() {
    for class in CLASSES {
        for (end, rejected_by) in [(vec![Close], &CLASSES[..]), (vec![Reset], &["free", "marked"][..])] {
            let text = format!("{class}, {end:?}");
            let script = [vec![Read, Write(EXHAUSTED), Release], end].concat();
            let (calls, results) = calls_after(&[class], script);
            assert_eq!(calls, [1], "{text}");
            let is_rejected = matches!(results[..], [FinalResult::Rejected { .. }]);
            assert_eq!(
                (results.len(), is_rejected),
                (1, rejected_by.contains(&class)),
                "{text}: {results:?}"
            );
        }
    }
}
