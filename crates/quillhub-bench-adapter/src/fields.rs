//! Parser for the fields of an input line, which are separated by single spaces.
//!
//! Invariant: each field is read once, in the order of the line, and empty fields are invalid.

use crate::error::LineError;
use quillhub_settings::Excerpt;
use std::str::FromStr;

/// Field that marks an optional value as absent.
const ABSENT_FIELD: &str = "-";

/// Fields of a line that have not been read yet.
pub struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    pub fn new(line: &'a str) -> Self {
        Self { rest: Some(line) }
    }

    /// Reads the next field; `name` identifies it in errors.
    pub fn text(&mut self, name: &'static str) -> Result<&'a str, LineError> {
        let Some(rest) = self.rest else { return Err(LineError::MissingField { name }) };
        let (field, rest) = rest.split_once(' ').map_or((rest, None), |(field, rest)| (field, Some(rest)));
        self.rest = rest;
        if field.is_empty() { Err(LineError::unexpected(name, field)) } else { Ok(field) }
    }

    /// Reads the next field; returns `None` if it is `-` or the line has ended.
    pub fn optional_text(&mut self, name: &'static str) -> Result<Option<&'a str>, LineError> {
        match self.rest {
            None => Ok(None),
            Some(_) => self.text(name).map(|field| (field != ABSENT_FIELD).then_some(field)),
        }
    }

    /// Reads the next field as a number; `name` identifies it in errors.
    pub fn number<T: FromStr>(&mut self, name: &'static str) -> Result<T, LineError> {
        parse_number(self.text(name)?, name)
    }

    /// Reads the next field as a number; returns `None` if it is `-` or the line has ended.
    pub fn optional_number<T: FromStr>(&mut self, name: &'static str) -> Result<Option<T>, LineError> {
        self.optional_text(name)?.map(|field| parse_number(field, name)).transpose()
    }

    /// Reads the next field as a flag, `0` or `1`; returns `false` if it is `-` or the line has ended.
    pub fn flag(&mut self, name: &'static str) -> Result<bool, LineError> {
        match self.optional_text(name)? {
            Some("1") => Ok(true),
            Some("0") | None => Ok(false),
            Some(other) => Err(LineError::NotAFlag { name, found: Excerpt::new(other) }),
        }
    }

    /// Returns the rest of the line with its spaces, which is empty if the line has ended.
    pub fn take_rest(&mut self) -> &'a str {
        self.rest.take().unwrap_or_default()
    }

    /// Returns an error if the line has further fields.
    pub fn end(&self) -> Result<(), LineError> {
        self.rest.map_or(Ok(()), |rest| Err(LineError::unexpected("end of line", rest)))
    }
}

fn parse_number<T: FromStr>(field: &str, name: &'static str) -> Result<T, LineError> {
    field.parse().map_err(|_| LineError::NotANumber { name, found: Excerpt::new(field) })
}
