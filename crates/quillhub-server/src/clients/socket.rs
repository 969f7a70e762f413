//! Socket operations of client connections: reads without a permanent buffer, with the time at which the input arrived, and
//! checks for pending input and for the end of the stream. All are stateless.

use super::arrival::{Arrival, EmptySince};
use crate::stream_io::{is_temporary, receive};
use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Maximum number of bytes that one read returns.
pub(super) const READ_BYTES: usize = 8 * 1024;

/// Input of one read.
pub(super) struct Input {
    /// Length, which is 0 at the end of the stream.
    pub(super) length: usize,
    pub(super) arrival: Arrival,
}

/// Waits for `future`, and returns its output, with `true` if it was not ready at once.
pub(super) async fn wait<T>(future: impl Future<Output = T>) -> (T, bool) {
    let mut future = pin!(future);
    let mut has_waited = false;
    poll_fn(move |context| {
        let polled = future.as_mut().poll(context);
        has_waited |= polled.is_pending();
        polled.map(|output| (output, has_waited))
    })
    .await
}

/// Waits for input, passes it to `take`, and returns its length and arrival. No buffer is allocated while nothing arrives.
pub(super) async fn read(
    stream: &TcpStream,
    empty_since: &EmptySince,
    mut take: impl FnMut(&[u8]),
) -> io::Result<Input> {
    loop {
        let (ready, has_waited) = wait(stream.readable()).await;
        ready?;
        if has_waited {
            empty_since.waited();
        }
        let mut bytes = [0; READ_BYTES];
        let tried = Instant::now();
        match stream.try_io(Interest::READABLE, || receive(stream, &mut bytes)) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => empty_since.found_empty(tried),
            Err(error) if is_temporary(&error) => {}
            Err(error) => return Err(error),
            Ok((length, stamp)) => {
                take(&bytes[..length]);
                return Ok(Input { length, arrival: empty_since.input_read(stamp) });
            }
        }
    }
}

/// Waits for input, discards it, and returns its length, which is 0 at the end of the stream.
pub(super) async fn discard(stream: &TcpStream) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(&mut [0; READ_BYTES]) {
            Err(error) if is_temporary(&error) => {}
            result => return result,
        }
    }
}

/// Appends input that has already arrived to `input`, and returns it, if there was any.
///
/// Reads from the system even if the runtime has not updated the readiness of the socket yet: a command that arrives
/// completely before the server's side is closed must be answered.
pub(super) fn read_pending(
    stream: &TcpStream,
    empty_since: &EmptySince,
    input: &mut Vec<u8>,
) -> Option<Input> {
    let mut bytes = [0; READ_BYTES];
    let (length, stamp) = receive(stream, &mut bytes).ok().filter(|(length, _)| *length > 0)?;
    input.extend_from_slice(&bytes[..length]);
    Some(Input { length, arrival: empty_since.input_read(stamp) })
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
