//! The couriers' hosts: each runs one decider, keeps the messages that it holds, and carries out what it asks for.

use super::World;
use super::actions::{Action, Actions};
use super::event::Event;
use crate::decider::{Decider, Input, Start};
use crate::fact::Fact;
use crate::site::chance;
use quillhub::{DestinationId, Driver, EndpointState, MessageId};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;

/// A message as its courier's host keeps it; gone with its final outcome, or with the courier's state directory.
pub(super) struct HeldMessage {
    pub(super) order: u64,
    pub(super) grade: usize,
    pub(super) destination: DestinationId,
    /// The ordering key.
    pub(super) key: Option<u64>,
    pub(super) deadline: Duration,
    pub(super) attempts: u32,
    /// Attempts that may have run: when they began, and at which entry of the endpoint list.
    pub(super) may_have_run: BTreeMap<u32, (Duration, usize)>,
}

/// The host of one courier; the process dies and starts again, the host stays.
pub(super) struct CourierHost {
    pub(super) decider: Box<dyn Decider>,
    pub(super) zone: usize,
    /// How often the process has died: what was scheduled for an earlier one is dropped.
    pub(super) life: u32,
    pub(super) alive: bool,
    /// Until when the process stands still.
    pub(super) stalled_until: Duration,
    /// Until when the front does not know that it is dead.
    pub(super) trusted_until: Duration,
    /// The instant at which the courier's own clock began.
    pub(super) epoch: Duration,
    pub(super) held: BTreeMap<MessageId, HeldMessage>,
    /// The endpoint list as last told; outlasts the process.
    pub(super) known: BTreeMap<usize, EndpointState>,
    /// Whether it has a watch on service discovery.
    pub(super) watches: bool,
}

impl CourierHost {
    fn new(decider: Box<dyn Decider>, zone: usize) -> Self {
        Self {
            decider,
            zone,
            life: 0,
            alive: true,
            stalled_until: Duration::ZERO,
            trusted_until: Duration::ZERO,
            epoch: Duration::ZERO,
            held: BTreeMap::new(),
            known: BTreeMap::new(),
            watches: false,
        }
    }
}

/// What is wrong with gossip between couriers while a fault lasts.
pub(super) struct GossipFault {
    pub(super) fault: usize,
    /// Share of the gossip messages lost.
    pub(super) lost: f64,
    /// How much later the others arrive.
    pub(super) late: Duration,
}

impl<'a> World<'a> {
    /// Starts a courier for the first time; couriers start in the order of their numbers.
    pub(super) fn start_courier(&mut self, courier: usize) {
        let decider = (self.make)(&self.start(courier, 0));
        self.couriers.push(CourierHost::new(decider, self.zone_of_courier(courier)));
        self.fact(&Fact::Began { courier, folder: false });
        self.tell_first_list(courier);
    }

    fn zone_of_courier(&self, courier: usize) -> usize {
        courier % self.day.couriers.zones.len()
    }

    /// What the decider of a courier's life is started with.
    pub(super) fn start(&self, courier: usize, life: u32) -> Start<'a> {
        let zone = &self.day.couriers.zones[self.zone_of_courier(courier)];
        let seed = chance(self.seed, (courier as u64 + 1) << 32 | u64::from(life)).random();
        Start { seed, zone, day: self.day }
    }

    /// Whether that life of a courier goes on.
    pub(super) fn lives(&self, courier: usize, life: u32) -> bool {
        let host = &self.couriers[courier];
        host.alive && host.life == life
    }

    /// Until when a courier stands still, if it does.
    pub(super) fn stalled_until(&self, courier: usize) -> Option<Duration> {
        let host = &self.couriers[courier];
        (host.alive && host.stalled_until > self.clock.now()).then_some(host.stalled_until)
    }

    /// Tells a courier's decider what happened, lets it act, and does what it asks for.
    pub(super) fn tell(&mut self, courier: usize, inputs: &[Input]) {
        let own_now = self.clock.now() - self.couriers[courier].epoch;
        let decider = &mut self.couriers[courier].decider;
        decider.at(own_now);
        inputs.iter().for_each(|input| decider.tell(*input));
        if decider.wants_truth() {
            self.show_truth(courier);
        }
        let mut actions = Actions::default();
        self.couriers[courier].decider.settle(&mut actions);
        for action in actions.0 {
            self.act(courier, action);
        }
    }

    /// Shows an oracle the true state of the endpoints.
    fn show_truth(&mut self, courier: usize) {
        let mut decider = std::mem::replace(&mut self.couriers[courier].decider, Box::new(NoDecider));
        decider.sees(&|name| self.true_room(courier, name));
        self.couriers[courier].decider = decider;
    }

    fn act(&mut self, courier: usize, action: Action) {
        match action {
            Action::Attempt { message, endpoint, timeout } => self.send(courier, message, &endpoint, timeout),
            Action::Answer { message, answer } => self.answer(courier, message, answer),
            Action::CloseIdle { endpoint } => self.close_idle(courier, &endpoint),
            Action::Gossip { octets } => self.gossip(courier, &octets),
            Action::Wake { wait } => {
                let life = self.couriers[courier].life;
                self.after(wait, Event::Wake { courier, life });
            }
            Action::Watch => self.watch(courier),
        }
    }

    fn close_idle(&mut self, courier: usize, endpoint: &str) {
        if let Some(entry) = self.discovery.find(endpoint) {
            let server = self.discovery.entries[entry].server;
            self.site.servers[server].idle.remove(&courier);
        }
    }

    /// Sends a gossip message to every other courier.
    fn gossip(&mut self, courier: usize, octets: &[u8]) {
        let spared: f64 = self.gossip_faults.iter().map(|fault| 1.0 - fault.lost).product();
        let late: Duration = self.gossip_faults.iter().map(|fault| fault.late).sum();
        let arrives = (1.0 - self.day.couriers.notes_lost) * spared;
        for other in (0..self.couriers.len()).filter(|other| *other != courier) {
            let lost = self.rng.random::<f64>() >= arrives;
            let (from, to) = (self.couriers[courier].zone, self.couriers[other].zone);
            let delay = self.paths.pass(&mut self.rng, from, to).filter(|_| !lost);
            if let Some(delay) = delay {
                self.after(delay + late, Event::Gossip { courier: other, octets: octets.to_vec() });
            }
        }
    }

    /// A timer of a courier has run out.
    pub(super) fn wake(&mut self, courier: usize, life: u32) {
        if self.lives(courier, life) {
            self.tell(courier, &[Input::TimerFired]);
        }
    }

    /// A gossip message has reached a courier.
    pub(super) fn gossip_arrives(&mut self, courier: usize, octets: &[u8]) {
        if self.couriers[courier].alive {
            self.tell(courier, &[Input::Gossip(octets)]);
        }
    }
}

/// Stands in for a decider while the decider is shown the truth.
struct NoDecider;

impl Decider for NoDecider {
    fn at(&mut self, _: Duration) {}
    fn tell(&mut self, _: Input) {}
    fn settle(&mut self, _: &mut dyn Driver) {}
}
