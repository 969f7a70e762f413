//! Experiment files: parsing, variants of the scenario, and error messages with line and column.

use crate::baselines::{BaselineSettings, DeciderKind};
use quillhub_scale::plan::position;
use quillhub_simulator::Scenario;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use toml::Value;
use toml::de::{DeTable, DeValue};

/// Version of the file format that this build reads.
const FORMAT_VERSION: u32 = 1;
/// Maximum number of runs of one experiment; a larger number is treated as a mistake in the file.
const MAX_RUNS: usize = 100_000;

/// Contents of an experiment file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Version of the file format.
    pub format: u32,
    /// Question that the experiment answers, in one paragraph; part of [`ExperimentPlan::text_hash`].
    pub question: String,
    /// Findings, as text for the report; empty until there are any.
    #[serde(default)]
    pub found: String,
    /// Seeds with which each variant is run; time series are recorded for the first seed only.
    pub seeds: Vec<u64>,
    /// Deciders to compare; each runs every variant with every seed.
    pub deciders: Vec<DeciderKind>,
    /// Settings of the baselines; defaults apply to those that the file omits.
    #[serde(default)]
    pub baselines: BaselineSettings,
    /// Values to try by path in the scenario, such as "destinations.0.workers" or "faults.0.what.slow.factor"; all
    /// combinations are run.
    #[serde(default)]
    pub sweep: BTreeMap<String, Vec<Value>>,
    /// Named sets of values that are applied together; each is combined with every combination of the sweep.
    #[serde(default)]
    pub points: Vec<ScenarioPoint>,
    /// Scenario before points and sweep are applied.
    #[serde(rename = "day")]
    pub scenario: Value,
}

/// Named set of changes to the scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioPoint {
    /// Name of the point, with which the names of its variants start.
    pub name: String,
    /// Values to set, by path in the scenario.
    #[serde(default)]
    pub set: BTreeMap<String, Value>,
}

/// Scenario of an experiment after points and sweep are applied.
#[derive(Clone, Debug)]
pub struct Variant {
    /// Name made of the point and the swept values; empty if the experiment varies nothing.
    pub name: String,
    /// Checked scenario to simulate.
    pub scenario: Scenario,
}

/// Parsed and checked experiment: the file's text, its contents, and the variants to run.
pub struct ExperimentPlan {
    /// Name of the experiment: the file name without its extension.
    pub name: String,
    /// Text of the experiment file.
    pub text: String,
    /// Contents of the experiment file.
    pub definition: Experiment,
    /// Variants to run, in the order of the points and of the sweep.
    pub variants: Vec<Variant>,
}

/// Returns the byte offset in `text` of a place such as `faults[2].whom.kind`, or of the innermost enclosing value that
/// exists.
fn locate(text: &str, place: &str) -> usize {
    let Ok(table) = DeTable::parse(text) else { return 0 };
    let mut offset = table.span().start;
    let mut value = DeValue::Table(table.into_inner());
    let keys = place.replace('[', ".").replace(']', "");
    for key in keys.split('.') {
        let next = match &value {
            DeValue::Table(table) => {
                let found = table.iter().find(|(name, _)| name.get_ref().as_ref() == key);
                found.map(|(name, value)| (name.span().start, value.get_ref().clone()))
            }
            DeValue::Array(rows) => {
                let row = key.parse().ok().and_then(|index: usize| rows.get(index));
                row.map(|row| (row.span().start, row.get_ref().clone()))
            }
            _ => None,
        };
        let Some((start, found)) = next else { break };
        (offset, value) = (start, found);
    }
    offset
}

/// Sets the value at a path of the scenario. The path, or the table that contains its last key, must exist.
fn set_value(scenario: &mut Value, path: &str, new: &Value) -> Result<(), String> {
    let mut target = scenario;
    let mut keys = path.split('.').peekable();
    while let Some(key) = keys.next() {
        let missing = || format!("expected a path of the scenario, found no '{key}' of '{path}'");
        if keys.peek().is_none()
            && let Value::Table(table) = target
        {
            table.insert(key.into(), new.clone());
            return Ok(());
        }
        target = match target {
            Value::Table(table) => table.get_mut(key).ok_or_else(missing)?,
            Value::Array(rows) => {
                key.parse().ok().and_then(|index: usize| rows.get_mut(index)).ok_or_else(missing)?
            }
            _ => return Err(missing()),
        };
    }
    *target = new.clone();
    Ok(())
}

fn join_lines(text: &str) -> String {
    text.lines().map(str::trim).collect::<Vec<_>>().join("; ")
}

impl ExperimentPlan {
    /// Reads an experiment file.
    ///
    /// # Errors
    ///
    /// Returns a one-line message with path, line and column if the file cannot be read or is invalid.
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let name = path.file_stem().map_or(String::new(), |stem| stem.to_string_lossy().into());
        Self::parse(&name, &text).map_err(|(offset, message)| {
            let (line, column) = position(&text, offset);
            format!("{}:{line}:{column}: {message}", path.display())
        })
    }

    /// Parses the experiment in `text` and checks all its variants.
    ///
    /// # Errors
    ///
    /// Returns the byte offset of the first mistake and a message.
    pub fn parse(name: &str, text: &str) -> Result<Self, (usize, String)> {
        let definition: Experiment = toml::from_str(text).map_err(toml_error)?;
        check_header(&definition, text)?;
        check_base_scenario(text)?;
        let points = apply_points(&definition, text)?;
        let drafts = apply_sweep(&definition, text, points)?;
        let variants = drafts.into_iter().map(|draft| parse_variant(&definition, text, draft));
        let variants = variants.collect::<Result<_, _>>()?;
        Ok(Self { name: name.into(), text: text.into(), definition, variants })
    }
}

/// Byte offset of a mistake in the experiment's text, and a message.
type ParseError = (usize, String);

fn toml_error(error: toml::de::Error) -> ParseError {
    (error.span().map_or(0, |span| span.start), join_lines(error.message()))
}

/// Checks everything except the scenario: format, required lists and the number of runs.
fn check_header(definition: &Experiment, text: &str) -> Result<(), ParseError> {
    let error_at = |place: &str, message: String| Err((locate(text, place), message));
    if definition.format != FORMAT_VERSION {
        return error_at("format", format!("format: expected {FORMAT_VERSION}, found {}", definition.format));
    }
    for (place, empty) in [
        ("seeds", definition.seeds.is_empty()),
        ("deciders", definition.deciders.is_empty()),
        ("question", definition.question.trim().is_empty()),
    ] {
        if empty {
            return error_at(place, format!("{place}: expected at least one, found none"));
        }
    }
    let variants =
        definition.sweep.values().map(Vec::len).product::<usize>() * definition.points.len().max(1);
    let runs = variants * definition.seeds.len() * definition.deciders.len();
    if runs == 0 || runs > MAX_RUNS {
        return error_at("sweep", format!("sweep: expected 1 to {MAX_RUNS} runs in total, found {runs}"));
    }
    Ok(())
}

/// Checks the scenario before points and sweep are applied, so that its mistakes are reported at their own places.
fn check_base_scenario(text: &str) -> Result<(), ParseError> {
    #[derive(Deserialize)]
    struct ScenarioOnly {
        #[serde(rename = "day")]
        scenario: Scenario,
    }
    let ScenarioOnly { scenario } = toml::from_str(text).map_err(toml_error)?;
    scenario.check().map_err(|invalid| {
        let place = locate(text, &format!("day.{}", invalid.key));
        (place, format!("day.{invalid}"))
    })
}

/// Scenario of a variant before it is parsed and checked.
struct VariantDraft {
    name: String,
    scenario: Value,
}

/// Returns a draft for each point, or a single draft without a name if there are no points.
fn apply_points(definition: &Experiment, text: &str) -> Result<Vec<VariantDraft>, ParseError> {
    if definition.points.is_empty() {
        return Ok(vec![VariantDraft { name: String::new(), scenario: definition.scenario.clone() }]);
    }
    let vary = |(index, point): (usize, &ScenarioPoint)| {
        let place = format!("points[{index}]");
        let mut scenario = definition.scenario.clone();
        for (path, value) in &point.set {
            set_value(&mut scenario, path, value)
                .map_err(|message| (locate(text, &place), format!("{place}.set: {message}")))?;
        }
        Ok(VariantDraft { name: point.name.clone(), scenario })
    };
    definition.points.iter().enumerate().map(vary).collect()
}

/// Combines the drafts with each value of the sweep.
fn apply_sweep(
    definition: &Experiment,
    text: &str,
    mut drafts: Vec<VariantDraft>,
) -> Result<Vec<VariantDraft>, ParseError> {
    for (path, values) in &definition.sweep {
        let mut combined = Vec::new();
        for VariantDraft { name, scenario } in &drafts {
            for value in values {
                let mut scenario = scenario.clone();
                set_value(&mut scenario, path, value)
                    .map_err(|message| (locate(text, "sweep"), format!("sweep: {message}")))?;
                let last_key = path.rsplit('.').next().unwrap_or(path);
                let value_text = value.as_str().map_or_else(|| value.to_string(), String::from);
                let separator = if name.is_empty() { "" } else { " " };
                combined.push(VariantDraft {
                    name: format!("{name}{separator}{last_key}={value_text}"),
                    scenario,
                });
            }
        }
        drafts = combined;
    }
    Ok(drafts)
}

/// Parses and checks the scenario of a variant. Mistakes are reported at the sweep, or at the points if the experiment
/// has no sweep.
fn parse_variant(definition: &Experiment, text: &str, draft: VariantDraft) -> Result<Variant, ParseError> {
    let VariantDraft { name, scenario } = draft;
    let place = if definition.sweep.is_empty() { "points" } else { "sweep" };
    let error = |message: String| (locate(text, place), format!("{place}: in variant '{name}': {message}"));
    let scenario: Scenario =
        scenario.try_into().map_err(|e: toml::de::Error| error(join_lines(e.message())))?;
    scenario.check().map_err(|e| error(e.to_string()))?;
    Ok(Variant { name, scenario })
}

#[cfg(test)]
#[path = "experiment_tests.rs"]
mod tests;
