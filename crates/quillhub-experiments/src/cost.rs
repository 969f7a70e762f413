//! Time and memory of a run, with the shares of the deciders and of the simulator. Wall time of one thread varies from
//! run to run; ratios vary less.

use crate::baselines;
use crate::experiment::ExperimentPlan;
use crate::sweep::Run;
use quillhub::{Driver, MessageId};
use quillhub_simulator::{Decider, DeciderParameters, Input, Report, Simulation};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time and memory of one run.
pub struct Cost {
    /// Report of the simulation.
    pub report: Report,
    /// Wall time of the run.
    pub wall_time: Duration,
    /// Part of the wall time spent in `handle`, `apply_rules` and `may_send_request` of the deciders.
    pub decider_time: Duration,
    /// Peak resident memory of this process so far, in MB; 0 if the system does not report it.
    pub peak_memory_mb: f64,
}

/// Decider wrapped to measure the time spent in it.
struct TimedDecider {
    inner: Box<dyn Decider>,
    decider_time: Rc<Cell<Duration>>,
}

impl TimedDecider {
    fn measure<T>(&mut self, work: impl FnOnce(&mut dyn Decider) -> T) -> T {
        let started = Instant::now();
        let result = work(self.inner.as_mut());
        self.decider_time.set(self.decider_time.get() + started.elapsed());
        result
    }
}

impl Decider for TimedDecider {
    fn advance_to(&mut self, now: Duration) {
        self.inner.advance_to(now);
    }
    fn handle(&mut self, input: Input) {
        self.measure(|inner| inner.handle(input));
    }
    fn may_send_request(&self, id: MessageId, attempt: u32, now: Duration) -> bool {
        let started = Instant::now();
        let may_send_request = self.inner.may_send_request(id, attempt, now);
        self.decider_time.set(self.decider_time.get() + started.elapsed());
        may_send_request
    }
    fn apply_rules(&mut self, driver: &mut dyn Driver) {
        self.measure(|inner| inner.apply_rules(driver));
    }
    fn wants_capacity(&self) -> bool {
        self.inner.wants_capacity()
    }
    fn observe_capacity(&mut self, capacity: &dyn Fn(&str) -> usize) {
        self.inner.observe_capacity(capacity);
    }
}

fn read_peak_memory_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kb = peak.and_then(|text| text.trim().trim_end_matches(" kB").trim().parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1024.0
}

/// Simulates one run on this thread and measures its cost.
pub fn measure(plan: &ExperimentPlan, run: &Run) -> Cost {
    let decider_time = Rc::new(Cell::new(Duration::ZERO));
    let create_decider = |start: &DeciderParameters| {
        let inner = baselines::create_decider(run.decider, &plan.definition.baselines, start);
        Box::new(TimedDecider { inner, decider_time: decider_time.clone() }) as Box<dyn Decider>
    };
    let started = Instant::now();
    let report = Simulation::run(&run.variant.scenario, run.seed, &create_decider, |_, _| {});
    Cost {
        report,
        wall_time: started.elapsed(),
        decider_time: decider_time.get(),
        peak_memory_mb: read_peak_memory_mb(),
    }
}

impl Cost {
    /// Returns a one-line summary for the terminal.
    pub fn summary(&self, run: &Run) -> String {
        let (wall_time_s, decider_time_s) = (self.wall_time.as_secs_f64(), self.decider_time.as_secs_f64());
        let messages = self.report.tally.submitted.max(1) as f64;
        format!(
            "{} {}, seed {}: {messages} messages in {wall_time_s:.2} s, {:.0} per second; deciders {:.2} us and simulator \
             {:.2} us per message; {} events; peak memory {:.0} MB; breaches {}",
            run.variant.name,
            run.decider.name(),
            run.seed,
            messages / wall_time_s,
            decider_time_s * 1e6 / messages,
            (wall_time_s - decider_time_s) * 1e6 / messages,
            self.report.events,
            self.peak_memory_mb,
            self.report.breaches.len(),
        )
    }
}
