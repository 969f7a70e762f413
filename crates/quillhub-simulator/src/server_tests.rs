//! Routes that warm up, and faults of a server that compose.

use super::*;

fn route(rules: &RuleSettings, per_s: f64) -> Route {
    let recovered_at = Some(rules.overload_span * 10);
    Route { servers: vec![0], recovered_at, per_s, ..Route::new(None) }
}

/// Whether a cold route that takes 10 calls a second when warm is overloaded by `per_s` for the warm-up.
fn is_overloaded_by(per_s: u64) -> bool {
    let rules = RuleSettings::default();
    let mut route = route(&rules, 10.0);
    let from = route.recovered_at.unwrap();
    let calls = (0..per_s * 10).map(|n| from + Duration::from_millis(1_000 * n / per_s));
    calls.into_iter().any(|at| route.record_call(at, &rules))
}

#[test]
fn a_cold_route_is_overloaded_by_more_than_its_multiple_for_the_span() {
    // After 3 s it could do 20% to 44% of 10 a second: 9.6 in the span, and twice that may come.
    assert!(!is_overloaded_by(6) && is_overloaded_by(7));
}

#[test]
fn faults_compose() {
    let mut server = Server::new(0, 0, 0, 0, 1.0);
    server.faults =
        vec![(0, ServerFault::Slow(2.0)), (1, ServerFault::Slow(3.0)), (2, ServerFault::Errs(0.5))];
    assert_eq!((server.slowdown(), server.error_share(), server.is_out()), (6.0, 0.5, false));
    server.faults.push((3, ServerFault::Errs(0.5)));
    assert_eq!(server.error_share(), 0.75);
    server.faults.retain(|(fault, _)| *fault != 0);
    assert_eq!(server.slowdown(), 3.0);
}
