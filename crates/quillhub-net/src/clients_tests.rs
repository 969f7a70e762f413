use super::*;
use crate::stand_in::{Folder, host, on_one_thread};

const PING: &[u8] = b"*1\r\n$4\r\nping\r\n";

fn submit(list: &str, body: usize) -> Vec<u8> {
    let parts = ["SUBMIT", "0", "ab", list, &"x".repeat(body)];
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
        let (places, crowded) = (Arc::new(Semaphore::new(2)), Rc::new(Notify::new()));
        let doors = Rc::new(Doors { phase: seen, places: places.clone(), crowded });
        spawn_local(accept(host(&folder, at), Rc::new(listener), doors));
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
    ];
    let told = "+PONG\r\n+OK\r\n-ERR unknown grade\r\n-ERR unknown command\r\n";
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
        let (places, crowded) = (Arc::new(Semaphore::new(1)), Rc::new(Notify::new()));
        spawn_local(accept(
            host(&folder, at),
            Rc::new(listener),
            Rc::new(Doors { phase: seen, places, crowded }),
        ));
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
