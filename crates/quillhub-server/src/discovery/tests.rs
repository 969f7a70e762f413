use super::overlap::RESPONSE_TIMEOUT;
use super::watcher::RequestEnd;
use super::*;
use crate::connection::ConnectionError;
use crate::test_support::{StateDirectory, instance, on_one_thread, scripted_server};
use serde_json::{Value, json};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Watches discovery from revision 6 on, until the watch ends or is overdue. Returns why, and the last revision.
async fn watch(instance: &Rc<RefCell<Instance>>, address: SocketAddr) -> (Result<(), WatchEnd>, Option<u64>) {
    let (event_sender, mut events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let mut watcher = Watcher::new(instance.clone(), WatchState::new(Some(6)), false, event_sender);
    watcher.start_request(address);
    let end = loop {
        let Ok(event) = timeout(RESPONSE_TIMEOUT, events.recv()).await else { break WatchEnd::Overdue };
        let (id, event) = event.unwrap();
        if let Err(end) = watcher.handle(id, event, address) {
            break WatchEnd::Ended(end);
        }
    };
    (Err(end), watcher.revision())
}

/// Reason for which another request is sent.
#[derive(Debug)]
enum WatchEnd {
    Ended(RequestEnd),
    Overdue,
}

/// The end of a watch whose connection, or whose response, has ended.
macro_rules! ended {
    () => {
        Err(WatchEnd::Ended(RequestEnd::Connection(ConnectionError::Ended)))
    };
}

fn member(id: &str, port: u16, phase: &str) -> Value {
    json!({"id": id, "host_port": format!("127.0.0.1:{port}"), "cell": 9, "phase": phase, "size": 1.0})
}

fn list(complete: bool, members: &[Value]) -> Value {
    json!({"revision": 41, "complete": complete, "members": members})
}

/// Returns the known ports of the endpoints `e`, `f` and `g` after `lists` are applied.
fn ports_after(lists: &[Value]) -> [Option<u16>; 3] {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let instance = instance(&directory, "127.0.0.1:1".parse().unwrap());
        let mut instance = instance.borrow_mut();
        for list in lists {
            assert_eq!(
                update_endpoints(&mut instance, list, Origin::Discovery).map_err(|error| error.to_string()),
                Ok(41)
            );
        }
        ["e", "f", "g"].map(|name| instance.endpoint_address(name).map(|address| address.port()))
    })
}

#[test]
fn a_complete_list_replaces_the_known_endpoints_and_changes_are_applied_to_them() {
    let two = list(true, &[member("f", 2, "up"), member("g", 3, "draining")]);
    assert_eq!(ports_after(std::slice::from_ref(&two)), [None, Some(2), Some(3)]);
    assert_eq!(ports_after(&[list(false, &[member("f", 2, "up")])]), [Some(1), Some(2), None]);
    let change = list(false, &[member("f", 4, "up"), member("g", 3, "removed")]);
    assert_eq!(ports_after(&[two, change]), [None, Some(4), None]);
}

#[test]
fn a_list_that_cannot_be_read_changes_nothing() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let instance = instance(&directory, "127.0.0.1:1".parse().unwrap());
        for bad in [
            json!([]),
            json!({"revision": 1}),
            json!({"revision": "1", "members": []}),
            list(true, &[member("f", 2, "asleep")]),
            list(true, &[json!({"id": "f", "host_port": "here", "cell": 9, "phase": "up"})]),
            list(true, &[member("f", 2, "up"), json!({"id": "g"})]),
        ] {
            let error = update_endpoints(&mut instance.borrow_mut(), &bad, Origin::Discovery)
                .unwrap_err()
                .to_string();
            assert!(!error.contains('\n'), "{error}");
            let known = ["e", "f"].map(|name| instance.borrow().endpoint_address(name).is_some());
            assert_eq!(known, [true, false], "{bad}");
        }
    });
}

#[test]
fn a_watch_reads_lines_wherever_they_are_split() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n\
            1f\r\n{\"revision\":7,\"complete\":true,\"\r\n10\r\nmembers\":[]}\n{\"r\r\n\
            26\r\nevision\":8,\"members\":[],\"more\":[null]}\r\n1\r\n\n\r\n0\r\n\r\n";
        let (address, mut requests) = scripted_server(vec![response]).await;
        let instance = instance(&directory, address);
        let (end, revision) = watch(&instance, address).await;
        assert!(matches!(end, ended!()), "{end:?}");
        assert_eq!((revision, instance.borrow().endpoint_address("e")), (Some(8), None));
        let request = requests.recv().await.unwrap();
        assert!(request.starts_with("GET /registry/instances?watch=1&after=6 HTTP/1.1\r\n"), "{request}");
    });
}

/// Discovery at a new address may number its lists differently, so that a watch from the old revision misses changes.
#[test]
fn discovery_at_a_new_address_is_watched_at_once_after_its_complete_list() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let watched = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
        let listed = b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n{\"revision\":2,\"complete\":true,\
            \"members\":[{\"id\":\"f\",\"host_port\":\"127.0.0.1:2\",\"cell\":9,\"phase\":\"up\"}]}";
        let (old, mut old_requests) = scripted_server(vec![watched]).await;
        let (new, mut new_requests) = scripted_server(vec![listed, watched]).await;
        let instance = instance(&directory, old);
        let (address, address_receiver) = watch_channel::channel(old);
        spawn_local(keep_watching(instance.clone(), address_receiver, WatchState::new(Some(6)), false));
        assert!(old_requests.recv().await.unwrap().contains("after=6 "));
        address.send_replace(new);
        assert!(new_requests.recv().await.unwrap().starts_with("GET /registry/instances HTTP/1.1\r\n"));
        assert!(new_requests.recv().await.unwrap().starts_with("GET /registry/instances?watch=1&after=2 "));
        let known = ["e", "f"].map(|name| instance.borrow().endpoint_address(name).is_some());
        assert_eq!(known, [false, true]);
    });
}

/// Watches a fake discovery from revision 6 on; it sends `chunks` and, if the response `is_complete`, its end. Returns
/// the result of the watch, the last revision, and whether `e` and `f` are known.
fn watch_chunks(chunks: &[&str], is_complete: bool) -> (Result<(), WatchEnd>, Option<u64>, [bool; 2]) {
    let directory = StateDirectory::new();
    on_one_thread(async {
        tokio::time::pause();
        let mut response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
        for chunk in chunks {
            response += &format!("{:x}\r\n{chunk}\r\n", chunk.len());
        }
        response += if is_complete { "0\r\n\r\n" } else { "" };
        let (address, _requests) = scripted_server(vec![response.leak().as_bytes()]).await;
        let instance = instance(&directory, address);
        let (end, revision) = watch(&instance, address).await;
        let known = ["e", "f"].map(|name| instance.borrow().endpoint_address(name).is_some());
        (end, revision, known)
    })
}

#[test]
fn an_indented_list_and_the_next_one_are_read_wherever_they_are_cut() {
    let text = serde_json::to_string_pretty(&list(true, &[member("f", 2, "up")])).unwrap();
    let next = "\n\n{\"revision\":42,\n\"members\":[]}\n";
    for cut in 0..=text.len() {
        let (begin, end) = text.split_at(cut);
        let watched = watch_chunks(&[&format!("\n{begin}"), &format!("{end}{next}")], true);
        assert!(matches!(watched, (ended!(), Some(42), [false, true])), "cut at {cut}: {watched:?}");
    }
}

/// A complete list that is applied without its last entries would remove endpoints that discovery still lists.
#[test]
fn a_truncated_list_and_text_that_is_no_list_change_nothing() {
    let text = list(true, &[member("f", 2, "up")]).to_string();
    for (text, is_complete) in
        [(&text[..text.len() - 1], true), (&text[..40], false), ("noise", true), ("41", true)]
    {
        let watched = watch_chunks(&[text, "\n"], is_complete);
        assert!(matches!(watched, (Err(_), Some(6), [true, false])), "{watched:?}");
    }
}

/// The list of discovery always applies. A check for an empty list or for an increasing revision would keep endpoints
/// that discovery no longer has.
#[test]
fn a_complete_list_applies_even_without_entries_or_with_the_same_or_a_lower_revision() {
    let list = |revision: u64, rows: &str| {
        format!("{{\"revision\":{revision},\"complete\":true,\"members\":[{rows}]}}\n")
    };
    let f = member("f", 2, "up").to_string();
    for (lists, revision, known) in [
        (vec![list(7, "")], 7, [false, false]),
        (vec![list(7, ""), list(7, &f)], 7, [false, true]),
        (vec![list(7, &f), list(3, "")], 3, [false, false]),
    ] {
        let watched = watch_chunks(&lists.iter().map(|list| &list[..]).collect::<Vec<_>>(), true);
        assert!(watched.1 == Some(revision) && watched.2 == known, "{watched:?}");
    }
}

/// A change that a silent watch misses must be known 6 s after the silence began, even if the next watch is silent too.
/// A watch that ends at once, in contrast, must not be reopened without a pause.
#[test]
fn a_silent_watch_is_reopened_at_once_and_one_that_ends_at_once_after_a_pause() {
    let silent = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
    let only_interim = b"HTTP/1.1 100 x\r\n\r\n";
    for (response, gap) in [(&silent[..], 2_500), (only_interim, 2_500), (b"", 250)] {
        let directory = StateDirectory::new();
        on_one_thread(async {
            tokio::time::pause();
            let (address, mut requests) = scripted_server(vec![response; 4]).await;
            let (_address_sender, address_receiver) = watch_channel::channel(address);
            spawn_local(keep_watching(
                instance(&directory, address),
                address_receiver,
                WatchState::new(Some(6)),
                false,
            ));
            requests.recv().await.unwrap();
            let first = Instant::now();
            for nth in 1..4 {
                requests.recv().await.unwrap();
                let after = first.elapsed().as_millis();
                assert!(
                    (gap * nth..gap * nth + 20).contains(&after),
                    "{after} ms instead of {nth} times {gap}"
                );
            }
        });
    }
}
