//! One attempt to deliver a message: from a connection to its endpoint to the response, or to the lack of one.
//!
//! Invariant: what ends before the request's last octet is out has not executed the message, and only then an attempt
//! takes another connection. From the response's status line on, the status stands, whatever the rest is.

mod response;
mod verdict;

pub use response::Response;
pub use verdict::{CallError, Verdict};

use crate::connection::HttpConnection;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// How long the rest of a response may take once it has begun: it is written at once, and a quarter of a second
/// covers a packet that must be sent again. Against responses that never end, which would hold their attempt.
const RESPONSE_TIME: Duration = Duration::from_millis(250);
/// Connections that may break under one attempt before its last octet: a pooled one, and a new one by chance.
const MAX_RECONNECTS: u32 = 2;

/// What an attempt needs.
pub struct Attempt<R, B> {
    /// A pooled connection to the endpoint, if there is one.
    pub pooled: Option<HttpConnection>,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// Bounds the opening of a connection.
    pub connect_timeout: Duration,
    /// Bounds the whole attempt.
    pub timeout: Duration,
    /// Writes the request, by how long the attempt will still wait, in whole milliseconds.
    pub request: R,
    /// Asked last, before the first octet is sent: whether the request may still go.
    pub may_send_request: B,
}

/// How an attempt ended.
pub struct AttemptEnd {
    /// The response, or how far the request came without one.
    pub result: Result<Response, CallError>,
    /// The connection, if another attempt may use it.
    pub reusable: Option<HttpConnection>,
}

impl AttemptEnd {
    /// The end of an attempt that could not be made.
    pub fn not_sent() -> Self {
        Self::failed(CallError::NotSent)
    }

    /// The end of an attempt whose task panicked: the request may have been sent.
    pub fn connection_reset() -> Self {
        Self::failed(CallError::ConnectionReset)
    }

    fn failed(error: CallError) -> Self {
        Self { result: Err(error), reusable: None }
    }
}

/// A request that is out.
struct SentRequest {
    connection: HttpConnection,
    /// Whether the connection was opened for this attempt.
    on_new_connection: bool,
}

/// A request that is not out, and the connection if it is still good.
struct UnsentRequest {
    error: CallError,
    reusable: Option<HttpConnection>,
}

impl From<CallError> for UnsentRequest {
    fn from(error: CallError) -> Self {
        Self { error, reusable: None }
    }
}

/// When an attempt times out.
struct Deadline {
    started: Instant,
    after: Duration,
}

impl Deadline {
    fn after(timeout: Duration) -> Self {
        Self { started: Instant::now(), after: timeout }
    }

    fn left(&self) -> Duration {
        self.after.saturating_sub(self.started.elapsed())
    }

    /// How long a part of a response may take that is written at once.
    fn left_for_response(&self) -> Duration {
        RESPONSE_TIME.min(self.left())
    }

    /// What is left, as an endpoint can be told.
    fn whole_milliseconds_left(&self) -> Duration {
        Duration::from_millis(self.left().as_millis() as u64)
    }

    /// From now on there is only `left`, which the endpoint is told. Against an endpoint that works for longer than
    /// the attempt waits, as its connection came up late.
    fn shorten_to(&mut self, left: Duration) {
        self.after = self.started.elapsed() + left;
    }
}

impl<R, B> Attempt<R, B>
where
    R: Fn(Duration) -> Vec<u8>,
    B: Fn() -> bool,
{
    /// Makes the attempt: on the pooled connection if that still stands, otherwise on a new one.
    ///
    /// A response whose status line is read after the time that the endpoint was told is none: the endpoint may have
    /// given the request up by then. Against responses in the moment before the timer goes off, which counts whole
    /// milliseconds, and against ones that begin in time and go on. May time out an attempt that was answered while
    /// this process stood still.
    pub async fn run(mut self) -> AttemptEnd {
        let mut deadline = Deadline::after(self.timeout);
        let SentRequest { mut connection, on_new_connection } = match self.send(&mut deadline).await {
            Ok(sent) => sent,
            Err(UnsentRequest { error, reusable }) => return AttemptEnd { result: Err(error), reusable },
        };
        let status = match read_status(&mut connection, &deadline).await {
            Ok(status) => status,
            Err(error) => return AttemptEnd::failed(error),
        };
        let mut response = Response::with_status(status, deadline.started.elapsed(), on_new_connection);
        let rest = response.read_rest(&mut connection);
        let reusable = timeout(deadline.left_for_response(), rest).await.unwrap_or(false);
        AttemptEnd { result: Ok(response), reusable: reusable.then_some(connection) }
    }

    /// Sends the request. A connection that breaks before the last octet is out is replaced: nothing has been
    /// executed by then.
    async fn send(&mut self, deadline: &mut Deadline) -> Result<SentRequest, UnsentRequest> {
        let mut reconnects = 0;
        loop {
            let pooled = self.pooled.take();
            let on_new_connection = pooled.is_none();
            let mut connection = match pooled {
                Some(connection) => connection,
                None => self.connect(deadline).await?,
            };
            let announced = deadline.whole_milliseconds_left();
            if announced.is_zero() || !(self.may_send_request)() {
                return Err(UnsentRequest { error: CallError::NotSent, reusable: Some(connection) });
            }
            deadline.shorten_to(announced);
            match timeout(deadline.left(), connection.write_request(&(self.request)(announced))).await {
                Ok(Ok(())) => return Ok(SentRequest { connection, on_new_connection }),
                Ok(Err(_)) if reconnects < MAX_RECONNECTS => reconnects += 1,
                _ => return Err(CallError::ConnectFailed.into()),
            }
        }
    }

    async fn connect(&self, deadline: &Deadline) -> Result<HttpConnection, CallError> {
        let connect_timeout = self.connect_timeout.min(deadline.left());
        match timeout(connect_timeout, HttpConnection::open(self.address)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => Err(CallError::of_connect(&error)),
            Err(_) => Err(CallError::ConnectFailed),
        }
    }
}

/// Reads the status of the response that counts; interim responses may come long before it.
async fn read_status(connection: &mut HttpConnection, deadline: &Deadline) -> Result<u16, CallError> {
    loop {
        match timeout(deadline.left(), connection.response_begins()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Err(CallError::ConnectionReset),
            Err(_) => return Err(CallError::TimedOut),
        }
        match timeout(deadline.left_for_response(), connection.status()).await {
            _ if deadline.left().is_zero() => return Err(CallError::TimedOut),
            Ok(Ok(100..200)) => {}
            Ok(Ok(status)) => return Ok(status),
            _ => return Err(CallError::ConnectionReset),
        }
        let head = timeout(deadline.left_for_response(), connection.any_head()).await;
        if !matches!(head, Ok(Ok(_))) {
            return Err(CallError::ConnectionReset);
        }
    }
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
