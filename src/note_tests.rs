//! Pins the datagrams between instances: the octets that are sent once a route answers again, and how datagrams are
//! read.

use crate::courier::Courier;
use crate::{DestinationId, Effect, Grade, Hands, Listing, NoticeId, Outcome, ms, note};
use std::time::Duration;

/// Its octets differ from each other, so that their order shows.
const DESTINATION: DestinationId = 0x0102_0304_0506_0708;
const MESSAGE: NoticeId = 1;
/// Failed attempts after which an endpoint counts as out.
const FAILURES: u32 = 6;
/// Looks until the endpoint has failed and answered; each is as long as the longest gap between trials.
const MOST_LOOKS: u64 = 100;

/// Keeps the attempts and the datagrams that a dispatcher asks for.
#[derive(Default)]
struct Asked {
    attempts: u32,
    datagrams: Vec<Vec<u8>>,
}

impl Hands for Asked {
    fn send(&mut self, _: NoticeId, _: &str, _: Duration) {
        self.attempts += 1;
    }
    fn deny(&mut self, _: NoticeId, _: Option<Duration>) {}
    fn write_off(&mut self, _: NoticeId) {}
    fn hang_up(&mut self, _: &str) {}
    fn tell(&mut self, datagram: &[u8]) {
        self.datagrams.push(datagram.to_vec());
    }
    fn wake(&mut self, _: Duration) {}
    fn watch(&mut self) {}
    fn log(&mut self, _: &str) {}
}

/// The datagrams of a dispatcher whose only endpoint, `e1`, fails for a while and then answers.
fn datagrams_of_a_return(routes_apart: bool) -> Vec<Vec<u8>> {
    let lasts = ms(3_600_000);
    let mut dispatcher = Courier::new(7, 1, "");
    dispatcher.may_tell(true);
    dispatcher.returning(2.0, 0.2, ms(10_000));
    let class = Grade {
        effect: Effect::Retriable,
        contract: lasts,
        limit: lasts,
        earnings: 1.0,
        late_share: 1.0,
        halving: false,
        in_order: false,
    };
    dispatcher.grade("free", class);
    if routes_apart {
        dispatcher.routes_apart("kind");
    }
    dispatcher.listed("e1", "", "kind", DESTINATION, Listing::Open, None);
    assert!(dispatcher.notice(MESSAGE, "free", None, lasts, None, DESTINATION));
    let mut asked = Asked::default();
    for look in 0..MOST_LOOKS {
        dispatcher.at(ms(2_000 * look));
        let before = asked.attempts;
        dispatcher.settle(&mut asked);
        if asked.attempts == before {
            continue;
        }
        assert!(asked.datagrams.is_empty(), "nothing is told of failures");
        if asked.attempts > FAILURES {
            dispatcher.outcome(MESSAGE, before, Outcome::Handled, ms(1), true, None);
            dispatcher.settle(&mut asked);
            return asked.datagrams;
        }
        dispatcher.outcome(MESSAGE, before, Outcome::Unconnected, ms(1), false, None);
    }
    panic!("{} attempts only", asked.attempts);
}

#[test]
fn a_destination_that_answers_again_is_told_in_these_octets() {
    assert_eq!(datagrams_of_a_return(false), [b"\x01\x08\x07\x06\x05\x04\x03\x02\x01"]);
}

#[test]
fn a_route_that_answers_again_is_told_in_these_octets() {
    assert_eq!(datagrams_of_a_return(true), [b"\x01\x08\x07\x06\x05\x04\x03\x02\x01e1"]);
}

#[test]
fn a_datagram_of_the_first_version_is_read() {
    let datagram = b"\x01\x08\x07\x06\x05\x04\x03\x02\x01e1";
    assert_eq!(note::read(datagram), Some((DESTINATION, "e1")));
    assert_eq!(note::read(&datagram[..9]), Some((DESTINATION, "")), "the route may be empty");
    assert_eq!(note::read(b"\x01\x09\0\0\0\0\0\0\0\xc3\xa9"), Some((9, "\u{e9}")));
}

#[test]
fn a_datagram_of_another_version_or_cut_short_or_not_in_utf_8_is_passed_over() {
    let datagram = b"\x01\x08\x07\x06\x05\x04\x03\x02\x01e1";
    for length in 0..9 {
        assert_eq!(note::read(&datagram[..length]), None, "cut to {length}");
    }
    for version in [0, 2, u8::MAX] {
        assert_eq!(note::read(&[&[version], &datagram[1..]].concat()), None, "version {version}");
    }
    assert_eq!(note::read(b"\x01\x09\0\0\0\0\0\0\0\xff"), None);
}
