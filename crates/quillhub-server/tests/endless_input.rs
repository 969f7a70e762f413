//! Tests of an instance's process whose peers send input without end: it goes on to answer its clients.

use quillhub_fakes::clients::{command, send_command, wait_until_ready};
use quillhub_fakes::process::InstanceProcess;
use quillhub_fakes::scratch::{ScratchDirectory, on_one_thread, unused_address};
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Time limit of a test, far longer than the test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(40);
/// Maximum time to the answer to PING; clients wait less than a second for a reply.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(1);
/// Number of PINGs for each number of streams, each with a message that starts another stream.
const PINGS: usize = 40;
/// Minimum size of one write of a stream.
const WRITE_BYTES: usize = 64 * 1024;

/// Input that a peer sends until its connection is closed.
#[derive(Clone, Copy, Debug)]
struct EndlessInput {
    start: &'static str,
    /// Part that is repeated.
    repeated: &'static str,
    /// Pause after each write, which leaves the socket empty now and then.
    pause: Duration,
}

impl EndlessInput {
    const fn new(start: &'static str, repeated: &'static str) -> Self {
        Self { start, repeated, pause: Duration::ZERO }
    }

    async fn send(self, mut stream: TcpStream) -> io::Result<()> {
        stream.read_buf(&mut Vec::new()).await?;
        stream.write_all(self.start.as_bytes()).await?;
        let piece = self.repeated.repeat(WRITE_BYTES / self.repeated.len() + 1);
        loop {
            stream.write_all(piece.as_bytes()).await?;
            if !self.pause.is_zero() {
                sleep(self.pause).await;
            }
        }
    }
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const RESPONSES: [EndlessInput; 8] = [
    EndlessInput::new("", INTERIM),
    EndlessInput { pause: Duration::from_millis(2), ..EndlessInput::new("", INTERIM) },
    EndlessInput::new(
        "",
        "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\nX-Load: x0=0.5,x1=9\r\n\r\n",
    ),
    EndlessInput::new("HTTP/1.1 200 OK\r\n", "X-A: b\r\n"),
    EndlessInput::new("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "x"),
    EndlessInput::new(CHUNKED, "1\r\nx\r\n"),
    EndlessInput::new("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"),
    EndlessInput::new("", "noise "),
];
/// Input from discovery: heads that do not end, lists that do not end, and watches in which nothing changes.
const DISCOVERY_RESPONSES: [EndlessInput; 4] = [
    EndlessInput::new("", INTERIM),
    EndlessInput::new(CHUNKED, "1\r\n\n\r\n"),
    EndlessInput::new(CHUNKED, "1\r\n[\r\n"),
    EndlessInput::new("HTTP/1.1 200 OK\r\n\r\n", "[[1],"),
];

/// Serves `input` on each connection, on a thread of its own. Returns the address.
fn serve_on_thread(input: EndlessInput) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        on_one_thread(async move {
            let listener = TcpListener::from_std(listener).unwrap();
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(input.send(stream));
            }
        });
    });
    address
}

/// Returns the configuration of an instance that knows `count` endpoints, all at one address.
fn configuration(listen: SocketAddr, discovery: SocketAddr, endpoint: SocketAddr, count: usize) -> Value {
    let member =
        |n| json!({"id": format!("e{n}"), "host_port": endpoint.to_string(), "cell": n + 1, "phase": "up"});
    let members: Vec<_> = (0..count).map(member).collect();
    json!({"listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "7",
        "known": {"revision": 1, "complete": true, "members": members},
        "limits": {"sockets": 256, "disk_mb": 8}, "settings": {"familyInfo": {"maxCalls": 400},
        "limits": {"mostTries": 9, "maxOpen": 100_000},
        "classes": [{"name": "free", "effect": "free", "aimUs": 9_000_000, "giveUpUs": 9_000_000}]}})
}

/// Runs an instance whose `streams` endpoints, or whose discovery, send without end. Returns the longest time to the answer
/// to PING, and the instance's processor time as a share of the time that passed.
async fn longest_answer_time(discovery: SocketAddr, endpoint: SocketAddr, streams: usize) -> (Duration, f64) {
    let (state, files) = (ScratchDirectory::new(), ScratchDirectory::new());
    let (config, log) = (files.0.join("config"), files.0.join("log"));
    let listen = unused_address();
    let configuration = configuration(listen, discovery, endpoint, streams);
    std::fs::write(&config, configuration.to_string()).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_quillhub"));
    let instance = InstanceProcess::start(program, &config, &state.0, &log).unwrap();
    assert!(wait_until_ready(listen, TEST_TIMEOUT).await);
    let (started, usage_before) = (Instant::now(), instance.usage().unwrap());
    let (mut longest, mut client) = (Duration::ZERO, TcpStream::connect(listen).await.unwrap());
    for id in 0..PINGS {
        let (client_id, fields) = (format!("ab{id}"), format!("c=free,d=9000,dest={}", id % streams + 1));
        let submit = command(&["SUBMIT", "0", &client_id, &fields, "body"].map(str::as_bytes));
        for command in [submit, command(&[b"PING"])] {
            let sent = Instant::now();
            let answer = timeout(TEST_TIMEOUT, send_command(&mut client, &command)).await;
            assert!(answer.expect("an answer").is_ok());
            longest = longest.max(sent.elapsed());
        }
        sleep(Duration::from_millis(5)).await;
    }
    let processor_time = instance.usage().unwrap().processor_time - usage_before.processor_time;
    (longest, processor_time.as_secs_f64() / started.elapsed().as_secs_f64())
}

/// Guards against a process that stands still while an endpoint sends without end: it answered no client and made no call
/// for seconds, and accepted messages were lost.
#[test]
fn endpoints_that_send_without_end_hold_up_no_client() {
    on_one_thread(async {
        for input in RESPONSES {
            let endpoint = serve_on_thread(input);
            for streams in [1, 8, 30] {
                let (longest, processor_share) =
                    longest_answer_time(unused_address(), endpoint, streams).await;
                println!("{streams} streams, {input:?}: {longest:?}, {processor_share:.2} of a processor");
                assert!(longest < MAX_ANSWER_TIME, "{longest:?} with {streams} streams of {input:?}");
            }
        }
    });
}

/// Guards against a process that stands still while discovery sends without end.
#[test]
fn a_discovery_that_sends_without_end_holds_up_no_client() {
    on_one_thread(async {
        for input in DISCOVERY_RESPONSES {
            let (longest, processor_share) =
                longest_answer_time(serve_on_thread(input), unused_address(), 1).await;
            println!("discovery, {input:?}: {longest:?}, {processor_share:.2} of a processor");
            assert!(longest < MAX_ANSWER_TIME, "{longest:?} with {input:?}");
        }
    });
}
