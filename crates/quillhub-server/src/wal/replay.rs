//! Replay: reads a state directory's segments into what is still pending.

use super::frame::{Frame, frames};
use super::record::{self, RecordKind, RecoveredMessage};
use super::segment::{self, Segment};
use quillhub::MessageId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs;
use std::io;
use std::path::Path;

/// What the segments of a state directory tell.
pub struct Replay {
    /// The messages that are not finished.
    pub messages: BTreeMap<MessageId, RecoveredMessage>,
    /// Octets of the records of each of these.
    pub record_sizes: BTreeMap<MessageId, u64>,
    /// The segments, oldest first.
    pub segments: VecDeque<Segment>,
    /// Above the id of every message in the directory, finished ones included.
    pub next_id: MessageId,
    finished: BTreeSet<MessageId>,
}

impl Replay {
    /// Reads all segments of `directory`.
    ///
    /// # Errors
    ///
    /// If the directory or a segment cannot be read. A segment with a torn end is no error: it is read up to there.
    pub fn of(directory: &Path) -> io::Result<Self> {
        let mut replay = Self {
            messages: BTreeMap::new(),
            record_sizes: BTreeMap::new(),
            segments: VecDeque::new(),
            next_id: 1,
            finished: BTreeSet::new(),
        };
        for number in segment::numbers(directory)? {
            let octets = fs::read(segment::path(directory, number))?;
            replay.segments.push_back(Segment { number, size: octets.len() as u64 });
            frames(&octets).for_each(|frame| replay.read(&frame));
        }
        replay.drop_finished();
        Ok(replay)
    }

    fn read(&mut self, frame: &Frame) {
        self.next_id = self.next_id.max(frame.message + 1);
        *self.record_sizes.entry(frame.message).or_default() += frame.octets.len() as u64;
        let Some(kind) = RecordKind::from_octet(frame.kind) else { return };
        if kind == RecordKind::Finished {
            self.finished.insert(frame.message);
            return;
        }
        let message = self.messages.entry(frame.message).or_default();
        if record::apply(message, kind, frame.payload).is_none() {
            tracing::warn!(message_id = frame.message, ?kind, "record cannot be read");
        }
    }

    /// Drops what is finished, and records whose message's acceptance is not in the directory.
    fn drop_finished(&mut self) {
        let Self { messages, record_sizes, finished, .. } = self;
        messages.retain(|id, message| message.deadline.is_some() && !finished.contains(id));
        record_sizes.retain(|id, _| messages.contains_key(id));
    }
}
