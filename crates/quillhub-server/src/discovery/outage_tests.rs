//! Tests that endpoint changes are applied in time after an outage of discovery, however its connections failed, and
//! from a slow discovery. They use real sockets and virtual time.

use super::overlap::RESPONSE_TIMEOUT;
use super::*;
use crate::test_support::{
    StateDirectory, configuration, instance_with, on_one_thread, scripted_server, unconnectable_address,
};
use quillhub_fakes::http::ServerConnection;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::net::TcpStream as StdStream;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{advance, sleep, timeout};

/// Maximum time until a change is applied, counted from when discovery has it and can be reached.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);
const LIST: &str = r#"{"revision":9,"complete":true,"members":[{"id":"f","host_port":"127.0.0.1:2","cell":9,"phase":"up"}]}"#;
pub(super) const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

pub(super) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Kind of failure of a connection to discovery during its outage. No such connection recovers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionFailure {
    Refused,
    NeverConnected,
    Closed,
    Silent,
    HalfHead,
    /// The head arrives just before the request times out, and nothing after it.
    LateHead,
    HalfList,
}

const ALL_FAILURES: [ConnectionFailure; 7] = [
    ConnectionFailure::Refused,
    ConnectionFailure::NeverConnected,
    ConnectionFailure::Closed,
    ConnectionFailure::Silent,
    ConnectionFailure::HalfHead,
    ConnectionFailure::LateHead,
    ConnectionFailure::HalfList,
];

/// Serves a connection to discovery during its outage.
async fn serve_failing(failure: ConnectionFailure, stream: TcpStream) -> std::io::Result<()> {
    let mut stream = ServerConnection::new(stream);
    let Some(requested) = stream.next().await? else { return Ok(()) };
    let is_watch = requested.path.contains("watch");
    let length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", LIST.len());
    let head = if is_watch { CHUNKED } else { &length };
    match failure {
        ConnectionFailure::Refused | ConnectionFailure::NeverConnected | ConnectionFailure::Closed => {
            return Ok(());
        }
        ConnectionFailure::Silent => {}
        ConnectionFailure::HalfHead => stream.write(b"HTTP/1.1 200 OK\r\nTransf").await?,
        ConnectionFailure::LateHead => {
            sleep(RESPONSE_TIMEOUT - Duration::from_millis(50)).await;
            stream.write(head.as_bytes()).await?;
        }
        ConnectionFailure::HalfList => {
            let half = &LIST[..LIST.len() / 2];
            let body = if is_watch { chunk(half) } else { half.to_owned() };
            stream.write(format!("{head}{body}").as_bytes()).await?;
        }
    }
    std::future::pending().await
}

/// Serves a connection to discovery after its outage: each request gets [`LIST`] after `response_delay`, followed by
/// empty lines in a watch.
async fn serve(stream: TcpStream, response_delay: Duration) -> std::io::Result<()> {
    let mut stream = ServerConnection::new(stream);
    while let Some(requested) = stream.next().await? {
        sleep(response_delay).await;
        if !requested.path.contains("watch") {
            stream.answer(200, "", LIST.as_bytes()).await?;
            continue;
        }
        stream.write(format!("{CHUNKED}{}", chunk(&format!("{LIST}\n"))).as_bytes()).await?;
        loop {
            sleep(Duration::from_secs(2)).await;
            stream.write(chunk("\n").as_bytes()).await?;
        }
    }
    Ok(())
}

/// Starts a fake discovery whose connections fail by `failure` until `outage_end`, and whose responses then take
/// `response_delay`. Returns its address.
fn start_discovery(failure: ConnectionFailure, outage_end: Instant, response_delay: Duration) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let mut queued = None;
    match failure {
        ConnectionFailure::Refused => {}
        ConnectionFailure::NeverConnected => {
            socket.listen(0).unwrap();
            queued = Some(StdStream::connect(address).unwrap());
        }
        _ => socket.listen(64).unwrap(),
    }
    spawn_local(async move {
        if matches!(failure, ConnectionFailure::Refused | ConnectionFailure::NeverConnected) {
            sleep_until(outage_end).await;
            socket.listen(64).unwrap();
        }
        socket.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(socket.into()).unwrap();
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            drop(queued.take());
            let failure = Some(failure).filter(|_| Instant::now() < outage_end);
            spawn_local(async move {
                let _ = match failure {
                    Some(failure) => serve_failing(failure, stream).await,
                    None => serve(stream, response_delay).await,
                };
            });
        }
    });
    address
}

pub(super) fn settings(must_be_polled: bool) -> Value {
    let mut settings = configuration()["settings"].clone();
    settings["membershipMode"] = json!(if must_be_polled { "subscribe" } else { "automatic" });
    settings["rules"] = json!({"askEveryUs": 10_000_000});
    settings
}

/// Waits until the endpoint in [`LIST`] is applied to the instance.
async fn until_applied(instance: &RefCell<Instance>) {
    while instance.borrow().endpoint_address("f").is_none() {
        sleep(Duration::from_millis(10)).await;
    }
}

/// Outage of discovery, and the state of the instance that it meets.
#[derive(Clone, Copy, Debug)]
struct Outage {
    failure: ConnectionFailure,
    must_be_polled: bool,
    /// `true` if no revision is known before.
    needs_complete_list: bool,
    duration: Duration,
    /// Time that a response takes after the outage.
    response_delay: Duration,
}

/// Returns the time from the end of the outage until discovery's list is applied.
fn time_until_applied(seed: u64, outage: Outage) -> Duration {
    let Outage { failure, must_be_polled, needs_complete_list, duration, response_delay } = outage;
    let directory = StateDirectory::new();
    on_one_thread(async {
        tokio::time::pause();
        let outage_end = Instant::now() + duration;
        let address = start_discovery(failure, outage_end, response_delay);
        let instance =
            instance_with(seed, &settings(must_be_polled), &directory, "127.0.0.1:1".parse().unwrap());
        let (_address_sender, address_receiver) = watch_channel::channel(address);
        let watch_state = WatchState::new(Some(6).filter(|_| !needs_complete_list));
        spawn_local(keep_watching(instance.clone(), address_receiver, watch_state, must_be_polled));
        // Applies the rules once, so that the dispatcher requests its first watch.
        instance.borrow_mut().handle_event(|_| ());
        timeout(duration + 10 * MAX_UPDATE_DELAY, until_applied(&instance))
            .await
            .expect("the list is applied in time");
        outage_end.elapsed()
    })
}

/// Checks the time until the list is applied for each kind of failure, and for outages that end at many moments between
/// two failed requests: the waits of a failed request and of the next ones add up.
fn assert_applied_in_time(must_be_polled: bool, response_delay: Duration) {
    for (failure, needs_complete_list) in
        ALL_FAILURES.into_iter().flat_map(|failure| [(failure, false), (failure, true)])
    {
        let outages = (0..24).map(|nth| {
            let duration = Duration::from_millis(8_000 + nth * 233);
            Outage { failure, must_be_polled, needs_complete_list, duration, response_delay }
        });
        let delays =
            outages.enumerate().map(|(seed, outage)| (time_until_applied(seed as u64, outage), outage));
        let (longest, outage) = delays.max_by_key(|(delay, _)| *delay).unwrap();
        println!("applied {longest:?} after {outage:?}");
        assert!(longest < MAX_UPDATE_DELAY, "{longest:?} after {outage:?}");
    }
}

#[test]
fn changes_are_applied_within_six_seconds_after_an_outage_of_discovery_that_pushes() {
    assert_applied_in_time(false, Duration::ZERO);
}

#[test]
fn changes_are_applied_within_six_seconds_after_an_outage_of_discovery_that_is_polled() {
    assert_applied_in_time(true, Duration::ZERO);
}

/// The time limit holds for responses that take up to 0.9 s; the sums are in docs/discovery-timing.md.
#[test]
fn changes_are_applied_within_six_seconds_after_an_outage_of_discovery_that_pushes_slowly() {
    assert_applied_in_time(false, Duration::from_millis(900));
}

/// The time limit holds for responses that take up to 0.4 s; the sums are in docs/discovery-timing.md.
#[test]
fn changes_are_applied_within_six_seconds_after_an_outage_of_discovery_that_is_polled_slowly() {
    assert_applied_in_time(true, Duration::from_millis(400));
}

/// A connection that is established late, by the first retransmission of its SYN, must not prolong its request, since
/// the next request would then be sent too late.
#[test]
fn a_request_has_one_timeout_for_its_connection_and_its_head() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        tokio::time::pause();
        let (address, (socket, queued)) = unconnectable_address();
        let instance = instance_with(7, &settings(false), &directory, "127.0.0.1:1".parse().unwrap());
        let (_address_sender, address_receiver) = watch_channel::channel(address);
        let started = Instant::now();
        spawn_local(keep_watching(instance, address_receiver, WatchState::new(Some(6)), false));
        yield_now().await;
        let late = Duration::from_millis(50);
        advance(RESPONSE_TIMEOUT - late).await;
        socket.set_nonblocking(true).unwrap();
        let listener = std::net::TcpListener::from(socket);
        drop((listener.accept().unwrap(), queued));
        // The virtual clock does not advance while the system retries the connection, since this loop never waits.
        let silent = loop {
            match listener.accept() {
                Ok(accepted) => break accepted,
                Err(_) => yield_now().await,
            }
        };
        let next = TcpListener::from_std(listener).unwrap().accept().await.unwrap();
        let elapsed = started.elapsed();
        assert!((RESPONSE_TIMEOUT..RESPONSE_TIMEOUT + late).contains(&elapsed), "{elapsed:?}");
        drop((silent, next));
    });
}

/// Without a report of the request's end, the dispatcher waits for it and never asks for another request.
#[test]
#[allow(clippy::await_holding_refcell_ref)] // borrowing the instance while the list is applied causes the panic
fn a_panic_in_reading_a_list_is_followed_by_another_request() {
    for must_be_polled in [false, true] {
        let directory = StateDirectory::new();
        on_one_thread(async {
            tokio::time::pause();
            let watched = format!("{CHUNKED}{}", chunk(&format!("{LIST}\n"))).leak().as_bytes();
            let (address, mut requested) = scripted_server(vec![watched; 2]).await;
            let instance =
                instance_with(7, &settings(must_be_polled), &directory, "127.0.0.1:1".parse().unwrap());
            let (_address_sender, address_receiver) = watch_channel::channel(address);
            let (job, watch_state) = (instance.clone(), WatchState::new(Some(6)));
            crate::startup::supervise(move || {
                keep_watching(job.clone(), address_receiver.clone(), watch_state.clone(), must_be_polled)
            });
            // Applies the rules once, so that the dispatcher requests its first watch.
            instance.borrow_mut().handle_event(|_| ());
            requested.recv().await.unwrap();
            let borrowed = instance.borrow_mut(); // applying the list, which has arrived, panics
            sleep(Duration::from_millis(10)).await;
            drop(borrowed);
            let failed = Instant::now();
            assert!(
                instance.borrow().endpoint_address("f").is_none(),
                "the list is not applied before the panic"
            );
            timeout(MAX_UPDATE_DELAY, until_applied(&instance)).await.expect("discovery is polled again");
            assert!(failed.elapsed() < MAX_UPDATE_DELAY);
        });
    }
}

/// A list of 3 MiB takes several seconds over a slow connection. A limit that counts from the request, or a parser that
/// starts anew at each line of indented JSON, would discard the list. Covers a list as a response of its own and within
/// a watch.
#[test]
fn a_long_list_over_a_slow_connection_is_read_to_its_end() {
    let rows = (0..22_000).map(|n| {
        json!({"id": format!("e{n}"), "host_port": "127.0.0.1:1", "cell": 9, "phase": "up", "locality": "a", "flavor": "m2"})
    });
    let last = json!({"id": "f", "host_port": "127.0.0.1:2", "cell": 9, "phase": "up"});
    let list = json!({"revision": 9, "complete": true, "members": rows.chain([last]).collect::<Vec<_>>()});
    let text: &str = serde_json::to_string_pretty(&list).unwrap().leak();
    assert!((3 << 20..MAX_LIST_BYTES).contains(&text.len()), "{}", text.len());
    for needs_complete_list in [false, true] {
        let directory = StateDirectory::new();
        on_one_thread(async {
            tokio::time::pause();
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let instance = instance_with(7, &settings(false), &directory, "127.0.0.1:1".parse().unwrap());
            let (_address_sender, address_receiver) = watch_channel::channel(address);
            spawn_local(keep_watching(
                instance.clone(),
                address_receiver,
                WatchState::new(Some(6).filter(|_| !needs_complete_list)),
                false,
            ));
            let mut stream = ServerConnection::new(listener.accept().await.unwrap().0);
            stream.next().await.unwrap();
            let length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            stream
                .write(if needs_complete_list { length.as_bytes() } else { CHUNKED.as_bytes() })
                .await
                .unwrap();
            for piece in text.as_bytes().chunks(64 << 10) {
                let piece = std::str::from_utf8(piece).unwrap();
                let bytes = if needs_complete_list { piece.to_owned() } else { chunk(piece) };
                stream.write(bytes.as_bytes()).await.unwrap();
                advance(Duration::from_millis(200)).await;
            }
            timeout(RESPONSE_TIMEOUT, until_applied(&instance)).await.expect("the list is read to its end");
        });
    }
}
