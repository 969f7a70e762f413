//! One client's connection: reads commands and answers them, one after the other, until it is to close.
//!
//! Invariant: a message whose confirmation could not be written is withdrawn, as its client hands it in
//! elsewhere.

use super::admission::{Activity, Admission, EVICTION_TIMEOUT, Phase, Registration};
use super::commands::{self, CommandError, Reply};
use super::socket;
use crate::instance::Instance;
use crate::resp;
use std::borrow::Cow;
use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Bytes of a part of a command, a body being the longest.
pub(super) const MAX_PART_BYTES: usize = 64 * 1024;
/// Bytes of a complete command: a body and its small parts.
const MAX_COMMAND_BYTES: usize = MAX_PART_BYTES + 16 * 1024;
/// Bytes of a command that any connection may have read; for more it needs a permit for a large command.
const SMALL_COMMAND_BYTES: usize = socket::READ_BYTES;
/// How long a client may take over reading an answer of a few bytes before its connection is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the rest of a command may take to arrive: clients themselves wait less than a second. A new connection
/// has as long for its first, counted from its accept, so that one that sends nothing is closed soon.
pub(super) const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long what still arrives is discarded once our side is closed: the client gets to read our last answer and the
/// end, instead of a reset.
const LINGER: Duration = Duration::from_secs(1);
/// Pause before an error. Against clients that reconnect as soon as they are rejected: they would take the time of all
/// others. Costs the usual ones nothing, as they get none.
const ERROR_PAUSE: Duration = Duration::from_millis(50);
/// Errors in a row after which a connection closes.
pub(super) const MAX_CONSECUTIVE_ERRORS: u32 = 4;

/// How serving a connection ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum End {
    /// The client closed its side, or has gone.
    ByClient,
    /// This side closes it.
    ByServer,
    /// This side closes it soon: its permit is wanted.
    Evicted,
}

/// What to do next, by the input that was read.
enum Step {
    Reply(Reply),
    /// No command is complete yet.
    Receive,
    End(End),
}

/// What ended the wait for input.
enum Wakeup {
    /// So many bytes were read; 0 at the input's end.
    Read(usize),
    /// The rest of a command did not arrive in time.
    CommandTimeout,
    Ending(End),
}

/// A connection with what was read from it and not yet used.
pub(super) struct Connection<'a> {
    instance: &'a RefCell<Instance>,
    admission: &'a Admission,
    registration: &'a Registration,
    stream: &'a mut TcpStream,
    phase: watch::Receiver<Phase>,
    /// The phase from which on it closes between commands.
    closing_phase: Phase,
    input: Vec<u8>,
    large_permit: Option<OwnedSemaphorePermit>,
    /// Whether a command has succeeded.
    proven: bool,
    consecutive_errors: u32,
    /// Whether it closes once what was read of it is answered.
    evicted: bool,
    /// When the command that is being read began.
    command_started: Instant,
}

impl<'a> Connection<'a> {
    pub(super) fn new(
        instance: &'a RefCell<Instance>,
        admission: &'a Admission,
        registration: &'a Registration,
        stream: &'a mut TcpStream,
    ) -> Self {
        let phase = admission.phase();
        // A connection that arrives late brings a command: it is served before it closes.
        let serving = *phase.borrow() == Phase::Serving;
        Self {
            instance,
            admission,
            registration,
            stream,
            phase,
            closing_phase: if serving { Phase::Stopping } else { Phase::Closing },
            input: Vec::new(),
            large_permit: None,
            proven: false,
            consecutive_errors: 0,
            evicted: false,
            command_started: Instant::now(),
        }
    }

    /// Serves the connection until it is to end.
    ///
    /// # Errors
    ///
    /// Only for reads and writes that failed.
    pub(super) async fn serve(mut self) -> io::Result<End> {
        loop {
            let end = match self.next_step() {
                Step::Reply(reply) => self.reply(reply).await?,
                Step::Receive => self.receive().await?,
                Step::End(end) => Some(end),
            };
            if let Some(end) = end {
                return Ok(end);
            }
        }
    }

    /// Executes the first command of the input if it is complete.
    fn next_step(&mut self) -> Step {
        match resp::command(&self.input, MAX_PART_BYTES) {
            Ok(Some((parts, used))) => {
                // A client that closed its side has stopped waiting, and hands its message in elsewhere.
                if socket::closed_by_client(self.stream) {
                    return Step::End(End::ByClient);
                }
                let reply = commands::execute(self.instance, &parts);
                self.consume(used);
                Step::Reply(reply)
            }
            Ok(None) if self.input.len() > MAX_COMMAND_BYTES => {
                Step::Reply(Reply::Error(CommandError::TooLong))
            }
            Err(resp::Malformed) => Step::Reply(Reply::Error(CommandError::Malformed)),
            Ok(None) if self.evicted => Step::End(End::Evicted),
            Ok(None) => Step::Receive,
        }
    }

    /// Gives back what an executed command took.
    fn consume(&mut self, used: usize) {
        self.input.drain(..used);
        if self.input.len() < SMALL_COMMAND_BYTES {
            self.large_permit = None;
        }
        if self.input.is_empty() {
            self.input = Vec::new();
        }
    }

    /// Waits for more input, or for what ends the connection.
    async fn receive(&mut self) -> io::Result<Option<End>> {
        let was_idle = self.input.is_empty();
        match self.wait().await? {
            Wakeup::Read(0) => return Ok(Some(End::ByClient)),
            Wakeup::Read(_) => self.evicted = false,
            Wakeup::CommandTimeout => return self.dismiss(CommandError::Incomplete).await.map(Some),
            Wakeup::Ending(end) => {
                self.evicted = end == End::Evicted;
                if !socket::read_pending(self.stream, &mut self.input) {
                    return Ok(Some(end));
                }
            }
        }
        if was_idle && self.proven {
            self.command_started = Instant::now();
            self.registration.command_begun();
        }
        Ok(None)
    }

    async fn wait(&mut self) -> io::Result<Wakeup> {
        let idle = self.input.is_empty();
        let deadline = self.command_started + COMMAND_TIMEOUT;
        let closing_phase = self.closing_phase;
        let read = async {
            if self.input.len() >= SMALL_COMMAND_BYTES && self.large_permit.is_none() {
                self.large_permit = self.admission.large_command_permit().await;
                self.registration.large_command_begun();
            }
            socket::read(self.stream, |octets| self.input.extend_from_slice(octets)).await
        };
        Ok(tokio::select! {
            biased;
            length = read => Wakeup::Read(length?),
            () = sleep_until(deadline), if !idle => Wakeup::CommandTimeout,
            () = sleep_until(deadline), if !self.proven => Wakeup::Ending(End::ByServer),
            _ = self.phase.wait_for(|phase| *phase >= closing_phase), if idle => Wakeup::Ending(End::ByServer),
            () = self.registration.evicted() => Wakeup::Ending(End::Evicted),
        })
    }

    /// Writes a reply; the end, if the connection closes with it.
    async fn reply(&mut self, reply: Reply) -> io::Result<Option<End>> {
        let (octets, accepted): (Cow<[u8]>, _) = match &reply {
            Reply::Octets(octets) => (octets.into(), None),
            Reply::Accepted(message) => (resp::OK.into(), Some(*message)),
            Reply::Error(error) if error.closes_connection() || self.is_last_error() => {
                return self.dismiss(error.clone()).await.map(Some);
            }
            Reply::Error(error) => {
                self.consecutive_errors += 1;
                sleep(ERROR_PAUSE).await;
                (resp::error(error).into(), None)
            }
        };
        let written = timeout(WRITE_TIMEOUT, self.stream.write_all(&octets)).await;
        if !matches!(written, Ok(Ok(()))) {
            if let Some(message) = accepted {
                self.instance.borrow_mut().withdraw(message);
            }
            let failed = written.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
            return failed.map(|()| Some(End::ByClient));
        }
        if !matches!(reply, Reply::Error(_)) {
            self.proven = true;
            self.consecutive_errors = 0;
        }
        self.answered().await;
        Ok(None)
    }

    fn is_last_error(&self) -> bool {
        self.consecutive_errors + 1 >= MAX_CONSECUTIVE_ERRORS
    }

    /// Goes on to the next command, of which part may have been read already.
    async fn answered(&mut self) {
        self.closing_phase = Phase::Stopping;
        self.command_started = Instant::now();
        let more = !self.input.is_empty();
        let activity = match (self.proven, more) {
            (false, _) => Activity::Unproven,
            (true, false) => Activity::Idle,
            (true, true) => Activity::Receiving,
        };
        self.registration.answered(activity, self.large_permit.is_some());
        // One that hands in many commands at once alternates with the others.
        if more {
            tokio::task::yield_now().await;
        }
    }

    /// Writes an error after which the connection closes.
    async fn dismiss(&mut self, error: CommandError) -> io::Result<End> {
        sleep(ERROR_PAUSE).await;
        timeout(WRITE_TIMEOUT, self.stream.write_all(&resp::error(error))).await??;
        Ok(End::ByServer)
    }
}

/// Closes our side, then discards what still arrives until the client closes its own. None of that is executed: the
/// client hands it in again. Against a close over unread bytes, which resets the connection and may destroy an answer
/// that the client has not read. A client that never closes keeps its permit a while.
pub(super) async fn half_close(
    stream: &mut TcpStream,
    end: End,
    registration: &Registration,
) -> io::Result<()> {
    if end == End::ByClient {
        return Ok(());
    }
    stream.shutdown().await?;
    let discard = async { while matches!(socket::read(stream, |_| ()).await, Ok(1..)) {} };
    let longest = if end == End::Evicted { EVICTION_TIMEOUT / 2 } else { LINGER };
    tokio::select! {
        _ = timeout(longest, discard) => {}
        () = registration.evicted() => {}
    }
    Ok(())
}
