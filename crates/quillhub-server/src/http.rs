//! The client's part of HTTP/1.1: encodes requests and parses responses.
//!
//! Invariant: this module does no input or output, and everything that it parses has a maximum length.

use crate::incremental::{Input, parse_result};
pub use crate::incremental::{Malformed, Parsed};
use winnow::ascii::{crlf, hex_uint, space0, space1};
use winnow::combinator::{opt, repeat, terminated};
use winnow::stream::AsChar;
use winnow::token::{one_of, take, take_till, take_while};
use winnow::{ModalResult, Parser};

/// Maximum length of a response's head, far more than the headers that this crate reads need.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum length of the interim responses before a final one, together.
const MAX_INTERIM_BYTES: usize = MAX_HEAD_BYTES;
/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 64;
/// Maximum length of the line before a chunk, including extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Framing of a response's body, which determines where the body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has the given length in bytes.
    Length(usize),
    /// The body consists of chunks, and ends with an empty one.
    Chunked,
    /// The body ends when the server closes the connection.
    ToEnd,
}

/// Status line and headers of a response.
#[derive(Debug)]
pub struct Head {
    /// Status code in the status line.
    pub status: u16,
    /// `true` if connections are persistent by default in the HTTP version of the status line.
    persistent: bool,
    headers: Vec<(String, String)>,
}

/// Interim responses that were received before a final one.
#[derive(Debug, Default)]
pub(crate) struct InterimResponses {
    bytes: usize,
}

impl InterimResponses {
    /// Adds an interim response of `length` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if they exceed the maximum length.
    pub(crate) fn add(&mut self, length: usize) -> Result<(), Malformed> {
        self.bytes += length;
        if self.bytes > MAX_INTERIM_BYTES { Err(Malformed) } else { Ok(()) }
    }
}

impl Head {
    /// Returns `true` if a final response follows this one.
    pub(crate) fn is_interim(&self) -> bool {
        self.status < 200
    }

    /// Returns the value of the first header `name`, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1.as_str())
    }

    /// Returns `true` if the connection can be used for another request after this response.
    pub fn keeps_alive(&self) -> bool {
        let options = self.header("connection").unwrap_or_default();
        let has = |option| options.split(',').any(|other| other.trim().eq_ignore_ascii_case(option));
        (self.persistent || has("keep-alive")) && !has("close")
    }

    /// Returns the framing of the response's body.
    ///
    /// # Errors
    ///
    /// Returns an error if the headers are invalid or contradict each other.
    pub fn framing(&self) -> Result<Framing, Malformed> {
        if self.is_interim() || matches!(self.status, 204 | 304) {
            return Ok(Framing::Length(0));
        }
        if let Some(coding) = self.header("transfer-encoding") {
            let alone = self.header("content-length").is_none();
            return if alone && coding.trim().eq_ignore_ascii_case("chunked") {
                Ok(Framing::Chunked)
            } else {
                Err(Malformed)
            };
        }
        let mut lengths = self.headers.iter().filter(|h| h.0.eq_ignore_ascii_case("content-length"));
        let Some((_, length)) = lengths.next() else { return Ok(Framing::ToEnd) };
        if !length.bytes().all(|byte| byte.is_ascii_digit()) || lengths.any(|(_, other)| other != length) {
            return Err(Malformed);
        }
        length.parse().map(Framing::Length).map_err(|_| Malformed)
    }
}

fn status_line(input: &mut Input<'_>) -> ModalResult<(bool, u16)> {
    let minor = one_of(b'0'..=b'9');
    let status = take_while(3..=3, AsChar::is_dec_digit).parse_to().verify(|status| *status >= 100);
    let reason = opt((b' ', take_till(0.., |byte| byte == b'\r' || byte == b'\n')));
    (b"HTTP/1.", minor, space1, status, reason, crlf)
        .map(|(_, minor, _, status, _, _)| (minor > b'0', status))
        .parse_next(input)
}

/// Converts the result of a parser as [`parse_result`] does, but refuses incomplete input that is longer than
/// `max_bytes`.
fn parse_result_within<T>(
    max_bytes: usize,
    input: &[u8],
    rest: &Input<'_>,
    parsed: ModalResult<T>,
) -> Parsed<T> {
    let parsed = parse_result(input, rest, parsed)?;
    if parsed.is_none() && input.len() > max_bytes { Err(Malformed) } else { Ok(parsed) }
}

/// Parses the status line at the start of `input`, whatever follows it. Returns its status code, or `None` if the line
/// is incomplete.
///
/// # Errors
///
/// Returns an error if the input does not start with a status line, whatever follows it.
pub(crate) fn status(input: &[u8]) -> Result<Option<u16>, Malformed> {
    let mut rest = Input::new(input);
    let read = status_line(&mut rest);
    Ok(parse_result_within(MAX_HEAD_BYTES, input, &rest, read)?.map(|((_, status), _)| status))
}

/// Returns the digits of the status at the start of `input`, and `true` if the input ends with them. The status line may be
/// cut off or malformed behind its status; there are no digits if it is before that.
fn status_digits(input: &[u8]) -> (&[u8], bool) {
    let Some(rest) = input.strip_prefix(b"HTTP/1.") else { return (b"", true) };
    let Some((b'0'..=b'9', rest)) = rest.split_first() else { return (b"", true) };
    let code = rest.trim_ascii_start();
    let count = code.iter().take_while(|byte| byte.is_ascii_digit()).count();
    if rest.len() == code.len() { (b"", true) } else { (&code[..count], count == code.len()) }
}

/// Returns `true` if the input starts with a status line, also one that is cut off or malformed behind its status, whose
/// status is `status`.
pub(crate) fn has_status(input: &[u8], status: u16) -> bool {
    status_digits(input).0 == status.to_string().as_bytes()
}

/// Returns `true` as [`has_status`] does, and if the input ends within the status and it is `status` as far as it was
/// received. At least one digit must have been.
pub(crate) fn may_have_status(input: &[u8], status: u16) -> bool {
    let (received, is_cut_off) = status_digits(input);
    if received.is_empty() {
        return false;
    }
    let status = status.to_string();
    received == status.as_bytes() || is_cut_off && status.as_bytes().starts_with(received)
}

fn header(input: &mut Input<'_>) -> ModalResult<(String, String)> {
    let name = take_while(1.., |byte: u8| byte.is_alphanum() || b"!#$%&'*+-.^_`|~".contains(&byte));
    let value = take_till(0.., |byte| byte == b'\r' || byte == b'\n');
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_owned();
    (name, b':', space0, value, crlf)
        .map(|(name, _, _, value, _): (&[u8], _, _, &[u8], _)| (text(name), text(value)))
        .parse_next(input)
}

/// Parses the head of a response at the start of `input`. Returns the head and its length in bytes, or `None` if the
/// head is incomplete.
///
/// # Errors
///
/// Returns an error if the input does not start with a valid head, whatever follows it.
///
/// ```
/// use quillhub_server::http::{Framing, head};
///
/// let input = b"HTTP/1.1 200 OK\r\nX-Load: x0=0.4\r\nContent-Length: 2\r\n\r\nhi";
/// let (response, used) = head(input).unwrap().unwrap();
/// assert_eq!((response.status, response.header("x-load"), used), (200, Some("x0=0.4"), input.len() - 2));
/// assert_eq!(response.framing(), Ok(Framing::Length(2)));
/// assert!(head(&input[..30]).unwrap().is_none());
/// assert!(head(b"SSH-2.0-").is_err());
/// ```
pub fn head(input: &[u8]) -> Parsed<Head> {
    let mut rest = Input::new(input);
    let headers = repeat(0..=MAX_HEADERS, header);
    let read = (status_line, terminated(headers, crlf)).parse_next(&mut rest);
    let read = parse_result_within(MAX_HEAD_BYTES, input, &rest, read)?;
    Ok(read.map(|(((persistent, status), headers), used)| (Head { status, persistent, headers }, used)))
}

fn parse_chunk<'a>(max_bytes: usize, input: &mut Input<'a>) -> ModalResult<&'a [u8]> {
    let extension = take_till(0.., |byte| byte == b'\r' || byte == b'\n');
    let length = (hex_uint, extension, crlf).map(|(length, _, _): (u32, _, _)| length as usize);
    match length.verify(|length| *length <= max_bytes).parse_next(input)? {
        0 => {
            let trailer: ModalResult<Vec<_>> =
                terminated(repeat(0..=MAX_HEADERS, header), crlf).parse_next(input);
            trailer.map(|_| &[][..])
        }
        length => terminated(take(length), crlf).parse_next(input),
    }
}

/// Parses the chunk at the start of `input`, which may have up to `max_bytes`. Returns its data, which is empty for the
/// last chunk, and its length in bytes including the framing, or `None` if the chunk is incomplete.
///
/// # Errors
///
/// Returns an error if the input does not start with a valid chunk, whatever follows it.
pub(crate) fn chunk(input: &[u8], max_bytes: usize) -> Parsed<&[u8]> {
    let mut rest = Input::new(input);
    let read = parse_chunk(max_bytes, &mut rest);
    parse_result_within(max_bytes + MAX_CHUNK_LINE_BYTES + MAX_HEAD_BYTES, input, &rest, read)
}

/// Encodes a request. Header values must contain no line breaks; a `GET` request must have an empty body.
pub fn request(method: &str, path: &str, host: &str, headers: &[(&str, &[u8])], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value);
        bytes.extend_from_slice(b"\r\n");
    }
    if method != "GET" {
        bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

#[cfg(test)]
#[path = "http_tests.rs"]
mod tests;
