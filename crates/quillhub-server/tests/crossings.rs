//! A real courier's process, told to stop or killed at each step of a notice's life, and started again on its folder.
//! The signal follows an event that the endpoint, the platform or the client has seen; nothing is left to the clock.

use quillhub_fakes::clients::{ask, command, ready};
use quillhub_fakes::http::Served;
use quillhub_fakes::process::InstanceProcess;
use quillhub_fakes::scratch::{Folder, on_one_thread};
use quillhub_fakes::scripted::full;
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

const MEMORY: Duration = Duration::from_secs(6);
/// What the page allows on each time limit.
const SLACK: Duration = Duration::from_millis(50);
/// Far more than any of this takes.
const LONG: Duration = Duration::from_secs(40);
const EFFECTS: [&str; 3] = ["free", "marked", "once"];

/// Where in a notice's life the signal comes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// Taken on, and no endpoint known yet.
    Taken,
    /// The connection to its endpoint does not come up.
    Opening,
    /// The call's first byte has come, and the last may not have.
    Begun,
    /// The call's last byte has come.
    Whole,
    /// A part of the answer's first line was written.
    HalfAnswer,
    /// The platform has read its final answer and confirmed nothing.
    FinalAnswer,
}

/// Endpoint, discovery and platform on loopback, and what they saw.
struct World {
    step: Step,
    /// Whether the process that ran at first has ended: from then on all is well.
    second: Cell<bool>,
    calls: RefCell<Vec<(Instant, bool)>>,
    finals: RefCell<Vec<String>>,
    seen: Notify,
    list: RefCell<Value>,
}

impl World {
    async fn endpoint(self: Rc<Self>, stream: TcpStream) {
        if self.step == Step::Begun && matches!(stream.peek(&mut [0; 1]).await, Ok(1)) {
            self.seen.notify_one();
        }
        let mut stream = Served::new(stream);
        while let Ok(Some(_)) = stream.next().await {
            let second = self.second.get();
            self.calls.borrow_mut().push((Instant::now(), second));
            let answer = match self.step {
                _ if second => "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                Step::HalfAnswer => "HTTP/1.1 2",
                Step::FinalAnswer => "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n",
                _ => "",
            };
            let _ = stream.write(answer.as_bytes()).await;
            if self.step != Step::FinalAnswer {
                self.seen.notify_one();
            }
        }
    }

    async fn discovery_and_platform(self: Rc<Self>, stream: TcpStream) {
        let mut stream = Served::new(stream);
        while let Ok(Some(asked)) = stream.next().await {
            let answer = if asked.path == "/v2/finals" {
                let lines = String::from_utf8(asked.body).unwrap();
                self.finals.borrow_mut().extend(lines.lines().map(str::to_owned));
                self.seen.notify_one();
                if self.step == Step::FinalAnswer && !self.second.get() {
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
        let (at, world) = (listener.local_addr().unwrap(), self.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve(world.clone(), stream));
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

/// A process of a courier that keeps what it has in `folder`, with configuration and log in another.
fn start(folder: &Folder, beside: &Folder, configuration: &Value) -> InstanceProcess {
    let [config, log] = ["config", "log"].map(|name| beside.0.join(name));
    std::fs::write(&config, configuration.to_string()).unwrap();
    InstanceProcess::start(Path::new(env!("CARGO_BIN_EXE_quillhub")), &config, &folder.0, &log).unwrap()
}

fn configuration(listen: SocketAddr, discovery: SocketAddr, known: Value) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "memorySpanUs": MEMORY.as_micros() as u64,
            "aimUs": 1_000_000, "giveUpUs": 12_000_000})
    };
    let classes = [class("free", "free"), class("marked", "guarded"), class("once", "single_shot")];
    json!({"listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "7", "known": known,
        "limits": {"sockets": 256, "disk_mb": 1}, "settings": {"familyInfo": {"maxCalls": 4},
        "limits": {"mostTries": 9, "maxOpen": 9}, "classes": classes}})
}

/// An address of a courier's own: nobody else binds to its host, so that its port stays free.
fn own_address() -> SocketAddr {
    static NUMBER: AtomicU8 = AtomicU8::new(1);
    let host = format!("127.0.83.{}:0", NUMBER.fetch_add(1, Ordering::Relaxed));
    std::net::TcpListener::bind(host).unwrap().local_addr().unwrap()
}

async fn hand_in(listen: SocketAddr, grade: &str) {
    let list = format!("c={grade},d=12000,k=5c,dest=9");
    let mut client = TcpStream::connect(listen).await.unwrap();
    let submit = command(&["SUBMIT", "0", "ab", &list, "body"].map(str::as_bytes));
    assert_eq!(ask(&mut client, &submit).await.unwrap(), "+OK");
}

/// Plays one notice's life across two processes, and checks that it had one end and no effect twice.
async fn life(step: Step, grade: &str, signal: &str) {
    let what = format!("{step:?}, {grade}, {signal}");
    let (folder, beside) = (Folder::new(), Folder::new());
    let (full, _queue) = full();
    let world = Rc::new(World {
        step,
        second: Cell::new(false),
        calls: RefCell::default(),
        finals: RefCell::default(),
        seen: Notify::new(),
        list: RefCell::new(Value::Null),
    });
    let endpoint = world.listen(World::endpoint).await;
    let discovery = world.listen(World::discovery_and_platform).await;
    let first_list = match step {
        Step::Taken => list(1, None),
        Step::Opening => list(1, Some(full)),
        _ => list(1, Some(endpoint)),
    };
    world.list.replace(first_list.clone());
    let listen = own_address();
    let mut first = start(&folder, &beside, &configuration(listen, discovery, first_list));
    assert!(ready(listen, LONG).await, "{what}");
    hand_in(listen, grade).await;
    if !matches!(step, Step::Taken | Step::Opening) {
        world.seen.notified().await;
    }
    assert!(first.signal(signal).unwrap());
    let status = first.end().await.unwrap();
    assert!(signal == "KILL" || status.success(), "{what}: {status}");

    world.second.set(true);
    let finals_before = world.finals.borrow().len();
    world.list.replace(list(2, Some(endpoint)));
    let listen = own_address();
    let mut second = start(&folder, &beside, &configuration(listen, discovery, list(2, Some(endpoint))));
    assert!(ready(listen, LONG).await, "{what}");
    let handled = || world.calls.borrow().iter().any(|(_, second)| *second);
    let told =
        || step != Step::FinalAnswer && finals_before > 0 || world.finals.borrow().len() > finals_before;
    while !handled() && !told() {
        world.seen.notified().await;
    }
    assert!(second.signal("TERM").unwrap()); // it ends once nothing is owed
    assert!(second.end().await.unwrap().success(), "{what}");

    let (calls, finals) = (world.calls.borrow(), world.finals.borrow());
    let before = calls.iter().filter(|(_, second)| !second).count();
    let kinds = |kind: &str| finals.iter().filter(|line| line.contains(kind)).count();
    let (dead, bounced) = (kinds("\"dead\""), kinds("\"bounced\""));
    assert_eq!((dead + bounced, dead * bounced), (finals.len(), 0), "{what}: {finals:?}");
    assert_eq!(u32::from(handled()) + u32::from(!finals.is_empty()), 1, "{what}: one end");
    match (step, grade) {
        (Step::Taken | Step::Opening, _) => assert_eq!((before, calls.len()), (0, 1), "{what}: tried once"),
        // Whether the last byte of a call that has begun still came is chance, and told to nobody.
        (Step::Begun, "once") => assert!(calls.len() <= 1 && dead > 0, "{what}: never twice"),
        (_, "once") => assert_eq!((calls.len(), dead > 0), (1, true), "{what}: never twice"),
        (_, "marked") => {
            let late = calls.iter().any(|(at, _)| *at > calls[0].0 + MEMORY + SLACK);
            assert!(!late && dead == 0 && (signal == "TERM" || handled()), "{what}: {calls:?}");
        }
        _ => assert!(handled(), "{what}: tried again"),
    }
}

#[test]
fn a_notice_has_one_end_wherever_in_its_life_the_process_is_stopped_or_killed() {
    on_one_thread(async {
        let mut lives = Vec::new();
        for signal in ["KILL", "TERM"] {
            for step in [Step::Taken, Step::Opening, Step::Begun, Step::Whole, Step::HalfAnswer] {
                lives.extend(EFFECTS.map(|grade| (step, grade, signal)));
            }
            lives.push((Step::FinalAnswer, "once", signal));
        }
        let ends = lives.into_iter().map(|(step, grade, signal)| {
            let life = timeout(LONG, life(step, grade, signal));
            (spawn_local(life), (step, grade, signal))
        });
        for (life, what) in ends.collect::<Vec<_>>() {
            assert!(life.await.unwrap().is_ok(), "no end: {what:?}");
        }
    });
}

#[test]
fn signals_that_cross_a_start_or_a_stop_end_the_process_as_one_does() {
    let whole = async {
        let (folder, beside) = (Folder::new(), Folder::new());
        let (listen, silent) = (own_address(), TcpListener::bind("127.0.0.1:0").await.unwrap());
        let plan = configuration(listen, silent.local_addr().unwrap(), list(1, None));
        // Before it is ready, perhaps before it can catch any.
        let mut early = start(&folder, &beside, &plan);
        assert!(early.signal("TERM").unwrap());
        let ended = early.end().await.unwrap();
        assert!(ended.success() || ended.code().is_none(), "{ended}");
        // With a notice held, so that the stop lasts.
        let mut courier = start(&folder, &beside, &plan);
        assert!(ready(listen, LONG).await);
        hand_in(listen, "free").await;
        for signal in ["TERM", "HUP", "INT", "HUP", "TERM"] {
            assert!(courier.signal(signal).unwrap());
        }
        assert!(courier.end().await.unwrap().success());
    };
    on_one_thread(async { timeout(LONG, whole).await.expect("it does not end") });
}
