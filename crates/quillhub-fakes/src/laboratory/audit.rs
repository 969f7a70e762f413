//! Verdict on a run: which messages broke which rule, according to the records of clients, endpoints and platform.

use super::plan::{SERVICE_CLASSES, SHORT_TIME_TO_LIVE};
use super::record::{Call, Copy, Record, Submission};
use super::response::STATUS_EXHAUSTED;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Time after its deadline by which a message must be finished.
const LOST_SLACK: Duration = Duration::from_millis(300);
/// Time after an instance is ready again by which its overdue messages must be finished.
const LOST_SLACK_AFTER_RESTART: Duration = Duration::from_millis(1_500);
/// Tolerance for events at two sockets whose order the instance cannot control: the close of one connection and a
/// request on another, or a request that crosses a final outcome. The time on the path adds to it.
const CROSSING: Duration = Duration::from_millis(20);
/// Time in which an instance reads a response, and what a process that ends within it may not have read.
const READ_TIME: Duration = Duration::from_millis(100);
/// Tolerance of each time limit of the rules.
const RULE_TOLERANCE: Duration = Duration::from_millis(50);

/// Rule that was broken for a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// Accepted, and neither delivered nor finished in time.
    Lost,
    /// Sent again although it may have been executed, against the rules of its class.
    SentAgain,
    /// Two calls were out at once.
    TwoAtOnce,
    /// Sent after its final outcome.
    SentAfterEnd,
    /// Sent after an endpoint wrote status 410 for it, which says that it is over.
    SentAfterOver,
    /// Sent after the first call of a connection delivered it, whose response can be no other call's.
    SentAfterDelivery,
    /// Rejected, so that its client may submit it again, although it may have been executed and must not be twice.
    RejectedAfterExecution,
}

/// How many messages got how far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Number of messages whose commands were written.
    pub submitted: usize,
    /// Number of those that were accepted.
    pub accepted: usize,
    /// Number of messages for which an endpoint wrote status 200.
    pub delivered: usize,
}

impl Tally {
    fn add(&mut self, submission: &Submission, calls: &[&Call]) {
        self.submitted += 1;
        self.accepted += usize::from(submission.accepted);
        self.delivered += usize::from(calls.iter().any(|call| call.is_delivered()));
    }
}

/// Verdict on a run.
#[derive(Debug, Default)]
pub struct Verdict {
    /// All messages.
    pub all: Tally,
    /// Short-lived messages.
    pub short_lived: Tally,
    /// Number of messages that were abandoned although an endpoint wrote status 200 for them before their deadline. No
    /// rule forbids it, but their clients are told wrongly.
    pub abandoned_after_delivery: usize,
    /// Number of those that were also answered with status 410 before or after the delivery.
    pub abandoned_after_delivery_and_over: usize,
    /// Number of messages for which an endpoint wrote status 410.
    pub over: usize,
    /// Number of messages that were accepted and not delivered, and on whose connection a copy of a response with status
    /// 410 arrived during their call, without one of their own.
    pub undelivered_after_copied_over: usize,
    /// Number of messages that were called again after an endpoint wrote status 504 for them.
    pub called_after_exhausted: usize,
    /// Number of calls.
    pub calls: usize,
    /// Number of surplus responses that were written.
    pub copies: usize,
    /// Number of connections that endpoints accepted.
    pub connections: usize,
    /// Longest time for which the laboratory itself was held up, by which its times may be late.
    pub longest_pause: Duration,
    /// Number of times that the event loop of an instance was held up, as the logs say, since its last start.
    pub event_loop_delays: usize,
    /// Times from the deadline to the final outcome of the accepted messages that had one later than that and whose instance
    /// was not restarted meanwhile, shortest first.
    pub lateness: Vec<Duration>,
    /// Violations, each with the timeline of its message.
    pub violations: Vec<(Violation, String)>,
}

impl Verdict {
    /// Returns the number of violations of one rule.
    pub fn count(&self, violation: Violation) -> usize {
        self.violations.iter().filter(|(found, _)| *found == violation).count()
    }
}

/// Returns how long after its deadline a message had its final outcome, unless a restart of its instance extends the time.
fn lateness(record: &Record, message: &str, submission: &Submission) -> Option<Duration> {
    let deadline = latest_deadline(record, submission);
    let due = record.due(submission.instance, deadline, LOST_SLACK, LOST_SLACK_AFTER_RESTART);
    let end = record.end_of(message).filter(|_| submission.accepted && due == deadline + LOST_SLACK)?;
    end.checked_duration_since(deadline)
}

/// Returns the deadline of a message, counted from the end of a pause of the laboratory in which its command was written.
fn latest_deadline(record: &Record, submission: &Submission) -> Instant {
    record.latest(submission.submitted) + submission.time_to_live()
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Self { all, short_lived, abandoned_after_delivery, calls, copies, connections, .. } = self;
        let Tally { submitted, accepted, delivered } = all;
        write!(f, "laboratory held up {:?}, ", self.longest_pause)?;
        write!(f, "submitted {submitted}, accepted {accepted}, delivered {delivered}, ")?;
        let Tally { submitted, accepted, delivered } = short_lived;
        write!(f, "of these short-lived {submitted}, {accepted}, {delivered}, ")?;
        write!(f, "calls {calls}, connections {connections}, ")?;
        write!(f, "abandoned after a delivery {abandoned_after_delivery}, ")?;
        write!(f, "of these also over {}, ", self.abandoned_after_delivery_and_over)?;
        write!(f, "over {}, ", self.over)?;
        write!(f, "undelivered after a copied 410 {}, ", self.undelivered_after_copied_over)?;
        write!(f, "called after 504 {}, ", self.called_after_exhausted)?;
        let latest = self.lateness.last().copied().unwrap_or_default();
        let over_half = self.lateness.iter().filter(|lateness| **lateness > LOST_SLACK / 2).count();
        write!(
            f,
            "ended after the deadline {} (over 150 ms {over_half}, latest {latest:?}), ",
            self.lateness.len()
        )?;
        write!(f, "event loops held up {} times, ", self.event_loop_delays)?;
        write!(f, "surplus responses {copies}, lost {}, ", self.count(Violation::Lost))?;
        write!(f, "sent again {}, ", self.count(Violation::SentAgain))?;
        write!(f, "two at once {}, ", self.count(Violation::TwoAtOnce))?;
        write!(f, "sent after the end {}, ", self.count(Violation::SentAfterEnd))?;
        write!(f, "sent after 410 {}, ", self.count(Violation::SentAfterOver))?;
        write!(f, "sent after a proven delivery {}, ", self.count(Violation::SentAfterDelivery))?;
        write!(f, "rejected after execution {}", self.count(Violation::RejectedAfterExecution))
    }
}

/// Returns the verdict on a finished run.
pub(super) fn audit(record: &Record) -> Verdict {
    let mut verdict =
        Verdict { calls: record.calls.len(), copies: record.copies.len(), ..Verdict::default() };
    verdict.longest_pause = record.longest_pause();
    let connections: std::collections::BTreeSet<_> =
        record.calls.iter().map(|call| (call.endpoint, call.connection)).collect();
    verdict.connections = connections.len();
    for (message, submission) in &record.submissions {
        let calls: Vec<_> = record.calls_of(message).collect();
        verdict.all.add(submission, &calls);
        if submission.time_to_live() <= SHORT_TIME_TO_LIVE {
            verdict.short_lived.add(submission, &calls);
        }
        let is_over = calls.iter().any(|call| call.over_since().is_some());
        let is_abandoned = is_abandoned_after_delivery(record, message, submission, &calls);
        verdict.abandoned_after_delivery += usize::from(is_abandoned);
        verdict.abandoned_after_delivery_and_over += usize::from(is_abandoned && is_over);
        verdict.lateness.extend(lateness(record, message, submission));
        verdict.over += usize::from(is_over);
        verdict.undelivered_after_copied_over +=
            usize::from(is_undelivered_after_copied_over(record, message, submission, &calls));
        verdict.called_after_exhausted += usize::from(is_called_after_exhausted(&calls));
        let checks = [
            (Violation::Lost, is_lost(record, message, submission, &calls)),
            (Violation::SentAgain, is_sent_again(submission, &calls)),
            (Violation::TwoAtOnce, is_sent_twice_at_once(record, &calls)),
            (Violation::SentAfterEnd, is_sent_after_end(record, message, &calls)),
            (Violation::SentAfterOver, is_sent_after_over(record, submission, &calls)),
            (Violation::SentAfterDelivery, is_sent_after_delivery(record, submission, &calls)),
            (
                Violation::RejectedAfterExecution,
                is_rejected_after_execution(record, message, submission, &calls),
            ),
        ];
        for (violation, _) in checks.into_iter().filter(|(_, found)| *found) {
            verdict.violations.push((violation, record.timeline(message)));
        }
    }
    verdict.lateness.sort();
    verdict
}

fn is_lost(record: &Record, message: &str, submission: &Submission, calls: &[&Call]) -> bool {
    let deadline = latest_deadline(record, submission);
    let due = record.due(submission.instance, deadline, LOST_SLACK, LOST_SLACK_AFTER_RESTART);
    let delivered =
        calls.iter().any(|call| call.is_delivered() && call.answered.is_some_and(|(at, _)| at <= due));
    let is_over = calls.iter().any(|call| !call.spoilt && call.over_since().is_some());
    let mut outcomes = record.outcomes.get(message).into_iter().flatten();
    let finished = outcomes.any(|(at, _)| record.earliest(*at) <= due);
    submission.accepted && !delivered && !finished && !is_over
}

/// Returns `true` if a call followed one that may have executed the message, unless its class allows that.
fn is_sent_again(submission: &Submission, calls: &[&Call]) -> bool {
    let class = SERVICE_CLASSES[submission.class];
    let first_possible = calls.iter().find(|call| !call.is_rejected());
    let Some(first) = first_possible else { return false };
    let window = class.window + RULE_TOLERANCE;
    calls.iter().filter(|call| call.arrived > first.arrived).any(|call| match class.effect {
        "free" => false,
        "guarded" => call.arrived > first.arrived + window,
        _ => true,
    })
}

fn is_sent_twice_at_once(record: &Record, calls: &[&Call]) -> bool {
    let crossing = CROSSING + record.max_path_time;
    calls.iter().enumerate().any(|(index, later)| {
        calls[..index].iter().any(|earlier| earlier.ended().is_none_or(|end| end > later.arrived + crossing))
    })
}

fn is_sent_after_end(record: &Record, message: &str, calls: &[&Call]) -> bool {
    let first = record.outcomes.get(message).and_then(|outcomes| outcomes.first());
    first.is_some_and(|(at, _)| calls.iter().any(|call| call.arrived > *at + CROSSING + record.max_path_time))
}

/// Returns `true` if a call arrived later than an instance needs to read a response that was written at one of `ends`,
/// unless its process ended before it can have read that.
fn is_sent_after(
    record: &Record,
    submission: &Submission,
    calls: &[&Call],
    mut ends: impl Iterator<Item = Instant>,
) -> bool {
    let read_time = READ_TIME + record.max_hold_up;
    ends.any(|at| {
        !record.may_be_unread(submission.instance, at, read_time)
            && calls.iter().any(|call| call.arrived > at + READ_TIME)
    })
}

fn is_sent_after_over(record: &Record, submission: &Submission, calls: &[&Call]) -> bool {
    is_sent_after(record, submission, calls, calls.iter().filter_map(|call| call.over_since()))
}

fn is_sent_after_delivery(record: &Record, submission: &Submission, calls: &[&Call]) -> bool {
    let proven = calls.iter().filter(|call| call.is_first && call.is_delivered());
    let answers = proven.filter_map(|call| call.answered.map(|(at, _)| (call, at)));
    // The classes that may be repeated allow a repetition, and the others are checked for it apart from this.
    let ends = answers.filter(|(call, at)| !record.may_count_as_late(call, *at)).map(|(_, at)| at);
    is_sent_after(record, submission, calls, ends)
}

fn is_called_after_exhausted(calls: &[&Call]) -> bool {
    let is_exhausted = |call: &&&Call| call.answered.is_some_and(|(_, status)| status == STATUS_EXHAUSTED);
    let ends = calls.iter().filter(is_exhausted).filter_map(|call| call.ended());
    ends.min().is_some_and(|first| calls.iter().any(|call| call.arrived > first))
}

fn is_undelivered_after_copied_over(
    record: &Record,
    message: &str,
    submission: &Submission,
    calls: &[&Call],
) -> bool {
    let is_copied =
        |copy: &&Copy| copy.is_over && copy.before_message == message && copy.of_message != message;
    submission.accepted
        && !calls.iter().any(|call| call.is_delivered() || call.over_since().is_some())
        && record.copies.iter().any(|copy| is_copied(&copy))
}

fn is_rejected_after_execution(
    record: &Record,
    message: &str,
    submission: &Submission,
    calls: &[&Call],
) -> bool {
    let must_not_be_executed_twice = SERVICE_CLASSES[submission.class].effect == "single_shot";
    let rejected = record.outcomes.get(message).into_iter().flatten().find(|(_, rejected)| *rejected);
    must_not_be_executed_twice
        && rejected.is_some_and(|(at, _)| calls.iter().any(|call| !call.is_rejected() && call.arrived < *at))
}

fn is_abandoned_after_delivery(
    record: &Record,
    message: &str,
    submission: &Submission,
    calls: &[&Call],
) -> bool {
    let mut delivered = calls.iter().filter(|call| call.is_delivered());
    let in_time = delivered.any(|call| call.answered.is_some_and(|(at, _)| at <= submission.deadline));
    let outcomes = record.outcomes.get(message);
    in_time && outcomes.is_some_and(|outcomes| outcomes.iter().any(|(_, rejected)| !rejected))
}

#[cfg(test)]
#[path = "audit_tests.rs"]
mod tests;
