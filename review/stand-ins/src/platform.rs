//! Discovery and the platform on one address: the endpoint list, watches of its changes, and final notices.

use crate::http::{Connection, Server};
use crate::record::Record;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a watch sends an empty line while nothing changes.
const KEEPALIVE: Duration = Duration::from_secs(2);

#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub port: u16,
    pub cell: u64,
    pub phase: &'static str,
}

impl Member {
    fn json(&self) -> String {
        let Self { id, port, cell, phase } = self;
        format!(
            "{{\"id\":\"{id}\",\"host_port\":\"127.0.0.1:{port}\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":{cell},\
            \"phase\":\"{phase}\",\"size\":1.0,\"up_since_ms\":0}}"
        )
    }
}

/// Final notice that the platform received.
#[derive(Clone)]
pub struct Notice {
    pub id: String,
    /// `dead` or `bounced`.
    pub result: String,
    pub time: Instant,
}

struct State {
    /// Changes by revision, the first of which is 1.
    changes: Vec<(u64, Member)>,
    revision: u64,
    notices: Vec<Notice>,
    answer_delay: Duration,
}

impl State {
    fn list(&self, after: u64) -> String {
        let mut members: Vec<&Member> = Vec::new();
        for (revision, member) in &self.changes {
            if *revision > after {
                members.retain(|other| other.id != member.id);
                members.push(member);
            }
        }
        if after == 0 {
            members.retain(|member| member.phase != "removed");
        }
        let members: Vec<String> = members.into_iter().map(Member::json).collect();
        let (revision, complete) = (self.revision, after == 0);
        format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
    }
}

#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    record: Record,
    pub port: u16,
}

fn text_field<'a>(line: &'a str, name: &str) -> &'a str {
    let start = line.split_once(&format!("\"{name}\":\"")).map_or("", |(_, rest)| rest);
    start.split('"').next().unwrap_or_default()
}

impl Platform {
    pub fn start(members: &[Member], record: &Record) -> std::io::Result<Self> {
        let changes = members.iter().map(|member| (1, member.clone())).collect();
        let state = State { changes, revision: 1, notices: Vec::new(), answer_delay: Duration::ZERO };
        let mut platform = Self { state: Arc::new(Mutex::new(state)), record: record.clone(), port: 0 };
        let handler = platform.clone();
        let server = Server::start(0, move |connection| handler.serve(connection))?;
        platform.port = server.address.port();
        Ok(platform)
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns the complete list, as in the configuration's `known`.
    pub fn list(&self) -> String {
        self.state().list(0)
    }

    /// Adds a revision in which these members changed, and returns the time from which on discovery has it.
    pub fn change(&self, members: &[Member]) -> Instant {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        for member in members {
            state.changes.push((revision, member.clone()));
            self.record.line(&format!("discovery has revision {revision}: {}", member.json()));
        }
        Instant::now()
    }

    /// Sets the time after which discovery answers a request. Notices are answered at once.
    pub fn set_answer_delay(&self, delay: Duration) {
        self.state().answer_delay = delay;
    }

    pub fn notices(&self) -> Vec<Notice> {
        self.state().notices.clone()
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.request() {
            if request.line.contains("/v2/finals") {
                let time = Instant::now();
                for line in String::from_utf8_lossy(&request.body).lines().filter(|line| !line.is_empty()) {
                    self.record.line(&format!("notice {line}"));
                    let notice = Notice {
                        id: text_field(line, "ref").to_owned(),
                        result: text_field(line, "result").to_owned(),
                        time,
                    };
                    self.state().notices.push(notice);
                }
                if !connection.write(b"HTTP/1.1 204 No Content\r\n\r\n") {
                    return;
                }
                continue;
            }
            self.record.line(&format!("discovery got {}", request.line));
            let delay = self.state().answer_delay;
            thread::sleep(delay);
            if connection.is_closed() {
                self.record.line("discovery's answer was not awaited");
                return;
            }
            self.record.line(&format!("discovery answers {}", request.line));
            let after = request
                .line
                .split_once("after=")
                .map(|(_, rest)| rest.split([' ', '&']).next().unwrap_or_default());
            match after {
                Some(after) => return self.watch(connection, after.parse().unwrap_or(0)),
                None => {
                    let list = self.list();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                    if !connection.write((head + &list).as_bytes()) {
                        return;
                    }
                }
            }
        }
    }

    fn watch(&self, mut connection: Connection, mut after: u64) {
        let chunk = |line: &str| format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        if !connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") {
            return;
        }
        let mut last_line = None;
        loop {
            let (revision, list) = {
                let state = self.state();
                (state.revision, (state.revision > after).then(|| state.list(after)))
            };
            if let Some(list) = list {
                if !connection.write(chunk(&list).as_bytes()) {
                    return;
                }
                (after, last_line) = (revision, Some(Instant::now()));
            } else if last_line.is_none_or(|at: Instant| at.elapsed() >= KEEPALIVE) {
                if !connection.write(chunk("").as_bytes()) {
                    return;
                }
                last_line = Some(Instant::now());
            }
            if connection.is_closed() {
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}
