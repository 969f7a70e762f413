//! Totals of a run: messages, value, attempts and latencies, and their course in rows of one second or more.

use crate::fact::{Fact, FinalOutcome};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Row of a run's course, which covers one second, or [`Tally::secs_per_row`] in a long run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CourseRow {
    /// Messages submitted for the first time in the row's interval.
    #[serde(rename = "asked")]
    pub submitted: u32,
    /// First attempts started.
    #[serde(rename = "firsts")]
    pub first_attempts: u32,
    /// Retries started.
    #[serde(rename = "repeats")]
    pub retries: u32,
    /// Messages with the final outcome delivered.
    #[serde(rename = "handled")]
    pub delivered: u32,
    /// Messages with the final outcome rejected.
    #[serde(rename = "denied")]
    pub rejected: u32,
    /// Messages with the final outcome abandoned.
    #[serde(rename = "written_off")]
    pub abandoned: u32,
    /// Full value of the messages submitted in the interval.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Value earned, then or later, by deliveries of the messages submitted in the interval.
    pub earned: f64,
    /// Pending messages at the end of the interval.
    #[serde(rename = "held")]
    pub pending: i64,
}

/// Totals of a run; a message that its client submits again counts once, unless stated otherwise.
pub struct Tally {
    /// Value of a delivery within the soft deadline, by service class.
    value: Vec<f64>,
    service_classes: Vec<quillhub::ServiceClass>,
    /// Course of the run, in rows from its start.
    pub rows: Vec<CourseRow>,
    /// Length of each row, in whole seconds: 1 in runs of up to a day.
    pub secs_per_row: u64,
    /// Messages submitted.
    pub submitted: u64,
    /// Messages that were delivered, as their clients learned.
    pub delivered: u64,
    /// Messages delivered within their soft deadline.
    pub within_soft_deadline: u64,
    /// Messages that were abandoned, that clients gave up, or that were lost with an instance and not submitted again.
    pub unserved: u64,
    /// Value earned by deliveries, reduced for those after the soft deadline.
    pub earned: f64,
    /// Full value of all messages submitted.
    pub submitted_value: f64,
    /// Value submitted and value earned, by service class.
    pub value_by_service_class: Vec<(f64, f64)>,
    /// First attempts started; a message submitted again has another.
    pub first_attempts: u64,
    /// Retries started by instances.
    pub retries: u64,
    /// Calls rejected by endpoints without being executed.
    pub rejected_calls: u64,
    /// Connections opened by instances to endpoints.
    pub connections: u64,
    /// Final outcomes rejected; a message counts again if it is submitted again and rejected again.
    pub rejections: u64,
    /// Final outcomes abandoned.
    pub abandoned: u64,
    /// Calls executed at destinations, without those dropped as duplicates.
    pub executed: u64,
    /// Calls that destinations dropped as duplicates by their idempotency key.
    pub deduplicated: u64,
    /// Repeated executions of messages that are not idempotent: a retry started inside the deduplication window and
    /// executed after it, or a message submitted again after its instance lost it.
    pub duplicate_effects: u64,
    /// Time from a message's first submission until its client learns of the delivery, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Time from the start of an attempt until a worker of the endpoint starts on it, in microseconds.
    pub time_to_worker_us: Histogram<u64>,
    /// Max number of messages pending at once, at all instances together.
    pub max_pending: i64,
    pending: i64,
    /// Attempts started, by destination index, from 0.
    pub attempts_by_destination: Vec<u64>,
}

/// Target number of rows: a run of `n * TARGET_ROWS` seconds has rows of `n` seconds. A day (86,400 s) has rows of one
/// second.
const TARGET_ROWS: u64 = 100_000;

/// Creates a histogram of durations in microseconds, from 1 µs to 24 h, with 3 significant digits.
fn microsecond_histogram() -> Histogram<u64> {
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
            rows: Vec::new(),
            secs_per_row: (scenario.length.as_secs() / TARGET_ROWS).max(1),
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
            latency_us: microsecond_histogram(),
            time_to_worker_us: microsecond_histogram(),
            max_pending: 0,
            pending: 0,
            attempts_by_destination: vec![0; destinations],
        }
    }

    /// Returns the row that covers `at`; rows in between are created with the current number of pending messages.
    fn row(&mut self, at: Duration) -> &mut CourseRow {
        let index = (at.as_secs() / self.secs_per_row) as usize;
        if self.rows.len() <= index {
            let pending = self.pending;
            self.rows.resize(index + 1, CourseRow { pending, ..CourseRow::default() });
        }
        &mut self.rows[index]
    }

    /// Records the first submission of a message.
    pub(crate) fn submitted(&mut self, now: Duration, service_class: usize) {
        let value = self.value[service_class];
        self.submitted += 1;
        self.submitted_value += value;
        self.value_by_service_class[service_class].0 += value;
        let row = self.row(now);
        row.submitted += 1;
        row.value += value;
    }

    /// Records that a client's message is delivered, or that the client gives up on it.
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
        self.latency_us.saturating_record((age.as_micros() as u64).max(1));
        self.row(submitted_at).earned += earned;
    }

    /// Records the start of an attempt.
    pub(crate) fn attempt_started(&mut self, now: Duration, destination: usize, is_retry: bool) {
        self.attempts_by_destination[destination] += 1;
        *(if is_retry { &mut self.retries } else { &mut self.first_attempts }) += 1;
        let row = self.row(now);
        *(if is_retry { &mut row.retries } else { &mut row.first_attempts }) += 1;
    }

    /// Records that a worker starts on a call, `time_to_worker` after the start of the attempt.
    pub(crate) fn work_started(&mut self, time_to_worker: Duration) {
        self.time_to_worker_us.saturating_record((time_to_worker.as_micros() as u64).max(1));
    }

    /// Records a fact; only acceptances, executions and final outcomes are counted here.
    pub(crate) fn record(&mut self, now: Duration, fact: &Fact) {
        match fact {
            Fact::Accepted { .. } => self.pending += 1,
            Fact::Executed { deduplicated, duplicate_effect, .. } => {
                *(if *deduplicated { &mut self.deduplicated } else { &mut self.executed }) += 1;
                self.duplicate_effects += u64::from(*duplicate_effect);
            }
            Fact::Finished { outcome, .. } => {
                self.pending -= 1;
                let row = self.row(now);
                match outcome {
                    FinalOutcome::Delivered => row.delivered += 1,
                    FinalOutcome::Rejected { .. } => row.rejected += 1,
                    FinalOutcome::Abandoned => row.abandoned += 1,
                }
                self.rejections += u64::from(matches!(outcome, FinalOutcome::Rejected { .. }));
                self.abandoned += u64::from(*outcome == FinalOutcome::Abandoned);
            }
            _ => return,
        }
        self.max_pending = self.max_pending.max(self.pending);
        let pending = self.pending;
        self.row(now).pending = pending;
    }

    /// Returns the share of the submitted value that was earned, from 0 to 1.
    pub fn delivered_value_share(&self) -> f64 {
        self.earned / self.submitted_value.max(f64::MIN_POSITIVE)
    }

    /// Returns the earned share of the value submitted in the worst ten consecutive seconds.
    pub fn worst_ten_second_share(&self) -> f64 {
        let windows = self.rows.windows(10u64.div_ceil(self.secs_per_row) as usize).map(|rows| {
            let submitted: f64 = rows.iter().map(|row| row.value).sum();
            (rows.iter().map(|row| row.earned).sum::<f64>(), submitted)
        });
        // Windows with less submitted value than a mean row are skipped: their share depends on a few messages.
        let mean_row_value = self.submitted_value / self.rows.len().max(1) as f64;
        let busy_windows = windows.filter(|(_, submitted)| *submitted > mean_row_value);
        busy_windows
            .map(|(earned, submitted)| earned / submitted)
            .min_by(f64::total_cmp)
            .unwrap_or_else(|| self.delivered_value_share())
    }

    /// Returns the lowest earned share of the submitted value among the service classes, from 0 to 1.
    pub fn worst_service_class_share(&self) -> f64 {
        let shares =
            self.value_by_service_class.iter().filter(|value| value.0 > 0.0).map(|value| value.1 / value.0);
        shares.min_by(f64::total_cmp).unwrap_or(1.0)
    }

    /// Returns the mean number of attempts per submitted message.
    pub fn attempts_per_message(&self) -> f64 {
        (self.first_attempts + self.retries) as f64 / self.submitted.max(1) as f64
    }
}
