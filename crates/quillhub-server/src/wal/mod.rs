//! Write-ahead log in the state directory. Records which messages were accepted, which attempts may have executed them,
//! which messages were rejected or abandoned, and which are finished.
//!
//! The log is a sequence of append-only segments, each a sequence of frames that contain one record each. Compaction
//! copies the records of unfinished messages out of the oldest segment and removes it. The directory never exceeds its
//! budget, not even temporarily.

mod error;
mod frame;
mod record;
mod replay;
mod segment;

pub use error::AppendError;
pub use record::{FinalResult, LoggedMessage, OverSuspicion, RecordKind, accepted_payload};

use frame::frames;
use quillhub::MessageId;
use replay::Replay;
use segment::{ActiveSegment, SPACE_UNIT_BYTES, Segment};
use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// Maximum size of a frame: a body of 64 KiB and the other fields of a message.
const MAX_FRAME_BYTES: u64 = 80 * 1024;
/// Minimum number of segments that the budget is divided into. Compaction handles one at a time, so that many small
/// segments keep the space that it needs temporarily low.
const SEGMENTS_PER_BUDGET: u64 = 16;
/// Maximum size of a segment with more than one frame. Larger ones would only make compaction proceed in larger steps.
const MAX_SEGMENT_BYTES: u64 = 128 * 1024;
/// Size of the records of finished messages above which compaction starts, in addition to as many bytes as the
/// unfinished messages take and to [`Wal::reserve`]. Keeps replay short, and keeps the directory from growing with the
/// running time where its files count as memory.
const MAX_FINISHED_BYTES: u64 = 512 * 1024;
/// Approximate maximum size of the records of one message that follow the record of its acceptance.
const MAX_LATER_RECORDS_BYTES: u64 = 512;

/// Write-ahead log, open for appending.
pub struct Wal {
    directory: PathBuf,
    /// Maximum size of the directory in bytes.
    budget_bytes: u64,
    /// Maximum size in bytes of a segment with more than one frame.
    max_segment_bytes: u64,
    /// Full segments, oldest first; compacted one by one when space runs low.
    full: VecDeque<Segment>,
    /// Number of the segment whose records compaction has copied and which could not be removed, if any.
    copied: Option<u64>,
    active: ActiveSegment,
    /// Size in bytes of the records of each unfinished message.
    record_sizes: BTreeMap<MessageId, u64>,
    /// Sum of `record_sizes`, plus [`MAX_LATER_RECORDS_BYTES`] for each unfinished message.
    unfinished_bytes: u64,
    /// Lowest id above those of all messages in the directory, finished ones included.
    next_id: MessageId,
    /// Records of final outcomes, and of responses that may be final, that could not be written, oldest first. A restart
    /// without them would attempt their messages again.
    unwritten: VecDeque<UnwrittenRecord>,
}

/// Record that could not be written, and that a restart must not lack.
struct UnwrittenRecord {
    kind: RecordKind,
    message: MessageId,
    payload: Vec<u8>,
}

impl Wal {
    /// Opens the state directory, limits it to `budget_bytes`, and returns its unfinished messages by their ids.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory or one of its segments cannot be read, or if the new segment cannot be
    /// created.
    pub fn open(
        directory: &Path,
        budget_bytes: u64,
    ) -> io::Result<(Self, BTreeMap<MessageId, LoggedMessage>)> {
        let Replay { messages, record_sizes, segments, next_id, .. } = Replay::read_from(directory)?;
        let number = segments.back().map_or(0, |last| last.number + 1);
        let wal = Self {
            directory: directory.into(),
            budget_bytes,
            max_segment_bytes: (budget_bytes / SEGMENTS_PER_BUDGET).min(MAX_SEGMENT_BYTES),
            full: segments,
            copied: None,
            active: ActiveSegment::create(directory, number)?,
            unfinished_bytes: record_sizes.values().map(|size| size + MAX_LATER_RECORDS_BYTES).sum(),
            record_sizes,
            next_id,
            unwritten: VecDeque::new(),
        };
        Ok((wal, messages))
    }

    /// Allocates an id for a new message, different from all ids that the directory contains.
    pub fn allocate_id(&mut self) -> MessageId {
        self.next_id += 1;
        self.next_id - 1
    }

    /// Returns the number of bytes that can still be accepted once the records of all finished messages are removed:
    /// the budget less the size of the unfinished messages and less twice [`Self::reserve`].
    pub fn remaining_capacity(&self) -> u64 {
        self.budget_bytes.saturating_sub(2 * self.reserve() + self.unfinished_bytes)
    }

    /// Records that a message is accepted; `payload` must come from [`accepted_payload`].
    pub fn record_accepted(&mut self, message: MessageId, payload: &[u8]) -> Result<(), AppendError> {
        self.append(RecordKind::Accepted, message, payload)
    }

    /// Records that an attempt starts, so that the message may have been executed from now on.
    pub fn record_attempt_started(
        &mut self,
        message: MessageId,
        attempt: u32,
        started: SystemTime,
        endpoint: &str,
    ) -> Result<(), AppendError> {
        let payload = record::attempt_started_payload(attempt, started, endpoint);
        self.append(RecordKind::AttemptStarted, message, &payload)
    }

    /// Records that an attempt ended and did not execute the message.
    pub fn record_not_executed(&mut self, message: MessageId, attempt: u32) -> Result<(), AppendError> {
        self.append(RecordKind::NotExecuted, message, &record::not_executed_payload(attempt))
    }

    /// Records whether a response with status 410 that was read after the response to an attempt may be the attempt's own.
    pub fn record_possibly_over(
        &mut self,
        message: MessageId,
        attempt: u32,
        suspicion: OverSuspicion,
    ) -> Result<(), AppendError> {
        let payload = record::possibly_over_payload(attempt, suspicion);
        self.append_or_keep(RecordKind::PossiblyOver, message, &payload)
    }

    /// Records that a message is rejected or abandoned, which the platform has not confirmed yet.
    pub fn record_outcome_decided(
        &mut self,
        message: MessageId,
        result: FinalResult,
    ) -> Result<(), AppendError> {
        self.append_or_keep(RecordKind::OutcomeDecided, message, &record::outcome_payload(result))
    }

    /// Records that a message is finished. Its space counts as free even if the record cannot be written.
    pub fn record_finished(&mut self, message: MessageId) -> Result<(), AppendError> {
        let result = self.append_or_keep(RecordKind::Finished, message, &[]);
        self.unfinished_bytes -=
            self.record_sizes.remove(&message).map_or(0, |size| size + MAX_LATER_RECORDS_BYTES);
        result
    }

    /// Returns the number of bytes to keep free for compaction and one more frame of the maximum size.
    fn reserve(&self) -> u64 {
        2 * (self.max_segment_bytes.max(MAX_FRAME_BYTES) + SPACE_UNIT_BYTES)
    }

    /// Returns the number of bytes that all segments occupy on disk.
    fn used(&self) -> u64 {
        let full: u64 = self.full.iter().map(Segment::size_on_disk).sum();
        full + self.active.segment().size_on_disk()
    }

    /// Appends a record that a restart must not lack, or keeps it for [`Self::write_kept`] if it cannot be written.
    fn append_or_keep(
        &mut self,
        kind: RecordKind,
        message: MessageId,
        payload: &[u8],
    ) -> Result<(), AppendError> {
        let result = self.append(kind, message, payload);
        if result.is_err() {
            self.unwritten.push_back(UnwrittenRecord { kind, message, payload: payload.to_vec() });
        }
        result
    }

    /// Writes the records that could not be written before and that a restart must not lack, until one fails again.
    pub fn write_kept(&mut self) {
        while let Some(record) = self.unwritten.pop_front() {
            if self.append(record.kind, record.message, &record.payload).is_err() {
                self.unwritten.push_front(record);
                return;
            }
        }
    }

    fn append(&mut self, kind: RecordKind, message: MessageId, payload: &[u8]) -> Result<(), AppendError> {
        let frame = frame::encode(kind as u8, message, payload);
        let size = frame.len() as u64;
        self.compact(size)?;
        let (used, budget) = (self.used(), self.budget_bytes);
        if used + size + SPACE_UNIT_BYTES > budget {
            return Err(AppendError::Full { needed: size, used, budget });
        }
        self.write(&frame)?;
        let record_size = self.record_sizes.entry(message).or_default();
        self.unfinished_bytes += size + if *record_size == 0 { MAX_LATER_RECORDS_BYTES } else { 0 };
        *record_size += size;
        Ok(())
    }

    /// Compacts full segments, each at most once, until the directory stays within its target size with
    /// `additional_bytes` more.
    fn compact(&mut self, additional_bytes: u64) -> Result<(), AppendError> {
        let target =
            self.budget_bytes.min(MAX_FINISHED_BYTES + 2 * self.unfinished_bytes + 2 * self.reserve());
        for _ in 0..self.full.len() {
            if self.used() + additional_bytes + self.reserve() <= target {
                break;
            }
            match self.compact_oldest() {
                // The append fails only if the space that compaction would have freed is needed.
                Err(error @ AppendError::Compact { .. }) => {
                    tracing::warn!(%error, "compaction is tried again later");
                    break;
                }
                result => result?,
            }
        }
        Ok(())
    }

    /// Copies the records of unfinished messages from the oldest segment to the active one, and removes the oldest.
    fn compact_oldest(&mut self) -> Result<(), AppendError> {
        let Some(segment) = self.full.front().map(|oldest| oldest.number) else { return Ok(()) };
        let path = segment::path(&self.directory, segment);
        if self.copied != Some(segment) {
            let content = fs::read(&path).map_err(|source| AppendError::Compact { segment, source })?;
            for frame in frames(&content) {
                if self.record_sizes.contains_key(&frame.message) {
                    self.write(frame.encoded)?;
                }
            }
            self.copied = Some(segment);
        }
        fs::remove_file(path).map_err(|source| AppendError::Compact { segment, source })?;
        self.full.pop_front();
        Ok(())
    }

    /// Writes one encoded frame, to a new segment if the active one is full or damaged.
    fn write(&mut self, frame: &[u8]) -> Result<(), AppendError> {
        let active = self.active.segment();
        let is_full =
            active.size_bytes > 0 && active.size_bytes + frame.len() as u64 > self.max_segment_bytes;
        if is_full || self.active.is_damaged() {
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

#[cfg(test)]
#[path = "failure_tests.rs"]
mod failure_tests;

#[cfg(test)]
#[path = "damage_tests.rs"]
mod damage_tests;
