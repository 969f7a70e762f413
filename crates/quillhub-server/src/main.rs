//! Program `quillhub`, implemented in the library.

fn main() -> std::process::ExitCode {
    quillhub_server::command::run()
}
