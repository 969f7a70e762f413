//! One session on the bench's wire: batches of lines, each answered with one reply.
//!
//! Invariant: a reply is written only once all of its batch was understood.

use crate::adapter::Adapter;
use crate::error::{LineError, SessionError};
use crate::fields::Fields;
use std::io::{BufRead, Write};

/// Answers batch after batch until the input ends between two of them.
pub fn serve(mut input: impl BufRead, output: impl Write) -> Result<(), SessionError> {
    let mut session = Session::new(output);
    let mut octets = Vec::new();
    for line in 1u64.. {
        let handled = read_line(&mut input, &mut octets).and_then(|text| match text {
            Some(text) => session.handle_line(text).map(|()| false),
            None => session.end().map(|()| true),
        });
        if handled.map_err(|source| SessionError { line, source })? {
            break;
        }
    }
    Ok(())
}

/// The next line without its end, kept in `octets`; nothing at the end of the input.
fn read_line<'a>(input: &mut impl BufRead, octets: &'a mut Vec<u8>) -> Result<Option<&'a str>, LineError> {
    octets.clear();
    if input.read_until(b'\n', octets).map_err(LineError::Read)? == 0 {
        return Ok(None);
    }
    let line = std::str::from_utf8(octets)
        .map_err(|_| LineError::unexpected("UTF-8 text", &String::from_utf8_lossy(octets)))?;
    line.strip_suffix('\n')
        .map(Some)
        .ok_or_else(|| LineError::unexpected("a line ending with a newline", line))
}

struct Session<W> {
    adapter: Adapter,
    /// The number of the batch that has begun.
    batch: Option<u64>,
    reply: String,
    output: W,
}

impl<W: Write> Session<W> {
    fn new(output: W) -> Self {
        Self { adapter: Adapter::default(), batch: None, reply: String::new(), output }
    }

    fn handle_line(&mut self, line: &str) -> Result<(), LineError> {
        match self.batch {
            None => self.start_batch(line),
            Some(number) if line == "YOUR_TURN" && self.adapter.has_complete_lists() => {
                self.write_reply(number)
            }
            Some(_) => self.adapter.handle_line(line, &mut self.reply),
        }
    }

    fn start_batch(&mut self, line: &str) -> Result<(), LineError> {
        let mut fields = Fields::new(line);
        if fields.text("TICK")? != "TICK" {
            return Err(LineError::unexpected("TICK", line));
        }
        self.adapter.set_clock(fields.number("the clock")?);
        self.batch = Some(fields.number("the batch number")?);
        fields.end()
    }

    fn write_reply(&mut self, number: u64) -> Result<(), LineError> {
        let written = writeln!(self.output, "{}EOR {number}", self.reply);
        written.and_then(|()| self.output.flush()).map_err(LineError::Write)?;
        self.reply.clear();
        self.batch = None;
        Ok(())
    }

    /// Checks that no batch has begun.
    fn end(&self) -> Result<(), LineError> {
        self.batch.map_or(Ok(()), |_| Err(LineError::InputEnd))
    }
}

#[cfg(test)]
#[path = "session_tests.rs"]
mod tests;
