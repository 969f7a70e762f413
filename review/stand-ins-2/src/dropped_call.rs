//! Case 10: a second copy is taken for the answer to a message, whose own answer, a 503, is then taken for that of the next
//! one. The next one has little time left, and its endpoint drops it without a word, so that the connection stays silent.

use crate::world::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that bytes take from the gateway to an endpoint, and back.
const PATH: Duration = Duration::from_millis(20);
/// Time from an answer to its second copy.
const COPY_AFTER: Duration = Duration::from_millis(8);
/// Time that an endpoint works on a call.
const WORK: Duration = Duration::from_millis(70);
/// Time after which an endpoint turns a call away.
const TURNED_AWAY_AFTER: Duration = Duration::from_millis(60);
/// Time that the message with little time has.
const LITTLE_TIME_MS: u64 = 150;
/// Time until which an answer or a notice is due after the time of a message is up.
const LOST_AFTER: Duration = Duration::from_millis(550);
/// Number of destinations, each of which is struck once.
const STRUCK: u64 = 8;

const SETTINGS: &str = r#"{"nInstances":1,"me":0,"zone":"a","failureDomains":["a"],"skus":["m1"],"membershipMode":"automatic","weights":"off",
 "classes":[
  {"name":"claim-status","effect":"free","aimUs":1000000,"giveUpUs":5000000,"importance":3.0,"lateWorth":0.0},
  {"name":"settlement","effect":"single_shot","aimUs":4000000,"giveUpUs":12000000,"importance":4.0,"lateWorth":0.5}],
 "familyInfo":{"batchByKind":[1],"losesWorth":"linear","maxCalls":64,"refusedPrice":0.03,"separateRoutes":[false],"toll":[0.0]},
 "limits":{"cancel":true,"connectTimeoutUs":1500000,"idleCloseUs":5000000,"maxOpen":400,"maxRetryAfterUs":3000000,"mostTries":12,"peerMessages":false,"probing":false,"retryAfter":true,"secondCopies":false},
 "report":{"how":"none","names":[]},
 "rules":{"answerSlackUs":20000,"askEveryUs":10000000,"drainGraceUs":250000,"overloadFactor":2.0,"startCapacity":0.19,"tipAfterUs":3000000,"warmUpUs":10000000}}"#;

/// Endpoint that is struck once.
struct Struck {
    name: String,
    cell: u64,
    trouble: bool,
    /// `true` from the time of the strike until the next answer, which is copied.
    is_due: AtomicBool,
    /// `true` once the message `x` was turned away.
    has_turned_away: AtomicBool,
    /// Told when the answer is written, and again when the copy would be.
    client: Mutex<Sender<()>>,
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

fn start_struck(world: &Arc<World>, endpoint: Arc<Struck>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let world = world.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let (world, endpoint) = (world.clone(), endpoint.clone());
            thread::spawn(move || serve(&world, &endpoint, stream));
        }
    });
    address
}

fn serve(world: &Arc<World>, endpoint: &Struck, mut stream: TcpStream) {
    let conn = world.conns.fetch_add(1, Ordering::Relaxed);
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    let over = || world.is_over();
    // Time, at the endpoint, at which the answer to the call before was written.
    let mut free_from = Instant::now();
    while let Some(request) = read_request(&mut stream, &mut buffer, &over) {
        // A call that was written while the one before was worked on has arrived before that one's answer was written.
        let arrival = (Instant::now() + PATH).max(free_from);
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let id = header("x-request-id");
        let call = world.calls.fetch_add(1, Ordering::Relaxed);
        world.add(Event::Call {
            call,
            endpoint: endpoint.name.clone(),
            cell: endpoint.cell,
            conn,
            id: id.clone(),
            key: header("idempotency-key"),
            x_deadline: header("x-deadline"),
            body: request.body.clone(),
        });
        if id.starts_with('b') {
            world.note(format!("call {call} of {id} has little time left and is dropped without a word"));
            world.add(Event::Broken { call, ran: false });
            continue;
        }
        let is_turned_away = id.starts_with('x') && !endpoint.has_turned_away.swap(true, Ordering::Relaxed);
        let (work, status) =
            if is_turned_away { (TURNED_AWAY_AFTER, "503 Service Unavailable") } else { (WORK, "200 OK") };
        let written = arrival + work;
        free_from = written;
        sleep_until(written + PATH);
        if stream.write_all(&answer(status, "")).is_err() {
            world.add(Event::Left { call });
            return;
        }
        world.add(Event::Answer { call, status: format!("HTTP/1.1 {status}"), ran: !is_turned_away });
        if !is_turned_away && endpoint.is_due.swap(false, Ordering::Relaxed) {
            let client = endpoint.client.lock().unwrap();
            let _ = client.send(());
            // Nothing has arrived on the connection when the endpoint writes the copy; what is written now by the gateway
            // arrives later.
            sleep_until(written + COPY_AFTER + PATH);
            if endpoint.trouble {
                let _ = stream.write_all(&answer(status, ""));
                world.note(format!("second copy of the answer to call {call}"));
            }
            let _ = client.send(());
        }
    }
}

/// Hands in messages for one destination until `end`, one after the other, and marks the strike when it is due.
fn usual_traffic(world: &World, listen: SocketAddr, endpoint: &Struck, strike_at: Duration, end: Duration) {
    let mut client = Client::new(listen);
    let (mut count, mut has_struck) = (0u64, false);
    while world.now() < end {
        count += 1;
        if !has_struck && world.now() >= strike_at {
            has_struck = true;
            endpoint.is_due.store(true, Ordering::Relaxed);
        }
        client.submit(
            world,
            &Message::new(
                format!("f{:03x}{count:012x}", endpoint.cell),
                "claim-status",
                endpoint.cell,
                5_000,
            ),
        );
        thread::sleep(ms(190 + endpoint.cell));
    }
}

pub fn run(root: &Path, folder: &Path, trouble: bool) -> i32 {
    let world = World::new();
    let scratch = Scratch::new();
    let registry = Arc::new(Mutex::new(Registry { members: BTreeMap::new(), revision: 1, down: false }));
    let mut endpoints = Vec::new();
    for cell in 1..=STRUCK {
        let (client, told) = channel();
        let endpoint = Arc::new(Struck {
            name: format!("s-{cell}"),
            cell,
            trouble,
            is_due: AtomicBool::new(false),
            has_turned_away: AtomicBool::new(false),
            client: Mutex::new(client),
        });
        let address = start_struck(&world, endpoint.clone());
        registry.lock().unwrap().set(&endpoint.name, address, cell, "up");
        endpoints.push((endpoint, told));
    }
    let platform = Platform::start(&world, &registry);
    let listen = free_address();
    let known = registry.lock().unwrap().list();
    let text = format!(
        "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\n \
         \"limits\":{{\"cores\":1.0,\"memory_mb\":128,\"sockets\":512,\"disk_mb\":3}},\"known\":{known},\n \"settings\":{SETTINGS}}}",
        platform.address
    );
    std::fs::write(scratch.config(), text).unwrap();
    let mut courier = start_courier(root, &scratch.config(), &scratch.state(), &scratch.0.join("log"));
    if !wait_ready(listen, ms(10_000)) {
        world.write_record(&folder.join("record.txt"), "could not run: the courier is not ready");
        return 2;
    }
    let start = world.now();
    let end = start + Duration::from_secs(20);
    let mut clients = Vec::new();
    for (endpoint, told) in endpoints {
        let (usual, cell) = (world.clone(), endpoint.cell);
        clients.push(thread::spawn(move || {
            usual_traffic(&usual, listen, &endpoint, start + ms(4_000 + cell * 1_700), end);
        }));
        // Two further clients, each with one message: one that comes when the connection of an answered call is free, and
        // one with little time left that comes right behind it.
        let pair = world.clone();
        clients.push(thread::spawn(move || {
            let [mut first, mut second] = [Client::new(listen), Client::new(listen)];
            // Connections that clients keep.
            first.connect();
            second.connect();
            if told.recv_timeout(end.saturating_sub(pair.now())).is_err() {
                return;
            }
            first.submit(&pair, &Message::new(format!("x{cell:015x}"), "claim-status", cell, 5_000));
            if told.recv().is_ok() {
                thread::sleep(ms(3));
                let message = Message::new(format!("b{cell:015x}"), "claim-status", cell, LITTLE_TIME_MS);
                second.submit(&pair, &message);
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(ms(6_500));
    let running = courier.is_running();
    if std::env::var_os("KEEP_LOG").is_some() {
        let _ = std::fs::copy(scratch.0.join("log"), folder.join("log.txt"));
    }
    world.over.store(true, Ordering::Relaxed);
    let lost = lost_messages(&world, LOST_AFTER, &Default::default());
    let verdict = format!(
        "{}: {} messages lost, {STRUCK} strikes; courier running: {running}\n{}",
        if lost.is_empty() && running { "held" } else { "BROKEN" },
        lost.len(),
        lost.join("\n")
    );
    world.write_record(&folder.join("record.txt"), &verdict);
    println!("{}", verdict.lines().next().unwrap_or_default());
    i32::from(!lost.is_empty() || !running)
}
