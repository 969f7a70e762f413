//! JSON values with their path in the settings, which error messages include.

use crate::error::{Excerpt, SettingsError};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Value of an absent section: looking up any key in it finds nothing.
static ABSENT_SECTION: Value = Value::Null;

/// JSON value together with its path, such as `classes[0].effect`.
#[derive(Clone, Debug)]
pub struct Setting<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> Setting<'a> {
    /// Wraps the root of a JSON document; its path is empty.
    pub fn root(value: &'a Value) -> Self {
        Self { value, path: String::new() }
    }

    /// Returns the wrapped JSON value.
    pub fn json(&self) -> &'a Value {
        self.value
    }

    /// Returns the value of key `name`, or `None` if it is absent or null.
    pub fn get(&self, name: &str) -> Option<Setting<'a>> {
        let value = self.value.get(name).filter(|value| !value.is_null())?;
        Some(Setting { value, path: self.path_of(name) })
    }

    /// Returns the value of key `name`; if it is absent or null, returns a value in which every key is absent.
    pub fn section(&self, name: &str) -> Setting<'a> {
        self.get(name).unwrap_or_else(|| Setting { value: &ABSENT_SECTION, path: self.path_of(name) })
    }

    fn path_of(&self, name: &str) -> String {
        format!("{}.{name}", self.path).trim_start_matches('.').into()
    }

    /// Returns the value of the required key `name`.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Missing`] if the key is absent or null.
    pub fn require(&self, name: &str) -> Result<Setting<'a>, SettingsError> {
        self.get(name)
            .ok_or_else(|| SettingsError::Missing { parent: self.path.clone(), name: name.to_owned() })
    }

    /// Converts the value of key `name` with `convert`, or returns `None` if it is absent or null.
    ///
    /// # Errors
    ///
    /// Returns the error of `convert`.
    pub fn optional<T>(
        &self,
        name: &str,
        convert: impl FnOnce(&Setting<'a>) -> Result<T, SettingsError>,
    ) -> Result<Option<T>, SettingsError> {
        self.get(name).map(|setting| convert(&setting)).transpose()
    }

    /// Creates the error for this value where a value as described by `expected` is required.
    pub fn unexpected(&self, expected: &'static str) -> SettingsError {
        let found = Excerpt::new(&self.value.to_string());
        SettingsError::Unexpected { path: self.path.clone(), expected, found }
    }

    /// Returns the value as a floating-point number.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Unexpected`] if the value is not a number.
    pub fn as_f64(&self) -> Result<f64, SettingsError> {
        self.value.as_f64().ok_or_else(|| self.unexpected("a number"))
    }

    /// Returns the value as an unsigned integer.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Unexpected`] if the value is not an integer, or is negative or out of range.
    pub fn as_u64(&self) -> Result<u64, SettingsError> {
        self.value.as_u64().ok_or_else(|| self.unexpected("a whole number"))
    }

    /// Returns the value, an integer number of microseconds, as a duration.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Unexpected`] if the value is not an integer, or is negative or out of range.
    pub fn as_duration(&self) -> Result<Duration, SettingsError> {
        self.as_u64().map(Duration::from_micros)
    }

    /// Returns the value as a Boolean.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Unexpected`] if the value is neither `true` nor `false`.
    pub fn as_bool(&self) -> Result<bool, SettingsError> {
        self.value.as_bool().ok_or_else(|| self.unexpected("true or false"))
    }

    /// Returns the value as a string.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Unexpected`] if the value is not a string.
    pub fn as_str(&self) -> Result<&'a str, SettingsError> {
        self.value.as_str().ok_or_else(|| self.unexpected("a string"))
    }

    /// Parses the value, a string such as `127.0.0.1:80`, as a socket address.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Unexpected`] if the value is not a string, or the string is not a socket address.
    pub fn as_address(&self) -> Result<SocketAddr, SettingsError> {
        self.as_str()?.parse().map_err(|_| self.unexpected("an address"))
    }

    /// Returns the elements of the value, a JSON array, with the index of each in its path.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Unexpected`] if the value is not an array.
    pub fn as_list(&self) -> Result<Vec<Setting<'a>>, SettingsError> {
        let values = self.value.as_array().ok_or_else(|| self.unexpected("a list"))?;
        let element = |(index, value)| Setting { value, path: format!("{}[{index}]", self.path) };
        Ok(values.iter().enumerate().map(element).collect())
    }

    /// Returns the elements of the value, a JSON array of strings.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Unexpected`] if the value is not an array, or an element is not a string.
    pub(crate) fn as_str_list(&self) -> Result<Vec<&'a str>, SettingsError> {
        self.as_list()?.iter().map(Setting::as_str).collect()
    }
}
