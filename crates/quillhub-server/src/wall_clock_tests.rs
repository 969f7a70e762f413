use super::*;
use crate::test_support::{
    OK, StateDirectory, instance, log_with, message, on_one_thread, scripted_server, until_idle,
};

use tokio::time::timeout;

const HOUR: Duration = Duration::from_secs(3_600);

fn boot_id() -> String {
    fs::read_to_string(BOOT_ID_FILE).unwrap().trim().to_owned()
}

/// Writes the anchor of a process that started a second ago, when its wall clock was `offset` ahead of the system's
/// present one.
fn write_anchor(directory: &Path, boot_id: String, wall: SystemTime) {
    let wall = wall.duration_since(UNIX_EPOCH).unwrap();
    let monotonic = monotonic_now() - Duration::from_secs(1);
    Anchor { boot_id, monotonic, wall }.write(directory).unwrap();
}

/// Returns the difference of two times, whichever is later.
fn distance(a: SystemTime, b: SystemTime) -> Duration {
    a.duration_since(b).unwrap_or_else(|error| error.duration())
}

/// Guards against times in the log that change their distance from the present when the system's wall clock is set.
#[test]
fn the_clock_continues_where_the_previous_process_left_it() {
    for then in [SystemTime::now() + HOUR, SystemTime::now() - HOUR] {
        let directory = StateDirectory::new();
        write_anchor(&directory.0, boot_id(), then);
        let expected = then + Duration::from_secs(1);
        let clock = WallClock::open(&directory.0);
        assert!(distance(clock.now(), expected) < Duration::from_millis(500));
        let next = WallClock::open(&directory.0);
        assert!(distance(next.now(), clock.now()) < Duration::from_millis(500));
    }
}

/// Guards against an anchor of another boot, whose monotonic clock started anew, and against a damaged one.
#[test]
fn the_clock_starts_at_the_systems_without_a_valid_anchor() {
    let starts_at_system_time = |directory: &StateDirectory| {
        distance(WallClock::open(&directory.0).now(), SystemTime::now()) < Duration::from_millis(500)
    };
    let other_boot = StateDirectory::new();
    write_anchor(&other_boot.0, "another".into(), SystemTime::now() + HOUR);
    assert!(starts_at_system_time(&other_boot));
    let damaged = StateDirectory::new();
    fs::write(damaged.0.join(ANCHOR_FILE), "{\"boot_id\":").unwrap();
    assert!(starts_at_system_time(&damaged));
    let empty = StateDirectory::new();
    assert!(starts_at_system_time(&empty));
    assert!(Anchor::read(&empty.0).is_some(), "the anchor is written");
}

/// Guards against messages that are given up untried, or get their final outcome an hour late, since the wall clock was
/// set between a kill and the restart.
#[test]
fn a_recovered_message_has_the_time_left_that_it_had_whatever_happened_to_the_wall_clock() {
    for then in [SystemTime::now() + HOUR, SystemTime::now() - HOUR] {
        let directory = StateDirectory::new();
        write_anchor(&directory.0, boot_id(), then);
        let deadline = Some(then + Duration::from_secs(9));
        drop(log_with(&directory, &[crate::wal::LoggedMessage { deadline, ..message("free") }]));
        on_one_thread(async {
            let (address, mut requests) = scripted_server(vec![OK]).await;
            let instance = instance(&directory, address);
            let request = timeout(Duration::from_secs(5), requests.recv()).await;
            let request = request.expect("the message is attempted").unwrap();
            let stated = request.split_once("X-Deadline: ").unwrap().1.split_once("\r\n").unwrap().0;
            assert!(stated.parse::<f64>().unwrap() < 8.5, "{stated} s");
            until_idle(&instance).await;
        });
    }
}
