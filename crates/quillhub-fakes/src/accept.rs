//! The accept loop of every fake.

use std::future::Future;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Pause after a failure to accept, such as having no descriptor left for a while.
const PAUSE: Duration = Duration::from_millis(5);

/// Serves each connection in a local task of its own, without end.
pub async fn accept_each<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future + 'static,
    F::Output: 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve(stream));
            }
            Err(_) => sleep(PAUSE).await,
        }
    }
}
