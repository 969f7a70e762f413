//! What many instances add up to, at one destination or at discovery: each does little, the sum must hold.

use super::discovery::tests::{is_beyond_bound, longest_between_polls};
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

/// When an instance polls, if each poll fails after `fails_after` and its discovery wants one in `every`, for 60 s.
fn polls_that_fail(seed: u64, every: Duration, fails_after: Duration) -> Vec<Duration> {
    let mut dispatcher = Dispatcher::new(seed, 300, "x");
    dispatcher.set_discovery(true, ListedRateAccuracy::Absent);
    dispatcher.set_poll_period(every);
    let (mut polls, mut fails) = (Vec::new(), None);
    for now in (0..60_000).step_by(5).map(ms) {
        dispatcher.advance_to(now);
        if fails.is_some_and(|at| at <= now) {
            fails = None;
            dispatcher.endpoint_list_failed();
        }
        if !actions(&mut dispatcher).is_empty() {
            polls.push(now);
            fails = Some(now + fails_after);
        }
    }
    polls
}

/// What discovery has counts as notified 6 s after it could be reached, which may be just after a poll that is lost.
#[test]
fn the_next_poll_begins_within_five_seconds_of_one_that_is_lost() {
    for every in [0, 2_000, 10_000, 60_000].map(ms) {
        for fails_after in [0, 100, 2_000, 2_500, 4_990].map(ms) {
            for seed in 0..40 {
                let polls = polls_that_fail(seed, every, fails_after);
                let between: Vec<_> = polls.windows(2).map(|two| two[1] - two[0]).collect();
                let longest = between.iter().max().unwrap();
                let bound = longest_between_polls(fails_after) + ms(5);
                assert!(*longest <= bound, "{every:?} {fails_after:?} {seed}: {longest:?}");
                let count = polls.len() as u32;
                assert!(
                    !is_beyond_bound(every) || count <= 17,
                    "{every:?} {fails_after:?}: {count} polls in 60 s"
                );
            }
        }
    }
}

/// All that lost their watches in one instant, as at an outage's begin: their polls must not come in one, either.
#[test]
fn instances_whose_polls_fail_together_poll_again_apart() {
    for fails_after in [0, 2_500].map(ms) {
        let all: Vec<_> = (0..300).map(|seed| polls_that_fail(seed, ms(10_000), fails_after)).collect();
        for nth in 1..10 {
            let mut polls: Vec<_> = all.iter().map(|polls| polls[nth]).collect();
            polls.sort();
            let within =
                |from: &Duration| polls.iter().filter(|at| (*from..*from + ms(100)).contains(at)).count();
            let at_once = polls.iter().map(within);
            let (most, span) = (at_once.max().unwrap(), polls[299] - polls[0]);
            assert!(most <= 60 && span >= ms(800), "poll {nth}: {most} of 300 in 100 ms, all in {span:?}");
        }
    }
}

/// How many of `instances`, started in one instant, hold the list after 30 s. Their discovery takes one poll of each
/// in 8 s, answers in order, and works on what has waited for its 2 s in vain all the same, up to 3 s of work.
fn instances_with_a_list(instances: u32) -> usize {
    let start = |seed| {
        let mut dispatcher = Dispatcher::new(seed, instances, "x");
        dispatcher.set_discovery(true, ListedRateAccuracy::Absent);
        dispatcher.set_poll_period(ms(10_000));
        dispatcher
    };
    let mut all: Vec<_> = (0..u64::from(instances)).map(start).collect();
    let mut queue: VecDeque<(Duration, usize, bool)> = VecDeque::new();
    let (each, mut free, mut notified) = (ms(8_000) / instances, ms(0), BTreeSet::new());
    for now in (0..30_000).step_by(10).map(ms) {
        while queue.front().is_some_and(|(answered, ..)| *answered <= now) {
            let (_, at, in_time) = queue.pop_front().unwrap();
            if in_time {
                all[at].endpoint_list_ended(None, true)
            } else {
                all[at].endpoint_list_failed()
            }
            notified.extend(in_time.then_some(at));
        }
        for (at, dispatcher) in all.iter_mut().enumerate() {
            dispatcher.advance_to(now);
            if !actions(dispatcher).is_empty() {
                free = free.max(now);
                if free > now + ms(3_000) {
                    dispatcher.endpoint_list_failed();
                    continue;
                }
                free += each;
                queue.push_back((free.min(now + ms(2_000)), at, free <= now + ms(2_000)));
            }
        }
    }
    notified.len()
}

#[test]
fn a_discovery_that_all_instances_poll_at_once_answers_them_all_in_the_end() {
    assert_eq!([10, 30, 100, 300].map(instances_with_a_list), [10, 30, 100, 300]);
}

/// glenmuir-claims, big-2: 24 instances called an endpoint that warmed up in the half second after the wait that all
/// were told.
#[test]
fn what_many_were_rejected_together_does_not_come_back_together() {
    for retry_after in [Some(ms(2_000)), None] {
        let starts = |seed| {
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
        let mut times: Vec<_> = (0..60).filter_map(starts).collect();
        times.sort();
        let within =
            |at: &Duration| times.iter().filter(|time| **time >= *at && **time < *at + ms(500)).count();
        let most = times.iter().map(within).max();
        assert!(times.len() > 30 && most < Some(24), "{retry_after:?}: {times:?}");
        assert!(times[0] >= retry_after.unwrap_or_default());
    }
}

/// The fleet's calm day: 60 instances sent a limit of 17 a second 20 to 40 calls, and as rejected calls use it up too
/// none was let in for 13 s.
#[test]
fn instances_that_hear_of_a_return_together_do_not_call_together() {
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
    let mut all: Vec<_> = (0..100).map(waiting).collect();
    let calls: Vec<_> = (0..30)
        .map(|tenth| {
            let called = |dispatcher: &mut Dispatcher| {
                dispatcher.advance_to(ms(100 * tenth + 1));
                actions(dispatcher).len()
            };
            all.iter_mut().map(called).sum::<usize>()
        })
        .collect();
    // Warming up, it may be sent three tenths of 100 a second.
    let (most, sum) = (calls.iter().max().unwrap(), calls.iter().sum::<usize>());
    assert!(*most <= 15 && sum > 60, "{calls:?}");
}

#[test]
fn rejections_bring_the_sum_of_all_instances_under_a_limit_that_rejected_calls_use_up() {
    let (limit, instances) = (17.0, 60);
    let mut buckets: Vec<_> = (0..instances).map(|_| TokenBucket::with_limit(limit)).collect();
    let (mut allowance, mut let_in) = (limit, [0, 0]);
    for at in 1..=300 {
        let now = ms(at * 100);
        allowance = (allowance + limit / 10.0).min(limit);
        for (nth, bucket) in buckets.iter_mut().enumerate() {
            bucket.refill(now);
            // Each has a call to make twice in three seconds, some three times the limit in all.
            if (at as usize + nth * 7).is_multiple_of(15) && bucket.has_token() {
                bucket.take();
                allowance = (allowance - 1.0).max(-limit);
                if allowance > 0.0 {
                    bucket.on_delivery(Some(allowance / limit));
                    let_in[usize::from(at > 150)] += 1;
                } else {
                    bucket.cut_by_rejection(0.67, instances);
                }
            }
        }
    }
    assert!(let_in[1] as f64 > 0.5 * limit * 15.0, "{let_in:?}");
    assert!(buckets.iter().all(|bucket| {
        let (rate, least) = bucket.rate_and_minimum(limit, instances);
        rate >= least
    }));
}

/// Destination 9's endpoints as `name`d, with a listed rate of `rate` calls a second, at one of `instances`.
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

fn listed_with_rate(name: &str, rate: f64) -> EndpointUpdate<'_> {
    EndpointUpdate { kind: "", listed_rate: Some(rate), ..endpoint_of(name, "x") }
}

/// How many attempts a dispatcher starts now.
fn attempts(dispatcher: &mut Dispatcher) -> usize {
    actions(dispatcher).iter().filter(|action| action.starts_with("attempt")).count()
}

/// How many attempts `instances` start in the two seconds from `from` on, each looked at every 20 ms.
fn attempts_of(instances: &mut [Dispatcher], from: Duration) -> usize {
    let mut count = 0;
    for step in 0..100 {
        for dispatcher in instances.iter_mut() {
            dispatcher.advance_to(from + ms(20 * step));
            count += attempts(dispatcher);
        }
    }
    count
}

/// What a destination that was sent `allowed` calls in a window can still bear by chance.
fn bearable(allowed: f64) -> usize {
    (allowed + 2.0 * allowed.sqrt() + 2.0) as usize
}

#[test]
fn a_route_stays_suspect_while_its_last_endpoint_is_replaced() {
    let mut dispatcher = one_of_many(2, 1, 10.0, &["a"]);
    let attempt = attempt_at("a", ms(1));
    (0..FailureStreak::SUSPECT).for_each(|_| judge(&mut dispatcher, &attempt, AttemptOutcome::Failed));
    dispatcher.endpoint_list_ended(Some(&BTreeSet::new()), false);
    assert!(dispatcher.state.destinations[&9].endpoints.is_empty());
    dispatcher.endpoint_updated(listed_with_rate("b", 10.0));
    assert!(route(&dispatcher).streak.is_suspect(dispatcher.state.now));
}

/// The same day: what was earned in a minute in which all was well went out in two seconds, a call from each instance.
#[test]
fn many_instances_that_fail_together_have_no_budgets_saved_up_from_before() {
    let failed = |seed| {
        let mut dispatcher = one_of_many(200, seed, 20.0, &["a"]);
        dispatcher.advance_to(ms(60_000));
        let attempt = attempt_at("a", ms(59_900));
        (0..FailureStreak::SUSPECT).for_each(|_| judge(&mut dispatcher, &attempt, AttemptOutcome::Failed));
        dispatcher
    };
    let mut instances: Vec<_> = (0..200).map(failed).collect();
    // Each is handed one message, twenty a second in all, as many as the destination takes when warm.
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
    // Warming up it does a fifth of twenty a second, of which twice is borne for two seconds.
    let most =
        calls.iter().map(|from| calls.iter().filter(|at| (*from..*from + ms(2_000)).contains(at)).count());
    let most = most.max().unwrap_or(0);
    assert!((5..=bearable(2.0 * 0.2 * 20.0 * 2.0)).contains(&most), "{most}");
}

/// glenmuir-claims, 188 instances: a route of 0.66 calls a second was shut; each instance was rejected once, seconds
/// before its next call.
#[test]
fn many_instances_that_were_rejected_once_each_and_long_ago_send_no_more_than_a_cold_route_bears() {
    let rejected_once = |load_report: Option<LoadReport>| {
        move |seed| {
            let mut dispatcher = one_of_many(188, seed, 0.66, &["a"]);
            dispatcher.set_overload_tolerance(ms(2_000));
            dispatcher.advance_to(ms(20_000));
            route_mut(&mut dispatcher).retry_budget.on_attempt(ms(19_900), false);
            judge_with_report(&mut dispatcher, &attempt_at("a", ms(19_900)), rejected(), load_report);
            dispatcher.advance_to(ms(27_000));
            dispatcher.accept(NewMessage { deadline: ms(37_000), ..message(1) }).unwrap();
            dispatcher
        }
    };
    let mut instances: Vec<_> = (0..188).map(rejected_once(None)).collect();
    let unreported = attempts_of(&mut instances, ms(27_000));
    // One of a hundred and eighty-eight instances at a time: what each earns by its new message, and little else.
    let report = LoadReport { remaining_share: 0.5, rate_limit: 0.66 };
    let mut instances: Vec<_> = (0..188).map(rejected_once(Some(report))).collect();
    let reported = attempts_of(&mut instances, ms(27_000));
    assert!(
        unreported * 3 < reported,
        "{unreported} where nothing tells of the limit, {reported} where it is reported"
    );
}
