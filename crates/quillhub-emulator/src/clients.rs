//! Clients: when notices come, for whom, and what becomes of those that did not get through. Open loop: a notice
//! comes at its instant, whatever became of those before it.

use crate::day::{Arrivals, Day, Pattern};
use quillhub::DestinationId;
use rand::RngExt;
use rand_distr::{Distribution, Exp, Poisson};
use rand_pcg::Pcg64Mcg;
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

/// One stream's clock.
pub(crate) struct Stream {
    pub(crate) rng: Pcg64Mcg,
    /// By faults: the rate is multiplied by each.
    pub(crate) factors: Vec<(usize, f64)>,
    count: u64,
}

impl Stream {
    pub(crate) fn new(rng: Pcg64Mcg) -> Self {
        Self { rng, factors: Vec::new(), count: 0 }
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
}
