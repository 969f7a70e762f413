//! Command line of an instance, as an example so that the tests of this package find its program beside them.

fn main() -> std::process::ExitCode {
    quillhub_server::command::run()
}
