//! Session with the bench's simulator: batches of input lines, each answered with one reply.
//!
//! Invariant: a reply is written only after all lines of its batch were handled without an error.

use crate::adapter::Adapter;
use crate::error::{LineError, SessionError};
use crate::fields::Fields;
use std::io::{BufRead, Write};

/// Answers batches until the input ends; an end within a batch is an error.
pub fn serve(mut input: impl BufRead, output: impl Write) -> Result<(), SessionError> {
    let mut session = Session::new(output);
    let mut buffer = Vec::new();
    for line in 1u64.. {
        let handled = read_line(&mut input, &mut buffer).and_then(|text| match text {
            Some(text) => session.handle_line(text).map(|()| false),
            None => session.check_batch_ended().map(|()| true),
        });
        if handled.map_err(|source| SessionError { line, source })? {
            break;
        }
    }
    Ok(())
}

/// Reads the next line into `buffer` and returns it without its newline, or returns `None` at the end of the input.
fn read_line<'a>(input: &mut impl BufRead, buffer: &'a mut Vec<u8>) -> Result<Option<&'a str>, LineError> {
    buffer.clear();
    if input.read_until(b'\n', buffer).map_err(LineError::Read)? == 0 {
        return Ok(None);
    }
    let line = std::str::from_utf8(buffer)
        .map_err(|_| LineError::unexpected("UTF-8 text", &String::from_utf8_lossy(buffer)))?;
    line.strip_suffix('\n')
        .map(Some)
        .ok_or_else(|| LineError::unexpected("a line ending with a newline", line))
}

/// State of a session: the instances, the batch being read and its reply.
struct Session<W> {
    adapter: Adapter,
    /// Number of the batch being read; `None` between batches.
    current_batch: Option<u64>,
    /// Action lines of the reply to the current batch.
    reply: String,
    output: W,
}

impl<W: Write> Session<W> {
    fn new(output: W) -> Self {
        Self { adapter: Adapter::default(), current_batch: None, reply: String::new(), output }
    }

    fn handle_line(&mut self, line: &str) -> Result<(), LineError> {
        match self.current_batch {
            None => self.start_batch(line),
            Some(batch) if line == "YOUR_TURN" && self.adapter.has_complete_lists() => {
                self.write_reply(batch)
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
        self.current_batch = Some(fields.number("the batch number")?);
        fields.end()
    }

    fn write_reply(&mut self, batch: u64) -> Result<(), LineError> {
        let written = writeln!(self.output, "{}EOR {batch}", self.reply);
        written.and_then(|()| self.output.flush()).map_err(LineError::Write)?;
        self.reply.clear();
        self.current_batch = None;
        Ok(())
    }

    /// Returns an error if the input ends within a batch.
    fn check_batch_ended(&self) -> Result<(), LineError> {
        self.current_batch.map_or(Ok(()), |_| Err(LineError::InputEnd))
    }
}

#[cfg(test)]
#[path = "session_tests.rs"]
mod tests;
