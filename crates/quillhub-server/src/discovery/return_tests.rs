//! Discovery that comes back, or is slow: what it has is known in time, whatever became of the requests before. Virtual
//! time, real sockets.

use super::watch::{MAX_LIST_BYTES, PATH, REQUEST_TIMEOUT, SILENCE_TIMEOUT, request};
use super::*;
use crate::connection::ConnectionError;
use crate::test_support::{Folder, answering, configuration, full, instance_with, on_one_thread};
use quillhub_fakes::http::Served;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::net::TcpStream as StdStream;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{advance, sleep, timeout};

/// When a change must be known, from the moment on in which discovery has it and can be reached.
const KNOWN_WITHIN: Duration = Duration::from_secs(6);
const LIST: &str = r#"{"revision":9,"complete":true,"members":[{"id":"f","host_port":"127.0.0.1:2","cell":9,"phase":"up"}]}"#;
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// What becomes of a connection to discovery that is out of reach. None of them recovers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    Refused,
    NeverConnected,
    Closed,
    Silent,
    HalfHead,
    /// The head comes just before the request times out, and nothing after it.
    LateHead,
    HalfList,
}

const ALL: [Loss; 7] = [
    Loss::Refused,
    Loss::NeverConnected,
    Loss::Closed,
    Loss::Silent,
    Loss::HalfHead,
    Loss::LateHead,
    Loss::HalfList,
];

async fn lose(loss: Loss, stream: TcpStream) -> std::io::Result<()> {
    let mut stream = Served::new(stream);
    let Some(requested) = stream.next().await? else { return Ok(()) };
    let is_watch = requested.path.contains("watch");
    let length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", LIST.len());
    let head = if is_watch { CHUNKED } else { &length };
    match loss {
        Loss::Refused | Loss::NeverConnected | Loss::Closed => return Ok(()),
        Loss::Silent => {}
        Loss::HalfHead => stream.write(b"HTTP/1.1 200 OK\r\nTransf").await?,
        Loss::LateHead => {
            sleep(REQUEST_TIMEOUT - Duration::from_millis(50)).await;
            stream.write(head.as_bytes()).await?;
        }
        Loss::HalfList => {
            let half = &LIST[..LIST.len() / 2];
            let body = if is_watch { chunk(half) } else { half.to_owned() };
            stream.write(format!("{head}{body}").as_bytes()).await?;
        }
    }
    std::future::pending().await
}

async fn answer(stream: TcpStream) -> std::io::Result<()> {
    let mut stream = Served::new(stream);
    while let Some(requested) = stream.next().await? {
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

/// Discovery out of reach in this way until `back`.
fn discovery(loss: Loss, back: Instant) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    let at = socket.local_addr().unwrap().as_socket().unwrap();
    let mut queued = None;
    match loss {
        Loss::Refused => {}
        Loss::NeverConnected => {
            socket.listen(0).unwrap();
            queued = Some(StdStream::connect(at).unwrap());
        }
        _ => socket.listen(64).unwrap(),
    }
    spawn_local(async move {
        if matches!(loss, Loss::Refused | Loss::NeverConnected) {
            sleep_until(back).await;
            socket.listen(64).unwrap();
        }
        socket.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(socket.into()).unwrap();
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            drop(queued.take());
            let loss = Some(loss).filter(|_| Instant::now() < back);
            spawn_local(async move {
                let _ = match loss {
                    Some(loss) => lose(loss, stream).await,
                    None => answer(stream).await,
                };
            });
        }
    });
    at
}

fn settings(must_be_polled: bool) -> Value {
    let mut settings = configuration()["settings"].clone();
    settings["membershipMode"] = json!(if must_be_polled { "subscribe" } else { "automatic" });
    settings["rules"] = json!({"askEveryUs": 10_000_000});
    settings
}

async fn known(instance: &RefCell<Instance>) {
    while instance.borrow().endpoint_address("f").is_none() {
        sleep(Duration::from_millis(10)).await;
    }
}

/// How long after its return what discovery has is known.
fn known_after(seed: u64, loss: Loss, must_be_polled: bool, complete: bool, down: Duration) -> Duration {
    let folder = Folder::new();
    on_one_thread(async {
        tokio::time::pause();
        let back = Instant::now() + down;
        let at = discovery(loss, back);
        let instance =
            instance_with(seed, &settings(must_be_polled), &folder, "127.0.0.1:1".parse().unwrap());
        let (_at, seen) = watch_channel::channel(at);
        let progress = Progress::new(Some(6).filter(|_| !complete));
        spawn_local(follow(instance.clone(), seen, progress, must_be_polled));
        instance.borrow_mut().handle_event(|_| ());
        timeout(down + 10 * KNOWN_WITHIN, known(&instance)).await.expect("it is never known");
        back.elapsed()
    })
}

/// The sum of all waits, for each kind of loss and each moment of the return against that of the last lost request.
fn assert_known_in_time(must_be_polled: bool) {
    for (loss, complete) in ALL.into_iter().flat_map(|loss| [(loss, false), (loss, true)]) {
        let downs = (0..24).map(|nth| Duration::from_millis(8_000 + nth * 233));
        let delays = downs.enumerate().map(|(seed, down)| {
            let after = known_after(seed as u64, loss, must_be_polled, complete, down);
            (after, down)
        });
        let (longest, down) = delays.max().unwrap();
        println!("{loss:?}, complete list {complete}: known {longest:?} after the return at {down:?}");
        assert!(longest < KNOWN_WITHIN, "{loss:?}, complete list {complete}: {longest:?}, down for {down:?}");
    }
}

#[test]
fn changes_at_the_return_of_discovery_that_pushes_are_known_within_six_seconds() {
    assert_known_in_time(false);
}

#[test]
fn changes_at_the_return_of_discovery_that_is_polled_are_known_within_six_seconds() {
    assert_known_in_time(true);
}

/// A connection that comes up late, with the system's second try, leaves its request no more time than any other.
#[test]
fn a_request_has_one_timeout_for_its_connection_and_its_head() {
    on_one_thread(async {
        tokio::time::pause();
        let (at, (socket, queued)) = full();
        let began = Instant::now();
        let response = spawn_local(request(at, PATH));
        yield_now().await;
        let late = Duration::from_millis(50);
        advance(REQUEST_TIMEOUT - late).await;
        socket.set_nonblocking(true).unwrap();
        let listener = std::net::TcpListener::from(socket);
        drop((listener.accept().unwrap(), queued));
        // The clock stands while the system tries again: there is always something to do.
        let silent = loop {
            match listener.accept() {
                Ok(accepted) => break accepted,
                Err(_) => yield_now().await,
            }
        };
        assert!(matches!(response.await.unwrap(), Err(ConnectionError::Ended)));
        assert!(
            (REQUEST_TIMEOUT..REQUEST_TIMEOUT + late).contains(&began.elapsed()),
            "{:?}",
            began.elapsed()
        );
        drop(silent);
    });
}

/// A panic in the midst of a list: it counts as the request's end, and discovery is polled again.
#[test]
#[allow(clippy::await_holding_refcell_ref)] // that the instance is borrowed while the list is read is what panics
fn a_panic_in_reading_a_list_is_followed_by_another_request() {
    for must_be_polled in [false, true] {
        let folder = Folder::new();
        on_one_thread(async {
            tokio::time::pause();
            let watched = format!("{CHUNKED}{}", chunk(&format!("{LIST}\n"))).leak().as_bytes();
            let (at, mut requested) = answering(vec![watched; 2]).await;
            let instance =
                instance_with(7, &settings(must_be_polled), &folder, "127.0.0.1:1".parse().unwrap());
            let (_at, seen) = watch_channel::channel(at);
            let (job, progress) = (instance.clone(), Progress::new(Some(6)));
            crate::startup::supervise(move || {
                follow(job.clone(), seen.clone(), progress.clone(), must_be_polled)
            });
            instance.borrow_mut().handle_event(|_| ());
            requested.recv().await.unwrap();
            let borrowed = instance.borrow_mut(); // so that the list, which has arrived, cannot be applied
            sleep(Duration::from_millis(10)).await;
            drop(borrowed);
            let failed = Instant::now();
            assert!(instance.borrow().endpoint_address("f").is_none(), "it panicked before");
            timeout(KNOWN_WITHIN, known(&instance)).await.expect("it is not polled again");
            assert!(failed.elapsed() < KNOWN_WITHIN);
        });
    }
}

/// A list of 3 MiB over some seconds, complete at once or as a watch's line, indented: it is read as long as it comes.
#[test]
fn a_long_list_over_a_slow_connection_is_read_to_its_end() {
    let rows = (0..22_000).map(|n| {
        json!({"id": format!("e{n}"), "host_port": "127.0.0.1:1", "cell": 9, "phase": "up", "locality": "a", "flavor": "m2"})
    });
    let last = json!({"id": "f", "host_port": "127.0.0.1:2", "cell": 9, "phase": "up"});
    let list = json!({"revision": 9, "complete": true, "members": rows.chain([last]).collect::<Vec<_>>()});
    let text: &str = serde_json::to_string_pretty(&list).unwrap().leak();
    assert!((3 << 20..MAX_LIST_BYTES).contains(&text.len()), "{}", text.len());
    for complete in [false, true] {
        let folder = Folder::new();
        on_one_thread(async {
            tokio::time::pause();
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let at = listener.local_addr().unwrap();
            let instance = instance_with(7, &settings(false), &folder, "127.0.0.1:1".parse().unwrap());
            let (_at, seen) = watch_channel::channel(at);
            spawn_local(follow(instance.clone(), seen, Progress::new(Some(6).filter(|_| !complete)), false));
            let mut stream = Served::new(listener.accept().await.unwrap().0);
            stream.next().await.unwrap();
            let length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            stream.write(if complete { length.as_bytes() } else { CHUNKED.as_bytes() }).await.unwrap();
            for piece in text.as_bytes().chunks(64 << 10) {
                let piece = std::str::from_utf8(piece).unwrap();
                let octets = if complete { piece.to_owned() } else { chunk(piece) };
                stream.write(octets.as_bytes()).await.unwrap();
                advance(Duration::from_millis(200)).await;
            }
            timeout(SILENCE_TIMEOUT, known(&instance)).await.expect("it is given up in the midst of it");
        });
    }
}
