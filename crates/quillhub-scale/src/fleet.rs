//! All that surrounds the real instances of one point: discovery and platform, destinations, the relay between
//! peers, and the lightweight instances.

use crate::bounds::LIGHTWEIGHT_PER_THREAD;
use crate::control::Control;
use crate::destinations::{self, Destinations, HANGING};
use crate::gossip::Relay;
use crate::lightweight::{Common, Group, Status};
use crate::plan::Sizes;
use quillhub_fakes::traffic::Counts;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How often a condition is looked at.
const LOOK: Duration = Duration::from_millis(2);

/// How long after a change it was in force at the instance in the middle, and at the last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InForce {
    /// At half of the instances.
    pub median: Duration,
    /// At the last.
    pub worst: Duration,
}

/// What the lightweight instances have exchanged with discovery and platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exchanged {
    /// With discovery.
    pub discovery: Counts,
    /// With the platform.
    pub platform: Counts,
    /// Final outcomes that the platform confirmed, of real instances too.
    pub finals: u64,
    /// Watches and other connections to discovery that are open.
    pub open: u64,
}

/// The surroundings, running.
pub struct Fleet {
    pub(crate) control: Control,
    pub(crate) destinations: Destinations,
    pub(crate) relay: Relay,
    groups: Vec<Group>,
    /// Destinations that answer.
    healthy: u64,
    beginning: Instant,
}

impl Fleet {
    /// Starts all of it; `real` instances will join later.
    pub fn start(sizes: &Sizes, seed: u64, real: u64) -> Result<Self, String> {
        let beginning = Instant::now();
        let destinations = Destinations::start()?;
        let hanging = if sizes.backlog > 0 { HANGING } else { 0 };
        let control = Control::start(destinations.listed(sizes.destinations, hanging))?;
        let relay = Relay::start()?;
        let common = Common {
            control: control.for_lightweight,
            peers: relay.at,
            instances: sizes.lightweight_instances + real,
            destinations: sizes.destinations,
            seed,
            beginning,
        };
        let mut groups = Vec::new();
        let mut first = 0;
        while first < sizes.lightweight_instances {
            let count = LIGHTWEIGHT_PER_THREAD.min(sizes.lightweight_instances - first);
            let group = Group::start(common, first, count)?;
            group.addresses.iter().for_each(|address| relay.join(*address));
            groups.push(group);
            first += count;
        }
        Ok(Self { control, destinations, relay, groups, healthy: sizes.destinations, beginning })
    }

    fn statuses(&self) -> impl Iterator<Item = &Status> {
        self.groups.iter().flat_map(|group| &group.statuses).map(AsRef::as_ref)
    }

    /// Waits until all lightweight instances are ready; false if some are not by `until`.
    pub async fn ready(&self, until: Instant) -> bool {
        while !self.statuses().all(Status::ready) {
            if Instant::now() >= until {
                return false;
            }
            sleep(LOOK).await;
        }
        true
    }

    /// Ends and starts anew one lightweight instance of every `of`.
    pub fn restart_each(&self, of: usize) {
        for group in &self.groups {
            (0..group.statuses.len()).step_by(of.max(1)).for_each(|nth| group.restart(nth));
        }
    }

    /// The endpoint that changes: of the last destination that answers, which gets no load.
    pub fn changing(&self) -> String {
        destinations::endpoint(self.healthy)
    }

    /// Makes one change and waits until it is in force at all lightweight instances; nothing if it is not by `until`.
    pub async fn change(&self, until: Instant) -> Result<Option<InForce>, String> {
        let (revision, at) = self.control.change(&self.changing()).await?;
        let at = at.saturating_duration_since(self.beginning);
        while !self.statuses().all(|status| status.in_force().0 >= revision) {
            if Instant::now() >= until {
                return Ok(None);
            }
            sleep(LOOK).await;
        }
        let mut waits: Vec<_> =
            self.statuses().map(|status| status.in_force().1.saturating_sub(at)).collect();
        waits.sort();
        Ok(waits.last().map(|worst| InForce { median: waits[waits.len() / 2], worst: *worst }))
    }

    /// Totals by now.
    pub fn exchanged(&self) -> Exchanged {
        let with = &self.control.with_lightweight;
        Exchanged {
            discovery: with.discovery.counts(),
            platform: with.platform.counts(),
            finals: self.control.finals(),
            open: with.discovery.open_connections(),
        }
    }

    /// Processor time of the servers of discovery and platform by now.
    pub fn control_time(&self) -> Duration {
        self.control.processor_time()
    }
}
