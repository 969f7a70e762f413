//! Counts what a run came to: earnings, sends, waits, and a row for each second.

use crate::day::Day;
use crate::fact::{Answered, Fact};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// One second of a run, or a longer span of a long one.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// Messages that came.
    pub asked: u32,
    /// First attempts.
    pub firsts: u32,
    /// Retries.
    pub repeats: u32,
    /// Messages delivered.
    pub handled: u32,
    /// Messages rejected.
    pub denied: u32,
    /// Messages abandoned.
    pub written_off: u32,
    /// Earnings of what was asked for in this second, and what was earned of them in the end.
    pub worth: f64,
    /// What was earned in the end of the value of what came in this second.
    pub earned: f64,
    /// Taken and not yet answered at its end.
    pub held: i64,
}

/// The figures of a run; counts are of notices as their clients see them, unless they say otherwise.
pub struct Tally {
    worth: Vec<f64>,
    grades: Vec<quillhub::ServiceClass>,
    /// The rows, from the start of the run on.
    pub seconds: Vec<Second>,
    /// Seconds of each row.
    pub row_s: u64,
    /// Messages that came.
    pub asked: u64,
    /// Messages delivered.
    pub handled: u64,
    /// Messages delivered within their soft deadline.
    pub in_contract: u64,
    /// Given up by clients, or lost with a courier.
    pub unserved: u64,
    /// Value of what was delivered.
    pub earned: f64,
    /// Value of all messages that came.
    pub asked_worth: f64,
    /// By grade: asked for, and earned.
    pub by_grade: Vec<(f64, f64)>,
    /// First attempts.
    pub firsts: u64,
    /// Retries.
    pub repeats: u64,
    /// Calls that endpoints turned away.
    pub turned_away: u64,
    /// Connections opened.
    pub connections: u64,
    /// Rejections; a message may be handed in again after one.
    pub denials: u64,
    /// Messages abandoned.
    pub written_off: u64,
    /// Effects that took place, repeats that destinations dropped, and effects that came twice though they must not:
    /// a repeat sent inside the mark's memory that took effect after it, or one handed in again after a loss.
    pub ran: u64,
    /// Repeats that destinations dropped.
    pub dropped: u64,
    /// Effects that came twice though they must not.
    pub doubled: u64,
    /// From a notice's first handing in to when its client hears that it is handled, in microseconds.
    pub latency: Histogram<u64>,
    /// From a send's decision to when a worker takes it up, in microseconds.
    pub queueing: Histogram<u64>,
    /// Most messages held at once.
    pub most_held: i64,
    held: i64,
    /// Sends by destination, for each second, where a day asks for it.
    pub by_destination: Vec<u64>,
}

/// Rows of a run's course: a day of seconds.
const MOST_ROWS: u64 = 100_000;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 24 * 3_600 * 1_000_000, 3).expect("the bounds are in order")
}

impl Tally {
    pub(crate) fn new(day: &Day) -> Self {
        let destinations = day.destinations.iter().map(|kind| kind.count).sum();
        Self {
            worth: day.grades.iter().map(|grade| grade.earnings).collect(),
            grades: day.grades.iter().map(|grade| grade.grade()).collect(),
            seconds: Vec::new(),
            row_s: (day.length.as_secs() / MOST_ROWS).max(1),
            asked: 0,
            handled: 0,
            in_contract: 0,
            unserved: 0,
            earned: 0.0,
            asked_worth: 0.0,
            by_grade: vec![(0.0, 0.0); day.grades.len()],
            firsts: 0,
            repeats: 0,
            turned_away: 0,
            connections: 0,
            denials: 0,
            written_off: 0,
            ran: 0,
            dropped: 0,
            doubled: 0,
            latency: histogram(),
            queueing: histogram(),
            most_held: 0,
            held: 0,
            by_destination: vec![0; destinations],
        }
    }

    fn second(&mut self, at: Duration) -> &mut Second {
        let nth = (at.as_secs() / self.row_s) as usize;
        if self.seconds.len() <= nth {
            let held = self.held;
            self.seconds.resize(nth + 1, Second { held, ..Second::default() });
        }
        &mut self.seconds[nth]
    }

    pub(crate) fn asked(&mut self, now: Duration, grade: usize) {
        let worth = self.worth[grade];
        self.asked += 1;
        self.asked_worth += worth;
        self.by_grade[grade].0 += worth;
        let second = self.second(now);
        second.asked += 1;
        second.worth += worth;
    }

    /// A notice is over for its client.
    pub(crate) fn over(&mut self, now: Duration, grade: usize, born: Duration, handled: bool) {
        if !handled {
            self.unserved += 1;
            return;
        }
        let age = now - born;
        let earned = self.worth[grade] * self.grades[grade].value_share(age);
        self.handled += 1;
        self.in_contract += u64::from(age <= self.grades[grade].soft_deadline);
        self.earned += earned;
        self.by_grade[grade].1 += earned;
        self.latency.saturating_record((age.as_micros() as u64).max(1));
        self.second(born).earned += earned;
    }

    pub(crate) fn sent(&mut self, now: Duration, destination: usize, repeat: bool) {
        self.by_destination[destination] += 1;
        *(if repeat { &mut self.repeats } else { &mut self.firsts }) += 1;
        let second = self.second(now);
        *(if repeat { &mut second.repeats } else { &mut second.firsts }) += 1;
    }

    pub(crate) fn waited(&mut self, time: Duration) {
        self.queueing.saturating_record((time.as_micros() as u64).max(1));
    }

    pub(crate) fn told(&mut self, now: Duration, fact: &Fact) {
        match fact {
            Fact::Taken { .. } => self.held += 1,
            Fact::Ran { repeat, again, .. } => {
                *(if *repeat { &mut self.dropped } else { &mut self.ran }) += 1;
                self.doubled += u64::from(*again);
            }
            Fact::Answered { answer, .. } => {
                self.held -= 1;
                let second = self.second(now);
                match answer {
                    Answered::Handled => second.handled += 1,
                    Answered::Denied(_) => second.denied += 1,
                    Answered::WrittenOff => second.written_off += 1,
                }
                self.denials += u64::from(matches!(answer, Answered::Denied(_)));
                self.written_off += u64::from(*answer == Answered::WrittenOff);
            }
            _ => return,
        }
        self.most_held = self.most_held.max(self.held);
        let held = self.held;
        self.second(now).held = held;
    }

    /// Of the earnings asked for, the share earned.
    pub fn share(&self) -> f64 {
        self.earned / self.asked_worth.max(f64::MIN_POSITIVE)
    }

    /// The same of what was asked for in the worst ten seconds in a row.
    pub fn worst_ten(&self) -> f64 {
        let sums = self.seconds.windows(10u64.div_ceil(self.row_s) as usize).map(|w| {
            let asked: f64 = w.iter().map(|s| s.worth).sum();
            (w.iter().map(|s| s.earned).sum::<f64>(), asked)
        });
        // Spans in which next to nothing was asked for say nothing.
        let usual = self.asked_worth / self.seconds.len().max(1) as f64;
        let busy = sums.filter(|(_, asked)| *asked > usual);
        busy.map(|(earned, asked)| earned / asked).min_by(f64::total_cmp).unwrap_or_else(|| self.share())
    }

    /// The same of the worst-served grade.
    pub fn worst_grade(&self) -> f64 {
        let shares = self.by_grade.iter().filter(|g| g.0 > 0.0).map(|g| g.1 / g.0);
        shares.min_by(f64::total_cmp).unwrap_or(1.0)
    }

    /// Sends for each notice asked for.
    pub fn sends_each(&self) -> f64 {
        (self.firsts + self.repeats) as f64 / self.asked.max(1) as f64
    }
}
