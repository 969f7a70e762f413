//! Arrival of input from clients: when the last byte of a read arrived at this machine, however long it waited there.
//!
//! The kernel stamps input when it arrives, by the wall clock. A stamp is believed if it lies within what is known without
//! it: input arrives after the last moment at which its socket is known to have had none, and before it is read. Without a
//! believable stamp, the input counts as having arrived at the first of these moments.
//!
//! Invariant: input never counts as having arrived later than it did, unless the wall clock was set while it waited.

use crate::event_loop::EventLoopClock;
use crate::stream_io::age_of;
use std::cell::Cell;
use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// Waits of a command in front of its execution.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Waits {
    /// Until its connection was accepted.
    pub(super) in_listener: Duration,
    /// For a permit for its connection.
    pub(super) for_permit: Duration,
    /// Until it was read, apart from the wait for a permit for its connection.
    pub(super) in_socket: Duration,
    /// Behind other commands that were read with it.
    pub(super) behind_commands: Duration,
}

/// Times at which a connection was taken over.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionTimes {
    /// Last moment at which the listener is known to have had no connection before this one.
    pub(super) listener_empty: Instant,
    /// Time at which the connection was accepted.
    pub(super) accepted: Instant,
    /// Time at which it got its permit.
    pub(super) permitted: Instant,
}

impl ConnectionTimes {
    /// Returns where a command that arrived at `arrived`, and was read at `read`, waited until `executed`.
    pub(super) fn waits(&self, arrived: Instant, read: Instant, executed: Instant) -> Waits {
        let after = |start: Instant, end: Instant| end.saturating_duration_since(start.max(arrived));
        Waits {
            in_listener: after(arrived, self.accepted),
            for_permit: after(self.accepted, self.permitted),
            in_socket: after(self.permitted, read),
            behind_commands: after(read, executed),
        }
    }
}

/// Arrival of the input of one read.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    /// Moment before which none of it arrived.
    earliest: Instant,
    /// Earliest possible arrival of its last byte.
    last_byte: Instant,
    /// Latest possible arrival of its last byte.
    latest: Instant,
    /// Time at which it was read.
    pub(super) read: Instant,
}

impl Arrival {
    /// Returns the earliest possible arrival of a byte, the last of the read if `is_last` is set.
    pub(super) fn of_byte(&self, is_last: bool) -> Instant {
        if is_last { self.last_byte } else { self.earliest }
    }

    /// Returns the latest possible arrival of any byte.
    pub(super) fn latest(&self) -> Instant {
        self.latest
    }
}

/// Last moment at which a socket is known to have had no input that was not read.
pub(super) struct EmptySince {
    event_loop: EventLoopClock,
    moment: Cell<Instant>,
}

impl EmptySince {
    pub(super) fn new(event_loop: EventLoopClock, moment: Instant) -> Self {
        Self { event_loop, moment: Cell::new(moment) }
    }

    pub(super) fn moment(&self) -> Instant {
        self.moment.get()
    }

    /// Registers that the system reported the socket as empty after `moment`.
    pub(super) fn found_empty(&self, moment: Instant) {
        self.moment.set(self.moment.get().max(moment));
    }

    /// Registers that input has just ended a wait for it: none was there when the event loop last looked.
    pub(super) fn waited(&self) {
        self.found_empty(self.event_loop.handled_until());
    }

    /// Returns the arrival of input that was just read, with the kernel's stamp of its last byte, if there is one.
    pub(super) fn input_read(&self, stamp: Option<SystemTime>) -> Arrival {
        let read = Instant::now();
        let earliest = self.moment.get();
        let stamped = stamp.and_then(age_of).and_then(|age| read.checked_sub(age));
        let stamped = stamped.filter(|stamped| *stamped >= earliest);
        let last_byte = stamped.unwrap_or(earliest);
        // Bytes arrive in order.
        self.moment.set(last_byte);
        Arrival { earliest, last_byte, latest: stamped.unwrap_or(read), read }
    }
}

#[cfg(test)]
#[path = "arrival_tests.rs"]
mod tests;
