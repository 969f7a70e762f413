//! Libraries that are preloaded into instance processes to make system calls fail as Linux documents. They are built
//! from their source with the system's C compiler.

use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Variable that lists the libraries which the dynamic linker loads before all others.
const PRELOAD_VARIABLE: &str = "LD_PRELOAD";
/// Name of the file whose existence turns storage faults on.
const STORAGE_SWITCH: &str = "storage-faults";

/// Shares of the reads and writes on sockets that do not complete, in percent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShortIo {
    /// Share of shortened calls.
    pub shortened_percent: u32,
    /// Share of calls that are interrupted (EINTR).
    pub interrupted_percent: u32,
}

/// Shares of the calls on sockets of the instances that fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SocketFaults {
    /// Share of failed calls of accept, socket and connect, in percent, during the first 110 ms of every 200 ms.
    pub failed_percent: u32,
    /// Share of reads and writes that report a broken connection, in thousandths.
    pub broken_permille: u32,
}

/// Environment variables of an instance process.
#[derive(Clone, Debug)]
pub(super) struct Environment(Vec<(&'static str, OsString)>);

impl Environment {
    /// Returns the names and values.
    pub(super) fn variables(&self) -> &[(&'static str, OsString)] {
        &self.0
    }

    fn set(&mut self, name: &'static str, value: impl Into<OsString>) {
        self.0.retain(|(other, _)| *other != name);
        self.0.push((name, value.into()));
    }

    /// Creates an environment whose faults are determined by `seed`.
    pub(super) fn new(seed: u64) -> Self {
        Self(vec![("FAULT_SEED", seed.to_string().into())])
    }

    /// Builds a library from `source` in `directory` and has it preloaded.
    fn preload(&mut self, directory: &Path, name: &str, source: &str) -> io::Result<()> {
        let [source_path, library] = ["c", "so"].map(|kind| directory.join(name).with_extension(kind));
        std::fs::write(&source_path, source)?;
        std::fs::write(directory.join("preload.h"), include_str!("preload.h"))?;
        let status = Command::new("cc")
            .args(["-O1", "-Wall", "-Werror", "-shared", "-fPIC", "-o"])
            .args([&library, &source_path])
            .arg("-ldl")
            .status()?;
        if !status.success() {
            return Err(io::Error::other("the preloaded library cannot be built"));
        }
        let earlier = self.0.iter().find(|(name, _)| *name == PRELOAD_VARIABLE).map(|(_, list)| list.clone());
        let list = match earlier {
            None => library.into_os_string(),
            Some(mut list) => {
                list.push(":");
                list.push(&library);
                list
            }
        };
        self.set(PRELOAD_VARIABLE, list);
        Ok(())
    }

    /// Shortens and interrupts reads and writes on sockets.
    pub(super) fn add_short_io(&mut self, directory: &Path, plan: ShortIo) -> io::Result<()> {
        self.preload(directory, "short_io", include_str!("short_io.c"))?;
        self.set("SHORT_IO_PERCENT", plan.shortened_percent.to_string());
        self.set("INTERRUPTED_IO_PERCENT", plan.interrupted_percent.to_string());
        Ok(())
    }

    /// Makes calls on sockets fail.
    pub(super) fn add_socket_faults(&mut self, directory: &Path, plan: SocketFaults) -> io::Result<()> {
        self.preload(directory, "sockets", include_str!("sockets.c"))?;
        self.set("SOCKET_FAULT_PERCENT", plan.failed_percent.to_string());
        self.set("BROKEN_CONNECTION_PERMILLE", plan.broken_permille.to_string());
        Ok(())
    }

    /// Makes the system refuse to stamp arriving input.
    pub(super) fn add_unstamped_input(&mut self, directory: &Path) -> io::Result<()> {
        self.preload(directory, "no_stamps", include_str!("no_stamps.c"))
    }

    /// Lets the wall clock be set, by [`Self::set_wall_clock`].
    pub(super) fn add_wall_clock(&mut self, directory: &Path) -> io::Result<()> {
        self.preload(directory, "wall_clock", include_str!("wall_clock.c"))
    }

    /// Sets the wall clock of the processes that are started from now on `offset_s` seconds forward, or back if that is
    /// negative.
    pub(super) fn set_wall_clock(&mut self, offset_s: i64) {
        self.set("WALL_CLOCK_OFFSET_S", offset_s.to_string());
    }

    /// Makes `failed_percent` of the operations on files in `state` fail while [`switch_storage_faults`] has
    /// turned this on.
    pub(super) fn add_storage_faults(
        &mut self,
        directory: &Path,
        state: &Path,
        failed_percent: u32,
    ) -> io::Result<()> {
        self.preload(directory, "storage", include_str!("storage.c"))?;
        self.set("STORAGE_FAULT_DIRECTORY", state);
        self.set("STORAGE_FAULT_PERCENT", failed_percent.to_string());
        self.set("STORAGE_FAULT_SWITCH", storage_switch(directory));
        Ok(())
    }
}

fn storage_switch(directory: &Path) -> PathBuf {
    directory.join(STORAGE_SWITCH)
}

/// Turns the storage faults of the instance with these files on or off.
pub(super) fn switch_storage_faults(directory: &Path, is_on: bool) -> io::Result<()> {
    let switch = storage_switch(directory);
    if is_on { std::fs::write(switch, "") } else { std::fs::remove_file(switch) }
}
