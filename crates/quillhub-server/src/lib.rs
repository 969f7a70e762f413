//! Network server of a quillhub gateway instance, usable as a program and as a library.
//!
//! [`serve`] runs one instance on the current thread, in a [`tokio::task::LocalSet`] of its own. The dispatcher in the
//! crate `quillhub` makes all decisions; this crate reports events to it and executes the decisions.

mod attempts;
mod clients;
pub mod command;
mod configuration;
pub mod connection;
mod discovery;
mod error;
mod gossip;
pub mod http;
mod incremental;
mod instance;
mod outcomes;
mod pool;
mod reload;
pub mod resp;
mod shutdown;
mod startup;
#[cfg(test)]
mod test_support;
mod wal;

pub use configuration::ConfigurationError;
pub use discovery::MAX_LIST_BYTES;
pub use error::{ReadError, ServeError};

use quillhub_settings::Setting;
use std::future::Future;
use std::path::Path;
use tokio::sync::watch;
use tokio::task::LocalSet;

/// Runs an instance with the configuration in `text` until `stop` completes, and then shuts it down.
///
/// The shutdown ends when all messages are finished or when its deadlines have passed. Messages that are unfinished
/// then remain in `state_directory` for the next process.
///
/// `next_configuration` is called repeatedly. It waits for a new configuration and returns its text. Only the address
/// of discovery and the platform can change while the instance runs.
///
/// # Errors
///
/// Returns an error if the instance cannot start.
pub async fn serve(
    text: &str,
    state_directory: &Path,
    stop: impl Future<Output = ()>,
    next_configuration: impl AsyncFnMut() -> Result<String, ReadError>,
) -> Result<(), ServeError> {
    let value = configuration::parse(text)?;
    let root = Setting::root(&value);
    let (address, discovery) = watch::channel(configuration::discovery(&root)?);
    LocalSet::new()
        .run_until(async {
            tokio::select! {
                result = startup::run(&root, state_directory, discovery, stop) => result,
                never = reload::follow(&value, &address, next_configuration) => match never {},
            }
        })
        .await
}

/// Checks a configuration as [`serve`] does, without starting an instance.
///
/// # Errors
///
/// Returns the first error in the configuration; its text is a single line.
pub fn check(text: &str) -> Result<(), ConfigurationError> {
    configuration::check(&Setting::root(&configuration::parse(text)?))
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
