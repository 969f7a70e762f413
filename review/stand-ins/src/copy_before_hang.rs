//! Case: an endpoint writes a second copy behind each of the answers that it still gives, and then hangs.
//!
//! Each of five destinations has one endpoint, which is reached over a path of 20 ms in each direction, and gets four messages a second
//! and a clump of five more every 9 s. In the middle of a clump, the endpoint of one destination begins to hang: the calls that it has
//! by then are answered, and each of these answers is followed by a second copy, 8 ms later, unless something waits on the connection.
//! Calls that come from then on are taken and not answered, for 10 s. The others follow, one after the other. Without the disruption, nobody hangs
//! and there are no copies.

use crate::gateway::Gateway;
use crate::http::{Connection, Request, Server};
use crate::platform::{Member, Platform};
use crate::proxy;
use crate::record::Record;
use crate::run::{Call, Load, Messages, Run, lost};
use crate::settings::{Class, Settings};
use std::thread;
use std::time::{Duration, Instant};

const DESTINATIONS: u32 = 5;
/// Destinations whose endpoints hang, one after the other, so that one in five hangs at a time.
const HANGING: u32 = 5;
const STEADY_INTERVAL: Duration = Duration::from_millis(250);
const CLUMP: u32 = 5;
const CLUMP_INTERVAL: Duration = Duration::from_secs(9);
const CLASS: Class =
    Class { name: "licence-order", effect: "guarded", aim_ms: 4_000, give_up_ms: 12_000, memory_ms: 6_000 };
const PATH_DELAY: Duration = Duration::from_millis(20);
const WORK: Duration = Duration::from_millis(80);
const COPY_DELAY: Duration = Duration::from_millis(8);
const HANG: Duration = Duration::from_secs(10);
/// Time from the start of a clump to the start of a hang.
const WITHIN_CLUMP: Duration = Duration::from_millis(60);
const LOAD_TIME: Duration = Duration::from_secs(64);

struct Endpoint {
    name: String,
    messages: Messages,
    record: Record,
    /// Time at which the endpoint begins to hang; `None` without the disruption.
    hangs_from: Option<Instant>,
}

impl Endpoint {
    fn hangs(&self) -> bool {
        self.hangs_from.is_some_and(|from| Instant::now() >= from && Instant::now() < from + HANG)
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.request() {
            if !self.answer(&mut connection, &request) {
                return;
            }
        }
    }

    /// Answers a call; returns `false` if the connection is at its end.
    fn answer(&self, connection: &mut Connection, request: &Request) -> bool {
        let (id, name, nth) = (request.header("X-Request-Id").to_owned(), &self.name, request.number);
        let hangs = self.hangs();
        let call =
            Call { endpoint: name.clone(), first_byte: request.first_byte, runs: !hangs, delivered: false };
        let call = self.messages.add_call(&id, call);
        if hangs {
            self.record
                .line(&format!("{name} got {id}, request {nth} of its connection: hangs, does not run"));
            connection.discard_until_closed();
            self.record.line(&format!("{name}: the connection of {id}, which was not answered, is closed"));
            return false;
        }
        self.record.line(&format!("{name} got {id}, request {nth} of its connection: runs"));
        thread::sleep(WORK);
        if connection.is_closed() {
            return false;
        }
        self.record.line(&format!("{name} answers 200 to {id}"));
        if let Some(call) = call {
            self.messages.delivered(&id, call);
        }
        if !connection.respond(200, "") {
            return false;
        }
        if self.hangs() {
            thread::sleep(COPY_DELAY);
            if !connection.has_input() {
                self.record.line(&format!("{name} writes a second copy of its answer to {id}"));
                return connection.respond(200, "");
            }
        }
        true
    }
}

/// Returns the time of the first clump for a destination.
fn first_clump(started: Instant, index: u32) -> Instant {
    started + CLUMP_INTERVAL * index / DESTINATIONS
}

pub fn run(run: &Run) -> std::io::Result<bool> {
    let messages = Messages::default();
    let started = Instant::now() + Duration::from_secs(1);
    let mut members = Vec::new();
    for index in 0..DESTINATIONS {
        let name = format!("s-{}", index + 1);
        let hangs_from = first_clump(started, index) + CLUMP_INTERVAL * (index + 1) + WITHIN_CLUMP;
        let endpoint = Endpoint {
            name: name.clone(),
            messages: messages.clone(),
            record: run.record.clone(),
            hangs_from: (run.trouble && index < HANGING).then_some(hangs_from),
        };
        let server = Server::start(0, move |connection| endpoint.serve(connection))?;
        let path = proxy::start(server.address.port(), PATH_DELAY)?;
        members.push(Member { id: name, port: path.address.port(), cell: u64::from(index) + 1, phase: "up" });
    }
    let platform = Platform::start(&members, &run.record)?;
    let settings = Settings {
        classes: vec![CLASS],
        membership_mode: "automatic",
        max_calls: 4,
        max_open: 112,
        drain_grace_ms: 250,
    };
    let gateway = Gateway::start(run.root, run.folder, platform.port, &platform.list(), &settings.json())?;
    let clients: Vec<_> = (0..DESTINATIONS * (CLUMP + 1))
        .map(|number| {
            let index = number / (CLUMP + 1);
            let is_steady = number % (CLUMP + 1) == 0;
            let load = Load {
                class: CLASS.name,
                destination: u64::from(index) + 1,
                time_left_ms: CLASS.give_up_ms,
                first: if is_steady {
                    started + STEADY_INTERVAL * index / DESTINATIONS
                } else {
                    first_clump(started, index)
                },
                interval: if is_steady { STEADY_INTERVAL } else { CLUMP_INTERVAL },
                until: started + LOAD_TIME,
                number: u64::from(number) + 1,
            };
            load.start(gateway.port, &messages, &run.record)
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    thread::sleep(Duration::from_millis(CLASS.give_up_ms + 1_000));
    for line in gateway.log().lines().filter(|line| line.contains("surplus") || line.contains("ended early"))
    {
        run.record.line(&format!("gateway: {line}"));
    }
    drop(gateway);
    let lost = lost(&messages, &platform, Duration::from_millis(CLASS.give_up_ms));
    for id in &lost {
        run.record.line(&format!("BROKEN: {id} was taken on, and neither delivered nor ended by a notice"));
    }
    let count = messages.lock().values().filter(|known| known.is_taken_on()).count();
    run.record.say(&format!("{} of {count} messages that were taken on are lost", lost.len()));
    Ok(!lost.is_empty())
}
