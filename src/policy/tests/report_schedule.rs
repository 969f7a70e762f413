use super::*;

/// Guards against a platform that has become slow and gets more and more requests.
#[test]
fn the_time_between_two_requests_doubles_up_to_its_maximum() {
    let mut schedule = ReportSchedule::new();
    let delays: Vec<_> = (0..7).map(|_| schedule.next_delay().as_millis()).collect();
    assert_eq!(delays, [50, 100, 200, 400, 800, 1_000, 1_000]);
}
