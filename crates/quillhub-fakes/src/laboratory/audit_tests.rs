use super::*;
use tokio::time::Instant;

const ONCE: usize = 2;
const KEYED: usize = 1;
const FREE: usize = 0;

/// Record of one message `m`, with times in milliseconds after the start.
struct Builder(Record);

impl Builder {
    /// Records the submission of a message of `class` that is accepted, with 4 s left.
    fn new(class: usize) -> Self {
        let submitted = Instant::now();
        let mut record = Record::new(submitted);
        let deadline = submitted + Duration::from_secs(4);
        let submission = Submission { class, instance: 0, submitted, deadline, accepted: true };
        record.submissions.insert("m".into(), submission);
        Self(record)
    }

    fn at(&self, millis: u64) -> Instant {
        self.0.started + Duration::from_millis(millis)
    }

    /// Records a call with the time and status of its response.
    fn answered(mut self, arrived: u64, answered: u64, status: u16) -> Self {
        let answered = Some((self.at(answered), status));
        self.add_call(arrived, answered, None);
        self
    }

    /// Makes the last call one that was executed and got a malformed response.
    fn spoilt(mut self) -> Self {
        self.0.calls.last_mut().unwrap().spoilt = true;
        self
    }

    /// Records a call whose connection is closed before its response.
    fn closed(mut self, arrived: u64, closed: u64) -> Self {
        let closed = Some(self.at(closed));
        self.add_call(arrived, None, closed);
        self
    }

    fn add_call(&mut self, arrived: u64, answered: Option<(Instant, u16)>, closed: Option<Instant>) {
        let (message, connection) = ("m".into(), self.0.calls.len() as u64);
        let (arrived, spoilt) = (self.at(arrived), false);
        self.0.calls.push(Call { message, endpoint: 0, connection, arrived, answered, closed, spoilt });
    }

    /// Records that the message is abandoned.
    fn finished(self, at: u64) -> Self {
        self.finished_as(at, false)
    }

    /// Records a final outcome at the platform.
    fn finished_as(mut self, at: u64, rejected: bool) -> Self {
        let at = self.at(at);
        self.0.outcomes.entry("m".into()).or_default().push((at, rejected));
        self
    }

    fn violations(&self) -> Vec<Violation> {
        audit(&self.0).violations.into_iter().map(|(violation, _)| violation).collect()
    }
}

/// Guards against an audit that cannot fail: a lost message is one that no endpoint delivered and no notification ended.
#[test]
fn a_message_is_lost_without_a_delivery_or_a_final_outcome_in_time() {
    assert_eq!(Builder::new(FREE).violations(), [Violation::Lost]);
    assert_eq!(Builder::new(FREE).answered(10, 50, 503).violations(), [Violation::Lost]);
    assert_eq!(Builder::new(FREE).answered(10, 50, 200).violations(), []);
    assert_eq!(Builder::new(FREE).finished(4_250).violations(), []);
    assert_eq!(Builder::new(FREE).finished(4_350).violations(), [Violation::Lost]);
}

/// Guards against an audit that misses repeated executions, which each class allows differently.
#[test]
fn a_message_is_sent_again_only_as_its_class_allows() {
    let repeated = |class| Builder::new(class).answered(10, 50, 500).answered(100, 150, 200).violations();
    assert_eq!(repeated(ONCE), [Violation::SentAgain]);
    assert_eq!(repeated(KEYED), []);
    assert_eq!(repeated(FREE), []);
    let after_close = Builder::new(ONCE).closed(10, 50).answered(100, 150, 200);
    assert_eq!(after_close.violations(), [Violation::SentAgain]);
    let after_rejection = Builder::new(ONCE).answered(10, 50, 503).answered(100, 150, 200);
    assert_eq!(after_rejection.violations(), []);
    let after_window = Builder::new(KEYED).answered(10, 50, 500).answered(2_100, 2_150, 200);
    assert_eq!(after_window.violations(), [Violation::SentAgain]);
}

/// Guards against an audit that takes a malformed rejection for one of a message that was not executed.
#[test]
fn a_message_was_executed_by_a_call_with_a_malformed_rejection() {
    let sent_again = Builder::new(ONCE).answered(10, 50, 503).spoilt().answered(100, 150, 200);
    assert_eq!(sent_again.violations(), [Violation::SentAgain]);
    let rejected =
        |class| Builder::new(class).answered(10, 50, 503).spoilt().finished_as(100, true).violations();
    assert_eq!(rejected(ONCE), [Violation::RejectedAfterExecution]);
    assert_eq!(rejected(KEYED), []);
    assert_eq!(rejected(FREE), []);
    assert_eq!(Builder::new(ONCE).answered(10, 50, 503).spoilt().finished(100).violations(), []);
    assert_eq!(Builder::new(ONCE).answered(10, 50, 503).finished_as(100, true).violations(), []);
    assert_eq!(Builder::new(ONCE).finished_as(100, true).violations(), []);
}

/// Guards against an audit that does not count messages that are abandoned although an endpoint delivered them in time.
#[test]
fn messages_that_are_abandoned_after_a_delivery_in_time_are_counted() {
    let abandoned = |builder: Builder| audit(&builder.0).abandoned_after_delivery;
    assert_eq!(abandoned(Builder::new(FREE).answered(10, 50, 200).finished(4_100)), 1);
    assert_eq!(abandoned(Builder::new(FREE).answered(10, 4_050, 200).finished(4_100)), 0);
    assert_eq!(abandoned(Builder::new(FREE).answered(10, 50, 200).finished_as(4_100, true)), 0);
    assert_eq!(abandoned(Builder::new(FREE).answered(10, 50, 200)), 0);
}

/// Guards against an audit that misses overlapping attempts, whose end is the response or the close.
#[test]
fn two_calls_are_out_at_once_until_the_first_is_answered_or_closed() {
    let overlapping = Builder::new(FREE).answered(10, 200, 500).answered(100, 150, 200);
    assert_eq!(overlapping.violations(), [Violation::TwoAtOnce]);
    assert_eq!(Builder::new(FREE).closed(10, 90).answered(100, 150, 200).violations(), []);
    assert_eq!(
        Builder::new(FREE).closed(10, 300).answered(100, 150, 200).violations(),
        [Violation::TwoAtOnce]
    );
}

/// Guards against an audit that misses a call after the final outcome of its message.
#[test]
fn a_call_after_the_final_outcome_is_reported() {
    assert_eq!(
        Builder::new(FREE).finished(50).answered(100, 150, 200).violations(),
        [Violation::SentAfterEnd]
    );
    assert_eq!(Builder::new(FREE).answered(10, 40, 503).finished(50).violations(), []);
}
