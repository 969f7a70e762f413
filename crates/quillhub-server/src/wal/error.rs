//! Errors of appending to the log.

use std::io;

/// Error of appending a record to the log.
#[derive(Debug, thiserror::Error)]
pub enum AppendError {
    /// The record does not fit in the budget, and compaction cannot free more space.
    #[error(
        "a record of {needed} bytes does not fit: {used} of {budget} bytes of the state directory are used"
    )]
    Full {
        /// Size of the record in bytes.
        needed: u64,
        /// Number of bytes that the directory occupies on disk.
        used: u64,
        /// Maximum size of the directory in bytes.
        budget: u64,
    },
    /// A segment cannot be created or written.
    #[error("segment {segment} cannot be written: {source}")]
    Write {
        /// Number of the segment.
        segment: u64,
        /// Error of the file system.
        source: io::Error,
    },
    /// A segment cannot be read or removed during compaction.
    #[error("segment {segment} cannot be compacted: {source}")]
    Compact {
        /// Number of the segment.
        segment: u64,
        /// Error of the file system.
        source: io::Error,
    },
}
