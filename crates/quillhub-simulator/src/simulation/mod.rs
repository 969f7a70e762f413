//! Event loop of the simulation in virtual time, and the state that its parts share.
//!
//! Each submodule implements one part of [`Simulation`]: the hosts of the gateway instances, the clients, the two sides
//! of a call, service discovery, or faults. This module dispatches each event to the part that handles it.

mod actions;
mod calls;
mod clients;
mod clock;
mod discovery;
mod effects;
mod event;
mod faults;
mod instances;
mod recorder;
mod restarts;
mod servers;

use crate::clients::{ArrivalGenerator, ClientRequest, DestinationShares, stream_rng};
use crate::decider::{Decider, DeciderParameters};
use crate::destinations_state::{DestinationsState, seeded_rng};
use crate::fact::Fact;
use crate::network::Paths;
use crate::scenario::Scenario;
use calls::Call;
use clients::ActiveHotDestinations;
use clock::Clock;
use discovery::Discovery;
use effects::Effects;
use event::Event;
use instances::{GossipFault, InstanceHost};
use rand_pcg::Pcg64Mcg;
use recorder::Recorder;
use std::collections::BTreeMap;
use std::time::Duration;

pub use recorder::Report;

/// Time that a run may continue after the end of the scenario and the longest deadline, so that calls whose
/// instance no longer waits for them can finish.
const MAX_OVERRUN: Duration = Duration::from_secs(30);

/// Function that creates the decider of a starting instance.
type MakeDecider<'a> = &'a dyn Fn(&DeciderParameters) -> Box<dyn Decider>;

/// State of a run: the environment of the gateway instances, and the hosts that run them.
pub struct Simulation<'a> {
    scenario: &'a Scenario,
    make_decider: MakeDecider<'a>,
    seed: u64,
    clock: Clock<Event>,
    recorder: Recorder<'a>,
    /// Random number generator for the network, the endpoints, and the waits of clients.
    rng: Pcg64Mcg,
    /// Random number generator for the load balancer that distributes messages over the instances.
    balancer_rng: Pcg64Mcg,
    paths: Paths,
    destinations_state: DestinationsState<'a>,
    discovery: Discovery,
    streams: Vec<ArrivalGenerator>,
    shares: DestinationShares,
    hot_destinations: Vec<ActiveHotDestinations>,
    /// Messages without a final outcome, from their clients' point of view.
    requests: BTreeMap<u64, ClientRequest>,
    instances: Vec<InstanceHost>,
    gossip_faults: Vec<GossipFault>,
    calls: BTreeMap<u64, Call>,
    effects: Effects,
    /// Last number assigned to a client's request, a message or a call.
    last_number: u64,
}

impl<'a> Simulation<'a> {
    /// Runs `scenario` with a decider from `make_decider` for each instance, and reports each fact to `observer`.
    pub fn run(
        scenario: &Scenario,
        seed: u64,
        make_decider: &dyn Fn(&DeciderParameters) -> Box<dyn Decider>,
        mut observer: impl FnMut(Duration, &Fact),
    ) -> Report {
        let mut simulation = Simulation::new(scenario, seed, make_decider, &mut observer);
        simulation.set_up();
        let mut events = 0;
        while let Some(event) = simulation.next_event() {
            events += 1;
            simulation.handle(event);
        }
        simulation.recorder.finish(simulation.clock.now(), events)
    }

    fn new(
        scenario: &'a Scenario,
        seed: u64,
        make_decider: MakeDecider<'a>,
        observer: &'a mut dyn FnMut(Duration, &Fact),
    ) -> Self {
        Self {
            scenario,
            make_decider,
            seed,
            clock: Clock::new(),
            recorder: Recorder::new(scenario, observer),
            rng: seeded_rng(seed, 1),
            balancer_rng: seeded_rng(seed, 3),
            paths: Paths::new(scenario.network.clone()),
            destinations_state: DestinationsState::new(scenario, seed),
            discovery: Discovery::default(),
            streams: (0..scenario.arrivals.len())
                .map(|nth| ArrivalGenerator::new(stream_rng(seed, nth)))
                .collect(),
            shares: DestinationShares::new(scenario, |_| 1.0),
            hot_destinations: Vec::new(),
            requests: BTreeMap::new(),
            instances: Vec::new(),
            gossip_faults: Vec::new(),
            calls: BTreeMap::new(),
            effects: Effects::default(),
            last_number: 0,
        }
    }

    /// Lists the servers, starts the instances, and schedules the first arrivals and all faults.
    fn set_up(&mut self) {
        for server in 0..self.destinations_state.server_count() {
            self.list_server(server);
        }
        for instance in 0..self.scenario.instances.count as usize {
            self.start_instance(instance);
        }
        for stream in 0..self.scenario.arrivals.len() {
            self.schedule_arrival(stream);
        }
        for (fault, scheduled) in self.scenario.faults.iter().enumerate() {
            self.clock.schedule(scheduled.start, Event::FaultBegins { fault });
            self.clock.schedule(scheduled.start + scheduled.duration, Event::FaultEnds { fault });
        }
    }

    /// Advances to the next event and returns it; `None` when the run is over.
    fn next_event(&mut self) -> Option<Event> {
        let at = self.clock.next_time()?;
        let is_idle = self.requests.is_empty() && self.calls.is_empty();
        if at > self.latest_end() || at > self.scenario.length && is_idle {
            return None;
        }
        self.clock.advance()
    }

    /// Returns the time at which the run ends even if requests or calls are left.
    fn latest_end(&self) -> Duration {
        let longest = self
            .scenario
            .service_classes
            .iter()
            .map(|service_class| service_class.deadline)
            .max()
            .unwrap_or_default();
        self.scenario.length + longest + MAX_OVERRUN
    }

    fn handle(&mut self, event: Event) {
        if let Some(until) = self.instance_of(&event).and_then(|instance| self.stalled_until(instance)) {
            return self.clock.schedule(until, event);
        }
        match event {
            Event::Arrival { stream, count } => self.create_messages(stream, count),
            Event::Submission { request } => self.submit(request),
            Event::Connected { call } => self.finish_connecting(call),
            Event::CallArrives { call } => self.admit_call(call),
            Event::CallExecutes { call } => self.execute(call),
            Event::CallCompletes { call, server } => self.complete_call(call, server),
            Event::CallEnds { call, end } => self.end_call(call, end),
            Event::TimerFires { instance, incarnation } => self.fire_timer(instance, incarnation),
            Event::Gossip { instance, bytes } => self.receive_gossip(instance, &bytes),
            Event::EndpointsReported { instance, incarnation, update } => {
                self.receive_endpoints(instance, incarnation, update)
            }
            Event::DiscoveryFails { instance, incarnation } => self.fail_discovery(instance, incarnation),
            Event::FaultBegins { fault } => self.begin_fault(fault),
            Event::FaultEnds { fault } => self.end_fault(fault),
            Event::DrainBegins { entry, drain } => self.begin_drain(entry, drain),
            Event::DrainEnds { entry, drain } => self.end_drain(entry, &drain),
            Event::Restart { instance } => self.restart(instance),
        }
    }

    /// Returns the instance whose process handles an event, if any. While that process is stalled, the event is
    /// delayed.
    fn instance_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::CallEnds { call, .. } | Event::Connected { call } => {
                self.calls.get(call).map(|call| call.instance)
            }
            Event::TimerFires { instance, .. }
            | Event::Gossip { instance, .. }
            | Event::EndpointsReported { instance, .. }
            | Event::DiscoveryFails { instance, .. } => Some(*instance),
            _ => None,
        }
    }

    /// Schedules an event after a delay.
    fn schedule_after(&mut self, wait: Duration, event: Event) {
        self.clock.schedule(self.clock.now() + wait, event);
    }

    fn record_fact(&mut self, fact: &Fact) {
        self.recorder.record(self.clock.now(), fact);
    }

    /// Returns a number that no request, message or call has yet.
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
