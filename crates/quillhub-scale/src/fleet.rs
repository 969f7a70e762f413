//! Environment of the real instance of one point: discovery and platform, destinations, the relay of gossip, and the
//! lightweight instances.

use crate::bounds::MAX_LIGHTWEIGHT_PER_THREAD;
use crate::control::Control;
use crate::destinations::{self, Destinations, UNRESPONSIVE_COUNT};
use crate::gossip::Relay;
use crate::lightweight::{FleetParameters, Group, Status};
use crate::plan::Sizes;
use quillhub_fakes::traffic::Counts;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Time from a change of the endpoint list until lightweight instances have applied it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ApplyTime {
    /// Median over all lightweight instances.
    pub median: Duration,
    /// Time until the last of them has applied it.
    pub max: Duration,
}

/// Traffic of all lightweight instances with discovery and platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetTraffic {
    /// Traffic with discovery.
    pub discovery: Counts,
    /// Traffic with the platform.
    pub platform: Counts,
    /// Final outcomes that the platform has received, including those of real instances.
    pub final_outcomes: u64,
    /// Open connections to discovery, most of which are watches.
    pub open_connections: u64,
}

/// Running environment of a point, stopped when this is dropped.
pub struct Fleet {
    pub(crate) control: Control,
    pub(crate) destinations: Destinations,
    pub(crate) relay: Relay,
    groups: Vec<Group>,
    /// Number of destinations that respond.
    responding: u64,
    started: Instant,
}

impl Fleet {
    /// Starts the environment for these sizes. `real_instances` is the number of real instances to be started later,
    /// and `seed` determines the random draws of the lightweight ones.
    pub fn start(sizes: &Sizes, seed: u64, real_instances: u64) -> Result<Self, String> {
        let started = Instant::now();
        let destinations = Destinations::start()?;
        let unresponsive = if sizes.backlog > 0 { UNRESPONSIVE_COUNT } else { 0 };
        let control = Control::start(destinations.endpoints(sizes.destinations, unresponsive))?;
        let relay = Relay::start()?;
        let parameters = FleetParameters {
            control_address: control.lightweight_address,
            relay_address: relay.address,
            instances: sizes.lightweight_instances + real_instances,
            destinations: sizes.destinations,
            seed,
            fleet_started: started,
        };
        let mut groups = Vec::new();
        let mut first = 0;
        while first < sizes.lightweight_instances {
            let count = MAX_LIGHTWEIGHT_PER_THREAD.min(sizes.lightweight_instances - first);
            let group = Group::start(parameters, first, count)?;
            group.addresses.iter().for_each(|address| relay.add_member(*address));
            groups.push(group);
            first += count;
        }
        Ok(Self { control, destinations, relay, groups, responding: sizes.destinations, started })
    }

    fn statuses(&self) -> impl Iterator<Item = &Status> {
        self.groups.iter().flat_map(|group| &group.statuses).map(AsRef::as_ref)
    }

    /// Waits until all lightweight instances are ready; returns `false` if some are not by `deadline`.
    pub async fn wait_until_ready(&self, deadline: Instant) -> bool {
        while !self.statuses().all(Status::is_ready) {
            if Instant::now() >= deadline {
                return false;
            }
            sleep(CHECK_INTERVAL).await;
        }
        true
    }

    /// Restarts every `step`th lightweight instance on each thread.
    pub fn restart_every(&self, step: usize) {
        for group in &self.groups {
            (0..group.statuses.len()).step_by(step.max(1)).for_each(|index| group.restart(index));
        }
    }

    /// Returns the id of the endpoint that changes: that of the last responding destination, which gets no load.
    pub fn changing_endpoint(&self) -> String {
        destinations::endpoint_id(self.responding)
    }

    /// Changes the endpoint list and waits until all lightweight instances have applied the change.
    ///
    /// Returns `None` if some have not by `deadline`.
    pub async fn change(&self, deadline: Instant) -> Result<Option<ApplyTime>, String> {
        let (revision, changed) = self.control.toggle_phase(&self.changing_endpoint()).await?;
        let changed = changed.saturating_duration_since(self.started);
        while !self.statuses().all(|status| status.applied_revision().0 >= revision) {
            if Instant::now() >= deadline {
                return Ok(None);
            }
            sleep(CHECK_INTERVAL).await;
        }
        let mut times: Vec<_> =
            self.statuses().map(|status| status.applied_revision().1.saturating_sub(changed)).collect();
        times.sort();
        Ok(times.last().map(|max| ApplyTime { median: times[times.len() / 2], max: *max }))
    }

    /// Returns the traffic so far.
    pub fn traffic(&self) -> FleetTraffic {
        let traffic = &self.control.lightweight_traffic;
        FleetTraffic {
            discovery: traffic.discovery.counts(),
            platform: traffic.platform.counts(),
            final_outcomes: self.control.final_outcomes(),
            open_connections: traffic.discovery.open_connections(),
        }
    }

    /// Returns the processor time that discovery and platform have used so far.
    pub fn control_processor_time(&self) -> Duration {
        self.control.processor_time()
    }
}
