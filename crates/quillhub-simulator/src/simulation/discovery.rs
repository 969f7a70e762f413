//! Service discovery: the endpoint list, and the delivery of its updates to instances.

use super::Simulation;
use super::event::{DiscoveryFault, Entries, Event, ListChange};
use crate::decider::Input;
use crate::fact::Fact;
use crate::faults::{Drain, ScheduledFault, target_rng};
use crate::scenario::{DiscoveryForm, ListedRates};
use quillhub::{DestinationId, EndpointState, EndpointUpdate};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time until a request to service discovery fails while it is unreachable.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Entry of the endpoint list.
pub(super) struct Entry {
    pub(super) name: String,
    pub(super) server: usize,
    destination: DestinationId,
    pub(super) state: EndpointState,
    /// `true` once nothing listens at the endpoint's address any more.
    pub(super) address_closed: bool,
    rate: Option<f64>,
}

/// Endpoint list, and the active faults of service discovery. Entries are never deleted, because calls refer to them.
#[derive(Default)]
pub(super) struct Discovery {
    pub(super) entries: Vec<Entry>,
    by_name: BTreeMap<String, usize>,
    faults: Vec<DiscoveryFault>,
}

impl Discovery {
    /// Returns the number of the entry with a name.
    pub(super) fn find(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    fn add(&mut self, entry: Entry) -> usize {
        let number = self.entries.len();
        self.by_name.insert(entry.name.clone(), number);
        self.entries.push(entry);
        number
    }

    /// Returns the full list in its current state.
    fn snapshot(&self) -> Entries {
        let listed =
            self.entries.iter().enumerate().filter(|(_, entry)| entry.state != EndpointState::Removed);
        listed.map(|(number, entry)| (number, entry.state)).collect()
    }

    /// Returns the entries that may be called.
    pub(super) fn available(&self) -> impl Iterator<Item = (usize, &Entry)> {
        self.entries.iter().enumerate().filter(|(_, entry)| entry.state == EndpointState::Available)
    }

    /// Returns `true` while a fault makes service discovery unreachable.
    fn is_unreachable(&self) -> bool {
        self.faults.iter().any(|fault| fault.delay.is_none())
    }
}

impl<'a> Simulation<'a> {
    /// Adds an entry for a server to the endpoint list, and returns its number.
    pub(super) fn list_server(&mut self, server: usize) -> usize {
        let name = format!("e{}", self.discovery.entries.len() + 1);
        let server_state = &self.destinations_state.servers[server];
        let (route, destination) = (server_state.route, server_state.destination as u64 + 1);
        let zone = &self.scenario.instances.zones[server_state.zone];
        let rate = self.listed_rate(server);
        self.recorder
            .record_placement(self.clock.now(), &Fact::EndpointPlaced { endpoint: &name, zone, route });
        self.discovery.add(Entry {
            name,
            server,
            destination,
            state: EndpointState::Available,
            address_closed: false,
            rate,
        })
    }

    /// Returns the rate that is listed for a server, in calls per second, if the scenario lists rates.
    fn listed_rate(&self, server: usize) -> Option<f64> {
        let server_state = &self.destinations_state.servers[server];
        let per_s = self.destinations_state.route_rate(server_state.route);
        match self.scenario.discovery.rates {
            ListedRates::Absent => None,
            ListedRates::Exact => Some(per_s),
            ListedRates::Approximate => {
                Some(per_s * self.destinations_state.listed_rate_factors[server_state.destination])
            }
        }
    }

    /// Returns `true` if discovery sends changes to every instance without a watch.
    fn pushes(&self) -> bool {
        self.scenario.discovery.form == DiscoveryForm::Push
    }

    /// Adds a delay to the updates of service discovery, or makes it unreachable if `delay` is `None`. An unreachable
    /// discovery breaks all watches.
    pub(super) fn begin_discovery_fault(&mut self, fault: usize, delay: Option<Duration>) {
        self.discovery.faults.push(DiscoveryFault { fault, delay });
        if delay.is_none() && !self.pushes() {
            self.break_watches();
        }
    }

    /// Makes every watch fail, each after its own random delay.
    fn break_watches(&mut self) {
        for instance in 0..self.instances.len() {
            let host = &self.instances[instance];
            let incarnation = host.incarnation;
            if host.alive && host.is_watching {
                let wait = UNREACHABLE_TIMEOUT.mul_f64(self.rng.random());
                self.schedule_after(wait, Event::DiscoveryFails { instance, incarnation });
            }
        }
    }

    /// Ends a fault of service discovery. Discovery that pushes changes then sends the full list.
    pub(super) fn end_discovery_fault(&mut self, fault: usize) {
        self.discovery.faults.retain(|other| other.fault != fault);
        if self.pushes() {
            self.send_snapshot();
        }
    }

    /// Reports a failed request to service discovery to its instance.
    pub(super) fn fail_discovery(&mut self, instance: usize, incarnation: u32) {
        if self.is_current(instance, incarnation) {
            self.instances[instance].is_watching = false;
            self.process_inputs(instance, &[Input::EndpointListFailed]);
        }
    }

    /// Draws the time until an instance receives a change.
    fn notification_delay(&mut self) -> Duration {
        let base_delay = self.scenario.discovery.delay.mul_f64(1.0 + self.rng.random::<f64>());
        base_delay + self.discovery.faults.iter().filter_map(|fault| fault.delay).sum::<Duration>()
    }

    /// Reports the endpoint list to a starting instance: the list that it knew before a restart, or the true one if it
    /// knows no endpoints yet. If discovery pushes changes, the report counts as one from discovery, and after a
    /// restart the true list follows.
    pub(super) fn report_initial_list(&mut self, instance: usize) {
        let from_discovery = self.pushes();
        let known = &self.instances[instance].known_entries;
        let knows_no_endpoints = known.is_empty();
        let entries = if knows_no_endpoints {
            self.discovery.snapshot()
        } else {
            known.iter().map(|(entry, state)| (*entry, *state)).collect()
        };
        self.report_endpoints(instance, ListChange::Snapshot(entries), from_discovery);
        if from_discovery && !knows_no_endpoints {
            let wait = self.notification_delay();
            if !self.discovery.is_unreachable() {
                let update = ListChange::Snapshot(self.discovery.snapshot());
                self.send_update(instance, wait, update);
            }
        }
    }

    /// Sends an update that arrives at an instance after `wait`.
    fn send_update(&mut self, instance: usize, wait: Duration, update: ListChange) {
        let incarnation = self.instances[instance].incarnation;
        self.schedule_after(wait, Event::EndpointsReported { instance, incarnation, update });
    }

    /// Starts an instance's watch for changes, and sends it the full list first. The request fails if service discovery
    /// is unreachable.
    pub(super) fn watch(&mut self, instance: usize) {
        if self.discovery.is_unreachable() {
            let incarnation = self.instances[instance].incarnation;
            return self.schedule_after(UNREACHABLE_TIMEOUT, Event::DiscoveryFails { instance, incarnation });
        }
        self.instances[instance].is_watching = true;
        let wait = self.notification_delay();
        let update = ListChange::Snapshot(self.discovery.snapshot());
        self.send_update(instance, wait, update);
    }

    /// Handles the arrival of an update from service discovery at an instance.
    pub(super) fn receive_endpoints(&mut self, instance: usize, incarnation: u32, update: ListChange) {
        if self.is_current(instance, incarnation) {
            self.report_endpoints(instance, update, true);
        }
    }

    /// Updates the list that an instance knows, and reports the update to its decider.
    fn report_endpoints(&mut self, instance: usize, update: ListChange, from_discovery: bool) {
        let (entries, is_snapshot) = match update {
            ListChange::Changes(entries) => (entries, false),
            ListChange::Snapshot(entries) => (entries, true),
        };
        self.update_known(instance, &entries);
        if is_snapshot {
            self.update_known(instance, &self.missing_entries(instance, &entries));
        }
        self.report_to_decider(instance, &entries, is_snapshot, from_discovery);
    }

    /// Returns the entries that an instance knows and that are missing from a full list, as removed.
    fn missing_entries(&self, instance: usize, snapshot: &Entries) -> Entries {
        let named: BTreeSet<_> = snapshot.iter().map(|(entry, _)| *entry).collect();
        let known = self.instances[instance].known_entries.keys();
        known.filter(|entry| !named.contains(entry)).map(|entry| (*entry, EndpointState::Removed)).collect()
    }

    /// Stores entries in the list that an instance knows, and records a fact for each change.
    fn update_known(&mut self, instance: usize, entries: &Entries) {
        for (entry, state) in entries.iter().copied() {
            let known = &mut self.instances[instance].known_entries;
            let before = match state {
                EndpointState::Removed => known.remove(&entry),
                other => known.insert(entry, other),
            };
            if before != Some(state) {
                let endpoint = self.discovery.entries[entry].name.clone();
                self.record_fact(&Fact::EndpointLearned { instance, endpoint: &endpoint, state });
            }
        }
    }

    /// Reports entries of the endpoint list to an instance's decider.
    fn report_to_decider(
        &mut self,
        instance: usize,
        entries: &Entries,
        is_snapshot: bool,
        from_discovery: bool,
    ) {
        let names: Vec<_> =
            entries.iter().map(|(entry, _)| self.discovery.entries[*entry].name.clone()).collect();
        let snapshot: Option<BTreeSet<_>> = is_snapshot.then(|| names.iter().cloned().collect());
        let rows = entries.iter().zip(&names);
        let mut inputs: Vec<_> =
            rows.map(|((entry, state), name)| self.endpoint_input(name, *entry, *state)).collect();
        inputs.push(Input::EndpointListEnded { snapshot: snapshot.as_ref(), from_discovery });
        self.process_inputs(instance, &inputs);
    }

    /// Returns the input that reports one entry to a decider.
    fn endpoint_input<'s>(&self, endpoint: &'s str, entry: usize, state: EndpointState) -> Input<'s>
    where
        'a: 's,
    {
        let entry = &self.discovery.entries[entry];
        let server = &self.destinations_state.servers[entry.server];
        Input::EndpointUpdated(EndpointUpdate {
            name: endpoint,
            zone: &self.scenario.instances.zones[server.zone],
            kind: &self.scenario.destinations[server.kind].kind,
            destination: entry.destination,
            state,
            listed_rate: entry.rate,
        })
    }

    /// Changes the state of an entry, and sends the change to the instances.
    fn change_listing(&mut self, entry: usize, state: EndpointState) {
        self.discovery.entries[entry].state = state;
        if !self.discovery.is_unreachable() {
            self.send_to_all(|| ListChange::Changes(vec![(entry, state)]));
        }
    }

    /// Sends the full list to all instances that receive updates.
    pub(super) fn send_snapshot(&mut self) {
        let entries = self.discovery.snapshot();
        self.send_to_all(|| ListChange::Snapshot(entries.clone()));
    }

    /// Sends a list without a random share of the endpoints that a fault affects.
    pub(super) fn send_partial_snapshot(&mut self, fault: usize, scheduled: &ScheduledFault, share: f64) {
        let mut rng = target_rng(self.seed, fault);
        let affected: BTreeSet<_> = self.affected_servers(fault, &scheduled.target).into_iter().collect();
        let mut entries = self.discovery.snapshot();
        entries.retain(|(entry, _)| {
            let server = self.discovery.entries[*entry].server;
            !affected.contains(&server) || rng.random::<f64>() >= share
        });
        self.send_to_all(|| ListChange::Snapshot(entries.clone()));
    }

    /// Sends an update to every instance that receives updates, with a separate delay for each.
    fn send_to_all(&mut self, update: impl Fn() -> ListChange) {
        for instance in 0..self.instances.len() {
            let host = &self.instances[instance];
            if host.alive && (self.pushes() || host.is_watching) {
                let wait = self.notification_delay();
                self.send_update(instance, wait, update());
            }
        }
    }

    /// Schedules the drains of the endpoints that a fault affects, spread evenly over the duration of the fault.
    pub(super) fn schedule_drains(&mut self, fault: usize, scheduled: &ScheduledFault, drain: &Drain) {
        let affected: BTreeSet<_> = self.affected_servers(fault, &scheduled.target).into_iter().collect();
        let available = self.discovery.available().filter(|(_, entry)| affected.contains(&entry.server));
        let entries: Vec<_> = available.map(|(number, _)| number).collect();
        let interval = scheduled.duration / entries.len().max(1) as u32;
        for (nth, entry) in entries.into_iter().enumerate() {
            self.schedule_after(interval * nth as u32, Event::DrainBegins { entry, drain: drain.clone() });
        }
    }

    /// Marks an endpoint as draining, and lists its replacement if the fault has one.
    pub(super) fn begin_drain(&mut self, entry: usize, drain: Drain) {
        self.change_listing(entry, EndpointState::Draining);
        if drain.replaced {
            self.list_replacement(entry, drain.same_address);
        }
        self.schedule_after(drain.gone_after, Event::DrainEnds { entry, drain });
    }

    /// Removes a drained endpoint from the list.
    pub(super) fn end_drain(&mut self, entry: usize, drain: &Drain) {
        self.change_listing(entry, EndpointState::Removed);
        // If the new endpoint uses the same address, calls to the old endpoint's name still arrive.
        self.discovery.entries[entry].address_closed = !(drain.replaced && drain.same_address);
    }

    /// Lists a new endpoint that replaces a draining one.
    fn list_replacement(&mut self, entry: usize, same_address: bool) {
        let old = &self.discovery.entries[entry];
        let (old_server, rate) = (old.server, old.rate);
        let server =
            if same_address { old_server } else { self.destinations_state.replace_server(old_server) };
        let new = self.list_server(server);
        self.discovery.entries[new].rate = rate;
        self.change_listing(new, EndpointState::Available);
    }
}
