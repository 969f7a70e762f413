//! Endpoint of a run: answers each call after a random time, and records what it received and wrote.
//!
//! Invariant: the endpoint writes one response for each call. Surplus responses come from the proxy in front of it, but the
//! endpoint itself writes the surplus of malformed rejections.

use super::plan::{Plan, SpoiltRejectionPlan};
use super::record::{Call, Copy};
use super::run::SharedRun;
use crate::http::{Request, parse_request};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::io;
use std::ops::RangeInclusive;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

/// Lengths of the announced body of a malformed rejection, so that its end falls on any place in the reads of an instance.
const SPOILT_BODY_BYTES: RangeInclusive<usize> = 0..=2_100;
/// Maximum delay of a surplus that follows closely.
const CLOSE_DELAY: Duration = Duration::from_millis(10);
/// Reserve before the deadline of a call, up to which a surplus is written.
const DEADLINE_RESERVE: Duration = Duration::from_millis(10);
/// What may follow the announced end of a malformed rejection.
const SURPLUS: [&[u8]; 5] = [
    b" and more",
    b"H",
    b"HTTP/1.1 503 -\r\nConte",
    b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 \0",
];

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
            last_response = Some(call.answer(&run, &plan, &mut stream, &mut unparsed).await?);
        }
        if stream.read_buf(&mut unparsed).await? == 0 {
            return Ok(());
        }
    }
}

/// Where a call arrived.
struct Place {
    endpoint: usize,
    connection: u64,
}

/// Response of an endpoint to one call.
struct PlannedResponse {
    status: u16,
    body: Vec<u8>,
    /// Bytes that follow the announced end of the response, and the delay after which they do.
    surplus: Option<(&'static [u8], Duration)>,
}

impl PlannedResponse {
    fn draw(plan: &Plan, rng: &mut Pcg64Mcg) -> Self {
        let draw = rng.random::<f64>();
        let status = match draw {
            _ if draw < plan.rejected_share => 503,
            _ if draw < plan.rejected_share + plan.failed_share => 500,
            _ => 200,
        };
        let whole = Self { status, body: b"ok".to_vec(), surplus: None };
        match &plan.spoilt_rejections {
            Some(spoilt) if rng.random::<f64>() < spoilt.share => Self::draw_spoilt(spoilt, rng),
            _ => whole,
        }
    }

    fn draw_spoilt(plan: &SpoiltRejectionPlan, rng: &mut Pcg64Mcg) -> Self {
        let max_delay = [Duration::ZERO, CLOSE_DELAY, plan.max_delay][rng.random_range(0..3)];
        let delay = max_delay.mul_f64(rng.random());
        let surplus = SURPLUS[rng.random_range(0..SURPLUS.len())];
        let body = vec![b'x'; rng.random_range(SPOILT_BODY_BYTES)];
        Self { status: 503, body, surplus: Some((surplus, delay)) }
    }

    fn encode(&self) -> Vec<u8> {
        let Self { status, body, .. } = self;
        let head = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n", body.len());
        [head.as_bytes(), body].concat()
    }
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
        calls.push(Call {
            message,
            endpoint,
            connection,
            arrived,
            answered: None,
            closed: None,
            spoilt: false,
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
    ) -> io::Result<LastResponse> {
        let (response, service_time) = {
            let rng = &mut run.borrow_mut().rng;
            let response = PlannedResponse::draw(plan, rng);
            (response, rng.random_range(plan.service_time.clone()))
        };
        let is_executed = response.surplus.is_some();
        run.borrow_mut().record.calls[self.index].spoilt = is_executed;
        if let Err(error) = read_until(Instant::now() + service_time, stream, unparsed).await {
            run.borrow_mut().record.calls[self.index].closed = Some(Instant::now());
            return Err(error);
        }
        let mut bytes = response.encode();
        let delayed = response.surplus.filter(|(_, delay)| !delay.is_zero());
        if let (Some((surplus, _)), None) = (response.surplus, delayed) {
            bytes.extend_from_slice(surplus);
        }
        stream.write_all(&bytes).await?;
        run.borrow_mut().record.calls[self.index].answered = Some((Instant::now(), response.status));
        if let Some((surplus, delay)) = delayed {
            let latest = self.deadline.map(|deadline| deadline - DEADLINE_RESERVE);
            let at = Instant::now() + delay;
            read_until(latest.map_or(at, |latest| at.min(latest)), stream, unparsed).await?;
            stream.write_all(surplus).await?;
        }
        Ok(LastResponse { call: self.index, bytes: response.encode() })
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
