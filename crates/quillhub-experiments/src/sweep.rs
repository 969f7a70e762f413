//! Plays all runs of an experiment over all cores, and keeps each as it ends, so that a sweep that is stopped goes on
//! from there.

use crate::baselines::{self, Named};
use crate::experiment::{Planned, Variant};
use crate::results::{self, Kept};
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

/// The version that results name.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// A run to be played.
pub struct Run<'a> {
    /// The variant that is played.
    pub variant: &'a Variant,
    /// The decider.
    pub decider: Named,
    /// The seed.
    pub seed: u64,
}

impl Planned {
    /// All runs, in the order in which they are kept.
    pub fn runs(&self) -> Vec<Run<'_>> {
        let mut runs = Vec::new();
        for variant in &self.variants {
            for decider in &self.of.deciders {
                runs.extend(self.of.seeds.iter().map(|seed| Run { variant, decider: *decider, seed: *seed }));
            }
        }
        runs
    }

    /// Of the experiment's text: another text, other runs. What was found is no part of it.
    pub fn text_hash(&self) -> String {
        let mut of = self.of.clone();
        of.found.clear();
        let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
        hasher.write(toml::to_string(&of).unwrap_or_else(|_| self.text.clone()).as_bytes());
        format!("{:016x}", hasher.finish())
    }

    /// Plays one run; `seen` is handed each fact.
    pub fn play(&self, run: &Run, seen: impl FnMut(Duration, &Fact)) -> Report {
        let make =
            |start: &quillhub_simulator::Start| baselines::make(run.decider, &self.of.baselines, start);
        Simulation::run(&run.variant.day, run.seed, &make, seen)
    }

    fn kept(&self, run: &Run, text: &str) -> Kept {
        let report = self.play(run, |_, _| {});
        let first = self.of.seeds.first() == Some(&run.seed);
        Kept {
            experiment: self.name.clone(),
            version: VERSION.into(),
            text: text.into(),
            variant: run.variant.name.clone(),
            decider: run.decider.word().into(),
            seed: run.seed,
            hash: format!("{:016x}", report.hash),
            breaches: report.breaches.len(),
            first_breach: results::first(&report.breaches),
            figures: results::figures(&report),
            course: if first { results::course(&report) } else { Default::default() },
        }
    }
}

fn at(path: &Path) -> impl Fn(std::io::Error) -> String + '_ {
    move |error| format!("{}: {error}", path.display())
}

/// Plays what is not yet kept in `state directory`, and gives all runs in order. `shown` shows how far it came.
pub fn run(planned: &Planned, folder: &Path, shown: bool) -> Result<Vec<Kept>, String> {
    std::fs::create_dir_all(folder).map_err(at(folder))?;
    let text = planned.text_hash();
    let mut kept = results::read(folder)?;
    kept.retain(|run| run.text == text && run.version == VERSION);
    let runs = planned.runs();
    let done: BTreeSet<_> = kept.iter().map(|r| (r.variant.clone(), r.decider.clone(), r.seed)).collect();
    let key = |run: &Run| (run.variant.name.clone(), run.decider.word().to_owned(), run.seed);
    let left: Vec<_> = runs.iter().filter(|run| !done.contains(&key(run))).collect();
    // What is kept of this experiment stays; whatever else the file held goes before the first new line.
    let path = folder.join("runs.jsonl");
    write(&path, &kept)?;
    std::fs::write(folder.join("experiment.toml"), &planned.text).map_err(at(folder))?;
    let file = OpenOptions::new().append(true).create(true).open(&path).map_err(at(&path))?;
    let file: Mutex<(File, Vec<Kept>)> = Mutex::new((file, Vec::new()));
    let style = ProgressStyle::with_template("{pos}/{len} runs  {elapsed}  {wide_bar} {eta}");
    let bar = if shown { ProgressBar::new(left.len() as u64) } else { ProgressBar::hidden() };
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    left.par_iter().try_for_each(|run| {
        let one = planned.kept(run, &text);
        let line = serde_json::to_string(&one).map_err(|e| format!("a run cannot be written: {e}"))?;
        let mut locked = file.lock().map_err(|_| "another run's thread ended in a panic".to_string())?;
        writeln!(locked.0, "{line}").and_then(|()| locked.0.flush()).map_err(at(&path))?;
        locked.1.push(one);
        bar.inc(1);
        Ok::<(), String>(())
    })?;
    bar.finish_and_clear();
    let (_, new) = file.into_inner().map_err(|_| "a run's thread ended in a panic".to_string())?;
    kept.extend(new);
    let place = |kept: &Kept| {
        runs.iter().position(|r| (r.variant.name.as_str(), r.decider.word(), r.seed) == kept.key())
    };
    kept.sort_by_key(place);
    write(&path, &kept)?;
    Ok(kept)
}

/// All runs at once, by a file beside it, so that a stop in the midst loses none.
fn write(path: &Path, runs: &[Kept]) -> Result<(), String> {
    let beside = path.with_extension("new");
    let lines: Result<Vec<_>, _> = runs.iter().map(serde_json::to_string).collect();
    let mut lines = lines.map_err(|e| format!("a run cannot be written: {e}"))?.join("\n");
    if !lines.is_empty() {
        lines.push('\n');
    }
    std::fs::write(&beside, lines).and_then(|()| std::fs::rename(&beside, path)).map_err(at(path))
}
