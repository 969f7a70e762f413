//! The commands of clients: parses the parts of one into a typed command, executes it, and says what to reply.
//!
//! Invariant: a command that cannot be parsed changes nothing.

use crate::instance::{Instance, InvalidSubmission, Submission, SubmitOutcome};
use crate::resp;
use quillhub::MessageId;
use std::cell::RefCell;
use std::time::Duration;
use thiserror::Error;

/// Bytes of an id or an idempotency key; they are forwarded as headers.
const MAX_ID_BYTES: usize = 256;

/// What to reply to a command.
#[derive(Debug)]
pub(super) enum Reply {
    /// The octets of a reply.
    Octets(Vec<u8>),
    /// The confirmation of a message, which is accepted only once that is written.
    Accepted(MessageId),
    Error(CommandError),
}

/// Why a command has failed, in the words that its client reads.
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
    NoDeadline,
    #[error("no destination")]
    NoDestination,
    #[error("an id or key that cannot be passed on")]
    NotForwardable,
    /// The instance cannot take it for a message.
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
    /// Whether the connection closes after it: what follows on it may not be what the client means.
    pub(super) fn closes_connection(&self) -> bool {
        !matches!(self, Self::Unknown | Self::InvalidMessage(_))
    }
}

enum Command<'a> {
    /// A command without any part, which is answered with nothing.
    Empty,
    Ping {
        text: Option<&'a [u8]>,
    },
    Submit(Submission<'a>),
}

impl<'a> Command<'a> {
    fn parse(parts: &[&'a [u8]]) -> Result<Self, CommandError> {
        let Some((name, arguments)) = parts.split_first() else { return Ok(Self::Empty) };
        if name.eq_ignore_ascii_case(b"SUBMIT") {
            return parse_submission(arguments).map(Self::Submit);
        }
        match arguments {
            [] if name.eq_ignore_ascii_case(b"PING") => Ok(Self::Ping { text: None }),
            [text] if name.eq_ignore_ascii_case(b"PING") => Ok(Self::Ping { text: Some(text) }),
            _ => Err(CommandError::Unknown),
        }
    }
}

/// Reads a message from the arguments of `SUBMIT`.
fn parse_submission<'a>(arguments: &[&'a [u8]]) -> Result<Submission<'a>, CommandError> {
    let &[ordering_key, reference, list, body] = arguments else {
        return Err(CommandError::ArgumentCount);
    };
    let value = |name| resp::list_value(list, name);
    let ordering_key = parse_number(ordering_key, 16).ok_or(CommandError::OrderingKey)?;
    let service_class = value("c").and_then(|class| std::str::from_utf8(class).ok());
    let service_class = service_class.ok_or(CommandError::NoServiceClass)?;
    let time_limit = value("d").and_then(|milliseconds| parse_number(milliseconds, 10));
    let time_limit = time_limit.ok_or(CommandError::NoDeadline)?;
    let destination = value("dest").and_then(|destination| parse_number(destination, 10));
    let destination = destination.ok_or(CommandError::NoDestination)?;
    let idempotency_key = value("k");
    if !is_forwardable(reference) || !idempotency_key.is_none_or(is_forwardable) {
        return Err(CommandError::NotForwardable);
    }
    Ok(Submission {
        service_class,
        ordering_key: (ordering_key != 0).then_some(ordering_key),
        time_to_live: Duration::from_millis(time_limit.min(u64::from(u32::MAX))),
        destination,
        client_id: reference,
        idempotency_key,
        body,
    })
}

fn submit(instance: &RefCell<Instance>, submission: Submission) -> Reply {
    match instance.borrow_mut().submit(submission) {
        SubmitOutcome::Accepted(message) => Reply::Accepted(message),
        SubmitOutcome::Busy { retry_after } => Reply::Octets(resp::busy(retry_after)),
        SubmitOutcome::Failed(failure) => Reply::Octets(resp::error(failure)),
        SubmitOutcome::Invalid(reason) => Reply::Error(reason.into()),
    }
}

/// Executes the command of these parts.
pub(super) fn execute(instance: &RefCell<Instance>, parts: &[&[u8]]) -> Reply {
    match Command::parse(parts) {
        Ok(Command::Empty) => Reply::Octets(Vec::new()),
        Ok(Command::Ping { text: None }) => Reply::Octets(resp::PONG.to_vec()),
        Ok(Command::Ping { text: Some(text) }) => Reply::Octets(resp::bulk(text)),
        Ok(Command::Submit(submission)) => submit(instance, submission),
        Err(error) => Reply::Error(error),
    }
}

fn parse_number(octets: &[u8], radix: u32) -> Option<u64> {
    u64::from_str_radix(std::str::from_utf8(octets).ok()?, radix).ok()
}

/// Whether an id or key can be forwarded as it is in a header.
fn is_forwardable(id: &[u8]) -> bool {
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.iter().all(u8::is_ascii_graphic)
}
