//! Resource needs of a run, and their limits, checked before anything starts.

use crate::plan::{Load, Refusal, Sizes, refuse};

/// Maximum number of processes of one run.
const MAX_PROCESSES: u64 = 300;
/// Maximum number of file descriptors of one process.
const MAX_DESCRIPTORS: u64 = 20_000;
/// Maximum number of lightweight instances on one thread, so that the thread does not saturate a core.
pub const MAX_LIGHTWEIGHT_PER_THREAD: u64 = 200;
/// File descriptors for each lightweight instance: both ends of a watch and of a call, and a datagram socket.
const DESCRIPTORS_PER_LIGHTWEIGHT: u64 = 5;
/// File descriptors for everything that does not grow with the sizes.
const OTHER_DESCRIPTORS: u64 = 512;
/// Memory of an instance for each destination in its configuration, in bytes: the usage with 40,000 destinations,
/// with a factor of 2 for safety.
const MEMORY_PER_DESTINATION_BYTES: u64 = 14 * 1024;
/// Memory of the process that serves the endpoint list for each destination, in bytes.
const MEMORY_PER_LIST_ENTRY_BYTES: u64 = 2 * 1024;
/// Memory of an instance for each pending message without its body, in bytes: the usage with 22,500 messages, with a
/// factor of 2 for safety.
const MEMORY_PER_MESSAGE_BYTES: u64 = 2 * 1024;
/// Memory of a real instance without destinations and messages, in bytes.
const INSTANCE_MEMORY_BYTES: u64 = 8 * 1024 * 1024;
/// Memory of a lightweight instance without destinations, in bytes.
const LIGHTWEIGHT_MEMORY_BYTES: u64 = 128 * 1024;

/// Resources that a point needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// Number of processes running at a time, with the one that starts the others.
    pub processes: u64,
    /// File descriptors of the process that runs the scale test.
    pub descriptors: u64,
    /// Memory of all processes, in bytes.
    pub memory_bytes: u64,
}

/// Resources that the machine offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// File descriptors that this process may open.
    pub descriptors: u64,
    /// Total memory of the machine, in bytes.
    pub memory_bytes: u64,
}

/// Returns the resources that a point of these sizes needs.
///
/// At most one real instance runs at a time: the instance that is started again with a backlog starts after the first
/// has ended.
pub fn need(sizes: &Sizes, load: &Load) -> Need {
    let Sizes { destinations, backlog, lightweight_instances, .. } = *sizes;
    let real = INSTANCE_MEMORY_BYTES
        .saturating_add(destinations.saturating_mul(MEMORY_PER_DESTINATION_BYTES))
        .saturating_add(backlog.saturating_mul(MEMORY_PER_MESSAGE_BYTES + load.body_bytes as u64));
    let lightweight = lightweight_instances.saturating_mul(
        destinations.saturating_mul(MEMORY_PER_DESTINATION_BYTES).saturating_add(LIGHTWEIGHT_MEMORY_BYTES),
    );
    let listing = destinations.saturating_mul(MEMORY_PER_LIST_ENTRY_BYTES);
    Need {
        processes: 2,
        descriptors: lightweight_instances
            .saturating_mul(DESCRIPTORS_PER_LIGHTWEIGHT)
            .saturating_add(4 * load.connections as u64)
            .saturating_add(OTHER_DESCRIPTORS + crate::settings::MAX_CALLS),
        memory_bytes: real.saturating_add(lightweight).saturating_add(listing),
    }
}

/// Checks a need against the limits; a refusal has `place` as its place.
pub fn check(place: &str, need: &Need, limits: &Limits) -> Result<(), Refusal> {
    const MB: u64 = 1024 * 1024;
    let half = limits.memory_bytes / 2;
    let descriptors = limits.descriptors.min(MAX_DESCRIPTORS);
    if need.memory_bytes > half {
        let expected = format!("at most {} MB, half of the machine's memory", half / MB);
        return refuse(place, expected, format!("a need of {} MB", need.memory_bytes / MB));
    }
    if need.processes > MAX_PROCESSES {
        return refuse(place, format!("at most {MAX_PROCESSES} processes"), need.processes);
    }
    if need.descriptors >= descriptors {
        return refuse(
            place,
            format!("fewer than {descriptors} file descriptors"),
            format!("a need of {} file descriptors", need.descriptors),
        );
    }
    Ok(())
}

#[cfg(test)]
#[path = "bounds_tests.rs"]
mod tests;
