//! Parses the JSON settings of a gateway instance and configures its dispatcher, for the server, the bench adapter and
//! the scale tests.
//!
//! Invariant: settings are read in a fixed order, so that the same invalid settings always produce the same error.

mod dispatcher;
mod error;
mod setting;

pub use dispatcher::{ReportPositions, dispatcher_from_json, dispatcher_from_text};
pub use error::{Excerpt, SettingsError};
pub use setting::Setting;
