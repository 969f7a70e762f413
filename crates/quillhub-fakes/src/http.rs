//! Server side of HTTP/1.1: reads requests from a connection one at a time and writes responses.

use crate::traffic::{ConnectionTraffic, Traffic};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum size of a request, head and body, in bytes; the requests of an instance are far smaller.
const MAX_REQUEST_BYTES: usize = 256 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 32;

/// Accepted connection, with the bytes read from it beyond the last request.
pub struct ServerConnection {
    stream: TcpStream,
    unparsed: Vec<u8>,
    traffic: ConnectionTraffic,
}

/// Request, with the headers that the fake servers use.
#[derive(Debug, Default)]
pub struct Request {
    /// Method, such as `POST`.
    pub method: String,
    /// Path with the query.
    pub path: String,
    /// Value of the `X-Request-Id` header, if any: the id of a message.
    pub id: Option<String>,
    /// Value of the `Idempotency-Key` header, if any.
    pub idempotency_key: Option<String>,
    /// Value of the `X-Deadline` header, if any: the time in which the client expects the response.
    pub time_left: Option<Duration>,
    /// Body, empty without a `Content-Length` header.
    pub body: Vec<u8>,
}

fn malformed(found: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("expected a request, found {found}"))
}

impl ServerConnection {
    /// Wraps an accepted connection whose traffic is not counted for a server.
    pub fn new(stream: TcpStream) -> Self {
        Self::with_traffic(stream, Arc::default())
    }

    /// Wraps an accepted connection whose traffic counts for `server`.
    pub fn with_traffic(stream: TcpStream, server: Arc<Traffic>) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, unparsed: Vec::new(), traffic: ConnectionTraffic::accepted(server) }
    }

    /// Counts the connection, with its traffic so far, for `server` instead.
    pub fn move_traffic_to(&mut self, server: &Arc<Traffic>) {
        self.traffic.move_to(server);
    }

    /// Reads and discards what the client sends until it closes the connection.
    pub async fn discard(&mut self) -> io::Result<()> {
        let mut bytes = [0; 4096];
        while self.stream.read(&mut bytes).await? > 0 {}
        Ok(())
    }

    /// Reads the next request; `None` if the client has closed the connection.
    pub async fn next(&mut self) -> io::Result<Option<Request>> {
        loop {
            if let Some((request, used)) = parse_request(&self.unparsed)? {
                self.unparsed.drain(..used);
                self.traffic.add_request();
                return Ok(Some(request));
            }
            if self.unparsed.len() > MAX_REQUEST_BYTES {
                return Err(malformed(&format!("more than {MAX_REQUEST_BYTES} bytes without an end")));
            }
            let length = self.stream.read_buf(&mut self.unparsed).await?;
            self.traffic.add_read(length);
            if length == 0 {
                return Ok(None);
            }
        }
    }

    /// Writes a complete response; `headers` are whole lines, each with its line end.
    pub async fn answer(&mut self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let mut octets =
            format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        octets.extend_from_slice(body);
        self.write(&octets).await
    }

    /// Writes `octets` unchanged, for streamed responses.
    pub async fn write(&mut self, octets: &[u8]) -> io::Result<()> {
        self.stream.write_all(octets).await?;
        self.traffic.add_written(octets.len());
        Ok(())
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// Parses the request at the start of `read` and returns it with its length; `None` if it is incomplete.
pub fn parse_request(read: &[u8]) -> io::Result<Option<(Request, usize)>> {
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
        Some(text) => text.trim().parse().map_err(|_| malformed("an invalid Content-Length"))?,
        None => 0,
    };
    let used = head + length;
    if used > MAX_REQUEST_BYTES {
        return Err(malformed(&format!("one of {used} bytes, more than {MAX_REQUEST_BYTES}")));
    }
    if read.len() < used {
        return Ok(None);
    }
    let request = Request {
        method: request.method.unwrap_or_default().into(),
        path: request.path.unwrap_or_default().into(),
        id: value("x-request-id"),
        idempotency_key: value("idempotency-key"),
        time_left: value("x-deadline").and_then(|text| Duration::try_from_secs_f64(text.parse().ok()?).ok()),
        body: read[head..used].to_vec(),
    };
    Ok(Some((request, used)))
}
