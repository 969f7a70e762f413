use super::*;
use crate::stand_in::{Folder, answering, host, on_one_thread};
use tokio::task::spawn_local;

fn end(id: u64, reference: &str, denied: bool, come_back: Option<Duration>) -> Final {
    Final { id, reference: reference.as_bytes().into(), denied, come_back }
}

#[test]
fn each_kind_of_final_answer_has_its_line() {
    let wait = Some(Duration::from_millis(500));
    assert_eq!(line(&end(1, "ab", false, wait)), "{\"ref\":\"ab\",\"result\":\"dead\"}\n");
    assert_eq!(line(&end(1, "ab", true, None)), "{\"ref\":\"ab\",\"result\":\"bounced\"}\n");
    assert_eq!(
        line(&end(1, "a\"b", true, wait)),
        "{\"ref\":\"a\\\"b\",\"result\":\"bounced\",\"wait_ms\":500}\n"
    );
}

#[test]
fn final_answers_are_sent_until_they_are_confirmed_and_one_that_cannot_be_read_holds_up_none() {
    let folder = Folder::new();
    on_one_thread(async {
        let no = b"HTTP/1.1 400 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        let yes = b"HTTP/1.1 204 x\r\nConnection: close\r\n\r\n";
        let down = b"HTTP/1.1 500 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        let (at, mut told) = answering(vec![b"", down, no, no, yes]).await;
        let host = host(&folder, at);
        host.borrow_mut().finals.extend([end(1, "a", false, None), end(2, "b", false, None)]);
        let (_platform, seen) = watch::channel(at);
        spawn_local(flush(host.clone(), seen));
        let mut refs = Vec::new();
        for _ in 0..5 {
            let call = told.recv().await.unwrap();
            refs.push(["\"a\"", "\"b\""].map(|name| call.contains(name)));
        }
        let (both, first, second) = ([true, true], [true, false], [false, true]);
        assert_eq!(refs, [both, both, both, first, second]);
        while !host.borrow().finals.is_empty() {
            tokio::task::yield_now().await;
        }
    });
}

#[test]
fn what_the_platform_has_not_confirmed_goes_to_its_new_address() {
    let folder = Folder::new();
    on_one_thread(async {
        let (old, mut told_old) = answering(vec![b"HTTP/1.1 100 Continue\r\n\r\n"]).await;
        let (new, mut told_new) = answering(vec![b"HTTP/1.1 204 x\r\n\r\n"]).await;
        let host = host(&folder, old);
        host.borrow_mut().finals.push_back(end(1, "a", false, None));
        let (at, seen) = watch::channel(old);
        spawn_local(flush(host.clone(), seen));
        assert!(told_old.recv().await.unwrap().contains("\"a\""));
        at.send_replace(new);
        assert!(told_new.recv().await.unwrap().contains("\"a\""));
        while !host.borrow().finals.is_empty() {
            tokio::task::yield_now().await;
        }
    });
}

/// An answer has to be there 300 ms after its notice's time, also where the connection kept has fallen silent.
#[test]
fn a_platform_that_says_nothing_is_told_again_soon_on_a_new_connection_and_then_less_often() {
    let folder = Folder::new();
    on_one_thread(async {
        tokio::time::pause();
        let silence = &b"HTTP/1.1 100 Continue\r\n\r\n"[..];
        let confirmed = b"HTTP/1.1 204 x\r\nConnection: close\r\n\r\n";
        let answers = [vec![silence; 6], vec![confirmed], vec![silence; 2]].concat();
        let (at, mut told) = answering(answers).await;
        let host = host(&folder, at);
        host.borrow_mut().finals.push_back(end(1, "a", false, None));
        let (_platform, seen) = watch::channel(at);
        spawn_local(flush(host.clone(), seen));
        let mut last = tokio::time::Instant::now();
        let mut gap = async || {
            told.recv().await.unwrap();
            let now = tokio::time::Instant::now();
            (now - std::mem::replace(&mut last, now)).as_millis()
        };
        gap().await;
        for wanted in [100, 200, 400, 800, 1_000, 1_000] {
            let gap = gap().await;
            assert!((wanted..wanted + 5).contains(&gap), "{gap} ms, not {wanted}");
        }
        while !host.borrow().finals.is_empty() {
            tokio::task::yield_now().await;
        }
        host.borrow_mut().finals.push_back(end(2, "b", false, None));
        host.borrow().finals_wait.notify_one();
        gap().await;
        assert!((100..105).contains(&gap().await), "once one is confirmed it is soon again");
    });
}
