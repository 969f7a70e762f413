//! Hosts many couriers, which share nothing, on the bench's wire: batches of lines in, one reply a batch out.

mod reply;
mod wire;

use std::io::{BufWriter, stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    match wire::serve(stdin().lock(), BufWriter::new(stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(trouble) => {
            eprintln!("quillhub-bench-adapter: {trouble}");
            ExitCode::from(2)
        }
    }
}
