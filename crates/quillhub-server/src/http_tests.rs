use super::*;

const RESPONSE: &[u8] = b"HTTP/1.1 503 \r\nX-Egress-Full:1\r\nTransfer-Encoding: chunked\r\n\r\n";

fn parsed_head(text: &str) -> Head {
    head(text.as_bytes()).unwrap().unwrap().0
}

#[test]
fn a_head_is_parsed_once_it_is_complete_and_not_before() {
    for cut in 0..RESPONSE.len() {
        assert!(head(&RESPONSE[..cut]).unwrap().is_none(), "cut at {cut}");
    }
    let (response, used) = head(&[RESPONSE, b"0\r\n"].concat()).unwrap().unwrap();
    assert_eq!((response.status, response.header("x-egress-FULL"), used), (503, Some("1"), RESPONSE.len()));
}

#[test]
fn a_malformed_head_is_refused_and_so_is_an_endless_one() {
    for text in
        ["HTTP/2 200", "HTTP/1.1 abc", "HTTP/1.1 20 \r\n", "HTTP/1.1 200\n", "HTTP/1.1 200 OK\r\n: x\r\n"]
    {
        assert_eq!(head(text.as_bytes()).err(), Some(Malformed), "{text:?}");
    }
    let endless = [b"HTTP/1.1 200 OK\r\nA: ".to_vec(), vec![b'x'; MAX_HEAD_BYTES]].concat();
    assert_eq!(head(&endless).err(), Some(Malformed));
    let many = format!("HTTP/1.1 200 OK\r\n{}\r\n", "A: b\r\n".repeat(MAX_HEADERS + 1));
    assert_eq!(head(many.as_bytes()).err(), Some(Malformed));
}

#[test]
fn the_head_determines_where_the_body_ends_and_whether_the_connection_persists() {
    let framing = |text| parsed_head(text).framing();
    assert_eq!(framing("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"), Ok(Framing::Length(12)));
    assert_eq!(framing("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n"), Err(Malformed));
    assert_eq!(framing("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n"), Err(Malformed));
    let both = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(framing(both), Err(Malformed));
    assert_eq!(framing("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"), Ok(Framing::Chunked));
    assert_eq!(framing("HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\n"), Ok(Framing::Length(0)));
    assert_eq!(framing("HTTP/1.1 200 OK\r\n\r\n"), Ok(Framing::ToEnd));
    for (text, keeps_alive) in [
        ("HTTP/1.1 200 OK\r\n\r\n", true),
        ("HTTP/1.1 200 OK\r\nConnection: x, Close\r\n\r\n", false),
        ("HTTP/1.0 200 OK\r\n\r\n", false),
        ("HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n", true),
    ] {
        assert_eq!(parsed_head(text).keeps_alive(), keeps_alive, "{text:?}");
    }
}

#[test]
fn chunks_are_parsed_once_complete_and_are_bounded() {
    let input = b"3;x=y\r\nabc\r\n0\r\nT: u\r\n\r\n";
    for cut in 0..12 {
        assert_eq!(chunk(&input[..cut], 9), Ok(None), "cut at {cut}");
    }
    assert_eq!(chunk(input, 9), Ok(Some((&b"abc"[..], 12))));
    assert_eq!(chunk(&input[12..], 9), Ok(Some((&[][..], input.len() - 12))));
    for text in ["a\r\n", "fffffffff\r\n", "\r\n", "1\r\nab"] {
        assert_eq!(chunk(text.as_bytes(), 9), Err(Malformed), "{text:?}");
    }
}

#[test]
fn a_request_carries_its_headers_and_body_unchanged() {
    let written = request("POST", "/events", "h:1", &[("X-Request-Id", b"ab")], b"\0\r\n");
    assert_eq!(
        written,
        b"POST /events HTTP/1.1\r\nHost: h:1\r\nX-Request-Id: ab\r\nContent-Length: 3\r\n\r\n\0\r\n"
    );
    assert_eq!(request("GET", "/", "h", &[], b""), b"GET / HTTP/1.1\r\nHost: h\r\n\r\n");
}

/// Guards against a status that is not recognized since its line is cut off or malformed behind it.
#[test]
fn a_status_is_recognized_as_far_as_it_was_received() {
    let is_410 = |input: &[u8]| may_have_status(input, 410);
    for input in [
        "HTTP/1.1 410 x\r\n",
        "HTTP/1.0 410\n",
        "HTTP/1.1 410",
        "HTTP/1.1  41",
        "HTTP/1.1 4",
        "HTTP/1.1 410x",
    ] {
        assert!(is_410(input.as_bytes()), "{input:?}");
    }
    assert!(has_status(b"HTTP/1.1 410", 410) && has_status(b"HTTP/1.0 410 x\r\n", 410));
    assert!(!has_status(b"HTTP/1.1 41", 410) && !has_status(b"HTTP/1.1 4100", 410));
    let others = [
        "",
        "HTTP/1.1",
        "HTTP/1.1 ",
        "HTTP/1.1 4x",
        "HTTP/1.1 41 x",
        "HTTP/1.1 4100",
        "HTTP/1.1 200 410",
        "HTTP/1.1 429",
        "HTTP/1.1410",
        "HTTP/2 410",
        " HTTP/1.1 410",
    ];
    for input in others {
        assert!(!is_410(input.as_bytes()), "{input:?}");
    }
}
