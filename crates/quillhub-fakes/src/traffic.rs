//! Counts of what goes over a server's connections. They can be read from another thread while the server runs.

use std::ops::Sub;
use std::sync::Mutex;

/// Bytes of data in one TCP segment over a usual Ethernet: 1,500 less 40 of headers and 12 of timestamps.
const SEGMENT_BYTES: u64 = 1_448;

/// Totals up to one instant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections accepted.
    pub connections: u64,
    /// Requests answered, or begun to be answered.
    pub requests: u64,
    /// Bytes read from the connections.
    pub bytes_in: u64,
    /// Bytes written to the connections.
    pub bytes_out: u64,
    /// Data segments that the reads and writes take when each goes by itself, over a usual Ethernet.
    pub segments: u64,
}

impl Counts {
    /// Bytes in both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes_in + self.bytes_out
    }

    /// Data segments and one acknowledgement for each.
    pub fn packets(&self) -> u64 {
        self.segments * 2
    }

    fn add(&mut self, other: Counts) {
        self.connections += other.connections;
        self.requests += other.requests;
        self.bytes_in += other.bytes_in;
        self.bytes_out += other.bytes_out;
        self.segments += other.segments;
    }
}

impl Sub for Counts {
    type Output = Counts;

    fn sub(self, earlier: Counts) -> Counts {
        Counts {
            connections: self.connections - earlier.connections,
            requests: self.requests - earlier.requests,
            bytes_in: self.bytes_in - earlier.bytes_in,
            bytes_out: self.bytes_out - earlier.bytes_out,
            segments: self.segments - earlier.segments,
        }
    }
}

/// The counts of one server, and how many of its connections are open.
#[derive(Debug, Default)]
pub struct Traffic(Mutex<(Counts, u64)>);

impl Traffic {
    fn change(&self, change: impl FnOnce(&mut Counts, &mut u64)) {
        let mut inside = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let (counts, open) = &mut *inside;
        change(counts, open);
    }

    /// Totals by now.
    pub fn counts(&self) -> Counts {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).0
    }

    /// Connections that are open.
    pub fn open(&self) -> u64 {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).1
    }
}

/// The counts of one connection, which are also part of its server's.
#[derive(Debug)]
pub struct Connection {
    server: std::sync::Arc<Traffic>,
    own: Counts,
}

impl Connection {
    /// A connection that `server` has just accepted.
    pub fn accepted(server: std::sync::Arc<Traffic>) -> Self {
        let own = Counts { connections: 1, ..Counts::default() };
        server.change(|counts, open| {
            counts.add(own);
            *open += 1;
        });
        Self { server, own }
    }

    fn count(&mut self, more: Counts) {
        self.own.add(more);
        self.server.change(|counts, _| counts.add(more));
    }

    /// Bytes were read.
    pub fn read(&mut self, bytes: usize) {
        let bytes_in = bytes as u64;
        self.count(Counts { bytes_in, segments: bytes_in.div_ceil(SEGMENT_BYTES), ..Counts::default() });
    }

    /// Bytes were written.
    pub fn written(&mut self, bytes: usize) {
        let bytes_out = bytes as u64;
        self.count(Counts { bytes_out, segments: bytes_out.div_ceil(SEGMENT_BYTES), ..Counts::default() });
    }

    /// One request came whole.
    pub fn request(&mut self) {
        self.count(Counts { requests: 1, ..Counts::default() });
    }

    /// The connection turns out to belong to `other`: all that it counted moves there.
    pub fn move_to(&mut self, other: &std::sync::Arc<Traffic>) {
        if std::sync::Arc::ptr_eq(&self.server, other) {
            return;
        }
        let own = self.own;
        self.server.change(|counts, open| {
            *counts = *counts - own;
            *open -= 1;
        });
        other.change(|counts, open| {
            counts.add(own);
            *open += 1;
        });
        self.server = other.clone();
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.server.change(|_, open| *open -= 1);
    }
}

#[cfg(test)]
#[path = "traffic_tests.rs"]
mod tests;
