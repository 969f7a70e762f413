//! What a run costs in time and memory: the deciders' own share, and the simulator's. Wall time of one thread, so it
//! differs from run to run; ratios hold better.

use crate::baselines;
use crate::experiment::Planned;
use crate::sweep::Run;
use quillhub::{Driver, MessageId};
use quillhub_simulator::{Decider, Input, Report, Simulation, Start};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The cost of one run.
pub struct Cost {
    /// What the run came to.
    pub report: Report,
    /// Its wall time.
    pub whole: Duration,
    /// The part of it that the deciders took.
    pub deciders: Duration,
    /// Most memory that this process has had by now, in MB; 0 where the system does not tell.
    pub memory_mb: f64,
}

/// A decider whose time is counted.
struct Timed {
    inner: Box<dyn Decider>,
    spent: Rc<Cell<Duration>>,
}

impl Timed {
    fn time<T>(&mut self, work: impl FnOnce(&mut dyn Decider) -> T) -> T {
        let from = Instant::now();
        let done = work(self.inner.as_mut());
        self.spent.set(self.spent.get() + from.elapsed());
        done
    }
}

impl Decider for Timed {
    fn advance_to(&mut self, now: Duration) {
        self.inner.advance_to(now);
    }
    fn handle(&mut self, input: Input) {
        self.time(|inner| inner.handle(input));
    }
    fn may_send_request(&self, id: MessageId, attempt: u32, now: Duration) -> bool {
        let from = Instant::now();
        let may_send_request = self.inner.may_send_request(id, attempt, now);
        self.spent.set(self.spent.get() + from.elapsed());
        may_send_request
    }
    fn apply_rules(&mut self, driver: &mut dyn Driver) {
        self.time(|inner| inner.apply_rules(driver));
    }
    fn wants_capacity(&self) -> bool {
        self.inner.wants_capacity()
    }
    fn observe_capacity(&mut self, capacity: &dyn Fn(&str) -> usize) {
        self.inner.observe_capacity(capacity);
    }
}

fn peak_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kb = peak.and_then(|text| text.trim().trim_end_matches(" kB").trim().parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1024.0
}

/// Plays one run on this thread.
pub fn measure(planned: &Planned, run: &Run) -> Cost {
    let spent = Rc::new(Cell::new(Duration::ZERO));
    let make = |start: &Start| {
        let inner = baselines::make(run.decider, &planned.of.baselines, start);
        Box::new(Timed { inner, spent: spent.clone() }) as Box<dyn Decider>
    };
    let from = Instant::now();
    let report = Simulation::run(&run.variant.day, run.seed, &make, |_, _| {});
    Cost { report, whole: from.elapsed(), deciders: spent.get(), memory_mb: peak_mb() }
}

impl Cost {
    /// One line for a terminal.
    pub fn line(&self, run: &Run) -> String {
        let (whole, deciders) = (self.whole.as_secs_f64(), self.deciders.as_secs_f64());
        let messages = self.report.tally.submitted.max(1) as f64;
        format!(
            "{} {}, seed {}: {messages} notices in {whole:.2} s, {:.0} a second; deciders {:.2} us each, the emulator \
             {:.2} us each; {} events; at most {:.0} MB; breaches {}",
            run.variant.name,
            run.decider.word(),
            run.seed,
            messages / whole,
            deciders * 1e6 / messages,
            (whole - deciders) * 1e6 / messages,
            self.report.events,
            self.memory_mb,
            self.report.breaches.len(),
        )
    }
}
