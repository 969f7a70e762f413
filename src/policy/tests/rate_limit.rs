use super::*;
use crate::policy::test_support::*;
use crate::{EndpointUpdate, ListedRateAccuracy, RetrySafety};

impl RouteLimit {
    pub(crate) fn paused_until(&self) -> Duration {
        self.paused_until
    }
}

impl TokenBucket {
    /// One that is full, for a known limit.
    pub(crate) fn with_limit(limit: f64) -> Self {
        Self::new(RateEstimate { limit: Some(limit), safe_rate: None }, Duration::ZERO)
    }

    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// A rejection of a call by an instance that sends at `sent` calls a second.
    pub(crate) fn cut_by_rejection(&mut self, sent: f64, instances: u32) {
        self.cut(sent, instances);
    }

    /// What it allows, in calls a second, and the least that rejections leave of `limit` to one of `instances`.
    pub(crate) fn rate_and_least(&self, limit: f64, instances: u32) -> (f64, f64) {
        (self.rate().unwrap(), LEAST_PART * limit / f64::from(instances))
    }
}

#[test]
fn a_token_bucket_saves_a_short_burst() {
    let mut bucket = TokenBucket { tokens: 0.0, ..TokenBucket::with_limit(10.0) };
    bucket.refill(ms(50));
    assert!(bucket.tokens < 1.0);
    bucket.refill(ms(60_000));
    assert!(bucket.tokens >= 1.0 && bucket.tokens <= 10.0 * BURST.as_secs_f64());
}

#[test]
fn a_retry_after_holds_for_the_whole_destination() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    assert_eq!(submit(&mut dispatcher, 1, None), ["attempt 1 a"]);
    dispatcher.attempt_ended(ended(1, 0, rejected_for(ms(900))));
    assert!(submit(&mut dispatcher, 2, None).is_empty());
    dispatcher.advance_to(ms(900));
    assert!(actions(&mut dispatcher).is_empty());
    dispatcher.advance_to(ms(9_400)); // at the rate that the rejection left
    assert!(!actions(&mut dispatcher).is_empty());
}

#[test]
fn an_approximate_rate_is_taken_for_too_low_by_the_bucket_and_for_too_high_by_the_slow_start() {
    let cases = [
        (ListedRateAccuracy::Exact, Some(6.0)),
        (ListedRateAccuracy::Approximate, Some(4.0)),
        (ListedRateAccuracy::Absent, None),
    ];
    for (listed, safe_rate) in cases {
        let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
        dispatcher.set_discovery(false, listed);
        let update =
            |rate| EndpointUpdate { destination: 8, listed_rate: Some(rate), ..endpoint_of("c", "x") };
        let estimate = |dispatcher: &crate::Dispatcher| {
            dispatcher.state.destinations[&8].routes[""].limit.bucket.estimate
        };
        dispatcher.endpoint_updated(update(6.0));
        let first = estimate(&dispatcher);
        assert_eq!((first.safe_rate, first.limit), (safe_rate, safe_rate.map(|_| 9.0)));
        dispatcher.endpoint_updated(update(2.0));
        assert_eq!(estimate(&dispatcher).limit, safe_rate.map(|_| 3.0), "a later list holds");
    }
}

/// A dozen calls that were in flight together were rejected, and their destination got nothing for four seconds.
#[test]
fn rejections_of_attempts_that_were_in_flight_together_make_one_pause() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.advance_to(ms(100));
    (0..12).for_each(|at| judge(&mut dispatcher, &attempt_at("a", ms(at)), rejected()));
    let limit = &route(&dispatcher).limit;
    assert!(limit.paused_until <= ms(100) + BASE && limit.rejections == 12);
    judge(&mut dispatcher, &attempt_at("a", ms(100)), rejected());
    assert_eq!(route(&dispatcher).limit.pauses, 2);
}
