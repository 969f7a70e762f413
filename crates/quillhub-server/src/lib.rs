//! A gateway instance on sockets, to run as a program or to embed.
//!
//! [`serve`] runs one instance on the current thread, inside a [`tokio::task::LocalSet`] of its own. The decisions are
//! the dispatcher's, in the crate `quillhub`; this crate brings it the events and carries out what it decides.

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

/// Runs an instance with the configuration in `text`, its state directory at `state`, until `stop` is done and its
/// messages are finished or left to the next process. `next` waits for a new configuration and gives its text; it is
/// called again and again. What can change while the instance runs is where discovery and the platform are.
///
/// # Errors
///
/// If the instance cannot start.
pub async fn serve(
    text: &str,
    state: &Path,
    stop: impl Future<Output = ()>,
    next: impl AsyncFnMut() -> Result<String, ReadError>,
) -> Result<(), ServeError> {
    let value = configuration::parse(text)?;
    let root = Setting::root(&value);
    let (address, discovery) = watch::channel(configuration::discovery(&root)?);
    LocalSet::new()
        .run_until(async {
            tokio::select! {
                ended = startup::run(&root, state, discovery, stop) => ended,
                never = reload::follow(&value, &address, next) => match never {},
            }
        })
        .await
}

/// Reads all of a configuration, as [`serve`] does, and does nothing with it.
///
/// # Errors
///
/// What is wrong with it, in one line.
pub fn check(text: &str) -> Result<(), ConfigurationError> {
    configuration::check(&Setting::root(&configuration::parse(text)?))
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
