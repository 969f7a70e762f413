//! Clients of a real instance: they submit a backlog for destinations that do not respond, and a steady load for
//! destinations that do.

use crate::destinations::UNRESPONSIVE_COUNT;
use crate::plan::Load;
use crate::settings::{BACKLOG_DEADLINE_MS, SERVICE_CLASS};
use quillhub_fakes::clients::{command, open, send_command};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Deadline of the load's messages, in milliseconds.
const LOAD_DEADLINE_MS: u64 = 8_000;
/// Maximum number of accepted messages of the load that are not delivered yet. No more are submitted until some are
/// delivered, so that an instance that is too slow is measured at the rate that it sustains and not under overload.
const MAX_OUTSTANDING: u64 = 64;
/// Time after which a client stops waiting for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks whether the next message is due.
const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum number of messages that open connections before the measurement: as many as an instance keeps idle.
const MAX_WARM_UP_MESSAGES: u64 = 1_000;

/// Numbers of submitted messages by their replies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Submissions {
    /// Messages that were accepted.
    pub accepted: u64,
    /// Messages with any other reply.
    pub not_accepted: u64,
}

/// Returns the command that submits message `number` to `destination`; the id is `prefix` and the number.
fn submit_command(prefix: &str, number: u64, deadline_ms: u64, destination: u64, body: &[u8]) -> Vec<u8> {
    let id = format!("{prefix}{number:015x}");
    let list = format!("c={SERVICE_CLASS},d={deadline_ms},dest={destination}");
    command(&[b"SUBMIT", b"0000000000000000", id.as_bytes(), list.as_bytes(), body])
}

/// Sends a command that submits a message; returns `true` if the message is accepted.
async fn submit(stream: &mut TcpStream, command: &[u8]) -> io::Result<bool> {
    let reply = timeout(REPLY_TIMEOUT, send_command(stream, command)).await??;
    Ok(reply == "+OK")
}

/// Submits `count` messages to destinations that do not respond; their numbers follow those of the `responding` ones.
///
/// Stops early at `deadline`.
pub async fn submit_backlog(
    address: SocketAddr,
    load: &Load,
    responding: u64,
    count: u64,
    deadline: Instant,
) -> Result<Submissions, String> {
    let next = Rc::new(Cell::new(0));
    let mut clients = JoinSet::new();
    for _ in 0..load.connections {
        let (next, body) = (next.clone(), vec![b'.'; load.body_bytes]);
        clients.spawn_local(async move {
            let mut stream = open(address).await?;
            let mut submissions = Submissions::default();
            while next.get() < count && Instant::now() < deadline {
                let number = next.replace(next.get() + 1);
                let destination = responding + 1 + number % UNRESPONSIVE_COUNT;
                let is_accepted = submit(
                    &mut stream,
                    &submit_command("b", number, BACKLOG_DEADLINE_MS, destination, &body),
                )
                .await?;
                *(if is_accepted { &mut submissions.accepted } else { &mut submissions.not_accepted }) += 1;
            }
            Ok::<_, io::Error>(submissions)
        });
    }
    sum(clients).await
}

/// Waits for all clients and returns the sums of their numbers.
async fn sum(mut clients: JoinSet<io::Result<Submissions>>) -> Result<Submissions, String> {
    let mut total = Submissions::default();
    while let Some(ended) = clients.join_next().await {
        let ended = ended.map_err(|e| format!("a client ended early: {e}"))?;
        let submissions = ended.map_err(|e| format!("a submission failed: {e}"))?;
        total.accepted += submissions.accepted;
        total.not_accepted += submissions.not_accepted;
    }
    Ok(total)
}

/// Submits a message to each destination, up to the number of idle connections that an instance keeps, so that opening
/// the connections is not part of the measurement.
///
/// Returns the number of messages submitted.
pub async fn open_instance_connections(
    address: SocketAddr,
    load: &Load,
    destinations: u64,
    delivered: &Arc<AtomicU64>,
) -> Result<u64, String> {
    let count = destinations.min(MAX_WARM_UP_MESSAGES);
    let per_s = load.per_s.max(count as f64);
    let one_each = Load { per_s, loaded_duration: Duration::from_secs_f64(count as f64 / per_s), ..*load };
    let submissions = submit_load(address, &one_each, destinations, delivered, 0).await?;
    Ok(submissions.accepted + submissions.not_accepted)
}

/// Submits `load` for its duration to the destinations 1 to `destinations`, at least 1, in turn.
///
/// `delivered` is the number of deliveries so far, which the destinations increment. `first_number` is the number of
/// the first message, so that each id is used once.
pub async fn submit_load(
    address: SocketAddr,
    load: &Load,
    destinations: u64,
    delivered: &Arc<AtomicU64>,
    first_number: u64,
) -> Result<Submissions, String> {
    let (started, delivered_before) = (Instant::now(), delivered.load(Ordering::Relaxed));
    let (next, accepted) = (Rc::new(Cell::new(0u64)), Rc::new(Cell::new(0u64)));
    let mut clients = JoinSet::new();
    for _ in 0..load.connections {
        let (next, accepted, delivered) = (next.clone(), accepted.clone(), delivered.clone());
        let (body, load) = (vec![b'.'; load.body_bytes], *load);
        clients.spawn_local(async move {
            let mut stream = open(address).await?;
            let mut submissions = Submissions::default();
            while started.elapsed() < load.loaded_duration {
                let due = Duration::from_secs_f64(next.get() as f64 / load.per_s);
                let outstanding =
                    accepted.get().saturating_sub(delivered.load(Ordering::Relaxed) - delivered_before);
                if started.elapsed() < due || outstanding >= MAX_OUTSTANDING {
                    sleep(DUE_CHECK_INTERVAL).await;
                    continue;
                }
                let number = first_number + next.replace(next.get() + 1);
                let command = submit_command("a", number, LOAD_DEADLINE_MS, 1 + number % destinations, &body);
                if submit(&mut stream, &command).await? {
                    accepted.set(accepted.get() + 1);
                    submissions.accepted += 1;
                } else {
                    submissions.not_accepted += 1;
                }
            }
            Ok::<_, io::Error>(submissions)
        });
    }
    sum(clients).await
}
