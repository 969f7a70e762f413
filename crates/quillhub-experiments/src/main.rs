//! Entry point of the program `quillhub-experiment`.

fn main() -> std::process::ExitCode {
    quillhub_experiments::command::main()
}
