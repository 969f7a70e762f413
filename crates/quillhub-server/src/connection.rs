//! One HTTP connection to a server: a socket and what was read from it and not yet used.
//!
//! Invariant: what was read belongs to the response that is being read, or follows it.

use crate::http::{self, Framing, Head};
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Why nothing more can be read from a connection.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// It was closed, or silent for too long.
    #[error("it ended")]
    Ended,
    /// A read or a write failed.
    #[error("{0}")]
    Failed(#[source] io::Error),
    /// What came is no HTTP, or not what was asked for.
    #[error("what came cannot be read")]
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

/// Bytes that a read has space for at least: more than most responses have.
const MIN_READ_BYTES: usize = 1024;

/// How long a request's last byte is held back: more than a round trip inside a building, and little beside any
/// attempt.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(3);

/// An open connection.
pub struct HttpConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// How long a read may wait for its first byte, where that is limited.
    silence_timeout: Option<Duration>,
}

impl HttpConnection {
    /// Opens a connection to `at`.
    ///
    /// # Errors
    ///
    /// If the connection does not come up.
    pub async fn open(at: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(at).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, buffer: Vec::new(), silence_timeout: None })
    }

    /// From now on the connection counts as ended once nothing has come for `longest` while something is waited for,
    /// however long all of it takes.
    pub fn set_silence_timeout(&mut self, longest: Duration) {
        self.silence_timeout = Some(longest);
    }

    /// Writes `octets` as they are.
    ///
    /// # Errors
    ///
    /// If the connection is broken.
    pub async fn write(&mut self, octets: &[u8]) -> io::Result<()> {
        self.stream.write_all(octets).await
    }

    /// Writes a request, its last byte only if the connection is still open a moment after the others and nothing
    /// has come on it: what fails here was not executed. Against pooled connections that are dead without a sign, and
    /// against copies of a response that come late. Costs each attempt the moment.
    ///
    /// # Errors
    ///
    /// If the last byte was not written.
    pub async fn write_request(&mut self, request: &[u8]) -> Result<(), ConnectionError> {
        let (most, last) = request.split_at(request.len().saturating_sub(1));
        self.write(most).await.map_err(ConnectionError::Failed)?;
        match timeout(LAST_BYTE_DELAY, self.read_more()).await {
            Err(_) => self.write(last).await.map_err(ConnectionError::Failed),
            Ok(came) => came.and(Err(ConnectionError::Malformed)),
        }
    }

    async fn read_more(&mut self) -> Result<(), ConnectionError> {
        self.buffer.reserve(MIN_READ_BYTES);
        let read = self.stream.read_buf(&mut self.buffer);
        let read = match self.silence_timeout {
            Some(longest) => timeout(longest, read).await.map_err(|_| ConnectionError::Ended)?,
            None => read.await,
        };
        match read {
            Ok(0) => Err(ConnectionError::Ended),
            Ok(_) => Ok(()),
            Err(error) => Err(ConnectionError::Failed(error)),
        }
    }

    /// Waits until something of a response has come.
    ///
    /// # Errors
    ///
    /// If the connection is broken.
    pub async fn response_begins(&mut self) -> Result<(), ConnectionError> {
        if self.buffer.is_empty() { self.read_more().await } else { Ok(()) }
    }

    /// What `parse` finds at the start of what came, once enough has come; the bytes that it takes are consumed.
    async fn parsed<T>(&mut self, parse: impl Fn(&[u8]) -> http::Parsed<T>) -> Result<T, ConnectionError> {
        loop {
            if let Some((found, used)) = parse(&self.buffer)? {
                self.buffer.drain(..used);
                return Ok(found);
            }
            self.read_more().await?;
        }
    }

    /// The status of the response that has begun, as soon as its first line is complete. Nothing of it is consumed.
    ///
    /// # Errors
    ///
    /// If no first line comes.
    pub async fn status(&mut self) -> Result<u16, ConnectionError> {
        self.parsed(|octets| Ok(http::status(octets)?.map(|status| (status, 0)))).await
    }

    /// Whether nothing was read beyond the last response.
    pub fn has_no_surplus(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether what was read beyond a response can only be another.
    pub fn surplus_is_response(&self) -> bool {
        self.buffer.starts_with(b"HTTP/1.")
    }

    /// The next response's head; interim responses are skipped.
    ///
    /// # Errors
    ///
    /// If none comes.
    pub async fn head(&mut self) -> Result<Head, ConnectionError> {
        loop {
            let head = self.any_head().await?;
            if head.status >= 200 {
                return Ok(head);
            }
        }
    }

    /// The next head, an interim response's too.
    ///
    /// # Errors
    ///
    /// If none comes.
    pub async fn any_head(&mut self) -> Result<Head, ConnectionError> {
        self.parsed(http::head).await
    }

    /// The next chunk of a chunked body; empty for the last.
    ///
    /// # Errors
    ///
    /// If none comes, or one longer than `most`.
    pub async fn chunk(&mut self, most: usize) -> Result<Vec<u8>, ConnectionError> {
        self.parsed(|octets| Ok(http::chunk(octets, most)?.map(|(chunk, used)| (chunk.to_vec(), used)))).await
    }

    /// A complete body of `most` bytes at most.
    ///
    /// # Errors
    ///
    /// If none comes, or a longer one.
    pub async fn body(&mut self, framing: Framing, most: usize) -> Result<Vec<u8>, ConnectionError> {
        let mut body = Vec::new();
        match framing {
            Framing::Length(length) if length > most => return Err(ConnectionError::Malformed),
            Framing::Length(length) => {
                while self.buffer.len() < length {
                    self.read_more().await?;
                }
                body.extend(self.buffer.drain(..length));
            }
            Framing::Chunked => loop {
                let octets = self.chunk(most).await?;
                if octets.is_empty() {
                    break;
                }
                body.extend_from_slice(&octets);
                if body.len() > most {
                    return Err(ConnectionError::Malformed);
                }
            },
            Framing::ToEnd => loop {
                if self.buffer.len() > most {
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

    /// Whether the connection is still open with nothing read or to read, so that a request may use it. The system is
    /// queried: the runtime does not know yet of what came since it last waited.
    pub fn is_idle(&self) -> bool {
        let blocks = |e: io::Error| e.kind() == ErrorKind::WouldBlock;
        let peeked = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        self.buffer.is_empty() && peeked.is_err_and(blocks)
    }
}
