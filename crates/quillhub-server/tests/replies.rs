//! Tests that the replies of an instance to its clients, which other implementations parse, have exactly these bytes.

mod instance;

use instance::{Instance, TEST_TIMEOUT, classes, configuration, endpoint_list};
use quillhub_fakes::clients::command;
use quillhub_fakes::scratch::{ScratchDirectory, on_one_thread};
use std::net::SocketAddr;
use std::path::Path;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
const PONG: &[u8] = b"+PONG\r\n";
/// Number of pending messages with which an instance of these tests is full: its limit less one place that is kept
/// free.
const CAPACITY: usize = 8;

fn submit(client_id: &str, list: &str) -> Vec<u8> {
    command(&["SUBMIT", "0", client_id, list, "body"].map(str::as_bytes))
}

/// Starts an instance whose only endpoint is at `endpoint`, and whose discovery is unreachable.
async fn instance_with_endpoint(endpoint: SocketAddr, state: &Path) -> Instance {
    let unreachable = "127.0.0.1:1".parse().unwrap();
    let mut configuration = configuration(unreachable, CAPACITY as u64 + 1, &classes());
    configuration["known"] = endpoint_list(&[endpoint]);
    Instance::start(configuration, state).await
}

/// Starts an endpoint where connections are established but never get a response, until the listener is dropped.
async fn silent_endpoint() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    (listener.local_addr().unwrap(), listener)
}

/// Runs `test` with an instance whose endpoint is silent.
fn with_instance(test: impl AsyncFnOnce(SocketAddr, &Path)) {
    let state = ScratchDirectory::new();
    let test_run = async {
        let (address, _endpoint) = silent_endpoint().await;
        let instance = instance_with_endpoint(address, &state.0).await;
        test(instance.listen, &state.0).await;
    };
    on_one_thread(async { timeout(TEST_TIMEOUT, test_run).await.expect("each command is answered") });
}

/// Writes `input`, and checks that the reply starts with `expected`.
async fn assert_reply(client: &mut TcpStream, input: &[u8], expected: &[u8]) {
    client.write_all(input).await.unwrap();
    let mut reply = vec![0; expected.len()];
    client.read_exact(&mut reply).await.unwrap();
    assert_eq!(reply.escape_ascii().to_string(), expected.escape_ascii().to_string());
}

/// Checks that the reply to `input` on a new connection is `expected` and nothing else, and that the connection stays
/// open.
async fn assert_reply_keeps_open(address: SocketAddr, input: &[u8], expected: &[u8]) {
    let mut client = TcpStream::connect(address).await.unwrap();
    assert_reply(&mut client, input, expected).await;
    assert_reply(&mut client, PING, PONG).await;
}

/// Checks that the reply to `input` on a new connection is `expected`, and that the connection closes.
async fn assert_reply_closes(address: SocketAddr, input: &[u8], expected: &[u8]) {
    let mut client = TcpStream::connect(address).await.unwrap();
    client.write_all(input).await.unwrap();
    let mut reply = Vec::new();
    client.read_to_end(&mut reply).await.unwrap();
    assert_eq!(reply.escape_ascii().to_string(), expected.escape_ascii().to_string());
}

#[test]
fn replies_to_successful_commands_have_exactly_these_bytes() {
    with_instance(async |address, _| {
        assert_reply_keeps_open(address, PING, b"+PONG\r\n").await;
        assert_reply_keeps_open(address, b"*1\r\n$4\r\npInG\r\n", b"+PONG\r\n").await;
        assert_reply_keeps_open(
            address,
            b"*2\r\n$4\r\nPING\r\n$5\r\na\0\r\n\xff\r\n",
            b"$5\r\na\0\r\n\xff\r\n",
        )
        .await;
        assert_reply_keeps_open(address, b"*0\r\n", b"").await;
        assert_reply_keeps_open(address, &submit("ab1", "c=once,d=60000,dest=9"), b"+OK\r\n").await;
        assert_reply_keeps_open(address, &submit("ab2", "c=keyed,d=60000,k=5c,dest=9"), b"+OK\r\n").await;
    });
}

#[test]
fn errors_that_keep_the_connection_open_have_exactly_these_bytes() {
    with_instance(async |address, _| {
        let unknown_command = b"-ERR unknown command\r\n";
        assert_reply_keeps_open(address, b"*1\r\n$4\r\nECHO\r\n", unknown_command).await;
        assert_reply_keeps_open(address, b"*3\r\n$4\r\nPING\r\n$1\r\na\r\n$1\r\nb\r\n", unknown_command)
            .await;
        assert_reply_keeps_open(address, &submit("ab1", "c=once,d=60000,dest=9"), b"+OK\r\n").await;
        let same_id = submit("ab1", "c=once,d=60000,dest=9");
        assert_reply_keeps_open(address, &same_id, b"-ERR the id is held already\r\n").await;
        let unknown_destination = submit("ab2", "c=once,d=60000,dest=10");
        assert_reply_keeps_open(address, &unknown_destination, b"-ERR unknown destination\r\n").await;
        let unknown_class = submit("ab2", "c=unheard,d=60000,dest=9");
        assert_reply_keeps_open(address, &unknown_class, b"-ERR unknown grade\r\n").await;
    });
}

#[test]
fn errors_that_close_the_connection_have_exactly_these_bytes() {
    with_instance(async |address, _| {
        let argument_count = b"-ERR SUBMIT takes a key, an id, a list and a body\r\n";
        assert_reply_closes(address, &command(&[b"SUBMIT"]), argument_count).await;
        assert_reply_closes(address, &command(&[b"SUBMIT", b"0", b"ab", b"c=once"]), argument_count).await;
        assert_reply_closes(
            address,
            &command(&[b"SUBMIT", b"0", b"ab", b"c=once", b"body", b"more"]),
            argument_count,
        )
        .await;
        let invalid_key = command(&[b"SUBMIT", b"xyz", b"ab", b"c=once,d=60000,dest=9", b"body"]);
        assert_reply_closes(address, &invalid_key, b"-ERR the key is no hexadecimal number\r\n").await;
        assert_reply_closes(address, &submit("ab", "d=60000,dest=9"), b"-ERR no class\r\n").await;
        assert_reply_closes(address, &submit("ab", "c=once,dest=9"), b"-ERR no time limit\r\n").await;
        assert_reply_closes(address, &submit("ab", "c=once,d=-1,dest=9"), b"-ERR no time limit\r\n").await;
        assert_reply_closes(address, &submit("ab", "c=once,d=60000"), b"-ERR no destination\r\n").await;
        assert_reply_closes(address, &submit("ab", "c=once,d=60000,dest=x"), b"-ERR no destination\r\n")
            .await;
        let not_forwardable = b"-ERR an id or key that cannot be passed on\r\n";
        assert_reply_closes(address, &submit("", "c=once,d=60000,dest=9"), not_forwardable).await;
        assert_reply_closes(address, &submit("a b", "c=once,d=60000,dest=9"), not_forwardable).await;
        assert_reply_closes(address, &submit(&"a".repeat(257), "c=once,d=60000,dest=9"), not_forwardable)
            .await;
        assert_reply_closes(address, &submit("ab", "c=once,d=60000,dest=9,k="), not_forwardable).await;
        let malformed = b"-ERR not a command, or too long\r\n";
        assert_reply_closes(address, b"PING\r\n", malformed).await;
        assert_reply_closes(address, b"*17\r\n", malformed).await;
        assert_reply_closes(address, b"*1\r\n$65537\r\n", malformed).await;
        let two_bodies = [&b"*3\r\n$65536\r\n"[..], &[b'x'; 65_536], b"\r\n$65536\r\n", &[b'x'; 20_000]];
        assert_reply_closes(address, &two_bodies.concat(), b"-ERR too long\r\n").await;
    });
}

#[test]
fn the_fourth_error_in_a_row_closes_the_connection() {
    with_instance(async |address, _| {
        let input = b"*1\r\n$4\r\nECHO\r\n".repeat(5);
        assert_reply_closes(address, &input, &b"-ERR unknown command\r\n".repeat(4)).await;
    });
}

#[test]
fn the_error_for_an_incomplete_command_has_exactly_these_bytes() {
    with_instance(async |address, _| {
        assert_reply_closes(address, &PING[..9], b"-ERR the rest did not come\r\n").await
    });
}

#[test]
fn the_error_for_an_unwritable_state_directory_has_exactly_these_bytes() {
    with_instance(async |address, state| {
        std::fs::remove_dir_all(state).unwrap();
        let body = vec![b'x'; 60_000]; // one message fills a log segment, so that the next needs a new file
        let submit = |id: &[u8]| command(&[b"SUBMIT", b"0", id, b"c=once,d=60000,dest=9", &body]);
        assert_reply_keeps_open(address, &submit(b"ab1"), b"+OK\r\n").await;
        assert_reply_keeps_open(address, &submit(b"ab2"), b"-ERR the lasting folder cannot be written\r\n")
            .await;
    });
}

/// Submits messages until the instance, which has `pending` ones, is full, and checks that the reply to one more is
/// `expected`.
async fn assert_reply_when_full(address: SocketAddr, pending: usize, expected: &[u8]) {
    let mut client = TcpStream::connect(address).await.unwrap();
    for number in pending..CAPACITY {
        assert_reply(&mut client, &submit(&format!("ab{number}"), "c=once,d=60000,dest=9"), b"+OK\r\n").await;
    }
    assert_reply(&mut client, &submit("full", "c=once,d=60000,dest=9"), expected).await;
    assert_reply(&mut client, PING, PONG).await;
}

#[test]
fn a_busy_reply_without_a_retry_after_has_exactly_these_bytes() {
    with_instance(async |address, _| assert_reply_when_full(address, 0, b"-BUSY\r\n").await);
}

#[test]
fn a_busy_reply_with_the_maximum_retry_after_has_exactly_these_bytes() {
    let state = ScratchDirectory::new();
    let test_run = async {
        let (address, endpoint) = silent_endpoint().await;
        let instance = instance_with_endpoint(address, &state.0).await;
        let mut client = TcpStream::connect(instance.listen).await.unwrap();
        assert_reply(&mut client, &submit("ab0", "c=once,d=60000,dest=9"), b"+OK\r\n").await;
        let mut attempt = endpoint.accept().await.unwrap().0;
        let mut read = Vec::new();
        while !read.ends_with(b"\r\n\r\nbody") {
            assert!(attempt.read_buf(&mut read).await.unwrap() > 0);
        }
        let rejection =
            "HTTP/1.1 429 -\r\nX-Backoff-Ms: 50000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        attempt.write_all(rejection.as_bytes()).await.unwrap();
        // The rejection is proof once the endpoint ends the connection; the instance closes it too when it has read that.
        attempt.shutdown().await.unwrap();
        assert_eq!(attempt.read(&mut [0]).await.unwrap(), 0);
        assert_reply_when_full(instance.listen, 1, b"-BUSY 1500\r\n").await;
    };
    on_one_thread(async { timeout(TEST_TIMEOUT, test_run).await.expect("each command is answered") });
}
