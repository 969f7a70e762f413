//! Driver that encodes the actions of one instance as lines of a reply.

use base64::prelude::*;
use quillhub::{AttemptPlan, Driver, LogEvent, MessageId};
use std::fmt::Write;
use std::time::Duration;

/// Driver of one instance, which appends a line to the reply for each action.
pub struct Reply<'a> {
    instance: &'a str,
    lines: &'a mut String,
}

impl<'a> Reply<'a> {
    pub fn new(instance: &'a str, lines: &'a mut String) -> Self {
        Self { instance, lines }
    }

    fn add_line(&mut self, action: &str, fields: std::fmt::Arguments) {
        writeln!(self.lines, "{action} {}{fields}", self.instance).expect("writing to a string never fails");
    }
}

impl Driver for Reply<'_> {
    fn start_attempt(&mut self, message: MessageId, endpoint: &str, plan: AttemptPlan) {
        // In the simulator's protocol, a timeout of 0 means no timeout.
        let timeout = plan.timeout.as_micros().max(1);
        self.add_line("ASSIGN", format_args!(" {message} {endpoint} {timeout}"));
    }

    fn reject(&mut self, message: MessageId, retry_after: Option<Duration>) {
        match retry_after {
            Some(wait) => self.add_line("SAY_NO", format_args!(" {message} {}", wait.as_micros())),
            None => self.add_line("SAY_NO", format_args!(" {message} -")),
        }
    }

    fn abandon(&mut self, message: MessageId) {
        self.add_line("LOSE", format_args!(" {message}"));
    }

    fn close_idle_connections(&mut self, endpoint: &str) {
        self.add_line("HANG_UP", format_args!(" {endpoint}"));
    }

    fn broadcast(&mut self, gossip: &[u8]) {
        self.add_line("POST", format_args!(" * {}", BASE64_STANDARD.encode(gossip)));
    }

    fn set_timer(&mut self, wait: Duration) {
        self.add_line("ARM", format_args!(" {} beat", wait.as_micros()));
    }

    fn watch_endpoints(&mut self) {
        self.add_line("OBSERVE", format_args!(" 1"));
    }

    fn log(&mut self, event: &LogEvent) {
        self.add_line("EMIT", format_args!(" {event}"));
    }
}
