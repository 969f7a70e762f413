//! One courier's actions, written as lines of the reply being built.

use base64::prelude::*;
use quillhub::{Hands, NoticeId};
use std::fmt::Write;
use std::time::Duration;

pub struct Reply<'a> {
    pub courier: &'a str,
    pub lines: &'a mut String,
}

impl Reply<'_> {
    fn add(&mut self, action: &str, rest: std::fmt::Arguments) {
        writeln!(self.lines, "{action} {}{rest}", self.courier).expect("a string takes every write");
    }
}

impl Hands for Reply<'_> {
    fn send(&mut self, notice: NoticeId, endpoint: &str, patience: Duration) {
        // On this wire a time-out of 0 means none at all.
        let patience = patience.as_micros().max(1);
        self.add("ASSIGN", format_args!(" {notice} {endpoint} {patience}"));
    }

    fn deny(&mut self, notice: NoticeId, come_back: Option<Duration>) {
        match come_back {
            Some(wait) => self.add("SAY_NO", format_args!(" {notice} {}", wait.as_micros())),
            None => self.add("SAY_NO", format_args!(" {notice} -")),
        }
    }

    fn write_off(&mut self, notice: NoticeId) {
        self.add("LOSE", format_args!(" {notice}"));
    }

    fn hang_up(&mut self, endpoint: &str) {
        self.add("HANG_UP", format_args!(" {endpoint}"));
    }

    fn tell(&mut self, note: &[u8]) {
        self.add("POST", format_args!(" * {}", BASE64_STANDARD.encode(note)));
    }

    fn wake(&mut self, wait: Duration) {
        self.add("ARM", format_args!(" {} beat", wait.as_micros()));
    }

    fn watch(&mut self) {
        self.add("OBSERVE", format_args!(" 1"));
    }

    fn log(&mut self, line: &str) {
        self.add("EMIT", format_args!(" {line}"));
    }
}
