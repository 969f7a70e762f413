//! Pending messages of an instance, and the client ids that new messages must not reuse.
//!
//! Invariant: a client id is in use from the acceptance of its message until [`CLIENT_ID_RETENTION`] after the message
//! is finished, unless the message is withdrawn before it is sent.

use super::timeline::MessageTimeline;
use crate::wal::LoggedMessage;
use quillhub::{AttemptOutcome, MessageId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Time for which the client id of a finished message stays in use. Clients that by mistake submit a message again, or
/// another one with the same id, do so within a few seconds.
pub const CLIENT_ID_RETENTION: Duration = Duration::from_secs(5);

/// Data of a pending message that its attempts and its final outcome need.
pub struct PendingMessage {
    /// Id that the client assigned to the message.
    pub client_id: Box<[u8]>,
    /// Key by which endpoints recognize a retry of the message, if it has one.
    pub idempotency_key: Option<Box<[u8]>>,
    /// Body to deliver.
    pub body: Rc<[u8]>,
    /// Number of attempts made so far.
    pub attempts: u32,
    /// `true` once the first byte of a request of an attempt may have been written.
    pub may_have_been_sent: bool,
    /// Outcome of the attempt that ended last, for the log; `None` before the first one and after a restart.
    pub last_outcome: Option<AttemptOutcome>,
    /// `true` once the log says that the message is abandoned unless a response with status 410 is proven.
    pub is_abandonment_logged: bool,
    /// Payload of the record of the message's acceptance; `None` once the record is written.
    pub unwritten_acceptance: Option<Vec<u8>>,
    /// Times of the message, for the log.
    pub timeline: MessageTimeline,
}

impl PendingMessage {
    /// Creates a message whose record of acceptance, `acceptance`, is not yet written to the log.
    pub fn submitted(message: LoggedMessage, acceptance: Vec<u8>, timeline: MessageTimeline) -> Self {
        Self { unwritten_acceptance: Some(acceptance), ..Self::recovered(message, timeline) }
    }

    /// Creates a message that the log already contains.
    pub fn recovered(message: LoggedMessage, timeline: MessageTimeline) -> Self {
        Self {
            client_id: message.client_id.into(),
            idempotency_key: message.idempotency_key.map(Into::into),
            body: message.body.into(),
            attempts: message.attempts.last_key_value().map_or(0, |(last, _)| last + 1),
            may_have_been_sent: false,
            last_outcome: None,
            is_abandonment_logged: false,
            unwritten_acceptance: None,
            timeline,
        }
    }

    /// Counts one more attempt and returns its number, counted from 0.
    pub fn begin_attempt(&mut self) -> u32 {
        let number = self.attempts;
        self.attempts += 1;
        number
    }
}

/// Pending messages and client ids in use.
#[derive(Default)]
pub struct Messages {
    pending: BTreeMap<MessageId, PendingMessage>,
    /// Client ids of pending messages and of those finished less than [`CLIENT_ID_RETENTION`] ago.
    client_ids: BTreeSet<Box<[u8]>>,
    /// Client ids of finished messages that are still in use, oldest first.
    finished: VecDeque<FinishedId>,
}

/// Client id of a finished message.
struct FinishedId {
    client_id: Box<[u8]>,
    /// Time at which the message was finished, on the dispatcher's clock.
    finished: Duration,
}

impl Messages {
    /// Adds a pending message.
    pub fn insert(&mut self, id: MessageId, message: PendingMessage) {
        self.pending.insert(id, message);
    }

    /// Removes and returns a pending message; its client id stays in use.
    pub fn remove(&mut self, id: MessageId) -> Option<PendingMessage> {
        self.pending.remove(&id)
    }

    /// Returns a pending message for modification, or `None` if `id` is not pending.
    pub fn get_mut(&mut self, id: MessageId) -> Option<&mut PendingMessage> {
        self.pending.get_mut(&id)
    }

    /// Returns `true` if the message `id` is pending.
    pub fn contains(&self, id: MessageId) -> bool {
        self.pending.contains_key(&id)
    }

    /// Returns `true` if no message is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns `true` if a message with this client id is pending or was finished less than [`CLIENT_ID_RETENTION`]
    /// ago.
    pub fn contains_client_id(&self, client_id: &[u8]) -> bool {
        self.client_ids.contains(client_id)
    }

    /// Adds a client id when its message is accepted.
    pub fn add_client_id(&mut self, client_id: &[u8]) {
        self.client_ids.insert(client_id.into());
    }

    /// Removes the client id of a withdrawn message, so that its client may submit the message again.
    pub fn remove_client_id(&mut self, client_id: &[u8]) {
        self.client_ids.remove(client_id);
    }

    /// Keeps the client id of a message finished at `now` in use for [`CLIENT_ID_RETENTION`].
    pub fn retain_client_id(&mut self, now: Duration, client_id: Box<[u8]>) {
        self.finished.push_back(FinishedId { client_id, finished: now });
    }

    /// Removes the client ids of messages that were finished at least [`CLIENT_ID_RETENTION`] before `now`.
    pub fn remove_expired_client_ids(&mut self, now: Duration) {
        let is_expired = |id: &&FinishedId| id.finished + CLIENT_ID_RETENTION <= now;
        while let Some(expired) = self.finished.front().filter(is_expired) {
            self.client_ids.remove(&expired.client_id);
            self.finished.pop_front();
        }
    }
}

#[cfg(test)]
impl Messages {
    /// Returns a pending message, or `None` if `id` is not pending.
    pub fn get(&self, id: MessageId) -> Option<&PendingMessage> {
        self.pending.get(&id)
    }

    /// Returns the number of pending messages.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of finished messages whose client ids are still in use.
    pub fn retained_id_count(&self) -> usize {
        self.finished.len()
    }
}
