//! The dispatcher: its configuration, the events that it receives, and the ordered list of rules.
//!
//! A host reports one event at a time, after [`Dispatcher::advance_to`]. [`Dispatcher::apply_rules`] then tries the
//! rules in order, starting over after each one that acts, until none acts. The state and the decisions are in
//! [`crate::policy`].

use crate::policy::slow_start::SlowStart;
use crate::policy::state::State;
use crate::{
    AttemptResult, CallId, DestinationId, Driver, EndpointUpdate, ListedRateAccuracy, MessageId, NewMessage,
    RecoveredAttempts, ServiceClass, Uncertainty, UnknownServiceClass, gossip,
};
use std::collections::BTreeSet;
use std::time::Duration;

/// Rule of the dispatcher: acts if its condition holds, and returns `true` if it acted.
type Rule = fn(&mut State, &mut dyn Driver) -> bool;

/// Rules in the order in which they are tried.
const RULES: [Rule; 8] = [
    State::settle_response,
    State::poll_discovery,
    State::shed_unstorable,
    State::give_up_expired,
    State::abandon_unproven,
    State::start_highest_priority,
    State::shed_least_valuable,
    State::close_idle_connections,
];

/// Decides for one gateway instance when and at which endpoint each message is attempted, and when it is given up.
pub struct Dispatcher {
    pub(crate) state: State,
}

impl Dispatcher {
    /// Creates the dispatcher of one of `instances` gateway instances that share the work. The instance runs in `zone`;
    /// `seed` determines its random draws.
    pub fn new(seed: u64, instances: u32, zone: &str) -> Self {
        Self { state: State::new(seed, instances, zone) }
    }

    /// Limits the calls in flight, the pending messages, and the attempts of one message.
    ///
    /// With `None` for `slots`, one call may be in flight at a time; with `None` for the other two, they are unlimited.
    pub fn set_limits(
        &mut self,
        slots: Option<usize>,
        queue_capacity: Option<usize>,
        max_attempts: Option<u32>,
    ) {
        self.state.slots.set(slots.unwrap_or(1));
        self.state.admission.set_queue_capacity(queue_capacity.unwrap_or(usize::MAX));
        self.state.max_attempts = max_attempts.unwrap_or(u32::MAX);
    }

    /// Lowers the limit of calls in flight to `max_slots`, or to 1 if that is 0.
    ///
    /// A host calls this if it supports fewer calls in flight than the settings allow.
    pub fn cap_concurrency(&mut self, max_slots: usize) {
        self.state.slots.cap(max_slots);
    }

    /// Sets the maximum `retry_after` of [`Driver::reject`]; with `None`, rejections carry none.
    pub fn set_max_retry_after(&mut self, max: Option<Duration>) {
        self.state.max_retry_after = max.unwrap_or_default();
    }

    /// Configures slow start for destinations that recover.
    ///
    /// A recovering destination has `initial_share` of its capacity at first and all of it after `warm_up`; it may be
    /// loaded with up to `overload_factor` times the capacity that it has at the time.
    pub fn set_slow_start(&mut self, overload_factor: f64, initial_share: f64, warm_up: Duration) {
        self.state.slow_start = SlowStart { overload_factor, initial_share, warm_up };
    }

    /// Sets the time for which a recovering destination withstands overload before it fails. Zero, the default, means
    /// unknown.
    pub fn set_overload_tolerance(&mut self, tolerance: Duration) {
        self.state.overload_tolerance = tolerance;
    }

    /// Sets the time after which an endpoint closes an idle connection. Zero, the default, means unknown.
    pub fn set_endpoint_idle_timeout(&mut self, timeout: Duration) {
        self.state.shared.connections.set_endpoint_timeout(timeout);
    }

    /// Declares that the host ties responses to calls only by their order on a connection, so that the dispatcher decides
    /// which connections carry more than one call.
    pub fn attribute_by_order(&mut self) {
        self.state.attributes_by_order = true;
    }

    /// Has calls end before the deadlines of their messages, for hosts whose final outcomes take time to be attributed and
    /// reported.
    pub fn reserve_outcome_time(&mut self) {
        self.state.reserves_outcome_time = true;
    }

    /// Allows or forbids sending gossip to other instances; it is forbidden by default.
    pub fn allow_gossip(&mut self, allowed: bool) {
        self.state.shared.gossip.is_allowed = allowed;
    }

    /// Sets the pause of an ordering key after an attempt by which a message may still be executed; during the pause,
    /// only that message may be attempted.
    pub fn set_ordering_pause(&mut self, pause: Duration) {
        self.state.ordering.set_pause(pause);
    }

    /// Configures discovery: `must_poll` is `true` if discovery reports changes only to instances that poll it, and
    /// `rate_accuracy` is the accuracy of the rates in its list.
    pub fn set_discovery(&mut self, must_poll: bool, rate_accuracy: ListedRateAccuracy) {
        self.state.discovery.set_must_poll(must_poll);
        self.state.listed_rate_accuracy = rate_accuracy;
    }

    /// Sets the period in which each instance should poll discovery once, if discovery must be polled.
    pub fn set_poll_period(&mut self, period: Duration) {
        self.state.discovery.set_period(period);
    }

    /// Adds a service class that messages may name.
    pub fn add_service_class(&mut self, name: &str, class: ServiceClass) {
        self.state.add_class(name, class);
    }

    /// Makes each endpoint of destinations of `kind` a separate route; otherwise a destination is one route.
    pub fn separate_routes(&mut self, kind: &str) {
        self.state.separate_routes.insert(kind.into());
    }

    /// Sets the maximum number of messages in one call to a destination of `kind`.
    ///
    /// Applies only to hosts that combine the attempts started at one time and at one endpoint into one call.
    pub fn set_batch_limit(&mut self, kind: &str, max_messages: u32) {
        self.state.batch_limits.insert(kind.into(), max_messages);
    }

    /// Removes all batch limits set so far, for hosts that send each message in its own call even if the settings allow
    /// batches.
    pub fn disable_batching(&mut self) {
        self.state.batch_limits.clear();
    }

    /// Sets the cost of rejected calls, in points: what one rejected call per first attempt would cost.
    ///
    /// Zero, the default, means that rejected calls cost nothing. Any positive cost makes retries after rejections need
    /// retry credit; its amount has no other effect.
    pub fn set_rejection_cost(&mut self, cost: f64) {
        self.state.shared.retry_credit.set_rejection_cost(cost);
    }

    /// Sets the cost of a call to an endpoint in `zone`, in points; calls to other zones cost nothing by default.
    pub fn set_zone_cost(&mut self, zone: &str, cost: f64) {
        self.state.zone_costs.insert(zone.into(), cost);
    }

    /// Adds a tenant with a quota of `rate_per_s` messages per second at all instances together.
    ///
    /// A message beyond the quota keeps only `excess_value_share` of its value; the share set last applies to all
    /// tenants.
    pub fn add_tenant(&mut self, name: &str, rate_per_s: f64, excess_value_share: f64) {
        self.state.add_tenant(name, rate_per_s, excess_value_share);
    }
}

impl Dispatcher {
    /// Sets the time of the events that follow; a `now` before the current time is ignored.
    pub fn advance_to(&mut self, now: Duration) {
        self.state.now = self.state.now.max(now);
    }

    /// Handles an entry of the endpoint list, or a change to one.
    pub fn endpoint_updated(&mut self, update: EndpointUpdate) {
        self.state.update_endpoint(update);
    }

    /// Handles the end of an endpoint list or of a series of changes.
    ///
    /// `snapshot` holds the names of a complete list: endpoints missing from it are removed. `from_discovery` is
    /// `false` for a list that the host did not receive from discovery.
    pub fn endpoint_list_ended(&mut self, snapshot: Option<&BTreeSet<String>>, from_discovery: bool) {
        self.state.end_endpoint_list(snapshot, from_discovery);
    }

    /// Handles the failure or the end of a poll or watch of discovery.
    pub fn endpoint_list_failed(&mut self) {
        let state = &mut self.state;
        state.discovery.on_failure(state.now, &mut state.shared.rng);
    }

    /// Returns `true` if the destination exists according to the endpoint list.
    ///
    /// A destination stays known for 10 minutes after its last endpoint has left the endpoint list, as it may get new
    /// ones. While no destination is known from an endpoint list, as before the first list, every destination counts as
    /// known.
    pub fn knows_destination(&self, destination: DestinationId) -> bool {
        self.state.known_destinations.contains(destination)
    }

    /// Sets the storage, in bytes, that the host will have left after storing the message accepted next.
    ///
    /// With zero, that message is rejected.
    pub fn set_remaining_storage(&mut self, remaining_bytes: u64) {
        self.state.admission.set_remaining_storage(remaining_bytes);
    }

    /// Accepts a message that a client submitted.
    ///
    /// # Errors
    ///
    /// Returns [`UnknownServiceClass`], and accepts nothing, if the message names an unknown service class.
    pub fn accept(&mut self, message: NewMessage) -> Result<(), UnknownServiceClass> {
        self.state.accept(message)
    }

    /// Restores the attempts that were made before a restart for a message that was just accepted.
    pub fn restore_attempts(&mut self, message: MessageId, attempts: RecoveredAttempts) {
        self.state.restore_attempts(message, attempts);
    }

    /// Returns `true` if the request of an attempt may be sent at `now`, once the connection is established.
    ///
    /// The host calls this before it writes the first byte of the request.
    pub fn may_send_request(&self, message: MessageId, attempt: u32, now: Duration) -> bool {
        self.state.may_send_request(message, attempt, now)
    }

    /// Returns `true` if the request of an attempt may be completed whose first byte was sent.
    ///
    /// The host calls this before it writes the last byte of the request.
    pub fn may_complete_request(&self, message: MessageId, attempt: u32) -> bool {
        self.state.may_complete_request(message, attempt)
    }

    /// Handles the end of an attempt.
    pub fn attempt_ended(&mut self, result: AttemptResult) {
        self.state.attempt_ended(&result);
    }

    /// Handles the end of an attempt whose response may belong to an earlier call on its connection, or may not be
    /// complete. The outcome is provisional until the response is attributed or found to be misattributed.
    pub fn attempt_ended_unattributed(&mut self, result: AttemptResult, uncertainty: Uncertainty) {
        self.state.attempt_ended_unattributed(&result, uncertainty);
    }

    /// Handles the quiet time of a connection: no response to `call` is outstanding on it, and nothing more can follow the
    /// one that was read, unless the endpoint has stopped answering. The dispatcher reports
    /// [`Driver::response_attributed`] once the outcome of the attempt is final.
    pub fn connection_quiet(&mut self, call: CallId) {
        self.state.connection_quiet(call);
    }

    /// Settles the responses of which it is known whether they are their calls' own, and does nothing else, for a host
    /// that is about to exit.
    pub fn settle_responses(&mut self, driver: &mut dyn Driver) {
        while self.state.settle_response(driver) {}
    }

    /// Handles that no further call will be made: the responses on quiet connections are their calls' own unless something
    /// suggests that they are copies.
    pub fn stop_waiting_for_evidence(&mut self) {
        self.state.stop_waiting_for_evidence();
    }

    /// Handles a response that may belong to an earlier call or is malformed, after its connection was closed. The
    /// message may have been executed, and is pending again if it counted as delivered.
    pub fn response_misattributed(&mut self, call: CallId) {
        self.state.response_misattributed(call);
    }

    /// Returns `true` if copies of responses were received recently, so that any response may be one.
    pub fn suspects_copies(&self) -> bool {
        self.state.suspects_copies()
    }

    /// Handles that a response with status 410 was read on the connection of `call` after the response that was read for it:
    /// it may be the call's own, and its message over. To be reported before [`Self::response_misattributed`].
    pub fn response_may_be_over(&mut self, call: CallId) {
        self.state.response_may_be_over(call);
    }

    /// Handles a surplus response from an endpoint, `age` after the response before it on the connection, with the
    /// retry-after in it, if any.
    pub fn surplus_response(&mut self, endpoint: &str, age: Duration, retry_after: Option<Duration>) {
        self.state.surplus_response(endpoint, age, retry_after);
    }

    /// Stops handling a message, because its client has disconnected or because it has its final outcome.
    pub fn finish(&mut self, message: MessageId) {
        self.state.finish(message);
    }

    /// Handles a gossip datagram from another instance.
    pub fn gossip_received(&mut self, datagram: &[u8]) {
        self.state.gossip_received(datagram);
    }

    /// Handles the expiry of a timer that [`Driver::set_timer`] requested.
    pub fn timer_fired(&mut self) {
        self.state.timer_fired();
    }
}

impl Dispatcher {
    /// Applies the rules until none acts, then requests the next timer.
    pub fn apply_rules(&mut self, driver: &mut dyn Driver) {
        self.flush_outputs(driver);
        let state = &mut self.state;
        loop {
            state.next_due = Duration::MAX;
            if !RULES.iter().any(|rule| rule(state, driver)) {
                break;
            }
        }
        state.set_timer(driver);
    }

    fn flush_outputs(&mut self, driver: &mut dyn Driver) {
        let shared = &mut self.state.shared;
        shared.log_events.drain(..).for_each(|event| driver.log(&event));
        for (destination, route) in shared.gossip.recovered_routes.drain(..) {
            driver.broadcast(&gossip::encode_recovery(destination, &route));
        }
    }
}
