//! The fleet's scenarios in small: thirty instances instead of three hundred, the same faults, fixed seeds. What each
//! instance does alone must not add up to a broken rule, nor to less value than a single attempt for each message.

use quillhub_experiments::experiment::Planned;
use quillhub_experiments::results::{Kept, mean};
use quillhub_experiments::sweep;
use quillhub_fakes::scratch::ScratchDirectory;
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
    sweep::run(&planned, &ScratchDirectory::new().0, false).unwrap()
}

fn assert_keeps_all_rules_and_beats_single_attempts(kind: &str) {
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
fn a_fleet_without_faults() {
    assert_keeps_all_rules_and_beats_single_attempts("calm");
}

#[test]
fn a_rolling_restart_while_endpoints_are_replaced() {
    assert_keeps_all_rules_and_beats_single_attempts("roll");
}

#[test]
fn most_instances_killed_at_once() {
    assert_keeps_all_rules_and_beats_single_attempts("herd");
}

#[test]
fn destinations_that_recover_cold_for_all_instances() {
    assert_keeps_all_rules_and_beats_single_attempts("zone");
}

#[test]
fn a_zone_cut_off_and_service_discovery_with_it() {
    assert_keeps_all_rules_and_beats_single_attempts("split");
}
