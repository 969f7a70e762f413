//! Tests of an instance's process that is terminated or killed while it handles a message, and then restarted with the
//! same state directory.
//!
//! The signal is sent after an event that the endpoint, the platform or the client observed, so that the tests do not
//! depend on timing.

use quillhub_fakes::clients::{command, send_command, wait_until_ready};
use quillhub_fakes::http::ServerConnection;
use quillhub_fakes::process::{InstanceProcess, Signal};
use quillhub_fakes::scratch::{ScratchDirectory, on_one_thread, unused_address};
use quillhub_fakes::scripted::unconnectable_address;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(6);
/// Tolerance for the time at which a request is received.
const TOLERANCE: Duration = Duration::from_millis(50);
/// Time limit of a test, far longer than the test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(40);
/// Names of the configured service classes: idempotent, deduplicated, at most once.
const SERVICE_CLASSES: [&str; 3] = ["free", "marked", "once"];

/// Progress of a message at the time of the signal.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// The message is accepted and no endpoint is known.
    Accepted,
    /// The connection to the endpoint is being opened and never opens.
    Opening,
    /// The endpoint has received the first byte of the request, and possibly not the last.
    RequestStarted,
    /// The endpoint has received the complete request.
    RequestReceived,
    /// The endpoint has sent a part of the response's status line.
    PartialResponse,
    /// The platform has received the final outcome and not confirmed it.
    FinalOutcome,
}

/// Endpoint, discovery and platform on loopback, with what they received.
struct Environment {
    step: Step,
    /// Set once the first process has exited; the endpoint and the platform respond normally from then on.
    restarted: Cell<bool>,
    /// Time of each request at the endpoint, with `true` if it came from the second process.
    requests: RefCell<Vec<(Instant, bool)>>,
    /// Lines of final outcomes that the platform received.
    final_outcomes: RefCell<Vec<String>>,
    /// Notified of each event at the endpoint or the platform that the test waits for.
    observed: Notify,
    /// Endpoint list that discovery sends.
    list: RefCell<Value>,
}

impl Environment {
    /// Serves one connection at the endpoint.
    async fn serve_endpoint(self: Rc<Self>, stream: TcpStream) {
        if self.step == Step::RequestStarted && matches!(stream.peek(&mut [0; 1]).await, Ok(1)) {
            self.observed.notify_one();
        }
        let mut stream = ServerConnection::new(stream);
        while let Ok(Some(_)) = stream.next().await {
            let restarted = self.restarted.get();
            self.requests.borrow_mut().push((Instant::now(), restarted));
            let response = match self.step {
                _ if restarted => "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                Step::PartialResponse => "HTTP/1.1 2",
                Step::FinalOutcome => "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n",
                _ => "",
            };
            let _ = stream.write(response.as_bytes()).await;
            if self.step != Step::FinalOutcome {
                self.observed.notify_one();
            }
        }
    }

    /// Serves one connection at discovery or the platform.
    async fn serve_discovery_and_platform(self: Rc<Self>, stream: TcpStream) {
        let mut stream = ServerConnection::new(stream);
        while let Ok(Some(request)) = stream.next().await {
            let response = if request.path == "/v2/finals" {
                let lines = String::from_utf8(request.body).unwrap();
                self.final_outcomes.borrow_mut().extend(lines.lines().map(str::to_owned));
                self.observed.notify_one();
                if self.step == Step::FinalOutcome && !self.restarted.get() {
                    continue;
                }
                "HTTP/1.1 204 x\r\n\r\n".to_owned()
            } else {
                let line = format!("{}\n", self.list.borrow());
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                format!("{head}{:x}\r\n{line}\r\n", line.len())
            };
            let _ = stream.write(response.as_bytes()).await;
        }
    }

    /// Listens on a new address, runs `serve` for each connection, and returns the address.
    async fn listen<F: Future<Output = ()> + 'static>(
        self: &Rc<Self>,
        serve: impl Fn(Rc<Self>, TcpStream) -> F + 'static,
    ) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (address, environment) = (listener.local_addr().unwrap(), self.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve(environment.clone(), stream));
            }
        });
        address
    }
}

/// Returns an endpoint list with at most one endpoint.
fn list(revision: u64, endpoint: Option<SocketAddr>) -> Value {
    let member = |address: SocketAddr| {
        json!({"id": format!("e{revision}"), "host_port": address.to_string(),
            "cell": 9, "phase": "up"})
    };
    let members: Vec<_> = endpoint.into_iter().map(member).collect();
    json!({"revision": revision, "complete": true, "members": members})
}

/// Starts the process of an instance, with its state directory in `state` and its configuration and log in `files`.
fn start(state: &ScratchDirectory, files: &ScratchDirectory, configuration: &Value) -> InstanceProcess {
    let [config, log] = ["config", "log"].map(|name| files.0.join(name));
    std::fs::write(&config, configuration.to_string()).unwrap();
    InstanceProcess::start(Path::new(env!("CARGO_BIN_EXE_quillhub")), &config, &state.0, &log).unwrap()
}

/// Returns the configuration of an instance.
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

/// Submits a message of a service class and checks that it is accepted.
async fn submit(listen: SocketAddr, class: &str) {
    let fields = format!("c={class},d=12000,k=5c,dest=9");
    let mut client = TcpStream::connect(listen).await.unwrap();
    let command = command(&["SUBMIT", "0", "ab", &fields, "body"].map(str::as_bytes));
    assert_eq!(send_command(&mut client, &command).await.unwrap(), "+OK");
}

/// Handles one message with two processes, the first of which gets `signal` at `step`, and checks that the message gets
/// exactly one outcome and, unless it is idempotent, no attempt that could execute it a second time.
async fn check_restart(step: Step, class: &str, signal: Signal) {
    let case = format!("{step:?}, {class}, {signal:?}");
    let (state, files) = (ScratchDirectory::new(), ScratchDirectory::new());
    let (unresponsive, _full_queue) = unconnectable_address();
    let environment = Rc::new(Environment {
        step,
        restarted: Cell::new(false),
        requests: RefCell::default(),
        final_outcomes: RefCell::default(),
        observed: Notify::new(),
        list: RefCell::new(Value::Null),
    });
    let endpoint = environment.listen(Environment::serve_endpoint).await;
    let discovery = environment.listen(Environment::serve_discovery_and_platform).await;
    let first_list = match step {
        Step::Accepted => list(1, None),
        Step::Opening => list(1, Some(unresponsive)),
        _ => list(1, Some(endpoint)),
    };
    environment.list.replace(first_list.clone());
    let listen = unused_address();
    let mut first = start(&state, &files, &configuration(listen, discovery, first_list));
    assert!(wait_until_ready(listen, TEST_TIMEOUT).await, "{case}");
    submit(listen, class).await;
    if !matches!(step, Step::Accepted | Step::Opening) {
        environment.observed.notified().await;
    }
    assert!(first.signal(signal).unwrap());
    let status = first.wait_for_exit().await.unwrap();
    assert!(signal == Signal::KILL || status.success(), "{case}: {status}");

    environment.restarted.set(true);
    let outcomes_before = environment.final_outcomes.borrow().len();
    environment.list.replace(list(2, Some(endpoint)));
    let listen = unused_address();
    let mut second = start(&state, &files, &configuration(listen, discovery, list(2, Some(endpoint))));
    assert!(wait_until_ready(listen, TEST_TIMEOUT).await, "{case}");
    let delivered = || environment.requests.borrow().iter().any(|(_, by_second)| *by_second);
    let outcome_reported = || {
        step != Step::FinalOutcome && outcomes_before > 0
            || environment.final_outcomes.borrow().len() > outcomes_before
    };
    while !delivered() && !outcome_reported() {
        environment.observed.notified().await;
    }
    assert!(second.signal(Signal::TERM).unwrap()); // it exits once no message is pending
    assert!(second.wait_for_exit().await.unwrap().success(), "{case}");

    assert_single_outcome(&environment, step, class, signal);
}

/// Checks which requests and final outcomes the endpoint and the platform received.
fn assert_single_outcome(environment: &Environment, step: Step, class: &str, signal: Signal) {
    let case = format!("{step:?}, {class}, {signal:?}");
    let delivered = || environment.requests.borrow().iter().any(|(_, by_second)| *by_second);
    let (requests, outcomes) = (environment.requests.borrow(), environment.final_outcomes.borrow());
    let by_first = requests.iter().filter(|(_, by_second)| !by_second).count();
    let count = |result: &str| outcomes.iter().filter(|line| line.contains(result)).count();
    let (abandoned, rejected) = (count("\"dead\""), count("\"bounced\""));
    assert_eq!((abandoned + rejected, abandoned * rejected), (outcomes.len(), 0), "{case}: {outcomes:?}");
    assert_eq!(u32::from(delivered()) + u32::from(!outcomes.is_empty()), 1, "{case}: one outcome");
    match (step, class) {
        (Step::Accepted | Step::Opening, _) => {
            assert_eq!((by_first, requests.len()), (0, 1), "{case}: attempted once")
        }
        // The endpoint may or may not have received the rest of the request, which the instance cannot know.
        (Step::RequestStarted, "once") => {
            assert!(requests.len() <= 1 && abandoned > 0, "{case}: never twice")
        }
        (_, "once") => assert_eq!((requests.len(), abandoned > 0), (1, true), "{case}: never twice"),
        (_, "marked") => {
            let late =
                requests.iter().any(|(time, _)| *time > requests[0].0 + DEDUPLICATION_WINDOW + TOLERANCE);
            assert!(
                !late && abandoned == 0 && (signal == Signal::TERM || delivered()),
                "{case}: {requests:?}"
            );
        }
        _ => assert!(delivered(), "{case}: retried"),
    }
}

/// Guards against messages that are lost, finished twice or executed twice because their process was terminated or
/// killed, at each step of their handling.
#[test]
fn a_message_has_one_outcome_at_whichever_step_the_process_is_terminated_or_killed() {
    on_one_thread(async {
        let mut cases = Vec::new();
        for signal in [Signal::KILL, Signal::TERM] {
            for step in [
                Step::Accepted,
                Step::Opening,
                Step::RequestStarted,
                Step::RequestReceived,
                Step::PartialResponse,
            ] {
                cases.extend(SERVICE_CLASSES.map(|class| (step, class, signal)));
            }
            cases.push((Step::FinalOutcome, "once", signal));
        }
        let running = cases.into_iter().map(|(step, class, signal)| {
            let check = timeout(TEST_TIMEOUT, check_restart(step, class, signal));
            (spawn_local(check), (step, class, signal))
        });
        for (check, case) in running.collect::<Vec<_>>() {
            assert!(check.await.unwrap().is_ok(), "one outcome in time: {case:?}");
        }
    });
}

/// Guards against a process that does not exit, or fails, because a signal arrives before it is ready or while it
/// already shuts down.
#[test]
fn further_signals_and_early_ones_end_the_process_regularly() {
    let test = async {
        let (state, files) = (ScratchDirectory::new(), ScratchDirectory::new());
        let (listen, silent) = (unused_address(), TcpListener::bind("127.0.0.1:0").await.unwrap());
        let configuration = configuration(listen, silent.local_addr().unwrap(), list(1, None));
        // Before the process is ready, and possibly before it has installed its signal handlers.
        let mut early = start(&state, &files, &configuration);
        assert!(early.signal(Signal::TERM).unwrap());
        let status = early.wait_for_exit().await.unwrap();
        assert!(status.success() || status.code().is_none(), "{status}");
        // With a message pending, so that the shutdown takes some time.
        let mut instance = start(&state, &files, &configuration);
        assert!(wait_until_ready(listen, TEST_TIMEOUT).await);
        submit(listen, "free").await;
        for signal in [Signal::TERM, Signal::HUP, Signal::INT, Signal::HUP, Signal::TERM] {
            assert!(instance.signal(signal).unwrap());
        }
        assert!(instance.wait_for_exit().await.unwrap().success());
    };
    on_one_thread(async { timeout(TEST_TIMEOUT, test).await.expect("the process exits in time") });
}
