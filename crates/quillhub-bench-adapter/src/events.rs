//! The events of a line: what happened to one instance.
//!
//! Invariant: fields are read in the order of the wire, so that of several wrong ones the first is refused.

use crate::error::LineError;
use crate::fields::Fields;
use base64::prelude::*;
use quillhub::{AttemptOutcome, MessageId};
use std::time::Duration;

/// What a line is about, but for LIST and ENTRY, which are of no instance.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// An instance starts.
    Hello,
    /// An instance ends.
    Shutdown,
    /// An instance gets an endpoint list.
    Announce,
    /// Something happened to an instance by itself.
    Instance(InstanceEvent),
}

/// What happens to an instance that needs nothing else.
#[derive(Clone, Copy, Debug)]
pub enum InstanceEvent {
    Inbound,
    Resolved,
    Timer,
    ClientLeft,
    Memo,
    Established,
    StatusBack,
}

impl Event {
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

/// A new message, with its deadline on the bench's clock.
pub struct Submitted<'a> {
    pub message: MessageId,
    pub service_class: &'a str,
    pub ordering_key: Option<u64>,
    pub deadline_us: u64,
    pub tenant: Option<&'a str>,
    pub destination: u64,
}

impl<'a> Submitted<'a> {
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

/// The end of an attempt.
pub struct Resolved {
    pub message: MessageId,
    pub attempt: u32,
    pub outcome: AttemptOutcome,
    pub duration: Duration,
    /// Whether nothing more is to be done for the message.
    pub finished: bool,
    /// The values of the load report, in the order of the settings.
    pub report: Option<Vec<f64>>,
}

impl Resolved {
    pub fn parse(fields: &mut Fields) -> Result<Self, LineError> {
        let message = fields.number("ref")?;
        let attempt = fields.number("try")?;
        fields.text("endpoint")?;
        let outcome = fields.text("outcome")?;
        let duration = Duration::from_micros(fields.number("durationUs")?);
        let finished = fields.flag("complete")?;
        let retry_after_ms = fields.optional_number("note")?.unwrap_or(0);
        let outcome = parse_outcome(outcome, retry_after_ms)?;
        let report = parse_report(fields)?;
        Ok(Self { message, attempt, outcome, duration, finished, report })
    }
}

/// The form of an announced endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnnouncedForm {
    /// The entries that changed.
    Delta,
    /// All entries.
    Full,
    /// All entries, as known before discovery was polled.
    Cached,
}

impl AnnouncedForm {
    pub fn parse(form: &str) -> Result<Self, LineError> {
        match form {
            "delta" => Ok(Self::Delta),
            "full" => Ok(Self::Full),
            "cached" => Ok(Self::Cached),
            _ => Err(LineError::unexpected("delta, full, cached or failed as form", form)),
        }
    }
}

/// The announcement of an endpoint list, whose form is parsed only once its instance is known.
pub struct Announced<'a> {
    pub list: Option<u64>,
    pub form: &'a str,
}

impl<'a> Announced<'a> {
    pub fn parse(fields: &mut Fields<'a>) -> Result<Self, LineError> {
        let list = fields.optional_number("list")?;
        let form = fields.text("form")?;
        fields.optional_number::<u64>("rev")?;
        Ok(Self { list, form })
    }

    /// Whether discovery could not be polled.
    pub fn is_failure(&self) -> bool {
        self.form == "failed"
    }
}

pub fn parse_timer(fields: &mut Fields) -> Result<(), LineError> {
    fields.text("ctx").map(|_| ())
}

pub fn parse_client_left(fields: &mut Fields) -> Result<MessageId, LineError> {
    fields.number("ref")
}

/// A gossip message's octets.
pub fn parse_gossip(fields: &mut Fields) -> Result<Vec<u8>, LineError> {
    fields.number::<u32>("from")?;
    let octets = fields.optional_text("octets")?.unwrap_or_default();
    BASE64_STANDARD.decode(octets).map_err(|_| LineError::unexpected("base64 as octets", octets))
}

/// The result of a health check, which the dispatcher does not go by.
pub fn skip_health_check(fields: &mut Fields) -> Result<(), LineError> {
    fields.text("endpoint")?;
    parse_outcome(fields.text("outcome")?, 0)?;
    fields.optional_number::<u64>("durationUs")?;
    parse_report(fields)?;
    Ok(())
}

/// The start of a streamed response, which the dispatcher does not go by.
pub fn skip_established(fields: &mut Fields) -> Result<(), LineError> {
    fields.number::<u64>("ref")?;
    fields.number::<u32>("try")?;
    fields.text("endpoint")?;
    fields.optional_number::<u64>("durationUs")?;
    Ok(())
}

fn parse_outcome(outcome: &str, retry_after_ms: u64) -> Result<AttemptOutcome, LineError> {
    Ok(match outcome {
        "ok" => AttemptOutcome::Delivered,
        "error" => AttemptOutcome::Failed,
        "full" => AttemptOutcome::Rejected {
            retry_after: (retry_after_ms > 0).then(|| Duration::from_millis(retry_after_ms)),
        },
        "timeout" => AttemptOutcome::TimedOut,
        "connect_failed" => AttemptOutcome::ConnectFailed,
        "reset" => AttemptOutcome::ConnectionReset,
        "cancelled" => AttemptOutcome::Cancelled,
        "moot" => AttemptOutcome::NotSent,
        _ => return Err(LineError::unexpected("an outcome", outcome)),
    })
}

fn parse_report(fields: &mut Fields) -> Result<Option<Vec<f64>>, LineError> {
    let Some(text) = fields.optional_text("pressure")? else { return Ok(None) };
    let values: Result<Vec<f64>, _> = text.split(',').map(str::parse).collect();
    values.map(Some).map_err(|_| LineError::unexpected("comma-separated numbers as report", text))
}
