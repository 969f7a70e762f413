//! The command line.

use argh::FromArgs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// A courier of quillhub, an outbound gateway: takes notices and delivers them to partners' systems.
#[derive(FromArgs)]
struct Line {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Check(Check),
    Version(Version),
}

/// Run a courier until SIGTERM or SIGINT; SIGHUP makes it read its configuration again.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// configuration file (default: the one that $RELAY_CONFIG names)
    #[argh(option)]
    config: Option<PathBuf>,
    /// folder that outlasts the process (default: the one that $RELAY_STATE names)
    #[argh(option)]
    state: Option<PathBuf>,
    /// least level of log lines: error, warn, info, debug or trace (default: info)
    #[argh(option, default = "tracing::Level::INFO")]
    log: tracing::Level,
}

/// Read a configuration file and say what is wrong with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// configuration file (default: the one that $RELAY_CONFIG names)
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn place(given: Option<PathBuf>, variable: &str, option: &str) -> Result<PathBuf, String> {
    let named = given.or_else(|| std::env::var_os(variable).map(PathBuf::from));
    named.ok_or(format!("expected {option} or ${variable}, found neither"))
}

fn text(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn serve(config: &Path, state: &Path) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("the runtime cannot start: {e}"))?;
    runtime.block_on(async {
        let signals = |kind| signal(kind).map_err(|e| format!("signals cannot be caught: {e}"));
        // All are caught before anything else is done: one that is not ends the process.
        let mut hangup = signals(SignalKind::hangup())?;
        let (mut term, mut interrupt) =
            (signals(SignalKind::terminate())?, signals(SignalKind::interrupt())?);
        let stop = async move {
            tokio::select! {
                _ = term.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        let next = async || match hangup.recv().await {
            Some(()) => text(config),
            None => std::future::pending().await,
        };
        crate::serve(&text(config)?, state, stop, next).await.map_err(|error| error.to_string())
    })
}

fn obey(command: Command) -> Result<(), String> {
    match command {
        Command::Serve(serve_with) => {
            let subscriber = tracing_subscriber::fmt().with_max_level(serve_with.log).with_ansi(false);
            subscriber.with_writer(std::io::stderr).init();
            let config = place(serve_with.config, "RELAY_CONFIG", "--config")?;
            serve(&config, &place(serve_with.state, "RELAY_STATE", "--state")?)
        }
        Command::Check(check) => {
            crate::check(&text(&place(check.config, "RELAY_CONFIG", "--config")?)?)?;
            println!("the configuration can be used");
            Ok(())
        }
        Command::Version(Version {}) => {
            println!("quillhub {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

/// Reads the command line and obeys it; what fails is told in one line, with exit status 2.
pub fn run() -> ExitCode {
    match obey(argh::from_env::<Line>().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(trouble) => {
            eprintln!("quillhub: {trouble}");
            ExitCode::from(2)
        }
    }
}
