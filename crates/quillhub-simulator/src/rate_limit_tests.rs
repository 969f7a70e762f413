//! How a rate limit counts calls and what it tells of its next one.

use super::*;

fn taken(limit: &mut RateLimit, from_ms: u64, to_ms: u64) -> usize {
    (from_ms..to_ms).filter(|at| limit.take(Duration::from_millis(*at)).is_ok()).count()
}

#[test]
fn a_span_takes_its_count_and_tells_its_end() {
    let of = RateLimitSpec {
        per_s: 5.0,
        window: Some(Duration::from_secs(2)),
        retry_after_share: 1.0,
        counts_rejected: false,
    };
    let mut limit = RateLimit::new(of);
    assert_eq!(taken(&mut limit, 0, 1_999), 10);
    assert_eq!(limit.take(Duration::from_millis(1_900)), Err(Duration::from_millis(100)));
    assert_eq!(
        limit.load_report(Duration::from_millis(1_900), Duration::ZERO),
        LoadReport { remaining_share: 0.0, rate_limit: 5.0 }
    );
    assert_eq!(limit.take(Duration::from_secs(2)), Ok(()));
}

#[test]
fn where_refused_calls_count_a_limit_that_is_overrun_lets_nothing_in() {
    let of = RateLimitSpec { per_s: 4.0, window: None, retry_after_share: 0.0, counts_rejected: true };
    let mut limit = RateLimit::new(of);
    let mut let_in = |per_s: u64, from: u64| {
        let at = (0..per_s * 10).map(|nth| Duration::from_millis(from + nth * 1_000 / per_s));
        at.filter(|at| limit.take(*at).is_ok()).count()
    };
    assert!(let_in(10, 0) < 8);
    assert_eq!(let_in(10, 10_000), 0);
    assert!(let_in(3, 20_000) > 10);
}

#[test]
fn a_rate_saves_up_one_second_and_tells_when_the_next_fits() {
    let mut limit = RateLimit::new(RateLimitSpec {
        per_s: 4.0,
        window: None,
        retry_after_share: 1.0,
        counts_rejected: false,
    });
    assert_eq!(taken(&mut limit, 0, 1_000), 7); // four saved up, three earned before the second is over
    let wait = limit.take(Duration::from_millis(1_000)).and(limit.take(Duration::from_millis(1_000)));
    let wait = wait.unwrap_err();
    assert!(limit.take(Duration::from_millis(1_000) + wait).is_ok());
}
