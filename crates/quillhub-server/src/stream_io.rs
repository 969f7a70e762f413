//! Reads and writes on sockets that rely on no event but the system's own word that a socket is empty or full.
//!
//! The runtime's own reads and writes take a short one as the sign that the socket is empty or full, and then wait for an
//! event. Linux may shorten any of them, after which no event comes while bytes or space are left.
//!
//! Invariant: all other tasks get a turn after at most two reads, and between two writes, whatever a peer sends or takes.
//! The waits for readiness here do not take part in the cooperative scheduling of the runtime.

use std::io::{self, ErrorKind};
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Maximum number of bytes that one read returns, which bounds the work of a task in one turn.
const MAX_READ_BYTES: usize = 8 * 1024;

/// Returns `true` if the operation may succeed when it is repeated: the socket was empty or full, or a signal interrupted
/// the call.
pub fn is_temporary(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Reader of one socket.
#[derive(Debug, Default)]
pub struct Reader {
    /// `true` if the last read found input without a wait, so that no other task may have run since the one before it.
    has_not_waited: bool,
}

impl Reader {
    /// Waits for input, appends it to `buffer`, and returns its length, which is 0 at the end of the stream. Lets all other
    /// tasks run first if the last read did not wait. Nothing is read if the future is dropped before it completes.
    ///
    /// # Errors
    ///
    /// Returns the error of the read.
    pub async fn read_some(&mut self, stream: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
        if std::mem::take(&mut self.has_not_waited) {
            yield_now().await;
        }
        let mut read = try_read(stream, buffer);
        self.has_not_waited = read.is_ok();
        while read.as_ref().is_err_and(is_temporary) {
            stream.readable().await?;
            read = try_read(stream, buffer);
        }
        read
    }
}

fn try_read(stream: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut bytes = [0; MAX_READ_BYTES];
    let length = stream.try_read(&mut bytes)?;
    buffer.extend_from_slice(&bytes[..length]);
    Ok(length)
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
            Ok(written) => {
                bytes = &bytes[written..];
                if !bytes.is_empty() {
                    yield_now().await;
                }
            }
            Err(error) if is_temporary(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

#[cfg(test)]
#[path = "stream_io_tests.rs"]
mod tests;
