//! Endpoint of a run: answers each call after a random time, and records what it received and wrote.
//!
//! Invariant: the endpoint writes one response for each call. Surplus responses come from the proxy in front of it, but the
//! endpoint itself writes the surplus of malformed responses.

use super::plan::Plan;
use super::record::{Call, Copy};
use super::response::{Ending, PlannedResponse, is_over};
use super::run::SharedRun;
use crate::http::{Request, parse_request};
use rand::RngExt;
use socket2::SockRef;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Reserve before the deadline of a call, up to which a surplus is written.
const DEADLINE_RESERVE: Duration = Duration::from_millis(10);
/// Time for which a connection may rest if the plan does not limit it; longer than any run.
const UNLIMITED_REST: Duration = Duration::from_secs(3_600);
/// Serves one connection until it is closed.
pub(super) async fn serve(
    run: SharedRun,
    plan: Plan,
    endpoint: usize,
    mut stream: TcpStream,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let connection = run.borrow_mut().next_connection();
    let hang = plan.hangs.as_ref().and_then(|hangs| hangs.time_of(endpoint));
    let (mut unparsed, mut last_response) = (Vec::new(), None);
    loop {
        while let Some((request, used)) = parse_request(&unparsed)? {
            unparsed.drain(..used);
            let call = ReceivedCall::new(&run, Place { endpoint, connection }, request);
            let elapsed = run.borrow().record.started.elapsed();
            if hang.as_ref().is_some_and(|hang| hang.contains(&elapsed)) {
                return call.hang(&run, &plan, &mut stream, last_response).await;
            }
            let (response, ending) = call.answer(&run, &plan, &mut stream, &mut unparsed).await?;
            last_response = Some(response);
            let (delay, is_reset) = match ending {
                Ending::StaysOpen => continue,
                Ending::ClosedAfter(delay) => (delay, false),
                Ending::ResetAfter(delay) => (delay, true),
            };
            read_until(Instant::now() + delay, &mut stream, &mut unparsed).await?;
            record_unanswered(&run, endpoint, connection, &mut unparsed)?;
            return if is_reset { SockRef::from(&stream).set_linger(Some(Duration::ZERO)) } else { Ok(()) };
        }
        let Ok(read) = timeout_at(rest_end(&run, &plan), stream.read_buf(&mut unparsed)).await else {
            return Ok(());
        };
        if read? == 0 {
            return Ok(());
        }
    }
}

/// Returns the time at which the endpoint closes a connection that rests from now on.
fn rest_end(run: &SharedRun, plan: &Plan) -> Instant {
    let rest = match &plan.rest_before_close {
        Some(range) => run.borrow_mut().rng.random_range(range.clone()),
        None => UNLIMITED_REST,
    };
    Instant::now() + rest
}

/// Records the calls that arrived on a connection before it is closed, and that get no response.
fn record_unanswered(
    run: &SharedRun,
    endpoint: usize,
    connection: u64,
    unparsed: &mut Vec<u8>,
) -> io::Result<()> {
    while let Some((request, used)) = parse_request(unparsed)? {
        unparsed.drain(..used);
        let call = ReceivedCall::new(run, Place { endpoint, connection }, request);
        run.borrow_mut().record.calls[call.index].closed = Some(Instant::now());
    }
    Ok(())
}

/// Where a call arrived.
struct Place {
    endpoint: usize,
    connection: u64,
}

/// Call that was received completely.
struct ReceivedCall {
    /// Index among the calls in the record.
    index: usize,
    /// Time until which its client expects the response, if it stated one.
    deadline: Option<Instant>,
}

impl ReceivedCall {
    fn new(run: &SharedRun, place: Place, request: Request) -> Self {
        let Place { endpoint, connection } = place;
        let (arrived, message) = (Instant::now(), request.id.unwrap_or_default());
        let calls = &mut run.borrow_mut().record.calls;
        let is_first = !calls.iter().rev().any(|call| call.connection == connection);
        calls.push(Call {
            message,
            endpoint,
            connection,
            arrived,
            answered: None,
            closed: None,
            spoilt: false,
            is_first,
        });
        Self { index: calls.len() - 1, deadline: request.time_left.map(|left| arrived + left) }
    }

    /// Executes the call, and writes the response unless the connection is closed before that.
    async fn answer(
        &self,
        run: &SharedRun,
        plan: &Plan,
        stream: &mut TcpStream,
        unparsed: &mut Vec<u8>,
    ) -> io::Result<(LastResponse, Ending)> {
        let (response, service_time) = {
            let rng = &mut run.borrow_mut().rng;
            let response = PlannedResponse::draw(plan, rng);
            (response, rng.random_range(plan.service_time.clone()))
        };
        let service_time = if response.is_immediate { Duration::ZERO } else { service_time };
        run.borrow_mut().record.calls[self.index].spoilt = response.is_spoilt;
        if let Err(error) = read_until(Instant::now() + service_time, stream, unparsed).await {
            run.borrow_mut().record.calls[self.index].closed = Some(Instant::now());
            return Err(error);
        }
        let latest = self.deadline.map(|deadline| deadline - DEADLINE_RESERVE);
        for (number, piece) in response.pieces.iter().enumerate() {
            if !piece.delay.is_zero() {
                let at = Instant::now() + piece.delay;
                read_until(latest.map_or(at, |latest| at.min(latest)), stream, unparsed).await?;
            }
            if let Err(error) = stream.write_all(&piece.bytes).await {
                run.borrow_mut().record.calls[self.index].closed.get_or_insert(Instant::now());
                return Err(error);
            }
            if number == response.status_piece {
                run.borrow_mut().record.calls[self.index].answered = Some((Instant::now(), response.status));
            }
        }
        let bytes = response.first_piece();
        Ok((LastResponse { call: self.index, bytes }, response.ending))
    }

    /// Leaves the call without an answer until its connection is closed, after a copy of the response before it, if planned.
    async fn hang(
        &self,
        run: &SharedRun,
        plan: &Plan,
        stream: &mut TcpStream,
        last_response: Option<LastResponse>,
    ) -> io::Result<()> {
        let copy = plan.hangs.as_ref().zip(last_response).and_then(|(hangs, last)| {
            let rng = &mut run.borrow_mut().rng;
            let delay = hangs.max_copy_delay.mul_f64(rng.random());
            (rng.random::<f64>() < hangs.copied_share).then_some((last, delay))
        });
        let ended = async {
            let mut unparsed = Vec::new();
            if let Some((last, delay)) = copy {
                read_until(Instant::now() + delay, stream, &mut unparsed).await?;
                stream.write_all(&last.bytes).await?;
                self.record_copy(run, &last);
            }
            while !matches!(stream.read_buf(&mut unparsed).await, Ok(0) | Err(_)) {}
            Ok(())
        };
        let result = ended.await;
        run.borrow_mut().record.calls[self.index].closed = Some(Instant::now());
        result
    }

    fn record_copy(&self, run: &SharedRun, last: &LastResponse) {
        let record = &mut run.borrow_mut().record;
        let message_of = |call: usize| record.calls[call].message.clone();
        let copy = Copy {
            endpoint: record.calls[self.index].endpoint,
            of_message: message_of(last.call),
            before_message: message_of(self.index),
            at: Instant::now(),
            is_over: is_over(&last.bytes),
        };
        record.copies.push(copy);
    }
}

/// Last response on a connection.
struct LastResponse {
    /// Index of its call among the calls in the record.
    call: usize,
    bytes: Vec<u8>,
}

/// Reads what arrives until `at`.
///
/// # Errors
///
/// Returns an error if the connection is closed before that.
async fn read_until(at: Instant, stream: &mut TcpStream, unparsed: &mut Vec<u8>) -> io::Result<()> {
    let done = sleep_until(at);
    tokio::pin!(done);
    loop {
        tokio::select! {
            () = &mut done => return Ok(()),
            read = stream.read_buf(unparsed) => {
                if !matches!(read, Ok(1..)) {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
            }
        }
    }
}
