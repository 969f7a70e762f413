//! Case 8: a courier is killed and started again while discovery is down, after endpoints were replaced.

use crate::chaos::config;
use crate::world::*;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLASSES: &str = r#"[{"name":"once","effect":"single_shot","aimUs":1000000,"giveUpUs":6000000,"importance":1.0,"lateWorth":0.3}]"#;

pub fn run(root: &Path, folder: &Path, trouble: bool) -> i32 {
    let world = World::new();
    let scratch = Scratch::new();
    let registry = Arc::new(Mutex::new(Registry { members: BTreeMap::new(), revision: 1, down: false }));
    let steady = || -> Behaviour { Arc::new(|_| Plan::ok(ms(20))) };
    let old = start_endpoint(&world, "s-old", 1, None, steady());
    let other = start_endpoint(&world, "s-other", 2, None, steady());
    registry.lock().unwrap().set("s-old", old.address, 1, "up");
    registry.lock().unwrap().set("s-other", other.address, 2, "up");
    let platform = Platform::start(&world, &registry);
    let listen = free_address();
    let known = registry.lock().unwrap().list();
    std::fs::write(scratch.config(), config(listen, platform.address, &known, CLASSES, 6)).unwrap();
    let log = scratch.0.join("log");
    let mut courier = start_courier(root, &scratch.config(), &scratch.state(), &log);
    if !wait_ready(listen, ms(10_000)) {
        return 2;
    }
    let mut client = Client::new(listen);
    let mut count = 0;
    let mut send = |client: &mut Client, n: u64, gap: u64| {
        for _ in 0..n {
            count += 1;
            client.submit(&world, &Message::new(format!("{count:016x}"), "once", 1, 4000));
            thread::sleep(ms(gap));
        }
    };
    send(&mut client, 5, 100);
    world.note("endpoint s-old of destination 1 drains");
    registry.lock().unwrap().set("s-old", old.address, 1, "draining");
    let new = start_endpoint(&world, "s-new", 1, None, steady());
    registry.lock().unwrap().set("s-new", new.address, 1, "up");
    thread::sleep(ms(1500));
    world.note("endpoint s-old is gone; its address is taken by a new endpoint s-second of destination 2");
    old.stop();
    thread::sleep(ms(200));
    registry.lock().unwrap().set("s-old", old.address, 1, "removed");
    let second = start_endpoint(&world, "s-second", 2, Some(old.address), steady());
    registry.lock().unwrap().set("s-second", second.address, 2, "up");
    thread::sleep(ms(1000));
    send(&mut client, 10, 100);
    thread::sleep(ms(1000));
    let told = world.now();
    if trouble {
        world.note("discovery is down; courier gets SIGKILL");
        registry.lock().unwrap().down = true;
        courier.kill();
        thread::sleep(ms(600));
        courier = start_courier(root, &scratch.config(), &scratch.state(), &log);
        if !wait_ready(listen, ms(10_000)) {
            return 2;
        }
        world.note("courier is ready");
        client = Client::new(listen);
    }
    send(&mut client, 20, 150);
    thread::sleep(ms(2000));
    registry.lock().unwrap().down = false;
    world.note("discovery is back");
    thread::sleep(ms(3000));
    let running = courier.is_running();
    world.over.store(true, std::sync::atomic::Ordering::Relaxed);
    let foreign: Vec<_> = world
        .snapshot()
        .into_iter()
        .filter_map(|(time, event)| match event {
            Event::Call { call, endpoint, cell, id, .. } if cell != 1 && time > told + Duration::ZERO => {
                Some((call, endpoint, id))
            }
            _ => None,
        })
        .collect();
    let verdict = format!(
        "{}: {} calls of messages for destination 1 came to endpoints of another destination: {foreign:?}",
        if foreign.is_empty() { "held" } else { "BROKEN" },
        foreign.len()
    );
    world.write_record(&folder.join("record.txt"), &verdict);
    println!("{}", verdict.chars().take(200).collect::<String>());
    if !running {
        return 2;
    }
    i32::from(!foreign.is_empty())
}
