//! Gossip between instances: the octets of the message that a route answers again.
//!
//! A version, the destination's number in eight octets (little-endian), and the route's name; that is empty unless the
//! endpoints of the destination are routes of their own. Nothing may depend on a message's arrival.

use crate::DestinationId;

/// First octet of a message; messages of other versions are passed over.
const VERSION: u8 = 1;

/// The message that a route of `destination` answers again.
pub(crate) fn encode_return(destination: DestinationId, route: &str) -> Vec<u8> {
    [&[VERSION], &destination.to_le_bytes()[..], route.as_bytes()].concat()
}

/// The destination and route that a message tells of; none if it cannot be read.
pub(crate) fn decode_return(octets: &[u8]) -> Option<(DestinationId, &str)> {
    let (destination, route) = octets.strip_prefix(&[VERSION])?.split_first_chunk()?;
    Some((DestinationId::from_le_bytes(*destination), std::str::from_utf8(route).ok()?))
}

#[cfg(test)]
#[path = "gossip_tests.rs"]
mod tests;
