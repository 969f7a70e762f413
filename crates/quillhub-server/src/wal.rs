//! The directory that outlasts the process: what was taken on, what may have run, what was answered, what is over.
//!
//! Append-only segments `wal-N`, each a row of frames: length, checksum, kind, number of the notice, payload. A
//! torn frame ends the reading of its segment. The oldest segment is cleaned by writing again what is still
//! owed of it, so the directory stays within its bound at every from_millis.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use winnow::Parser;
use winnow::binary::{le_u8, le_u32, le_u64, length_take};
use winnow::error::ContextError;
use winnow::token::rest;

/// Files count in whole blocks of so many bytes.
const BLOCK: u64 = 512;
/// The largest frame: a body of 64 KiB and its fields.
const MAX_FRAME: u64 = 80 * 1024;
/// Segments in a full directory: cleaning one at a time then needs little room besides.
const SEGMENTS: u64 = 16;
/// The largest segment: more only makes cleaning come in larger steps.
const MAX_SEGMENT: u64 = 128 * 1024;
/// What is kept of records that are over, besides as much again as is owed: reading back stays short, and where
/// the directory counts as memory it is as large after a minute as after a day.
const MAX_FINISHED: u64 = 512 * 1024;
/// Room that a notice's later records take at the most, about.
const LATER_RECORDS: u64 = 512;

const ACCEPTED: u8 = 1;
const ATTEMPT_STARTED: u8 = 2;
const NOT_EXECUTED: u8 = 3;
const OUTCOME_DECIDED: u8 = 4;
const FINISHED: u8 = 5;

/// What is owed of one notice, as read back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredMessage {
    pub service_class: String,
    pub destination: u64,
    /// The key by which notices take turns.
    pub ordering_key: Option<u64>,
    pub deadline: Option<SystemTime>,
    pub client_id: Vec<u8>,
    pub idempotency_key: Option<Vec<u8>>,
    pub body: Vec<u8>,
    /// By the number of the send: its start and its endpoint, if it may have run.
    pub attempts: BTreeMap<u32, Option<(SystemTime, String)>>,
    /// True for a denial, with the wait that it tells.
    pub outcome: Option<(bool, Option<Duration>)>,
}

fn millis(at: SystemTime) -> u64 {
    at.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn from_millis(millis: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(millis)
}

fn put(octets: &mut Vec<u8>, part: &[u8]) {
    octets.extend_from_slice(&(part.len() as u32).to_le_bytes());
    octets.extend_from_slice(part);
}

/// The payload of a record of a notice taken on.
pub fn accepted_payload(owed: &RecoveredMessage) -> Vec<u8> {
    let mut octets = Vec::with_capacity(owed.body.len() + 128);
    octets.extend_from_slice(&millis(owed.deadline.unwrap_or(UNIX_EPOCH)).to_le_bytes());
    octets.extend_from_slice(&owed.destination.to_le_bytes());
    octets.push(u8::from(owed.ordering_key.is_some()) | u8::from(owed.idempotency_key.is_some()) << 1);
    octets.extend_from_slice(&owed.ordering_key.unwrap_or_default().to_le_bytes());
    put(&mut octets, owed.service_class.as_bytes());
    put(&mut octets, &owed.client_id);
    put(&mut octets, owed.idempotency_key.as_deref().unwrap_or_default());
    octets.extend_from_slice(&owed.body);
    octets
}

type Input<'a> = &'a [u8];

fn read_accepted(owed: &mut RecoveredMessage, mut payload: Input) -> Option<()> {
    let octets = |input: &mut Input| {
        length_take::<_, u32, ContextError, _>(le_u32).map(<[u8]>::to_vec).parse_next(input).ok()
    };
    let number = |input: &mut Input| le_u64::<_, ContextError>.parse_next(input).ok();
    let input = &mut payload;
    owed.deadline = Some(from_millis(number(input)?));
    owed.destination = number(input)?;
    let has = le_u8::<_, ContextError>.parse_next(input).ok()?;
    owed.ordering_key = number(input).filter(|_| has & 1 != 0);
    owed.service_class = String::from_utf8(octets(input)?).ok()?;
    owed.client_id = octets(input)?;
    owed.idempotency_key = octets(input).filter(|_| has & 2 != 0);
    owed.body = input.to_vec();
    Some(())
}

fn frame(kind: u8, id: u64, payload: &[u8]) -> Vec<u8> {
    let mut octets = vec![0; 8];
    octets.push(kind);
    octets.extend_from_slice(&id.to_le_bytes());
    octets.extend_from_slice(payload);
    let (length, sum) = ((octets.len() - 8) as u32, crc32fast::hash(&octets[8..]));
    octets[..4].copy_from_slice(&length.to_le_bytes());
    octets[4..8].copy_from_slice(&sum.to_le_bytes());
    octets
}

/// Driver each whole frame at the start of `octets` to `each`, with its kind, notice and payload.
fn frames(mut octets: &[u8], mut each: impl FnMut(&[u8], u8, u64, &[u8])) {
    while let Ok((length, sum)) = (le_u32::<_, ContextError>, le_u32).parse_peek(octets).map(|(_, head)| head)
    {
        let length = length as usize;
        let Some(inner) = octets.get(8..8 + length) else { return };
        if crc32fast::hash(inner) != sum {
            return;
        }
        let Ok((kind, id, payload)) = (le_u8::<_, ContextError>, le_u64, rest).parse(inner) else { return };
        each(&octets[..8 + length], kind, id, payload);
        octets = &octets[8 + length..];
    }
}

fn read_record(owed: &mut RecoveredMessage, kind: u8, mut payload: &[u8]) -> Option<()> {
    let input = &mut payload;
    match kind {
        ACCEPTED => read_accepted(owed, input)?,
        ATTEMPT_STARTED => {
            let (send, at) = (le_u32::<_, ContextError>, le_u64).parse_next(input).ok()?;
            let name = String::from_utf8_lossy(input).into_owned();
            owed.attempts.entry(send).or_insert(Some((from_millis(at), name)));
        }
        NOT_EXECUTED => {
            owed.attempts.insert(le_u32::<_, ContextError>.parse_next(input).ok()?, None);
        }
        OUTCOME_DECIDED => {
            let (denied, wait) = (le_u8::<_, ContextError>, le_u64).parse_next(input).ok()?;
            owed.outcome = Some((denied == 1, (wait > 0).then(|| Duration::from_millis(wait))));
        }
        _ => {}
    }
    Some(())
}

struct Segment {
    number: u64,
    size: u64,
}

pub struct Wal {
    directory: PathBuf,
    budget: u64,
    max_segment: u64,
    /// Full segments, oldest first; cleaned one by one as room runs short.
    full: VecDeque<Segment>,
    current: Segment,
    file: File,
    /// Bytes of the records of each notice that is owed; an entry goes when the notice is over.
    live: BTreeMap<u64, u64>,
    /// The sum of those, with what their later records may take.
    pending_bytes: u64,
    /// Above every number in the directory, those of notices that are over too.
    next_free_id: u64,
}

fn path(directory: &Path, number: u64) -> PathBuf {
    directory.join(format!("wal-{number:010}"))
}

fn create(directory: &Path, number: u64) -> io::Result<File> {
    OpenOptions::new().create_new(true).append(true).open(path(directory, number))
}

impl Wal {
    /// Opens the directory, which may hold `budget` bytes, and reads back what is owed, by number.
    pub fn open(directory: &Path, budget: u64) -> io::Result<(Self, BTreeMap<u64, RecoveredMessage>)> {
        let mut numbers = Vec::new();
        for entry in fs::read_dir(directory)? {
            let name = entry?.file_name();
            numbers.extend(name.to_str().and_then(|name| name.strip_prefix("wal-")?.parse::<u64>().ok()));
        }
        numbers.sort_unstable();
        let (mut owed, mut over) = (BTreeMap::<u64, RecoveredMessage>::new(), BTreeSet::new());
        let (mut live, mut full) = (BTreeMap::<u64, u64>::new(), VecDeque::new());
        let mut next = 1;
        for number in &numbers {
            let octets = fs::read(path(directory, *number))?;
            full.push_back(Segment { number: *number, size: octets.len() as u64 });
            frames(&octets, |frame, kind, id, payload| {
                next = next.max(id + 1);
                *live.entry(id).or_default() += frame.len() as u64;
                if kind == FINISHED {
                    over.insert(id);
                } else if read_record(owed.entry(id).or_default(), kind, payload).is_none() {
                    tracing::warn!(notice = id, kind, "a record of the directory cannot be read");
                }
            });
        }
        owed.retain(|id, owed| owed.deadline.is_some() && !over.contains(id));
        live.retain(|id, _| owed.contains_key(id));
        let number = numbers.last().map_or(0, |last| last + 1);
        let max_segment = (budget / SEGMENTS).min(MAX_SEGMENT);
        let (file, current) = (create(directory, number)?, Segment { number, size: 0 });
        let sum = live.values().map(|bytes| bytes + LATER_RECORDS).sum();
        Ok((
            Self {
                directory: directory.into(),
                budget,
                max_segment,
                full,
                current,
                file,
                live,
                pending_bytes: sum,
                next_free_id: next,
            },
            owed,
        ))
    }

    /// A number for a new notice, which no record of the directory has.
    pub fn next_id(&mut self) -> u64 {
        self.next_free_id += 1;
        self.next_free_id - 1
    }

    /// Room that cleaning and a last large frame may need.
    fn reserve(&self) -> u64 {
        2 * (self.max_segment.max(MAX_FRAME) + BLOCK)
    }

    /// Bytes that may still be taken on, if all that is over were cleaned away.
    pub fn remaining_capacity(&self) -> u64 {
        self.budget.saturating_sub(2 * self.reserve() + self.pending_bytes)
    }

    fn used(&self) -> u64 {
        let blocks = |s: &Segment| s.size.div_ceil(BLOCK) * BLOCK;
        self.full.iter().map(blocks).sum::<u64>() + blocks(&self.current)
    }

    /// Writes one frame as it is, in a new segment if the current one is full. What was half written is cut off.
    fn write(&mut self, frame: &[u8]) -> io::Result<()> {
        let length = frame.len() as u64;
        if self.current.size > 0 && self.current.size + length > self.max_segment {
            let number = self.current.number + 1;
            self.file = create(&self.directory, number)?;
            self.full.push_back(std::mem::replace(&mut self.current, Segment { number, size: 0 }));
        }
        if let Err(error) = self.file.write_all(frame) {
            self.file.set_len(self.current.size)?;
            return Err(error);
        }
        self.current.size += length;
        Ok(())
    }

    /// Writes again what is owed of the oldest segment, and removes it.
    fn compact_oldest(&mut self) -> io::Result<()> {
        let Some(oldest) = self.full.front().map(|s| path(&self.directory, s.number)) else { return Ok(()) };
        let octets = fs::read(&oldest)?;
        let mut result = Ok(());
        frames(&octets, |frame, _, id, _| {
            if result.is_ok() && self.live.contains_key(&id) {
                result = self.write(frame);
            }
        });
        result?;
        fs::remove_file(oldest)?;
        self.full.pop_front();
        Ok(())
    }

    fn append(&mut self, kind: u8, id: u64, payload: &[u8]) -> io::Result<()> {
        let frame = frame(kind, id, payload);
        let length = frame.len() as u64;
        let wanted = self.budget.min(MAX_FINISHED + 2 * self.pending_bytes + 2 * self.reserve());
        for _ in 0..self.full.len() {
            if self.used() + length + self.reserve() <= wanted {
                break;
            }
            self.compact_oldest()?;
        }
        if self.used() + length + BLOCK > self.budget {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the lasting folder is full"));
        }
        self.write(&frame)?;
        let bytes = self.live.entry(id).or_default();
        self.pending_bytes += length + if *bytes == 0 { LATER_RECORDS } else { 0 };
        *bytes += length;
        Ok(())
    }

    pub fn accepted(&mut self, id: u64, payload: &[u8]) -> io::Result<()> {
        self.append(ACCEPTED, id, payload)
    }

    pub fn attempt_started(&mut self, id: u64, send: u32, at: SystemTime, endpoint: &str) -> io::Result<()> {
        let payload = [&send.to_le_bytes()[..], &millis(at).to_le_bytes(), endpoint.as_bytes()].concat();
        self.append(ATTEMPT_STARTED, id, &payload)
    }

    pub fn not_executed(&mut self, id: u64, send: u32) -> io::Result<()> {
        self.append(NOT_EXECUTED, id, &send.to_le_bytes())
    }

    pub fn outcome_decided(&mut self, id: u64, denied: bool, wait: Option<Duration>) -> io::Result<()> {
        let wait = wait.unwrap_or_default().as_millis() as u64;
        self.append(OUTCOME_DECIDED, id, &[&[u8::from(denied)], &wait.to_le_bytes()[..]].concat())
    }

    pub fn finished(&mut self, id: u64) -> io::Result<()> {
        let result = self.append(FINISHED, id, &[]);
        self.pending_bytes -= self.live.remove(&id).map_or(0, |bytes| bytes + LATER_RECORDS);
        result
    }
}

#[cfg(test)]
#[path = "wal_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "wal_format_tests.rs"]
mod format_tests;
