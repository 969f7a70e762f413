//! Parsers for the events that the simulator reports to one instance.
//!
//! Invariant: the fields of an event are read in the order of its line, so that the same malformed line always produces
//! the same error.

use crate::error::LineError;
use crate::fields::Fields;
use base64::prelude::*;
use quillhub::{AttemptOutcome, MessageId};
use std::time::Duration;

/// Event for one instance: every line of a batch except `TICK`, `LIST`, `ENTRY` and `YOUR_TURN`, which belong to no
/// instance.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// An instance starts, with the settings in the line.
    Hello,
    /// An instance is stopped and removed.
    Shutdown,
    /// An instance receives an endpoint list, or the report that discovery could not be polled.
    Announce,
    /// Another event of a running instance.
    Instance(InstanceEvent),
}

/// Event that is handled with only the instance and the fields of the line.
#[derive(Clone, Copy, Debug)]
pub enum InstanceEvent {
    /// A client submitted a message.
    Inbound,
    /// An attempt ended.
    Resolved,
    /// The most recently requested timer fired.
    Timer,
    /// The client of a message disconnected.
    ClientLeft,
    /// A gossip message arrived from another instance.
    Memo,
    /// An endpoint started to stream a response.
    Established,
    /// A health check ended.
    StatusBack,
}

impl Event {
    /// Returns the event that a line with `name` as its first field reports, or `None` if the name is unknown.
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "HELLO" => Some(Self::Hello),
            "SHUTDOWN" => Some(Self::Shutdown),
            "ANNOUNCE" => Some(Self::Announce),
            _ => InstanceEvent::parse(name).map(Self::Instance),
        }
    }
}

impl InstanceEvent {
    fn parse(name: &str) -> Option<Self> {
        Some(match name {
            "INBOUND" => Self::Inbound,
            "RESOLVED" => Self::Resolved,
            "TIMER" => Self::Timer,
            "CLIENT_LEFT" => Self::ClientLeft,
            "MEMO" => Self::Memo,
            "ESTABLISHED" => Self::Established,
            "STATUS_BACK" => Self::StatusBack,
            _ => return None,
        })
    }
}

/// Message submitted by a client, parsed from an `INBOUND` line.
pub struct SubmittedMessage<'a> {
    pub message: MessageId,
    pub service_class: &'a str,
    pub ordering_key: Option<u64>,
    /// Time by which the message is to have its final outcome, in microseconds on the simulator's clock.
    pub deadline_us: u64,
    pub tenant: Option<&'a str>,
    pub destination: u64,
}

impl<'a> SubmittedMessage<'a> {
    pub fn parse(fields: &mut Fields<'a>) -> Result<Self, LineError> {
        let message = fields.number("ref")?;
        fields.optional_number::<f64>("predictedUs")?;
        let service_class = fields.text("qos")?;
        let ordering_key = fields.optional_number("pathKey")?;
        let deadline_us = fields.number("notAfterUs")?;
        let tenant = fields.optional_text("team")?;
        fields.flag("isRetry")?;
        let destination = fields.number("addresseeNo")?;
        fields.flag("update")?;
        fields.flag("reconnect")?;
        Ok(Self { message, service_class, ordering_key, deadline_us, tenant, destination })
    }
}

/// Result of an attempt, parsed from a `RESOLVED` line.
pub struct EndedAttempt {
    pub message: MessageId,
    pub attempt: u32,
    pub outcome: AttemptOutcome,
    pub duration: Duration,
    /// `true` if the message has its final outcome with this attempt.
    pub finished: bool,
    /// Values of the load report, in the order of the setting `report.names`; `None` if there was no report.
    pub report: Option<Vec<f64>>,
}

impl EndedAttempt {
    pub fn parse(fields: &mut Fields) -> Result<Self, LineError> {
        let message = fields.number("ref")?;
        let attempt = fields.number("try")?;
        fields.text("endpoint")?;
        let outcome = fields.text("outcome")?;
        let duration = Duration::from_micros(fields.number("durationUs")?);
        let finished = fields.flag("complete")?;
        let note = fields.optional_number("note")?.unwrap_or(0);
        let outcome = parse_outcome(outcome, note, finished)?;
        let report = parse_report(fields)?;
        Ok(Self { message, attempt, outcome, duration, finished, report })
    }
}

/// Form of an announced endpoint list: its extent and its source.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListForm {
    /// The list has only the entries that changed.
    Delta,
    /// The list is complete and was received from discovery.
    Full,
    /// The list is complete and was known before discovery was polled.
    Cached,
}

impl ListForm {
    pub fn parse(form: &str) -> Result<Self, LineError> {
        match form {
            "delta" => Ok(Self::Delta),
            "full" => Ok(Self::Full),
            "cached" => Ok(Self::Cached),
            _ => Err(LineError::unexpected("delta, full, cached or failed as form", form)),
        }
    }
}

/// Announcement of an endpoint list to an instance, parsed from an `ANNOUNCE` line.
pub struct ListAnnouncement<'a> {
    /// Number of the list, if the announcement has one.
    pub list: Option<u64>,
    /// Form of the list, not parsed: an unknown instance is reported before an invalid form.
    pub form: &'a str,
}

impl<'a> ListAnnouncement<'a> {
    pub fn parse(fields: &mut Fields<'a>) -> Result<Self, LineError> {
        let list = fields.optional_number("list")?;
        let form = fields.text("form")?;
        fields.optional_number::<u64>("rev")?;
        Ok(Self { list, form })
    }

    /// Returns `true` if discovery could not be polled, so that there is no list.
    pub fn is_failure(&self) -> bool {
        self.form == "failed"
    }
}

/// Checks the field of a `TIMER` line, which is not used.
pub fn skip_timer(fields: &mut Fields) -> Result<(), LineError> {
    fields.text("ctx").map(|_| ())
}

/// Returns the identifier of the message whose client disconnected.
pub fn parse_client_left(fields: &mut Fields) -> Result<MessageId, LineError> {
    fields.number("ref")
}

/// Returns the decoded bytes of a gossip message.
pub fn parse_gossip(fields: &mut Fields) -> Result<Vec<u8>, LineError> {
    fields.number::<u32>("from")?;
    let encoded = fields.optional_text("octets")?.unwrap_or_default();
    BASE64_STANDARD.decode(encoded).map_err(|_| LineError::unexpected("base64 as octets", encoded))
}

/// Checks the fields of a health check's result, which the dispatcher does not use.
pub fn skip_health_check(fields: &mut Fields) -> Result<(), LineError> {
    fields.text("endpoint")?;
    parse_outcome(fields.text("outcome")?, 0, false)?;
    fields.optional_number::<u64>("durationUs")?;
    parse_report(fields)?;
    Ok(())
}

/// Checks the fields that report the start of a streamed response, which the dispatcher does not use.
pub fn skip_established(fields: &mut Fields) -> Result<(), LineError> {
    fields.number::<u64>("ref")?;
    fields.number::<u32>("try")?;
    fields.text("endpoint")?;
    fields.optional_number::<u64>("durationUs")?;
    Ok(())
}

/// Value of `note` with which an attempt was not sent for want of a free slot.
const NOTE_NO_SLOT: u64 = 1;

fn parse_outcome(outcome: &str, note: u64, finished: bool) -> Result<AttemptOutcome, LineError> {
    Ok(match outcome {
        "ok" => AttemptOutcome::Delivered,
        "error" => AttemptOutcome::Failed,
        "full" => AttemptOutcome::Rejected { retry_after: (note > 0).then(|| Duration::from_millis(note)) },
        "timeout" => AttemptOutcome::TimedOut,
        "connect_failed" => AttemptOutcome::ConnectFailed,
        "reset" => AttemptOutcome::ConnectionReset,
        "cancelled" => AttemptOutcome::Cancelled,
        "moot" if finished => AttemptOutcome::Over,
        "moot" if note == NOTE_NO_SLOT => AttemptOutcome::NotSent,
        // Its time was up, or it has had all its attempts.
        "moot" => AttemptOutcome::AttemptsExhausted,
        _ => return Err(LineError::unexpected("an outcome", outcome)),
    })
}

fn parse_report(fields: &mut Fields) -> Result<Option<Vec<f64>>, LineError> {
    let Some(text) = fields.optional_text("pressure")? else { return Ok(None) };
    let values: Result<Vec<f64>, _> = text.split(',').map(str::parse).collect();
    values.map(Some).map_err(|_| LineError::unexpected("comma-separated numbers as report", text))
}
