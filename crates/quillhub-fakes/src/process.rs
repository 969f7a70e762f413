//! The process of an instance, and the processor time and memory of processes and threads.

use rustix::io::Errno;
pub use rustix::process::Signal;
use rustix::process::{Pid, kill_process};
use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;
use tokio::time::sleep;

/// Clock ticks per second in /proc: Linux reports 100 to user space on every machine.
const TICKS_PER_SECOND: f64 = 100.0;
/// Time between two checks for the end of a process.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Running process of an instance, killed when this is dropped.
pub struct InstanceProcess(Child);

/// Resource usage of a process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time used so far, in user and kernel mode, with the resolution of a clock tick.
    pub processor_time: Duration,
    /// Resident memory at present, in kilobytes.
    pub memory_kb: u64,
}

impl InstanceProcess {
    /// Starts `program serve` with the configuration file `config` and the state directory `state`; its log, from level
    /// `warn` on, goes to a new file `log`.
    pub fn start(program: &Path, config: &Path, state: &Path, log: &Path) -> io::Result<Self> {
        Self::start_with_log_level(program, "warn", config, state, log)
    }

    /// Starts an instance as [`Self::start`] does, with the minimum log level `level`.
    pub fn start_with_log_level(
        program: &Path,
        level: &str,
        config: &Path,
        state: &Path,
        log: &Path,
    ) -> io::Result<Self> {
        Self::start_with_environment(program, level, [config, state, log], &[])
    }

    /// Starts an instance as [`Self::start_with_log_level`] does, with additional environment variables. The paths are
    /// those of the configuration, the state directory and the log.
    pub fn start_with_environment(
        program: &Path,
        level: &str,
        [config, state, log]: [&Path; 3],
        environment: &[(&str, OsString)],
    ) -> io::Result<Self> {
        let mut command = Command::new(program);
        command.envs(environment.iter().map(|(name, value)| (name, value)));
        Self::spawn(command, level, [config, state, log])
    }

    /// Starts an instance as [`Self::start`] does, that can open at most `descriptors` file descriptors.
    pub fn start_with_descriptor_limit(
        program: &Path,
        descriptors: usize,
        paths: [&Path; 3],
    ) -> io::Result<Self> {
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("ulimit -n {descriptors} && exec \"$0\" \"$@\"")).arg(program);
        Self::spawn(command, "warn", paths)
    }

    /// Adds the arguments of an instance to `command` and starts it.
    fn spawn(mut command: Command, level: &str, [config, state, log]: [&Path; 3]) -> io::Result<Self> {
        command.args(["serve", "--log", level, "--config"]).arg(config).arg("--state").arg(state);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(std::fs::File::create(log)?);
        Ok(Self(command.spawn()?))
    }

    /// Sends a signal; returns `true` if it was sent, and `false` if the process has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<bool> {
        match kill_process(Pid::from_child(&self.0), signal) {
            Ok(()) => Ok(true),
            Err(Errno::SRCH) => Ok(false),
            Err(error) => Err(error.into()),
        }
    }

    /// Waits for the process to end and returns its exit status.
    pub async fn wait_for_exit(&mut self) -> io::Result<ExitStatus> {
        loop {
            if let Some(status) = self.0.try_wait()? {
                return Ok(status);
            }
            sleep(EXIT_CHECK_INTERVAL).await;
        }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Returns the processor time used so far by the process's present threads, or `None` if the process has ended.
    ///
    /// The resolution is a nanosecond, as the time is read from the scheduler's statistics of each thread and not from
    /// `utime` and `stime`, which /proc rounds to clock ticks.
    pub fn processor_time(&self) -> Option<Duration> {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.0.id())).ok()?;
        threads.map(|thread| thread_processor_time(&thread.ok()?.path())).sum()
    }

    /// Returns the usage so far, or `None` if the process has ended.
    pub fn usage(&self) -> Option<Usage> {
        let id = self.0.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        // The name in brackets may contain spaces and brackets, so fields are counted from its end.
        let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let memory_kb = memory.trim().trim_end_matches(" kB").trim().parse().ok()?;
        Some(Usage { processor_time: Duration::from_secs_f64(ticks / TICKS_PER_SECOND), memory_kb })
    }
}

/// Returns the /proc directory of the current thread, readable by all threads of this process.
pub fn current_thread_directory() -> io::Result<PathBuf> {
    Ok(Path::new("/proc").join(std::fs::read_link("/proc/thread-self")?))
}

/// Returns the processor time used by the thread with the /proc directory `directory`, or `None` if it has ended.
pub fn thread_processor_time(directory: &Path) -> Option<Duration> {
    let text = std::fs::read_to_string(directory.join("schedstat")).ok()?;
    text.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
