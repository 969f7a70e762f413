//! Counting of calls by a rate limit, and the retry-after and load reports that it returns.

use super::*;

/// Counts the calls that the limit accepts if one arrives each millisecond.
fn accepted_calls(limit: &mut RateLimit, from_ms: u64, to_ms: u64) -> usize {
    (from_ms..to_ms).filter(|at| limit.acquire(Duration::from_millis(*at)).is_ok()).count()
}

#[test]
fn a_fixed_window_allows_its_count_and_returns_the_time_until_its_end() {
    // Guards against a window that allows more calls than its count, or that reports a wrong time until the next
    // window.
    let spec = RateLimitSpec {
        per_s: 5.0,
        window: Some(Duration::from_secs(2)),
        retry_after_share: 1.0,
        counts_rejected: false,
    };
    let mut limit = RateLimit::new(spec);
    assert_eq!(accepted_calls(&mut limit, 0, 1_999), 10);
    assert_eq!(limit.acquire(Duration::from_millis(1_900)), Err(Duration::from_millis(100)));
    assert_eq!(
        limit.load_report(Duration::from_millis(1_900), Duration::ZERO),
        LoadReport { remaining_share: 0.0, rate_limit: 5.0 }
    );
    assert_eq!(limit.acquire(Duration::from_secs(2)), Ok(()));
}

#[test]
fn a_limit_that_counts_rejected_calls_allows_none_while_it_is_exceeded() {
    // Guards against rejected calls being free: callers that keep exceeding such a limit must not get any call through,
    // and must recover once they send less.
    let spec = RateLimitSpec { per_s: 4.0, window: None, retry_after_share: 0.0, counts_rejected: true };
    let mut limit = RateLimit::new(spec);
    let mut accepted_at_rate = |per_s: u64, from: u64| {
        let at = (0..per_s * 10).map(|nth| Duration::from_millis(from + nth * 1_000 / per_s));
        at.filter(|at| limit.acquire(*at).is_ok()).count()
    };
    assert!(accepted_at_rate(10, 0) < 8);
    assert_eq!(accepted_at_rate(10, 10_000), 0);
    assert!(accepted_at_rate(3, 20_000) > 10);
}

#[test]
fn a_token_bucket_has_a_burst_of_one_second_and_returns_the_time_until_the_next_token() {
    // Guards against a burst of the wrong size, and against a retry-after that is too short for the next call.
    let mut limit = RateLimit::new(RateLimitSpec {
        per_s: 4.0,
        window: None,
        retry_after_share: 1.0,
        counts_rejected: false,
    });
    assert_eq!(accepted_calls(&mut limit, 0, 1_000), 7); // a burst of four, and three refilled within the second
    let wait = limit.acquire(Duration::from_millis(1_000)).and(limit.acquire(Duration::from_millis(1_000)));
    let wait = wait.unwrap_err();
    assert!(limit.acquire(Duration::from_millis(1_000) + wait).is_ok());
}
