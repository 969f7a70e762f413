//! Service discovery and platform on one address: the list, a watch on its changes, and final outcomes.

use crate::accept::accept_each;
use crate::endpoints::ListedEndpoint;
use crate::http::ServerConnection;
use crate::traffic::Traffic;
use quillhub_simulator::{Scenario, Site, SocketFault};
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

/// A watch sends an empty line so often while nothing changes.
const EMPTY_LINE: Duration = Duration::from_secs(2);

/// A final outcome, as the platform reads it.
#[derive(Clone, Debug, PartialEq)]
pub struct OutcomeNotification {
    /// The id of the message.
    pub id: String,
    /// Whether it was rejected, and not abandoned.
    pub rejected: bool,
    /// How long to wait before a retry, if that is told.
    pub retry_after: Option<Duration>,
    /// When the notification came.
    pub at: Instant,
}

/// The list that service discovery tells; each change adds a version.
pub struct Discovery {
    /// Each endpoint and its phase.
    pub members: Vec<(ListedEndpoint, &'static str)>,
    /// The version of the list.
    pub revision: u64,
    /// While it is out of reach, it answers nothing.
    pub is_unreachable: bool,
    changed: watch::Sender<u64>,
    /// Rows of each version, as told, in order.
    changes: Vec<(u64, Value)>,
    /// Where each id stands in `members`.
    places: BTreeMap<String, usize>,
    /// The whole list as written, with its version.
    written: Option<(u64, Rc<str>)>,
}

fn member(listed: &ListedEndpoint, phase: &str) -> Value {
    json!({"id": listed.id, "host_port": listed.address.to_string(), "locality": listed.zone, "flavor": listed.kind,
        "cell": listed.destination, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

impl Discovery {
    /// A list of these endpoints, all up.
    pub fn new(all: &[ListedEndpoint]) -> Rc<RefCell<Self>> {
        let members = all.iter().map(|listed| (listed.clone(), "up")).collect();
        let places = all.iter().enumerate().map(|(place, listed)| (listed.id.clone(), place)).collect();
        let (changed, _) = watch::channel(1);
        let (revision, is_unreachable, changes, written) = (1, false, Vec::new(), None);
        Rc::new(RefCell::new(Self { members, revision, is_unreachable, changed, changes, places, written }))
    }

    /// The whole list.
    pub fn list(&self) -> Value {
        let live = self.members.iter().filter(|(_, phase)| *phase != "removed");
        let members: Vec<_> = live.map(|(listed, phase)| member(listed, phase)).collect();
        json!({"revision": self.revision, "complete": true, "members": members})
    }

    /// The whole list as it is written: row by row, so that a large one takes no more room than its text.
    pub fn list_text(&mut self) -> Rc<str> {
        if let Some((_, text)) = self.written.as_ref().filter(|(revision, _)| *revision == self.revision) {
            return text.clone();
        }
        let mut text = format!("{{\"revision\":{},\"complete\":true,\"members\":[", self.revision);
        let live = self.members.iter().filter(|(_, phase)| *phase != "removed");
        for (nth, (listed, phase)) in live.enumerate() {
            text.push_str(if nth == 0 { "" } else { "," });
            text.push_str(&member(listed, phase).to_string());
        }
        text.push_str("]}");
        let text: Rc<str> = text.into();
        self.written = Some((self.revision, text.clone()));
        text
    }

    /// An endpoint is `up`, `draining` or `removed` from now on.
    pub fn change(&mut self, id: &str, phase: &'static str) {
        let Some(place) = self.places.get(id) else { return };
        let (listed, was) = &mut self.members[*place];
        *was = phase;
        self.revision += 1;
        self.changes.push((self.revision, member(listed, phase)));
        self.changed.send_replace(self.revision);
    }

    /// A new endpoint, at the address of `old`.
    pub fn replace(&mut self, old: &str) {
        let Some(place) = self.places.get(old) else { return };
        let id = format!("e{}", self.members.len() + 1);
        let new = ListedEndpoint { id: id.clone(), ..self.members[*place].0.clone() };
        self.places.insert(id.clone(), self.members.len());
        self.members.push((new, "up"));
        self.change(&id, "up");
    }

    fn after(&self, revision: u64) -> Value {
        let from = self.changes.partition_point(|(at, _)| *at <= revision);
        let rows: Vec<_> = self.changes[from..].iter().map(|(_, row)| row).collect();
        json!({"revision": self.revision, "complete": false, "members": rows})
    }
}

/// Plays the scenario's faults that service discovery shows: its own outages, and drains.
pub fn play_faults(
    scenario: &'static Scenario,
    seed: u64,
    started: Instant,
    discovery: &Rc<RefCell<Discovery>>,
) {
    let site = Site::new(scenario, seed);
    for (number, scheduled) in scenario.faults.iter().enumerate() {
        let discovery = discovery.clone();
        let (begin, end) = (started + scheduled.at, started + scheduled.at + scheduled.lasts);
        match site.socket_fault(number) {
            SocketFault::ByRegister => {
                spawn_local(async move {
                    sleep_until(begin).await;
                    discovery.borrow_mut().is_unreachable = true;
                    sleep_until(end).await;
                    discovery.borrow_mut().is_unreachable = false;
                });
            }
            SocketFault::ByDrain(by) => {
                let targets = site.struck(number, &scheduled.target, |_| true);
                let each = scheduled.lasts / targets.len().max(1) as u32;
                for (nth, server) in targets.into_iter().enumerate() {
                    let (discovery, id) = (discovery.clone(), format!("e{}", server + 1));
                    spawn_local(async move {
                        sleep_until(begin + each * nth as u32).await;
                        discovery.borrow_mut().change(&id, "draining");
                        if by.replaced {
                            discovery.borrow_mut().replace(&id);
                        }
                        sleep(by.gone_after).await;
                        discovery.borrow_mut().change(&id, "removed");
                    });
                }
            }
            SocketFault::ByEndpoints | SocketFault::ByArrivals | SocketFault::Not => {}
        }
    }
}

/// What goes over the connections of each of the two.
#[derive(Clone, Default)]
pub struct Counted {
    /// Of service discovery.
    pub discovery: Arc<Traffic>,
    /// Of the platform.
    pub platform: Arc<Traffic>,
}

/// Starts both on the current thread's local tasks.
pub async fn start(
    discovery: Rc<RefCell<Discovery>>,
    tell: UnboundedSender<OutcomeNotification>,
) -> std::io::Result<SocketAddr> {
    start_counted(discovery, tell, Counted::default()).await
}

/// The same, with their traffic counted.
pub async fn start_counted(
    discovery: Rc<RefCell<Discovery>>,
    tell: UnboundedSender<OutcomeNotification>,
    traffic: Counted,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    spawn_local(accept_each(listener, move |stream| {
        let link = ServerConnection::with_traffic(stream, traffic.discovery.clone());
        serve(discovery.clone(), tell.clone(), link, traffic.platform.clone())
    }));
    Ok(at)
}

async fn serve(
    discovery: Rc<RefCell<Discovery>>,
    tell: UnboundedSender<OutcomeNotification>,
    mut link: ServerConnection,
    platform: Arc<Traffic>,
) -> std::io::Result<()> {
    while let Some(request) = link.next().await? {
        if request.method == "POST" && request.path == "/v2/finals" {
            link.move_traffic_to(&platform);
            let read: Option<Vec<OutcomeNotification>> =
                request.body.split(|b| *b == b'\n').filter(|l| !l.is_empty()).map(read).collect();
            match read {
                Some(all) => {
                    all.into_iter().for_each(|one| {
                        let _ = tell.send(one);
                    });
                    link.answer(204, "", b"").await?;
                }
                None => link.answer(400, "", b"").await?,
            }
        } else if discovery.borrow().is_unreachable {
            std::future::pending::<()>().await;
        } else if let Some(query) = request.path.strip_prefix("/registry/instances?") {
            let after = query.split('&').find_map(|part| part.strip_prefix("after="));
            let after = after.and_then(|text| text.parse().ok()).unwrap_or(0);
            return watched(&discovery, link, after).await;
        } else if request.path == "/registry/instances" {
            let list = discovery.borrow_mut().list_text();
            link.answer(200, "Content-Type: application/json\r\n", list.as_bytes()).await?;
        } else {
            link.answer(404, "", b"").await?;
        }
    }
    Ok(())
}

fn read(line: &[u8]) -> Option<OutcomeNotification> {
    let line: Value = serde_json::from_slice(line).ok()?;
    let rejected = match line["result"].as_str()? {
        "bounced" => true,
        "dead" => false,
        _ => return None,
    };
    let retry_after = line["wait_ms"].as_u64().map(Duration::from_millis);
    Some(OutcomeNotification { id: line["ref"].as_str()?.into(), rejected, retry_after, at: Instant::now() })
}

/// One watch, until its connection ends.
async fn watched(
    discovery: &RefCell<Discovery>,
    mut link: ServerConnection,
    mut after: u64,
) -> std::io::Result<()> {
    link.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let mut changed = discovery.borrow().changed.subscribe();
    loop {
        if discovery.borrow().is_unreachable {
            std::future::pending::<()>().await;
        }
        let (line, revision) = {
            let discovery = discovery.borrow();
            let has_changes = discovery.revision > after;
            (if has_changes { discovery.after(after).to_string() } else { String::new() }, discovery.revision)
        };
        after = revision;
        let line = format!("{line}\n");
        link.write(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
        let _ = timeout(EMPTY_LINE, changed.wait_for(|now| *now > after)).await;
    }
}
