//! Accept loop shared by all fake servers.

use std::future::Future;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Accepts connections forever and serves each in a local task of its own.
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
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}
