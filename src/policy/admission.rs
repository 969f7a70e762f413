//! Admission: acceptance of messages, tenant quotas, and the choice of the message to reject when capacity is short.

use super::attribution::UnattributedAttempts;
use super::state::{PendingMessage, RecordedPossibleExecution, State};
use crate::{
    DestinationId, Driver, LogEvent, MessageId, NewMessage, RecoveredAttempts, RetrySafety,
    UnknownServiceClass, ms,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Share of the queue capacity that is kept free, so that the dispatcher can choose the message to reject.
const QUEUE_RESERVE_SHARE: f64 = 0.05;
/// Minimum time between two log events about a nearly full queue.
const MIN_LOG_INTERVAL: Duration = ms(5_000);
/// Tokens that one message takes from each bucket of its tenant.
const TOKENS_PER_MESSAGE: f64 = 1.0;

/// Queue capacity, remaining storage, and the message accepted last.
pub(crate) struct Admission {
    /// Maximum number of pending messages.
    queue_capacity: usize,
    /// Storage, in bytes, that the host has left.
    remaining_storage_bytes: u64,
    /// Message accepted last, until the rules have been applied.
    just_accepted: Option<MessageId>,
    /// Time of the last log event about a nearly full queue.
    last_logged: Option<Duration>,
}

impl Admission {
    pub(super) fn new() -> Self {
        Self {
            queue_capacity: usize::MAX,
            remaining_storage_bytes: u64::MAX,
            just_accepted: None,
            last_logged: None,
        }
    }

    /// Sets the maximum number of pending messages.
    pub(crate) fn set_queue_capacity(&mut self, messages: usize) {
        self.queue_capacity = messages;
    }

    /// Sets the storage, in bytes, that the host will have left after storing the message accepted next.
    pub(crate) fn set_remaining_storage(&mut self, bytes: u64) {
        self.remaining_storage_bytes = bytes;
    }

    /// Takes the message accepted last, and returns it if no storage is left for it.
    fn take_unstorable(&mut self) -> Option<MessageId> {
        self.just_accepted.take().filter(|_| self.remaining_storage_bytes == 0)
    }

    /// Returns `true` if `pending` messages leave less free capacity than is to be kept.
    fn is_nearly_full(&self, pending: usize) -> bool {
        let reserve = ((self.queue_capacity as f64 * QUEUE_RESERVE_SHARE) as usize).max(1);
        pending.saturating_add(reserve) > self.queue_capacity
    }

    /// Returns `true` if the nearly full queue may be logged now, and starts the interval to the next log event if so.
    fn may_log(&mut self, now: Duration) -> bool {
        let due = self.last_logged.is_none_or(|at| at + MIN_LOG_INTERVAL <= now);
        if due {
            self.last_logged = Some(now);
        }
        due
    }
}

/// Quota of a tenant at this instance: two token buckets that hold up to one second of its rate.
///
/// One bucket fills with time, at this instance's equal share of the tenant's rate. The other fills with each message
/// that this instance receives, by the tenant's share of all quotas. The fuller bucket applies, as some instances
/// receive far more messages than others; all instances together may therefore admit more than the quota.
struct TenantQuota {
    /// Messages per second at this instance.
    rate_per_s: f64,
    /// Tokens, one per message, in the bucket that fills with time.
    tokens_by_time: f64,
    /// Tokens, one per message, in the bucket that fills with received messages.
    tokens_by_messages: f64,
    /// Time at which the buckets were filled last.
    refilled_at: Duration,
}

impl TenantQuota {
    /// Fills both buckets when a message of any tenant is received; `share` is the tenant's share of all quotas.
    fn on_message(&mut self, now: Duration, share: f64) {
        let capacity = self.rate_per_s.max(TOKENS_PER_MESSAGE);
        let earned = self.rate_per_s * (now - self.refilled_at).as_secs_f64();
        self.tokens_by_time = (self.tokens_by_time + earned).min(capacity);
        self.tokens_by_messages = (self.tokens_by_messages + share).min(capacity);
        self.refilled_at = now;
    }

    /// Returns `true` if one more message is within the quota, and deducts it if so.
    fn take(&mut self) -> bool {
        let is_sufficient = self.tokens_by_time.max(self.tokens_by_messages) >= TOKENS_PER_MESSAGE;
        if is_sufficient {
            self.tokens_by_time = (self.tokens_by_time - TOKENS_PER_MESSAGE).max(0.0);
            self.tokens_by_messages = (self.tokens_by_messages - TOKENS_PER_MESSAGE).max(0.0);
        }
        is_sufficient
    }
}

/// Quotas of all tenants.
pub(crate) struct TenantQuotas {
    quotas: BTreeMap<String, TenantQuota>,
    /// Share of its value that a message keeps if it exceeds its tenant's quota, from 0 to 1.
    excess_value_share: f64,
}

impl TenantQuotas {
    pub(super) fn new() -> Self {
        Self { quotas: BTreeMap::new(), excess_value_share: 1.0 }
    }

    /// Adds a tenant with a quota of `rate_per_s` messages per second at this instance.
    pub(super) fn add(&mut self, name: &str, rate_per_s: f64, excess_value_share: f64) {
        let quota = TenantQuota {
            rate_per_s,
            tokens_by_time: rate_per_s,
            tokens_by_messages: 0.0,
            refilled_at: Duration::ZERO,
        };
        self.quotas.insert(name.into(), quota);
        self.excess_value_share = excess_value_share;
    }

    /// Deducts a received message from its tenant's quota and returns the share of its value that it keeps.
    fn on_message(&mut self, now: Duration, tenant: Option<&str>) -> f64 {
        let sum: f64 = self.quotas.values().map(|quota| quota.rate_per_s).sum();
        self.quotas.values_mut().for_each(|quota| quota.on_message(now, quota.rate_per_s / sum));
        let quota = tenant.and_then(|name| self.quotas.get_mut(name));
        let is_within_quota = quota.is_none_or(TenantQuota::take);
        if is_within_quota { 1.0 } else { self.excess_value_share }
    }
}

impl State {
    /// Accepts a message, or returns [`UnknownServiceClass`] and changes nothing.
    pub(crate) fn accept(&mut self, message: NewMessage) -> Result<(), UnknownServiceClass> {
        let class = self.classes.iter().position(|named| named.name == message.service_class);
        let class = class.ok_or(UnknownServiceClass)?;
        let value_share = self.quotas.on_message(self.now, message.tenant);
        let service_class = &self.classes[class].class;
        let value = service_class.value * value_share;
        // Prevents deadlines later than the service class allows.
        let deadline = message.deadline.min(self.now + service_class.deadline);
        let ordering_key = message.ordering_key.filter(|_| service_class.ordered);
        if let Some(key) = ordering_key {
            self.ordering.on_accepted(key, message.id);
        }
        self.credit_slow_start_budgets(message.destination);
        let pending = PendingMessage {
            class,
            destination: message.destination,
            ordering_key,
            budget: self.deadline_budget(deadline),
            value,
            attempts: 0,
            backoff_count: 0,
            in_flight: 0,
            not_before: Duration::ZERO,
            last_outcome: None,
            may_be_attempted: true,
            first_possible_execution: None,
            unattributed: UnattributedAttempts::default(),
            is_recovered_unattempted: false,
        };
        self.pending.insert(message.id, pending);
        self.admission.just_accepted = Some(message.id);
        Ok(())
    }

    /// Credits an accepted message to the slow-start budgets of the endpoints of its destination, in equal shares.
    ///
    /// Endpoints for which a retry-after is in force receive nothing. Prevents all instances from sending a burst at
    /// its end, out of budgets accumulated during it.
    fn credit_slow_start_budgets(&mut self, id: DestinationId) {
        let Some(destination) = self.destinations.get_mut(&id) else { return };
        let endpoint_share = 1.0 / destination.available_endpoints().max(1) as f64;
        let (now, slow_start, routes) = (self.now, self.slow_start, &destination.routes);
        for endpoint in destination.endpoints.values_mut() {
            if routes.get(&endpoint.route).is_some_and(|route| route.limit.retry_after_end() > now) {
                continue;
            }
            let allowed_share = endpoint.health.update_allowed_share(now, slow_start);
            endpoint.budget.on_message(allowed_share, endpoint_share);
        }
    }

    /// Restores the attempts made before a restart for a message that was just accepted.
    ///
    /// Prevents a message from being executed twice because of a restart.
    pub(crate) fn restore_attempts(&mut self, id: MessageId, attempts: RecoveredAttempts) {
        let Some(destination) = self.pending.get(&id).map(|message| message.destination) else { return };
        let first_possible_execution = attempts.first_execution.map(|execution| RecordedPossibleExecution {
            started: execution.started,
            zone: self.zone_of(destination, execution.endpoint),
        });
        let Some(message) = self.pending.get_mut(&id) else { return };
        message.attempts = attempts.count;
        message.first_possible_execution = first_possible_execution;
        message.is_recovered_unattempted = attempts.count == 0;
        if let Some(key) = message.ordering_key.filter(|_| message.first_possible_execution.is_some()) {
            self.ordering.pause_others(key, id, self.now);
        }
    }

    /// Returns `true` if the message may be rejected, after which its client may submit it again. At-most-once messages
    /// and those whose key only one zone recognizes may be rejected only if they cannot have been executed; no message may
    /// that is possibly over.
    pub(super) fn may_reject(&self, message: &PendingMessage) -> bool {
        if message.unattributed.may_be_over() {
            return false;
        }
        match self.class(message).retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::Deduplicated { per_zone, .. } => {
                message.first_possible_execution().is_none() || !per_zone
            }
            RetrySafety::AtMostOnce => message.first_possible_execution().is_none(),
        }
    }

    /// Rule: if no storage is left, gives the message accepted last its final outcome: rejected, or abandoned if
    /// attempts were restored for it after which it may not be rejected.
    pub(crate) fn shed_unstorable(&mut self, driver: &mut dyn Driver) -> bool {
        let Some(id) = self.admission.take_unstorable() else { return false };
        self.give_up(id, driver);
        true
    }

    /// Rule: if the queue is nearly full, rejects the message of the least value among those that may be rejected and
    /// are not in flight.
    ///
    /// Prevents a full queue, at which the order of arrival would decide which message is rejected. Recovered messages
    /// without an attempt are rejected last.
    pub(crate) fn shed_least_valuable(&mut self, driver: &mut dyn Driver) -> bool {
        if !self.admission.is_nearly_full(self.pending.len()) {
            return false;
        }
        let may_be_shed =
            |message: &PendingMessage| !message.is_undecided(self.now) && self.may_reject(message);
        let waiting = self.pending.iter().filter(|(_, message)| may_be_shed(message));
        let least_valuable = waiting.min_by(|(id, message), (other_id, other)| {
            let by_recovery = message.is_recovered_unattempted.cmp(&other.is_recovered_unattempted);
            let by_value =
                || self.value_if_attempted_now(message).total_cmp(&self.value_if_attempted_now(other));
            by_recovery.then_with(by_value).then(other_id.cmp(id))
        });
        let Some(id) = least_valuable.map(|(id, _)| *id) else { return false };
        self.give_up(id, driver);
        if self.admission.may_log(self.now) {
            driver.log(&LogEvent::QueueNearlyFull {
                pending: self.pending.len(),
                in_flight: self.in_flight.len(),
            });
        }
        true
    }
}

#[cfg(test)]
#[path = "tests/admission.rs"]
mod tests;
