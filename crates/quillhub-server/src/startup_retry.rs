//! Repetition of operations at startup that fail for a moment, for example while the system lacks file descriptors.

use rustix::io::Errno;
use std::io;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time for which an operation is repeated before the instance refuses to start.
const RETRY_TIME: Duration = Duration::from_secs(5);
/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Calls `operation` until it succeeds or fails for a reason that does not pass by itself, for at most [`RETRY_TIME`].
///
/// # Errors
///
/// Returns the last error.
pub async fn retry_while_temporary<T>(mut operation: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
    let last_try = Instant::now() + RETRY_TIME;
    loop {
        match operation().await {
            Err(error) if is_temporary(&error) && Instant::now() < last_try => {
                tracing::warn!(%error, "an operation at startup failed and is repeated");
                sleep(RETRY_PAUSE).await;
            }
            result => return result,
        }
    }
}

/// Returns `true` if a lack of resources or a failure of the disk caused the error, which may pass by itself.
fn is_temporary(error: &io::Error) -> bool {
    const TEMPORARY: [Errno; 7] =
        [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::INTR, Errno::NOSPC, Errno::IO];
    Errno::from_io_error(error).is_some_and(|errno| TEMPORARY.contains(&errno))
}

#[cfg(test)]
#[path = "startup_retry_tests.rs"]
mod tests;
