//! HTTP/1.1, as far as a client needs it: writes requests and parses responses.
//!
//! Invariant: nothing here touches a socket, and nothing is parsed without a bound.

use crate::incremental::{Input, completed};
pub use crate::incremental::{Malformed, Parsed};
use winnow::ascii::{crlf, hex_uint, space0, space1};
use winnow::combinator::{opt, repeat, terminated};
use winnow::stream::AsChar;
use winnow::token::{one_of, take, take_till, take_while};
use winnow::{ModalResult, Parser};

/// Bytes of a response's head: far more than any header here needs.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Headers of a response.
const MAX_HEADERS: usize = 64;
/// Bytes of a chunk's first line, extensions included.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// How the body's end is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After so many bytes.
    Length(usize),
    /// With an empty chunk.
    Chunked,
    /// With the connection.
    ToEnd,
}

/// A response's first line and headers.
#[derive(Debug)]
pub struct Head {
    /// The status of the first line.
    pub status: u16,
    /// Whether connections persist by the version of the first line.
    persistent: bool,
    headers: Vec<(String, String)>,
}

impl Head {
    /// The value of the first header of that name, in whatever case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1.as_str())
    }

    /// Whether the connection may carry another request after this response.
    pub fn keeps_alive(&self) -> bool {
        let options = self.header("connection").unwrap_or_default();
        let has = |option| options.split(',').any(|other| other.trim().eq_ignore_ascii_case(option));
        (self.persistent || has("keep-alive")) && !has("close")
    }

    /// How the end of the response's body is found.
    ///
    /// # Errors
    ///
    /// If its headers do not say that without doubt.
    pub fn framing(&self) -> Result<Framing, Malformed> {
        if self.status < 200 || matches!(self.status, 204 | 304) {
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

fn first_line(input: &mut Input<'_>) -> ModalResult<(bool, u16)> {
    let minor = one_of(b'0'..=b'9');
    let status = take_while(3..=3, AsChar::is_dec_digit).parse_to().verify(|status| *status >= 100);
    let reason = opt((b' ', take_till(0.., |byte| byte == b'\r' || byte == b'\n')));
    (b"HTTP/1.", minor, space1, status, reason, crlf)
        .map(|(_, minor, _, status, _, _)| (minor > b'0', status))
        .parse_next(input)
}

/// What was `parsed` from `input` up to `rest`, as [`completed`] has it; what is longer than `most` must be complete.
fn completed_within<T>(most: usize, input: &[u8], rest: &Input<'_>, parsed: ModalResult<T>) -> Parsed<T> {
    let parsed = completed(input, rest, parsed)?;
    if parsed.is_none() && input.len() > most { Err(Malformed) } else { Ok(parsed) }
}

/// The status in the first line at the start of `input`, whatever follows it; nothing if more must come.
///
/// # Errors
///
/// If there can be none.
pub fn status(input: &[u8]) -> Result<Option<u16>, Malformed> {
    let mut rest = Input::new(input);
    let read = first_line(&mut rest);
    Ok(completed_within(MAX_HEAD_BYTES, input, &rest, read)?.map(|((_, status), _)| status))
}

fn header(input: &mut Input<'_>) -> ModalResult<(String, String)> {
    let name = take_while(1.., |byte: u8| byte.is_alphanum() || b"!#$%&'*+-.^_`|~".contains(&byte));
    let value = take_till(0.., |byte| byte == b'\r' || byte == b'\n');
    let text = |octets: &[u8]| String::from_utf8_lossy(octets).trim().to_owned();
    (name, b':', space0, value, crlf)
        .map(|(name, _, _, value, _): (&[u8], _, _, &[u8], _)| (text(name), text(value)))
        .parse_next(input)
}

/// The head at the start of `input` and how many bytes it takes; nothing if more must come.
///
/// # Errors
///
/// If there can be none.
///
/// ```
/// use quillhub_server::http::{Framing, head};
///
/// let input = b"HTTP/1.1 200 OK\r\nX-Load: x0=0.4\r\nContent-Length: 2\r\n\r\nhi";
/// let (answer, used) = head(input).unwrap().unwrap();
/// assert_eq!((answer.status, answer.header("x-load"), used), (200, Some("x0=0.4"), input.len() - 2));
/// assert_eq!(answer.framing(), Ok(Framing::Length(2)));
/// assert!(head(&input[..30]).unwrap().is_none());
/// assert!(head(b"SSH-2.0-").is_err());
/// ```
pub fn head(input: &[u8]) -> Parsed<Head> {
    let mut rest = Input::new(input);
    let lines = repeat(0..=MAX_HEADERS, header);
    let read = (first_line, terminated(lines, crlf)).parse_next(&mut rest);
    let read = completed_within(MAX_HEAD_BYTES, input, &rest, read)?;
    Ok(read.map(|(((persistent, status), headers), used)| (Head { status, persistent, headers }, used)))
}

fn parse_chunk<'a>(most: usize, input: &mut Input<'a>) -> ModalResult<&'a [u8]> {
    let extension = take_till(0.., |byte| byte == b'\r' || byte == b'\n');
    let length = (hex_uint, extension, crlf).map(|(length, _, _): (u32, _, _)| length as usize);
    match length.verify(|length| *length <= most).parse_next(input)? {
        0 => {
            let trailer: ModalResult<Vec<_>> =
                terminated(repeat(0..=MAX_HEADERS, header), crlf).parse_next(input);
            trailer.map(|_| &[][..])
        }
        length => terminated(take(length), crlf).parse_next(input),
    }
}

/// The chunk at the start of `input`, empty for the last, and how many bytes it takes; nothing if more must
/// come. It may not be longer than `most`.
///
/// # Errors
///
/// If there can be none.
pub fn chunk(input: &[u8], most: usize) -> Parsed<&[u8]> {
    let mut rest = Input::new(input);
    let read = parse_chunk(most, &mut rest);
    completed_within(most + MAX_CHUNK_LINE_BYTES + MAX_HEAD_BYTES, input, &rest, read)
}

/// A request with a body; header values must hold no line ends.
pub fn request(method: &str, path: &str, host: &str, headers: &[(&str, &[u8])], body: &[u8]) -> Vec<u8> {
    let mut octets = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n").into_bytes();
    for (name, value) in headers {
        octets.extend_from_slice(name.as_bytes());
        octets.extend_from_slice(b": ");
        octets.extend_from_slice(value);
        octets.extend_from_slice(b"\r\n");
    }
    if method != "GET" {
        octets.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    octets.extend_from_slice(b"\r\n");
    octets.extend_from_slice(body);
    octets
}

#[cfg(test)]
#[path = "http_tests.rs"]
mod tests;
