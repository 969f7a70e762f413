//! Gossip between instances of different builds.
//!
//! A destination goes down and every instance ejects its endpoint. It recovers, and one instance alone delivers to
//! it. The destination goes down again: an instance that learned of the recovery logs the ejection of an endpoint that
//! was warming up, and one that did not has nothing to log, as the endpoint is still ejected.

use crate::instance::{Server, listed_endpoint, service_class, write_configuration};
use quillhub_fakes::clients::{command, open, send_command, wait_until_ready};
use quillhub_fakes::http::ServerConnection;
use quillhub_fakes::platform::{self, Discovery};
use quillhub_fakes::process::InstanceProcess;
use quillhub_fakes::scratch::ScratchDirectory;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Destination that goes down and recovers.
const DESTINATION: u64 = 9;
/// Deadline of the messages: short, so that none is pending when the destination recovers.
const DEADLINE_MS: u64 = 1_500;
/// Time in which an instance must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a change of health must be logged.
const LOG_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which the logs are checked for an ejection after malformed datagrams.
const NO_CHANGE_TIME: Duration = Duration::from_secs(5);
/// Pause between two messages of a client.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(100);
/// Largest datagram of an instance, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;

const FIRST_EJECTION: &str = "before=healthy after=ejected";
const RECOVERY: &str = "before=ejected after=warming up";
const EJECTION_AFTER_RECOVERY: &str = "before=warming up after=ejected";

/// Relay that forwards each datagram to all instances but its sender, and counts the datagrams of each instance.
struct Relay {
    socket: UdpSocket,
    members: RefCell<Vec<SocketAddr>>,
    sent_counts: RefCell<Vec<u32>>,
    forwarded_counts: RefCell<Vec<u32>>,
    datagrams: RefCell<BTreeSet<Vec<u8>>>,
}

impl Relay {
    async fn run(self: Rc<Self>) {
        let mut octets = [0; MAX_DATAGRAM_BYTES];
        while let Ok((length, from)) = self.socket.recv_from(&mut octets).await {
            let members = self.members.borrow().clone();
            self.datagrams.borrow_mut().insert(octets[..length].to_vec());
            for (number, member) in members.into_iter().enumerate() {
                if member == from {
                    self.sent_counts.borrow_mut()[number] += 1;
                } else if self.socket.send_to(&octets[..length], member).await.is_ok() {
                    self.forwarded_counts.borrow_mut()[number] += 1;
                }
            }
        }
    }
}

/// Instance with the address for its clients and the number of messages submitted to it.
struct GossipInstance {
    _process: InstanceProcess,
    log: PathBuf,
    listen: SocketAddr,
    submitted: Cell<u64>,
    /// Requests that its endpoint received from it.
    requests: Rc<Cell<u32>>,
}

impl GossipInstance {
    /// Returns the number of log lines that contain `text`.
    fn count_log_lines(&self, text: &str) -> usize {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).count()
    }

    /// Submits a message and ignores whether it is rejected.
    async fn submit(&self, number: usize) -> io::Result<()> {
        let sequence = self.submitted.replace(self.submitted.get() + 1);
        let id = format!("{number}{sequence:07}");
        let list = format!("c=free,d={DEADLINE_MS},dest={DESTINATION}");
        let parts: [&[u8]; 5] = [b"SUBMIT", b"0", id.as_bytes(), list.as_bytes(), b"body"];
        send_command(&mut open(self.listen).await?, &command(&parts)).await.map(drop)
    }

    /// Submits messages until the log has `count` lines with `text`; returns `false` if it has not within
    /// [`LOG_TIMEOUT`].
    async fn submit_until_logged(&self, number: usize, text: &str, count: usize) -> io::Result<bool> {
        let started = Instant::now();
        while self.count_log_lines(text) < count {
            if started.elapsed() > LOG_TIMEOUT {
                return Ok(false);
            }
            self.submit(number).await?;
            sleep(MESSAGE_INTERVAL).await;
        }
        Ok(true)
    }
}

struct Fleet {
    members: Vec<GossipInstance>,
    endpoint: Server,
    relay: Rc<Relay>,
    requests: Vec<Rc<Cell<u32>>>,
    _directories: Vec<ScratchDirectory>,
}

/// Responds to each request with status 200 and counts it for the instance whose number begins its id; resets the
/// connection instead while `is_down` is set.
async fn serve_endpoint(requests: Vec<Rc<Cell<u32>>>, is_down: Rc<Cell<bool>>, mut stream: ServerConnection) {
    while let Ok(Some(request)) = stream.next().await {
        if is_down.get() {
            return stream.reset();
        }
        let id = request.id.unwrap_or_default();
        if let Some(count) = id.get(..1).and_then(|number| requests.get(number.parse::<usize>().ok()?)) {
            count.set(count.get() + 1);
        }
        let _ = stream.answer(200, "", b"").await;
    }
}

fn configuration(
    listen: SocketAddr,
    control: SocketAddr,
    list: &Value,
    peers: &Peers,
    number: usize,
) -> Value {
    json!({"listen": listen.to_string(), "discovery": control.to_string(), "seed": format!("{}", number + 7),
        "limits": {"sockets": 256, "disk_mb": 4}, "known": list,
        "peer_listen": peers.members[number].to_string(), "peers_all": peers.all.to_string(),
        "peers": peers.members.iter().map(SocketAddr::to_string).collect::<Vec<_>>(),
        "settings": {"me": number, "nInstances": peers.members.len(), "familyInfo": {"maxCalls": 16},
        "classes": [service_class("free", "free", DEADLINE_MS)],
        "rules": {"overloadFactor": 2.0, "startCapacity": 0.2, "warmUpUs": 10_000_000},
        "limits": {"mostTries": 12, "maxOpen": 1_000, "retryAfter": true, "maxRetryAfterUs": 1_000_000,
            "peerMessages": true}}})
}

/// Addresses of the instances for gossip, and the one that reaches all of them.
struct Peers {
    members: Vec<SocketAddr>,
    all: SocketAddr,
}

async fn start_fleet(programs: &[PathBuf]) -> io::Result<Fleet> {
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    let unused = |_: &PathBuf| std::net::UdpSocket::bind("127.0.0.1:0")?.local_addr();
    let peers =
        Peers { members: programs.iter().map(unused).collect::<io::Result<_>>()?, all: socket.local_addr()? };
    let zeros = vec![0; programs.len()];
    let relay = Rc::new(Relay {
        socket,
        members: RefCell::new(peers.members.clone()),
        sent_counts: RefCell::new(zeros.clone()),
        forwarded_counts: RefCell::new(zeros),
        datagrams: RefCell::default(),
    });
    spawn_local(relay.clone().run());
    let endpoint = Server::closed()?;
    let discovery = Discovery::new(&[listed_endpoint("e1", endpoint.address, DESTINATION)]);
    let list = discovery.borrow().list();
    // Nothing reads the notifications of outcomes; the platform confirms them all the same.
    let control = platform::start(discovery, unbounded_channel().0).await?;
    let (mut members, mut directories, mut requests) = (Vec::new(), Vec::new(), Vec::new());
    for (number, program) in programs.iter().enumerate() {
        let (state, directory) = (ScratchDirectory::new(), ScratchDirectory::new());
        let listen = Server::closed()?.address;
        let configuration = configuration(listen, control, &list, &peers, number);
        let config = write_configuration(&directory, &configuration)?;
        let log = directory.0.join("instance.log");
        let process = InstanceProcess::start_with_log_level(program, "info", &config, &state.0, &log)?;
        requests.push(Rc::new(Cell::new(0)));
        members.push(GossipInstance {
            _process: process,
            log,
            listen,
            submitted: Cell::new(0),
            requests: requests[number].clone(),
        });
        directories.extend([state, directory]);
    }
    Ok(Fleet { members, endpoint, relay, requests, _directories: directories })
}

impl Fleet {
    /// Submits messages to each instance in turn until it has logged `text` the number of times in `counts`.
    async fn wait_until_logged(&self, text: &str, counts: &[usize]) -> Result<(), String> {
        for (number, member) in self.members.iter().enumerate() {
            let logged = member.submit_until_logged(number, text, counts[number]).await;
            if !logged.map_err(|error| error.to_string())? {
                return Err(format!("instance {number} has not logged '{text}' {} times", counts[number]));
            }
        }
        Ok(())
    }

    /// Waits for twice the deadline, after which no message is pending.
    async fn wait_for_expiry(&self) {
        sleep(Duration::from_millis(2 * DEADLINE_MS)).await;
    }

    /// Lets the destination recover and only instance `deliverer` send to it, then takes it down again.
    ///
    /// Checks that every instance was warming up its endpoint; `ejections` has the ejections expected in each log.
    async fn recover(&mut self, deliverer: usize, ejections: &mut [usize]) -> Result<(), String> {
        let failed = |error: io::Error| error.to_string();
        let is_down = Rc::new(Cell::new(false));
        let (requests, down) = (self.requests.clone(), is_down.clone());
        let serve = move |stream| serve_endpoint(requests.clone(), down.clone(), stream);
        self.endpoint.open(serve).await.map_err(failed)?;
        let before: Vec<_> = self.members.iter().map(|member| member.requests.get()).collect();
        let sent = self.relay.sent_counts.borrow()[deliverer];
        let recoveries = self.members[deliverer].count_log_lines(RECOVERY);
        let member = &self.members[deliverer];
        if !member.submit_until_logged(deliverer, RECOVERY, recoveries + 1).await.map_err(failed)? {
            return Err(format!("instance {deliverer} has not delivered to the recovered destination"));
        }
        self.wait_for_expiry().await;
        let others = self.members.iter().zip(&before).enumerate().filter(|(number, _)| *number != deliverer);
        if others.clone().any(|(_, (member, before))| member.requests.get() != *before) {
            return Err("another instance sent to the recovered destination".into());
        }
        println!(
            "instance {deliverer} delivered and sent {} datagrams",
            self.relay.sent_counts.borrow()[deliverer] - sent
        );
        is_down.set(true);
        self.endpoint.close();
        ejections.iter_mut().for_each(|count| *count += 1);
        self.wait_until_logged(EJECTION_AFTER_RECOVERY, ejections).await?;
        println!("  all {} instances were warming up the endpoint", self.members.len());
        self.wait_for_expiry().await;
        Ok(())
    }

    /// Returns the number of ejections after a recovery in each log.
    fn ejections_after_recovery(&self) -> Vec<usize> {
        self.members.iter().map(|member| member.count_log_lines(EJECTION_AFTER_RECOVERY)).collect()
    }

    /// Sends each instance datagrams that are not gossip of a recovery; none may change the health of the endpoint.
    async fn send_malformed(&self) -> Result<(), String> {
        let version_2 = [&[2][..], &DESTINATION.to_le_bytes()].concat();
        let malformed = [version_2, vec![1, 9, 0], Vec::new(), vec![1; 300]];
        let members = self.relay.members.borrow().clone();
        for member in members {
            for datagram in &malformed {
                self.relay.socket.send_to(datagram, member).await.map_err(|error| error.to_string())?;
            }
        }
        let before = self.ejections_after_recovery();
        let started = Instant::now();
        while started.elapsed() < NO_CHANGE_TIME {
            for (number, member) in self.members.iter().enumerate() {
                member.submit(number).await.map_err(|error| error.to_string())?;
            }
            sleep(MESSAGE_INTERVAL).await;
        }
        let after = self.ejections_after_recovery();
        if before != after {
            return Err("a malformed datagram was accepted as gossip of a recovery".into());
        }
        println!(
            "{} malformed datagrams to each instance: all ignored, the endpoint is still ejected",
            malformed.len()
        );
        Ok(())
    }
}

/// Runs one instance of each program and lets each in turn announce a recovery to the others.
pub async fn run(programs: &[PathBuf]) -> Result<(), String> {
    let mut fleet = start_fleet(programs).await.map_err(|error| error.to_string())?;
    for (number, member) in fleet.members.iter().enumerate() {
        if !wait_until_ready(member.listen, READY_TIMEOUT).await {
            return Err(format!("instance {number} is not ready"));
        }
    }
    let mut ejections = vec![0; programs.len()];
    fleet.wait_until_logged(FIRST_EJECTION, &vec![1; programs.len()]).await?;
    println!("the destination is down: all {} instances ejected its endpoint", programs.len());
    fleet.wait_for_expiry().await;
    fleet.send_malformed().await?;
    fleet.wait_for_expiry().await;
    for deliverer in 0..programs.len() {
        fleet.recover(deliverer, &mut ejections).await?;
    }
    println!("datagrams sent by each: {:?}", fleet.relay.sent_counts.borrow());
    println!("datagrams passed on to each: {:?}", fleet.relay.forwarded_counts.borrow());
    println!("distinct datagrams: {:02x?}", fleet.relay.datagrams.borrow());
    Ok(())
}
