//! Segments: the log's files `wal-N`, written one after the other and never changed once they are full.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The file system counts files in whole blocks of so many octets.
pub const BLOCK: u64 = 512;

/// What every segment's file name begins with.
const PREFIX: &str = "wal-";

/// A segment of the log.
#[derive(Clone, Copy, Debug)]
pub struct Segment {
    /// Its place in the order in which segments were written.
    pub number: u64,
    /// Octets in it.
    pub size: u64,
}

impl Segment {
    /// Octets that it takes on disk.
    pub fn size_on_disk(&self) -> u64 {
        self.size.div_ceil(BLOCK) * BLOCK
    }
}

/// The segment that is written to.
pub struct ActiveSegment {
    segment: Segment,
    file: File,
}

impl ActiveSegment {
    /// Creates segment `number` in `directory`, which must not have it yet.
    pub fn create(directory: &Path, number: u64) -> io::Result<Self> {
        let file = OpenOptions::new().create_new(true).append(true).open(path(directory, number))?;
        Ok(Self { segment: Segment { number, size: 0 }, file })
    }

    /// Its number and size.
    pub fn segment(&self) -> Segment {
        self.segment
    }

    /// Appends one frame. A frame that could only be written in part is cut off again: what is appended after it
    /// would not be read otherwise.
    pub fn append(&mut self, frame: &[u8]) -> io::Result<()> {
        if let Err(error) = self.file.write_all(frame) {
            self.file.set_len(self.segment.size)?;
            return Err(error);
        }
        self.segment.size += frame.len() as u64;
        Ok(())
    }
}

/// The file of segment `number`.
pub fn path(directory: &Path, number: u64) -> PathBuf {
    directory.join(format!("{PREFIX}{number:010}"))
}

/// The numbers of the segments in `directory`, lowest first.
pub fn numbers(directory: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(directory)? {
        let name = entry?.file_name();
        numbers.extend(name.to_str().and_then(|name| name.strip_prefix(PREFIX)?.parse::<u64>().ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}
