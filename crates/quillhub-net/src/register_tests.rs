use super::*;
use crate::stand_in::{Folder, answering, host, on_one_thread};
use serde_json::json;
use tokio::task::spawn_local;

fn member(id: &str, port: u16, phase: &str) -> Value {
    json!({"id": id, "host_port": format!("127.0.0.1:{port}"), "cell": 9, "phase": phase, "size": 1.0})
}

fn list(whole: bool, members: &[Value]) -> Value {
    json!({"revision": 41, "complete": whole, "members": members})
}

/// Of endpoints `e`, `f` and `g`, the ports that are known after `lists`.
fn ports(lists: &[Value]) -> [Option<u16>; 3] {
    let folder = Folder::new();
    on_one_thread(async {
        let host = host(&folder, "127.0.0.1:1".parse().unwrap());
        let mut host = host.borrow_mut();
        for list in lists {
            assert_eq!(tell(&mut host, list, true), Ok(41));
        }
        ["e", "f", "g"].map(|name| host.endpoints.address(name).map(|at| at.port()))
    })
}

#[test]
fn a_whole_list_replaces_what_was_known_and_changes_add_to_it() {
    let two = list(true, &[member("f", 2, "up"), member("g", 3, "draining")]);
    assert_eq!(ports(std::slice::from_ref(&two)), [None, Some(2), Some(3)]);
    assert_eq!(ports(&[list(false, &[member("f", 2, "up")])]), [Some(1), Some(2), None]);
    let change = list(false, &[member("f", 4, "up"), member("g", 3, "removed")]);
    assert_eq!(ports(&[two, change]), [None, Some(4), None]);
}

#[test]
fn a_list_that_cannot_be_read_changes_nothing() {
    let folder = Folder::new();
    on_one_thread(async {
        let host = host(&folder, "127.0.0.1:1".parse().unwrap());
        for bad in [
            json!([]),
            json!({"revision": 1}),
            json!({"revision": "1", "members": []}),
            list(true, &[member("f", 2, "asleep")]),
            list(true, &[json!({"id": "f", "host_port": "here", "cell": 9, "phase": "up"})]),
            list(true, &[member("f", 2, "up"), json!({"id": "g"})]),
        ] {
            let told = tell(&mut host.borrow_mut(), &bad, true).unwrap_err();
            assert!(!told.contains('\n'), "{told}");
            let known = ["e", "f"].map(|name| host.borrow().endpoints.address(name).is_some());
            assert_eq!(known, [true, false], "{bad}");
        }
    });
}

#[test]
fn a_watch_reads_lines_wherever_they_are_cut() {
    let folder = Folder::new();
    on_one_thread(async {
        let answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n\
            1f\r\n{\"revision\":7,\"complete\":true,\"\r\n10\r\nmembers\":[]}\n{\"r\r\n\
            26\r\nevision\":8,\"members\":[],\"more\":[null]}\r\n1\r\n\n\r\n0\r\n\r\n";
        let (at, mut told) = answering(vec![answer]).await;
        let host = host(&folder, at);
        let revision = Cell::new(Some(6));
        assert!(matches!(one_watch(&host, at, &revision).await, Err(Broken::Ended)));
        assert_eq!((revision.get(), host.borrow().endpoints.address("e")), (Some(8), None));
        let call = told.recv().await.unwrap();
        assert!(call.starts_with("GET /registry/instances?watch=1&after=6 HTTP/1.1\r\n"), "{call}");
    });
}

#[test]
fn a_register_that_is_elsewhere_is_watched_there_at_once_from_its_whole_list_on() {
    let folder = Folder::new();
    on_one_thread(async {
        let watched = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
        let listed = b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n{\"revision\":2,\"complete\":true,\
            \"members\":[{\"id\":\"f\",\"host_port\":\"127.0.0.1:2\",\"cell\":9,\"phase\":\"up\"}]}";
        let (old, mut asked_old) = answering(vec![watched]).await;
        let (new, mut asked_new) = answering(vec![listed, watched]).await;
        let host = host(&folder, old);
        let (at, seen) = watch::channel(old);
        spawn_local(follow(host.clone(), seen, Rc::new(Cell::new(Some(6))), false));
        assert!(asked_old.recv().await.unwrap().contains("after=6 "));
        at.send_replace(new);
        assert!(asked_new.recv().await.unwrap().starts_with("GET /registry/instances HTTP/1.1\r\n"));
        assert!(asked_new.recv().await.unwrap().starts_with("GET /registry/instances?watch=1&after=2 "));
        let known = ["e", "f"].map(|name| host.borrow().endpoints.address(name).is_some());
        assert_eq!(known, [false, true]);
    });
}
