//! Socket operations of client connections: reads without a permanent buffer, and checks for pending input and for the
//! end of the stream. All are stateless.

use crate::stream_io::is_temporary;
use std::io::{self, Read};
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// Maximum number of bytes that one read returns.
pub(super) const READ_BYTES: usize = 8 * 1024;

/// Waits for input, passes it to `take`, and returns its length, which is 0 at the end of the stream. No buffer is
/// allocated while nothing arrives.
pub(super) async fn read(stream: &TcpStream, mut take: impl FnMut(&[u8])) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        let mut bytes = [0; READ_BYTES];
        match stream.try_read(&mut bytes) {
            Err(error) if is_temporary(&error) => {}
            Err(error) => return Err(error),
            Ok(length) => {
                take(&bytes[..length]);
                return Ok(length);
            }
        }
    }
}

/// Appends input that has already arrived to `input`, and returns `true` if there was any.
///
/// Reads from the system even if the runtime has not updated the readiness of the socket yet: a command that arrives
/// completely before the server's side is closed must be answered.
pub(super) fn read_pending(stream: &TcpStream, input: &mut Vec<u8>) -> bool {
    let mut bytes = [0; READ_BYTES];
    let Ok(length @ 1..) = (&*socket2::SockRef::from(stream)).read(&mut bytes) else { return false };
    input.extend_from_slice(&bytes[..length]);
    true
}

/// Returns `true` if the client has closed its side and all its input was read.
pub(super) fn closed_by_client(stream: &TcpStream) -> bool {
    let mut peeked = [MaybeUninit::uninit()];
    matches!(socket2::SockRef::from(stream).peek(&mut peeked), Ok(0))
}
