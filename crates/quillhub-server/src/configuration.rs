//! Reads the configuration: for each part of the server its few values.
//!
//! Invariant: [`check`] reads all that a start reads, so that what passes it can be started with.

use quillhub::Dispatcher;
use quillhub_settings::{Setting, SettingsError};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
/// The bound of the state directory where none is configured.
const DEFAULT_STATE_MB: f64 = 64.0;
/// Descriptors where none are configured: the usual soft limit.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// The parts that may differ from those of the start: one takes effect at once, and only a start goes by the other.
const CHANGEABLE_PARTS: [&str; 2] = ["discovery", "known"];

/// Why a configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// It is no JSON text.
    #[error("the configuration is no JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// One of its settings is missing, or has a value that it cannot have.
    #[error(transparent)]
    Setting(#[from] SettingsError),
}

/// The dispatcher as it is configured.
pub struct ConfiguredDispatcher {
    pub dispatcher: Dispatcher,
    /// Whether responses hold load reports that it goes by.
    pub load_reports: bool,
}

/// The addresses of gossip between instances.
pub struct GossipAddresses {
    pub listen: SocketAddr,
    /// The address that reaches all instances.
    pub all: SocketAddr,
    /// The address of this instance, if it is known.
    pub own: Option<SocketAddr>,
}

/// What the instance may use of the machine.
pub struct ResourceLimits {
    pub state_bytes: u64,
    pub descriptors: usize,
}

/// The times of connections to endpoints.
pub struct ConnectionTimeouts {
    /// How long one may take to open.
    pub connect: Duration,
    /// How long one may be idle before its endpoint closes it.
    pub idle: Duration,
}

pub fn parse(text: &str) -> Result<Value, ConfigurationError> {
    Ok(serde_json::from_str(text)?)
}

pub fn dispatcher(root: &Setting) -> Result<ConfiguredDispatcher, ConfigurationError> {
    let seed = root.require("seed")?;
    let number =
        u64::from_str_radix(seed.as_str()?, 16).map_err(|_| seed.unexpected("a hexadecimal number"))?;
    let (mut dispatcher, columns) = quillhub_settings::read(number, root.require("settings")?.json())?;
    dispatcher.disable_batching(); // HTTP carries one message in each request
    let load_reports = columns.remaining_share.is_some() && columns.rate_limit.is_some();
    Ok(ConfiguredDispatcher { dispatcher, load_reports })
}

/// Where clients connect.
pub fn listen(root: &Setting) -> Result<SocketAddr, ConfigurationError> {
    Ok(root.require("listen")?.as_address()?)
}

/// Where discovery and the platform are.
pub fn discovery(root: &Setting) -> Result<SocketAddr, ConfigurationError> {
    Ok(root.require("discovery")?.as_address()?)
}

/// The addresses of gossip, if instances may exchange any.
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

pub fn resource_limits(root: &Setting) -> Result<ResourceLimits, ConfigurationError> {
    let limits = root.section("limits");
    let megabytes = limits.optional("disk_mb", Setting::as_f64)?.unwrap_or(DEFAULT_STATE_MB);
    let descriptors = limits.optional("sockets", Setting::as_u64)?.unwrap_or(DEFAULT_DESCRIPTORS);
    Ok(ResourceLimits { state_bytes: (megabytes * BYTES_PER_MB) as u64, descriptors: descriptors as usize })
}

pub fn connection_timeouts(root: &Setting) -> Result<ConnectionTimeouts, ConfigurationError> {
    let limits = root.require("settings")?.section("limits");
    Ok(ConnectionTimeouts {
        connect: limits.optional("connectTimeoutUs", Setting::as_duration)?.unwrap_or(Duration::MAX),
        idle: limits.optional("idleCloseUs", Setting::as_duration)?.unwrap_or(Duration::MAX),
    })
}

/// Whether discovery sends changes only when the dispatcher polls it.
pub fn must_be_polled(root: &Setting) -> Result<bool, ConfigurationError> {
    let mode = root.require("settings")?.optional("membershipMode", Setting::as_str)?;
    Ok(mode == Some("subscribe"))
}

/// The names of the parts that take effect only at the next start, and differ.
pub fn differing(one: &Value, other: &Value) -> Vec<String> {
    let names = |value: &Value| value.as_object().map_or(Vec::new(), |parts| parts.keys().cloned().collect());
    let mut names: Vec<String> = [names(one), names(other)].concat();
    names.sort();
    names.dedup();
    names.retain(|name| !CHANGEABLE_PARTS.contains(&name.as_str()) && one.get(name) != other.get(name));
    names
}

/// Reads all of a configuration and does nothing with it.
///
/// # Errors
///
/// What cannot be used of it first.
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
