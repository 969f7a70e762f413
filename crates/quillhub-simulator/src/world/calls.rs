//! The courier's side of a call: its connection, its first byte, and how it ends.

use super::World;
use super::event::{CallEnd, Event};
use crate::decider::Input;
use crate::fact::{Answered, Fact};
use quillhub::{AttemptOutcome, AttemptResult, EndpointState, MessageId};
use rand::RngExt;
use std::time::Duration;

/// A call, from the courier's decision until neither side knows of it any more.
pub(super) struct Call {
    pub(super) courier: usize,
    /// The courier's life that made it.
    pub(super) life: u32,
    pub(super) notice: MessageId,
    pub(super) order: u64,
    pub(super) grade: usize,
    pub(super) attempt: u32,
    pub(super) server: usize,
    pub(super) started: Duration,
    /// The courier has not been told of its end.
    pub(super) awaited: bool,
    /// It holds a connection of its server.
    pub(super) connected: bool,
    /// Its endpoint has yet to finish it.
    pub(super) at_endpoint: bool,
    /// Its first byte has left, so it may have run.
    pub(super) begun: bool,
}

impl World<'_> {
    /// A decider asks for an attempt. What makes no sense the auditor sees, and nothing leaves.
    pub(super) fn send(&mut self, courier: usize, notice: MessageId, endpoint: &str, patience: Duration) {
        let attempt = self.couriers[courier].held.get(&notice).map_or(0, |message| message.attempts);
        self.fact(&Fact::Sent { courier, notice, send: attempt, endpoint, patience });
        let Some(entry) = self.discovery.find(endpoint) else { return };
        let Some(number) = self.new_call(courier, notice, attempt, entry) else { return };
        let server = self.calls[&number].server;
        let destination = self.site.servers[server].destination;
        self.record.tally.sent(self.clock.now(), destination, attempt > 0);
        self.site.servers[server].sweep(self.clock.now(), self.day.network.idle_close);
        let gone = self.discovery.entries[entry].removed;
        if !gone && self.site.servers[server].reuse(courier) {
            self.call_on_kept_connection(number, patience);
        } else {
            self.call_on_new_connection(number, patience, gone);
        }
    }

    /// Keeps a call of a message that is held; its number.
    fn new_call(&mut self, courier: usize, notice: MessageId, attempt: u32, entry: usize) -> Option<u64> {
        let started = self.clock.now();
        let host = &mut self.couriers[courier];
        let message = host.held.get_mut(&notice)?;
        message.attempts += 1;
        message.may_have_run.insert(attempt, (started, entry));
        let call = Call {
            courier,
            life: host.life,
            notice,
            order: message.order,
            grade: message.grade,
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

    /// The zones of a call's courier and of its server.
    fn zones_of_call(&self, number: u64) -> (usize, usize) {
        let call = &self.calls[&number];
        (self.couriers[call.courier].zone, self.site.servers[call.server].zone)
    }

    fn take_connection(&mut self, number: u64) {
        let call = self.call_mut(number);
        call.connected = true;
        let server = call.server;
        self.site.servers[server].open += 1;
    }

    fn call_on_kept_connection(&mut self, number: u64, patience: Duration) {
        self.take_connection(number);
        self.end_after(patience, number, AttemptOutcome::TimedOut);
        let Call { courier, notice, attempt, server, .. } = self.calls[&number];
        if self.rng.random::<f64>() >= self.site.servers[server].stale() {
            return self.first_byte(number);
        }
        self.fact(&Fact::Went { courier, notice, send: attempt });
        let (here, there) = self.zones_of_call(number);
        if let Some(round_trip) = self.round_trip(here, there) {
            self.end_after(round_trip, number, AttemptOutcome::ConnectionReset);
        }
    }

    fn call_on_new_connection(&mut self, number: u64, patience: Duration, gone: bool) {
        self.record.tally.connections += 1;
        let (here, there) = self.zones_of_call(number);
        let round_trip = self.round_trip(here, there);
        let network = &self.day.network;
        // Not up in time: nothing left, so nothing ran.
        self.end_after(patience.min(network.connecting), number, AttemptOutcome::ConnectFailed);
        let server = &self.site.servers[self.calls[&number].server];
        let Some(round_trip) = round_trip.filter(|_| !server.silent()) else { return };
        let kind = &self.day.destinations[server.kind];
        let has_place = server.has_place(kind);
        if gone || server.refuses() || !has_place && !kind.reports {
            self.end_after(round_trip, number, AttemptOutcome::ConnectFailed);
        } else if !has_place {
            // The connection comes up, and its first call is turned away without a report.
            self.end_after(round_trip * 2 + network.handshake, number, AttemptOutcome::ConnectionLimit);
        } else {
            let up = round_trip + network.handshake + server.handshake();
            self.take_connection(number);
            self.after(up, Event::Connected { call: number });
            // The rest of its patience runs from its first byte's connection on, as for a kept one.
            self.end_after(patience, number, AttemptOutcome::TimedOut);
        }
    }

    /// The time to a zone and back; nothing if either way is lost.
    fn round_trip(&mut self, here: usize, there: usize) -> Option<Duration> {
        let to = self.paths.pass(&mut self.rng, here, there);
        let back = self.paths.pass(&mut self.rng, there, here);
        Some(to? + back?)
    }

    /// A call ends so after a while, unless it ended before; its connection is of no use then.
    pub(super) fn end_after(&mut self, wait: Duration, number: u64, outcome: AttemptOutcome) {
        self.after(wait, Event::CallEnds { call: number, end: CallEnd::broken(outcome) });
    }

    /// A call's connection is up: its decider is asked once more, where hosts do so, then its first byte leaves.
    pub(super) fn connected(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number).filter(|call| call.awaited) else { return };
        let host = &self.couriers[call.courier];
        let own_now = self.clock.now() - host.epoch;
        let goes = !self.day.couriers.last_look || host.decider.may_go(call.notice, call.attempt, own_now);
        if goes {
            self.first_byte(number);
        } else {
            self.call_ends(number, CallEnd::answered(AttemptOutcome::NotSent));
        }
    }

    /// A call's first byte leaves the courier.
    fn first_byte(&mut self, number: u64) {
        let call = self.call_mut(number);
        call.begun = true;
        let Call { courier, notice, attempt, .. } = *call;
        self.fact(&Fact::Went { courier, notice, send: attempt });
        let (from, to) = self.zones_of_call(number);
        if let Some(delay) = self.paths.pass(&mut self.rng, from, to) {
            self.call_mut(number).at_endpoint = true;
            self.after(delay, Event::CallArrives { call: number });
        }
    }

    /// The courier hears how a call ended; only its first end counts.
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
        let Call { courier, life, notice, attempt, started, .. } = *call;
        self.release_connection(number, end.reusable);
        self.drop_if_over(number);
        if !self.lives(courier, life) {
            return;
        }
        self.fact(&Fact::Ended { courier, notice, send: attempt, outcome });
        self.note_outcome(courier, notice, attempt, outcome);
        let (took, over) = (self.clock.now() - started, outcome == AttemptOutcome::Delivered);
        let message = notice;
        let result = AttemptResult {
            message,
            attempt,
            outcome,
            duration: took,
            finished: over,
            load_report: end.load_report,
        };
        self.tell(courier, &[Input::AttemptEnded(result)]);
    }

    /// A call gives its connection back, or closes it.
    fn release_connection(&mut self, number: u64, reusable: bool) {
        let call = self.call_mut(number);
        let Call { courier, life, server, .. } = *call;
        if !std::mem::take(&mut call.connected) {
            return;
        }
        self.site.servers[server].open -= 1;
        if reusable && self.lives(courier, life) {
            let now = self.clock.now();
            self.site.servers[server].idle.entry(courier).or_default().push(now);
        }
    }

    /// Keeps what an outcome proves: that the attempt never ran, or that the message is delivered.
    fn note_outcome(&mut self, courier: usize, notice: MessageId, attempt: u32, outcome: AttemptOutcome) {
        let Some(message) = self.couriers[courier].held.get_mut(&notice) else { return };
        if outcome.never_executed() {
            message.may_have_run.remove(&attempt);
        }
        if outcome == AttemptOutcome::Delivered {
            self.answer(courier, notice, Answered::Handled);
        }
    }

    /// Forgets a call that neither side knows of any more.
    pub(super) fn drop_if_over(&mut self, number: u64) {
        if self.calls.get(&number).is_some_and(|call| !call.awaited && !call.at_endpoint) {
            self.calls.remove(&number);
        }
    }

    /// A courier died: its connections are closed, and nobody waits for its calls any more.
    pub(super) fn drop_calls_of(&mut self, courier: usize) {
        let calls: Vec<_> =
            self.calls.iter().filter(|(_, call)| call.courier == courier).map(|call| *call.0).collect();
        for number in calls {
            self.call_mut(number).awaited = false;
            self.release_connection(number, false);
            self.drop_if_over(number);
        }
        for server in &mut self.site.servers {
            server.idle.remove(&courier);
        }
    }

    /// What an oracle may know: calls that the endpoint can begin at once.
    pub(super) fn true_room(&self, courier: usize, endpoint: &str) -> usize {
        let Some(entry) = self.discovery.find(endpoint) else { return 0 };
        let entry = &self.discovery.entries[entry];
        let (here, there) = (self.couriers[courier].zone, self.site.servers[entry.server].zone);
        let cut = self.paths.is_bad(here, there) || self.paths.is_bad(there, here);
        if cut || entry.removed || entry.listing != EndpointState::Available {
            return 0;
        }
        self.site.room(entry.server, self.clock.now())
    }
}
