//! Errors for invalid settings. Each message is one line with the path, the expected value and the value found.

use std::fmt;
use thiserror::Error;

/// Maximum length of an [`Excerpt`], in characters, without the `..` that marks a truncated text.
const MAX_EXCERPT_CHARS: usize = 60;

/// Beginning of an invalid text, quoted in error messages to bound their length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Excerpt(String);

impl Excerpt {
    /// Quotes the beginning of `text`, and appends `..` if the rest was cut off.
    pub fn new(text: &str) -> Self {
        let mut excerpt: String = text.chars().take(MAX_EXCERPT_CHARS).collect();
        if excerpt.len() < text.len() {
            excerpt.push_str("..");
        }
        Self(excerpt)
    }
}

impl fmt::Display for Excerpt {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Error for settings that a dispatcher cannot be configured with.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The settings are not valid JSON.
    #[error("expected settings as a JSON object, found '{found}'")]
    NotJson {
        /// Beginning of the settings text.
        found: Excerpt,
        /// Syntax error that the JSON parser reported.
        source: serde_json::Error,
    },
    /// The settings are valid JSON but not an object.
    #[error("expected settings as a JSON object, found '{found}'")]
    NotAnObject {
        /// Beginning of the value found instead of an object.
        found: Excerpt,
    },
    /// A required setting is absent or null.
    #[error("expected settings with {parent}.{name}, found none")]
    Missing {
        /// Path of the object in which the setting is missing; empty for the root.
        parent: String,
        /// Key of the missing setting.
        name: String,
    },
    /// The value of a setting has the wrong type or is out of range.
    #[error("expected {expected} as setting {path}, found '{found}'")]
    Unexpected {
        /// Path of the setting, such as `classes[0].effect`.
        path: String,
        /// Description of the valid values.
        expected: &'static str,
        /// Beginning of the invalid value, as JSON.
        found: Excerpt,
    },
}
