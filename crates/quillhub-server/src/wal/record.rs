//! Records of the log: the meaning of each kind, and the encoding of its payload.
//!
//! The encoding is version 1 of the state directory's format, which `format_tests.rs` pins. An instance must be able to
//! read a state directory that an instance of any earlier version wrote.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use winnow::Parser;
use winnow::binary::{le_u8, le_u32, le_u64, length_take};
use winnow::error::ContextError;

/// Flag of an accepted message that has an ordering key.
const HAS_ORDERING_KEY: u8 = 1;
/// Flag of an accepted message that has an idempotency key.
const HAS_IDEMPOTENCY_KEY: u8 = 2;
/// First byte of the payload of [`RecordKind::OutcomeDecided`] for a rejected message; any other value means abandoned.
const REJECTED: u8 = 1;

/// Kind of a record, with the byte that stands for it in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum RecordKind {
    /// The instance has accepted the message.
    Accepted = 1,
    /// An attempt starts, so that the message may have been executed from here on.
    AttemptStarted = 2,
    /// An attempt ended and is known not to have executed the message.
    NotExecuted = 3,
    /// The message is rejected or abandoned, and the platform has not confirmed that yet.
    OutcomeDecided = 4,
    /// The message is finished: delivered or withdrawn, or its rejection or abandonment is confirmed by the platform,
    /// or dropped since the platform cannot read it.
    Finished = 5,
    /// A response with status 410 may be the one to an earlier call of the message, which is then over; or a proof has ruled
    /// that out. Versions without this kind pass over it, and attempt the message again after a restart.
    PossiblyOver = 6,
}

impl RecordKind {
    /// Returns the kind that `byte` stands for, or `None` for kinds of later versions.
    pub fn from_byte(byte: u8) -> Option<Self> {
        let kinds = [
            Self::Accepted,
            Self::AttemptStarted,
            Self::NotExecuted,
            Self::OutcomeDecided,
            Self::Finished,
            Self::PossiblyOver,
        ];
        kinds.into_iter().find(|kind| *kind as u8 == byte)
    }
}

/// Whether a response with status 410 that was read after the response to a call may be the call's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum OverSuspicion {
    /// It may be.
    Possible = 0,
    /// It is not, as the response that was read for the call is proven.
    RuledOut = 1,
}

/// Information about an attempt that the log provides after a restart.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordedAttempt {
    /// The attempt did not execute the message.
    NotExecuted,
    /// The attempt may have executed the message.
    PossiblyExecuted {
        /// Start of the attempt on the wall clock.
        started: SystemTime,
        /// Name of the endpoint.
        endpoint: String,
    },
}

/// Attempt that may have executed its message. Earlier attempts compare as smaller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordedPossibleExecution<'a> {
    /// Start of the attempt on the wall clock.
    pub started: SystemTime,
    /// Name of the endpoint.
    pub endpoint: &'a str,
}

/// Final outcome of an undelivered message: rejected or abandoned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalResult {
    /// The message was not delivered and is safe to submit again, preferably after `retry_after`.
    Rejected {
        /// Suggested delay before the client submits the message again; `None` if none is suggested.
        retry_after: Option<Duration>,
    },
    /// The message was given up and may have been executed.
    Abandoned,
}

/// Message as the log stores it. Fields that no record has set have their default values.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoggedMessage {
    /// Name of the message's service class.
    pub service_class: String,
    /// Id of the destination.
    pub destination: u64,
    /// Ordering key, if any: messages with the same key are delivered in order if their service class is ordered.
    pub ordering_key: Option<u64>,
    /// Deadline on the wall clock; `None` if the record of the message's acceptance was not found.
    pub deadline: Option<SystemTime>,
    /// Id that the client assigned to the message.
    pub client_id: Vec<u8>,
    /// Key by which endpoints recognize a retry of the message, if it has one.
    pub idempotency_key: Option<Vec<u8>>,
    /// Body to deliver.
    pub body: Vec<u8>,
    /// Attempts by their numbers, counted from 0.
    pub attempts: BTreeMap<u32, RecordedAttempt>,
    /// Outcome of the message if it was rejected or abandoned, otherwise `None`.
    pub outcome: Option<FinalResult>,
    /// Attempts that may have got a response with status 410, by their numbers.
    pub over_suspicions: BTreeMap<u32, OverSuspicion>,
    /// `true` if records of the message may be missing, so that it may have been executed at an unknown time.
    pub lacks_records: bool,
}

impl LoggedMessage {
    /// Returns `true` if the message may be over, so that it must not be attempted again.
    pub fn may_be_over(&self) -> bool {
        self.over_suspicions.values().any(|suspicion| *suspicion == OverSuspicion::Possible)
    }

    /// Returns the attempts that may have executed the message; one at the Unix epoch stands for those whose records may
    /// be missing.
    pub fn possible_executions(&self) -> impl Iterator<Item = RecordedPossibleExecution<'_>> {
        let missing = RecordedPossibleExecution { started: UNIX_EPOCH, endpoint: "" };
        let missing = self.lacks_records.then_some(missing);
        let recorded = self.attempts.values().filter_map(|attempt| match attempt {
            RecordedAttempt::PossiblyExecuted { started, endpoint } => {
                Some(RecordedPossibleExecution { started: *started, endpoint })
            }
            RecordedAttempt::NotExecuted => None,
        });
        recorded.chain(missing)
    }
}

/// Part of a payload that is still to be read.
type Input<'a> = &'a [u8];

/// Returns the milliseconds from the Unix epoch to `time`, or 0 for earlier times.
fn to_millis(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Returns the time `millis` milliseconds after the Unix epoch.
pub fn from_millis(millis: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(millis)
}

/// Appends the length of `field` and then `field` itself.
fn put_with_length(payload: &mut Vec<u8>, field: &[u8]) {
    payload.extend_from_slice(&(field.len() as u32).to_le_bytes());
    payload.extend_from_slice(field);
}

/// Encodes the payload of [`RecordKind::Accepted`].
pub fn accepted_payload(message: &LoggedMessage) -> Vec<u8> {
    let mut payload = Vec::with_capacity(message.body.len() + 128);
    payload.extend_from_slice(&to_millis(message.deadline.unwrap_or(UNIX_EPOCH)).to_le_bytes());
    payload.extend_from_slice(&message.destination.to_le_bytes());
    let ordering_flag = if message.ordering_key.is_some() { HAS_ORDERING_KEY } else { 0 };
    let idempotency_flag = if message.idempotency_key.is_some() { HAS_IDEMPOTENCY_KEY } else { 0 };
    payload.push(ordering_flag | idempotency_flag);
    payload.extend_from_slice(&message.ordering_key.unwrap_or_default().to_le_bytes());
    put_with_length(&mut payload, message.service_class.as_bytes());
    put_with_length(&mut payload, &message.client_id);
    put_with_length(&mut payload, message.idempotency_key.as_deref().unwrap_or_default());
    payload.extend_from_slice(&message.body);
    payload
}

/// Encodes the payload of [`RecordKind::AttemptStarted`].
pub fn attempt_started_payload(attempt: u32, started: SystemTime, endpoint: &str) -> Vec<u8> {
    [&attempt.to_le_bytes()[..], &to_millis(started).to_le_bytes(), endpoint.as_bytes()].concat()
}

/// Encodes the payload of [`RecordKind::NotExecuted`].
pub fn not_executed_payload(attempt: u32) -> [u8; 4] {
    attempt.to_le_bytes()
}

/// Encodes the payload of [`RecordKind::PossiblyOver`].
pub fn possibly_over_payload(attempt: u32, suspicion: OverSuspicion) -> Vec<u8> {
    [&attempt.to_le_bytes()[..], &[suspicion as u8]].concat()
}

/// Encodes the payload of [`RecordKind::OutcomeDecided`].
pub fn outcome_payload(result: FinalResult) -> Vec<u8> {
    let (rejected, retry_after) = match result {
        FinalResult::Rejected { retry_after } => (REJECTED, retry_after.unwrap_or_default()),
        FinalResult::Abandoned => (0, Duration::ZERO),
    };
    [&[rejected][..], &(retry_after.as_millis() as u64).to_le_bytes()].concat()
}

/// Applies a record to its `message`. Returns `None` if the payload cannot be read completely; the fields before the
/// unreadable one are applied nevertheless.
pub fn apply(message: &mut LoggedMessage, kind: RecordKind, mut payload: &[u8]) -> Option<()> {
    let input = &mut payload;
    match kind {
        RecordKind::Accepted => read_accepted(message, input)?,
        RecordKind::AttemptStarted => {
            let (attempt, started) = (le_u32::<_, ContextError>, le_u64).parse_next(input).ok()?;
            let (started, endpoint) = (from_millis(started), String::from_utf8_lossy(input).into_owned());
            // Compaction may have moved this record behind the record of the attempt's end, which takes precedence.
            let started = RecordedAttempt::PossiblyExecuted { started, endpoint };
            message.attempts.entry(attempt).or_insert(started);
        }
        RecordKind::NotExecuted => {
            let attempt = le_u32::<_, ContextError>.parse_next(input).ok()?;
            message.attempts.insert(attempt, RecordedAttempt::NotExecuted);
        }
        RecordKind::OutcomeDecided => message.outcome = Some(read_outcome(input)?),
        RecordKind::PossiblyOver => {
            let (attempt, is_ruled_out) = (le_u32::<_, ContextError>, le_u8).parse_next(input).ok()?;
            let suspicion = if is_ruled_out == 0 { OverSuspicion::Possible } else { OverSuspicion::RuledOut };
            // Compaction may have moved the record of the suspicion behind the one that rules it out.
            let recorded = message.over_suspicions.entry(attempt).or_insert(suspicion);
            *recorded = suspicion.max(*recorded);
        }
        RecordKind::Finished => {}
    }
    Some(())
}

fn read_accepted(message: &mut LoggedMessage, input: &mut Input) -> Option<()> {
    let field = |input: &mut Input| {
        length_take::<_, u32, ContextError, _>(le_u32).map(<[u8]>::to_vec).parse_next(input).ok()
    };
    let number = |input: &mut Input| le_u64::<_, ContextError>.parse_next(input).ok();
    message.deadline = Some(from_millis(number(input)?));
    message.destination = number(input)?;
    let flags = le_u8::<_, ContextError>.parse_next(input).ok()?;
    message.ordering_key = number(input).filter(|_| flags & HAS_ORDERING_KEY != 0);
    message.service_class = String::from_utf8(field(input)?).ok()?;
    message.client_id = field(input)?;
    message.idempotency_key = field(input).filter(|_| flags & HAS_IDEMPOTENCY_KEY != 0);
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
