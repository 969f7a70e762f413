//! An instance's process whose descriptors idle clients and attempts without a response want, and one that starts on a
//! full state directory, each with discovery out of reach.

use quillhub_fakes::clients::{command, send_command, wait_until_ready};
use quillhub_fakes::http::ServerConnection;
use quillhub_fakes::process::InstanceProcess;
use quillhub_fakes::scratch::{ScratchDirectory, on_one_thread};
use quillhub_fakes::scripted::unconnectable_address;
use serde_json::{Value, json};
use std::cell::Cell;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Far more than any of this takes.
const LONG: Duration = Duration::from_secs(40);
/// Within which a restarted instance has to be ready.
const READY: Duration = Duration::from_secs(10);
const SOCKETS: usize = 128;

fn row(id: String, at: SocketAddr, destination: u64) -> Value {
    json!({"id": id, "host_port": at.to_string(), "cell": destination, "phase": "up"})
}

fn list(revision: u64, rows: &[Value]) -> Value {
    json!({"revision": revision, "complete": true, "members": rows})
}

fn configuration(listen: SocketAddr, discovery: SocketAddr, known: Value) -> Value {
    let lasts = 60_000_000;
    let class =
        |name: &str, effect: &str| json!({"name": name, "effect": effect, "aimUs": lasts, "giveUpUs": lasts});
    json!({"listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "7", "known": known,
        "limits": {"sockets": SOCKETS, "disk_mb": 8}, "settings": {"familyInfo": {"maxCalls": 400},
        "limits": {"mostTries": 9, "maxOpen": 100_000},
        "classes": [class("free", "free"), class("once", "single_shot")]}})
}

/// A process that gets no more descriptors than its configuration says.
fn start(state: &ScratchDirectory, beside: &ScratchDirectory, configuration: &Value) -> InstanceProcess {
    let [config, log, program] = ["config", "log", "limited"].map(|name| beside.0.join(name));
    std::fs::write(&config, configuration.to_string()).unwrap();
    let script =
        format!("#!/bin/sh\nulimit -n {SOCKETS}\nexec '{}' \"$@\"\n", env!("CARGO_BIN_EXE_quillhub"));
    std::fs::write(&program, script).unwrap();
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755)).unwrap();
    InstanceProcess::start(Path::new(&program), &config, &state.0, &log).unwrap()
}

/// An address that is nobody's yet, on a host of its own.
fn own_address(host: u8) -> SocketAddr {
    std::net::TcpListener::bind(format!("127.0.84.{host}:0")).unwrap().local_addr().unwrap()
}

async fn submit(client: &mut TcpStream, id: usize, class: &str, destination: u64, body: &str) -> String {
    let (id, list) = (format!("ab{id}"), format!("c={class},d=60000,dest={destination}"));
    send_command(client, &command(&["SUBMIT", "0", &id, &list, body].map(str::as_bytes))).await.unwrap()
}

/// Responds to deliveries, to discovery's requests and to final outcomes; notifies of each delivery and outcome.
async fn serve(stream: TcpStream, list: Value, seen: Rc<Notify>) {
    let mut stream = ServerConnection::new(stream);
    while let Ok(Some(request)) = stream.next().await {
        let _ = match request.path.as_str() {
            "/events" => {
                seen.notify_one();
                stream.answer(200, "", b"").await
            }
            "/v2/finals" => {
                seen.notify_one();
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

#[test]
fn discovery_and_endpoints_get_descriptors_while_idle_clients_and_hanging_attempts_want_all() {
    let whole = async {
        let (state, beside) = (ScratchDirectory::new(), ScratchDirectory::new());
        let (listen, discovery) = (own_address(1), own_address(2));
        let hanging = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let well = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let hangs_at = hanging.local_addr().unwrap();
        let known: Vec<_> = (0..200).map(|n| row(format!("e{n}"), hangs_at, 9)).collect();
        let with_well = [known.clone(), vec![row("f".into(), well.local_addr().unwrap(), 10)]].concat();
        let (attempts, opened) = (Rc::new(Cell::new(0)), Rc::new(Notify::new()));
        let (count, tell) = (attempts.clone(), opened.clone());
        spawn_local(async move {
            let mut open = Vec::new();
            while let Ok((stream, _)) = hanging.accept().await {
                open.push(stream);
                count.set(open.len());
                tell.notify_one();
            }
        });
        let _instance = start(&state, &beside, &configuration(listen, discovery, list(1, &known)));
        assert!(wait_until_ready(listen, LONG).await);
        let mut client = TcpStream::connect(listen).await.unwrap();
        for id in 0..300 {
            assert_eq!(submit(&mut client, id, "once", 9, "body").await, "+OK");
        }
        while attempts.get() < SOCKETS / 8 {
            opened.notified().await;
        }
        println!("{} attempts hang", attempts.get());
        let mut idle = Vec::new();
        for _ in 0..2 * SOCKETS {
            idle.push(TcpStream::connect(listen).await.unwrap());
        }
        // Discovery is back, and lists a destination that was not known.
        let back = TcpListener::bind(discovery).await.unwrap();
        let seen = Rc::new(Notify::new());
        let (at_discovery, at_well) = (Rc::new(Notify::new()), seen.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = back.accept().await {
                spawn_local(serve(stream, list(2, &with_well), at_discovery.clone()));
            }
        });
        spawn_local(async move {
            while let Ok((stream, _)) = well.accept().await {
                spawn_local(serve(stream, Value::Null, at_well.clone()));
            }
        });
        println!("{} attempts hang, and {} clients are idle", attempts.get(), idle.len());
        // A client that sends a command is served; the one from before has been idle longest and may have had to go.
        let mut id = 300;
        loop {
            let mut client = TcpStream::connect(listen).await.unwrap();
            id += 1;
            if submit(&mut client, id, "free", 10, "body").await == "+OK" {
                break;
            }
        }
        println!("the client was served");
        seen.notified().await;
    };
    on_one_thread(async { timeout(LONG, whole).await.expect("no descriptor is left for one of them") });
}

#[test]
fn an_instance_is_ready_in_time_on_a_full_state_directory_with_discovery_unreachable() {
    let whole = async {
        let (state, beside) = (ScratchDirectory::new(), ScratchDirectory::new());
        let (refused, (never_up, _queue)) = (own_address(3), unconnectable_address());
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        // Nobody listens at the endpoint, so that every message stays pending.
        let known = list(1, &[row("e".into(), own_address(4), 9)]);
        let listen = own_address(5);
        let mut instance = start(&state, &beside, &configuration(listen, refused, known.clone()));
        assert!(wait_until_ready(listen, LONG).await);
        let mut client = TcpStream::connect(listen).await.unwrap();
        let mut pending = 0;
        while submit(&mut client, pending, "free", 9, &"x".repeat(2_000)).await == "+OK" {
            pending += 1;
        }
        assert!(pending > 1_000, "{pending} pending when the directory was full");
        for discovery in [refused, never_up, silent.local_addr().unwrap()] {
            assert!(instance.signal("KILL").unwrap());
            instance.wait_for_exit().await.unwrap();
            instance = start(&state, &beside, &configuration(listen, discovery, known.clone()));
            let began = std::time::Instant::now();
            assert!(wait_until_ready(listen, READY).await, "{pending} pending, discovery at {discovery}");
            println!("{pending} pending: ready after {:?}, discovery at {discovery}", began.elapsed());
        }
    };
    on_one_thread(async { timeout(3 * LONG, whole).await.expect("it ends") });
}
