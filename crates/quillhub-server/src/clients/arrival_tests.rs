use super::*;
use crate::clients::socket;
use crate::event_loop;
use crate::stream_io::stamp_input;
use crate::test_support::{on_one_thread, until_input_is_stamped};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const HOLD_UP: Duration = Duration::from_millis(120);

/// Connects a client, and returns its stream and the server's. The kernel stamps its input if `is_stamped` is set.
async fn connect(is_stamped: bool) -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    if is_stamped {
        stamp_input(&listener).unwrap();
    }
    let client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (client, listener.accept().await.unwrap().0)
}

/// Guards against a command whose time counts from its execution: it waited in the socket while the process was held up,
/// also on a connection that was not accepted yet.
#[test]
fn input_counts_from_its_arrival_however_late_it_is_read() {
    on_one_thread(async {
        until_input_is_stamped().await;
        let (mut client, server) = connect(true).await;
        let empty_since = EmptySince::new(EventLoopClock::new(), Instant::now());
        for _ in 0..2 {
            let before = Instant::now();
            client.write_all(b"x").await.unwrap();
            let after = Instant::now();
            std::thread::sleep(HOLD_UP);
            let arrival = socket::read(&server, &empty_since, |_| ()).await.unwrap().arrival;
            let earliest = before - HOLD_UP / 4; // the thread may be suspended while the two clocks are read
            assert!((earliest..=after).contains(&arrival.of_byte(true)), "{before:?} {after:?} {arrival:?}");
            assert!(arrival.read >= after + HOLD_UP);
        }
    });
}

/// Guards against a stamp that a step of the wall clock has made useless: messages would be refused, or live too long.
#[test]
fn a_stamp_outside_of_what_is_known_is_not_believed() {
    let moment = Instant::now();
    for offset_s in [-3_600_i64, -5, 5, 3_600] {
        let empty_since = EmptySince::new(EventLoopClock::new(), moment);
        let offset = Duration::from_secs(offset_s.unsigned_abs());
        let now = SystemTime::now();
        let stamp = if offset_s < 0 { now - offset } else { now + offset };
        assert_eq!(empty_since.input_read(Some(stamp)).of_byte(true), moment, "{offset_s}");
    }
    let empty_since = EmptySince::new(EventLoopClock::new(), moment);
    assert_eq!(empty_since.input_read(None).of_byte(true), moment);
}

/// Guards against pipelined commands that count from the arrival of the last one: one read may contain several.
#[test]
fn all_but_the_last_byte_of_a_read_count_from_the_last_moment_without_input() {
    let moment = Instant::now();
    let empty_since = EmptySince::new(EventLoopClock::new(), moment);
    std::thread::sleep(HOLD_UP);
    let arrival = empty_since.input_read(Some(SystemTime::now()));
    assert_eq!(arrival.of_byte(false), moment);
    assert!(arrival.of_byte(true) >= moment + HOLD_UP);
    let next = empty_since.input_read(None);
    assert_eq!(next.of_byte(true), arrival.of_byte(true), "bytes arrive in order");
}

/// Guards against commands without a stamp that are charged for the whole time for which their connection was idle.
#[test]
fn a_wait_for_input_bounds_its_arrival_without_a_stamp() {
    on_one_thread(async {
        let (mut client, server) = connect(false).await;
        let clock = EventLoopClock::new();
        tokio::task::spawn_local(event_loop::watch(clock.clone()));
        let empty_since = EmptySince::new(clock, Instant::now());
        let written = tokio::task::spawn_local(async move {
            tokio::time::sleep(3 * HOLD_UP).await;
            client.write_all(b"x").await.unwrap();
            (client, Instant::now())
        });
        let arrival = socket::read(&server, &empty_since, |_| ()).await.unwrap().arrival.of_byte(true);
        let (_client, written) = written.await.unwrap();
        assert!(arrival <= written && arrival + HOLD_UP > written, "{:?} before", written - arrival);
    });
}

/// Guards against a log that names the wrong place at which a command waited.
#[test]
fn the_waits_of_a_command_add_up_to_the_time_since_its_arrival() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let times = ConnectionTimes { listener_empty: start, accepted: at(10), permitted: at(30) };
    let ms = Duration::from_millis;
    let waits = times.waits(start, at(60), at(100));
    let expected =
        Waits { in_listener: ms(10), for_permit: ms(20), in_socket: ms(30), behind_commands: ms(40) };
    assert_eq!(waits, expected);
    let waits = times.waits(at(50), at(60), at(60));
    assert_eq!(waits, Waits { in_socket: ms(10), ..Waits::default() });
}
