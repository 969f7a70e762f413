//! Endpoints of a scenario on loopback: each has its own listener, the model of the simulator decides the outcome of
//! each call, and the scenario's faults begin and end at their times.

use crate::accept::accept_each;
use crate::http::{Request, ServerConnection};
use quillhub_simulator::{Admission, ConnectionFaults, DestinationsState, FaultHandler, Scenario};
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

/// Event at an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEvent {
    /// Id that the request names; empty if it names none.
    pub id: String,
    /// Idempotency key of the request, if any.
    pub idempotency_key: Option<String>,
    /// Time of the event.
    pub time: Instant,
    /// Kind of the event.
    pub kind: EndpointEventKind,
}

/// Kind of an event at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointEventKind {
    /// A request was read.
    Arrived,
    /// The message is rejected without being executed.
    Rejected,
    /// The call ends with status 500.
    Failed,
    /// The message was executed, and a response with status 200 was written.
    Delivered,
    /// The message was executed, but no response is written.
    ExecutedResponseLost,
}

/// Endpoint as listed by service discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Id, which instances use as its name.
    pub id: String,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Zone that the endpoint runs in.
    pub zone: String,
    /// Kind of the endpoint's destination.
    pub kind: String,
    /// Number of the endpoint's destination, from 1.
    pub destination: u64,
}

struct State<'a> {
    destinations_state: DestinationsState<'a>,
    rng: Pcg64Mcg,
    started: Instant,
    /// Calls that wait for a worker, by call number. A call gets the worker through its sender, and its connection is
    /// reset if the sender is dropped.
    queued: BTreeMap<u64, oneshot::Sender<()>>,
    /// Number of open connections, by server.
    open_connections: Vec<usize>,
    /// Number of calls so far, which is also the number of the last one.
    calls: u64,
    events: UnboundedSender<EndpointEvent>,
}

type SharedState = Rc<RefCell<State<'static>>>;

/// Checks that all faults of a scenario can be reproduced with sockets; the error names the first that cannot.
pub fn check_supported(scenario: &Scenario) -> Result<(), String> {
    let destinations_state = DestinationsState::new(scenario, 0);
    for (index, scheduled) in scenario.faults.iter().enumerate() {
        if matches!(destinations_state.fault_handler(index), FaultHandler::Unsupported) {
            let found = &scheduled.fault;
            return Err(format!(
                "faults[{index}].what: expected a fault that sockets can reproduce, found {found:?}"
            ));
        }
    }
    Ok(())
}

/// Starts the endpoints of `scenario` as local tasks of the current thread and returns them as they are listed.
///
/// Times of the scenario are measured from `started`, and `seed` determines the random draws. Each event at an endpoint is sent
/// to `events`. The endpoints run until the thread's tasks end.
pub async fn start(
    scenario: &'static Scenario,
    seed: u64,
    started: Instant,
    events: UnboundedSender<EndpointEvent>,
) -> std::io::Result<Vec<ListedEndpoint>> {
    let destinations_state = DestinationsState::new(scenario, seed);
    let rng = Pcg64Mcg::seed_from_u64(seed);
    let open_connections = vec![0; destinations_state.server_count()];
    let state = State {
        destinations_state,
        rng,
        started,
        queued: BTreeMap::new(),
        open_connections,
        calls: 0,
        events,
    };
    let state = Rc::new(RefCell::new(state));
    let mut listed = Vec::new();
    let servers = state.borrow().destinations_state.server_count();
    for server in 0..servers {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (destination, kind, zone) = {
            let state = state.borrow();
            let placement = state.destinations_state.placement(server);
            (placement.destination as u64 + 1, placement.kind.to_owned(), placement.zone.to_owned())
        };
        listed.push(ListedEndpoint { id: format!("e{}", server + 1), address, zone, kind, destination });
        let state = state.clone();
        spawn_local(accept_each(listener, move |stream| {
            serve_connection(state.clone(), server, ServerConnection::new(stream))
        }));
    }
    for (number, scheduled) in scenario.faults.iter().enumerate() {
        let state = state.clone();
        let (begin, end) = (started + scheduled.start, started + scheduled.start + scheduled.duration);
        spawn_local(async move {
            sleep_until(begin).await;
            state.borrow_mut().begin_fault(number);
            sleep_until(end).await;
            let mut state = state.borrow_mut();
            let now = state.started.elapsed();
            state.destinations_state.end_fault(number, now);
        });
    }
    Ok(listed)
}

impl State<'_> {
    fn begin_fault(&mut self, number: usize) {
        let now = self.started.elapsed();
        self.destinations_state.begin_fault(number, now);
        // Dropping the senders of calls that were queued at a server that now refuses calls resets their connections.
        let before: Vec<_> = self.queued.keys().copied().collect();
        let still_queued = self.destinations_state.queued_calls();
        before.iter().filter(|call| !still_queued.contains(call)).for_each(|call| {
            self.queued.remove(call);
        });
    }
}

/// Serves one connection until it ends.
async fn serve_connection(state: SharedState, server: usize, connection: ServerConnection) {
    let ConnectionFaults { refuses, silent } = state.borrow().destinations_state.connection_faults(server);
    let is_over_limit = {
        let mut state = state.borrow_mut();
        state.open_connections[server] += 1;
        state
            .destinations_state
            .connection_limit(server)
            .is_some_and(|max| state.open_connections[server] > max)
    };
    if refuses || is_over_limit {
        connection.reset();
    } else if silent {
        std::future::pending::<()>().await;
    } else {
        let _ = serve_calls(&state, server, connection).await;
    }
    state.borrow_mut().open_connections[server] -= 1;
}

fn report(state: &SharedState, request: &Request, kind: EndpointEventKind) {
    let id = request.id.clone().unwrap_or_default();
    let idempotency_key = request.idempotency_key.clone();
    let event = EndpointEvent { id, idempotency_key, time: Instant::now(), kind };
    let _ = state.borrow().events.send(event);
}

/// Serves the calls of one connection one after the other, until it is idle for too long, breaks or is closed.
async fn serve_calls(
    state: &SharedState,
    server: usize,
    mut connection: ServerConnection,
) -> std::io::Result<()> {
    let idle_timeout = state.borrow().destinations_state.idle_timeout();
    loop {
        let next = tokio::time::timeout(idle_timeout, connection.next()).await;
        let Ok(Some(request)) = next.unwrap_or(Ok(None)) else { return Ok(()) };
        if request.method != "POST" || request.path != "/events" {
            connection.answer(404, "", b"").await?;
            continue;
        }
        report(state, &request, EndpointEventKind::Arrived);
        let call = Call::admit(state, server, request);
        let admission = call.admission;
        let is_open = match admission {
            Admission::Reset => false,
            Admission::Unanswered => std::future::pending().await,
            Admission::Rejected(retry_after) => call.reject(&mut connection, retry_after).await?,
            Admission::Failed(time) => call.fail(&mut connection, time).await?,
            Admission::Started | Admission::Queued => call.execute(&mut connection).await?,
        };
        if !is_open {
            connection.reset();
            return Ok(());
        }
    }
}

/// Call at a server. Its methods return `true` if the connection stays open.
struct Call<'s> {
    state: &'s SharedState,
    server: usize,
    request: Request,
    number: u64,
    admission: Admission,
    /// Header line with the load report; empty if the server sends none.
    load_header: String,
}

impl<'s> Call<'s> {
    /// Creates the call for a request that was read, and decides its outcome.
    fn admit(shared: &'s SharedState, server: usize, request: Request) -> Self {
        let state = &mut *shared.borrow_mut();
        let now = state.started.elapsed();
        let admission = state.destinations_state.admit(server, now, &mut state.rng).admission;
        state.calls += 1;
        let load_header = state.destinations_state.load_report(server, now).map_or(String::new(), |report| {
            format!("X-Load: x0={:.3},x1={:.3}\r\n", report.remaining_share, report.rate_limit)
        });
        Self { state: shared, server, request, number: state.calls, admission, load_header }
    }

    fn report(&self, kind: EndpointEventKind) {
        report(self.state, &self.request, kind);
    }

    async fn reject(
        &self,
        connection: &mut ServerConnection,
        retry_after: Option<Duration>,
    ) -> std::io::Result<bool> {
        self.report(EndpointEventKind::Rejected);
        let header = &self.load_header;
        match retry_after {
            Some(wait) => {
                let ms = wait.as_nanos().div_ceil(1_000_000);
                connection.answer(429, &format!("{header}X-Backoff-Ms: {ms}\r\n"), b"").await?;
            }
            None => connection.answer(503, header, b"").await?,
        }
        Ok(true)
    }

    async fn fail(&self, connection: &mut ServerConnection, time: Duration) -> std::io::Result<bool> {
        sleep(time).await;
        self.report(EndpointEventKind::Failed);
        connection.answer(500, &self.load_header, b"").await?;
        Ok(true)
    }

    async fn execute(&self, connection: &mut ServerConnection) -> std::io::Result<bool> {
        if self.admission == Admission::Queued && !self.wait_for_worker().await {
            return Ok(false);
        }
        let (service_time, reset_count) = {
            let state = &mut *self.state.borrow_mut();
            let now = state.started.elapsed();
            let service_time = state.destinations_state.begin_call(self.server, now, &mut state.rng);
            (service_time, state.destinations_state.reset_count(self.server))
        };
        sleep(service_time).await;
        if self.state.borrow().destinations_state.reset_count(self.server) != reset_count {
            return Ok(false);
        }
        let is_lost = self.free_worker();
        let is_silent = self.state.borrow().destinations_state.connection_faults(self.server).silent;
        if is_lost || is_silent {
            self.report(EndpointEventKind::ExecutedResponseLost);
            std::future::pending::<()>().await;
        }
        connection.answer(200, &self.load_header, b"ok").await?;
        self.report(EndpointEventKind::Delivered);
        Ok(true)
    }

    /// Waits for a worker; returns `false` if the connection is to be reset instead.
    async fn wait_for_worker(&self) -> bool {
        let (worker_sender, worker_receiver) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            state.destinations_state.enqueue(self.server, self.number);
            state.queued.insert(self.number, worker_sender);
        }
        worker_receiver.await.is_ok()
    }

    /// Passes this call's worker to the next queued call; returns `true` if this call's response is lost.
    fn free_worker(&self) -> bool {
        let state = &mut *self.state.borrow_mut();
        if let Some(next) = state.destinations_state.end_call(self.server)
            && let Some(worker_sender) = state.queued.remove(&next)
        {
            let _ = worker_sender.send(());
        }
        let lost_share = state.destinations_state.response_faults(self.server).lost_response_share;
        state.rng.random::<f64>() < lost_share
    }
}
