//! Commands of clients: parses the parts of a command into a typed one, executes it, and returns the reply.
//!
//! Invariant: a command that cannot be parsed changes nothing.

use crate::instance::{CommandTimes, Instance, InvalidSubmission, Submission, SubmitOutcome};
use crate::resp;
use quillhub::MessageId;
use std::cell::RefCell;
use std::time::Duration;
use thiserror::Error;

/// Maximum length of a client id or an idempotency key, which are forwarded as headers.
const MAX_ID_BYTES: usize = 256;

/// Reply to a command.
#[derive(Debug)]
pub(super) enum Reply {
    /// Encoded reply.
    Bytes(Vec<u8>),
    /// Confirmation that a message was accepted; if it cannot be written, the message must be withdrawn.
    Accepted(MessageId),
    /// Error reply, before which the connection pauses.
    Error(CommandError),
}

/// Error of a command; its text is sent to the client as an `-ERR` reply.
#[derive(Clone, Debug, Error)]
pub(super) enum CommandError {
    #[error("unknown command")]
    Unknown,
    #[error("SUBMIT takes a key, an id, a list and a body")]
    ArgumentCount,
    #[error("the key is no hexadecimal number")]
    OrderingKey,
    #[error("no class")]
    NoServiceClass,
    #[error("no time limit")]
    NoTimeToLive,
    #[error("no destination")]
    NoDestination,
    #[error("an id or key that cannot be passed on")]
    NotForwardable,
    /// The command is well-formed, but the instance does not accept its message.
    #[error(transparent)]
    InvalidMessage(#[from] InvalidSubmission),
    #[error("not a command, or too long")]
    Malformed,
    #[error("too long")]
    TooLong,
    #[error("the rest did not come")]
    Incomplete,
}

impl CommandError {
    /// Returns `true` if the connection is closed after this error: after every error but [`Self::Unknown`] and
    /// [`Self::InvalidMessage`]. After some of them, such as [`Self::Malformed`], the input that follows may not start
    /// at a command.
    pub(super) fn closes_connection(&self) -> bool {
        !matches!(self, Self::Unknown | Self::InvalidMessage(_))
    }
}

/// Command of a client, parsed.
enum Command<'a> {
    /// Command without any part, to which there is no reply.
    Empty,
    Ping {
        text: Option<&'a [u8]>,
    },
    Submit(Submission<'a>),
}

impl<'a> Command<'a> {
    fn parse(parts: &[&'a [u8]], times: CommandTimes) -> Result<Self, CommandError> {
        let Some((name, arguments)) = parts.split_first() else { return Ok(Self::Empty) };
        if name.eq_ignore_ascii_case(b"SUBMIT") {
            return parse_submission(arguments, times).map(Self::Submit);
        }
        match arguments {
            [] if name.eq_ignore_ascii_case(b"PING") => Ok(Self::Ping { text: None }),
            [text] if name.eq_ignore_ascii_case(b"PING") => Ok(Self::Ping { text: Some(text) }),
            _ => Err(CommandError::Unknown),
        }
    }
}

/// Parses the arguments of `SUBMIT` into the message that it submits.
fn parse_submission<'a>(arguments: &[&'a [u8]], times: CommandTimes) -> Result<Submission<'a>, CommandError> {
    let &[ordering_key, client_id, list, body] = arguments else {
        return Err(CommandError::ArgumentCount);
    };
    let value = |name| resp::list_value(list, name);
    let ordering_key = parse_number(ordering_key, 16).ok_or(CommandError::OrderingKey)?;
    let service_class = value("c").and_then(|class| std::str::from_utf8(class).ok());
    let service_class = service_class.ok_or(CommandError::NoServiceClass)?;
    let time_to_live_ms = value("d").and_then(|milliseconds| parse_number(milliseconds, 10));
    let time_to_live_ms = time_to_live_ms.ok_or(CommandError::NoTimeToLive)?;
    let destination = value("dest").and_then(|destination| parse_number(destination, 10));
    let destination = destination.ok_or(CommandError::NoDestination)?;
    let idempotency_key = value("k");
    if !is_forwardable(client_id) || !idempotency_key.is_none_or(is_forwardable) {
        return Err(CommandError::NotForwardable);
    }
    Ok(Submission {
        service_class,
        ordering_key: (ordering_key != 0).then_some(ordering_key),
        times,
        time_to_live: Duration::from_millis(time_to_live_ms.min(u64::from(u32::MAX))),
        destination,
        client_id,
        idempotency_key,
        body,
    })
}

fn submit(instance: &RefCell<Instance>, submission: Submission) -> Reply {
    match instance.borrow_mut().submit(submission) {
        SubmitOutcome::Accepted(message) => Reply::Accepted(message),
        SubmitOutcome::Rejected { retry_after } => Reply::Bytes(resp::busy(retry_after)),
        SubmitOutcome::Failed(failure) => Reply::Bytes(resp::error(failure)),
        SubmitOutcome::Invalid(reason) => Reply::Error(reason.into()),
    }
}

/// Parses and executes the command that consists of `parts`, and returns the reply to it.
pub(super) fn execute(instance: &RefCell<Instance>, parts: &[&[u8]], times: CommandTimes) -> Reply {
    match Command::parse(parts, times) {
        Ok(Command::Empty) => Reply::Bytes(Vec::new()),
        Ok(Command::Ping { text: None }) => Reply::Bytes(resp::PONG.to_vec()),
        Ok(Command::Ping { text: Some(text) }) => Reply::Bytes(resp::bulk(text)),
        Ok(Command::Submit(submission)) => submit(instance, submission),
        Err(error) => Reply::Error(error),
    }
}

fn parse_number(bytes: &[u8], radix: u32) -> Option<u64> {
    u64::from_str_radix(std::str::from_utf8(bytes).ok()?, radix).ok()
}

/// Returns `true` if an id or idempotency key can be forwarded unchanged in a header.
fn is_forwardable(id: &[u8]) -> bool {
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.iter().all(u8::is_ascii_graphic)
}
