//! The records of the log: what each kind tells of a message, and the octets of its payload.
//!
//! The octets are the first version of the state directory's format, which `format_tests.rs` pins: an instance must
//! read what its predecessor of any version left behind.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use winnow::Parser;
use winnow::binary::{le_u8, le_u32, le_u64, length_take};
use winnow::error::ContextError;

/// Set in an accepted message's flags if it has an ordering key.
const HAS_ORDERING_KEY: u8 = 1;
/// Set in an accepted message's flags if it has an idempotency key.
const HAS_IDEMPOTENCY_KEY: u8 = 2;
/// The octet of a rejection in the record of a decided outcome; any other is an abandoned message.
const REJECTED: u8 = 1;

/// What a record tells of its message, by the octet that stands for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum RecordKind {
    /// The instance has accepted the message.
    Accepted = 1,
    /// An attempt begins: from here on the message may have been executed.
    AttemptStarted = 2,
    /// An attempt ended and the message is known not to have been executed by it.
    NotExecuted = 3,
    /// The final outcome is decided, and the platform has not confirmed it.
    OutcomeDecided = 4,
    /// Nothing is left to do for the message.
    Finished = 5,
}

impl RecordKind {
    /// The kind that `octet` stands for; none for a kind of a later version.
    pub fn from_octet(octet: u8) -> Option<Self> {
        let kinds =
            [Self::Accepted, Self::AttemptStarted, Self::NotExecuted, Self::OutcomeDecided, Self::Finished];
        kinds.into_iter().find(|kind| *kind as u8 == octet)
    }
}

/// What is known of an attempt after a restart.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordedAttempt {
    /// The message was not executed by it.
    NotExecuted,
    /// The message may have been executed by it.
    PossiblyExecuted {
        /// When the attempt began, by the wall clock.
        started: SystemTime,
        /// The name of the endpoint.
        endpoint: String,
    },
}

/// An attempt that may have executed its message; the earlier is the smaller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordedExecution<'a> {
    /// When the attempt began, by the wall clock.
    pub started: SystemTime,
    /// The name of the endpoint.
    pub endpoint: &'a str,
}

/// How a message that was not delivered ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalResult {
    /// Not executed: it may be submitted again, best after `retry_after`.
    Rejected {
        /// How long the client should wait, if that is known.
        retry_after: Option<Duration>,
    },
    /// Given up: it may have been executed.
    Abandoned,
}

/// A message as the log tells of it: all that was recorded, and nothing of what was not.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredMessage {
    /// The name of its service class.
    pub service_class: String,
    /// The destination's number.
    pub destination: u64,
    /// Messages with the same key are delivered one after the other.
    pub ordering_key: Option<u64>,
    /// When it expires, by the wall clock; none if the record of its acceptance was not found.
    pub deadline: Option<SystemTime>,
    /// The client's own id for it.
    pub client_id: Vec<u8>,
    /// The key by which endpoints recognise a retry.
    pub idempotency_key: Option<Vec<u8>>,
    /// What is delivered.
    pub body: Vec<u8>,
    /// Its attempts by their number, counted from 0.
    pub attempts: BTreeMap<u32, RecordedAttempt>,
    /// Its final outcome, once that is decided.
    pub outcome: Option<FinalResult>,
}

impl RecoveredMessage {
    /// The attempts that may have executed it.
    pub fn possible_executions(&self) -> impl Iterator<Item = RecordedExecution<'_>> {
        self.attempts.values().filter_map(|attempt| match attempt {
            RecordedAttempt::PossiblyExecuted { started, endpoint } => {
                Some(RecordedExecution { started: *started, endpoint })
            }
            RecordedAttempt::NotExecuted => None,
        })
    }
}

type Input<'a> = &'a [u8];

/// Milliseconds since the epoch.
pub fn to_millis(at: SystemTime) -> u64 {
    at.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The time so many milliseconds after the epoch.
pub fn from_millis(millis: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(millis)
}

/// Appends `part` with its length before it.
fn put_with_length(payload: &mut Vec<u8>, part: &[u8]) {
    payload.extend_from_slice(&(part.len() as u32).to_le_bytes());
    payload.extend_from_slice(part);
}

/// The payload of [`RecordKind::Accepted`].
pub fn accepted_payload(message: &RecoveredMessage) -> Vec<u8> {
    let mut payload = Vec::with_capacity(message.body.len() + 128);
    payload.extend_from_slice(&to_millis(message.deadline.unwrap_or(UNIX_EPOCH)).to_le_bytes());
    payload.extend_from_slice(&message.destination.to_le_bytes());
    let ordering = if message.ordering_key.is_some() { HAS_ORDERING_KEY } else { 0 };
    let idempotency = if message.idempotency_key.is_some() { HAS_IDEMPOTENCY_KEY } else { 0 };
    payload.push(ordering | idempotency);
    payload.extend_from_slice(&message.ordering_key.unwrap_or_default().to_le_bytes());
    put_with_length(&mut payload, message.service_class.as_bytes());
    put_with_length(&mut payload, &message.client_id);
    put_with_length(&mut payload, message.idempotency_key.as_deref().unwrap_or_default());
    payload.extend_from_slice(&message.body);
    payload
}

/// The payload of [`RecordKind::AttemptStarted`].
pub fn attempt_started_payload(attempt: u32, started: SystemTime, endpoint: &str) -> Vec<u8> {
    [&attempt.to_le_bytes()[..], &to_millis(started).to_le_bytes(), endpoint.as_bytes()].concat()
}

/// The payload of [`RecordKind::NotExecuted`].
pub fn not_executed_payload(attempt: u32) -> [u8; 4] {
    attempt.to_le_bytes()
}

/// The payload of [`RecordKind::OutcomeDecided`].
pub fn outcome_payload(result: FinalResult) -> Vec<u8> {
    let (rejected, retry_after) = match result {
        FinalResult::Rejected { retry_after } => (REJECTED, retry_after.unwrap_or_default()),
        FinalResult::Abandoned => (0, Duration::ZERO),
    };
    [&[rejected][..], &(retry_after.as_millis() as u64).to_le_bytes()].concat()
}

/// Adds to `message` what a record tells of it. None if the payload cannot be read; what of it could be read is
/// added all the same.
pub fn apply(message: &mut RecoveredMessage, kind: RecordKind, mut payload: &[u8]) -> Option<()> {
    let input = &mut payload;
    match kind {
        RecordKind::Accepted => read_accepted(message, input)?,
        RecordKind::AttemptStarted => {
            let (attempt, started) = (le_u32::<_, ContextError>, le_u64).parse_next(input).ok()?;
            let (started, endpoint) = (from_millis(started), String::from_utf8_lossy(input).into_owned());
            // Compaction may have moved this record behind the one of the attempt's end, which stands.
            let started = RecordedAttempt::PossiblyExecuted { started, endpoint };
            message.attempts.entry(attempt).or_insert(started);
        }
        RecordKind::NotExecuted => {
            let attempt = le_u32::<_, ContextError>.parse_next(input).ok()?;
            message.attempts.insert(attempt, RecordedAttempt::NotExecuted);
        }
        RecordKind::OutcomeDecided => message.outcome = Some(read_outcome(input)?),
        RecordKind::Finished => {}
    }
    Some(())
}

fn read_accepted(message: &mut RecoveredMessage, input: &mut Input) -> Option<()> {
    let octets = |input: &mut Input| {
        length_take::<_, u32, ContextError, _>(le_u32).map(<[u8]>::to_vec).parse_next(input).ok()
    };
    let number = |input: &mut Input| le_u64::<_, ContextError>.parse_next(input).ok();
    message.deadline = Some(from_millis(number(input)?));
    message.destination = number(input)?;
    let flags = le_u8::<_, ContextError>.parse_next(input).ok()?;
    message.ordering_key = number(input).filter(|_| flags & HAS_ORDERING_KEY != 0);
    message.service_class = String::from_utf8(octets(input)?).ok()?;
    message.client_id = octets(input)?;
    message.idempotency_key = octets(input).filter(|_| flags & HAS_IDEMPOTENCY_KEY != 0);
    message.body = input.to_vec();
    Some(())
}

fn read_outcome(input: &mut Input) -> Option<FinalResult> {
    let (rejected, millis) = (le_u8::<_, ContextError>, le_u64).parse_next(input).ok()?;
    if rejected != REJECTED {
        return Some(FinalResult::Abandoned);
    }
    let retry_after = (millis > 0).then(|| Duration::from_millis(millis));
    Some(FinalResult::Rejected { retry_after })
}
