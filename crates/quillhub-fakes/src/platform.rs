//! Service discovery and platform on one address: the endpoint list, watches of its changes, and notifications of final
//! outcomes.

use crate::accept::accept_each;
use crate::endpoints::ListedEndpoint;
use crate::http::ServerConnection;
use crate::traffic::Traffic;
use quillhub_simulator::{DestinationsState, FaultHandler, Scenario};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Interval at which a watch sends an empty line while the list does not change; the first line is sent at once.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Notification of a final outcome that the platform received.
#[derive(Clone, Debug, PartialEq)]
pub struct OutcomeNotification {
    /// Id of the message.
    pub id: String,
    /// `true` if the message was rejected, `false` if it was abandoned.
    pub rejected: bool,
    /// Requested delay before a retry, if any.
    pub retry_after: Option<Duration>,
    /// Time at which the notification was read.
    pub received_at: Instant,
}

/// Endpoint list of service discovery; each change increments its revision.
pub struct Discovery {
    /// Each endpoint with its phase: `up`, `draining` or `removed`.
    entries: Vec<(ListedEndpoint, &'static str)>,
    /// Revision of the list, 1 at first.
    pub revision: u64,
    /// `true` while requests to discovery get no response and watches send nothing.
    is_unreachable: bool,
    changed: watch::Sender<u64>,
    /// Changed entry of each revision after the first, in order.
    changes: Vec<(u64, Value)>,
    /// Index in `entries` by id.
    indices: BTreeMap<String, usize>,
    /// Text of the complete list, with the revision that it was written for; `None` before the first request.
    list_cache: Option<(u64, Rc<str>)>,
}

fn entry(listed: &ListedEndpoint, phase: &str) -> Value {
    json!({"id": listed.id, "host_port": listed.address.to_string(), "locality": listed.zone, "flavor": listed.kind,
        "cell": listed.destination, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

impl Discovery {
    /// Creates a list of these endpoints, all of them up.
    pub fn new(endpoints: &[ListedEndpoint]) -> Rc<RefCell<Self>> {
        let entries = endpoints.iter().map(|listed| (listed.clone(), "up")).collect();
        let indices =
            endpoints.iter().enumerate().map(|(index, listed)| (listed.id.clone(), index)).collect();
        let (changed, _) = watch::channel(1);
        let (revision, is_unreachable, changes, list_cache) = (1, false, Vec::new(), None);
        Rc::new(RefCell::new(Self {
            entries,
            revision,
            is_unreachable,
            changed,
            changes,
            indices,
            list_cache,
        }))
    }

    /// Makes requests to discovery get no response and watches send nothing, or ends that.
    pub fn set_unreachable(&mut self, is_unreachable: bool) {
        self.is_unreachable = is_unreachable;
    }

    /// Returns the complete list, without removed endpoints.
    pub fn list(&self) -> Value {
        let live = self.entries.iter().filter(|(_, phase)| *phase != "removed");
        let entries: Vec<_> = live.map(|(listed, phase)| entry(listed, phase)).collect();
        json!({"revision": self.revision, "complete": true, "members": entries})
    }

    /// Returns the complete list as JSON text. Entries are serialised one by one, so that a large list needs no more
    /// memory than its text.
    pub fn list_text(&mut self) -> Rc<str> {
        if let Some((_, text)) = self.list_cache.as_ref().filter(|(revision, _)| *revision == self.revision) {
            return text.clone();
        }
        let mut text = format!("{{\"revision\":{},\"complete\":true,\"members\":[", self.revision);
        let live = self.entries.iter().filter(|(_, phase)| *phase != "removed");
        for (index, (listed, phase)) in live.enumerate() {
            text.push_str(if index == 0 { "" } else { "," });
            text.push_str(&entry(listed, phase).to_string());
        }
        text.push_str("]}");
        let text: Rc<str> = text.into();
        self.list_cache = Some((self.revision, text.clone()));
        text
    }

    /// Sets the phase of an endpoint to `up`, `draining` or `removed`; ignores an unknown id.
    pub fn set_phase(&mut self, id: &str, phase: &'static str) {
        let Some(index) = self.indices.get(id) else { return };
        let (listed, old_phase) = &mut self.entries[*index];
        *old_phase = phase;
        self.revision += 1;
        self.changes.push((self.revision, entry(listed, phase)));
        self.changed.send_replace(self.revision);
    }

    /// Adds an endpoint with a new id and the address of the endpoint `old_id`; ignores an unknown id.
    fn replace(&mut self, old_id: &str) {
        let Some(index) = self.indices.get(old_id) else { return };
        let id = format!("e{}", self.entries.len() + 1);
        let new = ListedEndpoint { id: id.clone(), ..self.entries[*index].0.clone() };
        self.indices.insert(id.clone(), self.entries.len());
        self.entries.push((new, "up"));
        self.set_phase(&id, "up");
    }

    fn changes_after(&self, revision: u64) -> Value {
        let first = self.changes.partition_point(|(changed_in, _)| *changed_in <= revision);
        let entries: Vec<_> = self.changes[first..].iter().map(|(_, entry)| entry).collect();
        json!({"revision": self.revision, "complete": false, "members": entries})
    }
}

/// Schedules the faults of `scenario` that concern service discovery: its outages, and drains of endpoints.
///
/// Times are measured from `started`; `seed` must be that of the endpoints, as it selects the endpoints that drain.
pub fn schedule_faults(
    scenario: &'static Scenario,
    seed: u64,
    started: Instant,
    discovery: &Rc<RefCell<Discovery>>,
) {
    let destinations_state = DestinationsState::new(scenario, seed);
    for (number, scheduled) in scenario.faults.iter().enumerate() {
        let discovery = discovery.clone();
        let (begin, end) = (started + scheduled.start, started + scheduled.start + scheduled.duration);
        match destinations_state.fault_handler(number) {
            FaultHandler::Discovery => {
                spawn_local(async move {
                    sleep_until(begin).await;
                    discovery.borrow_mut().set_unreachable(true);
                    sleep_until(end).await;
                    discovery.borrow_mut().set_unreachable(false);
                });
            }
            FaultHandler::Drain(drain) => {
                let targets = destinations_state.affected_servers(number, &scheduled.target, |_| true);
                let interval = scheduled.duration / targets.len().max(1) as u32;
                for (index, server) in targets.into_iter().enumerate() {
                    let (discovery, id) = (discovery.clone(), format!("e{}", server + 1));
                    spawn_local(async move {
                        sleep_until(begin + interval * index as u32).await;
                        discovery.borrow_mut().set_phase(&id, "draining");
                        if drain.replaced {
                            discovery.borrow_mut().replace(&id);
                        }
                        sleep(drain.gone_after).await;
                        discovery.borrow_mut().set_phase(&id, "removed");
                    });
                }
            }
            FaultHandler::Endpoints | FaultHandler::Arrivals | FaultHandler::Unsupported => {}
        }
    }
}

/// Traffic of service discovery and platform, counted separately.
#[derive(Clone, Default)]
pub struct ControlTraffic {
    /// Traffic of service discovery.
    pub discovery: Arc<Traffic>,
    /// Traffic of the platform.
    pub platform: Arc<Traffic>,
}

/// What the platform does with a request that notifies it of final outcomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformReply {
    /// Reads and confirms it at once.
    Prompt,
    /// Reads it at once, and confirms it after this time.
    Late(Duration),
    /// Neither reads nor answers it, and keeps its connection open.
    Lost,
}

/// Decides what the platform does with a request, from the ids of the messages in it.
pub type PlatformBehaviour = Rc<dyn Fn(&[OutcomeNotification]) -> PlatformReply>;

/// Starts service discovery and platform as local tasks of the current thread and returns their address.
///
/// Notifications of final outcomes are sent to `outcomes`.
pub async fn start(
    discovery: Rc<RefCell<Discovery>>,
    outcomes: UnboundedSender<OutcomeNotification>,
) -> std::io::Result<SocketAddr> {
    start_with_traffic(discovery, outcomes, ControlTraffic::default()).await
}

/// Starts service discovery and a platform with this behaviour, as [`start`] does.
pub async fn start_with_behaviour(
    discovery: Rc<RefCell<Discovery>>,
    outcomes: UnboundedSender<OutcomeNotification>,
    behaviour: PlatformBehaviour,
) -> std::io::Result<SocketAddr> {
    listen(Control { discovery, outcomes, traffic: ControlTraffic::default(), behaviour }).await
}

/// Starts service discovery and platform as [`start`] does, and counts their traffic in `traffic`.
pub async fn start_with_traffic(
    discovery: Rc<RefCell<Discovery>>,
    outcomes: UnboundedSender<OutcomeNotification>,
    traffic: ControlTraffic,
) -> std::io::Result<SocketAddr> {
    listen(Control { discovery, outcomes, traffic, behaviour: Rc::new(|_| PlatformReply::Prompt) }).await
}

/// Service discovery and platform on one address.
struct Control {
    discovery: Rc<RefCell<Discovery>>,
    outcomes: UnboundedSender<OutcomeNotification>,
    traffic: ControlTraffic,
    behaviour: PlatformBehaviour,
}

async fn listen(control: Control) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let control = Rc::new(control);
    spawn_local(accept_each(listener, move |stream| {
        let connection = ServerConnection::with_traffic(stream, control.traffic.discovery.clone());
        serve(control.clone(), connection)
    }));
    Ok(address)
}

async fn serve(control: Rc<Control>, mut connection: ServerConnection) -> std::io::Result<()> {
    let discovery = &control.discovery;
    while let Some(request) = connection.next().await? {
        if request.method == "POST" && request.path == "/v2/finals" {
            connection.move_traffic_to(&control.traffic.platform);
            let notifications: Option<Vec<OutcomeNotification>> = request
                .body
                .split(|b| *b == b'\n')
                .filter(|l| !l.is_empty())
                .map(parse_notification)
                .collect();
            match notifications {
                Some(notifications) => {
                    let reply = (control.behaviour)(&notifications);
                    if reply == PlatformReply::Lost {
                        return connection.discard().await;
                    }
                    notifications.into_iter().for_each(|notification| {
                        let _ = control.outcomes.send(notification);
                    });
                    if let PlatformReply::Late(delay) = reply {
                        sleep(delay).await;
                    }
                    connection.answer(204, "", b"").await?;
                }
                None => connection.answer(400, "", b"").await?,
            }
        } else if discovery.borrow().is_unreachable {
            std::future::pending::<()>().await;
        } else if let Some(query) = request.path.strip_prefix("/registry/instances?") {
            let after = query.split('&').find_map(|part| part.strip_prefix("after="));
            let after = after.and_then(|text| text.parse().ok()).unwrap_or(0);
            return serve_watch(discovery, connection, after).await;
        } else if request.path == "/registry/instances" {
            let list = discovery.borrow_mut().list_text();
            connection.answer(200, "Content-Type: application/json\r\n", list.as_bytes()).await?;
        } else {
            connection.answer(404, "", b"").await?;
        }
    }
    Ok(())
}

fn parse_notification(line: &[u8]) -> Option<OutcomeNotification> {
    let line: Value = serde_json::from_slice(line).ok()?;
    let rejected = match line["result"].as_str()? {
        "bounced" => true,
        "dead" => false,
        _ => return None,
    };
    let retry_after = line["wait_ms"].as_u64().map(Duration::from_millis);
    Some(OutcomeNotification {
        id: line["ref"].as_str()?.into(),
        rejected,
        retry_after,
        received_at: Instant::now(),
    })
}

/// Serves a watch of the changes after revision `after`, until its connection ends.
async fn serve_watch(
    discovery: &RefCell<Discovery>,
    mut connection: ServerConnection,
    mut after: u64,
) -> std::io::Result<()> {
    connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let mut changed = discovery.borrow().changed.subscribe();
    loop {
        if discovery.borrow().is_unreachable {
            std::future::pending::<()>().await;
        }
        let (line, revision) = {
            let discovery = discovery.borrow();
            let has_changes = discovery.revision > after;
            (
                if has_changes { discovery.changes_after(after).to_string() } else { String::new() },
                discovery.revision,
            )
        };
        after = revision;
        let line = format!("{line}\n");
        connection.write(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
        let _ = timeout(KEEPALIVE_INTERVAL, changed.wait_for(|now| *now > after)).await;
    }
}
