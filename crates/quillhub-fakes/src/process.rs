//! An instance's process that this one started, and what it uses. It is ended with its owner.

use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;
use tokio::time::sleep;

/// Clock ticks a second in /proc: what every Linux reports to user space.
const TICKS: f64 = 100.0;
/// How often its end is looked for.
const LOOK: Duration = Duration::from_millis(5);

/// The process of an instance.
pub struct InstanceProcess(Child);

/// What a process has used by now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time.
    pub cpu: Duration,
    /// Resident memory.
    pub memory_kb: u64,
}

impl InstanceProcess {
    /// Starts `program` with this configuration, state directory and log file.
    pub fn start(program: &Path, config: &Path, state: &Path, log: &Path) -> io::Result<Self> {
        let log = std::fs::File::create(log)?;
        let mut command = Command::new(program);
        command.args(["serve", "--log", "warn", "--config"]).arg(config).arg("--state").arg(state);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        Ok(Self(command.spawn()?))
    }

    /// Sends a signal, by its name without `SIG`.
    pub fn signal(&self, name: &str) -> io::Result<bool> {
        let status = Command::new("sh").args(["-c", &format!("kill -{name} {}", self.0.id())]).status();
        status.map(|status| status.success())
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

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Processor time by now, to the nanosecond: the sum that /proc rounds to ticks as utime and stime, read from
    /// the scheduler's account of each of its threads. Nothing if it has ended.
    pub fn processor_time(&self) -> Option<Duration> {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.0.id())).ok()?;
        threads.map(|thread| scheduled(&thread.ok()?.path())).sum()
    }

    /// What it has used by now; nothing if it has ended.
    pub fn usage(&self) -> Option<Usage> {
        let id = self.0.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        // The name in brackets may hold anything; what is counted comes after it.
        let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let memory_kb = memory.trim().trim_end_matches(" kB").trim().parse().ok()?;
        Some(Usage { cpu: Duration::from_secs_f64(ticks / TICKS), memory_kb })
    }
}

/// Where /proc tells of the current thread; other threads of this process may read it.
pub fn this_thread() -> io::Result<PathBuf> {
    Ok(Path::new("/proc").join(std::fs::read_link("/proc/thread-self")?))
}

/// Processor time of the thread that /proc tells of at `thread`.
pub fn scheduled(thread: &Path) -> Option<Duration> {
    let text = std::fs::read_to_string(thread.join("schedstat")).ok()?;
    text.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
