//! Tests of the total load that many instances put on one destination or on discovery.

use super::discovery::tests::{max_poll_interval, reaches_max_interval};
use super::outlier::{EndpointHealth, FailureStreak, Health};
use super::rate_limit::{RateEstimate, TokenBucket};
use super::slow_start::SlowStartBudget;
use super::test_support::*;
use crate::{
    AttemptOutcome, Dispatcher, EndpointState, EndpointUpdate, ListedRateAccuracy, LoadReport, NewMessage,
    RetrySafety, gossip, ms,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Returns the times at which an instance polls within 60 s, if each poll fails after `fails_after` and the poll period
/// is `period`.
fn failing_poll_times(seed: u64, period: Duration, fails_after: Duration) -> Vec<Duration> {
    let mut dispatcher = Dispatcher::new(seed, 300, "x");
    dispatcher.set_discovery(true, ListedRateAccuracy::Absent);
    dispatcher.set_poll_period(period);
    let (mut polls, mut next_failure) = (Vec::new(), None);
    for now in (0..60_000).step_by(5).map(ms) {
        dispatcher.advance_to(now);
        if next_failure.is_some_and(|at| at <= now) {
            next_failure = None;
            dispatcher.endpoint_list_failed();
        }
        if !actions(&mut dispatcher).is_empty() {
            polls.push(now);
            next_failure = Some(now + fails_after);
        }
    }
    polls
}

/// Guards against instances that learn of changes too late: an instance must know of a change within 6 s of discovery
/// becoming reachable, and a poll may have failed just before.
#[test]
fn the_next_poll_starts_within_five_seconds_of_the_start_of_a_failed_one() {
    for period in [0, 2_000, 10_000, 60_000].map(ms) {
        for fails_after in [0, 100, 2_000, 2_500, 4_990].map(ms) {
            for seed in 0..40 {
                let polls = failing_poll_times(seed, period, fails_after);
                let intervals: Vec<_> = polls.windows(2).map(|pair| pair[1] - pair[0]).collect();
                let longest = intervals.iter().max().unwrap();
                let bound = max_poll_interval(fails_after) + ms(5);
                assert!(*longest <= bound, "{period:?} {fails_after:?} {seed}: {longest:?}");
                let count = polls.len() as u32;
                assert!(
                    !reaches_max_interval(period) || count <= 17,
                    "{period:?} {fails_after:?}: {count} polls in 60 s"
                );
            }
        }
    }
}

/// Guards against overloading discovery: at the start of an outage, all instances lose their watches at the same time,
/// and without random delays they would all poll again at the same time.
#[test]
fn instances_whose_polls_fail_at_the_same_time_poll_again_at_different_times() {
    for fails_after in [0, 2_500].map(ms) {
        let all: Vec<_> = (0..300).map(|seed| failing_poll_times(seed, ms(10_000), fails_after)).collect();
        for nth in 1..10 {
            let mut polls: Vec<_> = all.iter().map(|polls| polls[nth]).collect();
            polls.sort();
            let count_within_100_ms =
                |start: &Duration| polls.iter().filter(|at| (*start..*start + ms(100)).contains(at)).count();
            let counts = polls.iter().map(count_within_100_ms);
            let (max_count, span) = (counts.max().unwrap(), polls[299] - polls[0]);
            assert!(
                max_count <= 60 && span >= ms(800),
                "poll {nth}: {max_count} of 300 in 100 ms, all in {span:?}"
            );
        }
    }
}

/// Returns the number of `instances`, all started at the same time, that have received the endpoint list after 30 s.
///
/// The simulated discovery needs 8 s to answer one poll of each instance and answers them in order. Polls time out
/// after 2 s but are processed nevertheless; a poll is refused if answering those in the queue takes more than 3 s.
fn instances_with_a_list(instances: u32) -> usize {
    let start = |seed| {
        let mut dispatcher = Dispatcher::new(seed, instances, "x");
        dispatcher.set_discovery(true, ListedRateAccuracy::Absent);
        dispatcher.set_poll_period(ms(10_000));
        dispatcher
    };
    let mut dispatchers: Vec<_> = (0..u64::from(instances)).map(start).collect();
    // Polls in progress: end, index of the instance, and `true` if the poll is answered before it times out.
    let mut queue: VecDeque<(Duration, usize, bool)> = VecDeque::new();
    let (time_per_poll, mut busy_until, mut with_list) = (ms(8_000) / instances, ms(0), BTreeSet::new());
    for now in (0..30_000).step_by(10).map(ms) {
        while queue.front().is_some_and(|(answered, ..)| *answered <= now) {
            let (_, index, in_time) = queue.pop_front().unwrap();
            if in_time {
                dispatchers[index].endpoint_list_ended(None, true)
            } else {
                dispatchers[index].endpoint_list_failed()
            }
            with_list.extend(in_time.then_some(index));
        }
        for (index, dispatcher) in dispatchers.iter_mut().enumerate() {
            dispatcher.advance_to(now);
            if !actions(dispatcher).is_empty() {
                busy_until = busy_until.max(now);
                if busy_until > now + ms(3_000) {
                    dispatcher.endpoint_list_failed();
                    continue;
                }
                busy_until += time_per_poll;
                queue.push_back((busy_until.min(now + ms(2_000)), index, busy_until <= now + ms(2_000)));
            }
        }
    }
    with_list.len()
}

/// Guards against polls that are repeated faster than discovery can answer them, so that all time out and no instance
/// ever receives the endpoint list.
#[test]
fn a_discovery_that_all_instances_poll_at_the_same_time_eventually_answers_them_all() {
    assert_eq!([10, 30, 100, 300].map(instances_with_a_list), [10, 30, 100, 300]);
}

/// Guards against overloading a destination right after a retry-after that all instances received: 24 instances called
/// a recovering endpoint within half a second after the retry-after ended.
#[test]
fn instances_rejected_at_the_same_time_do_not_retry_at_the_same_time() {
    for retry_after in [Some(ms(2_000)), None] {
        let first_retry = |seed| {
            let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
            dispatcher.state.shared.rng = Pcg64Mcg::seed_from_u64(seed);
            dispatcher.set_overload_tolerance(ms(2_000));
            let draining = EndpointUpdate { state: EndpointState::Draining, ..endpoint_of("b", "y") };
            dispatcher.endpoint_updated(draining);
            submit(&mut dispatcher, 1, None);
            dispatcher.attempt_ended(ended(1, 0, AttemptOutcome::Rejected { retry_after }));
            (0..800).map(|at| ms(at * 10)).find(|at| {
                dispatcher.advance_to(*at);
                !actions(&mut dispatcher).is_empty()
            })
        };
        let mut times: Vec<_> = (0..60).filter_map(first_retry).collect();
        times.sort();
        let count_within_500_ms = |start: &Duration| {
            times.iter().filter(|time| **time >= *start && **time < *start + ms(500)).count()
        };
        let max_count = times.iter().map(count_within_500_ms).max();
        assert!(times.len() > 30 && max_count < Some(24), "{retry_after:?}: {times:?}");
        assert!(times[0] >= retry_after.unwrap_or_default());
    }
}

/// Guards against overloading a recovered destination: when all instances received the gossip of its recovery, 60 of
/// them sent 20 to 40 calls to a rate limit of 17 calls per second. Rejected calls use up the limit too, so no call was
/// accepted for 13 s.
#[test]
fn instances_that_receive_gossip_of_a_recovery_at_the_same_time_do_not_call_at_the_same_time() {
    let waiting = |seed| {
        let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
        dispatcher.state.instances = 100;
        dispatcher.state.shared.rng = Pcg64Mcg::seed_from_u64(seed);
        for name in ["a", "b"] {
            let endpoint = endpoint_mut(&mut dispatcher, name);
            endpoint.budget = SlowStartBudget::new(0.0, Duration::ZERO);
            endpoint.health = EndpointHealth::new(Health::Healthy);
            endpoint.health.on_failure(ms(1), 1.0);
        }
        let route = route_mut(&mut dispatcher);
        route.limit.bucket.set_estimate(RateEstimate { limit: None, safe_rate: Some(100.0) });
        route.checks.set_next(ms(60_000));
        (0..5).for_each(|id| assert!(submit(&mut dispatcher, id, None).is_empty()));
        dispatcher.gossip_received(&gossip::encode_recovery(9, ""));
        dispatcher
    };
    let mut dispatchers: Vec<_> = (0..100).map(waiting).collect();
    let calls: Vec<_> = (0..30)
        .map(|step| {
            let started = |dispatcher: &mut Dispatcher| {
                dispatcher.advance_to(ms(100 * step + 1));
                actions(dispatcher).len()
            };
            dispatchers.iter_mut().map(started).sum::<usize>()
        })
        .collect();
    // While it is warming up, the destination may receive three tenths of its 100 calls per second.
    let (max_calls, total) = (calls.iter().max().unwrap(), calls.iter().sum::<usize>());
    assert!(*max_calls <= 15 && total > 60, "{calls:?}");
}

/// Guards against instances that together keep exceeding a rate limit which rejected calls use up too, so that hardly
/// any call is accepted.
#[test]
fn rejections_reduce_the_total_rate_of_all_instances_below_a_limit_that_rejected_calls_use_up() {
    let (limit, instances) = (17.0, 60);
    let mut buckets: Vec<_> = (0..instances).map(|_| TokenBucket::with_limit(limit)).collect();
    let (mut allowance, mut accepted) = (limit, [0, 0]);
    for at in 1..=300 {
        let now = ms(at * 100);
        allowance = (allowance + limit / 10.0).min(limit);
        for (nth, bucket) in buckets.iter_mut().enumerate() {
            bucket.refill(now);
            // Each instance has two calls to make in three seconds, which makes 40 calls per second in total, more than
            // twice the limit.
            if (at as usize + nth * 7).is_multiple_of(15) && bucket.has_token() {
                bucket.take();
                allowance = (allowance - 1.0).max(-limit);
                if allowance > 0.0 {
                    bucket.on_delivery(Some(allowance / limit));
                    accepted[usize::from(at > 150)] += 1;
                } else {
                    bucket.lower_rate_after_rejection(0.67, instances);
                }
            }
        }
    }
    assert!(accepted[1] as f64 > 0.5 * limit * 15.0, "{accepted:?}");
    assert!(buckets.iter().all(|bucket| {
        let (rate, min_rate) = bucket.rate_and_minimum(limit, instances);
        rate >= min_rate
    }));
}

/// Returns the dispatcher of one of `instances`, with [`DESTINATION`] consisting of the endpoints `names`, each with a
/// listed rate of `rate` calls per second.
fn one_of_many(instances: u32, seed: u64, rate: f64, names: &[&str]) -> Dispatcher {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.state.instances = instances;
    dispatcher.state.shared.rng = Pcg64Mcg::seed_from_u64(seed);
    dispatcher.state.destinations.clear();
    dispatcher.set_discovery(false, ListedRateAccuracy::Exact);
    for name in names {
        dispatcher.endpoint_updated(listed_with_rate(name, rate));
    }
    dispatcher.endpoint_list_ended(None, false);
    dispatcher
}

/// Returns an entry of the endpoint list with a listed rate of `rate` calls per second.
fn listed_with_rate(name: &str, rate: f64) -> EndpointUpdate<'_> {
    EndpointUpdate { kind: "", listed_rate: Some(rate), ..endpoint_of(name, "x") }
}

/// Returns the number of attempts that a dispatcher starts now.
fn attempts(dispatcher: &mut Dispatcher) -> usize {
    actions(dispatcher).iter().filter(|action| action.starts_with("attempt")).count()
}

/// Returns the number of attempts that `instances` start within 2 s of `start`, with their rules applied every 20 ms.
fn attempts_of(instances: &mut [Dispatcher], start: Duration) -> usize {
    let mut count = 0;
    for step in 0..100 {
        for dispatcher in instances.iter_mut() {
            dispatcher.advance_to(start + ms(20 * step));
            count += attempts(dispatcher);
        }
    }
    count
}

/// Returns the number of calls that a destination may receive in a window by chance if `allowed` are expected: two
/// standard deviations more, and two calls.
fn max_by_chance(allowed: f64) -> usize {
    (allowed + 2.0 * allowed.sqrt() + 2.0) as usize
}

/// Guards against an unlimited load on a failing destination whose last endpoint is replaced, which happens if its
/// route is removed in between.
#[test]
fn a_route_stays_suspect_while_its_last_endpoint_is_replaced() {
    let mut dispatcher = one_of_many(2, 1, 10.0, &["a"]);
    let attempt = attempt_at("a", ms(1));
    (0..FailureStreak::FAILURES_UNTIL_SUSPECT)
        .for_each(|_| process_outcome(&mut dispatcher, &attempt, AttemptOutcome::Failed));
    dispatcher.endpoint_list_ended(Some(&BTreeSet::new()), false);
    assert!(dispatcher.state.destinations[&9].endpoints.is_empty());
    dispatcher.endpoint_updated(listed_with_rate("b", 10.0));
    assert!(route(&dispatcher).streak.is_suspect(dispatcher.state.now));
}

/// Guards against overloading a destination that has just failed: each instance had earned a slow-start budget for a
/// call during a minute without failures, and all of them used it within 2 s.
#[test]
fn slow_start_budgets_earned_before_a_failure_are_not_spent_after_it() {
    let failed = |seed| {
        let mut dispatcher = one_of_many(200, seed, 20.0, &["a"]);
        dispatcher.advance_to(ms(60_000));
        let attempt = attempt_at("a", ms(59_900));
        (0..FailureStreak::FAILURES_UNTIL_SUSPECT)
            .for_each(|_| process_outcome(&mut dispatcher, &attempt, AttemptOutcome::Failed));
        dispatcher
    };
    let mut instances: Vec<_> = (0..200).map(failed).collect();
    // Each instance receives one message. This makes twenty per second, the capacity of the destination when warm.
    let mut calls = Vec::new();
    for step in 0..500 {
        let now = ms(60_000 + 20 * step);
        for (nth, dispatcher) in instances.iter_mut().enumerate() {
            dispatcher.advance_to(now);
            if now == ms(60_000 + 40 * (nth as u64 * 5 / 4)) {
                dispatcher.accept(NewMessage { deadline: now + ms(10_000), ..message(1) }).unwrap();
            }
            calls.extend(std::iter::repeat_n(now, attempts(dispatcher)));
        }
    }
    // While it is warming up, the destination handles a fifth of twenty calls per second, and withstands twice that for
    // two seconds.
    let counts =
        calls.iter().map(|start| calls.iter().filter(|at| (*start..*start + ms(2_000)).contains(at)).count());
    let max_count = counts.max().unwrap_or(0);
    assert!((5..=max_by_chance(2.0 * 0.2 * 20.0 * 2.0)).contains(&max_count), "{max_count}");
}

/// Guards against overloading a route that many instances share: with 188 instances, a route limited to 0.66 calls per
/// second stopped accepting calls. Each instance was rejected only once, seconds before its next call.
#[test]
fn instances_with_one_rejection_each_start_less_than_a_third_of_the_attempts_if_the_limit_is_not_reported() {
    let rejected_once = |load_report: Option<LoadReport>| {
        move |seed| {
            let mut dispatcher = one_of_many(188, seed, 0.66, &["a"]);
            dispatcher.set_overload_tolerance(ms(2_000));
            dispatcher.advance_to(ms(20_000));
            route_mut(&mut dispatcher).retry_budget.on_attempt(ms(19_900), false);
            process_outcome_with_report(
                &mut dispatcher,
                &attempt_at("a", ms(19_900)),
                rejected(),
                load_report,
            );
            dispatcher.advance_to(ms(27_000));
            dispatcher.accept(NewMessage { deadline: ms(37_000), ..message(1) }).unwrap();
            dispatcher
        }
    };
    let mut instances: Vec<_> = (0..188).map(rejected_once(None)).collect();
    // Each of the 188 instances earns 0.27 of an attempt for the new message: 0.9 of the allowed share, which is 0.3 at
    // the start of slow start.
    let without_report = attempts_of(&mut instances, ms(27_000));
    let report = LoadReport { remaining_share: 0.5, rate_limit: 0.66 };
    let mut instances: Vec<_> = (0..188).map(rejected_once(Some(report))).collect();
    let with_report = attempts_of(&mut instances, ms(27_000));
    assert!(
        without_report * 3 < with_report,
        "{without_report} attempts without and {with_report} with a reported limit"
    );
}
