//! Reads the settings that an instance is started with into its dispatcher; shared by the server, the bench adapter
//! and the scale tests.
//!
//! Invariant: settings are read in a fixed order, so that the same settings are always refused with the same error.

mod dispatcher;
mod error;
mod setting;

pub use dispatcher::{ReportColumns, read, read_text};
pub use error::{Excerpt, SettingsError};
pub use setting::Setting;
