//! Hosts many instances, which share nothing, on the bench's wire: batches of lines in, one reply a batch out.

mod adapter;
mod error;
mod events;
mod fields;
mod lists;
mod reply;
mod session;

use std::io::{BufWriter, stdin, stdout};
use std::process::ExitCode;

/// Exit status after input that cannot be understood.
const REFUSED: u8 = 2;

fn main() -> ExitCode {
    match session::serve(stdin().lock(), BufWriter::new(stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quillhub-bench-adapter: {error}");
            ExitCode::from(REFUSED)
        }
    }
}
