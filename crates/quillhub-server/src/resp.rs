//! RESP2, as far as clients use it: parses commands and writes replies.
//!
//! Invariant: nothing here touches a socket, and nothing is parsed without a bound.

use crate::incremental::{Input, completed};
pub use crate::incremental::{Malformed, Parsed};
use std::fmt::Display;
use std::time::Duration;
use winnow::ascii::crlf;
use winnow::combinator::terminated;
use winnow::stream::AsChar;
use winnow::token::{take, take_while};
use winnow::{ModalResult, Parser};

/// Parts of a command: the longest known has five; a few more are parsed to be answered with an error.
const MAX_PARTS: usize = 16;
/// Digits of a count.
const MAX_DIGITS: usize = 9;

/// The reply that confirms a message.
pub const OK: &[u8] = b"+OK\r\n";
/// The reply to a ping without a text.
pub const PONG: &[u8] = b"+PONG\r\n";

fn count(prefix: u8, most: usize, input: &mut Input<'_>) -> ModalResult<usize> {
    let digits = take_while(1..=MAX_DIGITS, AsChar::is_dec_digit).parse_to();
    (prefix, digits, crlf).map(|(_, count, _): (_, usize, _)| count).verify(|n| *n <= most).parse_next(input)
}

/// The parts of the first command in `input` and how many bytes it takes; nothing if more must come. No part
/// may be longer than `most`.
///
/// # Errors
///
/// If there can be none.
///
/// ```
/// use quillhub_server::resp::command;
///
/// let input = b"*2\r\n$4\r\nECHO\r\n$2\r\nhi\r\n*1\r\n";
/// assert_eq!(command(input, 9), Ok(Some((vec![&b"ECHO"[..], b"hi"], 22))));
/// assert_eq!(command(&input[..20], 9), Ok(None));
/// assert!(command(input, 3).is_err());
/// ```
pub fn command(input: &[u8], most: usize) -> Parsed<Vec<&[u8]>> {
    let mut rest = Input::new(input);
    let mut read = || {
        let parts = count(b'*', MAX_PARTS, &mut rest)?;
        let mut part = || {
            let length = count(b'$', most, &mut rest)?;
            terminated(take(length), crlf).parse_next(&mut rest)
        };
        (0..parts).map(|_| part()).collect::<ModalResult<Vec<&[u8]>>>()
    };
    let read = read();
    completed(input, &rest, read)
}

/// The value of `name` in a list like `c=notice,d=8000`.
pub fn list_value<'a>(list: &'a [u8], name: &str) -> Option<&'a [u8]> {
    list.split(|byte| *byte == b',').find_map(|pair| pair.strip_prefix(name.as_bytes())?.strip_prefix(b"="))
}

/// The reply to a rejected message, with the time after which it may be sent again.
pub fn busy(retry_after: Option<Duration>) -> Vec<u8> {
    match retry_after {
        Some(wait) => format!("-BUSY {}\r\n", wait.as_millis()).into_bytes(),
        None => b"-BUSY\r\n".to_vec(),
    }
}

/// The reply to a command that failed.
pub fn error(what: impl Display) -> Vec<u8> {
    format!("-ERR {what}\r\n").into_bytes()
}

/// A bulk string.
pub fn bulk(octets: &[u8]) -> Vec<u8> {
    [format!("${}\r\n", octets.len()).as_bytes(), octets, b"\r\n"].concat()
}

#[cfg(test)]
#[path = "resp_tests.rs"]
mod tests;
