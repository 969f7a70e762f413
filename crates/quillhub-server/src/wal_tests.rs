use super::*;
use crate::stand_in::Folder;

const ROOM: u64 = 1 << 20;

fn notice(body: usize) -> Owed {
    Owed {
        grade: "g".into(),
        destination: 9,
        turn: Some(5),
        limit: Some(moment(1_234)),
        reference: b"ab".to_vec(),
        mark: Some(b"k".to_vec()),
        body: vec![b'x'; body],
        ..Owed::default()
    }
}

fn read_back(folder: &Folder) -> BTreeMap<u64, Owed> {
    Wal::open(&folder.0, ROOM).unwrap().1
}

#[test]
fn what_is_owed_is_read_back_with_all_that_happened_to_it() {
    let folder = Folder::new();
    let (mut wal, owed) = Wal::open(&folder.0, ROOM).unwrap();
    assert!(owed.is_empty());
    for id in 1..=4 {
        wal.taken(id, &taken(&notice(3))).unwrap();
    }
    wal.may_have_run(1, 0, moment(77), "e").unwrap();
    wal.may_have_run(1, 1, moment(88), "f").unwrap();
    wal.did_not_run(1, 1).unwrap();
    wal.answered(2, true, Some(Duration::from_millis(500))).unwrap();
    wal.answered(3, false, None).unwrap();
    wal.over(4).unwrap();
    drop(wal);
    let owed = read_back(&folder);
    let sends = BTreeMap::from([(0, Some((moment(77), "e".to_owned()))), (1, None)]);
    assert_eq!(owed[&1], Owed { sends, ..notice(3) });
    assert_eq!(owed[&2].answer, Some((true, Some(Duration::from_millis(500)))));
    assert_eq!(owed[&3].answer, Some((false, None)));
    assert_eq!(owed.len(), 3);
    assert_eq!(read_back(&folder), owed, "reading changes nothing");
}

#[test]
fn a_notice_without_key_or_mark_comes_back_without() {
    let folder = Folder::new();
    let (mut wal, _) = Wal::open(&folder.0, ROOM).unwrap();
    let bare = Owed { turn: None, mark: None, ..notice(0) };
    wal.taken(1, &taken(&bare)).unwrap();
    assert_eq!(read_back(&folder)[&1], bare);
}

#[test]
fn a_number_does_not_come_again_after_a_restart() {
    let folder = Folder::new();
    let (mut wal, _) = Wal::open(&folder.0, ROOM).unwrap();
    for id in [wal.number(), wal.number()] {
        wal.taken(id, &taken(&notice(3))).unwrap();
        wal.over(id).unwrap();
    }
    let (mut wal, _) = Wal::open(&folder.0, ROOM).unwrap();
    let id = wal.number();
    wal.taken(id, &taken(&notice(3))).unwrap();
    assert_eq!(read_back(&folder).into_keys().collect::<Vec<_>>(), [3]);
}

#[test]
fn a_torn_tail_costs_the_torn_record_only() {
    let folder = Folder::new();
    let (mut wal, _) = Wal::open(&folder.0, ROOM).unwrap();
    wal.taken(1, &taken(&notice(9))).unwrap();
    let first = wal.current.size as usize;
    wal.taken(2, &taken(&notice(9))).unwrap();
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
    wal.taken(3, &taken(&notice(9))).unwrap();
    assert_eq!(read_back(&folder).into_keys().collect::<Vec<_>>(), [1, 3]);
}

#[test]
fn the_folder_stays_within_its_bound_and_loses_nothing_owed() {
    let folder = Folder::new();
    let (mut wal, _) = Wal::open(&folder.0, ROOM).unwrap();
    wal.taken(1, &taken(&notice(60_000))).unwrap();
    wal.may_have_run(1, 0, moment(77), "e").unwrap();
    for id in 2..400 {
        wal.taken(id, &taken(&notice(id as usize * 150))).unwrap();
        wal.may_have_run(id, 0, moment(77), "e").unwrap();
        assert!(folder.size() <= ROOM, "{} with notice {id}", folder.size());
        wal.over(id).unwrap();
    }
    let owed = read_back(&folder);
    assert_eq!(
        owed.into_iter().collect::<Vec<_>>(),
        [(1, Owed { sends: BTreeMap::from([(0, Some((moment(77), "e".to_owned())))]), ..notice(60_000) })]
    );
}

#[test]
fn room_shrinks_with_what_is_owed_and_a_full_folder_takes_no_more() {
    let folder = Folder::new();
    let (mut wal, _) = Wal::open(&folder.0, ROOM).unwrap();
    let empty = wal.room();
    let mut held = 0;
    while wal.room() > 0 {
        held += 1;
        wal.taken(held, &taken(&notice(10_000))).unwrap();
    }
    assert!(held * 10_000 > empty / 2);
    for id in 1..=held {
        wal.may_have_run(id, 0, moment(77), "e").unwrap();
        wal.answered(id, true, None).unwrap();
    }
    let more = (1..200).find(|more| wal.taken(held + more, &taken(&notice(10_000))).is_err());
    assert!(more.is_some() && folder.size() <= ROOM);
    for id in 1..=held + 200 {
        wal.over(id).unwrap();
    }
    assert_eq!(wal.room(), empty);
    assert!(read_back(&folder).is_empty());
}
