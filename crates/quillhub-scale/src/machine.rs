//! The machine that measurements were made on, without its name.

use crate::bounds::Limits;
use serde::{Deserialize, Serialize};

/// What is kept of a machine with each result.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Processors that this process may use.
    pub cores: u64,
    /// Its memory.
    pub memory_mb: u64,
    /// Release of its kernel.
    pub kernel: String,
}

fn file(path: &str) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}

/// The number after `name` in lines like `MemTotal:  24 kB`.
fn field(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().find_map(|word| word.parse().ok())
}

/// Kilobytes of memory.
fn memory_kb() -> u64 {
    field(&file("/proc/meminfo"), "MemTotal:").unwrap_or_default()
}

/// The machine that this process runs on.
pub fn here() -> Machine {
    let cores = std::thread::available_parallelism().map_or(0, |cores| cores.get() as u64);
    let memory_mb = memory_kb() / 1024;
    // Only the numbers of the release: what follows may name a host.
    let release = file("/proc/sys/kernel/osrelease");
    let kernel = release.split('-').next().unwrap_or_default().trim().to_owned();
    Machine { cores, memory_mb, kernel }
}

/// What this process may take of it.
pub fn limits() -> Limits {
    let descriptors = field(&file("/proc/self/limits"), "Max open files").unwrap_or_default();
    Limits { descriptors, memory: memory_kb() * 1024 }
}

/// Processes that ran or wanted to, on average over the last minute.
pub fn load_average() -> f64 {
    file("/proc/loadavg").split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or_default()
}
