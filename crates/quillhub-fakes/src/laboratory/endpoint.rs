//! Endpoint of a run: answers each call after a random time, and records what it received and wrote.
//!
//! Invariant: the endpoint writes one response for each call. Surplus responses come from the proxy in front of it.

use super::plan::Plan;
use super::record::Call;
use super::run::SharedRun;
use crate::http::parse_request;
use rand::RngExt;
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// Serves one connection until it is closed.
pub(super) async fn serve(
    run: SharedRun,
    plan: Plan,
    endpoint: usize,
    mut stream: TcpStream,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let connection = run.borrow_mut().next_connection();
    let mut unparsed = Vec::new();
    loop {
        while let Some((request, used)) = parse_request(&unparsed)? {
            unparsed.drain(..used);
            let message = request.id.unwrap_or_default();
            answer(&run, &plan, &mut stream, &mut unparsed, Place { endpoint, connection, message }).await?;
        }
        if stream.read_buf(&mut unparsed).await? == 0 {
            return Ok(());
        }
    }
}

/// Where a call arrived, and its message.
struct Place {
    endpoint: usize,
    connection: u64,
    message: String,
}

/// Records a call, executes it, and writes the response unless the connection is closed before that.
async fn answer(
    run: &SharedRun,
    plan: &Plan,
    stream: &mut TcpStream,
    unparsed: &mut Vec<u8>,
    place: Place,
) -> io::Result<()> {
    let Place { endpoint, connection, message } = place;
    let (status, service_time, call) = {
        let run = &mut *run.borrow_mut();
        let draw = run.rng.random::<f64>();
        let status = match draw {
            _ if draw < plan.rejected_share => 503,
            _ if draw < plan.rejected_share + plan.failed_share => 500,
            _ => 200,
        };
        let service_time = run.rng.random_range(plan.service_time.clone());
        let call = run.record.calls.len();
        run.record.calls.push(Call {
            message,
            endpoint,
            connection,
            arrived: Instant::now(),
            answered: None,
            closed: None,
        });
        (status, service_time, call)
    };
    let done = sleep(service_time);
    tokio::pin!(done);
    loop {
        tokio::select! {
            () = &mut done => break,
            read = stream.read_buf(unparsed) => {
                if !matches!(read, Ok(1..)) {
                    run.borrow_mut().record.calls[call].closed = Some(Instant::now());
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
            }
        }
    }
    stream.write_all(format!("HTTP/1.1 {status} -\r\nContent-Length: 2\r\n\r\nok").as_bytes()).await?;
    run.borrow_mut().record.calls[call].answered = Some((Instant::now(), status));
    Ok(())
}
