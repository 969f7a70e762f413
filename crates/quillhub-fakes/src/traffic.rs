//! Traffic counts of a server's connections, which other threads can read while the server runs.

use std::ops::Sub;
use std::sync::Mutex;

/// Maximum data of a TCP segment over Ethernet, in bytes: 1,500 less 40 of headers and 12 of timestamps.
const MAX_SEGMENT_BYTES: u64 = 1_448;

/// Totals since the start of a server or a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Accepted connections.
    pub connections: u64,
    /// Requests read completely.
    pub requests: u64,
    /// Bytes read from the connections.
    pub bytes_in: u64,
    /// Bytes written to the connections.
    pub bytes_out: u64,
    /// Data segments over Ethernet, if each read and each write starts a new segment.
    pub segments: u64,
}

impl Counts {
    /// Returns the bytes in both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes_in + self.bytes_out
    }

    /// Returns the number of packets, counting one acknowledgement per data segment.
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

/// Traffic of one server: the counts of all its connections, and the number of open ones.
#[derive(Debug, Default)]
pub struct Traffic(Mutex<(Counts, u64)>);

impl Traffic {
    fn update(&self, change: impl FnOnce(&mut Counts, &mut u64)) {
        let mut guard = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let (counts, open) = &mut *guard;
        change(counts, open);
    }

    /// Returns the totals so far.
    pub fn counts(&self) -> Counts {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).0
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> u64 {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).1
    }
}

/// Traffic of one connection, which counts for its server, too.
#[derive(Debug)]
pub(crate) struct ConnectionTraffic {
    server: std::sync::Arc<Traffic>,
    own: Counts,
}

impl ConnectionTraffic {
    /// Creates the counts of a connection that `server` has just accepted, and counts it as open.
    pub fn accepted(server: std::sync::Arc<Traffic>) -> Self {
        let own = Counts { connections: 1, ..Counts::default() };
        server.update(|counts, open| {
            counts.add(own);
            *open += 1;
        });
        Self { server, own }
    }

    fn count(&mut self, more: Counts) {
        self.own.add(more);
        self.server.update(|counts, _| counts.add(more));
    }

    /// Counts `bytes` that were read at once.
    pub fn add_read(&mut self, bytes: usize) {
        let bytes_in = bytes as u64;
        self.count(Counts { bytes_in, segments: bytes_in.div_ceil(MAX_SEGMENT_BYTES), ..Counts::default() });
    }

    /// Counts `bytes` that were written at once.
    pub fn add_written(&mut self, bytes: usize) {
        let bytes_out = bytes as u64;
        self.count(Counts {
            bytes_out,
            segments: bytes_out.div_ceil(MAX_SEGMENT_BYTES),
            ..Counts::default()
        });
    }

    /// Counts a request that was read completely.
    pub fn add_request(&mut self) {
        self.count(Counts { requests: 1, ..Counts::default() });
    }

    /// Moves the connection with all its counts so far from its server to `other`.
    ///
    /// For two servers on one address, where only a request shows which of them the connection is for.
    pub fn move_to(&mut self, other: &std::sync::Arc<Traffic>) {
        if std::sync::Arc::ptr_eq(&self.server, other) {
            return;
        }
        let own = self.own;
        self.server.update(|counts, open| {
            *counts = *counts - own;
            *open -= 1;
        });
        other.update(|counts, open| {
            counts.add(own);
            *open += 1;
        });
        self.server = other.clone();
    }
}

impl Drop for ConnectionTraffic {
    fn drop(&mut self) {
        self.server.update(|_, open| *open -= 1);
    }
}

#[cfg(test)]
#[path = "traffic_tests.rs"]
mod tests;
