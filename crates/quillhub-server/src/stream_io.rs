//! Reads and writes on sockets that rely on no event but the system's own word that a socket is empty or full.
//!
//! The runtime's own reads and writes take a short one as the sign that the socket is empty or full, and then wait for an
//! event. Linux may shorten any of them, after which no event comes while bytes or space are left.

use std::io::{self, ErrorKind};
use tokio::net::TcpStream;

/// Returns `true` if the operation may succeed when it is repeated: the socket was empty or full, or a signal interrupted
/// the call.
pub fn is_temporary(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Waits for input, appends it to `buffer`, and returns its length, which is 0 at the end of the stream.
///
/// # Errors
///
/// Returns the error of the read.
pub async fn read_some(stream: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read_buf(buffer) {
            Err(error) if is_temporary(&error) => {}
            read => return read,
        }
    }
}

/// Writes `bytes` completely.
///
/// # Errors
///
/// Returns the error of a write; a part of `bytes` may have been written before.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(error) if is_temporary(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
