//! Clients: when messages come, for whom, and what becomes of those that did not get through. Open loop: a message
//! comes at its instant, whatever became of those before it.

use crate::scenario::{Arrivals, Pattern, Scenario};
use crate::site::seeded_rng;
use quillhub::DestinationId;
use rand::RngExt;
use rand_distr::{Distribution, Exp, Poisson};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

/// A message as its client sees it, from its first submission until its client knows its end or gives up.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub(crate) stream: usize,
    pub(crate) service_class: usize,
    pub(crate) destination: DestinationId,
    pub(crate) key: Option<u64>,
    pub(crate) born: Duration,
    pub(crate) rejections: u32,
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

/// What each destination gets of all messages, or of those to its kind; destinations count from 0.
pub(crate) struct Shares(BTreeMap<Option<String>, (Vec<usize>, Weights)>);

impl Shares {
    /// By the scenario's weights, times what `hot` says of each destination.
    pub(crate) fn of(scenario: &Scenario, hot: impl Fn(usize) -> f64) -> Self {
        let mut all = Vec::new();
        let mut shares = BTreeMap::new();
        let mut first = 0;
        for kind in &scenario.destinations {
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

/// One arrival of a scenario; `destination` as instances know it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When it comes, since the start of the scenario.
    pub at: Duration,
    /// Its service class, by its place in the scenario's list.
    pub service_class: usize,
    /// The destination that it is for.
    pub destination: DestinationId,
}

/// All arrivals of a scenario, in order, as the simulation has them too; crowds among its faults are in them, hot
/// destinations are not.
pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let shares = Shares::of(scenario, |_| 1.0);
    let mut all = Vec::new();
    for (nth, of) in scenario.arrivals.iter().enumerate() {
        let mut stream = Stream::new(stream_chance(seed, nth));
        let mut now = Duration::ZERO;
        loop {
            let on =
                scenario.faults.iter().enumerate().filter(|(_, f)| (f.at..f.at + f.lasts).contains(&now));
            stream.factors = on.filter_map(|(number, f)| Some((number, f.surge_factor(nth)?))).collect();
            let Some((at, many)) = stream.next(of, now, scenario) else { break };
            now = at;
            let destination = stream.destination(of, &shares);
            for _ in 0..many {
                let (service_class, _) = stream.draw(nth, of, scenario);
                all.push(Arrival { at, service_class, destination });
            }
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// The chance of a stream: its own, so that nothing else shifts it.
pub(crate) fn stream_chance(seed: u64, nth: usize) -> Pcg64Mcg {
    seeded_rng(seed, 1_000 + nth as u64)
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
        let (ids, weights) = &shares.0[&of.destination_kind];
        ids[weights.pick(&mut self.rng)] as u64 + 1
    }

    /// Service class and key of one that comes.
    pub(crate) fn draw(&mut self, nth: usize, of: &Arrivals, scenario: &Scenario) -> (usize, Option<u64>) {
        let service_class = match &of.service_class {
            Some(name) => scenario.service_classes.iter().position(|g| g.name == *name).expect("checked"),
            None => self.rng.random_range(0..scenario.service_classes.len()),
        };
        let key = (of.keys > 0).then(|| (nth as u64) << 32 | self.rng.random_range(0..of.keys));
        (service_class, key)
    }

    /// The instant of the next arrival after `now`, and how many come then; nothing after the stream's end.
    pub(crate) fn next(
        &mut self,
        of: &Arrivals,
        now: Duration,
        scenario: &Scenario,
    ) -> Option<(Duration, u64)> {
        let end = of.until.unwrap_or(scenario.length).min(scenario.length);
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
                let each = rate * every.as_secs_f64(); // all of a span's messages come in its part
                let nth = (self.count - 1) as f64 / each;
                let at = every.as_secs_f64() * nth.floor() + from.as_secs_f64() + part * nth.fract();
                (of.from + Duration::from_secs_f64(at), 1)
            }
        };
        (at <= end).then_some((at, many))
    }
}

#[cfg(test)]
#[path = "clients_tests.rs"]
mod tests;
