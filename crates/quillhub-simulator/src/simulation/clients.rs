//! Clients and the load balancer: submission of messages to instances, their outcomes, and retries by clients.

use super::Simulation;
use super::event::Event;
use super::instances::{InstanceHost, PendingMessage};
use crate::clients::{ClientRequest, DestinationShares, Weights};
use crate::decider::Input;
use crate::fact::{Fact, FinalOutcome};
use quillhub::{MessageId, NewMessage};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum wait of a client whose instance does not respond, before it submits the message again.
const MAX_FAILOVER_WAIT: Duration = Duration::from_millis(300);
/// Range of shares of its maximum wait from which a client draws its wait uniformly.
const CLIENT_WAIT_SHARES: std::ops::Range<f64> = 0.5..1.0;

/// Destinations whose share of the messages is multiplied by a factor during a fault.
pub(super) struct ActiveHotDestinations {
    pub(super) fault: usize,
    pub(super) destinations: Vec<usize>,
    pub(super) factor: f64,
}

impl Simulation<'_> {
    /// Schedules the next arrival of a stream, unless the stream has ended.
    pub(super) fn schedule_arrival(&mut self, stream: usize) {
        let arrivals = &self.scenario.arrivals[stream];
        let next = self.streams[stream].next_arrival(arrivals, self.clock.now(), self.scenario);
        if let Some((at, count)) = next {
            self.clock.schedule(at, Event::Arrival { stream, count });
        }
    }

    /// Creates and submits the messages of an arrival, and schedules the next arrival of its stream.
    pub(super) fn create_messages(&mut self, stream: usize, count: u64) {
        let arrivals = &self.scenario.arrivals[stream];
        let destination = self.streams[stream].draw_destination(arrivals, &self.shares);
        let submitted_at = self.clock.now();
        for _ in 0..count {
            let (service_class, ordering_key) =
                self.streams[stream].draw_message(stream, arrivals, self.scenario);
            let number = self.next_number();
            self.requests.insert(
                number,
                ClientRequest {
                    stream,
                    service_class,
                    destination,
                    ordering_key,
                    submitted_at,
                    rejections: 0,
                },
            );
            self.recorder.tally.submitted(submitted_at, service_class);
            self.submit(number);
        }
        self.schedule_arrival(stream);
    }

    /// Submits a client's message to an instance, or gives it up if its deadline has passed.
    pub(super) fn submit(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number).cloned() else { return };
        let deadline = request.submitted_at + self.scenario.service_classes[request.service_class].deadline;
        if deadline <= self.clock.now() {
            return self.give_up(number);
        }
        let instance = self.instance_for(&request);
        if !self.instances[instance].alive {
            // The load balancer has not detected the crash yet, or the stream is bound to this instance: the client
            // retries after a wait.
            let wait = MAX_FAILOVER_WAIT.mul_f64(self.balancer_rng.random_range(CLIENT_WAIT_SHARES));
            return self.schedule_after(wait, Event::Submission { request: number });
        }
        if let Some(until) = self.stalled_until(instance) {
            return self.clock.schedule(until, Event::Submission { request: number });
        }
        self.accept(instance, number, &request, deadline);
    }

    /// Returns the instance that gets a message: the one that its stream is bound to, or one chosen by the load
    /// balancer.
    fn instance_for(&mut self, request: &ClientRequest) -> usize {
        match self.scenario.arrivals[request.stream].instance {
            Some(number) => number as usize - 1,
            None => self.pick_instance(),
        }
    }

    /// Draws one of the instances that the load balancer assumes to be alive; returns the first if there is none.
    fn pick_instance(&mut self) -> usize {
        let now = self.clock.now();
        let is_assumed_alive = |host: &InstanceHost| host.alive || host.assumed_alive_until > now;
        let hosts = self.instances.iter().enumerate();
        let candidates: Vec<_> = hosts.filter(|(_, host)| is_assumed_alive(host)).map(|(at, _)| at).collect();
        let skew = self.scenario.instances.skew;
        let nth = if skew > 0.0 {
            let weight = |at: &usize| (*at as f64 + 1.0).powf(-skew);
            Weights::new(candidates.iter().map(weight)).pick(&mut self.balancer_rng)
        } else {
            self.balancer_rng.random_range(0..candidates.len().max(1))
        };
        candidates.get(nth).copied().unwrap_or(0)
    }

    /// Adds a message to the pending messages of an instance, and reports it to the decider.
    fn accept(&mut self, instance: usize, number: u64, request: &ClientRequest, deadline: Duration) {
        let service_class = &self.scenario.service_classes[request.service_class];
        let message_id = self.next_number();
        let destination = request.destination;
        let ordering_key = request.ordering_key.filter(|_| service_class.ordered);
        let message = PendingMessage {
            request: number,
            service_class: request.service_class,
            destination,
            ordering_key,
            deadline,
            attempts: 0,
            possible_executions: BTreeMap::new(),
        };
        self.instances[instance].pending.insert(message_id, message);
        let name = &service_class.name;
        self.record_fact(&Fact::Accepted {
            instance,
            message_id,
            request: number,
            service_class: name,
            destination,
            ordering_key,
            deadline,
        });
        let tenant = self.scenario.arrivals[request.stream].tenant.as_deref();
        let deadline = deadline - self.instances[instance].epoch;
        let message = NewMessage {
            id: message_id,
            service_class: name,
            ordering_key: request.ordering_key,
            deadline,
            tenant,
            destination,
        };
        self.process_inputs(instance, &[Input::Message(message)]);
    }

    /// Gives a message its final outcome, and reports it to the client.
    pub(super) fn finish(&mut self, instance: usize, message_id: MessageId, outcome: FinalOutcome) {
        self.record_fact(&Fact::Finished { instance, message_id, outcome });
        let Some(message) = self.instances[instance].pending.remove(&message_id) else { return };
        match outcome {
            FinalOutcome::Delivered => self.complete_request(message.request),
            FinalOutcome::Abandoned => self.give_up(message.request),
            FinalOutcome::Rejected { retry_after } => self.retry_rejected(message.request, retry_after),
        }
    }

    /// Ends a request whose message was delivered.
    fn complete_request(&mut self, number: u64) {
        if let Some(request) = self.requests.remove(&number) {
            self.recorder.tally.request_finished(
                self.clock.now(),
                request.service_class,
                request.submitted_at,
                true,
            );
        }
    }

    /// Ends a request without delivery: its client gives up, or the message is lost.
    pub(super) fn give_up(&mut self, number: u64) {
        if let Some(request) = self.requests.remove(&number) {
            self.recorder.tally.request_finished(
                self.clock.now(),
                request.service_class,
                request.submitted_at,
                false,
            );
        }
    }

    /// Schedules another submission of a rejected message, or gives it up after the allowed number of retries.
    fn retry_rejected(&mut self, number: u64, retry_after: Option<Duration>) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.rejections += 1;
        if request.rejections > self.scenario.clients.max_retries {
            return self.give_up(number);
        }
        let wait = self.draw_client_wait().max(retry_after.unwrap_or_default());
        self.schedule_after(wait, Event::Submission { request: number });
    }

    /// Draws the time until a client submits a message again.
    pub(super) fn draw_client_wait(&mut self) -> Duration {
        self.scenario.clients.max_backoff.mul_f64(self.rng.random_range(CLIENT_WAIT_SHARES))
    }

    /// Recomputes the destinations' shares of the messages after a change of the hot spots.
    pub(super) fn update_shares(&mut self) {
        self.shares = DestinationShares::new(self.scenario, |destination| {
            let hot_destinations =
                self.hot_destinations.iter().filter(|hot| hot.destinations.contains(&destination));
            hot_destinations.map(|hot| hot.factor).product()
        });
    }

    /// Multiplies the rate of a stream, or of all if `stream` is `None`, until the fault ends.
    pub(super) fn begin_surge(&mut self, fault: usize, stream: Option<usize>, factor: f64) {
        let streams = self.streams.iter_mut().enumerate();
        let affected = streams.filter(|(at, _)| stream.is_none_or(|one| one == *at));
        affected.for_each(|(_, stream)| stream.factors.push((fault, factor)));
    }
}
