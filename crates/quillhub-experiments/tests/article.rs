//! The source's worked examples, played in the simulation by the baselines. Minutes are counted as the article does: what
//! is new in a minute is first repeated in the next, so its messages come in each minute's second half.

use quillhub_experiments::baselines::{BaselineSettings, exponential_delay};
use quillhub_experiments::experiment::ExperimentPlan;
use quillhub_simulator::{Fact, Report};
use std::time::Duration;

/// A day with one destination, one instance without bounds and a network that takes no time.
fn plan(
    decider: &str,
    [length, limit]: [&str; 2],
    arrivals: &str,
    baselines: &str,
    more: &str,
) -> ExperimentPlan {
    let text = format!(
        "format = 1
question = 'Does the emulator give the article its figures?'
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
{more}
",
        if more.contains("'14'") { 14 } else { 1_000_000 },
    );
    ExperimentPlan::parse("article", &text).unwrap_or_else(|e| panic!("{e:?}"))
}

fn play(plan: &ExperimentPlan, seen: impl FnMut(Duration, &Fact)) -> Report {
    plan.simulate(&plan.runs()[0], seen)
}

/// Instants of all attempts.
fn sends(plan: &ExperimentPlan) -> Vec<Duration> {
    let mut at = Vec::new();
    play(plan, |now, fact| {
        if matches!(fact, Fact::AttemptStarted { .. }) {
            at.push(now);
        }
    });
    at
}

fn per(sends: &[Duration], span: u64, spans: u64) -> Vec<u64> {
    let mut counts = vec![0; spans as usize];
    for at in sends {
        if let Some(count) = counts.get_mut((at.as_secs() / span) as usize) {
            *count += 1;
        }
    }
    counts
}

fn outage(what: &str, lasts: &str) -> String {
    format!("[[day.faults]]\nat = '0 s'\nlasts = '{lasts}'\nwhat = '{what}'")
}

/// Hangs for ten minutes, then absorbs 30 a second again.
fn storm(pattern: &str) -> Vec<u64> {
    let arrivals = format!("per_s = 10.0\npattern = {pattern}");
    let baselines = "every = '30 s'\ntimeout = '5 s'";
    let plan = plan("fixed", ["11 min", "11 min"], &arrivals, baselines, &outage("hang", "10 min"));
    per(&sends(&plan), 60, 11)
}

#[test]
fn attempts_by_minute_of_a_fixed_interval_storm() {
    let minutes = storm("{ law = 'part', every = '1 min', from = '30 s' }");
    for (minute, told) in [(1, 600), (2, 1_800), (5, 5_400), (10, 11_400), (11, 12_600)] {
        let found = minutes[minute - 1];
        assert!(found.abs_diff(told) * 100 <= told * 2, "minute {minute}: {found}, told {told}");
    }
    assert!((18.8..19.2).contains(&(minutes[9] as f64 / 600.0)));
}

/// What the article's rounding leaves out: with messages spread evenly, half of a minute's own retry within it.
#[test]
fn an_even_stream_has_half_a_minute_more() {
    let minutes = storm("{ law = 'even' }");
    for minute in 1..=10 {
        assert!(minutes[minute - 1].abs_diff(1_200 * minute as u64 - 300) <= 2, "{minutes:?}");
    }
}

fn schedule(cap: &str) -> Vec<u64> {
    let baselines = format!("base = '30 s'\nmultiplier = 3.0\ncap = '{cap}'");
    let more = format!("{}\n# '14'", outage("refuse", "2 years"));
    let plan = plan(
        "exponential",
        ["2 years", "2 years"],
        "per_s = 1.0\npattern = { law = 'even' }\nuntil = '0 s'",
        &baselines,
        &more,
    );
    sends(&plan)
        .iter()
        .map(|at| {
            assert_eq!(at.subsec_nanos(), 0);
            at.as_secs()
        })
        .collect()
}

#[test]
fn the_capped_schedule_to_the_second() {
    let ramp = [0, 30, 120, 390, 1_200, 3_630, 10_920];
    let tail = (1..=7).map(|n| 10_920 + n * 10_800);
    assert_eq!(schedule("3 h"), ramp.into_iter().chain(tail).collect::<Vec<_>>());
}

#[test]
fn the_uncapped_schedule_has_gaps_of_hours_then_of_half_a_year() {
    let at = schedule("2 years");
    let gap = |attempt: usize| (at[attempt - 1] - at[attempt - 2]) as f64;
    assert!((17.9..18.3).contains(&(gap(9) / 3_600.0)));
    assert_eq!((gap(14) / 86_400.0).floor(), 184.0);
    // With a multiplier of 2 or more, each gap is longer than all before it together.
    assert!((3..=14).all(|n| gap(n) > at[n - 2] as f64));
}

/// A thousand that fail within the same second.
fn herd(decider: &str) -> Vec<u64> {
    let arrivals = "per_s = 1000.0\npattern = { law = 'even' }\nuntil = '999 ms'";
    let plan =
        plan(decider, ["1 min", "2 min"], arrivals, "base = '30 s'\ncap = '3 h'", &outage("refuse", "1 s"));
    per(&sends(&plan), 1, 33)
}

#[test]
fn without_chance_a_herd_comes_back_in_one_second() {
    let seconds = herd("exponential");
    assert_eq!((seconds[0], seconds[30]), (1_000, 1_000));
    assert_eq!(seconds[1..30].iter().sum::<u64>(), 0);
}

#[test]
fn with_full_jitter_it_comes_spread_over_the_gap() {
    let seconds = herd("jitter");
    // A few come in the first second and fail again; five deviations of a count of 33 are 29.
    assert!(seconds[1..30].iter().all(|count| (5..=62).contains(count)), "{seconds:?}");
    assert!((900..=1_100).contains(&seconds[1..31].iter().sum::<u64>()));
}

#[test]
fn the_capped_tail_of_six_thousand_is_33_a_minute() {
    let arrivals = "per_s = 0.5555555\npattern = { law = 'even' }\nuntil = '3 h'";
    let baselines = "base = '30 s'\ncap = '3 h'";
    let plan = plan("exponential", ["27 h", "30 h"], arrivals, baselines, &outage("refuse", "30 h"));
    let minutes = per(&sends(&plan), 60, 27 * 60);
    let tail = &minutes[24 * 60..];
    let mean = tail.iter().sum::<u64>() as f64 / tail.len() as f64;
    assert!((33.0..33.7).contains(&mean) && tail.iter().all(|count| (33..=34).contains(count)), "{mean}");
    let storm = 2.0 * 6_000.0; // a minute, at a fixed 30 s
    assert!((355.0..365.0).contains(&(storm / mean)));
}

#[test]
fn full_jitter_halves_the_time_until_all_tries_are_used() {
    let arrivals = "per_s = 1000.0\npattern = { law = 'even' }\nuntil = '399 ms'";
    let more = format!("{}\n# '14'", outage("refuse", "2 years"));
    let plan = plan("jitter", ["2 years", "2 years"], arrivals, "base = '30 s'\ncap = '3 h'", &more);
    let mut last = std::collections::BTreeMap::new();
    play(&plan, |now, fact| {
        if let Fact::AttemptStarted { message_id: notice, .. } = fact {
            last.insert(*notice, now.as_secs_f64());
        }
    });
    let mean = last.values().sum::<f64>() / last.len() as f64 / 3_600.0;
    assert!(last.len() == 400 && (11.5..12.5).contains(&mean), "{mean}");
}

#[test]
fn a_budget_of_a_tenth_bounds_the_sum_however_deep_the_backlog() {
    let arrivals = "per_s = 10.0\npattern = { law = 'even' }";
    let plan = plan(
        "budget",
        ["10 min", "10 min"],
        arrivals,
        "share = 0.1\ntimeout = '5 s'",
        &outage("hang", "10 min"),
    );
    let minutes = per(&sends(&plan), 60, 10);
    // From the second on: 600 first attempts, and a tenth; one more where a span's ends fall into a minute.
    assert!(minutes[1..].iter().all(|count| (650..=662).contains(count)), "{minutes:?}");
}

#[test]
fn gaps_are_the_articles_formula() {
    let of = BaselineSettings {
        base_delay: Duration::from_secs(30),
        max_delay: Duration::from_secs(10_800),
        ..BaselineSettings::default()
    };
    let gaps: Vec<_> = (1..=8).map(|k| exponential_delay(&of, k).as_secs()).collect();
    assert_eq!(gaps, [30, 90, 270, 810, 2_430, 7_290, 10_800, 10_800]);
}
