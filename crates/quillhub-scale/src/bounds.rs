//! What a run may take of the machine, checked before anything starts.

use crate::plan::{Load, Refusal, Sizes, refuse};

/// Processes of one run.
pub const MOST_PROCESSES: u64 = 300;
/// Descriptors of one process.
pub const MOST_DESCRIPTORS: u64 = 20_000;
/// Lightweight instances that share one thread: its share of a second stays well under one.
pub const LIGHTWEIGHT_PER_THREAD: u64 = 200;
/// Descriptors of one lightweight instance and of those that serve it: a watch and a call with two ends each, and a
/// datagram socket.
const DESCRIPTORS_EACH: u64 = 5;
/// Descriptors for all else.
const OTHER_DESCRIPTORS: u64 = 512;
/// Memory of a destination in an instance, told by its configuration: twice what was seen at 40,000.
const DESTINATION_BYTES: u64 = 14 * 1024;
/// Memory of the list of one destination in the process that serves it.
const LISTED_BYTES: u64 = 2 * 1024;
/// Memory of a message that is held, beside its body: twice what was seen at 22,500.
const MESSAGE_BYTES: u64 = 2 * 1024;
/// Memory of an instance that knows and holds nothing.
const COURIER_BYTES: u64 = 8 * 1024 * 1024;
/// Memory of a lightweight instance that knows and holds nothing.
const LIGHTWEIGHT_BYTES: u64 = 128 * 1024;

/// What a run takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// Processes that it starts, and itself.
    pub processes: u64,
    /// Descriptors of its own process.
    pub descriptors: u64,
    /// Memory of all its processes.
    pub memory: u64,
}

/// What the machine has for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Descriptors that this process may open.
    pub descriptors: u64,
    /// Memory of the machine.
    pub memory: u64,
}

/// What a point of these sizes takes. A backlog is measured once more in a restarted instance, after the first has
/// ended.
pub fn need(sizes: &Sizes, load: &Load) -> Need {
    let Sizes { destinations, backlog, couriers, .. } = *sizes;
    let real = COURIER_BYTES
        .saturating_add(destinations.saturating_mul(DESTINATION_BYTES))
        .saturating_add(backlog.saturating_mul(MESSAGE_BYTES + load.body as u64));
    let lightweight = couriers
        .saturating_mul(destinations.saturating_mul(DESTINATION_BYTES).saturating_add(LIGHTWEIGHT_BYTES));
    let serving = destinations.saturating_mul(LISTED_BYTES);
    Need {
        processes: 2,
        descriptors: couriers
            .saturating_mul(DESCRIPTORS_EACH)
            .saturating_add(4 * load.connections as u64)
            .saturating_add(OTHER_DESCRIPTORS + crate::settings::CALLS),
        memory: real.saturating_add(lightweight).saturating_add(serving),
    }
}

/// Whether it may start.
pub fn check(place: &str, need: &Need, limits: &Limits) -> Result<(), Refusal> {
    const MB: u64 = 1024 * 1024;
    let half = limits.memory / 2;
    let descriptors = limits.descriptors.min(MOST_DESCRIPTORS);
    if need.memory > half {
        let expected = format!("at most {} MB, half of the machine's memory", half / MB);
        return refuse(place, expected, format!("a need of {} MB", need.memory / MB));
    }
    if need.processes > MOST_PROCESSES {
        return refuse(place, format!("at most {MOST_PROCESSES} processes"), need.processes);
    }
    if need.descriptors >= descriptors {
        return refuse(
            place,
            format!("under {descriptors} descriptors"),
            format!("a need of {}", need.descriptors),
        );
    }
    Ok(())
}

#[cfg(test)]
#[path = "bounds_tests.rs"]
mod tests;
