use super::messages::CLIENT_ID_REMEMBERED;
use super::submission::{InvalidSubmission, SubmitFailure};
use super::*;
use crate::test_support::{OK, StateDirectory, answering, full, instance, on_one_thread};
use crate::wal::{self, RecoveredMessage};
use quillhub::{AttemptOutcome, Driver, EndpointState, EndpointUpdate};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::net::TcpListener;

const LASTS: Duration = Duration::from_secs(9);

fn is_rejected(outcome: &FinalOutcome) -> bool {
    matches!(outcome.result, FinalResult::Rejected { .. })
}

/// Submits a message with an id of its own.
fn take(instance: &RefCell<Instance>, grade: &str) -> SubmitOutcome {
    take_with(instance, grade, b"\0body")
}

fn take_with(instance: &RefCell<Instance>, grade: &str, body: &[u8]) -> SubmitOutcome {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let reference = format!("ab{}", NUMBER.fetch_add(1, Ordering::Relaxed));
    instance.borrow_mut().submit(Submission {
        service_class: grade,
        ordering_key: None,
        time_to_live: LASTS,
        destination: 9,
        client_id: reference.as_bytes(),
        idempotency_key: Some(b"k"),
        body,
    })
}

/// An address where connections are made and nothing is answered, as long as the listener is kept.
async fn silent() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    (listener.local_addr().unwrap(), listener)
}

#[test]
fn a_message_is_forwarded_unchanged_and_finished_by_a_200() {
    let folder = StateDirectory::new();
    on_one_thread(async {
        let (at, mut told) = answering(vec![OK]).await;
        let instance = instance(&folder, at);
        assert_eq!(take(&instance, "once"), SubmitOutcome::Accepted(1));
        let call = told.recv().await.unwrap();
        for part in ["POST /events HTTP/1.1\r\n", "\r\nX-Request-Id: ab", "\r\nIdempotency-Key: k\r\n"] {
            assert!(call.contains(part), "{call}");
        }
        assert!(call.ends_with("\r\nContent-Length: 5\r\n\r\n\0body"), "{call}");
        while !instance.borrow().is_idle() {
            tokio::task::yield_now().await;
        }
    });
    assert!(Wal::open(&folder.0, 1 << 20).unwrap().1.is_empty());
}

#[test]
fn messages_in_flight_at_a_crash_are_recovered_and_an_at_most_once_one_is_not_retried() {
    let folder = StateDirectory::new();
    on_one_thread(async {
        let (at, mut told) = answering(vec![b"HTTP/1.1 100 Continue\r\n\r\n"; 4]).await;
        let first = instance(&folder, at);
        assert_eq!(
            (take(&first, "once"), take(&first, "free")),
            (SubmitOutcome::Accepted(1), SubmitOutcome::Accepted(2))
        );
        for _ in 0..2 {
            assert!(told.recv().await.unwrap().ends_with("body"));
        }
        drop(first);
        let second = instance(&folder, at);
        second.borrow_mut().handle_event(|_| ());
        let second = second.borrow();
        let ends: Vec<_> = second.outcomes.iter().map(|end| (end.message, is_rejected(end))).collect();
        assert_eq!(ends, [(1, false)], "the binding one is written off");
        assert_eq!(
            (second.messages.get(2).unwrap().attempts, second.attempts_in_flight),
            (2, 1),
            "the other goes again"
        );
    });
}

#[test]
fn a_recorded_outcome_is_final_across_a_restart() {
    let folder = StateDirectory::new();
    on_one_thread(async {
        let (at, _listener) = silent().await;
        let first = instance(&folder, at);
        take(&first, "free");
        first.borrow_mut().reject(1, Some(Duration::from_millis(500)));
        drop(first);
        let second = instance(&folder, at);
        second.borrow_mut().handle_event(|_| ());
        let mut second = second.borrow_mut();
        assert_eq!((second.attempts_in_flight, second.outcomes.iter().count()), (0, 1));
        assert_eq!(
            second.outcomes.iter().next().unwrap().result,
            FinalResult::Rejected { retry_after: Some(Duration::from_millis(500)) }
        );
        second.outcomes_confirmed(1);
    });
    assert!(Wal::open(&folder.0, 1 << 20).unwrap().1.is_empty());
}

#[test]
fn a_recovered_message_of_an_unknown_service_class_is_abandoned() {
    let folder = StateDirectory::new();
    let (mut wal, _) = Wal::open(&folder.0, 1 << 20).unwrap();
    let owed = RecoveredMessage {
        service_class: "unheard".into(),
        deadline: Some(SystemTime::now() + LASTS),
        ..RecoveredMessage::default()
    };
    wal.accepted(1, &wal::accepted_payload(&owed)).unwrap();
    on_one_thread(async {
        let (at, _listener) = silent().await;
        let instance = instance(&folder, at);
        let ends: Vec<_> =
            instance.borrow().outcomes.iter().map(|end| (end.message, is_rejected(end))).collect();
        assert_eq!((ends, instance.borrow().messages.len()), (vec![(1, false)], 0));
    });
    assert_eq!(Wal::open(&folder.0, 1 << 20).unwrap().1[&1].outcome, Some(FinalResult::Abandoned));
}

#[test]
fn a_message_rejected_at_submission_leaves_nothing_pending() {
    let folder = StateDirectory::new();
    on_one_thread(async {
        let (at, _listener) = silent().await;
        let instance = instance(&folder, at);
        assert_eq!(
            take(&instance, "unheard"),
            SubmitOutcome::Invalid(InvalidSubmission::UnknownServiceClass)
        );
        for _ in 0..8 {
            assert!(matches!(take(&instance, "once"), SubmitOutcome::Accepted(_)));
        }
        assert_eq!(take(&instance, "once"), SubmitOutcome::Busy { retry_after: None }, "room is short");
        assert!(instance.borrow().outcomes.is_empty());
    });
    assert_eq!(Wal::open(&folder.0, 1 << 20).unwrap().1.len(), 8);
}

#[test]
fn a_full_state_directory_rejects_messages() {
    let folder = StateDirectory::new();
    on_one_thread(async {
        let (at, _listener) = silent().await;
        let instance = instance(&folder, at);
        let body = vec![0; 60_000];
        let take = || take_with(&instance, "once", &body);
        let taken = (0..9).take_while(|_| matches!(take(), SubmitOutcome::Accepted(_))).count();
        assert!((3..9).contains(&taken));
        assert_eq!(take(), SubmitOutcome::Busy { retry_after: None });
        assert!(folder.size() <= 1 << 20);
    });
}

#[test]
fn a_message_that_cannot_be_recorded_is_neither_accepted_nor_sent() {
    let folder = StateDirectory::new();
    on_one_thread(async {
        let (at, mut told) = answering(vec![OK, OK, OK]).await;
        let instance = instance(&folder, at);
        std::fs::remove_dir_all(&folder.0).unwrap();
        let body = vec![0; 60_000]; // one fills a segment, and the next needs a new file
        let take = || take_with(&instance, "free", &body);
        assert_eq!(take(), SubmitOutcome::Accepted(1));
        for _ in 0..2 {
            assert_eq!(take(), SubmitOutcome::Failed(SubmitFailure::StateDirectory));
        }
        while !instance.borrow().is_idle() {
            tokio::task::yield_now().await;
        }
        assert!(told.try_recv().is_ok() && told.try_recv().is_err(), "one call");
    });
}

#[test]
fn a_withdrawn_message_leaves_nothing_pending() {
    let folder = StateDirectory::new();
    on_one_thread(async {
        let (at, _listener) = silent().await;
        let instance = instance(&folder, at);
        take(&instance, "free");
        instance.borrow_mut().withdraw(1);
        assert!(instance.borrow().messages.is_empty());
    });
    assert!(Wal::open(&folder.0, 1 << 20).unwrap().1.is_empty());
}

#[test]
fn a_panic_in_an_event_leaves_the_dispatcher_in_place() {
    let folder = StateDirectory::new();
    on_one_thread(async {
        let (at, _listener) = silent().await;
        let instance = instance(&folder, at);
        let panicked =
            catch_unwind(AssertUnwindSafe(|| instance.borrow_mut().handle_event(|_| panic!("told badly"))));
        assert!(panicked.is_err());
        assert_eq!(take(&instance, "free"), SubmitOutcome::Accepted(1));
    });
}

#[test]
fn after_stop_deciding_messages_are_accepted_but_not_attempted() {
    let folder = StateDirectory::new();
    on_one_thread(async {
        let (at, _listener) = silent().await;
        let instance = instance(&folder, at);
        instance.borrow_mut().stop_deciding();
        assert_eq!(
            (take(&instance, "free"), instance.borrow().attempts_in_flight),
            (SubmitOutcome::Accepted(1), 0)
        );
    });
    assert_eq!(Wal::open(&folder.0, 1 << 20).unwrap().1.len(), 1);
}

/// The clock was set back by an hour: nobody knows how long ago the send was, so its mark may be forgotten.
#[test]
fn a_keyed_message_whose_attempt_lies_ahead_of_the_clock_is_not_retried() {
    for (ahead, calls) in [(false, 1), (true, 0)] {
        let folder = StateDirectory::new();
        let (mut wal, _) = Wal::open(&folder.0, 1 << 20).unwrap();
        let now = SystemTime::now();
        let owed = RecoveredMessage {
            service_class: "marked".into(),
            destination: 9,
            deadline: Some(now + LASTS),
            client_id: b"ab".to_vec(),
            ..RecoveredMessage::default()
        };
        wal.accepted(1, &wal::accepted_payload(&owed)).unwrap();
        let hour = Duration::from_secs(3_600);
        wal.attempt_started(1, 0, if ahead { now + hour } else { now }, "e").unwrap();
        on_one_thread(async {
            let (at, _listener) = silent().await;
            let instance = instance(&folder, at);
            instance.borrow_mut().handle_event(|_| ());
            assert_eq!(
                (instance.borrow().attempts_in_flight, instance.borrow().outcomes.iter().count()),
                (calls, 1 - calls)
            );
        });
    }
}

/// A call that begins while the process ends is cut off, and may have run.
#[test]
fn an_attempt_not_begun_at_shutdown_is_left_to_the_next_process() {
    let folder = StateDirectory::new();
    on_one_thread(async {
        let (at, mut told) = answering(vec![OK, OK]).await;
        let first = instance(&folder, at);
        assert_eq!(
            (take(&first, "once"), first.borrow().attempts_in_flight),
            (SubmitOutcome::Accepted(1), 1)
        );
        first.borrow_mut().stop_deciding(); // before the call's task has run
        while first.borrow().attempts_in_flight > 0 {
            tokio::task::yield_now().await;
        }
        assert!(first.borrow().outcomes.is_empty() && told.try_recv().is_err());
        drop(first);
        let second = instance(&folder, at);
        second.borrow_mut().handle_event(|_| ());
        let calls = [told.recv().await.unwrap(), told.recv().await.unwrap()];
        assert!(calls[0].is_empty() && calls[1].ends_with("body"), "tried by the next one only: {calls:?}");
    });
}

/// Each comes between the decision and the call's first byte, while its connection opens.
#[test]
fn an_attempt_sends_nothing_once_its_client_left_or_its_endpoint_drained_or_asked_to_wait() {
    let listed = |listing| {
        move |instance: &mut Instance| {
            instance.handle_event(|c| {
                c.endpoint_updated(EndpointUpdate {
                    name: "e",
                    zone: "",
                    kind: "",
                    destination: 9,
                    state: listing,
                    listed_rate: None,
                })
            })
        }
    };
    type Change = Box<dyn Fn(&mut Instance)>;
    let meanwhile: [(&str, Change); 5] = [
        ("left", Box::new(|instance| instance.withdraw(1))),
        ("drains", Box::new(listed(EndpointState::Draining))),
        ("is gone", Box::new(listed(EndpointState::Removed))),
        (
            "told a wait",
            Box::new(|instance| {
                instance.handle_event(|courier| {
                    courier.attempt_ended(AttemptResult {
                        message: 2,
                        attempt: 0,
                        outcome: AttemptOutcome::Rejected { retry_after: Some(LASTS) },
                        duration: LASTS,
                        finished: false,
                        load_report: None,
                    })
                });
            }),
        ),
        ("nothing", Box::new(|_| ())),
    ];
    for (what, change) in meanwhile {
        let folder = StateDirectory::new();
        on_one_thread(async {
            let (at, mut told) = answering(vec![OK; 9]).await;
            let instance = instance(&folder, at);
            assert_eq!(
                (take(&instance, "once"), take(&instance, "once")),
                (SubmitOutcome::Accepted(1), SubmitOutcome::Accepted(2))
            );
            assert_eq!(instance.borrow().attempts_in_flight, 2);
            instance.borrow_mut().handle_event(|courier| courier.finish(2));
            change(&mut instance.borrow_mut());
            while instance.borrow().attempts_in_flight > 0 {
                tokio::task::yield_now().await;
            }
            let sent = std::iter::from_fn(|| told.try_recv().ok()).any(|call| call.ends_with("body"));
            assert_eq!(sent, what == "nothing", "{what}");
        });
    }
}

/// Connections to an endpoint may take more than a second to come up; until then no call has begun on them.
#[test]
fn a_message_whose_connection_was_still_opening_at_a_crash_counts_as_unattempted() {
    let folder = StateDirectory::new();
    on_one_thread(async {
        let (full, _queue) = full();
        let first = instance(&folder, full);
        assert_eq!(
            (take(&first, "once"), first.borrow().attempts_in_flight),
            (SubmitOutcome::Accepted(1), 1)
        );
        for _ in 0..10 {
            tokio::task::yield_now().await; // until the call's task waits
        }
        drop(first);
        let (at, mut told) = answering(vec![OK]).await;
        let second = instance(&folder, at);
        second.borrow_mut().handle_event(|_| ());
        assert!(second.borrow().outcomes.is_empty(), "not given up");
        assert!(told.recv().await.unwrap().ends_with("body"));
    });
}

#[test]
fn a_duplicate_client_id_is_rejected_and_the_first_message_stays() {
    let folder = StateDirectory::new();
    on_one_thread(async {
        let (at, _listener) = silent().await;
        let first = instance(&folder, at);
        let take = |instance: &RefCell<Instance>, id: &[u8], to| {
            instance.borrow_mut().submit(Submission {
                service_class: "free",
                ordering_key: None,
                time_to_live: LASTS,
                destination: to,
                client_id: id,
                idempotency_key: None,
                body: b"body",
            })
        };
        let held = SubmitOutcome::Invalid(InvalidSubmission::DuplicateClientId);
        assert_eq!(take(&first, b"a", 9), SubmitOutcome::Accepted(1));
        assert_eq!(take(&first, b"a", 9), held);
        assert_eq!(take(&first, b"b", 404), SubmitOutcome::Invalid(InvalidSubmission::UnknownDestination));
        assert_eq!((first.borrow().messages.len(), first.borrow().attempts_in_flight), (1, 1));
        drop(first);
        let second = instance(&folder, at);
        assert_eq!(take(&second, b"a", 9), held, "after a restart too");
        second.borrow_mut().abandon(1);
        second.borrow_mut().outcomes_confirmed(1);
        assert_eq!(take(&second, b"a", 9), held, "and for a while");
        second.borrow_mut().clock_offset += CLIENT_ID_REMEMBERED;
        assert!(matches!(take(&second, b"a", 9), SubmitOutcome::Accepted(_)));
        assert!(second.borrow().messages.remembered() == 0);
    });
}

/// A process may end within any byte of a record: of each life, cut off there, exactly one thing is owed next.
#[test]
fn a_log_cut_off_at_any_byte_leaves_exactly_one_thing_to_do() {
    let whole = StateDirectory::new();
    let (mut wal, _) = Wal::open(&whole.0, 1 << 20).unwrap();
    let owed = RecoveredMessage {
        service_class: "once".into(),
        destination: 9,
        deadline: Some(SystemTime::now() + LASTS),
        client_id: b"ab".to_vec(),
        body: b"body".to_vec(),
        ..RecoveredMessage::default()
    };
    let path = whole.0.join("wal-0000000000");
    let size = || std::fs::metadata(&path).unwrap().len();
    let mut steps = Vec::new();
    wal.accepted(1, &wal::accepted_payload(&owed)).unwrap();
    steps.push(size());
    wal.attempt_started(1, 0, SystemTime::now(), "e").unwrap();
    steps.push(size());
    wal.not_executed(1, 0).unwrap();
    steps.push(size());
    wal.attempt_started(1, 1, SystemTime::now(), "e").unwrap();
    steps.push(size());
    wal.outcome_decided(1, FinalResult::Rejected { retry_after: None }).unwrap();
    steps.push(size());
    wal.finished(1).unwrap();
    steps.push(size());
    let octets = std::fs::read(&path).unwrap();
    for cut in 0..=octets.len() {
        let folder = StateDirectory::new();
        std::fs::write(folder.0.join("wal-0000000000"), &octets[..cut]).unwrap();
        // Nothing; another send; written off, as it may have run; another send; written off; denied; nothing.
        let wanted = match steps.iter().filter(|end| **end <= cut as u64).count() {
            0 | 6 => (0, None),
            1 | 3 => (1, None),
            2 | 4 => (0, Some(false)),
            _ => (0, Some(true)),
        };
        on_one_thread(async {
            let (at, _listener) = silent().await;
            let instance = instance(&folder, at);
            instance.borrow_mut().handle_event(|_| ());
            let instance = instance.borrow();
            let ends: Vec<_> = instance.outcomes.iter().map(is_rejected).collect();
            assert!(ends.len() < 2, "after {cut} bytes");
            assert_eq!(
                (instance.attempts_in_flight, ends.first().copied()),
                wanted,
                "after {cut} of {} bytes",
                octets.len()
            );
        });
    }
}

/// A instance with a window of 1 s for repeats, whose state directory holds message 1, first sent so long ago by an attempt
/// that may have run, and behind it, with the same ordering key, the untried message 2.
fn restarted(folder: &StateDirectory, at: SocketAddr, ago: Duration) -> Rc<RefCell<Instance>> {
    let (mut wal, _) = Wal::open(&folder.0, 1 << 20).unwrap();
    for id in [1, 2] {
        let limit = Some(SystemTime::now() + LASTS);
        let (reference, mark) = (format!("ab{id}").into_bytes(), Some(format!("k{id}").into_bytes()));
        let of = RecoveredMessage {
            service_class: "marked".into(),
            destination: 9,
            ordering_key: Some(5),
            deadline: limit,
            client_id: reference,
            idempotency_key: mark,
            ..RecoveredMessage::default()
        };
        wal.accepted(id, &wal::accepted_payload(&of)).unwrap();
    }
    wal.attempt_started(1, 0, SystemTime::now() - ago, "e").unwrap();
    drop(wal);
    let mut settings = crate::test_support::configuration()["settings"].clone();
    settings["rules"] = serde_json::json!({"keyRestUs": 300_000});
    settings["classes"][2]["memorySpanUs"] = 1_000_000.into();
    settings["classes"][2]["byArrival"] = true.into();
    crate::test_support::instance_with(7, &settings, folder, at)
}

/// The window for repeats may be shorter than the restart, or have less left than a usual call takes.
#[test]
fn a_deduplication_window_that_passed_in_a_restart_finishes_its_message_at_once_and_blocks_none_behind_it() {
    for ago in [700, 1_000, 1_200, 60_000].map(Duration::from_millis) {
        let folder = StateDirectory::new();
        on_one_thread(async {
            let (at, mut told) = answering(vec![OK]).await;
            let instance = restarted(&folder, at, ago);
            let ends: Vec<_> = instance.borrow().outcomes.iter().map(|end| end.message).collect();
            assert_eq!(ends, [1], "{ago:?}: at once");
            let call = told.recv().await.unwrap();
            assert!(call.contains("X-Request-Id: ab2\r\n"), "{ago:?}: {call}");
            while instance.borrow().attempts_in_flight > 0 {
                tokio::task::yield_now().await;
            }
            instance.borrow_mut().outcomes_confirmed(1);
            assert!(instance.borrow().is_idle(), "{ago:?}");
        });
        assert!(Wal::open(&folder.0, 1 << 20).unwrap().1.is_empty(), "{ago:?}");
    }
}

/// Handled, on a connection that is not kept.
const CLOSES: &[u8] = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

#[test]
fn a_deduplication_window_that_fits_an_attempt_after_a_restart_lets_its_message_be_retried_first() {
    let folder = StateDirectory::new();
    on_one_thread(async {
        let (at, mut told) = answering(vec![CLOSES; 2]).await;
        let instance = restarted(&folder, at, Duration::ZERO);
        assert!(instance.borrow().outcomes.is_empty());
        let call = told.recv().await.unwrap();
        assert!(call.contains("X-Request-Id: ab1\r\n") && call.contains("Idempotency-Key: k1\r\n"), "{call}");
        while !instance.borrow().is_idle() {
            tokio::task::yield_now().await;
        }
    });
    assert!(Wal::open(&folder.0, 1 << 20).unwrap().1.is_empty());
}
