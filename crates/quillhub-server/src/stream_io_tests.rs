use super::*;
use crate::test_support::{on_one_thread, until_input_is_stamped};
use std::cell::Cell;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Number of reads, none of which finds the socket empty.
const READS: usize = 8;

/// Returns a connected pair, of which the first one has at least [`READS`] full reads of input.
async fn stream_with_input() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let stream = listener.accept().await.unwrap().0;
    let mut written = 0;
    while written < READS * MAX_READ_BYTES {
        peer.writable().await.unwrap();
        written += peer.try_write(&[b'x'; MAX_READ_BYTES]).unwrap_or_default();
    }
    (stream, peer)
}

/// Guards against a process that stands still while a peer sends without end: no other task ran, and no timer fired, as
/// long as a read found input.
#[test]
fn other_tasks_run_between_reads_of_input_that_does_not_end() {
    on_one_thread(async {
        let (stream, _peer) = stream_with_input().await;
        let turns = Rc::new(Cell::new(0));
        let counted = turns.clone();
        let other_task = spawn_local(async move {
            loop {
                counted.set(counted.get() + 1);
                yield_now().await;
            }
        });
        let (mut input, mut reader) = (Vec::new(), Reader::default());
        for read in 1..=READS / 2 {
            let before = turns.get();
            for _ in 0..2 {
                let length = reader.read_some(&stream, &mut input).await.unwrap();
                assert!((1..=MAX_READ_BYTES).contains(&length));
            }
            assert!(
                turns.get() > before,
                "no other task ran between the reads {} and {}",
                2 * read - 1,
                2 * read
            );
        }
        other_task.abort();
    });
}

/// Guards against a response that counts as late, since a process that was stopped handles its timers before it has looked
/// at its sockets.
#[test]
fn input_of_which_the_runtime_has_not_learned_is_read_at_once() {
    on_one_thread(async {
        until_input_is_stamped().await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (server, _) = listener.accept().await.unwrap();
        stamp_input(&server).unwrap();
        let (mut reader, mut buffer) = (Reader::default(), Vec::new());
        assert!(reader.read_now(&server, &mut buffer).unwrap_err().kind() == ErrorKind::WouldBlock);
        let before = Instant::now();
        // No await from here on, so that the runtime does not learn of the input.
        std::io::Write::write_all(&mut &client, b"xyz").unwrap();
        assert_eq!(reader.read_now(&server, &mut buffer).unwrap(), 3);
        assert_eq!(buffer, b"xyz");
        assert!(reader.arrived().is_some_and(|arrived| arrived + Duration::from_millis(50) > before));
    });
}
