//! Replay: reconstructs the unfinished messages from the segments of a state directory.

use super::frame::{Frame, frames};
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
}

impl Replay {
    /// Reads all segments of `directory`.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory or a segment cannot be read. A segment that ends in an incomplete frame is not
    /// an error and is read up to that frame.
    pub fn read_from(directory: &Path) -> io::Result<Self> {
        let mut replay = Self {
            messages: BTreeMap::new(),
            record_sizes: BTreeMap::new(),
            segments: VecDeque::new(),
            next_id: 1,
            finished: BTreeSet::new(),
        };
        for number in segment::numbers(directory)? {
            let content = fs::read(segment::path(directory, number))?;
            replay.segments.push_back(Segment { number, size_bytes: content.len() as u64 });
            frames(&content).for_each(|frame| replay.apply(&frame));
        }
        replay.drop_unrecoverable();
        Ok(replay)
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
        let Self { messages, record_sizes, finished, .. } = self;
        messages.retain(|id, message| message.deadline.is_some() && !finished.contains(id));
        record_sizes.retain(|id, _| messages.contains_key(id));
    }
}
