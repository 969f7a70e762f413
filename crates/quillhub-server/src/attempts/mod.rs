//! One attempt to deliver a message: takes or opens a connection, sends the request and reads the response.
//!
//! Invariants: an attempt that ends before the last byte of its request is written has not executed the message, and
//! an attempt only reconnects before that byte. Once the status line of the response is read, the status is final,
//! even if the rest of the response is malformed or missing. A status of 410 is also noticed if its line is cut off, or
//! comes too early or too late.

mod classification;
mod response;

pub use classification::{AttemptError, ClassifiedResult, STATUS_OVER};
pub use response::{Response, retry_after};

use crate::connection::{ConnectionError, HttpConnection, UnexpectedInput};
use crate::http::InterimResponses;
use quillhub::is_response_in_time;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Time limit for each part of a response after its first byte: the status line, an interim head, and the rest.
/// Endpoints write a response in one piece, and a quarter of a second covers the retransmission of a packet. Guards
/// against responses that never end, which would keep their attempt in flight.
const RESPONSE_REST_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of times that an attempt reconnects when its connection breaks before the last byte of the request: once
/// for a stale pooled connection, and once for a new connection that happens to break.
const MAX_RECONNECTS: u32 = 2;

/// Permissions that an attempt asks for while it is made, and what it reports before its end.
pub trait AttemptControl {
    /// Returns `true` if the request may be sent; called just before its first byte.
    fn may_send_request(&self) -> bool;
    /// Returns `true` if the request may still be sent; called just before its last byte.
    fn may_complete_request(&self) -> bool;
    /// Handles the status of a response which says that the message is over, before the rest of the response is read.
    fn message_may_be_over(&self);
}

/// Parameters of an attempt, which [`Attempt::run`] makes.
pub struct Attempt<R, C> {
    /// Pooled connection to the endpoint, and the time until it is at rest, if there is one.
    pub pooled: Option<(HttpConnection, Duration)>,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// Time limit for the whole attempt.
    pub timeout: Duration,
    /// Function that builds the request from the time for which the attempt will still wait, in whole milliseconds.
    pub request: R,
    /// Permissions and reports.
    pub control: C,
}

/// State of a connection that an attempt has used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Open, and can carry another call.
    Reusable,
    /// Open until the endpoint closes it, as its response announced.
    Closing,
    /// Closed by the endpoint after a response, and all that it wrote was read.
    Ended,
    /// Closed by the endpoint during a call, broken, or given up.
    Closed,
    /// The response is malformed or incomplete.
    Malformed,
    /// Something was received that is not part of the response.
    Surplus,
}

impl From<&ConnectionError> for ConnectionState {
    /// Returns the state of a connection on which no call can continue.
    fn from(error: &ConnectionError) -> Self {
        match error {
            ConnectionError::Malformed => Self::Malformed,
            ConnectionError::Ended | ConnectionError::Failed(_) => Self::Closed,
        }
    }
}

impl From<UnexpectedInput> for ConnectionState {
    /// Returns the state of a connection without a call that is closed after this input.
    fn from(input: UnexpectedInput) -> Self {
        match input {
            UnexpectedInput::Bytes => Self::Surplus,
            UnexpectedInput::End => Self::Ended,
            UnexpectedInput::Failed | UnexpectedInput::None => Self::Closed,
        }
    }
}

/// Connection that an attempt has used.
pub struct UsedConnection {
    /// Connection.
    pub connection: HttpConnection,
    /// State of the connection.
    pub state: ConnectionState,
}

/// End of an attempt: its result, and its connections.
pub struct AttemptEnd {
    /// Response, or the error, which tells which part of the request was sent.
    pub result: Result<Response, AttemptError>,
    /// Connection on which the request was sent, or was about to be sent; `None` if there was none.
    pub connection: Option<UsedConnection>,
    /// Connections that broke before the last byte of the request and were replaced.
    pub replaced: Vec<UsedConnection>,
}

impl AttemptEnd {
    /// Returns the end of an attempt that could not be made.
    pub fn not_sent() -> Self {
        Self::failed(AttemptError::NotSent)
    }

    /// Returns the end of an attempt whose task panicked: the request may have been sent.
    pub fn connection_reset() -> Self {
        Self::failed(AttemptError::ConnectionReset)
    }

    fn failed(error: AttemptError) -> Self {
        Self { result: Err(error), connection: None, replaced: Vec::new() }
    }
}

/// Request of which at least the last byte was not written, and its connection, if there is one.
struct UnsentRequest {
    /// Error, or the start of an early response which says that the message is over.
    result: Result<Response, AttemptError>,
    connection: Option<UsedConnection>,
}

impl UnsentRequest {
    fn on(connection: HttpConnection, state: ConnectionState, error: AttemptError) -> Self {
        Self { result: Err(error), connection: Some(UsedConnection { connection, state }) }
    }
}

impl From<AttemptError> for UnsentRequest {
    fn from(error: AttemptError) -> Self {
        Self { result: Err(error), connection: None }
    }
}

/// Error of a call without a final status, and the state of its connection.
struct FailedCall {
    error: AttemptError,
    state: ConnectionState,
}

impl FailedCall {
    fn broken(error: &ConnectionError) -> Self {
        Self { error: AttemptError::ConnectionReset, state: error.into() }
    }

    fn timed_out() -> Self {
        Self { error: AttemptError::TimedOut, state: ConnectionState::Closed }
    }
}

/// Time at which an attempt times out.
struct Deadline {
    started: Instant,
    /// Time from `started` to the timeout.
    after: Duration,
}

impl Deadline {
    fn after(timeout: Duration) -> Self {
        Self { started: Instant::now(), after: timeout }
    }

    fn time_left(&self) -> Duration {
        self.after.saturating_sub(self.started.elapsed())
    }

    /// Returns `true` if what was read last on a connection, and is handled now, came in time.
    fn is_met_by(&self, connection: &HttpConnection) -> bool {
        let arrived = connection.arrived().and_then(|arrived| arrived.checked_duration_since(self.started));
        is_response_in_time(self.started.elapsed(), arrived, self.after)
    }

    /// Returns the time limit for a part of a response, which endpoints write in one piece.
    fn response_timeout(&self) -> Duration {
        RESPONSE_REST_TIMEOUT.min(self.time_left())
    }

    /// Returns the time left, rounded down to the milliseconds in which a request states it to its endpoint.
    fn whole_milliseconds_left(&self) -> Duration {
        Duration::from_millis(self.time_left().as_millis() as u64)
    }

    /// Shortens the time left to `time_left`, the value that the request states. Prevents an endpoint from working on a
    /// request for longer than the attempt waits if the connection was established late.
    fn shorten_to(&mut self, time_left: Duration) {
        self.after = self.started.elapsed() + time_left;
    }
}

impl<R, C> Attempt<R, C>
where
    R: Fn(Duration) -> Vec<u8>,
    C: AttemptControl,
{
    /// Makes the attempt: on the pooled connection if that is still open once it is at rest, otherwise on a new one.
    ///
    /// A response whose status line arrives after the deadline that the request stated counts as no response, since the
    /// endpoint may have stopped processing the request by then. This guards against responses that arrive after the
    /// deadline but before the timer fires, which has millisecond resolution, and against responses that begin in time
    /// but do not end. One that is read late counts as late unless its arrival is known, so that a process that was held up
    /// does not send a delivered message again.
    pub async fn run(mut self) -> AttemptEnd {
        let wait_started = Instant::now();
        let mut replaced = Vec::new();
        let pooled = match self.pooled.take() {
            Some((connection, wait)) => connection_at_rest(connection, wait, &mut replaced).await,
            None => None,
        };
        let mut deadline = Deadline::after(self.timeout.saturating_sub(wait_started.elapsed()));
        let mut connection = match self.send(pooled, &mut deadline, &mut replaced).await {
            Ok(connection) => connection,
            Err(UnsentRequest { result, connection }) => {
                return AttemptEnd { result, connection, replaced };
            }
        };
        let (result, state) = match read_response(&mut connection, &deadline, &self.control).await {
            Ok((response, state)) => (Ok(response), state),
            Err(FailedCall { error, state }) if connection.has_received_status(STATUS_OVER) => {
                tracing::info!(%error, "status 410 in a response that is cut off, malformed or late");
                (Ok(start_of_over_response(&connection, &deadline)), state)
            }
            Err(FailedCall { error, state }) => (Err(error), state),
        };
        AttemptEnd { result, connection: Some(UsedConnection { connection, state }), replaced }
    }

    /// Sends the request. A connection that breaks before the last byte is written is added to `replaced` and replaced,
    /// since the message cannot have been executed by then.
    async fn send(
        &self,
        mut pooled: Option<HttpConnection>,
        deadline: &mut Deadline,
        replaced: &mut Vec<UsedConnection>,
    ) -> Result<HttpConnection, UnsentRequest> {
        let mut reconnects = 0;
        loop {
            let mut connection = match pooled.take() {
                Some(connection) => connection,
                None => self.connect(deadline).await?,
            };
            let may_send = !deadline.whole_milliseconds_left().is_zero() && self.control.may_send_request();
            // After the call above, which writes the log: the time that it takes must not move the deadline.
            let stated_time_left = deadline.whole_milliseconds_left();
            if stated_time_left.is_zero() || !may_send {
                return Err(UnsentRequest::on(connection, ConnectionState::Reusable, AttemptError::NotSent));
            }
            deadline.shorten_to(stated_time_left);
            let request = (self.request)(stated_time_left);
            let may_complete = || self.control.may_complete_request();
            let written = connection.write_request(&request, may_complete);
            let error = match timeout(deadline.time_left(), written).await {
                Ok(Ok(true)) => return Ok(connection),
                Ok(Ok(false)) => {
                    return Err(UnsentRequest::on(
                        connection,
                        ConnectionState::Closed,
                        AttemptError::NotSent,
                    ));
                }
                Ok(Err(error)) => error,
                Err(_) => {
                    let error = AttemptError::ConnectFailed;
                    return Err(UnsentRequest::on(connection, ConnectionState::Closed, error));
                }
            };
            // Only the response to this call can have come on a new connection.
            if !connection.ledger.is_used() && connection.has_received_status(STATUS_OVER) {
                let result = Ok(start_of_over_response(&connection, deadline));
                let state = ConnectionState::Malformed;
                return Err(UnsentRequest { result, connection: Some(UsedConnection { connection, state }) });
            }
            let state = match error {
                ConnectionError::Malformed => ConnectionState::Surplus,
                _ if connection.unexpected_input() == UnexpectedInput::Bytes => ConnectionState::Surplus,
                _ => ConnectionState::Closed,
            };
            replaced.push(UsedConnection { connection, state });
            reconnects += 1;
            if reconnects > MAX_RECONNECTS {
                return Err(AttemptError::ConnectFailed.into());
            }
        }
    }

    async fn connect(&self, deadline: &Deadline) -> Result<HttpConnection, AttemptError> {
        let connect_timeout = self.connect_timeout.min(deadline.time_left());
        match timeout(connect_timeout, HttpConnection::open(self.address)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => Err(AttemptError::from_connect_error(&error)),
            Err(_) => Err(AttemptError::ConnectFailed),
        }
    }
}

/// Returns a response with status 410 of which nothing more is known.
fn start_of_over_response(connection: &HttpConnection, deadline: &Deadline) -> Response {
    Response::with_status(STATUS_OVER, deadline.started.elapsed(), !connection.ledger.is_used())
}

/// Reads the response, and returns it with the state of the connection after it.
async fn read_response(
    connection: &mut HttpConnection,
    deadline: &Deadline,
    control: &impl AttemptControl,
) -> Result<(Response, ConnectionState), FailedCall> {
    let status = read_status(connection, deadline, control).await?;
    let on_new_connection = !connection.ledger.is_used();
    let mut response = Response::with_status(status, deadline.started.elapsed(), on_new_connection);
    let rest = response.read_rest(connection);
    let state = timeout(deadline.response_timeout(), rest).await.unwrap_or(ConnectionState::Malformed);
    Ok((response, state))
}

/// Waits until a pooled connection is at rest, and returns it. If it ends or receives anything before that, it is added to
/// `replaced`.
async fn connection_at_rest(
    mut connection: HttpConnection,
    wait: Duration,
    replaced: &mut Vec<UsedConnection>,
) -> Option<HttpConnection> {
    if wait.is_zero() {
        return Some(connection);
    }
    let _ = timeout(wait, connection.input()).await;
    let input = connection.unexpected_input();
    if input == UnexpectedInput::None {
        return Some(connection);
    }
    replaced.push(UsedConnection { connection, state: input.into() });
    None
}

/// Reads the status of the final response. Interim responses are skipped, up to their maximum length together; they may
/// arrive long before it.
async fn read_status(
    connection: &mut HttpConnection,
    deadline: &Deadline,
    control: &impl AttemptControl,
) -> Result<u16, FailedCall> {
    let mut interim = InterimResponses::default();
    loop {
        match timeout(deadline.time_left(), connection.response_started()).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return Err(FailedCall::broken(&error)),
            Err(_) if connection.read_now() && deadline.is_met_by(connection) => {}
            Err(_) => return Err(FailedCall::timed_out()),
        }
        let status = connection.status(STATUS_OVER, || control.message_may_be_over());
        let status = timeout(deadline.response_timeout(), status).await;
        match status {
            _ if !deadline.is_met_by(connection) => return Err(FailedCall::timed_out()),
            Ok(Ok(100..200)) => {}
            Ok(Ok(status)) => return Ok(status),
            Ok(Err(error)) => return Err(FailedCall::broken(&error)),
            Err(_) => return Err(FailedCall::broken(&ConnectionError::Malformed)),
        }
        match timeout(deadline.response_timeout(), connection.any_head(&mut interim)).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return Err(FailedCall::broken(&error)),
            Err(_) => return Err(FailedCall::broken(&ConnectionError::Malformed)),
        }
    }
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
