//! Outcomes of attempts: their effects on the message, the endpoint, the route and the rest of the state.
//!
//! Each outcome is reported to the mechanisms that it concerns and summarized as an [`OutcomeEffect`], from which the
//! endpoint's health and the slow-start budgets of the route's endpoints are updated. Gossip about recoveries at other
//! instances is handled here too.

use super::latency::LatencyWindow;
use super::outlier::{self, Health};
use super::permissions::{NextAttempt, OwedOutcome, Permission, Standing};
use super::rate_limit::Rejection;
use super::state::{Attempt, Destination, Endpoint, PendingMessage, Route, Shared, State};
use crate::{
    AttemptOutcome, AttemptResult, ConnectionUse, EndpointState, LogEvent, MessageId, ResponseMeaning, gossip,
};
use std::time::Duration;

/// Effect of an outcome on all endpoints of its route.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RouteEffect {
    None,
    /// The rest of the route's retry-after is longer than a rate limit rejects calls.
    LongRetryAfter,
    /// The attempt got the first rejection since the last delivery on a route that reports no rate limit.
    FirstRejection,
    /// The message was delivered after an outage of the route.
    Recovered,
}

/// Effect of one outcome on the health of its endpoint, and on the other endpoints of the route.
struct OutcomeEffect {
    /// Weight in the failing share of the endpoint, from 0 to 1; 0 if the outcome is no failure.
    failure_weight: f64,
    /// `true` if the outcome indicates that the endpoint does not respond to any call.
    indicates_outage: bool,
    route_effect: RouteEffect,
}

impl OutcomeEffect {
    const NONE: Self = Self { failure_weight: 0.0, indicates_outage: false, route_effect: RouteEffect::None };

    fn failure(failure_weight: f64) -> Self {
        Self { failure_weight, ..Self::NONE }
    }
}

/// Health of the endpoint and its route before an outcome was processed.
#[derive(Clone, Copy)]
struct PriorHealth {
    health: Health,
    suspect: bool,
}

/// Attempt that ended, and the parts of the state that its outcome may change.
struct OutcomeContext<'a> {
    now: Duration,
    instances: u32,
    overload_tolerance: Duration,
    attempt: &'a Attempt,
    endpoint: &'a mut Endpoint,
    route: &'a mut Route,
    latency: &'a mut LatencyWindow,
    shared: &'a mut Shared,
    prior: PriorHealth,
}

impl OutcomeContext<'_> {
    /// Reports the outcome to the mechanisms that it concerns, and returns its effect.
    fn process(&mut self, result: &AttemptResult) -> OutcomeEffect {
        match result.outcome {
            AttemptOutcome::Delivered => self.on_delivery(result),
            AttemptOutcome::Rejected { retry_after } | AttemptOutcome::AmbiguousRejection { retry_after } => {
                self.on_rejection(retry_after.unwrap_or_default(), result)
            }
            AttemptOutcome::Failed => {
                self.route.streak.add_failures(1);
                OutcomeEffect::failure(outlier::FAILURE_WEIGHT)
            }
            AttemptOutcome::TimedOut => self.on_timeout(),
            AttemptOutcome::ConnectFailed => self.on_connect_failure(),
            AttemptOutcome::ConnectionReset => {
                self.route.streak.add_failures(1);
                OutcomeEffect::failure(outlier::MINOR_FAILURE_WEIGHT)
            }
            // Keeps an endpoint whose connection table is full, with the connections of many instances, from being
            // treated as failed or rate-limited: it works, and the next connection may succeed at another endpoint or
            // after other instances have closed theirs.
            AttemptOutcome::ConnectionLimit => {
                self.shared.connections.on_connect_failure(&self.endpoint.kind);
                self.endpoint.last_used = None;
                OutcomeEffect::NONE
            }
            AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent
            | AttemptOutcome::Over
            | AttemptOutcome::AttemptsExhausted => OutcomeEffect::NONE,
        }
    }

    fn on_delivery(&mut self, result: &AttemptResult) -> OutcomeEffect {
        let now = self.now;
        let class_latency = self.shared.class_latency.entry(self.attempt.class).or_default();
        class_latency.on_delivery(now, result.duration);
        self.latency.on_delivery(now, result.duration);
        self.shared.connections.on_delivery(&self.endpoint.kind);
        self.shared.retry_credit.on_delivery();
        self.shared.isolated_losses.on_delivery();
        self.endpoint.health.on_delivery(now);
        self.route.limit.on_delivery(result.load_report.map(|report| report.remaining_share));
        if self.prior.health == Health::Ejected {
            self.route.checks.on_recovery(now);
        }
        if self.shared.gossip.is_allowed && (self.prior.health == Health::Ejected || self.prior.suspect) {
            let recovered_route = (self.attempt.destination, self.endpoint.route.clone());
            self.shared.gossip.recovered_routes.push(recovered_route);
        }
        let ends_outage = self.route.streak.is_outage(now);
        self.route.streak.reset();
        OutcomeEffect {
            route_effect: if ends_outage { RouteEffect::Recovered } else { RouteEffect::None },
            ..OutcomeEffect::NONE
        }
    }

    fn on_rejection(&mut self, retry_after: Duration, result: &AttemptResult) -> OutcomeEffect {
        let now = self.now;
        let route = &mut *self.route;
        let is_reported = route.limit.is_reported();
        // Without a reported limit, the attempt rate is averaged over the overload tolerance at least: a single call
        // must not count as a rate of one per second.
        let min_period = if is_reported { Duration::ZERO } else { self.overload_tolerance };
        let rejection = Rejection {
            now,
            started: self.attempt.started,
            retry_after,
            attempts_per_s: route.retry_budget.attempts_per_s(now, min_period),
            instances: self.instances,
        };
        route.limit.on_rejection(rejection, &mut self.shared.rng);
        self.shared.retry_credit.on_rejection();

        let has_long_retry_after = route.limit.has_long_retry_after(now);
        let is_first_rejection = !is_reported && route.streak.on_rejection_without_reported_limit();
        // Rejections count as failures if the route reports that it has no rate limit, or if there were many in a row:
        // the route then has an outage, or its queue is full.
        let is_unlimited = result.load_report.is_some_and(|report| report.rate_limit <= 0.0);
        let is_rejection_streak = route.limit.rejections() >= outlier::MIN_REJECTION_STREAK;
        route.streak.add_failures(u32::from(is_unlimited || is_rejection_streak));
        if has_long_retry_after {
            route.streak.mark_suspect();
        }
        let failure_weight = if route.limit.has_long_rejection_series(now) {
            outlier::MAJOR_FAILURE_WEIGHT
        } else if self.attempt.started >= self.endpoint.health.last_failure() {
            outlier::MINOR_FAILURE_WEIGHT
        } else {
            0.0
        };
        let route_effect = match (has_long_retry_after, is_first_rejection) {
            (true, _) => RouteEffect::LongRetryAfter,
            (false, true) => RouteEffect::FirstRejection,
            (false, false) => RouteEffect::None,
        };
        OutcomeEffect { failure_weight, indicates_outage: false, route_effect }
    }

    /// Handles an attempt timeout: counts it as an isolated loss if the endpoint delivered another call recently.
    ///
    /// Keeps isolated losses, as on a bad network, from being treated as an outage: while other calls are answered, one
    /// loss says little about the endpoint. May delay an ejection.
    fn on_timeout(&mut self) -> OutcomeEffect {
        let indicates_outage = self.endpoint.health.is_unresponsive(self.now, self.attempt.started);
        if indicates_outage {
            self.latency.on_timeout();
        } else {
            self.shared.isolated_losses.on_isolated_timeout();
        }
        self.on_missing_response(indicates_outage)
    }

    fn on_connect_failure(&mut self) -> OutcomeEffect {
        self.shared.connections.on_connect_failure(&self.endpoint.kind);
        let indicates_outage = !self.endpoint.health.delivered_since(self.attempt.started);
        self.on_missing_response(indicates_outage)
    }

    fn on_missing_response(&mut self, indicates_outage: bool) -> OutcomeEffect {
        self.route.streak.add_failures(1);
        let failure_weight =
            if indicates_outage { outlier::MAJOR_FAILURE_WEIGHT } else { outlier::MINOR_FAILURE_WEIGHT };
        OutcomeEffect { failure_weight, indicates_outage, route_effect: RouteEffect::None }
    }

    /// Releases the attempt's permit, and records its connection as idle if the endpoint has no other call in flight,
    /// unless its connection carries a single call, it failed to connect, or it hit the connection limit.
    fn release(&mut self, outcome: AttemptOutcome, indicates_outage: bool) {
        self.endpoint.concurrency.release(indicates_outage);
        let closed = self.attempt.connection == ConnectionUse::Single
            || matches!(outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionLimit);
        if self.endpoint.concurrency.in_flight() == 0 && !closed {
            let key = (self.attempt.destination, self.attempt.endpoint.clone());
            self.shared.connections.on_idle(key, self.now);
        }
    }

    /// Updates the endpoint's health, schedules the next health check if it is ejected, logs a change, and returns the
    /// health after the outcome.
    fn update_health(&mut self, outcome: AttemptOutcome, failure_weight: f64) -> Health {
        if failure_weight > 0.0 {
            self.endpoint.health.on_failure(self.now, failure_weight);
        }
        let after = self.endpoint.health.status();
        if after == Health::Ejected && outcome != AttemptOutcome::Delivered {
            self.route.checks.on_failure(self.now, outcome.known_not_executed(), &mut self.shared.rng);
        }
        if self.prior.health.differs_from(after) {
            self.shared.log_events.push(LogEvent::HealthChanged {
                endpoint: self.attempt.endpoint.clone(),
                destination: self.attempt.destination,
                before: self.prior.health,
                after,
            });
        }
        after
    }

    /// Returns `true` if the slow-start budgets of the route's endpoints start to apply with this outcome.
    fn begins_slow_start(&self, route_effect: RouteEffect, after: Health) -> bool {
        let ejected = self.prior.health == Health::Healthy && after == Health::Ejected;
        let newly_suspect = !self.prior.suspect && self.route.streak.is_suspect(self.now);
        matches!(route_effect, RouteEffect::LongRetryAfter | RouteEffect::FirstRejection)
            || ejected
            || newly_suspect
    }
}

/// Returns `true` if an outcome is a failure or a rejection, either of which starts the route's failure streak.
fn is_failure_or_rejection(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::Delivered
            | AttemptOutcome::ConnectionLimit
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent
            | AttemptOutcome::Over
            | AttemptOutcome::AttemptsExhausted
    )
}

/// Applies the effect of an outcome to all endpoints of its route.
fn update_route_endpoints(
    destination: &mut Destination,
    route: &str,
    route_effect: RouteEffect,
    begins_slow_start: bool,
    shared: &mut Shared,
    now: Duration,
) {
    for endpoint in destination.endpoints.values_mut().filter(|endpoint| endpoint.route == route) {
        // Prevents a burst of calls at the end of a long retry-after: all endpoints of the route have reduced capacity
        // when they recover, so all are ejected, and the first call to each is a health check.
        if route_effect == RouteEffect::LongRetryAfter {
            endpoint.health.on_failure(now, outlier::LONG_RETRY_AFTER_WEIGHT);
        }
        // Prevents the first delivery at each of many instances from releasing all messages that wait there.
        if route_effect == RouteEffect::Recovered && endpoint.health.status() == Health::Healthy {
            endpoint.health.start_warm_up(now);
        }
        // Prevents many instances from each sending a call at once, out of budgets earned while the route was healthy.
        if begins_slow_start {
            endpoint.budget.restart(&mut shared.rng, now);
        }
    }
}

impl State {
    /// Handles the end of an attempt: updates the state of its endpoint, its ordering key and its message.
    pub(crate) fn attempt_ended(&mut self, result: &AttemptResult) {
        let Some(attempt) = self.in_flight.remove(&(result.message, result.attempt)) else { return };
        let outcome = result.outcome;
        if !attempt.added_to_call {
            self.process_result(&attempt, result);
            self.observe_responsiveness(&attempt, result, true);
        }
        if let Some(key) = attempt.ordering_key {
            let is_processed = matches!(outcome, AttemptOutcome::Delivered | AttemptOutcome::Failed);
            let may_still_be_executed = !outcome.known_not_executed() && !is_processed;
            self.ordering.on_ended(key, result.message, may_still_be_executed, self.now);
        }
        let permission = self.permission(&attempt, outcome, Standing::Proven);
        if result.finished || permission.owed == OwedOutcome::None {
            self.finish(result.message);
        }
        self.back_off(&attempt, result, permission);
    }

    /// Returns what the response to an attempt allows and owes.
    pub(super) fn permission(
        &self,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        standing: Standing,
    ) -> Permission {
        let retry_safety = self.classes[attempt.class].class.retry_safety;
        Permission::of(ResponseMeaning::of(outcome), standing, retry_safety)
    }

    /// Starts the message's backoff, and records the attempt if it is the first by which the message may have been
    /// executed even if its response is its own.
    pub(super) fn back_off(&mut self, attempt: &Attempt, result: &AttemptResult, permission: Permission) {
        let if_proven = self.permission(attempt, result.outcome, Standing::Proven);
        let possible_execution = self.possible_execution(attempt);
        let Some(message) = self.pending.get_mut(&result.message) else { return };
        message.in_flight -= 1;
        message.start_backoff(result.outcome, self.now, &mut self.shared.rng);
        if if_proven.may_be_executed {
            message.may_have_been_executed(possible_execution);
        }
        message.may_be_attempted &= permission.next_attempt != NextAttempt::Never;
    }

    /// Updates the state of the endpoint, its route and the instance from the result of an attempt.
    pub(super) fn process_result(&mut self, attempt: &Attempt, result: &AttemptResult) {
        let now = self.now;
        let Some(destination) = self.destinations.get_mut(&attempt.destination) else { return };
        let Some(endpoint) = destination.endpoints.get_mut(&attempt.endpoint) else { return };
        let Some(route) = destination.routes.get_mut(&endpoint.route) else { return };
        route.limit.bucket.refill(now);
        route.limit.on_load_report(result.load_report);
        let prior = PriorHealth { health: endpoint.health.status(), suspect: route.streak.is_suspect(now) };
        self.shared.connections.ensure_timeout(&endpoint.kind);
        let mut context = OutcomeContext {
            now,
            instances: self.instances,
            overload_tolerance: self.overload_tolerance,
            attempt,
            endpoint,
            route,
            latency: destination.latency.entry(attempt.class).or_default(),
            shared: &mut self.shared,
            prior,
        };
        let effect = context.process(result);
        if is_failure_or_rejection(result.outcome) {
            context.route.streak.begin(now);
        }
        context.release(result.outcome, effect.indicates_outage);
        let after = context.update_health(result.outcome, effect.failure_weight);
        let begins_slow_start = context.begins_slow_start(effect.route_effect, after);
        if begins_slow_start || effect.route_effect == RouteEffect::Recovered {
            let route = context.endpoint.route.clone();
            update_route_endpoints(
                destination,
                &route,
                effect.route_effect,
                begins_slow_start,
                &mut self.shared,
                now,
            );
        }
    }

    /// Returns `true` if the request of an attempt may be sent at `now`, once the connection is established.
    ///
    /// Prevents requests during a retry-after, or to a draining endpoint, that began while the connection was being
    /// established. Establishing it can take so long that the message has its final outcome or its deduplication window
    /// has passed, which is checked too. May hold back a request that would have been in time.
    pub(crate) fn may_send_request(&self, id: MessageId, attempt: u32, now: Duration) -> bool {
        let Some(attempt) = self.in_flight.get(&(id, attempt)) else { return false };
        let Some(message) = self.pending.get(&id) else { return false };
        if message.unattributed.may_be_over() || now > self.latest_start(message) {
            return false;
        }
        let Some(endpoint) = self.endpoint(attempt.destination, &attempt.endpoint) else { return false };
        let route = &self.destinations[&attempt.destination].routes[&endpoint.route];
        endpoint.state == EndpointState::Available && route.limit.retry_after_end() <= now
    }

    /// Returns `true` if the request of an attempt may be completed whose first byte was sent.
    ///
    /// Prevents a call of a message that has got its final outcome meanwhile, or that may be over.
    pub(crate) fn may_complete_request(&self, id: MessageId, attempt: u32) -> bool {
        let is_open = |message: &PendingMessage| !message.unattributed.may_be_over();
        self.in_flight.contains_key(&(id, attempt)) && self.pending.get(&id).is_some_and(is_open)
    }

    /// Handles gossip that a route has recovered: ejected endpoints of the route start to warm up and, if the route is
    /// suspect, unresponsive ones too.
    ///
    /// Prevents instances from noticing a recovery one by one, each with its own health checks.
    pub(crate) fn gossip_received(&mut self, datagram: &[u8]) {
        let now = self.now;
        let Some((destination, route_name)) = gossip::decode_recovery(datagram) else { return };
        let Some(destination) = self.destinations.get_mut(&destination) else { return };
        let Some(route) = destination.routes.get_mut(route_name) else { return };
        let suspect = route.streak.is_suspect(now);
        for endpoint in destination.endpoints.values_mut().filter(|endpoint| endpoint.route == route_name) {
            let is_unresponsive = suspect && endpoint.health.is_unresponsive(now, now);
            if endpoint.health.is_ejected() || is_unresponsive {
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
