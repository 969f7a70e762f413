//! Gossip between instances, as datagrams; they may be lost.
//!
//! Invariant: nothing here waits to send, so that gossip never delays a message.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Bytes of a datagram.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Pause after a failed read, such as of a datagram that could not be delivered.
const READ_ERROR_PAUSE: Duration = Duration::from_millis(5);

/// The socket on which an instance sends and receives gossip.
pub struct GossipSocket {
    socket: UdpSocket,
    /// The address that reaches all instances.
    all: SocketAddr,
    /// What comes from here is this instance's own and is dropped.
    own: Option<SocketAddr>,
}

impl GossipSocket {
    /// Listens on `listen`, and sends to `all`.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub async fn open(listen: SocketAddr, all: SocketAddr, own: Option<SocketAddr>) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen).await?;
        socket.writable().await?;
        Ok(Self { socket, all, own })
    }

    /// Sends a gossip message to all instances, if it goes at once.
    pub fn broadcast(&self, message: &[u8]) {
        if message.len() > MAX_DATAGRAM_BYTES {
            tracing::error!(bytes = message.len(), "a gossip message is too long");
        } else if let Err(error) = self.socket.try_send_to(message, self.all) {
            tracing::debug!(%error, "a gossip message was not sent");
        }
    }

    /// Hands each gossip message of other instances to `handle`, without end.
    pub async fn receive(self: Rc<Self>, handle: impl Fn(&[u8])) {
        let mut octets = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut octets).await {
                Ok((length, from)) if length <= MAX_DATAGRAM_BYTES && Some(from) != self.own => {
                    handle(&octets[..length]);
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
