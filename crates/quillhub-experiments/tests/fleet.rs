//! Scenarios of the experiments `fleet-*.toml` with 30 instead of 300 instances, the same faults and fixed seeds.
//! Guards against decisions that are right for each instance alone, but together break a rule or earn less value than a
//! single attempt per message.

use quillhub_experiments::experiment::ExperimentPlan;
use quillhub_experiments::results::{RunRecord, mean_and_deviation};
use quillhub_experiments::sweep;
use quillhub_fakes::scratch::ScratchDirectory;
use std::path::Path;

fn run_small(kind: &str) -> Vec<RunRecord> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../experiments/fleet-{kind}.toml"));
    let mut text = std::fs::read_to_string(&path).unwrap();
    for (original, reduced) in [
        ("seeds = [1, 2, 3, 4, 5]", "seeds = [1, 2]"),
        (r#"["module", "single", "budget", "oracle"]"#, r#"["module", "single"]"#),
        ("count = 300", "count = 30"),
        ("count = 9\n", "count = 3\n"),
        ("count = 4\n", "count = 1\n"),
        ("per_s = 460.0", "per_s = 130.0"),
    ] {
        assert!(text.contains(original), "{kind}: {original}");
        text = text.replace(original, reduced);
    }
    let plan = ExperimentPlan::parse(kind, &text).unwrap_or_else(|e| panic!("{e:?}"));
    sweep::run(&plan, &ScratchDirectory::new().0, false).unwrap()
}

fn assert_breaks_no_rule_and_earns_more_than_single_attempts(kind: &str) {
    let runs = run_small(kind);
    let earned = |decider: &str| {
        let values: Vec<f64> =
            runs.iter().filter(|run| run.decider == decider).map(|run| run.figures["earned"]).collect();
        assert_eq!(values.len(), 2);
        mean_and_deviation(&values).0
    };
    for run in runs.iter().filter(|run| run.decider == "module") {
        assert_eq!(run.breaches, 0, "{kind}, seed {}", run.seed);
    }
    let (module, single) = (earned("module"), earned("single"));
    assert!(module > single, "{kind}: the dispatcher earns {module:.3}, a single attempt {single:.3}");
}

#[test]
fn many_instances_without_faults_break_no_rule_and_earn_more_than_single_attempts() {
    assert_breaks_no_rule_and_earns_more_than_single_attempts("calm");
}

#[test]
fn a_rolling_restart_while_endpoints_are_replaced_breaks_no_rule_and_earns_more_than_single_attempts() {
    assert_breaks_no_rule_and_earns_more_than_single_attempts("roll");
}

#[test]
fn killing_most_instances_at_once_breaks_no_rule_and_earns_more_than_single_attempts() {
    assert_breaks_no_rule_and_earns_more_than_single_attempts("herd");
}

#[test]
fn a_recovery_of_destinations_with_reduced_capacity_breaks_no_rule_and_earns_more_than_single_attempts() {
    assert_breaks_no_rule_and_earns_more_than_single_attempts("zone");
}

#[test]
fn a_zone_cut_off_together_with_discovery_breaks_no_rule_and_earns_more_than_single_attempts() {
    assert_breaks_no_rule_and_earns_more_than_single_attempts("split");
}
