//! Pins version 1 of the state directory's format: the encoding of each kind of record, and a directory in this format
//! under `tests/fixtures`. After a change that breaks one of these tests, an instance cannot read the state directory
//! of an older one.

use super::record::{RecordedAttempt, from_millis};
use super::*;
use crate::test_support::StateDirectory;
use std::fs::OpenOptions;
use std::time::Duration;

/// Maximum size of the state directories of these tests.
const BUDGET_BYTES: u64 = 1 << 20;
/// Start of the year 2100, in milliseconds since the Unix epoch.
const YEAR_2100_MS: u64 = 4_102_444_800_000;
/// Start of the year 2020, in milliseconds since the Unix epoch.
const YEAR_2020_MS: u64 = 1_577_836_800_000;
/// Id of the message whose records are pinned byte by byte. Its lowest two bytes differ, so that their order matters.
const MESSAGE_ID: u64 = 0x0102;
const FIRST_SEGMENT: &str = "wal-0000000000";
const SECOND_SEGMENT: &str = "wal-0000000001";

/// Returns the path of the directory under `tests/fixtures`. The names in it are part of the stored data.
fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/state-directory-v1")
}

/// Returns a message without ordering key and idempotency key.
fn message(class: &str, client_id: &str, body: &[u8]) -> LoggedMessage {
    LoggedMessage {
        service_class: class.into(),
        destination: 9,
        deadline: Some(from_millis(YEAR_2100_MS)),
        client_id: client_id.into(),
        body: body.into(),
        ..LoggedMessage::default()
    }
}

fn with_key(message: LoggedMessage, key: &str) -> LoggedMessage {
    LoggedMessage { idempotency_key: Some(key.into()), ..message }
}

/// Returns the bytes that `append` adds to an empty directory.
fn appended(append: impl FnOnce(&mut Wal) -> Result<(), AppendError>) -> Vec<u8> {
    let directory = StateDirectory::new();
    let (mut wal, _) = Wal::open(&directory.0, BUDGET_BYTES).unwrap();
    append(&mut wal).unwrap();
    fs::read(directory.0.join(FIRST_SEGMENT)).unwrap()
}

#[test]
fn the_encoding_of_an_accepted_message_is_unchanged() {
    let keyed = with_key(message("once", "ab12", b"\0\r\n\xff"), "key-7");
    let all_fields = LoggedMessage { ordering_key: Some(0x1a2b), ..keyed };
    let expected = [
        b"\x3f\0\0\0\xf9\x55\x51\xe7\x01\x02\x01\0\0\0\0\0\0", // length, checksum, kind, message
        &b"\0\xd8\xc3\x2c\xbb\x03\0\0\x09\0\0\0\0\0\0\0"[..],  // deadline, destination
        b"\x03\x2b\x1a\0\0\0\0\0\0",                           // flags, ordering key
        b"\x04\0\0\0once\x04\0\0\0ab12\x05\0\0\0key-7",        // service class, client id, idempotency key
        b"\0\r\n\xff",                                         // body
    ];
    assert_eq!(
        appended(|wal| wal.record_accepted(MESSAGE_ID, &accepted_payload(&all_fields))),
        expected.concat()
    );

    let optional_fields_unset = message("free", "ab12", b"");
    let expected = [
        b"\x36\0\0\0\x4e\x24\x28\x50\x01\x02\x01\0\0\0\0\0\0",
        &b"\0\xd8\xc3\x2c\xbb\x03\0\0\x09\0\0\0\0\0\0\0"[..],
        b"\0\0\0\0\0\0\0\0\0",
        b"\x04\0\0\0free\x04\0\0\0ab12\0\0\0\0",
    ];
    assert_eq!(
        appended(|wal| wal.record_accepted(MESSAGE_ID, &accepted_payload(&optional_fields_unset))),
        expected.concat()
    );
}

#[test]
fn the_encoding_of_an_attempts_start_is_unchanged() {
    let encoded = appended(|wal| wal.record_attempt_started(MESSAGE_ID, 3, from_millis(YEAR_2020_MS), "e1"));
    let expected = [
        &b"\x17\0\0\0\xaa\x8b\xcb\x3b\x02\x02\x01\0\0\0\0\0\0"[..], // length, checksum, kind, message
        b"\x03\0\0\0\0\xe8\x66\x5e\x6f\x01\0\0e1",                  // attempt, start, endpoint
    ];
    assert_eq!(encoded, expected.concat());
}

#[test]
fn the_encoding_of_an_attempt_that_did_not_execute_its_message_is_unchanged() {
    let encoded = appended(|wal| wal.record_not_executed(MESSAGE_ID, 3));
    assert_eq!(encoded, b"\x0d\0\0\0\xfd\xc4\xbe\x8d\x03\x02\x01\0\0\0\0\0\0\x03\0\0\0");
}

#[test]
fn the_encoding_of_each_final_outcome_is_unchanged() {
    let decided = |result| appended(|wal| wal.record_outcome_decided(MESSAGE_ID, result));
    let rejected = |retry_after| decided(FinalResult::Rejected { retry_after });
    assert_eq!(
        rejected(Some(Duration::from_millis(1_500))),
        b"\x12\0\0\0\xaa\x41\x16\x02\x04\x02\x01\0\0\0\0\0\0\x01\xdc\x05\0\0\0\0\0\0"
    );
    assert_eq!(rejected(None), b"\x12\0\0\0\x5e\x0d\x9c\x01\x04\x02\x01\0\0\0\0\0\0\x01\0\0\0\0\0\0\0\0");
    assert_eq!(
        decided(FinalResult::Abandoned),
        b"\x12\0\0\0\x1d\x19\xe7\x16\x04\x02\x01\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0"
    );
}

#[test]
fn the_encoding_of_a_finished_message_is_unchanged() {
    assert_eq!(
        appended(|wal| wal.record_finished(MESSAGE_ID)),
        b"\x09\0\0\0\x28\x5d\xcc\x48\x05\x02\x01\0\0\0\0\0\0"
    );
}

/// Removes the last `count` bytes of a segment, as if the process had been killed while it wrote them.
fn truncate(segment: &Path, count: u64) {
    let file = OpenOptions::new().write(true).open(segment).unwrap();
    file.set_len(file.metadata().unwrap().len() - count).unwrap();
}

/// Writes the same content as in the directory under `tests/fixtures`: all kinds of records, written by two processes
/// that were killed while they wrote the last record.
fn write_directory(directory: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let (mut wal, _) = Wal::open(directory, BUDGET_BYTES)?;
    let mut accept = |id, message: LoggedMessage| wal.record_accepted(id, &accepted_payload(&message));
    accept(1, message("once", "untried-once", b"one"))?;
    let unattempted = with_key(message("free", "untried-free", b"\0\r\n\xff"), "key-2");
    accept(2, LoggedMessage { ordering_key: Some(0x1a2b), ..unattempted })?;
    accept(3, message("once", "once-that-may-have-run", b"three"))?;
    accept(4, message("once", "once-that-did-not-run", b"four"))?;
    accept(5, message("free", "idempotent-that-may-have-run", b"five"))?;
    accept(6, with_key(message("keyed", "keyed-that-may-have-run", b"six"), "key-6"))?;
    accept(7, with_key(message("keyed-briefly", "key-forgotten", b"seven"), "key-7"))?;
    accept(8, message("free", "denied-with-wait", b"eight"))?;
    accept(9, message("free", "denied", b"nine"))?;
    accept(10, message("once", "dead", b"ten"))?;
    accept(11, message("free", "over-at-once", b"eleven"))?;
    accept(12, message("free", "over-later", b"twelve"))?;
    accept(13, message("unheard", "of-unknown-class", b"thirteen"))?;
    accept(14, message("once", "once-of-two-attempts", b"fourteen"))?;
    accept(15, message("free", "denied-and-confirmed", b"fifteen"))?;
    wal.record_finished(11)?;
    for id in [3, 4, 14] {
        wal.record_attempt_started(id, 0, from_millis(YEAR_2020_MS), "e1")?;
    }
    wal.record_not_executed(14, 0)?;
    wal.record_outcome_decided(8, FinalResult::Rejected { retry_after: Some(Duration::from_millis(1_500)) })?;
    wal.record_outcome_decided(9, FinalResult::Rejected { retry_after: None })?;
    wal.record_outcome_decided(15, FinalResult::Rejected { retry_after: None })?;
    wal.record_accepted(16, &accepted_payload(&message("free", "torn", b"sixteen")))?;
    drop(wal);
    truncate(&directory.join(FIRST_SEGMENT), 5);

    let (mut wal, _) = Wal::open(directory, BUDGET_BYTES)?;
    wal.record_not_executed(4, 0)?;
    wal.record_attempt_started(5, 0, from_millis(YEAR_2020_MS), "e1")?;
    wal.record_attempt_started(6, 0, from_millis(YEAR_2020_MS), "e1")?;
    wal.record_attempt_started(7, 0, from_millis(YEAR_2020_MS), "e1")?;
    wal.record_attempt_started(14, 1, from_millis(YEAR_2020_MS + 1_000), "e2")?;
    wal.record_outcome_decided(10, FinalResult::Abandoned)?;
    wal.record_finished(12)?;
    wal.record_finished(15)?;
    wal.record_finished(1)?;
    drop(wal);
    truncate(&directory.join(SECOND_SEGMENT), 1);
    Ok(())
}

#[test]
fn a_state_directory_is_written_in_the_format_of_version_1() {
    let directory = StateDirectory::new();
    write_directory(&directory.0).unwrap();
    for segment in [FIRST_SEGMENT, SECOND_SEGMENT] {
        let expected = fs::read(fixture().join(segment)).unwrap();
        assert_eq!(fs::read(directory.0.join(segment)).unwrap(), expected, "{segment}");
    }
    assert_eq!(fs::read_dir(&directory.0).unwrap().count(), 2);
}

#[test]
fn a_state_directory_of_version_1_is_read_back_completely() {
    let directory = StateDirectory::new();
    for segment in [FIRST_SEGMENT, SECOND_SEGMENT] {
        fs::write(directory.0.join(segment), fs::read(fixture().join(segment)).unwrap()).unwrap();
    }
    let (mut wal, unfinished) = Wal::open(&directory.0, BUDGET_BYTES).unwrap();
    let started = |attempt, milliseconds, endpoint: &str| {
        let (started, endpoint) = (from_millis(milliseconds), endpoint.to_owned());
        (attempt, RecordedAttempt::PossiblyExecuted { started, endpoint })
    };
    let not_executed = |attempt| (attempt, RecordedAttempt::NotExecuted);
    let attempts = |attempts: &[(u32, RecordedAttempt)]| attempts.iter().cloned().collect();
    let started_once = || attempts(&[started(0, YEAR_2020_MS, "e1")]);
    let free = |client_id, body| message("free", client_id, body);
    let once = |client_id, body| message("once", client_id, body);
    let unattempted = with_key(free("untried-free", b"\0\r\n\xff"), "key-2");
    let keyed = with_key(message("keyed", "keyed-that-may-have-run", b"six"), "key-6");
    let keyed_briefly = with_key(message("keyed-briefly", "key-forgotten", b"seven"), "key-7");
    let retry_after = Duration::from_millis(1_500);
    let rejected = |retry_after| Some(FinalResult::Rejected { retry_after });
    let expected = BTreeMap::from([
        (1, once("untried-once", b"one")),
        (2, LoggedMessage { ordering_key: Some(0x1a2b), ..unattempted }),
        (3, LoggedMessage { attempts: started_once(), ..once("once-that-may-have-run", b"three") }),
        (
            4,
            LoggedMessage {
                attempts: attempts(&[not_executed(0)]),
                ..once("once-that-did-not-run", b"four")
            },
        ),
        (5, LoggedMessage { attempts: started_once(), ..free("idempotent-that-may-have-run", b"five") }),
        (6, LoggedMessage { attempts: started_once(), ..keyed }),
        (7, LoggedMessage { attempts: started_once(), ..keyed_briefly }),
        (8, LoggedMessage { outcome: rejected(Some(retry_after)), ..free("denied-with-wait", b"eight") }),
        (9, LoggedMessage { outcome: rejected(None), ..free("denied", b"nine") }),
        (10, LoggedMessage { outcome: Some(FinalResult::Abandoned), ..once("dead", b"ten") }),
        (13, message("unheard", "of-unknown-class", b"thirteen")),
        (
            14,
            LoggedMessage {
                attempts: attempts(&[not_executed(0), started(1, YEAR_2020_MS + 1_000, "e2")]),
                ..once("once-of-two-attempts", b"fourteen")
            },
        ),
    ]);
    assert_eq!(unfinished, expected);
    assert_eq!(
        wal.allocate_id(),
        16,
        "the id of the incomplete record is reused, those of finished messages are not"
    );
    assert!(directory.0.join("wal-0000000002").exists(), "new records go to a new segment");
}
