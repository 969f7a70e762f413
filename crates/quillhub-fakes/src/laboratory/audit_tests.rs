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

    /// Records a call whose connection is closed before its response.
    fn closed(mut self, arrived: u64, closed: u64) -> Self {
        let closed = Some(self.at(closed));
        self.add_call(arrived, None, closed);
        self
    }

    fn add_call(&mut self, arrived: u64, answered: Option<(Instant, u16)>, closed: Option<Instant>) {
        let (arrived, connection) = (self.at(arrived), self.0.calls.len() as u64);
        self.0.calls.push(Call { message: "m".into(), endpoint: 0, connection, arrived, answered, closed });
    }

    /// Records a final outcome at the platform.
    fn finished(mut self, at: u64) -> Self {
        let at = self.at(at);
        self.0.outcomes.entry("m".into()).or_default().push((at, false));
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
