//! Recorder of a run: passes each fact to the auditor, the tally, the hash and the caller's observer.

use crate::audit::{Auditor, Breach};
use crate::fact::Fact;
use crate::scenario::Scenario;
use crate::tally::Tally;
use std::hash::{Hash, Hasher};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3Default;

/// Result of a run.
pub struct Report {
    /// Breaches of the six rules, in the order in which the auditor found them.
    pub breaches: Vec<Breach>,
    /// Figures of the run.
    pub tally: Tally,
    /// Hash of all facts in order; runs with equal hashes are identical.
    pub hash: u64,
    /// Number of facts recorded, not counting placements of endpoints.
    pub facts: u64,
    /// Number of events processed by the simulation.
    pub events: u64,
}

/// Recorder of the facts of a run.
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

    /// Records a fact at its time.
    pub(super) fn record(&mut self, now: Duration, fact: &Fact) {
        fact.hash(&mut self.hash);
        now.hash(&mut self.hash);
        self.facts += 1;
        self.auditor.record(now, fact);
        self.tally.record(now, fact);
        (self.observer)(now, fact);
    }

    /// Records the placement of an endpoint. It is not an event of the run, so it is not counted and its time is not
    /// hashed.
    pub(super) fn record_placement(&mut self, now: Duration, fact: &Fact) {
        self.auditor.record(now, fact);
        fact.hash(&mut self.hash);
        (self.observer)(now, fact);
    }

    /// Ends the recording. The auditor reports messages that are still pending.
    pub(super) fn finish(self, now: Duration, events: u64) -> Report {
        let Self { auditor, tally, hash, facts, .. } = self;
        Report { breaches: auditor.finish(now), tally, hash: hash.finish(), facts, events }
    }
}
