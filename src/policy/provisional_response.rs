//! Provisional response: one that may not be its call's own, and what is known of it.

use super::connections::EndpointKey;
use super::state::Attempt;
use crate::{ConnectionId, Uncertainty};
use std::time::Duration;

/// Number of later responses on a connection after which a response counts as followed: a single copy, and a second one in
/// a row, do not suffice.
const MIN_FOLLOWING_RESPONSES: u32 = 2;

/// Times of a call whose response is unattributed.
#[derive(Clone, Copy)]
pub(super) struct ProvisionalTimes {
    /// Start of the call.
    pub(super) started: Duration,
    /// Time by which the endpoint has responded to the call if it answers as it usually does.
    pub(super) expected_by: Duration,
    /// Latest time at which the message can be attempted again; `None` if it cannot.
    pub(super) retry_at: Option<Duration>,
    /// Time at which the calls of a delivered message end, and at which a response that nothing speaks against is attributed; `None` if the
    /// message was not delivered.
    pub(super) delivery_deadline: Option<Duration>,
    /// Time by which the message has its final outcome, whatever is known of the response.
    pub(super) expires_at: Duration,
    /// `true` if the message is to have its final outcome as soon as the call can no longer be executed.
    pub(super) ends_with_call: bool,
}

impl ProvisionalTimes {
    /// Returns the times at which the response may be settled without further evidence.
    pub(super) fn due(&self) -> impl Iterator<Item = Duration> + use<> {
        [self.retry_at, self.delivery_deadline, Some(self.expires_at)].into_iter().flatten()
    }
}

/// Unattributed response.
pub(super) struct ProvisionalResponse {
    pub(super) uncertainty: Uncertainty,
    pub(super) endpoint: EndpointKey,
    pub(super) times: ProvisionalTimes,
    pub(super) connection: Option<ConnectionId>,
    /// `true` if it came sooner than the endpoint can have answered.
    pub(super) is_early: bool,
    /// `true` once the connection was quiet until the deadline of its last call.
    pub(super) is_quiet: bool,
    /// Number of later responses on its connection.
    pub(super) following: u32,
    /// `true` once a later call has shown that the endpoint may have stopped answering.
    pub(super) is_refuted: bool,
    /// `true` once a response with status 410 was read later on its connection, so that the message is not to be attempted
    /// again unless this response is proven.
    pub(super) is_before_over: bool,
}

impl ProvisionalResponse {
    pub(super) fn new(
        attempt: &Attempt,
        times: ProvisionalTimes,
        uncertainty: Uncertainty,
        (connection, is_early): (Option<ConnectionId>, bool),
    ) -> Self {
        Self {
            uncertainty,
            endpoint: (attempt.destination, attempt.endpoint.clone()),
            times,
            connection,
            is_early,
            is_quiet: false,
            following: 0,
            is_refuted: false,
            is_before_over: false,
        }
    }

    /// Handles a later response on its connection: the endpoint answers in order, so that enough of them show that it has
    /// answered this call too.
    pub(super) fn on_following_response(&mut self) {
        self.following += 1;
    }

    /// Returns the latest time at which the message can be attempted again; `None` if it cannot, or must not.
    pub(super) fn retry_at(&self) -> Option<Duration> {
        self.times.retry_at.filter(|_| !self.is_before_over)
    }

    /// Returns `true` if it takes another call to show that the endpoint has answered this one.
    pub(super) fn needs_evidence(&self) -> bool {
        self.uncertainty == Uncertainty::Call && self.following < MIN_FOLLOWING_RESPONSES
    }
}
