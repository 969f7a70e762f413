use super::admission::{EVICTION_TIMEOUT, Resource};
use super::connection::{COMMAND_TIMEOUT, MAX_CONSECUTIVE_ERRORS, MAX_PART_BYTES};
use super::*;
use crate::test_support::{Folder, instance, on_one_thread};
use quillhub_fakes::clients::command;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{Semaphore, watch};

const PING: &[u8] = b"*1\r\n$4\r\nping\r\n";

fn submit(list: &str, body: usize) -> Vec<u8> {
    let id = format!("ab{}", list.len()); // lists differ in length
    let body = "x".repeat(body);
    command(&["SUBMIT", "0", &id, list, &body].map(str::as_bytes))
}

/// What a connection that is opened in phase `came` is answered until it closes. Once it has been accepted and
/// has got `answer`, the phase is `then`; a client that has to `leave` closes its side before. No endpoint
/// answers.
fn exchange(input: &[u8], leave: bool, came: Phase, answer: &str, then: Phase) -> String {
    let folder = Folder::new();
    on_one_thread(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let (phase, seen) = watch::channel(came);
        let permits = Arc::new(Semaphore::new(2));
        spawn_local(accept(instance(&folder, at), Rc::new(listener), Admission::new(seen, permits.clone())));
        let mut client = TcpStream::connect(at).await.unwrap();
        client.write_all(input).await.unwrap();
        if leave {
            client.shutdown().await.unwrap();
        }
        let mut read = vec![0; answer.len()];
        client.read_exact(&mut read).await.unwrap();
        assert_eq!(std::str::from_utf8(&read), Ok(answer));
        if answer.is_empty() && came != then {
            while permits.available_permits() == 2 {
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
fn commands_are_answered_in_order_until_the_instance_stops() {
    let input = [
        PING,
        &submit("c=free,d=8000,k=5c,dest=9", 9),
        &submit("c=other,d=8000,dest=9", 9),
        b"*1\r\n$1\r\nX\r\n",
        PING,
    ];
    let replies = "+PONG\r\n+OK\r\n-ERR unknown grade\r\n-ERR unknown command\r\n+PONG\r\n";
    assert_eq!(exchange(&input.concat(), false, Phase::Serving, replies, Phase::Stopping), "");
}

#[test]
fn a_malformed_command_is_answered_with_an_error_and_closes_its_connection() {
    let long = submit("c=free,d=8000,dest=9", MAX_PART_BYTES + 1);
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
        let replies = exchange(input, false, Phase::Serving, "", Phase::Serving);
        assert!(replies.starts_with("-ERR ") && replies.ends_with("\r\n"), "{replies:?}");
    }
}

#[test]
fn a_connection_accepted_during_shutdown_is_served_and_an_idle_one_closes() {
    assert_eq!(exchange(PING, false, Phase::Stopping, "+PONG\r\n", Phase::Stopping), "");
    assert_eq!(exchange(b"", false, Phase::Serving, "", Phase::Stopping), "");
    assert_eq!(exchange(b"", false, Phase::Stopping, "", Phase::Closing), "");
}

#[test]
fn a_message_of_a_client_that_has_closed_its_side_is_not_accepted() {
    let input = submit("c=free,d=8000,dest=9", 9);
    assert_eq!(exchange(&input, true, Phase::Serving, "", Phase::Serving), "");
}

#[test]
fn an_idle_connection_is_evicted_for_a_new_one() {
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
fn a_connection_closes_after_too_many_errors_in_a_row() {
    let input = submit("c=free,d=8000,dest=404", 1).repeat(40);
    let replies = exchange(&input, false, Phase::Serving, "", Phase::Serving);
    assert_eq!(replies, "-ERR unknown destination\r\n".repeat(MAX_CONSECUTIVE_ERRORS as usize));
}

#[test]
fn a_connection_that_sends_nothing_is_closed_in_time() {
    assert_eq!(exchange(b"", false, Phase::Serving, "", Phase::Serving), "");
}

#[test]
fn half_a_command_is_answered_with_an_error_in_time() {
    let replies = exchange(&PING[..9], false, Phase::Serving, "", Phase::Serving);
    assert_eq!(replies, "-ERR the rest did not come\r\n");
}

#[test]
fn a_client_that_has_much_to_send_can_read_its_error() {
    let input = [b"*5\r\n$6\r\nSUBMIT\r\n$60000000\r\n".to_vec(), vec![b'x'; 8 << 20]].concat();
    let replies = exchange(&input, false, Phase::Serving, "", Phase::Serving);
    assert_eq!(replies, "-ERR not a command, or too long\r\n");
}

/// A connection of a client that was answered once, and what ends it; `at_once` is done by the client in the very
/// moment in which `end` ends the connection, with no wait between. What the client reads until the server's
/// end, whether it can write `late` after that, and whether a message is accepted from it.
fn close_crossing(end: End, at_once: &[u8], late: &[u8]) -> (String, std::io::Result<()>, bool) {
    let folder = Folder::new();
    on_one_thread(async {
        tokio::time::pause();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let (phase, seen) = watch::channel(Phase::Serving);
        let permits = Arc::new(Semaphore::new(1));
        let admission = Admission::new(seen, permits.clone());
        let instance = instance(&folder, at);
        spawn_local(accept(instance.clone(), Rc::new(listener), admission.clone()));
        let mut client = TcpStream::connect(at).await.unwrap();
        if end != End::NoCommand {
            client.write_all(PING).await.unwrap();
            client.read_exact(&mut [0; 7]).await.unwrap();
        }
        while permits.available_permits() > 0 {
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
            End::Evict => admission.evict_one(Resource::Connection),
            End::NoCommand => tokio::time::advance(COMMAND_TIMEOUT + EVICTION_TIMEOUT).await,
            End::Error => {}
        }
        let mut client = TcpStream::from_std(client).unwrap();
        let mut read = String::new();
        client.read_to_string(&mut read).await.unwrap();
        // Of a connection that was closed in both directions the first half brings a reset, which the second finds.
        let (begin, rest) = late.split_at(late.len() / 2);
        client.write_all(begin).await.unwrap();
        let after = client.write_all(rest).await;
        drop(client);
        while permits.available_permits() == 0 {
            tokio::task::yield_now().await;
        }
        let accepted = !instance.borrow().is_idle();
        (read, after, accepted)
    })
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Stop,
    Evict,
    NoCommand,
    Error,
}

/// Whatever ends a connection: an answer that was written is read, no reset destroys it, and what arrives after the
/// half-close is not executed, as its client hands it in again.
#[test]
fn what_arrives_after_a_half_close_is_discarded_and_not_executed() {
    let late = submit("c=free,d=8000,dest=9", 9);
    for (end, answer) in [
        (End::Stop, ""),
        (End::Evict, ""),
        (End::NoCommand, ""),
        (End::Error, "-ERR not a command, or too long\r\n"),
    ] {
        let (read, after, accepted) = close_crossing(end, b"", &late);
        assert_eq!((&read[..], after.is_ok(), accepted), (answer, true, false), "{end:?}");
    }
}

/// A request whose last byte arrived before the close must be answered.
#[test]
fn a_command_that_is_whole_at_the_moment_of_the_close_is_answered_first() {
    for end in [End::Stop, End::Evict] {
        assert_eq!(close_crossing(end, PING, b"").0, "+PONG\r\n", "{end:?}");
    }
}
