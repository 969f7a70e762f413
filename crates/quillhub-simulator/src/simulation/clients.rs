//! The clients' side: messages arrive, are handed to instances as the front deals them out, and come again.

use super::Simulation;
use super::event::Event;
use super::instances::{InstanceHost, PendingMessage};
use crate::clients::{ClientRequest, Shares, Weights};
use crate::decider::Input;
use crate::fact::{Fact, FinalOutcome};
use quillhub::{MessageId, NewMessage};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest wait of a client that found its instance dead, before it tries another.
const FRONT_WAIT: Duration = Duration::from_millis(300);
/// Part of its longest wait that a client waits at least, and the whole: it draws evenly between them.
const CLIENT_WAIT_PART: std::ops::Range<f64> = 0.5..1.0;

/// Destinations that get more than their share of all messages while a fault lasts.
pub(super) struct HotSpot {
    pub(super) fault: usize,
    pub(super) destinations: Vec<usize>,
    pub(super) factor: f64,
}

impl Simulation<'_> {
    /// Schedules the next arrival of a stream, if there is one.
    pub(super) fn schedule_arrival(&mut self, stream: usize) {
        let of = &self.scenario.arrivals[stream];
        let next = self.streams[stream].next_arrival(of, self.clock.now(), self.scenario);
        if let Some((at, count)) = next {
            self.clock.at(at, Event::Arrival { stream, count });
        }
    }

    pub(super) fn arrival(&mut self, stream: usize, count: u64) {
        let of = &self.scenario.arrivals[stream];
        let destination = self.streams[stream].draw_destination(of, &self.shares);
        let created_at = self.clock.now();
        for _ in 0..count {
            let (service_class, key) = self.streams[stream].draw_message(stream, of, self.scenario);
            let number = self.next_number();
            self.requests.insert(
                number,
                ClientRequest { stream, service_class, destination, key, created_at, rejections: 0 },
            );
            self.record.tally.submitted(created_at, service_class);
            self.submit(number);
        }
        self.schedule_arrival(stream);
    }

    /// A client hands its message to an instance.
    pub(super) fn submit(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number).cloned() else { return };
        let deadline = request.created_at + self.scenario.service_classes[request.service_class].deadline;
        if deadline <= self.clock.now() {
            return self.unserved(number);
        }
        let instance = self.instance_for(&request);
        if !self.instances[instance].alive {
            // The front does not know yet, or the sidecar is down: the client comes again in a while.
            let wait = FRONT_WAIT.mul_f64(self.front.random_range(CLIENT_WAIT_PART));
            return self.after(wait, Event::Submission { request: number });
        }
        if let Some(until) = self.stalled_until(instance) {
            return self.clock.at(until, Event::Submission { request: number });
        }
        self.accept(instance, number, &request, deadline);
    }

    /// The instance that a message goes to: its client's own one, or the one that the front picks.
    fn instance_for(&mut self, request: &ClientRequest) -> usize {
        match self.scenario.arrivals[request.stream].instance {
            Some(number) => number as usize - 1,
            None => self.front_picks(),
        }
    }

    /// One of the instances that the front takes for alive, by chance; the first if there is none.
    fn front_picks(&mut self) -> usize {
        let now = self.clock.now();
        let reachable = |host: &InstanceHost| host.alive || host.trusted_until > now;
        let hosts = self.instances.iter().enumerate();
        let reached: Vec<_> = hosts.filter(|(_, host)| reachable(host)).map(|(at, _)| at).collect();
        let skew = self.scenario.instances.skew;
        let nth = if skew > 0.0 {
            let part = |at: &usize| (*at as f64 + 1.0).powf(-skew);
            Weights::new(reached.iter().map(part)).pick(&mut self.front)
        } else {
            self.front.random_range(0..reached.len().max(1))
        };
        reached.get(nth).copied().unwrap_or(0)
    }

    /// An instance accepts a message, and its decider gets it as an input.
    fn accept(&mut self, instance: usize, number: u64, request: &ClientRequest, deadline: Duration) {
        let service_class = &self.scenario.service_classes[request.service_class];
        let message_id = self.next_number();
        let destination = request.destination;
        let key = request.key.filter(|_| service_class.ordered);
        let message = PendingMessage {
            request: number,
            service_class: request.service_class,
            destination,
            key,
            deadline,
            attempts: 0,
            may_have_run: BTreeMap::new(),
        };
        self.instances[instance].pending.insert(message_id, message);
        let name = &service_class.name;
        self.fact(&Fact::Accepted {
            instance,
            message_id,
            request: number,
            service_class: name,
            destination,
            ordering_key: key,
            deadline,
        });
        let tenant = self.scenario.arrivals[request.stream].tenant.as_deref();
        let deadline = deadline - self.instances[instance].epoch;
        let message = NewMessage {
            id: message_id,
            service_class: name,
            ordering_key: request.key,
            deadline,
            tenant,
            destination,
        };
        self.hand_inputs(instance, &[Input::Message(message)]);
    }

    /// A client hears the final outcome of its message.
    pub(super) fn finish(&mut self, instance: usize, message_id: MessageId, outcome: FinalOutcome) {
        self.fact(&Fact::Finished { instance, message_id, outcome });
        let Some(message) = self.instances[instance].pending.remove(&message_id) else { return };
        match outcome {
            FinalOutcome::Delivered => self.delivered(message.request),
            FinalOutcome::Abandoned => self.unserved(message.request),
            FinalOutcome::Rejected { retry_after: come_back } => self.rejected(message.request, come_back),
        }
    }

    fn delivered(&mut self, number: u64) {
        if let Some(request) = self.requests.remove(&number) {
            self.record.tally.over(self.clock.now(), request.service_class, request.created_at, true);
        }
    }

    /// Its client gives a message up, or it is lost.
    pub(super) fn unserved(&mut self, number: u64) {
        if let Some(request) = self.requests.remove(&number) {
            self.record.tally.over(self.clock.now(), request.service_class, request.created_at, false);
        }
    }

    /// A client comes again with a rejected message after a while, a bounded number of times.
    fn rejected(&mut self, number: u64, retry_after: Option<Duration>) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.rejections += 1;
        if request.rejections > self.scenario.clients.retries {
            return self.unserved(number);
        }
        let wait = self.client_wait().max(retry_after.unwrap_or_default());
        self.after(wait, Event::Submission { request: number });
    }

    /// How long a client waits before it comes again.
    pub(super) fn client_wait(&mut self) -> Duration {
        self.scenario.clients.backoff.mul_f64(self.rng.random_range(CLIENT_WAIT_PART))
    }

    /// Divides the messages among the destinations anew, by what is hot.
    pub(super) fn share_out(&mut self) {
        self.shares = Shares::new(self.scenario, |destination| {
            let hot = self.hot_spots.iter().filter(|spot| spot.destinations.contains(&destination));
            hot.map(|spot| spot.factor).product()
        });
    }

    /// More messages come in a stream, or in all, while a fault lasts.
    pub(super) fn surge(&mut self, fault: usize, stream: Option<usize>, factor: f64) {
        let streams = self.streams.iter_mut().enumerate();
        let struck = streams.filter(|(at, _)| stream.is_none_or(|one| one == *at));
        struck.for_each(|(_, stream)| stream.factors.push((fault, factor)));
    }
}
