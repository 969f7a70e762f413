//! Frames, the envelopes of records: length, checksum, record kind, message id, payload.
//!
//! A frame is read whole or not at all. The first one that is cut off or does not match its checksum ends the reading
//! of its segment: the process was killed while it wrote, and nothing behind it can be trusted.

use quillhub::MessageId;
use winnow::Parser;
use winnow::binary::{le_u8, le_u32, le_u64};
use winnow::error::ContextError;
use winnow::token::rest;

/// Octets before the part that the checksum covers: the length and the checksum.
const PREFIX: usize = 8;

/// A frame as it was read.
#[derive(Debug)]
pub struct Frame<'a> {
    /// All its octets, so that it can be written again as it is.
    pub octets: &'a [u8],
    /// The octet of the record's kind; a later version may write kinds that this one does not know.
    pub kind: u8,
    /// The message that the record is about.
    pub message: MessageId,
    /// The record's own octets.
    pub payload: &'a [u8],
}

/// The octets of a frame.
pub fn encode(kind: u8, message: MessageId, payload: &[u8]) -> Vec<u8> {
    let mut octets = vec![0; PREFIX];
    octets.push(kind);
    octets.extend_from_slice(&message.to_le_bytes());
    octets.extend_from_slice(payload);
    let length = (octets.len() - PREFIX) as u32;
    let checksum = crc32fast::hash(&octets[PREFIX..]);
    octets[..4].copy_from_slice(&length.to_le_bytes());
    octets[4..PREFIX].copy_from_slice(&checksum.to_le_bytes());
    octets
}

/// The intact frames at the start of a segment's `octets`, in order.
pub fn frames(mut octets: &[u8]) -> impl Iterator<Item = Frame<'_>> {
    std::iter::from_fn(move || {
        let frame = first_frame(octets)?;
        octets = &octets[frame.octets.len()..];
        Some(frame)
    })
}

/// The frame at the start of `octets`, if it is intact.
fn first_frame(octets: &[u8]) -> Option<Frame<'_>> {
    let (_, (length, checksum)) = (le_u32::<_, ContextError>, le_u32).parse_peek(octets).ok()?;
    let end = PREFIX + length as usize;
    let inner = octets.get(PREFIX..end)?;
    if crc32fast::hash(inner) != checksum {
        return None;
    }
    let (kind, message, payload) = (le_u8::<_, ContextError>, le_u64, rest).parse(inner).ok()?;
    Some(Frame { octets: &octets[..end], kind, message, payload })
}
