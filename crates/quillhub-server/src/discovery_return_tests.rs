//! Discovery that comes back, or is slow: what it has is known in time, whatever became of the calls before. Virtual
//! time, real sockets.

use super::*;
use crate::test_support::{Folder, answering, configuration, full, instance_with, on_one_thread};
use quillhub_fakes::http::Served;
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::net::TcpStream as StdStream;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{advance, sleep};

/// When a change counts as told, from the moment on in which discovery has it and can be reached.
const COUNTS_AS_TOLD: Duration = Duration::from_secs(6);
const LIST: &str = r#"{"revision":9,"complete":true,"members":[{"id":"f","host_port":"127.0.0.1:2","cell":9,"phase":"up"}]}"#;
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// What becomes of a connection to discovery that is out of reach. None of them recovers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Lost {
    Refused,
    NeverUp,
    Closed,
    Silent,
    HalfHead,
    /// The head comes just before the call is given up, and nothing after it.
    LateHead,
    HalfList,
}

const ALL: [Lost; 7] = [
    Lost::Refused,
    Lost::NeverUp,
    Lost::Closed,
    Lost::Silent,
    Lost::HalfHead,
    Lost::LateHead,
    Lost::HalfList,
];

async fn lose(lost: Lost, stream: TcpStream) -> std::io::Result<()> {
    let mut stream = Served::new(stream);
    let Some(asked) = stream.next().await? else { return Ok(()) };
    let is_watch = asked.path.contains("watch");
    let length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", LIST.len());
    let head = if is_watch { CHUNKED } else { &length };
    match lost {
        Lost::Refused | Lost::NeverUp | Lost::Closed => return Ok(()),
        Lost::Silent => {}
        Lost::HalfHead => stream.write(b"HTTP/1.1 200 OK\r\nTransf").await?,
        Lost::LateHead => {
            sleep(CALL - Duration::from_millis(50)).await;
            stream.write(head.as_bytes()).await?;
        }
        Lost::HalfList => {
            let half = &LIST[..LIST.len() / 2];
            let body = if is_watch { chunk(half) } else { half.to_owned() };
            stream.write(format!("{head}{body}").as_bytes()).await?;
        }
    }
    std::future::pending().await
}

async fn answer(stream: TcpStream) -> std::io::Result<()> {
    let mut stream = Served::new(stream);
    while let Some(asked) = stream.next().await? {
        if !asked.path.contains("watch") {
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
fn discovery(lost: Lost, back: Instant) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    let at = socket.local_addr().unwrap().as_socket().unwrap();
    let mut queued = None;
    match lost {
        Lost::Refused => {}
        Lost::NeverUp => {
            socket.listen(0).unwrap();
            queued = Some(StdStream::connect(at).unwrap());
        }
        _ => socket.listen(64).unwrap(),
    }
    spawn_local(async move {
        if matches!(lost, Lost::Refused | Lost::NeverUp) {
            sleep_until(back).await;
            socket.listen(64).unwrap();
        }
        socket.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(socket.into()).unwrap();
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            drop(queued.take());
            let lost = Some(lost).filter(|_| Instant::now() < back);
            spawn_local(async move {
                let _ = match lost {
                    Some(lost) => lose(lost, stream).await,
                    None => answer(stream).await,
                };
            });
        }
    });
    at
}

fn settings(must_be_asked: bool) -> Value {
    let mut settings = configuration()["settings"].clone();
    settings["membershipMode"] = json!(if must_be_asked { "subscribe" } else { "automatic" });
    settings["rules"] = json!({"askEveryUs": 10_000_000});
    settings
}

async fn known(host: &RefCell<Instance>) {
    while host.borrow().endpoint_address("f").is_none() {
        sleep(Duration::from_millis(10)).await;
    }
}

/// How long after its return what discovery has is known.
fn told_after(seed: u64, lost: Lost, must_be_asked: bool, whole: bool, down: Duration) -> Duration {
    let folder = Folder::new();
    on_one_thread(async {
        tokio::time::pause();
        let back = Instant::now() + down;
        let at = discovery(lost, back);
        let host = instance_with(seed, &settings(must_be_asked), &folder, "127.0.0.1:1".parse().unwrap());
        let (_at, seen) = watch::channel(at);
        let progress = Progress::new(Some(6).filter(|_| !whole));
        spawn_local(follow(host.clone(), seen, progress, must_be_asked));
        host.borrow_mut().handle_event(|_| ());
        timeout(down + 10 * COUNTS_AS_TOLD, known(&host)).await.expect("it is never known");
        back.elapsed()
    })
}

/// The sum of all waits, for each kind of loss and each moment of the return against that of the last lost call.
fn longest_until_told(must_be_asked: bool) {
    for (lost, whole) in ALL.into_iter().flat_map(|lost| [(lost, false), (lost, true)]) {
        let downs = (0..24).map(|nth| Duration::from_millis(8_000 + nth * 233));
        let told = downs.enumerate().map(|(seed, down)| {
            let after = told_after(seed as u64, lost, must_be_asked, whole, down);
            (after, down)
        });
        let (longest, down) = told.max().unwrap();
        println!("{lost:?}, whole list {whole}: known {longest:?} after the return at {down:?}");
        assert!(longest < COUNTS_AS_TOLD, "{lost:?}, whole list {whole}: {longest:?}, down for {down:?}");
    }
}

#[test]
fn what_discovery_that_tells_unasked_has_at_its_return_is_known_within_six_seconds() {
    longest_until_told(false);
}

#[test]
fn what_discovery_that_must_be_asked_has_at_its_return_is_known_within_six_seconds() {
    longest_until_told(true);
}

/// A connection that comes up late, with the system's second try, leaves its call no more time than any other.
#[test]
fn a_call_has_one_bound_for_its_connection_and_its_head() {
    on_one_thread(async {
        tokio::time::pause();
        let (at, (socket, queued)) = full();
        let began = Instant::now();
        let call = spawn_local(ask(at, PATH));
        yield_now().await;
        let late = Duration::from_millis(50);
        advance(CALL - late).await;
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
        assert!(matches!(call.await.unwrap(), Err(Broken::Ended)));
        assert!((CALL..CALL + late).contains(&began.elapsed()), "{:?}", began.elapsed());
        drop(silent);
    });
}

/// A panic in the midst of a list: it is taken for the call's end, and discovery asked again.
#[test]
#[allow(clippy::await_holding_refcell_ref)] // that the host is held while the list is read is what panics
fn a_panic_in_reading_a_list_is_followed_by_another_call() {
    for must_be_asked in [false, true] {
        let folder = Folder::new();
        on_one_thread(async {
            tokio::time::pause();
            let watched = format!("{CHUNKED}{}", chunk(&format!("{LIST}\n"))).leak().as_bytes();
            let (at, mut asked) = answering(vec![watched; 2]).await;
            let host = instance_with(7, &settings(must_be_asked), &folder, "127.0.0.1:1".parse().unwrap());
            let (_at, seen) = watch::channel(at);
            let (job, progress) = (host.clone(), Progress::new(Some(6)));
            crate::startup::supervise(move || {
                follow(job.clone(), seen.clone(), progress.clone(), must_be_asked)
            });
            host.borrow_mut().handle_event(|_| ());
            asked.recv().await.unwrap();
            let held = host.borrow_mut(); // so that the list, which has come, cannot be told
            sleep(Duration::from_millis(10)).await;
            drop(held);
            let failed = Instant::now();
            assert!(host.borrow().endpoint_address("f").is_none(), "it panicked before");
            timeout(COUNTS_AS_TOLD, known(&host)).await.expect("it is not asked again");
            assert!(failed.elapsed() < COUNTS_AS_TOLD);
        });
    }
}

/// A list of 3 MiB over some seconds, whole at once or as a watch's line, indented: it is read as long as it comes.
#[test]
fn a_long_list_over_a_slow_connection_is_read_to_its_end() {
    let rows = (0..22_000).map(|n| {
        json!({"id": format!("e{n}"), "host_port": "127.0.0.1:1", "cell": 9, "phase": "up", "locality": "a", "flavor": "m2"})
    });
    let last = json!({"id": "f", "host_port": "127.0.0.1:2", "cell": 9, "phase": "up"});
    let list = json!({"revision": 9, "complete": true, "members": rows.chain([last]).collect::<Vec<_>>()});
    let text: &str = serde_json::to_string_pretty(&list).unwrap().leak();
    assert!((3 << 20..MOST_LINE).contains(&text.len()), "{}", text.len());
    for whole in [false, true] {
        let folder = Folder::new();
        on_one_thread(async {
            tokio::time::pause();
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let at = listener.local_addr().unwrap();
            let host = instance_with(7, &settings(false), &folder, "127.0.0.1:1".parse().unwrap());
            let (_at, seen) = watch::channel(at);
            spawn_local(follow(host.clone(), seen, Progress::new(Some(6).filter(|_| !whole)), false));
            let mut stream = Served::new(listener.accept().await.unwrap().0);
            stream.next().await.unwrap();
            let length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            stream.write(if whole { length.as_bytes() } else { CHUNKED.as_bytes() }).await.unwrap();
            for piece in text.as_bytes().chunks(64 << 10) {
                let piece = std::str::from_utf8(piece).unwrap();
                let octets = if whole { piece.to_owned() } else { chunk(piece) };
                stream.write(octets.as_bytes()).await.unwrap();
                advance(Duration::from_millis(200)).await;
            }
            timeout(SILENCE, known(&host)).await.expect("it is given up in the midst of it");
        });
    }
}

/// A stream's values are looked for at their ends only, wherever they are cut.
#[test]
fn each_byte_of_a_list_over_many_lines_is_read_once() {
    let text = r#"
{ "revision": 9, "a": "}\n\"{[",
  "members": [
    {"id": "f\\"},
    {}
  ]
}"#;
    for cut in 1..text.len() {
        let (begin, end) = text.as_bytes().split_at(cut);
        let mut ends = ValueEnds::default();
        assert_eq!(ends.within(begin), cut >= 1, "the first line is empty: {cut}");
        assert!(ends.within(end) && !ends.within(b" "), "{cut}");
    }
    let mut ends = ValueEnds::default();
    let found = text.trim_start().bytes().filter(|octet| ends.within(&[*octet])).count();
    assert_eq!((found, ends.within(b"noise"), ends.within(b"\n")), (1, false, true));
}
