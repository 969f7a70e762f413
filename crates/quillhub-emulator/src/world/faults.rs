//! Faults: what each does to the world when it begins, and what is undone when it ends.

use super::World;
use super::clients::HotSpot;
use super::couriers::GossipFault;
use crate::fact::Fact;
use crate::faults::{Does, Whom, chance_of_fault};
use crate::network::Spoilt;
use crate::trouble::How;
use std::collections::BTreeSet;

impl World<'_> {
    pub(super) fn fault_begins(&mut self, fault: usize) {
        self.fact(&Fact::Trouble { number: fault, begins: true });
        let planned = &self.day.faults[fault];
        let (whom, until) = (&planned.whom, planned.at + planned.lasts);
        match planned.what.does(planned) {
            Does::Strike(trouble) => {
                for server in self.servers_struck(fault, whom) {
                    self.strike_server(server, fault, trouble);
                }
            }
            Does::Spoil { from, to, how } => self.spoil_ways(fault, from.as_deref(), to.as_deref(), how),
            Does::Register(late) => self.discovery_fault_begins(fault, late),
            Does::Partial(share) => self.send_partial_snapshot(fault, planned, share),
            Does::Drain(drain) => self.drain(fault, planned, drain),
            Does::Crash { folder_lost } => {
                for courier in self.couriers_struck(fault, whom) {
                    self.kill(courier, folder_lost, until);
                }
            }
            Does::Stall => {
                for courier in self.couriers_struck(fault, whom) {
                    self.stall(courier, until);
                }
            }
            Does::Notes { lost, late } => self.gossip_faults.push(GossipFault { fault, lost, late }),
            Does::Crowd { stream, factor } => self.crowd(fault, stream, factor),
            Does::Heat(factor) => self.heat(fault, whom, factor),
        }
    }

    /// Undoes what a fault did, as far as it does not end by itself.
    pub(super) fn fault_ends(&mut self, fault: usize) {
        self.fact(&Fact::Trouble { number: fault, begins: false });
        let planned = &self.day.faults[fault];
        match planned.what.does(planned) {
            Does::Strike(_) => self.relieve_servers(fault),
            Does::Spoil { .. } => self.ways.spoilt.retain(|spoilt| spoilt.fault != fault),
            Does::Register(_) => self.discovery_fault_ends(fault),
            Does::Partial(_) => self.send_snapshot(),
            Does::Notes { .. } => self.gossip_faults.retain(|other| other.fault != fault),
            Does::Crowd { .. } => {
                self.streams.iter_mut().for_each(|stream| stream.factors.retain(|(by, _)| *by != fault));
            }
            Does::Heat(_) => {
                self.hot_spots.retain(|spot| spot.fault != fault);
                self.share_out();
            }
            Does::Drain(_) | Does::Crash { .. } | Does::Stall => {}
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
        for server in self.site.relieved(fault) {
            self.route_changes(self.site.servers[server].route);
        }
    }

    fn spoil_ways(&mut self, fault: usize, from: Option<&str>, to: Option<&str>, how: How) {
        let zones = &self.day.couriers.zones;
        let zone = |name: Option<&str>| name.and_then(|name| zones.iter().position(|zone| zone == name));
        self.ways.spoilt.push(Spoilt { fault, from: zone(from), to: zone(to), how });
    }

    /// The destinations that a fault strikes get more than their share of all messages.
    fn heat(&mut self, fault: usize, whom: &Whom, factor: f64) {
        let servers = self.servers_struck(fault, whom);
        let destinations = servers.into_iter().map(|server| self.site.servers[server].destination).collect();
        self.hot_spots.push(HotSpot { fault, destinations, factor });
        self.share_out();
    }
}
