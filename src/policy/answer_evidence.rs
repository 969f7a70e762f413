//! Evidence that an endpoint answers calls, as far as it concerns the provisional responses there.

use crate::{CallId, ConnectionId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What the calls to an endpoint show about whether it answers.
#[derive(Default)]
pub(super) struct Evidence {
    /// Starts of the calls with provisional responses.
    pub(super) provisional: BTreeSet<(Duration, CallId)>,
    /// Start of the last call that was answered, by connection.
    pub(super) last_answered: BTreeMap<ConnectionId, Duration>,
    /// Start of the last call that was certainly answered: the first one of its connection, or one with an answered call
    /// behind it on its connection, of whose two responses a copy can be only one.
    pub(super) certainly_answered: Duration,
}

impl Evidence {
    /// Handles the response to a call that started at `started`.
    pub(super) fn on_answer(&mut self, started: Duration, connection: ConnectionId, is_own: bool) {
        let before = self.last_answered.insert(connection, started);
        let certain = if is_own { Some(started) } else { before };
        self.certainly_answered = self.certainly_answered.max(certain.unwrap_or_default());
    }

    /// Returns `true` if the endpoint certainly answered a call that started after `time`.
    pub(super) fn has_answer_after(&self, time: Duration) -> bool {
        self.certainly_answered > time
    }
}
