//! Why a session ends early, in one line: what was expected, and what was found instead.

use quillhub_settings::{Excerpt, SettingsError};
use std::io;
use thiserror::Error;

/// What is wrong with a line of input, or with reading or answering it.
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

/// Why a session ended early, with the number of the line, from 1 on.
#[derive(Debug, Error)]
#[error("line {line}: {source}")]
pub struct SessionError {
    pub line: u64,
    pub source: LineError,
}
