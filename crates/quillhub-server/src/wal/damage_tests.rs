//! Tests of damaged segments.

use super::failure_tests::{accept, open, unfinished_ids};
use super::frame::{Damage, Part, parts};
use super::record::from_millis;
use super::*;
use crate::test_support::{StateDirectory, message};

/// Changes one octet of the first segment.
fn damage(directory: &StateDirectory, offset: usize) {
    let path = segment::path(&directory.0, 0);
    let mut content = fs::read(&path).unwrap();
    content[offset] ^= 0x40;
    fs::write(path, content).unwrap();
}

/// Guards against a damaged octet that loses the rest of its segment, wherever in a record it is.
#[test]
fn a_damaged_octet_costs_at_most_its_record() {
    let length = frame::encode(1, 2, &accepted_payload(&message("once"))).len();
    for octet in [0, 3, 4, 8, 9, 20, length - 1] {
        let directory = StateDirectory::new();
        let (mut wal, _) = open(&directory);
        (1..=3).for_each(|id| accept(&mut wal, id).unwrap());
        drop(wal);
        damage(&directory, length + octet);
        assert_eq!(unfinished_ids(&directory), [1, 3], "octet {octet} of the second record");
    }
}

/// Guards against a second execution: the damaged record may have been that of an attempt's start.
#[test]
fn a_message_accepted_before_a_damaged_place_may_have_been_executed() {
    let directory = StateDirectory::new();
    let (mut wal, _) = open(&directory);
    accept(&mut wal, 1).unwrap();
    let start = fs::read(segment::path(&directory.0, 0)).unwrap().len();
    wal.record_attempt_started(1, 0, from_millis(77), "e").unwrap();
    accept(&mut wal, 2).unwrap();
    drop(wal);
    damage(&directory, start + 20);
    let unfinished = open(&directory).1;
    assert_eq!(unfinished[&1].possible_executions().count(), 1);
    assert_eq!(unfinished[&2].possible_executions().count(), 0);
}

/// Guards against damage that is not reported with its place, and against a torn write that counts as damage.
#[test]
fn damaged_places_are_found_with_their_offset_and_length() {
    let frame = frame::encode(5, 1, &[]);
    let found = |content: &[u8]| -> Vec<Damage> {
        let damages = parts(content).filter_map(|part| match part {
            Part::Damaged(damage) => Some(damage),
            Part::Frame(_) => None,
        });
        damages.collect()
    };
    let (intact, half) = (frame.as_slice(), &frame[..frame.len() / 2]);
    assert_eq!(found(&[intact, intact].concat()), []);
    let (offset, bytes) = (intact.len(), half.len());
    assert_eq!(found(&[intact, half].concat()), [Damage { offset, bytes, is_at_end: true }]);
    assert_eq!(found(&[intact, half, intact].concat()), [Damage { offset, bytes, is_at_end: false }]);
}
