//! Takeover of a state directory: a killed instance is replaced by one of another build.

use crate::instance::{Server, listed_endpoint, service_class, write_configuration};
use quillhub_fakes::clients::{command, open, send_command, wait_until_ready};
use quillhub_fakes::http::{Request, ServerConnection};
use quillhub_fakes::platform::Discovery;
use quillhub_fakes::process::{InstanceProcess, Signal};
use quillhub_fakes::scratch::ScratchDirectory;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Time for which the first instance is under load before it is killed.
const LOAD_TIME: Duration = Duration::from_secs(3);
/// Number of client connections; each submits one message after the other.
const CONNECTIONS: usize = 8;
/// Deadline of most messages, in milliseconds: far longer than the run.
const DEADLINE_MS: u64 = 120_000;
/// Deadline of the messages that may expire before the kill, in milliseconds.
const SHORT_DEADLINE_MS: u64 = 1_500;
/// Time in which an instance must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which all pending messages must be finished after the takeover.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which further outcomes are awaited once every message has one.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time before the kill in which the response to a delivery may not have been recorded yet.
const UNRECORDED_TIME: Duration = Duration::from_millis(100);
/// Bytes of a frame before the part that its length field counts.
const FRAME_PREFIX_BYTES: usize = 8;

/// Destination whose endpoint responds with status 200.
const DELIVERING: u64 = 1;
/// Destination whose endpoint rejects until the takeover.
const REJECTING: u64 = 2;
/// Destination whose endpoint does not respond until the takeover.
const HANGING: u64 = 3;
/// Destination whose endpoint refuses connections until the takeover.
const REFUSING: u64 = 4;

/// Service class and destination of the messages, in turn. Messages of the last kind may expire before
/// the kill.
const MESSAGE_KINDS: [(&str, u64); 9] = [
    ("free", DELIVERING),
    ("once", DELIVERING),
    ("keyed", DELIVERING),
    ("free", REJECTING),
    ("once", REJECTING),
    ("free", HANGING),
    ("once", HANGING),
    ("keyed", REFUSING),
    ("brief", HANGING),
];

/// Observations of a message by the clients, the endpoints and the platform.
#[derive(Default)]
struct Observations {
    accepted: bool,
    at_most_once: bool,
    first_delivery: Option<Instant>,
    first_deliveries: u32,
    second_deliveries: u32,
    /// Outcome notifications that the platform confirmed; it confirms none before the takeover.
    confirmed_outcomes: u32,
}

/// State shared by the clients and the servers of a run.
#[derive(Default)]
struct Run {
    messages: RefCell<BTreeMap<String, Observations>>,
    not_accepted: Cell<u64>,
    unconfirmed_outcomes: Cell<u64>,
    taken_over: Cell<bool>,
}

impl Run {
    fn observe(&self, id: &str, change: impl FnOnce(&mut Observations)) {
        change(self.messages.borrow_mut().entry(id.to_owned()).or_default());
    }

    fn on_delivery(&self, id: &str) {
        let by_second = self.taken_over.get();
        self.observe(id, |message| {
            if by_second {
                message.second_deliveries += 1;
            } else {
                message.first_deliveries += 1;
                message.first_delivery = Some(Instant::now());
            }
        });
    }
}

async fn serve_endpoint(run: Rc<Run>, destination: u64, mut stream: ServerConnection) {
    while let Ok(Some(request)) = stream.next().await {
        let id = request.id.unwrap_or_default();
        let taken_over = run.taken_over.get();
        if destination == HANGING && !taken_over {
            std::future::pending::<()>().await;
        }
        if destination == REJECTING && !taken_over {
            let _ = stream.answer(503, "", b"").await;
            continue;
        }
        if stream.answer(200, "", b"").await.is_ok() {
            run.on_delivery(&id);
        }
    }
}

/// Serves discovery and the platform, which confirms no outcome before the takeover, unlike the one of the fakes.
async fn serve_control(run: Rc<Run>, list: Value, mut stream: ServerConnection) {
    while let Ok(Some(request)) = stream.next().await {
        let served = match request.path.as_str() {
            "/v2/finals" => confirm_outcomes(&run, &request, &mut stream).await,
            _ => write_endpoint_list(&mut stream, &list).await,
        };
        if served.is_err() {
            return;
        }
    }
}

/// Writes the chunked response to a request for the endpoint list or for its changes.
async fn write_endpoint_list(stream: &mut ServerConnection, list: &Value) -> io::Result<()> {
    let line = format!("{list}\n");
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes()).await
}

async fn confirm_outcomes(run: &Run, request: &Request, stream: &mut ServerConnection) -> io::Result<()> {
    let text = String::from_utf8_lossy(&request.body).into_owned();
    if !run.taken_over.get() {
        run.unconfirmed_outcomes.set(run.unconfirmed_outcomes.get() + text.lines().count() as u64);
        return stream.answer(503, "", b"").await;
    }
    for line in text.lines() {
        let outcome: Value = serde_json::from_str(line)?;
        run.observe(outcome["ref"].as_str().unwrap_or_default(), |message| message.confirmed_outcomes += 1);
    }
    stream.answer(204, "", b"").await
}

/// Submits messages until the instance is gone.
async fn submit_messages(run: Rc<Run>, instance: SocketAddr, next: Rc<Cell<usize>>) -> io::Result<()> {
    let mut stream = open(instance).await?;
    loop {
        let number = next.replace(next.get() + 1);
        let (class, destination) = MESSAGE_KINDS[number % MESSAGE_KINDS.len()];
        let id = format!("{number:08x}");
        run.observe(&id, |message| message.at_most_once = class == "once");
        let key = if class == "keyed" { format!(",k={number:08x}") } else { String::new() };
        let deadline_ms = if class == "brief" { SHORT_DEADLINE_MS } else { DEADLINE_MS };
        let list = format!("c={class},d={deadline_ms}{key},dest={destination}");
        let parts: [&[u8]; 5] = [b"SUBMIT", b"0", id.as_bytes(), list.as_bytes(), b"body"];
        match send_command(&mut stream, &command(&parts)).await?.as_str() {
            "+OK" => run.observe(&id, |message| message.accepted = true),
            _ => run.not_accepted.set(run.not_accepted.get() + 1),
        }
        sleep(Duration::from_millis(2)).await;
    }
}

/// Returns the number of frames in each segment of `state`.
fn frames_per_segment(state: &Path) -> io::Result<Vec<usize>> {
    let mut segments: Vec<_> =
        std::fs::read_dir(state)?.map(|entry| Ok(entry?.path())).collect::<io::Result<_>>()?;
    segments.sort();
    segments.iter().map(|segment| Ok(count_frames(&std::fs::read(segment)?))).collect()
}

fn count_frames(mut octets: &[u8]) -> usize {
    let mut count = 0;
    while let Some(length) = octets.first_chunk().map(|length| u32::from_le_bytes(*length) as usize) {
        let Some(rest) = octets.get(FRAME_PREFIX_BYTES + length..) else { break };
        octets = rest;
        count += 1;
    }
    count
}

/// Servers that the instances call, and the configuration of both instances.
struct Environment {
    configuration: Value,
    listen: SocketAddr,
    refusing: Server,
    _servers: Vec<Server>,
}

async fn start_servers(run: &Rc<Run>) -> io::Result<Environment> {
    let mut servers = Vec::new();
    let mut endpoints = Vec::new();
    for destination in [DELIVERING, REJECTING, HANGING] {
        let mut server = Server::closed()?;
        let shared = run.clone();
        server.open(move |stream| serve_endpoint(shared.clone(), destination, stream)).await?;
        endpoints.push(listed_endpoint(&format!("e{destination}"), server.address, destination));
        servers.push(server);
    }
    let refusing = Server::closed()?;
    endpoints.push(listed_endpoint("e4", refusing.address, REFUSING));
    let list = Discovery::new(&endpoints).borrow().list();
    let mut control = Server::closed()?;
    let (shared, known) = (run.clone(), list.clone());
    control.open(move |stream| serve_control(shared.clone(), known.clone(), stream)).await?;
    let listen = Server::closed()?.address;
    let classes = [
        service_class("free", "free", DEADLINE_MS),
        service_class("once", "single_shot", DEADLINE_MS),
        service_class("keyed", "guarded", DEADLINE_MS),
        service_class("brief", "free", SHORT_DEADLINE_MS),
    ];
    let configuration = json!({"listen": listen.to_string(), "discovery": control.address.to_string(), "seed": "7",
        "limits": {"sockets": 512, "disk_mb": 4}, "known": list,
        "settings": {"familyInfo": {"maxCalls": 64}, "classes": classes,
        "limits": {"mostTries": 40, "maxOpen": 100_000, "retryAfter": true, "maxRetryAfterUs": 1_000_000}}});
    servers.push(control);
    Ok(Environment { configuration, listen, refusing, _servers: servers })
}

/// Numbers of messages with each observation.
#[derive(Debug, Default)]
struct Summary {
    accepted: u32,
    delivered_by_first: u32,
    delivered_just_before_kill: u32,
    pending_at_kill: u32,
    delivered_by_second: u32,
    notified_by_second: u32,
    without_outcome: u32,
    with_several_outcomes: u32,
    executed_twice: u32,
}

fn summarize(run: &Run, killed: Instant) -> Summary {
    let mut summary = Summary::default();
    for message in run.messages.borrow().values() {
        let outcomes = message.second_deliveries + message.confirmed_outcomes;
        let executions = message.first_deliveries + message.second_deliveries;
        summary.executed_twice += u32::from(message.at_most_once && executions > 1);
        summary.with_several_outcomes += u32::from(outcomes > 1);
        if !message.accepted {
            continue;
        }
        summary.accepted += 1;
        match message.first_delivery {
            Some(delivered) if killed.saturating_duration_since(delivered) > UNRECORDED_TIME => {
                summary.delivered_by_first += 1;
                summary.with_several_outcomes += u32::from(outcomes == 1);
            }
            Some(_) => summary.delivered_just_before_kill += 1,
            None => {
                summary.pending_at_kill += 1;
                summary.delivered_by_second += message.second_deliveries;
                summary.notified_by_second += message.confirmed_outcomes;
                summary.without_outcome += u32::from(outcomes == 0);
            }
        }
    }
    summary
}

/// Kills an instance of `first` under load and lets one of `second` finish its messages.
pub async fn run(first: &Path, second: &Path) -> Result<(), String> {
    let (state, directory) = (ScratchDirectory::new(), ScratchDirectory::new());
    let run = Rc::new(Run::default());
    let failed = |error: io::Error| error.to_string();
    let mut environment = start_servers(&run).await.map_err(failed)?;
    let config = write_configuration(&directory, &environment.configuration).map_err(failed)?;
    let start = |program, log| InstanceProcess::start(program, &config, &state.0, &directory.0.join(log));
    let mut instance = start(first, "first.log").map_err(failed)?;
    if !wait_until_ready(environment.listen, READY_TIMEOUT).await {
        return Err("the first instance is not ready".into());
    }
    let (mut clients, next) = (JoinSet::new(), Rc::new(Cell::new(0)));
    for _ in 0..CONNECTIONS {
        clients.spawn_local(submit_messages(run.clone(), environment.listen, next.clone()));
    }
    sleep(LOAD_TIME).await;
    if !instance.signal(Signal::KILL).map_err(failed)? {
        return Err("the first instance cannot be killed".into());
    }
    instance.wait_for_exit().await.map_err(failed)?;
    let killed = Instant::now();
    while clients.join_next().await.is_some() {}
    let frames = frames_per_segment(&state.0).map_err(failed)?;
    println!("state directory at the kill: {} segments with {frames:?} records", frames.len());
    run.taken_over.set(true);
    let _second = start(second, "second.log").map_err(failed)?;
    if !wait_until_ready(environment.listen, READY_TIMEOUT).await {
        return Err("the second instance is not ready".into());
    }
    println!("second instance ready {:.3} s after the kill", killed.elapsed().as_secs_f64());
    let shared = run.clone();
    let serve = move |stream| serve_endpoint(shared.clone(), REFUSING, stream);
    environment.refusing.open(serve).await.map_err(failed)?;
    while summarize(&run, killed).without_outcome > 0 && killed.elapsed() < FINISH_TIMEOUT {
        sleep(Duration::from_millis(50)).await;
    }
    println!("waiting for outcomes ended {:.3} s after the kill", killed.elapsed().as_secs_f64());
    sleep(SETTLE_TIME).await;
    report(&run, killed)
}

fn report(run: &Run, killed: Instant) -> Result<(), String> {
    let summary = summarize(run, killed);
    println!("{summary:#?}");
    println!("submissions not accepted: {}", run.not_accepted.get());
    println!("outcomes notified before the kill, not confirmed: {}", run.unconfirmed_outcomes.get());
    let broken = summary.without_outcome + summary.with_several_outcomes + summary.executed_twice;
    if broken > 0 {
        return Err("not every message has exactly one outcome".into());
    }
    if summary.pending_at_kill == 0 || summary.delivered_by_second == 0 || summary.notified_by_second == 0 {
        return Err("the run is inconclusive: no message was pending at the kill, or the second instance delivered or reported none".into());
    }
    Ok(())
}
