use super::*;
use crate::stand_in::{Folder, host, on_one_thread};
use tokio::io::AsyncReadExt;

const PING: &[u8] = b"*1\r\n$4\r\nping\r\n";

fn submit(list: &str, body: usize) -> Vec<u8> {
    let id = format!("ab{}", list.len()); // lists differ in length
    let parts = ["SUBMIT", "0", &id, list, &"x".repeat(body)];
    let part = |part: &str| format!("${}\r\n{part}\r\n", part.len());
    format!("*5\r\n{}", parts.map(part).concat()).into_bytes()
}

/// What a connection that came in phase `came` is answered until it closes. Once it has been accepted and
/// has got `answer`, the phase is `then`; a client that has to `leave` closes its side before. No endpoint
/// answers.
fn rest(input: &[u8], leave: bool, came: Phase, answer: &str, then: Phase) -> String {
    let folder = Folder::new();
    on_one_thread(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let (phase, seen) = watch::channel(came);
        let places = Arc::new(Semaphore::new(2));
        spawn_local(accept(host(&folder, at), Rc::new(listener), Doors::new(seen, places.clone())));
        let mut client = TcpStream::connect(at).await.unwrap();
        client.write_all(input).await.unwrap();
        if leave {
            client.shutdown().await.unwrap();
        }
        let mut read = vec![0; answer.len()];
        client.read_exact(&mut read).await.unwrap();
        assert_eq!(std::str::from_utf8(&read), Ok(answer));
        if answer.is_empty() && came != then {
            while places.available_permits() == 2 {
                tokio::task::yield_now().await;
            }
            for _ in 0..10 {
                tokio::task::yield_now().await; // until the connection's task waits
            }
        }
        phase.send_replace(then);
        read.clear();
        let _ = client.read_to_end(&mut read).await;
        String::from_utf8(read).unwrap()
    })
}

#[test]
fn commands_are_answered_in_turn_until_the_courier_stops() {
    let input = [
        PING,
        &submit("c=free,d=8000,k=5c,dest=9", 9),
        &submit("c=other,d=8000,dest=9", 9),
        b"*1\r\n$1\r\nX\r\n",
        PING,
    ];
    let told = "+PONG\r\n+OK\r\n-ERR unknown grade\r\n-ERR unknown command\r\n+PONG\r\n";
    assert_eq!(rest(&input.concat(), false, Phase::Serving, told, Phase::Stopping), "");
}

#[test]
fn what_cannot_be_a_command_is_answered_and_closes_its_connection() {
    let long = submit("c=free,d=8000,dest=9", MOST_PART + 1);
    for input in [
        &b"PING\r\n"[..],
        b"*1\r\n$99999\r\n",
        &long,
        &submit("c=free,d=x,dest=9", 1),
        &submit("c=free,d=5", 1),
        &submit("c=free,dest=9", 1),
        &submit("d=5,dest=9", 1),
        &submit("c=free,d=5,dest=9,k=a b", 1),
        b"*2\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n",
    ] {
        let told = rest(input, false, Phase::Serving, "", Phase::Serving);
        assert!(told.starts_with("-ERR ") && told.ends_with("\r\n"), "{told:?}");
    }
}

#[test]
fn a_connection_that_comes_late_is_served_and_an_idle_one_closes() {
    assert_eq!(rest(PING, false, Phase::Stopping, "+PONG\r\n", Phase::Stopping), "");
    assert_eq!(rest(b"", false, Phase::Serving, "", Phase::Stopping), "");
    assert_eq!(rest(b"", false, Phase::Stopping, "", Phase::Closing), "");
}

#[test]
fn a_client_that_has_closed_its_side_is_not_taken_on() {
    let input = submit("c=free,d=8000,dest=9", 9);
    assert_eq!(rest(&input, true, Phase::Serving, "", Phase::Serving), "");
}

#[test]
fn an_idle_connection_makes_room_for_a_new_one() {
    let folder = Folder::new();
    on_one_thread(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let (_phase, seen) = watch::channel(Phase::Serving);
        let doors = Doors::new(seen, Arc::new(Semaphore::new(1)));
        spawn_local(accept(host(&folder, at), Rc::new(listener), doors));
        let mut answer = [0; 7];
        let mut first = TcpStream::connect(at).await.unwrap();
        first.write_all(PING).await.unwrap();
        first.read_exact(&mut answer).await.unwrap();
        let mut second = TcpStream::connect(at).await.unwrap();
        second.write_all(PING).await.unwrap();
        second.read_exact(&mut answer).await.unwrap();
        assert_eq!(first.read(&mut answer).await.unwrap(), 0, "the first is closed");
    });
}

#[test]
fn a_client_that_is_turned_away_again_and_again_is_dismissed() {
    let input = submit("c=free,d=8000,dest=404", 1).repeat(40);
    let told = rest(&input, false, Phase::Serving, "", Phase::Serving);
    assert_eq!(told, "-ERR unknown destination\r\n".repeat(MOST_ERRORS as usize));
}

#[test]
fn a_connection_that_says_nothing_is_closed_in_time() {
    assert_eq!(rest(b"", false, Phase::Serving, "", Phase::Serving), "");
}

#[test]
fn half_a_command_is_answered_with_an_error_in_time() {
    let told = rest(&PING[..9], false, Phase::Serving, "", Phase::Serving);
    assert_eq!(told, "-ERR the rest did not come\r\n");
}

#[test]
fn a_client_that_has_much_to_send_gets_to_read_its_error() {
    let input = [b"*5\r\n$6\r\nSUBMIT\r\n$60000000\r\n".to_vec(), vec![b'x'; 8 << 20]].concat();
    let told = rest(&input, false, Phase::Serving, "", Phase::Serving);
    assert_eq!(told, "-ERR not a command, or too long\r\n");
}

#[test]
fn of_crowded_connections_the_oldest_that_never_asked_goes_first_and_then_the_one_longest_idle() {
    let doors = Doors::new(watch::channel(Phase::Serving).1, Arc::new(Semaphore::new(9)));
    let now = Instant::now();
    for (seconds, proven, begun, large) in [
        (9, true, false, false),
        (3, true, false, false),
        (8, true, true, true),
        (2, false, true, true),
        (1, false, false, false),
        (0, false, false, false),
    ] {
        let number = doors.seat().0;
        let since = now - Duration::from_secs(seconds);
        doors.note(number, |seat| {
            (seat.since, seat.proven, seat.begun, seat.large) = (since, proven, begun, large);
        });
    }
    let mut gone = Vec::new();
    for large in [true, true, true, false, false, false, false] {
        let before: Vec<_> = doors.seats.borrow().keys().copied().collect();
        doors.make_room(large);
        gone.extend(before.into_iter().find(|number| !doors.seats.borrow().contains_key(number)));
    }
    assert_eq!(gone, [3, 2, 4, 0, 1, 5]);
}
