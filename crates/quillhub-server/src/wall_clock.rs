//! Wall clock that continues across the restarts of an instance, whatever is done to the system's wall clock.
//!
//! Invariant: within one boot of the machine, times from this clock differ by the time that passed. The state directory
//! contains an anchor, a pair of times on this clock and on the machine's monotonic clock, which runs on between two
//! processes. Without a valid anchor, the clock starts at the system's wall clock.

use rustix::time::{ClockId, clock_gettime};
use serde_json::{Value, json};
use std::fs;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Name of the file in the state directory that contains the anchor.
const ANCHOR_FILE: &str = "clock";
/// Name under which the anchor is written before it replaces [`ANCHOR_FILE`].
const TEMPORARY_FILE: &str = "clock.new";
/// File with the identifier of the machine's current boot, during which the monotonic clock runs on.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// Time on the continuous clock at a time on the monotonic clock.
#[derive(Clone, Debug, PartialEq)]
struct Anchor {
    boot_id: String,
    /// Time on the monotonic clock.
    monotonic: Duration,
    /// Time on the continuous clock since the Unix epoch.
    wall: Duration,
}

impl Anchor {
    fn to_json(&self) -> Value {
        json!({"boot_id": self.boot_id, "monotonic_ns": self.monotonic.as_nanos() as u64,
            "wall_ns": self.wall.as_nanos() as u64})
    }

    fn from_json(value: &Value) -> Option<Self> {
        Some(Self {
            boot_id: value["boot_id"].as_str()?.to_owned(),
            monotonic: Duration::from_nanos(value["monotonic_ns"].as_u64()?),
            wall: Duration::from_nanos(value["wall_ns"].as_u64()?),
        })
    }

    /// Reads the anchor in a state directory; `None` if there is no readable one.
    fn read(directory: &Path) -> Option<Self> {
        let text = fs::read(directory.join(ANCHOR_FILE)).ok()?;
        Self::from_json(&serde_json::from_slice(&text).ok()?)
    }

    /// Replaces the anchor in a state directory.
    fn write(&self, directory: &Path) -> io::Result<()> {
        let temporary = directory.join(TEMPORARY_FILE);
        fs::write(&temporary, self.to_json().to_string())?;
        fs::rename(temporary, directory.join(ANCHOR_FILE))
    }

    /// Returns the time on the continuous clock at `monotonic`, or `None` if the anchor is of another boot.
    fn wall_at(&self, boot_id: &str, monotonic: Duration) -> Option<Duration> {
        let elapsed = monotonic.checked_sub(self.monotonic)?;
        (self.boot_id == boot_id).then_some(self.wall + elapsed)
    }
}

/// Wall clock that continues across restarts.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    /// Time on this clock at `started`.
    wall_at_start: SystemTime,
    started: Instant,
}

impl WallClock {
    /// Creates the clock of an instance with this state directory, and writes its anchor if there is no valid one.
    ///
    /// If the anchor cannot be written, a warning is logged, and the clock of the next process may differ by a change to
    /// the system's wall clock.
    pub fn open(directory: &Path) -> Self {
        let boot_id = fs::read_to_string(BOOT_ID_FILE).unwrap_or_default().trim().to_owned();
        let monotonic = monotonic_now();
        let continued = Anchor::read(directory).and_then(|anchor| anchor.wall_at(&boot_id, monotonic));
        let wall = continued.unwrap_or_else(|| {
            let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            if let Err(error) = (Anchor { boot_id, monotonic, wall }).write(directory) {
                tracing::warn!(%error, "the clock's anchor cannot be written to the state directory");
            }
            wall
        });
        Self { wall_at_start: UNIX_EPOCH + wall, started: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> SystemTime {
        self.wall_at_start + self.started.elapsed()
    }
}

/// Returns the time on the machine's monotonic clock.
fn monotonic_now() -> Duration {
    let time = clock_gettime(ClockId::Monotonic);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

#[cfg(test)]
#[path = "wall_clock_tests.rs"]
mod tests;
