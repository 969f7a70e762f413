//! What a client's connection needs of its socket beyond plain writes. Nothing here keeps state.

use std::io::{self, ErrorKind, Read};
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// Bytes that one read takes at most.
pub(super) const READ_BYTES: usize = 8 * 1024;

/// Hands what has arrived to `take` and returns its length, 0 at the end. No buffer is held while nothing arrives.
pub(super) async fn read(stream: &TcpStream, mut take: impl FnMut(&[u8])) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        let mut octets = [0; READ_BYTES];
        match stream.try_read(&mut octets) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
            Ok(length) => {
                take(&octets[..length]);
                return Ok(length);
            }
        }
    }
}

/// Takes what has arrived by now, though the runtime may not know of it yet; whether there was any. A command that is
/// complete before our side is closed must be answered.
pub(super) fn read_pending(stream: &TcpStream, input: &mut Vec<u8>) -> bool {
    let mut octets = [0; READ_BYTES];
    let Ok(length @ 1..) = (&*socket2::SockRef::from(stream)).read(&mut octets) else { return false };
    input.extend_from_slice(&octets[..length]);
    true
}

/// Whether the client has closed its side, with nothing more to read.
pub(super) fn closed_by_client(stream: &TcpStream) -> bool {
    let mut one = [MaybeUninit::uninit()];
    matches!(socket2::SockRef::from(stream).peek(&mut one), Ok(0))
}
