//! Scheduling: which message goes next, how its attempt starts, and when the rules look again.

use super::latency::LatencyWindow;
use super::outlier::Health;
use super::selection::{Candidate, Loads};
use super::state::{Attempt, Batch, PendingMessage, State};
use crate::{DestinationId, Driver, MessageId, RetrySafety, ms};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Seconds of a slot that any call counts for at least, so that none is taken for free.
const LEAST_CALL: f64 = 0.05;
/// Parts in which the values of messages for each second of a slot are compared.
const VALUE_PARTS: f64 = 1e6;
/// Shortest time between two looks at what is pending.
const LEAST_WAIT: Duration = ms(20);
/// The longest: a ramp opens sooner than its rate of now tells.
const LONGEST_WAIT: Duration = ms(500);

/// How little an attempt costs if it fails: health checks are made with what can be executed again first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Harm {
    /// A health check with a message that a second execution harms, or that is lost with it.
    MayLoseMessage,
    /// A health check with an idempotent message.
    Idempotent,
    /// A health check with a message that may have been executed already.
    MayHaveBeenExecuted,
    /// An attempt at an endpoint that is not ejected.
    NoHealthCheck,
}

/// The order in which messages go: the greatest first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    harm: Harm,
    /// Against what a restart recovered, late by then and of little value, waiting untried behind all that is new
    /// until its deadline is over. May delay what is worth more, by one call each.
    is_recovered_untried: bool,
    /// Value for each second of a slot.
    value_rate: i64,
    soft_deadline: Reverse<Duration>,
}

impl State {
    /// Rule: starts the attempt that is worth most for the time of its slot.
    pub(crate) fn start_most_valuable(&mut self, driver: &mut dyn Driver) -> bool {
        let slots_full = self.slots.are_full(self.slots_in_use());
        if slots_full && self.batch_limits.is_empty() || self.pending.is_empty() {
            return false;
        }
        let candidates = self.candidates_of_waiting(slots_full);
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
            self.note_next_start();
            return false;
        };
        self.start_attempt(id, candidate, driver);
        true
    }

    /// The candidate endpoints of all destinations for which a message waits.
    fn candidates_of_waiting(&mut self, slots_full: bool) -> BTreeMap<DestinationId, Vec<Candidate>> {
        let waiting =
            self.pending.values().filter(|message| message.in_flight == 0 && self.may_go_now(message));
        let waiting: BTreeSet<_> = waiting.map(|message| message.destination).collect();
        let loads: Loads = self.loads();
        waiting.into_iter().map(|id| (id, self.candidates(id, &loads, slots_full))).collect()
    }

    /// Whether the message's backoff is over, or does not matter as there is a connection for it.
    fn may_go_now(&self, message: &PendingMessage) -> bool {
        message.not_before <= self.now
            || message.found_no_connection() && self.shared.connections.has_any_to(message.destination)
    }

    fn priority(&self, message: &PendingMessage, candidate: &Candidate) -> Priority {
        let typical = self.typical_call(message.destination, message.class);
        let value = self.value_at(message, self.now + typical);
        let class = self.class(message);
        let harm = match &message.first_execution {
            _ if !candidate.is_health_check() => Harm::NoHealthCheck,
            Some(_) => Harm::MayHaveBeenExecuted,
            None if class.retry_safety == RetrySafety::Idempotent => Harm::Idempotent,
            None => Harm::MayLoseMessage,
        };
        let soft_deadline = (message.deadline + class.soft_deadline).saturating_sub(class.deadline);
        Priority {
            harm,
            is_recovered_untried: message.is_recovered_untried,
            value_rate: (value * VALUE_PARTS / typical.as_secs_f64().max(LEAST_CALL)) as i64,
            soft_deadline: Reverse(soft_deadline),
        }
    }

    /// Nothing may start now: the rules look again when a backoff or an ordering pause ends.
    fn note_next_start(&mut self) {
        let backoffs = self.pending.values().map(|message| message.not_before).filter(|at| *at > self.now);
        if let Some(next) = backoffs.chain(self.ordering.next_pause_end(self.now)).min() {
            self.next_due = self.next_due.min(next);
        }
    }

    /// Starts an attempt, and counts it at each mechanism; one that joins a call counts with that.
    fn start_attempt(&mut self, id: MessageId, candidate: &Candidate, driver: &mut dyn Driver) {
        let Some(timeout) = self.attempt_timeout(id) else { return };
        let now = self.now;
        let Some(message) = self.pending.get_mut(&id) else { return };
        let Some(destination) = self.destinations.get_mut(&message.destination) else { return };
        let Some(endpoint) = destination.endpoints.get_mut(&candidate.endpoint) else { return };
        let Some(route) = destination.routes.get_mut(&endpoint.route) else { return };
        driver.start_attempt(id, &candidate.endpoint, timeout);
        let is_batched = endpoint.batch.has_place(now);
        if is_batched {
            endpoint.batch.join();
        } else {
            let most = self.batch_limits.get(&endpoint.kind).copied().unwrap_or(1);
            endpoint.batch = Batch::start(now, most);
            route.retry_budget.on_attempt(now, message.attempts > 0);
            if message.was_rejected() {
                self.shared.retry_credit.spend();
            }
            route.limit.bucket.take();
            endpoint.concurrency.acquire();
        }
        if candidate.is_health_check() {
            route.checks.on_check(now, &mut self.shared.rng);
        }
        if !is_batched && (endpoint.health.status() != Health::Healthy || route.streak.is_suspect(now)) {
            endpoint.budget.spend();
        }
        endpoint.last_used = Some(now);
        self.record_started(id, candidate, is_batched);
    }

    /// The attempt is in flight from now on.
    fn record_started(&mut self, id: MessageId, candidate: &Candidate, is_batched: bool) {
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
            is_batched,
        };
        self.in_flight.insert((id, message.attempts), attempt);
        if let Some(key) = message.ordering_key {
            self.ordering.on_started(key, id);
        }
        message.attempts += 1;
        message.in_flight += 1;
        message.is_recovered_untried = false;
    }

    /// How long an attempt of a message may take.
    fn attempt_timeout(&self, id: MessageId) -> Option<Duration> {
        let message = self.pending.get(&id)?;
        let calls = self.in_flight.values().filter(|attempt| !attempt.is_batched).count();
        let least_share = self.shared.isolated_losses.min_timeout_share(self.slots.free_share(calls));
        let time_left = message.deadline.saturating_sub(self.now);
        let class_latency = self.shared.class_latency.get(&message.class);
        let elsewhere = class_latency.map_or(Duration::ZERO, LatencyWindow::tail_bound);
        // An at-most-once message that is given up is lost: it waits for its response while slots are free.
        let is_at_most_once = self.class(message).retry_safety == RetrySafety::AtMostOnce;
        let elsewhere = if is_at_most_once { elsewhere.max(time_left) } else { elsewhere };
        let none = LatencyWindow::default();
        let latency = self.latency(message.destination, message.class).unwrap_or(&none);
        Some(latency.attempt_timeout(elsewhere, least_share).min(time_left))
    }

    /// Asks the host to call back when the rules may next have something to do.
    pub(crate) fn set_timer(&mut self, driver: &mut dyn Driver) {
        let waits = self.pending.values().any(|message| message.in_flight == 0);
        let next_rule = waits.then(|| self.next_due.saturating_sub(self.now).min(LONGEST_WAIT));
        let next_close = || self.time_to_next_idle_close();
        let next_poll = self.discovery.wait(self.now);
        let Some(wait) = next_rule.or_else(next_close).into_iter().chain(next_poll).min() else { return };
        // Whole steps, and a new one for one that is past: against a timer that a host's coarser clock fires a little
        // early, taken for none, and no other asked for. May ask for one too many.
        let wait = ms(wait.max(LEAST_WAIT).as_millis() as u64 + 1);
        if self.timer.is_none_or(|at| at <= self.now || at > self.now + wait) {
            self.timer = Some(self.now + wait);
            driver.set_timer(wait);
        }
    }

    /// The timer that was asked for has run out.
    pub(crate) fn timer_fired(&mut self) {
        self.timer = self.timer.filter(|at| *at > self.now);
    }
}

#[cfg(test)]
#[path = "tests/scheduling.rs"]
mod tests;
