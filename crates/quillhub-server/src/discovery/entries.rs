//! Endpoint lists in the JSON format of discovery and of the configuration: parses a list and applies it.
//!
//! Invariant: a list with an invalid part changes nothing.

use crate::instance::Instance;
use crate::pool::EndpointProcess;
use quillhub::{EndpointState, EndpointUpdate};
use quillhub_settings::{Setting, SettingsError};
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Origin of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Origin {
    /// The configuration, which is read at the start; discovery may have a newer list.
    Configuration,
    /// A response of discovery.
    Discovery,
}

/// Endpoint list, or changes of one.
pub(super) struct EndpointList<'a> {
    revision: u64,
    /// `true` if the list contains all endpoints; otherwise it contains those that changed.
    complete: bool,
    entries: Vec<Entry<'a>>,
}

/// Endpoint in a list.
struct Entry<'a> {
    name: &'a str,
    address: SocketAddr,
    up_since_ms: u64,
    /// Zone in which the endpoint runs; empty if the list gives none.
    zone: &'a str,
    /// Kind of the destination; empty if the list gives none.
    kind: &'a str,
    destination: u64,
    state: EndpointState,
    /// Calls per second that the endpoint's route accepts, if listed.
    rate: Option<f64>,
}

impl<'a> EndpointList<'a> {
    /// Parses a list.
    ///
    /// # Errors
    ///
    /// Returns the first error in the list.
    pub(super) fn parse(list: &'a Value) -> Result<Self, SettingsError> {
        let root = Setting::root(list);
        let complete = root.optional("complete", Setting::as_bool)?.unwrap_or(false);
        let members = root.require("members")?.as_list()?;
        let entries = members.into_iter().map(Entry::parse).collect::<Result<_, _>>()?;
        Ok(Self { revision: root.require("revision")?.as_u64()?, complete, entries })
    }

    /// Returns the number that discovery has given to the list.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns `true` if the list contains all endpoints.
    pub(super) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Applies the list to the instance's endpoints.
    pub(super) fn apply(self, instance: &mut Instance, origin: Origin) {
        let Self { complete, entries, .. } = self;
        for &Entry { name, address, destination, up_since_ms, state, .. } in &entries {
            let process = EndpointProcess { address, destination, up_since_ms };
            match state {
                EndpointState::Removed => instance.endpoint_removed(name),
                _ => instance.endpoint_listed(name, process),
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
        let up_since_ms = member.optional("up_since_ms", Setting::as_u64)?.unwrap_or(0);
        Ok(Self { name, address, up_since_ms, zone, kind, destination, state, rate })
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

/// Checks that a list can be parsed, without applying it.
///
/// # Errors
///
/// Returns the first error in the list.
pub fn check(list: &Value) -> Result<(), SettingsError> {
    EndpointList::parse(list).map(|_| ())
}

/// Applies a complete list or changes of one to the instance's endpoints, and returns its revision.
///
/// # Errors
///
/// Returns the first error in the list, which changes nothing then.
pub fn update_endpoints(instance: &mut Instance, list: &Value, origin: Origin) -> Result<u64, SettingsError> {
    let list = EndpointList::parse(list)?;
    let revision = list.revision();
    list.apply(instance, origin);
    Ok(revision)
}
