//! HTTP connection to a server: a socket, and a buffer with input that was read and not consumed.
//!
//! Invariant: consumed input is removed from the buffer, which therefore starts at the first byte not consumed.

use crate::http::{self, Framing, Head, InterimResponses};
use crate::progress::Progress;
use crate::stream_io;
use quillhub::ConnectionLedger;
use socket2::SockRef;
use std::cell::Cell;
use std::io::{self, ErrorKind, Read};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Error after which a connection cannot be used any more.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The server closed the connection or ended a stream of changes, or a response exceeded a limit of time, or a list
    /// in a stream of changes its limit of size.
    #[error("the server ended the response, or the response exceeded a limit of time or size")]
    Ended,
    /// The connection could not be opened, or a read or a write failed.
    #[error("{0}")]
    Failed(#[source] io::Error),
    /// The server sent something that is no valid HTTP response, or one that is too long or not what the request calls
    /// for.
    #[error("the server sent a malformed, too long or unexpected response")]
    Malformed,
}

impl From<http::Malformed> for ConnectionError {
    fn from(_: http::Malformed) -> Self {
        Self::Malformed
    }
}

impl From<ConnectionError> for io::Error {
    fn from(error: ConnectionError) -> Self {
        match error {
            ConnectionError::Ended => ErrorKind::UnexpectedEof.into(),
            ConnectionError::Failed(error) => error,
            ConnectionError::Malformed => ErrorKind::InvalidData.into(),
        }
    }
}

/// Length of one read of unexpected input; most responses are shorter.
const UNEXPECTED_READ_BYTES: usize = 1024;

/// Delay before the last byte of a request is sent: longer than a round trip within a data center, and short compared
/// to an attempt.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(3);

/// Maximum number of bytes that are read of unexpected input, of which only the first response matters.
const MAX_UNEXPECTED_BYTES: usize = 64 * 1024;

thread_local! {
    static LAST_NUMBER: Cell<u64> = const { Cell::new(0) };
}

/// Unexpected input on a connection without a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnexpectedInput {
    /// Nothing was received, and the connection is open.
    None,
    /// Bytes were received.
    Bytes,
    /// The server closed the connection.
    End,
    /// The connection broke, possibly before all that the server wrote was received.
    Failed,
}

/// Open connection to an HTTP server.
pub struct HttpConnection {
    /// Shared with the task that watches the connection while it is idle.
    stream: Rc<TcpStream>,
    /// Number of the connection among those that this thread opened.
    number: u64,
    /// Calls whose responses may belong to an earlier call.
    pub(crate) ledger: ConnectionLedger,
    /// Client ids of the messages of the last two calls, the last one first, for the log.
    pub(crate) client_ids: [Box<[u8]>; 2],
    buffer: Vec<u8>,
    reader: stream_io::Reader,
    /// `true` once the system has reported that the connection broke. It reports that only once, also to a peek, and then
    /// an end like that by the server.
    is_broken: Rc<Cell<bool>>,
    /// Where the time of the last input is recorded, if anybody needs it.
    progress: Option<Progress>,
}

impl HttpConnection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be established.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        // Without stamps, input counts as having arrived when it is read.
        let _ = stream_io::stamp_input(&stream);
        let number = LAST_NUMBER.get() + 1;
        LAST_NUMBER.set(number);
        Ok(Self {
            stream: Rc::new(stream),
            number,
            ledger: ConnectionLedger::default(),
            client_ids: Default::default(),
            buffer: Vec::new(),
            reader: stream_io::Reader::default(),
            is_broken: Rc::default(),
            progress: None,
        })
    }

    /// Returns the number of the connection among those that this thread opened.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Returns a future that completes once input or the end of the connection can be read.
    pub(crate) fn input(&self) -> impl Future<Output = ()> + 'static {
        let (stream, is_broken) = (self.stream.clone(), self.is_broken.clone());
        async move {
            loop {
                match stream.peek(&mut [0]).await {
                    Err(error) if error.kind() == ErrorKind::Interrupted => {}
                    peeked => return is_broken.set(is_broken.get() || peeked.is_err()),
                }
            }
        }
    }

    /// Records the time of all further input in `progress`.
    pub(crate) fn record_progress_in(&mut self, progress: Progress) {
        self.progress = Some(progress);
    }

    /// Writes `bytes` unchanged.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        stream_io::write_all(&self.stream, bytes).await
    }

    /// Writes a request. The last byte is written after a short delay, and only if the connection is still open then
    /// and nothing was received on it, so that a request that fails here was not executed. Returns `false` if
    /// `may_complete` did so before the last byte, which is then not written.
    ///
    /// Guards against pooled connections that broke undetected, and against duplicate responses. The delay lengthens
    /// every attempt.
    ///
    /// # Errors
    ///
    /// Returns an error if the last byte was not written.
    pub(crate) async fn write_request(
        &mut self,
        request: &[u8],
        may_complete: impl Fn() -> bool,
    ) -> Result<bool, ConnectionError> {
        let (all_but_last, last) = request.split_at(request.len().saturating_sub(1));
        self.write(all_but_last).await.map_err(ConnectionError::Failed)?;
        match timeout(LAST_BYTE_DELAY, self.read_more()).await {
            Err(_) if !may_complete() => Ok(false),
            Err(_) => self.write(last).await.map(|()| true).map_err(ConnectionError::Failed),
            Ok(read) => read.and(Err(ConnectionError::Malformed)),
        }
    }

    async fn read_more(&mut self) -> Result<(), ConnectionError> {
        match self.reader.read_some(&self.stream, &mut self.buffer).await {
            Ok(0) => Err(ConnectionError::Ended),
            Ok(_) => {
                self.progress.iter().for_each(Progress::record);
                Ok(())
            }
            Err(error) => Err(ConnectionError::Failed(error)),
        }
    }

    /// Waits for the first byte of a response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or fails before that.
    pub(crate) async fn response_started(&mut self) -> Result<(), ConnectionError> {
        if self.buffer.is_empty() { self.read_more().await } else { Ok(()) }
    }

    /// Reads until `parse` finds a value at the start of the buffer; consumes the bytes of the value and returns it.
    async fn read_parsed<T>(
        &mut self,
        parse: impl Fn(&[u8]) -> http::Parsed<T>,
    ) -> Result<T, ConnectionError> {
        loop {
            if let Some((found, used)) = parse(&self.buffer)? {
                self.buffer.drain(..used);
                return Ok(found);
            }
            self.read_more().await?;
        }
    }

    /// Reads what the system has, and returns `true` if there was any input.
    pub(crate) fn read_now(&mut self) -> bool {
        matches!(self.reader.read_now(&self.stream, &mut self.buffer), Ok(1..))
    }

    /// Returns the arrival of the input that was read last, or `None` if it is not known.
    pub(crate) fn arrived(&self) -> Option<Instant> {
        self.reader.arrived()
    }

    /// Reads the status of the next response as soon as its status line is complete, without consuming any of it. Calls
    /// `on_over` as soon as the status itself is read and is `over`, even if the rest of the line never arrives.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid status line arrives.
    pub(crate) async fn status(&mut self, over: u16, on_over: impl Fn()) -> Result<u16, ConnectionError> {
        self.read_parsed(|bytes| {
            if http::has_status(bytes, over) {
                on_over();
            }
            Ok(http::status(bytes)?.map(|status| (status, 0)))
        })
        .await
    }

    /// Reads the head of the next final response; interim responses are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid head arrives.
    pub async fn head(&mut self) -> Result<Head, ConnectionError> {
        let mut interim = InterimResponses::default();
        loop {
            let head = self.any_head(&mut interim).await?;
            if !head.is_interim() {
                return Ok(head);
            }
        }
    }

    /// Reads the head of the next response. If it is an interim one, adds it to `interim`.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid head arrives, or too many interim ones before the final one.
    pub(crate) async fn any_head(&mut self, interim: &mut InterimResponses) -> Result<Head, ConnectionError> {
        let parsed =
            self.read_parsed(|bytes| Ok(http::head(bytes)?.map(|(head, used)| ((head, used), used))));
        let (head, length) = parsed.await?;
        if head.is_interim() {
            interim.add(length)?;
        }
        Ok(head)
    }

    /// Reads the next chunk of a chunked body; the last chunk is empty.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid chunk arrives, or one longer than `max_bytes`.
    pub async fn chunk(&mut self, max_bytes: usize) -> Result<Vec<u8>, ConnectionError> {
        self.read_parsed(|bytes| {
            Ok(http::chunk(bytes, max_bytes)?.map(|(chunk, used)| (chunk.to_vec(), used)))
        })
        .await
    }

    /// Reads a complete body of up to `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed, incomplete, or longer than `max_bytes`.
    pub async fn body(&mut self, framing: Framing, max_bytes: usize) -> Result<Vec<u8>, ConnectionError> {
        let mut body = Vec::new();
        match framing {
            Framing::Length(length) if length > max_bytes => return Err(ConnectionError::Malformed),
            Framing::Length(length) => {
                while self.buffer.len() < length {
                    self.read_more().await?;
                }
                body.extend(self.buffer.drain(..length));
            }
            Framing::Chunked => loop {
                let bytes = self.chunk(max_bytes).await?;
                if bytes.is_empty() {
                    break;
                }
                body.extend_from_slice(&bytes);
                if body.len() > max_bytes {
                    return Err(ConnectionError::Malformed);
                }
            },
            Framing::ToEnd => loop {
                if self.buffer.len() > max_bytes {
                    return Err(ConnectionError::Malformed);
                }
                match self.read_more().await {
                    Err(ConnectionError::Ended) => return Ok(std::mem::take(&mut self.buffer)),
                    other => other?,
                }
            },
        }
        Ok(body)
    }

    /// Returns `true` if the connection is open and there is no input, so that it can be used for a request.
    ///
    /// Queries the system, since the runtime updates the readiness of the socket only when it next waits for events.
    pub(crate) fn is_idle(&self) -> bool {
        let peek = || SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()]);
        let mut peeked = peek();
        while peeked.as_ref().is_err_and(|error| error.kind() == ErrorKind::Interrupted) {
            peeked = peek();
        }
        let is_empty = peeked.as_ref().is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        self.is_broken.set(self.is_broken.get() || peeked.is_err() && !is_empty);
        self.buffer.is_empty() && is_empty
    }

    /// Reads what has arrived although no call is in flight. Queries the system, as [`Self::is_idle`] does.
    pub(crate) fn unexpected_input(&mut self) -> UnexpectedInput {
        let mut bytes = [0; UNEXPECTED_READ_BYTES];
        while self.buffer.len() < MAX_UNEXPECTED_BYTES {
            match (&*SockRef::from(&*self.stream)).read(&mut bytes) {
                Ok(length @ 1..) => self.buffer.extend_from_slice(&bytes[..length]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock && self.buffer.is_empty() => {
                    return UnexpectedInput::None;
                }
                Ok(_) if self.buffer.is_empty() && !self.is_broken.get() => return UnexpectedInput::End,
                Ok(_) if self.buffer.is_empty() => return UnexpectedInput::Failed,
                Err(_) if self.buffer.is_empty() => return UnexpectedInput::Failed,
                _ => break,
            }
        }
        UnexpectedInput::Bytes
    }

    /// Reads what has arrived, and returns `true` if the input that was not consumed starts with a response whose status is
    /// `status` as far as it was received. To be called on a connection that is given up.
    pub(crate) fn has_received_status(&mut self, status: u16) -> bool {
        self.unexpected_input() == UnexpectedInput::Bytes && http::may_have_status(&self.buffer, status)
    }

    /// Returns `true` if a response in the input that was not consumed has this status, as far as it was received.
    pub(crate) fn is_status_in_surplus(&self, status: u16) -> bool {
        (0..self.buffer.len()).any(|start| http::may_have_status(&self.buffer[start..], status))
    }

    /// Returns the head at the start of the input that was read and not consumed, if there is a complete one.
    pub(crate) fn surplus_head(&self) -> Option<Head> {
        http::head(&self.buffer).ok().flatten().map(|(head, _)| head)
    }
}
