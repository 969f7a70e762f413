//! Experiment files: reading them, and saying in one line what is wrong with one.

use crate::baselines::{Baselines, Named};
use quillhub_scale::plan::position;
use quillhub_simulator::Scenario;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use toml::Value;
use toml::de::{DeTable, DeValue};

/// The version of the format.
const FORMAT: u32 = 1;
/// Runs of one experiment beyond which it is taken for a mistake.
const MOST_RUNS: usize = 100_000;

/// An experiment as written.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub format: u32,
    /// What is asked, in one paragraph, and what was found.
    pub question: String,
    #[serde(default)]
    pub found: String,
    pub seeds: Vec<u64>,
    pub deciders: Vec<Named>,
    #[serde(default)]
    pub baselines: Baselines,
    /// Places of the day ("couriers.count", "faults.0.what.slow.factor") and the values each takes; all with all.
    #[serde(default)]
    pub sweep: BTreeMap<String, Vec<Value>>,
    /// Named sets of values that belong together; each with all of the sweep.
    #[serde(default)]
    pub points: Vec<Point>,
    pub day: Value,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    pub name: String,
    #[serde(default)]
    pub set: BTreeMap<String, Value>,
}

/// One day of an experiment, with the name that tells it from the others.
#[derive(Clone, Debug)]
pub struct Variant {
    pub name: String,
    pub day: Scenario,
}

/// A read experiment: its text, and all its days.
pub struct Planned {
    pub name: String,
    pub text: String,
    pub of: Experiment,
    pub variants: Vec<Variant>,
}

/// Where a place like `faults[2].whom.kind` stands in the text: it, or the nearest thing round it.
fn find(text: &str, place: &str) -> usize {
    let Ok(table) = DeTable::parse(text) else { return 0 };
    let mut at = table.span().start;
    let mut value = DeValue::Table(table.into_inner());
    let words = place.replace('[', ".").replace(']', "");
    for word in words.split('.') {
        let next = match &value {
            DeValue::Table(table) => {
                let found = table.iter().find(|(key, _)| key.get_ref().as_ref() == word);
                found.map(|(key, value)| (key.span().start, value.get_ref().clone()))
            }
            DeValue::Array(rows) => {
                let row = word.parse().ok().and_then(|nth: usize| rows.get(nth));
                row.map(|row| (row.span().start, row.get_ref().clone()))
            }
            _ => None,
        };
        let Some((start, found)) = next else { break };
        (at, value) = (start, found);
    }
    at
}

/// Puts `new` at a place of the day. The place, or the table it stands in, must be there.
fn put(day: &mut Value, place: &str, new: &Value) -> Result<(), String> {
    let mut at = day;
    let mut words = place.split('.').peekable();
    while let Some(word) = words.next() {
        let missing = || format!("expected a place of the day, found no '{word}' of '{place}'");
        if words.peek().is_none()
            && let Value::Table(table) = at
        {
            table.insert(word.into(), new.clone());
            return Ok(());
        }
        at = match at {
            Value::Table(table) => table.get_mut(word).ok_or_else(missing)?,
            Value::Array(rows) => {
                word.parse().ok().and_then(|nth: usize| rows.get_mut(nth)).ok_or_else(missing)?
            }
            _ => return Err(missing()),
        };
    }
    *at = new.clone();
    Ok(())
}

fn one_line(text: &str) -> String {
    text.lines().map(str::trim).collect::<Vec<_>>().join("; ")
}

impl Planned {
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let name = path.file_stem().map_or(String::new(), |stem| stem.to_string_lossy().into());
        Self::parse(&name, &text).map_err(|(at, what)| {
            let (line, column) = position(&text, at);
            format!("{}:{line}:{column}: {what}", path.display())
        })
    }

    /// The experiment in `text`, or what is wrong with it and at which byte.
    pub fn parse(name: &str, text: &str) -> Result<Self, (usize, String)> {
        let failed = |e: toml::de::Error| (e.span().map_or(0, |span| span.start), one_line(e.message()));
        let of: Experiment = toml::from_str(text).map_err(failed)?;
        let wrong = |place: &str, what: String| (find(text, place), what);
        let at = |place: &str, what: String| Err(wrong(place, what));
        if of.format != FORMAT {
            return at("format", format!("format: expected {FORMAT}, found {}", of.format));
        }
        for (place, empty) in [
            ("seeds", of.seeds.is_empty()),
            ("deciders", of.deciders.is_empty()),
            ("question", of.question.trim().is_empty()),
        ] {
            if empty {
                return at(place, format!("{place}: expected one at least, found none"));
            }
        }
        let each = of.sweep.values().map(Vec::len).product::<usize>() * of.points.len().max(1);
        let runs = each * of.seeds.len() * of.deciders.len();
        if runs == 0 || runs > MOST_RUNS {
            return at("sweep", format!("sweep: expected 1 to {MOST_RUNS} runs in all, found {runs}"));
        }
        // The day as it stands first, so that its faults are told at their own places.
        #[derive(Deserialize)]
        struct Only {
            day: Scenario,
        }
        let Only { day } = toml::from_str(text).map_err(failed)?;
        if let Err(invalid) = day.check() {
            return at(&format!("day.{}", invalid.place), format!("day.{invalid}"));
        }
        let mut variants = vec![(String::new(), of.day.clone())];
        let points = of.points.iter().enumerate();
        let sets: Vec<_> =
            points.map(|(n, p)| (format!("points[{n}]"), p.name.clone(), p.set.clone())).collect();
        if !sets.is_empty() {
            let mut varied = Vec::new();
            for (place, name, set) in sets {
                let mut day = of.day.clone();
                for (path, value) in &set {
                    put(&mut day, path, value)
                        .map_err(|what| wrong(&place, format!("{place}.set: {what}")))?;
                }
                varied.push((name, day));
            }
            variants = varied;
        }
        for (path, values) in &of.sweep {
            let mut varied = Vec::new();
            for (name, day) in &variants {
                for value in values {
                    let mut day = day.clone();
                    put(&mut day, path, value).map_err(|what| wrong("sweep", format!("sweep: {what}")))?;
                    let short = path.rsplit('.').next().unwrap_or(path);
                    let word = value.as_str().map_or_else(|| value.to_string(), String::from);
                    let join = if name.is_empty() { "" } else { " " };
                    varied.push((format!("{name}{join}{short}={word}"), day));
                }
            }
            variants = varied;
        }
        let mut read = Vec::new();
        for (name, day) in variants {
            // Told at the points where they are all there is, else at the sweep that is crossed with them.
            let place = if of.sweep.is_empty() { "points" } else { "sweep" };
            let told = |what: String| (find(text, place), format!("{place}: with {name}, {what}"));
            let day: Scenario = day.try_into().map_err(|e: toml::de::Error| told(one_line(e.message())))?;
            day.check().map_err(|e| told(e.to_string()))?;
            read.push(Variant { name, day });
        }
        Ok(Self { name: name.into(), text: text.into(), of, variants: read })
    }
}

#[cfg(test)]
#[path = "experiment_tests.rs"]
mod tests;
