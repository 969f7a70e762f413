//! Open-loop clients of one instance: each message has a scheduled time, from which its durations are measured even if
//! no connection is free then. Rejected messages are submitted again according to the scenario's `clients`
//! settings.

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

/// Time after which a client stops waiting for a reply of the instance and closes the connection.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Range of shares of its maximum retry delay from which a client draws its delay uniformly.
const RETRY_WAIT_SHARES: std::ops::Range<f64> = 0.5..1.0;
/// Maximum size of a reply of an instance, in bytes.
const MAX_REPLY_BYTES: usize = 4 * 1024;

/// Message to be submitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledMessage {
    /// Time of the first submission, measured from the start of the run.
    pub submit_at: Duration,
    /// Service class, as an index into the scenario's list.
    pub service_class: usize,
    /// Number of the destination, from 1.
    pub destination: u64,
}

impl From<Arrival> for ScheduledMessage {
    fn from(arrival: Arrival) -> Self {
        Self { submit_at: arrival.at, service_class: arrival.service_class, destination: arrival.destination }
    }
}

/// State of a message at its client; all times are measured from its scheduled time.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Message that the client submits.
    pub message: ScheduledMessage,
    /// Number of times the message was not accepted: rejected, or submitted without a valid reply.
    pub rejections: u32,
    /// Time until the first submission ended, with a reply or without; `None` before.
    pub first_submission_time: Option<Duration>,
    /// Time until the final outcome, and that outcome; `None` before.
    pub outcome: Option<(Duration, FinalOutcome)>,
}

/// All messages of a run with the ids under which they were submitted, and counts of submissions.
///
/// Nothing is removed during the run but the ids of submissions without a valid reply.
pub struct RequestLog {
    /// Messages so far, in the order of their scheduled times.
    pub requests: Vec<ClientRequest>,
    /// Index in `requests` by id; each submission of a message has its own id.
    pub ids: BTreeMap<String, usize>,
    /// Submissions that were accepted.
    pub accepted: u64,
    /// Submissions that were rejected.
    pub rejected: u64,
    /// Submissions with any other reply or none.
    pub failed: u64,
    /// Time from the start of each rejected submission to its rejection, in the order in which they were rejected.
    pub rejection_times: Vec<Duration>,
    started: Instant,
    scenario: &'static Scenario,
    rng: Pcg64Mcg,
    last_id: u64,
}

/// Log of a run, shared by its clients on one thread.
pub type SharedLog = Rc<RefCell<RequestLog>>;

impl RequestLog {
    /// Creates the empty log of a run that begins at `started`; `seed` determines the clients' retry delays.
    pub fn new(scenario: &'static Scenario, seed: u64, started: Instant) -> SharedLog {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let (requests, ids, rejection_times) = (Vec::new(), BTreeMap::new(), Vec::new());
        let (accepted, rejected, failed, last_id) = (0, 0, 0, 0);
        let log = Self {
            requests,
            ids,
            accepted,
            rejected,
            failed,
            rejection_times,
            started,
            scenario,
            rng,
            last_id,
        };
        Rc::new(RefCell::new(log))
    }

    /// Returns `true` if each message submitted so far has its final outcome.
    pub fn is_finished(&self) -> bool {
        self.requests.iter().all(|request| request.outcome.is_some())
    }

    /// Records the final outcome that an endpoint or the platform reported for `id` at `time`.
    ///
    /// A message keeps its first final outcome. Returns the message's index in `requests`, or `None` if no message has
    /// the id.
    pub fn finish(&mut self, id: &str, time: Instant, outcome: FinalOutcome) -> Option<usize> {
        let request = *self.ids.get(id)?;
        let after = time.saturating_duration_since(self.started + self.requests[request].message.submit_at);
        self.requests[request].outcome.get_or_insert((after, outcome));
        Some(request)
    }
}

/// Starts the submission of each of `messages` at its scheduled time, over at most `connections` connections.
///
/// Messages have bodies of `body_bytes` bytes. Returns once the last submission has started.
pub async fn submit_scheduled(
    log: SharedLog,
    instance: SocketAddr,
    messages: Vec<ScheduledMessage>,
    connections: usize,
    body_bytes: usize,
) {
    let pool = Rc::new(Pool {
        idle: RefCell::new(Vec::new()),
        permits: Semaphore::new(connections.max(1)),
        instance,
    });
    let body: Rc<[u8]> = vec![b'.'; body_bytes].into();
    for message in messages {
        let (started, request) = {
            let mut log = log.borrow_mut();
            log.requests.push(ClientRequest {
                message,
                rejections: 0,
                first_submission_time: None,
                outcome: None,
            });
            (log.started, log.requests.len() - 1)
        };
        sleep_until(started + message.submit_at).await;
        spawn_local(submit(log.clone(), pool.clone(), request, body.clone()));
    }
}

/// Retries a message whose rejection was reported to the platform, with the same delay and limit as after a rejected
/// submission.
///
/// `request` is the message's index in the log, and `wait` the requested delay.
pub fn retry_rejected(
    log: SharedLog,
    instance: SocketAddr,
    request: usize,
    wait: Option<Duration>,
    body_bytes: usize,
) {
    let pool = Rc::new(Pool { idle: RefCell::new(Vec::new()), permits: Semaphore::new(1), instance });
    spawn_local(async move {
        if wait_for_retry(&log, request, wait).await {
            submit(log, pool, request, vec![b'.'; body_bytes].into()).await;
        }
    });
}

struct Pool {
    idle: RefCell<Vec<TcpStream>>,
    permits: Semaphore,
    instance: SocketAddr,
}

/// Counts a rejection and waits before the retry; `false` if the client gives up instead.
///
/// The delay is a random share of the scenario's `max_backoff`, from half to all of it, or `retry_after` if that is
/// longer.
async fn wait_for_retry(log: &SharedLog, request: usize, retry_after: Option<Duration>) -> bool {
    let wait = {
        let mut log = log.borrow_mut();
        let log = &mut *log;
        let state = &mut log.requests[request];
        state.rejections += 1;
        let deadline = log.scenario.service_classes[state.message.service_class].deadline;
        let after = log.started.elapsed().saturating_sub(state.message.submit_at);
        if state.rejections > log.scenario.clients.max_retries || after >= deadline {
            state.outcome.get_or_insert((after, FinalOutcome::Rejected { retry_after: None }));
            return false;
        }
        log.scenario
            .clients
            .max_backoff
            .mul_f64(log.rng.random_range(RETRY_WAIT_SHARES))
            .max(retry_after.unwrap_or_default())
    };
    sleep(wait).await;
    true
}

/// Submits a message and retries it after each rejection until it is accepted or its client gives up.
async fn submit(log: SharedLog, pool: Rc<Pool>, request: usize, body: Rc<[u8]>) {
    loop {
        let Submission { id, metadata } = next_submission(&mut log.borrow_mut(), request);
        let parts: [&[u8]; 5] = [b"SUBMIT", b"0000000000000000", id.as_bytes(), metadata.as_bytes(), &body];
        let command = command(&parts);
        let Ok(permit) = pool.permits.acquire().await else { return };
        let started = Instant::now();
        let reply = timeout(REPLY_TIMEOUT, exchange(&pool, &command)).await;
        let reply = reply.unwrap_or(Err(std::io::ErrorKind::TimedOut.into()));
        drop(permit);
        let retry_after = match log.borrow_mut().replied(request, &id, reply, started.elapsed()) {
            Reply::Accepted => return,
            Reply::NotAccepted { retry_after } => retry_after,
        };
        if !wait_for_retry(&log, request, retry_after).await {
            return;
        }
    }
}

/// Fields of one submission: its id and the list of metadata.
struct Submission {
    id: String,
    metadata: String,
}

fn next_submission(log: &mut RequestLog, request: usize) -> Submission {
    log.last_id += 1;
    let id = format!("{:016x}", log.last_id);
    log.ids.insert(id.clone(), request);
    let message = log.requests[request].message;
    let service_class = &log.scenario.service_classes[message.service_class];
    let age = log.started.elapsed().saturating_sub(message.submit_at);
    let remaining_ms = service_class.deadline.saturating_sub(age).as_millis();
    let is_deduplicated = !service_class.deduplication_window.is_zero();
    let key = if is_deduplicated { format!(",k={request:016x}") } else { String::new() };
    let metadata = format!("c={},d={remaining_ms}{key},dest={}", service_class.name, message.destination);
    Submission { id, metadata }
}

/// Result of a submission: accepted, or to be retried.
enum Reply {
    Accepted,
    /// Any other reply than an acceptance, or none.
    NotAccepted {
        retry_after: Option<Duration>,
    },
}

impl RequestLog {
    /// Records the reply to a submission; `duration` is the time from its start to the reply.
    fn replied(
        &mut self,
        request: usize,
        id: &str,
        reply: std::io::Result<String>,
        duration: Duration,
    ) -> Reply {
        let age = self.started.elapsed().saturating_sub(self.requests[request].message.submit_at);
        self.requests[request].first_submission_time.get_or_insert(age);
        match reply {
            Ok(reply) if reply.starts_with('+') || reply.starts_with('$') => {
                self.accepted += 1;
                Reply::Accepted
            }
            Ok(reply) if reply.starts_with("-BUSY") => {
                self.rejected += 1;
                self.rejection_times.push(duration);
                let wait = reply["-BUSY".len()..].trim().parse().ok();
                Reply::NotAccepted { retry_after: wait.map(Duration::from_millis) }
            }
            _ => {
                self.failed += 1;
                self.ids.remove(id); // the retry has another id, and outcomes of this one are ignored
                Reply::NotAccepted { retry_after: None }
            }
        }
    }
}

/// Encodes a command of the client protocol with these parts.
pub fn command(parts: &[&[u8]]) -> Vec<u8> {
    let mut command = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        command.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        command.extend_from_slice(part);
        command.extend_from_slice(b"\r\n");
    }
    command
}

/// Sends a command on an idle or a new connection of `pool` and returns the reply.
async fn exchange(pool: &Pool, command: &[u8]) -> std::io::Result<String> {
    let pooled = pool.idle.borrow_mut().pop();
    let is_new = pooled.is_none();
    let mut stream = match pooled {
        Some(stream) => stream,
        None => open(pool.instance).await?,
    };
    let mut reply = send_command(&mut stream, command).await;
    // An idle connection may have been closed in the meantime, so the command is sent again on a new one.
    if reply.is_err() && !is_new {
        stream = open(pool.instance).await?;
        reply = send_command(&mut stream, command).await;
    }
    let reply = reply?;
    pool.idle.borrow_mut().push(stream);
    Ok(reply)
}

/// Opens a connection to the instance at `address`.
pub async fn open(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends one command and returns the reply, a line without its end.
pub async fn send_command(stream: &mut TcpStream, command: &[u8]) -> std::io::Result<String> {
    stream.write_all(command).await?;
    let mut read = Vec::new();
    while !read.ends_with(b"\n") {
        if stream.read_buf(&mut read).await? == 0 || read.len() > MAX_REPLY_BYTES {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(String::from_utf8_lossy(&read).trim_end().into())
}

/// Sends `PING` until the instance replies; returns `false` if it does not within `max_wait`.
pub async fn wait_until_ready(instance: SocketAddr, max_wait: Duration) -> bool {
    let deadline = Instant::now() + max_wait;
    while Instant::now() < deadline {
        let reply_to_ping = async { send_command(&mut open(instance).await?, b"*1\r\n$4\r\nPING\r\n").await };
        if let Ok(Ok(reply)) = timeout(REPLY_TIMEOUT, reply_to_ping).await
            && reply == "+PONG"
        {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    false
}
