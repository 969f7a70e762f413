//! Measurement of one point: a real instance in its environment, first without load and then under load.

use crate::clients::{self, Submissions};
use crate::fleet::Fleet;
use crate::plan::{Plan, Sizes, Slope};
use crate::settings::{self, Addresses};
use quillhub_fakes::clients::wait_until_ready;
use quillhub_fakes::process::{InstanceProcess, Signal};
use quillhub_fakes::scratch::{ScratchDirectory, on_one_thread, size_on_disk};
use quillhub_fakes::traffic::Counts;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time after the start of an instance before it is measured, so that the work of starting is not included.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Time after the end of a load in which its last messages may be delivered.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which an instance that has no endpoint list but that of discovery must deliver a first message.
const FIRST_DELIVERY_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of changes of the endpoint list for which the time until they are applied is measured.
const TIMED_CHANGES: u32 = 3;
/// Step between the lightweight instances that restart at the time of a change, so that a tenth of them do.
const RESTART_STEP: usize = 10;
/// Time between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
const SECONDS_PER_HOUR: f64 = 3_600.0;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Names of figures in kept results, which the capacity page uses.
pub mod figure {
    /// Processor time of the instance per delivered message.
    pub const MESSAGE_US: &str = "cpu us a message";
    /// Processor time of the instance without load, as a share of one core.
    pub const IDLE_PERCENT: &str = "idle cpu % of a core";
    /// Resident memory after the load.
    pub const MEMORY_MB: &str = "memory MB";
    /// Bytes per second between the instance and discovery, platform and peers, without load.
    pub const CONTROL_BYTES: &str = "control bytes a second";
    /// Packets per second between the instance and discovery, platform and peers, without load.
    pub const CONTROL_PACKETS: &str = "control packets a second";
    /// Time from the start of the process to its first reply.
    pub const READY_S: &str = "ready s";
    /// Messages delivered per second under load.
    pub const DELIVERED: &str = "delivered a second";
    /// Share of the load's messages that the instance did not accept.
    pub const REJECTED: &str = "rejected share";
    /// Mean time to submit a message of the backlog. If the time per message grows linearly with the backlog, the mean
    /// grows half as fast as the time of the last message.
    pub const FILL_US: &str = "us to hand in a message of the backlog";
    /// Time from the restart of an instance that was killed with a backlog to its first reply.
    pub const READY_AGAIN_S: &str = "ready after a kill s";
    /// Size on disk of the state directory with a backlog.
    pub const STATE_MB: &str = "state directory MB";
    /// Time from the start of an instance without an endpoint list in its configuration to its first delivery.
    pub const BY_DISCOVERY_S: &str = "first delivery by discovery s";
    /// Size of the complete endpoint list.
    pub const LIST_BYTES: &str = "whole list bytes";
    /// Open connections from lightweight instances to discovery.
    pub const CONNECTIONS: &str = "discovery connections";
    /// Bytes per second between discovery and all lightweight instances while the list does not change.
    pub const DISCOVERY_BYTES: &str = "discovery bytes a second";
    /// Processor time of discovery and platform per second while the list does not change.
    pub const DISCOVERY_US: &str = "discovery cpu us a second";
    /// Processor time of discovery to send one change to all lightweight instances.
    pub const CHANGE_MS: &str = "discovery cpu ms a change";
    /// Bytes that discovery exchanges for one change that is sent to all lightweight instances.
    pub const CHANGE_BYTES: &str = "discovery bytes a change";
    /// Time until all lightweight instances that restart at once are ready again.
    pub const RESTART_S: &str = "mass restart s";
    /// Processor time of discovery and platform during the restart of all lightweight instances.
    pub const RESTART_CPU_S: &str = "mass restart control cpu s";
    /// Bytes that discovery exchanges during the restart of all lightweight instances.
    pub const RESTART_BYTES: &str = "mass restart discovery bytes";
    /// Connections to discovery that are opened during the restart of all lightweight instances.
    pub const RESTART_CONNECTIONS: &str = "mass restart discovery connections";
    /// Bytes that the platform exchanges during the restart of all lightweight instances.
    pub const RESTART_PLATFORM_BYTES: &str = "mass restart platform bytes";
    /// Time until half of the lightweight instances have applied a change, on average over the changes.
    pub const CALM_MEDIAN_S: &str = "in force median s";
    /// Time until the last lightweight instance has applied a change, maximum over the changes.
    pub const CALM_WORST_S: &str = "in force worst s";
    /// Time until half of the lightweight instances have applied a change while a tenth of them restarts.
    pub const RESTARTING_MEDIAN_S: &str = "in force median s, a tenth restarting";
    /// Time until the last lightweight instance has applied a change while a tenth of them restarts.
    pub const RESTARTING_WORST_S: &str = "in force worst s, a tenth restarting";
}

/// Figures measured at one point.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Measurement {
    /// Measured figures by name.
    pub figures: BTreeMap<String, f64>,
    /// Reason why the measurement ended early, if it did; `figures` then has those measured before.
    pub breaks: Option<String>,
}

impl Measurement {
    fn put(&mut self, name: &str, value: f64) {
        self.figures.insert(name.into(), value);
    }
}

/// Reason why the measurement of a point ends early.
enum Stop {
    /// Failure due to the size; this is a result.
    MeasurementFailed(String),
    /// Failure of the test environment; there is no result.
    EnvironmentFailed(String),
}

impl From<String> for Stop {
    fn from(fault: String) -> Self {
        Self::EnvironmentFailed(fault)
    }
}

fn fail_measurement<T>(what: impl Into<String>) -> Result<T, Stop> {
    Err(Stop::MeasurementFailed(what.into()))
}

/// Measures a point with `sizes` once, with the instance's `program`.
///
/// A failure due to the sizes is part of the measurement; an error means that the test environment failed.
pub fn measure(plan: &Plan, sizes: &Sizes, seed: u64, program: &Path) -> Result<Measurement, String> {
    let mut measurement = Measurement::default();
    let ended = on_one_thread(async {
        let deadline = Instant::now() + plan.point_time_limit;
        let mut point = RunningPoint::start(plan, sizes, seed, program, deadline).await?;
        point.measure(&mut measurement).await
    });
    match ended {
        Ok(()) => Ok(measurement),
        Err(Stop::MeasurementFailed(what)) => Ok(Measurement { breaks: Some(what), ..measurement }),
        Err(Stop::EnvironmentFailed(what)) => Err(what),
    }
}

/// Returns a loopback address with a TCP port that was free at the time of the call.
fn free_port() -> Result<SocketAddr, String> {
    let found = std::net::TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    found.map_err(|e| format!("no port is free: {e}"))
}

/// Returns a loopback address with a UDP port that was free at the time of the call.
fn free_datagram_port() -> Result<SocketAddr, String> {
    let found = std::net::UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
    found.map_err(|e| format!("no port is free: {e}"))
}

/// Traffic of the real instance with discovery, platform and peers so far.
#[derive(Clone, Copy)]
struct ControlCounts {
    discovery: Counts,
    platform: Counts,
    datagrams: u64,
    datagram_bytes: u64,
}

/// Point that is being measured.
struct RunningPoint<'a> {
    plan: &'a Plan,
    sizes: Sizes,
    seed: u64,
    program: &'a Path,
    deadline: Instant,
    fleet: Fleet,
    directory: ScratchDirectory,
    instance: InstanceProcess,
    listen: SocketAddr,
    /// Time from the start of the process to its first reply.
    startup: Duration,
    /// Number of messages submitted before the measurement to open connections.
    warm_up_messages: u64,
}

impl<'a> RunningPoint<'a> {
    async fn start(
        plan: &'a Plan,
        sizes: &Sizes,
        seed: u64,
        program: &'a Path,
        deadline: Instant,
    ) -> Result<Self, Stop> {
        let fleet = Fleet::start(sizes, seed, 1)?;
        if !fleet.wait_until_ready(deadline).await {
            return fail_measurement("lightweight instances are not ready within the time limit of a point");
        }
        let directory = ScratchDirectory::new();
        let known = fleet.control.list().await?;
        let listen = free_port()?;
        let configured = configure(&fleet, &directory, "real", listen, sizes, seed, Some(&known))?;
        drop(known);
        let started = Instant::now();
        let instance = start(program, &directory, "real", &configured)?;
        if !wait_until_ready(listen, deadline.saturating_duration_since(started)).await {
            return fail_measurement("the instance does not respond within the time limit of a point");
        }
        let startup = started.elapsed();
        Ok(Self {
            plan,
            sizes: *sizes,
            seed,
            program,
            deadline,
            fleet,
            directory,
            instance,
            listen,
            startup,
            warm_up_messages: 0,
        })
    }

    async fn measure(&mut self, measurement: &mut Measurement) -> Result<(), Stop> {
        measurement.put(figure::READY_S, self.startup.as_secs_f64());
        if self.sizes.backlog > 0 {
            self.submit_backlog(measurement).await?;
        }
        let counter = self.fleet.destinations.delivered();
        self.warm_up_messages = clients::open_instance_connections(
            self.listen,
            &self.plan.load,
            self.loaded_destinations(),
            &counter,
        )
        .await?;
        if self.sizes.changes > 0 {
            let period = Duration::from_secs_f64(SECONDS_PER_HOUR / self.sizes.changes as f64);
            self.fleet.control.toggle_phase_periodically(&self.fleet.changing_endpoint(), period);
        }
        sleep(SETTLE_TIME).await;
        self.measure_idle(measurement).await?;
        self.measure_loaded(measurement).await?;
        match self.plan.slope {
            Slope::Instances => self.measure_control(measurement).await,
            Slope::Backlog => self.measure_restart(measurement).await,
            Slope::Destinations => self.measure_first_delivery(measurement).await,
            Slope::Changes => Ok(()),
        }
    }

    fn processor_time(&self) -> Result<Duration, Stop> {
        let lost = || Stop::MeasurementFailed("the instance's process ended".into());
        self.instance.processor_time().ok_or_else(lost)
    }

    fn control_counts(&self) -> ControlCounts {
        let (traffic, relayed) = (&self.fleet.control.real_traffic, self.fleet.relay.traffic());
        ControlCounts {
            discovery: traffic.discovery.counts(),
            platform: traffic.platform.counts(),
            datagrams: relayed.datagrams,
            datagram_bytes: relayed.bytes,
        }
    }

    async fn submit_backlog(&self, measurement: &mut Measurement) -> Result<(), Stop> {
        let (started, count) = (Instant::now(), self.sizes.backlog);
        let load = &self.plan.load;
        let submissions =
            clients::submit_backlog(self.listen, load, self.sizes.destinations, count, self.deadline).await?;
        let seconds = started.elapsed().as_secs_f64();
        if submissions.accepted < count {
            let Submissions { accepted, not_accepted } = submissions;
            return fail_measurement(format!(
                "{accepted} messages are accepted and {not_accepted} are not after {seconds:.0} s"
            ));
        }
        measurement.put(figure::FILL_US, seconds * MICROSECONDS_PER_SECOND / count as f64);
        Ok(())
    }

    async fn measure_idle(&self, measurement: &mut Measurement) -> Result<(), Stop> {
        let (started, processor_time_before, control) =
            (Instant::now(), self.processor_time()?, self.control_counts());
        let (control_time_before, traffic_before) =
            (self.fleet.control_processor_time(), self.fleet.traffic());
        sleep(self.plan.load.idle_duration).await;
        let spent = (self.processor_time()? - processor_time_before).as_secs_f64();
        let (now, elapsed_s) = (self.control_counts(), started.elapsed().as_secs_f64());
        measurement.put(figure::IDLE_PERCENT, 100.0 * spent / elapsed_s);
        let (discovery, platform) = (now.discovery - control.discovery, now.platform - control.platform);
        let datagrams = now.datagrams - control.datagrams;
        let gossip = now.datagram_bytes - control.datagram_bytes + datagrams * crate::gossip::HEADER_BYTES;
        measurement
            .put(figure::CONTROL_BYTES, (discovery.bytes() + platform.bytes() + gossip) as f64 / elapsed_s);
        measurement.put(
            figure::CONTROL_PACKETS,
            (discovery.packets() + platform.packets() + datagrams) as f64 / elapsed_s,
        );
        if self.plan.slope == Slope::Instances {
            let traffic = self.fleet.traffic();
            let control_time = self.fleet.control_processor_time() - control_time_before;
            let bytes = (traffic.discovery - traffic_before.discovery).bytes();
            measurement.put(figure::CONNECTIONS, traffic.open_connections as f64);
            measurement.put(figure::DISCOVERY_BYTES, bytes as f64 / elapsed_s);
            measurement
                .put(figure::DISCOVERY_US, control_time.as_secs_f64() * MICROSECONDS_PER_SECOND / elapsed_s);
        }
        Ok(())
    }

    /// Returns the number of destinations under load: all responding ones but the last, whose endpoint changes.
    fn loaded_destinations(&self) -> u64 {
        self.sizes.destinations - 1
    }

    async fn measure_loaded(&self, measurement: &mut Measurement) -> Result<(), Stop> {
        let counter = self.fleet.destinations.delivered();
        let (started, processor_time_before) = (Instant::now(), self.processor_time()?);
        let before = counter.load(Ordering::Relaxed);
        let (load, loaded) = (&self.plan.load, self.loaded_destinations());
        let submissions =
            clients::submit_load(self.listen, load, loaded, &counter, self.warm_up_messages).await?;
        let delivered = || counter.load(Ordering::Relaxed) - before;
        let drain_deadline = Instant::now() + DRAIN_TIMEOUT;
        while delivered() < submissions.accepted && Instant::now() < drain_deadline {
            sleep(CHECK_INTERVAL).await;
        }
        let (spent, elapsed_s) =
            (self.processor_time()? - processor_time_before, started.elapsed().as_secs_f64());
        if delivered() == 0 {
            return fail_measurement(format!("none of {} messages is delivered", submissions.accepted));
        }
        measurement
            .put(figure::MESSAGE_US, spent.as_secs_f64() * MICROSECONDS_PER_SECOND / delivered() as f64);
        measurement.put(figure::DELIVERED, delivered() as f64 / elapsed_s);
        let all = (submissions.accepted + submissions.not_accepted).max(1);
        measurement.put(figure::REJECTED, submissions.not_accepted as f64 / all as f64);
        let used = self
            .instance
            .usage()
            .ok_or_else(|| Stop::MeasurementFailed("the instance's process ended".into()))?;
        measurement.put(figure::MEMORY_MB, used.memory_kb as f64 / 1_024.0);
        Ok(())
    }

    /// Measures discovery and platform: changes of the list, first alone and then during restarts of a tenth of the
    /// lightweight instances, and a restart of all of them.
    async fn measure_control(&self, measurement: &mut Measurement) -> Result<(), Stop> {
        let (control_time_before, before) = (self.fleet.control_processor_time(), self.fleet.traffic());
        let without_restarts = self.measure_changes(|| ()).await?;
        let each = f64::from(TIMED_CHANGES);
        let spent = (self.fleet.control_processor_time() - control_time_before).as_secs_f64();
        let bytes = (self.fleet.traffic().discovery - before.discovery).bytes();
        measurement.put(figure::CHANGE_MS, spent * 1e3 / each);
        measurement.put(figure::CHANGE_BYTES, bytes as f64 / each);
        measurement.put(figure::CALM_MEDIAN_S, without_restarts.0);
        measurement.put(figure::CALM_WORST_S, without_restarts.1);
        let restarting = self.measure_changes(|| self.fleet.restart_every(RESTART_STEP)).await?;
        measurement.put(figure::RESTARTING_MEDIAN_S, restarting.0);
        measurement.put(figure::RESTARTING_WORST_S, restarting.1);
        let (started, control_time_before, before) =
            (Instant::now(), self.fleet.control_processor_time(), self.fleet.traffic());
        self.fleet.restart_every(1);
        if !self.fleet.wait_until_ready(self.deadline).await {
            return fail_measurement(
                "lightweight instances that restart at once are not ready within the time limit of a point",
            );
        }
        let now = self.fleet.traffic();
        let (discovery, platform) = (now.discovery - before.discovery, now.platform - before.platform);
        measurement.put(figure::RESTART_S, started.elapsed().as_secs_f64());
        measurement.put(
            figure::RESTART_CPU_S,
            (self.fleet.control_processor_time() - control_time_before).as_secs_f64(),
        );
        measurement.put(figure::RESTART_BYTES, discovery.bytes() as f64);
        measurement.put(figure::RESTART_CONNECTIONS, discovery.connections as f64);
        measurement.put(figure::RESTART_PLATFORM_BYTES, platform.bytes() as f64);
        Ok(())
    }

    /// Makes several changes, each after a call of `before_each`, and waits until each is applied.
    ///
    /// Returns the mean of the median times and the maximum time, in seconds.
    async fn measure_changes(&self, before_each: impl Fn()) -> Result<(f64, f64), Stop> {
        let (mut medians, mut worst) = (0.0, 0.0);
        for _ in 0..TIMED_CHANGES {
            before_each();
            let Some(found) = self.fleet.change(self.deadline).await? else {
                return fail_measurement(
                    "a change is not applied by all instances within the time limit of a point",
                );
            };
            medians += found.median.as_secs_f64();
            worst = f64::max(worst, found.max.as_secs_f64());
            if !self.fleet.wait_until_ready(self.deadline).await {
                return fail_measurement(
                    "lightweight instances are not ready within the time limit of a point",
                );
            }
        }
        Ok((medians / f64::from(TIMED_CHANGES), worst))
    }

    /// Kills the instance with its backlog and starts it again on the same state directory.
    async fn measure_restart(&mut self, measurement: &mut Measurement) -> Result<(), Stop> {
        let state = size_on_disk(&state_directory(&self.directory, "real"));
        measurement.put(figure::STATE_MB, state as f64 / (1024.0 * 1024.0));
        let stop_failed =
            |e: std::io::Error| Stop::EnvironmentFailed(format!("the instance cannot be stopped: {e}"));
        self.instance.signal(Signal::KILL).map_err(stop_failed)?;
        self.instance.wait_for_exit().await.map_err(stop_failed)?;
        let started = Instant::now();
        self.instance = start(self.program, &self.directory, "real", &self.directory.0.join("real.json"))?;
        if !wait_until_ready(self.listen, self.deadline.saturating_duration_since(started)).await {
            return fail_measurement(
                "the restarted instance does not respond within the time limit of a point",
            );
        }
        measurement.put(figure::READY_AGAIN_S, started.elapsed().as_secs_f64());
        Ok(())
    }

    /// Starts a second instance without an endpoint list in its configuration, and waits for its first delivery.
    async fn measure_first_delivery(&mut self, measurement: &mut Measurement) -> Result<(), Stop> {
        let list = self.fleet.control.list().await?;
        measurement.put(figure::LIST_BYTES, list.len() as f64);
        self.instance.signal(Signal::KILL).map_err(|e| Stop::EnvironmentFailed(e.to_string()))?;
        let listen = free_port()?;
        let configured =
            configure(&self.fleet, &self.directory, "bare", listen, &self.sizes, self.seed, None)?;
        let started = Instant::now();
        let _instance = start(self.program, &self.directory, "bare", &configured)?;
        let time_left = self.deadline.saturating_duration_since(started);
        if !wait_until_ready(listen, time_left).await {
            return fail_measurement("the instance does not respond within the time limit of a point");
        }
        let counter = self.fleet.destinations.delivered();
        let before = counter.load(Ordering::Relaxed);
        let load = crate::plan::Load {
            connections: 1,
            per_s: 1.0,
            loaded_duration: CHECK_INTERVAL,
            ..self.plan.load
        };
        clients::submit_load(listen, &load, 1, &counter, 1 << 32).await?;
        let deadline = started + FIRST_DELIVERY_TIMEOUT.min(time_left);
        while counter.load(Ordering::Relaxed) == before {
            if Instant::now() >= deadline {
                let (bytes, limit) = (list.len(), FIRST_DELIVERY_TIMEOUT.as_secs());
                return fail_measurement(format!(
                    "a list of {bytes} bytes is not applied from discovery within {limit} s"
                ));
            }
            sleep(CHECK_INTERVAL).await;
        }
        measurement.put(figure::BY_DISCOVERY_S, started.elapsed().as_secs_f64());
        Ok(())
    }
}

/// Writes the configuration and creates the state directory of the real instance `name`; returns the configuration's
/// path.
fn configure(
    fleet: &Fleet,
    directory: &ScratchDirectory,
    name: &str,
    listen: SocketAddr,
    sizes: &Sizes,
    seed: u64,
    known: Option<&str>,
) -> Result<PathBuf, String> {
    let gossip = free_datagram_port()?;
    fleet.relay.add_member(gossip);
    fleet.relay.count_traffic_to(gossip);
    let addresses =
        Addresses { listen, discovery: fleet.control.real_address, gossip, peers: fleet.relay.address };
    let path = directory.0.join(format!("{name}.json"));
    let failed = |e: std::io::Error| format!("the files of an instance cannot be written: {e}");
    std::fs::write(&path, settings::configuration(seed, sizes.lightweight_instances + 1, &addresses, known))
        .map_err(failed)?;
    std::fs::create_dir_all(state_directory(directory, name)).map_err(failed)?;
    Ok(path)
}

fn state_directory(directory: &ScratchDirectory, name: &str) -> PathBuf {
    directory.0.join(format!("{name}-state"))
}

fn start(
    program: &Path,
    directory: &ScratchDirectory,
    name: &str,
    configuration: &Path,
) -> Result<InstanceProcess, String> {
    let (state, log) = (state_directory(directory, name), directory.0.join(format!("{name}.log")));
    InstanceProcess::start(program, configuration, &state, &log)
        .map_err(|e| format!("an instance cannot be started: {e}"))
}
