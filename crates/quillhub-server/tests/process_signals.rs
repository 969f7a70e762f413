//! An instance's process, told to stop or killed at each step of a message's life, and started again on its state
//! directory.
//! The signal follows an event that the endpoint, the platform or the client has seen; nothing is left to the clock.

use quillhub_fakes::clients::{command, send_command, wait_until_ready};
use quillhub_fakes::http::ServerConnection;
use quillhub_fakes::process::InstanceProcess;
use quillhub_fakes::scratch::{ScratchDirectory, on_one_thread};
use quillhub_fakes::scripted::unconnectable_address;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(6);
/// How late anything may be.
const SLACK: Duration = Duration::from_millis(50);
/// Far more than any of this takes.
const LONG: Duration = Duration::from_secs(40);
const EFFECTS: [&str; 3] = ["free", "marked", "once"];

/// Where in a message's life the signal comes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// Accepted, and no endpoint known yet.
    Accepted,
    /// The connection to its endpoint does not come up.
    Opening,
    /// The request's first byte has come, and the last may not have.
    Begun,
    /// The request's last byte has come.
    Complete,
    /// A part of the response's first line was written.
    HalfResponse,
    /// The platform has read its final outcome and confirmed nothing.
    FinalOutcome,
}

/// Endpoint, discovery and platform on loopback, and what they saw.
struct Surroundings {
    step: Step,
    /// Whether the process that ran at first has ended: from then on all is well.
    second: Cell<bool>,
    calls: RefCell<Vec<(Instant, bool)>>,
    finals: RefCell<Vec<String>>,
    seen: Notify,
    list: RefCell<Value>,
}

impl Surroundings {
    async fn endpoint(self: Rc<Self>, stream: TcpStream) {
        if self.step == Step::Begun && matches!(stream.peek(&mut [0; 1]).await, Ok(1)) {
            self.seen.notify_one();
        }
        let mut stream = ServerConnection::new(stream);
        while let Ok(Some(_)) = stream.next().await {
            let second = self.second.get();
            self.calls.borrow_mut().push((Instant::now(), second));
            let answer = match self.step {
                _ if second => "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                Step::HalfResponse => "HTTP/1.1 2",
                Step::FinalOutcome => "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n",
                _ => "",
            };
            let _ = stream.write(answer.as_bytes()).await;
            if self.step != Step::FinalOutcome {
                self.seen.notify_one();
            }
        }
    }

    async fn discovery_and_platform(self: Rc<Self>, stream: TcpStream) {
        let mut stream = ServerConnection::new(stream);
        while let Ok(Some(asked)) = stream.next().await {
            let answer = if asked.path == "/v2/finals" {
                let lines = String::from_utf8(asked.body).unwrap();
                self.finals.borrow_mut().extend(lines.lines().map(str::to_owned));
                self.seen.notify_one();
                if self.step == Step::FinalOutcome && !self.second.get() {
                    continue;
                }
                "HTTP/1.1 204 x\r\n\r\n".to_owned()
            } else {
                let line = format!("{}\n", self.list.borrow());
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                format!("{head}{:x}\r\n{line}\r\n", line.len())
            };
            let _ = stream.write(answer.as_bytes()).await;
        }
    }

    /// Listens, and serves each connection by one of the two above.
    async fn listen<F: Future<Output = ()> + 'static>(
        self: &Rc<Self>,
        serve: impl Fn(Rc<Self>, TcpStream) -> F + 'static,
    ) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (at, surroundings) = (listener.local_addr().unwrap(), self.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve(surroundings.clone(), stream));
            }
        });
        at
    }
}

fn list(revision: u64, endpoint: Option<SocketAddr>) -> Value {
    let row = |at: SocketAddr| json!({"id": format!("e{revision}"), "host_port": at.to_string(), "cell": 9, "phase": "up"});
    let rows: Vec<_> = endpoint.into_iter().map(row).collect();
    json!({"revision": revision, "complete": true, "members": rows})
}

/// A process of an instance with its state directory, and with configuration and log in another directory.
fn start(state: &ScratchDirectory, beside: &ScratchDirectory, configuration: &Value) -> InstanceProcess {
    let [config, log] = ["config", "log"].map(|name| beside.0.join(name));
    std::fs::write(&config, configuration.to_string()).unwrap();
    InstanceProcess::start(Path::new(env!("CARGO_BIN_EXE_quillhub")), &config, &state.0, &log).unwrap()
}

fn configuration(listen: SocketAddr, discovery: SocketAddr, known: Value) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "memorySpanUs": DEDUPLICATION_WINDOW.as_micros() as u64,
            "aimUs": 1_000_000, "giveUpUs": 12_000_000})
    };
    let classes = [class("free", "free"), class("marked", "guarded"), class("once", "single_shot")];
    json!({"listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "7", "known": known,
        "limits": {"sockets": 256, "disk_mb": 1}, "settings": {"familyInfo": {"maxCalls": 4},
        "limits": {"mostTries": 9, "maxOpen": 9}, "classes": classes}})
}

/// An address of an instance's own: nobody else binds to its host, so that its port stays free.
fn own_address() -> SocketAddr {
    static NUMBER: AtomicU8 = AtomicU8::new(1);
    let host = format!("127.0.83.{}:0", NUMBER.fetch_add(1, Ordering::Relaxed));
    std::net::TcpListener::bind(host).unwrap().local_addr().unwrap()
}

async fn submit(listen: SocketAddr, class: &str) {
    let list = format!("c={class},d=12000,k=5c,dest=9");
    let mut client = TcpStream::connect(listen).await.unwrap();
    let command = command(&["SUBMIT", "0", "ab", &list, "body"].map(str::as_bytes));
    assert_eq!(send_command(&mut client, &command).await.unwrap(), "+OK");
}

/// Plays one message's life across two processes, and checks that it had one outcome and was executed once at most.
async fn life(step: Step, class: &str, signal: &str) {
    let what = format!("{step:?}, {class}, {signal}");
    let (state, beside) = (ScratchDirectory::new(), ScratchDirectory::new());
    let (full, _queue) = unconnectable_address();
    let surroundings = Rc::new(Surroundings {
        step,
        second: Cell::new(false),
        calls: RefCell::default(),
        finals: RefCell::default(),
        seen: Notify::new(),
        list: RefCell::new(Value::Null),
    });
    let endpoint = surroundings.listen(Surroundings::endpoint).await;
    let discovery = surroundings.listen(Surroundings::discovery_and_platform).await;
    let first_list = match step {
        Step::Accepted => list(1, None),
        Step::Opening => list(1, Some(full)),
        _ => list(1, Some(endpoint)),
    };
    surroundings.list.replace(first_list.clone());
    let listen = own_address();
    let mut first = start(&state, &beside, &configuration(listen, discovery, first_list));
    assert!(wait_until_ready(listen, LONG).await, "{what}");
    submit(listen, class).await;
    if !matches!(step, Step::Accepted | Step::Opening) {
        surroundings.seen.notified().await;
    }
    assert!(first.signal(signal).unwrap());
    let status = first.wait_for_exit().await.unwrap();
    assert!(signal == "KILL" || status.success(), "{what}: {status}");

    surroundings.second.set(true);
    let finals_before = surroundings.finals.borrow().len();
    surroundings.list.replace(list(2, Some(endpoint)));
    let listen = own_address();
    let mut second = start(&state, &beside, &configuration(listen, discovery, list(2, Some(endpoint))));
    assert!(wait_until_ready(listen, LONG).await, "{what}");
    let delivered = || surroundings.calls.borrow().iter().any(|(_, second)| *second);
    let told_platform = || {
        step != Step::FinalOutcome && finals_before > 0 || surroundings.finals.borrow().len() > finals_before
    };
    while !delivered() && !told_platform() {
        surroundings.seen.notified().await;
    }
    assert!(second.signal("TERM").unwrap()); // it ends once nothing is pending
    assert!(second.wait_for_exit().await.unwrap().success(), "{what}");

    assert_one_outcome(&surroundings, step, class, signal);
}

/// Checks what the endpoint and the platform saw of one message's life.
fn assert_one_outcome(surroundings: &Surroundings, step: Step, class: &str, signal: &str) {
    let what = format!("{step:?}, {class}, {signal}");
    let delivered = || surroundings.calls.borrow().iter().any(|(_, second)| *second);
    let (calls, finals) = (surroundings.calls.borrow(), surroundings.finals.borrow());
    let before = calls.iter().filter(|(_, second)| !second).count();
    let kinds = |kind: &str| finals.iter().filter(|line| line.contains(kind)).count();
    let (dead, bounced) = (kinds("\"dead\""), kinds("\"bounced\""));
    assert_eq!((dead + bounced, dead * bounced), (finals.len(), 0), "{what}: {finals:?}");
    assert_eq!(u32::from(delivered()) + u32::from(!finals.is_empty()), 1, "{what}: one outcome");
    match (step, class) {
        (Step::Accepted | Step::Opening, _) => {
            assert_eq!((before, calls.len()), (0, 1), "{what}: attempted once")
        }
        // Whether the last byte of a request that has begun still came is chance, and nobody knows.
        (Step::Begun, "once") => assert!(calls.len() <= 1 && dead > 0, "{what}: never twice"),
        (_, "once") => assert_eq!((calls.len(), dead > 0), (1, true), "{what}: never twice"),
        (_, "marked") => {
            let late = calls.iter().any(|(at, _)| *at > calls[0].0 + DEDUPLICATION_WINDOW + SLACK);
            assert!(!late && dead == 0 && (signal == "TERM" || delivered()), "{what}: {calls:?}");
        }
        _ => assert!(delivered(), "{what}: retried"),
    }
}

#[test]
fn a_message_has_one_outcome_wherever_in_its_life_the_process_is_stopped_or_killed() {
    on_one_thread(async {
        let mut lives = Vec::new();
        for signal in ["KILL", "TERM"] {
            for step in [Step::Accepted, Step::Opening, Step::Begun, Step::Complete, Step::HalfResponse] {
                lives.extend(EFFECTS.map(|class| (step, class, signal)));
            }
            lives.push((Step::FinalOutcome, "once", signal));
        }
        let ends = lives.into_iter().map(|(step, class, signal)| {
            let life = timeout(LONG, life(step, class, signal));
            (spawn_local(life), (step, class, signal))
        });
        for (life, what) in ends.collect::<Vec<_>>() {
            assert!(life.await.unwrap().is_ok(), "no outcome: {what:?}");
        }
    });
}

#[test]
fn signals_that_cross_a_start_or_a_stop_end_the_process_as_one_does() {
    let whole = async {
        let (state, beside) = (ScratchDirectory::new(), ScratchDirectory::new());
        let (listen, silent) = (own_address(), TcpListener::bind("127.0.0.1:0").await.unwrap());
        let plan = configuration(listen, silent.local_addr().unwrap(), list(1, None));
        // Before it is ready, perhaps before it can catch any.
        let mut early = start(&state, &beside, &plan);
        assert!(early.signal("TERM").unwrap());
        let ended = early.wait_for_exit().await.unwrap();
        assert!(ended.success() || ended.code().is_none(), "{ended}");
        // With a message pending, so that the stop lasts.
        let mut instance = start(&state, &beside, &plan);
        assert!(wait_until_ready(listen, LONG).await);
        submit(listen, "free").await;
        for signal in ["TERM", "HUP", "INT", "HUP", "TERM"] {
            assert!(instance.signal(signal).unwrap());
        }
        assert!(instance.wait_for_exit().await.unwrap().success());
    };
    on_one_thread(async { timeout(LONG, whole).await.expect("it does not end") });
}
