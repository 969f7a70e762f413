//! The JSON values of a stream that may be cut anywhere.
//!
//! Invariant: each byte is looked at once before its value is complete.

use serde_json::Value;

/// Where the JSON values of a stream may end. Against lists of some MiB over many lines, which would be parsed from
/// their start again with each.
#[derive(Default)]
pub(super) struct ValueBoundaries {
    depth: u32,
    in_string: bool,
    escaped: bool,
}

impl ValueBoundaries {
    /// Whether a value, or a line outside of any, ends within `octets`, which follow those looked at before.
    pub(super) fn within(&mut self, octets: &[u8]) -> bool {
        let mut found = false;
        for octet in octets {
            match octet {
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

/// Takes the complete JSON values from the start of `text`, each of which may be written over several lines; empty lines
/// are none.
///
/// # Errors
///
/// If `text` cannot become JSON values, whatever follows it.
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
