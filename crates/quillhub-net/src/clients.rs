//! The clients' side: reads commands from a connection and answers them, one after the other.

use crate::host::{Host, Taken};
use crate::resp;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Bytes of a part of a command, a body being the longest.
const MOST_PART: usize = 64 * 1024;
/// Bytes of a whole command: a body and its small parts.
const MOST_COMMAND: usize = MOST_PART + 16 * 1024;
/// Bytes of a connection's buffer that are kept between commands.
const KEPT: usize = 4 * 1024;
/// Bytes of an id or a key; they go on as headers.
const MOST_ID: usize = 256;
/// How long a client may take over reading an answer of a few bytes before its connection is given up.
const WRITING: Duration = Duration::from_secs(2);
/// How long the rest of a command may take to come: clients themselves wait less than a second.
const COMMAND: Duration = Duration::from_secs(5);
/// How long what still comes is read away after an error, so that the client gets to read it.
const LINGER: Duration = Duration::from_millis(200);
/// Pause after a failure to accept, such as having no descriptor left: calls that end free some.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What to do after a command.
enum Next {
    Answer(Vec<u8>),
    /// An answer for a notice that is taken on once it is written.
    Confirm(u64),
    AnswerAndClose(Vec<u8>),
}

fn number(octets: &[u8], radix: u32) -> Option<u64> {
    u64::from_str_radix(std::str::from_utf8(octets).ok()?, radix).ok()
}

/// Whether `id` can go on as it is in a header.
fn plain(id: &[u8]) -> bool {
    (1..=MOST_ID).contains(&id.len()) && id.iter().all(u8::is_ascii_graphic)
}

fn submit(host: &RefCell<Host>, parts: &[&[u8]]) -> Result<Next, &'static str> {
    let &[turn, reference, list, body] = parts else {
        return Err("SUBMIT takes a key, an id, a list and a body");
    };
    let value = |name| resp::named(list, name);
    let turn = number(turn, 16).ok_or("the key is no hexadecimal number")?;
    let grade = value("c").and_then(|grade| std::str::from_utf8(grade).ok()).ok_or("no class")?;
    let lasts = value("d").and_then(|d| number(d, 10)).ok_or("no time limit")?;
    let destination = value("dest").and_then(|dest| number(dest, 10)).ok_or("no destination")?;
    let mark = value("k");
    if !plain(reference) || !mark.is_none_or(plain) {
        return Err("an id or key that cannot be passed on");
    }
    let (turn, lasts) = ((turn != 0).then_some(turn), Duration::from_millis(lasts.min(u64::from(u32::MAX))));
    Ok(match host.borrow_mut().take_on(grade, turn, lasts, destination, reference, mark, body) {
        Taken::On(id) => Next::Confirm(id),
        Taken::Denied(come_back) => Next::Answer(resp::busy(come_back)),
        Taken::Failed(why) => Next::Answer(resp::error(why)),
    })
}

fn obey(host: &RefCell<Host>, parts: &[&[u8]]) -> Next {
    let Some((name, parts)) = parts.split_first() else { return Next::Answer(Vec::new()) };
    if name.eq_ignore_ascii_case(b"SUBMIT") {
        return submit(host, parts).unwrap_or_else(|why| Next::AnswerAndClose(resp::error(why)));
    }
    Next::Answer(match parts {
        [] if name.eq_ignore_ascii_case(b"PING") => resp::PONG.to_vec(),
        [text] if name.eq_ignore_ascii_case(b"PING") => resp::bulk(text),
        _ => resp::error("unknown command"),
    })
}

/// How far the courier is with stopping.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum Phase {
    Serving,
    /// Connections close between commands, but new ones still come, each with a command on its way.
    Stopping,
    /// No new connections, and those that still wait for a command close.
    Closing,
}

/// What the connections need to know of the rest: when to close between commands.
pub struct Doors {
    pub phase: watch::Receiver<Phase>,
    /// Permits for connections; when none is left, the one that has idled longest is asked to go.
    pub places: Arc<Semaphore>,
    pub crowded: Rc<Notify>,
}

/// Serves one connection until it ends. `Err` is only for reads and writes that failed.
async fn serve(host: &RefCell<Host>, stream: &mut TcpStream, doors: &Doors) -> std::io::Result<()> {
    let mut phase = doors.phase.clone();
    // A connection that comes late brings a command: it is served before it closes.
    let mut last = if *phase.borrow() == Phase::Serving { Phase::Stopping } else { Phase::Closing };
    let mut buffer = Vec::new();
    let mut began = Instant::now(); // the command that is being read
    loop {
        let next = match resp::command(&buffer, MOST_PART) {
            Ok(Some((parts, used))) => {
                // A client that closed its side has stopped waiting, and hands its notice in elsewhere.
                if hung_up(stream) {
                    return Ok(());
                }
                let next = obey(host, &parts);
                buffer.drain(..used);
                buffer.shrink_to(KEPT);
                next
            }
            Ok(None) if buffer.len() > MOST_COMMAND => Next::AnswerAndClose(resp::error("too long")),
            Err(resp::Malformed) => Next::AnswerAndClose(resp::error("not a command, or too long")),
            Ok(None) => {
                let idle = buffer.is_empty();
                tokio::select! {
                    biased;
                    read = stream.read_buf(&mut buffer) => {
                        if read? == 0 {
                            return Ok(());
                        }
                        if idle {
                            began = Instant::now();
                        }
                    }
                    () = sleep_until(began + COMMAND), if !idle => return Err(ErrorKind::TimedOut.into()),
                    _ = phase.wait_for(|phase| *phase >= last), if idle => return Ok(()),
                    () = doors.crowded.notified(), if idle => return Ok(()),
                }
                continue;
            }
        };
        let (octets, id, close) = match &next {
            Next::Answer(octets) => (&octets[..], None, false),
            Next::Confirm(id) => (resp::OK, Some(*id), false),
            Next::AnswerAndClose(octets) => (&octets[..], None, true),
        };
        let written = timeout(WRITING, stream.write_all(octets)).await;
        if !matches!(written, Ok(Ok(()))) {
            if let Some(id) = id {
                host.borrow_mut().gone(id);
            }
            return written.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        }
        if close {
            stream.shutdown().await?;
            let rest = async { while matches!(stream.read(&mut [0; 4096]).await, Ok(1..)) {} };
            let _ = timeout(LINGER, rest).await;
            return Ok(());
        }
        last = Phase::Stopping;
    }
}

/// Whether the other side has closed, with nothing more to read.
fn hung_up(stream: &TcpStream) -> bool {
    let mut one = [std::mem::MaybeUninit::uninit()];
    matches!(socket2::SockRef::from(stream).peek(&mut one), Ok(0))
}

/// Accepts connections until the courier closes, those that came before that included. Each is served by a
/// task of its own.
pub async fn accept(host: Rc<RefCell<Host>>, listener: Rc<TcpListener>, doors: Rc<Doors>) {
    let mut phase = doors.phase.clone();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => return,
        };
        let (mut stream, from): (TcpStream, SocketAddr) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(%error, "no connection could be accepted");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if doors.places.available_permits() == 0 {
            doors.crowded.notify_one();
        }
        let Ok(place) = doors.places.clone().acquire_owned().await else { return };
        let (host, doors) = (host.clone(), doors.clone());
        spawn_local(async move {
            let _place = place;
            let served = match stream.set_nodelay(true) {
                Ok(()) => serve(&host, &mut stream, &doors).await,
                Err(error) => Err(error),
            };
            if let Err(error) = served {
                tracing::debug!(%from, %error, "a client's connection ended");
            }
        });
    }
}

#[cfg(test)]
#[path = "clients_tests.rs"]
mod tests;
