//! The write-ahead log in the state directory: which messages were accepted, which attempts may have been executed,
//! which final outcomes were decided, and what is finished.
//!
//! A row of append-only segments, each a row of frames with one record each. The oldest segment is compacted by
//! writing again what is still pending of it, so the directory stays within its budget at every moment.

mod error;
mod frame;
mod record;
mod replay;
mod segment;

pub use error::AppendError;
pub use record::{FinalResult, RecordKind, RecoveredMessage, accepted_payload};

use frame::frames;
use quillhub::MessageId;
use replay::Replay;
use segment::{ActiveSegment, BLOCK, Segment};
use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The largest frame: a body of 64 KiB and its fields.
const MAX_FRAME: u64 = 80 * 1024;
/// Segments in a full directory: compacting one at a time then needs little space besides.
const SEGMENTS: u64 = 16;
/// The largest segment: more only makes compaction come in larger steps.
const MAX_SEGMENT: u64 = 128 * 1024;
/// Octets of finished messages' records that stay, besides as much again as is pending. Replay stays short, and
/// where the directory counts as memory it is as large after a minute as after a day.
const MAX_FINISHED: u64 = 512 * 1024;
/// Octets that a message's later records take at the most, about.
const LATER_RECORDS: u64 = 512;

/// The write-ahead log, open for appending.
pub struct Wal {
    directory: PathBuf,
    /// Octets that the directory may hold.
    budget: u64,
    max_segment: u64,
    /// Full segments, oldest first; compacted one by one as space runs short.
    full: VecDeque<Segment>,
    active: ActiveSegment,
    /// Octets of the records of each pending message; an entry goes when the message is finished.
    record_sizes: BTreeMap<MessageId, u64>,
    /// The sum of those, with what their later records may take.
    pending_octets: u64,
    /// Above every id in the directory, those of finished messages included.
    next_id: MessageId,
}

impl Wal {
    /// Opens the state directory, which may hold `budget` octets, and reads back the pending messages by their id.
    ///
    /// # Errors
    ///
    /// If the directory or a segment of it cannot be read, or the new segment cannot be created.
    pub fn open(directory: &Path, budget: u64) -> io::Result<(Self, BTreeMap<MessageId, RecoveredMessage>)> {
        let Replay { messages, record_sizes, segments, next_id, .. } = Replay::of(directory)?;
        let number = segments.back().map_or(0, |last| last.number + 1);
        let wal = Self {
            directory: directory.into(),
            budget,
            max_segment: (budget / SEGMENTS).min(MAX_SEGMENT),
            full: segments,
            active: ActiveSegment::create(directory, number)?,
            pending_octets: record_sizes.values().map(|octets| octets + LATER_RECORDS).sum(),
            record_sizes,
            next_id,
        };
        Ok((wal, messages))
    }

    /// An id for a new message, which no record of the directory has.
    pub fn next_id(&mut self) -> MessageId {
        self.next_id += 1;
        self.next_id - 1
    }

    /// Octets that may still be accepted, if all that is finished were compacted away.
    pub fn remaining_capacity(&self) -> u64 {
        self.budget.saturating_sub(2 * self.reserve() + self.pending_octets)
    }

    /// Records that a message is accepted; `payload` is its [`accepted_payload`].
    pub fn accepted(&mut self, message: MessageId, payload: &[u8]) -> Result<(), AppendError> {
        self.append(RecordKind::Accepted, message, payload)
    }

    /// Records that an attempt begins: from now on the message may have been executed.
    pub fn attempt_started(
        &mut self,
        message: MessageId,
        attempt: u32,
        started: SystemTime,
        endpoint: &str,
    ) -> Result<(), AppendError> {
        let payload = record::attempt_started_payload(attempt, started, endpoint);
        self.append(RecordKind::AttemptStarted, message, &payload)
    }

    /// Records that an attempt ended without executing the message.
    pub fn not_executed(&mut self, message: MessageId, attempt: u32) -> Result<(), AppendError> {
        self.append(RecordKind::NotExecuted, message, &record::not_executed_payload(attempt))
    }

    /// Records a message's final outcome, which the platform is yet to confirm.
    pub fn outcome_decided(&mut self, message: MessageId, result: FinalResult) -> Result<(), AppendError> {
        self.append(RecordKind::OutcomeDecided, message, &record::outcome_payload(result))
    }

    /// Records that nothing is left to do for a message. Its space counts as free even if that cannot be written.
    pub fn finished(&mut self, message: MessageId) -> Result<(), AppendError> {
        let result = self.append(RecordKind::Finished, message, &[]);
        self.pending_octets -= self.record_sizes.remove(&message).map_or(0, |octets| octets + LATER_RECORDS);
        result
    }

    /// Space that compaction and a last large frame may need.
    fn reserve(&self) -> u64 {
        2 * (self.max_segment.max(MAX_FRAME) + BLOCK)
    }

    fn used(&self) -> u64 {
        let full: u64 = self.full.iter().map(Segment::size_on_disk).sum();
        full + self.active.segment().size_on_disk()
    }

    fn append(&mut self, kind: RecordKind, message: MessageId, payload: &[u8]) -> Result<(), AppendError> {
        let frame = frame::encode(kind as u8, message, payload);
        let length = frame.len() as u64;
        self.compact(length)?;
        let (used, budget) = (self.used(), self.budget);
        if used + length + BLOCK > budget {
            return Err(AppendError::Full { needed: length, used, budget });
        }
        self.write(&frame)?;
        let octets = self.record_sizes.entry(message).or_default();
        self.pending_octets += length + if *octets == 0 { LATER_RECORDS } else { 0 };
        *octets += length;
        Ok(())
    }

    /// Compacts full segments, each once at the most, until `length` more octets leave the directory as small as it
    /// should be.
    fn compact(&mut self, length: u64) -> Result<(), AppendError> {
        let target = self.budget.min(MAX_FINISHED + 2 * self.pending_octets + 2 * self.reserve());
        for _ in 0..self.full.len() {
            if self.used() + length + self.reserve() <= target {
                break;
            }
            self.compact_oldest()?;
        }
        Ok(())
    }

    /// Writes again what is pending of the oldest segment, and removes it.
    fn compact_oldest(&mut self) -> Result<(), AppendError> {
        let Some(segment) = self.full.front().map(|oldest| oldest.number) else { return Ok(()) };
        let path = segment::path(&self.directory, segment);
        let octets = fs::read(&path).map_err(|source| AppendError::Compact { segment, source })?;
        for frame in frames(&octets) {
            if self.record_sizes.contains_key(&frame.message) {
                self.write(frame.octets)?;
            }
        }
        fs::remove_file(path).map_err(|source| AppendError::Compact { segment, source })?;
        self.full.pop_front();
        Ok(())
    }

    /// Writes one frame as it is, in a new segment if the active one is full.
    fn write(&mut self, frame: &[u8]) -> Result<(), AppendError> {
        let active = self.active.segment();
        if active.size > 0 && active.size + frame.len() as u64 > self.max_segment {
            let segment = active.number + 1;
            self.active = ActiveSegment::create(&self.directory, segment)
                .map_err(|source| AppendError::Write { segment, source })?;
            self.full.push_back(active);
        }
        let segment = self.active.segment().number;
        self.active.append(frame).map_err(|source| AppendError::Write { segment, source })
    }
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;

#[cfg(test)]
#[path = "format_tests.rs"]
mod format_tests;
