//! Plays one point: one real instance amid its surroundings, first idle, then loaded.

use crate::clients::{self, Offered};
use crate::fleet::Fleet;
use crate::plan::{Plan, Sizes, Slope};
use crate::settings::{self, Addresses};
use quillhub_fakes::clients::wait_until_ready;
use quillhub_fakes::process::InstanceProcess;
use quillhub_fakes::scratch::{ScratchDirectory, on_one_thread, size_on_disk};
use quillhub_fakes::traffic::Counts;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How long the instance is left alone after its start: what it does then is part of starting.
const SETTLING: Duration = Duration::from_millis(500);
/// How long the last messages of a load may take to be delivered.
const DRAINING: Duration = Duration::from_secs(2);
/// How long an instance may take to get a first message to its destination by the list of discovery alone.
const FIRST_DELIVERY: Duration = Duration::from_secs(5);
/// Changes whose coming into force is timed.
const TIMED_CHANGES: u32 = 3;
/// One lightweight instance in so many restarts beside such a change.
const TENTH: usize = 10;
/// From one look at a condition to the next.
const LOOK: Duration = Duration::from_millis(2);
const SECONDS_AN_HOUR: f64 = 3_600.0;
const MICROSECONDS: f64 = 1e6;

/// Names of figures that the capacity page goes by.
pub mod figure {
    /// Processor time of the instance over the messages delivered.
    pub const MESSAGE_US: &str = "cpu us a message";
    /// Processor time of the instance without load, as a share of one core.
    pub const IDLE_PERCENT: &str = "idle cpu % of a core";
    /// Resident memory after the load.
    pub const MEMORY_MB: &str = "memory MB";
    /// Bytes that the instance exchanges with discovery, platform and peers.
    pub const CONTROL_BYTES: &str = "control bytes a second";
    /// Packets of that.
    pub const CONTROL_PACKETS: &str = "control packets a second";
    /// From the process's start to its first answer.
    pub const READY_S: &str = "ready s";
    /// Messages delivered.
    pub const DELIVERED: &str = "delivered a second";
    /// Messages of the load that the instance rejected or did not answer, over all that were offered.
    pub const REJECTED: &str = "rejected share";
    /// Time to hand in a backlog, over its messages: what it grows by is half of what the last one takes.
    pub const FILL_US: &str = "us to hand in a message of the backlog";
    /// From the start of an instance that was killed with a backlog to its first answer.
    pub const READY_AGAIN_S: &str = "ready after a kill s";
    /// Bytes of its state directory.
    pub const STATE_MB: &str = "state directory MB";
    /// From the start of an instance that knows no list to its first delivery.
    pub const BY_DISCOVERY_S: &str = "first delivery by discovery s";
    /// Bytes of the whole list.
    pub const LIST_BYTES: &str = "whole list bytes";
    /// Open connections at discovery.
    pub const CONNECTIONS: &str = "discovery connections";
    /// Bytes that discovery exchanges with all lightweight instances while nothing changes.
    pub const DISCOVERY_BYTES: &str = "discovery bytes a second";
    /// Processor time of discovery and platform while nothing changes.
    pub const DISCOVERY_US: &str = "discovery cpu us a second";
    /// Processor time of discovery for one change told to all.
    pub const CHANGE_MS: &str = "discovery cpu ms a change";
    /// Bytes of one change told to all.
    pub const CHANGE_BYTES: &str = "discovery bytes a change";
    /// Time until all lightweight instances that restart at once are ready again.
    pub const RESTART_S: &str = "mass restart s";
    /// Processor time of discovery and platform for that.
    pub const RESTART_CPU_S: &str = "mass restart control cpu s";
    /// Bytes of discovery for that.
    pub const RESTART_BYTES: &str = "mass restart discovery bytes";
    /// Connections of discovery for that.
    pub const RESTART_CONNECTIONS: &str = "mass restart discovery connections";
    /// Bytes of the platform for that.
    pub const RESTART_PLATFORM_BYTES: &str = "mass restart platform bytes";
    /// Until a change is in force at half of the instances.
    pub const CALM_MEDIAN_S: &str = "in force median s";
    /// Until it is in force at the last.
    pub const CALM_WORST_S: &str = "in force worst s";
    /// The same while a tenth of the instances restarts.
    pub const RESTARTING_MEDIAN_S: &str = "in force median s, a tenth restarting";
    /// The same at the last.
    pub const RESTARTING_WORST_S: &str = "in force worst s, a tenth restarting";
}

/// What was measured at one size.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Played {
    /// By name.
    pub figures: BTreeMap<String, f64>,
    /// Where it broke, if it did; the figures are those measured before.
    pub breaks: Option<String>,
}

impl Played {
    fn put(&mut self, name: &str, value: f64) {
        self.figures.insert(name.into(), value);
    }
}

/// Why a point ends early.
enum Stop {
    /// The size is where it breaks: a result.
    Breaks(String),
    /// The rig itself failed: no result.
    Fails(String),
}

impl From<String> for Stop {
    fn from(fault: String) -> Self {
        Self::Fails(fault)
    }
}

fn breaks<T>(what: impl Into<String>) -> Result<T, Stop> {
    Err(Stop::Breaks(what.into()))
}

/// Plays `sizes` once with the instance's `program`. A size at which it breaks is a result; `Err` says that the scale tests
/// failed.
pub fn play(plan: &Plan, sizes: &Sizes, seed: u64, program: &Path) -> Result<Played, String> {
    let mut played = Played::default();
    let ended = on_one_thread(async {
        let until = Instant::now() + plan.point_time_limit;
        let mut point = Point::start(plan, sizes, seed, program, until).await?;
        point.measure(&mut played).await
    });
    match ended {
        Ok(()) => Ok(played),
        Err(Stop::Breaks(what)) => Ok(Played { breaks: Some(what), ..played }),
        Err(Stop::Fails(what)) => Err(what),
    }
}

/// A port on loopback that was free a moment ago.
fn free_port() -> Result<SocketAddr, String> {
    let found = std::net::TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    found.map_err(|e| format!("no port is free: {e}"))
}

fn free_datagram_port() -> Result<SocketAddr, String> {
    let found = std::net::UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
    found.map_err(|e| format!("no port is free: {e}"))
}

/// Control traffic of the real instance by one instant.
#[derive(Clone, Copy)]
struct Control {
    discovery: Counts,
    platform: Counts,
    datagrams: u64,
    datagram_bytes: u64,
}

struct Point<'a> {
    plan: &'a Plan,
    sizes: Sizes,
    seed: u64,
    program: &'a Path,
    until: Instant,
    fleet: Fleet,
    folder: ScratchDirectory,
    instance: InstanceProcess,
    listen: SocketAddr,
    ready: Duration,
    /// Messages submitted before the measurement.
    warmed: u64,
}

impl<'a> Point<'a> {
    async fn start(
        plan: &'a Plan,
        sizes: &Sizes,
        seed: u64,
        program: &'a Path,
        until: Instant,
    ) -> Result<Self, Stop> {
        let fleet = Fleet::start(sizes, seed, 1)?;
        if !fleet.ready(until).await {
            return breaks("hollow couriers are not ready within the time of a point");
        }
        let folder = ScratchDirectory::new();
        let known = fleet.control.list().await?;
        let listen = free_port()?;
        let configured = configure(&fleet, &folder, "real", listen, sizes, seed, Some(&known))?;
        drop(known);
        let begun = Instant::now();
        let instance = start(program, &folder, "real", &configured)?;
        if !wait_until_ready(listen, until.saturating_duration_since(begun)).await {
            return breaks("the courier does not answer within the time of a point");
        }
        let ready = begun.elapsed();
        Ok(Self {
            plan,
            sizes: *sizes,
            seed,
            program,
            until,
            fleet,
            folder,
            instance,
            listen,
            ready,
            warmed: 0,
        })
    }

    async fn measure(&mut self, played: &mut Played) -> Result<(), Stop> {
        played.put(figure::READY_S, self.ready.as_secs_f64());
        if self.sizes.backlog > 0 {
            self.fill(played).await?;
        }
        let counter = self.fleet.destinations.delivered();
        self.warmed =
            clients::warm(self.listen, &self.plan.load, self.loaded_destinations(), &counter).await?;
        if self.sizes.changes > 0 {
            let gap = Duration::from_secs_f64(SECONDS_AN_HOUR / self.sizes.changes as f64);
            self.fleet.control.change_steadily(&self.fleet.changing(), gap);
        }
        sleep(SETTLING).await;
        self.idle(played).await?;
        self.loaded(played).await?;
        match self.plan.slope {
            Slope::Instances => self.serving(played).await,
            Slope::Backlog => self.restarted(played).await,
            Slope::Destinations => self.by_discovery(played).await,
            Slope::Changes => Ok(()),
        }
    }

    fn processor_time(&self) -> Result<Duration, Stop> {
        let lost = || Stop::Breaks("the courier's process ended".into());
        self.instance.processor_time().ok_or_else(lost)
    }

    fn control(&self) -> Control {
        let (with, passed) = (&self.fleet.control.with_real, self.fleet.relay.passed());
        Control {
            discovery: with.discovery.counts(),
            platform: with.platform.counts(),
            datagrams: passed.to_watched,
            datagram_bytes: passed.bytes_to_watched,
        }
    }

    async fn fill(&self, played: &mut Played) -> Result<(), Stop> {
        let (begun, count) = (Instant::now(), self.sizes.backlog);
        let load = &self.plan.load;
        let offered = clients::fill(self.listen, load, self.sizes.destinations, count, self.until).await?;
        let took = begun.elapsed().as_secs_f64();
        if offered.accepted < count {
            let Offered { accepted, refused } = offered;
            return breaks(format!("{accepted} messages are held and {refused} refused after {took:.0} s"));
        }
        played.put(figure::FILL_US, took * MICROSECONDS / count as f64);
        Ok(())
    }

    async fn idle(&self, played: &mut Played) -> Result<(), Stop> {
        let (begun, time, control) = (Instant::now(), self.processor_time()?, self.control());
        let (serving, served) = (self.fleet.control_time(), self.fleet.exchanged());
        sleep(self.plan.load.idle).await;
        let spent = (self.processor_time()? - time).as_secs_f64();
        let (now, span) = (self.control(), begun.elapsed().as_secs_f64());
        played.put(figure::IDLE_PERCENT, 100.0 * spent / span);
        let (discovery, platform) = (now.discovery - control.discovery, now.platform - control.platform);
        let datagrams = now.datagrams - control.datagrams;
        let gossip = now.datagram_bytes - control.datagram_bytes + datagrams * crate::gossip::HEADER_BYTES;
        played.put(figure::CONTROL_BYTES, (discovery.bytes() + platform.bytes() + gossip) as f64 / span);
        played.put(
            figure::CONTROL_PACKETS,
            (discovery.packets() + platform.packets() + datagrams) as f64 / span,
        );
        if self.plan.slope == Slope::Instances {
            let exchanged = self.fleet.exchanged();
            let serving = self.fleet.control_time() - serving;
            let bytes = (exchanged.discovery - served.discovery).bytes();
            played.put(figure::CONNECTIONS, exchanged.open as f64);
            played.put(figure::DISCOVERY_BYTES, bytes as f64 / span);
            played.put(figure::DISCOVERY_US, serving.as_secs_f64() * MICROSECONDS / span);
        }
        Ok(())
    }

    /// Destinations that the load goes to: all that answer but the last, which is the one that changes.
    fn loaded_destinations(&self) -> u64 {
        self.sizes.destinations - 1
    }

    async fn loaded(&self, played: &mut Played) -> Result<(), Stop> {
        let counter = self.fleet.destinations.delivered();
        let (begun, time) = (Instant::now(), self.processor_time()?);
        let before = counter.load(Ordering::Relaxed);
        let (load, loaded) = (&self.plan.load, self.loaded_destinations());
        let offered = clients::play(self.listen, load, loaded, &counter, self.warmed).await?;
        let delivered = || counter.load(Ordering::Relaxed) - before;
        let drained = Instant::now() + DRAINING;
        while delivered() < offered.accepted && Instant::now() < drained {
            sleep(LOOK).await;
        }
        let (spent, span) = (self.processor_time()? - time, begun.elapsed().as_secs_f64());
        if delivered() == 0 {
            return breaks(format!("none of {} messages is delivered", offered.accepted));
        }
        played.put(figure::MESSAGE_US, spent.as_secs_f64() * MICROSECONDS / delivered() as f64);
        played.put(figure::DELIVERED, delivered() as f64 / span);
        let all = (offered.accepted + offered.refused).max(1);
        played.put(figure::REJECTED, offered.refused as f64 / all as f64);
        let used = self.instance.usage().ok_or_else(|| Stop::Breaks("the courier's process ended".into()))?;
        played.put(figure::MEMORY_MB, used.memory_kb as f64 / 1_024.0);
        Ok(())
    }

    /// What serves the instances: changes, first calm and then beside restarts, and a restart of all.
    async fn serving(&self, played: &mut Played) -> Result<(), Stop> {
        let (time, before) = (self.fleet.control_time(), self.fleet.exchanged());
        let calm = self.changes(|| ()).await?;
        let each = f64::from(TIMED_CHANGES);
        let spent = (self.fleet.control_time() - time).as_secs_f64();
        let bytes = (self.fleet.exchanged().discovery - before.discovery).bytes();
        played.put(figure::CHANGE_MS, spent * 1e3 / each);
        played.put(figure::CHANGE_BYTES, bytes as f64 / each);
        played.put(figure::CALM_MEDIAN_S, calm.0);
        played.put(figure::CALM_WORST_S, calm.1);
        let restarting = self.changes(|| self.fleet.restart_each(TENTH)).await?;
        played.put(figure::RESTARTING_MEDIAN_S, restarting.0);
        played.put(figure::RESTARTING_WORST_S, restarting.1);
        let (begun, time, before) = (Instant::now(), self.fleet.control_time(), self.fleet.exchanged());
        self.fleet.restart_each(1);
        if !self.fleet.ready(self.until).await {
            return breaks("hollow couriers that restart at once are not ready within the time of a point");
        }
        let now = self.fleet.exchanged();
        let (discovery, platform) = (now.discovery - before.discovery, now.platform - before.platform);
        played.put(figure::RESTART_S, begun.elapsed().as_secs_f64());
        played.put(figure::RESTART_CPU_S, (self.fleet.control_time() - time).as_secs_f64());
        played.put(figure::RESTART_BYTES, discovery.bytes() as f64);
        played.put(figure::RESTART_CONNECTIONS, discovery.connections as f64);
        played.put(figure::RESTART_PLATFORM_BYTES, platform.bytes() as f64);
        Ok(())
    }

    /// Several changes, each made after `beside` and waited for: mean of their medians, and the worst of all.
    async fn changes(&self, beside: impl Fn()) -> Result<(f64, f64), Stop> {
        let (mut medians, mut worst) = (0.0, 0.0);
        for _ in 0..TIMED_CHANGES {
            beside();
            let Some(found) = self.fleet.change(self.until).await? else {
                return breaks("a change is not in force everywhere within the time of a point");
            };
            medians += found.median.as_secs_f64();
            worst = f64::max(worst, found.worst.as_secs_f64());
            if !self.fleet.ready(self.until).await {
                return breaks("hollow couriers are not ready within the time of a point");
            }
        }
        Ok((medians / f64::from(TIMED_CHANGES), worst))
    }

    /// Kills the instance with its backlog and starts it anew on the same state directory.
    async fn restarted(&mut self, played: &mut Played) -> Result<(), Stop> {
        let state = size_on_disk(&state_directory(&self.folder, "real"));
        played.put(figure::STATE_MB, state as f64 / (1024.0 * 1024.0));
        let fails = |e: std::io::Error| Stop::Fails(format!("the courier cannot be ended: {e}"));
        self.instance.signal("KILL").map_err(fails)?;
        self.instance.wait_for_exit().await.map_err(fails)?;
        let begun = Instant::now();
        self.instance = start(self.program, &self.folder, "real", &self.folder.0.join("real.json"))?;
        if !wait_until_ready(self.listen, self.until.saturating_duration_since(begun)).await {
            return breaks("the restarted courier does not answer within the time of a point");
        }
        played.put(figure::READY_AGAIN_S, begun.elapsed().as_secs_f64());
        Ok(())
    }

    /// Starts a second instance that knows no list, and waits for its first delivery.
    async fn by_discovery(&mut self, played: &mut Played) -> Result<(), Stop> {
        let list = self.fleet.control.list().await?;
        played.put(figure::LIST_BYTES, list.len() as f64);
        self.instance.signal("KILL").map_err(|e| Stop::Fails(e.to_string()))?;
        let listen = free_port()?;
        let configured = configure(&self.fleet, &self.folder, "bare", listen, &self.sizes, self.seed, None)?;
        let begun = Instant::now();
        let _instance = start(self.program, &self.folder, "bare", &configured)?;
        let timeout_span = self.until.saturating_duration_since(begun);
        if !wait_until_ready(listen, timeout_span).await {
            return breaks("the courier does not answer within the time of a point");
        }
        let counter = self.fleet.destinations.delivered();
        let before = counter.load(Ordering::Relaxed);
        let load = crate::plan::Load { connections: 1, per_s: 1.0, loaded: LOOK, ..self.plan.load };
        clients::play(listen, &load, 1, &counter, 1 << 32).await?;
        let most = begun + FIRST_DELIVERY.min(timeout_span);
        while counter.load(Ordering::Relaxed) == before {
            if Instant::now() >= most {
                let (bytes, span) = (list.len(), FIRST_DELIVERY.as_secs());
                return breaks(format!(
                    "a list of {bytes} bytes is not taken from discovery within {span} s"
                ));
            }
            sleep(LOOK).await;
        }
        played.put(figure::BY_DISCOVERY_S, begun.elapsed().as_secs_f64());
        Ok(())
    }
}

/// Writes the configuration and makes the state directory of the real instance `name`.
fn configure(
    fleet: &Fleet,
    folder: &ScratchDirectory,
    name: &str,
    listen: SocketAddr,
    sizes: &Sizes,
    seed: u64,
    known: Option<&str>,
) -> Result<PathBuf, String> {
    let gossip = free_datagram_port()?;
    fleet.relay.join(gossip);
    fleet.relay.watch(gossip);
    let at = Addresses { listen, discovery: fleet.control.for_real, gossip, peers: fleet.relay.at };
    let path = folder.0.join(format!("{name}.json"));
    let told = |e: std::io::Error| format!("a courier's files cannot be written: {e}");
    std::fs::write(&path, settings::configuration(seed, sizes.lightweight_instances + 1, &at, known))
        .map_err(told)?;
    std::fs::create_dir_all(state_directory(folder, name)).map_err(told)?;
    Ok(path)
}

fn state_directory(folder: &ScratchDirectory, name: &str) -> PathBuf {
    folder.0.join(format!("{name}-state"))
}

fn start(
    program: &Path,
    folder: &ScratchDirectory,
    name: &str,
    configuration: &Path,
) -> Result<InstanceProcess, String> {
    let (state, log) = (state_directory(folder, name), folder.0.join(format!("{name}.log")));
    InstanceProcess::start(program, configuration, &state, &log)
        .map_err(|e| format!("a courier cannot be started: {e}"))
}
