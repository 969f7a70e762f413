//! Instance side of a call: its connection, the sending of its request, and its outcome.

use super::Simulation;
use super::event::{CallEnd, Event};
use crate::decider::Input;
use crate::fact::{Fact, FinalOutcome};
use quillhub::{AttemptOutcome, AttemptResult, EndpointState, MessageId};
use rand::RngExt;
use std::time::Duration;

/// Call of an attempt, from the decider's request until it is over for the instance and for the endpoint.
pub(super) struct Call {
    pub(super) instance: usize,
    /// Incarnation of the instance that started the call.
    pub(super) incarnation: u32,
    pub(super) message_id: MessageId,
    pub(super) request: u64,
    pub(super) service_class: usize,
    pub(super) attempt: u32,
    pub(super) server: usize,
    pub(super) started: Duration,
    /// `true` until the instance receives the outcome.
    pub(super) awaited: bool,
    /// `true` while the call occupies a connection to its server.
    pub(super) has_connection: bool,
    /// `true` while the request is on its way to the endpoint or being handled there.
    pub(super) at_endpoint: bool,
    /// `true` once the first byte was sent, so that the message may have been executed.
    pub(super) request_sent: bool,
}

impl Simulation<'_> {
    /// Starts an attempt for a decider. An attempt of an unknown message or endpoint is recorded for the auditor, but
    /// nothing is sent.
    pub(super) fn start_attempt(
        &mut self,
        instance: usize,
        message_id: MessageId,
        endpoint: &str,
        timeout: Duration,
    ) {
        let attempt = self.instances[instance].pending.get(&message_id).map_or(0, |message| message.attempts);
        self.record_fact(&Fact::AttemptStarted { instance, message_id, attempt, endpoint, timeout });
        let Some(entry) = self.discovery.find(endpoint) else { return };
        let Some(number) = self.new_call(instance, message_id, attempt, entry) else { return };
        let server = self.calls[&number].server;
        let destination = self.destinations_state.servers[server].destination;
        self.recorder.tally.attempt_started(self.clock.now(), destination, attempt > 0);
        self.destinations_state.servers[server]
            .close_expired_connections(self.clock.now(), self.scenario.network.idle_timeout);
        let is_gone = self.discovery.entries[entry].address_closed;
        if !is_gone && self.destinations_state.servers[server].take_idle_connection(instance) {
            self.call_on_idle_connection(number, timeout);
        } else {
            self.call_on_new_connection(number, timeout, is_gone);
        }
    }

    /// Creates the call of an attempt, and returns its number; `None` if the message is not pending.
    fn new_call(
        &mut self,
        instance: usize,
        message_id: MessageId,
        attempt: u32,
        entry: usize,
    ) -> Option<u64> {
        let started = self.clock.now();
        let host = &mut self.instances[instance];
        let message = host.pending.get_mut(&message_id)?;
        message.attempts += 1;
        message.possible_executions.insert(attempt, (started, entry));
        let call = Call {
            instance,
            incarnation: host.incarnation,
            message_id,
            request: message.request,
            service_class: message.service_class,
            attempt,
            server: self.discovery.entries[entry].server,
            started,
            awaited: true,
            has_connection: false,
            at_endpoint: false,
            request_sent: false,
        };
        let number = self.next_number();
        self.calls.insert(number, call);
        Some(number)
    }

    fn call_mut(&mut self, number: u64) -> &mut Call {
        self.calls.get_mut(&number).expect("the call was looked up before")
    }

    /// Returns the zones of a call's instance and of its server.
    fn zones_of_call(&self, number: u64) -> (usize, usize) {
        let call = &self.calls[&number];
        (self.instances[call.instance].zone, self.destinations_state.servers[call.server].zone)
    }

    fn take_connection(&mut self, number: u64) {
        let call = self.call_mut(number);
        call.has_connection = true;
        let server = call.server;
        self.destinations_state.servers[server].open_connections += 1;
    }

    /// Sends a call on an idle connection of its instance, which may turn out to be broken.
    fn call_on_idle_connection(&mut self, number: u64, timeout: Duration) {
        self.take_connection(number);
        self.end_after(timeout, number, AttemptOutcome::TimedOut);
        let Call { instance, message_id, attempt, server, .. } = self.calls[&number];
        if self.rng.random::<f64>() >= self.destinations_state.servers[server].stale_share() {
            return self.send_request(number);
        }
        self.record_fact(&Fact::FirstByteSent { instance, message_id, attempt });
        let (instance_zone, server_zone) = self.zones_of_call(number);
        if let Some(round_trip) = self.round_trip(instance_zone, server_zone) {
            self.end_after(round_trip, number, AttemptOutcome::ConnectionReset);
        }
    }

    /// Opens a connection for a call. `is_gone` is `true` if nothing listens at the endpoint's address any more.
    fn call_on_new_connection(&mut self, number: u64, timeout: Duration, is_gone: bool) {
        self.recorder.tally.connections += 1;
        let (instance_zone, server_zone) = self.zones_of_call(number);
        let round_trip = self.round_trip(instance_zone, server_zone);
        let network = &self.scenario.network;
        // If the connection is not established in time, nothing is sent, so nothing is executed.
        self.end_after(timeout.min(network.connect_timeout), number, AttemptOutcome::ConnectFailed);
        let server = &self.destinations_state.servers[self.calls[&number].server];
        let Some(round_trip) = round_trip.filter(|_| !server.is_silent()) else { return };
        let kind = &self.scenario.destinations[server.kind];
        let accepts_connection = server.accepts_connection(kind);
        if is_gone || server.refuses() || !accepts_connection && !kind.sends_load_reports {
            self.end_after(round_trip, number, AttemptOutcome::ConnectFailed);
        } else if !accepts_connection {
            // The connection is established, and its first call is rejected without a load report.
            self.end_after(round_trip * 2 + network.handshake, number, AttemptOutcome::ConnectionLimit);
        } else {
            let setup_time = round_trip + network.handshake + server.extra_handshake();
            self.take_connection(number);
            self.schedule_after(setup_time, Event::Connected { call: number });
            // The attempt timeout starts with the attempt, as it does on an idle connection.
            self.end_after(timeout, number, AttemptOutcome::TimedOut);
        }
    }

    /// Draws the time to a zone and back; `None` if either transmission is lost.
    fn round_trip(&mut self, instance_zone: usize, server_zone: usize) -> Option<Duration> {
        let to = self.paths.transit_time(&mut self.rng, instance_zone, server_zone);
        let back = self.paths.transit_time(&mut self.rng, server_zone, instance_zone);
        Some(to? + back?)
    }

    /// Ends a call with `outcome` after `wait`, unless it ends earlier. Its connection cannot be reused.
    pub(super) fn end_after(&mut self, wait: Duration, number: u64, outcome: AttemptOutcome) {
        self.schedule_after(wait, Event::CallEnds { call: number, end: CallEnd::broken(outcome) });
    }

    /// Sends the request of a call whose connection is established. In scenarios with
    /// [`checks_before_first_byte`](crate::Instances::checks_before_first_byte), the decider may cancel it.
    pub(super) fn finish_connecting(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number).filter(|call| call.awaited) else { return };
        let host = &self.instances[call.instance];
        let instance_now = self.clock.now() - host.epoch;
        let may_send_request = !self.scenario.instances.checks_before_first_byte
            || host.decider.may_send_request(call.message_id, call.attempt, instance_now);
        if may_send_request {
            self.send_request(number);
        } else {
            self.end_call(number, CallEnd::with_reusable_connection(AttemptOutcome::NotSent));
        }
    }

    /// Sends the first byte of a call's request.
    fn send_request(&mut self, number: u64) {
        let call = self.call_mut(number);
        call.request_sent = true;
        let Call { instance, message_id, attempt, .. } = *call;
        self.record_fact(&Fact::FirstByteSent { instance, message_id, attempt });
        let (from, to) = self.zones_of_call(number);
        if let Some(delay) = self.paths.transit_time(&mut self.rng, from, to) {
            self.call_mut(number).at_endpoint = true;
            self.schedule_after(delay, Event::CallArrives { call: number });
        }
    }

    /// Reports the outcome of a call to its instance. Only the first outcome of a call counts.
    pub(super) fn end_call(&mut self, number: u64, end: CallEnd) {
        let Some(call) = self.calls.get_mut(&number).filter(|call| call.awaited) else { return };
        // The connect timeout applies only until the request is sent. An attempt timeout before that is a failure to
        // connect, because the message cannot have been executed.
        let outcome = match end.outcome {
            AttemptOutcome::ConnectFailed if call.request_sent => return,
            AttemptOutcome::TimedOut if !call.request_sent => AttemptOutcome::ConnectFailed,
            other => other,
        };
        call.awaited = false;
        let Call { instance, incarnation, message_id, attempt, started, .. } = *call;
        self.release_connection(number, end.reusable);
        self.remove_if_done(number);
        if !self.is_current(instance, incarnation) {
            return;
        }
        self.record_fact(&Fact::AttemptEnded { instance, message_id, attempt, outcome });
        self.record_outcome(instance, message_id, attempt, outcome);
        let (duration, finished) = (self.clock.now() - started, outcome == AttemptOutcome::Delivered);
        let result = AttemptResult {
            message: message_id,
            attempt,
            outcome,
            duration,
            finished,
            load_report: end.load_report,
            connection: None,
        };
        self.process_inputs(instance, &[Input::AttemptEnded(result)]);
    }

    /// Makes a call's connection idle if it is reusable, and closes it otherwise.
    fn release_connection(&mut self, number: u64, reusable: bool) {
        let call = self.call_mut(number);
        let Call { instance, incarnation, server, .. } = *call;
        if !std::mem::take(&mut call.has_connection) {
            return;
        }
        self.destinations_state.servers[server].open_connections -= 1;
        if reusable && self.is_current(instance, incarnation) {
            let now = self.clock.now();
            self.destinations_state.servers[server].idle_since.entry(instance).or_default().push(now);
        }
    }

    /// Updates a message by what an outcome proves: the attempt was never executed, or the message is delivered.
    fn record_outcome(
        &mut self,
        instance: usize,
        message_id: MessageId,
        attempt: u32,
        outcome: AttemptOutcome,
    ) {
        let Some(message) = self.instances[instance].pending.get_mut(&message_id) else { return };
        if outcome.known_not_executed() {
            message.possible_executions.remove(&attempt);
        }
        if outcome == AttemptOutcome::Delivered {
            self.finish(instance, message_id, FinalOutcome::Delivered);
        }
    }

    /// Removes a call that is over for both its instance and its endpoint.
    pub(super) fn remove_if_done(&mut self, number: u64) {
        if self.calls.get(&number).is_some_and(|call| !call.awaited && !call.at_endpoint) {
            self.calls.remove(&number);
        }
    }

    /// Closes the connections of an instance that crashed, and stops waiting for its calls.
    pub(super) fn drop_calls(&mut self, instance: usize) {
        let calls: Vec<_> =
            self.calls.iter().filter(|(_, call)| call.instance == instance).map(|call| *call.0).collect();
        for number in calls {
            self.call_mut(number).awaited = false;
            self.release_connection(number, false);
            self.remove_if_done(number);
        }
        for server in &mut self.destinations_state.servers {
            server.idle_since.remove(&instance);
        }
    }

    /// Returns the number of calls that an endpoint can start at once, for an oracle; 0 if the instance cannot reach
    /// it.
    pub(super) fn true_capacity(&self, instance: usize, endpoint: &str) -> usize {
        let Some(entry) = self.discovery.find(endpoint) else { return 0 };
        let entry = &self.discovery.entries[entry];
        let (instance_zone, server_zone) =
            (self.instances[instance].zone, self.destinations_state.servers[entry.server].zone);
        let is_unreachable = self.paths.is_unusable(instance_zone, server_zone)
            || self.paths.is_unusable(server_zone, instance_zone);
        if is_unreachable || entry.address_closed || entry.state != EndpointState::Available {
            return 0;
        }
        self.destinations_state.free_capacity(entry.server, self.clock.now())
    }
}
