//! Reload: applies new configurations while the instance runs.
//!
//! Invariant: an invalid configuration changes nothing.

use crate::configuration::{self, ConfigurationError};
use crate::error::ReadError;
use quillhub_settings::Setting;
use serde_json::Value;
use std::convert::Infallible;
use std::fmt::Display;
use std::net::SocketAddr;
use tokio::sync::watch;

/// Changes in a new configuration.
struct Reload {
    /// Address of discovery and the platform.
    discovery: SocketAddr,
    /// Names of the changed top-level settings that take effect only after a restart.
    requiring_restart: Vec<String>,
}

impl Reload {
    /// Reads a new configuration and compares it to the one that the instance was started with.
    fn read(initial: &Value, text: &str) -> Result<Self, ConfigurationError> {
        let value = configuration::parse(text)?;
        let root = Setting::root(&value);
        configuration::check(&root)?;
        Ok(Self {
            discovery: configuration::discovery(&root)?,
            requiring_restart: configuration::settings_requiring_restart(initial, &value),
        })
    }

    /// Publishes the address of discovery and the platform, and logs the changes that require a restart.
    fn apply(self, address: &watch::Sender<SocketAddr>) {
        let discovery = self.discovery;
        let moved = address.send_if_modified(|old| std::mem::replace(old, discovery) != discovery);
        tracing::info!(%discovery, moved, "configuration reloaded");
        if !self.requiring_restart.is_empty() {
            let parts = self.requiring_restart;
            tracing::warn!(?parts, "changed parts of the configuration take effect only after a restart");
        }
    }
}

/// Applies each configuration that `next_configuration` returns. `address` publishes the address of discovery and the
/// platform.
pub async fn apply_configurations(
    initial: &Value,
    address: &watch::Sender<SocketAddr>,
    mut next_configuration: impl AsyncFnMut() -> Result<String, ReadError>,
) -> Infallible {
    loop {
        match next_configuration().await {
            Ok(text) => match Reload::read(initial, &text) {
                Ok(reload) => reload.apply(address),
                Err(error) => log_unusable(&error),
            },
            Err(error) => log_unusable(&error),
        }
    }
}

fn log_unusable(error: &dyn Display) {
    tracing::error!(%error, "new configuration is invalid or unreadable; keeping the current one");
}
