//! What the simulator must be trusted for: queues as theory has them, and the same run from the same seed.

use quillhub_experiments::experiment::Planned;
use quillhub_experiments::results::{Kept, mean};
use quillhub_experiments::{explain, report, sweep};
use quillhub_fakes::scratch::ScratchDirectory;

/// A queue of `workers` with calls of 20 ms on average, `rate` of them a second.
fn queue(workers: usize, rate: f64) -> Planned {
    let text = format!(
        "format = 1
question = 'Are waits those of theory?'
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
    Planned::parse("queue", &text).unwrap_or_else(|e| panic!("{e:?}"))
}

/// The mean wait in a queue by Erlang's C formula.
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

/// Whether the mean wait over 20 seeds lies within 99% confidence of theory's.
fn agrees(workers: usize, rate: f64) {
    let planned = queue(workers, rate);
    let waits: Vec<_> =
        planned.runs().iter().map(|run| planned.play(run, |_, _| {}).tally.queueing.mean() / 1e6).collect();
    let (mean, deviation) = mean(&waits);
    let expected = erlang_wait(workers, rate, 0.02);
    let margin = 2.861 * deviation / (waits.len() as f64).sqrt(); // Student's t, 19 degrees of freedom
    assert!(
        (mean - expected).abs() <= margin,
        "{workers} workers: {mean} s, theory {expected} s, margin {margin} s"
    );
    assert!(margin < 0.1 * expected, "the margin says too little: {margin} of {expected} s");
}

#[test]
fn waits_of_one_worker_are_those_of_m_m_1() {
    assert!((erlang_wait(1, 30.0, 0.02) - 0.03).abs() < 1e-12); // rho / (mu - lambda)
    agrees(1, 30.0);
}

#[test]
fn waits_of_four_workers_are_those_of_m_m_c() {
    agrees(4, 150.0);
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

fn swept(threads: usize, folder: &ScratchDirectory) -> Vec<Kept> {
    let planned = Planned::parse("days", SCENARIOS).unwrap_or_else(|e| panic!("{e:?}"));
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().unwrap();
    pool.install(|| sweep::run(&planned, &folder.0, false)).unwrap()
}

#[test]
fn one_thread_and_four_give_the_same_runs() {
    let (one, four) = (ScratchDirectory::new(), ScratchDirectory::new());
    let (one, four) = (swept(1, &one), swept(4, &four));
    assert_eq!(one, four);
    let mut hashes: Vec<_> = one.iter().map(|run| &run.hash).collect();
    hashes.sort();
    hashes.dedup();
    assert_eq!(hashes.len(), 8); // another seed, another run
    assert!(one.iter().all(|run| run.decider != "module" || run.breaches == 0));
}

/// The hash of a baseline's run: what changes it changes the simulation, not the dispatcher.
#[test]
fn a_baseline_run_has_the_recorded_digest() {
    let planned = Planned::parse("days", SCENARIOS).unwrap_or_else(|e| panic!("{e:?}"));
    let runs = planned.runs();
    let run = runs.iter().find(|run| run.decider.word() == "single").unwrap();
    assert_eq!(format!("{:016x}", planned.play(run, |_, _| {}).hash), RECORDED_DIGEST);
}

const RECORDED_DIGEST: &str = "d52993388ef44c66";

#[test]
fn a_sweep_that_was_cut_off_goes_on_from_there() {
    let folder = ScratchDirectory::new();
    let whole = swept(2, &folder);
    let path = folder.0.join("runs.jsonl");
    let text = std::fs::read_to_string(&path).unwrap();
    let cut = text.match_indices('\n').nth(4).unwrap().0 + 40;
    std::fs::write(&path, &text[..cut]).unwrap();
    assert_eq!(swept(2, &folder), whole);
    assert_eq!(std::fs::read_to_string(&path).unwrap(), text);
}

#[test]
fn a_message_is_explained_from_acceptance_to_final_outcome_and_pages_stand_alone() {
    let folder = ScratchDirectory::new();
    let runs = swept(4, &folder);
    let planned = Planned::parse("days", SCENARIOS).unwrap_or_else(|e| panic!("{e:?}"));
    let lines = explain::explain(&planned, &runs[0], 1).unwrap();
    assert!(
        lines[0].contains("accepts message") && lines.iter().any(|line| line.contains("Delivered")),
        "{lines:?}"
    );
    assert!(explain::explain(&planned, &runs[0], 99_999_999).is_err());
    report::write(&folder.0, &runs).unwrap();
    let page = report::page("days", SCENARIOS, "why", "", &runs).unwrap();
    assert!(page.contains("<svg") && !page.contains("href=") && !page.contains("src="));
    assert_eq!(std::fs::read_to_string(folder.0.join("table.csv")).unwrap().lines().count(), 5);
}
