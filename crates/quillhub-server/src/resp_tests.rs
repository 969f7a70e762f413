use super::*;

const SUBMIT: &[u8] = b"*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$2\r\nab\r\n$3\r\nc=g\r\n$4\r\n\r\n\0x\r\n";

#[test]
fn a_command_is_parsed_once_it_is_complete_and_not_before() {
    for cut in 0..SUBMIT.len() {
        assert_eq!(command(&SUBMIT[..cut], 64), Ok(None), "cut at {cut}");
    }
    let parts: Vec<&[u8]> = vec![b"SUBMIT", b"0", b"ab", b"c=g", b"\r\n\0x"];
    let two = [SUBMIT, SUBMIT].concat();
    assert_eq!(command(&two, 64), Ok(Some((parts, SUBMIT.len()))));
}

#[test]
fn a_malformed_command_is_refused_at_once() {
    for input in [
        "PING\r\n",
        "*x",
        "*-1\r\n",
        "*17\r\n",
        "*1\n",
        "*99999999999999999999999",
        "*1\r\n+OK\r\n",
        "*1\r\n$65\r\n",
        "*1\r\n$-1\r\n",
        "*1\r\n$2\r\nabc",
    ] {
        assert_eq!(command(input.as_bytes(), 64), Err(Malformed), "{input:?}");
    }
}

#[test]
fn list_values_are_found_by_their_full_name() {
    let list = b"c=notice,d=8000,k=a=b,dest=7";
    assert_eq!(list_value(list, "d"), Some(&b"8000"[..]));
    assert_eq!(list_value(list, "k"), Some(&b"a=b"[..]));
    assert_eq!((list_value(list, "es"), list_value(list, "r"), list_value(b"", "c")), (None, None, None));
}

#[test]
fn replies_are_written_as_clients_read_them() {
    assert_eq!(busy(None), b"-BUSY\r\n");
    assert_eq!(busy(Some(Duration::from_micros(1_500_900))), b"-BUSY 1500\r\n");
    assert_eq!(error("no"), b"-ERR no\r\n");
    assert_eq!(bulk(b"a\r\n"), b"$3\r\na\r\n\r\n");
}
