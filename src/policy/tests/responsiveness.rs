use super::*;
use crate::ms;
use crate::policy::provisional_response::ProvisionalTimes;

const CALL: CallId = CallId { message: 1, attempt: 0 };
/// Start of the call whose response is provisional.
const STARTED: Duration = ms(100);
/// Time by which the endpoint has usually responded to it.
const EXPECTED_BY: Duration = ms(500);
const RETRY_AT: Duration = ms(7_000);
const DEADLINE: Duration = ms(8_000);
const EXPIRES_AT: Duration = ms(8_150);
/// Connections, of which the first has the provisional response.
const CONNECTIONS: [ConnectionId; 3] = [ConnectionId(1), ConnectionId(2), ConnectionId(3)];

fn endpoint() -> EndpointKey {
    (9, "e".into())
}

/// Returns a delivery by a message that can be attempted again until [`RETRY_AT`].
fn delivery() -> ProvisionalResponse {
    ProvisionalResponse {
        uncertainty: Uncertainty::Call,
        endpoint: endpoint(),
        times: ProvisionalTimes {
            started: STARTED,
            expected_by: EXPECTED_BY,
            retry_at: Some(RETRY_AT),
            delivery_deadline: Some(DEADLINE),
            expires_at: EXPIRES_AT,
            ends_with_call: false,
        },
        connection: Some(CONNECTIONS[0]),
        is_early: false,
        is_quiet: true,
        following: 0,
        is_refuted: false,
        is_before_over: false,
    }
}

fn table(response: ProvisionalResponse) -> ProvisionalResponses {
    let mut responses = ProvisionalResponses::default();
    responses.add(CALL, response);
    responses
}

/// Returns what is known at `now`, without calls in flight.
fn settled(responses: &ProvisionalResponses, now: Duration) -> Option<Settlement> {
    responses.find_settled(now, &[]).map(|(_, settlement)| settlement)
}

/// Checks that the response is held until the last moment for another attempt, and that the message is attempted again
/// then if its class allows, and is otherwise left without a proof.
fn assert_is_repeated_at_the_last_moment(mark: impl Fn(&mut ProvisionalResponses)) {
    let mut repeatable = table(delivery());
    mark(&mut repeatable);
    assert_eq!(settled(&repeatable, RETRY_AT - ms(1)), None);
    assert_eq!(settled(&repeatable, RETRY_AT), Some(Settlement::Misattributed));
    let times = ProvisionalTimes { retry_at: None, ..delivery().times };
    let mut at_most_once = table(ProvisionalResponse { times, ..delivery() });
    mark(&mut at_most_once);
    assert_eq!(settled(&at_most_once, DEADLINE), None);
    assert_eq!(settled(&at_most_once, EXPIRES_AT), Some(Settlement::Expired));
}

/// Guards against a message that is lost, since the endpoint stopped answering and silence counted as proof, and against
/// one that is repeated although a call that is answered later would have shown more.
#[test]
fn a_delivery_is_repeated_at_the_last_moment_if_a_later_call_remained_unanswered() {
    assert_is_repeated_at_the_last_moment(|responses| {
        responses.on_timeout(&endpoint(), ms(300), CONNECTIONS[2]);
    });
}

/// Guards against a lost message without any other call: a copy that the endpoint wrote before it received the call comes
/// sooner than a response can.
#[test]
fn a_delivery_is_repeated_at_the_last_moment_if_it_came_too_soon() {
    assert_is_repeated_at_the_last_moment(|responses| {
        let response = responses.responses.remove(&CALL).unwrap();
        responses.add(CALL, ProvisionalResponse { is_early: true, ..response });
    });
}

/// Guards against the second of several copies, which may come no sooner than a response.
#[test]
fn a_delivery_is_repeated_at_the_last_moment_if_one_before_it_came_too_soon() {
    let earlier = CallId { message: 2, attempt: 0 };
    assert_is_repeated_at_the_last_moment(|responses| {
        let times = ProvisionalTimes {
            started: STARTED - ms(50),
            retry_at: None,
            expires_at: ms(9_000),
            delivery_deadline: None,
            ..delivery().times
        };
        responses.add(earlier, ProvisionalResponse { times, is_early: true, ..delivery() });
    });
}

/// Guards against copies that come no sooner than responses, on a day on which others were received as surplus.
#[test]
fn a_delivery_is_repeated_at_the_last_moment_if_copies_were_received_recently() {
    assert_is_repeated_at_the_last_moment(|responses| responses.copies_suspected_until = ms(9_000));
}

/// Guards against an unanswered call that shows nothing as long as it is in flight: its message may have more time left
/// than the one with the copy.
#[test]
fn a_delivery_proves_nothing_at_its_deadline_if_a_later_call_is_overdue() {
    let times = ProvisionalTimes { retry_at: None, ..delivery().times };
    let responses = table(ProvisionalResponse { times, ..delivery() });
    let endpoint = endpoint();
    let call = |is_overdue| CallInFlight { endpoint: &endpoint, started: ms(6_000), is_overdue };
    let settled = |is_overdue| responses.find_settled(DEADLINE, &[call(is_overdue)]);
    assert_eq!(settled(true), None);
    assert_eq!(settled(false), Some((CALL, Settlement::Attributed(AttributionGround::Deadline))));
}

/// Guards against deliveries that are repeated or reported as abandoned although nothing speaks against them.
#[test]
fn a_delivery_that_nothing_speaks_against_is_attributed_at_its_deadline() {
    assert_eq!(settled(&table(delivery()), DEADLINE - ms(1)), None);
    assert_eq!(
        settled(&table(delivery()), DEADLINE),
        Some(Settlement::Attributed(AttributionGround::Deadline))
    );
    let noisy = table(ProvisionalResponse { is_quiet: false, ..delivery() });
    assert_eq!(settled(&noisy, DEADLINE), None);
}

/// Guards against a second execution: a copy of a rejection does not show that the call was not executed.
#[test]
fn silence_never_attributes_a_response_that_is_no_delivery() {
    let times = ProvisionalTimes { retry_at: None, delivery_deadline: None, ..delivery().times };
    let mut rejection = table(ProvisionalResponse { times, ..delivery() });
    rejection.is_stopping = true;
    assert_eq!(settled(&rejection, DEADLINE), None);
    assert_eq!(settled(&rejection, EXPIRES_AT), Some(Settlement::Expired));
}

/// Guards against messages that are kept until their deadlines although the endpoint answers.
#[test]
fn a_response_is_attributed_once_the_endpoint_certainly_answered_a_call_after_the_usual_time() {
    let mut responses = table(delivery());
    responses.on_answer(&endpoint(), EXPECTED_BY, CONNECTIONS[1], true);
    assert_eq!(settled(&responses, ms(3_000)), None, "it may have stopped just then");
    responses.on_answer(&endpoint(), EXPECTED_BY + ms(1), CONNECTIONS[2], true);
    let endpoint = endpoint();
    let in_between = CallInFlight { endpoint: &endpoint, started: ms(300), is_overdue: true };
    assert_eq!(responses.find_settled(ms(3_000), &[in_between]), None);
    assert_eq!(settled(&responses, ms(3_000)), Some(Settlement::Attributed(AttributionGround::LaterAnswer)));
}

/// Guards against a lost message whose endpoint stopped answering for a while and answers others again.
#[test]
fn a_certain_answer_shows_nothing_if_a_call_before_it_remained_unanswered() {
    let mut responses = table(delivery());
    responses.on_timeout(&endpoint(), ms(300), CONNECTIONS[2]);
    responses.on_answer(&endpoint(), ms(5_000), CONNECTIONS[1], true);
    assert_eq!(settled(&responses, ms(5_100)), None);
}

/// Guards against several copies, one on each connection, that pass for an endpoint that answers.
#[test]
fn one_response_on_a_used_connection_is_no_certain_answer_but_a_second_one_makes_it_one() {
    let mut responses = table(delivery());
    for connection in &CONNECTIONS[1..] {
        responses.on_answer(&endpoint(), ms(2_500), *connection, false);
    }
    assert_eq!(settled(&responses, ms(3_000)), None);
    responses.on_answer(&endpoint(), ms(2_900), CONNECTIONS[1], false);
    assert_eq!(settled(&responses, ms(3_000)), Some(Settlement::Attributed(AttributionGround::LaterAnswer)));
}

/// Guards against two copies in a row on one connection, and against responses that stay provisional although later ones
/// on their connection show that they are none.
#[test]
fn two_later_responses_on_its_connection_prove_a_response_and_one_does_not() {
    let mut responses = table(delivery());
    responses.on_answer(&endpoint(), STARTED + ms(10), CONNECTIONS[0], false);
    assert_eq!(settled(&responses, ms(2_300)), None);
    responses.on_answer(&endpoint(), STARTED + ms(20), CONNECTIONS[0], false);
    assert_eq!(settled(&responses, ms(2_300)), Some(Settlement::Attributed(AttributionGround::Followed)));
}

/// Guards against deliveries that are taken back since the network lost the response to another call.
#[test]
fn a_lost_response_refutes_nothing_if_the_endpoint_certainly_answered_a_later_call() {
    let mut responses = table(delivery());
    responses.on_answer(&endpoint(), ms(400), CONNECTIONS[1], true);
    responses.on_timeout(&endpoint(), ms(300), CONNECTIONS[2]);
    assert_eq!(settled(&responses, RETRY_AT), None);
    assert_eq!(settled(&responses, DEADLINE), Some(Settlement::Attributed(AttributionGround::Deadline)));
}

/// Guards against a lost message, since a single connection of an endpoint that answers on others is stuck.
#[test]
fn an_unanswered_call_refutes_the_responses_on_its_own_connection_whatever_other_calls_show() {
    assert_is_repeated_at_the_last_moment(|responses| {
        responses.on_answer(&endpoint(), ms(400), CONNECTIONS[1], true);
        responses.on_timeout(&endpoint(), ms(300), CONNECTIONS[0]);
    });
}

/// Guards against rejections that wait for calls that show nothing about what may follow them.
#[test]
fn the_completeness_of_a_response_needs_no_later_call_and_no_timeout_refutes_it() {
    let response =
        ProvisionalResponse { uncertainty: Uncertainty::Completeness, is_quiet: false, ..delivery() };
    let mut responses = table(response);
    responses.on_timeout(&endpoint(), ms(300), CONNECTIONS[2]);
    assert_eq!(settled(&responses, ms(2_200)), None);
    responses.on_quiet(CALL);
    assert_eq!(settled(&responses, ms(2_200)), Some(Settlement::Attributed(AttributionGround::Complete)));
}

/// Guards against connections that are opened although nothing suggests that the endpoint has stopped answering.
#[test]
fn a_call_gets_a_connection_of_its_own_only_if_a_response_may_be_a_copy() {
    let mut responses = table(delivery());
    assert!(!responses.needs_certain_answer(&endpoint(), ms(2_300)));
    responses.on_timeout(&endpoint(), ms(300), CONNECTIONS[2]);
    assert!(responses.needs_certain_answer(&endpoint(), ms(2_300)));
    assert!(!responses.needs_certain_answer(&(9, "other".into()), ms(2_300)));
}

/// Guards against evidence that grows with the connections that an endpoint has had.
#[test]
fn evidence_is_kept_only_for_endpoints_with_provisional_responses() {
    let mut responses = table(delivery());
    responses.on_answer(&endpoint(), ms(50), CONNECTIONS[1], true);
    let later = CallId { message: 2, attempt: 0 };
    responses.add(later, delivery());
    responses.remove(later);
    assert!(responses.evidence[&endpoint()].last_answered.is_empty());
    responses.remove(CALL);
    assert!(responses.evidence.is_empty());
}

/// Guards against a lost message: the endpoint answers calls on other connections, but turned away or dropped the one in
/// whose place it wrote a copy, which came sooner than a response can.
#[test]
fn a_response_that_came_too_soon_is_not_proven_by_answers_on_other_connections() {
    assert_is_repeated_at_the_last_moment(|responses| {
        let response = responses.responses.remove(&CALL).unwrap();
        responses.add(CALL, ProvisionalResponse { is_early: true, ..response });
        responses.on_answer(&endpoint(), EXPECTED_BY + ms(1), CONNECTIONS[1], true);
    });
}
