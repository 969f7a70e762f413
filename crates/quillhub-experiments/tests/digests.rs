//! Hashes of all runs and the table of three short experiments, compared with recorded ones. Guards against changes of
//! behaviour, and against results that depend on the number of threads.

use quillhub_experiments::experiment::ExperimentPlan;
use quillhub_experiments::results::RunRecord;
use quillhub_experiments::{report, sweep};
use quillhub_fakes::scratch::ScratchDirectory;

const RETRY_STORM: &str = include_str!("experiments/short-retry-storm.toml");
const ZONE_CUT: &str = include_str!("experiments/short-zone-cut.toml");
const DISCOVERY_OUTAGE: &str = include_str!("experiments/short-register-lost.toml");

const RETRY_STORM_RECORD: &str = include_str!("experiments/short-retry-storm.txt");
const ZONE_CUT_RECORD: &str = include_str!("experiments/short-zone-cut.txt");
const DISCOVERY_OUTAGE_RECORD: &str = include_str!("experiments/short-register-lost.txt");

/// Numbers of threads with which the runs must be equal.
const THREADS: [usize; 2] = [1, 4];

/// Returns a line with the hash of each run, an empty line, and the printed table.
fn record(runs: &[RunRecord]) -> String {
    let line = |run: &RunRecord| {
        let (variant, decider, seed) = run.key();
        let variant = if variant.is_empty() { "-" } else { variant };
        format!("{variant} {decider} seed {seed}: {}, breaches {}\n", run.hash, run.breaches)
    };
    let hashes: String = runs.iter().map(line).collect();
    format!("{hashes}\n{}", report::table(runs))
}

fn run(name: &str, text: &str, threads: usize) -> String {
    let directory = ScratchDirectory::new();
    let experiment = ExperimentPlan::parse(name, text).unwrap_or_else(|e| panic!("{name}: {e:?}"));
    let pool =
        rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("the thread pool can be created");
    let runs =
        pool.install(|| sweep::run(&experiment, &directory.0, false)).expect("the results can be written");
    record(&runs)
}

fn assert_runs_as_recorded(name: &str, text: &str, expected: &str) {
    for threads in THREADS {
        let found = run(name, text, threads);
        assert!(found == expected, "{name} with {threads} threads, found:\n{found}expected:\n{expected}");
    }
}

#[test]
fn silent_destinations_give_the_recorded_hashes_and_table() {
    assert_runs_as_recorded("short-retry-storm", RETRY_STORM, RETRY_STORM_RECORD);
}

#[test]
fn a_cut_between_zones_gives_the_recorded_hashes_and_table() {
    assert_runs_as_recorded("short-zone-cut", ZONE_CUT, ZONE_CUT_RECORD);
}

#[test]
fn an_unreachable_service_discovery_gives_the_recorded_hashes_and_table() {
    assert_runs_as_recorded("short-register-lost", DISCOVERY_OUTAGE, DISCOVERY_OUTAGE_RECORD);
}
