//! Types that the HTTP and the RESP parser share: partial input, and the result of parsing it.
//!
//! Invariant: input is never refused merely because it is incomplete.

use thiserror::Error;
use winnow::ModalResult;
use winnow::error::ErrMode;
use winnow::stream::{Partial, Stream};

/// Input of a parser, of which more may follow.
pub(crate) type Input<'a> = Partial<&'a [u8]>;

/// Result of parsing a value at the start of some input: the value and its length in bytes, or `None` if the input is
/// incomplete.
pub type Parsed<T> = Result<Option<(T, usize)>, Malformed>;

/// Error for input that is invalid, whatever follows it.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the input is malformed")]
pub struct Malformed;

/// Converts the result of a parser that started at `input` and stopped at `rest`.
pub(crate) fn parse_result<T>(input: &[u8], rest: &Input<'_>, parsed: ModalResult<T>) -> Parsed<T> {
    match parsed {
        Ok(value) => Ok(Some((value, input.len() - rest.eof_offset()))),
        Err(ErrMode::Incomplete(_)) => Ok(None),
        Err(_) => Err(Malformed),
    }
}
