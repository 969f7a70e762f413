//! Reload: takes up new configurations while the instance runs.
//!
//! Invariant: a configuration that cannot be used changes nothing.

use crate::configuration;
use quillhub_settings::At;
use serde_json::Value;
use std::convert::Infallible;
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
    fn read(started_with: &Value, text: &str) -> Result<Self, String> {
        let value = configuration::parse(text)?;
        let top = At::top(&value);
        configuration::check(&top)?;
        Ok(Self {
            discovery: configuration::discovery(&top)?,
            at_next_start: configuration::differing(started_with, &value),
        })
    }
}

/// Takes up new configurations as they come; `address` is where discovery and the platform are.
pub async fn follow(
    started_with: &Value,
    address: &watch::Sender<SocketAddr>,
    mut next: impl AsyncFnMut() -> Result<String, String>,
) -> Infallible {
    loop {
        match next().await.and_then(|text| Reload::read(started_with, &text)) {
            Ok(Reload { discovery, at_next_start }) => {
                let moved = address.send_if_modified(|old| std::mem::replace(old, discovery) != discovery);
                tracing::info!(%discovery, moved, "configuration reloaded");
                if !at_next_start.is_empty() {
                    tracing::warn!(parts = ?at_next_start, "changed parts of the configuration wait for the next start");
                }
            }
            Err(error) => tracing::error!(error, "new configuration cannot be used, the old one stays"),
        }
    }
}
