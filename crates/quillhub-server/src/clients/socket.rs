//! Socket operations of client connections: reads without a permanent buffer, and checks for pending input and for the
//! end of the stream. All are stateless.

use crate::stream_io::is_temporary;
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use tokio::io::Interest;
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

/// Returns `true` if the end of the client's side has arrived, also behind input that was not read yet, or the connection
/// broke.
///
/// The runtime learns of an end behind unread input when it next waits for events, and never forgets it. The system is
/// asked as well, since it knows of an end behind no input at once.
pub(super) fn closed_by_client(stream: &TcpStream) -> bool {
    let mut context = Context::from_waker(Waker::noop());
    let ready = pin!(stream.ready(Interest::READABLE)).poll(&mut context);
    let is_end_known = matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed());
    let mut peeked = [MaybeUninit::uninit()];
    is_end_known
        || match socket2::SockRef::from(stream).peek(&mut peeked) {
            Ok(length) => length == 0,
            Err(error) => !is_temporary(&error),
        }
}
