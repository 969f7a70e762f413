//! Segments of the log: the files `wal-N`, written one after the other and not modified once they are full.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Unit in which the space of files is counted; a file occupies whole units.
pub const SPACE_UNIT_BYTES: u64 = 512;

/// Prefix of the file names of segments.
const FILE_NAME_PREFIX: &str = "wal-";

/// Number and size of a segment.
#[derive(Clone, Copy, Debug)]
pub struct Segment {
    /// Position of the segment in the order in which segments are written.
    pub number: u64,
    /// Size of the segment's content.
    pub size_bytes: u64,
}

impl Segment {
    /// Returns the number of bytes that the segment occupies on disk.
    pub fn size_on_disk(&self) -> u64 {
        self.size_bytes.div_ceil(SPACE_UNIT_BYTES) * SPACE_UNIT_BYTES
    }
}

/// Segment to which records are currently appended.
pub struct ActiveSegment {
    segment: Segment,
    file: File,
    /// `true` if the file ends in an incomplete frame that could not be removed.
    is_damaged: bool,
}

impl ActiveSegment {
    /// Creates segment `number` in `directory`. Fails if the segment already exists.
    pub fn create(directory: &Path, number: u64) -> io::Result<Self> {
        let file = OpenOptions::new().create_new(true).append(true).open(path(directory, number))?;
        Ok(Self { segment: Segment { number, size_bytes: 0 }, file, is_damaged: false })
    }

    /// Returns the number and the current size of the segment.
    pub fn segment(&self) -> Segment {
        self.segment
    }

    /// Returns `true` if the segment ends in an incomplete frame, so that nothing more is to be appended to it.
    pub fn is_damaged(&self) -> bool {
        self.is_damaged
    }

    /// Appends one frame. If only a part of it could be written, truncates the file to its previous size. If that fails
    /// too, the segment counts as damaged and as larger by the whole frame.
    pub fn append(&mut self, frame: &[u8]) -> io::Result<()> {
        if let Err(error) = self.file.write_all(frame) {
            if self.file.set_len(self.segment.size_bytes).is_err() {
                self.is_damaged = true;
                self.segment.size_bytes += frame.len() as u64;
            }
            return Err(error);
        }
        self.segment.size_bytes += frame.len() as u64;
        Ok(())
    }
}

#[cfg(test)]
impl ActiveSegment {
    /// Makes all further writes and truncations fail, after the first `written` bytes of `frame` were written.
    pub fn fail_after(&mut self, directory: &Path, frame: &[u8], written: usize) {
        self.file.write_all(&frame[..written]).expect("a part of the frame can be written");
        self.file = File::open(path(directory, self.segment.number)).expect("the segment exists");
    }
}

/// Returns the path of segment `number`.
pub fn path(directory: &Path, number: u64) -> PathBuf {
    directory.join(format!("{FILE_NAME_PREFIX}{number:010}"))
}

/// Returns the numbers of the segments in `directory`, lowest first.
pub fn numbers(directory: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(directory)? {
        let name = entry?.file_name();
        numbers
            .extend(name.to_str().and_then(|name| name.strip_prefix(FILE_NAME_PREFIX)?.parse::<u64>().ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}
