//! The simulator wire from outside: one recorded session octet by octet, and every refused input with its message.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const INPUT: &str = include_str!("fixtures/session.in");
const OUTPUT: &str = include_str!("fixtures/session.out");

/// Log lines: their text is for people, and no part of what is pinned.
const LOG_ACTION: &str = "EMIT ";
/// Exit status after input that cannot be understood.
const REFUSED: i32 = 2;

/// A batch that starts one instance and lists one endpoint: 7 lines, answered with `EOR 1`.
const STARTED: &str = r#"TICK 1000 1
HELLO courier/0 7 {"classes":[{"aimUs":1000000,"effect":"free","giveUpUs":5000000,"name":"order"}],"report":{"names":["x0","x1"]}}
LIST 3 1
ENTRY endpoint_a east library 9 IN 1 -
ANNOUNCE courier/0 3 full 1
YOUR_TURN
TICK 2000 2
"#;

fn play(input: &[u8]) -> Output {
    let mut program = Command::new(env!("CARGO_BIN_EXE_quillhub-bench-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = program.stdin.take().expect("its input is a pipe");
    let input = input.to_vec();
    // A program that refuses a line reads no further, so that the rest may find the pipe closed.
    let writer = std::thread::spawn(move || {
        let _ = stdin.write_all(&input);
    });
    let output = program.wait_with_output().expect("the program ends");
    writer.join().expect("the writer ends");
    output
}

fn assert_refused(input: &[u8], stdout: &str, message: &str) {
    let Output { status, stdout: out, stderr } = play(input);
    let seen = (status.code(), String::from_utf8_lossy(&out), String::from_utf8_lossy(&stderr));
    let expected = format!("quillhub-bench-adapter: {message}\n");
    assert_eq!(seen, (Some(REFUSED), stdout.into(), expected.into()));
}

#[test]
fn the_recorded_session_is_answered_octet_by_octet() {
    let Output { status, stdout, stderr } = play(INPUT.as_bytes());
    let text = String::from_utf8(stdout).expect("replies are text");
    let replies: String = text.split_inclusive('\n').filter(|line| !line.starts_with(LOG_ACTION)).collect();
    assert_eq!(replies, OUTPUT);
    assert_eq!((status.code(), stderr.as_slice()), (Some(0), &b""[..]));
}

#[test]
fn the_recorded_session_has_every_event_and_every_action() {
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
        assert!(has(INPUT, event), "{event}");
    }
    for action in ["ASSIGN", "SAY_NO", "LOSE", "HANG_UP", "POST", "ARM", "OBSERVE", "EOR"] {
        assert!(has(OUTPUT, action), "{action}");
    }
}

#[test]
fn empty_input_is_no_error() {
    let output = play(b"");
    assert_eq!((output.status.code(), output.stdout, output.stderr), (Some(0), vec![], vec![]));
}

#[test]
fn a_round_that_is_not_whole_is_refused_with_its_line() {
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

#[test]
fn an_event_that_cannot_be_understood_is_refused_with_its_line() {
    for row in include_str!("fixtures/refused_events.txt").lines() {
        let (event, message) = row.split_once(" => ").expect("a row has an event and a message");
        let input = format!("{STARTED}{event}\nYOUR_TURN\n");
        assert_refused(input.as_bytes(), "EOR 1\n", &format!("line 8: {message}"));
    }
}

#[test]
fn a_list_that_is_not_whole_is_refused_with_what_is_missing() {
    let list = format!("{STARTED}LIST 4 2\n");
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
