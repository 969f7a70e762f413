use super::*;

/// A stream's values are looked for at their boundaries only, wherever they are cut.
#[test]
fn each_byte_of_a_list_over_many_lines_is_read_once() {
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
        assert_eq!(boundaries.within(begin), cut >= 1, "the first line is empty: {cut}");
        assert!(boundaries.within(end) && !boundaries.within(b" "), "{cut}");
    }
    let mut boundaries = ValueBoundaries::default();
    let found = text.trim_start().bytes().filter(|octet| boundaries.within(&[*octet])).count();
    assert_eq!((found, boundaries.within(b"noise"), boundaries.within(b"\n")), (1, false, true));
}
