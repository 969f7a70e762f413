use crate::policy::outlier::Health;
use crate::policy::test_support::*;
use crate::{AttemptOutcome, RetrySafety, ms};

/// Guards against treating full connection tables as outages: with 318 instances and no failures, this happened 20,137
/// times.
#[test]
fn a_full_connection_table_shortens_the_idle_timeout_and_is_not_treated_as_an_outage() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.set_endpoint_idle_timeout(ms(5_000));
    for step in 1..=20 {
        dispatcher.advance_to(ms(step * 200));
        let attempt = attempt_at("a", dispatcher.state.now);
        process_outcome(&mut dispatcher, &attempt, AttemptOutcome::ConnectionLimit);
    }
    let route = route(&dispatcher);
    assert!(route.limit.paused_until().is_zero() && !route.streak.is_suspect(dispatcher.state.now));
    assert_eq!(endpoint(&dispatcher, "a").health.status(), Health::Healthy);
    let connections = &dispatcher.state.shared.connections;
    let timeout = &connections.timeouts["k"];
    assert!(connections.idle_since.is_empty() && timeout.current == timeout.min);
}

/// Guards against needless waiting: messages refused at the connection limit waited out their backoff while open
/// connections to the same destination were idle.
#[test]
fn a_message_refused_at_the_connection_limit_uses_an_idle_connection_during_its_backoff() {
    for (outcome, attempted) in
        [(AttemptOutcome::ConnectionLimit, true), (AttemptOutcome::ConnectFailed, false)]
    {
        let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
        dispatcher.set_endpoint_idle_timeout(ms(5_000));
        submit(&mut dispatcher, 1, None);
        submit(&mut dispatcher, 2, None);
        dispatcher.advance_to(ms(50));
        dispatcher.attempt_ended(ended(2, 0, outcome));
        assert!(actions(&mut dispatcher).is_empty());
        dispatcher.state.pending.get_mut(&2).unwrap().not_before = ms(900);
        dispatcher.advance_to(ms(90));
        dispatcher.attempt_ended(delivered(1, 0));
        assert_eq!(actions(&mut dispatcher) == ["attempt 2 a"], attempted, "{outcome:?}");
    }
}
