use super::*;
use std::time::Duration;

const GB: u64 = 1 << 30;
const LOAD: Load = Load {
    per_s: 400.0,
    connections: 16,
    body: 200,
    idle: Duration::from_secs(1),
    loaded: Duration::from_secs(1),
};
const SIZES: Sizes = Sizes { destinations: 20, backlog: 0, couriers: 0, changes: 0 };
const LIMITS: Limits = Limits { descriptors: 20_000, memory: 24 * GB };

fn refused(sizes: Sizes, limits: Limits) -> Option<String> {
    check("sizes", &need(&sizes, &LOAD), &limits).err().map(|refusal| refusal.to_string())
}

#[test]
fn what_the_capacity_page_asks_for_fits_a_machine_of_24_gb() {
    for sizes in [
        Sizes { destinations: 320_000, ..SIZES },
        Sizes { backlog: 1_000_000, ..SIZES },
        Sizes { couriers: 1_300, ..SIZES },
    ] {
        assert_eq!(refused(sizes, LIMITS), None);
    }
}

#[test]
fn memory_over_half_of_the_machine_is_refused_with_both_figures() {
    let found = refused(Sizes { backlog: 1_000_000, ..SIZES }, Limits { memory: GB, ..LIMITS }).unwrap();
    assert!(
        found.starts_with("sizes: expected at most 512 MB, half of the machine's memory, found a need of "),
        "{found}"
    );
}

#[test]
fn descriptors_are_bounded_by_the_page_and_by_the_process() {
    let many = Sizes { couriers: 5_000, destinations: 2, ..SIZES };
    assert!(refused(many, LIMITS).unwrap().contains("under 20000 descriptors"));
    let few = Limits { descriptors: 1_024, ..LIMITS };
    assert!(refused(Sizes { couriers: 100, ..SIZES }, few).unwrap().contains("under 1024 descriptors"));
}

#[test]
fn sizes_beyond_all_counting_are_refused_and_do_not_wrap() {
    let sizes = Sizes { destinations: u64::MAX, backlog: u64::MAX, couriers: u64::MAX, changes: 0 };
    assert!(refused(sizes, LIMITS).is_some());
}
