use super::*;

/// A list over many lines that is parsed from its start at each line takes time quadratic in its length.
#[test]
fn values_are_only_found_at_their_ends_wherever_the_stream_is_cut() {
    let text = r#"
{ "revision": 9, "a": "}\n\"{[",
  "members": [
    {"id": "f\\"},
    {}
  ]
}"#;
    for cut in 1..text.len() {
        let (begin, end) = text.as_bytes().split_at(cut);
        let mut boundaries = ValueBoundaries::default();
        assert_eq!(boundaries.scan(begin), cut >= 1, "the first line is empty: {cut}");
        assert!(boundaries.scan(end) && !boundaries.scan(b" "), "{cut}");
    }
    let mut boundaries = ValueBoundaries::default();
    let found = text.trim_start().bytes().filter(|byte| boundaries.scan(&[*byte])).count();
    assert_eq!((found, boundaries.scan(b"noise"), boundaries.scan(b"\n")), (1, false, true));
}
