//! Runs two builds of the `quillhub` program together, to check an upgrade and a rollback:
//!
//! - `takeover FIRST SECOND`: FIRST is killed under load, then SECOND starts on its state directory. Every accepted
//!   message must have exactly one outcome, and no at-most-once message may be executed twice.
//! - `gossip PROGRAM...`: one instance of each program exchange gossip. Each in turn delivers to a destination that
//!   has recovered, and every other instance must learn of the recovery from its datagram.
//!
//! Exit status: 0 if all checks pass, 1 if one does not, 2 if the command line cannot be read.

mod gossip;
mod instance;
mod takeover;

use quillhub_fakes::scratch::on_one_thread;
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "usage: mixed_versions takeover FIRST SECOND | mixed_versions gossip PROGRAM...";

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let command = arguments.next().unwrap_or_default();
    let programs: Vec<PathBuf> = arguments.map(PathBuf::from).collect();
    let result = match (command.as_str(), programs.as_slice()) {
        ("takeover", [first, second]) => on_one_thread(takeover::run(first, second)),
        ("gossip", [_, _, ..]) => on_one_thread(gossip::run(&programs)),
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("FAILED: {failure}");
            ExitCode::FAILURE
        }
    }
}
