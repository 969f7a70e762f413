//! Small points with a real instance's process: what is counted, not what is timed.

use quillhub_scale::plan::{Load, Plan, Sizes, Slope};
use quillhub_scale::{Played, figure, play};
use std::path::PathBuf;
use std::time::Duration;

const BASE: Sizes = Sizes { destinations: 10, backlog: 0, lightweight_instances: 0, changes: 0 };

/// The instance's program: an example of this package, built beside its tests.
fn courier() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    own.parent().and_then(|deps| deps.parent()).unwrap().join("examples/courier")
}

fn plan(slope: Slope, point_time_limit: Duration) -> Plan {
    let (idle, loaded) = (Duration::from_millis(100), Duration::from_millis(500));
    let load = Load { per_s: 100.0, connections: 4, body: 50, idle, loaded };
    let (question, found) = ("What does it count?".to_owned(), String::new());
    let (sizes, plays, seed, base) = (vec![1, 2, 4, 8], 2, 1, BASE);
    Plan { format: 1, question, found, slope, sizes, plays, seed, point_time_limit, base, load }
}

fn played(slope: Slope, size: u64, point_time_limit: Duration) -> Played {
    let plan = plan(slope, point_time_limit);
    play(&plan, &BASE.with(slope, size), 1, &courier()).unwrap()
}

const LONG: Duration = Duration::from_secs(120);

#[test]
fn a_courier_that_knows_its_list_delivers_and_takes_the_list_from_discovery() {
    let point = played(Slope::Destinations, 20, LONG);
    assert_eq!(point.breaks, None);
    assert!(point.figures[figure::DELIVERED] > 0.0);
    assert_eq!(point.figures[figure::REJECTED], 0.0);
    // 20 rows, of which eleven have an id and a number of one digit more.
    let longer = played(Slope::Destinations, 21, LONG);
    let row = longer.figures[figure::LIST_BYTES] - point.figures[figure::LIST_BYTES];
    assert!((130.0..150.0).contains(&row), "{row} bytes a row");
    assert!(point.figures.contains_key(figure::BY_DISCOVERY_S));
}

#[test]
fn a_list_over_the_bound_of_a_line_breaks_and_keeps_what_was_measured_before() {
    let point = played(Slope::Destinations, 40_000, LONG);
    let breaks = point.breaks.expect("the list is over 4 MiB");
    assert!(breaks.contains("is not taken from discovery"), "{breaks}");
    assert!(point.figures[figure::LIST_BYTES] > 4.0 * 1024.0 * 1024.0);
    assert!(point.figures[figure::DELIVERED] > 0.0);
    assert!(!point.figures.contains_key(figure::BY_DISCOVERY_S));
}

#[test]
fn a_backlog_is_held_and_outlasts_a_kill() {
    let point = played(Slope::Backlog, 50, LONG);
    assert_eq!(point.breaks, None);
    assert!(point.figures[figure::DELIVERED] > 0.0);
    assert!(point.figures[figure::STATE_MB] > 0.0);
    assert!(point.figures.contains_key(figure::READY_AGAIN_S));
}

#[test]
fn a_backlog_that_takes_longer_than_a_point_may_breaks_there() {
    let point = played(Slope::Backlog, 10_000_000, Duration::from_secs(3));
    let breaks = point.breaks.expect("so many cannot be handed in");
    assert!(breaks.contains("messages are held and 0 refused after "), "{breaks}");
    assert!(!point.figures.contains_key(figure::MESSAGE_US));
}

#[test]
fn what_serves_the_couriers_is_counted_for_each_of_them() {
    let point = played(Slope::Instances, 6, LONG);
    assert_eq!(point.breaks, None);
    assert_eq!(point.figures[figure::CONNECTIONS], 6.0);
    assert_eq!(point.figures[figure::RESTART_CONNECTIONS], 12.0);
    let each = point.figures[figure::RESTART_PLATFORM_BYTES] / 6.0;
    assert_eq!(each, each.round(), "the same bytes of the platform for each");
}
