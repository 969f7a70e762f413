//! Tests of an instance's process with discovery unreachable: one that runs low on file descriptors because of idle
//! clients and attempts without a response, and one that starts with a full state directory.

use quillhub_fakes::clients::{command, send_command, wait_until_ready};
use quillhub_fakes::http::ServerConnection;
use quillhub_fakes::process::{InstanceProcess, Signal};
use quillhub_fakes::scratch::{ScratchDirectory, on_one_thread};
use quillhub_fakes::scripted::unconnectable_address;
use serde_json::{Value, json};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Time limit of a test, far longer than the test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(40);
/// Maximum time until a restarted instance is ready.
const MAX_READY_TIME: Duration = Duration::from_secs(10);
/// Number of file descriptors that the process may use.
const DESCRIPTORS: usize = 128;

/// Returns an endpoint as discovery lists it.
fn member(id: String, address: SocketAddr, destination: u64) -> Value {
    json!({"id": id, "host_port": address.to_string(), "cell": destination, "phase": "up"})
}

/// Returns a complete endpoint list.
fn list(revision: u64, members: &[Value]) -> Value {
    json!({"revision": revision, "complete": true, "members": members})
}

/// Returns the configuration of an instance.
fn configuration(listen: SocketAddr, discovery: SocketAddr, known: Value) -> Value {
    let deadline_us = 60_000_000;
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect,
            "aimUs": deadline_us, "giveUpUs": deadline_us})
    };
    json!({"listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "7", "known": known,
        "limits": {"sockets": DESCRIPTORS, "disk_mb": 8}, "settings": {"familyInfo": {"maxCalls": 400},
        "limits": {"mostTries": 9, "maxOpen": 100_000},
        "classes": [class("free", "free"), class("once", "single_shot")]}})
}

/// Starts the process of an instance that can open only as many file descriptors as its configuration says. Its state
/// directory is in `state`, its configuration and log in `files`.
fn start(state: &ScratchDirectory, files: &ScratchDirectory, configuration: &Value) -> InstanceProcess {
    let [config, log] = ["config", "log"].map(|name| files.0.join(name));
    std::fs::write(&config, configuration.to_string()).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_quillhub"));
    InstanceProcess::start_with_descriptor_limit(program, DESCRIPTORS, [&config, &state.0, &log]).unwrap()
}

/// Returns an unused address on a host that nothing else binds to.
fn unused_address(host: u8) -> SocketAddr {
    std::net::TcpListener::bind(format!("127.0.84.{host}:0")).unwrap().local_addr().unwrap()
}

/// Submits a message and returns the reply.
async fn submit(client: &mut TcpStream, id: usize, class: &str, destination: u64, body: &str) -> String {
    let (client_id, fields) = (format!("ab{id}"), format!("c={class},d=60000,dest={destination}"));
    send_command(client, &command(&["SUBMIT", "0", &client_id, &fields, body].map(str::as_bytes)))
        .await
        .unwrap()
}

/// Serves one connection of an endpoint, of discovery or of the platform. Notifies `received` of each delivery and of
/// each request with final outcomes.
async fn serve(stream: TcpStream, list: Value, received: Rc<Notify>) {
    let mut stream = ServerConnection::new(stream);
    while let Ok(Some(request)) = stream.next().await {
        let _ = match request.path.as_str() {
            "/events" => {
                received.notify_one();
                stream.answer(200, "", b"").await
            }
            "/v2/finals" => {
                received.notify_one();
                stream.answer(204, "", b"").await
            }
            _ => {
                let line = format!("{list}\n");
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                stream.write(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes()).await
            }
        };
    }
}

/// Guards against an instance that can no longer reach discovery, endpoints or clients, because idle clients and
/// attempts without a response have used up all file descriptors.
#[test]
fn descriptors_remain_for_discovery_and_endpoints_despite_idle_clients_and_silent_endpoints() {
    let test = async {
        let (state, files) = (ScratchDirectory::new(), ScratchDirectory::new());
        let (listen, discovery) = (unused_address(1), unused_address(2));
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let healthy = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let silent_address = silent.local_addr().unwrap();
        let known: Vec<_> = (0..200).map(|n| member(format!("e{n}"), silent_address, 9)).collect();
        let extended = [known.clone(), vec![member("f".into(), healthy.local_addr().unwrap(), 10)]].concat();
        let (attempts, opened) = (Rc::new(Cell::new(0)), Rc::new(Notify::new()));
        let (attempt_count, attempt_opened) = (attempts.clone(), opened.clone());
        spawn_local(async move {
            let mut open = Vec::new();
            while let Ok((stream, _)) = silent.accept().await {
                open.push(stream);
                attempt_count.set(open.len());
                attempt_opened.notify_one();
            }
        });
        let _instance = start(&state, &files, &configuration(listen, discovery, list(1, &known)));
        assert!(wait_until_ready(listen, TEST_TIMEOUT).await);
        let mut client = TcpStream::connect(listen).await.unwrap();
        for id in 0..300 {
            assert_eq!(submit(&mut client, id, "once", 9, "body").await, "+OK");
        }
        while attempts.get() < DESCRIPTORS / 8 {
            opened.notified().await;
        }
        println!("{} attempts without a response", attempts.get());
        let mut idle = Vec::new();
        for _ in 0..2 * DESCRIPTORS {
            idle.push(TcpStream::connect(listen).await.unwrap());
        }
        // Discovery becomes reachable and lists a destination that the instance did not know.
        let discovery_listener = TcpListener::bind(discovery).await.unwrap();
        let delivered = Rc::new(Notify::new());
        let (unused, at_healthy) = (Rc::new(Notify::new()), delivered.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = discovery_listener.accept().await {
                spawn_local(serve(stream, list(2, &extended), unused.clone()));
            }
        });
        spawn_local(async move {
            while let Ok((stream, _)) = healthy.accept().await {
                spawn_local(serve(stream, Value::Null, at_healthy.clone()));
            }
        });
        println!("{} attempts without a response, and {} clients are idle", attempts.get(), idle.len());
        // A new client that sends a command is served. The first client has been idle longest, and the instance may
        // have closed its connection.
        let mut id = 300;
        loop {
            let mut client = TcpStream::connect(listen).await.unwrap();
            id += 1;
            if submit(&mut client, id, "free", 10, "body").await == "+OK" {
                break;
            }
        }
        println!("the client was served");
        delivered.notified().await;
    };
    on_one_thread(async { timeout(TEST_TIMEOUT, test).await.expect("file descriptors remain") });
}

/// Guards against a restart that takes too long because the instance recovers many messages or waits for discovery,
/// which refuses connections, does not accept them, or does not respond.
#[test]
fn an_instance_is_ready_in_time_with_a_full_state_directory_and_discovery_unreachable() {
    let test = async {
        let (state, files) = (ScratchDirectory::new(), ScratchDirectory::new());
        let (refused, (unresponsive, _full_queue)) = (unused_address(3), unconnectable_address());
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        // Nothing listens at the endpoint's address, so that every message stays pending.
        let known = list(1, &[member("e".into(), unused_address(4), 9)]);
        let listen = unused_address(5);
        let mut instance = start(&state, &files, &configuration(listen, refused, known.clone()));
        assert!(wait_until_ready(listen, TEST_TIMEOUT).await);
        let mut client = TcpStream::connect(listen).await.unwrap();
        let mut pending = 0;
        while submit(&mut client, pending, "free", 9, &"x".repeat(2_000)).await == "+OK" {
            pending += 1;
        }
        assert!(pending > 1_000, "{pending} pending when the directory was full");
        for discovery in [refused, unresponsive, silent.local_addr().unwrap()] {
            assert!(instance.signal(Signal::KILL).unwrap());
            instance.wait_for_exit().await.unwrap();
            instance = start(&state, &files, &configuration(listen, discovery, known.clone()));
            let started = std::time::Instant::now();
            assert!(
                wait_until_ready(listen, MAX_READY_TIME).await,
                "{pending} pending, discovery at {discovery}"
            );
            println!("{pending} pending: ready after {:?}, discovery at {discovery}", started.elapsed());
        }
    };
    on_one_thread(async { timeout(3 * TEST_TIMEOUT, test).await.expect("the test ends in time") });
}

/// Guards against a start that fails with "text file busy", because another test started a process while the program
/// of this one was being written, so that the other process still had it open for writing.
#[test]
fn instances_with_a_descriptor_limit_start_while_other_processes_are_started() {
    const THREADS: u8 = 4;
    const STARTS_PER_THREAD: usize = 50;
    let configuration = configuration(unused_address(6), unused_address(7), list(1, &[]));
    let start_repeatedly = || {
        for _ in 0..STARTS_PER_THREAD {
            drop(start(&ScratchDirectory::new(), &ScratchDirectory::new(), &configuration));
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(start_repeatedly);
        }
    });
}
