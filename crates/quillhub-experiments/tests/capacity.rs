//! The capacity page must agree with the kept results. Also the error messages of the subcommands `scale` and
//! `capacity`.

use quillhub_experiments::capacity::evidence::Evidence;
use quillhub_experiments::capacity::{self, needs};
use quillhub_fakes::scratch::ScratchDirectory;
use quillhub_scale::figure;
use quillhub_scale::machine::Machine;
use quillhub_scale::plan::Slope;
use quillhub_scale::results::Point;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page() -> PathBuf {
    root().join("docs/CAPACITY.md")
}

fn results() -> PathBuf {
    root().join("experiments/results")
}

fn point(slope: Slope, size: u64, name: &str, value: f64) -> Point {
    Point {
        experiment: format!("scale-{}", slope.name()),
        slope,
        size,
        play: 1,
        breaks: None,
        figures: [(name.to_owned(), value)].into(),
        load_average: [1.0, 2.0],
        machine: Machine { cores: 8, memory_mb: 1_024, kernel: "6.1".into() },
    }
}

/// Returns evidence of one slope with one figure, measured at four sizes.
fn evidence_of(slope: Slope, name: &str, value: impl Fn(f64) -> f64) -> Evidence {
    let sizes = [10, 100, 1_000, 10_000];
    Evidence::from_points(sizes.map(|size| point(slope, size, name, value(size as f64))))
}

/// Fails if the page or the kept results are changed without the other.
#[test]
fn the_page_agrees_with_the_kept_results() {
    capacity::check(&page(), &results()).unwrap_or_else(|message| panic!("{message}"));
}

/// Guards against figures edited by hand: a figure that no run produced must not pass the check.
#[test]
fn a_figure_on_the_page_that_differs_from_the_kept_results_is_reported_with_its_line() {
    let (folder, text) = (ScratchDirectory::new(), std::fs::read_to_string(page()).unwrap());
    let changed = folder.0.join("CAPACITY.md");
    let (index, row) = text.lines().enumerate().find(|(_, line)| line.starts_with("| memory MB |")).unwrap();
    std::fs::write(&changed, text.replace(row, &row.replacen("memory MB | ", "memory MB | 9", 1))).unwrap();
    let message = capacity::check(&changed, &results()).unwrap_err();
    assert!(message.contains(&format!("CAPACITY.md:{}: expected '| memory MB |", index + 1)), "{message}");
    capacity::write(&changed, &results()).unwrap();
    assert_eq!(std::fs::read_to_string(&changed).unwrap(), text, "rewriting the page restores it");
}

/// Without its results, a block must not be written with the remaining figures only.
#[test]
fn missing_results_are_reported() {
    let folder = ScratchDirectory::new();
    let message = capacity::check(&page(), &folder.0).unwrap_err();
    assert!(message.contains("scale-destinations/points.jsonl"), "{message}");
    let empty = Evidence::from_points([]);
    let message = capacity::update_blocks("<!-- capacity:courier -->\n<!-- end -->\n", &empty).unwrap_err();
    assert!(message.starts_with("1: scale-") && message.ends_with("found none"), "{message}");
}

/// Text outside the blocks is written by hand, so each of its numbers needs a source.
#[test]
fn a_number_outside_the_blocks_without_a_source_is_reported() {
    let block = "<!-- capacity:machine -->\n| 8 cores |\n<!-- end -->\n";
    assert_eq!(capacity::first_unsourced_line(&format!("# 2 regions\n{block}no number\n")), None);
    assert_eq!(capacity::first_unsourced_line("a courier takes 423 (operators)\n"), None);
    assert_eq!(capacity::first_unsourced_line("a core (estimate: 2 GHz)\n"), None);
    assert_eq!(
        capacity::first_unsourced_line(&format!("{block}it takes 72 us\n")),
        Some((4, "it takes 72 us"))
    );
}

/// A misspelled name or a missing end would otherwise leave an outdated table on the page.
#[test]
fn an_unknown_or_unterminated_block_is_reported_with_its_line() {
    let empty = Evidence::from_points([]);
    let message =
        capacity::update_blocks("text\n<!-- capacity:moons -->\n<!-- end -->\n", &empty).unwrap_err();
    assert_eq!(message, "2: expected a block of the capacity page, found 'moons'");
    let message = capacity::update_blocks("<!-- capacity:missing -->\n", &empty);
    assert!(message.is_err());
    let message = capacity::update_blocks("<!-- capacity:slope-changes -->\n", &empty).unwrap_err();
    assert_eq!(message, "1: expected '<!-- end -->' after block 'slope-changes', found none");
}

/// A fit that misses the held-out size would give a wrong figure at the target.
#[test]
fn only_a_fit_that_predicts_the_held_out_size_is_extrapolated() {
    let evidence = evidence_of(Slope::Backlog, figure::MEMORY_MB, |size| 4.0 + 0.001 * size);
    let found = evidence.figure_at(Slope::Backlog, figure::MEMORY_MB, 1e6).unwrap();
    assert!(found.is_conclusive && (found.value / 1_004.0 - 1.0).abs() < 0.01, "{found:?}");
    let nonlinear =
        evidence_of(Slope::Backlog, figure::MEMORY_MB, |size| if size < 10_000.0 { 4.0 } else { 40.0 });
    let found = nonlinear.figure_at(Slope::Backlog, figure::MEMORY_MB, 1e6).unwrap();
    assert!(!found.is_conclusive && found.value == 40.0, "{found:?}");
    assert!(found.steps.contains("nothing is extrapolated"));
}

#[test]
fn a_figure_between_two_measured_sizes_is_interpolated() {
    let evidence = evidence_of(Slope::Destinations, figure::MEMORY_MB, |size| size);
    let found = evidence.figure_at(Slope::Destinations, figure::MEMORY_MB, 550.0).unwrap();
    assert!(found.is_conclusive && (found.value - 550.0).abs() < 1e-9, "{found:?}");
    assert_eq!(evidence.figure_at(Slope::Destinations, figure::MEMORY_MB, 1_000.0).unwrap().value, 1_000.0);
    assert_eq!(evidence.figure_at(Slope::Destinations, figure::MEMORY_MB, 1.0).unwrap().value, 10.0);
    assert!(evidence.figure_at(Slope::Backlog, figure::MEMORY_MB, 100.0).is_err());
}

/// Guards against a need that exceeds its limit but is listed as satisfied, or without a way to reduce it.
#[test]
fn every_need_over_its_limit_is_missing_and_names_a_mechanism() {
    let evidence = Evidence::read(&results()).unwrap();
    let all = needs::all(&evidence).unwrap();
    for need in &all {
        let exceeds_limit = need.ratio().is_some_and(|ratio| ratio > 1.0);
        assert_eq!(exceeds_limit, need.status() == needs::Status::Missing, "{need:?}");
        assert!(!exceeds_limit || !need.mechanism.is_empty(), "{need:?}");
    }
    for role in needs::Role::ALL {
        assert!(all.iter().any(|need| need.role == role), "{role:?}");
    }
}

#[test]
fn missing_needs_are_listed_by_descending_ratio() {
    let text = std::fs::read_to_string(page()).unwrap();
    let block = text.split_once("<!-- capacity:missing -->").unwrap().1.split_once("<!-- end -->").unwrap().0;
    let ratio = |line: &str| {
        let cell = line.split('|').nth(1)?.trim().trim_start_matches("at least ").to_owned();
        cell.parse::<f64>().ok()
    };
    let ratios: Vec<f64> = block.lines().filter_map(ratio).collect();
    assert!(!ratios.is_empty() && ratios.is_sorted_by(|left, right| left >= right), "{ratios:?}");
}

fn run_program(arguments: &[&str], folder: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quillhub-experiment"));
    command.current_dir(folder).args(arguments).output().unwrap()
}

/// Asserts that `scale` rejects the file `text` with one line that contains `message` and exit status 2, and creates no
/// output.
fn assert_rejected(text: &str, message: &str) {
    let folder = ScratchDirectory::new();
    std::fs::write(folder.0.join("scale-bad.toml"), text).unwrap();
    let arguments =
        ["scale", "scale-bad.toml", "--out", "out", "--courier", env!("CARGO_BIN_EXE_quillhub-experiment")];
    let output = run_program(&arguments, &folder.0);
    let line = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{line}");
    assert_eq!(line.lines().count(), 1, "{line}");
    assert!(line.contains(message), "{line}");
    assert!(!folder.0.join("out").exists());
}

/// A scale test takes long, so mistakes and excessive sizes must be reported before anything starts.
#[test]
fn an_invalid_scale_test_is_rejected_with_one_line() {
    let text = std::fs::read_to_string(root().join("experiments/scale-destinations.toml")).unwrap();
    assert_rejected(
        &text.replace("320_000", "320_000_000_000"),
        "scale-bad.toml: sizes[5]: expected at most ",
    );
    assert_rejected(&text.replace("plays = 2", "plays = 0"), ": plays: expected at least 2, found 0");
    assert_rejected(&text.replace("[load]", "[lead]"), "scale-bad.toml:");
    assert_rejected("", "scale-bad.toml:1:1: missing field");
    let couriers = std::fs::read_to_string(root().join("experiments/scale-couriers.toml")).unwrap();
    assert_rejected(&couriers.replace("1_300", "13_000"), " descriptors, found a need of ");
}

#[test]
fn the_experiment_file_of_each_slope_is_valid_and_names_its_slope() {
    for slope in Slope::ALL {
        let path = root().join(format!("experiments/scale-{}.toml", slope.name()));
        let plan = quillhub_scale::plan::Plan::read(&path).unwrap();
        assert_eq!(plan.slope, slope);
    }
}

#[test]
fn a_failed_check_of_the_page_exits_with_status_2_and_names_the_line() {
    let folder = ScratchDirectory::new();
    std::fs::write(folder.0.join("page.md"), "it takes 72 us\n").unwrap();
    let results = results();
    let arguments = ["capacity", "--check", "--page", "page.md", "--results", results.to_str().unwrap()];
    let output = run_program(&arguments, &folder.0);
    assert_eq!(output.status.code(), Some(2));
    let line = String::from_utf8(output.stderr).unwrap();
    assert_eq!(line, "page.md:1: expected a source of the number, found 'it takes 72 us'\n");
}
