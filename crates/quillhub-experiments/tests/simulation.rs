//! Properties of the simulator on which the experiments rely: queueing times agree with theory, and the same seed gives
//! the same run.

use quillhub_experiments::experiment::ExperimentPlan;
use quillhub_experiments::results::{RunRecord, mean_and_deviation};
use quillhub_experiments::{explain, report, sweep};
use quillhub_fakes::scratch::ScratchDirectory;

/// Returns an experiment with one endpoint with one queue and `workers` workers, calls of 20 ms on average and `rate`
/// calls per second.
fn queue_plan(workers: usize, rate: f64) -> ExperimentPlan {
    let text = format!(
        "format = 1
question = 'Do queueing times agree with theory?'
seeds = [{}]
deciders = ['single']
[day]
length = '400 s'
[day.couriers]
slots = 1000000
room = 1000000
[day.network]
within = '0 s'
jitter = 0.0
handshake = '0 s'
[[day.grades]]
name = 'g'
effect = 'retriable'
contract = '1 min'
limit = '1 h'
[[day.destinations]]
kind = 'k'
workers = {workers}
queue = 1000000
service = {{ mean = '20 ms', law = 'exponential' }}
[[day.arrivals]]
per_s = {rate:?}
",
        (1..=20).map(|n| n.to_string()).collect::<Vec<_>>().join(", "),
    );
    ExperimentPlan::parse("queue", &text).unwrap_or_else(|e| panic!("{e:?}"))
}

/// Returns the mean queueing time in seconds by Erlang's C formula.
fn erlang_wait(workers: usize, rate: f64, mean_s: f64) -> f64 {
    let load = rate * mean_s;
    let (mut term, mut sum) = (1.0, 1.0);
    for n in 1..workers {
        term *= load / n as f64;
        sum += term;
    }
    let last = term * load / workers as f64 / (1.0 - load / workers as f64);
    last / (sum + last) / (workers as f64 / mean_s - rate)
}

/// Asserts that the mean queueing time over 20 seeds agrees with theory at 99% confidence.
fn assert_mean_wait_agrees_with_theory(workers: usize, rate: f64) {
    let plan = queue_plan(workers, rate);
    let waits: Vec<_> = plan
        .runs()
        .iter()
        .map(|run| plan.simulate(run, |_, _| {}).tally.time_to_worker_us.mean() / 1e6)
        .collect();
    let (mean, deviation) = mean_and_deviation(&waits);
    let expected = erlang_wait(workers, rate, 0.02);
    let margin = 2.861 * deviation / (waits.len() as f64).sqrt(); // Student's t, 19 degrees of freedom
    assert!(
        (mean - expected).abs() <= margin,
        "{workers} workers: {mean} s, theory {expected} s, margin {margin} s"
    );
    assert!(margin < 0.1 * expected, "the margin is too wide: {margin} s of {expected} s");
}

#[test]
fn queueing_times_of_one_worker_agree_with_m_m_1() {
    assert!((erlang_wait(1, 30.0, 0.02) - 0.03).abs() < 1e-12); // rho / (mu - lambda)
    assert_mean_wait_agrees_with_theory(1, 30.0);
}

#[test]
fn queueing_times_of_four_workers_agree_with_m_m_c() {
    assert_mean_wait_agrees_with_theory(4, 150.0);
}

const SCENARIOS: &str = "format = 1
question = 'Same seed, same run?'
seeds = [1, 2]
deciders = ['module', 'single']
[sweep]
'arrivals.0.per_s' = [10.0, 20.0]
[day]
length = '20 s'
[day.couriers]
count = 2
zones = ['east', 'west']
[[day.grades]]
name = 'g'
effect = 'fingerprinted'
memory = '6 s'
contract = '1 s'
limit = '8 s'
[[day.destinations]]
kind = 'k'
count = 4
endpoints = 2
service = { mean = '60 ms' }
reports = true
[[day.arrivals]]
per_s = 10.0
[[day.faults]]
at = '5 s'
lasts = '5 s'
what = 'refuse'
whom = { share = 0.5 }
[[day.faults]]
at = '8 s'
lasts = '6 s'
what = { drain = { same_address = true } }
whom = { endpoints = 1 }
";

fn run_sweep(threads: usize, directory: &ScratchDirectory) -> Vec<RunRecord> {
    let plan = ExperimentPlan::parse("days", SCENARIOS).unwrap_or_else(|e| panic!("{e:?}"));
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().unwrap();
    pool.install(|| sweep::run(&plan, &directory.0, false)).unwrap()
}

/// Guards against results that depend on the order in which threads finish their runs.
#[test]
fn one_thread_and_four_give_the_same_runs() {
    let (one_directory, four_directory) = (ScratchDirectory::new(), ScratchDirectory::new());
    let (one, four) = (run_sweep(1, &one_directory), run_sweep(4, &four_directory));
    assert_eq!(one, four);
    let mut hashes: Vec<_> = one.iter().map(|run| &run.hash).collect();
    hashes.sort();
    hashes.dedup();
    assert_eq!(hashes.len(), 8); // runs with different seeds differ
    assert!(one.iter().all(|run| run.decider != "module" || run.breaches == 0));
}

/// Guards against unintended changes of the simulation: a baseline's run does not depend on the dispatcher.
#[test]
fn a_baseline_run_has_the_recorded_hash() {
    let plan = ExperimentPlan::parse("days", SCENARIOS).unwrap_or_else(|e| panic!("{e:?}"));
    let runs = plan.runs();
    let run = runs.iter().find(|run| run.decider.name() == "single").unwrap();
    assert_eq!(format!("{:016x}", plan.simulate(run, |_, _| {}).hash), RECORDED_HASH);
}

/// Hash of the first run of the baseline `single`.
const RECORDED_HASH: &str = "d52993388ef44c66";

/// The program may be stopped while it writes a result, which leaves an incomplete last line.
#[test]
fn an_interrupted_sweep_is_resumed() {
    let directory = ScratchDirectory::new();
    let complete = run_sweep(2, &directory);
    let path = directory.0.join("runs.jsonl");
    let text = std::fs::read_to_string(&path).unwrap();
    let cut_offset = text.match_indices('\n').nth(4).unwrap().0 + 40;
    std::fs::write(&path, &text[..cut_offset]).unwrap();
    assert_eq!(run_sweep(2, &directory), complete);
    assert_eq!(std::fs::read_to_string(&path).unwrap(), text);
}

/// The page must not refer to other files, so that it can be read without them.
#[test]
fn a_message_is_explained_up_to_its_final_outcome_and_the_page_is_self_contained() {
    let directory = ScratchDirectory::new();
    let runs = run_sweep(4, &directory);
    let plan = ExperimentPlan::parse("days", SCENARIOS).unwrap_or_else(|e| panic!("{e:?}"));
    let lines = explain::explain(&plan, &runs[0], 1).unwrap();
    assert!(
        lines[0].contains("accepts message") && lines.iter().any(|line| line.contains("Delivered")),
        "{lines:?}"
    );
    assert!(explain::explain(&plan, &runs[0], 99_999_999).is_err());
    report::write(&directory.0, &runs).unwrap();
    let page = report::page("days", SCENARIOS, "why", "", &runs).unwrap();
    assert!(page.contains("<svg") && !page.contains("href=") && !page.contains("src="));
    assert_eq!(std::fs::read_to_string(directory.0.join("table.csv")).unwrap().lines().count(), 5);
}
