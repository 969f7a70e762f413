//! Startup: opens the resources of an instance, recovers its messages, and serves clients until shutdown is requested.
//!
//! Invariant: no client is served before the unfinished messages in the log are recovered.

use crate::clients::{self, Phase};
use crate::configuration::{
    self, ConfigurationError, ConfiguredDispatcher, ConnectionTimeouts, GossipAddresses, ResourceLimits,
};
use crate::discovery::{self, Origin};
use crate::error::ServeError;
use crate::event_loop::{self, EventLoopClock};
use crate::gossip::GossipSocket;
use crate::instance::{Instance, InstanceParts};
use crate::outcomes;
use crate::pool::ConnectionPool;
use crate::shutdown::{self, ClientConnections};
use crate::startup_retry::retry_while_temporary;
use crate::wal::{LoggedMessage, Wal};
use crate::wall_clock::WallClock;
use quillhub::{Dispatcher, MessageId};
use quillhub_settings::Setting;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// File descriptors reserved for discovery, the platform, gossip, the state directory and the process itself.
const RESERVED_DESCRIPTORS: usize = 64;
/// Client connections get one in this many of the unreserved descriptors: a half, because each client may cause an
/// attempt, which needs a descriptor too.
const CLIENTS_DIVISOR: usize = 2;
/// One in this many of the clients' descriptors is for connections that wait until others are evicted for them.
const WAITING_DIVISOR: usize = 8;
/// Maximum number of client connections that wait until others are evicted for them.
const MAX_WAITING_CLIENTS: usize = 32;
/// Idle connections to endpoints get at most one in this many of the unreserved descriptors: a quarter. Attempts in
/// flight have the remaining quarter and displace idle connections if they need more.
const IDLE_DIVISOR: usize = 4;
/// Interval between searches for expired idle connections; well below the usual idle timeout of endpoints.
const CLOSE_EXPIRED_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two log lines with figures.
const FIGURES_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum time that startup waits for the first response of discovery, which responds immediately unless it is down.
const DISCOVERY_WAIT_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay before a task that panicked is restarted.
const TASK_RESTART_DELAY: Duration = Duration::from_millis(50);

/// Part of the configuration that startup needs.
struct StartupConfiguration {
    dispatcher: Dispatcher,
    /// `true` if the settings declare that responses contain load reports.
    load_reports: bool,
    /// Address on which clients connect.
    listen: SocketAddr,
    /// Maximum size of the state directory in bytes.
    state_bytes: u64,
    connections: ConnectionLimits,
    connect_timeout: Duration,
    /// Time after which endpoints close an idle connection.
    idle_timeout: Duration,
    /// `true` if the dispatcher decides when discovery is polled (`membershipMode` is `subscribe`).
    must_be_polled: bool,
    gossip: Option<GossipAddresses>,
}

/// Limits on the numbers of connections, so that descriptors remain for everything else.
struct ConnectionLimits {
    /// Maximum number of client connections that are served.
    clients: usize,
    /// Maximum number of client connections that wait until others are evicted for them.
    waiting_clients: usize,
    /// Maximum number of connections to endpoints, idle ones included.
    endpoints: usize,
    /// Maximum number of idle connections to endpoints.
    idle: usize,
}

impl ConnectionLimits {
    /// Divides `descriptors`, the number of file descriptors that the process may use.
    fn within(descriptors: usize) -> Self {
        let unreserved = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let clients = unreserved / CLIENTS_DIVISOR;
        let waiting_clients = (clients / WAITING_DIVISOR).clamp(1, MAX_WAITING_CLIENTS);
        Self {
            clients: clients.saturating_sub(waiting_clients).max(1),
            waiting_clients,
            endpoints: unreserved - unreserved / CLIENTS_DIVISOR,
            idle: unreserved / IDLE_DIVISOR,
        }
    }
}

impl StartupConfiguration {
    fn read(root: &Setting) -> Result<Self, ConfigurationError> {
        let ConfiguredDispatcher { dispatcher, load_reports } = configuration::dispatcher(root)?;
        let listen = configuration::listen(root)?;
        let ResourceLimits { state_bytes, descriptors } = configuration::resource_limits(root)?;
        let ConnectionTimeouts { connect, idle } = configuration::connection_timeouts(root)?;
        let must_be_polled = configuration::must_be_polled(root)?;
        let gossip = configuration::gossip(root)?;
        Ok(Self {
            dispatcher,
            load_reports,
            listen,
            state_bytes,
            connections: ConnectionLimits::within(descriptors),
            connect_timeout: connect,
            idle_timeout: idle,
            must_be_polled,
            gossip,
        })
    }
}

/// Instance whose resources are open and whose tasks are not yet running.
struct OpenedInstance {
    instance: Rc<RefCell<Instance>>,
    gossip: Option<Rc<GossipSocket>>,
    /// Unfinished messages in the log.
    recovered: BTreeMap<MessageId, LoggedMessage>,
}

/// Runs an instance until `stop` completes and the shutdown after it is finished. `discovery` is the address of
/// discovery and the platform, which may change meanwhile.
///
/// # Errors
///
/// Returns an error if the instance cannot start.
pub async fn run(
    root: &Setting<'_>,
    state_directory: &Path,
    discovery: watch::Receiver<SocketAddr>,
    stop: impl Future<Output = ()>,
) -> Result<(), ServeError> {
    let configuration = StartupConfiguration::read(root)?;
    let listen = configuration.listen;
    let max_clients = (configuration.connections.clients, configuration.connections.waiting_clients);
    let must_be_polled = configuration.must_be_polled;
    let OpenedInstance { instance, gossip, recovered } = open(configuration, state_directory).await?;
    let revision = load_configured_endpoints(root, &instance)?;
    send_outcomes(&instance, &discovery);
    watch_discovery(&instance, discovery, revision, must_be_polled);
    recover(&instance, recovered).await;
    if let Some(gossip) = gossip {
        receive_gossip(&instance, gossip);
    }
    repeat_every(CLOSE_EXPIRED_INTERVAL, &instance, Instance::close_expired_connections);
    repeat_every(FIGURES_INTERVAL, &instance, Instance::log_figures);
    let listener = retry_while_temporary(async || TcpListener::bind(listen).await).await;
    let listener = listener.map_err(ServeError::Listen)?;
    tracing::info!(%listen, "serving");
    let clients = accept_clients(&instance, listener, max_clients);
    stop.await;
    tracing::info!("stopping");
    shutdown::shut_down(&instance, &clients).await;
    tracing::info!("stopped");
    Ok(())
}

/// Opens the gossip socket, if configured, and the state directory, and creates the instance.
async fn open(
    configuration: StartupConfiguration,
    state_directory: &Path,
) -> Result<OpenedInstance, ServeError> {
    let gossip = match configuration.gossip {
        Some(GossipAddresses { listen, all, own }) => {
            let socket = retry_while_temporary(async || GossipSocket::open(listen, all, own).await).await;
            Some(Rc::new(socket.map_err(ServeError::GossipAddress)?))
        }
        None => None,
    };
    let open = async || Wal::open(state_directory, configuration.state_bytes);
    let opened = retry_while_temporary(open).await;
    let (wal, recovered) = opened.map_err(ServeError::StateDirectory)?;
    let instance = Instance::new(InstanceParts {
        dispatcher: configuration.dispatcher,
        wal,
        wall_clock: WallClock::open(state_directory),
        pool: ConnectionPool::new(configuration.idle_timeout, configuration.connections.idle),
        connect_timeout: configuration.connect_timeout,
        gossip: gossip.clone(),
        load_reports: configuration.load_reports,
    });
    instance.borrow_mut().limit_connections(configuration.connections.endpoints);
    Ok(OpenedInstance { instance, gossip, recovered })
}

/// Loads the endpoint list in the configuration and returns its revision, or `None` if the configuration has no list.
fn load_configured_endpoints(
    root: &Setting,
    instance: &RefCell<Instance>,
) -> Result<Option<u64>, ServeError> {
    let Some(known) = root.get("known") else { return Ok(None) };
    let mut instance = instance.borrow_mut();
    let revision = discovery::update_endpoints(&mut instance, known.json(), Origin::Configuration);
    Ok(Some(revision.map_err(ConfigurationError::from)?))
}

/// Recovers the messages in the log, after the first response of discovery or [`DISCOVERY_WAIT_TIMEOUT`].
///
/// Prevents recovered messages from being attempted according to an outdated endpoint list, for example at endpoints
/// that drain: the instance must use discovery's current list from its start on, but that list arrives only after the
/// start, and recovered messages are attempted immediately. Delays startup by up to [`DISCOVERY_WAIT_TIMEOUT`] while
/// discovery does not respond.
async fn recover(instance: &RefCell<Instance>, recovered: BTreeMap<MessageId, LoggedMessage>) {
    let responded = instance.borrow().discovery_responded();
    // Applies the rules once, so that the dispatcher requests its first watch.
    instance.borrow_mut().handle_event(|_| ());
    let _ = timeout(DISCOVERY_WAIT_TIMEOUT, responded.notified()).await;
    instance.borrow_mut().recover(recovered);
}

/// Spawns a task and restarts it whenever it panics, so that a panic ends only the work that the task was doing at the
/// time. A task that returns is not restarted.
pub fn supervise<F: Future<Output = ()> + 'static>(create_task: impl Fn() -> F + 'static) {
    spawn_local(async move {
        while spawn_local(create_task()).await.is_err() {
            sleep(TASK_RESTART_DELAY).await;
        }
    });
}

fn send_outcomes(instance: &Rc<RefCell<Instance>>, platform: &watch::Receiver<SocketAddr>) {
    let (instance, platform) = (instance.clone(), platform.clone());
    supervise(move || outcomes::send(instance.clone(), platform.clone()));
}

fn watch_discovery(
    instance: &Rc<RefCell<Instance>>,
    discovery: watch::Receiver<SocketAddr>,
    revision: Option<u64>,
    must_be_polled: bool,
) {
    let (instance, watch_state) = (instance.clone(), discovery::WatchState::new(revision));
    supervise(move || {
        discovery::keep_watching(instance.clone(), discovery.clone(), watch_state.clone(), must_be_polled)
    });
}

fn receive_gossip(instance: &Rc<RefCell<Instance>>, socket: Rc<GossipSocket>) {
    let instance = instance.clone();
    supervise(move || {
        let instance = instance.clone();
        socket.clone().receive(move |gossip| {
            instance.borrow_mut().handle_event(|dispatcher| dispatcher.gossip_received(gossip));
        })
    });
}

/// Calls `action` with the instance at each end of `interval`.
fn repeat_every(interval: Duration, instance: &Rc<RefCell<Instance>>, action: fn(&mut Instance)) {
    let instance = instance.clone();
    supervise(move || {
        let instance = instance.clone();
        async move {
            loop {
                sleep(interval).await;
                action(&mut instance.borrow_mut());
            }
        }
    });
}

fn accept_clients(
    instance: &Rc<RefCell<Instance>>,
    listener: TcpListener,
    (max_clients, max_waiting): (usize, usize),
) -> ClientConnections {
    let (phase, phase_receiver) = watch::channel(Phase::Serving);
    let permits = Arc::new(Semaphore::new(max_clients));
    let event_loop = EventLoopClock::new();
    let admission = clients::Admission::new(phase_receiver, permits.clone(), max_waiting, event_loop.clone());
    supervise(move || event_loop::watch(event_loop.clone()));
    let (instance, listener) = (instance.clone(), Rc::new(listener));
    supervise(move || clients::accept(instance.clone(), listener.clone(), admission.clone()));
    ClientConnections { phase, permits, max_open: max_clients }
}
