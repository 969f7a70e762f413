use super::*;
use crate::stand_in::{Folder, OK, answering, full, host, on_one_thread};
use quillhub::{AttemptOutcome, EndpointState, EndpointUpdate};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::net::TcpListener;

const LASTS: Duration = Duration::from_secs(9);

/// Driver in a notice with an id of its own.
fn take(host: &RefCell<Host>, grade: &str) -> Taken {
    take_with(host, grade, b"\0body")
}

fn take_with(host: &RefCell<Host>, grade: &str, body: &[u8]) -> Taken {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let reference = format!("ab{}", NUMBER.fetch_add(1, Ordering::Relaxed));
    host.borrow_mut().take_on(grade, None, LASTS, 9, reference.as_bytes(), Some(b"k"), body)
}

/// An address where connections are made and nothing is answered, as long as the listener is kept.
async fn silent() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    (listener.local_addr().unwrap(), listener)
}

#[test]
fn a_notice_goes_on_as_it_came_and_is_over_with_200() {
    let folder = Folder::new();
    on_one_thread(async {
        let (at, mut told) = answering(vec![OK]).await;
        let host = host(&folder, at);
        assert_eq!(take(&host, "once"), Taken::On(1));
        let call = told.recv().await.unwrap();
        for part in ["POST /events HTTP/1.1\r\n", "\r\nX-Request-Id: ab", "\r\nIdempotency-Key: k\r\n"] {
            assert!(call.contains(part), "{call}");
        }
        assert!(call.ends_with("\r\nContent-Length: 5\r\n\r\n\0body"), "{call}");
        while !host.borrow().at_rest() {
            tokio::task::yield_now().await;
        }
    });
    assert!(Wal::open(&folder.0, 1 << 20).unwrap().1.is_empty());
}

#[test]
fn what_was_out_when_the_process_ended_is_owed_and_a_binding_one_is_not_sent_again() {
    let folder = Folder::new();
    on_one_thread(async {
        let (at, mut told) = answering(vec![b"HTTP/1.1 100 Continue\r\n\r\n"; 4]).await;
        let first = host(&folder, at);
        assert_eq!((take(&first, "once"), take(&first, "free")), (Taken::On(1), Taken::On(2)));
        for _ in 0..2 {
            assert!(told.recv().await.unwrap().ends_with("body"));
        }
        drop(first);
        let second = host(&folder, at);
        second.borrow_mut().event(|_| ());
        let second = second.borrow();
        let ends: Vec<_> = second.finals.iter().map(|end| (end.id, end.denied)).collect();
        assert_eq!(ends, [(1, false)], "the binding one is written off");
        assert_eq!((second.notices[&2].sends, second.calls), (2, 1), "the other goes again");
    });
}

#[test]
fn an_answer_on_file_is_final_across_a_restart() {
    let folder = Folder::new();
    on_one_thread(async {
        let (at, _listener) = silent().await;
        let first = host(&folder, at);
        take(&first, "free");
        first.borrow_mut().reject(1, Some(Duration::from_millis(500)));
        drop(first);
        let second = host(&folder, at);
        second.borrow_mut().event(|_| ());
        let mut second = second.borrow_mut();
        assert_eq!((second.calls, second.finals.len()), (0, 1));
        assert_eq!(second.finals[0].come_back, Some(Duration::from_millis(500)));
        second.confirmed(1);
    });
    assert!(Wal::open(&folder.0, 1 << 20).unwrap().1.is_empty());
}

#[test]
fn what_is_owed_but_of_no_known_grade_is_written_off() {
    let folder = Folder::new();
    let (mut wal, _) = Wal::open(&folder.0, 1 << 20).unwrap();
    let owed = Owed { grade: "unheard".into(), limit: Some(SystemTime::now() + LASTS), ..Owed::default() };
    wal.taken(1, &wal::taken(&owed)).unwrap();
    on_one_thread(async {
        let (at, _listener) = silent().await;
        let host = host(&folder, at);
        let ends: Vec<_> = host.borrow().finals.iter().map(|end| (end.id, end.denied)).collect();
        assert_eq!((ends, host.borrow().notices.len()), (vec![(1, false)], 0));
    });
    assert_eq!(Wal::open(&folder.0, 1 << 20).unwrap().1[&1].answer, Some((false, None)));
}

#[test]
fn what_is_turned_away_at_once_is_answered_and_owed_nothing() {
    let folder = Folder::new();
    on_one_thread(async {
        let (at, _listener) = silent().await;
        let host = host(&folder, at);
        assert_eq!(take(&host, "unheard"), Taken::Unusable("unknown grade"));
        for _ in 0..8 {
            assert!(matches!(take(&host, "once"), Taken::On(_)));
        }
        assert_eq!(take(&host, "once"), Taken::Denied(None), "room is short");
        assert!(host.borrow().finals.is_empty());
    });
    assert_eq!(Wal::open(&folder.0, 1 << 20).unwrap().1.len(), 8);
}

#[test]
fn a_full_folder_denies() {
    let folder = Folder::new();
    on_one_thread(async {
        let (at, _listener) = silent().await;
        let host = host(&folder, at);
        let body = vec![0; 60_000];
        let take = || take_with(&host, "once", &body);
        let taken = (0..9).take_while(|_| matches!(take(), Taken::On(_))).count();
        assert!((3..9).contains(&taken));
        assert_eq!(take(), Taken::Denied(None));
        assert!(folder.size() <= 1 << 20);
    });
}

#[test]
fn what_cannot_be_written_to_the_folder_is_not_taken_on_nor_sent() {
    let folder = Folder::new();
    on_one_thread(async {
        let (at, mut told) = answering(vec![OK, OK, OK]).await;
        let host = host(&folder, at);
        std::fs::remove_dir_all(&folder.0).unwrap();
        let body = vec![0; 60_000]; // one fills a segment, and the next needs a new file
        let take = || take_with(&host, "free", &body);
        assert_eq!(take(), Taken::On(1));
        for _ in 0..2 {
            assert_eq!(take(), Taken::Failed("the lasting folder cannot be written"));
        }
        while !host.borrow().at_rest() {
            tokio::task::yield_now().await;
        }
        assert!(told.try_recv().is_ok() && told.try_recv().is_err(), "one call");
    });
}

#[test]
fn a_client_that_left_is_owed_nothing() {
    let folder = Folder::new();
    on_one_thread(async {
        let (at, _listener) = silent().await;
        let host = host(&folder, at);
        take(&host, "free");
        host.borrow_mut().gone(1);
        assert!(host.borrow().notices.is_empty());
    });
    assert!(Wal::open(&folder.0, 1 << 20).unwrap().1.is_empty());
}

#[test]
fn a_panic_while_something_is_told_leaves_the_courier_in_its_place() {
    let folder = Folder::new();
    on_one_thread(async {
        let (at, _listener) = silent().await;
        let host = host(&folder, at);
        let panicked = catch_unwind(AssertUnwindSafe(|| host.borrow_mut().event(|_| panic!("told badly"))));
        assert!(panicked.is_err());
        assert_eq!(take(&host, "free"), Taken::On(1));
    });
}

#[test]
fn nothing_new_is_decided_while_the_process_ends_but_what_comes_is_still_owed() {
    let folder = Folder::new();
    on_one_thread(async {
        let (at, _listener) = silent().await;
        let host = host(&folder, at);
        host.borrow_mut().close();
        assert_eq!((take(&host, "free"), host.borrow().calls), (Taken::On(1), 0));
    });
    assert_eq!(Wal::open(&folder.0, 1 << 20).unwrap().1.len(), 1);
}

/// The clock was set back by an hour: nobody knows how long ago the send was, so its mark may be forgotten.
#[test]
fn a_marked_notice_whose_send_lies_ahead_of_the_clock_is_not_sent_again() {
    for (ahead, calls) in [(false, 1), (true, 0)] {
        let folder = Folder::new();
        let (mut wal, _) = Wal::open(&folder.0, 1 << 20).unwrap();
        let now = SystemTime::now();
        let owed = Owed {
            grade: "marked".into(),
            destination: 9,
            limit: Some(now + LASTS),
            reference: b"ab".to_vec(),
            ..Owed::default()
        };
        wal.taken(1, &wal::taken(&owed)).unwrap();
        let hour = Duration::from_secs(3_600);
        wal.may_have_run(1, 0, if ahead { now + hour } else { now }, "e").unwrap();
        on_one_thread(async {
            let (at, _listener) = silent().await;
            let host = host(&folder, at);
            host.borrow_mut().event(|_| ());
            assert_eq!((host.borrow().calls, host.borrow().finals.len()), (calls, 1 - calls));
        });
    }
}

/// A call that begins while the process ends is cut off, and may have run.
#[test]
fn a_call_that_has_not_begun_when_the_process_ends_is_left_to_the_next_one() {
    let folder = Folder::new();
    on_one_thread(async {
        let (at, mut told) = answering(vec![OK, OK]).await;
        let first = host(&folder, at);
        assert_eq!((take(&first, "once"), first.borrow().calls), (Taken::On(1), 1));
        first.borrow_mut().close(); // before the call's task has run
        while first.borrow().calls > 0 {
            tokio::task::yield_now().await;
        }
        assert!(first.borrow().finals.is_empty() && told.try_recv().is_err());
        drop(first);
        let second = host(&folder, at);
        second.borrow_mut().event(|_| ());
        let calls = [told.recv().await.unwrap(), told.recv().await.unwrap()];
        assert!(calls[0].is_empty() && calls[1].ends_with("body"), "tried by the next one only: {calls:?}");
    });
}

/// Each comes between the decision and the call's first byte, while its connection opens.
#[test]
fn nothing_is_sent_of_a_call_whose_client_left_or_whose_endpoint_drained_or_told_a_wait_meanwhile() {
    let listed = |listing| {
        move |host: &mut Host| {
            host.event(|c| {
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
    type Change = Box<dyn Fn(&mut Host)>;
    let meanwhile: [(&str, Change); 5] = [
        ("left", Box::new(|host| host.gone(1))),
        ("drains", Box::new(listed(EndpointState::Draining))),
        ("is gone", Box::new(listed(EndpointState::Removed))),
        (
            "told a wait",
            Box::new(|host| {
                host.event(|courier| {
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
        let folder = Folder::new();
        on_one_thread(async {
            let (at, mut told) = answering(vec![OK; 9]).await;
            let host = host(&folder, at);
            assert_eq!((take(&host, "once"), take(&host, "once")), (Taken::On(1), Taken::On(2)));
            assert_eq!(host.borrow().calls, 2);
            host.borrow_mut().event(|courier| courier.finish(2));
            change(&mut host.borrow_mut());
            while host.borrow().calls > 0 {
                tokio::task::yield_now().await;
            }
            let sent = std::iter::from_fn(|| told.try_recv().ok()).any(|call| call.ends_with("body"));
            assert_eq!(sent, what == "nothing", "{what}");
        });
    }
}

/// Connections to an endpoint may take more than a second to come up; until then no call has begun on them.
#[test]
fn a_notice_whose_connection_was_still_opening_when_the_process_died_is_untried() {
    let folder = Folder::new();
    on_one_thread(async {
        let (full, _queue) = full();
        let first = host(&folder, full);
        assert_eq!((take(&first, "once"), first.borrow().calls), (Taken::On(1), 1));
        for _ in 0..10 {
            tokio::task::yield_now().await; // until the call's task waits
        }
        drop(first);
        let (at, mut told) = answering(vec![OK]).await;
        let second = host(&folder, at);
        second.borrow_mut().event(|_| ());
        assert!(second.borrow().finals.is_empty(), "not given up");
        assert!(told.recv().await.unwrap().ends_with("body"));
    });
}

#[test]
fn an_id_that_is_held_is_not_taken_on_again_and_what_is_held_stays_as_it_is() {
    let folder = Folder::new();
    on_one_thread(async {
        let (at, _listener) = silent().await;
        let first = host(&folder, at);
        let take = |host: &RefCell<Host>, id: &[u8], to| {
            host.borrow_mut().take_on("free", None, LASTS, to, id, None, b"body")
        };
        let held = Taken::Unusable("the id is held already");
        assert_eq!(take(&first, b"a", 9), Taken::On(1));
        assert_eq!(take(&first, b"a", 9), held);
        assert_eq!(take(&first, b"b", 404), Taken::Unusable("unknown destination"));
        assert_eq!((first.borrow().notices.len(), first.borrow().calls), (1, 1));
        drop(first);
        let second = host(&folder, at);
        assert_eq!(take(&second, b"a", 9), held, "after a restart too");
        second.borrow_mut().abandon(1);
        second.borrow_mut().confirmed(1);
        assert_eq!(take(&second, b"a", 9), held, "and for a while");
        second.borrow_mut().before += KNOWN;
        assert!(matches!(take(&second, b"a", 9), Taken::On(_)));
        assert!(second.borrow().past.is_empty());
    });
}

/// A process may end within any byte of a record: of each life, cut off there, exactly one thing is owed next.
#[test]
fn a_folder_that_ends_at_any_byte_of_a_notices_life_leaves_one_thing_to_do() {
    let whole = Folder::new();
    let (mut wal, _) = Wal::open(&whole.0, 1 << 20).unwrap();
    let owed = Owed {
        grade: "once".into(),
        destination: 9,
        limit: Some(SystemTime::now() + LASTS),
        reference: b"ab".to_vec(),
        body: b"body".to_vec(),
        ..Owed::default()
    };
    let path = whole.0.join("wal-0000000000");
    let size = || std::fs::metadata(&path).unwrap().len();
    let mut steps = Vec::new();
    wal.taken(1, &wal::taken(&owed)).unwrap();
    steps.push(size());
    wal.may_have_run(1, 0, SystemTime::now(), "e").unwrap();
    steps.push(size());
    wal.did_not_run(1, 0).unwrap();
    steps.push(size());
    wal.may_have_run(1, 1, SystemTime::now(), "e").unwrap();
    steps.push(size());
    wal.answered(1, true, None).unwrap();
    steps.push(size());
    wal.over(1).unwrap();
    steps.push(size());
    let octets = std::fs::read(&path).unwrap();
    for cut in 0..=octets.len() {
        let folder = Folder::new();
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
            let host = host(&folder, at);
            host.borrow_mut().event(|_| ());
            let host = host.borrow();
            let ends: Vec<_> = host.finals.iter().map(|end| end.denied).collect();
            assert!(ends.len() < 2, "after {cut} bytes");
            assert_eq!((host.calls, ends.first().copied()), wanted, "after {cut} of {} bytes", octets.len());
        });
    }
}

/// A host with a window of 1 s for repeats, whose state directory holds message 1, first sent so long ago by an attempt
/// that may have run, and behind it, with the same ordering key, the untried message 2.
fn restarted(folder: &Folder, at: SocketAddr, ago: Duration) -> Rc<RefCell<Host>> {
    let (mut wal, _) = Wal::open(&folder.0, 1 << 20).unwrap();
    for id in [1, 2] {
        let limit = Some(SystemTime::now() + LASTS);
        let (reference, mark) = (format!("ab{id}").into_bytes(), Some(format!("k{id}").into_bytes()));
        let of = Owed {
            grade: "marked".into(),
            destination: 9,
            turn: Some(5),
            limit,
            reference,
            mark,
            ..Owed::default()
        };
        wal.taken(id, &wal::taken(&of)).unwrap();
    }
    wal.may_have_run(1, 0, SystemTime::now() - ago, "e").unwrap();
    drop(wal);
    let mut settings = crate::stand_in::plan()["settings"].clone();
    settings["rules"] = serde_json::json!({"keyRestUs": 300_000});
    settings["classes"][2]["memorySpanUs"] = 1_000_000.into();
    settings["classes"][2]["byArrival"] = true.into();
    crate::stand_in::host_with(7, &settings, folder, at)
}

/// The window for repeats may be shorter than the restart, or have less left than a usual call takes.
#[test]
fn a_window_that_passed_in_a_restart_ends_its_message_at_once_and_strands_none_behind_it() {
    for ago in [700, 1_000, 1_200, 60_000].map(Duration::from_millis) {
        let folder = Folder::new();
        on_one_thread(async {
            let (at, mut told) = answering(vec![OK]).await;
            let host = restarted(&folder, at, ago);
            let ends: Vec<_> = host.borrow().finals.iter().map(|end| end.id).collect();
            assert_eq!(ends, [1], "{ago:?}: at once");
            let call = told.recv().await.unwrap();
            assert!(call.contains("X-Request-Id: ab2\r\n"), "{ago:?}: {call}");
            while host.borrow().calls > 0 {
                tokio::task::yield_now().await;
            }
            host.borrow_mut().confirmed(1);
            assert!(host.borrow().at_rest(), "{ago:?}");
        });
        assert!(Wal::open(&folder.0, 1 << 20).unwrap().1.is_empty(), "{ago:?}");
    }
}

/// Handled, on a connection that is not kept.
const CLOSES: &[u8] = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

#[test]
fn a_window_that_holds_a_usual_call_after_a_restart_lets_its_message_be_sent_again_first() {
    let folder = Folder::new();
    on_one_thread(async {
        let (at, mut told) = answering(vec![CLOSES; 2]).await;
        let host = restarted(&folder, at, Duration::ZERO);
        assert!(host.borrow().finals.is_empty());
        let call = told.recv().await.unwrap();
        assert!(call.contains("X-Request-Id: ab1\r\n") && call.contains("Idempotency-Key: k1\r\n"), "{call}");
        while !host.borrow().at_rest() {
            tokio::task::yield_now().await;
        }
    });
    assert!(Wal::open(&folder.0, 1 << 20).unwrap().1.is_empty());
}
