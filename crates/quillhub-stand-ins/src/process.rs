//! A courier's process that this one started, and what it uses. It is ended with its owner.

use std::io;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;
use tokio::time::sleep;

/// Clock ticks a second in /proc: what every Linux reports to user space.
const TICKS: f64 = 100.0;
/// How often its end is looked for.
const LOOK: Duration = Duration::from_millis(5);

pub struct Courier(Child);

/// What a process has used by now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Used {
    pub cpu: Duration,
    pub memory_kb: u64,
}

impl Courier {
    pub fn start(program: &Path, config: &Path, state: &Path, log: &Path) -> io::Result<Self> {
        let log = std::fs::File::create(log)?;
        let mut command = Command::new(program);
        command.args(["serve", "--log", "warn", "--config"]).arg(config).arg("--state").arg(state);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        Ok(Self(command.spawn()?))
    }

    /// Sends a signal, by its name without `SIG`.
    pub fn signal(&self, name: &str) -> io::Result<bool> {
        let told = Command::new("sh").args(["-c", &format!("kill -{name} {}", self.0.id())]).status();
        told.map(|status| status.success())
    }

    /// How it ended; waits for that.
    pub async fn end(&mut self) -> io::Result<ExitStatus> {
        loop {
            if let Some(status) = self.0.try_wait()? {
                return Ok(status);
            }
            sleep(LOOK).await;
        }
    }

    /// Nothing if it has ended.
    pub fn used(&self) -> Option<Used> {
        let id = self.0.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        // The name in brackets may hold anything; what is counted comes after it.
        let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let memory_kb = memory.trim().trim_end_matches(" kB").trim().parse().ok()?;
        Some(Used { cpu: Duration::from_secs_f64(ticks / TICKS), memory_kb })
    }
}

impl Drop for Courier {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
