//! One instance's actions, written as lines of the reply being built.

use base64::prelude::*;
use quillhub::{Driver, LogEvent, MessageId};
use std::fmt::Write;
use std::time::Duration;

/// Adds the actions of one instance to a reply.
pub struct Reply<'a> {
    instance: &'a str,
    lines: &'a mut String,
}

impl<'a> Reply<'a> {
    pub fn new(instance: &'a str, lines: &'a mut String) -> Self {
        Self { instance, lines }
    }

    fn add(&mut self, action: &str, rest: std::fmt::Arguments) {
        writeln!(self.lines, "{action} {}{rest}", self.instance).expect("a string takes every write");
    }
}

impl Driver for Reply<'_> {
    fn start_attempt(&mut self, message: MessageId, endpoint: &str, timeout: Duration) {
        // On this wire a timeout of 0 means none at all.
        let timeout = timeout.as_micros().max(1);
        self.add("ASSIGN", format_args!(" {message} {endpoint} {timeout}"));
    }

    fn reject(&mut self, message: MessageId, retry_after: Option<Duration>) {
        match retry_after {
            Some(wait) => self.add("SAY_NO", format_args!(" {message} {}", wait.as_micros())),
            None => self.add("SAY_NO", format_args!(" {message} -")),
        }
    }

    fn abandon(&mut self, message: MessageId) {
        self.add("LOSE", format_args!(" {message}"));
    }

    fn close_idle_connections(&mut self, endpoint: &str) {
        self.add("HANG_UP", format_args!(" {endpoint}"));
    }

    fn broadcast(&mut self, gossip: &[u8]) {
        self.add("POST", format_args!(" * {}", BASE64_STANDARD.encode(gossip)));
    }

    fn set_timer(&mut self, wait: Duration) {
        self.add("ARM", format_args!(" {} beat", wait.as_micros()));
    }

    fn watch_endpoints(&mut self) {
        self.add("OBSERVE", format_args!(" 1"));
    }

    fn log(&mut self, event: &LogEvent) {
        self.add("EMIT", format_args!(" {event}"));
    }
}
