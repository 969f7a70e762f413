//! Endpoint lists, as discovery and the configuration have them: parses one and applies it.
//!
//! Invariant: a list of which anything cannot be read changes nothing.

use crate::instance::Instance;
use quillhub::{EndpointState, EndpointUpdate};
use quillhub_settings::At;
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
    fn parse(list: &'a Value) -> Result<Self, String> {
        let top = At::top(list);
        let complete = top.get("complete").map_or(Ok(false), |complete| complete.flag())?;
        let members = top.need("members")?.rows()?;
        let entries = members.into_iter().map(Entry::parse).collect::<Result<_, _>>()?;
        Ok(Self { revision: top.need("revision")?.whole()?, complete, entries })
    }
}

impl<'a> Entry<'a> {
    fn parse(member: At<'a>) -> Result<Self, String> {
        let address = member.need("host_port")?.address()?;
        let text = |name| member.get(name).map_or(Ok(""), |text| text.word());
        let (zone, kind) = (text("locality")?, text("flavor")?);
        let rate = member.get("size").map(|rate| rate.number()).transpose()?;
        let state = parse_state(&member.need("phase")?)?;
        let name = member.need("id")?.word()?;
        let destination = member.need("cell")?.whole()?;
        Ok(Self { name, address, zone, kind, destination, state, rate })
    }
}

fn parse_state(phase: &At) -> Result<EndpointState, String> {
    match phase.word()? {
        "up" => Ok(EndpointState::Available),
        "draining" => Ok(EndpointState::Draining),
        "removed" => Ok(EndpointState::Removed),
        _ => phase.wrong("up, draining or removed"),
    }
}

/// Reads a list and does nothing with it.
///
/// # Errors
///
/// What cannot be read of it first.
pub fn check(list: &Value) -> Result<(), String> {
    EndpointList::parse(list).map(|_| ())
}

/// Updates the instance's endpoints by a list or changes of it, and returns its revision.
///
/// # Errors
///
/// What cannot be read of the list first; it changes nothing then.
pub fn update_endpoints(instance: &mut Instance, list: &Value, origin: Origin) -> Result<u64, String> {
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
