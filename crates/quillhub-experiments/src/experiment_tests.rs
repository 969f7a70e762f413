//! Parsing of experiment files: the variants, and error messages with their lines.

use super::*;

const TEXT: &str = r#"format = 1
question = "Why?"
seeds = [1]
deciders = ["module", "single"]
[sweep]
"couriers.count" = [1, 2]
[[points]]
name = "calm"
[[points]]
name = "slow"
set = { "destinations.0.service.mean" = "90 ms" }
[day]
length = "5 s"
[day.couriers]
[[day.grades]]
name = "g"
effect = "retriable"
contract = "1 s"
limit = "5 s"
[[day.destinations]]
kind = "k"
service = { mean = "10 ms" }
[[day.arrivals]]
per_s = 5.0
[[day.faults]]
at = "1 s"
lasts = "1 s"
what = "refuse"
"#;

#[test]
fn every_point_is_combined_with_every_swept_value() {
    let plan = ExperimentPlan::parse("x", TEXT).unwrap_or_else(|e| panic!("{e:?}"));
    let names: Vec<_> = plan.variants.iter().map(|v| v.name.as_str()).collect();
    assert_eq!(names, ["calm count=1", "calm count=2", "slow count=1", "slow count=2"]);
    assert_eq!(plan.variants[3].scenario.destinations[0].service.mean.as_millis(), 90);
}

#[test]
fn a_mistake_is_reported_with_its_line() {
    for (old, new, line, expected) in [
        ("\"refuse\"", "\"refuze\"", 28, "unknown variant `refuze`, expected"),
        ("\"refuse\"", "{ errors = { share = 2.0 } }", 28, "a share from 0 to 1, found 2"),
        ("\"single\"", "\"none\"", 4, "unknown variant `none`"),
        ("couriers.count", "couriers.cuont", 5, "unknown field `cuont`"),
        ("couriers.count", "postmen.count", 5, "found no 'postmen'"),
        ("contract = \"1 s\"", "contract = \"6 s\"", 18, "a contract no longer than the limit"),
        ("limit = \"5 s\"", "limit = 5", 19, "invalid type"),
        ("format = 1", "format = 2", 1, "expected 1, found 2"),
        ("per_s = 5.0", "per_s = 5.0\nto = \"x\"", 25, "a kind of destination, found x"),
        ("length = \"5 s\"", "length = ", 13, ""),
    ] {
        let text = TEXT.replace(old, new);
        let (offset, message) =
            ExperimentPlan::parse("x", &text).err().unwrap_or_else(|| panic!("{new} is accepted"));
        assert!(message.contains(expected), "{message}");
        assert_eq!(position(&text, offset).0, line, "{message}");
    }
}
