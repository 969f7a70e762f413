//! Command line of `quillhub-experiment`.

use crate::experiment::ExperimentPlan;
use crate::results::RunRecord;
use crate::{capacity, compare, cost, explain, load, report, results, scale, sweep};
use argh::FromArgs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Runs experiments with quillhub instances, in the simulator or on loopback. Figures from the simulator are simulated,
/// not measured.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(Run),
    Check(Check),
    Compare(Compare),
    Report(Report),
    Explain(Explain),
    Load(Load),
    Cost(Cost),
    Scale(Scale),
    Capacity(Capacity),
}

/// Run an experiment in the simulator on all cores; an interrupted one is resumed.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// experiment file
    #[argh(positional)]
    experiment: PathBuf,
    /// directory for results (default: found/NAME for experiment NAME)
    #[argh(option)]
    out: Option<PathBuf>,
    /// number of parallel runs (default: one per core)
    #[argh(option)]
    threads: Option<usize>,
}

/// Check experiment files and report the first mistake in each.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// experiment files
    #[argh(positional)]
    experiments: Vec<PathBuf>,
}

/// Compare two directories of results, or two deciders in one, paired by variant and seed.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct Compare {
    /// directory of results
    #[argh(positional)]
    first: PathBuf,
    /// directory of results
    #[argh(positional)]
    second: PathBuf,
    /// decider of the first directory (default: module)
    #[argh(option, default = "String::from(\"module\")")]
    first_decider: String,
    /// decider of the second directory (default: module)
    #[argh(option, default = "String::from(\"module\")")]
    second_decider: String,
}

/// Write an HTML page with the tables and charts of a directory of results.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
struct Report {
    /// directory of results
    #[argh(positional)]
    results: PathBuf,
    /// HTML file to write (default: report.html in that directory)
    #[argh(option)]
    out: Option<PathBuf>,
}

/// Print the events of one message in a kept run, which is simulated again.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// directory of results, optionally followed by a colon and a line number of its runs.jsonl (default: 1)
    #[argh(positional)]
    run: String,
    /// id of the message, or number of the client's request
    #[argh(positional)]
    message: u64,
}

/// Load a real instance on loopback with the scenario of an experiment, one rate after the other; not simulated.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
struct Load {
    /// experiment file; its first variant is used, which must have one instance
    #[argh(positional)]
    experiment: PathBuf,
    /// directory for results (default: found/NAME for experiment NAME)
    #[argh(option)]
    out: Option<PathBuf>,
    /// comma-separated rates in messages per second (default: search for the highest sustained rate by doubling
    /// and bisection)
    #[argh(option)]
    rates: Option<String>,
    /// maximum number of client connections (default: 64)
    #[argh(option, default = "64")]
    connections: usize,
    /// size of a message body in bytes (default: 200)
    #[argh(option, default = "200")]
    body: usize,
    /// number of file descriptors that the instance may use (default: 4096)
    #[argh(option, default = "4096")]
    sockets: u64,
    /// program of the instance (default: quillhub in the directory of this program)
    #[argh(option)]
    courier: Option<PathBuf>,
}

/// Measure the time and memory of the runs with an experiment's first seed, one run after the other.
#[derive(FromArgs)]
#[argh(subcommand, name = "cost")]
struct Cost {
    /// experiment file
    #[argh(positional)]
    experiment: PathBuf,
}

/// Measure how the cost of a real instance grows with one size, among lightweight instances on loopback; not simulated.
/// Memory (at most half), processes (at most 300), file descriptors (at most 20,000) and the times of the file are
/// checked before anything starts.
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
struct Scale {
    /// experiment file (experiments/scale-*.toml)
    #[argh(positional)]
    experiment: PathBuf,
    /// directory for results (default: found/NAME for experiment NAME)
    #[argh(option)]
    out: Option<PathBuf>,
    /// program of the instance (default: quillhub in the directory of this program)
    #[argh(option)]
    courier: Option<PathBuf>,
}

/// Write the tables of the capacity page from the kept results of the scale tests.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct Capacity {
    /// capacity page (default: docs/CAPACITY.md)
    #[argh(option, default = "PathBuf::from(\"docs/CAPACITY.md\")")]
    page: PathBuf,
    /// directory with the results of the scale tests (default: experiments/results)
    #[argh(option, default = "PathBuf::from(\"experiments/results\")")]
    results: PathBuf,
    /// do not write; fail if the page differs from the kept results
    #[argh(switch)]
    check: bool,
}

/// Parses comma-separated rates, which must be positive and finite.
fn parse_rates(text: &str) -> Result<Vec<f64>, String> {
    let parse_rate = |text: &str| {
        let rate = text.trim().parse().ok().filter(|rate: &f64| *rate > 0.0 && rate.is_finite());
        rate.ok_or(format!("--rates: expected comma-separated numbers greater than 0, found '{text}'"))
    };
    text.split(',').map(parse_rate).collect()
}

/// Reads the experiment and its runs from a directory of results; returns an error if there are no runs.
fn read_results(directory: &Path) -> Result<(ExperimentPlan, Vec<RunRecord>), String> {
    let runs = results::read(directory)?;
    if runs.is_empty() {
        return Err(format!("{}: expected runs in runs.jsonl, found none", directory.display()));
    }
    let mut plan = ExperimentPlan::read(&directory.join("experiment.toml"))?;
    plan.name = runs[0].experiment.clone();
    Ok((plan, runs))
}

/// Returns the path of the instance's program; without `path`, that of `quillhub` in the directory of this program.
fn instance_program(path: Option<PathBuf>) -> Result<PathBuf, String> {
    let default_path = || std::env::current_exe().map(|own| own.with_file_name("quillhub"));
    let program = path.map_or_else(default_path, Ok).map_err(|e| format!("--courier: {e}"))?;
    if program.is_file() {
        return Ok(program);
    }
    Err(format!("--courier: expected a program, found none at {}", program.display()))
}

/// Returns the output directory; without `path`, the default directory for the experiment file `experiment`.
fn output_directory(path: Option<PathBuf>, experiment: &Path) -> PathBuf {
    path.unwrap_or_else(|| Path::new("found").join(experiment.file_stem().unwrap_or_default()))
}

fn run_experiment(arguments: Run) -> Result<(), String> {
    let plan = ExperimentPlan::read(&arguments.experiment)?;
    if let Some(threads) = arguments.threads {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build_global();
        pool.map_err(|e| format!("--threads: {e}"))?;
    }
    let directory = arguments.out.unwrap_or_else(|| Path::new("found").join(&plan.name));
    let runs = sweep::run(&plan, &directory, true)?;
    report::write(&directory, &runs)?;
    println!("{} (simulated)\n\n{}", plan.name, report::table(&runs));
    println!("results in {}", directory.display());
    Ok(())
}

fn check(arguments: &Check) -> Result<(), String> {
    let errors: Vec<_> =
        arguments.experiments.iter().filter_map(|path| ExperimentPlan::read(path).err()).collect();
    if errors.is_empty() { Ok(()) } else { Err(errors.join("\n")) }
}

/// Returns the runs of one decider, or an error if there are none.
fn runs_of<'a>(runs: &'a [RunRecord], decider: &str) -> Result<Vec<&'a RunRecord>, String> {
    let runs: Vec<_> = runs.iter().filter(|run| run.decider == decider).collect();
    if runs.is_empty() { Err(format!("expected runs of '{decider}', found none")) } else { Ok(runs) }
}

fn compare(arguments: &Compare) -> Result<(), String> {
    let ((_, first), (_, second)) = (read_results(&arguments.first)?, read_results(&arguments.second)?);
    let first = runs_of(&first, &arguments.first_decider)?;
    let second = runs_of(&second, &arguments.second_decider)?;
    let (pairs, differences) = compare::compare(&first, &second);
    if pairs == 0 {
        return Err("expected runs with the same variants and seeds, found none".into());
    }
    let name = |directory: &Path, decider: &str| format!("{decider} of {}", directory.display());
    let names = (
        name(&arguments.first, &arguments.first_decider),
        name(&arguments.second, &arguments.second_decider),
    );
    print!("{}", compare::format_differences((&names.0, &names.1), pairs, &differences));
    Ok(())
}

fn write_report(arguments: Report) -> Result<(), String> {
    let (plan, runs) = read_results(&arguments.results)?;
    let (question, found) = (&plan.definition.question, &plan.definition.found);
    let page = report::page(&plan.name, &plan.text, question, found, &runs)?;
    let out = arguments.out.unwrap_or_else(|| arguments.results.join("report.html"));
    std::fs::write(&out, page).map_err(|e| format!("{}: {e}", out.display()))?;
    println!("{}", out.display());
    Ok(())
}

fn load_instance(arguments: Load) -> Result<(), String> {
    let plan = ExperimentPlan::read(&arguments.experiment)?;
    let rates = arguments.rates.as_deref().map_or(Ok(Vec::new()), parse_rates)?;
    let program = instance_program(arguments.courier)?;
    let seed = plan.definition.seeds[0];
    let (connections, body_bytes, sockets) = (arguments.connections, arguments.body, arguments.sockets);
    let options = load::LoadOptions { program: &program, connections, body_bytes, sockets, seed };
    let directory = arguments.out.unwrap_or_else(|| Path::new("found").join(&plan.name));
    load::run(&plan, &rates, &options, &directory)?;
    println!("results in {} (on sockets)", directory.display());
    Ok(())
}

fn measure_cost(arguments: &Cost) -> Result<(), String> {
    let plan = ExperimentPlan::read(&arguments.experiment)?;
    for run in plan.runs().iter().filter(|run| run.seed == plan.definition.seeds[0]) {
        println!("{}", cost::measure(&plan, run).summary(run).trim_start());
    }
    Ok(())
}

fn explain_message(arguments: &Explain) -> Result<(), String> {
    let split = arguments.run.rsplit_once(':').and_then(|(f, n)| Some((f, n.parse::<usize>().ok()?)));
    let (directory, number) = split.unwrap_or((&arguments.run, 1));
    let (plan, runs) = read_results(Path::new(directory))?;
    let run_count = runs.len();
    let run = number.checked_sub(1).and_then(|number| runs.get(number));
    let run = run.ok_or(format!("{directory}: expected a line from 1 to {run_count}, found {number}"))?;
    explain::explain(&plan, run, arguments.message)?.iter().for_each(|line| println!("{line}"));
    Ok(())
}

fn execute(command: Command) -> Result<(), String> {
    match command {
        Command::Run(arguments) => run_experiment(arguments),
        Command::Check(arguments) => check(&arguments),
        Command::Compare(arguments) => compare(&arguments),
        Command::Report(arguments) => write_report(arguments),
        Command::Load(arguments) => load_instance(arguments),
        Command::Cost(arguments) => measure_cost(&arguments),
        Command::Scale(arguments) => {
            let program = instance_program(arguments.courier)?;
            scale::run(
                &arguments.experiment,
                &program,
                &output_directory(arguments.out, &arguments.experiment),
            )
        }
        Command::Capacity(arguments) if arguments.check => {
            capacity::check(&arguments.page, &arguments.results)
        }
        Command::Capacity(arguments) => capacity::write(&arguments.page, &arguments.results),
        Command::Explain(arguments) => explain_message(&arguments),
    }
}

/// Parses and executes the command line; an error is printed to standard error, with exit status 2.
pub fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match execute(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
