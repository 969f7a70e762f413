//! Server side of HTTP/1.1: requests with a `Content-Length`, one at a time on a connection.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Request that was read completely.
pub struct Request {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Time of its first byte.
    pub first_byte: Instant,
    /// Number of the request on its connection, from 1.
    pub number: u32,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value)
    }
}

/// Connection of a client of the server.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    requests: u32,
}

impl Connection {
    /// Reads the next request; `None` at the end of the connection.
    pub fn request(&mut self) -> Option<Request> {
        let mut first_byte = (!self.buffer.is_empty()).then(Instant::now);
        let mut chunk = [0; 16 * 1024];
        loop {
            if let Some(mut request) = parse(&mut self.buffer) {
                self.requests += 1;
                request.number = self.requests;
                request.first_byte = first_byte.unwrap_or_else(Instant::now);
                return Some(request);
            }
            match self.stream.read(&mut chunk) {
                Ok(0) | Err(_) => return None,
                Ok(length) => {
                    first_byte.get_or_insert_with(Instant::now);
                    self.buffer.extend_from_slice(&chunk[..length]);
                }
            }
        }
    }

    /// Writes bytes in one piece; `false` if the connection is broken.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Writes a response without a body.
    pub fn respond(&mut self, status: u16, headers: &str) -> bool {
        self.write(format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: 0\r\n\r\n").as_bytes())
    }

    /// Returns `true` if the other side has closed the connection. Does not wait.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.peek(), Some(0))
    }

    /// Returns `true` if input waits on the connection. Does not wait.
    pub fn has_input(&mut self) -> bool {
        !self.buffer.is_empty() || matches!(self.peek(), Some(1..))
    }

    fn peek(&mut self) -> Option<usize> {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(length) => Some(length),
            Err(error) if error.kind() == ErrorKind::WouldBlock => None,
            Err(_) => Some(0),
        }
    }

    /// Returns the socket, of which nothing has been read.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Reads and drops input until the other side closes the connection.
    pub fn discard_until_closed(&mut self) {
        let mut chunk = [0; 4096];
        while matches!(self.stream.read(&mut chunk), Ok(1..)) {}
    }
}

fn parse(buffer: &mut Vec<u8>) -> Option<Request> {
    let end = buffer.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let total = end + 4 + length;
    if buffer.len() < total {
        return None;
    }
    let body = buffer[end + 4..total].to_vec();
    buffer.drain(..total);
    Some(Request { line, headers, body, first_byte: Instant::now(), number: 0 })
}

/// Server that handles each connection in a thread of its own.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl Server {
    /// Listens on `port` of the loopback address, or on a free one if that is 0.
    pub fn start(port: u16, handle: impl Fn(Connection) + Send + Sync + 'static) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", port))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let (is_stopped, handle) = (stopped.clone(), Arc::new(handle));
        thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let handle = handle.clone();
                thread::spawn(move || handle(Connection { stream, buffer: Vec::new(), requests: 0 }));
            }
        });
        Ok(Self { address, stopped })
    }

    /// Closes the listening socket, so that new connections are refused.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(20));
    }
}
