use super::*;

/// Deadline of the calls in these tests.
const CALL_DEADLINE: Duration = ms(2_000);
/// Time at which the responses to calls with [`CALL_DEADLINE`] are attributed.
const QUIET_AT: Duration = CALL_DEADLINE.saturating_add(TRANSIT_TIME);

fn call(message: MessageId) -> CallId {
    CallId { message, attempt: 0 }
}

fn terms() -> AttributionTerms {
    AttributionTerms {
        call_deadline: CALL_DEADLINE,
        message_deadline: ms(4_000),
        rests_unless_delivered: false,
        needs_proof: true,
    }
}

/// Returns the ledger of a connection on which responses to the calls 1 to `count` were read, one every 100 ms.
fn ledger_of(count: u64) -> ConnectionLedger {
    let mut ledger = ConnectionLedger::default();
    for message in 1..=count {
        ledger.on_response(call(message), ResponseMeaning::Delivered, &terms(), ms(100 * message));
    }
    ledger
}

fn quiet(calls: &[u64]) -> LedgerUpdate {
    LedgerUpdate { quiet: calls.iter().copied().map(call).collect(), ..LedgerUpdate::default() }
}

fn misattributed(calls: &[u64]) -> LedgerUpdate {
    LedgerUpdate { misattributed: calls.iter().copied().map(call).collect(), ..LedgerUpdate::default() }
}

#[test]
fn the_response_to_the_first_call_of_a_connection_is_attributed_at_once() {
    let mut ledger = ledger_of(1);
    assert!(ledger.is_used() && ledger.is_settled() && ledger.quiet_at().is_none());
    assert!(ledger.on_surplus().is_empty(), "a later surplus response does not belong to it");
}

/// Guards against a response that is attributed while the true one may still arrive, however late.
#[test]
fn later_responses_are_attributed_once_the_connection_was_quiet_until_the_last_calls_deadline() {
    let mut ledger = ledger_of(3);
    assert_eq!(ledger.quiet_at(), Some(QUIET_AT));
    assert!(ledger.on_quiet(QUIET_AT - ms(1)).is_empty());
    assert_eq!(ledger.on_quiet(QUIET_AT), quiet(&[2, 3]));
    assert!(ledger.is_settled());
}

#[test]
fn a_surplus_response_makes_all_unattributed_responses_uncertain() {
    assert_eq!(ledger_of(4).on_surplus(), misattributed(&[2, 3, 4]));
}

/// Guards against a copy right before the end of a connection: the true response can no longer arrive.
#[test]
fn the_end_of_a_connection_attributes_responses_only_after_the_quiet_time() {
    assert_eq!(ledger_of(2).on_closed(QUIET_AT - ms(1)), misattributed(&[2]));
    assert_eq!(ledger_of(2).on_closed(QUIET_AT), quiet(&[2]));
}

#[test]
fn a_later_response_proves_nothing_of_earlier_ones_before_the_deadline_of_the_last_call() {
    let mut ledger = ledger_of(2);
    let delivered = ResponseMeaning::Delivered;
    assert!(ledger.on_response(call(3), delivered, &terms(), QUIET_AT - ms(1)).is_empty());
    let late_terms = AttributionTerms { call_deadline: ms(9_000), ..terms() };
    let update = ledger.on_response(call(4), delivered, &late_terms, QUIET_AT);
    assert_eq!(update, quiet(&[2, 3]), "no response to call 3 can arrive after its deadline");
    assert_eq!(ledger.on_surplus(), misattributed(&[4]));
}

/// Guards against a connection that is never quiet before the deadlines of the messages whose responses it carried.
#[test]
fn a_connection_carries_another_call_only_if_earlier_responses_can_be_attributed_after_it() {
    let ledger = ledger_of(2);
    assert!(ledger.may_carry_until(ms(4_000), ms(200)));
    assert!(!ledger.may_carry_until(ms(4_001), ms(200)));
    assert!(ledger.may_carry_until(ms(4_001), QUIET_AT));
    assert!(ledger_of(1).may_carry_until(Duration::MAX, ms(100)));
}

#[test]
fn a_connection_rests_after_a_response_that_must_be_attributed_before_anything_else() {
    let resting = AttributionTerms { rests_unless_delivered: true, ..terms() };
    for (meaning, may_carry) in [(ResponseMeaning::Delivered, true), (ResponseMeaning::NotExecuted, false)] {
        let mut ledger = ledger_of(1);
        ledger.on_response(call(2), meaning, &resting, ms(200));
        assert_eq!(ledger.may_carry_until(ms(3_000), ms(300)), may_carry);
        assert!(ledger.may_carry_until(ms(3_000), QUIET_AT));
    }
}

/// Returns the ledger of a connection whose only call, 1, got a response with `meaning` at 100 ms.
fn ledger_after_first(meaning: ResponseMeaning, terms: &AttributionTerms) -> ConnectionLedger {
    let mut ledger = ConnectionLedger::default();
    ledger.on_response(call(1), meaning, terms, ms(100));
    ledger
}

/// Guards against a rejection that proves that its message was not executed while the endpoint may still write bytes that
/// make it malformed, however late.
#[test]
fn a_rejection_of_the_first_call_is_attributed_once_nothing_more_can_follow_it() {
    for meaning in [ResponseMeaning::NotExecuted, ResponseMeaning::Over] {
        let rejected = || ledger_after_first(meaning, &terms());
        assert_eq!(rejected().quiet_at(), Some(QUIET_AT));
        assert!(rejected().on_quiet(QUIET_AT - ms(1)).is_empty());
        assert_eq!(rejected().on_quiet(QUIET_AT), quiet(&[1]));
        assert_eq!(rejected().on_surplus(), misattributed(&[1]));
        assert_eq!(rejected().on_closed(QUIET_AT - ms(1)), misattributed(&[1]));
        assert_eq!(rejected().on_ended(ms(101)), quiet(&[1]), "the endpoint has written all it will write");
    }
}

/// Guards against the end of a connection as a proof for a rejection that another call followed: its response may have
/// been the rest of the first one.
#[test]
fn the_end_of_a_connection_proves_only_the_response_to_its_only_call() {
    let mut ledger = ledger_after_first(ResponseMeaning::NotExecuted, &terms());
    ledger.on_response(call(2), ResponseMeaning::Delivered, &terms(), ms(200));
    assert_eq!(ledger.on_ended(QUIET_AT - ms(1)), misattributed(&[1, 2]));
    assert_eq!(ledger_of(2).on_ended(QUIET_AT - ms(1)), misattributed(&[2]));
}

/// Guards against connections that wait for a proof that changes nothing: a status of 200 or 500 means the same whatever
/// follows it, and an idempotent message may be sent again without one.
#[test]
fn the_response_to_the_first_call_is_attributed_at_once_if_nothing_can_change_what_it_allows() {
    let idempotent = AttributionTerms { needs_proof: false, ..terms() };
    for (meaning, terms) in [
        (ResponseMeaning::Delivered, terms()),
        (ResponseMeaning::PossiblyExecuted, terms()),
        (ResponseMeaning::NotExecuted, idempotent),
    ] {
        assert!(ledger_after_first(meaning, &terms).is_settled(), "{meaning:?}");
    }
    assert!(!ledger_after_first(ResponseMeaning::Over, &idempotent).is_settled());
}

/// Guards against a further attempt of a message whose own response is a 410 that was read for a later call, or as a surplus
/// response: the response that was read for it may be a copy. That to the first call of a connection is its own.
#[test]
fn a_410_may_belong_to_each_earlier_call_whose_response_is_unattributed() {
    let over = |ledger: &mut ConnectionLedger, now| {
        ledger.on_response(call(9), ResponseMeaning::Over, &terms(), now).over_if_copied
    };
    assert_eq!(over(&mut ledger_of(3), ms(500)), [call(2), call(3)]);
    assert_eq!(over(&mut ledger_of(1), ms(500)), []);
    assert_eq!(over(&mut ledger_of(3), QUIET_AT), [], "it came after the deadlines of the earlier calls");
    let mut rejected = ConnectionLedger::default();
    rejected.on_response(call(1), ResponseMeaning::NotExecuted, &terms(), ms(100));
    assert_eq!(over(&mut rejected, ms(500)), []);
    let ended_by = |end: fn(&mut ConnectionLedger) -> LedgerUpdate| {
        let mut ledger = ledger_of(3);
        over(&mut ledger, ms(500));
        end(&mut ledger)
    };
    assert_eq!(ended_by(ConnectionLedger::on_surplus).possibly_over, [call(2), call(3)]);
    assert_eq!(ended_by(|ledger| ledger.on_closed(ms(600))).over_if_copied, [call(2), call(3)]);
    assert_eq!(ended_by(ConnectionLedger::on_malformed).over_if_copied, [call(2), call(3)]);
    let surplus = ledger_of(3).on_surplus_over();
    assert_eq!(surplus.possibly_over, [call(2), call(3)]);
    assert_eq!(surplus.misattributed, surplus.possibly_over);
}
