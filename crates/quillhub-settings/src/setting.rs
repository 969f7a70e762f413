//! A JSON value that knows its path, so that each error can name it.

use crate::error::{Excerpt, SettingsError};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

static ABSENT: Value = Value::Null;

/// A JSON value of the settings with the path it stands at.
#[derive(Clone, Debug)]
pub struct Setting<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> Setting<'a> {
    /// The outermost value, with an empty path.
    pub fn root(value: &'a Value) -> Self {
        Self { value, path: String::new() }
    }

    /// The JSON value itself.
    pub fn json(&self) -> &'a Value {
        self.value
    }

    /// The value under `name`; nothing if it is absent or null.
    pub fn get(&self, name: &str) -> Option<Setting<'a>> {
        let value = self.value.get(name).filter(|value| !value.is_null())?;
        Some(Setting { value, path: self.path_of(name) })
    }

    /// The value under `name`; where it is absent, one in which everything is absent.
    pub fn section(&self, name: &str) -> Setting<'a> {
        self.get(name).unwrap_or_else(|| Setting { value: &ABSENT, path: self.path_of(name) })
    }

    fn path_of(&self, name: &str) -> String {
        format!("{}.{name}", self.path).trim_start_matches('.').into()
    }

    /// The value under `name`.
    ///
    /// # Errors
    ///
    /// If it is absent or null.
    pub fn require(&self, name: &str) -> Result<Setting<'a>, SettingsError> {
        self.get(name)
            .ok_or_else(|| SettingsError::Missing { parent: self.path.clone(), name: name.to_owned() })
    }

    /// What `read` makes of the value under `name`; nothing if it is absent or null.
    ///
    /// # Errors
    ///
    /// Those of `read`.
    pub fn optional<T>(
        &self,
        name: &str,
        read: impl FnOnce(&Setting<'a>) -> Result<T, SettingsError>,
    ) -> Result<Option<T>, SettingsError> {
        self.get(name).map(|setting| read(&setting)).transpose()
    }

    /// The error that says that this value is not what was `expected`.
    pub fn unexpected(&self, expected: &'static str) -> SettingsError {
        let found = Excerpt::new(&self.value.to_string());
        SettingsError::Unexpected { path: self.path.clone(), expected, found }
    }

    /// The value as a number.
    ///
    /// # Errors
    ///
    /// If it is none.
    pub fn as_f64(&self) -> Result<f64, SettingsError> {
        self.value.as_f64().ok_or_else(|| self.unexpected("a number"))
    }

    /// The value as a whole number from 0 on.
    ///
    /// # Errors
    ///
    /// If it is none.
    pub fn as_u64(&self) -> Result<u64, SettingsError> {
        self.value.as_u64().ok_or_else(|| self.unexpected("a whole number"))
    }

    /// The value, a number of microseconds, as a duration.
    ///
    /// # Errors
    ///
    /// If it is no whole number.
    pub fn as_duration(&self) -> Result<Duration, SettingsError> {
        self.as_u64().map(Duration::from_micros)
    }

    /// The value as a truth value.
    ///
    /// # Errors
    ///
    /// If it is neither true nor false.
    pub fn as_bool(&self) -> Result<bool, SettingsError> {
        self.value.as_bool().ok_or_else(|| self.unexpected("true or false"))
    }

    /// The value as a text.
    ///
    /// # Errors
    ///
    /// If it is none.
    pub fn as_str(&self) -> Result<&'a str, SettingsError> {
        self.value.as_str().ok_or_else(|| self.unexpected("a text"))
    }

    /// The value as a socket address.
    ///
    /// # Errors
    ///
    /// If it is no text, or that is no address.
    pub fn as_address(&self) -> Result<SocketAddr, SettingsError> {
        self.as_str()?.parse().map_err(|_| self.unexpected("an address"))
    }

    /// The values of a list.
    ///
    /// # Errors
    ///
    /// If the value is none.
    pub fn as_list(&self) -> Result<Vec<Setting<'a>>, SettingsError> {
        let values = self.value.as_array().ok_or_else(|| self.unexpected("a list"))?;
        let element = |(index, value)| Setting { value, path: format!("{}[{index}]", self.path) };
        Ok(values.iter().enumerate().map(element).collect())
    }

    /// The values of a list of texts.
    ///
    /// # Errors
    ///
    /// If the value is no list, or one of it no text.
    pub fn as_str_list(&self) -> Result<Vec<&'a str>, SettingsError> {
        self.as_list()?.iter().map(Setting::as_str).collect()
    }
}
