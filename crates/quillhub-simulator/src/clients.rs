//! Clients: when notices come, for whom, and what becomes of those that did not get through. Open loop: a notice
//! comes at its instant, whatever became of those before it.

use crate::day::{Arrivals, Day, Pattern};
use crate::site::chance;
use quillhub::DestinationId;
use rand::RngExt;
use rand_distr::{Distribution, Exp, Poisson};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

/// A notice as its client sees it, from its first handing in until its client knows its end or gives up.
#[derive(Clone, Debug)]
pub(crate) struct Order {
    pub(crate) stream: usize,
    pub(crate) grade: usize,
    pub(crate) destination: DestinationId,
    pub(crate) key: Option<u64>,
    pub(crate) born: Duration,
    pub(crate) denials: u32,
}

/// Who gets how much of a stream, as running sums; the last is the whole.
#[derive(Default)]
pub(crate) struct Weights {
    sums: Vec<f64>,
}

impl Weights {
    pub(crate) fn of(parts: impl Iterator<Item = f64>) -> Self {
        let mut sum = 0.0;
        let sums = parts.map(|part| {
            sum += part;
            sum
        });
        Self { sums: sums.collect() }
    }

    /// One by chance, in proportion; the first if there is nothing to choose by.
    pub(crate) fn pick(&self, rng: &mut Pcg64Mcg) -> usize {
        let at = rng.random::<f64>() * self.sums.last().copied().unwrap_or_default();
        self.sums.partition_point(|sum| *sum <= at).min(self.sums.len().saturating_sub(1))
    }
}

/// What each destination gets of all notices, or of those to its kind; destinations count from 0.
pub(crate) struct Shares(BTreeMap<Option<String>, (Vec<usize>, Weights)>);

impl Shares {
    /// By the day's weights, times what `hot` says of each destination.
    pub(crate) fn of(day: &Day, hot: impl Fn(usize) -> f64) -> Self {
        let mut all = Vec::new();
        let mut shares = BTreeMap::new();
        let mut first = 0;
        for kind in &day.destinations {
            let parts: Vec<_> = (1..=kind.count).map(|k| (k as f64).powf(-kind.skew)).collect();
            let sum: f64 = parts.iter().sum();
            let own: Vec<_> =
                parts.iter().zip(first..).map(|(part, id)| (id, part / sum * hot(id))).collect();
            all.extend(own.iter().map(|(id, part)| (*id, kind.weight * part)));
            let ids = own.iter().map(|(id, _)| *id).collect();
            shares.insert(Some(kind.kind.clone()), (ids, Weights::of(own.iter().map(|(_, part)| *part))));
            first += kind.count;
        }
        let ids = all.iter().map(|(id, _)| *id).collect();
        shares.insert(None, (ids, Weights::of(all.iter().map(|(_, part)| *part))));
        Self(shares)
    }
}

/// One arrival of a day; `destination` as couriers know it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When it comes, since the start of the day.
    pub at: Duration,
    /// Its service class, by its place in the day's list.
    pub grade: usize,
    /// The destination that it is for.
    pub destination: DestinationId,
}

/// All arrivals of a day, in order, as the world has them too; crowds among its faults are in them, hot
/// destinations are not.
pub fn arrivals(day: &Day, seed: u64) -> Vec<Arrival> {
    let shares = Shares::of(day, |_| 1.0);
    let mut all = Vec::new();
    for (nth, of) in day.arrivals.iter().enumerate() {
        let mut stream = Stream::new(stream_chance(seed, nth));
        let mut now = Duration::ZERO;
        loop {
            let on = day.faults.iter().enumerate().filter(|(_, f)| (f.at..f.at + f.lasts).contains(&now));
            stream.factors = on.filter_map(|(number, f)| Some((number, f.crowds(nth)?))).collect();
            let Some((at, many)) = stream.next(of, now, day) else { break };
            now = at;
            let destination = stream.destination(of, &shares);
            for _ in 0..many {
                let (grade, _) = stream.draw(nth, of, day);
                all.push(Arrival { at, grade, destination });
            }
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// The chance of a stream: its own, so that nothing else shifts it.
pub(crate) fn stream_chance(seed: u64, nth: usize) -> Pcg64Mcg {
    chance(seed, 1_000 + nth as u64)
}

/// One stream's clock.
pub(crate) struct Stream {
    rng: Pcg64Mcg,
    /// By faults: the rate is multiplied by each.
    pub(crate) factors: Vec<(usize, f64)>,
    count: u64,
}

impl Stream {
    pub(crate) fn new(rng: Pcg64Mcg) -> Self {
        Self { rng, factors: Vec::new(), count: 0 }
    }

    /// The destination of what comes at once.
    pub(crate) fn destination(&mut self, of: &Arrivals, shares: &Shares) -> DestinationId {
        let (ids, weights) = &shares.0[&of.to];
        ids[weights.pick(&mut self.rng)] as u64 + 1
    }

    /// ServiceClass and key of one that comes.
    pub(crate) fn draw(&mut self, nth: usize, of: &Arrivals, day: &Day) -> (usize, Option<u64>) {
        let grade = match &of.grade {
            Some(name) => day.grades.iter().position(|g| g.name == *name).expect("checked"),
            None => self.rng.random_range(0..day.grades.len()),
        };
        let key = (of.keys > 0).then(|| (nth as u64) << 32 | self.rng.random_range(0..of.keys));
        (grade, key)
    }

    /// The instant of the next arrival after `now`, and how many come then; nothing after the stream's end.
    pub(crate) fn next(&mut self, of: &Arrivals, now: Duration, day: &Day) -> Option<(Duration, u64)> {
        let end = of.until.unwrap_or(day.length).min(day.length);
        let now = now.max(of.from);
        let rate = of.per_s * self.factors.iter().map(|f| f.1).product::<f64>();
        let exp = |rng: &mut Pcg64Mcg, rate: f64| {
            Duration::from_secs_f64(Exp::new(rate).expect("rates over 0 were checked").sample(rng))
        };
        self.count += 1;
        let (at, many) = match &of.pattern {
            Pattern::Poisson => (now + exp(&mut self.rng, rate), 1),
            // The k-th at its own multiple, so that no error adds up; the first at the stream's start.
            Pattern::Even if self.factors.is_empty() => {
                let at = of.from + Duration::from_secs_f64((self.count - 1) as f64 / rate);
                (at.max(now), 1)
            }
            Pattern::Even => (now + Duration::from_secs_f64(1.0 / rate), 1),
            Pattern::Bursts { of } => {
                let more = if *of > 1.0 {
                    Poisson::new(of - 1.0).expect("checked").sample(&mut self.rng)
                } else {
                    0.0
                };
                (now + exp(&mut self.rng, rate / of), 1 + more as u64)
            }
            Pattern::Daily { every, depth } => {
                // Thinned from the highest rate: exact, whatever the wave.
                let mut at = now;
                loop {
                    at += exp(&mut self.rng, rate * (1.0 + depth));
                    let part = at.as_secs_f64() / every.as_secs_f64() * std::f64::consts::TAU;
                    if self.rng.random::<f64>() * (1.0 + depth) <= 1.0 - depth * part.cos() {
                        break (at, 1);
                    }
                }
            }
            Pattern::Part { every, from } => {
                let part = (*every - *from).as_secs_f64();
                let each = rate * every.as_secs_f64(); // all of a span's notices come in its part
                let nth = (self.count - 1) as f64 / each;
                let at = every.as_secs_f64() * nth.floor() + from.as_secs_f64() + part * nth.fract();
                (of.from + Duration::from_secs_f64(at), 1)
            }
        };
        (at <= end).then_some((at, many))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    fn count(pattern: &str, from_s: f64, to_s: f64) -> usize {
        let text = format!(
            "length = '100 s'\ndestinations = []\ngrades = []\ncouriers = {{}}\n\
             [[arrivals]]\nper_s = 20.0\npattern = {pattern}"
        );
        let day: Day = toml::from_str(&text).unwrap();
        let mut stream = Stream::new(Pcg64Mcg::seed_from_u64(7));
        let (mut now, mut found) = (Duration::ZERO, 0);
        while let Some((at, many)) = stream.next(&day.arrivals[0], now, &day) {
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
    fn arrivals_are_those_that_the_world_has() {
        let text = "length = '20 s'
            couriers = {}
            grades = [{ name = 'g', effect = 'retriable', contract = '1 s', limit = '5 s' },
                { name = 'h', effect = 'retriable', contract = '1 s', limit = '5 s' }]
            destinations = [{ kind = 'k', count = 5, skew = 1.0, service = { mean = '10 ms' } }]
            arrivals = [{ per_s = 9.0, pattern = { law = 'bursts', of = 3.0 } }, { per_s = 5.0, keys = 4 }]
            faults = [{ at = '5 s', lasts = '5 s', what = { crowd = { factor = 4.0 } } }]";
        let day: Day = toml::from_str(text).unwrap();
        day.check().unwrap();
        let (mut orders, mut seen) = (std::collections::BTreeSet::new(), Vec::new());
        crate::World::run(&day, 3, &crate::module, |at, fact| {
            if let crate::Fact::Taken { order, grade, destination, .. } = fact
                && orders.insert(*order)
            {
                seen.push((at, *destination, grade.to_string()));
            }
        });
        let name = |a: &Arrival| (a.at, a.destination, day.grades[a.grade].name.clone());
        let told: Vec<_> = arrivals(&day, 3).iter().map(name).collect();
        assert!(told.len() > 400 && told == seen, "{} and {}", told.len(), seen.len());
    }
}
