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
mod event_loop;
mod gossip;
pub mod http;
mod incremental;
mod instance;
mod outcomes;
mod pool;
mod progress;
mod reload;
pub mod resp;
mod shutdown;
mod startup;
mod startup_retry;
mod stream_io;
#[cfg(test)]
mod test_support;
mod wal;
mod wall_clock;

pub use configuration::ConfigurationError;
pub use discovery::MAX_LIST_BYTES;
pub use error::{ReadError, ServeError};

use quillhub_settings::Setting;
use std::future::Future;
use std::path::Path;
use tokio::sync::watch;
use tokio::task::LocalSet;

/// Runs an instance with `configuration`, a JSON text, until `stop` completes, and then shuts it down.
///
/// The shutdown ends when all messages are finished or when its deadlines have passed. Messages still unfinished at
/// that time remain in `state_directory` for the next process.
///
/// `next_configuration` is called repeatedly. It waits for a new configuration and returns its text. Only a change of
/// the address of discovery and the platform takes effect while the instance runs; changes of other settings are
/// logged, except of `known`.
///
/// # Errors
///
/// Returns an error if the instance cannot start.
pub async fn serve(
    configuration: &str,
    state_directory: &Path,
    stop: impl Future<Output = ()>,
    next_configuration: impl AsyncFnMut() -> Result<String, ReadError>,
) -> Result<(), ServeError> {
    let value = configuration::parse(configuration)?;
    let root = Setting::root(&value);
    let (address, discovery) = watch::channel(configuration::discovery(&root)?);
    LocalSet::new()
        .run_until(async {
            tokio::select! {
                result = startup::run(&root, state_directory, discovery, stop) => result,
                never = reload::apply_configurations(&value, &address, next_configuration) => match never {},
            }
        })
        .await
}

/// Checks a configuration as [`serve`] does, without starting an instance.
///
/// # Errors
///
/// Returns the first error in the configuration; its text is a single line.
pub fn check(configuration: &str) -> Result<(), ConfigurationError> {
    configuration::check(&Setting::root(&configuration::parse(configuration)?))
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
