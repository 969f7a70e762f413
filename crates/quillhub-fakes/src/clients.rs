//! Open-loop clients of one instance: each message has its instant, and its times count from then on, whether or not
//! a connection was free. What is rejected is submitted again as the scenario's clients do.

use quillhub_simulator::{Arrival, FinalOutcome, Scenario};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// A client waits so long for the instance's reply, then closes.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest reply of an instance.
const MAX_REPLY_BYTES: usize = 4 * 1024;

/// A message to come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledMessage {
    /// When it is submitted first.
    pub at: Duration,
    /// Its service class, by its place in the scenario's list.
    pub service_class: usize,
    /// The number of its destination, from 1.
    pub destination: u64,
}

impl From<Arrival> for ScheduledMessage {
    fn from(arrival: Arrival) -> Self {
        Self { at: arrival.at, service_class: arrival.service_class, destination: arrival.destination }
    }
}

/// What a client knows of a message, from its instant on.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The message.
    pub message: ScheduledMessage,
    /// How often it was rejected.
    pub rejections: u32,
    /// From its instant to the instance's first reply.
    pub first_reply: Option<Duration>,
    /// From its instant to its final outcome, and that outcome.
    pub outcome: Option<(Duration, FinalOutcome)>,
}

/// All messages of a run, and the ids under which they were submitted. Both are as long as the run.
pub struct RequestLog {
    /// In the order of their instants.
    pub requests: Vec<ClientRequest>,
    /// The place in `requests` of each id.
    pub ids: BTreeMap<String, usize>,
    /// Submissions that were accepted.
    pub accepted: u64,
    /// Submissions that were rejected.
    pub rejected: u64,
    /// Submissions with any other reply or none.
    pub failed: u64,
    /// From a submission's first byte to its rejection, in the order of their coming.
    pub rejection_times: Vec<Duration>,
    started: Instant,
    scenario: &'static Scenario,
    rng: Pcg64Mcg,
    next: u64,
}

/// The log of a run, shared by its clients.
pub type SharedLog = Rc<RefCell<RequestLog>>;

impl RequestLog {
    /// The empty log of a run that begins at `started`.
    pub fn new(scenario: &'static Scenario, seed: u64, started: Instant) -> SharedLog {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let (requests, ids, rejection_times) = (Vec::new(), BTreeMap::new(), Vec::new());
        let (accepted, rejected, failed, next) = (0, 0, 0, 0);
        let log =
            Self { requests, ids, accepted, rejected, failed, rejection_times, started, scenario, rng, next };
        Rc::new(RefCell::new(log))
    }

    /// Whether each message has its final outcome.
    pub fn is_over(&self) -> bool {
        self.requests.iter().all(|request| request.outcome.is_some())
    }

    /// Records a final outcome that came some other way than by a reply; only the first counts. The request's place.
    pub fn finish(&mut self, id: &str, at: Instant, outcome: FinalOutcome) -> Option<usize> {
        let request = *self.ids.get(id)?;
        let after = at.saturating_duration_since(self.started + self.requests[request].message.at);
        self.requests[request].outcome.get_or_insert((after, outcome));
        Some(request)
    }
}

/// Submits `messages`, each at its instant, over at most `connections` at once; ends when the last was submitted.
pub async fn play(
    log: SharedLog,
    instance: SocketAddr,
    messages: Vec<ScheduledMessage>,
    connections: usize,
    body: usize,
) {
    let pool = Rc::new(Pool {
        idle: RefCell::new(Vec::new()),
        permits: Semaphore::new(connections.max(1)),
        instance,
    });
    let body: Rc<[u8]> = vec![b'.'; body].into();
    for message in messages {
        let (started, request) = {
            let mut log = log.borrow_mut();
            log.requests.push(ClientRequest { message, rejections: 0, first_reply: None, outcome: None });
            (log.started, log.requests.len() - 1)
        };
        sleep_until(started + message.at).await;
        spawn_local(submit(log.clone(), pool.clone(), request, body.clone()));
    }
}

/// A message was rejected by a notification to the platform: its client retries, as after any rejection.
pub fn retry_rejected(
    log: SharedLog,
    instance: SocketAddr,
    request: usize,
    wait: Option<Duration>,
    body: usize,
) {
    let pool = Rc::new(Pool { idle: RefCell::new(Vec::new()), permits: Semaphore::new(1), instance });
    spawn_local(async move {
        if wait_for_retry(&log, request, wait).await {
            submit(log, pool, request, vec![b'.'; body].into()).await;
        }
    });
}

struct Pool {
    idle: RefCell<Vec<TcpStream>>,
    permits: Semaphore,
    instance: SocketAddr,
}

/// Waits as a client does after a rejection; false if it gives up.
async fn wait_for_retry(log: &SharedLog, request: usize, retry_after: Option<Duration>) -> bool {
    let wait = {
        let mut log = log.borrow_mut();
        let log = &mut *log;
        let of = &mut log.requests[request];
        of.rejections += 1;
        let deadline = log.scenario.service_classes[of.message.service_class].deadline;
        let after = log.started.elapsed().saturating_sub(of.message.at);
        if of.rejections > log.scenario.clients.retries || after >= deadline {
            of.outcome.get_or_insert((after, FinalOutcome::Rejected { retry_after: None }));
            return false;
        }
        log.scenario
            .clients
            .backoff
            .mul_f64(log.rng.random_range(0.5..1.0))
            .max(retry_after.unwrap_or_default())
    };
    sleep(wait).await;
    true
}

/// Submits a message, and again after each rejection, until it is accepted or its client gives up.
async fn submit(log: SharedLog, pool: Rc<Pool>, request: usize, body: Rc<[u8]>) {
    loop {
        let Submission { id, metadata } = next_submission(&mut log.borrow_mut(), request);
        let parts: [&[u8]; 5] = [b"SUBMIT", b"0000000000000000", id.as_bytes(), metadata.as_bytes(), &body];
        let command = command(&parts);
        let Ok(permit) = pool.permits.acquire().await else { return };
        let begun = Instant::now();
        let reply = timeout(REPLY_TIMEOUT, exchange(&pool, &command)).await;
        let reply = reply.unwrap_or(Err(std::io::ErrorKind::TimedOut.into()));
        drop(permit);
        let retry_after = match log.borrow_mut().replied(request, &id, reply, begun.elapsed()) {
            Reply::Accepted => return,
            Reply::Refused { retry_after } => retry_after,
        };
        if !wait_for_retry(&log, request, retry_after).await {
            return;
        }
    }
}

/// One submission of a message.
struct Submission {
    id: String,
    metadata: String,
}

fn next_submission(log: &mut RequestLog, request: usize) -> Submission {
    log.next += 1;
    let id = format!("{:016x}", log.next);
    log.ids.insert(id.clone(), request);
    let message = log.requests[request].message;
    let service_class = &log.scenario.service_classes[message.service_class];
    let age = log.started.elapsed().saturating_sub(message.at);
    let left = service_class.deadline.saturating_sub(age).as_millis();
    let is_deduplicated = !service_class.deduplication_window.is_zero();
    let key = if is_deduplicated { format!(",k={request:016x}") } else { String::new() };
    let metadata = format!("c={},d={left}{key},dest={}", service_class.name, message.destination);
    Submission { id, metadata }
}

/// What an instance's reply means for the client.
enum Reply {
    Accepted,
    /// Rejected, or anything else or nothing.
    Refused {
        retry_after: Option<Duration>,
    },
}

impl RequestLog {
    /// Records the reply to a submission that took `took`.
    fn replied(&mut self, request: usize, id: &str, reply: std::io::Result<String>, took: Duration) -> Reply {
        let age = self.started.elapsed().saturating_sub(self.requests[request].message.at);
        self.requests[request].first_reply.get_or_insert(age);
        match reply {
            Ok(reply) if reply.starts_with('+') || reply.starts_with('$') => {
                self.accepted += 1;
                Reply::Accepted
            }
            Ok(reply) if reply.starts_with("-BUSY") => {
                self.rejected += 1;
                self.rejection_times.push(took);
                let wait = reply["-BUSY".len()..].trim().parse().ok();
                Reply::Refused { retry_after: wait.map(Duration::from_millis) }
            }
            _ => {
                self.failed += 1;
                self.ids.remove(id); // what becomes of it under that id counts for nothing
                Reply::Refused { retry_after: None }
            }
        }
    }
}

/// A command of these parts, as it is written.
pub fn command(parts: &[&[u8]]) -> Vec<u8> {
    let mut command = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        command.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        command.extend_from_slice(part);
        command.extend_from_slice(b"\r\n");
    }
    command
}

/// Writes one command on a kept or a new connection and reads one line.
async fn exchange(pool: &Pool, command: &[u8]) -> std::io::Result<String> {
    let kept = pool.idle.borrow_mut().pop();
    let fresh = kept.is_none();
    let mut stream = match kept {
        Some(stream) => stream,
        None => open(pool.instance).await?,
    };
    let mut reply = ask(&mut stream, command).await;
    // A kept connection may have been closed while it idled; the command goes once more on a new one.
    if reply.is_err() && !fresh {
        stream = open(pool.instance).await?;
        reply = ask(&mut stream, command).await;
    }
    let reply = reply?;
    pool.idle.borrow_mut().push(stream);
    Ok(reply)
}

/// A new connection to an instance.
pub async fn open(at: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(at).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Writes one command and reads one line.
pub async fn ask(stream: &mut TcpStream, command: &[u8]) -> std::io::Result<String> {
    stream.write_all(command).await?;
    let mut read = Vec::new();
    while !read.ends_with(b"\n") {
        if stream.read_buf(&mut read).await? == 0 || read.len() > MAX_REPLY_BYTES {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(String::from_utf8_lossy(&read).trim_end().into())
}

/// Whether the instance answers `PING` in time.
pub async fn ready(instance: SocketAddr, within: Duration) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        let reply_to_ping = async { ask(&mut open(instance).await?, b"*1\r\n$4\r\nPING\r\n").await };
        if let Ok(Ok(reply)) = timeout(REPLY_TIMEOUT, reply_to_ping).await
            && reply == "+PONG"
        {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    false
}
