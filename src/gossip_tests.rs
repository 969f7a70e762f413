//! Pins the datagrams between instances: the octets that are sent once a route answers again, and how datagrams are
//! read.

use crate::{
    AttemptOutcome, AttemptResult, DestinationId, Dispatcher, Driver, EndpointState, EndpointUpdate,
    LogEvent, MessageId, NewMessage, RepeatSafety, ServiceClass, ValueDecay, gossip, ms,
};
use std::time::Duration;

/// Its octets differ from each other, so that their order shows.
const DESTINATION: DestinationId = 0x0102_0304_0506_0708;
const MESSAGE: MessageId = 1;
/// Failed attempts after which an endpoint counts as out.
const FAILURES: u32 = 6;
/// Looks until the endpoint has failed and answered; each is as long as the longest gap between health checks.
const MOST_LOOKS: u64 = 100;

/// Keeps the attempts and the datagrams that a dispatcher asks for.
#[derive(Default)]
struct Asked {
    attempts: u32,
    datagrams: Vec<Vec<u8>>,
}

impl Driver for Asked {
    fn start_attempt(&mut self, _: MessageId, _: &str, _: Duration) {
        self.attempts += 1;
    }
    fn reject(&mut self, _: MessageId, _: Option<Duration>) {}
    fn abandon(&mut self, _: MessageId) {}
    fn close_idle_connections(&mut self, _: &str) {}
    fn broadcast(&mut self, datagram: &[u8]) {
        self.datagrams.push(datagram.to_vec());
    }
    fn set_timer(&mut self, _: Duration) {}
    fn watch_endpoints(&mut self) {}
    fn log(&mut self, _: &LogEvent) {}
}

/// The end of an attempt; a delivery finishes the message.
fn result(attempt: u32, outcome: AttemptOutcome) -> AttemptResult {
    AttemptResult {
        message: MESSAGE,
        attempt,
        outcome,
        duration: ms(1),
        finished: outcome == AttemptOutcome::Delivered,
        load_report: None,
    }
}

/// The datagrams of a dispatcher whose only endpoint, `e1`, fails for a while and then answers.
fn datagrams_of_a_return(separate_routes: bool) -> Vec<Vec<u8>> {
    let lasts = ms(3_600_000);
    let mut dispatcher = Dispatcher::new(7, 1, "");
    dispatcher.allow_gossip(true);
    dispatcher.set_slow_start(2.0, 0.2, ms(10_000));
    let class = ServiceClass {
        repeat_safety: RepeatSafety::Idempotent,
        soft_deadline: lasts,
        deadline: lasts,
        value: 1.0,
        late_value_share: 1.0,
        decay: ValueDecay::Linear,
        ordered: false,
    };
    dispatcher.add_service_class("free", class);
    if separate_routes {
        dispatcher.separate_routes("kind");
    }
    dispatcher.endpoint_updated(EndpointUpdate {
        name: "e1",
        zone: "",
        kind: "kind",
        destination: DESTINATION,
        state: EndpointState::Available,
        listed_rate: None,
    });
    let message = NewMessage {
        id: MESSAGE,
        service_class: "free",
        ordering_key: None,
        deadline: lasts,
        tenant: None,
        destination: DESTINATION,
    };
    assert!(dispatcher.accept(message).is_ok());
    let mut asked = Asked::default();
    for look in 0..MOST_LOOKS {
        dispatcher.advance_to(ms(2_000 * look));
        let before = asked.attempts;
        dispatcher.apply_rules(&mut asked);
        if asked.attempts == before {
            continue;
        }
        assert!(asked.datagrams.is_empty(), "no gossip of failures");
        if asked.attempts > FAILURES {
            dispatcher.attempt_ended(result(before, AttemptOutcome::Delivered));
            dispatcher.apply_rules(&mut asked);
            return asked.datagrams;
        }
        dispatcher.attempt_ended(result(before, AttemptOutcome::ConnectFailed));
    }
    panic!("{} attempts only", asked.attempts);
}

#[test]
fn the_return_of_a_destination_is_gossiped_in_these_octets() {
    assert_eq!(datagrams_of_a_return(false), [b"\x01\x08\x07\x06\x05\x04\x03\x02\x01"]);
}

#[test]
fn the_return_of_a_route_is_gossiped_in_these_octets() {
    assert_eq!(datagrams_of_a_return(true), [b"\x01\x08\x07\x06\x05\x04\x03\x02\x01e1"]);
}

#[test]
fn a_datagram_of_the_first_version_is_read() {
    let datagram = b"\x01\x08\x07\x06\x05\x04\x03\x02\x01e1";
    assert_eq!(gossip::decode_return(datagram), Some((DESTINATION, "e1")));
    assert_eq!(gossip::decode_return(&datagram[..9]), Some((DESTINATION, "")), "the route may be empty");
    assert_eq!(gossip::decode_return(b"\x01\x09\0\0\0\0\0\0\0\xc3\xa9"), Some((9, "\u{e9}")));
}

#[test]
fn a_datagram_of_another_version_or_cut_short_or_not_in_utf_8_is_passed_over() {
    let datagram = b"\x01\x08\x07\x06\x05\x04\x03\x02\x01e1";
    for length in 0..9 {
        assert_eq!(gossip::decode_return(&datagram[..length]), None, "cut to {length}");
    }
    for version in [0, 2, u8::MAX] {
        assert_eq!(gossip::decode_return(&[&[version], &datagram[1..]].concat()), None, "version {version}");
    }
    assert_eq!(gossip::decode_return(b"\x01\x09\0\0\0\0\0\0\0\xff"), None);
}
