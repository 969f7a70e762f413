//! A run: starts everything, restarts instances as planned, waits for the last message and returns the verdict.

use super::audit::{Verdict, audit};
use super::crowd::idle_client;
use super::hold_up::hold_up_instances;
use super::plan::{CopyPlan, Plan, SERVICE_CLASSES};
use super::platform_faults::PlatformFaults;
use super::record::Outage;
use super::shim::{Environment, switch_storage_faults};
use super::state::{RunState, SharedRun};
use super::{client, endpoint, proxy};
use crate::accept::accept_each;
use crate::clients::wait_until_ready;
use crate::endpoints::ListedEndpoint;
use crate::platform::{self, Discovery, OutcomeNotification};
use crate::process::{InstanceProcess, Signal};
use crate::scratch::ScratchDirectory;
use rand::RngExt;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Time in which an instance must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which an instance must end after SIGTERM: when its supervision would kill it, and a reserve.
const EXIT_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time from SIGKILL, or from the end of a process after SIGTERM, to the restart.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Time after the last deadline for which a run continues, beyond the slack of the rules.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Text of the log line that says that the event loop of an instance was held up.
const EVENT_LOOP_DELAY: &str = "event loop was held up";
/// Number of addresses of the platform, of which the first is in use until it moves.
const PLATFORM_ADDRESSES: usize = 2;
/// Interval of the checks whether the laboratory itself was held up.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Processes of all instances; `None` from the signal to the restart.
pub(super) type Processes = RefCell<Vec<Option<InstanceProcess>>>;

/// Files and address of one instance.
struct InstanceFiles {
    listen: SocketAddr,
    state: ScratchDirectory,
    files: ScratchDirectory,
    /// Environment variables of the process, beyond those of this one.
    environment: Environment,
    /// Level of the log.
    log_level: &'static str,
}

impl InstanceFiles {
    fn start(&self, program: &Path) -> io::Result<InstanceProcess> {
        let log_level = self.log_level;
        let [config, log] = ["config", "log"].map(|name| self.files.0.join(name));
        let paths = [&config, &self.state.0, &log].map(PathBuf::as_path);
        InstanceProcess::start_with_environment(program, log_level, paths, self.environment.variables())
    }
}

/// Runs `plan` with instances of `program` and returns the verdict. The logs, at level `debug`, are copied to `logs` if
/// that is given.
///
/// # Errors
///
/// Returns an error if a part of the run cannot be started.
pub async fn run(program: &Path, plan: &Plan, logs: Option<&Path>) -> io::Result<Verdict> {
    let run = RunState::shared(plan);
    let endpoints = start_endpoints(&run, plan).await?;
    let (sender, outcomes) = unbounded_channel::<OutcomeNotification>();
    let discovery = Discovery::new(&endpoints);
    let platform_faults = PlatformFaults::new(run.clone(), plan.platform_faults.clone());
    let mut control = Vec::new();
    for number in 0..PLATFORM_ADDRESSES {
        let behaviour = platform_faults.behaviour(number);
        control.push(platform::start_with_behaviour(discovery.clone(), sender.clone(), behaviour).await?);
    }
    let mut instances = Vec::new();
    for number in 0..plan.instances {
        let known = discovery.borrow().list();
        let log_level = if logs.is_some() { "debug" } else { "info" };
        instances.push(prepare_instance(plan, number, control[0], known, log_level)?);
    }
    let processes = instances.iter().map(|instance| instance.start(program).map(Some));
    let processes = RefCell::new(processes.collect::<io::Result<_>>()?);
    for instance in &instances {
        if !wait_until_ready(instance.listen, READY_TIMEOUT).await {
            return Err(io::Error::other("an instance did not become ready"));
        }
    }
    run.borrow_mut().record.started = Instant::now();
    spawn_local(watch_own_pauses(run.clone()));
    spawn_local(record_outcomes(run.clone(), outcomes));
    let mut clients = JoinSet::new();
    for (number, instance) in instances.iter().enumerate() {
        clients.spawn_local(client::submit(run.clone(), plan.clone(), number, instance.listen));
        clients.spawn_local(client::submit_clumps(run.clone(), plan.clone(), number, instance.listen));
        clients.spawn_local(client::submit_burst(run.clone(), plan.clone(), number, instance.listen));
    }
    let addresses: Vec<_> = instances.iter().map(|instance| instance.listen).collect();
    let files: Vec<_> = instances.iter().map(|instance| instance.files.0.clone()).collect();
    start_crowd(&run, plan, addresses[0]);
    let hold_ups = hold_up_instances(&run, plan, &processes, &addresses);
    let moves = move_platform(&run, plan, &processes, &files, (&platform_faults, &control));
    let storage_faults = fail_storage(plan, run.borrow().record.started, instances[0].files.0.clone());
    let outage = fail_discovery(plan, run.borrow().record.started, &discovery);
    let pauses = pause_instances(plan, run.borrow().record.started, &processes);
    let reloads = reload_instances(plan, run.borrow().record.started, &processes);
    let restarts = restart_instances(&run, plan, program, &mut instances, &processes);
    tokio::try_join!(storage_faults, outage, pauses, hold_ups, moves, reloads, restarts)?;
    while clients.join_next().await.is_some() {}
    sleep(plan.time_to_live + SETTLE_TIME).await;
    if let Some(logs) = logs {
        copy_logs(&instances, logs)?;
    }
    let mut verdict = audit(&run.borrow().record);
    verdict.event_loop_delays = count_event_loop_delays(&instances)?;
    Ok(verdict)
}

/// Records the final outcomes that the platform reads.
async fn record_outcomes(run: SharedRun, mut outcomes: UnboundedReceiver<OutcomeNotification>) {
    while let Some(outcome) = outcomes.recv().await {
        let outcomes = &mut run.borrow_mut().record.outcomes;
        outcomes.entry(outcome.id).or_default().push((outcome.received_at, outcome.rejected));
    }
}

/// Returns how often the event loops of the instances were held up since their last start, as their logs say.
fn count_event_loop_delays(instances: &[InstanceFiles]) -> io::Result<usize> {
    let mut count = 0;
    for instance in instances {
        let log = std::fs::read_to_string(instance.files.0.join("log"))?;
        count += log.matches(EVENT_LOOP_DELAY).count();
    }
    Ok(count)
}

/// Records the times for which the laboratory itself was held up.
async fn watch_own_pauses(run: SharedRun) {
    loop {
        let due = Instant::now() + PAUSE_CHECK_INTERVAL;
        sleep_until(due).await;
        let now = Instant::now();
        if now - due > PAUSE_CHECK_INTERVAL {
            run.borrow_mut().record.pauses.push(due..=now);
        }
    }
}

async fn start_endpoints(run: &SharedRun, plan: &Plan) -> io::Result<Vec<ListedEndpoint>> {
    let mut listed = Vec::new();
    for number in 0..plan.endpoint_count() {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (shared, endpoint_plan) = (run.clone(), plan.clone());
        spawn_local(accept_each(listener, move |stream| {
            endpoint::serve(shared.clone(), endpoint_plan.clone(), number, stream)
        }));
        let copies = plan.copies.clone().filter(|copies| number % copies.one_endpoint_in == 0);
        // A proxy without copies only hides resets of the endpoint.
        let listed_address = if plan.over.is_some() && copies.is_none() {
            address
        } else {
            start_proxy(run, plan, number, address, copies).await?
        };
        listed.push(ListedEndpoint {
            id: format!("e{number}"),
            address: listed_address,
            zone: "z".into(),
            kind: "k".into(),
            destination: plan.destination_of(number),
        });
    }
    Ok(listed)
}

async fn start_proxy(
    run: &SharedRun,
    plan: &Plan,
    number: usize,
    endpoint: SocketAddr,
    copies: Option<CopyPlan>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (shared, path_time) = (run.clone(), plan.path_time.clone());
    spawn_local(accept_each(listener, move |stream| {
        let path_time = if path_time.is_empty() {
            Duration::ZERO
        } else {
            shared.borrow_mut().rng.random_range(path_time.clone())
        };
        let server = proxy::Server { number, address: endpoint, path_time, copies: copies.clone() };
        proxy::forward(shared.clone(), server, stream)
    }));
    Ok(address)
}

fn prepare_instance(
    plan: &Plan,
    number: usize,
    control: SocketAddr,
    known: Value,
    log_level: &'static str,
) -> io::Result<InstanceFiles> {
    // An address on a host that nothing else binds to, so that the port stays free for a restart.
    let host = format!("127.0.{}.{}:0", 90 + plan.seed % 100, 1 + number);
    let listen = std::net::TcpListener::bind(host)?.local_addr()?;
    let classes: Vec<_> = SERVICE_CLASSES
        .iter()
        .map(|class| {
            json!({"name": class.name, "effect": class.effect, "memorySpanUs": class.window.as_micros() as u64,
                "byArrival": plan.ordering_keys.is_some(),
                "aimUs": 1_000_000, "giveUpUs": plan.time_to_live.as_micros() as u64})
        })
        .collect();
    let configuration = json!({"listen": listen.to_string(), "discovery": control.to_string(),
        "seed": format!("{:x}", plan.seed + number as u64), "known": known,
        "limits": {"sockets": 512, "disk_mb": 8},
        "settings": {"nInstances": plan.instances, "zone": "z", "failureDomains": ["z"], "skus": ["k"],
            "familyInfo": {"maxCalls": 64}, "classes": classes,
            "limits": {"mostTries": 12, "maxOpen": plan.max_pending(), "retryAfter": true, "maxRetryAfterUs": 1_000_000,
                "idleCloseUs": 5_000_000, "connectTimeoutUs": 1_000_000}}});
    let files = ScratchDirectory::new();
    std::fs::write(files.0.join("config"), configuration.to_string())?;
    let state = ScratchDirectory::new();
    let environment = prepare_environment(plan, number, &files.0, &state.0)?;
    Ok(InstanceFiles { listen, state, files, environment, log_level })
}

fn prepare_environment(plan: &Plan, number: usize, files: &Path, state: &Path) -> io::Result<Environment> {
    let mut environment = Environment::new(plan.seed + number as u64);
    if let Some(short_io) = plan.short_io {
        environment.add_short_io(files, short_io)?;
    }
    if let Some(faults) = plan.socket_faults {
        environment.add_socket_faults(files, faults)?;
    }
    if plan.is_input_unstamped {
        environment.add_unstamped_input(files)?;
    }
    if plan.restarts.iter().any(|restart| restart.wall_clock_step_s != 0) {
        environment.add_wall_clock(files)?;
    }
    if let Some(faults) = plan.storage_faults.as_ref().filter(|_| number == 0) {
        environment.add_storage_faults(files, state, faults.failed_percent)?;
    }
    Ok(environment)
}

/// Makes operations on the files of the instance with the directory `files` fail at the planned time.
async fn fail_storage(plan: &Plan, started: Instant, files: PathBuf) -> io::Result<()> {
    let Some(faults) = &plan.storage_faults else { return Ok(()) };
    sleep_until(started + faults.time.start).await;
    switch_storage_faults(&files, true)?;
    sleep_until(started + faults.time.end).await;
    switch_storage_faults(&files, false)
}

/// Makes discovery unreachable at the planned time.
async fn fail_discovery(plan: &Plan, started: Instant, discovery: &RefCell<Discovery>) -> io::Result<()> {
    let Some(outage) = &plan.discovery_outage else { return Ok(()) };
    sleep_until(started + outage.start).await;
    discovery.borrow_mut().set_unreachable(true);
    sleep_until(started + outage.end).await;
    discovery.borrow_mut().set_unreachable(false);
    Ok(())
}

/// Sends a signal to an instance unless it is being restarted.
pub(super) fn signal(processes: &Processes, instance: usize, signal: Signal) -> io::Result<()> {
    match &processes.borrow()[instance] {
        Some(process) => process.signal(signal).map(drop),
        None => Ok(()),
    }
}

/// Stops instances for a moment as planned, unless they are being restarted.
async fn pause_instances(plan: &Plan, started: Instant, processes: &Processes) -> io::Result<()> {
    for pause in &plan.pauses {
        sleep_until(started + pause.at).await;
        signal(processes, pause.instance, Signal::STOP)?;
        sleep(pause.length).await;
        signal(processes, pause.instance, Signal::CONT)?;
    }
    Ok(())
}

/// Sends SIGHUP to instances as planned, unless they are being restarted.
async fn reload_instances(plan: &Plan, started: Instant, processes: &Processes) -> io::Result<()> {
    for reload in &plan.reloads {
        sleep_until(started + reload.at).await;
        signal(processes, reload.instance, Signal::HUP)?;
    }
    Ok(())
}

/// Sends the planned signals and starts each instance again on its state directory.
async fn restart_instances(
    run: &SharedRun,
    plan: &Plan,
    program: &Path,
    instances: &mut [InstanceFiles],
    processes: &Processes,
) -> io::Result<()> {
    for restart in &plan.restarts {
        let started = run.borrow().record.started;
        sleep_until(started + restart.at).await;
        let signalled = Instant::now();
        let Some(mut process) = processes.borrow_mut()[restart.instance].take() else { continue };
        process.signal(restart.signal)?;
        // Ends a pause, during which SIGTERM has no effect.
        process.signal(Signal::CONT)?;
        let ended = timeout(EXIT_TIMEOUT, process.wait_for_exit()).await;
        ended.map_err(|_| io::Error::other("an instance did not end after its signal"))??;
        let ended = Instant::now();
        sleep(RESTART_DELAY).await;
        let instance = &mut instances[restart.instance];
        instance.environment.set_wall_clock(restart.wall_clock_step_s);
        processes.borrow_mut()[restart.instance] = Some(instance.start(program)?);
        if !wait_until_ready(instance.listen, READY_TIMEOUT).await {
            return Err(io::Error::other("a restarted instance did not become ready"));
        }
        let ready = Instant::now();
        let outage = Outage { instance: restart.instance, signalled, ended, ready };
        run.borrow_mut().record.outages.push(outage);
    }
    Ok(())
}

fn start_crowd(run: &SharedRun, plan: &Plan, instance: SocketAddr) {
    let Some(crowd) = &plan.crowd else { return };
    let end = run.borrow().record.started + plan.load_time + plan.time_to_live;
    for _ in 0..crowd.clients {
        spawn_local(idle_client(run.clone(), crowd.clone(), instance, end));
    }
}

/// Moves the platform to its second address as planned: changes the configurations, and sends SIGHUP to all instances.
async fn move_platform(
    run: &SharedRun,
    plan: &Plan,
    processes: &Processes,
    files: &[PathBuf],
    (faults, control): (&PlatformFaults, &[SocketAddr]),
) -> io::Result<()> {
    let Some(at) = plan.platform_faults.as_ref().and_then(|faults| faults.moves_at) else { return Ok(()) };
    let started = run.borrow().record.started;
    sleep_until(started + at).await;
    for directory in files {
        let path = directory.join("config");
        let mut configuration: Value = serde_json::from_slice(&std::fs::read(&path)?)?;
        configuration["discovery"] = json!(control[1].to_string());
        std::fs::write(&path, configuration.to_string())?;
    }
    faults.move_to(1);
    (0..files.len()).try_for_each(|instance| signal(processes, instance, Signal::HUP))
}

fn copy_logs(instances: &[InstanceFiles], directory: &Path) -> io::Result<()> {
    std::fs::create_dir_all(directory)?;
    for (number, instance) in instances.iter().enumerate() {
        let target: PathBuf = directory.join(format!("instance-{number}.log"));
        std::fs::copy(instance.files.0.join("log"), target)?;
    }
    Ok(())
}
