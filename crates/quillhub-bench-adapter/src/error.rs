//! Errors that end a session. Each message is one line, in most cases with the expected and the found input.

use quillhub_settings::{Excerpt, SettingsError};
use std::io;
use thiserror::Error;

/// Error for a malformed input line, or for a failure to read input or write a reply.
#[derive(Debug, Error)]
pub enum LineError {
    #[error("expected {expected}, found '{found}'")]
    Unexpected { expected: &'static str, found: Excerpt },
    #[error("expected {name}, found end of line")]
    MissingField { name: &'static str },
    #[error("expected a number as {name}, found '{found}'")]
    NotANumber { name: &'static str, found: Excerpt },
    #[error("expected 0 or 1 as {name}, found '{found}'")]
    NotAFlag { name: &'static str, found: Excerpt },
    #[error("expected {count} more ENTRY of list {list}, found '{found}'")]
    MissingEntries { count: usize, list: u64, found: Excerpt },
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("expected YOUR_TURN, found end of input")]
    InputEnd,
    #[error("input cannot be read: {0}")]
    Read(#[source] io::Error),
    #[error("reply cannot be written: {0}")]
    Write(#[source] io::Error),
}

impl LineError {
    pub fn unexpected(expected: &'static str, found: &str) -> Self {
        Self::Unexpected { expected, found: Excerpt::new(found) }
    }
}

/// Error that ended a session, with the number of the input line, counted from 1.
#[derive(Debug, Error)]
#[error("line {line}: {source}")]
pub struct SessionError {
    pub line: u64,
    pub source: LineError,
}
