//! An open-loop load on a real instance on loopback, step by step: endpoints, discovery, platform and clients are
//! fakes, arrivals and faults those of the experiment's day. These figures are of sockets, not simulated.

use crate::chart::{self, Line};
use crate::experiment::Planned;
use crate::results::round;
use hdrhistogram::Histogram;
use quillhub_fakes::clients::{self, RequestLog, ScheduledMessage};
use quillhub_fakes::endpoints::{self, EndpointEvent, EndpointEventKind, ListedEndpoint};
use quillhub_fakes::platform::{self, Discovery, OutcomeNotification};
use quillhub_fakes::process::{InstanceProcess, Usage};
use quillhub_fakes::{configuration, scratch};
use quillhub_simulator::{FinalOutcome, Scenario, arrivals};
use serde::Serialize;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// From the start of the fakes to the scenario's first instant: an instance starts in far less.
const LEAD: Duration = Duration::from_secs(2);
/// After the last limit, for what is on its way.
const TAIL: Duration = Duration::from_secs(1);
/// Messages of one step beyond which it is taken for a mistake.
const MAX_MESSAGES: usize = 2_000_000;
/// Share of messages in their soft deadline that a step under the knee keeps.
const KEPT: f64 = 0.99;
/// Steps looked for between one under the knee and one over it.
const NARROWING: usize = 3;
/// Rates beyond which no knee is looked for, in messages a second.
const MAX_RATE: f64 = 50_000.0;

/// One step.
#[derive(Clone, Debug, Serialize)]
pub struct Step {
    /// The name of the experiment.
    pub experiment: String,
    /// Messages offered a second.
    pub rate: f64,
    /// The figures, by name.
    pub figures: BTreeMap<String, f64>,
    /// CPU share and memory in kB of the instance, by second.
    pub cpu: Vec<f64>,
    /// Memory of the instance in kB, by second.
    pub memory_kb: Vec<u64>,
}

impl Step {
    /// A figure by its name; 0 if there is none.
    pub fn figure(&self, name: &str) -> f64 {
        self.figures.get(name).copied().unwrap_or_default()
    }
}

/// What a load is made with, beside the scenario.
pub struct Made<'a> {
    /// The instance's program.
    pub program: &'a Path,
    /// Connections of clients.
    pub connections: usize,
    /// Bytes of a body.
    pub body: usize,
    /// Descriptors that the instance may have.
    pub sockets: u64,
    /// Seed of arrivals, faults and the instance.
    pub seed: u64,
}

/// The endpoints' own thread, so that they and the clients do not wait for each other.
struct Endpoints {
    listed: Vec<ListedEndpoint>,
    platform: SocketAddr,
    seen: UnboundedReceiver<EndpointEvent>,
    outcomes: UnboundedReceiver<OutcomeNotification>,
    _stop: oneshot::Sender<()>,
}

fn endpoints(day: &'static Scenario, seed: u64, started: Instant) -> Result<Endpoints, String> {
    type Started = Result<(Vec<ListedEndpoint>, SocketAddr), String>;
    let (started_sender, started_receiver) = std::sync::mpsc::channel::<Started>();
    let (event_sender, seen) = unbounded_channel();
    let (outcome_sender, outcomes) = unbounded_channel();
    let (stop, stopped) = oneshot::channel::<()>();
    std::thread::spawn(move || {
        scratch::on_one_thread(async move {
            let made = async {
                let listed = endpoints::start(day, seed, started, event_sender).await?;
                let discovery = Discovery::new(&listed);
                let at = platform::start(discovery.clone(), outcome_sender).await?;
                platform::schedule_faults(day, seed, started, &discovery);
                Ok::<_, std::io::Error>((listed, at))
            };
            let _ = started_sender.send(made.await.map_err(|e| format!("a stand-in cannot start: {e}")));
            let _ = stopped.await;
        });
    });
    let (listed, platform) =
        started_receiver.recv().map_err(|_| "a stand-in's thread ended".to_string())??;
    Ok(Endpoints { listed, platform, seen, outcomes, _stop: stop })
}

/// Counts of what endpoints saw.
#[derive(Default)]
struct Arrived {
    attempts: u64,
    rejected: u64,
    delivered: u64,
    /// Marks that ran, with when, and how often one ran again.
    executed_keys: BTreeSet<String>,
    again: u64,
}

impl Arrived {
    fn seen(&mut self, requests: &mut RequestLog, seen: &EndpointEvent) {
        match seen.kind {
            EndpointEventKind::Arrived => self.attempts += 1,
            EndpointEventKind::Rejected => self.rejected += 1,
            EndpointEventKind::Failed => {}
            EndpointEventKind::Delivered | EndpointEventKind::ExecutedResponseLost => {
                if let Some(key) = &seen.idempotency_key {
                    self.again += u64::from(!self.executed_keys.insert(key.clone()));
                }
                if seen.kind == EndpointEventKind::Delivered {
                    self.delivered += 1;
                    requests.finish(&seen.id, seen.time, FinalOutcome::Delivered);
                }
            }
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("the bounds are in order")
}

/// One step while it is played.
struct Playing<'a> {
    scenario: &'static Scenario,
    made: &'a Made<'a>,
    started: Instant,
    listen: SocketAddr,
    instance: InstanceProcess,
    requests: Rc<RefCell<RequestLog>>,
    arrived: Arrived,
    usage: Vec<Usage>,
}

/// The messages of a scenario, as clients hand them in.
fn scheduled(scenario: &Scenario, seed: u64) -> Result<Vec<ScheduledMessage>, String> {
    let messages: Vec<_> = arrivals(scenario, seed).into_iter().map(ScheduledMessage::from).collect();
    if messages.len() > MAX_MESSAGES {
        return Err(format!("expected at most {MAX_MESSAGES} notices in a step, found {}", messages.len()));
    }
    Ok(messages)
}

/// Plays the scenario once with its arrivals `factor` times as dense.
pub fn step(planned: &Planned, factor: f64, made: &Made) -> Result<Step, String> {
    let mut scenario = planned.variants[0].day.clone();
    scenario.arrivals.iter_mut().for_each(|stream| stream.per_s *= factor);
    let rate = scenario.arrivals.iter().map(|stream| stream.per_s).sum();
    // Kept as long as the process: tasks of the fakes' thread look at it until they end. One for each step.
    let scenario: &'static Scenario = Box::leak(Box::new(scenario));
    let messages = scheduled(scenario, made.seed)?;
    let directory = scratch::ScratchDirectory::new();
    scratch::on_one_thread(async {
        let started = Instant::now() + LEAD;
        let mut others = endpoints(scenario, made.seed, started)?;
        let mut playing = start(scenario, made, started, &others, &directory.0).await?;
        let count = messages.len();
        let (connections, body) = (made.connections, made.body);
        let clients =
            clients::submit_scheduled(playing.requests.clone(), playing.listen, messages, connections, body);
        let played = spawn_local(clients);
        playing.watch(&mut others, || played.is_finished()).await?;
        let last = playing.instance.usage().unwrap_or_default();
        let requests = playing.requests.borrow();
        let step = Counted {
            day: scenario,
            requests: &requests,
            came: &playing.arrived,
            uses: &playing.usage,
            last,
            count,
        };
        Ok(step.figures(&planned.name, rate))
    })
}

/// Starts the instance that is loaded, and waits until it answers.
async fn start<'a>(
    scenario: &'static Scenario,
    made: &'a Made<'a>,
    started: Instant,
    others: &Endpoints,
    directory: &Path,
) -> Result<Playing<'a>, String> {
    let failed = |e: std::io::Error| format!("a courier cannot be started: {e}");
    // A port that was free a moment ago; nothing else on this machine is asked for one.
    let listen = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).map_err(failed)?;
    let known = Discovery::new(&others.listed).borrow().list();
    let config = configuration::instance(scenario, made.seed, listen, others.platform, known, made.sockets);
    let (at, state, log) = (directory.join("config.json"), directory.join("state"), directory.join("log"));
    std::fs::write(&at, config.to_string()).map_err(failed)?;
    std::fs::create_dir(&state).map_err(failed)?;
    let instance = InstanceProcess::start(made.program, &at, &state, &log).map_err(failed)?;
    if !clients::wait_until_ready(listen, LEAD).await {
        let log = std::fs::read_to_string(log).unwrap_or_default();
        return Err(format!("expected a courier that answers, found none; its log: {}", log.trim()));
    }
    let requests = RequestLog::new(scenario, made.seed, started);
    let usage = vec![instance.usage().unwrap_or_default()];
    Ok(Playing { scenario, made, started, listen, instance, requests, arrived: Arrived::default(), usage })
}

impl Playing<'_> {
    /// Takes in what endpoints and platform report until all requests are over, or their time is.
    async fn watch(&mut self, others: &mut Endpoints, played: impl Fn() -> bool) -> Result<(), String> {
        let deadlines = self.scenario.service_classes.iter().map(|class| class.deadline);
        let longest = deadlines.max().unwrap_or_default();
        let end = self.started + self.scenario.length + longest + TAIL;
        let mut next_usage = self.started + Duration::from_secs(1);
        while Instant::now() < end && !(played() && self.requests.borrow().is_finished()) {
            tokio::select! {
                Some(event) = others.seen.recv() => self.arrived.seen(&mut self.requests.borrow_mut(), &event),
                Some(outcome) = others.outcomes.recv() => self.notified(&outcome),
                () = sleep_until(next_usage) => {
                    next_usage += Duration::from_secs(1);
                    let usage = self.instance.usage().ok_or("the courier ended in the midst of a step")?;
                    self.usage.push(usage);
                }
            }
        }
        // What was seen at the last instant.
        sleep(Duration::from_millis(20)).await;
        while let Ok(event) = others.seen.try_recv() {
            self.arrived.seen(&mut self.requests.borrow_mut(), &event);
        }
        Ok(())
    }

    /// The platform was notified of a final outcome: a client retries what was rejected.
    fn notified(&mut self, outcome: &OutcomeNotification) {
        if outcome.rejected {
            let order = self.requests.borrow().ids.get(&outcome.id).copied();
            if let Some(order) = order {
                let (requests, body) = (self.requests.clone(), self.made.body);
                clients::retry_rejected(requests, self.listen, order, outcome.retry_after, body);
            }
        } else {
            self.requests.borrow_mut().finish(&outcome.id, outcome.received_at, FinalOutcome::Abandoned);
        }
    }
}

struct Counted<'a> {
    day: &'a Scenario,
    requests: &'a RequestLog,
    came: &'a Arrived,
    uses: &'a [Usage],
    last: Usage,
    count: usize,
}

impl Counted<'_> {
    fn figures(&self, experiment: &str, rate: f64) -> Step {
        let (mut first_reply, mut end, mut rejection) = (histogram(), histogram(), histogram());
        let put = |into: &mut Histogram<u64>, time: &Duration| {
            into.saturating_record((time.as_micros() as u64).max(1));
        };
        let (mut delivered, mut in_soft_deadline, mut earned, mut value) = (0u64, 0u64, 0.0, 0.0);
        for order in &self.requests.requests {
            let class = self.day.service_classes[order.message.service_class].service_class();
            value += class.value;
            order.first_reply.iter().for_each(|time| put(&mut first_reply, time));
            if let Some((after, FinalOutcome::Delivered)) = order.outcome {
                delivered += 1;
                in_soft_deadline += u64::from(after <= class.soft_deadline);
                earned += class.value * class.value_share(after);
                put(&mut end, &after);
            }
        }
        self.requests.rejection_times.iter().for_each(|time| put(&mut rejection, time));
        let count = self.count.max(1) as f64;
        let time = |of: &Histogram<u64>, quantile: f64| of.value_at_quantile(quantile) as f64 / 1e6;
        let cpu = (self.last.cpu.saturating_sub(self.uses[0].cpu)).as_secs_f64();
        let memory = self.uses.iter().chain([&self.last]).map(|used| used.memory_kb).max().unwrap_or(0);
        let figures = [
            ("notices", count),
            ("earned", earned / f64::max(value, f64::MIN_POSITIVE)),
            ("handled", delivered as f64 / count),
            ("handled a second", delivered as f64 / self.day.length.as_secs_f64()),
            ("in contract", in_soft_deadline as f64 / count),
            ("sends each", self.came.attempts as f64 / count),
            ("turned away each", self.came.rejected as f64 / count),
            ("ran again", self.came.again as f64),
            ("denied at once", self.requests.rejected as f64),
            ("no word", self.requests.failed as f64),
            ("word p50 s", time(&first_reply, 0.5)),
            ("word p99 s", time(&first_reply, 0.99)),
            ("denial p99 s", time(&rejection, 0.99)),
            ("p50 s", time(&end, 0.5)),
            ("p99 s", time(&end, 0.99)),
            ("p99.9 s", time(&end, 0.999)),
            ("cpu us each", cpu * 1e6 / count),
            ("memory MB", memory as f64 / 1024.0),
        ];
        let cpu = self.uses.windows(2).map(|w| round((w[1].cpu.saturating_sub(w[0].cpu)).as_secs_f64()));
        Step {
            experiment: experiment.into(),
            rate,
            figures: figures.map(|(name, value)| (name.into(), round(value))).into(),
            cpu: cpu.collect(),
            memory_kb: self.uses.iter().map(|used| used.memory_kb).collect(),
        }
    }
}

/// Plays the steps; without rates, doubles from the scenario's own until the knee is passed, then narrows it down.
pub fn run(planned: &Planned, rates: &[f64], made: &Made, folder: &Path) -> Result<Vec<Step>, String> {
    let day = &planned.variants[0].day;
    endpoints::check_supported(day)?;
    if day.instances.count != 1 {
        return Err(format!("couriers.count: expected 1, found {}", day.instances.count));
    }
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let own: f64 = day.arrivals.iter().map(|stream| stream.per_s).sum();
    let mut steps = Vec::new();
    let mut play = |rate: f64| -> Result<bool, String> {
        let step = step(planned, rate / own, made)?;
        println!("{}", line(&step));
        let kept = step.figure("in contract") >= KEPT;
        steps.push(step);
        Ok(kept)
    };
    if rates.is_empty() {
        let (mut under, mut over) = (0.0, own);
        while over <= MAX_RATE && play(over)? {
            (under, over) = (over, over * 2.0);
        }
        for _ in 0..NARROWING {
            let middle = (under + over) / 2.0;
            *(if play(middle)? { &mut under } else { &mut over }) = middle;
        }
        println!("knee between {under:.0} and {over:.0} notices a second, by {KEPT} in contract");
    } else {
        for rate in rates {
            play(*rate)?;
        }
    }
    steps.sort_by(|a, b| a.rate.total_cmp(&b.rate));
    write(folder, &steps)?;
    Ok(steps)
}

/// One line for a terminal.
pub fn line(step: &Step) -> String {
    let f = |name| step.figure(name);
    format!(
        "{:8.0}/s offered {:8.0}/s delivered  in contract {:.4}  first_reply {:.4}/{:.4} s  end {:.4}/{:.4}/{:.4} s  \
         denied {:.0}  {:.0} us CPU each  {:.1} MB",
        step.rate,
        f("delivered a second"),
        f("in contract"),
        f("first_reply p50 s"),
        f("first_reply p99 s"),
        f("p50 s"),
        f("p99 s"),
        f("p99.9 s"),
        f("denied at once"),
        f("cpu us each"),
        f("memory MB"),
    )
}

fn write(folder: &Path, steps: &[Step]) -> Result<(), String> {
    let at = |name: &str, text: String| {
        let path = folder.join(name);
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))
    };
    let lines: Result<Vec<_>, _> = steps.iter().map(serde_json::to_string).collect();
    at("load.jsonl", lines.map_err(|e| format!("a step cannot be written: {e}"))?.join("\n") + "\n")?;
    let names: Vec<String> = steps.first().map(|s| s.figures.keys().cloned().collect()).unwrap_or_default();
    let mut csv = format!("rate,{}\n", names.join(","));
    for step in steps {
        let row: Vec<_> = names.iter().map(|name| step.figure(name).to_string()).collect();
        csv.push_str(&format!("{},{}\n", step.rate, row.join(",")));
    }
    at("load.csv", csv)?;
    let lines = |wanted: &[&str]| -> Vec<Line> {
        let points = |name: &str| steps.iter().map(|step| (step.rate, step.figure(name))).collect();
        wanted.iter().map(|name| Line { name: (*name).into(), points: points(name) }).collect()
    };
    at("load-delivered.svg", chart::over_rate("delivered a second", &lines(&["delivered a second"]))?)?;
    at(
        "load-latency.svg",
        chart::over_rate("time to the end", &lines(&["p50 s", "p99 s", "p99.9 s", "first_reply p99 s"]))?,
    )
}
