use crate::instance::Instance;
use crate::test_support::{
    OK, StateDirectory, instance, on_one_thread, submit, unfinished_in, until_attempts_ended, until_idle,
};
use crate::wal::FinalResult;
use quillhub_fakes::accept::accept_each;
use quillhub_fakes::http::ServerConnection;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};

/// Responses that say, each in its way, that the message was not executed.
const REJECTIONS: [&[u8]; 7] = [
    b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 503 x\r\nContent-Length: 4\r\n\r\nfull",
    b"HTTP/1.1 503 x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
    b"HTTP/1.1 503 x\r\nX-Egress-Full: 1\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 504 x\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 429 x\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 429 x\r\nX-Backoff-Ms: 50\r\nContent-Length: 0\r\n\r\n",
];
const REJECTION: &[u8] = REJECTIONS[0];
/// Response that says that the message has had all its attempts.
const EXHAUSTED: &[u8] = REJECTIONS[4];
/// Response that says that nothing is to be done for the message any more.
const OVER: &[u8] = b"HTTP/1.1 410 x\r\nContent-Length: 0\r\n\r\n";
/// Bytes behind a response: noise, one octet, and the start, the whole and a malformed form of another response.
const SURPLUS: [&[u8]; 5] = [
    b" and more",
    b"H",
    b"HTTP/1.1 503 x\r\nContent-Le",
    b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 \0",
];
/// Time for which messages are observed that must not be sent again.
const OBSERVATION: Duration = Duration::from_millis(1_500);
/// Step by which paused time advances.
const TIME_STEP: Duration = Duration::from_millis(10);

/// What an endpoint does after its first response, once it is released.
#[derive(Clone, Copy)]
enum Then {
    Writes(&'static [u8]),
    Closes,
    Resets,
}

/// Endpoint that writes `first` to the first request, and does something more after [`Endpoint::release`]. It delivers all
/// other messages.
struct Endpoint {
    address: SocketAddr,
    requests: Rc<Cell<usize>>,
    release: Rc<Notify>,
}

impl Endpoint {
    async fn start(first: &'static [u8], then: Then) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (requests, release) = (Rc::new(Cell::new(0)), Rc::new(Notify::new()));
        let (received, released) = (requests.clone(), release.clone());
        spawn_local(accept_each(listener, move |stream| {
            let (received, released) = (received.clone(), released.clone());
            async move {
                let mut stream = ServerConnection::new(stream);
                while let Ok(Some(_)) = stream.next().await {
                    received.set(received.get() + 1);
                    if received.get() > 1 {
                        let _ = stream.write(OK).await;
                        continue;
                    }
                    let _ = stream.write(first).await;
                    released.notified().await;
                    match then {
                        Then::Writes(surplus) => drop(stream.write(surplus).await),
                        Then::Closes => return,
                        Then::Resets => return stream.reset(),
                    }
                }
            }
        }));
        Self { address, requests, release }
    }
}

/// Lets the time pass, with all tasks that it wakes.
async fn pass(time: Duration) {
    let mut passed = Duration::ZERO;
    while passed < time {
        tokio::time::advance(TIME_STEP).await;
        yield_now().await;
        passed += TIME_STEP;
    }
}

fn results(instance: &RefCell<Instance>) -> Vec<FinalResult> {
    instance.borrow().unconfirmed_outcomes().map(|outcome| outcome.result).collect()
}

/// Delivers nothing but `first` to a message of `class`, writes `surplus` after `delay`, and returns the number of requests
/// by the end of the observation and the final outcomes.
fn requests_after_surplus(
    class: &str,
    first: &'static [u8],
    surplus: &'static [u8],
    delay: Duration,
) -> (usize, Vec<FinalResult>) {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let endpoint = Endpoint::start(first, Then::Writes(surplus)).await;
        let instance = instance(&directory, endpoint.address);
        if delay.is_zero() {
            endpoint.release.notify_one();
        }
        submit(&instance, class);
        until_attempts_ended(&instance).await;
        tokio::time::pause();
        pass(delay).await;
        assert!(delay.is_zero() || endpoint.requests.get() == 1 && results(&instance).is_empty());
        endpoint.release.notify_one();
        pass(OBSERVATION).await;
        (endpoint.requests.get(), results(&instance))
    })
}

/// Guards against a rejection that counts as proof although more bytes follow it: an at-most-once message was sent again
/// after it had been executed, and its client was told that trying again is harmless.
#[test]
fn a_rejection_with_bytes_behind_it_is_never_retried_and_never_reported_as_harmless() {
    let delays = [0, 10, 1_000].map(Duration::from_millis);
    let cases = REJECTIONS.map(|rejection| (rejection, SURPLUS[0])).into_iter();
    let cases = cases.chain(SURPLUS.map(|surplus| (REJECTION, surplus)));
    for (rejection, surplus) in cases {
        for delay in delays {
            let found = requests_after_surplus("once", rejection, surplus, delay);
            let text = String::from_utf8_lossy(rejection);
            assert_eq!(found, (1, vec![FinalResult::Abandoned]), "{text:?}, {surplus:?} after {delay:?}");
        }
    }
}

/// Guards against messages that are lost: a malformed response with status 410 finished them without a final outcome. It may
/// be true all the same, so that they are not attempted again.
#[test]
fn a_message_is_abandoned_if_bytes_follow_the_response_that_says_that_it_is_over() {
    for delay in [0, 10, 1_000].map(Duration::from_millis) {
        for class in ["free", "marked", "once"] {
            let found = requests_after_surplus(class, OVER, SURPLUS[0], delay);
            assert_eq!(found, (1, vec![FinalResult::Abandoned]), "{class} after {delay:?}");
        }
    }
}

/// Guards against a proof that is not recognized: an endpoint that ends the connection has written all that it will write.
#[test]
fn a_rejection_is_proof_as_soon_as_the_endpoint_ends_the_connection() {
    let to_end: &[u8] = b"HTTP/1.1 503 x\r\n\r\nfull";
    let closing: &[u8] = b"HTTP/1.1 503 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    let retried = REJECTIONS.into_iter().filter(|rejection| *rejection != EXHAUSTED);
    for rejection in retried.chain([to_end, closing]) {
        let directory = StateDirectory::new();
        on_one_thread(async {
            let endpoint = Endpoint::start(rejection, Then::Closes).await;
            let instance = instance(&directory, endpoint.address);
            submit(&instance, "once");
            endpoint.release.notify_one();
            until_idle(&instance).await;
            assert_eq!(endpoint.requests.get(), 2, "{}", String::from_utf8_lossy(rejection));
            assert!(results(&instance).is_empty());
        });
    }
    let directory = StateDirectory::new();
    on_one_thread(async {
        let endpoint = Endpoint::start(EXHAUSTED, Then::Closes).await;
        let instance = instance(&directory, endpoint.address);
        submit(&instance, "once");
        endpoint.release.notify_one();
        while results(&instance).is_empty() {
            yield_now().await;
        }
        assert_eq!(results(&instance), [FinalResult::Rejected { retry_after: None }]);
        assert_eq!(endpoint.requests.get(), 1, "no attempt is left after a 504");
    });
}

/// Guards against a reset that is read as the end of the connection: it may overtake bytes that the endpoint wrote behind a
/// rejection.
#[test]
fn a_reset_of_the_connection_is_no_proof_of_a_rejection() {
    for rejection in REJECTIONS {
        let directory = StateDirectory::new();
        on_one_thread(async {
            let endpoint = Endpoint::start(rejection, Then::Resets).await;
            let instance = instance(&directory, endpoint.address);
            submit(&instance, "once");
            until_attempts_ended(&instance).await;
            endpoint.release.notify_one();
            tokio::time::pause();
            pass(OBSERVATION).await;
            let found = (endpoint.requests.get(), results(&instance));
            assert_eq!(found, (1, vec![FinalResult::Abandoned]), "{}", String::from_utf8_lossy(rejection));
        });
    }
}

/// Guards against a restart between a rejection and the bytes behind it: the new process would take the message for one
/// that was not executed.
#[test]
fn a_rejection_is_not_in_the_log_before_it_is_proof() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let endpoint = Endpoint::start(REJECTION, Then::Closes).await;
        let instance = instance(&directory, endpoint.address);
        submit(&instance, "once");
        until_attempts_ended(&instance).await;
    });
    assert_eq!(unfinished_in(&directory)[&1].possible_executions().count(), 1);
}
