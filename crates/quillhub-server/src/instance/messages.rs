//! The messages that an instance has accepted and not finished, and the client ids that must not come again.
//!
//! Invariant: a client id is known from the acceptance of its message until a while after the message is finished.

use crate::wal::RecoveredMessage;
use quillhub::MessageId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// How long the client id of a finished message is still known: a client that submits the message again by mistake,
/// or another under the same id, does so soon.
pub const CLIENT_ID_REMEMBERED: Duration = Duration::from_secs(5);

/// What the attempts and the final outcome of a pending message need.
pub struct PendingMessage {
    /// The client's own id for it.
    pub client_id: Box<[u8]>,
    /// The key by which endpoints recognise a retry.
    pub idempotency_key: Option<Box<[u8]>>,
    /// What is delivered.
    pub body: Rc<[u8]>,
    /// Attempts so far.
    pub attempts: u32,
    /// The record of its acceptance, until that is written.
    pub unwritten_record: Option<Vec<u8>>,
}

impl PendingMessage {
    /// A message that was accepted just now, whose record is to be written.
    pub fn accepted(message: RecoveredMessage, record: Vec<u8>) -> Self {
        Self { unwritten_record: Some(record), ..Self::recovered(message) }
    }

    /// A message that the log holds.
    pub fn recovered(message: RecoveredMessage) -> Self {
        Self {
            client_id: message.client_id.into(),
            idempotency_key: message.idempotency_key.map(Into::into),
            body: message.body.into(),
            attempts: message.attempts.last_key_value().map_or(0, |(last, _)| last + 1),
            unwritten_record: None,
        }
    }

    /// Counts one more attempt, and gives its number.
    pub fn begin_attempt(&mut self) -> u32 {
        let number = self.attempts;
        self.attempts += 1;
        number
    }
}

/// The pending messages and the known client ids.
#[derive(Default)]
pub struct Messages {
    pending: BTreeMap<MessageId, PendingMessage>,
    /// Of pending messages, and of those finished since a short while.
    client_ids: BTreeSet<Box<[u8]>>,
    /// Of finished messages, oldest first.
    finished: VecDeque<FinishedId>,
}

/// The client id of a finished message.
struct FinishedId {
    client_id: Box<[u8]>,
    /// By the dispatcher's clock.
    finished: Duration,
}

impl Messages {
    /// Adds a pending message.
    pub fn insert(&mut self, id: MessageId, message: PendingMessage) {
        self.pending.insert(id, message);
    }

    /// Takes a message out; its client id stays known.
    pub fn remove(&mut self, id: MessageId) -> Option<PendingMessage> {
        self.pending.remove(&id)
    }

    /// A pending message.
    pub fn get_mut(&mut self, id: MessageId) -> Option<&mut PendingMessage> {
        self.pending.get_mut(&id)
    }

    /// Whether a message is pending.
    pub fn contains(&self, id: MessageId) -> bool {
        self.pending.contains_key(&id)
    }

    /// Whether no message is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether a message of this client id is pending or was finished a short while ago.
    pub fn knows_client_id(&self, client_id: &[u8]) -> bool {
        self.client_ids.contains(client_id)
    }

    /// A message of this client id is accepted.
    pub fn reserve_client_id(&mut self, client_id: &[u8]) {
        self.client_ids.insert(client_id.into());
    }

    /// The message of this client id is withdrawn: its client may submit it again.
    pub fn release_client_id(&mut self, client_id: &[u8]) {
        self.client_ids.remove(client_id);
    }

    /// The message of this client id is finished: the id stays known for a while.
    pub fn remember_client_id(&mut self, now: Duration, client_id: Box<[u8]>) {
        self.finished.push_back(FinishedId { client_id, finished: now });
    }

    /// Forgets the client ids of messages that were finished long enough ago.
    pub fn forget_old_client_ids(&mut self, now: Duration) {
        let is_old = |id: &&FinishedId| id.finished + CLIENT_ID_REMEMBERED <= now;
        while let Some(old) = self.finished.front().filter(is_old) {
            self.client_ids.remove(&old.client_id);
            self.finished.pop_front();
        }
    }
}

#[cfg(test)]
impl Messages {
    /// A pending message.
    pub fn get(&self, id: MessageId) -> Option<&PendingMessage> {
        self.pending.get(&id)
    }

    /// How many messages are pending.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Client ids of finished messages that are still known.
    pub fn remembered(&self) -> usize {
        self.finished.len()
    }
}
