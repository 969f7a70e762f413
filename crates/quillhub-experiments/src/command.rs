//! The command line.

use crate::experiment::Planned;
use crate::results::Kept;
use crate::{capacity, compare, cost, explain, load, report, results, scale, sweep};
use argh::FromArgs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The laboratory of quillhub: experiments with couriers. All figures of the emulator are simulated.
#[derive(FromArgs)]
struct Line {
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

/// Play an experiment over all cores; goes on where a stopped one ended.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// experiment file
    #[argh(positional)]
    experiment: PathBuf,
    /// folder for results (default: found/ and the experiment's name)
    #[argh(option)]
    out: Option<PathBuf>,
    /// runs played at once (default: one for each core)
    #[argh(option)]
    threads: Option<usize>,
}

/// Read experiment files and say what is wrong with them.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// experiment files
    #[argh(positional)]
    experiments: Vec<PathBuf>,
}

/// Compare two folders of results, or two deciders of one, paired by day and seed.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct Compare {
    /// folder of results
    #[argh(positional)]
    first: PathBuf,
    /// folder of results
    #[argh(positional)]
    second: PathBuf,
    /// decider of the first folder (default: module)
    #[argh(option, default = "String::from(\"module\")")]
    first_decider: String,
    /// decider of the second folder (default: module)
    #[argh(option, default = "String::from(\"module\")")]
    second_decider: String,
}

/// Write one page with the tables and charts of a folder of results.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
struct Report {
    /// folder of results
    #[argh(positional)]
    results: PathBuf,
    /// the page (default: report.html in that folder)
    #[argh(option)]
    out: Option<PathBuf>,
}

/// Tell the life of one notice of a kept run, line by line.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// folder of results, and after a colon the line of its runs.jsonl (default: the first)
    #[argh(positional)]
    run: String,
    /// number of the notice, or of its client's order
    #[argh(positional)]
    notice: u64,
}

/// Load a real courier on loopback, step by step, with the day of an experiment; not simulated.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
struct Load {
    /// experiment file; its first day is played, with one courier
    #[argh(positional)]
    experiment: PathBuf,
    /// folder for results (default: found/ and the experiment's name)
    #[argh(option)]
    out: Option<PathBuf>,
    /// notices a second of each step, set apart by commas (default: doubling up to the knee)
    #[argh(option)]
    rates: Option<String>,
    /// clients' connections at most (default: 64)
    #[argh(option, default = "64")]
    connections: usize,
    /// bytes of a notice's body (default: 200)
    #[argh(option, default = "200")]
    body: usize,
    /// descriptors that the courier may use (default: 4096)
    #[argh(option, default = "4096")]
    sockets: u64,
    /// the courier's program (default: quillhub beside this one)
    #[argh(option)]
    courier: Option<PathBuf>,
}

/// Measure what runs of an experiment's first seed cost in time and memory, one after the other.
#[derive(FromArgs)]
#[argh(subcommand, name = "cost")]
struct Cost {
    /// experiment file
    #[argh(positional)]
    experiment: PathBuf,
}

/// Measure how a real courier's cost grows with one size, amid hollow ones on loopback; not simulated. Bounds (half of
/// the memory, 300 processes, 20,000 descriptors, loopback, the time of a point) are checked before anything starts.
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
struct Scale {
    /// experiment file (experiments/scale-*.toml)
    #[argh(positional)]
    experiment: PathBuf,
    /// folder for results (default: found/ and the experiment's name)
    #[argh(option)]
    out: Option<PathBuf>,
    /// the courier's program (default: quillhub beside this one)
    #[argh(option)]
    courier: Option<PathBuf>,
}

/// Write the tables of the capacity page from the kept runs of the slopes.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct Capacity {
    /// the page (default: docs/CAPACITY.md)
    #[argh(option, default = "PathBuf::from(\"docs/CAPACITY.md\")")]
    page: PathBuf,
    /// folder with the results of the slopes (default: experiments/results)
    #[argh(option, default = "PathBuf::from(\"experiments/results\")")]
    results: PathBuf,
    /// change nothing; say whether the page is what the runs make of it
    #[argh(switch)]
    check: bool,
}

/// Rates as written: numbers over 0.
fn rates(text: &str) -> Result<Vec<f64>, String> {
    let rate = |word: &str| {
        let rate = word.trim().parse().ok().filter(|rate: &f64| *rate > 0.0 && rate.is_finite());
        rate.ok_or(format!("--rates: expected numbers over 0 set apart by commas, found '{word}'"))
    };
    text.split(',').map(rate).collect()
}

/// The kept runs of a folder, and its experiment.
fn kept(folder: &Path) -> Result<(Planned, Vec<Kept>), String> {
    let runs = results::read(folder)?;
    if runs.is_empty() {
        return Err(format!("{}: expected runs in runs.jsonl, found none", folder.display()));
    }
    let mut planned = Planned::read(&folder.join("experiment.toml"))?;
    planned.name = runs[0].experiment.clone();
    Ok((planned, runs))
}

/// The courier's program: as given, or the one beside this program.
fn courier(given: Option<PathBuf>) -> Result<PathBuf, String> {
    let beside = || std::env::current_exe().map(|own| own.with_file_name("quillhub"));
    let program = given.map_or_else(beside, Ok).map_err(|e| format!("--courier: {e}"))?;
    if program.is_file() {
        return Ok(program);
    }
    Err(format!("--courier: expected a program, found none at {}", program.display()))
}

/// The folder as given, or the usual one for the experiment at `path`.
fn folder(given: Option<PathBuf>, path: &Path) -> PathBuf {
    given.unwrap_or_else(|| Path::new("found").join(path.file_stem().unwrap_or_default()))
}

fn play(line: Run) -> Result<(), String> {
    let planned = Planned::read(&line.experiment)?;
    if let Some(threads) = line.threads {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build_global();
        pool.map_err(|e| format!("--threads: {e}"))?;
    }
    let directory = line.out.unwrap_or_else(|| Path::new("found").join(&planned.name));
    let runs = sweep::run(&planned, &directory, true)?;
    report::write(&directory, &runs)?;
    println!("{} (simulated)\n\n{}", planned.name, report::table(&runs));
    println!("in {}", directory.display());
    Ok(())
}

fn check(line: &Check) -> Result<(), String> {
    let faults: Vec<_> = line.experiments.iter().filter_map(|path| Planned::read(path).err()).collect();
    if faults.is_empty() { Ok(()) } else { Err(faults.join("\n")) }
}

/// The runs of one decider.
fn runs_of<'a>(runs: &'a [Kept], decider: &str) -> Result<Vec<&'a Kept>, String> {
    let runs: Vec<_> = runs.iter().filter(|run| run.decider == decider).collect();
    if runs.is_empty() { Err(format!("expected runs of '{decider}', found none")) } else { Ok(runs) }
}

fn compare(line: &Compare) -> Result<(), String> {
    let ((_, first), (_, second)) = (kept(&line.first)?, kept(&line.second)?);
    let first = runs_of(&first, &line.first_decider)?;
    let second = runs_of(&second, &line.second_decider)?;
    let (pairs, differences) = compare::compare(&first, &second);
    if pairs == 0 {
        return Err("expected runs with the same days and seeds, found none".into());
    }
    let name = |directory: &Path, decider: &str| format!("{decider} of {}", directory.display());
    let names = (name(&line.first, &line.first_decider), name(&line.second, &line.second_decider));
    print!("{}", compare::told((&names.0, &names.1), pairs, &differences));
    Ok(())
}

fn write_report(line: Report) -> Result<(), String> {
    let (planned, runs) = kept(&line.results)?;
    let (question, found) = (&planned.of.question, &planned.of.found);
    let page = report::page(&planned.name, &planned.text, question, found, &runs)?;
    let out = line.out.unwrap_or_else(|| line.results.join("report.html"));
    std::fs::write(&out, page).map_err(|e| format!("{}: {e}", out.display()))?;
    println!("{}", out.display());
    Ok(())
}

fn load_instance(line: Load) -> Result<(), String> {
    let planned = Planned::read(&line.experiment)?;
    let rates = line.rates.as_deref().map_or(Ok(Vec::new()), rates)?;
    let program = courier(line.courier)?;
    let seed = planned.of.seeds[0];
    let (connections, body, sockets) = (line.connections, line.body, line.sockets);
    let made = load::Made { program: &program, connections, body, sockets, seed };
    let directory = line.out.unwrap_or_else(|| Path::new("found").join(&planned.name));
    load::run(&planned, &rates, &made, &directory)?;
    println!("in {} (on sockets)", directory.display());
    Ok(())
}

fn measure_cost(line: &Cost) -> Result<(), String> {
    let planned = Planned::read(&line.experiment)?;
    for run in planned.runs().iter().filter(|run| run.seed == planned.of.seeds[0]) {
        println!("{}", cost::measure(&planned, run).line(run).trim_start());
    }
    Ok(())
}

fn explain_message(line: &Explain) -> Result<(), String> {
    let split = line.run.rsplit_once(':').and_then(|(f, n)| Some((f, n.parse::<usize>().ok()?)));
    let (directory, nth) = split.unwrap_or((&line.run, 1));
    let (planned, runs) = kept(Path::new(directory))?;
    let many = runs.len();
    let run = nth.checked_sub(1).and_then(|nth| runs.get(nth));
    let run = run.ok_or(format!("{directory}: expected a line from 1 to {many}, found {nth}"))?;
    explain::explain(&planned, run, line.notice)?.iter().for_each(|line| println!("{line}"));
    Ok(())
}

fn execute(command: Command) -> Result<(), String> {
    match command {
        Command::Run(line) => play(line),
        Command::Check(line) => check(&line),
        Command::Compare(line) => compare(&line),
        Command::Report(line) => write_report(line),
        Command::Load(line) => load_instance(line),
        Command::Cost(line) => measure_cost(&line),
        Command::Scale(line) => {
            let program = courier(line.courier)?;
            scale::run(&line.experiment, &program, &folder(line.out, &line.experiment))
        }
        Command::Capacity(line) if line.check => capacity::check(&line.page, &line.results),
        Command::Capacity(line) => capacity::write(&line.page, &line.results),
        Command::Explain(line) => explain_message(&line),
    }
}

/// Reads the command line and executes it; what is wrong is told in one line, with exit status 2.
pub fn main() -> ExitCode {
    let line: Line = argh::from_env();
    match execute(line.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
