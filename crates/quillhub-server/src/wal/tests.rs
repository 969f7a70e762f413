use super::record::{RecordedAttempt, from_millis};
use super::*;
use crate::test_support::StateDirectory;
use std::time::Duration;

/// Maximum size of the state directories of these tests.
const BUDGET_BYTES: u64 = 1 << 20;

/// Returns a message with all fields set and a body of `body_size` bytes.
fn message(body_size: usize) -> LoggedMessage {
    LoggedMessage {
        service_class: "g".into(),
        destination: 9,
        ordering_key: Some(5),
        deadline: Some(from_millis(1_234)),
        client_id: b"ab".to_vec(),
        idempotency_key: Some(b"k".to_vec()),
        body: vec![b'x'; body_size],
        ..LoggedMessage::default()
    }
}

fn started_at_77() -> RecordedAttempt {
    RecordedAttempt::PossiblyExecuted { started: from_millis(77), endpoint: "e".into() }
}

fn read_back(directory: &StateDirectory) -> BTreeMap<u64, LoggedMessage> {
    Wal::open(&directory.0, BUDGET_BYTES).unwrap().1
}

/// Guards against a restart that loses a message, an attempt or an outcome, or that brings back a finished message.
#[test]
fn unfinished_messages_are_read_back_with_their_attempts_and_outcomes() {
    let directory = StateDirectory::new();
    let (mut wal, unfinished) = Wal::open(&directory.0, BUDGET_BYTES).unwrap();
    assert!(unfinished.is_empty());
    for id in 1..=4 {
        wal.record_accepted(id, &accepted_payload(&message(3))).unwrap();
    }
    wal.record_attempt_started(1, 0, from_millis(77), "e").unwrap();
    wal.record_attempt_started(1, 1, from_millis(88), "f").unwrap();
    wal.record_not_executed(1, 1).unwrap();
    wal.record_outcome_decided(2, FinalResult::Rejected { retry_after: Some(Duration::from_millis(500)) })
        .unwrap();
    wal.record_outcome_decided(3, FinalResult::Abandoned).unwrap();
    wal.record_finished(4).unwrap();
    drop(wal);
    let unfinished = read_back(&directory);
    let attempts = BTreeMap::from([(0, started_at_77()), (1, RecordedAttempt::NotExecuted)]);
    assert_eq!(unfinished[&1], LoggedMessage { attempts, ..message(3) });
    assert_eq!(
        unfinished[&2].outcome,
        Some(FinalResult::Rejected { retry_after: Some(Duration::from_millis(500)) })
    );
    assert_eq!(unfinished[&3].outcome, Some(FinalResult::Abandoned));
    assert_eq!(unfinished.len(), 3);
    assert_eq!(read_back(&directory), unfinished, "reading does not modify the directory");
}

/// Guards against absent keys that are read back as empty or zero ones.
#[test]
fn a_message_without_ordering_or_idempotency_key_is_read_back_without() {
    let directory = StateDirectory::new();
    let (mut wal, _) = Wal::open(&directory.0, BUDGET_BYTES).unwrap();
    let bare = LoggedMessage { ordering_key: None, idempotency_key: None, ..message(0) };
    wal.record_accepted(1, &accepted_payload(&bare)).unwrap();
    assert_eq!(read_back(&directory)[&1], bare);
}

/// Guards against a new message that counts as finished because it has the id of an earlier one in the log.
#[test]
fn an_id_is_not_reused_after_a_restart() {
    let directory = StateDirectory::new();
    let (mut wal, _) = Wal::open(&directory.0, BUDGET_BYTES).unwrap();
    for id in [wal.allocate_id(), wal.allocate_id()] {
        wal.record_accepted(id, &accepted_payload(&message(3))).unwrap();
        wal.record_finished(id).unwrap();
    }
    let (mut wal, _) = Wal::open(&directory.0, BUDGET_BYTES).unwrap();
    let id = wal.allocate_id();
    wal.record_accepted(id, &accepted_payload(&message(3))).unwrap();
    assert_eq!(read_back(&directory).into_keys().collect::<Vec<_>>(), [3]);
}

/// Guards against records that are lost because another one is damaged: a process that is killed while it writes leaves
/// an incomplete record at the end of a segment.
#[test]
fn an_incomplete_or_damaged_last_record_is_skipped_and_the_others_are_read() {
    let directory = StateDirectory::new();
    let (mut wal, _) = Wal::open(&directory.0, BUDGET_BYTES).unwrap();
    wal.record_accepted(1, &accepted_payload(&message(9))).unwrap();
    let first_end = wal.active.segment().size_bytes as usize;
    wal.record_accepted(2, &accepted_payload(&message(9))).unwrap();
    drop(wal);
    let file = segment::path(&directory.0, 0);
    let intact = fs::read(&file).unwrap();
    let mut corrupted = intact.clone();
    corrupted[first_end + 20] ^= 1;
    let mut damaged: Vec<_> = (first_end..intact.len()).map(|cut| intact[..cut].to_vec()).collect();
    damaged.push(corrupted);
    for content in damaged {
        fs::write(&file, &content).unwrap();
        let read: Vec<_> = frames(&content).map(|frame| frame.message).collect();
        assert_eq!(read, [1]);
    }
    // Records written after the damaged one are read, since they are in a new segment.
    let (mut wal, unfinished) = Wal::open(&directory.0, BUDGET_BYTES).unwrap();
    assert_eq!(unfinished.len(), 1);
    wal.record_accepted(3, &accepted_payload(&message(9))).unwrap();
    assert_eq!(read_back(&directory).into_keys().collect::<Vec<_>>(), [1, 3]);
}

/// Guards against compaction that comes too late for the budget, or that drops records of an unfinished message.
#[test]
fn the_directory_stays_within_its_budget_and_loses_no_unfinished_message() {
    let directory = StateDirectory::new();
    let (mut wal, _) = Wal::open(&directory.0, BUDGET_BYTES).unwrap();
    wal.record_accepted(1, &accepted_payload(&message(60_000))).unwrap();
    wal.record_attempt_started(1, 0, from_millis(77), "e").unwrap();
    for id in 2..400 {
        wal.record_accepted(id, &accepted_payload(&message(id as usize * 150))).unwrap();
        wal.record_attempt_started(id, 0, from_millis(77), "e").unwrap();
        assert!(directory.size() <= BUDGET_BYTES, "{} bytes with message {id}", directory.size());
        wal.record_finished(id).unwrap();
    }
    let unfinished = read_back(&directory);
    assert_eq!(
        unfinished.into_iter().collect::<Vec<_>>(),
        [(1, LoggedMessage { attempts: BTreeMap::from([(0, started_at_77())]), ..message(60_000) })]
    );
}

/// Guards against a directory so full that the later records of accepted messages cannot be written, and against space
/// that is not freed when messages are finished.
#[test]
fn capacity_shrinks_with_unfinished_messages_and_a_full_directory_accepts_no_more() {
    let directory = StateDirectory::new();
    let (mut wal, _) = Wal::open(&directory.0, BUDGET_BYTES).unwrap();
    let initial_capacity = wal.remaining_capacity();
    let mut accepted = 0;
    while wal.remaining_capacity() > 0 {
        accepted += 1;
        wal.record_accepted(accepted, &accepted_payload(&message(10_000))).unwrap();
    }
    assert!(accepted * 10_000 > initial_capacity / 2);
    for id in 1..=accepted {
        wal.record_attempt_started(id, 0, from_millis(77), "e").unwrap();
        wal.record_outcome_decided(id, FinalResult::Rejected { retry_after: None }).unwrap();
    }
    let refused = (1..200)
        .find(|extra| wal.record_accepted(accepted + extra, &accepted_payload(&message(10_000))).is_err());
    assert!(refused.is_some() && directory.size() <= BUDGET_BYTES);
    for id in 1..=accepted + 200 {
        wal.record_finished(id).unwrap();
    }
    assert_eq!(wal.remaining_capacity(), initial_capacity);
    assert!(read_back(&directory).is_empty());
}
