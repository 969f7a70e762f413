//! Endpoint of a run: answers each call after a random time, and records what it received and wrote.
//!
//! Invariant: the endpoint writes one response for each call. Surplus responses come from the proxy in front of it, but the
//! endpoint itself writes the surplus of malformed responses.

use super::plan::Plan;
use super::record::{Call, Copy};
use super::response::{Ending, PlannedResponse, is_over};
use super::state::SharedRun;
use crate::http::{Request, parse_request};
use rand::RngExt;
use socket2::SockRef;
use std::collections::VecDeque;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Reserve before the deadline of a call, up to which a surplus is written.
const DEADLINE_RESERVE: Duration = Duration::from_millis(10);
/// Time for which a connection may rest if the plan does not limit it; longer than any run.
const UNLIMITED_REST: Duration = Duration::from_secs(3_600);
/// Request with the time of its last byte.
struct ReceivedRequest {
    request: Request,
    arrived: Instant,
}

/// Endpoint's side of a connection, with the requests that were received on it and not taken up.
struct Connection {
    stream: TcpStream,
    unparsed: Vec<u8>,
    received: VecDeque<ReceivedRequest>,
}

impl Connection {
    fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { stream, unparsed: Vec::new(), received: VecDeque::new() })
    }

    /// Reads once; returns `false` at the end of the stream.
    async fn read(&mut self) -> io::Result<bool> {
        if self.stream.read_buf(&mut self.unparsed).await? == 0 {
            return Ok(false);
        }
        let arrived = Instant::now();
        while let Some((request, used)) = parse_request(&self.unparsed)? {
            self.unparsed.drain(..used);
            self.received.push_back(ReceivedRequest { request, arrived });
        }
        Ok(true)
    }

    /// Reads what arrives until `at`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is closed before that.
    async fn read_until(&mut self, at: Instant) -> io::Result<()> {
        let done = sleep_until(at);
        tokio::pin!(done);
        loop {
            tokio::select! {
                () = &mut done => return Ok(()),
                read = self.read() => {
                    if !matches!(read, Ok(true)) {
                        return Err(io::ErrorKind::ConnectionReset.into());
                    }
                }
            }
        }
    }

    /// Reads what arrives until `at`, or until a request waits. Returns `true` if none does.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is closed before that.
    async fn rests_until(&mut self, at: Instant) -> io::Result<bool> {
        while self.received.is_empty() {
            match timeout_at(at, self.read()).await {
                Err(_) => return Ok(true),
                Ok(Ok(true)) => {}
                Ok(_) => return Err(io::ErrorKind::ConnectionReset.into()),
            }
        }
        Ok(false)
    }
}

/// Serves one connection until it is closed.
pub(super) async fn serve(run: SharedRun, plan: Plan, endpoint: usize, stream: TcpStream) -> io::Result<()> {
    let place = Place { endpoint, connection: run.borrow_mut().next_connection() };
    let mut connection = Connection::new(stream)?;
    let served = serve_calls(&run, &plan, &place, &mut connection).await;
    run.borrow_mut().record.close_connection(place.connection, Instant::now());
    served
}

async fn serve_calls(
    run: &SharedRun,
    plan: &Plan,
    place: &Place,
    connection: &mut Connection,
) -> io::Result<()> {
    let hang = plan.hangs.as_ref().and_then(|hangs| hangs.time_of(place.endpoint));
    let mut last_response = None;
    loop {
        while let Some(request) = connection.received.pop_front() {
            let call = ReceivedCall::new(run, place, &request);
            let elapsed = run.borrow().record.started.elapsed();
            let hung_until = run.borrow().hung_until.get(&place.endpoint).copied();
            if hang.as_ref().is_some_and(|hang| hang.contains(&elapsed))
                || hung_until.is_some_and(|until| Instant::now() < until)
            {
                return call.hang(run, plan, connection, last_response).await;
            }
            if call.is_silent(run, plan) {
                continue;
            }
            let (response, ending) = call.answer(run, plan, connection).await?;
            let is_first = !run.borrow().hung_until.contains_key(&place.endpoint);
            if let Some(clumps) = plan.clumps_at(place.endpoint).filter(|_| is_first) {
                let delay = run.borrow_mut().rng.random_range(clumps.copy_delay.clone());
                run.borrow_mut().hung_until.insert(place.endpoint, Instant::now() + clumps.hang_time);
                if connection.rests_until(Instant::now() + delay).await? {
                    connection.stream.write_all(&response.bytes).await?;
                    call.record_copy(run, &response);
                }
            }
            last_response = Some(response);
            let (delay, is_reset) = match ending {
                Ending::StaysOpen => continue,
                Ending::ClosedAfter(delay) => (delay, false),
                Ending::ResetAfter(delay) => (delay, true),
            };
            connection.read_until(Instant::now() + delay).await?;
            for request in connection.received.drain(..) {
                ReceivedCall::new(run, place, &request);
            }
            return if is_reset {
                SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO))
            } else {
                Ok(())
            };
        }
        let Ok(read) = timeout_at(rest_end(run, plan), connection.read()).await else {
            return Ok(());
        };
        if !read? {
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
    fn new(run: &SharedRun, place: &Place, received: &ReceivedRequest) -> Self {
        let Place { endpoint, connection } = *place;
        let ReceivedRequest { request, arrived } = received;
        let (arrived, message) = (*arrived, request.id.clone().unwrap_or_default());
        let deadline = request.time_left.map(|left| arrived + left);
        let calls = &mut run.borrow_mut().record.calls;
        let is_first = !calls.iter().rev().any(|call| call.connection == connection);
        calls.push(Call {
            message,
            endpoint,
            connection,
            arrived,
            deadline,
            answered: None,
            closed: None,
            spoilt: false,
            is_first,
        });
        Self { index: calls.len() - 1, deadline }
    }

    /// Returns `true` if the endpoint writes no response: the call has little time left and is dropped, or it is executed
    /// and its response is lost.
    fn is_silent(&self, run: &SharedRun, plan: &Plan) -> bool {
        let Some(silences) = &plan.silences else { return false };
        let has_little_time =
            self.deadline.is_some_and(|deadline| deadline < Instant::now() + silences.dropped_below);
        if has_little_time {
            // The call is never executed, so that it is not out any more.
            run.borrow_mut().record.calls[self.index].closed = Some(Instant::now());
        }
        has_little_time || run.borrow_mut().rng.random::<f64>() < silences.lost_share
    }

    /// Returns the time until just before the deadline of the call, if it is answered only then.
    fn just_in_time(&self, run: &SharedRun, plan: &Plan) -> Option<Duration> {
        if plan.just_in_time_share == 0.0 || run.borrow_mut().rng.random::<f64>() >= plan.just_in_time_share {
            return None;
        }
        // The request and the response are on their way for a time that the stated deadline does not contain.
        let reserve = DEADLINE_RESERVE + 2 * plan.path_time.end;
        self.deadline.map(|deadline| (deadline - reserve).saturating_duration_since(Instant::now()))
    }

    /// Executes the call, and writes the response unless the connection is closed before that. Surplus is written only while
    /// no other call waits on the connection.
    async fn answer(
        &self,
        run: &SharedRun,
        plan: &Plan,
        connection: &mut Connection,
    ) -> io::Result<(LastResponse, Ending)> {
        let (response, service_time) = {
            let rng = &mut run.borrow_mut().rng;
            let response = PlannedResponse::draw(plan, rng);
            (response, rng.random_range(plan.service_time.clone()))
        };
        let service_time = if response.is_immediate { Duration::ZERO } else { service_time };
        let service_time = self.just_in_time(run, plan).unwrap_or(service_time);
        run.borrow_mut().record.calls[self.index].spoilt = response.is_spoilt;
        connection.read_until(Instant::now() + service_time).await?;
        let latest = self.deadline.map(|deadline| deadline - DEADLINE_RESERVE);
        for (number, piece) in response.pieces.iter().enumerate() {
            if !piece.delay.is_zero() {
                let at = Instant::now() + piece.delay;
                let at = latest.map_or(at, |latest| at.min(latest));
                if !piece.is_surplus {
                    connection.read_until(at).await?;
                } else if !connection.rests_until(at).await? {
                    // What was written is a whole response.
                    run.borrow_mut().record.calls[self.index].spoilt = false;
                    break;
                }
            }
            connection.stream.write_all(&piece.bytes).await?;
            if number == response.status_piece {
                run.borrow_mut().record.calls[self.index].answered = Some((Instant::now(), response.status));
            }
        }
        if response.is_endless {
            loop {
                connection.stream.write_all(&response.pieces[0].bytes).await?;
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
        connection: &mut Connection,
        last_response: Option<LastResponse>,
    ) -> io::Result<()> {
        let copy = plan.hangs.as_ref().zip(last_response).and_then(|(hangs, last)| {
            let rng = &mut run.borrow_mut().rng;
            let delay = hangs.max_copy_delay.mul_f64(rng.random());
            (rng.random::<f64>() < hangs.copied_share).then_some((last, delay))
        });
        if let Some((last, delay)) = copy {
            connection.read_until(Instant::now() + delay).await?;
            connection.stream.write_all(&last.bytes).await?;
            self.record_copy(run, &last);
        }
        while connection.read().await? {}
        Ok(())
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
