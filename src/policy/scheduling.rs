//! Scheduling: choice of the message to attempt next, start of its attempt, and the timer for applying the rules again.

use super::latency::LatencyWindow;
use super::outlier::Health;
use super::selection::{Candidate, Loads};
use super::state::{Attempt, Batch, PendingMessage, State};
use crate::{AttemptPlan, DestinationId, Driver, MessageId, RetrySafety, ms};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Minimum time, in seconds, for which a call is assumed to use a slot, so that very short calls do not dominate the
/// value per second of slot time.
const MIN_SLOT_SECS: f64 = 0.05;
/// Factor by which value rates are multiplied before they are rounded down for the comparison.
const VALUE_RATE_SCALE: f64 = 1e6;
/// Minimum time until the timer fires.
const MIN_TIMER_WAIT: Duration = ms(20);
/// Maximum time until the timer fires while messages are waiting: as the rate of a recovery ramp grows, an attempt may
/// start earlier than the current rate indicates.
const MAX_TIMER_WAIT: Duration = ms(500);

/// Suitability of a message for an attempt that may fail, least suitable first.
///
/// Makes health checks preferably use messages that can be executed again.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FailureTolerance {
    /// Health check with a deduplicated or at-most-once message that cannot have been executed yet, and that a failed
    /// attempt may prevent from being retried.
    MayLoseMessage,
    /// Health check with an idempotent message.
    Idempotent,
    /// Health check with a message that may already have been executed and may be executed again; an at-most-once
    /// message is not attempted again then.
    MayHaveBeenExecuted,
    /// Attempt at an endpoint that is not ejected.
    NotHealthCheck,
}

/// Priority of a message; the message with the greatest priority is attempted first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    failure_tolerance: FailureTolerance,
    /// `true` if the message was recovered after a restart and has never been attempted.
    ///
    /// Prevents recovered messages, which are late and have lost value, from waiting behind all new messages until they
    /// expire without an attempt. May delay each message of more value by one call per recovered message.
    is_recovered_unattempted: bool,
    /// Value per second of slot time, scaled by [`VALUE_RATE_SCALE`].
    value_rate: i64,
    /// Time up to which the message has its full value; an earlier one takes precedence.
    soft_deadline: Reverse<Duration>,
}

impl State {
    /// Rule: starts the attempt of the highest priority.
    pub(crate) fn start_highest_priority(&mut self, driver: &mut dyn Driver) -> bool {
        let slots_full = self.slots.are_full(self.slots_in_use());
        if slots_full && self.batch_limits.is_empty() || self.pending.is_empty() {
            return false;
        }
        let candidates = self.candidates_by_destination(slots_full);
        let mut best: Option<(Priority, MessageId, &Candidate)> = None;
        for (id, message) in &self.pending {
            let Some(candidates) = candidates.get(&message.destination) else { continue };
            let Some(candidate) = self.candidate_for(*id, message, candidates) else { continue };
            let priority = self.priority(message, candidate);
            if best.as_ref().is_none_or(|(top, ..)| priority > *top) {
                best = Some((priority, *id, candidate));
            }
        }
        let Some((_, id, candidate)) = best else {
            self.update_next_due();
            return false;
        };
        self.start_attempt(id, candidate, driver);
        true
    }

    /// Returns the candidate endpoints of all destinations for which a message could be attempted now.
    fn candidates_by_destination(&mut self, slots_full: bool) -> BTreeMap<DestinationId, Vec<Candidate>> {
        let is_waiting =
            |message: &&PendingMessage| !message.is_undecided(self.now) && self.may_be_attempted_now(message);
        let waiting = self.pending.values().filter(is_waiting);
        let waiting: BTreeSet<_> = waiting.map(|message| message.destination).collect();
        let loads: Loads = self.loads();
        waiting.into_iter().map(|id| (id, self.candidates(id, &loads, slots_full))).collect()
    }

    /// Returns `true` if the backoff of the message is over, or is irrelevant because the last attempt hit the
    /// connection limit and its destination has an idle connection.
    fn may_be_attempted_now(&self, message: &PendingMessage) -> bool {
        message.not_before <= self.now
            || message.last_attempt_hit_connection_limit()
                && self.shared.connections.has_any_to(message.destination)
    }

    /// Returns the priority of an attempt of `message` at `candidate`.
    fn priority(&self, message: &PendingMessage, candidate: &Candidate) -> Priority {
        let typical = self.typical_latency(message.destination, message.class);
        let value = self.value_at(message, self.now + typical);
        let class = self.class(message);
        let failure_tolerance = match message.first_possible_execution() {
            _ if !candidate.is_health_check() => FailureTolerance::NotHealthCheck,
            Some(_) => FailureTolerance::MayHaveBeenExecuted,
            None if class.retry_safety == RetrySafety::Idempotent => FailureTolerance::Idempotent,
            None => FailureTolerance::MayLoseMessage,
        };
        let soft_deadline = (message.budget.deadline + class.soft_deadline).saturating_sub(class.deadline);
        Priority {
            failure_tolerance,
            is_recovered_unattempted: message.is_recovered_unattempted,
            value_rate: (value * VALUE_RATE_SCALE / typical.as_secs_f64().max(MIN_SLOT_SECS)) as i64,
            soft_deadline: Reverse(soft_deadline),
        }
    }

    /// Lowers `next_due` to the earliest end of a backoff, of an unattributed call or of an ordering pause.
    fn update_next_due(&mut self) {
        let waits_of = |message: &PendingMessage| [message.not_before, message.unattributed.waits_until()];
        let waits = self.pending.values().flat_map(waits_of).filter(|at| *at > self.now);
        if let Some(next) = waits.chain(self.ordering.next_pause_end(self.now)).min() {
            self.next_due = self.next_due.min(next);
        }
    }

    /// Starts an attempt and charges it to the budgets and limits, unless the message is added to a call already
    /// charged.
    fn start_attempt(&mut self, id: MessageId, candidate: &Candidate, driver: &mut dyn Driver) {
        let Some(timeout) = self.attempt_timeout(id) else { return };
        let now = self.now;
        let Some(plan) = self.attempt_plan(id, candidate, timeout) else { return };
        let Some(message) = self.pending.get_mut(&id) else { return };
        let Some(destination) = self.destinations.get_mut(&message.destination) else { return };
        let Some(endpoint) = destination.endpoints.get_mut(&candidate.endpoint) else { return };
        let Some(route) = destination.routes.get_mut(&endpoint.route) else { return };
        driver.start_attempt(id, &candidate.endpoint, plan);
        let added_to_call = endpoint.batch.can_add(now);
        if added_to_call {
            endpoint.batch.add();
        } else {
            let max_messages = self.batch_limits.get(&endpoint.kind).copied().unwrap_or(1);
            endpoint.batch = Batch::start(now, max_messages);
            route.retry_budget.on_attempt(now, message.attempts > 0);
            if message.last_attempt_was_rejected() {
                self.shared.retry_credit.spend();
            }
            route.limit.bucket.take();
            endpoint.concurrency.acquire();
        }
        if candidate.is_health_check() {
            route.checks.on_check(now, &mut self.shared.rng);
        }
        if !added_to_call && (endpoint.health.status() != Health::Healthy || route.streak.is_suspect(now)) {
            endpoint.budget.spend();
        }
        endpoint.last_used = Some(now);
        self.register_attempt(id, candidate, plan, added_to_call);
    }

    /// Returns the parameters of an attempt, or `None` if the message or the endpoint is unknown.
    fn attempt_plan(&self, id: MessageId, candidate: &Candidate, timeout: Duration) -> Option<AttemptPlan> {
        let message = self.pending.get(&id)?;
        let endpoint = self.endpoint(message.destination, &candidate.endpoint)?;
        Some(AttemptPlan {
            timeout,
            connection: self.connection_use(message, (&candidate.endpoint, endpoint), timeout),
            attribution: self.attribution_terms(message, timeout),
        })
    }

    /// Registers an attempt as in flight.
    fn register_attempt(
        &mut self,
        id: MessageId,
        candidate: &Candidate,
        plan: AttemptPlan,
        added_to_call: bool,
    ) {
        let Some(message) = self.pending.get_mut(&id) else { return };
        let endpoint = candidate.endpoint.clone();
        let key = (message.destination, endpoint);
        self.shared.connections.remove(&key);
        let attempt = Attempt {
            destination: message.destination,
            endpoint: key.1,
            class: message.class,
            ordering_key: message.ordering_key,
            started: self.now,
            connection: plan.connection,
            call_deadline: plan.attribution.call_deadline,
            added_to_call,
        };
        self.in_flight.insert((id, message.attempts), attempt);
        if let Some(key) = message.ordering_key {
            self.ordering.on_started(key, id);
        }
        message.attempts += 1;
        message.in_flight += 1;
        message.is_recovered_unattempted = false;
    }

    /// Returns the attempt timeout of a message, or `None` if the message is not pending.
    fn attempt_timeout(&self, id: MessageId) -> Option<Duration> {
        let message = self.pending.get(&id)?;
        let calls_in_flight = self.in_flight.values().filter(|attempt| !attempt.added_to_call).count();
        let min_timeout_share =
            self.shared.isolated_losses.min_timeout_share(self.slots.free_share(calls_in_flight));
        let time_left = message.budget.calls_end.saturating_sub(self.now);
        let class_latency = self.shared.class_latency.get(&message.class);
        let class_bound = class_latency.map_or(Duration::ZERO, LatencyWindow::tail_bound);
        // An at-most-once message is lost if its attempt times out, so its timeout extends to its deadline while its
        // destination has few latency samples and slots are free.
        let is_at_most_once = self.class(message).retry_safety == RetrySafety::AtMostOnce;
        let class_bound = if is_at_most_once { class_bound.max(time_left) } else { class_bound };
        let no_samples = LatencyWindow::default();
        let latency = self.latency(message.destination, message.class).unwrap_or(&no_samples);
        Some(latency.attempt_timeout(class_bound, min_timeout_share).min(time_left))
    }

    /// Requests a timer for the time at which a rule may act next, unless the timer requested last is due by then.
    pub(crate) fn set_timer(&mut self, driver: &mut dyn Driver) {
        let any_waiting = self.pending.values().any(|message| message.in_flight == 0);
        let rules_wait = any_waiting.then(|| self.next_due.saturating_sub(self.now).min(MAX_TIMER_WAIT));
        let idle_close_wait = || self.time_to_next_idle_close();
        let poll_wait = self.discovery.time_until_poll(self.now);
        let abandon_wait = self.provisional_ends.next_abandonment().map(|at| at.saturating_sub(self.now));
        let settle_at = self.provisional.next_deadline(self.now);
        let settle_wait = settle_at.map(|at| at.saturating_sub(self.now).min(MAX_TIMER_WAIT));
        let waits = rules_wait.or_else(idle_close_wait).into_iter().chain(poll_wait).chain(abandon_wait);
        let waits = waits.chain(settle_wait);
        let Some(wait) = waits.min() else {
            return;
        };
        // Waits are whole milliseconds, and an expired timer is replaced. Prevents messages from being stuck when a
        // host with a coarse clock fires a timer slightly early, so that no rule acts yet and no other timer is
        // requested. May request an unnecessary timer.
        let wait = ms(wait.max(MIN_TIMER_WAIT).as_millis() as u64 + 1);
        if self.timer.is_none_or(|at| at <= self.now || at > self.now + wait) {
            self.timer = Some(self.now + wait);
            driver.set_timer(wait);
        }
    }

    /// Handles the expiry of a timer; the timer requested last stays registered if it is due later.
    pub(crate) fn timer_fired(&mut self) {
        self.timer = self.timer.filter(|at| *at > self.now);
    }
}

#[cfg(test)]
#[path = "tests/scheduling.rs"]
mod tests;
