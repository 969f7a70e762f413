//! Replay: reconstructs the unfinished messages from the segments of a state directory.

use super::frame::{Frame, Part, parts};
use super::record::{self, LoggedMessage, RecordKind};
use super::segment::{self, Segment};
use quillhub::MessageId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs;
use std::io;
use std::path::Path;

/// Content of a state directory's segments.
pub struct Replay {
    /// Unfinished messages by their ids.
    pub messages: BTreeMap<MessageId, LoggedMessage>,
    /// Size in bytes of the records of each unfinished message.
    pub record_sizes: BTreeMap<MessageId, u64>,
    /// Segments of the directory, oldest first.
    pub segments: VecDeque<Segment>,
    /// Lowest id above those of all messages in the directory, finished ones included.
    pub next_id: MessageId,
    /// Ids of the messages with a record of the kind [`RecordKind::Finished`].
    finished: BTreeSet<MessageId>,
    /// Number of damaged places with intact frames behind them.
    damaged_places: u64,
    /// Messages with lower ids may lack records, which were in a damaged place.
    incomplete_below: MessageId,
}

impl Replay {
    /// Reads all segments of `directory`.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory or a segment cannot be read. Damaged bytes in a segment are not an error; they
    /// are logged and skipped.
    pub fn read_from(directory: &Path) -> io::Result<Self> {
        let mut replay = Self {
            messages: BTreeMap::new(),
            record_sizes: BTreeMap::new(),
            segments: VecDeque::new(),
            next_id: 1,
            finished: BTreeSet::new(),
            damaged_places: 0,
            incomplete_below: 0,
        };
        for number in segment::numbers(directory)? {
            let content = fs::read(segment::path(directory, number))?;
            replay.segments.push_back(Segment { number, size_bytes: content.len() as u64 });
            parts(&content).for_each(|part| replay.apply_part(number, &part));
        }
        if replay.damaged_places > 0 {
            tracing::warn!(places = replay.damaged_places, "state directory is damaged");
        }
        replay.drop_unrecoverable();
        Ok(replay)
    }

    /// Applies the record of a frame, or logs a damaged place.
    ///
    /// A damaged place may have contained the record of an attempt's start. Each message that was accepted before it may
    /// therefore have been executed at an unknown time, so that it is retried only if it is idempotent.
    fn apply_part(&mut self, segment: u64, part: &Part) {
        match part {
            Part::Frame(frame) => self.apply(frame),
            Part::Damaged(damage) if damage.is_at_end => {
                tracing::info!(
                    segment,
                    offset = damage.offset,
                    bytes = damage.bytes,
                    "segment ends in an incomplete record"
                );
            }
            Part::Damaged(damage) => {
                tracing::warn!(
                    segment,
                    offset = damage.offset,
                    bytes = damage.bytes,
                    "damaged record is skipped"
                );
                self.damaged_places += 1;
                self.incomplete_below = self.next_id;
            }
        }
    }

    /// Applies the record of one frame.
    fn apply(&mut self, frame: &Frame) {
        self.next_id = self.next_id.max(frame.message + 1);
        *self.record_sizes.entry(frame.message).or_default() += frame.encoded.len() as u64;
        let Some(kind) = RecordKind::from_byte(frame.kind) else { return };
        if kind == RecordKind::Finished {
            self.finished.insert(frame.message);
            return;
        }
        let message = self.messages.entry(frame.message).or_default();
        if record::apply(message, kind, frame.payload).is_none() {
            tracing::warn!(message_id = frame.message, ?kind, "record cannot be read");
        }
    }

    /// Drops finished messages, and messages whose record of acceptance is not in the directory.
    fn drop_unrecoverable(&mut self) {
        let Self { messages, record_sizes, finished, incomplete_below, .. } = self;
        messages.retain(|id, message| message.deadline.is_some() && !finished.contains(id));
        record_sizes.retain(|id, _| messages.contains_key(id));
        messages.range_mut(..*incomplete_below).for_each(|(_, message)| message.lacks_records = true);
    }
}
