//! Gossip between instances, sent as datagrams, which may be lost.
//!
//! Invariant: sending never waits, so that gossip never delays a message.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Maximum length of a datagram; longer ones are neither sent nor accepted.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Pause after a failed read; a read fails, for example, if an earlier datagram could not be delivered.
const READ_ERROR_PAUSE: Duration = Duration::from_millis(5);

/// Socket on which an instance sends and receives gossip.
pub struct GossipSocket {
    socket: UdpSocket,
    /// Address that reaches all instances.
    all: SocketAddr,
    /// Address from which this instance's own datagrams arrive, which are dropped; `None` if it is not known.
    own: Option<SocketAddr>,
}

impl GossipSocket {
    /// Opens a socket that receives on `listen` and sends to `all`; datagrams from `own` are dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be bound to `listen`.
    pub async fn open(listen: SocketAddr, all: SocketAddr, own: Option<SocketAddr>) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen).await?;
        socket.writable().await?;
        Ok(Self { socket, all, own })
    }

    /// Sends a gossip message to all instances, or drops it if that is not possible without waiting.
    pub fn broadcast(&self, message: &[u8]) {
        if message.len() > MAX_DATAGRAM_BYTES {
            tracing::error!(
                bytes = message.len(),
                "gossip message exceeds the maximum datagram length and is not sent"
            );
        } else if let Err(error) = self.socket.try_send_to(message, self.all) {
            tracing::debug!(%error, "a gossip message was not sent");
        }
    }

    /// Passes each gossip message from other instances to `handle`. Never returns.
    pub async fn receive(self: Rc<Self>, handle: impl Fn(&[u8])) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut bytes).await {
                Ok((length, from)) if length <= MAX_DATAGRAM_BYTES && Some(from) != self.own => {
                    handle(&bytes[..length]);
                    // Prevents an endless series of datagrams from delaying all other tasks.
                    yield_now().await;
                }
                Ok(_) => {}
                Err(_) => sleep(READ_ERROR_PAUSE).await,
            }
        }
    }
}

#[cfg(test)]
#[path = "gossip_tests.rs"]
mod tests;
