//! Counts what a run came to: value, attempts, waits, and a row for each second.

use crate::fact::{Fact, FinalOutcome};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// One second of a run, or a longer span of a long one.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// Messages that came.
    #[serde(rename = "asked")]
    pub submitted: u32,
    /// First attempts.
    #[serde(rename = "firsts")]
    pub first_attempts: u32,
    /// Retries.
    #[serde(rename = "repeats")]
    pub retries: u32,
    /// Messages delivered.
    #[serde(rename = "handled")]
    pub delivered: u32,
    /// Messages rejected.
    #[serde(rename = "denied")]
    pub rejected: u32,
    /// Messages abandoned.
    #[serde(rename = "written_off")]
    pub abandoned: u32,
    /// Value of the messages that came in this second.
    #[serde(rename = "worth")]
    pub value: f64,
    /// The part of that value that was delivered in the end.
    pub earned: f64,
    /// Accepted and without a final outcome at its end.
    #[serde(rename = "held")]
    pub pending: i64,
}

/// The figures of a run; counts are of messages as their clients see them, unless they say otherwise.
pub struct Tally {
    value: Vec<f64>,
    service_classes: Vec<quillhub::ServiceClass>,
    /// The rows, from the start of the run on.
    pub seconds: Vec<Second>,
    /// Seconds of each row.
    pub secs_per_row: u64,
    /// Messages that came.
    pub submitted: u64,
    /// Messages delivered.
    pub delivered: u64,
    /// Messages delivered within their soft deadline.
    pub within_soft_deadline: u64,
    /// Given up by clients, or lost with an instance.
    pub unserved: u64,
    /// Value of what was delivered.
    pub earned: f64,
    /// Value of all messages that came.
    pub submitted_value: f64,
    /// By service class: value submitted, and value delivered.
    pub value_by_service_class: Vec<(f64, f64)>,
    /// First attempts.
    pub first_attempts: u64,
    /// Retries.
    pub retries: u64,
    /// Calls that endpoints rejected.
    pub rejected_calls: u64,
    /// Connections opened.
    pub connections: u64,
    /// Rejections; a message may be submitted again after one.
    pub rejections: u64,
    /// Messages abandoned.
    pub abandoned: u64,
    /// Effects that took place.
    pub executed: u64,
    /// Calls that destinations dropped as duplicates.
    pub deduplicated: u64,
    /// Effects that came twice though they must not: a retry inside the deduplication window that took effect after
    /// it, or a message submitted again after a loss.
    pub duplicate_effects: u64,
    /// From a message's first submission to when its client hears that it is delivered, in microseconds.
    pub latency: Histogram<u64>,
    /// From an attempt's decision to when a worker takes it up, in microseconds.
    pub queueing_time: Histogram<u64>,
    /// Most messages pending at once.
    pub max_pending: i64,
    pending: i64,
    /// Attempts by destination.
    pub attempts_by_destination: Vec<u64>,
}

/// Rows of a run's course: a day of seconds.
const MAX_ROWS: u64 = 100_000;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 24 * 3_600 * 1_000_000, 3).expect("the bounds are in order")
}

impl Tally {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let destinations = scenario.destinations.iter().map(|kind| kind.count).sum();
        Self {
            value: scenario.service_classes.iter().map(|service_class| service_class.value).collect(),
            service_classes: scenario
                .service_classes
                .iter()
                .map(|service_class| service_class.service_class())
                .collect(),
            seconds: Vec::new(),
            secs_per_row: (scenario.length.as_secs() / MAX_ROWS).max(1),
            submitted: 0,
            delivered: 0,
            within_soft_deadline: 0,
            unserved: 0,
            earned: 0.0,
            submitted_value: 0.0,
            value_by_service_class: vec![(0.0, 0.0); scenario.service_classes.len()],
            first_attempts: 0,
            retries: 0,
            rejected_calls: 0,
            connections: 0,
            rejections: 0,
            abandoned: 0,
            executed: 0,
            deduplicated: 0,
            duplicate_effects: 0,
            latency: histogram(),
            queueing_time: histogram(),
            max_pending: 0,
            pending: 0,
            attempts_by_destination: vec![0; destinations],
        }
    }

    fn second(&mut self, at: Duration) -> &mut Second {
        let row = (at.as_secs() / self.secs_per_row) as usize;
        if self.seconds.len() <= row {
            let pending = self.pending;
            self.seconds.resize(row + 1, Second { pending, ..Second::default() });
        }
        &mut self.seconds[row]
    }

    pub(crate) fn submitted(&mut self, now: Duration, service_class: usize) {
        let value = self.value[service_class];
        self.submitted += 1;
        self.submitted_value += value;
        self.value_by_service_class[service_class].0 += value;
        let second = self.second(now);
        second.submitted += 1;
        second.value += value;
    }

    /// A message is over for its client.
    pub(crate) fn request_finished(
        &mut self,
        now: Duration,
        service_class: usize,
        submitted_at: Duration,
        delivered: bool,
    ) {
        if !delivered {
            self.unserved += 1;
            return;
        }
        let age = now - submitted_at;
        let earned = self.value[service_class] * self.service_classes[service_class].value_share(age);
        self.delivered += 1;
        self.within_soft_deadline += u64::from(age <= self.service_classes[service_class].soft_deadline);
        self.earned += earned;
        self.value_by_service_class[service_class].1 += earned;
        self.latency.saturating_record((age.as_micros() as u64).max(1));
        self.second(submitted_at).earned += earned;
    }

    pub(crate) fn attempt_started(&mut self, now: Duration, destination: usize, is_retry: bool) {
        self.attempts_by_destination[destination] += 1;
        *(if is_retry { &mut self.retries } else { &mut self.first_attempts }) += 1;
        let second = self.second(now);
        *(if is_retry { &mut second.retries } else { &mut second.first_attempts }) += 1;
    }

    pub(crate) fn work_started(&mut self, queueing_time: Duration) {
        self.queueing_time.saturating_record((queueing_time.as_micros() as u64).max(1));
    }

    pub(crate) fn record(&mut self, now: Duration, fact: &Fact) {
        match fact {
            Fact::Accepted { .. } => self.pending += 1,
            Fact::Executed { deduplicated, duplicate_effect, .. } => {
                *(if *deduplicated { &mut self.deduplicated } else { &mut self.executed }) += 1;
                self.duplicate_effects += u64::from(*duplicate_effect);
            }
            Fact::Finished { outcome, .. } => {
                self.pending -= 1;
                let second = self.second(now);
                match outcome {
                    FinalOutcome::Delivered => second.delivered += 1,
                    FinalOutcome::Rejected { .. } => second.rejected += 1,
                    FinalOutcome::Abandoned => second.abandoned += 1,
                }
                self.rejections += u64::from(matches!(outcome, FinalOutcome::Rejected { .. }));
                self.abandoned += u64::from(*outcome == FinalOutcome::Abandoned);
            }
            _ => return,
        }
        self.max_pending = self.max_pending.max(self.pending);
        let pending = self.pending;
        self.second(now).pending = pending;
    }

    /// The share of the submitted value that was delivered.
    pub fn delivered_value_share(&self) -> f64 {
        self.earned / self.submitted_value.max(f64::MIN_POSITIVE)
    }

    /// The same of what was asked for in the worst ten seconds in a row.
    pub fn worst_ten_second_share(&self) -> f64 {
        let windows = self.seconds.windows(10u64.div_ceil(self.secs_per_row) as usize).map(|rows| {
            let submitted: f64 = rows.iter().map(|row| row.value).sum();
            (rows.iter().map(|row| row.earned).sum::<f64>(), submitted)
        });
        // Spans in which next to nothing was asked for say nothing.
        let mean_row_value = self.submitted_value / self.seconds.len().max(1) as f64;
        let busy_windows = windows.filter(|(_, submitted)| *submitted > mean_row_value);
        busy_windows
            .map(|(earned, submitted)| earned / submitted)
            .min_by(f64::total_cmp)
            .unwrap_or_else(|| self.delivered_value_share())
    }

    /// The same of the worst-served service class.
    pub fn worst_service_class_share(&self) -> f64 {
        let shares = self
            .value_by_service_class
            .iter()
            .filter(|(submitted, _)| *submitted > 0.0)
            .map(|(submitted, delivered)| delivered / submitted);
        shares.min_by(f64::total_cmp).unwrap_or(1.0)
    }

    /// Attempts for each submitted message.
    pub fn attempts_per_message(&self) -> f64 {
        (self.first_attempts + self.retries) as f64 / self.submitted.max(1) as f64
    }
}
