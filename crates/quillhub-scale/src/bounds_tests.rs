use super::*;
use std::time::Duration;

const GB: u64 = 1 << 30;
const LOAD: Load = Load {
    per_s: 400.0,
    connections: 16,
    body_bytes: 200,
    idle_duration: Duration::from_secs(1),
    loaded_duration: Duration::from_secs(1),
};
const SIZES: Sizes = Sizes { destinations: 20, backlog: 0, lightweight_instances: 0, changes: 0 };
const LIMITS: Limits = Limits { descriptors: 20_000, memory_bytes: 24 * GB };

fn refusal(sizes: Sizes, limits: Limits) -> Option<String> {
    check("sizes", &need(&sizes, &LOAD), &limits).err().map(|refusal| refusal.to_string())
}

#[test]
fn the_largest_sizes_of_the_capacity_page_fit_a_machine_of_24_gb() {
    for sizes in [
        Sizes { destinations: 320_000, ..SIZES },
        Sizes { backlog: 1_000_000, ..SIZES },
        Sizes { lightweight_instances: 1_300, ..SIZES },
    ] {
        assert_eq!(refusal(sizes, LIMITS), None);
    }
}

#[test]
fn a_need_of_more_than_half_of_the_memory_is_refused_with_both_figures() {
    let found =
        refusal(Sizes { backlog: 1_000_000, ..SIZES }, Limits { memory_bytes: GB, ..LIMITS }).unwrap();
    assert!(
        found.starts_with("sizes: expected at most 512 MB, half of the machine's memory, found a need of "),
        "{found}"
    );
}

#[test]
fn descriptors_are_limited_by_the_constant_and_by_the_process() {
    let many = Sizes { lightweight_instances: 5_000, destinations: 2, ..SIZES };
    assert!(refusal(many, LIMITS).unwrap().contains("fewer than 20000 file descriptors"));
    let few = Limits { descriptors: 1_024, ..LIMITS };
    assert!(
        refusal(Sizes { lightweight_instances: 100, ..SIZES }, few)
            .unwrap()
            .contains("fewer than 1024 file descriptors")
    );
}

// Sums that wrapped around would be small enough to start a run that no machine can hold.
#[test]
fn sizes_whose_need_overflows_are_refused() {
    let sizes =
        Sizes { destinations: u64::MAX, backlog: u64::MAX, lightweight_instances: u64::MAX, changes: 0 };
    assert!(refusal(sizes, LIMITS).is_some());
}
