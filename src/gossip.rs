//! The notes between couriers: a version, a destination's number, and the route where routes are apart.

use crate::DestinationId;

/// First byte of a note; notes of other versions are passed over.
const VERSION: u8 = 1;

/// The note that a route of `destination` answers again.
pub(crate) fn of_return(destination: DestinationId, route: &str) -> Vec<u8> {
    [&[VERSION], &destination.to_le_bytes()[..], route.as_bytes()].concat()
}

/// The destination and route that a note tells of; nothing if it cannot be read.
pub(crate) fn read(octets: &[u8]) -> Option<(DestinationId, &str)> {
    let (destination, route) = octets.strip_prefix(&[VERSION])?.split_first_chunk()?;
    Some((DestinationId::from_le_bytes(*destination), std::str::from_utf8(route).ok()?))
}

#[cfg(test)]
#[path = "gossip_tests.rs"]
mod tests;
