//! Endpoint lists received from the simulator, identified by number.
//!
//! Invariant: every stored entry has been parsed successfully once.

use crate::error::LineError;
use crate::fields::Fields;
use quillhub::EndpointState;
use quillhub_settings::Excerpt;
use std::collections::BTreeMap;

/// Entry of an endpoint list: an endpoint and its state.
pub struct Entry<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub kind: &'a str,
    pub destination: u64,
    pub state: EndpointState,
    /// Calls per second that the destination accepts, if listed.
    pub rate: Option<f64>,
}

impl<'a> Entry<'a> {
    pub fn parse(line: &'a str) -> Result<Self, LineError> {
        let mut fields = Fields::new(line);
        let name = fields.text("endpoint")?;
        let zone = fields.text("rackZone")?;
        let kind = fields.text("hw")?;
        let destination = fields.number("ownerNo")?;
        let state = parse_state(fields.text("health")?)?;
        let rate = fields.optional_number("heft")?;
        fields.optional_number::<u64>("startTimeUs")?;
        fields.end()?;
        Ok(Self { name, zone, kind, destination, state, rate })
    }
}

fn parse_state(health: &str) -> Result<EndpointState, LineError> {
    match health {
        "IN" => Ok(EndpointState::Available),
        "LAME" => Ok(EndpointState::Draining),
        "OUT" => Ok(EndpointState::Removed),
        _ => Err(LineError::unexpected("IN, LAME or OUT as health", health)),
    }
}

/// Endpoint list that has been announced by a `LIST` line but not been received in full.
#[derive(Clone, Copy)]
struct IncompleteList {
    list: u64,
    /// Number of `ENTRY` lines that must still follow; at least 1.
    missing_entries: usize,
}

/// Endpoint lists received so far; at most one of them is incomplete.
#[derive(Default)]
pub struct EndpointLists {
    /// Unparsed entries of each list, by list number. A new list replaces an older one with the same number.
    entries: BTreeMap<u64, Vec<String>>,
    incomplete: Option<IncompleteList>,
}

impl EndpointLists {
    /// Returns `true` if no list lacks an entry.
    pub fn are_complete(&self) -> bool {
        self.incomplete.is_none()
    }

    /// Starts a list from the fields of a `LIST` line: its number and its number of entries.
    pub fn start(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let list = fields.number("list")?;
        let missing_entries = fields.number("rows")?;
        fields.end()?;
        self.entries.insert(list, Vec::new());
        self.incomplete = (missing_entries > 0).then_some(IncompleteList { list, missing_entries });
        Ok(())
    }

    /// Adds the entry in `line` to the incomplete list; returns `false`, and adds nothing, if every list is complete.
    pub fn add_missing_entry(&mut self, line: &str) -> Result<bool, LineError> {
        let Some(IncompleteList { list, missing_entries }) = self.incomplete else { return Ok(false) };
        let mut fields = Fields::new(line);
        if fields.text("an event")? != "ENTRY" {
            return Err(LineError::MissingEntries {
                count: missing_entries,
                list,
                found: Excerpt::new(line),
            });
        }
        let entry = fields.take_rest();
        Entry::parse(entry)?;
        self.entries.entry(list).or_default().push(entry.into());
        self.incomplete =
            (missing_entries > 1).then_some(IncompleteList { list, missing_entries: missing_entries - 1 });
        Ok(true)
    }

    /// Returns the unparsed entries of the list with number `list`, or an error if no such list was received.
    pub fn get(&self, list: Option<u64>) -> Result<&[String], LineError> {
        let entries = list.and_then(|list| self.entries.get(&list));
        entries.map(Vec::as_slice).ok_or_else(|| {
            let number = list.map_or("-".into(), |list| list.to_string());
            LineError::unexpected("the number of a received list as list", &number)
        })
    }
}
