//! Why a record cannot be appended to the log.

use std::io;

/// Why a record cannot be appended.
#[derive(Debug, thiserror::Error)]
pub enum AppendError {
    /// The record does not fit in the budget, and nothing more can be compacted away.
    #[error(
        "a record of {needed} octets does not fit: {used} of the {budget} that the directory may hold are used"
    )]
    Full {
        /// Octets of the record.
        needed: u64,
        /// Octets that the directory takes on disk.
        used: u64,
        /// Octets that it may hold.
        budget: u64,
    },
    /// A segment cannot be created or written.
    #[error("segment {segment} cannot be written: {source}")]
    Write {
        /// The segment's number.
        segment: u64,
        /// What the file system says.
        source: io::Error,
    },
    /// A segment that is to be compacted cannot be read or removed.
    #[error("segment {segment} cannot be compacted: {source}")]
    Compact {
        /// The segment's number.
        segment: u64,
        /// What the file system says.
        source: io::Error,
    },
}
