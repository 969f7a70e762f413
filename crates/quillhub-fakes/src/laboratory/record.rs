//! Records of a run, as clients, endpoints, proxies and platform made them, and the timeline of one message.

use super::response::{STATUS_EXHAUSTED, STATUS_OVER};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::ops::RangeInclusive;
use std::time::Duration;
use tokio::time::Instant;

/// Call that an endpoint received completely.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) message: String,
    pub(super) endpoint: usize,
    /// Number of the endpoint's connection.
    pub(super) connection: u64,
    /// Time of the request's last byte.
    pub(super) arrived: Instant,
    /// Time until which its client expects the response, if the request states one. It counts from the arrival of the request,
    /// which the client does not know, so that the client's own is earlier.
    pub(super) deadline: Option<Instant>,
    /// Time and status of the response, written while the connection was open.
    pub(super) answered: Option<(Instant, u16)>,
    /// Time at which the connection was closed while the call was out.
    pub(super) closed: Option<Instant>,
    /// `true` if the call was executed, and its response is malformed.
    pub(super) spoilt: bool,
    /// `true` if no other call arrived on the connection before.
    pub(super) is_first: bool,
}

impl Call {
    /// Returns the time until which the call was out on an open connection; `None` if it still is.
    pub(super) fn ended(&self) -> Option<Instant> {
        [self.answered.map(|(at, _)| at), self.closed].into_iter().flatten().min()
    }

    /// Returns `true` if the endpoint wrote a whole rejection, so that the message did not take effect.
    pub(super) fn is_rejected(&self) -> bool {
        let is_rejection = |status| matches!(status, 503 | STATUS_EXHAUSTED | STATUS_OVER);
        !self.spoilt && self.answered.is_some_and(|(_, status)| is_rejection(status))
    }

    /// Returns the time at which the endpoint wrote status 410, also if the response is malformed.
    pub(super) fn over_since(&self) -> Option<Instant> {
        self.answered.filter(|(_, status)| *status == STATUS_OVER).map(|(at, _)| at)
    }

    /// Returns `true` if the endpoint wrote a response with status 200.
    pub(super) fn is_delivered(&self) -> bool {
        self.answered.is_some_and(|(_, status)| status == 200)
    }
}

/// Submission of a message.
#[derive(Clone, Debug)]
pub(super) struct Submission {
    /// Index of the message's class in [`super::plan::SERVICE_CLASSES`].
    pub(super) class: usize,
    pub(super) instance: usize,
    pub(super) submitted: Instant,
    pub(super) deadline: Instant,
    /// `true` if the client read that the message is accepted.
    pub(super) accepted: bool,
}

impl Submission {
    pub(super) fn time_to_live(&self) -> Duration {
        self.deadline - self.submitted
    }
}

/// Surplus bytes that a proxy wrote.
#[derive(Clone, Debug)]
pub(super) struct Copy {
    pub(super) endpoint: usize,
    /// Message whose response was copied.
    pub(super) of_message: String,
    /// Message of the last request on the connection.
    pub(super) before_message: String,
    pub(super) at: Instant,
    /// `true` if the copied response has status 410.
    pub(super) is_over: bool,
}

/// Restart of an instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outage {
    pub(super) instance: usize,
    pub(super) signalled: Instant,
    /// Time at which the process had ended.
    pub(super) ended: Instant,
    /// Time at which the next process was ready.
    pub(super) ready: Instant,
}

/// Everything that was observed in a run.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) started: Instant,
    pub(super) submissions: BTreeMap<String, Submission>,
    pub(super) calls: Vec<Call>,
    /// Time and kind (`true` if rejected) of the final outcomes at the platform.
    pub(super) outcomes: BTreeMap<String, Vec<(Instant, bool)>>,
    pub(super) copies: Vec<Copy>,
    pub(super) outages: Vec<Outage>,
    /// `true` if the instances do not know when input arrived.
    pub(super) is_input_unstamped: bool,
    /// `true` if reads of the instances may report a broken connection, so that a response on it is never read.
    pub(super) reads_may_fail: bool,
    /// Maximum time that bytes take between an instance and an endpoint.
    pub(super) max_path_time: Duration,
    /// Maximum time for which an instance is held up.
    pub(super) max_hold_up: Duration,
    /// Times for which the laboratory itself was held up, in order: what happened meanwhile was recorded at their end.
    pub(super) pauses: Vec<RangeInclusive<Instant>>,
}

impl Record {
    pub(super) fn new(started: Instant) -> Self {
        Self {
            started,
            submissions: BTreeMap::new(),
            calls: Vec::new(),
            outcomes: BTreeMap::new(),
            copies: Vec::new(),
            outages: Vec::new(),
            is_input_unstamped: false,
            reads_may_fail: false,
            max_path_time: Duration::ZERO,
            max_hold_up: Duration::ZERO,
            pauses: Vec::new(),
        }
    }

    /// Returns the time before which an event that was recorded at `at` cannot have happened: the start of a pause of the
    /// laboratory at the end of which it was recorded.
    pub(super) fn earliest(&self, at: Instant) -> Instant {
        self.pause_at(at).map_or(at, |pause| *pause.start())
    }

    /// Returns the time until which an event that was recorded at `at`, before it took effect, may have been delayed: the end
    /// of a pause of the laboratory.
    pub(super) fn latest(&self, at: Instant) -> Instant {
        self.pause_at(at).map_or(at, |pause| *pause.end())
    }

    fn pause_at(&self, at: Instant) -> Option<&RangeInclusive<Instant>> {
        self.pauses.iter().find(|pause| pause.contains(&at))
    }

    /// Returns the longest time for which the laboratory itself was held up.
    pub(super) fn longest_pause(&self) -> Duration {
        self.pauses.iter().map(|pause| *pause.end() - *pause.start()).max().unwrap_or_default()
    }

    /// Records that a connection is closed: its calls without a response are no longer out.
    pub(super) fn close_connection(&mut self, connection: u64, at: Instant) {
        let calls = self.calls.iter_mut().filter(|call| call.connection == connection);
        for call in calls.filter(|call| call.answered.is_none()) {
            call.closed.get_or_insert(at);
        }
    }

    /// Returns the time at which a message had its final outcome: an endpoint wrote that it is delivered or over, or the
    /// platform read a notification.
    pub(super) fn end_of(&self, message: &str) -> Option<Instant> {
        let calls = self.calls_of(message).filter(|call| !call.spoilt);
        let is_end = |status: u16| matches!(status, 200 | STATUS_OVER);
        let answers =
            calls.filter_map(|call| call.answered.filter(|(_, status)| is_end(*status)).map(|(at, _)| at));
        let outcomes = self.outcomes.get(message).into_iter().flatten().map(|(at, _)| self.earliest(*at));
        answers.chain(outcomes).min()
    }

    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Returns the calls of a message, in order of arrival.
    pub(super) fn calls_of<'a>(&'a self, message: &'a str) -> impl Iterator<Item = &'a Call> {
        self.calls.iter().filter(move |call| call.message == message)
    }

    /// Returns what happened to a message, one line for each event, in order of time.
    pub(super) fn timeline(&self, message: &str) -> String {
        let mut lines = Vec::new();
        if let Some(submission) = self.submissions.get(message) {
            let class = super::plan::SERVICE_CLASSES[submission.class].name;
            let reply = if submission.accepted { "accepted" } else { "not accepted" };
            let time_to_live = submission.time_to_live();
            let text =
                format!("{reply} by instance {}, class {class}, {time_to_live:?} left", submission.instance);
            lines.push((submission.submitted, text));
        }
        for call in self.calls_of(message) {
            let place = format!("endpoint {} connection {}", call.endpoint, call.connection);
            let deadline = call.deadline.map_or(f64::NAN, |deadline| self.seconds(deadline));
            lines.push((call.arrived, format!("call at {place}, to be answered by {deadline:.3}")));
            if let Some((at, status)) = call.answered {
                let spoilt = if call.spoilt { ", executed, with more to follow" } else { "" };
                lines.push((at, format!("{status} written by {place}{spoilt}")));
            }
            if let Some(at) = call.closed {
                lines.push((at, format!("closed before the response: {place}")));
            }
        }
        for copy in &self.copies {
            if copy.before_message == message || copy.of_message == message {
                let text = format!(
                    "surplus response of endpoint {} to {}, last request {}",
                    copy.endpoint, copy.of_message, copy.before_message
                );
                lines.push((copy.at, text));
            }
        }
        for (at, rejected) in self.outcomes.get(message).into_iter().flatten() {
            lines.push((*at, format!("final outcome: {}", if *rejected { "rejected" } else { "abandoned" })));
        }
        lines.sort_by_key(|(at, _)| *at);
        lines.into_iter().fold(format!("message {message}\n"), |mut text, (at, line)| {
            let _ = writeln!(text, "  {:8.3} {line}", self.seconds(at));
            text
        })
    }

    /// Returns the time by which a message of `instance` with this deadline must be finished: restarts extend it.
    pub(super) fn due(
        &self,
        instance: usize,
        deadline: Instant,
        slack: Duration,
        after_restart: Duration,
    ) -> Instant {
        let mut due = deadline + slack;
        for outage in self.outages.iter().filter(|outage| outage.instance == instance) {
            if outage.signalled <= due {
                due = due.max(outage.ready + after_restart);
            }
        }
        due
    }

    /// Returns `true` if nothing may have read what was written to the instance at `at`: a process of it ended within
    /// `period` after that or before, and the next one was not ready yet, or its reads may fail.
    pub(super) fn may_be_unread(&self, instance: usize, at: Instant, period: Duration) -> bool {
        let mut outages = self.outages.iter().filter(|outage| outage.instance == instance);
        self.reads_may_fail || outages.any(|outage| at + period >= outage.ended && at <= outage.ready)
    }

    /// Returns `true` if an instance may read the response to a call so late that it cannot know whether that came in time: it
    /// is held up when the time of the call ends, and input has no stamp.
    pub(super) fn may_count_as_late(&self, call: &Call, answered: Instant) -> bool {
        let read_by = answered + self.max_hold_up + 2 * self.max_path_time;
        self.is_input_unstamped && call.deadline.is_some_and(|deadline| deadline <= read_by)
    }
}
