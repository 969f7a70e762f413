//! Entries of the endpoint list.

use crate::DestinationId;

/// State of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointState {
    /// The endpoint accepts calls.
    Available,
    /// The endpoint completes the calls in progress and accepts no new ones.
    Draining,
    /// The endpoint has left the endpoint list.
    Removed,
}

/// Accuracy of the rates in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedRateAccuracy {
    /// No rates are listed, or they are meaningless.
    Absent,
    /// The listed rates are those that the routes accept.
    Exact,
    /// The listed rates are too high or too low by a factor of up to 1.5.
    Approximate,
}

/// Entry of the endpoint list, or a change to one.
#[derive(Clone, Copy, Debug)]
pub struct EndpointUpdate<'a> {
    /// Name of the endpoint.
    pub name: &'a str,
    /// Zone in which the endpoint runs.
    pub zone: &'a str,
    /// Kind of the endpoint's destination: batch limits and separate routes apply to kinds of destinations.
    pub kind: &'a str,
    /// Destination that the endpoint belongs to.
    pub destination: DestinationId,
    /// State of the endpoint from now on.
    pub state: EndpointState,
    /// Calls per second that the endpoint's route accepts, if listed.
    pub listed_rate: Option<f64>,
}
