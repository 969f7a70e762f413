use super::*;
use crate::policy::deadline_budget::ATTRIBUTION_TIME;
use crate::policy::test_support::*;
use crate::{ConnectionId, Dispatcher, ms};

const CALL: CallId = CallId { message: 1, attempt: 0 };
/// Deadline of the first attempt, which starts at 1 ms and for which no latency is known.
const CALL_DEADLINE: Duration = ms(2_001);
/// Deadline of the message, which is that of the first attempt too if the message is at-most-once.
const MESSAGE_DEADLINE: Duration = ms(10_001);
/// Time at which the backoff after a rejected first attempt is over, and the route may be called again after [`LATER_MESSAGE`].
const AFTER_BACKOFF: Duration = ms(4_000);

/// Message whose answer shows that the endpoint still answers, and the start of its call, after the endpoint should have
/// answered the first one.
const LATER_MESSAGE: MessageId = 2;
const LATER: Duration = ms(2_000);

/// Returns a dispatcher with message 1, whose attempt ended with `outcome` on a reused connection at 100 ms.
fn ended_unattributed(retry_safety: RetrySafety, outcome: AttemptOutcome) -> Dispatcher {
    ended_with(retry_safety, outcome, Uncertainty::Call)
}

/// Attributes the response to a call: its connection was quiet, and the endpoint certainly answered a call that started at
/// [`LATER`].
fn attribute(dispatcher: &mut Dispatcher, call: CallId) {
    dispatcher.connection_quiet(call);
    dispatcher.advance_to(LATER);
    let started = submit(dispatcher, LATER_MESSAGE, None);
    assert!(started.iter().any(|action| action.starts_with("attempt 2")), "{started:?}");
    let result = AttemptResult { connection: Some(ConnectionId(2)), ..delivered(LATER_MESSAGE, 0) };
    dispatcher.attempt_ended(result);
}

/// Advances the clock and returns the actions that concern messages.
fn actions_at(dispatcher: &mut Dispatcher, now: Duration) -> Vec<String> {
    dispatcher.advance_to(now);
    let mut actions = actions(dispatcher);
    actions.retain(|action| !action.starts_with("watch") && !action.starts_with("close"));
    actions
}

/// Guards against two attempts at once: the rejection may be that of an earlier call, and this one still executed.
#[test]
fn a_rejected_message_is_retried_only_when_its_call_can_no_longer_be_executed() {
    for class in [RetrySafety::Idempotent, DEDUPLICATED] {
        let ended = || ended_unattributed(class, rejected());
        let in_flight_until = CALL_DEADLINE + TRANSIT_TIME;
        assert!(actions_at(&mut ended(), in_flight_until - ms(1)).is_empty());
        let mut after_deadline = ended();
        let actions = actions_at(&mut after_deadline, in_flight_until);
        assert!(actions.iter().any(|action| action.starts_with("attempt 1")), "{class:?}: {actions:?}");
        for release in [attribute, Dispatcher::response_misattributed] {
            let mut dispatcher = ended();
            release(&mut dispatcher, CALL);
            let actions = actions_at(&mut dispatcher, AFTER_BACKOFF);
            assert!(actions.iter().any(|action| action.starts_with("attempt 1")), "{actions:?}");
        }
    }
}

/// Guards against a second execution: only an attributed rejection proves that an at-most-once message was not executed.
#[test]
fn an_at_most_once_message_is_retried_only_after_an_attributed_rejection() {
    for uncertainty in [Uncertainty::Call, Uncertainty::Completeness] {
        let ended = || ended_with(RetrySafety::AtMostOnce, rejected(), uncertainty);
        assert!(actions_at(&mut ended(), ms(9_000)).is_empty());
        let mut attributed = ended();
        attribute(&mut attributed, CALL);
        assert!(actions_at(&mut attributed, AFTER_BACKOFF)[0].starts_with("attempt 1"));
        let mut misattributed = ended();
        misattributed.response_misattributed(CALL);
        assert_eq!(actions_at(&mut misattributed, AFTER_BACKOFF), ["abandon 1"]);
    }
}

/// Guards against a rejection as a final outcome for a message that the endpoint may be executing, or has executed.
#[test]
fn an_at_most_once_message_whose_rejection_stays_unattributed_is_abandoned_at_its_deadline() {
    for uncertainty in [Uncertainty::Call, Uncertainty::Completeness] {
        let mut dispatcher = ended_with(RetrySafety::AtMostOnce, rejected(), uncertainty);
        assert!(actions_at(&mut dispatcher, MESSAGE_DEADLINE - ms(1)).is_empty());
        assert_eq!(actions_at(&mut dispatcher, MESSAGE_DEADLINE), ["abandon 1"]);
    }
}

/// Guards against a wait that no class needs: the endpoint has ended the call, and a second execution does no harm.
#[test]
fn a_message_that_may_be_executed_again_is_retried_before_its_rejection_is_known_to_be_complete() {
    for class in [RetrySafety::Idempotent, DEDUPLICATED] {
        let mut dispatcher = ended_with(class, rejected(), Uncertainty::Completeness);
        let actions = actions_at(&mut dispatcher, CALL_DEADLINE);
        assert!(actions.iter().any(|action| action.starts_with("attempt 1")), "{class:?}: {actions:?}");
    }
}

/// Guards against a retry after the deduplication window of a rejected attempt: more may follow the rejection, and the
/// message may have been executed.
#[test]
fn the_deduplication_window_counts_from_an_attempt_whose_rejection_may_be_incomplete() {
    let latest_start = |dispatcher: &Dispatcher| {
        let state = &dispatcher.state;
        state.latest_start(&state.pending[&1])
    };
    let mut dispatcher = ended_with(DEDUPLICATED, rejected(), Uncertainty::Completeness);
    let within_window = latest_start(&dispatcher);
    attribute(&mut dispatcher, CALL);
    let _ = actions(&mut dispatcher);
    assert!(within_window < latest_start(&dispatcher), "{within_window:?}");
    let mut malformed = ended_with(DEDUPLICATED, rejected(), Uncertainty::Completeness);
    malformed.response_misattributed(CALL);
    assert_eq!(latest_start(&malformed), within_window);
}

/// Guards against a call after the final outcome of its message: the endpoint may not have begun it yet. An attribution
/// that cannot change the outcome is not waited for any longer than that.
#[test]
fn a_message_gets_no_final_outcome_while_its_call_may_be_executed() {
    let in_flight_until = |class| match class {
        RetrySafety::AtMostOnce => MESSAGE_DEADLINE,
        _ => CALL_DEADLINE + TRANSIT_TIME,
    };
    for (class, outcome, expected) in [
        (RetrySafety::Idempotent, rejected(), "reject 1, retry-after: true"),
        (DEDUPLICATED, rejected(), "reject 1, retry-after: true"),
        (RetrySafety::AtMostOnce, AttemptOutcome::Failed, "abandon 1"),
    ] {
        let ended = || {
            let mut dispatcher = ended_unattributed(class, outcome);
            dispatcher.set_limits(Some(8), Some(100), Some(1));
            route_mut(&mut dispatcher).limit.on_late_retry_after(ms(100), ms(2_900));
            dispatcher
        };
        let mut unattributed = ended();
        assert!(actions_at(&mut unattributed, in_flight_until(class) - ms(1)).is_empty(), "{class:?}");
        assert_eq!(actions_at(&mut unattributed, in_flight_until(class)), [expected], "{class:?}");
        let mut misattributed = ended();
        misattributed.response_misattributed(CALL);
        assert_eq!(actions_at(&mut misattributed, ms(200)), [expected], "{class:?}");
    }
}

/// Guards against lost messages: a response with status 200 may be that of an earlier call.
#[test]
fn a_delivered_message_is_pending_again_if_its_response_may_belong_to_an_earlier_call() {
    for class in [RetrySafety::Idempotent, DEDUPLICATED] {
        let mut dispatcher = ended_unattributed(class, AttemptOutcome::Delivered);
        assert!(actions_at(&mut dispatcher, ms(200)).is_empty());
        dispatcher.response_misattributed(CALL);
        assert!(actions_at(&mut dispatcher, AFTER_BACKOFF)[0].starts_with("attempt 1"));
    }
    let mut dispatcher = ended_unattributed(RetrySafety::AtMostOnce, AttemptOutcome::Delivered);
    dispatcher.response_misattributed(CALL);
    assert_eq!(actions_at(&mut dispatcher, AFTER_BACKOFF), ["abandon 1"]);
}

/// Guards against a retry after the deduplication window of a delivery that turned out to be uncertain.
#[test]
fn the_deduplication_window_counts_from_an_attempt_whose_delivery_is_uncertain() {
    let mut dispatcher = ended_unattributed(DEDUPLICATED, AttemptOutcome::Delivered);
    dispatcher.advance_to(ms(6_500));
    dispatcher.response_misattributed(CALL);
    assert_eq!(actions_at(&mut dispatcher, ms(8_000)), ["reject 1, retry-after: false"]);
}

#[test]
fn an_attributed_delivery_is_final() {
    let mut dispatcher = ended_unattributed(RetrySafety::Idempotent, AttemptOutcome::Delivered);
    attribute(&mut dispatcher, CALL);
    assert!(actions(&mut dispatcher).iter().all(|action| !action.contains(" 1")));
    dispatcher.response_misattributed(CALL);
    assert!(actions_at(&mut dispatcher, ms(20_000)).is_empty());
}

/// Guards against a message without a final outcome, should the end of its connection never be reported.
#[test]
fn a_delivery_that_stays_unattributed_is_abandoned_after_its_deadline() {
    let mut dispatcher = ended_unattributed(RetrySafety::Idempotent, AttemptOutcome::Delivered);
    assert!(actions_at(&mut dispatcher, MESSAGE_DEADLINE).is_empty());
    assert_eq!(actions_at(&mut dispatcher, MESSAGE_DEADLINE + ATTRIBUTION_TIME), ["abandon 1"]);
    assert!(actions_at(&mut dispatcher, ms(20_000)).is_empty());
}

/// Returns the connection use of the attempt of a message that is submitted at `now`.
fn connection_use(dispatcher: &mut Dispatcher, ordering_key: Option<u64>, now: Duration) -> ConnectionUse {
    let (mut driver, id) = (RecordedPlans::default(), now.as_millis() as u64);
    dispatcher.advance_to(now);
    let deadline = now + ms(9_000);
    dispatcher.accept(crate::NewMessage { ordering_key, deadline, ..message(id) }).unwrap();
    dispatcher.apply_rules(&mut driver);
    driver.0[0].connection
}

/// Guards against the reuse of connections to an endpoint that writes surplus responses.
#[test]
fn connections_to_an_endpoint_carry_a_single_call_after_a_surplus_response() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.attribute_by_order();
    assert_eq!(connection_use(&mut dispatcher, None, ms(10)), ConnectionUse::Pooled);
    let surplus = |dispatcher: &mut Dispatcher, age| {
        ["a", "b"].iter().for_each(|endpoint| dispatcher.surplus_response(endpoint, age, None));
    };
    surplus(&mut dispatcher, MAX_ADJACENT_AGE);
    assert_eq!(connection_use(&mut dispatcher, None, ms(15)), ConnectionUse::Pooled);
    surplus(&mut dispatcher, MAX_ADJACENT_AGE + ms(1));
    assert_eq!(connection_use(&mut dispatcher, None, ms(20)), ConnectionUse::Single);
    let trusted_again = ms(15) + DISTRUST_PERIOD;
    assert_eq!(connection_use(&mut dispatcher, None, trusted_again), ConnectionUse::Pooled);
}

/// Guards against the next message of an ordering key being sent before the first is known to be executed.
#[test]
fn messages_with_an_ordering_key_are_sent_on_new_connections() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.attribute_by_order();
    assert_eq!(connection_use(&mut dispatcher, Some(7), ms(10)), ConnectionUse::New);
}

/// Guards against responses that can never be attributed, since the connection is closed too early.
#[test]
fn connections_carry_a_single_call_while_idle_ones_are_closed_before_an_attempt_timeout() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.attribute_by_order();
    dispatcher.set_endpoint_idle_timeout(ms(60_000));
    assert_eq!(connection_use(&mut dispatcher, None, ms(10)), ConnectionUse::Pooled);
    dispatcher.set_endpoint_idle_timeout(ms(100));
    assert_eq!(connection_use(&mut dispatcher, None, ms(20)), ConnectionUse::Single);
}

/// Guards against decisions about connections for hosts that know to which call a response belongs.
#[test]
fn connections_are_reused_without_restriction_if_the_host_does_not_attribute_by_order() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.set_endpoint_idle_timeout(ms(100));
    dispatcher.surplus_response("a", ms(100), None);
    dispatcher.surplus_response("b", ms(100), None);
    assert_eq!(connection_use(&mut dispatcher, Some(7), ms(10)), ConnectionUse::Pooled);
}

/// Guards against calls during a retry-after that arrived as a surplus response, since a copy took its place.
#[test]
fn a_retry_after_in_a_surplus_response_is_respected() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.surplus_response("a", ms(100), Some(ms(2_000)));
    assert_eq!(route(&dispatcher).limit.retry_after_end(), dispatcher.state.now + ms(2_000));
}
