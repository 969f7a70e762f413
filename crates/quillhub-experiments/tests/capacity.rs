//! The capacity page and the kept runs: neither may change without the other. And the command line of `scale` and
//! `capacity`, where it is told what is wrong.

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

/// A slope with one figure.
fn slope(slope: Slope, name: &str, value: impl Fn(f64) -> f64) -> Evidence {
    let sizes = [10, 100, 1_000, 10_000];
    Evidence::of(sizes.map(|size| point(slope, size, name, value(size as f64))))
}

#[test]
fn the_page_is_what_the_kept_runs_make_of_it() {
    capacity::check(&page(), &results()).unwrap_or_else(|what| panic!("{what}"));
}

#[test]
fn a_figure_of_the_page_that_no_run_has_is_found() {
    let (folder, text) = (ScratchDirectory::new(), std::fs::read_to_string(page()).unwrap());
    let changed = folder.0.join("CAPACITY.md");
    let (at, row) = text.lines().enumerate().find(|(_, line)| line.starts_with("| memory MB |")).unwrap();
    std::fs::write(&changed, text.replace(row, &row.replacen("memory MB | ", "memory MB | 9", 1))).unwrap();
    let told = capacity::check(&changed, &results()).unwrap_err();
    assert!(told.contains(&format!("CAPACITY.md:{}: expected '| memory MB |", at + 1)), "{told}");
    capacity::write(&changed, &results()).unwrap();
    assert_eq!(std::fs::read_to_string(&changed).unwrap(), text, "writing it anew mends it");
}

#[test]
fn a_run_that_is_gone_is_found() {
    let folder = ScratchDirectory::new();
    let told = capacity::check(&page(), &folder.0).unwrap_err();
    assert!(told.contains("scale-destinations/points.jsonl"), "{told}");
    let empty = Evidence::of([]);
    let told = capacity::written("<!-- capacity:courier -->\n<!-- end -->\n", &empty).unwrap_err();
    assert!(told.starts_with("1: scale-") && told.ends_with("found none"), "{told}");
}

#[test]
fn a_number_outside_the_blocks_names_its_source() {
    let block = "<!-- capacity:machine -->\n| 8 cores |\n<!-- end -->\n";
    assert_eq!(capacity::unsourced(&format!("# 2 regions\n{block}no number\n")), None);
    assert_eq!(capacity::unsourced("a courier takes 423 (operators)\n"), None);
    assert_eq!(capacity::unsourced("a core (estimate: 2 GHz)\n"), None);
    assert_eq!(capacity::unsourced(&format!("{block}it takes 72 us\n")), Some((4, "it takes 72 us")));
}

#[test]
fn a_block_that_is_unknown_or_does_not_end_is_told_with_its_line() {
    let none = Evidence::of([]);
    let told = capacity::written("text\n<!-- capacity:moons -->\n<!-- end -->\n", &none).unwrap_err();
    assert_eq!(told, "2: expected a block of the capacity page, found 'moons'");
    let told = capacity::written("<!-- capacity:missing -->\n", &none);
    assert!(told.is_err());
    let told = capacity::written("<!-- capacity:slope-changes -->\n", &none).unwrap_err();
    assert_eq!(told, "1: expected '<!-- end -->' after block 'slope-changes', found none");
}

#[test]
fn beyond_the_largest_size_only_a_fit_that_holds_is_relied_upon() {
    let evidence = slope(Slope::Backlog, figure::MEMORY_MB, |size| 4.0 + 0.001 * size);
    let found = evidence.at(Slope::Backlog, figure::MEMORY_MB, 1e6).unwrap();
    assert!(found.firm && (found.value / 1_004.0 - 1.0).abs() < 0.01, "{found:?}");
    let bent = slope(Slope::Backlog, figure::MEMORY_MB, |size| if size < 10_000.0 { 4.0 } else { 40.0 });
    let found = bent.at(Slope::Backlog, figure::MEMORY_MB, 1e6).unwrap();
    assert!(!found.firm && found.value == 40.0, "{found:?}");
    assert!(found.steps.contains("nothing is extrapolated"));
}

#[test]
fn between_two_measured_sizes_a_figure_lies_between_theirs() {
    let evidence = slope(Slope::Destinations, figure::MEMORY_MB, |size| size);
    let found = evidence.at(Slope::Destinations, figure::MEMORY_MB, 550.0).unwrap();
    assert!(found.firm && (found.value - 550.0).abs() < 1e-9, "{found:?}");
    assert_eq!(evidence.at(Slope::Destinations, figure::MEMORY_MB, 1_000.0).unwrap().value, 1_000.0);
    assert_eq!(evidence.at(Slope::Destinations, figure::MEMORY_MB, 1.0).unwrap().value, 10.0);
    assert!(evidence.at(Slope::Backlog, figure::MEMORY_MB, 100.0).is_err());
}

#[test]
fn a_need_over_its_limit_is_missing_whatever_carries_it_is_called() {
    let evidence = Evidence::read(&results()).unwrap();
    let all = needs::all(&evidence).unwrap();
    for need in &all {
        let over = need.ratio().is_some_and(|ratio| ratio > 1.0);
        assert_eq!(over, need.status() == needs::Status::Missing, "{need:?}");
        assert!(!over || !need.mechanism.is_empty(), "{need:?}");
    }
    for role in needs::Role::ALL {
        assert!(all.iter().any(|need| need.role == role), "{role:?}");
    }
}

#[test]
fn what_is_missing_is_ordered_by_ratio() {
    let text = std::fs::read_to_string(page()).unwrap();
    let block = text.split_once("<!-- capacity:missing -->").unwrap().1.split_once("<!-- end -->").unwrap().0;
    let ratio = |line: &str| {
        let cell = line.split('|').nth(1)?.trim().trim_start_matches("at least ").to_owned();
        cell.parse::<f64>().ok()
    };
    let ratios: Vec<f64> = block.lines().filter_map(ratio).collect();
    assert!(!ratios.is_empty() && ratios.is_sorted_by(|one, other| one >= other), "{ratios:?}");
}

fn lab(arguments: &[&str], folder: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quillhub-experiment"));
    command.current_dir(folder).args(arguments).output().unwrap()
}

/// A rejected run: one line, status 2, and nothing made.
fn refused(text: &str, told: &str) {
    let folder = ScratchDirectory::new();
    std::fs::write(folder.0.join("scale-bad.toml"), text).unwrap();
    let arguments =
        ["scale", "scale-bad.toml", "--out", "out", "--courier", env!("CARGO_BIN_EXE_quillhub-experiment")];
    let ended = lab(&arguments, &folder.0);
    let line = String::from_utf8(ended.stderr).unwrap();
    assert_eq!(ended.status.code(), Some(2), "{line}");
    assert_eq!(line.lines().count(), 1, "{line}");
    assert!(line.contains(told), "{line}");
    assert!(!folder.0.join("out").exists());
}

#[test]
fn a_scale_run_that_cannot_be_played_is_refused_in_one_line() {
    let text = std::fs::read_to_string(root().join("experiments/scale-destinations.toml")).unwrap();
    refused(&text.replace("320_000", "320_000_000_000"), "scale-bad.toml: sizes[5]: expected at most ");
    refused(&text.replace("plays = 2", "plays = 0"), ": plays: expected at least 2, found 0");
    refused(&text.replace("[load]", "[lead]"), "scale-bad.toml:");
    refused("", "scale-bad.toml:1:1: missing field");
    let couriers = std::fs::read_to_string(root().join("experiments/scale-couriers.toml")).unwrap();
    refused(&couriers.replace("1_300", "13_000"), " descriptors, found a need of ");
}

#[test]
fn the_experiments_of_the_four_slopes_can_be_read_and_name_their_slope() {
    for slope in Slope::ALL {
        let path = root().join(format!("experiments/scale-{}.toml", slope.name()));
        let plan = quillhub_scale::plan::Plan::read(&path).unwrap();
        assert_eq!(plan.slope, slope);
    }
}

#[test]
fn a_page_that_differs_ends_with_status_2_and_its_line() {
    let folder = ScratchDirectory::new();
    std::fs::write(folder.0.join("page.md"), "it takes 72 us\n").unwrap();
    let results = results();
    let arguments = ["capacity", "--check", "--page", "page.md", "--results", results.to_str().unwrap()];
    let ended = lab(&arguments, &folder.0);
    assert_eq!(ended.status.code(), Some(2));
    let line = String::from_utf8(ended.stderr).unwrap();
    assert_eq!(line, "page.md:1: expected a source of the number, found 'it takes 72 us'\n");
}
