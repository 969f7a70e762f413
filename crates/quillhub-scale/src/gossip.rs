//! Relay of gossip: passes each datagram on to all instances but its sender.

use crate::thread::MeasuredThread;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Maximum size of a datagram that the relay passes on, in bytes.
const MAX_DATAGRAM_BYTES: usize = 512;
/// Delay after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Size of the headers of IPv4 and UDP, in bytes.
pub const HEADER_BYTES: u64 = 28;

/// Traffic from the relay to the measured instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayTraffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Bytes of the datagrams, without headers.
    pub bytes: u64,
}

#[derive(Default)]
struct Shared {
    members: Mutex<Vec<SocketAddr>>,
    measured_address: Mutex<Option<SocketAddr>>,
    datagrams: AtomicU64,
    bytes: AtomicU64,
}

/// Running relay, stopped when this is dropped.
pub struct Relay {
    /// Address that instances send gossip to.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _worker: MeasuredThread,
}

fn add(counter: &AtomicU64, increment: u64) {
    counter.fetch_add(increment, Ordering::Relaxed);
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

async fn pass_on(socket: UdpSocket, shared: Arc<Shared>) {
    let mut octets = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut octets).await else {
            sleep(READ_RETRY_DELAY).await;
            continue;
        };
        let members = locked(&shared.members).clone();
        let measured_address = *locked(&shared.measured_address);
        for to in members.into_iter().filter(|to| *to != from) {
            // A datagram that cannot be sent at once is lost, as on a network.
            if socket.try_send_to(&octets[..length], to).is_ok() && Some(to) == measured_address {
                add(&shared.datagrams, 1);
                add(&shared.bytes, length as u64);
            }
        }
    }
}

impl Relay {
    /// Starts the relay without any instances.
    pub fn start() -> Result<Self, String> {
        let shared = Arc::new(Shared::default());
        let thread_shared = shared.clone();
        let (worker, address) = MeasuredThread::start(move || async move {
            let socket = UdpSocket::bind("127.0.0.1:0").await?;
            let address = socket.local_addr()?;
            spawn_local(pass_on(socket, thread_shared));
            Ok(address)
        })?;
        Ok(Self { address, shared, _worker: worker })
    }

    /// Adds an instance that receives gossip at the address `member`.
    pub fn add_member(&self, member: SocketAddr) {
        locked(&self.shared.members).push(member);
    }

    /// Counts the datagrams to `member` from now on, and no longer those to an earlier one.
    pub fn count_traffic_to(&self, member: SocketAddr) {
        *locked(&self.shared.measured_address) = Some(member);
    }

    /// Returns the traffic to measured instances so far.
    pub fn traffic(&self) -> RelayTraffic {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        RelayTraffic { datagrams: read(&self.shared.datagrams), bytes: read(&self.shared.bytes) }
    }
}
