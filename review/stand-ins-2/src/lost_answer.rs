//! Case 7: a second copy of "not sent" is taken for the answer to a message that must never run twice, whose own answer is
//! lost after it has run, while the endpoint goes on answering other calls.

use crate::world::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that bytes take from the gateway to an endpoint, and back.
const PATH: Duration = Duration::from_millis(20);
/// Time from an answer to its second copy.
const COPY_AFTER: Duration = Duration::from_millis(8);
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

struct Struck {
    name: String,
    cell: u64,
    trouble: bool,
    /// `true` once an answer has been lost.
    has_lost: AtomicBool,
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

fn start_struck(world: &Arc<World>, name: &str, cell: u64, trouble: bool) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let endpoint = Arc::new(Struck { name: name.into(), cell, trouble, has_lost: AtomicBool::new(false) });
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
    // `true` if the call before was turned away and its answer written twice.
    let mut was_copied = false;
    while let Some(request) = read_request(&mut stream, &mut buffer, &over) {
        let arrival = Instant::now() + PATH;
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
        // The first call of the message that begins a clump is turned away, as all slots of the courier are taken. It gets its
        // answer sooner than the others, so that its connection is free first.
        if id.starts_with('a') && !endpoint.has_lost.load(Ordering::Relaxed) && !was_copied {
            let bytes = answer("503 Service Unavailable", "X-Egress-Full: 1\r\n");
            let written = arrival + ms(40);
            sleep_until(written + PATH);
            if stream.write_all(&bytes).is_err() {
                return;
            }
            world.add(Event::Answer { call, status: "HTTP/1.1 503 X-Egress-Full: 1".into(), ran: false });
            if endpoint.trouble {
                // Nothing has arrived on the connection when the endpoint writes the copy; what is written now by the
                // gateway arrives later.
                sleep_until(written + COPY_AFTER + PATH);
                let _ = stream.write_all(&bytes);
                world.note(format!("second copy of the answer to call {call}"));
                was_copied = true;
            }
            continue;
        }
        sleep_until(arrival + ms(70));
        if was_copied && id.starts_with('x') && !endpoint.has_lost.swap(true, Ordering::Relaxed) {
            was_copied = false;
            world.note(format!("call {call} of {id} has run, and its answer is lost"));
            world.add(Event::Broken { call, ran: true });
            continue;
        }
        sleep_until(arrival + ms(70) + PATH);
        was_copied = false;
        if stream.write_all(&answer("200 OK", "")).is_err() {
            world.add(Event::Left { call });
            return;
        }
        world.add(Event::Answer { call, status: "HTTP/1.1 200 OK".into(), ran: true });
    }
}

pub fn run(root: &Path, folder: &Path, trouble: bool) -> i32 {
    let world = World::new();
    let scratch = Scratch::new();
    let registry = Arc::new(Mutex::new(Registry { members: BTreeMap::new(), revision: 1, down: false }));
    for cell in 1..=STRUCK {
        let name = format!("s-{cell}-0");
        let address = start_struck(&world, &name, cell, trouble);
        registry.lock().unwrap().set(&name, address, cell, "up");
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
    let end = world.now() + Duration::from_secs(26);
    let mut clients = Vec::new();
    for cell in 1..=STRUCK {
        // Usual traffic: one message after another, every fifth of them one that must never run twice.
        let usual = world.clone();
        clients.push(thread::spawn(move || {
            let mut client = Client::new(listen);
            let mut count = 0u64;
            while usual.now() < end {
                count += 1;
                let (class, d, letter) =
                    if count % 5 == 0 { ("settlement", 12_000, 's') } else { ("claim-status", 5_000, 'f') };
                client
                    .submit(&usual, &Message::new(format!("{letter}{cell:03x}{count:012x}"), class, cell, d));
                thread::sleep(ms(190 + cell));
            }
        }));
        // One clump of messages, each with its own client.
        let clump = world.clone();
        clients.push(thread::spawn(move || {
            thread::sleep(ms(4000 + cell * 1700));
            let mut clients: Vec<_> = (0..12).map(|_| Client::new(listen)).collect();
            clients[0].submit(&clump, &Message::new(format!("a{cell:015x}"), "claim-status", cell, 5_000));
            for (number, client) in clients[1..9].iter_mut().enumerate() {
                client.submit(
                    &clump,
                    &Message::new(format!("c{cell:07x}{number:08x}"), "claim-status", cell, 5_000),
                );
            }
            for (number, client) in clients[9..].iter_mut().enumerate() {
                client.submit(
                    &clump,
                    &Message::new(format!("x{cell:07x}{number:08x}"), "settlement", cell, 12_000),
                );
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(ms(13_000));
    let running = courier.is_running();
    if std::env::var_os("KEEP_LOG").is_some() {
        let _ = std::fs::copy(scratch.0.join("log"), folder.join("log.txt"));
    }
    world.over.store(true, Ordering::Relaxed);
    let mut ran: BTreeMap<String, u32> = BTreeMap::new();
    let mut ids = BTreeMap::new();
    let mut settlements = std::collections::BTreeSet::new();
    let mut bounced = Vec::new();
    for (_, event) in world.snapshot() {
        match event {
            Event::Submitted { id, class, .. } if class == "settlement" => drop(settlements.insert(id)),
            Event::Call { call, id, .. } => drop(ids.insert(call, id)),
            Event::Answer { call, ran: true, .. } | Event::Broken { call, ran: true } => {
                *ran.entry(ids[&call].clone()).or_default() += 1;
            }
            Event::Notice { id, result, .. }
                if result == "bounced" && ran.contains_key(&id) && settlements.contains(&id) =>
            {
                bounced.push(id);
            }
            _ => {}
        }
    }
    let twice: Vec<_> = ran
        .iter()
        .filter(|(id, count)| **count > 1 && settlements.contains(*id))
        .map(|(id, _)| id.clone())
        .collect();
    let broken = !twice.is_empty() || !bounced.is_empty();
    let verdict = format!(
        "of {} messages that must never run twice, {} ran twice and {} were denied after they had run\n\
         twice: {twice:?}\ndenied: {bounced:?}",
        settlements.len(),
        twice.len(),
        bounced.len()
    );
    let verdict = format!(
        "{}, courier running {running}: {verdict}",
        if broken || !running { "BROKEN" } else { "held" }
    );
    world.write_record(&folder.join("record.txt"), &verdict);
    println!("{}", verdict.lines().next().unwrap_or_default());
    i32::from(broken || !running)
}
