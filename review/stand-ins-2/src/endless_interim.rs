//! Case 6: endpoints spoil some answers with interim responses that never end.

use crate::world::*;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which clients hand in messages.
const LENGTH: Duration = Duration::from_secs(60);
/// Share of the calls whose answer is spoilt: one in this many at each endpoint.
const SPOILT_ONE_IN: u64 = 30;
/// Half a second after its time a message is lost; each time limit is 50 ms longer on sockets.
const LOST_AFTER: Duration = Duration::from_millis(550);

const SETTINGS: &str = r#"{"nInstances":1,"me":0,"zone":"a","failureDomains":["a"],"skus":["m1"],"membershipMode":"automatic","weights":"off",
 "classes":[
  {"name":"inspection","effect":"guarded","memorySpanUs":20000000,"keyScope":"all","aimUs":2500000,"giveUpUs":12000000,"importance":1.0,"lateWorth":0.5},
  {"name":"claim-status","effect":"free","aimUs":1000000,"giveUpUs":5000000,"importance":3.0,"lateWorth":0.0},
  {"name":"settlement","effect":"single_shot","aimUs":4000000,"giveUpUs":12000000,"importance":4.0,"lateWorth":0.5}],
 "familyInfo":{"batchByKind":[1],"losesWorth":"linear","maxCalls":24,"refusedPrice":0.03,"separateRoutes":[false],"toll":[0.0]},
 "limits":{"cancel":true,"connectTimeoutUs":1500000,"idleCloseUs":5000000,"maxOpen":112,"maxRetryAfterUs":3000000,"mostTries":12,"peerMessages":false,"probing":false,"retryAfter":true,"secondCopies":false},
 "report":{"how":"none","names":[]},
 "rules":{"answerSlackUs":20000,"askEveryUs":10000000,"drainGraceUs":250000,"overloadFactor":2.0,"startCapacity":0.19,"tipAfterUs":3000000,"warmUpUs":10000000}}"#;

pub fn run(root: &Path, folder: &Path, trouble: bool) -> i32 {
    let world = World::new();
    let scratch = Scratch::new();
    let registry = Arc::new(Mutex::new(Registry { members: BTreeMap::new(), revision: 1, down: false }));
    let spoilt_ids = Arc::new(Mutex::new(BTreeSet::new()));
    for cell in 1..=4u64 {
        for n in 0..2u64 {
            let (calls, spoilt_ids) = (AtomicU64::new(cell * 7 + n * 11), spoilt_ids.clone());
            let behaviour: Behaviour = Arc::new(move |call| {
                let nth = calls.fetch_add(1, Ordering::Relaxed);
                let delay = ms(180 + nth * 37 % 130);
                if trouble && nth % SPOILT_ONE_IN == SPOILT_ONE_IN - 1 {
                    spoilt_ids.lock().unwrap().insert(call.id.clone());
                    return Plan { delay, ran: true, answer: Some(Vec::new()), then: Then::EndlessInterim };
                }
                Plan::ok(delay)
            });
            let endpoint = start_endpoint(&world, &format!("s-{cell}-{n}"), cell, None, behaviour);
            registry.lock().unwrap().set(&endpoint.id, endpoint.address, cell, "up");
        }
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
    let end = world.now() + LENGTH;
    let mut clients = Vec::new();
    for number in 0..6u64 {
        let world = world.clone();
        clients.push(thread::spawn(move || {
            let mut client = Client::new(listen);
            let mut count = number * 5;
            while world.now() < end {
                count += 1;
                // About the shares of the classes in the brief: 53%, 28% and 19%.
                let (class, d) = match count * 7 % 16 {
                    0..=2 => ("settlement", 12_000),
                    3..=7 => ("claim-status", 5_000),
                    _ => ("inspection", 12_000),
                };
                let mut message = Message::new(format!("{number:04x}{count:012x}"), class, 1 + count % 4, d);
                message.key =
                    if class == "inspection" { format!("key-{number}-{count}") } else { String::new() };
                client.submit(&world, &message);
                thread::sleep(ms(250));
            }
        }));
    }
    // Clumps of messages for one destination.
    let clump_world = world.clone();
    clients.push(thread::spawn(move || {
        let mut client = Client::new(listen);
        let mut count = 0u64;
        while clump_world.now() < end {
            let dest = 1 + (count / 12) % 4;
            for _ in 0..12 {
                count += 1;
                client.submit(
                    &clump_world,
                    &Message::new(format!("c{count:015x}"), "claim-status", dest, 5000),
                );
            }
            thread::sleep(ms(2000));
        }
    }));
    // Asks whether the courier answers at all.
    let asking = world.clone();
    clients.push(thread::spawn(move || {
        let mut longest = Duration::ZERO;
        while asking.now() < end {
            let started = Instant::now();
            let answered = wait_ready_for(listen, ms(400));
            let took = started.elapsed();
            if !answered {
                asking.note("PING gets no answer within 400 ms");
            }
            longest = longest.max(took);
            thread::sleep(ms(100));
        }
    }));
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(ms(13_500));
    let running = courier.is_running();
    world.over.store(true, Ordering::Relaxed);
    let spoilt = spoilt_ids.lock().unwrap().clone();
    let lost = lost_messages(&world, LOST_AFTER, &spoilt);
    let silent = world
        .snapshot()
        .iter()
        .filter(|(_, e)| matches!(e, Event::Note(n) if n.starts_with("PING gets no")))
        .count();
    let unanswered =
        world.snapshot().iter().filter(|(_, e)| matches!(e, Event::Reply { reply: None, .. })).count();
    let verdict = format!(
        "{}: {} messages lost, besides {} with a spoilt answer; {silent} PINGs and {unanswered} messages got no answer within 400 ms; courier running: {running}\n{}",
        if lost.is_empty() && running { "held" } else { "BROKEN" },
        lost.len(),
        spoilt.len(),
        lost.join("\n")
    );
    world.write_record(&folder.join("record.txt"), &verdict);
    println!("{}", verdict.lines().next().unwrap_or_default());
    i32::from(!lost.is_empty() || !running)
}
