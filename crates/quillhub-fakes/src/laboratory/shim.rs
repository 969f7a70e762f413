//! Libraries that are preloaded into instance processes to make system calls fail as Linux documents. They are built
//! from their source with the system's C compiler.

use std::ffi::OsString;
use std::io;
use std::path::Path;
use std::process::Command;

/// Source of the library that shortens reads and writes on sockets.
const SHORT_IO_SOURCE: &str = include_str!("short_io.c");

/// Shares of the reads and writes on sockets that do not complete, in percent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShortIo {
    /// Share of shortened calls.
    pub shortened_percent: u32,
    /// Share of calls that are interrupted (EINTR).
    pub interrupted_percent: u32,
}

/// Builds the library that shortens and interrupts reads and writes in `directory`, and returns the environment that
/// makes a process use it.
pub(super) fn short_io(
    directory: &Path,
    plan: ShortIo,
    seed: u64,
) -> io::Result<Vec<(&'static str, OsString)>> {
    let (source, library) = (directory.join("short_io.c"), directory.join("short_io.so"));
    std::fs::write(&source, SHORT_IO_SOURCE)?;
    let status = Command::new("cc")
        .args(["-O1", "-shared", "-fPIC", "-o"])
        .args([&library, &source])
        .arg("-ldl")
        .status()?;
    if !status.success() {
        return Err(io::Error::other("the preloaded library cannot be built"));
    }
    Ok(vec![
        ("LD_PRELOAD", library.into()),
        ("SHORT_IO_PERCENT", plan.shortened_percent.to_string().into()),
        ("INTERRUPTED_IO_PERCENT", plan.interrupted_percent.to_string().into()),
        ("SHORT_IO_SEED", seed.to_string().into()),
    ])
}
