//! Counts of a small fleet: they depend on its sizes alone, and on no clock.

use quillhub_fakes::scratch::on_one_thread;
use quillhub_scale::fleet::Fleet;
use quillhub_scale::plan::Sizes;
use std::time::{Duration, Instant};

const SIZES: Sizes = Sizes { destinations: 10, backlog: 0, lightweight_instances: 12, changes: 0 };

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

#[test]
fn a_lightweight_instance_asks_once_watches_once_and_reports_one_final_outcome() {
    on_one_thread(async {
        let fleet = Fleet::start(&SIZES, 1, 0).unwrap();
        assert!(fleet.ready(soon()).await);
        let exchanged = fleet.exchanged();
        assert_eq!(exchanged.finals, SIZES.lightweight_instances);
        assert_eq!(exchanged.platform.connections, SIZES.lightweight_instances);
        assert_eq!(exchanged.platform.requests, SIZES.lightweight_instances);
        assert_eq!(exchanged.discovery.connections, 2 * SIZES.lightweight_instances);
    });
}

#[test]
fn all_that_restart_ask_for_the_whole_list_again() {
    on_one_thread(async {
        let fleet = Fleet::start(&SIZES, 1, 0).unwrap();
        assert!(fleet.ready(soon()).await);
        let before = fleet.exchanged();
        fleet.restart_each(1);
        assert!(fleet.ready(soon()).await);
        let now = fleet.exchanged();
        assert_eq!((now.discovery - before.discovery).connections, 2 * SIZES.lightweight_instances);
        assert_eq!((now.platform - before.platform).requests, SIZES.lightweight_instances);
        assert_eq!(now.finals - before.finals, SIZES.lightweight_instances);
    });
}

#[test]
fn each_change_comes_into_force_at_every_courier_once_told() {
    on_one_thread(async {
        let fleet = Fleet::start(&SIZES, 1, 0).unwrap();
        assert!(fleet.ready(soon()).await);
        for _ in 0..3 {
            let found = fleet.change(soon()).await.unwrap().expect("the change comes into force");
            assert!(found.median <= found.worst);
        }
        // A change beside restarts is in force as well: by the watch at some, by the whole list at others.
        fleet.restart_each(4);
        assert!(fleet.change(soon()).await.unwrap().is_some());
        assert!(fleet.ready(soon()).await);
    });
}

#[test]
fn a_list_of_ten_times_as_many_destinations_is_ten_times_as_long() {
    let bytes = |destinations| {
        on_one_thread(async move {
            let sizes = Sizes { destinations, lightweight_instances: 1, ..SIZES };
            let fleet = Fleet::start(&sizes, 1, 0).unwrap();
            assert!(fleet.ready(soon()).await);
            fleet.exchanged().discovery.bytes_out
        })
    };
    let (few, many) = (bytes(100), bytes(1_000));
    let each = (many - few) as f64 / 900.0;
    assert!((100.0..200.0).contains(&each), "{each} bytes a destination");
}
