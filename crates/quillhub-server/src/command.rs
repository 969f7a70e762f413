//! The command line.
//!
//! Invariant: what fails is printed in one line, with exit status 2.

use crate::{ConfigurationError, ReadError, ServeError};
use argh::FromArgs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit status of a command that failed.
const FAILED: u8 = 2;

const CONFIGURATION: PathSource = PathSource { option: "--config", variable: "RELAY_CONFIG" };
const STATE_DIRECTORY: PathSource = PathSource { option: "--state", variable: "RELAY_STATE" };

// The doc comments of the following types are what `--help` prints.

/// A courier of quillhub, an outbound gateway: takes notices and delivers them to partners' systems.
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

/// Why a command failed.
#[derive(Debug, Error)]
enum CommandError {
    #[error("expected {} or ${}, found neither", .0.option, .0.variable)]
    MissingPath(PathSource),
    #[error(transparent)]
    Read(#[from] ReadError),
    #[error("the runtime cannot start: {0}")]
    Runtime(#[source] io::Error),
    #[error("signals cannot be caught: {0}")]
    Signals(#[source] io::Error),
    #[error(transparent)]
    Check(#[from] ConfigurationError),
    #[error(transparent)]
    Serve(#[from] ServeError),
}

/// Where a path is given: by an option, or else by an environment variable.
#[derive(Clone, Copy, Debug)]
struct PathSource {
    option: &'static str,
    variable: &'static str,
}

impl PathSource {
    fn path(self, given: Option<PathBuf>) -> Result<PathBuf, CommandError> {
        given
            .or_else(|| std::env::var_os(self.variable).map(PathBuf::from))
            .ok_or(CommandError::MissingPath(self))
    }
}

fn read_file(path: &Path) -> Result<String, ReadError> {
    std::fs::read_to_string(path).map_err(|source| ReadError { path: path.to_owned(), source })
}

fn catch(kind: SignalKind) -> Result<Signal, CommandError> {
    signal(kind).map_err(CommandError::Signals)
}

impl Serve {
    fn execute(self) -> Result<(), CommandError> {
        let subscriber = tracing_subscriber::fmt().with_max_level(self.log).with_ansi(false);
        subscriber.with_writer(std::io::stderr).init();
        let configuration = CONFIGURATION.path(self.config)?;
        let state = STATE_DIRECTORY.path(self.state)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.map_err(CommandError::Runtime)?.block_on(serve(&configuration, &state))
    }
}

async fn serve(configuration: &Path, state: &Path) -> Result<(), CommandError> {
    // All are caught before anything else is done: one that is not ends the process.
    let mut hangup = catch(SignalKind::hangup())?;
    let mut terminate = catch(SignalKind::terminate())?;
    let mut interrupt = catch(SignalKind::interrupt())?;
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
    Ok(crate::serve(&text, state, stop, next_configuration).await?)
}

impl Check {
    fn execute(self) -> Result<(), CommandError> {
        let text = read_file(&CONFIGURATION.path(self.config)?)?;
        crate::check(&text)?;
        println!("the configuration can be used");
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

/// Executes the command of this process's command line.
pub fn run() -> ExitCode {
    match execute(argh::from_env::<Arguments>().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quillhub: {error}");
            ExitCode::from(FAILED)
        }
    }
}
