use super::*;

const TEXT: &str = r#"
format = 1
question = "How does it grow?"
slope = "destinations"
sizes = [10, 40, 160, 640]
plays = 2
seed = 1
most_per_point = "20 s"

[base]
destinations = 20
backlog = 0
couriers = 0
changes = 0

[load]
per_s = 423.0
connections = 16
body = 200
idle = "3 s"
loaded = "3 s"
"#;

fn parse_error(old: &str, new: &str) -> String {
    assert!(TEXT.contains(old), "{old}");
    Plan::parse(&TEXT.replace(old, new)).unwrap_err()
}

#[test]
fn the_values_of_the_varied_size_replace_the_fixed_one() {
    let plan = Plan::parse(TEXT).unwrap();
    let points: Vec<_> =
        plan.points().map(|(size, sizes)| (size, sizes.destinations, sizes.lightweight_instances)).collect();
    assert_eq!(points, [(10, 10, 0), (40, 40, 0), (160, 160, 0), (640, 640, 0)]);
}

#[test]
fn an_error_names_line_column_key_expected_and_found_value() {
    for (old, new, message) in [
        ("format = 1", "format = 2", "2:1: format: expected 1, found 2"),
        ("[10, 40, 160, 640]", "[10, 40, 160]", "5:1: sizes: expected at least 4 sizes, found 3"),
        (
            "[10, 40, 160, 640]",
            "[10, 40, 50, 640]",
            "5:1: sizes[2]: expected at least 60, 1.5 times the one before, found 50",
        ),
        ("plays = 2", "plays = 1", "6:1: plays: expected at least 2, found 1"),
        ("plays = 2", "plays = 900", "6:1: plays: expected at most 200 points in all, found 3600"),
        ("\"20 s\"", "\"20 h\"", "8:1: most_per_point: expected over 0 s, at most 600 s, found 72000 s"),
        ("per_s = 423.0", "per_s = -1.0", "17:1: load.per_s: expected a number over 0, found -1"),
        ("destinations = 20", "destinations = 1", "11:1: base.destinations: expected at least 2, found 1"),
        ("body = 200", "body = 99999999", "19:1: load.body: expected at most 65536 bytes, found 99999999"),
        ("How does it grow?", " ", "3:1: question: expected a text, found none"),
    ] {
        assert_eq!(parse_error(old, new), message);
    }
}

#[test]
fn the_error_of_a_malformed_experiment_starts_with_its_place() {
    assert!(parse_error("slope = \"destinations\"", "slope = \"zones\"").starts_with("4:9: unknown variant"));
    assert!(parse_error("seed = 1", "seeds = 1").starts_with("7:1: unknown field"));
    assert!(parse_error("plays = 2", "plays = 2.5").starts_with("6:9: "));
    assert!(Plan::parse("").unwrap_err().contains("missing field"));
    assert!(Plan::read(Path::new("/nowhere/scale.toml")).unwrap_err().starts_with("/nowhere/scale.toml: "));
}
