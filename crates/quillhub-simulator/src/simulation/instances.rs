//! Hosts of the gateway instances. Each runs a decider, stores its pending messages, and carries out its actions.

use super::Simulation;
use super::actions::{Action, Actions};
use super::event::Event;
use crate::decider::{Decider, DeciderParameters, Input};
use crate::destinations_state::seeded_rng;
use crate::fact::Fact;
use quillhub::{DestinationId, Driver, EndpointState, MessageId};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;

/// Pending message of an instance, kept until its final outcome or the loss of the instance's state directory.
pub(super) struct PendingMessage {
    pub(super) request: u64,
    pub(super) service_class: usize,
    pub(super) destination: DestinationId,
    /// Ordering key, if the service class is ordered.
    pub(super) ordering_key: Option<u64>,
    pub(super) deadline: Duration,
    pub(super) attempts: u32,
    /// Attempts that may have been executed, by number: start time and entry of the endpoint list.
    pub(super) possible_executions: BTreeMap<u32, (Duration, usize)>,
}

/// Host of one instance. It persists when the instance's process crashes and restarts.
pub(super) struct InstanceHost {
    pub(super) decider: Box<dyn Decider>,
    pub(super) zone: usize,
    /// Number of crashes of the process. Events that were scheduled for an earlier incarnation are dropped.
    pub(super) incarnation: u32,
    pub(super) alive: bool,
    /// Time until which the process is stalled.
    pub(super) stalled_until: Duration,
    /// Time until which the load balancer has not detected the crash of the process.
    pub(super) assumed_alive_until: Duration,
    /// Time of the run at which the instance's own clock is zero.
    pub(super) epoch: Duration,
    pub(super) pending: BTreeMap<MessageId, PendingMessage>,
    /// Endpoint list as last received, which survives a crash of the process.
    pub(super) known_entries: BTreeMap<usize, EndpointState>,
    /// `true` while the instance watches service discovery for changes.
    pub(super) is_watching: bool,
}

impl InstanceHost {
    fn new(decider: Box<dyn Decider>, zone: usize) -> Self {
        Self {
            decider,
            zone,
            incarnation: 0,
            alive: true,
            stalled_until: Duration::ZERO,
            assumed_alive_until: Duration::ZERO,
            epoch: Duration::ZERO,
            pending: BTreeMap::new(),
            known_entries: BTreeMap::new(),
            is_watching: false,
        }
    }
}

/// Active fault of the gossip between instances.
pub(super) struct GossipFault {
    pub(super) fault: usize,
    /// Share of the gossip messages that are lost.
    pub(super) lost_share: f64,
    /// Extra delay of the other gossip messages.
    pub(super) delay: Duration,
}

impl<'a> Simulation<'a> {
    /// Starts an instance for the first time. Instances must be started in the order of their numbers.
    pub(super) fn start_instance(&mut self, instance: usize) {
        let decider = (self.make_decider)(&self.start_parameters(instance, 0));
        self.instances.push(InstanceHost::new(decider, self.zone_of_instance(instance)));
        self.record_fact(&Fact::InstanceStarted { instance, state_recovered: false });
        self.report_initial_list(instance);
    }

    fn zone_of_instance(&self, instance: usize) -> usize {
        instance % self.scenario.instances.zones.len()
    }

    /// Returns the parameters that the decider of an instance's incarnation is created with.
    pub(super) fn start_parameters(&self, instance: usize, incarnation: u32) -> DeciderParameters<'a> {
        let zone = &self.scenario.instances.zones[self.zone_of_instance(instance)];
        let seed = seeded_rng(self.seed, (instance as u64 + 1) << 32 | u64::from(incarnation)).random();
        DeciderParameters { seed, zone, scenario: self.scenario }
    }

    /// Returns `true` if an incarnation of an instance is still running.
    pub(super) fn is_current(&self, instance: usize, incarnation: u32) -> bool {
        let host = &self.instances[instance];
        host.alive && host.incarnation == incarnation
    }

    /// Returns the time until which an instance is stalled, if it is.
    pub(super) fn stalled_until(&self, instance: usize) -> Option<Duration> {
        let host = &self.instances[instance];
        (host.alive && host.stalled_until > self.clock.now()).then_some(host.stalled_until)
    }

    /// Reports events to an instance's decider, and carries out the actions that it requests.
    pub(super) fn process_inputs(&mut self, instance: usize, inputs: &[Input]) {
        let instance_now = self.clock.now() - self.instances[instance].epoch;
        let decider = &mut self.instances[instance].decider;
        decider.advance_to(instance_now);
        inputs.iter().for_each(|input| decider.handle(*input));
        if decider.wants_capacity() {
            self.report_capacity(instance);
        }
        let mut actions = Actions::default();
        self.instances[instance].decider.apply_rules(&mut actions);
        for action in actions.0 {
            self.perform(instance, action);
        }
    }

    /// Reports the true capacity of the endpoints to an oracle.
    fn report_capacity(&mut self, instance: usize) {
        let mut decider =
            std::mem::replace(&mut self.instances[instance].decider, Box::new(PlaceholderDecider));
        decider.observe_capacity(&|name| self.true_capacity(instance, name));
        self.instances[instance].decider = decider;
    }

    fn perform(&mut self, instance: usize, action: Action) {
        match action {
            Action::StartAttempt { message, endpoint, timeout } => {
                self.start_attempt(instance, message, &endpoint, timeout)
            }
            Action::Finish { message, outcome } => self.finish(instance, message, outcome),
            Action::CloseIdle { endpoint } => self.close_idle(instance, &endpoint),
            Action::Gossip { bytes } => self.broadcast_gossip(instance, &bytes),
            Action::SetTimer { wait } => {
                let incarnation = self.instances[instance].incarnation;
                self.schedule_after(wait, Event::TimerFires { instance, incarnation });
            }
            Action::Watch => self.watch(instance),
        }
    }

    fn close_idle(&mut self, instance: usize, endpoint: &str) {
        if let Some(entry) = self.discovery.find(endpoint) {
            let server = self.discovery.entries[entry].server;
            self.destinations_state.servers[server].idle_since.remove(&instance);
        }
    }

    /// Sends a gossip message to every other instance.
    fn broadcast_gossip(&mut self, instance: usize, bytes: &[u8]) {
        let unaffected_share: f64 = self.gossip_faults.iter().map(|fault| 1.0 - fault.lost_share).product();
        let extra: Duration = self.gossip_faults.iter().map(|fault| fault.delay).sum();
        let delivery_probability = (1.0 - self.scenario.instances.lost_gossip_share) * unaffected_share;
        for other in (0..self.instances.len()).filter(|other| *other != instance) {
            let lost = self.rng.random::<f64>() >= delivery_probability;
            let (from, to) = (self.instances[instance].zone, self.instances[other].zone);
            let delay = self.paths.transit_time(&mut self.rng, from, to).filter(|_| !lost);
            if let Some(delay) = delay {
                self.schedule_after(delay + extra, Event::Gossip { instance: other, bytes: bytes.to_vec() });
            }
        }
    }

    /// Reports an expired timer to an instance, unless the instance has restarted since it set the timer.
    pub(super) fn fire_timer(&mut self, instance: usize, incarnation: u32) {
        if self.is_current(instance, incarnation) {
            self.process_inputs(instance, &[Input::TimerFired]);
        }
    }

    /// Reports a gossip message to an instance, if it is running.
    pub(super) fn receive_gossip(&mut self, instance: usize, bytes: &[u8]) {
        if self.instances[instance].alive {
            self.process_inputs(instance, &[Input::Gossip(bytes)]);
        }
    }
}

/// Placeholder for an instance's decider while [`Simulation::report_capacity`] borrows the simulation.
struct PlaceholderDecider;

impl Decider for PlaceholderDecider {
    fn advance_to(&mut self, _: Duration) {}
    fn handle(&mut self, _: Input) {}
    fn apply_rules(&mut self, _: &mut dyn Driver) {}
}
