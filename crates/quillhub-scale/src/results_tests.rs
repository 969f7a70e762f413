use super::*;

fn point(size: u64, value: f64) -> Point {
    Point {
        experiment: "scale-destinations".into(),
        slope: Slope::Destinations,
        size,
        play: 1,
        breaks: None,
        figures: [("memory MB".to_owned(), value)].into(),
        load_average: [0.5, 1.5],
        machine: Machine { cores: 8, memory_mb: 1_024, kernel: "6.1".into() },
    }
}

#[test]
fn points_written_as_text_are_parsed_as_the_same_points() {
    let mut points = vec![point(10, 4.0), point(100, 4.5)];
    points[1].breaks = Some("the list is too long".into());
    let text = to_text(&points).unwrap();
    assert_eq!(parse(&text).unwrap(), points);
    assert_eq!(figure_names(&points), ["memory MB"]);
}

#[test]
fn a_figure_has_samples_only_of_points_that_have_it() {
    let mut points = vec![point(10, 4.0), point(100, 4.5)];
    points[1].figures.clear();
    assert_eq!(samples(&points, "memory MB"), [Sample { size: 10.0, value: 4.0 }]);
    assert_eq!(samples(&points, "none such"), []);
}

#[test]
fn the_error_of_a_malformed_line_starts_with_its_number() {
    let text = to_text(&[point(10, 4.0)]).unwrap() + "{\"size\":10}\n";
    let error = parse(&text).unwrap_err();
    assert!(error.starts_with("2: expected a point as JSON, found missing field"), "{error}");
    let unknown_field = to_text(&[point(10, 4.0)]).unwrap().replace("\"size\"", "\"sizes\"");
    assert!(parse(&unknown_field).unwrap_err().starts_with("1: expected a point"));
    assert!(read(Path::new("/nowhere")).unwrap_err().starts_with("/nowhere/points.jsonl: "));
}
