//! The endpoint lists that came on the wire, by number.
//!
//! Invariant: every entry of them can be parsed.

use crate::error::LineError;
use crate::fields::Fields;
use quillhub::EndpointState;
use quillhub_settings::Excerpt;
use std::collections::BTreeMap;

/// One entry of an endpoint list.
pub struct Entry<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub kind: &'a str,
    pub destination: u64,
    pub state: EndpointState,
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

/// The list of which entries are still to come, and how many.
#[derive(Clone, Copy)]
struct Incomplete {
    list: u64,
    missing: usize,
}

#[derive(Default)]
pub struct EndpointLists {
    /// Each entry a line as it came; a new list of a number takes the old one's place.
    entries: BTreeMap<u64, Vec<String>>,
    incomplete: Option<Incomplete>,
}

impl EndpointLists {
    /// Whether no entry is still to come.
    pub fn are_complete(&self) -> bool {
        self.incomplete.is_none()
    }

    /// Starts a list by the fields of its line.
    pub fn start(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let list = fields.number("list")?;
        let missing = fields.number("rows")?;
        fields.end()?;
        self.entries.insert(list, Vec::new());
        self.incomplete = (missing > 0).then_some(Incomplete { list, missing });
        Ok(())
    }

    /// Adds the entry of `line` to the list that lacks some, if there is one; whether there is.
    pub fn add_missing_entry(&mut self, line: &str) -> Result<bool, LineError> {
        let Some(Incomplete { list, missing }) = self.incomplete else { return Ok(false) };
        let mut fields = Fields::new(line);
        if fields.text("an event")? != "ENTRY" {
            return Err(LineError::MissingEntries { count: missing, list, found: Excerpt::new(line) });
        }
        let entry = fields.take_rest();
        Entry::parse(entry)?;
        self.entries.entry(list).or_default().push(entry.into());
        self.incomplete = (missing > 1).then_some(Incomplete { list, missing: missing - 1 });
        Ok(true)
    }

    /// The entries of a list that came.
    pub fn get(&self, list: Option<u64>) -> Result<&[String], LineError> {
        let entries = list.and_then(|list| self.entries.get(&list));
        entries.map(Vec::as_slice).ok_or_else(|| {
            let number = list.map_or("-".into(), |list| list.to_string());
            LineError::unexpected("the number of a received list as list", &number)
        })
    }
}
