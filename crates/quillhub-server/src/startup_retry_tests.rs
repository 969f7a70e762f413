use super::*;
use std::cell::Cell;

/// Runs an operation that fails with `errno` the first `failures` times, and returns the result, the number of calls and
/// the time that passed.
async fn outcome(errno: Errno, failures: u32) -> (io::Result<()>, u32, Duration) {
    let (calls, started) = (Cell::new(0), Instant::now());
    let result = retry_while_temporary(async || {
        calls.set(calls.get() + 1);
        if calls.get() <= failures { Err(errno.into()) } else { Ok(()) }
    })
    .await;
    (result, calls.get(), started.elapsed())
}

/// Guards against an instance that refuses to start because a system call failed for a moment.
#[tokio::test(start_paused = true)]
async fn an_operation_that_fails_for_a_moment_is_repeated() {
    for errno in [Errno::NFILE, Errno::NOBUFS, Errno::NOSPC, Errno::IO] {
        let (result, calls, _) = outcome(errno, 3).await;
        assert!(result.is_ok());
        assert_eq!(calls, 4);
    }
}

#[tokio::test(start_paused = true)]
async fn an_operation_that_cannot_succeed_fails_at_once_and_any_other_after_the_retry_time() {
    for errno in [Errno::ADDRINUSE, Errno::ACCESS, Errno::NOENT] {
        let (result, calls, _) = outcome(errno, u32::MAX).await;
        assert_eq!(Errno::from_io_error(&result.unwrap_err()), Some(errno));
        assert_eq!(calls, 1);
    }
    let (result, _, elapsed) = outcome(Errno::NOSPC, u32::MAX).await;
    assert!(result.is_err());
    assert!(elapsed >= RETRY_TIME && elapsed <= RETRY_TIME + 2 * RETRY_PAUSE, "{elapsed:?}");
}
