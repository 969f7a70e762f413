//! Client connections: accepts them and serves each in a task of its own.
//!
//! Invariant: every connection that is served holds one permit of [`Admission`], which limits their number to the file
//! descriptors set aside for clients.

mod admission;
mod commands;
mod connection;
mod socket;

pub use admission::{Admission, Phase};

use crate::instance::Instance;
use connection::Connection;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Pause after a failure to accept, such as a lack of file descriptors; attempts that end in the meantime free some.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections until the phase is [`Phase::Closing`], including those in the listener's backlog at that time.
/// Each is served by a task of its own.
pub async fn accept(instance: Rc<RefCell<Instance>>, listener: Rc<TcpListener>, admission: Rc<Admission>) {
    let mut phase = admission.phase();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => return,
        };
        let (stream, from) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(%error, "cannot accept a client connection");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Some(permit) = admission.connection_permit().await else { return };
        spawn_local(serve_connection(instance.clone(), admission.clone(), stream, from, permit));
    }
}

/// Serves a connection until it ends, and releases its `permit` then.
async fn serve_connection(
    instance: Rc<RefCell<Instance>>,
    admission: Rc<Admission>,
    stream: TcpStream,
    from: SocketAddr,
    permit: OwnedSemaphorePermit,
) {
    let registration = admission.register();
    let served = serve_and_half_close(&instance, &admission, &registration, stream).await;
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
    mut stream: TcpStream,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let end = Connection::new(instance, admission, registration, &mut stream).serve().await?;
    registration.half_closed();
    connection::half_close(&mut stream, end, registration).await
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
