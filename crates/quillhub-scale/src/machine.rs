//! The machine that measurements are made on, described without its host name.

use crate::bounds::Limits;
use serde::{Deserialize, Serialize};

/// Description of a machine, kept with each result.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Number of processors that the process may use; 0 if unknown.
    pub cores: u64,
    /// Total memory in megabytes; 0 if unknown.
    pub memory_mb: u64,
    /// Version numbers of the kernel's release.
    pub kernel: String,
}

/// Returns the text of a file, or an empty one if it cannot be read.
fn read_or_empty(path: &str) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}

/// Returns the first number after `name` in lines like `MemTotal:  24 kB`.
fn field(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().find_map(|word| word.parse().ok())
}

/// Returns the total memory of the machine in kilobytes, or 0 if it is unknown.
fn memory_kb() -> u64 {
    field(&read_or_empty("/proc/meminfo"), "MemTotal:").unwrap_or_default()
}

/// Returns the machine that this process runs on.
pub fn current_machine() -> Machine {
    let cores = std::thread::available_parallelism().map_or(0, |cores| cores.get() as u64);
    let memory_mb = memory_kb() / 1024;
    // The part after the version numbers may contain a host name.
    let release = read_or_empty("/proc/sys/kernel/osrelease");
    let kernel = release.split('-').next().unwrap_or_default().trim().to_owned();
    Machine { cores, memory_mb, kernel }
}

/// Returns the limits of this process and its machine.
pub fn limits() -> Limits {
    let descriptors = field(&read_or_empty("/proc/self/limits"), "Max open files").unwrap_or_default();
    Limits { descriptors, memory_bytes: memory_kb() * 1024 }
}

/// Returns the load average of the last minute, or 0 if it cannot be read.
pub fn load_average() -> f64 {
    read_or_empty("/proc/loadavg")
        .split_whitespace()
        .next()
        .and_then(|word| word.parse().ok())
        .unwrap_or_default()
}
