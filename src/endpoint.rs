//! Endpoints as the endpoint list describes them.

use crate::DestinationId;

/// An endpoint's state in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointState {
    /// It takes calls.
    Available,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is no longer there.
    Removed,
}

/// How far the rates of the endpoint list can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedRate {
    /// The list gives none, or they mean nothing.
    Absent,
    /// They are what the endpoints take.
    Exact,
    /// They are up to half too high or too low.
    Approximate,
}

/// One entry of the endpoint list, or a change of it.
#[derive(Clone, Copy, Debug)]
pub struct EndpointUpdate<'a> {
    /// The endpoint's name.
    pub name: &'a str,
    /// The zone that it stands in.
    pub zone: &'a str,
    /// The kind of its destination.
    pub kind: &'a str,
    /// The destination that it belongs to.
    pub destination: DestinationId,
    /// Its state.
    pub state: EndpointState,
    /// The calls a second that its destination takes, where the list tells.
    pub listed_rate: Option<f64>,
}
