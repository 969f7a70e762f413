//! The part of RESP2 that clients use: parses commands and encodes replies.
//!
//! Invariant: this module does no input or output, and everything that it parses has a maximum length.

use crate::incremental::{Input, parse_result};
pub use crate::incremental::{Malformed, Parsed};
use std::fmt::Display;
use std::time::Duration;
use winnow::ascii::crlf;
use winnow::combinator::terminated;
use winnow::stream::AsChar;
use winnow::token::{take, take_while};
use winnow::{ModalResult, Parser};

/// Maximum number of parts of a command. The longest known command has five; commands with some more are parsed so that
/// they get a specific error.
const MAX_PARTS: usize = 16;
/// Maximum number of digits of a count or a length.
const MAX_DIGITS: usize = 9;

/// Reply that confirms a message.
pub const OK: &[u8] = b"+OK\r\n";
/// Reply to a ping without a text.
pub const PONG: &[u8] = b"+PONG\r\n";

/// Parses a line with `prefix` and a count of at most `max`.
fn count(prefix: u8, max: usize, input: &mut Input<'_>) -> ModalResult<usize> {
    let digits = take_while(1..=MAX_DIGITS, AsChar::is_dec_digit).parse_to();
    (prefix, digits, crlf).map(|(_, count, _): (_, usize, _)| count).verify(|n| *n <= max).parse_next(input)
}

/// Parses the first command in `input`, none of whose parts may be longer than `max_part_bytes`. Returns its parts and
/// its length in bytes, or `None` if the command is incomplete.
///
/// # Errors
///
/// Returns an error if the input does not start with a command, whatever follows it.
///
/// ```
/// use quillhub_server::resp::command;
///
/// let input = b"*2\r\n$4\r\nECHO\r\n$2\r\nhi\r\n*1\r\n";
/// assert_eq!(command(input, 9), Ok(Some((vec![&b"ECHO"[..], b"hi"], 22))));
/// assert_eq!(command(&input[..20], 9), Ok(None));
/// assert!(command(input, 3).is_err());
/// ```
pub fn command(input: &[u8], max_part_bytes: usize) -> Parsed<Vec<&[u8]>> {
    let mut rest = Input::new(input);
    let mut read = || {
        let parts = count(b'*', MAX_PARTS, &mut rest)?;
        let mut part = || {
            let length = count(b'$', max_part_bytes, &mut rest)?;
            terminated(take(length), crlf).parse_next(&mut rest)
        };
        (0..parts).map(|_| part()).collect::<ModalResult<Vec<&[u8]>>>()
    };
    let read = read();
    parse_result(input, &rest, read)
}

/// Returns the value of `name` in a list such as `c=notice,d=8000`.
pub fn list_value<'a>(list: &'a [u8], name: &str) -> Option<&'a [u8]> {
    list.split(|byte| *byte == b',').find_map(|pair| pair.strip_prefix(name.as_bytes())?.strip_prefix(b"="))
}

/// Encodes the reply to a message that the instance rejects, with the delay after which the client may submit it again,
/// in milliseconds, if there is one.
pub fn busy(retry_after: Option<Duration>) -> Vec<u8> {
    match retry_after {
        Some(delay) => format!("-BUSY {}\r\n", delay.as_millis()).into_bytes(),
        None => b"-BUSY\r\n".to_vec(),
    }
}

/// Encodes the reply to a command that failed; `reason` is the text of the error and contains no line break.
pub fn error(reason: impl Display) -> Vec<u8> {
    format!("-ERR {reason}\r\n").into_bytes()
}

/// Encodes a bulk string.
pub fn bulk(bytes: &[u8]) -> Vec<u8> {
    [format!("${}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

#[cfg(test)]
#[path = "resp_tests.rs"]
mod tests;
