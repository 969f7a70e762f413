//! One HTTP connection of ours: a socket and what was read from it and not yet used.

use crate::http::{self, Framing, Head};
use socket2::SockRef;
use std::fmt;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Why nothing more can be read from a connection.
#[derive(Debug)]
pub enum Broken {
    /// The other side has closed it, or it was silent for too long.
    Ended,
    /// A read or write failed.
    Failed(io::Error),
    /// What came is not HTTP/1.1, or longer than allowed.
    Malformed,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Ended => f.write_str("it ended"),
            Self::Failed(error) => write!(f, "{error}"),
            Self::Malformed => f.write_str("what came cannot be read"),
        }
    }
}

impl From<http::Malformed> for Broken {
    fn from(_: http::Malformed) -> Self {
        Self::Malformed
    }
}

impl From<Broken> for io::Error {
    fn from(broken: Broken) -> Self {
        match broken {
            Broken::Ended => ErrorKind::UnexpectedEof.into(),
            Broken::Failed(error) => error,
            Broken::Malformed => ErrorKind::InvalidData.into(),
        }
    }
}

/// Bytes that a read has room for at least: more than most answers have.
const READ: usize = 1024;

/// How long a call's last byte is kept back: more than the way there and back inside a building, and little
/// beside any call.
const MOMENT: Duration = Duration::from_millis(3);

/// A connection to a server, with what was read from it and not used yet.
pub struct Link {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// How long a read may wait for its first byte, where that is bounded.
    longest_silence: Option<Duration>,
}

impl Link {
    /// Connects to `at`.
    ///
    /// # Errors
    ///
    /// If the connection does not come up.
    pub async fn open(at: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(at).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, buffer: Vec::new(), longest_silence: None })
    }

    /// From now on the connection counts as ended once nothing has come for `longest` while something is waited for,
    /// however long the whole takes.
    pub fn ends_after_silence_of(&mut self, longest: Duration) {
        self.longest_silence = Some(longest);
    }

    /// Writes all of `octets`.
    ///
    /// # Errors
    ///
    /// If the connection breaks; a part may have been written by then.
    pub async fn write(&mut self, octets: &[u8]) -> io::Result<()> {
        self.stream.write_all(octets).await
    }

    /// Writes a call, its last byte only if the connection still stands a moment after the others and nothing
    /// has come on it: what fails here has not run. Against kept connections that are dead without a sign, and
    /// against copies of an answer that come late. Costs each call the moment.
    pub async fn offer(&mut self, call: &[u8]) -> Result<(), Broken> {
        let (most, last) = call.split_at(call.len().saturating_sub(1));
        self.write(most).await.map_err(Broken::Failed)?;
        match timeout(MOMENT, self.more()).await {
            Err(_) => self.write(last).await.map_err(Broken::Failed),
            Ok(came) => came.and(Err(Broken::Malformed)),
        }
    }

    async fn more(&mut self) -> Result<(), Broken> {
        self.buffer.reserve(READ);
        let read = self.stream.read_buf(&mut self.buffer);
        let read = match self.longest_silence {
            Some(longest) => timeout(longest, read).await.map_err(|_| Broken::Ended)?,
            None => read.await,
        };
        match read {
            Ok(0) => Err(Broken::Ended),
            Ok(_) => Ok(()),
            Err(error) => Err(Broken::Failed(error)),
        }
    }

    /// Waits until something of an answer has come.
    pub async fn begin(&mut self) -> Result<(), Broken> {
        if self.buffer.is_empty() { self.more().await } else { Ok(()) }
    }

    /// What `parse` finds at the start of what came, once enough has come; the bytes that it says are taken.
    async fn parsed<T>(
        &mut self,
        parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, http::Malformed>,
    ) -> Result<T, Broken> {
        loop {
            if let Some((found, used)) = parse(&self.buffer)? {
                self.buffer.drain(..used);
                return Ok(found);
            }
            self.more().await?;
        }
    }

    /// The status of the answer that has begun, as soon as its first line is whole. Nothing of it is taken.
    pub async fn status(&mut self) -> Result<u16, Broken> {
        self.parsed(|octets| Ok(http::status(octets)?.map(|status| (status, 0)))).await
    }

    /// Whether nothing was read beyond the last answer.
    pub fn empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether what was read beyond an answer can only be another.
    pub fn copied(&self) -> bool {
        self.buffer.starts_with(b"HTTP/1.")
    }

    /// The next answer's head; interim answers are passed over.
    pub async fn head(&mut self) -> Result<Head, Broken> {
        loop {
            let head = self.any_head().await?;
            if head.status >= 200 {
                return Ok(head);
            }
        }
    }

    /// The next head, an interim answer's too.
    pub async fn any_head(&mut self) -> Result<Head, Broken> {
        self.parsed(http::head).await
    }

    /// The next chunk of a chunked body; empty for the last.
    pub async fn chunk(&mut self, most: usize) -> Result<Vec<u8>, Broken> {
        self.parsed(|octets| Ok(http::chunk(octets, most)?.map(|(chunk, used)| (chunk.to_vec(), used)))).await
    }

    /// A whole body of `most` bytes at most.
    pub async fn body(&mut self, framing: Framing, most: usize) -> Result<Vec<u8>, Broken> {
        let mut body = Vec::new();
        match framing {
            Framing::Length(length) if length > most => return Err(Broken::Malformed),
            Framing::Length(length) => {
                while self.buffer.len() < length {
                    self.more().await?;
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
                    return Err(Broken::Malformed);
                }
            },
            Framing::ToEnd => loop {
                if self.buffer.len() > most {
                    return Err(Broken::Malformed);
                }
                match self.more().await {
                    Err(Broken::Ended) => return Ok(std::mem::take(&mut self.buffer)),
                    other => other?,
                }
            },
        }
        Ok(body)
    }

    /// Whether the connection is still open with nothing read or to read, so that a call may use it. The system is
    /// asked: the runtime does not know yet of what came since it last waited.
    pub fn quiet(&self) -> bool {
        let blocks = |e: io::Error| e.kind() == ErrorKind::WouldBlock;
        let peeked = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        self.buffer.is_empty() && peeked.is_err_and(blocks)
    }
}
