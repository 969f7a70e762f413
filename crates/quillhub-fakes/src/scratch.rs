//! Temporary directories, loopback addresses, and a single-threaded runtime like that of an instance.

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::task::LocalSet;

/// Size of the blocks in which files are assumed to take up disk space, in bytes.
const BLOCK_BYTES: u64 = 512;

/// Temporary directory with a unique path, empty at first and removed with all its files when this is dropped.
pub struct ScratchDirectory(pub PathBuf);

impl ScratchDirectory {
    /// Creates the directory in the system's directory for temporary files.
    pub fn new() -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let name = format!("quillhub-{}-{}", std::process::id(), NUMBER.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a temporary directory can be created");
        Self(path)
    }

    /// Returns the [`size_on_disk`] of the directory. Panics if the directory is missing.
    pub fn size(&self) -> u64 {
        size_on_disk(&self.0)
    }
}

/// Returns the total length of the files directly in `directory`, in bytes, each rounded up to whole blocks of
/// `BLOCK_BYTES`.
///
/// Panics if `directory` cannot be read.
pub fn size_on_disk(directory: &Path) -> u64 {
    let files = std::fs::read_dir(directory).expect("the directory can be read");
    files.map(|file| file.unwrap().metadata().unwrap().len().div_ceil(BLOCK_BYTES) * BLOCK_BYTES).sum()
}

impl Default for ScratchDirectory {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for ScratchDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns an unused address on a loopback host that no other test binds to, in this process or another one, so that the
/// port stays free until the caller binds to it.
///
/// Panics if the system has no free port.
pub fn unused_address() -> SocketAddr {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    // The host's number has 22 bits, of which the process id takes 16. The hosts from 127.64.0.0 on are for these tests.
    let number = std::process::id() << 6 | NUMBER.fetch_add(1, Ordering::Relaxed) & 0x3f;
    let [_, high, middle, low] = (number & 0x3f_ffff).to_be_bytes();
    let host = Ipv4Addr::new(127, 64 | high, middle, low);
    TcpListener::bind((host, 0)).and_then(|listener| listener.local_addr()).expect("a port is free")
}

/// Runs `future` with its local tasks on the current thread, on a runtime like that of an instance.
pub fn on_one_thread<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime can be created").block_on(LocalSet::new().run_until(future))
}
