//! Startup: opens what an instance needs, recovers its messages, and serves until it is told to stop.
//!
//! Invariant: the first client is answered once what the log held is pending again.

use crate::clients::{self, Phase};
use crate::configuration::{
    self, ConfigurationError, ConfiguredDispatcher, ConnectionTimeouts, GossipAddresses, ResourceLimits,
};
use crate::discovery::{self, Origin};
use crate::error::ServeError;
use crate::gossip::GossipSocket;
use crate::instance::{Instance, InstanceParts};
use crate::outcomes;
use crate::pool::ConnectionPool;
use crate::shutdown::{self, ClientConnections};
use crate::wal::{RecoveredMessage, Wal};
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

/// Descriptors for all that is neither a client's connection nor one to an endpoint.
const OTHER_DESCRIPTORS: usize = 64;
/// Part of the rest that clients' connections may take: a half, as each may bring an attempt.
const CLIENTS_PART: usize = 2;
/// Part of it that idle connections to endpoints may take; attempts in flight have the last quarter, and that of the
/// idle ones as they need it.
const IDLE_PART: usize = 4;
/// How often closed idle connections are looked for: well within the time that one is pooled.
const CLOSE_EXPIRED_INTERVAL: Duration = Duration::from_millis(500);
/// How long a start waits for discovery's first response: it responds at once, unless it is down.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause before a job that panicked is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(50);

/// What the configuration says of an instance.
struct Settings {
    dispatcher: Dispatcher,
    /// Whether responses hold load reports.
    load_reports: bool,
    /// Where clients connect.
    listen: SocketAddr,
    /// Octets that the state directory may hold.
    state_bytes: u64,
    connections: ConnectionLimits,
    connect_timeout: Duration,
    /// When endpoints close idle connections.
    idle_timeout: Duration,
    /// Whether discovery tells of changes only when it is polled.
    must_be_polled: bool,
    gossip: Option<GossipAddresses>,
}

/// How many connections there may be, so that descriptors are left for the rest.
struct ConnectionLimits {
    clients: usize,
    endpoints: usize,
    /// Of those to endpoints.
    idle: usize,
}

impl ConnectionLimits {
    fn within(descriptors: usize) -> Self {
        let free = descriptors.saturating_sub(OTHER_DESCRIPTORS);
        Self {
            clients: (free / CLIENTS_PART).max(1),
            endpoints: free - free / CLIENTS_PART,
            idle: free / IDLE_PART,
        }
    }
}

impl Settings {
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

/// An instance that has not begun to work.
struct Opened {
    instance: Rc<RefCell<Instance>>,
    gossip: Option<Rc<GossipSocket>>,
    /// What its log held.
    recovered: BTreeMap<MessageId, RecoveredMessage>,
}

/// Runs an instance until `stop` is done and its shutdown is over; `discovery` is where discovery and the platform
/// are.
///
/// # Errors
///
/// If the instance cannot start.
pub async fn run(
    root: &Setting<'_>,
    state: &Path,
    discovery: watch::Receiver<SocketAddr>,
    stop: impl Future<Output = ()>,
) -> Result<(), ServeError> {
    let settings = Settings::read(root)?;
    let (listen, max_clients) = (settings.listen, settings.connections.clients);
    let must_be_polled = settings.must_be_polled;
    let Opened { instance, gossip, recovered } = open(settings, state).await?;
    let revision = list_at_start(root, &instance)?;
    flush_outcomes(&instance, &discovery);
    follow_discovery(&instance, discovery, revision, must_be_polled);
    recover(&instance, recovered).await;
    if let Some(gossip) = gossip {
        receive_gossip(&instance, gossip);
    }
    close_expired_connections(&instance);
    let listener = TcpListener::bind(listen).await.map_err(ServeError::Listen)?;
    tracing::info!(%listen, "serving");
    let clients = accept_clients(&instance, listener, max_clients);
    stop.await;
    tracing::info!("stopping");
    shutdown::shut_down(&instance, &clients).await;
    tracing::info!("stopped");
    Ok(())
}

/// Opens what the instance needs.
async fn open(settings: Settings, state: &Path) -> Result<Opened, ServeError> {
    let gossip = match settings.gossip {
        Some(GossipAddresses { listen, all, own }) => {
            let socket = GossipSocket::open(listen, all, own).await;
            Some(Rc::new(socket.map_err(ServeError::GossipAddress)?))
        }
        None => None,
    };
    let opened = Wal::open(state, settings.state_bytes);
    let (wal, recovered) = opened.map_err(ServeError::StateDirectory)?;
    let instance = Instance::new(InstanceParts {
        dispatcher: settings.dispatcher,
        wal,
        pool: ConnectionPool::new(settings.idle_timeout, settings.connections.idle),
        connect_timeout: settings.connect_timeout,
        gossip: gossip.clone(),
        load_reports: settings.load_reports,
    });
    instance.borrow_mut().limit_connections(settings.connections.endpoints);
    Ok(Opened { instance, gossip, recovered })
}

/// Takes over the endpoint list that the configuration holds, if it does, and gives its revision.
fn list_at_start(root: &Setting, instance: &RefCell<Instance>) -> Result<Option<u64>, ServeError> {
    let Some(known) = root.get("known") else { return Ok(None) };
    let mut instance = instance.borrow_mut();
    let revision = discovery::update_endpoints(&mut instance, known.json(), Origin::Configuration);
    Ok(Some(revision.map_err(ConfigurationError::from)?))
}

/// Recovers what the log held. Against attempts by the list that the last process had: what discovery has now counts
/// as heard from the first moment on, and the messages go by it at once. Delays a start while discovery is silent.
async fn recover(instance: &RefCell<Instance>, recovered: BTreeMap<MessageId, RecoveredMessage>) {
    let responded = instance.borrow().discovery_responded();
    instance.borrow_mut().handle_event(|_| ());
    let _ = timeout(FIRST_RESPONSE_TIMEOUT, responded.notified()).await;
    instance.borrow_mut().recover(recovered);
}

/// Keeps a job running that is to last as long as the process: a panic ends only what it was at.
pub fn supervise<F: Future<Output = ()> + 'static>(job: impl Fn() -> F + 'static) {
    spawn_local(async move {
        while spawn_local(job()).await.is_err() {
            sleep(RESTART_PAUSE).await;
        }
    });
}

fn flush_outcomes(instance: &Rc<RefCell<Instance>>, platform: &watch::Receiver<SocketAddr>) {
    let (instance, platform) = (instance.clone(), platform.clone());
    supervise(move || outcomes::flush(instance.clone(), platform.clone()));
}

fn follow_discovery(
    instance: &Rc<RefCell<Instance>>,
    discovery: watch::Receiver<SocketAddr>,
    revision: Option<u64>,
    must_be_polled: bool,
) {
    let (instance, progress) = (instance.clone(), discovery::Progress::new(revision));
    supervise(move || {
        discovery::follow(instance.clone(), discovery.clone(), progress.clone(), must_be_polled)
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

fn close_expired_connections(instance: &Rc<RefCell<Instance>>) {
    let instance = instance.clone();
    supervise(move || {
        let instance = instance.clone();
        async move {
            loop {
                sleep(CLOSE_EXPIRED_INTERVAL).await;
                instance.borrow_mut().close_expired_connections();
            }
        }
    });
}

fn accept_clients(instance: &Rc<RefCell<Instance>>, listener: TcpListener, max: usize) -> ClientConnections {
    let (phase, seen) = watch::channel(Phase::Serving);
    let permits = Arc::new(Semaphore::new(max));
    let admission = clients::Admission::new(seen, permits.clone());
    let (instance, listener) = (instance.clone(), Rc::new(listener));
    supervise(move || clients::accept(instance.clone(), listener.clone(), admission.clone()));
    ClientConnections { phase, permits, max }
}
