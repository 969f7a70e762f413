use super::*;
use crate::test_support::Folder;

const ROOM: u64 = 1 << 20;

fn notice(body: usize) -> RecoveredMessage {
    RecoveredMessage {
        service_class: "g".into(),
        destination: 9,
        ordering_key: Some(5),
        deadline: Some(from_millis(1_234)),
        client_id: b"ab".to_vec(),
        idempotency_key: Some(b"k".to_vec()),
        body: vec![b'x'; body],
        ..RecoveredMessage::default()
    }
}

fn read_back(folder: &Folder) -> BTreeMap<u64, RecoveredMessage> {
    Wal::open(&folder.0, ROOM).unwrap().1
}

#[test]
fn pending_messages_are_read_back_with_their_history() {
    let folder = Folder::new();
    let (mut wal, owed) = Wal::open(&folder.0, ROOM).unwrap();
    assert!(owed.is_empty());
    for id in 1..=4 {
        wal.accepted(id, &accepted_payload(&notice(3))).unwrap();
    }
    wal.attempt_started(1, 0, from_millis(77), "e").unwrap();
    wal.attempt_started(1, 1, from_millis(88), "f").unwrap();
    wal.not_executed(1, 1).unwrap();
    wal.outcome_decided(2, true, Some(Duration::from_millis(500))).unwrap();
    wal.outcome_decided(3, false, None).unwrap();
    wal.finished(4).unwrap();
    drop(wal);
    let owed = read_back(&folder);
    let sends = BTreeMap::from([(0, Some((from_millis(77), "e".to_owned()))), (1, None)]);
    assert_eq!(owed[&1], RecoveredMessage { attempts: sends, ..notice(3) });
    assert_eq!(owed[&2].outcome, Some((true, Some(Duration::from_millis(500)))));
    assert_eq!(owed[&3].outcome, Some((false, None)));
    assert_eq!(owed.len(), 3);
    assert_eq!(read_back(&folder), owed, "reading changes nothing");
}

#[test]
fn a_message_without_ordering_or_idempotency_key_is_read_back_without() {
    let folder = Folder::new();
    let (mut wal, _) = Wal::open(&folder.0, ROOM).unwrap();
    let bare = RecoveredMessage { ordering_key: None, idempotency_key: None, ..notice(0) };
    wal.accepted(1, &accepted_payload(&bare)).unwrap();
    assert_eq!(read_back(&folder)[&1], bare);
}

#[test]
fn an_id_is_not_reused_after_a_restart() {
    let folder = Folder::new();
    let (mut wal, _) = Wal::open(&folder.0, ROOM).unwrap();
    for id in [wal.next_id(), wal.next_id()] {
        wal.accepted(id, &accepted_payload(&notice(3))).unwrap();
        wal.finished(id).unwrap();
    }
    let (mut wal, _) = Wal::open(&folder.0, ROOM).unwrap();
    let id = wal.next_id();
    wal.accepted(id, &accepted_payload(&notice(3))).unwrap();
    assert_eq!(read_back(&folder).into_keys().collect::<Vec<_>>(), [3]);
}

#[test]
fn a_torn_tail_costs_the_torn_record_only() {
    let folder = Folder::new();
    let (mut wal, _) = Wal::open(&folder.0, ROOM).unwrap();
    wal.accepted(1, &accepted_payload(&notice(9))).unwrap();
    let first = wal.current.size as usize;
    wal.accepted(2, &accepted_payload(&notice(9))).unwrap();
    drop(wal);
    let file = path(&folder.0, 0);
    let whole = fs::read(&file).unwrap();
    let mut spoilt = whole.clone();
    spoilt[first + 20] ^= 1;
    let mut tails: Vec<_> = (first..whole.len()).map(|cut| whole[..cut].to_vec()).collect();
    tails.push(spoilt);
    for tail in tails {
        fs::write(&file, &tail).unwrap();
        let mut octets = Vec::new();
        frames(&tail, |_, _, id, _| octets.push(id));
        assert_eq!(octets, [1]);
    }
    // What is written after a torn tail is read.
    let (mut wal, owed) = Wal::open(&folder.0, ROOM).unwrap();
    assert_eq!(owed.len(), 1);
    wal.accepted(3, &accepted_payload(&notice(9))).unwrap();
    assert_eq!(read_back(&folder).into_keys().collect::<Vec<_>>(), [1, 3]);
}

#[test]
fn the_directory_stays_within_its_bound_and_loses_no_pending_message() {
    let folder = Folder::new();
    let (mut wal, _) = Wal::open(&folder.0, ROOM).unwrap();
    wal.accepted(1, &accepted_payload(&notice(60_000))).unwrap();
    wal.attempt_started(1, 0, from_millis(77), "e").unwrap();
    for id in 2..400 {
        wal.accepted(id, &accepted_payload(&notice(id as usize * 150))).unwrap();
        wal.attempt_started(id, 0, from_millis(77), "e").unwrap();
        assert!(folder.size() <= ROOM, "{} with notice {id}", folder.size());
        wal.finished(id).unwrap();
    }
    let owed = read_back(&folder);
    assert_eq!(
        owed.into_iter().collect::<Vec<_>>(),
        [(
            1,
            RecoveredMessage {
                attempts: BTreeMap::from([(0, Some((from_millis(77), "e".to_owned())))]),
                ..notice(60_000)
            }
        )]
    );
}

#[test]
fn capacity_shrinks_with_pending_messages_and_a_full_directory_takes_no_more() {
    let folder = Folder::new();
    let (mut wal, _) = Wal::open(&folder.0, ROOM).unwrap();
    let empty = wal.remaining_capacity();
    let mut held = 0;
    while wal.remaining_capacity() > 0 {
        held += 1;
        wal.accepted(held, &accepted_payload(&notice(10_000))).unwrap();
    }
    assert!(held * 10_000 > empty / 2);
    for id in 1..=held {
        wal.attempt_started(id, 0, from_millis(77), "e").unwrap();
        wal.outcome_decided(id, true, None).unwrap();
    }
    let more = (1..200).find(|more| wal.accepted(held + more, &accepted_payload(&notice(10_000))).is_err());
    assert!(more.is_some() && folder.size() <= ROOM);
    for id in 1..=held + 200 {
        wal.finished(id).unwrap();
    }
    assert_eq!(wal.remaining_capacity(), empty);
    assert!(read_back(&folder).is_empty());
}
