//! What the HTTP and the RESP parser share: input that may go on, and what comes of parsing it.
//!
//! Invariant: input that lacks its end is never refused for that alone.

use thiserror::Error;
use winnow::ModalResult;
use winnow::error::ErrMode;
use winnow::stream::{Partial, Stream};

pub(crate) type Input<'a> = Partial<&'a [u8]>;

/// A value at the start of some input and how many bytes it takes; nothing if more input must come.
pub type Parsed<T> = Result<Option<(T, usize)>, Malformed>;

/// The input cannot become what is parsed, whatever follows.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("what came cannot be read")]
pub struct Malformed;

/// What was `parsed` from `input` up to `rest`.
pub(crate) fn completed<T>(input: &[u8], rest: &Input<'_>, parsed: ModalResult<T>) -> Parsed<T> {
    match parsed {
        Ok(value) => Ok(Some((value, input.len() - rest.eof_offset()))),
        Err(ErrMode::Incomplete(_)) => Ok(None),
        Err(_) => Err(Malformed),
    }
}
