//! Clients of a real instance: some that fill it with messages for destinations that hang, and some that offer a
//! steady load for destinations that answer.

use crate::destinations::HANGING;
use crate::plan::Load;
use crate::settings::{MAX_DEADLINE_MS, SERVICE_CLASS};
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
const DEADLINE_MS: u64 = 8_000;
/// Messages of the load that may be on their way: none more are offered until some are delivered, so that an instance
/// that is too slow is measured at its adaptive rate and not while it drowns.
const MOST_OUTSTANDING: u64 = 64;
/// How long a client waits for a word.
const PATIENCE: Duration = Duration::from_secs(10);
/// Pause while too many are on their way.
const PAUSE: Duration = Duration::from_millis(1);
/// Messages by which connections are opened before anything is measured: as many as an instance keeps idle.
const MOST_WARMING: u64 = 1_000;

/// What came of offering messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Offered {
    /// Accepted.
    pub accepted: u64,
    /// Rejected, or not answered.
    pub refused: u64,
}

fn submit(prefix: &str, number: u64, deadline_ms: u64, destination: u64, body: &[u8]) -> Vec<u8> {
    let id = format!("{prefix}{number:015x}");
    let list = format!("c={SERVICE_CLASS},d={deadline_ms},dest={destination}");
    command(&[b"SUBMIT", b"0000000000000000", id.as_bytes(), list.as_bytes(), body])
}

async fn offer(stream: &mut TcpStream, command: &[u8]) -> io::Result<bool> {
    let word = timeout(PATIENCE, send_command(stream, command)).await??;
    Ok(word == "+OK")
}

/// Driver in `count` messages for destinations that hang, which follow the `healthy` ones, until `until` at the
/// latest.
pub async fn fill(
    at: SocketAddr,
    load: &Load,
    healthy: u64,
    count: u64,
    until: Instant,
) -> Result<Offered, String> {
    let next = Rc::new(Cell::new(0));
    let mut clients = JoinSet::new();
    for _ in 0..load.connections {
        let (next, body) = (next.clone(), vec![b'.'; load.body]);
        clients.spawn_local(async move {
            let mut stream = open(at).await?;
            let mut offered = Offered::default();
            while next.get() < count && Instant::now() < until {
                let number = next.replace(next.get() + 1);
                let destination = healthy + 1 + number % HANGING;
                let taken =
                    offer(&mut stream, &submit("b", number, MAX_DEADLINE_MS, destination, &body)).await?;
                *(if taken { &mut offered.accepted } else { &mut offered.refused }) += 1;
            }
            Ok::<_, io::Error>(offered)
        });
    }
    sum(clients).await
}

async fn sum(mut clients: JoinSet<io::Result<Offered>>) -> Result<Offered, String> {
    let mut all = Offered::default();
    while let Some(ended) = clients.join_next().await {
        let ended = ended.map_err(|e| format!("a client ended early: {e}"))?;
        let offered = ended.map_err(|e| format!("a client lost the courier: {e}"))?;
        all.accepted += offered.accepted;
        all.refused += offered.refused;
    }
    Ok(all)
}

/// Driver in one message for each of the destinations numbered from 1, as far as an instance keeps connections: what
/// is measured later is not their opening. The number of messages submitted.
pub async fn warm(
    at: SocketAddr,
    load: &Load,
    destinations: u64,
    delivered: &Arc<AtomicU64>,
) -> Result<u64, String> {
    let count = destinations.min(MOST_WARMING);
    let per_s = load.per_s.max(count as f64);
    let once = Load { per_s, loaded: Duration::from_secs_f64(count as f64 / per_s), ..*load };
    let offered = play(at, &once, destinations, delivered, 0).await?;
    Ok(offered.accepted + offered.refused)
}

/// Offers `load` for its time to destinations numbered from 1 to `destinations`; `delivered` counts what came
/// through. `first` is the number of the first message, so that ids are used once and destinations in turn.
pub async fn play(
    at: SocketAddr,
    load: &Load,
    destinations: u64,
    delivered: &Arc<AtomicU64>,
    first: u64,
) -> Result<Offered, String> {
    let (begun, before) = (Instant::now(), delivered.load(Ordering::Relaxed));
    let (next, accepted) = (Rc::new(Cell::new(0u64)), Rc::new(Cell::new(0u64)));
    let mut clients = JoinSet::new();
    for _ in 0..load.connections {
        let (next, accepted, delivered) = (next.clone(), accepted.clone(), delivered.clone());
        let (body, load) = (vec![b'.'; load.body], *load);
        clients.spawn_local(async move {
            let mut stream = open(at).await?;
            let mut offered = Offered::default();
            while begun.elapsed() < load.loaded {
                let due = Duration::from_secs_f64(next.get() as f64 / load.per_s);
                let out = accepted.get().saturating_sub(delivered.load(Ordering::Relaxed) - before);
                if begun.elapsed() < due || out >= MOST_OUTSTANDING {
                    sleep(PAUSE).await;
                    continue;
                }
                let number = first + next.replace(next.get() + 1);
                let command = submit("a", number, DEADLINE_MS, 1 + number % destinations, &body);
                if offer(&mut stream, &command).await? {
                    accepted.set(accepted.get() + 1);
                    offered.accepted += 1;
                } else {
                    offered.refused += 1;
                }
            }
            Ok::<_, io::Error>(offered)
        });
    }
    sum(clients).await
}
