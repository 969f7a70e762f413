//! Client connections: accepts them and serves each in a task of its own.
//!
//! Invariant: every connection that is served, or waits for that, holds one permit of [`Admission`], which limits their number
//! to the file descriptors set aside for clients. Only the connection that was accepted last may hold none yet.

mod admission;
mod arrival;
mod commands;
mod connection;
mod socket;

pub use admission::{Admission, Phase};

use crate::instance::Instance;
use crate::stream_io::stamp_input;
use arrival::{ConnectionTimes, EmptySince};
use connection::Connection;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::{coop, spawn_local, yield_now};
use tokio::time::{Instant, sleep};

/// Pause after a failure to accept, such as a lack of file descriptors; attempts that end in the meantime free some.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections until the phase is [`Phase::Closing`], including those in the listener's backlog at that time.
/// Each is served by a task of its own.
pub async fn accept(instance: Rc<RefCell<Instance>>, listener: Rc<TcpListener>, admission: Rc<Admission>) {
    let mut phase = admission.phase();
    if let Err(error) = stamp_input(&*listener) {
        tracing::warn!(%error, "arrival times of commands are only estimated");
    }
    let empty_since = EmptySince::new(admission.event_loop(), Instant::now());
    loop {
        // Without the runtime's budget, which would end in a wait although connections are there.
        let accept = coop::unconstrained(listener.accept());
        let (accepted, has_waited) = tokio::select! {
            biased;
            accepted = socket::wait(accept) => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => return,
        };
        if has_waited {
            empty_since.waited();
        }
        let (stream, from) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(%error, "cannot accept a client connection");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (accepted, listener_empty) = (Instant::now(), empty_since.moment());
        let times = ConnectionTimes { listener_empty, accepted, permitted: accepted };
        let client = Client { stream, from, times };
        let Some(waiting) = admission.waiting_permit().await else { return };
        spawn_local(serve_when_permitted(instance.clone(), admission.clone(), client, waiting));
        yield_now().await;
    }
}

/// Connection of a client that was accepted.
struct Client {
    stream: TcpStream,
    from: SocketAddr,
    times: ConnectionTimes,
}

/// Waits for a permit, for which others are evicted if none is free, and serves a connection. Connections wait beside each
/// other: one whose command is already there need not wait for the evictions before it one by one.
async fn serve_when_permitted(
    instance: Rc<RefCell<Instance>>,
    admission: Rc<Admission>,
    mut client: Client,
    waiting: OwnedSemaphorePermit,
) {
    let Some(permit) = admission.connection_permit().await else { return };
    drop(waiting);
    client.times.permitted = Instant::now();
    serve_connection(instance, admission, client, permit).await;
}

/// Serves a connection until it ends, and releases its `permit` then.
async fn serve_connection(
    instance: Rc<RefCell<Instance>>,
    admission: Rc<Admission>,
    client: Client,
    permit: OwnedSemaphorePermit,
) {
    let from = client.from;
    let registration = admission.register();
    let served = serve_and_half_close(&instance, &admission, &registration, client).await;
    registration.remove();
    if let Err(error) = served {
        tracing::debug!(%from, %error, "client connection failed");
    }
    drop(permit);
}

async fn serve_and_half_close(
    instance: &RefCell<Instance>,
    admission: &Admission,
    registration: &admission::Registration,
    Client { mut stream, times, .. }: Client,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let end = Connection::new(instance, admission, registration, (&mut stream, times)).serve().await?;
    registration.half_closed();
    connection::half_close(&mut stream, end, registration).await
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
