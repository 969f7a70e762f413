//! The clients' side: reads commands from a connection and answers them, one after the other.

use crate::instance::{Instance, Submission, SubmitOutcome};
use crate::resp;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Bytes of a part of a command, a body being the longest.
const MOST_PART: usize = 64 * 1024;
/// Bytes of a whole command: a body and its small parts.
const MOST_COMMAND: usize = MOST_PART + 16 * 1024;
/// Bytes of an id or a key; they go on as headers.
const MOST_ID: usize = 256;
/// How long a client may take over reading an answer of a few bytes before its connection is given up.
const WRITING: Duration = Duration::from_secs(2);
/// How long the rest of a command may take to come: clients themselves wait less than a second. A new connection
/// has as long for its first, counted from its coming, so that one that says nothing is told soon.
const COMMAND: Duration = Duration::from_millis(2_500);
/// How long what still comes is read away once our side is closed: the client gets to read our last answer and the
/// end, instead of a reset.
const LINGER: Duration = Duration::from_secs(1);
/// Pause before an error. Against clients that come again as soon as they are turned away: they would take the
/// time of all others. Costs the usual ones nothing, as they get none.
const ERROR_PAUSE: Duration = Duration::from_millis(50);
/// Errors in a row after which a connection closes.
const MOST_ERRORS: u32 = 4;
/// Bytes of a command that any connection may have read; for more it takes one of so many permits for all.
/// Against many half-read commands: they take some megabytes at most.
const SMALL: usize = 8 * 1024;
const LARGE: usize = 24;
/// How old a connection that has asked nothing must be to close before one that is kept idle: a usual client's
/// first command comes with it.
const YOUNG: Duration = Duration::from_millis(500);
/// How long a connection that has to go may take before the next is told to.
const EVICTION: Duration = Duration::from_millis(20);
/// Pause after a failure to accept, such as having no descriptor left: calls that end free some.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What to do after a command.
enum Next {
    Answer(Vec<u8>),
    /// An answer for a notice that is taken on once it is written.
    Confirm(u64),
    Error(String),
    ErrorAndClose(&'static str),
}

fn number(octets: &[u8], radix: u32) -> Option<u64> {
    u64::from_str_radix(std::str::from_utf8(octets).ok()?, radix).ok()
}

/// Whether `id` can go on as it is in a header.
fn plain(id: &[u8]) -> bool {
    (1..=MOST_ID).contains(&id.len()) && id.iter().all(u8::is_ascii_graphic)
}

fn submit(host: &RefCell<Instance>, parts: &[&[u8]]) -> Result<Next, &'static str> {
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
    Ok(
        match host.borrow_mut().submit(Submission {
            service_class: grade,
            ordering_key: turn,
            time_to_live: lasts,
            destination,
            client_id: reference,
            idempotency_key: mark,
            body,
        }) {
            SubmitOutcome::Accepted(id) => Next::Confirm(id),
            SubmitOutcome::Busy { retry_after: come_back } => Next::Answer(resp::busy(come_back)),
            SubmitOutcome::Failed(why) => Next::Answer(resp::error(&why.to_string())),
            SubmitOutcome::Invalid(why) => Next::Error(why.to_string()),
        },
    )
}

fn obey(host: &RefCell<Instance>, parts: &[&[u8]]) -> Next {
    let Some((name, parts)) = parts.split_first() else { return Next::Answer(Vec::new()) };
    if name.eq_ignore_ascii_case(b"SUBMIT") {
        return submit(host, parts).unwrap_or_else(Next::ErrorAndClose);
    }
    match parts {
        [] if name.eq_ignore_ascii_case(b"PING") => Next::Answer(resp::PONG.to_vec()),
        [text] if name.eq_ignore_ascii_case(b"PING") => Next::Answer(resp::bulk(text)),
        _ => Next::Error("unknown command".to_owned()),
    }
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

/// A connection, as one of those of which some must go when places are short.
struct Connection {
    /// Since its last answer, or its coming.
    since: Instant,
    /// Whether it has been answered a command.
    proven: bool,
    /// Whether part of a command was read.
    begun: bool,
    /// Whether our side is closed, so that only the client's close is waited for.
    half_closed: bool,
    large: bool,
    evicted: Rc<Notify>,
}

/// What the connections need to know of the rest: when to close between commands, and who has a place.
pub struct Admission {
    phase: watch::Receiver<Phase>,
    places: Arc<Semaphore>,
    large: Arc<Semaphore>,
    /// By number; an entry goes with its connection, or when it is told to leave.
    connections: RefCell<BTreeMap<u64, Connection>>,
    next: Cell<u64>,
}

impl Admission {
    /// `places` has a permit for each connection that may be open.
    pub fn new(phase: watch::Receiver<Phase>, places: Arc<Semaphore>) -> Rc<Self> {
        let (large, connections, next) = (Arc::new(Semaphore::new(LARGE)), RefCell::default(), Cell::new(0));
        Rc::new(Self { phase, places, large, connections, next })
    }

    fn admit(&self) -> (u64, Rc<Notify>) {
        let (number, evicted) = (self.next.get(), Rc::new(Notify::new()));
        self.next.set(number + 1);
        let (since, proven, begun, half_closed, large) = (Instant::now(), false, false, false, false);
        let connection = Connection { since, proven, begun, half_closed, large, evicted: evicted.clone() };
        self.connections.borrow_mut().insert(number, connection);
        (number, evicted)
    }

    fn note(&self, number: u64, note: impl FnOnce(&mut Connection)) {
        if let Some(connection) = self.connections.borrow_mut().get_mut(&number) {
            note(connection);
        }
    }

    /// Tells one connection to leave, of those that hold much if `large`: first one whose client only has to
    /// close, then the oldest that never asked anything whole, then the one longest idle, then any.
    fn evict_one(&self, large: bool) {
        let now = Instant::now();
        let rank = |connection: &Connection| match connection {
            Connection { half_closed: true, .. } => 0,
            Connection { proven: false, since, .. } if now >= *since + YOUNG => 1,
            Connection { proven: true, begun: false, .. } => 2,
            _ => 3,
        };
        let mut connections = self.connections.borrow_mut();
        let first = connections.iter().filter(|(_, connection)| connection.large || !large);
        let first = first
            .min_by_key(|(_, connection)| (rank(connection), connection.since))
            .map(|(number, _)| *number);
        if let Some(connection) = first.and_then(|number| connections.remove(&number)) {
            connection.evicted.notify_one();
        }
    }

    /// A permit for a large command or for a new connection; others are told to leave if there is none.
    async fn permit(&self, large: bool) -> Option<OwnedSemaphorePermit> {
        let from = if large { &self.large } else { &self.places };
        loop {
            if let Ok(permit) = from.clone().try_acquire_owned() {
                return Some(permit);
            }
            self.evict_one(large);
            if let Ok(permit) = timeout(EVICTION, from.clone().acquire_owned()).await {
                return permit.ok();
            }
        }
    }
}

/// Reads what has come. Nothing is kept ready for it while nothing comes.
async fn read(stream: &TcpStream, mut take: impl FnMut(&[u8])) -> std::io::Result<usize> {
    loop {
        stream.readable().await?;
        let mut octets = [0; SMALL];
        match stream.try_read(&mut octets) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
            Ok(length) => {
                take(&octets[..length]);
                return Ok(length);
            }
        }
    }
}

/// How a connection came to its end.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ended {
    /// The client closed its side, or has gone.
    ByClient,
    /// This side ends it.
    Here,
    /// This side ends it soon: its place is wanted.
    Evicted,
}

/// Tells a client what is wrong.
async fn dismiss(stream: &mut TcpStream, why: &str) -> std::io::Result<Ended> {
    sleep(ERROR_PAUSE).await;
    timeout(WRITING, stream.write_all(&resp::error(why))).await??;
    Ok(Ended::Here)
}

/// Closes our side, then reads away what still comes until the client closes its own. None of that is obeyed: the
/// client hands it in again. Against a close over unread bytes, which resets the connection and may take an answer
/// with it that the client has not read. A client that never closes keeps its place a while.
async fn half_close(stream: &mut TcpStream, ended: Ended, evicted: &Notify) -> std::io::Result<()> {
    if ended == Ended::ByClient {
        return Ok(());
    }
    stream.shutdown().await?;
    let rest = async { while matches!(read(stream, |_| ()).await, Ok(1..)) {} };
    let most = if ended == Ended::Evicted { EVICTION / 2 } else { LINGER };
    tokio::select! {
        _ = timeout(most, rest) => {}
        () = evicted.notified() => {}
    }
    Ok(())
}

/// Takes what has come by now and was not noticed yet; whether there was any. A command that is whole before our side
/// is closed is owed an answer.
fn last_look(stream: &TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut octets = [0; SMALL];
    let Ok(length @ 1..) = (&*socket2::SockRef::from(stream)).read(&mut octets) else { return false };
    buffer.extend_from_slice(&octets[..length]);
    true
}

/// Serves one connection until it is to end. `Err` is only for reads and writes that failed.
async fn serve(
    host: &RefCell<Instance>,
    stream: &mut TcpStream,
    admission: &Admission,
    number: u64,
    evicted: &Notify,
) -> std::io::Result<Ended> {
    let mut phase = admission.phase.clone();
    // A connection that comes late brings a command: it is served before it closes.
    let mut last = if *phase.borrow() == Phase::Serving { Phase::Stopping } else { Phase::Closing };
    let (mut buffer, mut permit) = (Vec::new(), None);
    let (mut proven, mut errors, mut evicting) = (false, 0, false);
    let mut began = Instant::now(); // the command that is being read
    loop {
        let next = match resp::command(&buffer, MOST_PART) {
            Ok(Some((parts, used))) => {
                // A client that closed its side has stopped waiting, and hands its notice in elsewhere.
                if hung_up(stream) {
                    return Ok(Ended::ByClient);
                }
                let next = obey(host, &parts);
                buffer.drain(..used);
                if buffer.len() < SMALL {
                    permit = None;
                }
                if buffer.is_empty() {
                    buffer = Vec::new();
                }
                next
            }
            Ok(None) if buffer.len() > MOST_COMMAND => Next::ErrorAndClose("too long"),
            Err(resp::Malformed) => Next::ErrorAndClose("not a command, or too long"),
            Ok(None) if evicting => return Ok(Ended::Evicted),
            Ok(None) => {
                let idle = buffer.is_empty();
                let input = async {
                    if buffer.len() >= SMALL && permit.is_none() {
                        permit = admission.permit(true).await;
                        admission.note(number, |connection| connection.large = true);
                    }
                    read(stream, |octets| buffer.extend_from_slice(octets)).await
                };
                let ends = tokio::select! {
                    biased;
                    came = input => match came? {
                        0 => return Ok(Ended::ByClient),
                        _ => None,
                    },
                    () = sleep_until(began + COMMAND), if !idle => {
                        return dismiss(stream, "the rest did not come").await;
                    }
                    () = sleep_until(began + COMMAND), if !proven => Some(Ended::Here),
                    _ = phase.wait_for(|phase| *phase >= last), if idle => Some(Ended::Here),
                    () = evicted.notified() => Some(Ended::Evicted),
                };
                evicting = ends == Some(Ended::Evicted);
                if let Some(ends) = ends
                    && !last_look(stream, &mut buffer)
                {
                    return Ok(ends);
                }
                if idle && proven {
                    began = Instant::now();
                    admission.note(number, |connection| connection.begun = true);
                }
                continue;
            }
        };
        let error;
        let (octets, id) = match &next {
            Next::Answer(octets) => (&octets[..], None),
            Next::Confirm(id) => (resp::OK, Some(*id)),
            Next::Error(why) if errors + 1 < MOST_ERRORS => {
                errors += 1;
                sleep(ERROR_PAUSE).await;
                error = resp::error(why);
                (&error[..], None)
            }
            Next::Error(why) => return dismiss(stream, why).await,
            Next::ErrorAndClose(why) => return dismiss(stream, why).await,
        };
        let written = timeout(WRITING, stream.write_all(octets)).await;
        if !matches!(written, Ok(Ok(()))) {
            if let Some(id) = id {
                host.borrow_mut().withdraw(id);
            }
            return written.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into())).map(|()| Ended::ByClient);
        }
        if !matches!(next, Next::Error(_)) {
            (proven, errors) = (true, 0);
        }
        (last, began) = (Phase::Stopping, Instant::now());
        let (begun, large) = (!buffer.is_empty(), permit.is_some());
        admission.note(number, |connection| {
            (connection.since, connection.proven, connection.begun, connection.large) =
                (Instant::now(), proven, begun, large);
        });
        // One that hands in many commands at once takes turns with the others.
        if begun {
            tokio::task::yield_now().await;
        }
    }
}

/// Whether the other side has closed, with nothing more to read.
fn hung_up(stream: &TcpStream) -> bool {
    let mut one = [std::mem::MaybeUninit::uninit()];
    matches!(socket2::SockRef::from(stream).peek(&mut one), Ok(0))
}

/// Accepts connections until the courier closes, those that came before that included. Each is served by a
/// task of its own.
pub async fn accept(host: Rc<RefCell<Instance>>, listener: Rc<TcpListener>, admission: Rc<Admission>) {
    let mut phase = admission.phase.clone();
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
        let Some(place) = admission.permit(false).await else { return };
        let (host, admission) = (host.clone(), admission.clone());
        spawn_local(async move {
            let (_place, (number, evicted)) = (place, admission.admit());
            let served = async {
                stream.set_nodelay(true)?;
                let ended = serve(&host, &mut stream, &admission, number, &evicted).await?;
                admission
                    .note(number, |connection| (connection.half_closed, connection.large) = (true, false));
                half_close(&mut stream, ended, &evicted).await
            };
            let served = served.await;
            admission.connections.borrow_mut().remove(&number);
            if let Err(error) = served {
                tracing::debug!(%from, %error, "a client's connection ended");
            }
        });
    }
}

#[cfg(test)]
#[path = "clients_tests.rs"]
mod tests;
