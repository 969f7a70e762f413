//! Clients: arrival times, destinations and service classes of the messages that they submit.
//!
//! The load is open loop: a message arrives at its scheduled time whether or not earlier ones are finished.

use crate::destinations_state::seeded_rng;
use crate::scenario::{Pattern, Scenario, StreamSpec};
use quillhub::DestinationId;
use rand::RngExt;
use rand_distr::{Distribution, Exp, Poisson};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

/// Message from its client's point of view, from its first submission until the client has its outcome or gives up.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    /// Index of the message's stream among the scenario's arrivals.
    pub(crate) stream: usize,
    /// Index of the message's service class in the scenario's list.
    pub(crate) service_class: usize,
    pub(crate) destination: DestinationId,
    /// Ordering key, if the stream has keys.
    pub(crate) ordering_key: Option<u64>,
    /// Time of the first submission, since the start of the run.
    pub(crate) submitted_at: Duration,
    /// Number of submissions that were rejected.
    pub(crate) rejections: u32,
}

/// Weights of a random choice, as running sums; the last sum is the total.
#[derive(Default)]
pub(crate) struct Weights {
    sums: Vec<f64>,
}

impl Weights {
    pub(crate) fn new(weights: impl Iterator<Item = f64>) -> Self {
        let mut sum = 0.0;
        let sums = weights.map(|weight| {
            sum += weight;
            sum
        });
        Self { sums: sums.collect() }
    }

    /// Draws an index with a probability proportional to its weight; returns 0 if there are no weights.
    pub(crate) fn pick(&self, rng: &mut Pcg64Mcg) -> usize {
        let draw = rng.random::<f64>() * self.sums.last().copied().unwrap_or_default();
        self.sums.partition_point(|sum| *sum <= draw).min(self.sums.len().saturating_sub(1))
    }
}

/// Distribution of messages over destinations: of each kind, and of all destinations under `None`. Destinations are
/// numbered from 0.
pub(crate) struct DestinationShares(BTreeMap<Option<String>, (Vec<usize>, Weights)>);

impl DestinationShares {
    /// Computes the distribution from the scenario's weights, each multiplied by the `factor` of its destination.
    pub(crate) fn new(scenario: &Scenario, factor: impl Fn(usize) -> f64) -> Self {
        let mut all = Vec::new();
        let mut shares = BTreeMap::new();
        let mut first = 0;
        for kind in &scenario.destinations {
            let weights: Vec<_> = (1..=kind.count).map(|k| (k as f64).powf(-kind.skew)).collect();
            let sum: f64 = weights.iter().sum();
            let own: Vec<_> =
                weights.iter().zip(first..).map(|(weight, id)| (id, weight / sum * factor(id))).collect();
            all.extend(own.iter().map(|(id, share)| (*id, kind.weight * share)));
            let ids = own.iter().map(|(id, _)| *id).collect();
            shares.insert(Some(kind.kind.clone()), (ids, Weights::new(own.iter().map(|(_, share)| *share))));
            first += kind.count;
        }
        let ids = all.iter().map(|(id, _)| *id).collect();
        shares.insert(None, (ids, Weights::new(all.iter().map(|(_, share)| *share))));
        Self(shares)
    }
}

/// Arrival of one message in a scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time of the arrival, since the start of the scenario.
    pub at: Duration,
    /// Index of the message's service class in the scenario's list.
    pub service_class: usize,
    /// Destination of the message, by the number that gateway instances use, which counts from 1.
    pub destination: DestinationId,
}

/// Returns all arrivals of a scenario in order, the same as in the simulation.
///
/// Traffic surges among the faults are included; [`HotDestinations`](crate::faults::HotDestinations) faults
/// are not.
pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let shares = DestinationShares::new(scenario, |_| 1.0);
    let mut all = Vec::new();
    for (stream_index, arrivals) in scenario.arrivals.iter().enumerate() {
        let mut stream = ArrivalGenerator::new(stream_rng(seed, stream_index));
        let mut now = Duration::ZERO;
        loop {
            let active = scenario
                .faults
                .iter()
                .enumerate()
                .filter(|(_, f)| (f.start..f.start + f.duration).contains(&now));
            stream.factors =
                active.filter_map(|(fault, f)| Some((fault, f.surge_factor(stream_index)?))).collect();
            let Some((at, messages)) = stream.next_arrival(arrivals, now, scenario) else { break };
            now = at;
            let destination = stream.draw_destination(arrivals, &shares);
            for _ in 0..messages {
                let (service_class, _) = stream.draw_message(stream_index, arrivals, scenario);
                all.push(Arrival { at, service_class, destination });
            }
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// Creates the random number generator of a stream. Each stream has its own, so that its arrivals do not depend on
/// anything else in the run.
pub(crate) fn stream_rng(seed: u64, stream_index: usize) -> Pcg64Mcg {
    seeded_rng(seed, 1_000 + stream_index as u64)
}

/// Generator of the arrivals of one stream.
pub(crate) struct ArrivalGenerator {
    rng: Pcg64Mcg,
    /// Factors on the rate, with the faults that cause them.
    pub(crate) factors: Vec<(usize, f64)>,
    /// Number of arrivals generated so far.
    generated: u64,
}

impl ArrivalGenerator {
    pub(crate) fn new(rng: Pcg64Mcg) -> Self {
        Self { rng, factors: Vec::new(), generated: 0 }
    }

    /// Draws the destination that all messages of one arrival share.
    pub(crate) fn draw_destination(
        &mut self,
        arrivals: &StreamSpec,
        shares: &DestinationShares,
    ) -> DestinationId {
        let (ids, weights) = &shares.0[&arrivals.destination_kind];
        ids[weights.pick(&mut self.rng)] as u64 + 1
    }

    /// Draws the service class and the ordering key of one message.
    pub(crate) fn draw_message(
        &mut self,
        stream_index: usize,
        arrivals: &StreamSpec,
        scenario: &Scenario,
    ) -> (usize, Option<u64>) {
        let service_class = match &arrivals.service_class {
            Some(name) => scenario
                .service_classes
                .iter()
                .position(|class| class.name == *name)
                .expect("the service class is validated to exist"),
            None => self.rng.random_range(0..scenario.service_classes.len()),
        };
        let ordering_key = (arrivals.ordering_keys > 0)
            .then(|| (stream_index as u64) << 32 | self.rng.random_range(0..arrivals.ordering_keys));
        (service_class, ordering_key)
    }

    /// Returns the time of the next arrival after `now` and its number of messages; `None` after the end of the stream.
    pub(crate) fn next_arrival(
        &mut self,
        arrivals: &StreamSpec,
        now: Duration,
        scenario: &Scenario,
    ) -> Option<(Duration, u64)> {
        let end = arrivals.until.unwrap_or(scenario.length).min(scenario.length);
        let now = now.max(arrivals.from);
        let rate = arrivals.per_s * self.factors.iter().map(|f| f.1).product::<f64>();
        let exp = |rng: &mut Pcg64Mcg, rate: f64| {
            Duration::from_secs_f64(Exp::new(rate).expect("the rate is validated to be positive").sample(rng))
        };
        self.generated += 1;
        let (at, messages) = match &arrivals.pattern {
            Pattern::Poisson => (now + exp(&mut self.rng, rate), 1),
            // Each time is computed from the start of the stream, so that rounding errors do not accumulate. The first
            // arrival is at the start.
            Pattern::Even if self.factors.is_empty() => {
                let at = arrivals.from + Duration::from_secs_f64((self.generated - 1) as f64 / rate);
                (at.max(now), 1)
            }
            Pattern::Even => (now + Duration::from_secs_f64(1.0 / rate), 1),
            Pattern::Bursts { mean_size } => {
                let additional = if *mean_size > 1.0 {
                    Poisson::new(mean_size - 1.0).expect("the burst size is validated").sample(&mut self.rng)
                } else {
                    0.0
                };
                (now + exp(&mut self.rng, rate / mean_size), 1 + additional as u64)
            }
            Pattern::Daily { period, depth } => {
                // Thinning of a Poisson process at the maximum rate, which is exact for any rate curve.
                let mut at = now;
                loop {
                    at += exp(&mut self.rng, rate * (1.0 + depth));
                    let phase = at.as_secs_f64() / period.as_secs_f64() * std::f64::consts::TAU;
                    if self.rng.random::<f64>() * (1.0 + depth) <= 1.0 - depth * phase.cos() {
                        break (at, 1);
                    }
                }
            }
            Pattern::Part { period, active_from } => {
                let window = (*period - *active_from).as_secs_f64();
                let per_period = rate * period.as_secs_f64(); // all messages of a period arrive in its window
                let nth = (self.generated - 1) as f64 / per_period;
                let at =
                    period.as_secs_f64() * nth.floor() + active_from.as_secs_f64() + window * nth.fract();
                (arrivals.from + Duration::from_secs_f64(at), 1)
            }
        };
        (at <= end).then_some((at, messages))
    }
}

#[cfg(test)]
#[path = "clients_tests.rs"]
mod tests;
