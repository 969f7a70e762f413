//! Arrivals keep the rate and the form of their pattern, and are those of the simulation.

use super::*;
use rand::SeedableRng;

fn count(pattern: &str, from_s: f64, to_s: f64) -> usize {
    let text = format!(
        "length = '100 s'\ndestinations = []\ngrades = []\ncouriers = {{}}\n\
         [[arrivals]]\nper_s = 20.0\npattern = {pattern}"
    );
    let scenario: Scenario = toml::from_str(&text).unwrap();
    let mut stream = Stream::new(Pcg64Mcg::seed_from_u64(7));
    let (mut now, mut found) = (Duration::ZERO, 0);
    while let Some((at, many)) = stream.next(&scenario.arrivals[0], now, &scenario) {
        assert!(at >= now);
        now = at;
        found += if (from_s..to_s).contains(&at.as_secs_f64()) { many as usize } else { 0 };
    }
    found
}

#[test]
fn each_pattern_keeps_its_rate_and_its_form() {
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
fn arrivals_are_those_of_the_simulation() {
    let text = "length = '20 s'
        couriers = {}
        grades = [{ name = 'g', effect = 'retriable', contract = '1 s', limit = '5 s' },
            { name = 'h', effect = 'retriable', contract = '1 s', limit = '5 s' }]
        destinations = [{ kind = 'k', count = 5, skew = 1.0, service = { mean = '10 ms' } }]
        arrivals = [{ per_s = 9.0, pattern = { law = 'bursts', of = 3.0 } }, { per_s = 5.0, keys = 4 }]
        faults = [{ at = '5 s', lasts = '5 s', what = { crowd = { factor = 4.0 } } }]";
    let scenario: Scenario = toml::from_str(text).unwrap();
    scenario.check().unwrap();
    let (mut requests, mut seen) = (std::collections::BTreeSet::new(), Vec::new());
    crate::Simulation::run(&scenario, 3, &crate::dispatcher, |at, fact| {
        if let crate::Fact::Accepted { request, service_class, destination, .. } = fact
            && requests.insert(*request)
        {
            seen.push((at, *destination, service_class.to_string()));
        }
    });
    let name = |a: &Arrival| (a.at, a.destination, scenario.service_classes[a.service_class].name.clone());
    let expected: Vec<_> = arrivals(&scenario, 3).iter().map(name).collect();
    assert!(expected.len() > 400 && expected == seen, "{} and {}", expected.len(), seen.len());
}
