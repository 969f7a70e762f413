//! An empty state directory for a test, and a runtime like the instance's.

use std::future::Future;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::task::LocalSet;

/// An empty state directory of its own, removed at the end.
pub struct ScratchDirectory(pub PathBuf);

impl ScratchDirectory {
    /// Makes one.
    pub fn new() -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let name = format!("quillhub-{}-{}", std::process::id(), NUMBER.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder for a test can be made");
        Self(path)
    }

    /// What its files take, in whole blocks.
    pub fn size(&self) -> u64 {
        size_of(&self.0)
    }
}

/// What the files of a state directory take, in whole blocks.
pub fn size_of(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).expect("the folder is there");
    files.map(|file| file.unwrap().metadata().unwrap().len().div_ceil(512) * 512).sum()
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

/// Runs `test` on a runtime like the instance's.
pub fn on_one_thread<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime can be made").block_on(LocalSet::new().run_until(test))
}
