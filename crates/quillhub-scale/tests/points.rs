//! Small points with the process of a real instance. The tests check counts and no times.

use quillhub_scale::plan::{Load, Plan, Sizes, Slope};
use quillhub_scale::{Measurement, figure, measure};
use std::path::PathBuf;
use std::time::Duration;

const BASE: Sizes = Sizes { destinations: 10, backlog: 0, lightweight_instances: 0, changes: 0 };

/// Returns the path of the instance's program: an example of this package, built beside its tests.
fn instance_program() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    own.parent().and_then(|deps| deps.parent()).unwrap().join("examples/instance")
}

fn plan(slope: Slope, point_time_limit: Duration) -> Plan {
    let (idle_duration, loaded_duration) = (Duration::from_millis(100), Duration::from_millis(500));
    let load = Load { per_s: 100.0, connections: 4, body_bytes: 50, idle_duration, loaded_duration };
    let (question, found) = ("What does it count?".to_owned(), String::new());
    let (sizes, plays, seed, base) = (vec![1, 2, 4, 8], 2, 1, BASE);
    Plan { format: 1, question, found, slope, sizes, plays, seed, point_time_limit, base, load }
}

fn measured(slope: Slope, size: u64, point_time_limit: Duration) -> Measurement {
    let plan = plan(slope, point_time_limit);
    measure(&plan, &BASE.with(slope, size), 1, &instance_program()).unwrap()
}

/// Time limit of points that are to be measured completely.
const TEST_TIME_LIMIT: Duration = Duration::from_secs(120);

#[test]
fn an_instance_delivers_with_the_list_in_its_configuration_and_with_that_of_discovery() {
    let point = measured(Slope::Destinations, 20, TEST_TIME_LIMIT);
    assert_eq!(point.breaks, None);
    assert!(point.figures[figure::DELIVERED] > 0.0);
    assert_eq!(point.figures[figure::REJECTED], 0.0);
    // One more entry of the list, with an id and a destination of two digits.
    let longer = measured(Slope::Destinations, 21, TEST_TIME_LIMIT);
    let row = longer.figures[figure::LIST_BYTES] - point.figures[figure::LIST_BYTES];
    assert!((130.0..150.0).contains(&row), "{row} bytes per entry");
    assert!(point.figures.contains_key(figure::BY_DISCOVERY_S));
}

// An instance that cannot read the list of discovery never delivers; without an early end, the measurement would run
// until its time limit, and its earlier figures would be lost.
#[test]
fn a_list_over_the_size_limit_ends_the_measurement_and_keeps_earlier_figures() {
    let point = measured(Slope::Destinations, 40_000, TEST_TIME_LIMIT);
    let breaks = point.breaks.expect("the list is over 4 MiB");
    assert!(breaks.contains("is not applied from discovery"), "{breaks}");
    assert!(point.figures[figure::LIST_BYTES] > 4.0 * 1024.0 * 1024.0);
    assert!(point.figures[figure::DELIVERED] > 0.0);
    assert!(!point.figures.contains_key(figure::BY_DISCOVERY_S));
}

#[test]
fn a_backlog_is_accepted_and_the_instance_is_ready_again_after_a_kill() {
    let point = measured(Slope::Backlog, 50, TEST_TIME_LIMIT);
    assert_eq!(point.breaks, None);
    assert!(point.figures[figure::DELIVERED] > 0.0);
    assert!(point.figures[figure::STATE_MB] > 0.0);
    assert!(point.figures.contains_key(figure::READY_AGAIN_S));
}

#[test]
fn a_backlog_that_exceeds_the_time_limit_ends_the_measurement() {
    let point = measured(Slope::Backlog, 10_000_000, Duration::from_secs(3));
    let breaks = point.breaks.expect("so many messages cannot be submitted in time");
    assert!(breaks.contains("messages are accepted and 0 are not after "), "{breaks}");
    assert!(!point.figures.contains_key(figure::MESSAGE_US));
}

#[test]
fn traffic_of_discovery_and_platform_is_counted_for_each_lightweight_instance() {
    let point = measured(Slope::Instances, 6, TEST_TIME_LIMIT);
    assert_eq!(point.breaks, None);
    assert_eq!(point.figures[figure::CONNECTIONS], 6.0);
    assert_eq!(point.figures[figure::RESTART_CONNECTIONS], 12.0);
    let each = point.figures[figure::RESTART_PLATFORM_BYTES] / 6.0;
    assert_eq!(each, each.round(), "the platform exchanges the same number of bytes with each instance");
}
