//! Executions at destinations: deduplication by idempotency key, and detection of duplicate effects.

use crate::scenario::{RetrySafetyKind, ServiceClassSpec};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Idempotency key of a message at its destination.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct IdempotencyKey {
    pub(super) destination: usize,
    /// Zone whose endpoints share the key; `None` if all endpoints of the destination do.
    pub(super) zone: Option<usize>,
    /// Number of the client's request, which stays the same when the client submits its message again.
    pub(super) request: u64,
}

/// Effect of a call at its destination.
pub(super) struct Effect {
    /// `true` if the destination knew the key and dropped the call.
    pub(super) deduplicated: bool,
    /// `true` if the request was executed before and must not be executed twice.
    pub(super) duplicate: bool,
}

/// Idempotency keys remembered by all destinations, and the requests executed there.
#[derive(Default)]
pub(super) struct Effects {
    /// Remembered keys, with the ends of their deduplication windows.
    remembered: BTreeMap<IdempotencyKey, Duration>,
    /// Ends of deduplication windows, in the order of the keys' first calls.
    window_ends: VecDeque<(Duration, IdempotencyKey)>,
    /// Executed requests that must not be executed twice. Kept for the whole run, because a retry may arrive late.
    executed: BTreeSet<u64>,
}

impl Effects {
    /// Executes a call at its destination.
    pub(super) fn execute(
        &mut self,
        now: Duration,
        key: IdempotencyKey,
        service_class: &ServiceClassSpec,
    ) -> Effect {
        self.remove_expired(now);
        let deduplicated = service_class.retry_safety == RetrySafetyKind::Deduplicated
            && self.check_and_remember(now, key, service_class.deduplication_window);
        let duplicate = service_class.retry_safety != RetrySafetyKind::Idempotent
            && !deduplicated
            && !self.executed.insert(key.request);
        Effect { deduplicated, duplicate }
    }

    fn remove_expired(&mut self, now: Duration) {
        while let Some((_, key)) = self.window_ends.front().copied().filter(|(end, _)| *end <= now) {
            self.window_ends.pop_front();
            self.remembered.remove(&key);
        }
    }

    /// Returns `true` if the destination knows the key; otherwise the destination remembers it for `window`.
    fn check_and_remember(&mut self, now: Duration, key: IdempotencyKey, window: Duration) -> bool {
        let window_end = now + window;
        let until = *self.remembered.entry(key).or_insert_with(|| {
            self.window_ends.push_back((window_end, key));
            window_end
        });
        until != window_end
    }
}
