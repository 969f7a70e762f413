//! Encoding of gossip datagrams, by which an instance announces that a route has recovered.
//!
//! A datagram consists of a version octet, the destination identifier in eight octets (little-endian), and the name of
//! the route, which is empty unless each endpoint of the destination is a separate route. Delivery is not guaranteed,
//! so correctness must not depend on it.

use crate::DestinationId;

/// Version in the first octet of a datagram; datagrams of other versions are ignored.
const VERSION: u8 = 1;

/// Encodes the datagram announcing that `route` of `destination` has recovered.
pub(crate) fn encode_recovery(destination: DestinationId, route: &str) -> Vec<u8> {
    [&[VERSION], &destination.to_le_bytes()[..], route.as_bytes()].concat()
}

/// Returns the destination and the route that have recovered according to `datagram`, or `None` if it is malformed or
/// of another version.
pub(crate) fn decode_recovery(datagram: &[u8]) -> Option<(DestinationId, &str)> {
    let (destination, route) = datagram.strip_prefix(&[VERSION])?.split_first_chunk()?;
    Some((DestinationId::from_le_bytes(*destination), std::str::from_utf8(route).ok()?))
}

#[cfg(test)]
#[path = "gossip_tests.rs"]
mod tests;
