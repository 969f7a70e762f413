//! What both parsers share: input that may go on, and what comes of reading it.

use winnow::ModalResult;
use winnow::error::ErrMode;
use winnow::stream::{Partial, Stream};

pub(crate) type Input<'a> = Partial<&'a [u8]>;

/// What came cannot become what is read, whatever follows.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed;

/// What was `read` from `input` up to `rest`, and how many bytes it takes; nothing while more must come.
pub(crate) fn whole<T>(
    input: &[u8],
    rest: &Input<'_>,
    read: ModalResult<T>,
) -> Result<Option<(T, usize)>, Malformed> {
    match read {
        Ok(value) => Ok(Some((value, input.len() - rest.eof_offset()))),
        Err(ErrMode::Incomplete(_)) => Ok(None),
        Err(_) => Err(Malformed),
    }
}
