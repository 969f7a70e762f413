//! Tests that an instance can read a state directory of version 1, and that each message in it gets exactly one
//! outcome.

mod instance;

use instance::{Instance, TEST_TIMEOUT, classes, configuration, endpoint_list, version_1_state_directory};
use quillhub_fakes::http::ServerConnection;
use quillhub_fakes::scratch::on_one_thread;
use serde_json::Value;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Delivery to an endpoint: the client id, the idempotency key and the body.
type Delivery = (String, Option<String>, Vec<u8>);

/// Requests of the instance, as the servers around it received them.
struct Received {
    deliveries: UnboundedReceiver<Delivery>,
    /// Lines in the requests to the platform, one for each final outcome.
    outcomes: UnboundedReceiver<String>,
}

/// Starts a server that handles each connection with `serve`, and returns its address.
async fn start_server<F: Future<Output = ()> + 'static>(
    serve: impl Fn(ServerConnection) -> F + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let stream: TcpStream = stream;
            spawn_local(serve(ServerConnection::new(stream)));
        }
    });
    address
}

/// Serves a connection to an endpoint: records each delivery and responds with success.
async fn endpoint(mut stream: ServerConnection, deliveries: UnboundedSender<Delivery>) {
    while let Ok(Some(request)) = stream.next().await {
        let _ = deliveries.send((request.id.unwrap_or_default(), request.idempotency_key, request.body));
        let _ = stream.answer(200, "", b"").await;
    }
}

/// Serves a connection to discovery, whose list never changes, and to the platform, which confirms each outcome.
async fn discovery_and_platform(
    mut stream: ServerConnection,
    list: Value,
    outcomes: UnboundedSender<String>,
) {
    while let Ok(Some(request)) = stream.next().await {
        if request.path == "/v2/finals" {
            let lines = String::from_utf8(request.body).unwrap();
            lines.lines().for_each(|line| drop(outcomes.send(line.into())));
            let _ = stream.answer(204, "", b"").await;
            continue;
        }
        let line = format!("{list}\n");
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let _ = stream.write(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes()).await;
    }
}

/// Starts the servers around an instance; returns the instance's configuration and the requests that they receive.
async fn start_servers() -> (Value, Received) {
    let ((delivery, deliveries), (outcome_line, outcomes)) = (unbounded_channel(), unbounded_channel());
    let endpoint_at = start_server(move |stream| endpoint(stream, delivery.clone())).await;
    let list = endpoint_list(&[endpoint_at]);
    let known = list.clone();
    let address =
        start_server(move |stream| discovery_and_platform(stream, list.clone(), outcome_line.clone())).await;
    let mut configuration = configuration(address, 100, &classes());
    configuration["known"] = known;
    (configuration, Received { deliveries, outcomes })
}

fn delivery(client_id: &str, idempotency_key: Option<&str>, body: &[u8]) -> Delivery {
    (client_id.into(), idempotency_key.map(Into::into), body.into())
}

/// Returns the line that reports the outcome of a message to the platform; `members` are the JSON members after the id.
fn outcome_line(client_id: &str, members: &str) -> String {
    format!("{{\"ref\":\"{client_id}\",{members}}}")
}

/// Receives `expected` values and returns them sorted.
async fn receive_sorted<T: Ord>(receiver: &mut UnboundedReceiver<T>, expected: usize) -> Vec<T> {
    let mut all = Vec::new();
    while all.len() < expected {
        all.push(receiver.recv().await.unwrap());
    }
    all.sort();
    all
}

/// Returns the values that were received and not read yet.
fn unread<T>(receiver: &mut UnboundedReceiver<T>) -> Vec<T> {
    std::iter::from_fn(|| receiver.try_recv().ok()).collect()
}

#[test]
fn each_message_in_a_state_directory_of_version_1_gets_exactly_one_outcome() {
    let state = version_1_state_directory();
    let test = async {
        let (configuration, mut received) = start_servers().await;
        let instance = Instance::start(configuration.clone(), &state.0).await;
        let mut expected_deliveries = vec![
            delivery("untried-once", None, b"one"),
            delivery("untried-free", Some("key-2"), b"\0\r\n\xff"),
            delivery("once-that-did-not-run", None, b"four"),
            delivery("idempotent-that-may-have-run", None, b"five"),
            delivery("keyed-that-may-have-run", Some("key-6"), b"six"),
        ];
        expected_deliveries.sort();
        let mut expected_outcomes = vec![
            outcome_line("denied-with-wait", "\"result\":\"bounced\",\"wait_ms\":1500"),
            outcome_line("denied", "\"result\":\"bounced\""),
            outcome_line("dead", "\"result\":\"dead\""),
            outcome_line("once-that-may-have-run", "\"result\":\"dead\""),
            outcome_line("once-of-two-attempts", "\"result\":\"dead\""),
            outcome_line("of-unknown-class", "\"result\":\"dead\""),
            outcome_line("key-forgotten", "\"result\":\"bounced\""),
        ];
        expected_outcomes.sort();
        assert_eq!(
            receive_sorted(&mut received.deliveries, expected_deliveries.len()).await,
            expected_deliveries
        );
        // The instance repeats an outcome that the platform does not confirm within a tenth of a second. Repetitions
        // count as one outcome.
        let mut outcomes = Vec::new();
        while outcomes.len() < expected_outcomes.len() {
            let line = received.outcomes.recv().await.unwrap();
            if !outcomes.contains(&line) {
                outcomes.push(line);
            }
        }
        outcomes.sort();
        assert_eq!(outcomes, expected_outcomes);

        instance.stop().await;
        assert_eq!(unread(&mut received.deliveries), []);
        assert_eq!(
            unread(&mut received.outcomes).into_iter().find(|line| !expected_outcomes.contains(line)),
            None
        );
        let next = Instance::start(configuration, &state.0).await;
        next.stop().await;
        assert_eq!(unread(&mut received.deliveries), [], "no message is left after the first run");
        assert_eq!(
            unread(&mut received.outcomes),
            Vec::<String>::new(),
            "no message is left after the first run"
        );
    };
    on_one_thread(async {
        timeout(TEST_TIMEOUT, test).await.expect("every message gets its outcome in time")
    });
}
