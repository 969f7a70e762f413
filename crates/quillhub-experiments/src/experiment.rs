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
    /// The version of the format.
    pub format: u32,
    /// What is asked, in one paragraph, and what was found.
    pub question: String,
    /// What was found, as text for the report.
    #[serde(default)]
    pub found: String,
    /// The seeds that each variant is played with.
    pub seeds: Vec<u64>,
    /// The deciders that are compared.
    pub deciders: Vec<Named>,
    /// The baselines' figures.
    #[serde(default)]
    pub baselines: Baselines,
    /// Places of the scenario ("instances.count", "faults.0.what.slow.factor") and the values each takes; all with all.
    #[serde(default)]
    pub sweep: BTreeMap<String, Vec<Value>>,
    /// Named sets of values that belong together; each with all of the sweep.
    #[serde(default)]
    pub points: Vec<Point>,
    /// The scenario, before anything is varied.
    pub day: Value,
}

/// A named variant of the scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// Its name.
    pub name: String,
    /// What it sets, by path.
    #[serde(default)]
    pub set: BTreeMap<String, Value>,
}

/// One day of an experiment, with the name that tells it from the others.
#[derive(Clone, Debug)]
pub struct Variant {
    /// Its name; empty if nothing is varied.
    pub name: String,
    /// Its scenario.
    pub day: Scenario,
}

/// A read experiment: its text, and all its days.
pub struct Planned {
    /// The experiment's name.
    pub name: String,
    /// Its file, as written.
    pub text: String,
    /// What the file says.
    pub of: Experiment,
    /// The scenarios that are played.
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

/// Puts `new` at a place of the scenario. The place, or the table it stands in, must be there.
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
    /// Reads an experiment file.
    ///
    /// # Errors
    ///
    /// In one line: what is wrong with it, and where.
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let name = path.file_stem().map_or(String::new(), |stem| stem.to_string_lossy().into());
        Self::parse(&name, &text).map_err(|(at, what)| {
            let (line, column) = position(&text, at);
            format!("{}:{line}:{column}: {what}", path.display())
        })
    }

    /// The experiment in `text`.
    ///
    /// # Errors
    ///
    /// What is wrong with it, and at which byte.
    pub fn parse(name: &str, text: &str) -> Result<Self, (usize, String)> {
        let of: Experiment = toml::from_str(text).map_err(malformed)?;
        check_frame(&of, text)?;
        check_first_scenario(text)?;
        let points = with_points(&of, text)?;
        let varied = with_sweep(&of, text, points)?;
        let variants = varied.into_iter().map(|varied| read_variant(&of, text, varied));
        let variants = variants.collect::<Result<_, _>>()?;
        Ok(Self { name: name.into(), text: text.into(), of, variants })
    }
}

/// What is wrong with an experiment, and at which byte of its text.
type Wrong = (usize, String);

fn malformed(error: toml::de::Error) -> Wrong {
    (error.span().map_or(0, |span| span.start), one_line(error.message()))
}

/// Checks all that is no scenario.
fn check_frame(of: &Experiment, text: &str) -> Result<(), Wrong> {
    let at = |place: &str, what: String| Err((find(text, place), what));
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
    Ok(())
}

/// Checks the scenario as it stands first, so that its faults are reported at their own places.
fn check_first_scenario(text: &str) -> Result<(), Wrong> {
    #[derive(Deserialize)]
    struct Only {
        day: Scenario,
    }
    let Only { day } = toml::from_str(text).map_err(malformed)?;
    day.check().map_err(|invalid| {
        let place = find(text, &format!("day.{}", invalid.place));
        (place, format!("day.{invalid}"))
    })
}

/// A scenario before it is read, and the name of its variant.
struct Varied {
    name: String,
    scenario: Value,
}

/// The variants that the experiment's points make; one without a name if there are none.
fn with_points(of: &Experiment, text: &str) -> Result<Vec<Varied>, Wrong> {
    if of.points.is_empty() {
        return Ok(vec![Varied { name: String::new(), scenario: of.day.clone() }]);
    }
    let vary = |(nth, point): (usize, &Point)| {
        let place = format!("points[{nth}]");
        let mut scenario = of.day.clone();
        for (path, value) in &point.set {
            put(&mut scenario, path, value)
                .map_err(|what| (find(text, &place), format!("{place}.set: {what}")))?;
        }
        Ok(Varied { name: point.name.clone(), scenario })
    };
    of.points.iter().enumerate().map(vary).collect()
}

/// Crosses the variants with each value that the experiment sweeps over.
fn with_sweep(of: &Experiment, text: &str, mut variants: Vec<Varied>) -> Result<Vec<Varied>, Wrong> {
    for (path, values) in &of.sweep {
        let mut crossed = Vec::new();
        for Varied { name, scenario } in &variants {
            for value in values {
                let mut scenario = scenario.clone();
                put(&mut scenario, path, value)
                    .map_err(|what| (find(text, "sweep"), format!("sweep: {what}")))?;
                let short = path.rsplit('.').next().unwrap_or(path);
                let word = value.as_str().map_or_else(|| value.to_string(), String::from);
                let join = if name.is_empty() { "" } else { " " };
                crossed.push(Varied { name: format!("{name}{join}{short}={word}"), scenario });
            }
        }
        variants = crossed;
    }
    Ok(variants)
}

/// Reads a variant's scenario. What is wrong with it is reported at the points where they are all there is, otherwise
/// at the sweep that is crossed with them.
fn read_variant(of: &Experiment, text: &str, varied: Varied) -> Result<Variant, Wrong> {
    let Varied { name, scenario } = varied;
    let place = if of.sweep.is_empty() { "points" } else { "sweep" };
    let wrong = |what: String| (find(text, place), format!("{place}: with {name}, {what}"));
    let day: Scenario = scenario.try_into().map_err(|e: toml::de::Error| wrong(one_line(e.message())))?;
    day.check().map_err(|e| wrong(e.to_string()))?;
    Ok(Variant { name, day })
}

#[cfg(test)]
#[path = "experiment_tests.rs"]
mod tests;
