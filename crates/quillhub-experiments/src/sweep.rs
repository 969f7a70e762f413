//! Runs all simulations of an experiment in parallel and writes each result as soon as its run ends, so that an
//! interrupted sweep can be resumed.

use crate::baselines::{self, DeciderKind};
use crate::experiment::{ExperimentPlan, Variant};
use crate::results::{self, RunRecord};
use indicatif::{ProgressBar, ProgressStyle};
use quillhub_simulator::{Fact, Report, Simulation};
use rayon::prelude::*;
use std::collections::BTreeSet;
use std::fs::{File, OpenOptions};
use std::hash::Hasher;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;

/// Version of the program, as recorded in results.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Simulation of one variant with one decider and one seed.
pub struct Run<'a> {
    /// Variant to simulate.
    pub variant: &'a Variant,
    /// Decider of all instances.
    pub decider: DeciderKind,
    /// Seed of the random draws.
    pub seed: u64,
}

impl ExperimentPlan {
    /// Returns all runs, in the order in which results are kept.
    pub fn runs(&self) -> Vec<Run<'_>> {
        let mut runs = Vec::new();
        for variant in &self.variants {
            for decider in &self.definition.deciders {
                runs.extend(self.definition.seeds.iter().map(|seed| Run {
                    variant,
                    decider: *decider,
                    seed: *seed,
                }));
            }
        }
        runs
    }

    /// Returns the hash of the experiment without its findings, in hexadecimal digits. Results with another hash are
    /// not reused.
    pub fn text_hash(&self) -> String {
        let mut definition = self.definition.clone();
        definition.found.clear();
        let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
        hasher.write(toml::to_string(&definition).unwrap_or_else(|_| self.text.clone()).as_bytes());
        format!("{:016x}", hasher.finish())
    }

    /// Simulates one run, and passes each fact with its time to `observe`.
    pub fn simulate(&self, run: &Run, observe: impl FnMut(Duration, &Fact)) -> Report {
        let create_decider = |start: &quillhub_simulator::DeciderParameters| {
            baselines::create_decider(run.decider, &self.definition.baselines, start)
        };
        Simulation::run(&run.variant.scenario, run.seed, &create_decider, observe)
    }

    fn record_run(&self, run: &Run, text_hash: &str) -> RunRecord {
        let report = self.simulate(run, |_, _| {});
        let is_first_seed = self.definition.seeds.first() == Some(&run.seed);
        RunRecord {
            experiment: self.name.clone(),
            version: VERSION.into(),
            text_hash: text_hash.into(),
            variant: run.variant.name.clone(),
            decider: run.decider.name().into(),
            seed: run.seed,
            hash: format!("{:016x}", report.hash),
            breaches: report.breaches.len(),
            first_breach: results::first_breach(&report.breaches),
            figures: results::figures(&report),
            time_series: if is_first_seed { results::time_series(&report) } else { Default::default() },
        }
    }
}

fn error_at(path: &Path) -> impl Fn(std::io::Error) -> String + '_ {
    move |error| format!("{}: {error}", path.display())
}

/// Simulates the runs that have no result in `directory` yet, and returns the results of all runs in order. With
/// `show_progress`, shows a progress bar.
///
/// # Errors
///
/// Returns a message if the results cannot be read or written.
pub fn run(plan: &ExperimentPlan, directory: &Path, show_progress: bool) -> Result<Vec<RunRecord>, String> {
    std::fs::create_dir_all(directory).map_err(error_at(directory))?;
    let text_hash = plan.text_hash();
    let mut records = results::read(directory)?;
    records.retain(|run| run.text_hash == text_hash && run.version == VERSION);
    let runs = plan.runs();
    let finished: BTreeSet<_> =
        records.iter().map(|run| (run.variant.clone(), run.decider.clone(), run.seed)).collect();
    let key = |run: &Run| (run.variant.name.clone(), run.decider.name().to_owned(), run.seed);
    let remaining: Vec<_> = runs.iter().filter(|run| !finished.contains(&key(run))).collect();
    // Removes results of other experiments and versions before appending new ones.
    let path = directory.join("runs.jsonl");
    write_records(&path, &records)?;
    std::fs::write(directory.join("experiment.toml"), &plan.text).map_err(error_at(directory))?;
    let file = OpenOptions::new().append(true).create(true).open(&path).map_err(error_at(&path))?;
    let output: Mutex<(File, Vec<RunRecord>)> = Mutex::new((file, Vec::new()));
    let style = ProgressStyle::with_template("{pos}/{len} runs  {elapsed}  {wide_bar} {eta}");
    let bar = if show_progress { ProgressBar::new(remaining.len() as u64) } else { ProgressBar::hidden() };
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    remaining.par_iter().try_for_each(|run| {
        let record = plan.record_run(run, &text_hash);
        let line = serde_json::to_string(&record).map_err(|e| format!("a run cannot be serialized: {e}"))?;
        let mut locked = output.lock().map_err(|_| "another run panicked".to_string())?;
        writeln!(locked.0, "{line}").and_then(|()| locked.0.flush()).map_err(error_at(&path))?;
        locked.1.push(record);
        bar.inc(1);
        Ok::<(), String>(())
    })?;
    bar.finish_and_clear();
    let (_, new_records) = output.into_inner().map_err(|_| "a run panicked".to_string())?;
    records.extend(new_records);
    let position = |record: &RunRecord| {
        runs.iter().position(|run| (run.variant.name.as_str(), run.decider.name(), run.seed) == record.key())
    };
    records.sort_by_key(position);
    write_records(&path, &records)?;
    Ok(records)
}

/// Replaces the file at `path` through a temporary file, so that no result is lost if the program is stopped.
fn write_records(path: &Path, runs: &[RunRecord]) -> Result<(), String> {
    let temporary = path.with_extension("new");
    let lines: Result<Vec<_>, _> = runs.iter().map(serde_json::to_string).collect();
    let mut lines = lines.map_err(|e| format!("a run cannot be serialized: {e}"))?.join("\n");
    if !lines.is_empty() {
        lines.push('\n');
    }
    std::fs::write(&temporary, lines).and_then(|()| std::fs::rename(&temporary, path)).map_err(error_at(path))
}
