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
fn points_are_read_back_as_they_were_written() {
    let mut points = vec![point(10, 4.0), point(100, 4.5)];
    points[1].breaks = Some("the list is too long".into());
    let text = written(&points).unwrap();
    assert_eq!(read_text(&text).unwrap(), points);
    assert_eq!(names(&points), ["memory MB"]);
}

#[test]
fn a_figure_that_some_points_lack_has_samples_of_the_others() {
    let mut points = vec![point(10, 4.0), point(100, 4.5)];
    points[1].figures.clear();
    assert_eq!(samples(&points, "memory MB"), [Sample { size: 10.0, value: 4.0 }]);
    assert_eq!(samples(&points, "none such"), []);
}

#[test]
fn a_line_that_is_no_point_is_told_with_its_number() {
    let text = written(&[point(10, 4.0)]).unwrap() + "{\"size\":10}\n";
    let told = read_text(&text).unwrap_err();
    assert!(told.starts_with("2: expected a point as JSON, found missing field"), "{told}");
    let unknown = written(&[point(10, 4.0)]).unwrap().replace("\"size\"", "\"sizes\"");
    assert!(read_text(&unknown).unwrap_err().starts_with("1: expected a point"));
    assert!(read(Path::new("/nowhere")).unwrap_err().starts_with("/nowhere/points.jsonl: "));
}
