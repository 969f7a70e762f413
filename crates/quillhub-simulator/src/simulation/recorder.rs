//! The record of a run: each fact goes to the auditor, the tally, the hash and the caller.

use crate::audit::{Auditor, Breach};
use crate::fact::Fact;
use crate::scenario::Scenario;
use crate::tally::Tally;
use std::hash::{Hash, Hasher};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3Default;

/// What a run came to.
pub struct Report {
    /// Breaches of the six rules, in the order in which they were found.
    pub breaches: Vec<Breach>,
    /// The run's figures.
    pub tally: Tally,
    /// Of all facts in turn: equal hashes, equal runs.
    pub hash: u64,
    /// Facts recorded.
    pub facts: u64,
    /// Events of the simulation.
    pub events: u64,
}

/// Takes the facts of a run.
pub(super) struct Recorder<'a> {
    auditor: Auditor,
    pub(super) tally: Tally,
    hash: Xxh3Default,
    facts: u64,
    observer: &'a mut dyn FnMut(Duration, &Fact),
}

impl<'a> Recorder<'a> {
    pub(super) fn new(scenario: &Scenario, observer: &'a mut dyn FnMut(Duration, &Fact)) -> Self {
        let (auditor, tally) = (Auditor::new(scenario), Tally::new(scenario));
        Self { auditor, tally, hash: Xxh3Default::new(), facts: 0, observer }
    }

    /// Records what happened.
    pub(super) fn record(&mut self, now: Duration, fact: &Fact) {
        fact.hash(&mut self.hash);
        now.hash(&mut self.hash);
        self.facts += 1;
        self.auditor.record(now, fact);
        self.tally.record(now, fact);
        (self.observer)(now, fact);
    }

    /// Records that an endpoint was placed. It is no event of the run, so it is not counted, and its instant is not
    /// hashed.
    pub(super) fn record_placement(&mut self, now: Duration, fact: &Fact) {
        self.auditor.record(now, fact);
        fact.hash(&mut self.hash);
        (self.observer)(now, fact);
    }

    /// Ends the record; the auditor finds what is still pending.
    pub(super) fn finish(self, now: Duration, events: u64) -> Report {
        let Self { auditor, tally, hash, facts, .. } = self;
        Report { breaches: auditor.end(now), tally, hash: hash.finish(), facts, events }
    }
}
