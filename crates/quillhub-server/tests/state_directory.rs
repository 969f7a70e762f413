//! An instance on a state directory of the first version: each message that it holds has exactly one outcome.

mod instance;

use instance::{Instance, LONG, classes, configuration, first_state_directory, members};
use quillhub_fakes::http::Served;
use quillhub_fakes::scratch::on_one_thread;
use serde_json::Value;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// A delivery to an endpoint: the request id, the idempotency key and the body.
type Delivery = (String, Option<String>, Vec<u8>);

/// What the instance did, as the servers around it saw it.
struct Seen {
    deliveries: UnboundedReceiver<Delivery>,
    /// Lines that the platform was told.
    outcomes: UnboundedReceiver<String>,
}

/// Serves each connection to a new address by `serve`.
async fn server<F: Future<Output = ()> + 'static>(serve: impl Fn(Served) -> F + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let stream: TcpStream = stream;
            spawn_local(serve(Served::new(stream)));
        }
    });
    at
}

/// Takes each delivery.
async fn endpoint(mut stream: Served, seen: UnboundedSender<Delivery>) {
    while let Ok(Some(request)) = stream.next().await {
        let _ = seen.send((request.id.unwrap_or_default(), request.idempotency_key, request.body));
        let _ = stream.answer(200, "", b"").await;
    }
}

/// Discovery, whose list never changes, and the platform, which confirms each outcome.
async fn discovery_and_platform(mut stream: Served, list: Value, seen: UnboundedSender<String>) {
    while let Ok(Some(request)) = stream.next().await {
        if request.path == "/v2/finals" {
            let lines = String::from_utf8(request.body).unwrap();
            lines.lines().for_each(|line| drop(seen.send(line.into())));
            let _ = stream.answer(204, "", b"").await;
            continue;
        }
        let line = format!("{list}\n");
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let _ = stream.write(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes()).await;
    }
}

/// The servers around an instance, its configuration, and what they see.
async fn surroundings() -> (Value, Seen) {
    let ((delivery, deliveries), (outcome, outcomes)) = (unbounded_channel(), unbounded_channel());
    let endpoint_at = server(move |stream| endpoint(stream, delivery.clone())).await;
    let list = members(&[endpoint_at]);
    let known = list.clone();
    let at = server(move |stream| discovery_and_platform(stream, list.clone(), outcome.clone())).await;
    let mut configuration = configuration(at, 100, &classes());
    configuration["known"] = known;
    (configuration, Seen { deliveries, outcomes })
}

fn delivery(request: &str, key: Option<&str>, body: &[u8]) -> Delivery {
    (request.into(), key.map(Into::into), body.into())
}

fn outcome(request: &str, result: &str) -> String {
    format!("{{\"ref\":\"{request}\",{result}}}")
}

/// What comes until `expected` of them are there, sorted.
async fn sorted<T: Ord>(from: &mut UnboundedReceiver<T>, expected: usize) -> Vec<T> {
    let mut all = Vec::new();
    while all.len() < expected {
        all.push(from.recv().await.unwrap());
    }
    all.sort();
    all
}

/// Whatever else has come.
fn rest<T>(from: &mut UnboundedReceiver<T>) -> Vec<T> {
    std::iter::from_fn(|| from.try_recv().ok()).collect()
}

#[test]
fn a_state_directory_of_the_first_version_is_read_back_and_finished() {
    let state = first_state_directory();
    let whole = async {
        let (configuration, mut seen) = surroundings().await;
        let instance = Instance::start(configuration.clone(), &state.0).await;
        let mut delivered = vec![
            delivery("untried-once", None, b"one"),
            delivery("untried-free", Some("key-2"), b"\0\r\n\xff"),
            delivery("once-that-did-not-run", None, b"four"),
            delivery("idempotent-that-may-have-run", None, b"five"),
            delivery("keyed-that-may-have-run", Some("key-6"), b"six"),
        ];
        delivered.sort();
        let mut told = vec![
            outcome("denied-with-wait", "\"result\":\"bounced\",\"wait_ms\":1500"),
            outcome("denied", "\"result\":\"bounced\""),
            outcome("dead", "\"result\":\"dead\""),
            outcome("once-that-may-have-run", "\"result\":\"dead\""),
            outcome("once-of-two-attempts", "\"result\":\"dead\""),
            outcome("of-unknown-class", "\"result\":\"dead\""),
            outcome("key-forgotten", "\"result\":\"bounced\""),
        ];
        told.sort();
        assert_eq!(sorted(&mut seen.deliveries, delivered.len()).await, delivered);
        // The platform is told again what it does not confirm in a tenth of a second: repeats are one outcome.
        let mut outcomes = Vec::new();
        while outcomes.len() < told.len() {
            let line = seen.outcomes.recv().await.unwrap();
            if !outcomes.contains(&line) {
                outcomes.push(line);
            }
        }
        outcomes.sort();
        assert_eq!(outcomes, told);

        instance.stop().await;
        assert_eq!(rest(&mut seen.deliveries), []);
        assert_eq!(rest(&mut seen.outcomes).into_iter().find(|line| !told.contains(line)), None);
        let next = Instance::start(configuration, &state.0).await;
        next.stop().await;
        assert_eq!(rest(&mut seen.deliveries), [], "all is finished");
        assert_eq!(rest(&mut seen.outcomes), Vec::<String>::new(), "all is finished");
    };
    on_one_thread(async { timeout(LONG, whole).await.expect("every message has its outcome") });
}
