use super::*;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Requests without tasks, which start at given times.
struct Requests {
    requests: OverlappingRequests<()>,
    zero: Instant,
}

impl Requests {
    fn new() -> Self {
        Self { requests: OverlappingRequests::new(), zero: Instant::now() }
    }

    fn start(&mut self, after: f64) -> (RequestId, Progress) {
        let mut started = None;
        self.requests.start(self.zero + seconds(after), true, |id, progress| started = Some((id, progress)));
        started.unwrap()
    }
}

/// A late response would be lost if its request were given up when the next one is sent.
#[test]
fn a_request_stays_open_until_a_younger_one_is_answered() {
    let mut requests = Requests::new();
    let ids = [0.0, 2.5, 5.0].map(|after| requests.start(after).0);
    assert_eq!(requests.requests.mark_overdue(requests.zero + seconds(5.0)), 2);
    assert!(ids.iter().all(|id| requests.requests.is_open(*id)));
    requests.requests.on_answer(ids[1]);
    assert_eq!(ids.map(|id| requests.requests.is_open(id)), [false, true, true]);
}

/// Requests that are never answered would pile up while discovery is down, and exhaust the descriptors.
#[test]
fn the_request_without_progress_for_the_longest_time_is_given_up_once_too_many_are_open() {
    let mut requests = Requests::new();
    let (receives_list, progress) = requests.start(0.0);
    let unanswered = [2.5, 5.0, 7.5].map(|after| requests.start(after).0);
    progress.record_at(requests.zero + seconds(9.0));
    let (newest, _) = requests.start(10.0);
    let open = [receives_list, unanswered[0], unanswered[1], unanswered[2], newest];
    assert_eq!(open.map(|id| requests.requests.is_open(id)), [true, false, true, true, true]);
}

/// Half a response must not delay the next request for longer than no response does; a complete one ends the wait.
#[test]
fn an_overdue_request_is_in_time_again_only_once_it_is_answered() {
    let mut requests = Requests::new();
    let (id, progress) = requests.start(0.0);
    let late = requests.zero + RESPONSE_TIMEOUT;
    assert_eq!((requests.requests.mark_overdue(late), requests.requests.next_timeout()), (1, None));
    progress.record_at(late);
    assert!(!requests.requests.is_any_in_time());
    requests.requests.on_answer(id);
    assert_eq!(requests.requests.next_timeout(), Some(late + RESPONSE_TIMEOUT));
}

/// Changes that discovery had before those that a watch has reported meanwhile would undo them.
#[test]
fn a_late_response_with_a_lower_revision_than_a_watch_reported_meanwhile_is_not_applied() {
    let mut requests = Requests::new();
    let (watch, late) = (requests.start(0.0).0, requests.start(2.5).0);
    requests.requests.on_applied(watch, 9);
    let order = |requests: &Requests, id, revision, complete| requests.requests.order(id, revision, complete);
    assert_eq!(order(&requests, late, 8, false), ListOrder::Outdated);
    assert_eq!(order(&requests, late, 8, true), ListOrder::Undecided);
    assert_eq!(order(&requests, late, 9, false), ListOrder::Current);
}

/// Discovery that has restarted may count its revisions anew, and its list would never apply.
#[test]
fn a_list_that_was_requested_after_the_last_one_was_applied_applies_whatever_its_revision() {
    let mut requests = Requests::new();
    let watch = requests.start(0.0).0;
    requests.requests.on_applied(watch, 9);
    let later = requests.start(2.5).0;
    let order = |requests: &Requests, id, complete| requests.requests.order(id, 2, complete);
    assert_eq!([false, true].map(|complete| order(&requests, later, complete)), [ListOrder::Current; 2]);
    assert_eq!([false, true].map(|complete| order(&requests, watch, complete)), [ListOrder::Current; 2]);
}

/// What another discovery has told, and its requests that are still open, say nothing about the one at a new address.
#[test]
fn nothing_is_open_or_known_after_discovery_has_moved() {
    let mut requests = Requests::new();
    let (watch, late) = (requests.start(0.0).0, requests.start(2.5).0);
    requests.requests.on_applied(watch, 9);
    requests.requests.clear();
    assert!(!requests.requests.is_open(late) && !requests.requests.is_open(watch));
    assert_eq!(requests.requests.order(late, 2, true), ListOrder::Current);
}
