use super::*;
use crate::ms;
use crate::policy::connection_ledger::{AttributionTerms, CallId, ResponseMeaning, TRANSIT_TIME};

/// Start of the calls in these tests.
const NOW: Duration = ms(10_000);

/// Returns the ledger of a connection whose only response was read at `last_response`.
fn ledger_with(last_response: Duration) -> ConnectionLedger {
    let mut ledger = ConnectionLedger::default();
    let call = CallId { message: 1, attempt: 0 };
    let terms = AttributionTerms {
        call_deadline: last_response,
        message_deadline: Duration::MAX,
        rests_unless_delivered: false,
        needs_proof: false,
    };
    ledger.on_response(call, ResponseMeaning::Delivered, &terms, last_response);
    ledger
}

/// Returns the choice for a call that has `time_left`, among connections whose last responses were read at the given ages
/// before its start.
fn choice(ages: &[Duration], time_left: Duration) -> Option<ConnectionChoice> {
    let ledgers: Vec<_> = ages.iter().map(|age| ledger_with(NOW - *age)).collect();
    choose_connection(ledgers.iter().enumerate(), CallTimes { now: NOW, deadline: NOW + time_left })
}

#[test]
fn the_connection_used_last_of_those_at_rest_is_chosen() {
    let ages = [TRANSIT_TIME * 3, TRANSIT_TIME * 2, TRANSIT_TIME, TRANSIT_TIME - ms(1)];
    let chosen = choice(&ages, ms(5_000));
    assert_eq!(chosen, Some(ConnectionChoice { index: 2, wait: Duration::ZERO }));
}

#[test]
fn a_connection_without_a_response_is_at_rest() {
    let ledger = ConnectionLedger::default();
    let call = CallTimes { now: NOW, deadline: NOW + ms(1) };
    let chosen = choose_connection([(4, &ledger)].into_iter(), call);
    assert_eq!(chosen, Some(ConnectionChoice { index: 4, wait: Duration::ZERO }));
}

/// Guards against a call that is on its way when the endpoint writes a second copy of the response before it.
#[test]
fn a_call_waits_until_a_connection_is_at_rest() {
    let chosen = choice(&[ms(60)], ms(5_000));
    assert_eq!(chosen, Some(ConnectionChoice { index: 0, wait: TRANSIT_TIME - ms(60) }));
    let chosen = choice(&[ms(60), TRANSIT_TIME + ms(1), ms(0)], ms(5_000));
    assert_eq!(chosen, Some(ConnectionChoice { index: 1, wait: Duration::ZERO }));
}

/// Guards against calls that nearly all wait at an endpoint that is called often: connections were opened only when none was
/// idle, and the median time to delivery rose from 7 to 37 ms at 1,250 messages per second.
#[test]
fn a_call_opens_a_connection_if_several_are_idle_and_none_is_at_rest() {
    assert_eq!(choice(&[ms(60), ms(20)], ms(5_000)), None);
    assert_eq!(choice(&[ms(60), ms(20), TRANSIT_TIME], ms(5_000)).map(|choice| choice.index), Some(2));
}

/// Guards against messages that miss their deadlines since their calls wait for a connection.
#[test]
fn a_call_with_little_time_left_does_not_wait() {
    let wait = TRANSIT_TIME - ms(20);
    assert_eq!(choice(&[ms(20)], wait * WAIT_DIVISOR - ms(1)), None);
    assert_eq!(choice(&[ms(20)], wait * WAIT_DIVISOR), Some(ConnectionChoice { index: 0, wait }));
    assert_eq!(choice(&[], ms(5_000)), None);
}
