//! Start and end of faults in the simulation.

use super::Simulation;
use super::clients::ActiveHotDestinations;
use super::instances::GossipFault;
use crate::active_faults::PathFault;
use crate::fact::Fact;
use crate::faults::{Injection, Target, target_rng};
use crate::network::ImpairedPath;
use std::collections::BTreeSet;

impl Simulation<'_> {
    /// Applies a fault to the parts of the simulation that it affects.
    pub(super) fn begin_fault(&mut self, fault: usize) {
        self.record_fact(&Fact::FaultChanged { number: fault, begins: true });
        let scheduled = &self.scenario.faults[fault];
        let (target, until) = (&scheduled.target, scheduled.start + scheduled.duration);
        match scheduled.fault.injection(scheduled) {
            Injection::Servers(server_fault) => {
                for server in self.affected_servers(fault, target) {
                    self.begin_server_fault(server, fault, server_fault);
                }
            }
            Injection::Paths { from, to, kind } => {
                self.impair_paths(fault, from.as_deref(), to.as_deref(), kind);
            }
            Injection::Discovery(delay) => self.begin_discovery_fault(fault, delay),
            Injection::PartialSnapshot(share) => self.send_partial_snapshot(fault, scheduled, share),
            Injection::Drain(drain) => self.schedule_drains(fault, scheduled, drain),
            Injection::Crash { state_directory_lost } => {
                for instance in self.affected_instances(fault, target) {
                    self.kill(instance, state_directory_lost, until);
                }
            }
            Injection::Stall => {
                for instance in self.affected_instances(fault, target) {
                    self.stall(instance, until);
                }
            }
            Injection::Gossip { lost_share, delay } => {
                self.gossip_faults.push(GossipFault { fault, lost_share, delay })
            }
            Injection::TrafficSurge { stream, factor } => self.begin_surge(fault, stream, factor),
            Injection::HotDestinations(factor) => self.add_hot_spot(fault, target, factor),
        }
    }

    /// Ends a fault. Drains, crashes and stalls need nothing here, because they schedule their own end.
    pub(super) fn end_fault(&mut self, fault: usize) {
        self.record_fact(&Fact::FaultChanged { number: fault, begins: false });
        let scheduled = &self.scenario.faults[fault];
        match scheduled.fault.injection(scheduled) {
            Injection::Servers(_) => self.end_server_faults(fault),
            Injection::Paths { .. } => self.paths.impaired.retain(|impaired| impaired.fault != fault),
            Injection::Discovery(_) => self.end_discovery_fault(fault),
            Injection::PartialSnapshot(_) => self.send_snapshot(),
            Injection::Gossip { .. } => self.gossip_faults.retain(|other| other.fault != fault),
            Injection::TrafficSurge { .. } => {
                self.streams.iter_mut().for_each(|stream| stream.factors.retain(|(by, _)| *by != fault));
            }
            Injection::HotDestinations(_) => {
                self.hot_destinations.retain(|hot| hot.fault != fault);
                self.update_shares();
            }
            Injection::Drain(_) | Injection::Crash { .. } | Injection::Stall => {}
        }
    }

    /// Chooses the servers that a fault affects, among those with an available endpoint.
    pub(super) fn affected_servers(&self, fault: usize, target: &Target) -> Vec<usize> {
        let listening = self.discovery.available().filter(|(_, entry)| !entry.address_closed);
        let available: BTreeSet<_> = listening.map(|(_, entry)| entry.server).collect();
        self.destinations_state.affected_servers(fault, target, |server| available.contains(&server))
    }

    fn affected_instances(&self, fault: usize, target: &Target) -> Vec<usize> {
        let in_zone = |instance: usize| {
            let zone = &self.scenario.instances.zones[self.instances[instance].zone];
            target.zone.as_ref().is_none_or(|wanted| wanted == zone)
        };
        target.choose(self.instances.len(), in_zone, &mut target_rng(self.seed, fault))
    }

    fn end_server_faults(&mut self, fault: usize) {
        for server in self.destinations_state.remove_fault(fault) {
            self.update_route(self.destinations_state.servers[server].route);
        }
    }

    fn impair_paths(&mut self, fault: usize, from: Option<&str>, to: Option<&str>, kind: PathFault) {
        let zones = &self.scenario.instances.zones;
        let zone = |name: Option<&str>| name.and_then(|name| zones.iter().position(|zone| zone == name));
        self.paths.impaired.push(ImpairedPath { fault, from: zone(from), to: zone(to), kind });
    }

    /// Multiplies the share of messages of the destinations that a fault affects by `factor`.
    fn add_hot_spot(&mut self, fault: usize, target: &Target, factor: f64) {
        let servers = self.affected_servers(fault, target);
        let destinations =
            servers.into_iter().map(|server| self.destinations_state.servers[server].destination).collect();
        self.hot_destinations.push(ActiveHotDestinations { fault, destinations, factor });
        self.update_shares();
    }
}
