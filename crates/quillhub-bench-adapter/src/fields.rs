//! The fields of one line, which single spaces set apart.
//!
//! Invariant: a field is taken once, in the order of the line, and is never empty.

use crate::error::LineError;
use quillhub_settings::Excerpt;
use std::str::FromStr;

/// A field that stands for none.
const NONE: &str = "-";

/// The fields of a line that are not taken yet.
pub struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    pub fn new(line: &'a str) -> Self {
        Self { rest: Some(line) }
    }

    /// The next field; errors call it `name`.
    pub fn text(&mut self, name: &'static str) -> Result<&'a str, LineError> {
        let Some(rest) = self.rest else { return Err(LineError::MissingField { name }) };
        let (field, rest) = rest.split_once(' ').map_or((rest, None), |(field, rest)| (field, Some(rest)));
        self.rest = rest;
        if field.is_empty() { Err(LineError::unexpected(name, field)) } else { Ok(field) }
    }

    /// The next field, or nothing where the line ends or has `-`.
    pub fn optional_text(&mut self, name: &'static str) -> Result<Option<&'a str>, LineError> {
        match self.rest {
            None => Ok(None),
            Some(_) => self.text(name).map(|field| (field != NONE).then_some(field)),
        }
    }

    pub fn number<T: FromStr>(&mut self, name: &'static str) -> Result<T, LineError> {
        parse_number(self.text(name)?, name)
    }

    pub fn optional_number<T: FromStr>(&mut self, name: &'static str) -> Result<Option<T>, LineError> {
        self.optional_text(name)?.map(|field| parse_number(field, name)).transpose()
    }

    /// The next field as a flag, which is not set where there is none.
    pub fn flag(&mut self, name: &'static str) -> Result<bool, LineError> {
        match self.optional_text(name)? {
            Some("1") => Ok(true),
            Some("0") | None => Ok(false),
            Some(other) => Err(LineError::NotAFlag { name, found: Excerpt::new(other) }),
        }
    }

    /// All that is left of the line, as one text.
    pub fn take_rest(&mut self) -> &'a str {
        self.rest.take().unwrap_or_default()
    }

    /// Checks that all fields are taken.
    pub fn end(&self) -> Result<(), LineError> {
        self.rest.map_or(Ok(()), |rest| Err(LineError::unexpected("end of line", rest)))
    }
}

fn parse_number<T: FromStr>(field: &str, name: &'static str) -> Result<T, LineError> {
    field.parse().map_err(|_| LineError::NotANumber { name, found: Excerpt::new(field) })
}
