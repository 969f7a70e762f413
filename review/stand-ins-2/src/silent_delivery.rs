//! Case 9: an endpoint that a gateway calls seldom writes one answer twice and then hangs.

use crate::world::*;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that bytes take from the gateway to an endpoint, and back.
const PATH: Duration = Duration::from_millis(20);
/// Time from an answer to its second copy.
const COPY_AFTER: Duration = Duration::from_millis(8);
/// Time for which an endpoint hangs.
const HANG: Duration = Duration::from_secs(8);
/// Time until which an answer or a notice is due after the time of a message is up.
const LOST_AFTER: Duration = Duration::from_millis(550);
/// Number of destinations that are struck, one after the other.
const STRUCK: u64 = 12;
/// Number of messages for another destination, whose endpoint always answers.
const BACKGROUND: u64 = 240;

const SETTINGS: &str = r#"{"nInstances":1,"me":0,"zone":"a","failureDomains":["a"],"skus":["m1"],"membershipMode":"automatic","weights":"off",
 "classes":[{"name":"status-update","effect":"free","aimUs":800000,"giveUpUs":6000000,"importance":1.0,"lateWorth":0.1}],
 "familyInfo":{"batchByKind":[1],"losesWorth":"linear","maxCalls":12,"refusedPrice":0.03,"separateRoutes":[false],"toll":[0.0]},
 "limits":{"cancel":true,"connectTimeoutUs":1500000,"idleCloseUs":5000000,"maxOpen":112,"maxRetryAfterUs":3000000,"mostTries":12,"peerMessages":false,"probing":false,"retryAfter":true,"secondCopies":false},
 "report":{"how":"none","names":[]},
 "rules":{"answerSlackUs":20000,"askEveryUs":10000000,"drainGraceUs":250000,"overloadFactor":2.0,"startCapacity":0.19,"tipAfterUs":3000000,"warmUpUs":10000000}}"#;

/// Endpoint that hangs once, after a copy of the answer to its first call.
struct Struck {
    name: String,
    cell: u64,
    trouble: bool,
    calls: AtomicU64,
    /// Time, at the endpoint, from which calls that arrive are not answered.
    hangs_from: Mutex<Option<Instant>>,
}

impl Struck {
    fn is_hung(&self, arrival: Instant) -> bool {
        let from = *self.hangs_from.lock().unwrap();
        from.is_some_and(|from| from <= arrival && arrival < from + HANG)
    }
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

fn start_struck(world: &Arc<World>, cell: u64, trouble: bool) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let endpoint = Arc::new(Struck {
        name: format!("s-{cell}"),
        cell,
        trouble,
        calls: AtomicU64::new(0),
        hangs_from: Mutex::new(None),
    });
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
    while let Some(request) = read_request(&mut stream, &mut buffer, &over) {
        let arrival = Instant::now() + PATH;
        let nth = endpoint.calls.fetch_add(1, Ordering::Relaxed);
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let call = world.calls.fetch_add(1, Ordering::Relaxed);
        world.add(Event::Call {
            call,
            endpoint: endpoint.name.clone(),
            cell: endpoint.cell,
            conn,
            id: header("x-request-id"),
            key: header("idempotency-key"),
            x_deadline: header("x-deadline"),
            body: request.body.clone(),
        });
        if endpoint.is_hung(arrival) {
            world.note(format!("call {call} is taken and not answered, the endpoint hangs"));
            wait_for_end(world, &mut stream);
            world.add(Event::Left { call });
            return;
        }
        // The first call takes less time than the others, so that its connection is free first.
        let work = ms(if nth == 0 { 60 } else { 110 });
        sleep_until(arrival + work + PATH);
        if stream.write_all(&answer("200 OK", "")).is_err() {
            world.add(Event::Left { call });
            return;
        }
        world.add(Event::Answer { call, status: "HTTP/1.1 200 OK".into(), ran: true });
        if endpoint.trouble && nth == 0 {
            // Written by the endpoint COPY_AFTER its answer; a call that has arrived there by then would wait on the
            // connection. What is written now by the gateway arrives later.
            *endpoint.hangs_from.lock().unwrap() = Some(arrival + work + COPY_AFTER);
            sleep_until(arrival + work + COPY_AFTER + PATH);
            let _ = stream.write_all(&answer("200 OK", ""));
            world.note(format!("second copy of the answer to call {call}; the endpoint hangs from now on"));
        }
    }
}

/// Waits until the gateway ends the connection.
fn wait_for_end(world: &World, stream: &mut TcpStream) {
    let mut bytes = [0; 1024];
    while !world.is_over() {
        match stream.read(&mut bytes) {
            Ok(0) => return,
            Err(e) if !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return,
            _ => {}
        }
    }
}

pub fn run(root: &Path, folder: &Path, trouble: bool) -> i32 {
    let world = World::new();
    let scratch = Scratch::new();
    let registry = Arc::new(Mutex::new(Registry { members: BTreeMap::new(), revision: 1, down: false }));
    for cell in 1..=STRUCK {
        let address = start_struck(&world, cell, trouble);
        registry.lock().unwrap().set(&format!("s-{cell}"), address, cell, "up");
    }
    let steady: Behaviour = Arc::new(|_| Plan::ok(ms(100)));
    let busy = start_endpoint(&world, "s-busy", 100, None, steady);
    registry.lock().unwrap().set("s-busy", busy.address, 100, "up");
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
    let usual = world.clone();
    let background = thread::spawn(move || {
        let mut client = Client::new(listen);
        for count in 0..BACKGROUND {
            client.submit(&usual, &Message::new(format!("b{count:015x}"), "status-update", 100, 6000));
            thread::sleep(ms(130));
        }
    });
    // A clump of three messages for each destination in turn.
    let mut clients: Vec<_> = (0..3).map(|_| Client::new(listen)).collect();
    for cell in 1..=STRUCK {
        for (number, client) in clients.iter_mut().enumerate() {
            client.submit(
                &world,
                &Message::new(format!("c{cell:07x}{number:08x}"), "status-update", cell, 5000),
            );
        }
        thread::sleep(ms(2500));
    }
    let _ = background.join();
    thread::sleep(ms(7000));
    let running = courier.is_running();
    world.over.store(true, Ordering::Relaxed);
    let lost = lost_messages(&world, LOST_AFTER, &Default::default());
    let verdict = format!(
        "{}: {} of {} messages lost; courier running: {running}\n{}",
        if lost.is_empty() && running { "held" } else { "BROKEN" },
        lost.len(),
        STRUCK * 3 + BACKGROUND,
        lost.join("\n")
    );
    world.write_record(&folder.join("record.txt"), &verdict);
    println!("{}", verdict.lines().next().unwrap_or_default());
    i32::from(!lost.is_empty() || !running)
}
