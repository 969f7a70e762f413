//! Admission: which messages are accepted, what they are worth to whom, and which one goes when capacity is short.

use super::state::{Execution, PendingMessage, State};
use crate::{
    DestinationId, Driver, LogEvent, MessageId, NewMessage, RecoveredAttempts, RetrySafety,
    UnknownServiceClass, ms,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Share of the queue's capacity kept free, so that this instance chooses which message is rejected.
const SPARE_SHARE: f64 = 0.05;
/// Between two log lines on a full queue.
const LOG_INTERVAL: Duration = ms(5_000);
/// What one message takes of its tenant's quota.
const MESSAGE: f64 = 1.0;

/// What may be accepted.
pub(crate) struct Admission {
    /// Messages pending at once.
    queue_capacity: usize,
    /// Bytes that the host can still store.
    storage_capacity: u64,
    /// The message accepted last, until the rules have been gone through.
    just_accepted: Option<MessageId>,
    last_logged: Option<Duration>,
}

impl Admission {
    pub(super) fn new() -> Self {
        Self {
            queue_capacity: usize::MAX,
            storage_capacity: u64::MAX,
            just_accepted: None,
            last_logged: None,
        }
    }

    pub(crate) fn set_queue_capacity(&mut self, messages: usize) {
        self.queue_capacity = messages;
    }

    pub(crate) fn set_storage_capacity(&mut self, bytes: u64) {
        self.storage_capacity = bytes;
    }

    /// The message accepted last, if the state directory has no capacity for it.
    fn take_unstorable(&mut self) -> Option<MessageId> {
        self.just_accepted.take().filter(|_| self.storage_capacity == 0)
    }

    fn queue_is_short(&self, pending: usize) -> bool {
        let spare = ((self.queue_capacity as f64 * SPARE_SHARE) as usize).max(1);
        pending.saturating_add(spare) > self.queue_capacity
    }

    /// Whether a log line is due; if so, it counts as written.
    fn may_log(&mut self, now: Duration) -> bool {
        let due = self.last_logged.is_none_or(|at| at + LOG_INTERVAL <= now);
        if due {
            self.last_logged = Some(now);
        }
        due
    }
}

/// A tenant's share of the pool that falls to this instance, as buckets of one second: by time, an equal part of its
/// rate; by messages, its part of whatever this instance is handed. The fuller one counts, as some instances are
/// handed far more than others.
struct TenantQuota {
    rate: f64,
    by_time: f64,
    by_messages: f64,
    refilled: Duration,
}

impl TenantQuota {
    /// A message of any tenant was handed in, of which `part` is this one's.
    fn on_message(&mut self, now: Duration, part: f64) {
        let most = self.rate.max(MESSAGE);
        let earned = self.rate * (now - self.refilled).as_secs_f64();
        self.by_time = (self.by_time + earned).min(most);
        self.by_messages = (self.by_messages + part).min(most);
        self.refilled = now;
    }

    /// Whether one more message is within the share; if so, it is counted.
    fn take(&mut self) -> bool {
        let covered = self.by_time.max(self.by_messages) >= MESSAGE;
        if covered {
            self.by_time = (self.by_time - MESSAGE).max(0.0);
            self.by_messages = (self.by_messages - MESSAGE).max(0.0);
        }
        covered
    }
}

/// The quotas of all tenants.
pub(crate) struct TenantQuotas {
    quotas: BTreeMap<String, TenantQuota>,
    /// The share of its value that a message beyond its tenant's quota has.
    excess_value_share: f64,
}

impl TenantQuotas {
    pub(super) fn new() -> Self {
        Self { quotas: BTreeMap::new(), excess_value_share: 1.0 }
    }

    /// A tenant with `rate` messages a second at this instance.
    pub(super) fn add(&mut self, name: &str, rate: f64, excess_value_share: f64) {
        let quota = TenantQuota { rate, by_time: rate, by_messages: 0.0, refilled: Duration::ZERO };
        self.quotas.insert(name.into(), quota);
        self.excess_value_share = excess_value_share;
    }

    /// A message of `tenant` was handed in; the share of its value that it has.
    fn on_message(&mut self, now: Duration, tenant: Option<&str>) -> f64 {
        let sum: f64 = self.quotas.values().map(|quota| quota.rate).sum();
        self.quotas.values_mut().for_each(|quota| quota.on_message(now, quota.rate / sum));
        let quota = tenant.and_then(|name| self.quotas.get_mut(name));
        let is_covered = quota.is_none_or(TenantQuota::take);
        if is_covered { 1.0 } else { self.excess_value_share }
    }
}

impl State {
    /// Takes in a message that was handed in.
    pub(crate) fn accept(&mut self, message: NewMessage) -> Result<(), UnknownServiceClass> {
        let class = self.classes.iter().position(|named| named.name == message.service_class);
        let class = class.ok_or(UnknownServiceClass)?;
        let value_share = self.quotas.on_message(self.now, message.tenant);
        let service_class = &self.classes[class].class;
        let value = service_class.value * value_share;
        // Against deadlines that no message of the class may ask for.
        let deadline = message.deadline.min(self.now + service_class.deadline);
        let ordering_key = message.ordering_key.filter(|_| service_class.ordered);
        if let Some(key) = ordering_key {
            self.ordering.on_accepted(key, message.id);
        }
        self.earn_slow_start_budgets(message.destination);
        let pending = PendingMessage {
            class,
            destination: message.destination,
            ordering_key,
            deadline,
            value,
            attempts: 0,
            failures: 0,
            in_flight: 0,
            not_before: Duration::ZERO,
            last_outcome: None,
            first_execution: None,
            is_recovered_untried: false,
        };
        self.pending.insert(message.id, pending);
        self.admission.just_accepted = Some(message.id);
        Ok(())
    }

    /// A message for `destination` earns its endpoints a part of an attempt each, but where a Retry-After is in force.
    fn earn_slow_start_budgets(&mut self, id: DestinationId) {
        let Some(destination) = self.destinations.get_mut(&id) else { return };
        let part = 1.0 / destination.available_endpoints().max(1) as f64;
        let (now, slow_start, routes) = (self.now, self.slow_start, &destination.routes);
        for endpoint in destination.endpoints.values_mut() {
            if routes.get(&endpoint.route).is_some_and(|route| route.limit.retry_after_end() > now) {
                continue;
            }
            let share = endpoint.health.allowed_share(now, slow_start);
            endpoint.budget.on_message(share, part);
        }
    }

    /// Takes in what is known of the attempts of a message that was just accepted, from before a restart.
    ///
    /// Against effects that happen twice across a restart.
    pub(crate) fn restore_attempts(&mut self, id: MessageId, attempts: RecoveredAttempts) {
        let Some(destination) = self.pending.get(&id).map(|message| message.destination) else { return };
        let first_execution = attempts.first_execution.map(|execution| Execution {
            started: execution.started,
            zone: self.zone_of(destination, execution.endpoint),
        });
        let Some(message) = self.pending.get_mut(&id) else { return };
        message.attempts = attempts.count;
        message.first_execution = first_execution;
        message.is_recovered_untried = attempts.count == 0;
        if let Some(key) = message.ordering_key.filter(|_| message.first_execution.is_some()) {
            self.ordering.pause_for(key, id, self.now);
        }
    }

    /// Whether it is harmless to hand the message in again: only then it may be rejected.
    pub(super) fn may_reject(&self, message: &PendingMessage) -> bool {
        match self.class(message).retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::Deduplicated { per_zone, .. } => message.first_execution.is_none() || !per_zone,
            RetrySafety::AtMostOnce => message.first_execution.is_none(),
        }
    }

    /// Rule: without capacity in the state directory, what was handed in just now is not accepted.
    pub(crate) fn shed_unstorable(&mut self, driver: &mut dyn Driver) -> bool {
        let Some(id) = self.admission.take_unstorable() else { return false };
        self.give_up(id, driver);
        true
    }

    /// Rule: while the queue is short, the message of the least value goes, so that it is not chance that turns the
    /// next one away. What a restart recovered goes last.
    pub(crate) fn shed_least_valuable(&mut self, driver: &mut dyn Driver) -> bool {
        if !self.admission.queue_is_short(self.pending.len()) {
            return false;
        }
        let waiting =
            self.pending.iter().filter(|(_, message)| message.in_flight == 0 && self.may_reject(message));
        let least = waiting.min_by(|(id, message), (other_id, other)| {
            let recovered = message.is_recovered_untried.cmp(&other.is_recovered_untried);
            let value =
                || self.value_if_attempted_now(message).total_cmp(&self.value_if_attempted_now(other));
            recovered.then_with(value).then(other_id.cmp(id))
        });
        let Some(id) = least.map(|(id, _)| *id) else { return false };
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
