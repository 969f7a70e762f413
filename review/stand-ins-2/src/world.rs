//! Stand-ins for endpoints, for discovery and the platform, and for clients, and the control of the courier process.
//!
//! All addresses are loopback addresses. Each connection has a thread of its own. Everything that is seen on the sockets
//! is kept as a list of events, from which the checks of the cases are computed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What was seen, and when.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client handed in a message.
    Submitted { id: String, class: String, key: String, order: u64, dest: u64, d_ms: u64, body: Vec<u8> },
    /// What the client got for it; `None` if its connection ended or 400 ms passed without an answer.
    Reply { id: String, reply: Option<String> },
    /// The last byte of a call came to an endpoint.
    Call {
        call: u64,
        endpoint: String,
        cell: u64,
        conn: u64,
        id: String,
        key: String,
        x_deadline: String,
        body: Vec<u8>,
    },
    /// A call got its answer (first line written).
    Answer { call: u64, status: String, ran: bool },
    /// The courier ended the connection of a call that had no answer.
    Left { call: u64 },
    /// A call gets no answer from the endpoint, which may break its connection.
    Broken { call: u64, ran: bool },
    /// A notice came to the platform.
    Notice { id: String, result: String, line: String },
    /// Anything else, for the record.
    Note(String),
}

pub struct World {
    pub start: Instant,
    pub events: Mutex<Vec<(Duration, Event)>>,
    pub calls: AtomicU64,
    pub conns: AtomicU64,
    pub over: AtomicBool,
}

impl World {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            events: Mutex::new(Vec::new()),
            calls: AtomicU64::new(0),
            conns: AtomicU64::new(0),
            over: AtomicBool::new(false),
        })
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn add(&self, event: Event) -> Duration {
        let mut events = self.events.lock().unwrap();
        let now = self.now();
        events.push((now, event));
        now
    }

    pub fn note(&self, text: impl Into<String>) {
        self.add(Event::Note(text.into()));
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    pub fn snapshot(&self) -> Vec<(Duration, Event)> {
        self.events.lock().unwrap().clone()
    }

    /// Writes all events and `verdict` to a file.
    pub fn write_record(&self, path: &Path, verdict: &str) {
        let mut text = String::new();
        for (time, event) in self.snapshot() {
            let _ = write!(text, "{:>9.3} ", time.as_secs_f64() * 1e3);
            let _ = match event {
                Event::Submitted { id, class, key, order, dest, d_ms, body } => {
                    writeln!(text, "ms client submits {id} class={class} key={key} order={order} dest={dest} d={d_ms} body={}", body.len())
                }
                Event::Reply { id, reply } => writeln!(text, "ms client gets for {id}: {reply:?}"),
                Event::Call { call, endpoint, cell, conn, id, key, x_deadline, body } => writeln!(
                    text,
                    "ms endpoint {endpoint} (cell {cell}) gets call {call} on connection {conn}: {id} key={key} X-Deadline={x_deadline} body={}",
                    body.len()
                ),
                Event::Answer { call, status, ran } => writeln!(text, "ms call {call} is answered {status}, ran: {ran}"),
                Event::Left { call } => writeln!(text, "ms call {call}: the courier ended its connection"),
                Event::Broken { call, ran } => writeln!(text, "ms call {call} gets no answer from the endpoint, ran: {ran}"),
                Event::Notice { line, .. } => writeln!(text, "ms platform gets notice {line}"),
                Event::Note(note) => writeln!(text, "ms {note}"),
            };
        }
        let _ = writeln!(text, "{verdict}");
        let _ = std::fs::write(path, text);
    }
}

/// Small generator of pseudo-random numbers (xorshift).
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn below(&mut self, n: u64) -> u64 {
        (self.next() >> 11) % n
    }
}

/// Call at an endpoint, as its behaviour sees it.
pub struct CallInfo {
    pub id: String,
    pub key: String,
}

/// What follows an answer, or the lack of one.
#[derive(Clone, Copy, PartialEq)]
pub enum Then {
    Keep,
    Close,
    Reset,
    /// Noise follows after some time.
    Late(Duration),
    /// Interim responses are written until the connection breaks.
    EndlessInterim,
}

/// What an endpoint does with a call.
pub struct Plan {
    pub delay: Duration,
    pub ran: bool,
    /// Bytes of the answer; `None` for no answer.
    pub answer: Option<Vec<u8>>,
    pub then: Then,
}

pub fn answer(status: &str, headers: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n{headers}\r\n").into_bytes()
}

impl Plan {
    pub fn ok(delay: Duration) -> Self {
        Self { delay, ran: true, answer: Some(answer("200 OK", "")), then: Then::Keep }
    }
    pub fn hang() -> Self {
        Self { delay: Duration::from_secs(600), ran: false, answer: None, then: Then::Keep }
    }
    pub fn status(status: &str, headers: &str, delay: Duration, ran: bool) -> Self {
        Self { delay, ran, answer: Some(answer(status, headers)), then: Then::Keep }
    }
}

pub type Behaviour = Arc<dyn Fn(&CallInfo) -> Plan + Send + Sync>;

pub struct Endpoint {
    pub id: String,
    pub cell: u64,
    pub address: SocketAddr,
    shut: Arc<AtomicBool>,
}

impl Endpoint {
    /// Ends the endpoint: its listener closes, and its connections are reset.
    pub fn stop(&self) {
        self.shut.store(true, Ordering::Relaxed);
        // Wakes the listener.
        let _ = TcpStream::connect(self.address);
    }
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn reset(stream: &TcpStream) {
    // The standard library has no stable SO_LINGER; closing with unread input resets the connection on Linux. Without
    // unread input this is an ordinary close.
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

pub fn start_endpoint(
    world: &Arc<World>,
    id: &str,
    cell: u64,
    at: Option<SocketAddr>,
    behaviour: Behaviour,
) -> Arc<Endpoint> {
    let mut tries = 0;
    let listener = loop {
        match TcpListener::bind(at.unwrap_or_else(|| "127.0.0.1:0".parse().unwrap())) {
            Ok(listener) => break listener,
            Err(error) if tries > 100 => panic!("endpoint {id}: {error}"),
            Err(_) => thread::sleep(ms(20)),
        }
        tries += 1;
    };
    let address = listener.local_addr().unwrap();
    let shut = Arc::new(AtomicBool::new(false));
    let endpoint = Arc::new(Endpoint { id: id.into(), cell, address, shut: shut.clone() });
    let (world, made) = (world.clone(), endpoint.clone());
    thread::spawn(move || {
        for stream in listener.incoming() {
            if shut.load(Ordering::Relaxed) || world.is_over() {
                return;
            }
            let Ok(stream) = stream else { continue };
            let (world, endpoint, behaviour, shut) =
                (world.clone(), made.clone(), behaviour.clone(), shut.clone());
            thread::spawn(move || serve_calls(&world, &endpoint, stream, &behaviour, &shut));
        }
    });
    endpoint
}

/// Request that was read.
pub struct Request {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one HTTP request; `None` at the end of the connection.
pub fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    shut: &dyn Fn() -> bool,
) -> Option<Request> {
    let _ = stream.set_read_timeout(Some(ms(20)));
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let line = lines.next().unwrap_or_default().to_owned();
            let headers: BTreeMap<String, String> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let length: usize = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some(Request { line, headers, body });
            }
        }
        let mut bytes = [0; 16384];
        match stream.read(&mut bytes) {
            Ok(0) => return None,
            Ok(n) => buffer.extend_from_slice(&bytes[..n]),
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) =>
            {
                if shut() {
                    return None;
                }
            }
            Err(_) => return None,
        }
    }
}

/// Returns `true` if the other side has ended the connection.
fn has_left(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(n) => n == 0,
        Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
    }
}

fn serve_calls(
    world: &Arc<World>,
    endpoint: &Endpoint,
    mut stream: TcpStream,
    behaviour: &Behaviour,
    shut: &AtomicBool,
) {
    let conn = world.conns.fetch_add(1, Ordering::Relaxed);
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    let ended = || shut.load(Ordering::Relaxed) || world.is_over();
    loop {
        let Some(request) = read_request(&mut stream, &mut buffer, &ended) else { return };
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let info = CallInfo { id: header("x-request-id"), key: header("idempotency-key") };
        let call = world.calls.fetch_add(1, Ordering::Relaxed);
        world.add(Event::Call {
            call,
            endpoint: endpoint.id.clone(),
            cell: endpoint.cell,
            conn,
            id: info.id.clone(),
            key: info.key.clone(),
            x_deadline: header("x-deadline"),
            body: request.body.clone(),
        });
        let plan = behaviour(&info);
        let due = Instant::now() + plan.delay;
        while Instant::now() < due {
            if ended() {
                world.add(Event::Broken { call, ran: plan.ran });
                reset(&stream);
                return;
            }
            if has_left(&stream) {
                world.add(Event::Left { call });
                return;
            }
            thread::sleep(ms(2).min(due.saturating_duration_since(Instant::now())));
        }
        if plan.then == Then::EndlessInterim {
            let started = Instant::now();
            world.note(format!("call {call} gets interim responses that do not end"));
            let bytes = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(2000);
            let _ = stream.set_write_timeout(Some(ms(500)));
            let mut sent = 0usize;
            while !ended() {
                match stream.write(&bytes[sent % 25..]) {
                    Ok(n) => sent += n,
                    Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                    Err(_) => break,
                }
            }
            world.note(format!(
                "call {call}: {} MB of interim responses in {:?}",
                sent >> 20,
                started.elapsed()
            ));
            world.add(Event::Left { call });
            return;
        }
        match plan.answer {
            Some(bytes) => {
                let text = String::from_utf8_lossy(&bytes).into_owned();
                let first = text
                    .lines()
                    .find(|line| !line.starts_with("HTTP/1.1 1") && !line.is_empty())
                    .unwrap_or_default()
                    .to_owned();
                if stream.write_all(&bytes).is_err() {
                    world.add(Event::Left { call });
                    return;
                }
                // An answer that says that the message was not run, although it was, is a spoilt one.
                let is_spoilt = plan.ran && !first.contains(" 200") && !first.contains(" 500");
                let status = if is_spoilt { format!("{first} (spoilt)") } else { first };
                world.add(Event::Answer { call, status, ran: plan.ran });
                if let Then::Late(wait) = plan.then {
                    thread::sleep(wait);
                    let _ = stream.write_all(b"and more");
                    continue;
                }
            }
            None => {
                world.add(Event::Broken { call, ran: plan.ran });
            }
        }
        if plan.then != Then::Keep {
            reset(&stream);
            return;
        }
    }
}

/// Entry of the endpoint list.
#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub cell: u64,
    pub phase: &'static str,
    pub zone: &'static str,
    /// Revision of the last change.
    pub changed: u64,
}

impl Member {
    fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"m1\",\"cell\":{},\"phase\":\"{}\",\"size\":1.0,\"up_since_ms\":0}}",
            self.id, self.address, self.zone, self.cell, self.phase
        )
    }
}

/// Returns the zone of an endpoint, by the last digit of its name.
pub fn zone_of(id: &str) -> &'static str {
    if id.ends_with(['1', '3', '5', '7', '9']) {
        "b"
    } else {
        "a"
    }
}

/// Discovery's list, as the agent beside the courier has it.
pub struct Registry {
    pub members: BTreeMap<String, Member>,
    pub revision: u64,
    /// `true` while discovery is down: the agent is silent.
    pub down: bool,
}

impl Registry {
    pub fn set(&mut self, id: &str, address: SocketAddr, cell: u64, phase: &'static str) {
        self.revision += 1;
        let member =
            Member { id: id.into(), address, cell, phase, zone: zone_of(id), changed: self.revision };
        self.members.insert(id.into(), member);
    }

    pub fn list(&self) -> String {
        let rows: Vec<_> = self.members.values().filter(|m| m.phase != "removed").map(Member::json).collect();
        format!("{{\"revision\":{},\"complete\":true,\"members\":[{}]}}", self.revision, rows.join(","))
    }

    fn changes_after(&self, after: u64) -> Option<String> {
        let rows: Vec<_> = self.members.values().filter(|m| m.changed > after).map(Member::json).collect();
        (!rows.is_empty()).then(|| {
            format!("{{\"revision\":{},\"complete\":false,\"members\":[{}]}}", self.revision, rows.join(","))
        })
    }
}

pub struct Platform {
    pub address: SocketAddr,
    shut: Arc<AtomicBool>,
}

impl Platform {
    /// Starts an agent with the same registry at another address.
    pub fn start(world: &Arc<World>, registry: &Arc<Mutex<Registry>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shut = Arc::new(AtomicBool::new(false));
        let (world, served, stopped) = (world.clone(), registry.clone(), shut.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                if stopped.load(Ordering::Relaxed) || world.is_over() {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (world, registry, shut) = (world.clone(), served.clone(), stopped.clone());
                thread::spawn(move || serve_platform(&world, &registry, stream, &shut));
            }
        });
        Self { address, shut }
    }

    /// Accepts no new connection from now on, and closes the open ones.
    pub fn stop(&self) {
        self.shut.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }
}

fn json_text(line: &str, name: &str) -> String {
    let start = line.find(&format!("\"{name}\":\"")).map(|at| at + name.len() + 4);
    start.and_then(|at| line[at..].split('"').next()).unwrap_or_default().to_owned()
}

fn serve_platform(world: &Arc<World>, registry: &Mutex<Registry>, mut stream: TcpStream, shut: &AtomicBool) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    let ended = || shut.load(Ordering::Relaxed) || world.is_over();
    while let Some(request) = read_request(&mut stream, &mut buffer, &ended) {
        if request.line.starts_with("POST /v2/finals") {
            for line in String::from_utf8_lossy(&request.body).lines().filter(|line| !line.trim().is_empty())
            {
                let (id, result) = (json_text(line, "ref"), json_text(line, "result"));
                world.add(Event::Notice { id, result, line: line.to_owned() });
            }
            if stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                return;
            }
            continue;
        }
        world.note(format!("discovery gets {}", request.line));
        while registry.lock().unwrap().down {
            if ended() || has_left(&stream) {
                return;
            }
            thread::sleep(ms(5));
        }
        if !request.line.contains("watch=1") {
            let list = registry.lock().unwrap().list();
            let reply = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{list}",
                list.len()
            );
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
            world.note(format!(
                "discovery answers with the whole list, revision {}",
                registry.lock().unwrap().revision
            ));
            continue;
        }
        let after =
            request.line.split("after=").nth(1).and_then(|rest| rest.split([' ', '&']).next()?.parse().ok());
        let mut known: u64 = after.unwrap_or(0);
        if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        let mut last = Instant::now();
        let mut first = true;
        loop {
            if ended() || has_left(&stream) {
                return;
            }
            let (text, revision) = {
                let registry = registry.lock().unwrap();
                let text = if registry.down {
                    None
                } else if known > registry.revision {
                    Some(registry.list())
                } else {
                    registry.changes_after(known)
                };
                (text, registry.revision)
            };
            let down = registry.lock().unwrap().down;
            let line = match text {
                Some(text) => {
                    world.note(format!("discovery tells revision {revision}"));
                    known = revision;
                    format!("{text}\n")
                }
                None if !down && (first || last.elapsed() >= ms(2000)) => "\n".to_owned(),
                None => {
                    thread::sleep(ms(3));
                    continue;
                }
            };
            first = false;
            last = Instant::now();
            if stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Processes to end if a case takes too long.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and this one with status 2, if it runs for longer than `limit`.
pub fn watch_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for pid in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").arg("-KILL").arg(pid.to_string()).status();
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

/// The courier's process.
pub struct Courier {
    pub child: Child,
}

/// Returns the line `run` of the deploy file.
fn run_line(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let line = text.lines().find(|line| line.starts_with("run")).unwrap();
    line.split('"').nth(1).unwrap().to_owned()
}

pub fn start_courier(root: &Path, config: &Path, state: &Path, log: &Path) -> Courier {
    let file = std::fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
    let level = std::env::var("COURIER_LOG").unwrap_or_default();
    let run = if level.is_empty() { run_line(root) } else { format!("{} --log {level}", run_line(root)) };
    let child = Command::new("/bin/sh")
        .arg("-c")
        .arg(run)
        .current_dir(root)
        .env("RELAY_CONFIG", config)
        .env("RELAY_STATE", state)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(file)
        .spawn()
        .expect("the courier starts");
    STARTED.lock().unwrap().push(child.id());
    Courier { child }
}

impl Courier {
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|pid| *pid != self.child.id());
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process ends, and returns `false` if it did not by then.
    pub fn wait_end(&mut self, limit: Duration) -> bool {
        let due = Instant::now() + limit;
        while Instant::now() < due {
            if !self.is_running() {
                return true;
            }
            thread::sleep(ms(5));
        }
        false
    }
}

impl Drop for Courier {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until `PING` is answered.
pub fn wait_ready(listen: SocketAddr, limit: Duration) -> bool {
    let due = Instant::now() + limit;
    while Instant::now() < due {
        if let Ok(mut stream) = TcpStream::connect(listen) {
            let _ = stream.set_read_timeout(Some(ms(500)));
            let mut reply = [0; 7];
            if stream.write_all(b"*1\r\n$4\r\nPING\r\n").is_ok()
                && stream.read_exact(&mut reply).is_ok()
                && &reply == b"+PONG\r\n"
            {
                return true;
            }
        }
        thread::sleep(ms(10));
    }
    false
}

/// Returns `true` if `PING` is answered in time on a new connection.
pub fn wait_ready_for(listen: SocketAddr, limit: Duration) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&listen, limit) else { return false };
    let _ = stream.set_read_timeout(Some(limit));
    let mut reply = [0; 7];
    stream.write_all(b"*1\r\n$4\r\nPING\r\n").is_ok()
        && stream.read_exact(&mut reply).is_ok()
        && &reply == b"+PONG\r\n"
}

/// Message that a client hands in.
#[derive(Clone)]
pub struct Message {
    pub id: String,
    pub class: &'static str,
    pub key: String,
    pub order: u64,
    pub dest: u64,
    pub d_ms: u64,
    pub body: Vec<u8>,
}

impl Message {
    pub fn new(id: impl Into<String>, class: &'static str, dest: u64, d_ms: u64) -> Self {
        Self { id: id.into(), class, key: String::new(), order: 0, dest, d_ms, body: b"hello".to_vec() }
    }

    pub fn encode(&self) -> Vec<u8> {
        let key = if self.key.is_empty() { String::new() } else { format!(",k={}", self.key) };
        let list = format!("c={},d={}{key},dest={}", self.class, self.d_ms, self.dest);
        let order = format!("{:016x}", self.order);
        let mut bytes = b"*5\r\n$6\r\nSUBMIT\r\n".to_vec();
        for part in [order.as_bytes(), self.id.as_bytes(), list.as_bytes(), &self.body[..]] {
            bytes.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
            bytes.extend_from_slice(part);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes
    }
}

/// Reason for which a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unanswered {
    /// The connection ended.
    Ended,
    /// 400 ms have passed.
    TooLate,
    /// No connection could be made.
    Refused,
}

/// Client with one connection.
pub struct Client {
    pub listen: SocketAddr,
    pub stream: Option<TcpStream>,
}

impl Client {
    pub fn new(listen: SocketAddr) -> Self {
        Self { listen, stream: None }
    }

    /// Opens the connection, if there is none.
    pub fn connect(&mut self) {
        if self.stream.is_none() {
            self.stream = TcpStream::connect(self.listen).ok();
        }
    }

    /// Hands in a message and returns the answer. A request that crosses the end of a resting connection is sent once more
    /// on a new one.
    pub fn submit(&mut self, world: &World, message: &Message) -> Option<String> {
        let kept = self.stream.is_some();
        // The time of a message counts from when its request is sent.
        self.connect();
        world.add(Event::Submitted {
            id: message.id.clone(),
            class: message.class.into(),
            key: message.key.clone(),
            order: message.order,
            dest: message.dest,
            d_ms: message.d_ms,
            body: message.body.clone(),
        });
        let mut reply = self.exchange(&message.encode());
        if reply == Err(Unanswered::Ended) && kept {
            reply = self.exchange(&message.encode());
        }
        if reply == Err(Unanswered::Ended) {
            world.note(format!("no answer on a new connection: {}", message.id));
        }
        let reply = reply.ok();
        world.add(Event::Reply { id: message.id.clone(), reply: reply.clone() });
        reply
    }

    fn exchange(&mut self, bytes: &[u8]) -> Result<String, Unanswered> {
        let result = self.try_exchange(bytes);
        if result.is_err() {
            self.stream = None;
        }
        result
    }

    fn try_exchange(&mut self, bytes: &[u8]) -> Result<String, Unanswered> {
        if self.stream.is_none() {
            let stream = TcpStream::connect(self.listen).map_err(|_| Unanswered::Refused)?;
            let _ = stream.set_nodelay(true);
            self.stream = Some(stream);
        }
        let stream = self.stream.as_mut().ok_or(Unanswered::Refused)?;
        let _ = stream.set_read_timeout(Some(ms(400)));
        stream.write_all(bytes).map_err(|_| Unanswered::Ended)?;
        let mut line = Vec::new();
        let mut byte = [0];
        while !line.ends_with(b"\r\n") {
            match stream.read(&mut byte) {
                Ok(1) => line.push(byte[0]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(Unanswered::TooLate);
                }
                _ => return Err(Unanswered::Ended),
            }
        }
        Ok(String::from_utf8_lossy(&line).trim().to_owned())
    }
}

/// Temporary folder, which is removed at the end.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new() -> Self {
        let nanos =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().subsec_nanos();
        let path = std::env::temp_dir().join(format!("review-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(path.join("state")).unwrap();
        Self(path)
    }
    pub fn config(&self) -> PathBuf {
        self.0.join("config.json")
    }
    pub fn state(&self) -> PathBuf {
        self.0.join("state")
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Returns the messages that were taken on and have neither been delivered nor ended by a notice `limit` after their
/// time was up, apart from the `spoilt` ones.
pub fn lost_messages(world: &World, limit: Duration, spoilt: &BTreeSet<String>) -> Vec<String> {
    let (mut deadlines, mut taken, mut ended, mut call_ids) =
        (BTreeMap::new(), BTreeSet::new(), BTreeMap::new(), BTreeMap::new());
    for (time, event) in world.snapshot() {
        match event {
            Event::Submitted { id, d_ms, .. } => drop(deadlines.insert(id, time + ms(d_ms))),
            Event::Reply { id, reply: Some(reply) } if reply.starts_with('+') => drop(taken.insert(id)),
            Event::Call { call, id, .. } => drop(call_ids.insert(call, id)),
            Event::Answer { call, status, .. } if status.contains(" 200") => {
                ended.entry(call_ids[&call].clone()).or_insert(time);
            }
            Event::Notice { id, .. } => {
                ended.entry(id).or_insert(time);
            }
            _ => {}
        }
    }
    let is_lost = |id: &&String| ended.get(*id).is_none_or(|at| *at > deadlines[*id] + limit);
    let lost = taken.iter().filter(|id| !spoilt.contains(*id)).filter(is_lost);
    lost.map(|id| format!("{id}: time up at {:?}, ended at {:?}", deadlines[id], ended.get(id))).collect()
}
