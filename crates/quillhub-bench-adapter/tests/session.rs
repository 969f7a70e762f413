//! Tests of the adapter as a process: its replies to a recorded session, byte for byte except for log events, and its
//! message for each malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const RECORDED_INPUT: &str = include_str!("fixtures/session.in");
const RECORDED_OUTPUT: &str = include_str!("fixtures/session.out");

/// Start of the reply lines with log events, which the comparison leaves out because their texts may change.
const LOG_ACTION: &str = "EMIT ";
/// Exit status after malformed input.
const EXIT_FAILURE: i32 = 2;

/// First 7 lines of a session: a batch that starts one instance and announces one endpoint, answered with `EOR 1`, and
/// the start of a second batch.
const STARTUP: &str = r#"TICK 1000 1
HELLO courier/0 7 {"classes":[{"aimUs":1000000,"effect":"free","giveUpUs":5000000,"name":"order"}],"report":{"names":["x0","x1"]}}
LIST 3 1
ENTRY endpoint_a east library 9 IN 1 -
ANNOUNCE courier/0 3 full 1
YOUR_TURN
TICK 2000 2
"#;

/// Runs the adapter with `input` as its standard input until it exits.
fn run_adapter(input: &[u8]) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_quillhub-bench-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = adapter.stdin.take().expect("standard input is a pipe");
    let input = input.to_vec();
    // After a malformed line, the adapter exits without reading the rest, so that the write may fail.
    let writer = std::thread::spawn(move || {
        let _ = stdin.write_all(&input);
    });
    let output = adapter.wait_with_output().expect("the adapter exits");
    writer.join().expect("the writer does not panic");
    output
}

/// Asserts that the adapter exits with a failure, `stdout` as its replies, and `message` as its only error line.
fn assert_refused(input: &[u8], stdout: &str, message: &str) {
    let Output { status, stdout: out, stderr } = run_adapter(input);
    let actual = (status.code(), String::from_utf8_lossy(&out), String::from_utf8_lossy(&stderr));
    let expected = format!("quillhub-bench-adapter: {message}\n");
    assert_eq!(actual, (Some(EXIT_FAILURE), stdout.into(), expected.into()));
}

/// Guards against unintended changes of decisions or of the simulator protocol: results of the bench would no longer be
/// comparable with earlier ones.
#[test]
fn replies_to_the_recorded_session_are_unchanged() {
    let Output { status, stdout, stderr } = run_adapter(RECORDED_INPUT.as_bytes());
    let text = String::from_utf8(stdout).expect("replies are UTF-8");
    let replies: String = text.split_inclusive('\n').filter(|line| !line.starts_with(LOG_ACTION)).collect();
    assert_eq!(replies, RECORDED_OUTPUT);
    assert_eq!((status.code(), stderr.as_slice()), (Some(0), &b""[..]));
}

/// Guards against a recording that leaves an event or an action out, whose changes the comparison would miss.
#[test]
fn the_recorded_session_contains_every_event_and_every_action() {
    let has = |text: &str, word: &str| text.lines().any(|line| line.split(' ').next() == Some(word));
    for event in [
        "TICK",
        "HELLO",
        "LIST",
        "ENTRY",
        "ANNOUNCE",
        "INBOUND",
        "RESOLVED",
        "TIMER",
        "CLIENT_LEFT",
        "MEMO",
        "ESTABLISHED",
        "STATUS_BACK",
        "SHUTDOWN",
        "YOUR_TURN",
    ] {
        assert!(has(RECORDED_INPUT, event), "{event}");
    }
    for action in ["ASSIGN", "SAY_NO", "LOSE", "HANG_UP", "POST", "ARM", "OBSERVE", "EOR"] {
        assert!(has(RECORDED_OUTPUT, action), "{action}");
    }
}

/// Guards against a failure when the simulator closes the input before its first batch.
#[test]
fn empty_input_ends_the_adapter_successfully() {
    let output = run_adapter(b"");
    assert_eq!((output.status.code(), output.stdout, output.stderr), (Some(0), vec![], vec![]));
}

/// Guards against answering a batch whose start is malformed or whose end is missing.
#[test]
fn a_malformed_batch_is_refused_with_its_line_number() {
    for (input, message) in [
        ("TICK 20", "line 1: expected a line ending with a newline, found 'TICK 20'"),
        ("TICK 20 1\n", "line 2: expected YOUR_TURN, found end of input"),
        ("\n", "line 1: expected TICK, found ''"),
        ("YOUR_TURN\n", "line 1: expected TICK, found 'YOUR_TURN'"),
        ("TICK\n", "line 1: expected the clock, found end of line"),
        ("TICK soon 1\n", "line 1: expected a number as the clock, found 'soon'"),
        ("TICK 20 -1\n", "line 1: expected a number as the batch number, found '-1'"),
        ("TICK 20 1 2\n", "line 1: expected end of line, found '2'"),
    ] {
        assert_refused(input.as_bytes(), "", message);
    }
    assert_refused(b"TICK \xff 1\n", "", "line 1: expected UTF-8 text, found 'TICK \u{fffd} 1\n'");
}

/// Guards against ignoring an invalid field, or applying part of an event. Each row of the fixture is an event line and
/// the message for it.
#[test]
fn a_malformed_event_is_refused_with_its_line_number() {
    for row in include_str!("fixtures/refused_events.txt").lines() {
        let (event, message) = row.split_once(" => ").expect("a row consists of an event and a message");
        let input = format!("{STARTUP}{event}\nYOUR_TURN\n");
        assert_refused(input.as_bytes(), "EOR 1\n", &format!("line 8: {message}"));
    }
}

/// Guards against using an endpoint list of which entries are missing or malformed.
#[test]
fn an_incomplete_endpoint_list_is_refused_with_its_line_number() {
    let list = format!("{STARTUP}LIST 4 2\n");
    for (rest, message) in [
        ("YOUR_TURN\n", "line 9: expected 2 more ENTRY of list 4, found 'YOUR_TURN'"),
        ("ENTRY e east library 9 UP 1 -\n", "line 9: expected IN, LAME or OUT as health, found 'UP'"),
        ("ENTRY e east library nine IN\n", "line 9: expected a number as ownerNo, found 'nine'"),
        ("ENTRY e east library 9 IN much\n", "line 9: expected a number as heft, found 'much'"),
        ("ENTRY e east library 9 IN 1 now\n", "line 9: expected a number as startTimeUs, found 'now'"),
        ("ENTRY e east library 9 IN 1 - 2\n", "line 9: expected end of line, found '2'"),
        ("ENTRY e east\n", "line 9: expected hw, found end of line"),
        ("ENTRY e\n", "line 9: expected rackZone, found end of line"),
        ("ENTRY\n", "line 9: expected endpoint, found ''"),
    ] {
        assert_refused(format!("{list}{rest}").as_bytes(), "EOR 1\n", message);
    }
}

/// Guards against a further attempt after an outcome that says that the message is over, or that it has had all its attempts
/// and is owed its end. After one for want of a slot, the message is attempted again.
#[test]
fn a_message_is_not_attempted_again_after_an_attempt_that_could_not_be_sent_unless_no_slot_was_free() {
    for (outcome, expected) in [
        ("moot 5 1 -", &[][..]),
        ("moot 5 0 -", &["SAY_NO courier/0 7"][..]),
        ("moot 5 0 0", &["SAY_NO courier/0 7"][..]),
        ("moot 5 0 1", &["ASSIGN courier/0 7 endpoint_a"][..]),
    ] {
        let input = format!(
            "{STARTUP}INBOUND courier/0 7 - order - 4000000 - 1 9 0 1\nYOUR_TURN\nTICK 3000 3\n\
             RESOLVED courier/0 7 0 endpoint_a {outcome} -\nYOUR_TURN\nTICK 900000 4\nTIMER courier/0 beat\nYOUR_TURN\n"
        );
        let output = run_adapter(input.as_bytes());
        let text = String::from_utf8(output.stdout).expect("replies are UTF-8");
        let later = text.split("EOR 2\n").nth(1).expect("the first batch is answered");
        let actions: Vec<_> = ["ASSIGN", "SAY_NO", "LOSE"]
            .iter()
            .flat_map(|action| later.lines().filter(move |line| line.starts_with(action)))
            .collect();
        assert_eq!(actions.len(), expected.len(), "{outcome}: {text}");
        assert!(actions.iter().zip(expected).all(|(found, start)| found.starts_with(start)), "{text}");
    }
}
