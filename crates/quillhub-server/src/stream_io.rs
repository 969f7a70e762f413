//! Reads and writes on sockets that rely on no event but the system's own word that a socket is empty or full.
//!
//! The runtime's own reads and writes take a short one as the sign that the socket is empty or full, and then wait for an
//! event. Linux may shorten any of them, after which no event comes while bytes or space are left.
//!
//! Invariant: all other tasks get a turn after at most two reads, and between two writes, whatever a peer sends or takes.
//! The waits for readiness here do not take part in the cooperative scheduling of the runtime.

use nix::cmsg_space;
use nix::errno::Errno;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt, sockopt};
use nix::sys::time::TimeSpec;
use std::io::{self, ErrorKind, IoSliceMut, Read};
use std::os::fd::{AsFd, AsRawFd};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::Instant;

/// Maximum number of bytes that one read returns, which bounds the work of a task in one turn.
const MAX_READ_BYTES: usize = 8 * 1024;

/// Returns `true` if the operation may succeed when it is repeated: the socket was empty or full, or a signal interrupted
/// the call.
pub fn is_temporary(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Has the kernel stamp all input of a connection, or of all connections that a listener accepts, with the wall clock's time
/// of its arrival.
///
/// # Errors
///
/// Returns an error if the system does not support stamps; reads then return none.
pub fn stamp_input(socket: &impl AsFd) -> io::Result<()> {
    Ok(setsockopt(socket, sockopt::ReceiveTimestampns, &true)?)
}

/// Reads input, and returns its length and the kernel's stamp of its last byte, if there is one.
///
/// # Errors
///
/// Returns the error of the read.
pub fn receive(stream: &TcpStream, bytes: &mut [u8]) -> io::Result<(usize, Option<SystemTime>)> {
    let mut control = cmsg_space!(TimeSpec);
    let mut parts = [IoSliceMut::new(bytes)];
    let received = match recvmsg::<()>(stream.as_raw_fd(), &mut parts, Some(&mut control), MsgFlags::empty())
    {
        Ok(received) => received,
        // Reads without control messages always work.
        Err(Errno::ENOSYS | Errno::EOPNOTSUPP | Errno::EINVAL) => {
            return (&*socket2::SockRef::from(stream)).read(bytes).map(|length| (length, None));
        }
        Err(error) => return Err(error.into()),
    };
    let stamp = received.cmsgs().ok().and_then(|mut messages| messages.find_map(stamp_in));
    Ok((received.bytes, stamp))
}

fn stamp_in(message: ControlMessageOwned) -> Option<SystemTime> {
    match message {
        ControlMessageOwned::ScmTimestampns(stamp) => Some(UNIX_EPOCH + Duration::from(stamp)),
        _ => None,
    }
}

/// Returns the time that has passed since the kernel's stamp, or `None` if the wall clock was set meanwhile.
pub fn age_of(stamp: SystemTime) -> Option<Duration> {
    SystemTime::now().duration_since(stamp).ok()
}

/// Reader of one socket.
#[derive(Debug, Default)]
pub struct Reader {
    /// `true` if the last read found input without a wait, so that no other task may have run since the one before it.
    has_not_waited: bool,
    /// Arrival of the last byte that was read, if the kernel has stamped it.
    arrived: Option<Instant>,
}

impl Reader {
    /// Returns the arrival of the last byte that was read, or `None` if it is not known.
    pub fn arrived(&self) -> Option<Instant> {
        self.arrived
    }

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
        let mut read = self.try_read(stream, buffer);
        self.has_not_waited = read.is_ok();
        while read.as_ref().is_err_and(is_temporary) {
            stream.readable().await?;
            read = self.try_read(stream, buffer);
        }
        read
    }

    /// Reads input that the system has, although the runtime may not have learned of it yet: a process that was stopped
    /// learns of the timers that have fired before it looks at its sockets again.
    ///
    /// # Errors
    ///
    /// Returns the error of the read, also if there is no input.
    pub fn read_now(&mut self, stream: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
        self.read_with(buffer, |bytes| receive(stream, bytes))
    }

    fn try_read(&mut self, stream: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
        self.read_with(buffer, |bytes| stream.try_io(Interest::READABLE, || receive(stream, bytes)))
    }

    fn read_with(
        &mut self,
        buffer: &mut Vec<u8>,
        receive: impl FnOnce(&mut [u8]) -> io::Result<(usize, Option<SystemTime>)>,
    ) -> io::Result<usize> {
        let mut bytes = [0; MAX_READ_BYTES];
        let (length, stamp) = receive(&mut bytes)?;
        self.arrived = stamp.and_then(age_of).and_then(|age| Instant::now().checked_sub(age));
        buffer.extend_from_slice(&bytes[..length]);
        Ok(length)
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
