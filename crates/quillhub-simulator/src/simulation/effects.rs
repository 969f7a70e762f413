//! Effects at destinations: deduplication by idempotency key, and effects that must not come twice.

use crate::scenario::{RetrySafetyKind, ServiceClassSpec};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// An idempotency key as a destination remembers it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct IdempotencyKey {
    pub(super) destination: usize,
    /// Where endpoints of one zone share their memory and no others: that zone.
    pub(super) zone: Option<usize>,
    /// The client's message that it stands for.
    pub(super) request: u64,
}

/// What became of a call at its destination.
pub(super) struct Effect {
    /// The destination knew the key and dropped the call.
    pub(super) deduplicated: bool,
    /// The same request had its effect before, and must not have it again.
    pub(super) duplicate: bool,
}

/// What all destinations remember, and what took effect at them.
#[derive(Default)]
pub(super) struct Effects {
    /// Keys that destinations remember, and until when.
    remembered: BTreeMap<IdempotencyKey, Duration>,
    /// The ends of deduplication windows; forgotten in the order of their first calls.
    window_ends: VecDeque<(Duration, IdempotencyKey)>,
    /// Requests whose effect must not come twice and came once. All of a run: a retry may come late.
    executed: BTreeSet<u64>,
}

impl Effects {
    /// A call runs at its destination.
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

    /// Whether the destination knows the key; if not, it remembers it from now on.
    fn check_and_remember(&mut self, now: Duration, key: IdempotencyKey, window: Duration) -> bool {
        let window_end = now + window;
        let until = *self.remembered.entry(key).or_insert_with(|| {
            self.window_ends.push_back((window_end, key));
            window_end
        });
        until != window_end
    }
}
