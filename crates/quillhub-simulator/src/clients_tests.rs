//! Rates and distribution of arrivals over time, and their agreement with the simulation.

use super::*;
use rand::SeedableRng;

/// Counts the messages of a stream with 20 per second that arrive from `from_s` to before `to_s`.
fn count(pattern: &str, from_s: f64, to_s: f64) -> usize {
    let text = format!(
        "length = '100 s'\ndestinations = []\ngrades = []\ncouriers = {{}}\n\
         [[arrivals]]\nper_s = 20.0\npattern = {pattern}"
    );
    let scenario: Scenario = toml::from_str(&text).unwrap();
    let mut stream = ArrivalGenerator::new(Pcg64Mcg::seed_from_u64(7));
    let (mut now, mut counted) = (Duration::ZERO, 0);
    while let Some((at, messages)) = stream.next_arrival(&scenario.arrivals[0], now, &scenario) {
        assert!(at >= now);
        now = at;
        counted += if (from_s..to_s).contains(&at.as_secs_f64()) { messages as usize } else { 0 };
    }
    counted
}

#[test]
fn each_pattern_keeps_its_mean_rate_and_its_distribution_over_time() {
    // Guards against a pattern that changes the load of a scenario, or that spreads it differently over time.
    for pattern in ["{ law = 'poisson' }", "{ law = 'bursts', of = 10.0 }"] {
        assert!((1_700..2_300).contains(&count(pattern, 0.0, 100.0)), "{pattern}");
    }
    assert_eq!(count("{ law = 'even' }", 0.0, 99.99), 2_000);
    let daily = "{ law = 'daily', every = '100 s', depth = 0.8 }";
    assert!((1_800..2_200).contains(&count(daily, 0.0, 100.0)));
    assert!(count(daily, 40.0, 60.0) > 3 * count(daily, 0.0, 20.0));
    let part = "{ law = 'part', every = '10 s', from = '5 s' }";
    assert_eq!((count(part, 0.0, 9.999), count(part, 0.0, 5.0)), (200, 0));
}

#[test]
fn arrivals_are_the_same_as_in_the_simulation() {
    // Guards against runs on sockets and simulated runs of one scenario getting different messages.
    let text = "length = '20 s'
        couriers = {}
        grades = [{ name = 'g', effect = 'retriable', contract = '1 s', limit = '5 s' },
            { name = 'h', effect = 'retriable', contract = '1 s', limit = '5 s' }]
        destinations = [{ kind = 'k', count = 5, skew = 1.0, service = { mean = '10 ms' } }]
        arrivals = [{ per_s = 9.0, pattern = { law = 'bursts', of = 3.0 } }, { per_s = 5.0, keys = 4 }]
        faults = [{ at = '5 s', lasts = '5 s', what = { crowd = { factor = 4.0 } } }]";
    let scenario: Scenario = toml::from_str(text).unwrap();
    scenario.check().unwrap();
    let (mut requests, mut simulated) = (std::collections::BTreeSet::new(), Vec::new());
    crate::Simulation::run(&scenario, 3, &crate::dispatcher, |at, fact| {
        if let crate::Fact::Accepted { request, service_class, destination, .. } = fact
            && requests.insert(*request)
        {
            simulated.push((at, *destination, service_class.to_string()));
        }
    });
    let name = |a: &Arrival| (a.at, a.destination, scenario.service_classes[a.service_class].name.clone());
    let expected: Vec<_> = arrivals(&scenario, 3).iter().map(name).collect();
    assert!(expected.len() > 400 && expected == simulated, "{} and {}", expected.len(), simulated.len());
}
