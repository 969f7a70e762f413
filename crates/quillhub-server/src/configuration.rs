//! Reading of the configuration, with one function for the settings of each component.
//!
//! Invariant: [`check`] reads every setting that startup reads, so that startup never refuses a configuration that
//! passed the check.

use quillhub::Dispatcher;
use quillhub_settings::{Setting, SettingsError};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

const BYTES_PER_MIB: f64 = 1024.0 * 1024.0;
/// Default maximum size of the state directory.
const DEFAULT_STATE_MIB: f64 = 64.0;
/// Default number of file descriptors that the instance may use; the usual soft limit.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// Top-level settings that may change while the instance runs: `discovery` takes effect at once, and `known` matters
/// only at startup.
const CHANGEABLE_SETTINGS: [&str; 2] = ["discovery", "known"];

/// Error in a configuration.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// The text is not valid JSON.
    #[error("the configuration is not valid JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A setting is missing or has an invalid value.
    #[error(transparent)]
    Setting(#[from] SettingsError),
}

/// Dispatcher with all its settings applied.
pub struct ConfiguredDispatcher {
    pub dispatcher: Dispatcher,
    /// `true` if the settings declare that responses contain load reports.
    pub load_reports: bool,
}

/// Addresses for gossip between instances.
pub struct GossipAddresses {
    /// Address on which this instance receives gossip.
    pub listen: SocketAddr,
    /// Address that reaches all instances.
    pub all: SocketAddr,
    /// Address of this instance, if it is known.
    pub own: Option<SocketAddr>,
}

/// Limits on resources of the machine.
pub struct ResourceLimits {
    /// Maximum size of the state directory in bytes.
    pub state_bytes: u64,
    /// Number of file descriptors that the process may use.
    pub descriptors: usize,
}

/// Timeouts of connections to endpoints. `Duration::MAX` stands for a timeout that is not configured.
pub struct ConnectionTimeouts {
    /// Maximum time for opening a connection.
    pub connect: Duration,
    /// Time after which endpoints close an idle connection.
    pub idle: Duration,
}

/// Parses the JSON text of a configuration.
pub fn parse(text: &str) -> Result<Value, ConfigurationError> {
    Ok(serde_json::from_str(text)?)
}

/// Creates the dispatcher from the settings `seed` and `settings`.
pub fn dispatcher(root: &Setting) -> Result<ConfiguredDispatcher, ConfigurationError> {
    let setting = root.require("seed")?;
    let seed =
        u64::from_str_radix(setting.as_str()?, 16).map_err(|_| setting.unexpected("a hexadecimal number"))?;
    let (mut dispatcher, positions) =
        quillhub_settings::dispatcher_from_json(seed, root.require("settings")?.json())?;
    dispatcher.disable_batching(); // HTTP carries one message in each request
    dispatcher.attribute_by_order();
    dispatcher.reserve_outcome_time();
    let load_reports = positions.remaining_share.is_some() && positions.rate_limit.is_some();
    Ok(ConfiguredDispatcher { dispatcher, load_reports })
}

/// Returns the address on which clients connect.
pub fn listen(root: &Setting) -> Result<SocketAddr, ConfigurationError> {
    Ok(root.require("listen")?.as_address()?)
}

/// Returns the address of discovery and the platform.
pub fn discovery(root: &Setting) -> Result<SocketAddr, ConfigurationError> {
    Ok(root.require("discovery")?.as_address()?)
}

/// Returns the addresses for gossip, or `None` if they are not configured or the settings do not allow gossip.
pub fn gossip(root: &Setting) -> Result<Option<GossipAddresses>, ConfigurationError> {
    let settings = root.require("settings")?;
    let (Some(listen), Some(all)) = (root.get("peer_listen"), root.get("peers_all")) else {
        return Ok(None);
    };
    if !settings.section("limits").optional("peerMessages", Setting::as_bool)?.unwrap_or(false) {
        return Ok(None);
    }
    let index = settings.optional("me", Setting::as_u64)?;
    let peers = root.optional("peers", Setting::as_list)?.unwrap_or_default();
    let own = index.and_then(|index| peers.get(index as usize)).map(Setting::as_address).transpose()?;
    Ok(Some(GossipAddresses { listen: listen.as_address()?, all: all.as_address()?, own }))
}

/// Returns the configured or default limits on the state directory and on file descriptors. The setting `disk_mb`
/// counts MiB.
pub fn resource_limits(root: &Setting) -> Result<ResourceLimits, ConfigurationError> {
    let limits = root.section("limits");
    let mebibytes = limits.optional("disk_mb", Setting::as_f64)?.unwrap_or(DEFAULT_STATE_MIB);
    let descriptors = limits.optional("sockets", Setting::as_u64)?.unwrap_or(DEFAULT_DESCRIPTORS);
    Ok(ResourceLimits { state_bytes: (mebibytes * BYTES_PER_MIB) as u64, descriptors: descriptors as usize })
}

/// Returns the timeouts of connections to endpoints.
pub fn connection_timeouts(root: &Setting) -> Result<ConnectionTimeouts, ConfigurationError> {
    let limits = root.require("settings")?.section("limits");
    Ok(ConnectionTimeouts {
        connect: limits.optional("connectTimeoutUs", Setting::as_duration)?.unwrap_or(Duration::MAX),
        idle: limits.optional("idleCloseUs", Setting::as_duration)?.unwrap_or(Duration::MAX),
    })
}

/// Returns `true` if the dispatcher decides when discovery is polled (`membershipMode` is `subscribe`).
pub fn must_be_polled(root: &Setting) -> Result<bool, ConfigurationError> {
    let mode = root.require("settings")?.optional("membershipMode", Setting::as_str)?;
    Ok(mode == Some("subscribe"))
}

/// Returns the names of the top-level settings that differ between `old` and `new` and take effect only after a
/// restart.
pub fn settings_requiring_restart(old: &Value, new: &Value) -> Vec<String> {
    let names =
        |value: &Value| value.as_object().map_or(Vec::new(), |settings| settings.keys().cloned().collect());
    let mut names: Vec<String> = [names(old), names(new)].concat();
    names.sort();
    names.dedup();
    names.retain(|name| !CHANGEABLE_SETTINGS.contains(&name.as_str()) && old.get(name) != new.get(name));
    names
}

/// Checks a complete configuration.
///
/// # Errors
///
/// Returns the first error in the configuration.
pub fn check(root: &Setting) -> Result<(), ConfigurationError> {
    dispatcher(root)?;
    listen(root)?;
    discovery(root)?;
    gossip(root)?;
    resource_limits(root)?;
    connection_timeouts(root)?;
    must_be_polled(root)?;
    root.optional("known", |known| crate::discovery::check(known.json()))?;
    Ok(())
}
