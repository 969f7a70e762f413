//! Errors of settings, each in one line: what was expected, where, and what was found instead.

use std::fmt;
use thiserror::Error;

/// The longest excerpt of what was found, in characters.
const MAX_EXCERPT_CHARS: usize = 60;

/// The start of a text that was found, for an error message of bounded length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Excerpt(String);

impl Excerpt {
    /// The start of `text`, marked where it was cut.
    pub fn new(text: &str) -> Self {
        let mut start: String = text.chars().take(MAX_EXCERPT_CHARS).collect();
        if start.len() < text.len() {
            start.push_str("..");
        }
        Self(start)
    }
}

impl fmt::Display for Excerpt {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The settings are no JSON text.
    #[error("expected settings as a JSON object, found '{found}'")]
    NotJson {
        /// The text that stands there.
        found: Excerpt,
        /// Where it is no JSON.
        source: serde_json::Error,
    },
    /// The settings are JSON, but no object.
    #[error("expected settings as a JSON object, found '{found}'")]
    NotAnObject {
        /// The value that stands there.
        found: Excerpt,
    },
    /// A setting that is required is absent or null.
    #[error("expected settings with {parent}.{name}, found none")]
    Missing {
        /// The path of the object that lacks it; empty for the outermost.
        parent: String,
        /// Its name in there.
        name: String,
    },
    /// A setting has a value that it cannot have.
    #[error("expected {expected} as settings' {path}, found '{found}'")]
    Unexpected {
        /// Where it stands.
        path: String,
        /// What it can be.
        expected: &'static str,
        /// The value that stands there.
        found: Excerpt,
    },
}
