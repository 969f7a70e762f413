//! Pins the octets of the requests that an instance sends to endpoints, to discovery and to the platform.

mod instance;

use instance::{Instance, LONG, classes, configuration, first_state_directory, members};
use quillhub_fakes::clients::{ask, command};
use quillhub_fakes::scratch::{Folder, on_one_thread};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::timeout;

const DELIVERED: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const CONFIRMED: &str = "HTTP/1.1 204 -\r\nConnection: close\r\n\r\n";
const WATCHED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
const LIST: &str = "{\"revision\":41,\"complete\":true,\"members\":[]}";

/// Whether a request is there with its body; the last octet of one may come late, within a character.
fn is_whole(request: &[u8]) -> bool {
    let Some(end) = request.windows(4).position(|octets| octets == b"\r\n\r\n") else { return false };
    let head = std::str::from_utf8(&request[..end]).unwrap();
    let length = head.split_once("\r\nContent-Length: ").map(|(_, rest)| rest.lines().next().unwrap());
    request.len() >= end + 4 + length.map_or(0, |length| length.parse().unwrap())
}

/// Reads one request, tells of it, answers it by its path, and keeps the connection until the other side closes.
async fn serve(mut stream: TcpStream, seen: UnboundedSender<String>) {
    let mut request = Vec::new();
    while !is_whole(&request) {
        if stream.read_buf(&mut request).await.unwrap_or(0) == 0 {
            return;
        }
    }
    let request = String::from_utf8(request).unwrap();
    let answer = match request.split(' ').nth(1) {
        Some("/events") => DELIVERED.to_owned(),
        Some("/v2/finals") => CONFIRMED.to_owned(),
        Some("/registry/instances") => {
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}", LIST.len())
        }
        _ => WATCHED.to_owned(),
    };
    let _ = seen.send(request);
    let _ = stream.write_all(answer.as_bytes()).await;
    let _ = stream.read(&mut [0]).await;
}

/// A server that takes one request a connection, and the requests as they come.
async fn recording() -> (SocketAddr, UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (at, (seen, requests)) = (listener.local_addr().unwrap(), unbounded_channel());
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream, seen.clone()));
        }
    });
    (at, requests)
}

/// The first request that begins with `start`, with the port of its host, which the system picks, taken out.
async fn next(requests: &mut UnboundedReceiver<String>, start: &str, at: SocketAddr) -> String {
    loop {
        let request = requests.recv().await.unwrap();
        if request.starts_with(start) {
            return request.replacen(&format!("Host: {at}\r\n"), "Host: 127.0.0.1:PORT\r\n", 1);
        }
    }
}

/// Takes the time that an attempt has left, which no two runs have in common, out of its request: seconds with three
/// digits after the point, no more than a minute.
fn without_deadline(request: &str) -> String {
    let (before, rest) = request.split_once("X-Deadline: ").unwrap();
    let (deadline, after) = rest.split_once("\r\n").unwrap();
    let (seconds, milliseconds) = deadline.split_once('.').unwrap();
    let digits = |text: &str| text.bytes().all(|octet| octet.is_ascii_digit());
    assert!(digits(seconds) && digits(milliseconds) && milliseconds.len() == 3, "{deadline}");
    let left: f64 = deadline.parse().unwrap();
    assert!(left > 0.0 && left <= 60.0 && !(seconds.len() > 1 && seconds.starts_with('0')), "{deadline}");
    format!("{before}X-Deadline: SECONDS\r\n{after}")
}

#[test]
fn an_attempt_is_requested_of_an_endpoint_in_these_octets() {
    let state = Folder::new();
    let whole = async {
        let (at, mut requests) = recording().await;
        let mut configuration = configuration("127.0.0.1:1".parse().unwrap(), 9, &classes());
        configuration["known"] = members(&[at]);
        let instance = Instance::start(configuration, &state.0).await;
        let mut client = TcpStream::connect(instance.listen).await.unwrap();
        for (id, list, key) in [
            ("ab1", "c=keyed,d=60000,k=5c,dest=9", "Idempotency-Key: 5c\r\n"),
            ("ab2", "c=once,d=60000,dest=9", ""),
        ] {
            let submit = command(&["SUBMIT", "1f", id, list, "\0\r\n\u{e9}"].map(str::as_bytes));
            assert_eq!(ask(&mut client, &submit).await.unwrap(), "+OK");
            let request = next(&mut requests, "POST /events ", at).await;
            let expected = format!(
                "POST /events HTTP/1.1\r\nHost: 127.0.0.1:PORT\r\nX-Request-Id: {id}\r\n{key}\
                X-Deadline: SECONDS\r\nContent-Length: 5\r\n\r\n\0\r\n\u{e9}"
            );
            assert_eq!(without_deadline(&request), expected);
        }
    };
    on_one_thread(async { timeout(LONG, whole).await.expect("each message is sent") });
}

#[test]
fn the_list_and_the_watch_are_requested_of_discovery_in_these_octets() {
    let state = Folder::new();
    let whole = async {
        let (at, mut requests) = recording().await;
        let _instance = Instance::start(configuration(at, 9, &classes()), &state.0).await;
        assert_eq!(
            next(&mut requests, "", at).await,
            "GET /registry/instances HTTP/1.1\r\nHost: 127.0.0.1:PORT\r\n\r\n"
        );
        assert_eq!(
            next(&mut requests, "", at).await,
            "GET /registry/instances?watch=1&after=41 HTTP/1.1\r\nHost: 127.0.0.1:PORT\r\n\r\n"
        );
    };
    on_one_thread(async { timeout(LONG, whole).await.expect("discovery is asked") });
}

#[test]
fn final_outcomes_are_told_to_the_platform_in_these_octets() {
    let state = first_state_directory();
    let whole = async {
        let (at, mut requests) = recording().await;
        let _instance = Instance::start(configuration(at, 100, &classes()), &state.0).await;
        let lines = "{\"ref\":\"denied-with-wait\",\"result\":\"bounced\",\"wait_ms\":1500}\n\
            {\"ref\":\"denied\",\"result\":\"bounced\"}\n\
            {\"ref\":\"dead\",\"result\":\"dead\"}\n\
            {\"ref\":\"once-that-may-have-run\",\"result\":\"dead\"}\n\
            {\"ref\":\"key-forgotten\",\"result\":\"bounced\"}\n\
            {\"ref\":\"once-of-two-attempts\",\"result\":\"dead\"}\n\
            {\"ref\":\"of-unknown-class\",\"result\":\"dead\"}\n";
        let expected = format!(
            "POST /v2/finals HTTP/1.1\r\nHost: 127.0.0.1:PORT\r\nContent-Type: application/x-ndjson\r\n\
            Content-Length: {}\r\n\r\n{lines}",
            lines.len()
        );
        assert_eq!(next(&mut requests, "POST /v2/finals ", at).await, expected);
    };
    on_one_thread(async { timeout(LONG, whole).await.expect("the platform is told") });
}
