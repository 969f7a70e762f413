//! Tests of writes, truncations and removals that fail.

use super::*;
use crate::test_support::{StateDirectory, message};

const BUDGET_BYTES: u64 = 1 << 20;

/// Opens the log in a directory and returns its unfinished messages.
pub(super) fn open(directory: &StateDirectory) -> (Wal, BTreeMap<MessageId, LoggedMessage>) {
    Wal::open(&directory.0, BUDGET_BYTES).unwrap()
}

/// Records that a message is accepted.
pub(super) fn accept(wal: &mut Wal, id: MessageId) -> Result<(), AppendError> {
    wal.record_accepted(id, &accepted_payload(&message("once")))
}

/// Returns the ids of the unfinished messages in a directory.
pub(super) fn unfinished_ids(directory: &StateDirectory) -> Vec<MessageId> {
    open(directory).1.into_keys().collect()
}

/// Makes further writes to the active segment fail after half a frame, and its truncation too.
fn break_active_segment(wal: &mut Wal, directory: &StateDirectory) {
    let frame = frame::encode(RecordKind::Accepted as u8, 99, &accepted_payload(&message("once")));
    wal.active.fail_after(&directory.0, &frame, frame.len() / 2);
}

/// Guards against messages that are accepted after a write and its truncation failed, and lost at the restart.
#[test]
fn records_after_a_half_written_one_are_read_back() {
    let directory = StateDirectory::new();
    let (mut wal, _) = open(&directory);
    accept(&mut wal, 1).unwrap();
    break_active_segment(&mut wal, &directory);
    assert!(accept(&mut wal, 2).is_err());
    accept(&mut wal, 3).unwrap();
    drop(wal);
    assert_eq!(unfinished_ids(&directory), [1, 3]);
}

/// Guards against a message that is attempted again after a restart although its final outcome was reported.
#[test]
fn a_final_outcome_that_could_not_be_written_is_written_later() {
    let directory = StateDirectory::new();
    let (mut wal, _) = open(&directory);
    (1..=2).for_each(|id| accept(&mut wal, id).unwrap());
    break_active_segment(&mut wal, &directory);
    assert!(wal.record_outcome_decided(1, FinalResult::Abandoned).is_err());
    wal.write_kept();
    wal.record_finished(2).unwrap();
    drop(wal);
    let unfinished = open(&directory).1;
    assert_eq!(unfinished.keys().collect::<Vec<_>>(), [&1]);
    assert_eq!(unfinished[&1].outcome, Some(FinalResult::Abandoned));
}

/// Guards against messages that are refused although there is room, since a segment cannot be removed for a while.
#[test]
fn a_segment_that_cannot_be_removed_delays_compaction_only() {
    let directory = StateDirectory::new();
    let (mut wal, _) = open(&directory);
    let body = vec![0; 20_000];
    let payload = accepted_payload(&LoggedMessage { body, ..message("once") });
    for id in 1..=200 {
        if id == 30 {
            // A directory in place of the oldest segment can neither be read nor removed as a file.
            let oldest = segment::path(&directory.0, wal.full.front().unwrap().number);
            fs::remove_file(&oldest).unwrap();
            fs::create_dir(&oldest).unwrap();
        }
        if id == 34 {
            let oldest = segment::path(&directory.0, wal.full.front().unwrap().number);
            fs::remove_dir(&oldest).unwrap();
            fs::write(oldest, b"").unwrap();
        }
        wal.record_accepted(id, &payload).unwrap();
        wal.record_finished(id).unwrap();
    }
    assert!(wal.used() <= BUDGET_BYTES);
}
