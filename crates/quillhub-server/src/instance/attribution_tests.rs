use crate::connection::HttpConnection;
use crate::instance::Instance;
use crate::instance::scripted_endpoint::{ScriptedEndpoint, Step};
use crate::test_support::{
    OK, StateDirectory, TIME_TO_LIVE, instance, on_one_thread, submit, submit_as, unfinished_in,
    until_attempts_ended,
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
use tokio::time::Instant;

const REJECTED: &[u8] = b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n";
const FAILED: &[u8] = b"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n";
const OVER: &[u8] = b"HTTP/1.1 410 x\r\nContent-Length: 0\r\n\r\n";
const EXHAUSTED: &[u8] = b"HTTP/1.1 504 x\r\nContent-Length: 0\r\n\r\n";
/// Time after a response at which an endpoint writes a second copy of it.
const COPY_DELAY: Duration = Duration::from_millis(40);
/// Minimum attempt timeout of the dispatcher.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Step by which paused time advances.
const TIME_STEP: Duration = Duration::from_millis(10);

/// Endpoint that writes a copy of its first response as soon as it has received the second request on its first
/// connection, and `then` after [`Endpoint::release`]. It delivers all other messages.
struct Endpoint {
    address: SocketAddr,
    /// Number of the connection and client id of each request.
    requests: Rc<RefCell<Vec<(usize, String)>>>,
    release: Rc<Notify>,
}

impl Endpoint {
    async fn start(then: &'static [u8]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (requests, release) = (Rc::new(RefCell::new(Vec::new())), Rc::new(Notify::new()));
        let (received, released, connections) = (requests.clone(), release.clone(), Cell::new(0));
        spawn_local(accept_each(listener, move |stream| {
            let (received, released) = (received.clone(), released.clone());
            let connection = connections.replace(connections.get() + 1);
            async move {
                let mut stream = ServerConnection::new(stream);
                let mut count = 0;
                while let Ok(Some(request)) = stream.next().await {
                    received.borrow_mut().push((connection, request.id.unwrap_or_default()));
                    let _ = stream.write(OK).await;
                    count += 1;
                    if (connection, count) == (0, 2) {
                        released.notified().await;
                        if then.is_empty() {
                            return;
                        }
                        let _ = stream.write(then).await;
                    }
                }
            }
        }));
        Self { address, requests, release }
    }

    /// Returns the connection numbers of the requests with the client id of the second message, in order.
    fn connections_of_second(&self) -> Vec<usize> {
        let requests = self.requests.borrow();
        let second = &requests[1].1;
        requests.iter().filter(|(_, id)| id == second).map(|(connection, _)| *connection).collect()
    }
}

/// Delivers one message of `class` on a new connection, and another on the same connection, whose response is a copy.
async fn deliver_two(instance: &RefCell<Instance>, class: &str) {
    for _ in 0..2 {
        submit(instance, class);
        until_attempts_ended(instance).await;
    }
}

/// Guards against lost messages: the copy of a delivery is taken for the response to a call that the endpoint rejects, or
/// right before it closes the connection.
#[test]
fn a_message_whose_delivery_was_a_copy_is_sent_again_on_another_connection() {
    for then in [REJECTED, OK, b""] {
        for class in ["free", "marked"] {
            let directory = StateDirectory::new();
            on_one_thread(async {
                let endpoint = Endpoint::start(then).await;
                let instance = instance(&directory, endpoint.address);
                deliver_two(&instance, class).await;
                assert_eq!(endpoint.connections_of_second(), [0]);
                endpoint.release.notify_one();
                while endpoint.connections_of_second().len() < 2 {
                    yield_now().await;
                }
                assert_eq!(endpoint.connections_of_second(), [0, 1]);
            });
        }
    }
}

/// Guards against a message that is sent again although it must not be executed twice.
#[test]
fn an_at_most_once_message_whose_delivery_was_a_copy_is_abandoned() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let endpoint = Endpoint::start(REJECTED).await;
        let instance = instance(&directory, endpoint.address);
        deliver_two(&instance, "once").await;
        assert!(instance.borrow().all_outcomes_confirmed());
        endpoint.release.notify_one();
        while instance.borrow().all_outcomes_confirmed() {
            yield_now().await;
        }
        let results: Vec<_> =
            instance.borrow().unconfirmed_outcomes().map(|outcome| outcome.result).collect();
        assert_eq!(results, [FinalResult::Abandoned]);
        assert_eq!(endpoint.connections_of_second(), [0]);
    });
}

/// Guards against a crash between a copy and the true response: the restarted instance must know the message.
#[test]
fn a_delivery_on_a_reused_connection_is_not_finished_in_the_log_before_it_is_attributed() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let endpoint = Endpoint::start(REJECTED).await;
        let instance = instance(&directory, endpoint.address);
        deliver_two(&instance, "free").await;
        assert!(instance.borrow().has_unattributed_responses());
    });
    let unfinished = unfinished_in(&directory);
    assert_eq!(unfinished.keys().collect::<Vec<_>>(), [&2], "the first message is finished");
    assert_eq!(unfinished[&2].possible_executions().count(), 1);
}

/// Lets paused time pass until no response is unattributed.
async fn until_attributed(instance: &RefCell<Instance>) {
    tokio::time::pause();
    while instance.borrow().has_unattributed_responses() {
        tokio::time::advance(TIME_STEP).await;
        yield_now().await;
    }
    tokio::time::resume();
}

/// Guards against deliveries that stay unattributed although their connection was quiet for long enough.
#[test]
fn a_delivery_is_finished_by_its_deadline_if_its_connection_was_quiet() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let endpoint = Endpoint::start(REJECTED).await;
        let instance = instance(&directory, endpoint.address);
        deliver_two(&instance, "once").await;
        until_attributed(&instance).await;
        assert!(instance.borrow().is_idle());
        assert_eq!(endpoint.connections_of_second(), [0]);
    });
    assert!(unfinished_in(&directory).is_empty());
}

/// Guards against a lost message and a call behind one that is never answered: the endpoint stops answering after a copy,
/// and the next call on the connection shows it.
#[test]
fn a_delivery_is_taken_back_if_the_next_call_on_its_connection_is_not_answered() {
    for (class, count) in [("free", 2), ("once", 1)] {
        let directory = StateDirectory::new();
        on_one_thread(async {
            let (address, requests) = start_scripted_endpoint(&[OK, OK]).await;
            let instance = instance(&directory, address);
            deliver_two(&instance, class).await;
            let second = requests.borrow()[1].1.clone();
            submit(&instance, "free");
            tokio::time::pause();
            while instance.borrow().has_unattributed_responses() {
                tokio::time::advance(TIME_STEP).await;
                yield_now().await;
            }
            tokio::time::resume();
            let count_of_second = || requests.borrow().iter().filter(|(_, id)| *id == second).count();
            while count_of_second() < count || instance.borrow().attempts_in_flight() > 0 {
                yield_now().await;
            }
            assert_eq!(count_of_second(), count, "{class}");
            let outcomes: Vec<_> = instance.borrow().unconfirmed_outcomes().map(|it| it.result).collect();
            assert_eq!(outcomes.contains(&FinalResult::Abandoned), class == "once");
        });
    }
}

/// Guards against two attempts at once: with two copies on a connection, a later response does not show that a call whose
/// response was a rejection is no longer executed. Only the end of the connection does, or the deadline of the call.
#[test]
fn a_rejected_message_is_not_sent_again_while_two_copies_hide_its_call() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        // The second and the fourth response are copies; the third is that to the second request.
        let (address, requests) = start_scripted_endpoint(&[OK, OK, REJECTED, OK]).await;
        let instance = instance(&directory, address);
        for _ in 0..4 {
            submit(&instance, "free");
            until_attempts_ended(&instance).await;
        }
        let third = requests.borrow()[2].1.clone();
        let attempts = || requests.borrow().iter().filter(|(_, id)| *id == third).count();
        assert!(requests.borrow().iter().all(|(connection, _)| *connection == 0));
        tokio::time::pause();
        let sent = Instant::now();
        while attempts() < 2 {
            tokio::time::advance(TIME_STEP).await;
            yield_now().await;
        }
        assert!(sent.elapsed() >= ATTEMPT_TIMEOUT, "{:?}", sent.elapsed());
    });
}

/// Starts an endpoint that responds to the requests of its first connection by `script`, in turn, and then not at all.
/// It delivers the messages of all other connections. Returns its address, and the number of the connection and the
/// client id of each request.
async fn start_scripted_endpoint(
    script: &'static [&'static [u8]],
) -> (SocketAddr, Rc<RefCell<Vec<(usize, String)>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Rc::new(RefCell::new(Vec::new()));
    let (received, connections) = (requests.clone(), Cell::new(0));
    spawn_local(accept_each(listener, move |stream| {
        let received = received.clone();
        let connection = connections.replace(connections.get() + 1);
        async move {
            let mut stream = ServerConnection::new(stream);
            let mut responses = script.iter();
            while let Ok(Some(request)) = stream.next().await {
                received.borrow_mut().push((connection, request.id.unwrap_or_default()));
                let response = if connection == 0 { responses.next().copied() } else { Some(OK) };
                if let Some(response) = response {
                    let _ = stream.write(response).await;
                }
            }
        }
    }));
    (address, requests)
}

/// Guards against input that is not noticed on an idle connection, since its socket is shared with a watcher.
#[test]
fn a_watcher_completes_on_input_and_on_the_end_of_its_connection() {
    on_one_thread(async {
        for is_closed in [false, true] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let connection = HttpConnection::open(listener.local_addr().unwrap()).await.unwrap();
            let mut peer = ServerConnection::new(listener.accept().await.unwrap().0);
            if is_closed {
                drop(peer);
                connection.input().await;
            } else {
                peer.write(REJECTED).await.unwrap();
                connection.input().await;
            }
        }
    });
}

/// Guards against lost messages: a message is taken for delivered by a second copy of the response before it, which was
/// written when its request was on its way, while its own call is turned away or never answered.
#[test]
fn a_call_is_not_on_its_way_when_a_copy_is_written_directly_behind_a_response() {
    for response in [OK, REJECTED, FAILED, OVER, EXHAUSTED] {
        for class in ["free", "marked", "once"] {
            let directory = StateDirectory::new();
            on_one_thread(async {
                let copied = vec![Step::Read, Step::Write(response), Step::Release, Step::Write(response)];
                let endpoint = ScriptedEndpoint::start(vec![copied]).await;
                let instance = instance(&directory, endpoint.address);
                submit(&instance, class);
                until_attempts_ended(&instance).await;
                submit_as(&instance, class, "second");
                tokio::time::pause();
                let submitted = Instant::now();
                let mut is_released = false;
                while !endpoint.delivered().contains(&"second".into()) && submitted.elapsed() < TIME_TO_LIVE {
                    if submitted.elapsed() >= COPY_DELAY && !is_released {
                        endpoint.release.notify_one();
                        is_released = true;
                    }
                    tokio::time::advance(TIME_STEP).await;
                    yield_now().await;
                }
                tokio::time::resume();
                let status = String::from_utf8_lossy(&response[..12]).into_owned();
                assert!(
                    submitted.elapsed() < TIME_TO_LIVE,
                    "second message of {class} not delivered: {status}"
                );
            });
        }
    }
}
