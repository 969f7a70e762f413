//! Pins the octets of each reply that a client can get, over a connection to an instance.

mod instance;

use instance::{Instance, LONG, classes, configuration, members};
use quillhub_fakes::clients::command;
use quillhub_fakes::scratch::{Folder, on_one_thread};
use std::net::SocketAddr;
use std::path::Path;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
const PONG: &[u8] = b"+PONG\r\n";
/// Messages that an instance of these tests holds before it is full; one place is kept free.
const HELD: usize = 8;

fn submit(request: &str, list: &str) -> Vec<u8> {
    command(&["SUBMIT", "0", request, list, "body"].map(str::as_bytes))
}

/// An instance whose only endpoint is at `endpoint`; discovery is out of reach.
async fn instance_before(endpoint: SocketAddr, state: &Path) -> Instance {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    let mut configuration = configuration(nowhere, HELD as u64 + 1, &classes());
    configuration["known"] = members(&[endpoint]);
    Instance::start(configuration, state).await
}

/// An endpoint that takes connections and never answers, as long as it is kept.
async fn silent() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    (listener.local_addr().unwrap(), listener)
}

/// Runs `test` with an instance whose endpoint never answers.
fn with_instance(test: impl AsyncFnOnce(SocketAddr, &Path)) {
    let state = Folder::new();
    let whole = async {
        let (at, _endpoint) = silent().await;
        let instance = instance_before(at, &state.0).await;
        test(instance.listen, &state.0).await;
    };
    on_one_thread(async { timeout(LONG, whole).await.expect("each command is answered") });
}

/// Writes `input`, and reads as many octets as are expected.
async fn expect(client: &mut TcpStream, input: &[u8], expected: &[u8]) {
    client.write_all(input).await.unwrap();
    let mut reply = vec![0; expected.len()];
    client.read_exact(&mut reply).await.unwrap();
    assert_eq!(reply.escape_ascii().to_string(), expected.escape_ascii().to_string());
}

/// On a connection of its own `input` is answered with `expected` and nothing else, and the connection stays.
async fn answers(at: SocketAddr, input: &[u8], expected: &[u8]) {
    let mut client = TcpStream::connect(at).await.unwrap();
    expect(&mut client, input, expected).await;
    expect(&mut client, PING, PONG).await;
}

/// On a connection of its own `input` is answered with `expected`, and the connection closes.
async fn closes(at: SocketAddr, input: &[u8], expected: &[u8]) {
    let mut client = TcpStream::connect(at).await.unwrap();
    client.write_all(input).await.unwrap();
    let mut reply = Vec::new();
    client.read_to_end(&mut reply).await.unwrap();
    assert_eq!(reply.escape_ascii().to_string(), expected.escape_ascii().to_string());
}

#[test]
fn commands_that_are_obeyed_are_answered_in_these_octets() {
    with_instance(async |at, _| {
        answers(at, PING, b"+PONG\r\n").await;
        answers(at, b"*1\r\n$4\r\npInG\r\n", b"+PONG\r\n").await;
        answers(at, b"*2\r\n$4\r\nPING\r\n$5\r\na\0\r\n\xff\r\n", b"$5\r\na\0\r\n\xff\r\n").await;
        answers(at, b"*0\r\n", b"").await;
        answers(at, &submit("ab1", "c=once,d=60000,dest=9"), b"+OK\r\n").await;
        answers(at, &submit("ab2", "c=keyed,d=60000,k=5c,dest=9"), b"+OK\r\n").await;
    });
}

#[test]
fn errors_that_leave_the_connection_open_are_told_in_these_octets() {
    with_instance(async |at, _| {
        let unknown = b"-ERR unknown command\r\n";
        answers(at, b"*1\r\n$4\r\nECHO\r\n", unknown).await;
        answers(at, b"*3\r\n$4\r\nPING\r\n$1\r\na\r\n$1\r\nb\r\n", unknown).await;
        answers(at, &submit("ab1", "c=once,d=60000,dest=9"), b"+OK\r\n").await;
        let again = submit("ab1", "c=once,d=60000,dest=9");
        answers(at, &again, b"-ERR the id is held already\r\n").await;
        let elsewhere = submit("ab2", "c=once,d=60000,dest=10");
        answers(at, &elsewhere, b"-ERR unknown destination\r\n").await;
        let unheard = submit("ab2", "c=unheard,d=60000,dest=9");
        answers(at, &unheard, b"-ERR unknown grade\r\n").await;
    });
}

#[test]
fn errors_that_close_the_connection_are_told_in_these_octets() {
    with_instance(async |at, _| {
        let parts = b"-ERR SUBMIT takes a key, an id, a list and a body\r\n";
        closes(at, &command(&[b"SUBMIT"]), parts).await;
        closes(at, &command(&[b"SUBMIT", b"0", b"ab", b"c=once"]), parts).await;
        closes(at, &command(&[b"SUBMIT", b"0", b"ab", b"c=once", b"body", b"more"]), parts).await;
        let ordering_key = command(&[b"SUBMIT", b"xyz", b"ab", b"c=once,d=60000,dest=9", b"body"]);
        closes(at, &ordering_key, b"-ERR the key is no hexadecimal number\r\n").await;
        closes(at, &submit("ab", "d=60000,dest=9"), b"-ERR no class\r\n").await;
        closes(at, &submit("ab", "c=once,dest=9"), b"-ERR no time limit\r\n").await;
        closes(at, &submit("ab", "c=once,d=-1,dest=9"), b"-ERR no time limit\r\n").await;
        closes(at, &submit("ab", "c=once,d=60000"), b"-ERR no destination\r\n").await;
        closes(at, &submit("ab", "c=once,d=60000,dest=x"), b"-ERR no destination\r\n").await;
        let header = b"-ERR an id or key that cannot be passed on\r\n";
        closes(at, &submit("", "c=once,d=60000,dest=9"), header).await;
        closes(at, &submit("a b", "c=once,d=60000,dest=9"), header).await;
        closes(at, &submit(&"a".repeat(257), "c=once,d=60000,dest=9"), header).await;
        closes(at, &submit("ab", "c=once,d=60000,dest=9,k="), header).await;
        let malformed = b"-ERR not a command, or too long\r\n";
        closes(at, b"PING\r\n", malformed).await;
        closes(at, b"*17\r\n", malformed).await;
        closes(at, b"*1\r\n$65537\r\n", malformed).await;
        let two_bodies = [&b"*3\r\n$65536\r\n"[..], &[b'x'; 65_536], b"\r\n$65536\r\n", &[b'x'; 20_000]];
        closes(at, &two_bodies.concat(), b"-ERR too long\r\n").await;
    });
}

#[test]
fn the_fourth_error_in_a_row_closes_the_connection() {
    with_instance(async |at, _| {
        let input = b"*1\r\n$4\r\nECHO\r\n".repeat(5);
        closes(at, &input, &b"-ERR unknown command\r\n".repeat(4)).await;
    });
}

#[test]
fn a_command_whose_rest_does_not_come_is_told_in_these_octets() {
    with_instance(async |at, _| closes(at, &PING[..9], b"-ERR the rest did not come\r\n").await);
}

#[test]
fn a_state_directory_that_cannot_be_written_is_told_in_these_octets() {
    with_instance(async |at, state| {
        std::fs::remove_dir_all(state).unwrap();
        let body = vec![b'x'; 60_000]; // one fills a segment, and the next needs a new file
        let submit = |id: &[u8]| command(&[b"SUBMIT", b"0", id, b"c=once,d=60000,dest=9", &body]);
        answers(at, &submit(b"ab1"), b"+OK\r\n").await;
        answers(at, &submit(b"ab2"), b"-ERR the lasting folder cannot be written\r\n").await;
    });
}

/// Submits until the instance is full, and then the one that gets `expected`.
async fn fill(at: SocketAddr, already: usize, expected: &[u8]) {
    let mut client = TcpStream::connect(at).await.unwrap();
    for number in already..HELD {
        expect(&mut client, &submit(&format!("ab{number}"), "c=once,d=60000,dest=9"), b"+OK\r\n").await;
    }
    expect(&mut client, &submit("full", "c=once,d=60000,dest=9"), expected).await;
    expect(&mut client, PING, PONG).await;
}

#[test]
fn a_denial_without_a_wait_is_told_in_these_octets() {
    with_instance(async |at, _| fill(at, 0, b"-BUSY\r\n").await);
}

#[test]
fn a_denial_with_the_longest_wait_is_told_in_these_octets() {
    let state = Folder::new();
    let whole = async {
        let (at, endpoint) = silent().await;
        let instance = instance_before(at, &state.0).await;
        let mut client = TcpStream::connect(instance.listen).await.unwrap();
        expect(&mut client, &submit("ab0", "c=once,d=60000,dest=9"), b"+OK\r\n").await;
        let mut attempt = endpoint.accept().await.unwrap().0;
        let mut read = Vec::new();
        while !read.ends_with(b"\r\n\r\nbody") {
            assert!(attempt.read_buf(&mut read).await.unwrap() > 0);
        }
        let refusal =
            "HTTP/1.1 429 -\r\nX-Backoff-Ms: 50000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        attempt.write_all(refusal.as_bytes()).await.unwrap();
        // The instance closes once it has read the answer.
        assert_eq!(attempt.read(&mut [0]).await.unwrap(), 0);
        fill(instance.listen, 1, b"-BUSY 1500\r\n").await;
    };
    on_one_thread(async { timeout(LONG, whole).await.expect("each command is answered") });
}
