//! Plays a day in virtual time. Each module beside this one extends [`World`] by one job: the couriers' hosts, the
//! clients, both sides of a call, service discovery, and the faults. This one holds the state that they share, and
//! hands each event to the module that it concerns.

mod actions;
mod calls;
mod clients;
mod clock;
mod couriers;
mod discovery;
mod effects;
mod event;
mod faults;
mod record;
mod restarts;
mod servers;

use crate::clients::{Order, Shares, Stream, stream_chance};
use crate::day::Day;
use crate::decider::{Decider, Start};
use crate::fact::Fact;
use crate::network::Paths;
use crate::site::{Site, chance};
use calls::Call;
use clients::HotSpot;
use clock::Clock;
use couriers::{CourierHost, GossipFault};
use discovery::Discovery;
use effects::Effects;
use event::Event;
use rand_pcg::Pcg64Mcg;
use record::Record;
use std::collections::BTreeMap;
use std::time::Duration;

pub use record::Report;

/// How long a run goes on past the day and the longest deadline, for calls that no one waits for any more.
const TAIL: Duration = Duration::from_secs(30);

/// What makes the decider of a courier that starts.
type Make<'a> = &'a dyn Fn(&Start) -> Box<dyn Decider>;

/// Everything that couriers serve, and the couriers' hosts, in the midst of a run.
pub struct World<'a> {
    day: &'a Day,
    make: Make<'a>,
    seed: u64,
    clock: Clock<Event>,
    record: Record<'a>,
    /// Chance of the network, of what endpoints do, and of clients' waits.
    rng: Pcg64Mcg,
    /// Chance of the front that deals messages out to couriers.
    front: Pcg64Mcg,
    paths: Paths,
    site: Site<'a>,
    discovery: Discovery,
    streams: Vec<Stream>,
    shares: Shares,
    hot_spots: Vec<HotSpot>,
    /// Messages as their clients see them.
    orders: BTreeMap<u64, Order>,
    couriers: Vec<CourierHost>,
    gossip_faults: Vec<GossipFault>,
    calls: BTreeMap<u64, Call>,
    effects: Effects,
    /// The last number given to an order, a message or a call.
    last_number: u64,
}

impl<'a> World<'a> {
    /// Plays `day` with one decider of `make` for each courier, and shows each fact to `seen`.
    pub fn run(
        day: &Day,
        seed: u64,
        make: &dyn Fn(&Start) -> Box<dyn Decider>,
        mut seen: impl FnMut(Duration, &Fact),
    ) -> Report {
        let mut world = World::new(day, seed, make, &mut seen);
        world.set_up();
        let mut events = 0;
        while let Some(event) = world.next_event() {
            events += 1;
            world.handle(event);
        }
        world.record.finish(world.clock.now(), events)
    }

    fn new(day: &'a Day, seed: u64, make: Make<'a>, observer: &'a mut dyn FnMut(Duration, &Fact)) -> Self {
        Self {
            day,
            make,
            seed,
            clock: Clock::new(),
            record: Record::new(day, observer),
            rng: chance(seed, 1),
            front: chance(seed, 3),
            paths: Paths::new(day.network.clone()),
            site: Site::new(day, seed),
            discovery: Discovery::default(),
            streams: (0..day.arrivals.len()).map(|nth| Stream::new(stream_chance(seed, nth))).collect(),
            shares: Shares::of(day, |_| 1.0),
            hot_spots: Vec::new(),
            orders: BTreeMap::new(),
            couriers: Vec::new(),
            gossip_faults: Vec::new(),
            calls: BTreeMap::new(),
            effects: Effects::default(),
            last_number: 0,
        }
    }

    /// Lists the servers, starts the couriers, and schedules the first arrivals and all faults.
    fn set_up(&mut self) {
        for server in 0..self.site.servers() {
            self.list_server(server);
        }
        for courier in 0..self.day.couriers.count as usize {
            self.start_courier(courier);
        }
        for stream in 0..self.day.arrivals.len() {
            self.schedule_arrival(stream);
        }
        for (fault, scheduled) in self.day.faults.iter().enumerate() {
            self.clock.at(scheduled.at, Event::FaultBegins { fault });
            self.clock.at(scheduled.at + scheduled.lasts, Event::FaultEnds { fault });
        }
    }

    /// Moves on to the next event; nothing once the run is over.
    fn next_event(&mut self) -> Option<Event> {
        let at = self.clock.next_at()?;
        let at_rest = self.orders.is_empty() && self.calls.is_empty();
        if at > self.end() || at > self.day.length && at_rest {
            return None;
        }
        self.clock.advance()
    }

    /// When a run ends at the latest.
    fn end(&self) -> Duration {
        let longest = self.day.grades.iter().map(|grade| grade.limit).max().unwrap_or_default();
        self.day.length + longest + TAIL
    }

    fn handle(&mut self, event: Event) {
        if let Some(until) = self.courier_of(&event).and_then(|courier| self.stalled_until(courier)) {
            return self.clock.at(until, event);
        }
        match event {
            Event::Arrival { stream, count } => self.arrival(stream, count),
            Event::Submission { order } => self.submit(order),
            Event::Connected { call } => self.connected(call),
            Event::CallArrives { call } => self.call_arrives(call),
            Event::RepeatSafety { call } => self.effect(call),
            Event::Served { call, server } => self.served(call, server),
            Event::CallEnds { call, end } => self.call_ends(call, end),
            Event::Wake { courier, life } => self.wake(courier, life),
            Event::Gossip { courier, octets } => self.gossip_arrives(courier, &octets),
            Event::EndpointsTold { courier, life, update } => self.endpoints_told(courier, life, update),
            Event::DiscoveryFails { courier, life } => self.discovery_fails(courier, life),
            Event::FaultBegins { fault } => self.fault_begins(fault),
            Event::FaultEnds { fault } => self.fault_ends(fault),
            Event::DrainBegins { entry, drain } => self.drain_begins(entry, drain),
            Event::DrainEnds { entry, drain } => self.drain_ends(entry, &drain),
            Event::Restart { courier } => self.restart(courier),
        }
    }

    /// The courier whose process an event needs, if it needs one: it waits until that no longer stands still.
    fn courier_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::CallEnds { call, .. } | Event::Connected { call } => {
                self.calls.get(call).map(|call| call.courier)
            }
            Event::Wake { courier, .. }
            | Event::Gossip { courier, .. }
            | Event::EndpointsTold { courier, .. }
            | Event::DiscoveryFails { courier, .. } => Some(*courier),
            _ => None,
        }
    }

    /// Schedules an event for after a while.
    fn after(&mut self, wait: Duration, event: Event) {
        self.clock.at(self.clock.now() + wait, event);
    }

    fn fact(&mut self, fact: &Fact) {
        self.record.fact(self.clock.now(), fact);
    }

    /// A number that no order, message or call has yet.
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
