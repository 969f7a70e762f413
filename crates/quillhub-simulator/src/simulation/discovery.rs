//! Service discovery: the endpoint list, and when instances hear of it.

use super::Simulation;
use super::event::{DiscoveryFault, Entries, Event, ListChange};
use crate::decider::Input;
use crate::fact::Fact;
use crate::faults::{Drain, ScheduledFault, chance_of_fault};
use crate::scenario::{DiscoveryForm, Rates};
use quillhub::{DestinationId, EndpointState, EndpointUpdate};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long a call to service discovery takes to fail when that is out of reach.
const CALL_FAILS_AFTER: Duration = Duration::from_millis(500);

/// One entry of the endpoint list.
pub(super) struct Entry {
    pub(super) name: String,
    pub(super) server: usize,
    destination: DestinationId,
    pub(super) listing: EndpointState,
    /// Nothing listens there any more.
    pub(super) removed: bool,
    rate: Option<f64>,
}

/// The endpoint list, and what is wrong with service discovery. Entries are never taken out, as calls may name them.
#[derive(Default)]
pub(super) struct Discovery {
    pub(super) entries: Vec<Entry>,
    by_name: BTreeMap<String, usize>,
    faults: Vec<DiscoveryFault>,
}

impl Discovery {
    /// The entry of that name.
    pub(super) fn find(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    fn add(&mut self, entry: Entry) -> usize {
        let number = self.entries.len();
        self.by_name.insert(entry.name.clone(), number);
        self.entries.push(entry);
        number
    }

    /// The whole list as it is.
    fn snapshot(&self) -> Entries {
        let listed =
            self.entries.iter().enumerate().filter(|(_, entry)| entry.listing != EndpointState::Removed);
        listed.map(|(number, entry)| (number, entry.listing)).collect()
    }

    /// Entries that calls may go to.
    pub(super) fn open(&self) -> impl Iterator<Item = (usize, &Entry)> {
        self.entries.iter().enumerate().filter(|(_, entry)| entry.listing == EndpointState::Available)
    }

    fn is_out_of_reach(&self) -> bool {
        self.faults.iter().any(|fault| fault.delay.is_none())
    }
}

impl<'a> Simulation<'a> {
    /// Adds an entry for a server to the endpoint list.
    pub(super) fn list_server(&mut self, server: usize) -> usize {
        let name = format!("e{}", self.discovery.entries.len() + 1);
        let of = &self.site.servers[server];
        let (route, destination) = (of.route, of.destination as u64 + 1);
        let zone = &self.scenario.instances.zones[of.zone];
        let rate = self.listed_rate(server);
        self.record.placed(self.clock.now(), &Fact::EndpointPlaced { endpoint: &name, zone, route });
        self.discovery.add(Entry {
            name,
            server,
            destination,
            listing: EndpointState::Available,
            removed: false,
            rate,
        })
    }

    /// What is listed of a server's rate.
    fn listed_rate(&self, server: usize) -> Option<f64> {
        let of = &self.site.servers[server];
        let per_s = self.site.route_rate(of.route);
        match self.scenario.discovery.rates {
            Rates::Absent => None,
            Rates::Exact => Some(per_s),
            Rates::Rough => Some(per_s * self.site.rough_rate_factors[of.destination]),
        }
    }

    fn pushes(&self) -> bool {
        self.scenario.discovery.form == DiscoveryForm::Push
    }

    pub(super) fn discovery_fault_begins(&mut self, fault: usize, delay: Option<Duration>) {
        self.discovery.faults.push(DiscoveryFault { fault, delay });
        if delay.is_none() && !self.pushes() {
            self.break_watches();
        }
    }

    /// Every watch fails, each at a moment of its own.
    fn break_watches(&mut self) {
        for instance in 0..self.instances.len() {
            let host = &self.instances[instance];
            let incarnation = host.incarnation;
            if host.alive && host.watches {
                let wait = CALL_FAILS_AFTER.mul_f64(self.rng.random());
                self.after(wait, Event::DiscoveryFails { instance, incarnation });
            }
        }
    }

    pub(super) fn discovery_fault_ends(&mut self, fault: usize) {
        self.discovery.faults.retain(|other| other.fault != fault);
        if self.pushes() {
            self.send_snapshot();
        }
    }

    /// An instance hears that its call to service discovery failed.
    pub(super) fn discovery_fails(&mut self, instance: usize, incarnation: u32) {
        if self.lives(instance, incarnation) {
            self.instances[instance].watches = false;
            self.hand_inputs(instance, &[Input::EndpointListFailed]);
        }
    }

    /// How long it takes until an instance hears of a change.
    fn notification_delay(&mut self) -> Duration {
        let usual = self.scenario.discovery.delay.mul_f64(1.0 + self.rng.random::<f64>());
        usual + self.discovery.faults.iter().filter_map(|fault| fault.delay).sum::<Duration>()
    }

    /// Tells an instance that starts the list that it had, or the true one at its first start. Where changes are
    /// pushed it counts as asked for, and the true list follows.
    pub(super) fn tell_first_list(&mut self, instance: usize) {
        let submitted = self.pushes();
        let known = &self.instances[instance].known;
        let first = known.is_empty();
        let entries = if first {
            self.discovery.snapshot()
        } else {
            known.iter().map(|(entry, listing)| (*entry, *listing)).collect()
        };
        self.tell_endpoints(instance, ListChange::Snapshot(entries), submitted);
        if submitted && !first {
            let wait = self.notification_delay();
            if !self.discovery.is_out_of_reach() {
                let update = ListChange::Snapshot(self.discovery.snapshot());
                self.send_update(instance, wait, update);
            }
        }
    }

    fn send_update(&mut self, instance: usize, wait: Duration, update: ListChange) {
        let incarnation = self.instances[instance].incarnation;
        self.after(wait, Event::EndpointsTold { instance, incarnation, update });
    }

    /// An instance asks for changes from now on; the whole list comes first.
    pub(super) fn watch(&mut self, instance: usize) {
        if self.discovery.is_out_of_reach() {
            let incarnation = self.instances[instance].incarnation;
            return self.after(CALL_FAILS_AFTER, Event::DiscoveryFails { instance, incarnation });
        }
        self.instances[instance].watches = true;
        let wait = self.notification_delay();
        let update = ListChange::Snapshot(self.discovery.snapshot());
        self.send_update(instance, wait, update);
    }

    /// An instance hears of endpoints.
    pub(super) fn endpoints_told(&mut self, instance: usize, incarnation: u32, update: ListChange) {
        if self.lives(instance, incarnation) {
            self.tell_endpoints(instance, update, true);
        }
    }

    fn tell_endpoints(&mut self, instance: usize, update: ListChange, submitted: bool) {
        let (entries, whole) = match update {
            ListChange::Changes(entries) => (entries, false),
            ListChange::Snapshot(entries) => (entries, true),
        };
        self.learn(instance, &entries);
        if whole {
            self.learn(instance, &self.left_out(instance, &entries));
        }
        self.pass_on_endpoints(instance, &entries, whole, submitted);
    }

    /// What an instance knows and a whole list leaves out.
    fn left_out(&self, instance: usize, snapshot: &Entries) -> Entries {
        let named: BTreeSet<_> = snapshot.iter().map(|(entry, _)| *entry).collect();
        let known = self.instances[instance].known.keys();
        known.filter(|entry| !named.contains(entry)).map(|entry| (*entry, EndpointState::Removed)).collect()
    }

    /// An instance's host keeps what it learns; a fact for each change.
    fn learn(&mut self, instance: usize, entries: &Entries) {
        for (entry, listing) in entries.iter().copied() {
            let known = &mut self.instances[instance].known;
            let before = match listing {
                EndpointState::Removed => known.remove(&entry),
                other => known.insert(entry, other),
            };
            if before != Some(listing) {
                let endpoint = self.discovery.entries[entry].name.clone();
                self.fact(&Fact::EndpointLearned { instance, endpoint: &endpoint, state: listing });
            }
        }
    }

    /// An instance's decider gets the endpoints as inputs.
    fn pass_on_endpoints(&mut self, instance: usize, entries: &Entries, whole: bool, submitted: bool) {
        let names: Vec<_> =
            entries.iter().map(|(entry, _)| self.discovery.entries[*entry].name.clone()).collect();
        let snapshot: Option<BTreeSet<_>> = whole.then(|| names.iter().cloned().collect());
        let rows = entries.iter().zip(&names);
        let mut inputs: Vec<_> =
            rows.map(|((entry, listing), name)| self.listed(name, *entry, *listing)).collect();
        inputs.push(Input::EndpointListEnded { snapshot: snapshot.as_ref(), from_discovery: submitted });
        self.hand_inputs(instance, &inputs);
    }

    /// The input for one entry.
    fn listed<'s>(&self, endpoint: &'s str, entry: usize, listing: EndpointState) -> Input<'s>
    where
        'a: 's,
    {
        let entry = &self.discovery.entries[entry];
        let server = &self.site.servers[entry.server];
        Input::EndpointUpdated(EndpointUpdate {
            name: endpoint,
            zone: &self.scenario.instances.zones[server.zone],
            kind: &self.scenario.destinations[server.kind].kind,
            destination: entry.destination,
            state: listing,
            listed_rate: entry.rate,
        })
    }

    /// An entry's state changes, and instances hear of it.
    fn change_listing(&mut self, entry: usize, listing: EndpointState) {
        self.discovery.entries[entry].listing = listing;
        if !self.discovery.is_out_of_reach() {
            self.send_to_all(|| ListChange::Changes(vec![(entry, listing)]));
        }
    }

    /// Sends the true list to all who hear.
    pub(super) fn send_snapshot(&mut self) {
        let entries = self.discovery.snapshot();
        self.send_to_all(|| ListChange::Snapshot(entries.clone()));
    }

    /// Sends a list without a share of the endpoints that a fault strikes.
    pub(super) fn send_partial_snapshot(&mut self, fault: usize, scheduled: &ScheduledFault, share: f64) {
        let mut rng = chance_of_fault(self.seed, fault);
        let struck: BTreeSet<_> = self.servers_struck(fault, &scheduled.target).into_iter().collect();
        let mut entries = self.discovery.snapshot();
        entries.retain(|(entry, _)| {
            let server = self.discovery.entries[*entry].server;
            !struck.contains(&server) || rng.random::<f64>() >= share
        });
        self.send_to_all(|| ListChange::Snapshot(entries.clone()));
    }

    /// Sends an update to every instance that hears of changes, to each with a delay of its own.
    fn send_to_all(&mut self, update: impl Fn() -> ListChange) {
        for instance in 0..self.instances.len() {
            let host = &self.instances[instance];
            if host.alive && (self.pushes() || host.watches) {
                let wait = self.notification_delay();
                self.send_update(instance, wait, update());
            }
        }
    }

    /// The endpoints that a fault strikes drain one after the other over its time.
    pub(super) fn drain(&mut self, fault: usize, scheduled: &ScheduledFault, drain: &Drain) {
        let struck: BTreeSet<_> = self.servers_struck(fault, &scheduled.target).into_iter().collect();
        let open = self.discovery.open().filter(|(_, entry)| struck.contains(&entry.server));
        let entries: Vec<_> = open.map(|(number, _)| number).collect();
        let each = scheduled.lasts / entries.len().max(1) as u32;
        for (nth, entry) in entries.into_iter().enumerate() {
            self.after(each * nth as u32, Event::DrainBegins { entry, drain: drain.clone() });
        }
    }

    pub(super) fn drain_begins(&mut self, entry: usize, drain: Drain) {
        self.change_listing(entry, EndpointState::Draining);
        if drain.replaced {
            self.replace(entry, drain.same_address);
        }
        self.after(drain.gone_after, Event::DrainEnds { entry, drain });
    }

    pub(super) fn drain_ends(&mut self, entry: usize, drain: &Drain) {
        self.change_listing(entry, EndpointState::Removed);
        // At an address that is used again, calls to the old id go on arriving.
        self.discovery.entries[entry].removed = !(drain.replaced && drain.same_address);
    }

    /// Lists a new endpoint for one that drains.
    fn replace(&mut self, entry: usize, same_address: bool) {
        let old = &self.discovery.entries[entry];
        let (old_server, rate) = (old.server, old.rate);
        let server = if same_address { old_server } else { self.site.replace_server(old_server) };
        let new = self.list_server(server);
        self.discovery.entries[new].rate = rate;
        self.change_listing(new, EndpointState::Available);
    }
}
