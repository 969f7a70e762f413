//! Client of the gateway: hands in messages on a connection that it keeps, and waits 400 ms for each answer.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Time for which a client waits for the answer to a message.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

pub struct Message<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub time_left_ms: u64,
    pub key: &'a str,
    pub destination: u64,
    pub body: &'a str,
}

/// Encodes a command.
pub fn command(parts: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        bytes.extend_from_slice(format!("${}\r\n{part}\r\n", part.len()).as_bytes());
    }
    bytes
}

pub struct Client {
    port: u16,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(port: u16) -> Self {
        Self { port, connection: None }
    }

    /// Sends a command and returns the answer without its line end; `None` if there is none in time.
    pub fn send(&mut self, parts: &[&str]) -> Option<String> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let stream = TcpStream::connect(("127.0.0.1", self.port)).ok()?;
                stream.set_nodelay(true).ok()?;
                stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
                BufReader::new(stream)
            }
        };
        connection.get_mut().write_all(&command(parts)).ok()?;
        let mut line = String::new();
        match connection.read_line(&mut line) {
            Ok(1..) if line.ends_with('\n') => {
                self.connection = Some(connection);
                Some(line.trim_end().to_owned())
            }
            _ => None,
        }
    }

    /// Hands in a message, and returns the answer.
    pub fn submit(&mut self, message: &Message) -> Option<String> {
        let Message { id, class, time_left_ms, key, destination, body } = message;
        let list = format!("c={class},d={time_left_ms},k={key},dest={destination}");
        self.send(&["SUBMIT", "0000000000000000", id, &list, body])
    }
}
