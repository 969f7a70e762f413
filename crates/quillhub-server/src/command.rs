//! Command line of the program `quillhub`.
//!
//! Invariant: the error of a failed command is printed to standard error as one line, and the exit status is 2.

use crate::{ConfigurationError, ReadError, ServeError};
use argh::FromArgs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit status of a command that failed. A command line that cannot be parsed has status 1, which argh sets.
const EXIT_FAILURE: u8 = 2;

/// Source of the path of the configuration file.
const CONFIGURATION_PATH: PathSource = PathSource { option: "--config", variable: "RELAY_CONFIG" };
/// Source of the path of the state directory.
const STATE_DIRECTORY_PATH: PathSource = PathSource { option: "--state", variable: "RELAY_STATE" };

// `--help` prints the doc comments of the following types.

/// Outbound message gateway: accepts messages from clients and delivers them to the endpoints of their destinations.
#[derive(FromArgs)]
struct Arguments {
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

/// Run a gateway instance until SIGTERM or SIGINT; SIGHUP reloads the configuration file.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// configuration file (default: $RELAY_CONFIG)
    #[argh(option)]
    config: Option<PathBuf>,
    /// state directory, which must be kept across restarts (default: $RELAY_STATE)
    #[argh(option)]
    state: Option<PathBuf>,
    /// minimum level of log events: error, warn, info, debug or trace (default: info)
    #[argh(option, default = "tracing::Level::INFO")]
    log: tracing::Level,
}

/// Check a configuration file and print the first error in it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// configuration file (default: $RELAY_CONFIG)
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Error of a command.
#[derive(Debug, Error)]
enum CommandError {
    #[error("expected {} or ${}, found neither", .0.option, .0.variable)]
    MissingPath(PathSource),
    #[error(transparent)]
    Read(#[from] ReadError),
    #[error("the async runtime cannot be started: {0}")]
    Runtime(#[source] io::Error),
    #[error("signal handlers cannot be installed: {0}")]
    Signals(#[source] io::Error),
    #[error(transparent)]
    Check(#[from] ConfigurationError),
    #[error(transparent)]
    Serve(#[from] ServeError),
}

/// Option for a path, with the environment variable that is used if the option is missing.
#[derive(Clone, Copy, Debug)]
struct PathSource {
    option: &'static str,
    variable: &'static str,
}

impl PathSource {
    /// Returns the path given by the option, or else the one in the environment variable.
    fn get(self, option: Option<PathBuf>) -> Result<PathBuf, CommandError> {
        option
            .or_else(|| std::env::var_os(self.variable).map(PathBuf::from))
            .ok_or(CommandError::MissingPath(self))
    }
}

/// Reads a text file; the error names its path.
fn read_file(path: &Path) -> Result<String, ReadError> {
    std::fs::read_to_string(path).map_err(|source| ReadError { path: path.to_owned(), source })
}

/// Installs a handler for a signal, which from then on no longer ends the process.
fn install_handler(kind: SignalKind) -> Result<Signal, CommandError> {
    signal(kind).map_err(CommandError::Signals)
}

impl Serve {
    fn execute(self) -> Result<(), CommandError> {
        let subscriber = tracing_subscriber::fmt().with_max_level(self.log).with_ansi(false);
        subscriber.with_writer(std::io::stderr).init();
        let configuration = CONFIGURATION_PATH.get(self.config)?;
        let state_directory = STATE_DIRECTORY_PATH.get(self.state)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.map_err(CommandError::Runtime)?.block_on(serve(&configuration, &state_directory))
    }
}

/// Serves until SIGTERM or SIGINT, and reloads the configuration file on SIGHUP.
async fn serve(configuration: &Path, state_directory: &Path) -> Result<(), CommandError> {
    // Installed before anything else, because a signal without a handler ends the process.
    let mut hangup = install_handler(SignalKind::hangup())?;
    let mut terminate = install_handler(SignalKind::terminate())?;
    let mut interrupt = install_handler(SignalKind::interrupt())?;
    let stop = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    let next_configuration = async || match hangup.recv().await {
        Some(()) => read_file(configuration),
        None => std::future::pending().await,
    };
    let text = read_file(configuration)?;
    Ok(crate::serve(&text, state_directory, stop, next_configuration).await?)
}

impl Check {
    fn execute(self) -> Result<(), CommandError> {
        let text = read_file(&CONFIGURATION_PATH.get(self.config)?)?;
        crate::check(&text)?;
        println!("the configuration is valid");
        Ok(())
    }
}

fn execute(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Serve(serve) => serve.execute(),
        Command::Check(check) => check.execute(),
        Command::Version(Version {}) => {
            println!("quillhub {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

/// Executes the command that the command line of the process selects, and returns the exit status.
pub fn run() -> ExitCode {
    match execute(argh::from_env::<Arguments>().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quillhub: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
