//! Runs seeds of the fault laboratory against a build of `quillhub`, one after the other:
//!
//! `fault_laboratory PROGRAM --seeds A..B [--plan PLAN] [--logs DIRECTORY]`
//!
//! PLAN is `surplus-responses` (default), `spoilt-rejections`, `copies-before-hangs`, `copies-on-the-way`, `hold-ups`,
//! `hold-ups-ordered`, `hold-ups-unstamped`, `simultaneous-deadlines`, `over-responses`, `own-over-responses`, `short-io`, `sockets`,
//! `wall-clock`, `storage`, `all-faults` or `no-faults`. Prints a line for each seed and the timeline of each message that broke a rule. Exit status:
//! 0 if no rule broke, 1 if one did, 2 if the command line cannot be read or a run cannot be started.

use quillhub_fakes::laboratory::{Plan, run};
use quillhub_fakes::scratch::on_one_thread;
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "usage: fault_laboratory PROGRAM --seeds A..B \
    [--plan surplus-responses|spoilt-rejections|copies-before-hangs|copies-on-the-way|hold-ups|hold-ups-ordered|hold-ups-unstamped|simultaneous-deadlines|over-responses|own-over-responses|short-io|sockets|wall-clock|storage|all-faults|no-faults] [--logs DIRECTORY]";
/// Number of messages whose timelines are printed for a seed.
const MAX_TIMELINES: usize = 3;

struct Options {
    program: PathBuf,
    seeds: Range<u64>,
    plan: fn(u64) -> Plan,
    logs: Option<PathBuf>,
}

fn parse_options() -> Option<Options> {
    let mut arguments = std::env::args().skip(1);
    let program = PathBuf::from(arguments.next()?);
    let mut options = Options { program, seeds: 0..0, plan: Plan::with_surplus_responses, logs: None };
    while let Some(name) = arguments.next() {
        let value = arguments.next()?;
        match (name.as_str(), value.as_str()) {
            ("--seeds", _) => {
                let (first, end) = value.split_once("..")?;
                options.seeds = first.parse().ok()?..end.parse().ok()?;
            }
            ("--plan", "surplus-responses") => options.plan = Plan::with_surplus_responses,
            ("--plan", "spoilt-rejections") => options.plan = Plan::with_spoilt_rejections,
            ("--plan", "over-responses") => options.plan = Plan::with_over_responses,
            ("--plan", "own-over-responses") => options.plan = Plan::with_own_over_responses,
            ("--plan", "copies-before-hangs") => options.plan = Plan::with_copies_before_hangs,
            ("--plan", "copies-on-the-way") => options.plan = Plan::with_copies_on_the_way,
            ("--plan", "hold-ups") => options.plan = Plan::with_hold_ups,
            ("--plan", "hold-ups-ordered") => options.plan = Plan::with_hold_ups_and_ordering_keys,
            ("--plan", "hold-ups-unstamped") => options.plan = Plan::with_hold_ups_and_unstamped_input,
            ("--plan", "simultaneous-deadlines") => options.plan = Plan::with_simultaneous_deadlines,
            ("--plan", "short-io") => options.plan = Plan::with_short_io,
            ("--plan", "sockets") => options.plan = Plan::with_socket_faults,
            ("--plan", "wall-clock") => options.plan = Plan::with_wall_clock_step,
            ("--plan", "all-faults") => options.plan = Plan::with_all_faults,
            ("--plan", "storage") => options.plan = Plan::with_storage_faults,
            ("--plan", "no-faults") => options.plan = Plan::without_faults,
            ("--logs", _) => options.logs = Some(value.into()),
            _ => return None,
        }
    }
    Some(options)
}

fn main() -> ExitCode {
    let Some(options) = parse_options() else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    let mut is_broken = false;
    for seed in options.seeds {
        let plan = (options.plan)(seed);
        let logs = options.logs.as_ref().map(|directory| directory.join(seed.to_string()));
        match on_one_thread(run(&options.program, &plan, logs.as_deref())) {
            Ok(verdict) => {
                println!(
                    "seed {seed}: {verdict}; copies {:?}, restarts {}",
                    plan.copies,
                    plan.restarts.len()
                );
                for (violation, timeline) in verdict.violations.iter().take(MAX_TIMELINES) {
                    println!("{violation:?}: {timeline}");
                }
                is_broken |= !verdict.violations.is_empty();
            }
            Err(error) => {
                eprintln!("seed {seed}: {error}");
                return ExitCode::from(2);
            }
        }
    }
    if is_broken { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
