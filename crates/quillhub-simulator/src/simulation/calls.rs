//! The instance's side of a call: its connection, its first byte, and how it ends.

use super::Simulation;
use super::event::{CallEnd, Event};
use crate::decider::Input;
use crate::fact::{Fact, FinalOutcome};
use quillhub::{AttemptOutcome, AttemptResult, EndpointState, MessageId};
use rand::RngExt;
use std::time::Duration;

/// A call, from the instance's decision until neither side knows of it any more.
pub(super) struct Call {
    pub(super) instance: usize,
    /// The instance's incarnation that made it.
    pub(super) incarnation: u32,
    pub(super) message_id: MessageId,
    pub(super) request: u64,
    pub(super) service_class: usize,
    pub(super) attempt: u32,
    pub(super) server: usize,
    pub(super) started: Duration,
    /// The instance has not learned of its end.
    pub(super) awaited: bool,
    /// It holds a connection of its server.
    pub(super) connected: bool,
    /// Its endpoint has yet to finish it.
    pub(super) at_endpoint: bool,
    /// Its first byte has left, so it may have run.
    pub(super) begun: bool,
}

impl Simulation<'_> {
    /// A decider asks for an attempt. What makes no sense the auditor sees, and nothing leaves.
    pub(super) fn start_attempt(
        &mut self,
        instance: usize,
        message_id: MessageId,
        endpoint: &str,
        timeout: Duration,
    ) {
        let attempt = self.instances[instance].pending.get(&message_id).map_or(0, |message| message.attempts);
        self.fact(&Fact::AttemptStarted { instance, message_id, attempt, endpoint, timeout });
        let Some(entry) = self.discovery.find(endpoint) else { return };
        let Some(number) = self.new_call(instance, message_id, attempt, entry) else { return };
        let server = self.calls[&number].server;
        let destination = self.site.servers[server].destination;
        self.record.tally.attempt_started(self.clock.now(), destination, attempt > 0);
        self.site.servers[server]
            .close_expired_connections(self.clock.now(), self.scenario.network.idle_close);
        let gone = self.discovery.entries[entry].removed;
        if !gone && self.site.servers[server].take_idle_connection(instance) {
            self.call_on_kept_connection(number, timeout);
        } else {
            self.call_on_new_connection(number, timeout, gone);
        }
    }

    /// Keeps a call of a message that is pending; its number.
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
        message.may_have_run.insert(attempt, (started, entry));
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
            connected: false,
            at_endpoint: false,
            begun: false,
        };
        let number = self.next_number();
        self.calls.insert(number, call);
        Some(number)
    }

    fn call_mut(&mut self, number: u64) -> &mut Call {
        self.calls.get_mut(&number).expect("the caller has seen it")
    }

    /// The zones of a call's instance and of its server.
    fn zones_of_call(&self, number: u64) -> (usize, usize) {
        let call = &self.calls[&number];
        (self.instances[call.instance].zone, self.site.servers[call.server].zone)
    }

    fn take_connection(&mut self, number: u64) {
        let call = self.call_mut(number);
        call.connected = true;
        let server = call.server;
        self.site.servers[server].open += 1;
    }

    fn call_on_kept_connection(&mut self, number: u64, timeout: Duration) {
        self.take_connection(number);
        self.end_after(timeout, number, AttemptOutcome::TimedOut);
        let Call { instance, message_id, attempt, server, .. } = self.calls[&number];
        if self.rng.random::<f64>() >= self.site.servers[server].stale_share() {
            return self.first_byte(number);
        }
        self.fact(&Fact::FirstByteSent { instance, message_id, attempt });
        let (here, there) = self.zones_of_call(number);
        if let Some(round_trip) = self.round_trip(here, there) {
            self.end_after(round_trip, number, AttemptOutcome::ConnectionReset);
        }
    }

    fn call_on_new_connection(&mut self, number: u64, timeout: Duration, gone: bool) {
        self.record.tally.connections += 1;
        let (here, there) = self.zones_of_call(number);
        let round_trip = self.round_trip(here, there);
        let network = &self.scenario.network;
        // Not up in time: nothing left, so nothing ran.
        self.end_after(timeout.min(network.connecting), number, AttemptOutcome::ConnectFailed);
        let server = &self.site.servers[self.calls[&number].server];
        let Some(round_trip) = round_trip.filter(|_| !server.is_silent()) else { return };
        let kind = &self.scenario.destinations[server.kind];
        let accepts_connection = server.accepts_connection(kind);
        if gone || server.refuses() || !accepts_connection && !kind.reports {
            self.end_after(round_trip, number, AttemptOutcome::ConnectFailed);
        } else if !accepts_connection {
            // The connection comes up, and its first call is rejected without a report.
            self.end_after(round_trip * 2 + network.handshake, number, AttemptOutcome::ConnectionLimit);
        } else {
            let up = round_trip + network.handshake + server.extra_handshake();
            self.take_connection(number);
            self.after(up, Event::Connected { call: number });
            // The rest of its attempt timeout runs from its first byte's connection on, as for a kept one.
            self.end_after(timeout, number, AttemptOutcome::TimedOut);
        }
    }

    /// The time to a zone and back; nothing if either way is lost.
    fn round_trip(&mut self, here: usize, there: usize) -> Option<Duration> {
        let to = self.paths.transit_time(&mut self.rng, here, there);
        let back = self.paths.transit_time(&mut self.rng, there, here);
        Some(to? + back?)
    }

    /// A call ends so after a while, unless it ended before; its connection is of no use then.
    pub(super) fn end_after(&mut self, wait: Duration, number: u64, outcome: AttemptOutcome) {
        self.after(wait, Event::CallEnds { call: number, end: CallEnd::broken(outcome) });
    }

    /// A call's connection is up: its decider is asked once more, where hosts do so, then its first byte leaves.
    pub(super) fn connected(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number).filter(|call| call.awaited) else { return };
        let host = &self.instances[call.instance];
        let own_now = self.clock.now() - host.epoch;
        let may_send_request = !self.scenario.instances.checks_before_first_byte
            || host.decider.may_send_request(call.message_id, call.attempt, own_now);
        if may_send_request {
            self.first_byte(number);
        } else {
            self.call_ends(number, CallEnd::answered(AttemptOutcome::NotSent));
        }
    }

    /// A call's first byte leaves the instance.
    fn first_byte(&mut self, number: u64) {
        let call = self.call_mut(number);
        call.begun = true;
        let Call { instance, message_id, attempt, .. } = *call;
        self.fact(&Fact::FirstByteSent { instance, message_id, attempt });
        let (from, to) = self.zones_of_call(number);
        if let Some(delay) = self.paths.transit_time(&mut self.rng, from, to) {
            self.call_mut(number).at_endpoint = true;
            self.after(delay, Event::CallArrives { call: number });
        }
    }

    /// The instance hears how a call ended; only its first end counts.
    pub(super) fn call_ends(&mut self, number: u64, end: CallEnd) {
        let Some(call) = self.calls.get_mut(&number).filter(|call| call.awaited) else { return };
        // A connection that is not up in time ends so only if nothing has left by then; a call is not timed out
        // before its first byte, as nothing was asked then.
        let outcome = match end.outcome {
            AttemptOutcome::ConnectFailed if call.begun => return,
            AttemptOutcome::TimedOut if !call.begun => AttemptOutcome::ConnectFailed,
            other => other,
        };
        call.awaited = false;
        let Call { instance, incarnation, message_id, attempt, started, .. } = *call;
        self.release_connection(number, end.reusable);
        self.drop_if_over(number);
        if !self.lives(instance, incarnation) {
            return;
        }
        self.fact(&Fact::AttemptEnded { instance, message_id, attempt, outcome });
        self.record_outcome(instance, message_id, attempt, outcome);
        let (took, over) = (self.clock.now() - started, outcome == AttemptOutcome::Delivered);
        let result = AttemptResult {
            message: message_id,
            attempt,
            outcome,
            duration: took,
            finished: over,
            load_report: end.load_report,
        };
        self.hand_inputs(instance, &[Input::AttemptEnded(result)]);
    }

    /// A call gives its connection back, or closes it.
    fn release_connection(&mut self, number: u64, reusable: bool) {
        let call = self.call_mut(number);
        let Call { instance, incarnation, server, .. } = *call;
        if !std::mem::take(&mut call.connected) {
            return;
        }
        self.site.servers[server].open -= 1;
        if reusable && self.lives(instance, incarnation) {
            let now = self.clock.now();
            self.site.servers[server].idle.entry(instance).or_default().push(now);
        }
    }

    /// Keeps what an outcome proves: that the attempt never ran, or that the message is delivered.
    fn record_outcome(
        &mut self,
        instance: usize,
        message_id: MessageId,
        attempt: u32,
        outcome: AttemptOutcome,
    ) {
        let Some(message) = self.instances[instance].pending.get_mut(&message_id) else { return };
        if outcome.never_executed() {
            message.may_have_run.remove(&attempt);
        }
        if outcome == AttemptOutcome::Delivered {
            self.finish(instance, message_id, FinalOutcome::Delivered);
        }
    }

    /// Forgets a call that neither side knows of any more.
    pub(super) fn drop_if_over(&mut self, number: u64) {
        if self.calls.get(&number).is_some_and(|call| !call.awaited && !call.at_endpoint) {
            self.calls.remove(&number);
        }
    }

    /// An instance died: its connections are closed, and nobody waits for its calls any more.
    pub(super) fn drop_calls_of(&mut self, instance: usize) {
        let calls: Vec<_> =
            self.calls.iter().filter(|(_, call)| call.instance == instance).map(|call| *call.0).collect();
        for number in calls {
            self.call_mut(number).awaited = false;
            self.release_connection(number, false);
            self.drop_if_over(number);
        }
        for server in &mut self.site.servers {
            server.idle.remove(&instance);
        }
    }

    /// What an oracle may know: calls that the endpoint can begin at once.
    pub(super) fn true_capacity(&self, instance: usize, endpoint: &str) -> usize {
        let Some(entry) = self.discovery.find(endpoint) else { return 0 };
        let entry = &self.discovery.entries[entry];
        let (here, there) = (self.instances[instance].zone, self.site.servers[entry.server].zone);
        let cut = self.paths.is_unusable(here, there) || self.paths.is_unusable(there, here);
        if cut || entry.removed || entry.listing != EndpointState::Available {
            return 0;
        }
        self.site.free_capacity(entry.server, self.clock.now())
    }
}
