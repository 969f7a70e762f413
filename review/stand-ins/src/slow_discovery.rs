//! Case: discovery answers each request 3 s late, while an endpoint drains, is replaced and goes, and a new endpoint of another
//! destination starts at its address. Without the disruption, discovery answers at once.
//!
//! A call does not name its destination, so that an endpoint runs and answers what it gets.

use crate::gateway::Gateway;
use crate::http::{Connection, Server};
use crate::platform::{Member, Platform};
use crate::record::Record;
use crate::run::{Call, Load, Messages, Run};
use crate::settings::{Class, Settings};
use std::thread;
use std::time::{Duration, Instant};

/// Time from one message of a client to the next.
const INTERVAL: Duration = Duration::from_millis(200);
const CLASS: Class =
    Class { name: "leyfisbod", effect: "guarded", aim_ms: 2_000, give_up_ms: 16_000, memory_ms: 4_000 };
/// Time after which discovery answers a request.
const ANSWER_DELAY: Duration = Duration::from_secs(3);
/// Time after which a change counts as told at the latest, from when discovery had it and could be reached.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// Grace after which nothing new goes to a draining endpoint, and the 50 ms by which each time limit is longer.
const DRAIN_GRACE_MS: u64 = 2_000;
const SLACK: Duration = Duration::from_millis(50);
/// Times from the start of the load.
const DRAINS_AT: Duration = Duration::from_secs(6);
const GOES_AT: Duration = Duration::from_secs(8);
const ADDRESS_REUSED_AT: Duration = Duration::from_secs(12);
const LOAD_TIME: Duration = Duration::from_secs(40);

/// Endpoint of a destination.
#[derive(Clone)]
struct Endpoint {
    name: String,
    cell: u64,
    messages: Messages,
    record: Record,
}

impl Endpoint {
    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.request() {
            let id = request.header("X-Request-Id").to_owned();
            let known = self.messages.lock().get(&id).cloned();
            let is_own = known.is_some_and(|known| known.destination == self.cell);
            let call = Call {
                endpoint: self.name.clone(),
                first_byte: request.first_byte,
                runs: true,
                delivered: true,
            };
            self.messages.add_call(&id, call);
            let note = if is_own { "" } else { ", which is for another destination" };
            self.record.line(&format!("{} of destination {} got {id}{note}", self.name, self.cell));
            thread::sleep(Duration::from_millis(30));
            if !connection.respond(200, "") {
                return;
            }
        }
    }
}

pub fn run(run: &Run) -> std::io::Result<bool> {
    let messages = Messages::default();
    let endpoint = |name: &str, cell| Endpoint {
        name: name.to_owned(),
        cell,
        messages: messages.clone(),
        record: run.record.clone(),
    };
    let start = |port, name: &str, cell| {
        let endpoint = endpoint(name, cell);
        Server::start(port, move |connection| endpoint.serve(connection))
    };
    let (first, other) = (start(0, "s-1", 1)?, start(0, "s-3", 2)?);
    let member = |id: &str, server: &Server, cell, phase| Member {
        id: id.to_owned(),
        port: server.address.port(),
        cell,
        phase,
    };
    let members = [member("s-1", &first, 1, "up"), member("s-3", &other, 2, "up")];
    let platform = Platform::start(&members, &run.record)?;
    if run.trouble {
        platform.set_answer_delay(ANSWER_DELAY);
    }
    let settings = Settings {
        classes: vec![CLASS],
        membership_mode: "subscribe",
        max_calls: 16,
        max_open: 112,
        drain_grace_ms: DRAIN_GRACE_MS,
    };
    let gateway = Gateway::start(run.root, run.folder, platform.port, &platform.list(), &settings.json())?;
    let started = Instant::now();
    let clients: Vec<_> = (1..=4)
        .map(|number| {
            let load = Load {
                class: CLASS.name,
                destination: if number <= 3 { 1 } else { 2 },
                time_left_ms: CLASS.give_up_ms,
                first: Instant::now() + INTERVAL.mul_f64(number as f64 / 16.0),
                interval: INTERVAL,
                until: started + LOAD_TIME,
                number,
            };
            load.start(gateway.port, &messages, &run.record)
        })
        .collect();
    let sleep_until =
        |after: Duration| thread::sleep((started + after).saturating_duration_since(Instant::now()));
    sleep_until(DRAINS_AT);
    let replacement = start(0, "s-4", 1)?;
    let drains =
        platform.change(&[member("s-1", &first, 1, "draining"), member("s-4", &replacement, 1, "up")]);
    sleep_until(GOES_AT);
    platform.change(&[member("s-1", &first, 1, "removed")]);
    first.stop();
    run.record.line("s-1 has ended: its address refuses connections");
    sleep_until(ADDRESS_REUSED_AT);
    let reused = start(first.address.port(), "s-5", 2)?;
    run.record.line("s-5 of destination 2 starts at the address that was s-1's");
    platform.change(&[member("s-5", &reused, 2, "up")]);
    clients.into_iter().for_each(|client| drop(client.join()));
    thread::sleep(Duration::from_secs(1));
    drop(gateway);
    Ok(judge(run, &messages, drains))
}

/// Prints what was seen, and returns `true` if the rule was broken: a call for `s-1` began after its drain counted as told and the
/// grace was over.
fn judge(run: &Run, messages: &Messages, drains: Instant) -> bool {
    let bound = drains + TOLD_AFTER + Duration::from_millis(DRAIN_GRACE_MS) + SLACK;
    run.record.line(&format!("calls for s-1 break the rule from {:.3} s on", run.record.seconds(bound)));
    let (mut late, mut last) = (0, 0.0f64);
    for (id, known) in messages.lock().iter() {
        for call in known.calls.iter().filter(|call| call.first_byte > bound) {
            let is_for_drained = call.endpoint == "s-1" || call.endpoint == "s-5" && known.destination == 1;
            if is_for_drained {
                let at = run.record.seconds(call.first_byte);
                run.record.line(&format!(
                    "BROKEN: {id} for destination 1 went to the address of s-1 at {at:.3} s, where {} is now",
                    call.endpoint
                ));
                late += 1;
                last = last.max(at);
            }
        }
    }
    run.record.say(&format!(
        "{late} calls for destination 1 went to the address of its removed endpoint after the grace, and reached an endpoint of \
        destination 2; the last one {:.1} s after the grace",
        if late > 0 { last - run.record.seconds(bound) } else { 0.0 }
    ));
    late > 0
}
