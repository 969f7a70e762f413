//! The program `quillhub-lab`.

fn main() -> std::process::ExitCode {
    quillhub_lab::command::main()
}
