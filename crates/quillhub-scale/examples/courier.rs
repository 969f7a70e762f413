//! The instance's own command line, so that the tests of this package have its process beside them.

fn main() -> std::process::ExitCode {
    quillhub_server::command::run()
}
