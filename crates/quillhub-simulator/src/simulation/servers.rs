//! Endpoint side of a call: its admission, its execution, and its response.

use super::Simulation;
use super::calls::Call;
use super::effects::IdempotencyKey;
use super::event::{CallEnd, Event};
use crate::active_faults::ServerFault;
use crate::destinations_state::{Admission, DestinationsState, RouteChange};
use crate::fact::Fact;
use quillhub::AttemptOutcome;
use rand::RngExt;
use std::time::Duration;

/// Share of the calls to a hung endpoint that are executed, because a call without a response may or may not have been.
const HUNG_CALL_EXECUTION_SHARE: f64 = 0.5;

impl Simulation<'_> {
    /// Handles the arrival of a call at its endpoint.
    pub(super) fn admit_call(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number) else { return };
        let Call { instance, message_id, attempt, server, .. } = *call;
        self.record_fact(&Fact::AttemptArrived { instance, message_id, attempt });
        let arrived = self.destinations_state.admit(server, self.clock.now(), &mut self.rng);
        if arrived.overloads_route {
            self.fail_overloaded_route(server);
        }
        match arrived.admission {
            Admission::Reset => self.answer_call(number, AttemptOutcome::ConnectionReset, false),
            Admission::Unanswered => self.hang_call(number),
            Admission::Rejected(wait) => {
                self.recorder.tally.rejected_calls += 1;
                self.answer_call(number, AttemptOutcome::Rejected { retry_after: wait }, true);
            }
            Admission::Failed(time) => self.fail_call(number, time),
            Admission::Started => self.begin_call(number, server),
            Admission::Queued => self.destinations_state.enqueue(server, number),
        }
    }

    /// Takes a route down that was overloaded during its recovery. It stays down for the rest of the run.
    fn fail_overloaded_route(&mut self, server: usize) {
        self.record_fact(&Fact::RouteOverloaded { route: self.destinations_state.servers[server].route });
        for server in self.destinations_state.route_servers(server) {
            self.begin_server_fault(server, DestinationsState::OVERLOAD_FAULT, ServerFault::Refuses);
        }
    }

    /// Leaves a call at a hung server without a response.
    fn hang_call(&mut self, number: u64) {
        if self.rng.random::<f64>() < HUNG_CALL_EXECUTION_SHARE {
            self.execute(number);
        }
        self.finish_at_endpoint(number);
    }

    /// Ends a call with an error that the server returns after `time`.
    fn fail_call(&mut self, number: u64, time: Duration) {
        let delay = self.response_delay(number);
        self.finish_at_endpoint(number);
        if let Some(delay) = delay {
            let end = CallEnd::with_reusable_connection(AttemptOutcome::Failed);
            self.schedule_after(time + delay, Event::CallEnds { call: number, end });
        }
    }

    /// Starts a call on a worker of `server`, and schedules its execution and its completion.
    fn begin_call(&mut self, number: u64, server: usize) {
        let service_time = self.destinations_state.begin_call(server, self.clock.now(), &mut self.rng);
        if let Some(call) = self.calls.get(&number) {
            self.recorder.tally.work_started(self.clock.now() - call.started);
        }
        let execution_delay = service_time.mul_f64(self.rng.random());
        self.schedule_after(execution_delay, Event::CallExecutes { call: number });
        self.schedule_after(service_time, Event::CallCompletes { call: number, server });
    }

    /// Executes a call at its destination, unless the server has dropped it.
    pub(super) fn execute(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number).filter(|call| call.at_endpoint) else { return };
        let Call { message_id, request, attempt, .. } = *call;
        let server = &self.destinations_state.servers[call.server];
        let service_class = &self.scenario.service_classes[call.service_class];
        let zone = service_class.per_zone.then_some(server.zone);
        let key = IdempotencyKey { destination: server.destination, zone, request };
        let effect = self.effects.execute(self.clock.now(), key, service_class);
        self.record_fact(&Fact::Executed {
            message_id,
            request,
            attempt,
            deduplicated: effect.deduplicated,
            duplicate_effect: effect.duplicate,
        });
    }

    /// Completes a call, sends its response, and starts the next queued call on the worker.
    pub(super) fn complete_call(&mut self, number: u64, server: usize) {
        if !self.calls.get(&number).is_some_and(|call| call.at_endpoint) {
            return; // the connection was reset during the call, which also freed its worker
        }
        if let Some(next) = self.destinations_state.end_call(server) {
            self.begin_call(next, server);
        }
        let lost_share = self.destinations_state.response_faults(server).lost_response_share;
        if self.rng.random::<f64>() < lost_share {
            return self.finish_at_endpoint(number);
        }
        self.answer_call(number, AttemptOutcome::Delivered, true);
    }

    /// Marks a call as over for its endpoint.
    fn finish_at_endpoint(&mut self, number: u64) {
        if let Some(call) = self.calls.get_mut(&number) {
            call.at_endpoint = false;
        }
        self.remove_if_done(number);
    }

    /// Sends the response of a call to its instance; the response may be lost.
    fn answer_call(&mut self, number: u64, outcome: AttemptOutcome, reusable: bool) {
        let Some(call) = self.calls.get(&number) else { return };
        let awaited = call.awaited;
        let load_report = self.destinations_state.load_report(call.server, self.clock.now());
        let delay = self.response_delay(number);
        self.finish_at_endpoint(number);
        if let Some(delay) = delay.filter(|_| awaited) {
            let end = CallEnd { outcome, reusable, load_report };
            self.schedule_after(delay, Event::CallEnds { call: number, end });
        }
    }

    /// Draws the time from a call's endpoint back to its instance; `None` if the response is lost.
    fn response_delay(&mut self, number: u64) -> Option<Duration> {
        let Call { instance, server, .. } = self.calls[&number];
        let (from, to) = (self.destinations_state.servers[server].zone, self.instances[instance].zone);
        self.paths.transit_time(&mut self.rng, from, to)
    }

    /// Applies a fault to a server; one that refuses connections also resets the calls there.
    pub(super) fn begin_server_fault(&mut self, server: usize, number: usize, fault: ServerFault) {
        self.destinations_state.apply_fault(server, number, fault);
        if fault == ServerFault::Refuses {
            self.reset_calls(server);
        }
        self.update_route(self.destinations_state.servers[server].route);
    }

    /// Resets the connections of a server, and drops the calls there.
    fn reset_calls(&mut self, server: usize) {
        let at_server = self.calls.iter().filter(|(_, call)| call.server == server);
        let calls: Vec<_> = at_server.map(|(number, call)| (*number, call.has_connection)).collect();
        for (number, _) in calls.iter().filter(|(_, has_connection)| *has_connection) {
            self.reset_call(*number);
        }
        for (number, _) in calls {
            self.finish_at_endpoint(number);
        }
    }

    fn reset_call(&mut self, number: u64) {
        if let Some(delay) = self.response_delay(number) {
            let request_sent = self.calls[&number].request_sent;
            let outcome =
                if request_sent { AttemptOutcome::ConnectionReset } else { AttemptOutcome::ConnectFailed };
            self.end_after(delay, number, outcome);
        }
    }

    /// Records that a route went down or recovered, if its availability changed.
    pub(super) fn update_route(&mut self, route: usize) {
        match self.destinations_state.update_route(route, self.clock.now()) {
            Some(RouteChange::Down) => self.record_fact(&Fact::RouteDown { route }),
            Some(RouteChange::Recovered) => {
                let milli_per_s =
                    (self.destinations_state.routes[route].full_capacity_per_s * 1_000.0) as u64;
                self.record_fact(&Fact::RouteRecovered { route, milli_per_s });
            }
            None => {}
        }
    }
}
