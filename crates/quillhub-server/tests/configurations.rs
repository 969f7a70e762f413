//! The program's command line and configuration files: what it accepts, and each message of what it refuses, literal.
//!
//! `fixtures/complete.json` has every setting that is read. The other two fixtures are changes to it, each of one
//! value by its JSON pointer; a change without a value takes the setting out.

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

/// Exit status of a command that failed, and of a command line that cannot be parsed.
const FAILED: i32 = 2;
const UNPARSED: i32 = 1;

const ACCEPTED: &str = "the configuration can be used\n";
const ADDRESS_IN_USE: &str =
    "quillhub: the address cannot be listened on: Address already in use (os error 98)\n";

/// One changed value of the complete configuration.
struct Change {
    at: String,
    /// The new value, a JSON null too; `None` takes the setting out.
    value: Option<Value>,
    /// What the program says of the configuration so changed; empty where it accepts it.
    message: String,
}

fn changes(fixture: &str) -> Vec<Change> {
    let rows: Vec<Value> = serde_json::from_str(fixture).expect("a fixture is a list");
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    rows.iter()
        .map(|row| Change {
            at: text(&row["at"]),
            value: row.get("value").cloned(),
            message: text(&row["message"]),
        })
        .collect()
}

fn complete() -> Value {
    serde_json::from_str(COMPLETE).expect("the complete configuration is JSON")
}

fn changed(change: &Change) -> Value {
    let mut configuration = complete();
    let (parent, name) = change.at.rsplit_once('/').expect("a pointer has a slash");
    match (configuration.pointer_mut(parent).expect("the parent is there"), &change.value) {
        (Value::Object(settings), Some(value)) => {
            settings.insert(name.into(), value.clone());
        }
        (Value::Object(settings), None) => {
            settings.remove(name).expect("the setting is there");
        }
        (Value::Array(rows), Some(value)) => {
            rows[name.parse::<usize>().expect("a row's number")] = value.clone();
        }
        _ => panic!("{}: no place of a configuration", change.at),
    }
    configuration
}

/// The program, with neither of its variables set.
fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quillhub"));
    command.args(arguments).env_remove(CONFIG_VARIABLE).env_remove(STATE_VARIABLE);
    command
}

fn assert_ended(mut command: Command, status: i32, stdout: &str, stderr: &str) {
    let Output { status: ended, stdout: out, stderr: err } = command.output().expect("the program starts");
    let seen = (ended.code(), String::from_utf8_lossy(&out), String::from_utf8_lossy(&err));
    assert_eq!(seen, (Some(status), stdout.into(), stderr.into()), "{command:?}");
}

fn written(folder: &ScratchDirectory, octets: impl AsRef<[u8]>) -> PathBuf {
    let path = folder.0.join("configuration.json");
    std::fs::write(&path, octets).expect("the folder can be written");
    path
}

fn check(configuration: &Path) -> Command {
    let mut command = program(&["check", "--config"]);
    command.arg(configuration);
    command
}

/// `serve` with all log lines but errors left out.
fn serve(configuration: &Path, state: &Path) -> Command {
    let mut command = program(&["serve", "--log", "error", "--config"]);
    command.arg(configuration).arg("--state").arg(state);
    command
}

fn assert_check_refuses(octets: &[u8], message: &str) {
    let folder = ScratchDirectory::new();
    let path = written(&folder, octets);
    assert_ended(check(&path), FAILED, "", &format!("quillhub: {message}\n"));
}

#[test]
fn the_complete_configuration_is_accepted() {
    let folder = ScratchDirectory::new();
    let path = written(&folder, COMPLETE);
    assert_ended(check(&path), 0, ACCEPTED, "");
}

#[test]
fn every_harmless_change_of_the_complete_configuration_is_accepted() {
    let folder = ScratchDirectory::new();
    let changes = changes(ACCEPTED_CHANGES);
    assert_eq!(changes.len(), 29);
    for change in changes {
        let path = written(&folder, changed(&change).to_string());
        assert_ended(check(&path), 0, ACCEPTED, "");
    }
}

#[test]
fn check_refuses_every_unusable_value_with_its_one_line() {
    let changes = changes(REFUSED_CHANGES);
    assert_eq!(changes.len(), 106);
    for change in changes {
        assert_check_refuses(changed(&change).to_string().as_bytes(), &change.message);
    }
}

/// The address to listen on is taken, so that a configuration that should have been refused ends the program too.
#[test]
fn serve_refuses_every_unusable_value_with_the_line_of_check() {
    let folder = ScratchDirectory::new();
    let state = ScratchDirectory::new();
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = taken.local_addr().expect("it is bound").to_string();
    for change in changes(REFUSED_CHANGES) {
        let mut configuration = changed(&change);
        if change.at != "/listen" {
            configuration["listen"] = address.clone().into();
        }
        let path = written(&folder, configuration.to_string());
        assert_ended(serve(&path, &state.0), FAILED, "", &format!("quillhub: {}\n", change.message));
    }
}

#[test]
fn text_that_is_no_json_is_refused_with_its_line_and_column() {
    let prefix = "the configuration is no JSON: ";
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
fn json_that_is_no_object_lacks_the_first_setting() {
    for text in ["[]", "7", "\"seed\"", "null", "{}"] {
        assert_check_refuses(text.as_bytes(), "expected settings with .seed, found none");
    }
}

#[test]
fn a_file_that_cannot_be_read_is_refused_with_its_path() {
    let folder = ScratchDirectory::new();
    let state = ScratchDirectory::new();
    let missing = folder.0.join("missing.json");
    let line = format!("quillhub: {}: No such file or directory (os error 2)\n", missing.display());
    assert_ended(check(&missing), FAILED, "", &line);
    assert_ended(serve(&missing, &state.0), FAILED, "", &line);
    let line = format!("quillhub: {}: Is a directory (os error 21)\n", folder.0.display());
    assert_ended(check(&folder.0), FAILED, "", &line);
    let binary = written(&folder, b"{\"seed\": \"\xff\"}");
    let line = format!("quillhub: {}: stream did not contain valid UTF-8\n", binary.display());
    assert_ended(check(&binary), FAILED, "", &line);
}

#[test]
fn a_command_without_its_paths_names_the_option_and_the_variable() {
    let config = "quillhub: expected --config or $RELAY_CONFIG, found neither\n";
    assert_ended(program(&["check"]), FAILED, "", config);
    assert_ended(program(&["serve"]), FAILED, "", config);
    assert_ended(program(&["serve", "--state", "."]), FAILED, "", config);
    let state = "quillhub: expected --state or $RELAY_STATE, found neither\n";
    assert_ended(program(&["serve", "--config", "missing.json"]), FAILED, "", state);
}

#[test]
fn the_variables_stand_in_for_the_options_and_an_option_goes_first() {
    let folder = ScratchDirectory::new();
    let path = written(&folder, COMPLETE);
    let mut by_variable = program(&["check"]);
    by_variable.env(CONFIG_VARIABLE, &path);
    assert_ended(by_variable, 0, ACCEPTED, "");
    let mut by_option = check(&path);
    by_option.env(CONFIG_VARIABLE, folder.0.join("missing.json"));
    assert_ended(by_option, 0, ACCEPTED, "");
    let mut serve = program(&["serve"]);
    serve.env(CONFIG_VARIABLE, &path).env(STATE_VARIABLE, folder.0.join("missing"));
    let line = "quillhub: the lasting folder cannot be used: No such file or directory (os error 2)\n";
    assert_ended(serve, FAILED, "", line);
}

#[test]
fn a_command_line_that_cannot_be_parsed_is_refused_with_its_word() {
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
        assert_ended(program(arguments), UNPARSED, "", &line);
    }
}

#[test]
fn version_prints_the_name_and_the_number() {
    let line = format!("quillhub {}\n", env!("CARGO_PKG_VERSION"));
    assert_ended(program(&["version"]), 0, &line, "");
}

#[test]
fn serve_refuses_a_state_directory_that_cannot_be_used() {
    let folder = ScratchDirectory::new();
    let path = written(&folder, COMPLETE);
    for (state, cause) in [
        (folder.0.join("missing"), "No such file or directory (os error 2)"),
        (path.clone(), "Not a directory (os error 20)"),
    ] {
        let line = format!("quillhub: the lasting folder cannot be used: {cause}\n");
        assert_ended(serve(&path, &state), FAILED, "", &line);
    }
}

#[test]
fn serve_refuses_an_address_that_is_in_use() {
    let (folder, state) = (ScratchDirectory::new(), ScratchDirectory::new());
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let mut configuration = complete();
    configuration["listen"] = taken.local_addr().expect("it is bound").to_string().into();
    let path = written(&folder, configuration.to_string());
    assert_ended(check(&path), 0, ACCEPTED, "");
    assert_ended(serve(&path, &state.0), FAILED, "", ADDRESS_IN_USE);
}

#[test]
fn serve_refuses_a_peer_address_that_is_in_use() {
    let (folder, state) = (ScratchDirectory::new(), ScratchDirectory::new());
    let taken = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let mut configuration = complete();
    configuration["peer_listen"] = taken.local_addr().expect("it is bound").to_string().into();
    let path = written(&folder, configuration.to_string());
    let line = "quillhub: the address for notes cannot be used: Address already in use (os error 98)\n";
    assert_ended(serve(&path, &state.0), FAILED, "", line);
}

#[test]
fn serve_accepts_what_check_accepts_up_to_the_taken_address() {
    let (folder, state) = (ScratchDirectory::new(), ScratchDirectory::new());
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    for change in changes(ACCEPTED_CHANGES).iter().filter(|change| change.at != "/listen") {
        let mut configuration = changed(change);
        configuration["listen"] = taken.local_addr().expect("it is bound").to_string().into();
        let path = written(&folder, configuration.to_string());
        assert_ended(serve(&path, &state.0), FAILED, "", ADDRESS_IN_USE);
    }
}
