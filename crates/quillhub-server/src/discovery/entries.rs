//! Endpoint lists, as discovery and the configuration have them: parses one and applies it.
//!
//! Invariant: a list of which anything cannot be read changes nothing.

use crate::instance::Instance;
use quillhub::{EndpointState, EndpointUpdate};
use quillhub_settings::{Setting, SettingsError};
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Where a list is from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Origin {
    /// It was known at the start: what discovery has may be newer.
    Configuration,
    Discovery,
}

/// An endpoint list, or changes of one.
struct EndpointList<'a> {
    revision: u64,
    /// Whether it has all endpoints; otherwise it has those that changed.
    complete: bool,
    entries: Vec<Entry<'a>>,
}

struct Entry<'a> {
    name: &'a str,
    address: SocketAddr,
    zone: &'a str,
    kind: &'a str,
    destination: u64,
    state: EndpointState,
    rate: Option<f64>,
}

impl<'a> EndpointList<'a> {
    fn parse(list: &'a Value) -> Result<Self, SettingsError> {
        let root = Setting::root(list);
        let complete = root.optional("complete", Setting::as_bool)?.unwrap_or(false);
        let members = root.require("members")?.as_list()?;
        let entries = members.into_iter().map(Entry::parse).collect::<Result<_, _>>()?;
        Ok(Self { revision: root.require("revision")?.as_u64()?, complete, entries })
    }
}

impl<'a> Entry<'a> {
    fn parse(member: Setting<'a>) -> Result<Self, SettingsError> {
        let address = member.require("host_port")?.as_address()?;
        let zone = member.optional("locality", Setting::as_str)?.unwrap_or_default();
        let kind = member.optional("flavor", Setting::as_str)?.unwrap_or_default();
        let rate = member.optional("size", Setting::as_f64)?;
        let state = parse_state(&member.require("phase")?)?;
        let name = member.require("id")?.as_str()?;
        let destination = member.require("cell")?.as_u64()?;
        Ok(Self { name, address, zone, kind, destination, state, rate })
    }
}

fn parse_state(phase: &Setting) -> Result<EndpointState, SettingsError> {
    match phase.as_str()? {
        "up" => Ok(EndpointState::Available),
        "draining" => Ok(EndpointState::Draining),
        "removed" => Ok(EndpointState::Removed),
        _ => Err(phase.unexpected("up, draining or removed")),
    }
}

/// Reads a list and does nothing with it.
///
/// # Errors
///
/// What cannot be read of it first.
pub fn check(list: &Value) -> Result<(), SettingsError> {
    EndpointList::parse(list).map(|_| ())
}

/// Updates the instance's endpoints by a list or changes of it, and returns its revision.
///
/// # Errors
///
/// What cannot be read of the list first; it changes nothing then.
pub fn update_endpoints(instance: &mut Instance, list: &Value, origin: Origin) -> Result<u64, SettingsError> {
    let EndpointList { revision, complete, entries } = EndpointList::parse(list)?;
    for Entry { name, address, state, .. } in &entries {
        match state {
            EndpointState::Removed => instance.endpoint_removed(name),
            _ => instance.endpoint_listed(name, *address),
        }
    }
    let names: BTreeSet<String> = entries.iter().map(|entry| entry.name.to_owned()).collect();
    if complete {
        instance.keep_only_endpoints(|name| names.contains(name));
    }
    instance.handle_event(|dispatcher| {
        for Entry { name, zone, kind, destination, state, rate, .. } in entries {
            let update = EndpointUpdate { name, zone, kind, destination, state, listed_rate: rate };
            dispatcher.endpoint_updated(update);
        }
        dispatcher.endpoint_list_ended(complete.then_some(&names), origin == Origin::Discovery);
    });
    Ok(revision)
}
