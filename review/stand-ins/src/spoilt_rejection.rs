//! Case: spoilt answers to messages that must never run twice.
//!
//! Every tenth message gets a spoilt answer to its first call: status 503 and a length that does not fit, after which more bytes
//! follow than announced. The request has run. Half of these answers are written in one piece of 1,024 announced bytes and some
//! more, the others in two pieces, 5 ms apart. All other calls are run and answered with 200. Without the disruption, the same calls
//! are turned away with a well-formed 503, and have not run.

use crate::gateway::Gateway;
use crate::http::{Connection, Request, Server};
use crate::platform::{Member, Platform};
use crate::run::{Call, Load, Messages, Run};
use crate::settings::{Class, Settings};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const ENDPOINTS: usize = 3;
const CLIENTS: u64 = 4;
const LOAD_TIME: Duration = Duration::from_secs(40);
/// Time from one message of a client to the next.
const INTERVAL: Duration = Duration::from_millis(500);
const CLASS: Class = Class {
    name: "licence-order",
    effect: "single_shot",
    aim_ms: 4_000,
    give_up_ms: 8_000,
    memory_ms: 6_000,
};
/// One message in this many gets a spoilt answer to its first call.
const SPOILT_ONE_IN: usize = 10;
/// Length of the head and the announced body of a spoilt answer in one piece.
const ANNOUNCED_END: usize = 1024;

struct Endpoint {
    name: String,
    messages: Messages,
    record: crate::record::Record,
    trouble: bool,
    first_calls: Arc<AtomicUsize>,
}

impl Endpoint {
    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.request() {
            if !self.answer(&mut connection, &request) {
                return;
            }
        }
    }

    /// Answers a call; returns `false` if the connection cannot be used any more.
    fn answer(&self, connection: &mut Connection, request: &Request) -> bool {
        let id = request.header("X-Request-Id").to_owned();
        let is_first = self.messages.lock().get(&id).is_some_and(|known| known.calls.is_empty());
        let number = if is_first { self.first_calls.fetch_add(1, Ordering::Relaxed) + 1 } else { 0 };
        let is_struck = is_first && number % SPOILT_ONE_IN == 0;
        let runs = self.trouble || !is_struck;
        let call =
            Call { endpoint: self.name.clone(), first_byte: request.first_byte, runs, delivered: false };
        let call = self.messages.add_call(&id, call);
        let nth = request.number;
        self.record.line(&format!(
            "{} got {id}, call {} of the message, request {nth} of its connection{}",
            self.name,
            call.map_or(0, |call| call + 1),
            if runs { ": runs" } else { ": does not run" }
        ));
        thread::sleep(Duration::from_millis(if runs { 60 } else { 5 }));
        if !is_struck {
            self.record.line(&format!("{} answers 200 to {id}", self.name));
            if let Some(call) = call {
                self.messages.delivered(&id, call);
            }
            return connection.respond(200, "");
        }
        if !self.trouble {
            self.record.line(&format!("{} answers 503 to {id}, well-formed", self.name));
            return connection.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull");
        }
        let rest = b" and more than was announced";
        if number / SPOILT_ONE_IN % 2 == 0 {
            self.record.line(&format!("{} answers 503 to {id}, spoilt, in one piece", self.name));
            let head =
                |length| format!("HTTP/1.1 503 Service Unavailable\r\nContent-Length: {length}\r\n\r\n");
            let mut answer = head(ANNOUNCED_END - head(100).len()).into_bytes();
            answer.resize(ANNOUNCED_END, b'x');
            answer.extend_from_slice(rest);
            connection.write(&answer);
        } else {
            self.record.line(&format!("{} answers 503 to {id}, spoilt, in two pieces", self.name));
            connection.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull");
            thread::sleep(Duration::from_millis(5));
            connection.write(rest);
        }
        connection.discard_until_closed();
        false
    }
}

pub fn run(run: &Run) -> std::io::Result<bool> {
    let messages = Messages::default();
    let first_calls = Arc::new(AtomicUsize::new(0));
    let mut members = Vec::new();
    for number in 1..=ENDPOINTS {
        let name = format!("s-{number}");
        let endpoint = Endpoint {
            name: name.clone(),
            messages: messages.clone(),
            record: run.record.clone(),
            trouble: run.trouble,
            first_calls: first_calls.clone(),
        };
        let server = Server::start(0, move |connection| endpoint.serve(connection))?;
        members.push(Member { id: name, port: server.address.port(), cell: 1, phase: "up" });
    }
    let platform = Platform::start(&members, &run.record)?;
    let settings = Settings {
        classes: vec![CLASS],
        membership_mode: "automatic",
        max_calls: 16,
        max_open: 112,
        drain_grace_ms: 250,
    };
    let gateway = Gateway::start(run.root, run.folder, platform.port, &platform.list(), &settings.json())?;
    let until = Instant::now() + LOAD_TIME;
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|number| {
            let load = Load {
                class: CLASS.name,
                destination: 1,
                time_left_ms: CLASS.give_up_ms,
                first: Instant::now() + INTERVAL.mul_f64(number as f64 / 16.0),
                interval: INTERVAL,
                until,
                number,
            };
            load.start(gateway.port, &messages, &run.record)
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    thread::sleep(Duration::from_millis(CLASS.give_up_ms + 500));
    for line in gateway.log().lines().filter(|line| line.contains("surplus response")) {
        run.record.line(&format!("gateway: {line}"));
    }
    drop(gateway);
    Ok(judge(run, &messages, &platform))
}

/// Prints what was seen, and returns `true` if the rule was broken: a message ran and was sent again, or its client was told that
/// trying again is harmless.
fn judge(run: &Run, messages: &Messages, platform: &Platform) -> bool {
    let notices = platform.notices();
    let (mut twice, mut denied) = (0, 0);
    for (id, known) in messages.lock().iter() {
        let Some(first) = known.calls.iter().position(|call| call.runs) else { continue };
        if known.calls.len() > first + 1 {
            let runs = known.calls.iter().filter(|call| call.runs).count();
            run.record.line(&format!("BROKEN: {id} ran and was sent again; it ran {runs} times"));
            twice += 1;
        }
        let is_delivered = known.calls.iter().any(|call| call.delivered);
        if !is_delivered && notices.iter().any(|notice| notice.id == *id && notice.result == "bounced") {
            run.record
                .line(&format!("BROKEN: {id} ran, and its client was told that trying again is harmless"));
            denied += 1;
        }
    }
    let count = messages.lock().len();
    run.record.say(&format!(
        "{count} messages that must never run twice: {twice} were sent again after they had run, {denied} were denied after they had run"
    ));
    twice + denied > 0
}
