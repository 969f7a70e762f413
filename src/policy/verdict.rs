//! Verdict: what the end of an attempt, here or at another instance, says of its endpoint, its route and the rest.
//!
//! Each outcome is handed to the mechanisms that it concerns, and weighed once as [`Evidence`]; the endpoint's health
//! and the route's budgets follow from that.

use super::backoff::{BASE, CAP, full_jitter};
use super::latency::LatencyWindow;
use super::outlier::{self, Health};
use super::rate_limit::Rejection;
use super::state::{Attempt, Destination, Endpoint, MaybeExecutedAttempt, Route, Shared, State};
use crate::{AttemptOutcome, AttemptResult, EndpointState, LogEvent, MessageId, gossip};
use std::time::Duration;

/// What an outcome says beyond the health of its endpoint.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Signal {
    None,
    /// Retry-After asks for longer than a limit's span: the route is shut.
    Shut,
    /// The first of several rejections where no response tells of the limit.
    FirstRejection,
    /// A delivery that ends an outage.
    Recovered,
}

/// One outcome, weighed.
struct Evidence {
    /// Its weight in the failing share of the endpoint; 0 if it is no failure.
    failure_weight: f64,
    /// Whether it tells that the endpoint does not answer.
    lost: bool,
    signal: Signal,
}

impl Evidence {
    const NONE: Self = Self { failure_weight: 0.0, lost: false, signal: Signal::None };

    fn failure(failure_weight: f64) -> Self {
        Self { failure_weight, ..Self::NONE }
    }
}

/// What held before an outcome was taken in.
#[derive(Clone, Copy)]
struct Before {
    health: Health,
    suspect: bool,
}

/// What an outcome is handed to.
struct Scope<'a> {
    now: Duration,
    instances: u32,
    overload_tolerance: Duration,
    attempt: &'a Attempt,
    endpoint: &'a mut Endpoint,
    route: &'a mut Route,
    latency: &'a mut LatencyWindow,
    shared: &'a mut Shared,
    before: Before,
}

impl Scope<'_> {
    /// Hands the outcome to the mechanisms that it concerns, and weighs it.
    fn weigh(&mut self, result: &AttemptResult) -> Evidence {
        match result.outcome {
            AttemptOutcome::Delivered => self.on_delivery(result),
            AttemptOutcome::Rejected { retry_after } | AttemptOutcome::AmbiguousRejection { retry_after } => {
                self.on_rejection(retry_after.unwrap_or_default(), result)
            }
            AttemptOutcome::Failed => {
                self.route.streak.add_failures(1);
                Evidence::failure(outlier::FAILURE_WEIGHT)
            }
            AttemptOutcome::TimedOut => self.on_timeout(),
            AttemptOutcome::ConnectFailed => self.on_connect_failure(),
            AttemptOutcome::ConnectionReset => {
                self.route.streak.add_failures(1);
                Evidence::failure(outlier::WEAK_WEIGHT)
            }
            // Against many instances' connections that fill an endpoint's table: it lives, and no limit is reached.
            // Another endpoint, or a table that others left, may take the next one.
            AttemptOutcome::ConnectionLimit => {
                self.shared.connections.on_connect_failure(&self.endpoint.kind);
                self.endpoint.last_used = None;
                Evidence::NONE
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => Evidence::NONE,
        }
    }

    fn on_delivery(&mut self, result: &AttemptResult) -> Evidence {
        let now = self.now;
        let class_latency = self.shared.class_latency.entry(self.attempt.class).or_default();
        class_latency.on_delivery(now, result.duration);
        self.latency.on_delivery(now, result.duration);
        self.shared.connections.on_delivery(&self.endpoint.kind);
        self.shared.retry_credit.on_delivery();
        self.shared.isolated_losses.on_delivery();
        self.endpoint.health.on_delivery(now);
        self.route.limit.on_delivery(result.load_report.map(|report| report.remaining_share));
        if self.before.health == Health::Ejected {
            self.route.checks.on_return(now);
        }
        if self.shared.gossip.is_allowed && (self.before.health == Health::Ejected || self.before.suspect) {
            let returned = (self.attempt.destination, self.endpoint.route.clone());
            self.shared.gossip.recovered_routes.push(returned);
        }
        let recovered = self.route.streak.is_outage(now);
        self.route.streak.reset();
        Evidence { signal: if recovered { Signal::Recovered } else { Signal::None }, ..Evidence::NONE }
    }

    fn on_rejection(&mut self, retry_after: Duration, result: &AttemptResult) -> Evidence {
        let now = self.now;
        let route = &mut *self.route;
        let is_reported = route.limit.is_reported();
        // Responses that tell of a limit pace it; otherwise one call is no rate of one a second.
        let span = if is_reported { Duration::ZERO } else { self.overload_tolerance };
        let rejection = Rejection {
            now,
            started: self.attempt.started,
            retry_after,
            attempt_rate: route.retry_budget.attempt_rate(now, span),
            instances: self.instances,
        };
        route.limit.on_rejection(rejection, &mut self.shared.rng);
        self.shared.retry_credit.on_rejection();

        let shut = route.limit.is_shut(now);
        let first = !is_reported && route.streak.on_rejection_without_limit();
        // Where responses tell of no limit, or so many came in a row, the route is shut or its queue full.
        let has_no_limit = result.load_report.is_some_and(|report| report.rate_limit <= 0.0);
        let is_streak = route.limit.rejections() >= outlier::REJECTION_STREAK;
        route.streak.add_failures(u32::from(has_no_limit || is_streak));
        if shut {
            route.streak.add_suspicion();
        }
        let failure_weight = if route.limit.rejects_for_long(now) {
            outlier::SILENCE_WEIGHT
        } else if self.attempt.started >= self.endpoint.health.last_failure() {
            outlier::WEAK_WEIGHT
        } else {
            0.0
        };
        let signal = match (shut, first) {
            (true, _) => Signal::Shut,
            (false, true) => Signal::FirstRejection,
            (false, false) => Signal::None,
        };
        Evidence { failure_weight, lost: false, signal }
    }

    /// Against taking calls that get lost one by one, as on a bad network, for an outage: where others are just
    /// answered, a loss says little. May delay an ejection.
    fn on_timeout(&mut self) -> Evidence {
        let lost = self.endpoint.health.is_silent(self.now, self.attempt.started);
        if lost {
            self.latency.on_timeout();
        } else {
            self.shared.isolated_losses.on_isolated_timeout();
        }
        self.on_lost_call(lost)
    }

    fn on_connect_failure(&mut self) -> Evidence {
        self.shared.connections.on_connect_failure(&self.endpoint.kind);
        let lost = !self.endpoint.health.delivered_since(self.attempt.started);
        self.on_lost_call(lost)
    }

    fn on_lost_call(&mut self, lost: bool) -> Evidence {
        self.route.streak.add_failures(1);
        let failure_weight = if lost { outlier::SILENCE_WEIGHT } else { outlier::WEAK_WEIGHT };
        Evidence { failure_weight, lost, signal: Signal::None }
    }

    /// Releases the attempt's permit; its connection is idle then, if it is the last and stays open.
    fn release(&mut self, outcome: AttemptOutcome, lost: bool) {
        self.endpoint.concurrency.release(lost);
        let closed = matches!(outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionLimit);
        if self.endpoint.concurrency.in_flight() == 0 && !closed {
            let key = (self.attempt.destination, self.attempt.endpoint.clone());
            self.shared.connections.on_idle(key, self.now);
        }
    }

    /// The endpoint's health after the outcome, and when it is checked next if it is ejected.
    fn change_health(&mut self, outcome: AttemptOutcome, failure_weight: f64) -> Health {
        if failure_weight > 0.0 {
            self.endpoint.health.on_failure(self.now, failure_weight);
        }
        let after = self.endpoint.health.status();
        if after == Health::Ejected && outcome != AttemptOutcome::Delivered {
            self.route.checks.on_failure(self.now, outcome.never_executed(), &mut self.shared.rng);
        }
        if self.before.health.differs_from(after) {
            self.shared.log_events.push(LogEvent::HealthChanged {
                endpoint: self.attempt.endpoint.clone(),
                destination: self.attempt.destination,
                before: self.before.health,
                after,
            });
        }
        after
    }

    /// Whether the route's endpoints go by their slow-start budgets from now on.
    fn begins_slow_start(&self, signal: Signal, after: Health) -> bool {
        let ejected = self.before.health == Health::Healthy && after == Health::Ejected;
        let newly_suspect = !self.before.suspect && self.route.streak.is_suspect(self.now);
        matches!(signal, Signal::Shut | Signal::FirstRejection) || ejected || newly_suspect
    }
}

/// Whether an outcome is a failure or a rejection.
fn is_adverse(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::Delivered
            | AttemptOutcome::ConnectionLimit
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent
    )
}

/// Takes a turning point in to all endpoints of a route.
fn change_route(
    destination: &mut Destination,
    route: &str,
    signal: Signal,
    begins: bool,
    shared: &mut Shared,
    now: Duration,
) {
    for endpoint in destination.endpoints.values_mut().filter(|endpoint| endpoint.route == route) {
        // Against a herd at the end of the Retry-After of a route that is shut: all its endpoints return cold.
        if signal == Signal::Shut {
            endpoint.health.on_failure(now, outlier::SHUT_WEIGHT);
        }
        // Against all that waits at many instances, released by the first call that each sees delivered.
        if signal == Signal::Recovered && endpoint.health.status() == Health::Healthy {
            endpoint.health.start_warm_up(now);
        }
        // Against budgets saved up while all was well: of many instances each would send a call at once.
        if begins {
            endpoint.budget.restart(&mut shared.rng, now);
        }
    }
}

impl State {
    /// Takes in the end of an attempt.
    pub(crate) fn attempt_ended(&mut self, result: &AttemptResult) {
        let Some(attempt) = self.in_flight.remove(&(result.message, result.attempt)) else { return };
        let outcome = result.outcome;
        if !attempt.is_batched {
            self.judge(&attempt, result);
        }
        if let Some(key) = attempt.ordering_key {
            let answered = matches!(outcome, AttemptOutcome::Delivered | AttemptOutcome::Failed);
            let may_be_executed = !outcome.never_executed() && !answered;
            self.ordering.on_ended(key, result.message, may_be_executed, self.now);
        }
        if result.finished {
            self.finish(result.message);
        }
        self.back_off(&attempt, result);
    }

    /// The message waits for its next attempt.
    fn back_off(&mut self, attempt: &Attempt, result: &AttemptResult) {
        let outcome = result.outcome;
        let zone = self.zone_of(attempt.destination, &attempt.endpoint);
        let Some(message) = self.pending.get_mut(&result.message) else { return };
        message.in_flight -= 1;
        message.failures += u32::from(outcome != AttemptOutcome::NotSent);
        message.last_outcome = Some(outcome);
        message.not_before = self.now + full_jitter(&mut self.shared.rng, message.failures, BASE, CAP);
        let is_first = message.first_execution.as_ref().is_none_or(|first| first.started > attempt.started);
        if !outcome.never_executed() && is_first {
            message.first_execution = Some(MaybeExecutedAttempt { started: attempt.started, zone });
        }
    }

    /// Hands an outcome to each mechanism, and draws the consequences.
    pub(super) fn judge(&mut self, attempt: &Attempt, result: &AttemptResult) {
        let now = self.now;
        let Some(destination) = self.destinations.get_mut(&attempt.destination) else { return };
        let Some(endpoint) = destination.endpoints.get_mut(&attempt.endpoint) else { return };
        let Some(route) = destination.routes.get_mut(&endpoint.route) else { return };
        route.limit.bucket.refill(now);
        route.limit.on_report(result.load_report);
        let before = Before { health: endpoint.health.status(), suspect: route.streak.is_suspect(now) };
        self.shared.connections.on_call(&endpoint.kind);
        let mut scope = Scope {
            now,
            instances: self.instances,
            overload_tolerance: self.overload_tolerance,
            attempt,
            endpoint,
            route,
            latency: destination.latency.entry(attempt.class).or_default(),
            shared: &mut self.shared,
            before,
        };
        let evidence = scope.weigh(result);
        if is_adverse(result.outcome) {
            scope.route.streak.begin(now);
        }
        scope.release(result.outcome, evidence.lost);
        let after = scope.change_health(result.outcome, evidence.failure_weight);
        let begins = scope.begins_slow_start(evidence.signal, after);
        if begins || evidence.signal == Signal::Recovered {
            let route = scope.endpoint.route.clone();
            change_route(destination, &route, evidence.signal, begins, &mut self.shared, now);
        }
    }

    /// Whether an attempt may begin whose connection has come up.
    ///
    /// Against waits and drains that came while its connection was opened, which may also last until the message has
    /// its final outcome or its idempotency key is forgotten. May hold back one that would be in time.
    pub(crate) fn may_send_request(&self, id: MessageId, attempt: u32, now: Duration) -> bool {
        let Some(attempt) = self.in_flight.get(&(id, attempt)) else { return false };
        if self.pending.get(&id).is_none_or(|message| now > self.latest_start(message)) {
            return false;
        }
        let Some(endpoint) = self.endpoint(attempt.destination, &attempt.endpoint) else { return false };
        let route = &self.destinations[&attempt.destination].routes[&endpoint.route];
        endpoint.state == EndpointState::Available && route.limit.retry_after() <= now
    }

    /// A route answered another instance. Against learning of a return instance by instance.
    pub(crate) fn gossip_received(&mut self, octets: &[u8]) {
        let now = self.now;
        let Some((destination, route_name)) = gossip::decode_recovery(octets) else { return };
        let Some(destination) = self.destinations.get_mut(&destination) else { return };
        let Some(route) = destination.routes.get_mut(route_name) else { return };
        let suspect = route.streak.is_suspect(now);
        for endpoint in destination.endpoints.values_mut().filter(|endpoint| endpoint.route == route_name) {
            let is_silent = suspect && endpoint.health.is_silent(now, now);
            if endpoint.health.is_ejected() || is_silent {
                endpoint.health.start_warm_up(now);
                endpoint.budget.randomize(&mut self.shared.rng);
            }
        }
        route.streak.reset();
    }
}

#[cfg(test)]
#[path = "tests/verdict.rs"]
mod tests;
