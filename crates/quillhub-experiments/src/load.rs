//! An open-loop load on a real courier on loopback, step by step: endpoints, register, platform and clients are
//! stand-ins, arrivals and faults those of the experiment's day. These figures are of sockets, not simulated.

use crate::chart::{self, Line};
use crate::experiment::Planned;
use crate::results::round;
use hdrhistogram::Histogram;
use quillhub_fakes::clients::{self, RequestLog, ScheduledMessage};
use quillhub_fakes::endpoints::{self, EndpointEvent, EndpointEventKind, Listed};
use quillhub_fakes::platform::{self, Discovery, OutcomeNotification};
use quillhub_fakes::process::{InstanceProcess, Usage};
use quillhub_fakes::{configuration, scratch};
use quillhub_simulator::{FinalOutcome, Scenario, arrivals};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// From the start of the stand-ins to the day's first instant: a courier starts in far less.
const LEAD: Duration = Duration::from_secs(2);
/// After the last limit, for what is on its way.
const TAIL: Duration = Duration::from_secs(1);
/// Notices of one step beyond which it is taken for a mistake.
const MOST_NOTICES: usize = 2_000_000;
/// Share of notices in their contract time that a step under the knee keeps.
const KEPT: f64 = 0.99;
/// Steps looked for between one under the knee and one over it.
const NARROWING: usize = 3;
/// Rates beyond which no knee is looked for, in notices a second.
const MOST_RATE: f64 = 50_000.0;

/// One step.
#[derive(Clone, Debug, Serialize)]
pub struct Step {
    pub experiment: String,
    pub rate: f64,
    pub figures: BTreeMap<String, f64>,
    /// CPU share and memory in kB of the courier, by second.
    pub cpu: Vec<f64>,
    pub memory_kb: Vec<u64>,
}

impl Step {
    pub fn figure(&self, name: &str) -> f64 {
        self.figures.get(name).copied().unwrap_or_default()
    }
}

/// What a load is made with, beside the day.
pub struct Made<'a> {
    pub program: &'a Path,
    pub connections: usize,
    pub body: usize,
    pub sockets: u64,
    pub seed: u64,
}

/// The endpoints' own thread, so that they and the clients do not wait for each other.
struct Endpoints {
    listed: Vec<Listed>,
    platform: SocketAddr,
    seen: UnboundedReceiver<EndpointEvent>,
    finals: UnboundedReceiver<OutcomeNotification>,
    _stop: oneshot::Sender<()>,
}

fn endpoints(day: &'static Scenario, seed: u64, started: Instant) -> Result<Endpoints, String> {
    type Told = Result<(Vec<Listed>, SocketAddr), String>;
    let (tell, told) = std::sync::mpsc::channel::<Told>();
    let (tell_seen, seen) = unbounded_channel();
    let (tell_finals, finals) = unbounded_channel();
    let (stop, stopped) = oneshot::channel::<()>();
    std::thread::spawn(move || {
        scratch::on_one_thread(async move {
            let made = async {
                let listed = endpoints::start(day, seed, started, tell_seen).await?;
                let register = Discovery::new(&listed);
                let at = platform::start(register.clone(), tell_finals).await?;
                platform::play_faults(day, seed, started, &register);
                Ok::<_, std::io::Error>((listed, at))
            };
            let _ = tell.send(made.await.map_err(|e| format!("a stand-in cannot start: {e}")));
            let _ = stopped.await;
        });
    });
    let (listed, platform) = told.recv().map_err(|_| "a stand-in's thread ended".to_string())??;
    Ok(Endpoints { listed, platform, seen, finals, _stop: stop })
}

/// Counts of what endpoints saw.
#[derive(Default)]
struct Arrived {
    sends: u64,
    turned_away: u64,
    handled: u64,
    /// Marks that ran, with when, and how often one ran again.
    marks: BTreeSet<String>,
    again: u64,
}

impl Arrived {
    fn seen(&mut self, book: &mut RequestLog, seen: &EndpointEvent) {
        match seen.kind {
            EndpointEventKind::Arrived => self.sends += 1,
            EndpointEventKind::Rejected => self.turned_away += 1,
            EndpointEventKind::Failed => {}
            EndpointEventKind::Delivered | EndpointEventKind::ExecutedUnheard => {
                if let Some(mark) = &seen.idempotency_key {
                    self.again += u64::from(!self.marks.insert(mark.clone()));
                }
                if seen.kind == EndpointEventKind::Delivered {
                    self.handled += 1;
                    book.finish(&seen.id, seen.at, FinalOutcome::Delivered);
                }
            }
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("the bounds are in order")
}

/// Plays the day once with its arrivals `factor` times as dense.
pub fn step(planned: &Planned, factor: f64, made: &Made) -> Result<Step, String> {
    let mut day = planned.variants[0].day.clone();
    day.arrivals.iter_mut().for_each(|stream| stream.per_s *= factor);
    let rate = day.arrivals.iter().map(|stream| stream.per_s).sum();
    // Kept as long as the process: tasks of the stand-ins' thread look at it until they end. One for each step.
    let day: &'static Scenario = Box::leak(Box::new(day));
    let dues: Vec<_> = arrivals(day, made.seed)
        .into_iter()
        .map(|a| ScheduledMessage { at: a.at, service_class: a.service_class, destination: a.destination })
        .collect();
    if dues.len() > MOST_NOTICES {
        return Err(format!("expected at most {MOST_NOTICES} notices in a step, found {}", dues.len()));
    }
    let folder = scratch::Folder::new();
    let told = |e: std::io::Error| format!("a courier cannot be started: {e}");
    scratch::on_one_thread(async {
        let started = Instant::now() + LEAD;
        let mut others = endpoints(day, made.seed, started)?;
        // A port that was free a moment ago; nothing else on this machine is asked for one.
        let listen = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).map_err(told)?;
        let known = Discovery::new(&others.listed).borrow().list();
        let config = configuration::instance(day, made.seed, listen, others.platform, known, made.sockets);
        let (at, state) = (folder.0.join("config.json"), folder.0.join("state"));
        std::fs::write(&at, config.to_string()).map_err(told)?;
        std::fs::create_dir(&state).map_err(told)?;
        let courier =
            InstanceProcess::start(made.program, &at, &state, &folder.0.join("log")).map_err(told)?;
        if !clients::ready(listen, LEAD).await {
            let log = std::fs::read_to_string(folder.0.join("log")).unwrap_or_default();
            return Err(format!("expected a courier that answers, found none; its log: {}", log.trim()));
        }
        let book = RequestLog::new(day, made.seed, started);
        let count = dues.len();
        let played = spawn_local(clients::play(book.clone(), listen, dues, made.connections, made.body));
        let limit = day.service_classes.iter().map(|grade| grade.deadline).max().unwrap_or_default();
        let end = started + day.length + limit + TAIL;
        let (mut came, mut uses) = (Arrived::default(), vec![courier.usage().unwrap_or_default()]);
        let mut next_use = started + Duration::from_secs(1);
        while Instant::now() < end && !(played.is_finished() && book.borrow().is_over()) {
            tokio::select! {
                Some(seen) = others.seen.recv() => came.seen(&mut book.borrow_mut(), &seen),
                Some(last) = others.finals.recv() => {
                    if last.rejected {
                        let order = book.borrow().ids.get(&last.id).copied();
                        if let Some(order) = order {
                            clients::retry_rejected(book.clone(), listen, order, last.retry_after, made.body);
                        }
                    } else {
                        book.borrow_mut().finish(&last.id, last.at, FinalOutcome::Abandoned);
                    }
                }
                () = sleep_until(next_use) => {
                    next_use += Duration::from_secs(1);
                    let used = courier.usage().ok_or("the courier ended in the midst of a step")?;
                    uses.push(used);
                }
            }
        }
        // What was seen at the last instant.
        sleep(Duration::from_millis(20)).await;
        while let Ok(seen) = others.seen.try_recv() {
            came.seen(&mut book.borrow_mut(), &seen);
        }
        let last = courier.usage().unwrap_or_default();
        let book = book.borrow();
        let step = Counted { day, book: &book, came: &came, uses: &uses, last, count };
        Ok(step.figures(&planned.name, rate))
    })
}

struct Counted<'a> {
    day: &'a Scenario,
    book: &'a RequestLog,
    came: &'a Arrived,
    uses: &'a [Usage],
    last: Usage,
    count: usize,
}

impl Counted<'_> {
    fn figures(&self, experiment: &str, rate: f64) -> Step {
        let (mut word, mut end, mut denial) = (histogram(), histogram(), histogram());
        let put = |into: &mut Histogram<u64>, time: &Duration| {
            into.saturating_record((time.as_micros() as u64).max(1));
        };
        let (mut handled, mut in_contract, mut earned, mut worth) = (0u64, 0u64, 0.0, 0.0);
        for order in &self.book.requests {
            let grade = self.day.service_classes[order.message.service_class].service_class();
            worth += grade.value;
            order.first_reply.iter().for_each(|time| put(&mut word, time));
            if let Some((after, FinalOutcome::Delivered)) = order.outcome {
                handled += 1;
                in_contract += u64::from(after <= grade.soft_deadline);
                earned += grade.value * grade.value_share(after);
                put(&mut end, &after);
            }
        }
        self.book.rejection_times.iter().for_each(|time| put(&mut denial, time));
        let count = self.count.max(1) as f64;
        let time = |of: &Histogram<u64>, quantile: f64| of.value_at_quantile(quantile) as f64 / 1e6;
        let cpu = (self.last.cpu.saturating_sub(self.uses[0].cpu)).as_secs_f64();
        let memory = self.uses.iter().chain([&self.last]).map(|used| used.memory_kb).max().unwrap_or(0);
        let figures = [
            ("notices", count),
            ("earned", earned / f64::max(worth, f64::MIN_POSITIVE)),
            ("handled", handled as f64 / count),
            ("handled a second", handled as f64 / self.day.length.as_secs_f64()),
            ("in contract", in_contract as f64 / count),
            ("sends each", self.came.sends as f64 / count),
            ("turned away each", self.came.turned_away as f64 / count),
            ("ran again", self.came.again as f64),
            ("denied at once", self.book.rejected as f64),
            ("no word", self.book.failed as f64),
            ("word p50 s", time(&word, 0.5)),
            ("word p99 s", time(&word, 0.99)),
            ("denial p99 s", time(&denial, 0.99)),
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

/// Plays the steps; without rates, doubles from the day's own until the knee is passed, then narrows it down.
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
        while over <= MOST_RATE && play(over)? {
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
        "{:8.0}/s offered {:8.0}/s handled  in contract {:.4}  word {:.4}/{:.4} s  end {:.4}/{:.4}/{:.4} s  \
         denied {:.0}  {:.0} us CPU each  {:.1} MB",
        step.rate,
        f("handled a second"),
        f("in contract"),
        f("word p50 s"),
        f("word p99 s"),
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
    at("load-handled.svg", chart::over_rate("handled a second", &lines(&["handled a second"]))?)?;
    at(
        "load-latency.svg",
        chart::over_rate("time to the end", &lines(&["p50 s", "p99 s", "p99.9 s", "word p99 s"]))?,
    )
}
