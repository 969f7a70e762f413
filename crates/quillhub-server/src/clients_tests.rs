use super::*;
use crate::test_support::{Folder, instance, on_one_thread};
use quillhub_fakes::clients::command;
use tokio::io::AsyncReadExt;

const PING: &[u8] = b"*1\r\n$4\r\nping\r\n";

fn submit(list: &str, body: usize) -> Vec<u8> {
    let id = format!("ab{}", list.len()); // lists differ in length
    let body = "x".repeat(body);
    command(&["SUBMIT", "0", &id, list, &body].map(str::as_bytes))
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
        spawn_local(accept(instance(&folder, at), Rc::new(listener), Admission::new(seen, places.clone())));
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
        let admission = Admission::new(seen, Arc::new(Semaphore::new(1)));
        spawn_local(accept(instance(&folder, at), Rc::new(listener), admission));
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
    let admission = Admission::new(watch::channel(Phase::Serving).1, Arc::new(Semaphore::new(9)));
    let now = Instant::now();
    for (seconds, proven, begun, large) in [
        (9, true, false, false),
        (3, true, false, false),
        (8, true, true, true),
        (2, false, true, true),
        (1, false, false, false),
        (0, false, false, false),
    ] {
        let number = admission.admit().0;
        let since = now - Duration::from_secs(seconds);
        admission.note(number, |connection| {
            (connection.since, connection.proven, connection.begun, connection.large) =
                (since, proven, begun, large);
        });
    }
    let mut gone = Vec::new();
    for large in [true, true, true, false, false, false, false] {
        let before: Vec<_> = admission.connections.borrow().keys().copied().collect();
        admission.evict_one(large);
        gone.extend(before.into_iter().find(|number| !admission.connections.borrow().contains_key(number)));
    }
    assert_eq!(gone, [3, 2, 4, 0, 1, 5]);
}

/// A connection of a client that was answered once, and what ends it; `at_once` is done by the client in the very
/// moment in which `end` tells the connection to end, with no wait between. What the client reads until the courier's
/// end, whether it can write `late` after that, and whether a notice is taken on from it.
fn crossing(end: End, at_once: &[u8], late: &[u8]) -> (String, std::io::Result<()>, bool) {
    let folder = Folder::new();
    on_one_thread(async {
        tokio::time::pause();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let (phase, seen) = watch::channel(Phase::Serving);
        let places = Arc::new(Semaphore::new(1));
        let admission = Admission::new(seen, places.clone());
        let host = instance(&folder, at);
        spawn_local(accept(host.clone(), Rc::new(listener), admission.clone()));
        let mut client = TcpStream::connect(at).await.unwrap();
        if end != End::NeverAsked {
            client.write_all(PING).await.unwrap();
            client.read_exact(&mut [0; 7]).await.unwrap();
        }
        while places.available_permits() > 0 {
            tokio::task::yield_now().await;
        }
        for _ in 0..10 {
            tokio::task::yield_now().await; // until the connection's task waits
        }
        // From here on nothing waits, so that the connection's task finds both at once.
        let mut client = client.into_std().unwrap();
        std::io::Write::write_all(&mut client, if end == End::Error { b"noise\r\n" } else { at_once })
            .unwrap();
        match end {
            End::Stop => drop(phase.send_replace(Phase::Stopping)),
            End::Evict => admission.evict_one(false),
            End::NeverAsked => tokio::time::advance(COMMAND + EVICTION).await,
            End::Error => {}
        }
        let mut client = TcpStream::from_std(client).unwrap();
        let mut read = String::new();
        client.read_to_string(&mut read).await.unwrap();
        // Of a connection that was closed whole the first half brings a reset, which the second finds.
        let (begin, rest) = late.split_at(late.len() / 2);
        client.write_all(begin).await.unwrap();
        let after = client.write_all(rest).await;
        drop(client);
        while places.available_permits() == 0 {
            tokio::task::yield_now().await;
        }
        let taken = !host.borrow().is_idle();
        (read, after, taken)
    })
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Stop,
    Evict,
    NeverAsked,
    Error,
}

/// Whatever ends a connection: an answer that was written is read, no reset destroys it, and what comes after the
/// half-close is not obeyed, as its client hands it in again.
#[test]
fn what_comes_after_a_half_close_is_read_away_and_not_obeyed() {
    let late = submit("c=free,d=8000,dest=9", 9);
    for (end, told) in [
        (End::Stop, ""),
        (End::Evict, ""),
        (End::NeverAsked, ""),
        (End::Error, "-ERR not a command, or too long\r\n"),
    ] {
        let (read, after, taken) = crossing(end, b"", &late);
        assert_eq!((&read[..], after.is_ok(), taken), (told, true, false), "{end:?}");
    }
}

/// A request whose last byte came before the close is owed an answer.
#[test]
fn a_command_that_is_whole_in_the_moment_of_the_close_is_answered_first() {
    for end in [End::Stop, End::Evict] {
        assert_eq!(crossing(end, PING, b"").0, "+PONG\r\n", "{end:?}");
    }
}

#[test]
fn a_connection_that_only_its_client_has_to_close_goes_before_all_others() {
    let admission = Admission::new(watch::channel(Phase::Serving).1, Arc::new(Semaphore::new(9)));
    let numbers = [admission.admit().0, admission.admit().0];
    admission.note(numbers[0], |connection| {
        (connection.since, connection.proven) = (connection.since - COMMAND, true)
    });
    admission.note(numbers[1], |connection| (connection.half_closed, connection.proven) = (true, true));
    admission.evict_one(false);
    assert_eq!(admission.connections.borrow().keys().copied().collect::<Vec<_>>(), numbers[..1]);
}
