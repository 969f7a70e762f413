//! The clients' side: messages arrive, are handed to couriers as the front deals them out, and come again.

use super::World;
use super::couriers::{CourierHost, HeldMessage};
use super::event::Event;
use crate::clients::{Order, Shares, Weights};
use crate::decider::Input;
use crate::fact::{Answered, Fact};
use quillhub::{MessageId, NewMessage};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest wait of a client that found its courier dead, before it tries another.
const FRONT_WAIT: Duration = Duration::from_millis(300);
/// Part of its longest wait that a client waits at least, and the whole: it draws evenly between them.
const CLIENT_WAIT_PART: std::ops::Range<f64> = 0.5..1.0;

/// Destinations that get more than their share of all messages while a fault lasts.
pub(super) struct HotSpot {
    pub(super) fault: usize,
    pub(super) destinations: Vec<usize>,
    pub(super) factor: f64,
}

impl World<'_> {
    /// Schedules the next arrival of a stream, if there is one.
    pub(super) fn schedule_arrival(&mut self, stream: usize) {
        let of = &self.day.arrivals[stream];
        let next = self.streams[stream].next(of, self.clock.now(), self.day);
        if let Some((at, count)) = next {
            self.clock.at(at, Event::Arrival { stream, count });
        }
    }

    pub(super) fn arrival(&mut self, stream: usize, count: u64) {
        let of = &self.day.arrivals[stream];
        let destination = self.streams[stream].destination(of, &self.shares);
        let born = self.clock.now();
        for _ in 0..count {
            let (grade, key) = self.streams[stream].draw(stream, of, self.day);
            let number = self.next_number();
            self.orders.insert(number, Order { stream, grade, destination, key, born, denials: 0 });
            self.record.tally.asked(born, grade);
            self.submit(number);
        }
        self.schedule_arrival(stream);
    }

    /// A client hands its message to a courier.
    pub(super) fn submit(&mut self, number: u64) {
        let Some(order) = self.orders.get(&number).cloned() else { return };
        let deadline = order.born + self.day.grades[order.grade].limit;
        if deadline <= self.clock.now() {
            return self.unserved(number);
        }
        let courier = self.courier_for(&order);
        if !self.couriers[courier].alive {
            // The front does not know yet, or the sidecar is down: the client comes again in a while.
            let wait = FRONT_WAIT.mul_f64(self.front.random_range(CLIENT_WAIT_PART));
            return self.after(wait, Event::Submission { order: number });
        }
        if let Some(until) = self.stalled_until(courier) {
            return self.clock.at(until, Event::Submission { order: number });
        }
        self.accept(courier, number, &order, deadline);
    }

    /// The courier that a message goes to: its client's own one, or the one that the front picks.
    fn courier_for(&mut self, order: &Order) -> usize {
        match self.day.arrivals[order.stream].courier {
            Some(number) => number as usize - 1,
            None => self.front_picks(),
        }
    }

    /// One of the couriers that the front takes for alive, by chance; the first if there is none.
    fn front_picks(&mut self) -> usize {
        let now = self.clock.now();
        let reachable = |host: &CourierHost| host.alive || host.trusted_until > now;
        let hosts = self.couriers.iter().enumerate();
        let reached: Vec<_> = hosts.filter(|(_, host)| reachable(host)).map(|(at, _)| at).collect();
        let skew = self.day.couriers.skew;
        let nth = if skew > 0.0 {
            let part = |at: &usize| (*at as f64 + 1.0).powf(-skew);
            Weights::of(reached.iter().map(part)).pick(&mut self.front)
        } else {
            self.front.random_range(0..reached.len().max(1))
        };
        reached.get(nth).copied().unwrap_or(0)
    }

    /// A courier takes a message on, and its decider is told of it.
    fn accept(&mut self, courier: usize, number: u64, order: &Order, deadline: Duration) {
        let grade = &self.day.grades[order.grade];
        let notice = self.next_number();
        let destination = order.destination;
        let key = order.key.filter(|_| grade.in_order);
        let message = HeldMessage {
            order: number,
            grade: order.grade,
            destination,
            key,
            deadline,
            attempts: 0,
            may_have_run: BTreeMap::new(),
        };
        self.couriers[courier].held.insert(notice, message);
        let name = &grade.name;
        self.fact(&Fact::Taken {
            courier,
            notice,
            order: number,
            grade: name,
            destination,
            key,
            limit: deadline,
        });
        let tenant = self.day.arrivals[order.stream].tenant.as_deref();
        let deadline = deadline - self.couriers[courier].epoch;
        let message = NewMessage {
            id: notice,
            service_class: name,
            ordering_key: order.key,
            deadline,
            tenant,
            destination,
        };
        self.tell(courier, &[Input::Message(message)]);
    }

    /// A client hears the final outcome of its message.
    pub(super) fn answer(&mut self, courier: usize, notice: MessageId, answer: Answered) {
        self.fact(&Fact::Answered { courier, notice, answer });
        let Some(message) = self.couriers[courier].held.remove(&notice) else { return };
        match answer {
            Answered::Handled => self.delivered(message.order),
            Answered::WrittenOff => self.unserved(message.order),
            Answered::Denied(come_back) => self.rejected(message.order, come_back),
        }
    }

    fn delivered(&mut self, number: u64) {
        if let Some(order) = self.orders.remove(&number) {
            self.record.tally.over(self.clock.now(), order.grade, order.born, true);
        }
    }

    /// Its client gives a message up, or it is lost.
    pub(super) fn unserved(&mut self, number: u64) {
        if let Some(order) = self.orders.remove(&number) {
            self.record.tally.over(self.clock.now(), order.grade, order.born, false);
        }
    }

    /// A client comes again with a rejected message after a while, a bounded number of times.
    fn rejected(&mut self, number: u64, retry_after: Option<Duration>) {
        let Some(order) = self.orders.get_mut(&number) else { return };
        order.denials += 1;
        if order.denials > self.day.clients.tries {
            return self.unserved(number);
        }
        let wait = self.client_wait().max(retry_after.unwrap_or_default());
        self.after(wait, Event::Submission { order: number });
    }

    /// How long a client waits before it comes again.
    pub(super) fn client_wait(&mut self) -> Duration {
        self.day.clients.wait.mul_f64(self.rng.random_range(CLIENT_WAIT_PART))
    }

    /// Divides the messages among the destinations anew, by what is hot.
    pub(super) fn share_out(&mut self) {
        self.shares = Shares::of(self.day, |destination| {
            let hot = self.hot_spots.iter().filter(|spot| spot.destinations.contains(&destination));
            hot.map(|spot| spot.factor).product()
        });
    }

    /// More messages come in a stream, or in all, while a fault lasts.
    pub(super) fn crowd(&mut self, fault: usize, stream: Option<usize>, factor: f64) {
        let streams = self.streams.iter_mut().enumerate();
        let struck = streams.filter(|(at, _)| stream.is_none_or(|one| one == *at));
        struck.for_each(|(_, stream)| stream.factors.push((fault, factor)));
    }
}
