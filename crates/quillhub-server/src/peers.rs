//! Notes between couriers, as datagrams; they may be lost.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Bytes of a datagram.
const MOST: usize = 256;
/// Pause after a failed read, such as of a datagram that could not be delivered.
const PAUSE: Duration = Duration::from_millis(5);

pub struct Peers {
    socket: UdpSocket,
    /// The address that reaches all.
    all: SocketAddr,
    /// What came from here is passed over.
    own: Option<SocketAddr>,
}

impl Peers {
    pub async fn open(listen: SocketAddr, all: SocketAddr, own: Option<SocketAddr>) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen).await?;
        socket.writable().await?;
        Ok(Self { socket, all, own })
    }

    /// Sends a note to all, if it goes at once.
    pub fn tell(&self, note: &[u8]) {
        if note.len() > MOST {
            tracing::error!(bytes = note.len(), "a note is too long");
        } else if let Err(error) = self.socket.try_send_to(note, self.all) {
            tracing::debug!(%error, "a note was not sent");
        }
    }

    /// Driver `take` each note that comes from others, without end.
    pub async fn hear(self: Rc<Self>, take: impl Fn(&[u8])) {
        let mut octets = [0; MOST + 1];
        loop {
            match self.socket.recv_from(&mut octets).await {
                Ok((length, from)) if length <= MOST && Some(from) != self.own => {
                    take(&octets[..length]);
                }
                Ok(_) => {}
                Err(_) => sleep(PAUSE).await,
            }
        }
    }
}

#[cfg(test)]
#[path = "peers_tests.rs"]
mod tests;
