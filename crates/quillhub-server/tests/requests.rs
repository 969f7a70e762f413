//! Tests that an instance sends exactly these bytes as requests to endpoints, to discovery and to the platform, which
//! other implementations parse.

mod instance;

use instance::{Instance, TEST_TIMEOUT, classes, configuration, endpoint_list, version_1_state_directory};
use quillhub_fakes::clients::{command, send_command};
use quillhub_fakes::scratch::{ScratchDirectory, on_one_thread};
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

/// Returns `true` if `request` is complete with its body. The last byte of a request is sent late, and may be part of a
/// character.
fn is_complete(request: &[u8]) -> bool {
    let Some(end) = request.windows(4).position(|bytes| bytes == b"\r\n\r\n") else { return false };
    let head = std::str::from_utf8(&request[..end]).unwrap();
    let length = head.split_once("\r\nContent-Length: ").map(|(_, rest)| rest.lines().next().unwrap());
    request.len() >= end + 4 + length.map_or(0, |length| length.parse().unwrap())
}

/// Reads one request, passes it to `requests`, responds by its path, and keeps the connection open until the client
/// closes it.
async fn serve(mut stream: TcpStream, requests: UnboundedSender<String>) {
    let mut request = Vec::new();
    while !is_complete(&request) {
        if stream.read_buf(&mut request).await.unwrap_or(0) == 0 {
            return;
        }
    }
    let request = String::from_utf8(request).unwrap();
    let response = match request.split(' ').nth(1) {
        Some("/events") => DELIVERED.to_owned(),
        Some("/v2/finals") => CONFIRMED.to_owned(),
        Some("/registry/instances") => {
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}", LIST.len())
        }
        _ => WATCHED.to_owned(),
    };
    let _ = requests.send(request);
    let _ = stream.write_all(response.as_bytes()).await;
    let _ = stream.read(&mut [0]).await;
}

/// Starts a server that reads one request per connection; returns its address and a receiver of the requests.
async fn recording_server() -> (SocketAddr, UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, (sender, requests)) = (listener.local_addr().unwrap(), unbounded_channel());
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream, sender.clone()));
        }
    });
    (address, requests)
}

/// Returns the next request that starts with `prefix`, with `PORT` for the port of `address`, which the system assigns.
async fn next_request(requests: &mut UnboundedReceiver<String>, prefix: &str, address: SocketAddr) -> String {
    loop {
        let request = requests.recv().await.unwrap();
        if request.starts_with(prefix) {
            return request.replacen(&format!("Host: {address}\r\n"), "Host: 127.0.0.1:PORT\r\n", 1);
        }
    }
}

/// Replaces the time left in the deadline header, which differs in each run, after checking its format: seconds with
/// three decimal places, without leading zeros, up to a minute.
fn without_deadline(request: &str) -> String {
    let (before, rest) = request.split_once("X-Deadline: ").unwrap();
    let (deadline, after) = rest.split_once("\r\n").unwrap();
    let (seconds, milliseconds) = deadline.split_once('.').unwrap();
    let digits = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
    assert!(digits(seconds) && digits(milliseconds) && milliseconds.len() == 3, "{deadline}");
    let time_left: f64 = deadline.parse().unwrap();
    assert!(
        time_left > 0.0 && time_left <= 60.0 && !(seconds.len() > 1 && seconds.starts_with('0')),
        "{deadline}"
    );
    format!("{before}X-Deadline: SECONDS\r\n{after}")
}

#[test]
fn a_delivery_request_has_exactly_these_bytes() {
    let state = ScratchDirectory::new();
    let test = async {
        let (address, mut requests) = recording_server().await;
        let mut configuration = configuration("127.0.0.1:1".parse().unwrap(), 9, &classes());
        configuration["known"] = endpoint_list(&[address]);
        let instance = Instance::start(configuration, &state.0).await;
        let mut client = TcpStream::connect(instance.listen).await.unwrap();
        for (id, list, key_header) in [
            ("ab1", "c=keyed,d=60000,k=5c,dest=9", "Idempotency-Key: 5c\r\n"),
            ("ab2", "c=once,d=60000,dest=9", ""),
        ] {
            let submit = command(&["SUBMIT", "1f", id, list, "\0\r\n\u{e9}"].map(str::as_bytes));
            assert_eq!(send_command(&mut client, &submit).await.unwrap(), "+OK");
            let request = next_request(&mut requests, "POST /events ", address).await;
            let expected = format!(
                "POST /events HTTP/1.1\r\nHost: 127.0.0.1:PORT\r\nX-Request-Id: {id}\r\n{key_header}\
                X-Deadline: SECONDS\r\nContent-Length: 5\r\n\r\n\0\r\n\u{e9}"
            );
            assert_eq!(without_deadline(&request), expected);
        }
    };
    on_one_thread(async { timeout(TEST_TIMEOUT, test).await.expect("each message is sent in time") });
}

#[test]
fn requests_to_discovery_for_the_list_and_the_watch_have_exactly_these_bytes() {
    let state = ScratchDirectory::new();
    let test = async {
        let (address, mut requests) = recording_server().await;
        let _instance = Instance::start(configuration(address, 9, &classes()), &state.0).await;
        assert_eq!(
            next_request(&mut requests, "", address).await,
            "GET /registry/instances HTTP/1.1\r\nHost: 127.0.0.1:PORT\r\n\r\n"
        );
        assert_eq!(
            next_request(&mut requests, "", address).await,
            "GET /registry/instances?watch=1&after=41 HTTP/1.1\r\nHost: 127.0.0.1:PORT\r\n\r\n"
        );
    };
    on_one_thread(async {
        timeout(TEST_TIMEOUT, test).await.expect("both requests to discovery are sent in time")
    });
}

#[test]
fn a_request_with_final_outcomes_to_the_platform_has_exactly_these_bytes() {
    let state = version_1_state_directory();
    let test = async {
        let (address, mut requests) = recording_server().await;
        let _instance = Instance::start(configuration(address, 100, &classes()), &state.0).await;
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
        assert_eq!(next_request(&mut requests, "POST /v2/finals ", address).await, expected);
    };
    on_one_thread(async { timeout(TEST_TIMEOUT, test).await.expect("the final outcomes are sent in time") });
}
