//! Tests of the program's command line and configuration files: what it accepts, and the exact error messages for what
//! it refuses.
//!
//! `fixtures/complete.json` contains every setting that is read. The other two fixtures are lists of changes to it.
//! Each replaces one value, given by its JSON pointer, or removes it if the change has no value.

use quillhub_fakes::scratch::ScratchDirectory;
use serde_json::Value;
use std::net::{TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const COMPLETE: &str = include_str!("fixtures/complete.json");
const ACCEPTED_CHANGES: &str = include_str!("fixtures/accepted_changes.json");
const REFUSED_CHANGES: &str = include_str!("fixtures/refused_changes.json");

const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
const STATE_VARIABLE: &str = "RELAY_STATE";

/// Exit status of a command that failed.
const EXIT_FAILURE: i32 = 2;
/// Exit status for a command line that cannot be parsed.
const EXIT_UNPARSED: i32 = 1;

/// Output of `check` for a configuration that it accepts.
const ACCEPTED: &str = "the configuration is valid\n";
const ADDRESS_IN_USE: &str =
    "quillhub: the client address (listen) cannot be used: Address already in use (os error 98)\n";

/// Change of one value of the complete configuration.
struct Change {
    /// JSON pointer to the value.
    pointer: String,
    /// New value, which may be JSON null; `None` removes the setting.
    value: Option<Value>,
    /// Error message for the changed configuration; empty if the configuration is accepted.
    message: String,
}

/// Parses the changes in a fixture.
fn changes(fixture: &str) -> Vec<Change> {
    let changes: Vec<Value> = serde_json::from_str(fixture).expect("the fixture is a JSON list");
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    changes
        .iter()
        .map(|change| Change {
            pointer: text(&change["at"]),
            value: change.get("value").cloned(),
            message: text(&change["message"]),
        })
        .collect()
}

fn complete() -> Value {
    serde_json::from_str(COMPLETE).expect("the complete configuration is JSON")
}

/// Applies a change to the complete configuration.
fn changed(change: &Change) -> Value {
    let mut configuration = complete();
    let (parent, name) = change.pointer.rsplit_once('/').expect("the pointer contains a slash");
    match (configuration.pointer_mut(parent).expect("the parent exists"), &change.value) {
        (Value::Object(settings), Some(value)) => {
            settings.insert(name.into(), value.clone());
        }
        (Value::Object(settings), None) => {
            settings.remove(name).expect("the setting exists");
        }
        (Value::Array(items), Some(value)) => {
            items[name.parse::<usize>().expect("the name is an index")] = value.clone();
        }
        _ => panic!("{} does not point to a setting", change.pointer),
    }
    configuration
}

/// Returns a command that runs the program without its environment variables.
fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quillhub"));
    command.args(arguments).env_remove(CONFIG_VARIABLE).env_remove(STATE_VARIABLE);
    command
}

/// Runs a command and checks its exit status and its output.
fn assert_output(mut command: Command, status: i32, stdout: &str, stderr: &str) {
    let Output { status: actual_status, stdout: out, stderr: err } =
        command.output().expect("the program starts");
    let actual = (actual_status.code(), String::from_utf8_lossy(&out), String::from_utf8_lossy(&err));
    assert_eq!(actual, (Some(status), stdout.into(), stderr.into()), "{command:?}");
}

/// Writes a configuration file and returns its path.
fn write_configuration(directory: &ScratchDirectory, content: impl AsRef<[u8]>) -> PathBuf {
    let path = directory.0.join("configuration.json");
    std::fs::write(&path, content).expect("the directory is writable");
    path
}

/// Returns a command that runs `check`.
fn check(configuration: &Path) -> Command {
    let mut command = program(&["check", "--config"]);
    command.arg(configuration);
    command
}

/// Returns a command that runs `serve`, which logs only errors.
fn serve(configuration: &Path, state: &Path) -> Command {
    let mut command = program(&["serve", "--log", "error", "--config"]);
    command.arg(configuration).arg("--state").arg(state);
    command
}

/// Checks that `check` refuses a configuration with `message`.
fn assert_check_refuses(content: &[u8], message: &str) {
    let directory = ScratchDirectory::new();
    let path = write_configuration(&directory, content);
    assert_output(check(&path), EXIT_FAILURE, "", &format!("quillhub: {message}\n"));
}

#[test]
fn the_complete_configuration_is_accepted() {
    let directory = ScratchDirectory::new();
    let path = write_configuration(&directory, COMPLETE);
    assert_output(check(&path), 0, ACCEPTED, "");
}

/// Guards against optional settings that are required, and against checks that are too strict.
#[test]
fn every_valid_change_of_the_complete_configuration_is_accepted() {
    let directory = ScratchDirectory::new();
    let changes = changes(ACCEPTED_CHANGES);
    assert_eq!(changes.len(), 29);
    for change in changes {
        let path = write_configuration(&directory, changed(&change).to_string());
        assert_output(check(&path), 0, ACCEPTED, "");
    }
}

/// Guards against invalid settings that pass the check, and against unintended changes of the messages.
#[test]
fn check_refuses_every_invalid_value_with_a_message_of_one_line() {
    let changes = changes(REFUSED_CHANGES);
    assert_eq!(changes.len(), 106);
    for change in changes {
        assert_check_refuses(changed(&change).to_string().as_bytes(), &change.message);
    }
}

/// Guards against a server that starts with a configuration that `check` refuses. The listen address is in use, so that
/// the program exits even if it fails to refuse a configuration.
#[test]
fn serve_refuses_every_invalid_value_with_the_message_of_check() {
    let directory = ScratchDirectory::new();
    let state = ScratchDirectory::new();
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = taken.local_addr().expect("it is bound").to_string();
    for change in changes(REFUSED_CHANGES) {
        let mut configuration = changed(&change);
        if change.pointer != "/listen" {
            configuration["listen"] = address.clone().into();
        }
        let path = write_configuration(&directory, configuration.to_string());
        assert_output(serve(&path, &state.0), EXIT_FAILURE, "", &format!("quillhub: {}\n", change.message));
    }
}

#[test]
fn text_that_is_not_valid_json_is_refused_with_its_line_and_column() {
    let prefix = "the configuration is not valid JSON: ";
    for (text, message) in [
        ("", "EOF while parsing a value at line 1 column 0"),
        ("{", "EOF while parsing an object at line 1 column 1"),
        ("listen = 1", "expected value at line 1 column 1"),
        ("{\"seed\": \"1\",}", "trailing comma at line 1 column 14"),
        ("{\n  \"seed\" 1\n}", "expected `:` at line 2 column 10"),
        ("{} {}", "trailing characters at line 1 column 4"),
    ] {
        assert_check_refuses(text.as_bytes(), &format!("{prefix}{message}"));
    }
}

#[test]
fn json_that_is_not_an_object_is_refused_with_the_error_for_the_first_missing_setting() {
    for text in ["[]", "7", "\"seed\"", "null", "{}"] {
        assert_check_refuses(text.as_bytes(), "expected settings with .seed, found none");
    }
}

#[test]
fn a_file_that_cannot_be_read_is_refused_with_its_path() {
    let directory = ScratchDirectory::new();
    let state = ScratchDirectory::new();
    let missing = directory.0.join("missing.json");
    let line = format!("quillhub: {}: No such file or directory (os error 2)\n", missing.display());
    assert_output(check(&missing), EXIT_FAILURE, "", &line);
    assert_output(serve(&missing, &state.0), EXIT_FAILURE, "", &line);
    let line = format!("quillhub: {}: Is a directory (os error 21)\n", directory.0.display());
    assert_output(check(&directory.0), EXIT_FAILURE, "", &line);
    let binary = write_configuration(&directory, b"{\"seed\": \"\xff\"}");
    let line = format!("quillhub: {}: stream did not contain valid UTF-8\n", binary.display());
    assert_output(check(&binary), EXIT_FAILURE, "", &line);
}

#[test]
fn a_command_without_a_path_names_the_option_and_the_variable() {
    let config = "quillhub: expected --config or $RELAY_CONFIG, found neither\n";
    assert_output(program(&["check"]), EXIT_FAILURE, "", config);
    assert_output(program(&["serve"]), EXIT_FAILURE, "", config);
    assert_output(program(&["serve", "--state", "."]), EXIT_FAILURE, "", config);
    let state = "quillhub: expected --state or $RELAY_STATE, found neither\n";
    assert_output(program(&["serve", "--config", "missing.json"]), EXIT_FAILURE, "", state);
}

#[test]
fn environment_variables_replace_missing_options_and_options_take_precedence() {
    let directory = ScratchDirectory::new();
    let path = write_configuration(&directory, COMPLETE);
    let mut by_variable = program(&["check"]);
    by_variable.env(CONFIG_VARIABLE, &path);
    assert_output(by_variable, 0, ACCEPTED, "");
    let mut by_option = check(&path);
    by_option.env(CONFIG_VARIABLE, directory.0.join("missing.json"));
    assert_output(by_option, 0, ACCEPTED, "");
    let mut serve = program(&["serve"]);
    serve.env(CONFIG_VARIABLE, &path).env(STATE_VARIABLE, directory.0.join("missing"));
    let line = "quillhub: the state directory cannot be used: No such file or directory (os error 2)\n";
    assert_output(serve, EXIT_FAILURE, "", line);
}

#[test]
fn a_command_line_that_cannot_be_parsed_is_refused_with_the_offending_argument() {
    let level = "Error parsing option '--log' with value 'loud': error parsing level: expected one of \
                 \"error\", \"warn\", \"info\", \"debug\", \"trace\", or a number 1-5";
    let no_command =
        "One of the following subcommands must be present:\n    help\n    serve\n    check\n    version\n";
    for (arguments, message) in [
        (&[][..], no_command),
        (&["--quiet"], "Unrecognized argument: --quiet\n"),
        (&["launch"], "Unrecognized argument: launch\n"),
        (&["check", "--file", "x"], "Unrecognized argument: --file\n"),
        (&["check", "x"], "Unrecognized argument: x\n"),
        (&["check", "--config"], "No value provided for option '--config'.\n"),
        (&["serve", "--config"], "No value provided for option '--config'.\n"),
        (&["serve", "--state"], "No value provided for option '--state'.\n"),
        (&["serve", "--log"], "No value provided for option '--log'.\n"),
        (&["serve", "--log", "loud"], &format!("{level}\n")),
        (&["version", "now"], "Unrecognized argument: now\n"),
    ] {
        let line = format!("{message}\nRun quillhub --help for more information.\n");
        assert_output(program(arguments), EXIT_UNPARSED, "", &line);
    }
}

#[test]
fn version_prints_the_program_name_and_the_version_number() {
    let line = format!("quillhub {}\n", env!("CARGO_PKG_VERSION"));
    assert_output(program(&["version"]), 0, &line, "");
}

#[test]
fn serve_refuses_a_state_directory_that_cannot_be_used() {
    let directory = ScratchDirectory::new();
    let path = write_configuration(&directory, COMPLETE);
    for (state, cause) in [
        (directory.0.join("missing"), "No such file or directory (os error 2)"),
        (path.clone(), "Not a directory (os error 20)"),
    ] {
        let line = format!("quillhub: the state directory cannot be used: {cause}\n");
        assert_output(serve(&path, &state), EXIT_FAILURE, "", &line);
    }
}

#[test]
fn serve_refuses_an_address_that_is_in_use() {
    let (directory, state) = (ScratchDirectory::new(), ScratchDirectory::new());
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let mut configuration = complete();
    configuration["listen"] = taken.local_addr().expect("it is bound").to_string().into();
    let path = write_configuration(&directory, configuration.to_string());
    assert_output(check(&path), 0, ACCEPTED, "");
    assert_output(serve(&path, &state.0), EXIT_FAILURE, "", ADDRESS_IN_USE);
}

#[test]
fn serve_refuses_a_gossip_address_that_is_in_use() {
    let (directory, state) = (ScratchDirectory::new(), ScratchDirectory::new());
    let taken = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let mut configuration = complete();
    configuration["peer_listen"] = taken.local_addr().expect("it is bound").to_string().into();
    let path = write_configuration(&directory, configuration.to_string());
    let line =
        "quillhub: the gossip address (peer_listen) cannot be used: Address already in use (os error 98)\n";
    assert_output(serve(&path, &state.0), EXIT_FAILURE, "", line);
}

/// Guards against a server that refuses to start with a configuration that passed `check`.
#[test]
fn a_configuration_that_passes_check_fails_serve_only_by_its_address_in_use() {
    let (directory, state) = (ScratchDirectory::new(), ScratchDirectory::new());
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    for change in changes(ACCEPTED_CHANGES).iter().filter(|change| change.pointer != "/listen") {
        let mut configuration = changed(change);
        configuration["listen"] = taken.local_addr().expect("it is bound").to_string().into();
        let path = write_configuration(&directory, configuration.to_string());
        assert_output(serve(&path, &state.0), EXIT_FAILURE, "", ADDRESS_IN_USE);
    }
}
