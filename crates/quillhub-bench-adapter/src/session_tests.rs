//! Tests of a session in the same process: its replies, and the error that ends it.

use super::*;

/// First batch: starts one instance and announces a list with one endpoint. It has 6 lines.
const FIRST_BATCH: &str = r#"TICK 1000 1
HELLO courier/0 7 {"classes":[{"aimUs":1000000,"effect":"free","giveUpUs":5000000,"name":"g"}],"familyInfo":{"maxCalls":4,"unheard":1},"report":{"names":["x0","x1"]}}
LIST 3 1
ENTRY endpoint_a z k 9 IN 1 -
ANNOUNCE courier/0 3 cached 1
YOUR_TURN
"#;

/// Runs a session; returns its replies to `input`, and the message of the error that ended it, if any.
fn run_session(input: &str) -> (String, Option<String>) {
    let mut output = Vec::new();
    let error = serve(input.as_bytes(), &mut output).err().map(|error| error.to_string());
    (String::from_utf8(output).unwrap(), error)
}

/// Returns the message of the error for a second batch that consists of `line`.
fn error_in_second_batch(line: &str) -> String {
    let (output, error) = run_session(&format!("{FIRST_BATCH}TICK 2000 2\n{line}\nYOUR_TURN\n"));
    assert_eq!(output, "EOR 1\n", "no partial reply after {line}");
    error.unwrap_or_else(|| panic!("no error with {line}"))
}

/// Guards against reporting the regular end of a simulation, which closes the input after a reply, as a failure.
#[test]
fn input_that_ends_between_batches_ends_the_session_without_an_error() {
    assert_eq!(run_session(FIRST_BATCH), ("EOR 1\n".into(), None));
    assert_eq!(run_session(""), (String::new(), None));
}

/// Guards against taking truncated input, as a crashed simulator leaves it, for a regular end.
#[test]
fn input_that_ends_within_a_batch_is_an_error_with_its_line_number() {
    let (output, error) = run_session(&format!("{FIRST_BATCH}TICK 2000 2\nTIMER courier/0 beat\n"));
    assert_eq!(output, "EOR 1\n");
    assert_eq!(error.unwrap(), "line 9: expected YOUR_TURN, found end of input");
    assert_eq!(
        run_session("TICK 20").1.unwrap(),
        "line 1: expected a line ending with a newline, found 'TICK 20'"
    );
}

/// Guards against ignoring malformed input, answering part of its batch, or printing a long line in full.
#[test]
fn a_malformed_line_ends_the_session_with_a_short_one_line_message() {
    for (line, message) in [
        ("WAVE courier/0", "line 8: expected an event, found 'WAVE courier/0'"),
        ("INBOUND courier/0 x - g - 9000 - 0 9 0 0", "line 8: expected a number as ref, found 'x'"),
        (
            "INBOUND courier/0 1 - h - 9000 - 0 9 0 0",
            "line 8: expected a configured service class as qos, found 'h'",
        ),
        ("INBOUND courier/0 1 - g - 9000 - 0 9 2 0", "line 8: expected 0 or 1 as update, found '2'"),
        ("TIMER courier/5 beat", "line 8: expected a started instance as courierId, found 'courier/5'"),
        ("ANNOUNCE courier/0 4 full 2", "line 8: expected the number of a received list as list, found '4'"),
        ("LIST 1 2\nENTRY e z k 9 UP 1 -", "line 9: expected IN, LAME or OUT as health, found 'UP'"),
        ("MEMO courier/0 1 a=b", "line 8: expected base64 as octets, found 'a=b'"),
        ("TIMER courier/0 beat more", "line 8: expected end of line, found 'more'"),
        ("RESOLVED courier/0 1 0 endpoint_a lost 5 0 - -", "line 8: expected an outcome, found 'lost'"),
        ("RESOLVED courier/0 1 0 endpoint_a ok 5 1 - 1;2", "comma-separated numbers"),
        ("HELLO courier/1 7 {", "line 8: expected settings as a JSON object"),
        ("HELLO courier/1 7 {\"nInstances\":\"two\"}", "expected a whole number as setting nInstances"),
        (
            "HELLO courier/1 7 {\"classes\":[{\"effect\":\"x\"}]}",
            "free, guarded or single_shot as setting classes[0].effect",
        ),
    ] {
        let error = error_in_second_batch(line);
        assert!(error.contains(message) && !error.contains('\n'), "{error}");
    }
    assert!(error_in_second_batch(&"W".repeat(5000)).len() < 150);
    assert!(serve(&b"TICK \xff 1\n"[..], Vec::new()).unwrap_err().to_string().contains("UTF-8"));
}

/// Guards against ending the session, or attempting the message twice, after an event for a message that is not pending
/// or after gossip that cannot be decoded. The simulator can report an attempt or a disconnected client after the
/// message has its final outcome.
#[test]
fn events_for_unknown_messages_and_malformed_gossip_affect_no_other_message() {
    let (output, error) = run_session(&format!(
        "{FIRST_BATCH}TICK 2000 2\nINBOUND courier/0 77 - g - 5002000 - 0 9 0 0\nRESOLVED courier/0 5 0 endpoint_a ok 5 1 - -\n\
         MEMO courier/0 1 AQ==\nMEMO courier/0 9999 -\nCLIENT_LEFT courier/0 6\nYOUR_TURN\nTICK 3000 3\nRESOLVED courier/0 77 0 endpoint_a ok 5 1 - 0.4,2\nYOUR_TURN\n"
    ));
    assert_eq!(error, None);
    let (before, after) =
        output.split_once("ASSIGN courier/0 77 endpoint_a ").expect("an attempt is started");
    assert_eq!((before, after.split_once('\n').unwrap().1), ("EOR 1\n", "EOR 2\nEOR 3\n"));
}

/// Guards against announcing the older entries when the simulator uses the number of a list a second time.
#[test]
fn an_endpoint_list_replaces_an_older_one_with_its_number() {
    let (output, error) = run_session(&format!(
        "{FIRST_BATCH}TICK 2000 2\nLIST 3 1\nENTRY endpoint_b z k 9 IN 1 -\nANNOUNCE courier/0 3 full 2\n\
         INBOUND courier/0 77 - g - 5002000 - 0 9 0 0\nYOUR_TURN\n"
    ));
    assert_eq!(error, None);
    assert!(output.contains("ASSIGN courier/0 77 endpoint_b"), "{output}");
}
