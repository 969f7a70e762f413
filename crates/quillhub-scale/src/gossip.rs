//! The address that reaches all peers: a relay that passes each datagram on to all instances but its sender.

use crate::thread::Worker;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Bytes of a datagram.
const MOST: usize = 512;
/// Pause after a failed read.
const PAUSE: Duration = Duration::from_millis(5);
/// Bytes of the headers of IPv4 and UDP.
pub const HEADER_BYTES: u64 = 28;

/// Datagrams passed on to the instance that is watched, and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Passed {
    /// Datagrams to the instance that is watched.
    pub to_watched: u64,
    /// Bytes of those, without headers.
    pub bytes_to_watched: u64,
}

#[derive(Default)]
struct Shared {
    members: Mutex<Vec<SocketAddr>>,
    watched: Mutex<Option<SocketAddr>>,
    to_watched: AtomicU64,
    bytes_to_watched: AtomicU64,
}

/// The running relay.
pub struct Relay {
    /// What instances send to.
    pub at: SocketAddr,
    shared: Arc<Shared>,
    _worker: Worker,
}

fn add(counter: &AtomicU64, more: u64) {
    counter.fetch_add(more, Ordering::Relaxed);
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

async fn pass_on(socket: UdpSocket, shared: Arc<Shared>) {
    let mut octets = [0; MOST];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut octets).await else {
            sleep(PAUSE).await;
            continue;
        };
        let members = locked(&shared.members).clone();
        let watched = *locked(&shared.watched);
        for to in members.into_iter().filter(|to| *to != from) {
            // One that cannot be sent at once is lost, as on a network.
            if socket.try_send_to(&octets[..length], to).is_ok() && Some(to) == watched {
                add(&shared.to_watched, 1);
                add(&shared.bytes_to_watched, length as u64);
            }
        }
    }
}

impl Relay {
    pub fn start() -> Result<Self, String> {
        let shared = Arc::new(Shared::default());
        let inside = shared.clone();
        let (worker, at) = Worker::start(move || async move {
            let socket = UdpSocket::bind("127.0.0.1:0").await?;
            let at = socket.local_addr()?;
            spawn_local(pass_on(socket, inside));
            Ok(at)
        })?;
        Ok(Self { at, shared, _worker: worker })
    }

    /// One more instance hears what is told.
    pub fn join(&self, member: SocketAddr) {
        locked(&self.shared.members).push(member);
    }

    /// What goes to `member` is counted apart.
    pub fn watch(&self, member: SocketAddr) {
        *locked(&self.shared.watched) = Some(member);
    }

    /// Totals by now.
    pub fn passed(&self) -> Passed {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Passed {
            to_watched: read(&self.shared.to_watched),
            bytes_to_watched: read(&self.shared.bytes_to_watched),
        }
    }
}
