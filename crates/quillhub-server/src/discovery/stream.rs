//! Parser for a stream of JSON values that arrives in chunks, which may end anywhere.
//!
//! Invariant: each byte is scanned only once before the value that contains it is complete.

use serde_json::Value;

/// Scanner that finds where the JSON values of a stream may end. Prevents lists of several MiB over many lines from
/// being parsed from their start again with each line.
#[derive(Default)]
pub(super) struct ValueBoundaries {
    depth: u32,
    in_string: bool,
    escaped: bool,
}

impl ValueBoundaries {
    /// Scans the next `bytes` of the stream, and returns `true` if an object, an array, or a line outside of both may
    /// end within them.
    pub(super) fn scan(&mut self, bytes: &[u8]) -> bool {
        let mut found = false;
        for byte in bytes {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' => self.in_string = !self.in_string,
                _ if self.in_string => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => {
                    self.depth = self.depth.saturating_sub(1);
                    found |= self.depth == 0;
                }
                b'\n' => found |= self.depth == 0,
                _ => {}
            }
        }
        found
    }
}

/// Removes the complete JSON values from the start of `text` and returns them. A value may span several lines; empty
/// lines are skipped.
///
/// # Errors
///
/// Returns an error if `text` cannot be completed to JSON values, whatever follows it.
pub(super) fn take_values(text: &mut Vec<u8>) -> Result<Vec<Value>, serde_json::Error> {
    let mut found = Vec::new();
    let mut used = 0;
    let mut values = serde_json::Deserializer::from_slice(text).into_iter();
    loop {
        match values.next() {
            Some(Ok(value)) => {
                found.push(value);
                used = values.byte_offset();
            }
            Some(Err(error)) if !error.is_eof() => return Err(error),
            Some(Err(_)) => break,
            None => {
                used = text.len();
                break;
            }
        }
    }
    text.drain(..used);
    Ok(found)
}

#[cfg(test)]
#[path = "stream_tests.rs"]
mod tests;
