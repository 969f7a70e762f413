//! Reads the configuration, for each part its few values.

use quillhub::Dispatcher;
use quillhub_settings::At;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

const MB: f64 = 1024.0 * 1024.0;
/// The lasting folder's bound where none is told.
const FOLDER_MB: f64 = 64.0;
/// Descriptors where none are told: the usual soft limit.
const SOCKETS: u64 = 1024;

pub fn parse(text: &str) -> Result<Value, String> {
    serde_json::from_str(text).map_err(|error| format!("the configuration is no JSON: {error}"))
}

/// The courier, and whether answers hold reports that it goes by.
pub fn courier(top: &At) -> Result<(Dispatcher, bool), String> {
    let seed = top.need("seed")?;
    let Ok(number) = u64::from_str_radix(seed.word()?, 16) else { return seed.wrong("a hexadecimal number") };
    let (mut courier, places) = quillhub_settings::read(number, top.need("settings")?.value)?;
    courier.disable_batching(); // HTTP carries one notice in each
    Ok((courier, places.left.is_some() && places.limit.is_some()))
}

/// Where clients connect.
pub fn listen(top: &At) -> Result<SocketAddr, String> {
    top.need("listen")?.address()
}

/// Where discovery and the platform are.
pub fn discovery(top: &At) -> Result<SocketAddr, String> {
    top.need("discovery")?.address()
}

/// If couriers may send each other notes: where to listen, what reaches all, and the address of this one.
#[allow(clippy::type_complexity)]
pub fn notes(top: &At) -> Result<Option<(SocketAddr, SocketAddr, Option<SocketAddr>)>, String> {
    let settings = top.need("settings")?;
    let allowed = settings.get("limits").and_then(|limits| limits.get("peerMessages"));
    let (Some(listen), Some(all)) = (top.get("peer_listen"), top.get("peers_all")) else { return Ok(None) };
    if !allowed.map_or(Ok(false), |v| v.flag())? {
        return Ok(None);
    }
    let me = settings.get("me").map(|me| me.whole()).transpose()?;
    let peers = top.get("peers").map_or(Ok(Vec::new()), |peers| peers.rows())?;
    let own = me.and_then(|me| peers.get(me as usize)).map(At::address).transpose()?;
    Ok(Some((listen.address()?, all.address()?, own)))
}

/// Bytes of the lasting folder, and descriptors.
pub fn bounds(top: &At) -> Result<(u64, usize), String> {
    let limits = top.get("limits");
    let bound = |name| limits.as_ref().and_then(|limits| limits.get(name));
    let folder = bound("disk_mb").map_or(Ok(FOLDER_MB), |v| v.number())?;
    Ok(((folder * MB) as u64, bound("sockets").map_or(Ok(SOCKETS), |v| v.whole())? as usize))
}

/// How long a connection may take to open, and how long it may idle before its endpoint closes it.
pub fn connections(top: &At) -> Result<(Duration, Duration), String> {
    let limits = top.need("settings")?.get("limits");
    let span = |name| limits.as_ref().and_then(|limits| limits.get(name)).map(|v| v.span()).transpose();
    Ok((span("connectTimeoutUs")?.unwrap_or(Duration::MAX), span("idleCloseUs")?.unwrap_or(Duration::MAX)))
}

/// Whether discovery tells changes only when the courier asks.
pub fn must_be_asked(top: &At) -> Result<bool, String> {
    let mode = top.need("settings")?.get("membershipMode");
    Ok(mode.map(|v| v.word()).transpose()? == Some("subscribe"))
}

/// The parts in which two configurations differ, but for the one that is heeded at once and the list that only
/// a start goes by.
pub fn differing(one: &Value, other: &Value) -> Vec<String> {
    let names = |value: &Value| value.as_object().map_or(Vec::new(), |parts| parts.keys().cloned().collect());
    let mut names: Vec<String> = [names(one), names(other)].concat();
    names.sort();
    names.dedup();
    names.retain(|name| !["discovery", "known"].contains(&name.as_str()) && one.get(name) != other.get(name));
    names
}

/// What is wrong with a configuration, if anything.
pub fn check(top: &At) -> Result<(), String> {
    courier(top)?;
    listen(top)?;
    discovery(top)?;
    notes(top)?;
    bounds(top)?;
    connections(top)?;
    must_be_asked(top)?;
    top.get("known").map_or(Ok(()), |known| crate::discovery::check(known.value))
}
