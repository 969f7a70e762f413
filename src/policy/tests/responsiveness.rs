use super::*;
use crate::ms;

const CALL: CallId = CallId { message: 1, attempt: 0 };
/// Start of the call whose response is provisional.
const STARTED: Duration = ms(100);
const CALL_DEADLINE: Duration = ms(2_100);
const RETRY_AT: Duration = ms(7_000);
const MESSAGE_DEADLINE: Duration = ms(8_000);
/// Connections, of which the first has the provisional response.
const CONNECTIONS: [ConnectionId; 3] = [ConnectionId(1), ConnectionId(2), ConnectionId(3)];

fn endpoint() -> EndpointKey {
    (9, "e".into())
}

fn response(uncertainty: Uncertainty, retry_at: Option<Duration>) -> ProvisionalResponse {
    ProvisionalResponse {
        uncertainty,
        endpoint: endpoint(),
        started: STARTED,
        call_deadline: CALL_DEADLINE,
        message_deadline: MESSAGE_DEADLINE,
        retry_at,
        connection: Some(CONNECTIONS[0]),
        is_quiet: false,
        is_refuted: false,
    }
}

/// Returns the table with a response that may belong to an earlier call, whose connection was quiet.
fn quiet_response() -> ProvisionalResponses {
    let mut responses = ProvisionalResponses::default();
    responses.add(CALL, response(Uncertainty::Call, None));
    responses.on_quiet(CALL);
    responses
}

/// Returns the attribution at `now`, without calls in flight.
fn settled(responses: &ProvisionalResponses, now: Duration) -> Option<Attribution> {
    responses.find_settled(now, &[]).map(|(_, attribution)| attribution)
}

/// Guards against a message that is lost, since the endpoint stopped answering and silence counted as proof.
#[test]
fn silence_proves_nothing_if_a_later_call_remained_unanswered() {
    let mut responses = quiet_response();
    assert_eq!(settled(&responses, ms(2_300)), None);
    responses.on_timeout(&endpoint(), ms(300), CONNECTIONS[2]);
    assert_eq!(settled(&responses, ms(2_300)), Some(Attribution::Misattributed));
}

/// Guards against an unanswered call that shows nothing as long as it is in flight: its message may have more time left
/// than the one with the copy.
#[test]
fn silence_proves_nothing_at_the_deadline_of_the_message_if_a_later_call_is_overdue() {
    let responses = quiet_response();
    let endpoint = endpoint();
    let call = |is_overdue| CallInFlight { endpoint: &endpoint, started: ms(6_000), is_overdue };
    let settled = |is_overdue| responses.find_settled(MESSAGE_DEADLINE, &[call(is_overdue)]);
    assert_eq!(settled(true), Some((CALL, Attribution::Misattributed)));
    assert_eq!(settled(false), Some((CALL, Attribution::Attributed)));
}

/// Guards against messages that are kept until their deadlines although the endpoint answers.
#[test]
fn a_response_is_attributed_once_the_endpoint_certainly_answered_a_call_after_its_deadline() {
    let mut responses = quiet_response();
    responses.on_answer(&endpoint(), CALL_DEADLINE, CONNECTIONS[1], true);
    assert_eq!(settled(&responses, ms(3_000)), None, "it may have stopped just then");
    responses.on_answer(&endpoint(), CALL_DEADLINE + ms(1), CONNECTIONS[2], true);
    let endpoint = endpoint();
    let in_between = CallInFlight { endpoint: &endpoint, started: ms(300), is_overdue: true };
    assert_eq!(responses.find_settled(ms(3_000), &[in_between]), None);
    assert_eq!(settled(&responses, ms(3_000)), Some(Attribution::Attributed));
}

/// Guards against several copies, one on each connection, that pass for an endpoint that answers.
#[test]
fn one_response_on_a_used_connection_is_no_certain_answer_but_a_second_one_makes_it_one() {
    let mut responses = quiet_response();
    for connection in CONNECTIONS {
        responses.on_answer(&endpoint(), ms(2_500), connection, false);
    }
    assert_eq!(settled(&responses, ms(3_000)), None);
    responses.on_answer(&endpoint(), ms(2_900), CONNECTIONS[1], false);
    assert_eq!(settled(&responses, ms(3_000)), Some(Attribution::Attributed));
}

/// Guards against deliveries that are taken back since the network lost the response to another call.
#[test]
fn a_lost_response_refutes_nothing_if_the_endpoint_certainly_answered_a_later_call() {
    let mut responses = quiet_response();
    responses.on_answer(&endpoint(), ms(400), CONNECTIONS[1], true);
    responses.on_timeout(&endpoint(), ms(300), CONNECTIONS[2]);
    assert_eq!(settled(&responses, ms(2_300)), None);
    assert_eq!(settled(&responses, MESSAGE_DEADLINE), Some(Attribution::Attributed));
}

/// Guards against a lost message, since a single connection of an endpoint that answers on others is stuck.
#[test]
fn an_unanswered_call_refutes_the_responses_on_its_own_connection_whatever_other_calls_show() {
    let mut responses = quiet_response();
    responses.on_answer(&endpoint(), ms(400), CONNECTIONS[1], true);
    responses.on_timeout(&endpoint(), ms(300), CONNECTIONS[0]);
    assert_eq!(settled(&responses, ms(2_300)), Some(Attribution::Misattributed));
}

/// Guards against a lost idempotent message: nothing at all was answered after the call with the copy.
#[test]
fn a_message_that_may_be_executed_again_is_repeated_if_no_later_call_was_answered() {
    let repeatable = || {
        let mut responses = ProvisionalResponses::default();
        responses.add(CALL, response(Uncertainty::Call, Some(RETRY_AT)));
        responses.on_quiet(CALL);
        responses
    };
    assert_eq!(settled(&repeatable(), RETRY_AT - ms(1)), None);
    assert_eq!(settled(&repeatable(), RETRY_AT), Some(Attribution::Misattributed));
    let mut answered = repeatable();
    answered.on_answer(&endpoint(), STARTED + ms(1), CONNECTIONS[1], false);
    assert_eq!(settled(&answered, RETRY_AT), None);
}

/// Guards against rejections that wait for calls that show nothing about what may follow them.
#[test]
fn the_completeness_of_a_response_needs_no_later_call_and_no_timeout_refutes_it() {
    let mut responses = ProvisionalResponses::default();
    responses.add(CALL, response(Uncertainty::Completeness, None));
    responses.on_timeout(&endpoint(), ms(300), CONNECTIONS[2]);
    assert_eq!(settled(&responses, ms(2_200)), None);
    responses.on_quiet(CALL);
    assert_eq!(settled(&responses, ms(2_200)), Some(Attribution::Attributed));
}

/// Guards against evidence that grows with the connections that an endpoint has had.
#[test]
fn evidence_is_kept_only_for_endpoints_with_provisional_responses() {
    let mut responses = quiet_response();
    responses.on_answer(&endpoint(), ms(50), CONNECTIONS[1], true);
    let later = CallId { message: 2, attempt: 0 };
    responses.add(later, response(Uncertainty::Call, None));
    responses.remove(later);
    assert!(responses.evidence[&endpoint()].last_answered.is_empty());
    responses.remove(CALL);
    assert!(responses.evidence.is_empty());
}
