//! Reload: takes up new configurations while the instance runs.
//!
//! Invariant: a configuration that cannot be used changes nothing.

use crate::configuration::{self, ConfigurationError};
use crate::error::ReadError;
use quillhub_settings::Setting;
use serde_json::Value;
use std::convert::Infallible;
use std::fmt::Display;
use std::net::SocketAddr;
use tokio::sync::watch;

/// What a new configuration changes.
struct Reload {
    /// Where discovery and the platform are.
    discovery: SocketAddr,
    /// The parts that differ and are only heeded at the next start.
    at_next_start: Vec<String>,
}

impl Reload {
    fn read(started_with: &Value, text: &str) -> Result<Self, ConfigurationError> {
        let value = configuration::parse(text)?;
        let root = Setting::root(&value);
        configuration::check(&root)?;
        Ok(Self {
            discovery: configuration::discovery(&root)?,
            at_next_start: configuration::differing(started_with, &value),
        })
    }

    /// Notifies whoever calls discovery or the platform of their address, and logs what waits for the next start.
    fn apply(self, address: &watch::Sender<SocketAddr>) {
        let discovery = self.discovery;
        let moved = address.send_if_modified(|old| std::mem::replace(old, discovery) != discovery);
        tracing::info!(%discovery, moved, "configuration reloaded");
        if !self.at_next_start.is_empty() {
            let parts = self.at_next_start;
            tracing::warn!(?parts, "changed parts of the configuration wait for the next start");
        }
    }
}

/// Takes up new configurations as they come; `address` is where discovery and the platform are.
pub async fn follow(
    started_with: &Value,
    address: &watch::Sender<SocketAddr>,
    mut next: impl AsyncFnMut() -> Result<String, ReadError>,
) -> Infallible {
    loop {
        match next().await {
            Ok(text) => match Reload::read(started_with, &text) {
                Ok(reload) => reload.apply(address),
                Err(error) => log_unusable(&error),
            },
            Err(error) => log_unusable(&error),
        }
    }
}

fn log_unusable(error: &dyn Display) {
    tracing::error!(%error, "new configuration cannot be used, the old one stays");
}
