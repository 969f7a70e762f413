//! Worked examples of the article on retry storms that docs/design.md names as the source of the design, simulated with
//! the baselines. The article counts the first retry of a message in the minute after its first attempt, so messages
//! arrive in the second half of each minute.

use quillhub_experiments::baselines::{BaselineSettings, exponential_delay};
use quillhub_experiments::experiment::ExperimentPlan;
use quillhub_simulator::{Fact, Report};
use std::time::Duration;

/// Parses an experiment with one destination, one instance without limits and a network without delay.
///
/// The maximum number of attempts per message is 14 if `more_toml` has the comment `# '14'`, and practically unlimited
/// otherwise.
fn parse_plan(
    decider: &str,
    [length, limit]: [&str; 2],
    arrivals: &str,
    baselines: &str,
    more_toml: &str,
) -> ExperimentPlan {
    let text = format!(
        "format = 1
question = 'Does the simulator reproduce the figures of the article?'
seeds = [1]
deciders = ['{decider}']
[baselines]
{baselines}
[day]
length = '{length}'
[day.couriers]
slots = 1000000
room = 1000000
most_sends = {}
[day.network]
within = '0 s'
between = '0 s'
jitter = 0.0
handshake = '0 s'
[day.clients]
tries = 0
[day.returns]
start = 1.0
factor = 1000000.0
[[day.grades]]
name = 'event'
effect = 'retriable'
contract = '1 min'
limit = '{limit}'
[[day.destinations]]
kind = 'consumer'
workers = 1
queue = 1000000
service = {{ mean = '33333 us', law = 'constant' }}
[[day.arrivals]]
{arrivals}
{more_toml}
",
        if more_toml.contains("'14'") { 14 } else { 1_000_000 },
    );
    ExperimentPlan::parse("article", &text).unwrap_or_else(|e| panic!("{e:?}"))
}

fn simulate(plan: &ExperimentPlan, observe: impl FnMut(Duration, &Fact)) -> Report {
    plan.simulate(&plan.runs()[0], observe)
}

/// Returns the start times of all attempts.
fn attempt_times(plan: &ExperimentPlan) -> Vec<Duration> {
    let mut times = Vec::new();
    simulate(plan, |now, fact| {
        if matches!(fact, Fact::AttemptStarted { .. }) {
            times.push(now);
        }
    });
    times
}

fn count_by_interval(times: &[Duration], interval_s: u64, intervals: u64) -> Vec<u64> {
    let mut counts = vec![0; intervals as usize];
    for at in times {
        if let Some(count) = counts.get_mut((at.as_secs() / interval_s) as usize) {
            *count += 1;
        }
    }
    counts
}

fn outage(fault: &str, duration: &str) -> String {
    format!("[[day.faults]]\nat = '0 s'\nlasts = '{duration}'\nwhat = '{fault}'")
}

/// Returns the attempts in each minute at a destination that hangs for ten minutes, then handles 30 per second again.
fn attempts_per_minute_in_storm(pattern: &str) -> Vec<u64> {
    let arrivals = format!("per_s = 10.0\npattern = {pattern}");
    let baselines = "every = '30 s'\ntimeout = '5 s'";
    let plan = parse_plan("fixed", ["11 min", "11 min"], &arrivals, baselines, &outage("hang", "10 min"));
    count_by_interval(&attempt_times(&plan), 60, 11)
}

#[test]
fn retries_at_a_fixed_interval_grow_as_in_the_article() {
    let minutes = attempts_per_minute_in_storm("{ law = 'part', every = '1 min', from = '30 s' }");
    for (minute, expected) in [(1, 600), (2, 1_800), (5, 5_400), (10, 11_400), (11, 12_600)] {
        let found = minutes[minute - 1];
        assert!(
            found.abs_diff(expected) * 100 <= expected * 2,
            "minute {minute}: {found}, expected {expected}"
        );
    }
    assert!((18.8..19.2).contains(&(minutes[9] as f64 / 600.0)));
}

/// The article rounds: with evenly spread arrivals, half of the messages of a minute are retried within that minute.
#[test]
fn evenly_spread_arrivals_add_half_a_minute_of_retries() {
    let minutes = attempts_per_minute_in_storm("{ law = 'even' }");
    for minute in 1..=10 {
        assert!(minutes[minute - 1].abs_diff(1_200 * minute as u64 - 300) <= 2, "{minutes:?}");
    }
}

fn attempt_schedule_s(cap: &str) -> Vec<u64> {
    let baselines = format!("base = '30 s'\nmultiplier = 3.0\ncap = '{cap}'");
    let more = format!("{}\n# '14'", outage("refuse", "2 years"));
    let plan = parse_plan(
        "exponential",
        ["2 years", "2 years"],
        "per_s = 1.0\npattern = { law = 'even' }\nuntil = '0 s'",
        &baselines,
        &more,
    );
    attempt_times(&plan)
        .iter()
        .map(|at| {
            assert_eq!(at.subsec_nanos(), 0);
            at.as_secs()
        })
        .collect()
}

#[test]
fn the_capped_schedule_matches_to_the_second() {
    let ramp = [0, 30, 120, 390, 1_200, 3_630, 10_920];
    let tail = (1..=7).map(|n| 10_920 + n * 10_800);
    assert_eq!(attempt_schedule_s("3 h"), ramp.into_iter().chain(tail).collect::<Vec<_>>());
}

#[test]
fn the_uncapped_schedule_reaches_delays_of_half_a_year() {
    let times_s = attempt_schedule_s("2 years");
    let gap = |attempt: usize| (times_s[attempt - 1] - times_s[attempt - 2]) as f64;
    assert!((17.9..18.3).contains(&(gap(9) / 3_600.0)));
    assert_eq!((gap(14) / 86_400.0).floor(), 184.0);
    // With a multiplier of at least 2, each delay exceeds the sum of all earlier ones.
    assert!((3..=14).all(|n| gap(n) > times_s[n - 2] as f64));
}

/// Returns the attempts in each second for a thousand messages whose first attempts fail within the same second.
fn attempts_per_second_of_herd(decider: &str) -> Vec<u64> {
    let arrivals = "per_s = 1000.0\npattern = { law = 'even' }\nuntil = '999 ms'";
    let plan = parse_plan(
        decider,
        ["1 min", "2 min"],
        arrivals,
        "base = '30 s'\ncap = '3 h'",
        &outage("refuse", "1 s"),
    );
    count_by_interval(&attempt_times(&plan), 1, 33)
}

#[test]
fn without_jitter_all_retries_fall_into_one_second() {
    let seconds = attempts_per_second_of_herd("exponential");
    assert_eq!((seconds[0], seconds[30]), (1_000, 1_000));
    assert_eq!(seconds[1..30].iter().sum::<u64>(), 0);
}

#[test]
fn full_jitter_spreads_retries_over_the_delay() {
    let seconds = attempts_per_second_of_herd("jitter");
    // A few retries fall into the first second and fail again; five standard deviations of a count of 33 are 29.
    assert!(seconds[1..30].iter().all(|count| (5..=62).contains(count)), "{seconds:?}");
    assert!((900..=1_100).contains(&seconds[1..31].iter().sum::<u64>()));
}

#[test]
fn six_thousand_capped_retries_are_33_per_minute() {
    let arrivals = "per_s = 0.5555555\npattern = { law = 'even' }\nuntil = '3 h'";
    let baselines = "base = '30 s'\ncap = '3 h'";
    let plan = parse_plan("exponential", ["27 h", "30 h"], arrivals, baselines, &outage("refuse", "30 h"));
    let minutes = count_by_interval(&attempt_times(&plan), 60, 27 * 60);
    let tail = &minutes[24 * 60..];
    let mean = tail.iter().sum::<u64>() as f64 / tail.len() as f64;
    assert!((33.0..33.7).contains(&mean) && tail.iter().all(|count| (33..=34).contains(count)), "{mean}");
    let storm_per_minute = 2.0 * 6_000.0; // attempts per minute at a fixed interval of 30 s
    assert!((355.0..365.0).contains(&(storm_per_minute / mean)));
}

#[test]
fn full_jitter_halves_the_time_until_all_attempts_are_used() {
    let arrivals = "per_s = 1000.0\npattern = { law = 'even' }\nuntil = '399 ms'";
    let more = format!("{}\n# '14'", outage("refuse", "2 years"));
    let plan = parse_plan("jitter", ["2 years", "2 years"], arrivals, "base = '30 s'\ncap = '3 h'", &more);
    let mut last = std::collections::BTreeMap::new();
    simulate(&plan, |now, fact| {
        if let Fact::AttemptStarted { message_id, .. } = fact {
            last.insert(*message_id, now.as_secs_f64());
        }
    });
    let mean = last.values().sum::<f64>() / last.len() as f64 / 3_600.0;
    assert!(last.len() == 400 && (11.5..12.5).contains(&mean), "{mean}");
}

#[test]
fn a_retry_budget_of_a_tenth_limits_attempts_for_any_backlog() {
    let arrivals = "per_s = 10.0\npattern = { law = 'even' }";
    let plan = parse_plan(
        "budget",
        ["10 min", "10 min"],
        arrivals,
        "share = 0.1\ntimeout = '5 s'",
        &outage("hang", "10 min"),
    );
    let minutes = count_by_interval(&attempt_times(&plan), 60, 10);
    // From the second minute on: 600 first attempts and a tenth of them as retries; slightly more where a budget period
    // ends within a minute.
    assert!(minutes[1..].iter().all(|count| (650..=662).contains(count)), "{minutes:?}");
}

#[test]
fn delays_follow_the_formula_of_the_article() {
    let settings = BaselineSettings {
        base_delay: Duration::from_secs(30),
        max_delay: Duration::from_secs(10_800),
        ..BaselineSettings::default()
    };
    let gaps: Vec<_> = (1..=8).map(|k| exponential_delay(&settings, k).as_secs()).collect();
    assert_eq!(gaps, [30, 90, 270, 810, 2_430, 7_290, 10_800, 10_800]);
}
