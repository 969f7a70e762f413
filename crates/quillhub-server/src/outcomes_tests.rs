use super::*;
use crate::instance::MessageTimeline;
use crate::test_support::{StateDirectory, instance, on_one_thread, scripted_server};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;

fn outcome(message: u64, client_id: &str, rejected: bool, retry_after: Option<Duration>) -> FinalOutcome {
    let result = if rejected { FinalResult::Rejected { retry_after } } else { FinalResult::Abandoned };
    let timeline = MessageTimeline::recovered(Duration::ZERO);
    FinalOutcome { message, client_id: client_id.as_bytes().into(), result, timeline }
}

/// Waits until the platform has confirmed all outcomes.
async fn until_all_are_confirmed(instance: &RefCell<Instance>) {
    while !instance.borrow().all_outcomes_confirmed() {
        tokio::task::yield_now().await;
    }
}

#[test]
fn each_kind_of_final_outcome_is_encoded_as_one_json_line() {
    let wait = Some(Duration::from_millis(500));
    assert_eq!(json_line(&outcome(1, "ab", false, wait)), "{\"ref\":\"ab\",\"result\":\"dead\"}\n");
    assert_eq!(json_line(&outcome(1, "ab", true, None)), "{\"ref\":\"ab\",\"result\":\"bounced\"}\n");
    assert_eq!(
        json_line(&outcome(1, "a\"b", true, wait)),
        "{\"ref\":\"a\\\"b\",\"result\":\"bounced\",\"wait_ms\":500}\n"
    );
}

/// A request with an outcome that the platform cannot read is refused as a whole, and would be repeated forever.
#[test]
fn outcomes_are_resent_until_confirmed_and_an_unreadable_one_blocks_no_other() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let unreadable = b"HTTP/1.1 400 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        let confirmed = b"HTTP/1.1 204 x\r\nConnection: close\r\n\r\n";
        let down = b"HTTP/1.1 500 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        let (address, mut requests) =
            scripted_server(vec![b"", down, unreadable, unreadable, confirmed]).await;
        let instance = instance(&directory, address);
        instance.borrow_mut().add_outcome(outcome(1, "a", false, None));
        instance.borrow_mut().add_outcome(outcome(2, "b", false, None));
        let (_platform, address_receiver) = watch::channel(address);
        spawn_local(send(instance.clone(), address_receiver));
        let mut refs = Vec::new();
        for _ in 0..5 {
            let request = requests.recv().await.unwrap();
            refs.push(["\"a\"", "\"b\""].map(|name| request.contains(name)));
        }
        let (both, first, second) = ([true, true], [true, false], [false, true]);
        assert_eq!(refs, [both, both, both, first, second]);
        until_all_are_confirmed(&instance).await;
    });
}

/// Guards against a final outcome that is dropped, since a malformed response begins like one that says it is unreadable.
#[test]
fn an_outcome_is_not_dropped_if_bytes_follow_the_response_that_says_it_is_unreadable() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let unreadable = b"HTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\n";
        let spoilt = b"HTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\nand more";
        let confirmed = b"HTTP/1.1 204 x\r\n\r\n";
        let (address, mut requests) = scripted_server(vec![unreadable, spoilt, confirmed]).await;
        let instance = instance(&directory, address);
        instance.borrow_mut().add_outcome(outcome(1, "a", false, None));
        let (_platform, address_receiver) = watch::channel(address);
        spawn_local(send(instance.clone(), address_receiver));
        until_all_are_confirmed(&instance).await;
        let mut count = 0;
        while requests.try_recv().is_ok() {
            count += 1;
        }
        assert_eq!(count, 3, "only the last response confirms the outcome");
    });
}

/// The platform at the old address may never have read a request that it did not confirm.
#[test]
fn unconfirmed_outcomes_are_sent_to_the_new_address_of_the_platform() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let (old, mut old_requests) = scripted_server(vec![b"HTTP/1.1 100 Continue\r\n\r\n"]).await;
        let (new, mut new_requests) = scripted_server(vec![b"HTTP/1.1 204 x\r\n\r\n"]).await;
        let instance = instance(&directory, old);
        instance.borrow_mut().add_outcome(outcome(1, "a", false, None));
        let (address_sender, address_receiver) = watch::channel(old);
        spawn_local(send(instance.clone(), address_receiver));
        assert!(old_requests.recv().await.unwrap().contains("\"a\""));
        address_sender.send_replace(new);
        assert!(new_requests.recv().await.unwrap().contains("\"a\""));
        until_all_are_confirmed(&instance).await;
    });
}

/// An outcome must reach the platform within 300 ms after the deadline of its message, even if one request is lost and the
/// process was held up.
#[test]
fn a_request_without_a_response_is_repeated_within_50_ms_and_then_with_backoff() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        tokio::time::pause();
        let silence = &b"HTTP/1.1 100 Continue\r\n\r\n"[..];
        let confirmed = b"HTTP/1.1 204 x\r\nConnection: close\r\n\r\n";
        let responses = [vec![silence; 6], vec![confirmed], vec![silence; 2]].concat();
        let (address, mut requests) = scripted_server(responses).await;
        let instance = instance(&directory, address);
        instance.borrow_mut().add_outcome(outcome(1, "a", false, None));
        let (_platform, address_receiver) = watch::channel(address);
        spawn_local(send(instance.clone(), address_receiver));
        let mut last = tokio::time::Instant::now();
        let mut gap = async || {
            requests.recv().await.unwrap();
            let now = tokio::time::Instant::now();
            (now - std::mem::replace(&mut last, now)).as_millis()
        };
        gap().await;
        for expected in [50, 100, 200, 400, 800, 1_000] {
            let gap = gap().await;
            assert!((expected..expected + 5).contains(&gap), "{gap} ms instead of {expected}");
        }
        until_all_are_confirmed(&instance).await;
        instance.borrow_mut().add_outcome(outcome(2, "b", false, None));
        gap().await;
        assert!((50..55).contains(&gap().await), "each report starts anew");
    });
}

/// Guards against a late copy of a confirmation that confirms the next batch of outcomes, which the platform has not
/// processed: their messages would never get a final outcome.
#[test]
fn a_copy_of_an_earlier_confirmation_does_not_confirm_other_outcomes() {
    use quillhub_fakes::http::ServerConnection;
    const CONFIRMATION: &[u8] = b"HTTP/1.1 204 x\r\n\r\n";
    let directory = StateDirectory::new();
    on_one_thread(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (received_sender, mut received) = tokio::sync::mpsc::unbounded_channel();
        // Each connection is served alone. The request with the first outcome is confirmed. The next request on its
        // connection gets a copy of that confirmation; the first request on a new connection gets no response.
        let is_first_connection = std::cell::Cell::new(true);
        spawn_local(quillhub_fakes::accept::accept_each(listener, move |stream| {
            let (sender, confirms) = (received_sender.clone(), is_first_connection.replace(false));
            async move {
                let mut connection = ServerConnection::new(stream);
                while let Ok(Some(request)) = connection.next().await {
                    let _ = sender.send(String::from_utf8_lossy(&request.body).contains("\"b\""));
                    if confirms {
                        connection.write(CONFIRMATION).await.unwrap();
                    }
                }
            }
        }));
        let instance = instance(&directory, address);
        let (_platform, address_receiver) = watch::channel(address);
        spawn_local(send(instance.clone(), address_receiver));
        instance.borrow_mut().add_outcome(outcome(1, "a", false, None));
        assert_eq!(received.recv().await, Some(false));
        until_all_are_confirmed(&instance).await;
        instance.borrow_mut().add_outcome(outcome(2, "b", false, None));
        assert_eq!(received.recv().await, Some(true));
        let repeated = timeout(Duration::from_secs(5), received.recv()).await;
        assert_eq!(repeated, Ok(Some(true)), "an unconfirmed outcome is sent again");
    });
}

/// Guards against outcomes that come late since an earlier report is not answered: one request was under way at a time.
#[test]
fn an_unanswered_report_delays_no_other_outcome() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        tokio::time::pause();
        let silence = &b"HTTP/1.1 100 Continue\r\n\r\n"[..];
        let (address, mut requests) = scripted_server(vec![silence, b"HTTP/1.1 204 x\r\n\r\n"]).await;
        let instance = instance(&directory, address);
        let (_platform, address_receiver) = watch::channel(address);
        spawn_local(send(instance.clone(), address_receiver));
        instance.borrow_mut().add_outcome(outcome(1, "a", false, None));
        assert!(requests.recv().await.unwrap().contains("\"a\""));
        let decided = Instant::now();
        instance.borrow_mut().add_outcome(outcome(2, "b", false, None));
        assert!(requests.recv().await.unwrap().contains("\"b\""));
        assert!(decided.elapsed() < Duration::from_millis(5), "it waited {:?}", decided.elapsed());
    });
}

/// Guards against outcomes that nobody reports any more, since the task that did so has panicked.
#[test]
fn the_outcomes_of_a_report_that_is_given_up_are_reported_again() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let silence = &b"HTTP/1.1 100 Continue\r\n\r\n"[..];
        let (address, mut requests) = scripted_server(vec![silence, b"HTTP/1.1 204 x\r\n\r\n"]).await;
        let instance = instance(&directory, address);
        let (_platform, address_receiver) = watch::channel(address);
        instance.borrow_mut().add_outcome(outcome(1, "a", false, None));
        let first = spawn_local(send(instance.clone(), address_receiver.clone()));
        assert!(requests.recv().await.unwrap().contains("\"a\""));
        first.abort();
        assert!(first.await.unwrap_err().is_cancelled());
        assert!(!instance.borrow().all_outcomes_confirmed());
        spawn_local(send(instance.clone(), address_receiver));
        until_all_are_confirmed(&instance).await;
    });
}

/// Guards against a platform that confirms each report only after a second: each was given up and repeated for ever.
#[test]
fn a_report_that_is_confirmed_late_is_not_repeated_for_ever() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        tokio::time::pause();
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(quillhub_fakes::accept::accept_each(listener, |stream| async move {
            let mut connection = quillhub_fakes::http::ServerConnection::new(stream);
            while connection.next().await?.is_some() {
                tokio::time::sleep(Duration::from_millis(1_500)).await;
                connection.answer(204, "", b"").await?;
            }
            std::io::Result::Ok(())
        }));
        let instance = instance(&directory, address);
        let (_platform, address_receiver) = watch::channel(address);
        instance.borrow_mut().add_outcome(outcome(1, "a", false, None));
        spawn_local(send(instance.clone(), address_receiver));
        let started = Instant::now();
        while !instance.borrow().all_outcomes_confirmed() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert!(started.elapsed() < Duration::from_secs(10), "{:?}", started.elapsed());
    });
}
