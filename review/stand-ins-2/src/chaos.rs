//! Random mixture of the disruptions of the pages, for the search; not a case.

use crate::world::*;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub const CLASSES: &str = r#"[
 {"name":"free","effect":"free","aimUs":1000000,"giveUpUs":6000000,"importance":1.0,"lateWorth":0.3},
 {"name":"keyed","effect":"guarded","memorySpanUs":3000000,"keyScope":"all","aimUs":1000000,"giveUpUs":8000000,"importance":1.0,"lateWorth":0.3},
 {"name":"once","effect":"single_shot","aimUs":1000000,"giveUpUs":6000000,"importance":1.0,"lateWorth":0.3},
 {"name":"settle","effect":"single_shot","byArrival":true,"aimUs":1000000,"giveUpUs":6000000,"importance":1.0,"lateWorth":0.3},
 {"name":"series","effect":"free","byArrival":true,"aimUs":1000000,"giveUpUs":6000000,"importance":1.0,"lateWorth":0.3}
]"#;

pub fn config(
    listen: std::net::SocketAddr,
    discovery: std::net::SocketAddr,
    known: &str,
    classes: &str,
    tries: u32,
) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":128,"sockets":512,"disk_mb":3}},"known":{known},
 "settings":{{"nInstances":1,"me":0,"zone":"a","failureDomains":["a"],"skus":["m1"],"membershipMode":"automatic","weights":"off",
  "classes":{classes},
  "familyInfo":{{"batchByKind":[1],"losesWorth":"linear","maxCalls":24,"refusedPrice":0.03,"separateRoutes":[false],"toll":[0.0]}},
  "limits":{{"cancel":true,"connectTimeoutUs":1500000,"idleCloseUs":5000000,"maxOpen":400,"maxRetryAfterUs":3000000,"mostTries":{tries},"peerMessages":false,"probing":false,"retryAfter":true,"secondCopies":false}},
  "report":{{"how":"none","names":[]}},
  "rules":{{"answerSlackUs":20000,"askEveryUs":10000000,"drainGraceUs":250000,"overloadFactor":2.0,"startCapacity":0.2,"tipAfterUs":3000000,"warmUpUs":3000000,"keyRestUs":300000}}
 }}}}"#
    )
}

pub fn run(root: &Path, seed: u64, seconds: u64, modes: u64) -> i32 {
    let world = World::new();
    let scratch = Scratch::new();
    let rng = Arc::new(Mutex::new(Rng(seed.wrapping_mul(0x9E3779B97F4A7C15) | 1)));
    let mut endpoints = Vec::new();
    let registry = Arc::new(Mutex::new(Registry { members: BTreeMap::new(), revision: 1, down: false }));
    let fault_percent = seed % 3;
    let restarts_on = modes & 16 == 0;
    for cell in 1..=4u64 {
        for n in 0..2 {
            let rng = rng.clone();
            let id = format!("s-{cell}-{n}");
            let behaviour: Behaviour = Arc::new(move |_call| {
                let mut rng = rng.lock().unwrap();
                let delay = ms(15 + rng.below(80));
                let p = fault_percent;
                if modes & 2048 != 0 && rng.below(100) < 15 {
                    let wait = ms([0, 3, 8, 40, 200, 900][rng.below(6) as usize]);
                    let status = ["503 Full", "429 Wait", "504 Tries", "503 Full"][rng.below(4) as usize];
                    let headers = if status.starts_with("429") { "X-Backoff-Ms: 100\r\n" } else { "" };
                    return Plan {
                        delay,
                        ran: true,
                        answer: Some(answer(status, headers)),
                        then: Then::Late(wait),
                    };
                }
                if modes & 1024 != 0 && rng.below(100) < 25 {
                    return mutated(&mut rng, delay);
                }
                match rng.below(100) {
                    x if x < p => Plan::hang(),
                    x if x < 2 * p => Plan { delay, ran: true, answer: None, then: Then::Reset },
                    x if x < 3 * p => Plan::status("500 Oops", "", delay, true),
                    x if x < 4 * p => Plan::status("503 Full", "", ms(1), false),
                    x if x < 5 * p => Plan::status("429 Wait", "X-Backoff-Ms: 150\r\n", ms(1), false),
                    x if x < 6 * p => {
                        Plan { delay, ran: true, answer: Some(b"garbage\r\n\r\n".to_vec()), then: Then::Keep }
                    }
                    x if x < 7 * p => Plan {
                        delay,
                        ran: true,
                        answer: Some(answer("200 OK", "Connection: close\r\n")),
                        then: Then::Close,
                    },
                    x if x < 8 * p && modes & 1 != 0 => Plan {
                        delay,
                        ran: true,
                        answer: Some([answer("200 OK", ""), answer("200 OK", "")].concat()),
                        then: Then::Keep,
                    },
                    x if x < 9 * p && modes & 1 != 0 => Plan {
                        delay,
                        ran: true,
                        answer: Some(
                            [b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(), answer("200 OK", "X-Load: zz\r\n")]
                                .concat(),
                        ),
                        then: Then::Keep,
                    },
                    x if x < 10 * p && modes & 1 != 0 => Plan {
                        delay: ms(1),
                        ran: false,
                        answer: Some(answer("504 Tries", "")),
                        then: Then::Keep,
                    },
                    x if x < 11 * p && modes & 1 != 0 => Plan {
                        delay: ms(1),
                        ran: false,
                        answer: Some(answer("503 Full", "X-Egress-Full: 1\r\n")),
                        then: Then::Keep,
                    },
                    x if x < 12 * p && modes & 1 != 0 => Plan {
                        delay,
                        ran: true,
                        answer: Some(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc".to_vec()),
                        then: Then::Keep,
                    },
                    x if x < 13 * p && modes & 1 != 0 => Plan {
                        delay,
                        ran: true,
                        answer: Some(b"HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\nabc".to_vec()),
                        then: Then::Keep,
                    },
                    x if x < 14 * p && modes & 1 != 0 => Plan {
                        delay: ms(2500),
                        ran: true,
                        answer: Some(answer("200 OK", "")),
                        then: Then::Keep,
                    },
                    _ => Plan::ok(delay),
                }
            });
            let endpoint = start_endpoint(&world, &id, cell, None, behaviour);
            registry.lock().unwrap().set(&id, endpoint.address, cell, "up");
            endpoints.push(endpoint);
        }
    }
    let mut platform = Platform::start(&world, &registry);
    let listen = free_address();
    let write_config = |address| {
        let known = registry.lock().unwrap().list();
        let temporary = scratch.0.join("config.new");
        let mut text = config(listen, address, &known, CLASSES, 6);
        if modes & 256 != 0 {
            text = text.replace("\"keyScope\":\"all\"", "\"keyScope\":\"zone\"");
            text = text.replace("\"failureDomains\":[\"a\"]", "\"failureDomains\":[\"a\",\"b\"]");
        }
        if modes & 128 != 0 {
            // Tight limits and a short window for repeats.
            for (from, to) in [
                ("\"disk_mb\":3", "\"disk_mb\":1"),
                ("\"sockets\":512", "\"sockets\":160"),
                ("\"maxOpen\":400", "\"maxOpen\":40"),
                ("\"maxCalls\":24", "\"maxCalls\":8"),
                ("\"memorySpanUs\":3000000", "\"memorySpanUs\":1500000"),
                ("\"mostTries\":6", "\"mostTries\":3"),
            ] {
                text = text.replace(from, to);
            }
        }
        std::fs::write(&temporary, text).unwrap();
        std::fs::rename(temporary, scratch.config()).unwrap();
    };
    write_config(platform.address);
    let log = scratch.0.join("log");
    let mut courier = start_courier(root, &scratch.config(), &scratch.state(), &log);
    if !wait_ready(listen, ms(10_000)) {
        return 2;
    }
    let end = Duration::from_secs(seconds);
    let mut clients = Vec::new();
    for number in 0..12u64 {
        let (world, rng) = (world.clone(), rng.clone());
        clients.push(thread::spawn(move || {
            let mut client = Client::new(listen);
            let mut count = 0;
            while world.now() < end {
                count += 1;
                let (class, order, dest, wait, d) = {
                    let mut rng = rng.lock().unwrap();
                    let class = match number {
                        0..=2 => "free",
                        3..=5 => "keyed",
                        6..=8 => "once",
                        9..=10 => "settle",
                        _ => "series",
                    };
                    let order = if number >= 9 { number } else { 0 };
                    (class, order, 1 + rng.below(4), ms(rng.below(600)), 1500 + rng.below(4500))
                };
                let mut message = Message::new(format!("{number:04x}{count:08x}"), class, dest, d);
                message.order = order;
                message.key = if class == "keyed" { format!("k{number}-{count}") } else { String::new() };
                let size = if modes & 4 != 0 && count % 3 == 0 { 60_000 } else { (count % 50) as usize * 40 };
                message.body = format!("{}-{}", message.id, "x".repeat(size)).into_bytes();
                client.submit(&world, &message);
                thread::sleep(wait);
            }
        }));
    }
    if modes & 32 != 0 {
        for number in 0..4u64 {
            let (world, rng) = (world.clone(), rng.clone());
            clients.push(thread::spawn(move || pipeline(&world, &rng, listen, end, number)));
        }
    }
    if modes & 64 != 0 {
        for number in 0..6u64 {
            let (world, rng) = (world.clone(), rng.clone());
            clients.push(thread::spawn(move || bad_client(&world, &rng, listen, end, number)));
        }
    }
    let mut restarts = Vec::new();
    let mut stalls: Vec<(Duration, Duration)> = Vec::new();
    while world.now() < end {
        let (wait, kind) = {
            let mut rng = rng.lock().unwrap();
            (ms(2500 + rng.below(4000)), rng.below(4))
        };
        thread::sleep(wait);
        if modes & 8 != 0 {
            let cell = 1 + rng.lock().unwrap().below(4);
            world.note(format!("registry changes in cell {cell}"));
            for _ in 0..if modes & 512 != 0 { 6 } else { 1 } {
                let cell = 1 + rng.lock().unwrap().below(4);
                churn(&world, &registry, &mut endpoints, &rng, cell, fault_percent, modes & 512 != 0);
                thread::sleep(ms(if modes & 512 != 0 { 250 } else { 0 }));
            }
        }
        if modes & 2 != 0 {
            let length = ms(1500 + rng.lock().unwrap().below(500));
            let from = world.add(Event::Note("courier stands still".into()));
            courier.signal("STOP");
            thread::sleep(length);
            courier.signal("CONT");
            world.note("courier goes on");
            restarts.push((from, world.now() + ms(400)));
            stalls.push((from, world.now()));
            continue;
        }
        if !restarts_on {
            continue;
        }
        match kind {
            0 | 1 => {
                let begun = world.add(Event::Note("courier gets SIGKILL".into()));
                courier.kill();
                thread::sleep(ms(600));
                courier = start_courier(root, &scratch.config(), &scratch.state(), &log);
                if !wait_ready(listen, ms(10_000)) {
                    println!("not ready");
                    return 1;
                }
                world.note("courier is ready");
                restarts.push((begun, world.now() + ms(1500)));
            }
            2 => {
                let begun = world.add(Event::Note("courier gets SIGTERM".into()));
                courier.signal("TERM");
                courier.wait_end(ms(3700));
                courier.kill();
                world.note("courier has ended");
                thread::sleep(ms(600));
                courier = start_courier(root, &scratch.config(), &scratch.state(), &log);
                if !wait_ready(listen, ms(10_000)) {
                    println!("not ready");
                    return 1;
                }
                world.note("courier is ready");
                restarts.push((begun, world.now() + ms(1500)));
            }
            _ => {
                let next = Platform::start(&world, &registry);
                write_config(next.address);
                world.note("courier gets SIGHUP");
                courier.signal("HUP");
                thread::sleep(ms(1500));
                platform.stop();
                platform = next;
            }
        }
        if !courier.is_running() {
            println!("courier crashed");
            return 1;
        }
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(ms(8000));
    world.over.store(true, std::sync::atomic::Ordering::Relaxed);
    let faults = check(
        &world,
        &restarts,
        if modes & 128 != 0 { ms(1550) } else { ms(3050) },
        if modes & 128 != 0 { 3 } else { 6 },
        modes & 256 != 0,
    );
    let text = faults.join("\n");
    world.write_record(Path::new(&format!("/tmp/chaos-{seed}.txt")), &text);
    let _ = std::fs::copy(&log, format!("/tmp/chaos-{seed}.log"));
    println!(
        "seed {seed}: {} faults, {} calls\n{text}",
        faults.len(),
        world.calls.load(std::sync::atomic::Ordering::Relaxed)
    );
    i32::from(!faults.is_empty())
}

/// Answer with some bytes changed, left out or added.
fn mutated(rng: &mut Rng, delay: Duration) -> Plan {
    let heads = [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load: x0=0.5,x1=20\r\n\r\nok",
        "HTTP/1.1 429 Wait\r\nX-Backoff-Ms: 120\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nX-Egress-Full: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    ];
    let mut bytes = heads[rng.below(heads.len() as u64) as usize].as_bytes().to_vec();
    for _ in 0..=rng.below(4) {
        let at = rng.below(bytes.len() as u64) as usize;
        match rng.below(4) {
            0 => bytes[at] = rng.below(256) as u8,
            1 => drop(bytes.remove(at)),
            2 => bytes.insert(at, b"0123456789\r\n -eE.,:"[rng.below(19) as usize]),
            _ => {
                let part = bytes[at..].to_vec();
                bytes.extend(part);
            }
        }
    }
    let then = if rng.below(3) == 0 { Then::Close } else { Then::Keep };
    Plan { delay, ran: true, answer: Some(bytes), then }
}

/// Client that sends many commands at once, in pieces cut at any byte, and reads all answers.
fn pipeline(world: &World, rng: &Mutex<Rng>, listen: std::net::SocketAddr, end: Duration, number: u64) {
    use std::io::{Read, Write};
    let mut count = 0;
    let mut stream: Option<std::net::TcpStream> = None;
    while world.now() < end {
        let size = 1 + rng.lock().unwrap().below(20);
        let messages: Vec<_> = (0..size)
            .map(|n| {
                count += 1;
                let mut rng = rng.lock().unwrap();
                let class = ["free", "once", "keyed"][(n % 3) as usize];
                let mut message = Message::new(
                    format!("p{number}{count:08x}"),
                    class,
                    1 + rng.below(4),
                    1500 + rng.below(3000),
                );
                message.key = format!("pk{number}-{count}");
                message.body =
                    format!("{}-{}", message.id, "y".repeat(rng.below(3000) as usize)).into_bytes();
                message
            })
            .collect();
        let kept = stream.is_some();
        if stream.is_none() {
            stream = std::net::TcpStream::connect(listen).ok();
        }
        let Some(open) = stream.as_mut() else {
            thread::sleep(ms(20));
            continue;
        };
        let _ = open.set_nodelay(true);
        let _ = open.set_read_timeout(Some(ms(400)));
        let bytes: Vec<u8> = messages.iter().flat_map(Message::encode).collect();
        for message in &messages {
            world.add(Event::Submitted {
                id: message.id.clone(),
                class: message.class.into(),
                key: message.key.clone(),
                order: 0,
                dest: message.dest,
                d_ms: message.d_ms,
                body: message.body.clone(),
            });
        }
        let mut written = 0;
        let mut failed = false;
        while written < bytes.len() && !failed {
            let piece = (1 + rng.lock().unwrap().below(4000) as usize).min(bytes.len() - written);
            failed = open.write_all(&bytes[written..written + piece]).is_err();
            written += piece;
            let pause = rng.lock().unwrap().below(4);
            thread::sleep(ms(pause));
        }
        let mut replies = 0;
        let mut line = Vec::new();
        let mut byte = [0];
        let mut why = String::new();
        while replies < messages.len() && !failed {
            match open.read(&mut byte) {
                Ok(1) => line.push(byte[0]),
                other => {
                    why = format!("{other:?}");
                    break;
                }
            }
            if line.ends_with(b"\r\n") {
                let reply = String::from_utf8_lossy(&line).trim().to_owned();
                world.add(Event::Reply { id: messages[replies].id.clone(), reply: Some(reply) });
                replies += 1;
                line.clear();
            }
        }
        if replies < messages.len() {
            world.note(format!(
                "pipeline: {replies} of {} answered, kept: {kept}, write failed: {failed}, {why}",
                messages.len()
            ));
            stream = None;
        }
        let pause = rng.lock().unwrap().below(300);
        thread::sleep(ms(pause));
    }
}

/// Client that breaks the protocol in one way or another.
fn bad_client(world: &World, rng: &Mutex<Rng>, listen: std::net::SocketAddr, end: Duration, number: u64) {
    use std::io::{Read, Write};
    while world.now() < end {
        let (kind, wait) = {
            let mut rng = rng.lock().unwrap();
            (rng.below(9), ms(rng.below(200)))
        };
        thread::sleep(wait);
        let input: Vec<u8> = match kind {
            0 => b"hello\r\n".to_vec(),
            1 => b"*5\r\n$-1\r\n".to_vec(),
            2 => b"*5\r\n$6\r\nSUBMIT\r\n$60000000\r\n"
                .iter()
                .copied()
                .chain(std::iter::repeat(b'z').take(2_000_000))
                .collect(),
            3 => b"*5\r\n$6\r\nSUB".to_vec(),
            4 => Message::new("x", "nonsense", 1, 1000).encode(),
            5 => Message::new(format!("b{number}"), "free", 4040, 1000).encode().repeat(200),
            6 => Vec::new(),
            7 => b"*0\r\n".to_vec(),
            _ => Message::new("", "free", 1, 1000).encode(),
        };
        let mut streams: Vec<_> = (0..if kind == 6 { 150 } else { 1 })
            .filter_map(|_| std::net::TcpStream::connect(listen).ok())
            .collect();
        for stream in &mut streams {
            let _ = stream.set_read_timeout(Some(ms(3200)));
            let _ = stream.write_all(&input);
        }
        let started = world.now();
        let mut bytes = [0; 4096];
        if let Some(stream) = streams.last_mut() {
            let read = stream.read(&mut bytes);
            let took = world.now() - started;
            if took > ms(3000) {
                world.note(format!("bad client of kind {kind} got {read:?} after {took:?}"));
            }
        }
    }
}

/// Drains the first endpoint of a cell, removes it soon after, and starts a new one, at the same address half of the time.
fn churn(
    world: &Arc<World>,
    registry: &Arc<Mutex<Registry>>,
    endpoints: &mut Vec<Arc<Endpoint>>,
    rng: &Arc<Mutex<Rng>>,
    cell: u64,
    fault_percent: u64,
    reuse: bool,
) {
    let Some(index) = endpoints.iter().position(|e| e.cell == cell) else { return };
    let old = endpoints.remove(index);
    registry.lock().unwrap().set(&old.id, old.address, cell, "draining");
    world.note(format!("{} drains", old.id));
    let (world, registry, rng) = (world.clone(), registry.clone(), rng.clone());
    let id = format!("s-{cell}-{}", world.now().as_millis());
    let behaviour_rng = rng.clone();
    let behaviour: Behaviour = Arc::new(move |_call| {
        let mut rng = behaviour_rng.lock().unwrap();
        let delay = ms(15 + rng.below(80));
        match rng.below(100) {
            x if x < fault_percent => Plan::hang(),
            _ => Plan::ok(delay),
        }
    });
    let made = start_endpoint(&world, &id, cell, None, behaviour);
    registry.lock().unwrap().set(&id, made.address, cell, "up");
    endpoints.push(made);
    thread::spawn(move || {
        thread::sleep(ms(1500));
        world.note(format!("{} goes", old.id));
        old.stop();
        registry.lock().unwrap().set(&old.id, old.address, cell, "removed");
        if reuse {
            // The address is taken by an endpoint of another destination, once the courier has been told.
            thread::sleep(ms(400));
            let cell = 1 + cell % 4;
            let id = format!("s-{cell}-{}", world.now().as_millis());
            let made = start_endpoint(&world, &id, cell, Some(old.address), Arc::new(|_| Plan::ok(ms(30))));
            registry.lock().unwrap().set(&id, made.address, cell, "up");
            thread::sleep(ms(4000));
            registry.lock().unwrap().set(&id, made.address, cell, "draining");
            thread::sleep(ms(1500));
            made.stop();
            registry.lock().unwrap().set(&id, made.address, cell, "removed");
        }
    });
}

struct Taken {
    at: Duration,
    deadline: Duration,
    class: String,
    order: u64,
    dest: u64,
    body: Vec<u8>,
}

/// Returns `true` if an answer with this first line says that the message was never run.
fn never_ran(line: &str) -> bool {
    if line.contains("(spoilt)") {
        return false;
    }
    [" 503", " 429", " 504", " 410"].iter().any(|status| line.contains(status))
}

/// Applies the rules to all events.
pub fn check(
    world: &World,
    restarts: &[(Duration, Duration)],
    window: Duration,
    tries: usize,
    by_zone: bool,
) -> Vec<String> {
    let events = world.snapshot();
    let mut faults = Vec::new();
    let mut submitted: BTreeMap<String, Taken> = BTreeMap::new();
    let mut accepted: BTreeMap<String, Duration> = BTreeMap::new();
    let mut delivered: BTreeMap<String, Duration> = BTreeMap::new();
    let mut noticed: BTreeMap<String, (Duration, String)> = BTreeMap::new();
    let mut calls: BTreeMap<u64, (Duration, String, String)> = BTreeMap::new();
    // Calls by message: number, time, and time and outcome of the end.
    let mut of_message: BTreeMap<String, Vec<(u64, Duration, Option<(Duration, String)>)>> = BTreeMap::new();
    let mut order_of: BTreeMap<u64, Vec<String>> = BTreeMap::new();
    for (time, event) in &events {
        match event {
            Event::Submitted { id, class, order, dest, d_ms, body, .. } => {
                submitted.insert(
                    id.clone(),
                    Taken {
                        at: *time,
                        deadline: *time + ms(*d_ms),
                        class: class.clone(),
                        order: *order,
                        dest: *dest,
                        body: body.clone(),
                    },
                );
            }
            Event::Reply { id, reply } => {
                if reply.as_deref() == Some("+OK") {
                    accepted.insert(id.clone(), *time);
                    if submitted[id].order != 0 {
                        order_of.entry(submitted[id].order).or_default().push(id.clone());
                    }
                }
            }
            Event::Call { call, cell, id, body, endpoint, .. } => {
                calls.insert(*call, (*time, id.clone(), endpoint.clone()));
                match submitted.get(id) {
                    None => {
                        faults.push(format!("{time:?} call {call} of a message {id} that nobody handed in"))
                    }
                    Some(taken) => {
                        if taken.dest != *cell || taken.body != *body {
                            faults.push(format!("{time:?} call {call} of {id} is foreign"));
                        }
                        if let Some((at, result)) = noticed.get(id).filter(|(at, _)| *at + ms(5) < *time) {
                            faults.push(format!(
                                "{time:?} call {call} of {id} after its notice {result} at {at:?}"
                            ));
                        }
                        let list = of_message.entry(id.clone()).or_default();
                        if let Some(out) = list.iter().find(|(_, _, end)| end.is_none()) {
                            faults.push(format!(
                                "{time:?} call {call} of {id} is a second copy of call {}",
                                out.0
                            ));
                        }
                        if taken.class == "once" || taken.class == "settle" {
                            for (number, _, end) in list.iter() {
                                let may = !matches!(end, Some((_, outcome)) if never_ran(outcome));
                                if may {
                                    faults.push(format!("{time:?} call {call} of {id} ({}) although call {number} may have run: {end:?}", taken.class));
                                }
                            }
                        }
                        if taken.class == "keyed" {
                            let first = list
                                .iter()
                                .find(|(_, _, end)| !matches!(end, Some((_, outcome)) if never_ran(outcome)));
                            if let Some((number, at, _)) = first.filter(|(_, at, _)| *at + window < *time) {
                                faults.push(format!(
                                    "{time:?} call {call} of {id} is {:?} after call {number}",
                                    *time - *at
                                ));
                            }
                            if let Some((number, _, _)) = first.filter(|(number, _, _)| {
                                by_zone && zone_of(&calls[number].2) != zone_of(endpoint)
                            }) {
                                faults.push(format!(
                                    "{time:?} call {call} of {id} is in another zone than call {number}"
                                ));
                            }
                        }
                        if list.len() >= tries {
                            faults.push(format!(
                                "{time:?} call {call} of {id} is one beyond its {tries} sends"
                            ));
                        }
                        list.push((*call, *time, None));
                    }
                }
            }
            Event::Answer { call, status, .. } => {
                let id = calls[call].1.clone();
                if status.contains(" 200") {
                    delivered.entry(id.clone()).or_insert(*time);
                }
                if let Some(entry) =
                    of_message.get_mut(&id).and_then(|list| list.iter_mut().find(|e| e.0 == *call))
                {
                    entry.2 = Some((*time, status.clone()));
                }
            }
            Event::Left { call } | Event::Broken { call, .. } => {
                let id = calls[call].1.clone();
                if let Some(entry) =
                    of_message.get_mut(&id).and_then(|list| list.iter_mut().find(|e| e.0 == *call))
                {
                    entry.2.get_or_insert((*time, "no answer".into()));
                }
            }
            Event::Notice { id, result, .. } => {
                noticed.entry(id.clone()).or_insert((*time, result.clone()));
            }
            Event::Note(note) => {
                if let Some(id) = note.strip_prefix("no answer on a new connection: ") {
                    if !restarts.iter().any(|(from, to)| *from <= *time && *time < *to) {
                        faults.push(format!("{time:?} {id} got no answer on a new connection"));
                    }
                }
            }
        }
    }
    let (mut dead, mut bounced, mut late) = (0, 0, 0);
    for (id, _) in &accepted {
        let taken = &submitted[id];
        let limit = taken.deadline + ms(350);
        // The excuse of a restart: nothing is overdue from its signal until 1.5 s after the courier is ready.
        let limit = restarts
            .iter()
            .fold(limit, |limit, (from, to)| if *from <= limit && limit < *to { *to } else { limit });
        let ended = delivered.get(id).copied().into_iter().chain(noticed.get(id).map(|n| n.0)).min();
        match ended {
            Some(at) if at <= limit => {}
            Some(at) => {
                late += 1;
                faults.push(format!(
                    "{id} ({}) ended {:?} after its limit, taken at {:?}",
                    taken.class,
                    at - limit,
                    taken.at
                ));
            }
            None => faults.push(format!("{id} ({}) never ended, deadline {:?}", taken.class, taken.deadline)),
        }
        match noticed.get(id).map(|n| n.1.as_str()) {
            Some("dead") => dead += 1,
            Some("bounced") => bounced += 1,
            _ => {}
        }
        if let Some((at, _)) = noticed.get(id).filter(|n| n.1 == "bounced") {
            let list = of_message.get(id).cloned().unwrap_or_default();
            let may_have_run = list.iter().any(|(_, start, end)| {
                *start < *at && !matches!(end, Some((_, outcome)) if never_ran(outcome))
            });
            if may_have_run
                && (taken.class == "once" || taken.class == "settle" || by_zone && taken.class == "keyed")
            {
                faults.push(format!("{id} ({}) bounced at {at:?} although it may have run", taken.class));
            }
        }
    }
    // Order: no call of a later message of a key while an earlier one, taken before, has not ended.
    let mut disorder = BTreeSet::new();
    for ids in order_of.values() {
        for (index, later) in ids.iter().enumerate() {
            let Some(list) = of_message.get(later) else { continue };
            for earlier in &ids[..index] {
                let Some(earlier_calls) = of_message.get(earlier) else { continue };
                let (_, last, end) = earlier_calls.last().unwrap();
                for (call, at, _) in list {
                    let rest = match end {
                        Some((_, outcome)) if outcome == "no answer" => ms(300),
                        _ => ms(0),
                    };
                    let ended = end.as_ref().map(|e| e.0 + rest);
                    if at < last || ended.is_none_or(|ended| *at + ms(1) < ended) {
                        disorder.insert(format!("call {call} of {later} at {at:?} although {earlier} was called at {last:?} until {end:?}"));
                    }
                }
            }
        }
    }
    faults.extend(disorder);
    println!(
        "accepted {}, delivered {}, dead {dead}, bounced {bounced}, late {late}, restarts {}",
        accepted.len(),
        delivered.len(),
        restarts.len()
    );
    faults
}
