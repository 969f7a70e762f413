//! The endpoints of a scenario on loopback: one listener each, behind which the simulator's own site decides what a
//! call meets, and the scenario's faults at their instants.

use crate::accept::accept_each;
use crate::http::{Request, ServerConnection};
use quillhub_simulator::{Admission, ConnectionFaults, Scenario, Site, SocketFault};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// What an endpoint saw, by the id that its call named.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEvent {
    /// The id of the call; empty if it named none.
    pub id: String,
    /// Its idempotency key, if it named one.
    pub idempotency_key: Option<String>,
    /// When it was seen.
    pub at: Instant,
    /// What was seen.
    pub kind: EndpointEventKind,
}

/// What an endpoint saw of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointEventKind {
    /// It arrived.
    Arrived,
    /// It was rejected.
    Rejected,
    /// It failed.
    Failed,
    /// It ran, and 200 was written.
    Delivered,
    /// It ran, and no response was written.
    ExecutedUnheard,
}

/// One endpoint, as service discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Its id.
    pub id: String,
    /// Its address.
    pub at: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// The kind of its destination.
    pub kind: String,
    /// The number of its destination, from 1.
    pub destination: u64,
}

struct State<'a> {
    site: Site<'a>,
    rng: Pcg64Mcg,
    started: Instant,
    /// Calls that wait for a worker, by number; gone when one is free.
    queued: BTreeMap<u64, oneshot::Sender<()>>,
    /// Connections now open, by server.
    open: Vec<usize>,
    calls: u64,
    events: UnboundedSender<EndpointEvent>,
}

type Shared = Rc<RefCell<State<'static>>>;

/// Checks that sockets on loopback can show all faults of a scenario; the first that they cannot, in words.
pub fn check_supported(scenario: &Scenario) -> Result<(), String> {
    let site = Site::new(scenario, 0);
    for (at, scheduled) in scenario.faults.iter().enumerate() {
        if matches!(site.socket_fault(at), SocketFault::Not) {
            let found = &scheduled.fault;
            return Err(format!(
                "faults[{at}].what: expected a trouble that sockets can show, found {found:?}"
            ));
        }
    }
    Ok(())
}

/// Starts the endpoints of `scenario` on the current thread's local tasks. Scenario and clock begin at `started`;
/// they last as long as the process, as does the scenario's description.
pub async fn start(
    scenario: &'static Scenario,
    seed: u64,
    started: Instant,
    events: UnboundedSender<EndpointEvent>,
) -> std::io::Result<Vec<Listed>> {
    let site = Site::new(scenario, seed);
    let rng = Pcg64Mcg::seed_from_u64(seed);
    let open = vec![0; site.servers()];
    let state = State { site, rng, started, queued: BTreeMap::new(), open, calls: 0, events };
    let state = Rc::new(RefCell::new(state));
    let mut listed = Vec::new();
    let servers = state.borrow().site.servers();
    for server in 0..servers {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let at = listener.local_addr()?;
        let (destination, kind, zone) = {
            let state = state.borrow();
            let owner = state.site.owner(server);
            (owner.destination as u64 + 1, owner.kind.to_owned(), owner.zone.to_owned())
        };
        listed.push(Listed { id: format!("e{}", server + 1), at, zone, kind, destination });
        let state = state.clone();
        spawn_local(accept_each(listener, move |stream| {
            connection(state.clone(), server, ServerConnection::new(stream))
        }));
    }
    for (number, scheduled) in scenario.faults.iter().enumerate() {
        let state = state.clone();
        let (begin, end) = (started + scheduled.at, started + scheduled.at + scheduled.lasts);
        spawn_local(async move {
            sleep_until(begin).await;
            state.borrow_mut().begin_fault(number);
            sleep_until(end).await;
            let mut state = state.borrow_mut();
            let now = state.started.elapsed();
            state.site.ends_fault(number, now);
        });
    }
    Ok(listed)
}

impl State<'_> {
    fn begin_fault(&mut self, number: usize) {
        let now = self.started.elapsed();
        self.site.begins_fault(number, now);
        // Whoever waits at one that refuses from now on is cut off when its sender is dropped.
        let waiting: Vec<_> = self.queued.keys().copied().collect();
        let still = self.site.queued();
        waiting.iter().filter(|call| !still.contains(call)).for_each(|call| {
            self.queued.remove(call);
        });
    }
}

/// Serves one connection until it ends.
async fn connection(state: Shared, server: usize, link: ServerConnection) {
    let ConnectionFaults { refuses, silent } = state.borrow().site.connection_faults(server);
    let full = {
        let mut state = state.borrow_mut();
        state.open[server] += 1;
        state.site.connections(server).is_some_and(|most| state.open[server] > most)
    };
    if refuses || full {
        link.reset();
    } else if silent {
        std::future::pending::<()>().await;
    } else {
        let _ = calls(&state, server, link).await;
    }
    state.borrow_mut().open[server] -= 1;
}

fn report(state: &Shared, request: &Request, kind: EndpointEventKind) {
    let id = request.id.clone().unwrap_or_default();
    let idempotency_key = request.idempotency_key.clone();
    let event = EndpointEvent { id, idempotency_key, at: Instant::now(), kind };
    let _ = state.borrow().events.send(event);
}

/// Answers the calls of one connection, one after the other.
async fn calls(state: &Shared, server: usize, mut link: ServerConnection) -> std::io::Result<()> {
    let idle = state.borrow().site.idle_close();
    loop {
        let next = tokio::time::timeout(idle, link.next()).await;
        let Ok(Some(request)) = next.unwrap_or(Ok(None)) else { return Ok(()) };
        if request.method != "POST" || request.path != "/events" {
            link.answer(404, "", b"").await?;
            continue;
        }
        report(state, &request, EndpointEventKind::Arrived);
        let call = Call::arrive(state, server, request);
        let admission = call.admission;
        let is_open = match admission {
            Admission::Breaks => false,
            Admission::Hangs => std::future::pending().await,
            Admission::Rejected(retry_after) => call.reject(&mut link, retry_after).await?,
            Admission::Fails(time) => call.fail(&mut link, time).await?,
            Admission::Begins | Admission::Queues => call.execute(&mut link).await?,
        };
        if !is_open {
            link.reset();
            return Ok(());
        }
    }
}

/// One call at a server; its methods tell whether the connection stays open.
struct Call<'s> {
    state: &'s Shared,
    server: usize,
    request: Request,
    number: u64,
    admission: Admission,
    /// The header with the load report, where there is one.
    load_header: String,
}

impl<'s> Call<'s> {
    /// A call came; the server decides what to do with it.
    fn arrive(shared: &'s Shared, server: usize, request: Request) -> Self {
        let state = &mut *shared.borrow_mut();
        let now = state.started.elapsed();
        let admission = state.site.admit(server, now, &mut state.rng).admission;
        state.calls += 1;
        let load_header = state.site.load_report(server, now).map_or(String::new(), |report| {
            format!("X-Load: x0={:.3},x1={:.3}\r\n", report.remaining_share, report.rate_limit)
        });
        Self { state: shared, server, request, number: state.calls, admission, load_header }
    }

    fn report(&self, kind: EndpointEventKind) {
        report(self.state, &self.request, kind);
    }

    async fn reject(
        &self,
        link: &mut ServerConnection,
        retry_after: Option<Duration>,
    ) -> std::io::Result<bool> {
        self.report(EndpointEventKind::Rejected);
        let header = &self.load_header;
        match retry_after {
            Some(wait) => {
                let ms = wait.as_nanos().div_ceil(1_000_000);
                link.answer(429, &format!("{header}X-Backoff-Ms: {ms}\r\n"), b"").await?;
            }
            None => link.answer(503, header, b"").await?,
        }
        Ok(true)
    }

    async fn fail(&self, link: &mut ServerConnection, time: Duration) -> std::io::Result<bool> {
        sleep(time).await;
        self.report(EndpointEventKind::Failed);
        link.answer(500, &self.load_header, b"").await?;
        Ok(true)
    }

    async fn execute(&self, link: &mut ServerConnection) -> std::io::Result<bool> {
        if self.admission == Admission::Queues && !self.worker_is_free().await {
            return Ok(false);
        }
        let (time, starts) = {
            let state = &mut *self.state.borrow_mut();
            let now = state.started.elapsed();
            let time = state.site.begins(self.server, now, &mut state.rng);
            (time, state.site.starts(self.server))
        };
        sleep(time).await;
        if self.state.borrow().site.starts(self.server) != starts {
            return Ok(false);
        }
        let is_lost = self.free_worker();
        let is_silent = self.state.borrow().site.connection_faults(self.server).silent;
        if is_lost || is_silent {
            self.report(EndpointEventKind::ExecutedUnheard);
            std::future::pending::<()>().await;
        }
        link.answer(200, &self.load_header, b"ok").await?;
        self.report(EndpointEventKind::Delivered);
        Ok(true)
    }

    /// Waits for a worker; false if the call is cut off before.
    async fn worker_is_free(&self) -> bool {
        let (free, freed) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            state.site.queues(self.server, self.number);
            state.queued.insert(self.number, free);
        }
        freed.await.is_ok()
    }

    /// The worker of this call takes up the next; whether the response is lost.
    fn free_worker(&self) -> bool {
        let state = &mut *self.state.borrow_mut();
        if let Some(next) = state.site.ends(self.server)
            && let Some(free) = state.queued.remove(&next)
        {
            let _ = free.send(());
        }
        let lost = state.site.response_faults(self.server).lost;
        state.rng.random::<f64>() < lost
    }
}
