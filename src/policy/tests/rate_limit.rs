use super::*;
use crate::policy::test_support::*;
use crate::{EndpointUpdate, ListedRateAccuracy, RetrySafety};

impl RouteLimit {
    pub(crate) fn paused_until(&self) -> Duration {
        self.paused_until
    }
}

impl TokenBucket {
    /// Creates a bucket with one token, for a known limit in calls per second.
    pub(crate) fn with_limit(limit: f64) -> Self {
        Self::new(RateEstimate { limit: Some(limit), safe_rate: None }, Duration::ZERO)
    }

    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Lowers the rate as a rejection does at an instance that sends `sent_per_s` calls per second.
    pub(crate) fn lower_rate_after_rejection(&mut self, sent_per_s: f64, instances: u32) {
        self.cut_rate(sent_per_s, instances);
    }

    /// Returns the rate in calls per second, and the minimum to which rejections can lower it at one of `instances`.
    pub(crate) fn rate_and_minimum(&self, limit: f64, instances: u32) -> (f64, f64) {
        (self.rate().unwrap(), MIN_RATE_SHARE * limit / f64::from(instances))
    }
}

/// Without a bound, an idle minute would accumulate tokens for a burst far above the limit.
#[test]
fn a_token_bucket_accumulates_a_short_burst_and_no_more() {
    let mut bucket = TokenBucket { tokens: 0.0, ..TokenBucket::with_limit(10.0) };
    bucket.refill(ms(50));
    assert!(bucket.tokens < 1.0);
    bucket.refill(ms(60_000));
    assert!(bucket.tokens >= 1.0 && bucket.tokens <= 10.0 * BURST_PERIOD.as_secs_f64());
}

/// A message that was not itself rejected must not be sent during the retry-after, which applies to the whole route.
#[test]
fn a_retry_after_pauses_all_calls_to_the_route() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    assert_eq!(submit(&mut dispatcher, 1, None), ["attempt 1 a"]);
    dispatcher.attempt_ended(ended(1, 0, rejected_with_retry_after(ms(900))));
    assert!(submit(&mut dispatcher, 2, None).is_empty());
    dispatcher.advance_to(ms(900));
    assert!(actions(&mut dispatcher).is_empty());
    dispatcher.advance_to(ms(9_400)); // long enough for a token at the lowered rate
    assert!(!actions(&mut dispatcher).is_empty());
}

/// Listed rates may be wrong: a bucket that trusts too low a rate wastes capacity, and slow start that trusts too high
/// an approximate rate overloads a recovering destination.
#[test]
fn a_listed_rate_is_raised_for_the_bucket_and_lowered_for_slow_start_if_approximate() {
    let cases = [
        (ListedRateAccuracy::Exact, Some(6.0)),
        (ListedRateAccuracy::Approximate, Some(4.0)),
        (ListedRateAccuracy::Absent, None),
    ];
    for (accuracy, safe_rate) in cases {
        let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
        dispatcher.set_discovery(false, accuracy);
        let update =
            |rate| EndpointUpdate { destination: 8, listed_rate: Some(rate), ..endpoint_of("c", "x") };
        let estimate = |dispatcher: &crate::Dispatcher| {
            dispatcher.state.destinations[&8].routes[""].limit.bucket.estimate
        };
        dispatcher.endpoint_updated(update(6.0));
        let first = estimate(&dispatcher);
        assert_eq!((first.safe_rate, first.limit), (safe_rate, safe_rate.map(|_| 9.0)));
        dispatcher.endpoint_updated(update(2.0));
        assert_eq!(estimate(&dispatcher).limit, safe_rate.map(|_| 3.0), "a later list replaces the rate");
    }
}

/// If each of a dozen rejected calls that were in flight together lengthened the pause, their destination would receive
/// no call for four seconds.
#[test]
fn rejected_attempts_that_were_in_flight_together_cause_one_pause() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.advance_to(ms(100));
    (0..12).for_each(|at| process_outcome(&mut dispatcher, &attempt_at("a", ms(at)), rejected()));
    let limit = &route(&dispatcher).limit;
    assert!(limit.paused_until <= ms(100) + BASE_DELAY && limit.rejections == 12);
    process_outcome(&mut dispatcher, &attempt_at("a", ms(100)), rejected());
    assert_eq!(route(&dispatcher).limit.pauses, 2);
}
