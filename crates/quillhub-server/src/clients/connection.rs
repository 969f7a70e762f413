//! Client connection: reads commands and replies to them, one after the other, until the connection ends.
//!
//! Invariant: a message whose confirmation could not be written is withdrawn, since its client submits it to another
//! instance.

use super::admission::{Activity, Admission, EVICTION_TIMEOUT, Phase, Registration};
use super::arrival::{Arrival, ConnectionTimes, EmptySince};
use super::commands::{self, CommandError, Reply};
use super::socket::{self, Input};
use crate::instance::{CommandTimes, Instance};
use crate::resp;
use crate::stream_io;
use std::borrow::Cow;
use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Maximum length of a part of a command; the longest part is the body of a message.
pub(super) const MAX_PART_BYTES: usize = 64 * 1024;
/// Maximum length of a command: a body of the maximum length and the small parts.
const MAX_COMMAND_BYTES: usize = MAX_PART_BYTES + 16 * 1024;
/// Length of buffered input from which on a command counts as large, and reading on requires a permit.
const LARGE_COMMAND_BYTES: usize = socket::READ_BYTES;
/// Time limit for writing a reply, after which the connection is given up. Replies are only a few bytes long.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for the rest of a command after its first byte; clients themselves wait less than a second for a reply.
/// Also limits the time from the acceptance of a connection, or from its last reply, to its first successful command,
/// so that connections that send nothing are closed soon.
pub(super) const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for which input is discarded after the server's side is closed, so that the client can read the last reply and
/// the end of the stream instead of getting a reset.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before an error reply. Prevents clients that reconnect as soon as they receive an error from using the
/// processing time of all others. Does not delay well-behaved clients, since they get no errors.
const ERROR_PAUSE: Duration = Duration::from_millis(50);
/// Time that a command may wait before it is executed without a line in the log.
const MAX_UNLOGGED_WAIT: Duration = Duration::from_millis(100);
/// Number of consecutive errors at which a connection is closed.
pub(super) const MAX_CONSECUTIVE_ERRORS: u32 = 4;

/// Reason for the end of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum End {
    /// The client closed its side, or the connection broke.
    ByClient,
    /// The server closes the connection after an error, on a timeout, or for its shutdown.
    ByServer,
    /// The server closes the connection to free its permit for another one.
    Evicted,
}

/// Next step of a connection, as determined by its buffered input.
enum Step {
    /// Write the reply to a command.
    Reply(Reply),
    /// Wait for more input, since no command is complete yet.
    Receive,
    /// End the connection.
    End(End),
}

/// Event that ended the wait for input.
enum Wakeup {
    /// Input was read, or the end of the stream.
    Read(Input),
    /// The rest of a command did not arrive in time.
    CommandTimeout,
    /// The connection is to end, unless further input has already arrived.
    Ending(End),
}

/// Client connection with its buffered input and its state.
pub(super) struct Connection<'a> {
    instance: &'a RefCell<Instance>,
    admission: &'a Admission,
    registration: &'a Registration,
    stream: &'a mut TcpStream,
    phase: watch::Receiver<Phase>,
    /// Phase of the shutdown from which on the connection closes between commands.
    closing_phase: Phase,
    times: ConnectionTimes,
    empty_since: EmptySince,
    /// Arrival of what was read last, with which the first command of `input` is complete if it is.
    last_read: Option<Arrival>,
    /// Input that was read and does not belong to an executed command.
    input: Vec<u8>,
    /// Permit for a large command, while such a command is read.
    large_permit: Option<OwnedSemaphorePermit>,
    /// `true` once a command on the connection has succeeded.
    has_succeeded: bool,
    consecutive_errors: u32,
    /// `true` if the connection closes once the complete commands in `input` are answered.
    evicted: bool,
    /// Time from which [`COMMAND_TIMEOUT`] counts: the start of the current command; until one has succeeded, the last
    /// reply or the acceptance.
    deadline_base: Instant,
}

impl<'a> Connection<'a> {
    pub(super) fn new(
        instance: &'a RefCell<Instance>,
        admission: &'a Admission,
        registration: &'a Registration,
        (stream, times): (&'a mut TcpStream, ConnectionTimes),
    ) -> Self {
        let phase = admission.phase();
        // A client that connects during the shutdown usually sends a command, which is answered before the connection
        // closes.
        let serving = *phase.borrow() == Phase::Serving;
        Self {
            instance,
            admission,
            registration,
            stream,
            phase,
            closing_phase: if serving { Phase::Stopping } else { Phase::Closing },
            times,
            empty_since: EmptySince::new(admission.event_loop(), times.listener_empty),
            last_read: None,
            input: Vec::new(),
            large_permit: None,
            has_succeeded: false,
            consecutive_errors: 0,
            evicted: false,
            deadline_base: Instant::now(),
        }
    }

    /// Serves the connection until it ends, and returns the reason.
    ///
    /// # Errors
    ///
    /// Returns an error if reading or writing fails or if a reply cannot be written in time.
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

    /// Executes the first command of the input if it is complete, and returns the step that follows.
    fn next_step(&mut self) -> Step {
        match resp::command(&self.input, MAX_PART_BYTES) {
            Ok(Some((parts, used))) => {
                // A client that closed its side does not wait for a reply, and submits its message elsewhere.
                if socket::closed_by_client(self.stream) {
                    tracing::info!(unread_bytes = self.input.len(), "client left with unread commands");
                    return Step::End(End::ByClient);
                }
                let times = self.command_times(used);
                let reply = commands::execute(self.instance, &parts, times);
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

    /// Returns when the first command of the input, of `used` bytes, arrived and was read. Logs where it waited if that took
    /// long.
    fn command_times(&self, used: usize) -> CommandTimes {
        let executed = Instant::now();
        let Some(read) = self.last_read else {
            return CommandTimes { arrived: executed, arrived_by: executed, read: executed };
        };
        let arrived = read.of_byte(used == self.input.len());
        let waited = executed.saturating_duration_since(arrived);
        if waited > MAX_UNLOGGED_WAIT {
            let waits = self.times.waits(arrived, read.read, executed);
            tracing::info!(?waited, ?waits, "command waited before it was executed");
            self.instance.borrow_mut().command_waited();
        }
        CommandTimes { arrived, arrived_by: read.latest(), read: read.read }
    }

    /// Removes an executed command of `used` bytes from the input, and frees the permit and the memory that it needed.
    fn consume(&mut self, used: usize) {
        self.input.drain(..used);
        if self.input.len() < LARGE_COMMAND_BYTES {
            self.large_permit = None;
        }
        if self.input.is_empty() {
            self.input = Vec::new();
        }
    }

    /// Waits for more input or for the end of the connection; returns the reason for the end, if it ends.
    async fn receive(&mut self) -> io::Result<Option<End>> {
        let was_idle = self.input.is_empty();
        match self.wait().await? {
            Wakeup::Read(Input { length: 0, .. }) => return Ok(Some(End::ByClient)),
            Wakeup::Read(Input { arrival, .. }) => {
                self.last_read = Some(arrival);
                self.evicted = false;
                // The runtime learns here of an end of the client's side that has arrived behind this input.
                tokio::task::yield_now().await;
            }
            Wakeup::CommandTimeout => return self.reply_and_close(CommandError::Incomplete).await.map(Some),
            Wakeup::Ending(end) => {
                self.evicted = end == End::Evicted;
                let pending = socket::read_pending(self.stream, &self.empty_since, &mut self.input);
                let Some(Input { arrival, .. }) = pending else { return Ok(Some(end)) };
                self.last_read = Some(arrival);
            }
        }
        if was_idle && self.has_succeeded {
            self.deadline_base = Instant::now();
            self.registration.command_started();
        }
        Ok(None)
    }

    async fn wait(&mut self) -> io::Result<Wakeup> {
        let idle = self.input.is_empty();
        let deadline = self.deadline_base + COMMAND_TIMEOUT;
        let closing_phase = self.closing_phase;
        let read = async {
            if self.input.len() >= LARGE_COMMAND_BYTES && self.large_permit.is_none() {
                self.large_permit = self.admission.large_command_permit().await;
                self.registration.large_command_started();
            }
            socket::read(self.stream, &self.empty_since, |bytes| self.input.extend_from_slice(bytes)).await
        };
        Ok(tokio::select! {
            biased;
            input = read => Wakeup::Read(input?),
            () = sleep_until(deadline), if !idle => Wakeup::CommandTimeout,
            () = sleep_until(deadline), if !self.has_succeeded => Wakeup::Ending(End::ByServer),
            _ = self.phase.wait_for(|phase| *phase >= closing_phase), if idle => Wakeup::Ending(End::ByServer),
            () = self.registration.evicted() => Wakeup::Ending(End::Evicted),
        })
    }

    /// Writes a reply; returns the reason for the end, if the connection closes with it.
    async fn reply(&mut self, reply: Reply) -> io::Result<Option<End>> {
        let (bytes, accepted): (Cow<[u8]>, _) = match &reply {
            Reply::Bytes(bytes) => (bytes.into(), None),
            Reply::Accepted(message) => (resp::OK.into(), Some(*message)),
            Reply::Error(error) if error.closes_connection() || self.is_last_error() => {
                return self.reply_and_close(error.clone()).await.map(Some);
            }
            Reply::Error(error) => {
                self.consecutive_errors += 1;
                sleep(ERROR_PAUSE).await;
                (resp::error(error).into(), None)
            }
        };
        let written = timeout(WRITE_TIMEOUT, stream_io::write_all(self.stream, &bytes)).await;
        if !matches!(written, Ok(Ok(()))) {
            if let Some(message) = accepted {
                self.instance.borrow_mut().withdraw(message);
            }
            let failed = written.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
            return failed.map(|()| Some(End::ByClient));
        }
        if !matches!(reply, Reply::Error(_)) {
            self.has_succeeded = true;
            self.consecutive_errors = 0;
        }
        self.answered().await;
        Ok(None)
    }

    fn is_last_error(&self) -> bool {
        self.consecutive_errors + 1 >= MAX_CONSECUTIVE_ERRORS
    }

    /// Registers that a command was answered, and prepares for the next one, part of which may already be read.
    async fn answered(&mut self) {
        self.closing_phase = Phase::Stopping;
        self.deadline_base = Instant::now();
        let has_further_input = !self.input.is_empty();
        let activity = match (self.has_succeeded, has_further_input) {
            (false, _) => Activity::NoSuccessYet,
            (true, false) => Activity::Idle,
            (true, true) => Activity::Receiving,
        };
        self.registration.answered(activity, self.large_permit.is_some());
        // Prevents a connection with many pipelined commands from delaying all others.
        if has_further_input {
            tokio::task::yield_now().await;
        }
    }

    /// Writes an error reply, after which the connection closes.
    async fn reply_and_close(&mut self, error: CommandError) -> io::Result<End> {
        sleep(ERROR_PAUSE).await;
        timeout(WRITE_TIMEOUT, stream_io::write_all(self.stream, &resp::error(error))).await??;
        Ok(End::ByServer)
    }
}

/// Closes the server's side, then discards input until the client closes its own side or a time limit is reached.
///
/// Discarded commands are not executed; the client submits its messages again. Prevents a close with unread input,
/// which resets the connection and may destroy a reply that the client has not read. A client that never closes its
/// side keeps its permit until the time limit.
pub(super) async fn half_close(
    stream: &mut TcpStream,
    end: End,
    registration: &Registration,
) -> io::Result<()> {
    if end == End::ByClient {
        return Ok(());
    }
    stream.shutdown().await?;
    let discard = async {
        while matches!(socket::discard(stream).await, Ok(1..)) {
            tokio::task::yield_now().await;
        }
    };
    // Half of the timeout, so that the permit is free before another connection is evicted.
    let time_limit = if end == End::Evicted { EVICTION_TIMEOUT / 2 } else { LINGER_TIMEOUT };
    tokio::select! {
        _ = timeout(time_limit, discard) => {}
        () = registration.evicted() => {}
    }
    Ok(())
}
