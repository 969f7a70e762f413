use super::*;
use crate::policy::test_support::*;
use crate::{
    AttemptOutcome, AttemptPlan, AttemptResult, ConnectionId, Driver, LogEvent, MessageId, NewMessage,
    RetrySafety, Uncertainty,
};

fn age(at_least: u64, at_most: u64) -> CommandAge {
    CommandAge { at_least: ms(at_least), at_most: ms(at_most) }
}

/// Guards against a deadline that counts from the execution of a command: the time that it waited was not charged, and the
/// final outcome of its message came late by that.
#[test]
fn the_whole_age_that_a_command_may_have_is_charged_to_its_message() {
    assert_eq!(age(0, 0).time_left(ms(2_000)), Some(ms(2_000)));
    assert_eq!(age(180, 180).time_left(ms(2_000)), Some(ms(1_820)));
    assert_eq!(age(0, 50).time_left(ms(2_000)), Some(ms(1_950)));
    assert_eq!(age(0, 9_000).time_left(ms(2_000)), Some(ms(1_600)), "a client leaves after 400 ms");
}

/// Guards against the acceptance of a message whose client has left by the time of the reply, and of one without time left.
#[test]
fn a_command_is_rejected_if_its_client_may_have_left_or_its_time_is_over() {
    assert_eq!(age(250, 250).time_left(ms(2_000)), Some(ms(1_750)));
    assert_eq!(age(251, 251).time_left(ms(2_000)), None);
    assert_eq!(age(150, 150).time_left(ms(150)), None);
    assert_eq!(age(150, 150).time_left(ms(100)), None);
    assert_eq!(age(149, 149).time_left(ms(150)), Some(ms(1)));
}

/// Guards against stages that each have an allowance of their own: the sum of the hold-up, of the attribution and of a lost
/// report exceeded the limit of the final outcome.
#[test]
fn the_stages_after_the_last_call_fit_into_the_limit_for_any_time_to_live() {
    for time_left in (1..=400).chain([1_000, 5_000]).map(ms) {
        let now = ms(1_000);
        let budget = DeadlineBudget::with_reserve(now + time_left, now);
        assert!(budget.calls_end > now && budget.calls_end <= budget.deadline, "{budget:?}");
        assert!(
            time_left - (budget.calls_end - now) <= time_left / 8,
            "most of the time is for calls: {budget:?}"
        );
        let read = budget.decided_by + MAX_HOLD_UP + REPORT_REPEAT_DELAY + REPORT_TIME;
        assert!(read <= budget.deadline + OUTCOME_LIMIT, "{budget:?}");
    }
    let budget = DeadlineBudget::with_reserve(ms(3_000), ms(1_000));
    assert_eq!((budget.calls_end, budget.decided_by), (ms(2_850), ms(3_000)));
}

/// Guards against a delivered message that is sent again since a process that was held up read its response late, and against
/// a late response that counts.
#[test]
fn a_response_counts_by_its_arrival_if_that_is_known_and_not_long_ago() {
    let deadline = ms(1_000);
    let is_in_time = |read, arrived: Option<u64>| is_response_in_time(ms(read), arrived.map(ms), deadline);
    for (read, arrived) in [(999, None), (999, Some(999)), (1_001, Some(1_000)), (1_150, Some(900))] {
        assert!(is_in_time(read, arrived), "read at {read}, arrived at {arrived:?}");
    }
    for (read, arrived) in [(1_000, None), (1_150, None), (1_002, Some(1_001)), (1_150, Some(899))] {
        assert!(!is_in_time(read, arrived), "read at {read}, arrived at {arrived:?}");
    }
}

/// How the calls of a message end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallEnd {
    /// Without a response.
    TimesOut,
    /// Soon, as the connection breaks.
    Breaks,
    /// At the last moment, with a response that stays unattributed, of this outcome.
    Unattributed(AttemptOutcome),
}

const CALL_ENDS: [CallEnd; 5] = [
    CallEnd::TimesOut,
    CallEnd::Breaks,
    CallEnd::Unattributed(AttemptOutcome::Delivered),
    CallEnd::Unattributed(AttemptOutcome::Over),
    CallEnd::Unattributed(AttemptOutcome::Rejected { retry_after: None }),
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    TimerFired,
    AttemptEnded { attempt: u32, is_last_moment: bool },
    ReportRead,
}

/// Host of one message in virtual time, which is held up once and whose first report may be lost.
struct Host {
    now: Duration,
    hold_up: Duration,
    call_end: CallEnd,
    is_report_lost: bool,
    events: std::collections::BTreeSet<(Duration, Event)>,
    attempts: u32,
}

impl Host {
    /// Schedules an event, which is handled at the end of the hold-up if it falls into that.
    fn schedule(&mut self, at: Duration, event: Event) {
        self.events.insert((self.held_up(at), event));
    }

    fn held_up(&self, at: Duration) -> Duration {
        let is_held_up = at >= self.hold_up && at < self.hold_up + MAX_HOLD_UP;
        if is_held_up { self.hold_up + MAX_HOLD_UP } else { at }
    }

    fn decided(&mut self) {
        let repeated = self.held_up(self.now + REPORT_REPEAT_DELAY);
        let sent = if self.is_report_lost { repeated } else { self.now };
        self.schedule(sent + REPORT_TIME, Event::ReportRead);
    }
}

impl Driver for Host {
    fn start_attempt(&mut self, _: MessageId, _: &str, plan: AttemptPlan) {
        let attempt = self.attempts;
        self.attempts += 1;
        let (duration, is_last_moment) = match self.call_end {
            CallEnd::TimesOut => (plan.timeout, true),
            CallEnd::Breaks => (ms(5).min(plan.timeout), false),
            CallEnd::Unattributed(_) => (plan.timeout.saturating_sub(ms(1)), true),
        };
        self.schedule(self.now + duration, Event::AttemptEnded { attempt, is_last_moment });
    }
    fn reject(&mut self, _: MessageId, _: Option<Duration>) {
        self.decided();
    }
    fn abandon(&mut self, _: MessageId) {
        self.decided();
    }
    fn close_idle_connections(&mut self, _: &str) {}
    fn broadcast(&mut self, _: &[u8]) {}
    fn set_timer(&mut self, wait: Duration) {
        self.schedule(self.now + wait, Event::TimerFired);
    }
    fn watch_endpoints(&mut self) {}
    fn log(&mut self, _: &LogEvent) {}
}

/// Returns the time at which the platform reads the final outcome of a message that has `time_left` when it is accepted, or
/// `None` if the message ends without one.
fn outcome_read(retry_safety: RetrySafety, time_left: Duration, host: &mut Host) -> Option<Duration> {
    let mut dispatcher = dispatcher_for(retry_safety);
    dispatcher.attribute_by_order();
    dispatcher.reserve_outcome_time();
    host.now = ms(1);
    dispatcher.advance_to(host.now);
    dispatcher.accept(NewMessage { deadline: host.now + time_left, ..message(1) }).unwrap();
    dispatcher.apply_rules(host);
    while let Some((at, event)) = host.events.pop_first() {
        host.now = at;
        dispatcher.advance_to(at);
        match event {
            Event::TimerFired => dispatcher.timer_fired(),
            Event::ReportRead => return Some(at),
            Event::AttemptEnded { attempt, .. } => match host.call_end {
                CallEnd::TimesOut => dispatcher.attempt_ended(ended(1, attempt, AttemptOutcome::TimedOut)),
                CallEnd::Breaks => {
                    dispatcher.attempt_ended(ended(1, attempt, AttemptOutcome::ConnectionReset))
                }
                CallEnd::Unattributed(outcome) => {
                    let finished = matches!(outcome, AttemptOutcome::Delivered | AttemptOutcome::Over);
                    let connection = Some(ConnectionId(1));
                    let result = AttemptResult { finished, connection, ..ended(1, attempt, outcome) };
                    dispatcher.attempt_ended_unattributed(result, Uncertainty::Call);
                }
            },
        }
        dispatcher.apply_rules(host);
    }
    None
}

/// Guards against a final outcome that is late since the process was held up at one stage, whichever it was, while another
/// stage took its whole time: the wait in front, the calls, the attribution, the decision, or the report.
#[test]
fn the_final_outcome_is_read_in_time_wherever_the_process_is_held_up_and_whichever_report_is_lost() {
    let mut outcomes = 0;
    for retry_safety in [RetrySafety::Idempotent, DEDUPLICATED, RetrySafety::AtMostOnce] {
        for call_end in CALL_ENDS {
            for (time_to_live, waited) in
                [(120, 0), (150, 60), (250, 0), (250, 150), (600, 250), (2_000, 0), (2_000, 180)]
            {
                let waited = ms(waited);
                let time_left =
                    CommandAge { at_least: waited, at_most: waited }.time_left(ms(time_to_live)).unwrap();
                let deadline = ms(1) + time_left;
                for hold_up in (0..700).step_by(10).map(ms) {
                    let hold_up = (deadline + ms(300)).saturating_sub(hold_up);
                    let mut host = Host {
                        now: ms(0),
                        hold_up,
                        call_end,
                        is_report_lost: hold_up.as_millis() % 20 < 10,
                        events: Default::default(),
                        attempts: 0,
                    };
                    let Some(read) = outcome_read(retry_safety, time_left, &mut host) else { continue };
                    outcomes += 1;
                    assert!(
                        read <= deadline + OUTCOME_LIMIT,
                        "{retry_safety:?}, {call_end:?}, {time_left:?} left, held up at {hold_up:?}: read {:?} late",
                        read - deadline
                    );
                }
            }
        }
    }
    assert!(outcomes > 4_000, "only {outcomes} messages had a final outcome");
}
