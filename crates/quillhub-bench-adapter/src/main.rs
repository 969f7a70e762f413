//! Runs gateway instances under the bench's simulator: reads batches of event lines from standard input, and answers
//! each batch with one reply of action lines on standard output.

mod adapter;
mod error;
mod events;
mod fields;
mod lists;
mod reply;
mod session;

use std::io::{BufWriter, stdin, stdout};
use std::process::ExitCode;

/// Exit status after malformed input, or a failure to read input or write a reply.
const EXIT_FAILURE: u8 = 2;

fn main() -> ExitCode {
    match session::serve(stdin().lock(), BufWriter::new(stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quillhub-bench-adapter: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
