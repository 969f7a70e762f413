//! Faults: what each does to the world when it begins, and what is undone when it ends.

use super::World;
use super::clients::HotSpot;
use super::couriers::GossipFault;
use crate::conditions::PathFault;
use crate::fact::Fact;
use crate::faults::{Injection, Whom, chance_of_fault};
use crate::network::ImpairedPath;
use std::collections::BTreeSet;

impl World<'_> {
    pub(super) fn fault_begins(&mut self, fault: usize) {
        self.fact(&Fact::Fault { number: fault, begins: true });
        let scheduled = &self.day.faults[fault];
        let (whom, until) = (&scheduled.whom, scheduled.at + scheduled.lasts);
        match scheduled.what.injection(scheduled) {
            Injection::Servers(server_fault) => {
                for server in self.servers_struck(fault, whom) {
                    self.strike_server(server, fault, server_fault);
                }
            }
            Injection::Paths { from, to, kind } => {
                self.impair_paths(fault, from.as_deref(), to.as_deref(), kind);
            }
            Injection::Discovery(late) => self.discovery_fault_begins(fault, late),
            Injection::Partial(share) => self.send_partial_snapshot(fault, scheduled, share),
            Injection::Drain(drain) => self.drain(fault, scheduled, drain),
            Injection::Crash { folder_lost } => {
                for courier in self.couriers_struck(fault, whom) {
                    self.kill(courier, folder_lost, until);
                }
            }
            Injection::Stall => {
                for courier in self.couriers_struck(fault, whom) {
                    self.stall(courier, until);
                }
            }
            Injection::Gossip { lost, late } => self.gossip_faults.push(GossipFault { fault, lost, late }),
            Injection::Crowd { stream, factor } => self.crowd(fault, stream, factor),
            Injection::Heat(factor) => self.heat(fault, whom, factor),
        }
    }

    /// Undoes what a fault did, as far as it does not end by itself.
    pub(super) fn fault_ends(&mut self, fault: usize) {
        self.fact(&Fact::Fault { number: fault, begins: false });
        let scheduled = &self.day.faults[fault];
        match scheduled.what.injection(scheduled) {
            Injection::Servers(_) => self.relieve_servers(fault),
            Injection::Paths { .. } => self.paths.impaired.retain(|impaired| impaired.fault != fault),
            Injection::Discovery(_) => self.discovery_fault_ends(fault),
            Injection::Partial(_) => self.send_snapshot(),
            Injection::Gossip { .. } => self.gossip_faults.retain(|other| other.fault != fault),
            Injection::Crowd { .. } => {
                self.streams.iter_mut().for_each(|stream| stream.factors.retain(|(by, _)| *by != fault));
            }
            Injection::Heat(_) => {
                self.hot_spots.retain(|spot| spot.fault != fault);
                self.share_out();
            }
            Injection::Drain(_) | Injection::Crash { .. } | Injection::Stall => {}
        }
    }

    /// The servers that a fault strikes, of those behind an endpoint that is listed as open.
    pub(super) fn servers_struck(&self, fault: usize, whom: &Whom) -> Vec<usize> {
        let listening = self.discovery.open().filter(|(_, entry)| !entry.removed);
        let open: BTreeSet<_> = listening.map(|(_, entry)| entry.server).collect();
        self.site.struck(fault, whom, |server| open.contains(&server))
    }

    fn couriers_struck(&self, fault: usize, whom: &Whom) -> Vec<usize> {
        let in_zone = |courier: usize| {
            let zone = &self.day.couriers.zones[self.couriers[courier].zone];
            whom.zone.as_ref().is_none_or(|wanted| wanted == zone)
        };
        whom.choose(self.couriers.len(), in_zone, &mut chance_of_fault(self.seed, fault))
    }

    fn relieve_servers(&mut self, fault: usize) {
        for server in self.site.relieve(fault) {
            self.route_changes(self.site.servers[server].route);
        }
    }

    fn impair_paths(&mut self, fault: usize, from: Option<&str>, to: Option<&str>, kind: PathFault) {
        let zones = &self.day.couriers.zones;
        let zone = |name: Option<&str>| name.and_then(|name| zones.iter().position(|zone| zone == name));
        self.paths.impaired.push(ImpairedPath { fault, from: zone(from), to: zone(to), kind });
    }

    /// The destinations that a fault strikes get more than their share of all messages.
    fn heat(&mut self, fault: usize, whom: &Whom, factor: f64) {
        let servers = self.servers_struck(fault, whom);
        let destinations = servers.into_iter().map(|server| self.site.servers[server].destination).collect();
        self.hot_spots.push(HotSpot { fault, destinations, factor });
        self.share_out();
    }
}
