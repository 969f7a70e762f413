use super::admission::{EVICTION_TIMEOUT, Resource};
use super::connection::{COMMAND_TIMEOUT, MAX_CONSECUTIVE_ERRORS, MAX_PART_BYTES};
use super::*;
use crate::event_loop::EventLoopClock;
use crate::test_support::{StateDirectory, instance, on_one_thread, scripted_server, until_input_is_stamped};
use quillhub_fakes::clients::command;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{Semaphore, watch};

/// Number of connections that may wait for a permit.
const MAX_WAITING: usize = 4;
const PING: &[u8] = b"*1\r\n$4\r\nping\r\n";

/// Returns a `SUBMIT` command with a body of `body_bytes`.
fn submit(list: &str, body_bytes: usize) -> Vec<u8> {
    let id = format!("ab{}", list.len()); // lists differ in length
    let body = "x".repeat(body_bytes);
    command(&["SUBMIT", "0", &id, list, &body].map(str::as_bytes))
}

/// Opens a connection in `initial_phase`, sends `input`, and reads `replies`; the phase then changes to `next_phase`.
/// With `close_side`, the client closes its side after `input`. Returns what the client reads from then on until the
/// server closes. No endpoint answers.
fn exchange(
    input: &[u8],
    close_side: bool,
    initial_phase: Phase,
    replies: &str,
    next_phase: Phase,
) -> String {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (phase, phase_receiver) = watch::channel(initial_phase);
        let permits = Arc::new(Semaphore::new(2));
        spawn_local(accept(
            instance(&directory, address),
            Rc::new(listener),
            Admission::new(phase_receiver, permits.clone(), MAX_WAITING, EventLoopClock::new()),
        ));
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(input).await.unwrap();
        if close_side {
            client.shutdown().await.unwrap();
        }
        let mut read = vec![0; replies.len()];
        client.read_exact(&mut read).await.unwrap();
        assert_eq!(std::str::from_utf8(&read), Ok(replies));
        if replies.is_empty() && initial_phase != next_phase {
            while permits.available_permits() == 2 {
                tokio::task::yield_now().await;
            }
            for _ in 0..10 {
                tokio::task::yield_now().await; // until the task of the connection waits for input
            }
        }
        phase.send_replace(next_phase);
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
    let too_long = submit("c=free,d=8000,dest=9", MAX_PART_BYTES + 1);
    for input in [
        &b"PING\r\n"[..],
        b"*1\r\n$99999\r\n",
        &too_long,
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

/// A client that closed its side submits the message elsewhere; a message that is accepted here too is delivered twice.
#[test]
fn a_message_of_a_client_that_has_closed_its_side_is_not_accepted() {
    let input = submit("c=free,d=8000,dest=9", 9);
    assert_eq!(exchange(&input, true, Phase::Serving, "", Phase::Serving), "");
}

/// Guards against messages that are accepted after their client has left, since its end was looked for only behind all unread
/// input, and a reset not at all.
#[test]
fn no_further_command_of_a_client_that_has_left_is_executed() {
    for is_reset in [false, true] {
        let directory = StateDirectory::new();
        on_one_thread(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let (_phase, phase_receiver) = watch::channel(Phase::Serving);
            let permits = Arc::new(Semaphore::new(1));
            let instance = instance(&directory, address);
            let mut client = TcpStream::connect(address).await.unwrap();
            let commands: Vec<u8> = (0..200)
                .flat_map(|number| {
                    let id = format!("left{number}");
                    command(&["SUBMIT", "0", &id, "c=free,d=8000,dest=9", "x"].map(str::as_bytes))
                })
                .collect();
            client.write_all(&commands).await.unwrap();
            if is_reset {
                socket2::SockRef::from(&client).set_linger(Some(std::time::Duration::ZERO)).unwrap();
            }
            drop(client);
            // The end of the client has arrived before the first command is read.
            let admission =
                Admission::new(phase_receiver, permits.clone(), MAX_WAITING, EventLoopClock::new());
            spawn_local(accept(instance.clone(), Rc::new(listener), admission));
            while permits.available_permits() == 1 {
                tokio::task::yield_now().await;
            }
            while permits.available_permits() == 0 {
                tokio::task::yield_now().await;
            }
            assert!(instance.borrow().is_idle(), "reset: {is_reset}");
        });
    }
}

/// Without eviction, idle connections that use up all permits would prevent new clients from being served.
#[test]
fn an_idle_connection_is_evicted_for_a_new_one() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (_phase, phase_receiver) = watch::channel(Phase::Serving);
        let admission =
            Admission::new(phase_receiver, Arc::new(Semaphore::new(1)), MAX_WAITING, EventLoopClock::new());
        spawn_local(accept(instance(&directory, address), Rc::new(listener), admission));
        let mut reply = [0; 7];
        let mut first = TcpStream::connect(address).await.unwrap();
        first.write_all(PING).await.unwrap();
        first.read_exact(&mut reply).await.unwrap();
        let mut second = TcpStream::connect(address).await.unwrap();
        second.write_all(PING).await.unwrap();
        second.read_exact(&mut reply).await.unwrap();
        assert_eq!(first.read(&mut reply).await.unwrap(), 0, "the first connection is closed");
    });
}

/// Without the limit, a client that sends only invalid messages uses processing time without limit.
#[test]
fn a_connection_closes_after_too_many_errors_in_a_row() {
    let input = submit("c=free,d=8000,dest=404", 1).repeat(40);
    let replies = exchange(&input, false, Phase::Serving, "", Phase::Serving);
    assert_eq!(replies, "-ERR unknown destination\r\n".repeat(MAX_CONSECUTIVE_ERRORS as usize));
}

/// A connection that never sends a command would otherwise keep its permit.
#[test]
fn a_connection_that_sends_nothing_is_closed_in_time() {
    assert_eq!(exchange(b"", false, Phase::Serving, "", Phase::Serving), "");
}

/// A client that stops within a command would otherwise keep its connection, and the memory for the command.
#[test]
fn half_a_command_is_answered_with_an_error_in_time() {
    let replies = exchange(&PING[..9], false, Phase::Serving, "", Phase::Serving);
    assert_eq!(replies, "-ERR the rest did not come\r\n");
}

/// A close with unread input resets the connection, and the reset may destroy an error that the client has not read.
#[test]
fn a_client_that_is_still_sending_can_read_its_error() {
    let input = [b"*5\r\n$6\r\nSUBMIT\r\n$60000000\r\n".to_vec(), vec![b'x'; 8 << 20]].concat();
    let replies = exchange(&input, false, Phase::Serving, "", Phase::Serving);
    assert_eq!(replies, "-ERR not a command, or too long\r\n");
}

/// Ends a connection by `cause` while its client writes `input`, with no await in between. Before that, the client has
/// got the reply to a command, except with [`CloseCause::NoCommand`].
///
/// Returns what the client reads until the server closes its side, the result of writing `late_input` after that, and
/// whether a message was accepted.
fn close_while_client_writes(
    cause: CloseCause,
    input: &[u8],
    late_input: &[u8],
) -> (String, std::io::Result<()>, bool) {
    let directory = StateDirectory::new();
    on_one_thread(async {
        tokio::time::pause();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (phase, phase_receiver) = watch::channel(Phase::Serving);
        let permits = Arc::new(Semaphore::new(1));
        let admission = Admission::new(phase_receiver, permits.clone(), MAX_WAITING, EventLoopClock::new());
        let instance = instance(&directory, address);
        spawn_local(accept(instance.clone(), Rc::new(listener), admission.clone()));
        let mut client = TcpStream::connect(address).await.unwrap();
        if cause != CloseCause::NoCommand {
            client.write_all(PING).await.unwrap();
            client.read_exact(&mut [0; 7]).await.unwrap();
        }
        while permits.available_permits() > 0 {
            tokio::task::yield_now().await;
        }
        for _ in 0..10 {
            tokio::task::yield_now().await; // until the task of the connection waits for input
        }
        // No await from here on, so that the task of the connection sees the input and the reason for the close
        // together.
        let mut client = client.into_std().unwrap();
        std::io::Write::write_all(&mut client, if cause == CloseCause::Error { b"noise\r\n" } else { input })
            .unwrap();
        match cause {
            CloseCause::Stop => drop(phase.send_replace(Phase::Stopping)),
            CloseCause::Evict => admission.evict_one(Resource::Connection),
            CloseCause::NoCommand => tokio::time::advance(COMMAND_TIMEOUT + EVICTION_TIMEOUT).await,
            CloseCause::Error => {}
        }
        let mut client = TcpStream::from_std(client).unwrap();
        let mut read = String::new();
        client.read_to_string(&mut read).await.unwrap();
        // If the server had closed both directions, the first write would cause a reset, and the second one fail.
        let (first_half, second_half) = late_input.split_at(late_input.len() / 2);
        client.write_all(first_half).await.unwrap();
        let late_write = client.write_all(second_half).await;
        drop(client);
        while permits.available_permits() == 0 {
            tokio::task::yield_now().await;
        }
        let accepted = !instance.borrow().is_idle();
        (read, late_write, accepted)
    })
}

/// Cause for which the server closes the connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CloseCause {
    Stop,
    Evict,
    NoCommand,
    Error,
}

/// A close with unread input resets the connection, which may destroy a reply that the client has not read; and a
/// command that is executed after the half-close would run twice, since its client submits the message again.
#[test]
fn input_after_a_half_close_is_discarded_without_a_reset_and_not_executed() {
    let late = submit("c=free,d=8000,dest=9", 9);
    for (cause, reply) in [
        (CloseCause::Stop, ""),
        (CloseCause::Evict, ""),
        (CloseCause::NoCommand, ""),
        (CloseCause::Error, "-ERR not a command, or too long\r\n"),
    ] {
        let (read, late_write, accepted) = close_while_client_writes(cause, b"", &late);
        assert_eq!((&read[..], late_write.is_ok(), accepted), (reply, true, false), "{cause:?}");
    }
}

/// The runtime may not have reported the input yet when the connection is about to close; a client whose command is
/// discarded then gets no reply.
#[test]
fn a_command_that_is_complete_at_the_close_is_answered_first() {
    for cause in [CloseCause::Stop, CloseCause::Evict] {
        assert_eq!(close_while_client_writes(cause, PING, b"").0, "+PONG\r\n", "{cause:?}");
    }
}

/// Guards against commands that wait while connections are evicted one after the other: in a crowd of idle clients, a
/// command waited 180 ms for a permit.
#[test]
fn connections_that_wait_for_a_permit_evict_idle_ones_beside_each_other() {
    const CROWD: usize = 8;
    let directory = StateDirectory::new();
    on_one_thread(async {
        tokio::time::pause();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (_phase, phase_receiver) = watch::channel(Phase::Serving);
        let admission =
            Admission::new(phase_receiver, Arc::new(Semaphore::new(CROWD)), CROWD, EventLoopClock::new());
        spawn_local(accept(instance(&directory, address), Rc::new(listener), admission));
        let mut reply = [0; 7];
        // These clients do not close their side, so that each eviction takes its whole time.
        let mut crowd = Vec::new();
        for _ in 0..CROWD {
            let mut client = TcpStream::connect(address).await.unwrap();
            client.write_all(PING).await.unwrap();
            client.read_exact(&mut reply).await.unwrap();
            crowd.push(client);
        }
        let mut newcomers = Vec::new();
        for _ in 0..CROWD {
            let mut client = TcpStream::connect(address).await.unwrap();
            client.write_all(PING).await.unwrap();
            newcomers.push(client);
        }
        let started = Instant::now();
        for client in &mut newcomers {
            client.read_exact(&mut reply).await.unwrap();
        }
        assert!(started.elapsed() <= EVICTION_TIMEOUT, "{:?}", started.elapsed());
    });
}

/// Guards against a message that is charged for the time in which its client sent the command: slow bodies lost their time.
#[test]
fn the_time_of_a_command_that_comes_slowly_counts_from_its_last_byte() {
    const PAUSE: Duration = Duration::from_millis(240);
    const TIME_TO_LIVE: Duration = Duration::from_millis(1_000);
    let directory = StateDirectory::new();
    on_one_thread(async {
        until_input_is_stamped().await;
        tokio::time::pause();
        let (endpoint, mut requests) =
            scripted_server(vec![b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"]).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (_phase, phase_receiver) = watch::channel(Phase::Serving);
        let permits = Arc::new(Semaphore::new(1));
        let admission = Admission::new(phase_receiver, permits, MAX_WAITING, EventLoopClock::new());
        spawn_local(accept(instance(&directory, endpoint), Rc::new(listener), admission));
        yield_now().await; // until the listener has its input stamped
        let mut client = TcpStream::connect(address).await.unwrap();
        let list = format!("c=free,d={},dest=9", TIME_TO_LIVE.as_millis());
        let command = submit(&list, 900);
        for part in command.chunks(300) {
            tokio::time::sleep(PAUSE).await;
            client.write_all(part).await.unwrap();
        }
        let request = requests.recv().await.unwrap();
        let stated = request.lines().find_map(|line| line.strip_prefix("X-Deadline: ")).unwrap();
        let stated = Duration::from_secs_f64(stated.parse().unwrap());
        assert!(stated > TIME_TO_LIVE - PAUSE && stated <= TIME_TO_LIVE, "{stated:?}");
    });
}
