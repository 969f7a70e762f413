//! The fleet's days in small: thirty couriers instead of three hundred, the same faults, fixed seeds. What each
//! courier does alone must not add up to a broken rule, nor to less than a single try earns.

use quillhub_experiments::experiment::Planned;
use quillhub_experiments::results::{Kept, mean};
use quillhub_experiments::sweep;
use quillhub_fakes::scratch::Folder;
use std::path::Path;

fn small(kind: &str) -> Vec<Kept> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../experiments/fleet-{kind}.toml"));
    let mut text = std::fs::read_to_string(&path).unwrap();
    for (large, little) in [
        ("seeds = [1, 2, 3, 4, 5]", "seeds = [1, 2]"),
        (r#"["module", "single", "budget", "oracle"]"#, r#"["module", "single"]"#),
        ("count = 300", "count = 30"),
        ("count = 9\n", "count = 3\n"),
        ("count = 4\n", "count = 1\n"),
        ("per_s = 460.0", "per_s = 130.0"),
    ] {
        assert!(text.contains(large), "{kind}: {large}");
        text = text.replace(large, little);
    }
    let planned = Planned::parse(kind, &text).unwrap_or_else(|e| panic!("{e:?}"));
    sweep::run(&planned, &Folder::new().0, false).unwrap()
}

fn holds(kind: &str) {
    let runs = small(kind);
    let earned = |decider: &str| {
        let of: Vec<f64> =
            runs.iter().filter(|r| r.decider == decider).map(|r| r.figures["earned"]).collect();
        assert_eq!(of.len(), 2);
        mean(&of).0
    };
    for run in runs.iter().filter(|run| run.decider == "module") {
        assert_eq!(run.breaches, 0, "{kind}, seed {}", run.seed);
    }
    let (module, single) = (earned("module"), earned("single"));
    assert!(module > single, "{kind}: the module earns {module:.3}, a single try {single:.3}");
}

#[test]
fn calm() {
    holds("calm");
}

#[test]
fn restarts_in_steps_while_endpoints_are_replaced() {
    holds("roll");
}

#[test]
fn most_couriers_killed_at_once() {
    holds("herd");
}

#[test]
fn destinations_that_return_cold_to_all() {
    holds("zone");
}

#[test]
fn a_building_cut_off_and_the_register_with_it() {
    holds("split");
}
