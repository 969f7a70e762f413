//! HTTP/1.1 as a server needs it: one request at a time from a connection.

use crate::traffic::{ConnectionTraffic, Traffic};
use std::io;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Bytes of a request, head and body: what an instance sends is far smaller.
const MAX_REQUEST_BYTES: usize = 256 * 1024;
/// Headers of a request.
const MAX_HEADERS: usize = 32;

/// A connection, and what was read from it beyond the last request.
pub struct Served {
    stream: TcpStream,
    read: Vec<u8>,
    traffic: ConnectionTraffic,
}

/// One request, with the few headers that a fake goes by.
#[derive(Debug, Default)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its path with the query.
    pub path: String,
    /// The id that it names.
    pub id: Option<String>,
    /// The idempotency key that it names.
    pub idempotency_key: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
}

fn malformed(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("expected a request, found {what}"))
}

impl Served {
    /// A connection whose traffic nobody counts.
    pub fn new(stream: TcpStream) -> Self {
        Self::counted(stream, Arc::default())
    }

    /// One whose traffic is part of `server`'s.
    pub fn counted(stream: TcpStream, server: Arc<Traffic>) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, read: Vec::new(), traffic: ConnectionTraffic::accepted(server) }
    }

    /// From now on, and for what it has carried already, it is one of `server`'s.
    pub fn belongs_to(&mut self, server: &Arc<Traffic>) {
        self.traffic.move_to(server);
    }

    /// The next request; nothing once the other side has closed.
    pub async fn next(&mut self) -> io::Result<Option<Request>> {
        loop {
            if let Some((request, used)) = parse(&self.read)? {
                self.read.drain(..used);
                self.traffic.add_request();
                return Ok(Some(request));
            }
            if self.read.len() > MAX_REQUEST_BYTES {
                return Err(malformed("one that does not end"));
            }
            let length = self.stream.read_buf(&mut self.read).await?;
            self.traffic.add_read(length);
            if length == 0 {
                return Ok(None);
            }
        }
    }

    /// Writes a whole response.
    pub async fn answer(&mut self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let mut octets =
            format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        octets.extend_from_slice(body);
        self.write(&octets).await
    }

    /// Writes octets as they are, for responses that go on.
    pub async fn write(&mut self, octets: &[u8]) -> io::Result<()> {
        self.stream.write_all(octets).await?;
        self.traffic.add_written(octets.len());
        Ok(())
    }

    /// Ends with a reset instead of a close.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }
}

fn parse(read: &[u8]) -> io::Result<Option<(Request, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(read).map_err(|e| malformed(&e.to_string()))? {
        httparse::Status::Complete(head) => head,
        httparse::Status::Partial => return Ok(None),
    };
    let value = |name: &str| {
        let found = request.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        found.map(|h| String::from_utf8_lossy(h.value).into_owned())
    };
    let length = match value("content-length") {
        Some(text) => text.trim().parse().map_err(|_| malformed("a length that is none"))?,
        None => 0,
    };
    let used = head + length;
    if used > MAX_REQUEST_BYTES {
        return Err(malformed("one that is too long"));
    }
    if read.len() < used {
        return Ok(None);
    }
    let request = Request {
        method: request.method.unwrap_or_default().into(),
        path: request.path.unwrap_or_default().into(),
        id: value("x-request-id"),
        idempotency_key: value("idempotency-key"),
        body: read[head..used].to_vec(),
    };
    Ok(Some((request, used)))
}
