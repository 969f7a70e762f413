//! Frames, which enclose the records: length, checksum, record kind, message id, payload.
//!
//! Bytes that are no intact frame are damaged: a write that was interrupted, or octets that changed on the disk. Reading
//! continues at the next intact frame.

use quillhub::MessageId;
use winnow::Parser;
use winnow::binary::{le_u8, le_u32, le_u64};
use winnow::error::ContextError;
use winnow::token::rest;

/// Size of the length and the checksum, which precede the part of a frame that the checksum covers.
const HEADER_BYTES: usize = 8;

/// Frame that was read from a segment.
#[derive(Debug)]
pub struct Frame<'a> {
    /// Complete encoded frame, for copying it to another segment unchanged.
    pub encoded: &'a [u8],
    /// Byte that stands for the record's kind. May be unknown, as later versions may write other kinds.
    pub kind: u8,
    /// Id of the message that the record belongs to.
    pub message: MessageId,
    /// Payload of the record.
    pub payload: &'a [u8],
}

/// Encodes a frame with one record.
pub fn encode(kind: u8, message: MessageId, payload: &[u8]) -> Vec<u8> {
    let mut encoded = vec![0; HEADER_BYTES];
    encoded.push(kind);
    encoded.extend_from_slice(&message.to_le_bytes());
    encoded.extend_from_slice(payload);
    let length = (encoded.len() - HEADER_BYTES) as u32;
    let checksum = crc32fast::hash(&encoded[HEADER_BYTES..]);
    encoded[..4].copy_from_slice(&length.to_le_bytes());
    encoded[4..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    encoded
}

/// Part of a segment's content.
#[derive(Debug)]
pub enum Part<'a> {
    /// Intact frame.
    Frame(Frame<'a>),
    /// Bytes that are no intact frame.
    Damaged(Damage),
}

/// Place of damaged bytes in a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Damage {
    /// Number of bytes before the damaged ones.
    pub offset: usize,
    /// Number of damaged bytes.
    pub bytes: usize,
    /// `true` if no intact frame follows, as after a write that the end of the process interrupted.
    pub is_at_end: bool,
}

/// Returns the parts of a segment's `content`, in order.
pub fn parts(content: &[u8]) -> impl Iterator<Item = Part<'_>> {
    let mut offset = 0;
    std::iter::from_fn(move || {
        let rest = content.get(offset..).filter(|rest| !rest.is_empty())?;
        if let Some(frame) = first_frame(rest) {
            offset += frame.encoded.len();
            return Some(Part::Frame(frame));
        }
        let next = (1..rest.len()).find(|skipped| first_frame(&rest[*skipped..]).is_some());
        let damage = Damage { offset, bytes: next.unwrap_or(rest.len()), is_at_end: next.is_none() };
        offset += damage.bytes;
        Some(Part::Damaged(damage))
    })
}

/// Returns the intact frames in a segment's `content`, in order.
pub fn frames(content: &[u8]) -> impl Iterator<Item = Frame<'_>> {
    parts(content).filter_map(|part| match part {
        Part::Frame(frame) => Some(frame),
        Part::Damaged(_) => None,
    })
}

/// Returns the frame at the start of `content`, or `None` if it is not intact.
fn first_frame(content: &[u8]) -> Option<Frame<'_>> {
    let (_, (length, checksum)) = (le_u32::<_, ContextError>, le_u32).parse_peek(content).ok()?;
    let end = HEADER_BYTES + length as usize;
    let checked = content.get(HEADER_BYTES..end)?;
    if crc32fast::hash(checked) != checksum {
        return None;
    }
    let (kind, message, payload) = (le_u8::<_, ContextError>, le_u64, rest).parse(checked).ok()?;
    Some(Frame { encoded: &content[..end], kind, message, payload })
}
