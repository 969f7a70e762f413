//! Counts of a small fleet, which depend on its sizes only and not on time.

use quillhub_fakes::scratch::on_one_thread;
use quillhub_scale::fleet::Fleet;
use quillhub_scale::plan::Sizes;
use std::time::{Duration, Instant};

const SIZES: Sizes = Sizes { destinations: 10, backlog: 0, lightweight_instances: 12, changes: 0 };

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

// Figures of discovery and platform are divided by the number of lightweight instances, so requests repeated by a
// lightweight instance would distort them.
#[test]
fn a_lightweight_instance_fetches_the_list_once_watches_once_and_reports_one_final_outcome() {
    on_one_thread(async {
        let fleet = Fleet::start(&SIZES, 1, 0).unwrap();
        assert!(fleet.wait_until_ready(deadline()).await);
        let traffic = fleet.traffic();
        assert_eq!(traffic.final_outcomes, SIZES.lightweight_instances);
        assert_eq!(traffic.platform.connections, SIZES.lightweight_instances);
        assert_eq!(traffic.platform.requests, SIZES.lightweight_instances);
        assert_eq!(traffic.discovery.connections, 2 * SIZES.lightweight_instances);
    });
}

// A restart that kept state would make the measured cost of a mass restart too low.
#[test]
fn restarted_lightweight_instances_fetch_the_complete_list_again() {
    on_one_thread(async {
        let fleet = Fleet::start(&SIZES, 1, 0).unwrap();
        assert!(fleet.wait_until_ready(deadline()).await);
        let before = fleet.traffic();
        fleet.restart_every(1);
        assert!(fleet.wait_until_ready(deadline()).await);
        let now = fleet.traffic();
        assert_eq!((now.discovery - before.discovery).connections, 2 * SIZES.lightweight_instances);
        assert_eq!((now.platform - before.platform).requests, SIZES.lightweight_instances);
        assert_eq!(now.final_outcomes - before.final_outcomes, SIZES.lightweight_instances);
    });
}

#[test]
fn every_lightweight_instance_applies_each_change() {
    on_one_thread(async {
        let fleet = Fleet::start(&SIZES, 1, 0).unwrap();
        assert!(fleet.wait_until_ready(deadline()).await);
        for _ in 0..3 {
            let found = fleet.change(deadline()).await.unwrap().expect("all instances apply the change");
            assert!(found.median <= found.max);
        }
        // During restarts, some instances receive the change by the watch and others by the complete list.
        fleet.restart_every(4);
        assert!(fleet.change(deadline()).await.unwrap().is_some());
        assert!(fleet.wait_until_ready(deadline()).await);
    });
}

#[test]
fn a_list_of_ten_times_as_many_destinations_is_ten_times_as_long() {
    let bytes = |destinations| {
        on_one_thread(async move {
            let sizes = Sizes { destinations, lightweight_instances: 1, ..SIZES };
            let fleet = Fleet::start(&sizes, 1, 0).unwrap();
            assert!(fleet.wait_until_ready(deadline()).await);
            fleet.traffic().discovery.bytes_out
        })
    };
    let (few, many) = (bytes(100), bytes(1_000));
    let per_destination = (many - few) as f64 / 900.0;
    assert!((100.0..200.0).contains(&per_destination), "{per_destination} bytes per destination");
}
