//! The program: all of it is in the library.

fn main() -> std::process::ExitCode {
    quillhub_server::command::run()
}
