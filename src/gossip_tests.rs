//! Tests of the gossip wire format: the bytes that are sent once a route has recovered, and the decoding of datagrams.

use crate::{
    AttemptOutcome, AttemptPlan, AttemptResult, DestinationId, Dispatcher, Driver, EndpointState,
    EndpointUpdate, LogEvent, MessageId, NewMessage, RetrySafety, ServiceClass, ValueDecay, gossip, ms,
};
use std::time::Duration;

/// Destination whose bytes all differ, so that a wrong byte order is detected.
const DESTINATION: DestinationId = 0x0102_0304_0506_0708;
const MESSAGE: MessageId = 1;
/// Number of attempts that fail before the endpoint recovers; enough to eject it.
const FAILED_ATTEMPTS: u32 = 6;
/// Maximum number of 2 s steps until the endpoint has recovered; health checks are less than a step apart.
const MAX_STEPS: u64 = 100;

/// Records the attempts and the datagrams that a dispatcher requests.
#[derive(Default)]
struct RecordingDriver {
    attempts: u32,
    datagrams: Vec<Vec<u8>>,
}

impl Driver for RecordingDriver {
    fn start_attempt(&mut self, _: MessageId, _: &str, _: AttemptPlan) {
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

/// Returns the result of an attempt; a delivery finishes the message.
fn result(attempt: u32, outcome: AttemptOutcome) -> AttemptResult {
    AttemptResult {
        message: MESSAGE,
        attempt,
        outcome,
        duration: ms(1),
        finished: outcome == AttemptOutcome::Delivered,
        load_report: None,
        connection: None,
    }
}

/// Returns the datagrams of a dispatcher whose only endpoint, `e1`, fails for a while and then recovers.
fn recovery_datagrams(separate_routes: bool) -> Vec<Vec<u8>> {
    let one_hour = ms(3_600_000);
    let mut dispatcher = Dispatcher::new(7, 1, "");
    dispatcher.allow_gossip(true);
    dispatcher.set_slow_start(2.0, 0.2, ms(10_000));
    let class = ServiceClass {
        retry_safety: RetrySafety::Idempotent,
        soft_deadline: one_hour,
        deadline: one_hour,
        value: 1.0,
        late_value_share: 1.0,
        decay: ValueDecay::Linear,
        ordered: false,
    };
    dispatcher.add_service_class("idempotent", class);
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
        service_class: "idempotent",
        ordering_key: None,
        deadline: one_hour,
        tenant: None,
        destination: DESTINATION,
    };
    assert!(dispatcher.accept(message).is_ok());
    let mut driver = RecordingDriver::default();
    for step in 0..MAX_STEPS {
        dispatcher.advance_to(ms(2_000 * step));
        let attempts_before = driver.attempts;
        dispatcher.apply_rules(&mut driver);
        if driver.attempts == attempts_before {
            continue;
        }
        assert!(driver.datagrams.is_empty(), "no gossip is sent before the recovery");
        if driver.attempts > FAILED_ATTEMPTS {
            dispatcher.attempt_ended(result(attempts_before, AttemptOutcome::Delivered));
            dispatcher.apply_rules(&mut driver);
            return driver.datagrams;
        }
        dispatcher.attempt_ended(result(attempts_before, AttemptOutcome::ConnectFailed));
    }
    panic!("{} attempts only", driver.attempts);
}

#[test]
fn gossip_of_a_destinations_recovery_contains_version_and_destination() {
    assert_eq!(recovery_datagrams(false), [b"\x01\x08\x07\x06\x05\x04\x03\x02\x01"]);
}

#[test]
fn gossip_of_a_routes_recovery_also_contains_the_route_name() {
    assert_eq!(recovery_datagrams(true), [b"\x01\x08\x07\x06\x05\x04\x03\x02\x01e1"]);
}

#[test]
fn a_datagram_of_version_1_is_decoded() {
    let datagram = b"\x01\x08\x07\x06\x05\x04\x03\x02\x01e1";
    assert_eq!(gossip::decode_recovery(datagram), Some((DESTINATION, "e1")));
    assert_eq!(gossip::decode_recovery(&datagram[..9]), Some((DESTINATION, "")), "the route may be empty");
    assert_eq!(gossip::decode_recovery(b"\x01\x09\0\0\0\0\0\0\0\xc3\xa9"), Some((9, "\u{e9}")));
}

#[test]
fn a_datagram_of_another_version_or_truncated_or_not_in_utf_8_is_ignored() {
    let datagram = b"\x01\x08\x07\x06\x05\x04\x03\x02\x01e1";
    for length in 0..9 {
        assert_eq!(gossip::decode_recovery(&datagram[..length]), None, "cut to {length}");
    }
    for version in [0, 2, u8::MAX] {
        assert_eq!(
            gossip::decode_recovery(&[&[version], &datagram[1..]].concat()),
            None,
            "version {version}"
        );
    }
    assert_eq!(gossip::decode_recovery(b"\x01\x09\0\0\0\0\0\0\0\xff"), None);
}
