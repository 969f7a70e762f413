//! Open-loop load test of a real instance on loopback, in steps of one rate each. Endpoints, discovery, platform and
//! clients are fakes; arrivals and faults are those of the experiment's scenario. The figures are measured, not
//! simulated.

use crate::chart::{self, Series};
use crate::experiment::ExperimentPlan;
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

/// Time from the start of the fakes to the start of the scenario; the instance must respond within this time.
const STARTUP_TIME: Duration = Duration::from_secs(2);
/// Time after the last deadline during which late events are still counted.
const GRACE_AFTER_DEADLINES: Duration = Duration::from_secs(1);
/// Maximum number of messages of one step; a larger number is treated as a mistake in the experiment.
const MAX_MESSAGES: usize = 2_000_000;
/// Minimum share of messages delivered by their soft deadline at which a rate counts as sustained.
const MIN_ON_TIME_SHARE: f64 = 0.99;
/// Number of bisection steps between the highest sustained rate and the lowest exceeded one.
const BISECTION_STEPS: usize = 3;
/// Highest rate tried in the search for the highest sustained rate by doubling, in messages per second.
const MAX_RATE_PER_S: f64 = 50_000.0;

/// Results of one step, as a line of `load.jsonl`.
#[derive(Clone, Debug, Serialize)]
pub struct Step {
    /// Name of the experiment.
    pub experiment: String,
    /// Offered rate in messages per second.
    pub rate: f64,
    /// Figures by name.
    pub figures: BTreeMap<String, f64>,
    /// Processor time of the instance between samples, in seconds. Samples are taken once a second; the first interval
    /// also covers the start-up.
    pub cpu: Vec<f64>,
    /// Resident memory of the instance in kB, once before the scenario and then once a second.
    pub memory_kb: Vec<u64>,
}

impl Step {
    /// Returns the figure with this name, or 0 if there is none.
    pub fn figure(&self, name: &str) -> f64 {
        self.figures.get(name).copied().unwrap_or_default()
    }
}

/// Options of a load test, in addition to the scenario.
pub struct LoadOptions<'a> {
    /// Path of the instance's program.
    pub program: &'a Path,
    /// Maximum number of the clients' connections.
    pub connections: usize,
    /// Size of the body of a message in bytes.
    pub body_bytes: usize,
    /// File descriptors that the instance may use, as in `limits.sockets` of its configuration.
    pub sockets: u64,
    /// Seed of the arrivals, the faults and the instance.
    pub seed: u64,
}

/// Fake endpoints, discovery and platform on a thread of their own, so that they and the clients do not block each
/// other.
struct FakeServices {
    listed: Vec<ListedEndpoint>,
    control_address: SocketAddr,
    events: UnboundedReceiver<EndpointEvent>,
    outcomes: UnboundedReceiver<OutcomeNotification>,
    _stop: oneshot::Sender<()>,
}

fn start_fakes(scenario: &'static Scenario, seed: u64, started: Instant) -> Result<FakeServices, String> {
    type Started = Result<(Vec<ListedEndpoint>, SocketAddr), String>;
    let (started_sender, started_receiver) = std::sync::mpsc::channel::<Started>();
    let (event_sender, events) = unbounded_channel();
    let (outcome_sender, outcomes) = unbounded_channel();
    let (stop, stopped) = oneshot::channel::<()>();
    std::thread::spawn(move || {
        scratch::on_one_thread(async move {
            let startup = async {
                let listed = endpoints::start(scenario, seed, started, event_sender).await?;
                let discovery = Discovery::new(&listed);
                let address = platform::start(discovery.clone(), outcome_sender).await?;
                platform::schedule_faults(scenario, seed, started, &discovery);
                Ok::<_, std::io::Error>((listed, address))
            };
            let _ =
                started_sender.send(startup.await.map_err(|e| format!("a fake service cannot start: {e}")));
            let _ = stopped.await;
        });
    });
    let (listed, control_address) =
        started_receiver.recv().map_err(|_| "the thread of the fake services ended".to_string())??;
    Ok(FakeServices { listed, control_address, events, outcomes, _stop: stop })
}

/// Counts of the events that fake endpoints reported.
#[derive(Default)]
struct EndpointCounts {
    attempts: u64,
    rejected: u64,
    delivered: u64,
    /// Idempotency keys of executed messages.
    executed_keys: BTreeSet<String>,
    /// Executions whose idempotency key had been executed before.
    repeated_executions: u64,
}

impl EndpointCounts {
    fn record(&mut self, requests: &mut RequestLog, event: &EndpointEvent) {
        match event.kind {
            EndpointEventKind::Arrived => self.attempts += 1,
            EndpointEventKind::Rejected => self.rejected += 1,
            EndpointEventKind::Failed => {}
            EndpointEventKind::Delivered | EndpointEventKind::ExecutedResponseLost => {
                if let Some(key) = &event.idempotency_key {
                    self.repeated_executions += u64::from(!self.executed_keys.insert(key.clone()));
                }
                if event.kind == EndpointEventKind::Delivered {
                    self.delivered += 1;
                    requests.finish(&event.id, event.time, FinalOutcome::Delivered);
                }
            }
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("the bounds are in order")
}

/// Step that is running.
struct RunningStep<'a> {
    scenario: &'static Scenario,
    options: &'a LoadOptions<'a>,
    started: Instant,
    listen: SocketAddr,
    instance: InstanceProcess,
    requests: Rc<RefCell<RequestLog>>,
    endpoint_counts: EndpointCounts,
    usage: Vec<Usage>,
}

/// Returns the messages of the scenario, as clients submit them.
fn scheduled_messages(scenario: &Scenario, seed: u64) -> Result<Vec<ScheduledMessage>, String> {
    let messages: Vec<_> = arrivals(scenario, seed).into_iter().map(ScheduledMessage::from).collect();
    if messages.len() > MAX_MESSAGES {
        return Err(format!("expected at most {MAX_MESSAGES} messages in a step, found {}", messages.len()));
    }
    Ok(messages)
}

/// Runs the scenario once with the rates of its arrivals multiplied by `factor`.
fn run_step(plan: &ExperimentPlan, factor: f64, options: &LoadOptions) -> Result<Step, String> {
    let mut scenario = plan.variants[0].scenario.clone();
    scenario.arrivals.iter_mut().for_each(|stream| stream.per_s *= factor);
    let rate = scenario.arrivals.iter().map(|stream| stream.per_s).sum();
    // Leaked once per step, because tasks on the fakes' thread use it until they end.
    let scenario: &'static Scenario = Box::leak(Box::new(scenario));
    let messages = scheduled_messages(scenario, options.seed)?;
    let directory = scratch::ScratchDirectory::new();
    scratch::on_one_thread(async {
        let started = Instant::now() + STARTUP_TIME;
        let mut fakes = start_fakes(scenario, options.seed, started)?;
        let mut running = start(scenario, options, started, &fakes, &directory.0).await?;
        let count = messages.len();
        let (connections, body) = (options.connections, options.body_bytes);
        let clients =
            clients::submit_scheduled(running.requests.clone(), running.listen, messages, connections, body);
        let clients = spawn_local(clients);
        running.collect_events(&mut fakes, || clients.is_finished()).await?;
        let final_usage = running.instance.usage().unwrap_or_default();
        let requests = running.requests.borrow();
        let step = FinishedStep {
            scenario,
            requests: &requests,
            endpoint_counts: &running.endpoint_counts,
            usage: &running.usage,
            final_usage,
            count,
        };
        Ok(step.figures(&plan.name, rate))
    })
}

/// Starts the instance under test and waits until it responds.
async fn start<'a>(
    scenario: &'static Scenario,
    options: &'a LoadOptions<'a>,
    started: Instant,
    fakes: &FakeServices,
    directory: &Path,
) -> Result<RunningStep<'a>, String> {
    let failed = |e: std::io::Error| format!("the instance cannot be started: {e}");
    // Picks a free port. It is not reserved, but nothing else on this machine is expected to take it.
    let listen = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).map_err(failed)?;
    let endpoint_list = Discovery::new(&fakes.listed).borrow().list();
    let config = configuration::instance(
        scenario,
        options.seed,
        listen,
        fakes.control_address,
        endpoint_list,
        options.sockets,
    );
    let (config_path, state, log) =
        (directory.join("config.json"), directory.join("state"), directory.join("log"));
    std::fs::write(&config_path, config.to_string()).map_err(failed)?;
    std::fs::create_dir(&state).map_err(failed)?;
    let instance = InstanceProcess::start(options.program, &config_path, &state, &log).map_err(failed)?;
    if !clients::wait_until_ready(listen, STARTUP_TIME).await {
        let log = std::fs::read_to_string(log).unwrap_or_default();
        return Err(format!("expected the instance to respond, found no response; its log: {}", log.trim()));
    }
    let requests = RequestLog::new(scenario, options.seed, started);
    let usage = vec![instance.usage().unwrap_or_default()];
    Ok(RunningStep {
        scenario,
        options,
        started,
        listen,
        instance,
        requests,
        endpoint_counts: EndpointCounts::default(),
        usage,
    })
}

impl RunningStep<'_> {
    /// Collects the events of endpoints and platform until all requests are finished or the last deadline has passed.
    async fn collect_events(
        &mut self,
        fakes: &mut FakeServices,
        clients_done: impl Fn() -> bool,
    ) -> Result<(), String> {
        let deadlines = self.scenario.service_classes.iter().map(|class| class.deadline);
        let longest = deadlines.max().unwrap_or_default();
        let end = self.started + self.scenario.length + longest + GRACE_AFTER_DEADLINES;
        let mut next_usage = self.started + Duration::from_secs(1);
        while Instant::now() < end && !(clients_done() && self.requests.borrow().is_finished()) {
            tokio::select! {
                Some(event) = fakes.events.recv() => self.endpoint_counts.record(&mut self.requests.borrow_mut(), &event),
                Some(outcome) = fakes.outcomes.recv() => self.handle_outcome(&outcome),
                () = sleep_until(next_usage) => {
                    next_usage += Duration::from_secs(1);
                    let usage = self.instance.usage().ok_or("the instance ended during a step")?;
                    self.usage.push(usage);
                }
            }
        }
        // Lets events arrive that are still on their way.
        sleep(Duration::from_millis(20)).await;
        while let Ok(event) = fakes.events.try_recv() {
            self.endpoint_counts.record(&mut self.requests.borrow_mut(), &event);
        }
        Ok(())
    }

    /// Handles a final outcome that the platform received: a client may retry a rejected message.
    fn handle_outcome(&mut self, outcome: &OutcomeNotification) {
        if outcome.rejected {
            let request = self.requests.borrow().ids.get(&outcome.id).copied();
            if let Some(request) = request {
                let (requests, body) = (self.requests.clone(), self.options.body_bytes);
                clients::retry_rejected(requests, self.listen, request, outcome.retry_after, body);
            }
        } else {
            self.requests.borrow_mut().finish(&outcome.id, outcome.received_at, FinalOutcome::Abandoned);
        }
    }
}

/// Step that has ended, with everything from which its figures are computed.
struct FinishedStep<'a> {
    scenario: &'a Scenario,
    requests: &'a RequestLog,
    endpoint_counts: &'a EndpointCounts,
    usage: &'a [Usage],
    final_usage: Usage,
    count: usize,
}

impl FinishedStep<'_> {
    fn figures(&self, experiment: &str, rate: f64) -> Step {
        let (mut first_reply, mut outcome_time, mut rejection_time) = (histogram(), histogram(), histogram());
        let record = |histogram: &mut Histogram<u64>, time: &Duration| {
            histogram.saturating_record((time.as_micros() as u64).max(1));
        };
        let (mut delivered, mut within_soft_deadline, mut earned, mut value) = (0u64, 0u64, 0.0, 0.0);
        for request in &self.requests.requests {
            let class = self.scenario.service_classes[request.message.service_class].service_class();
            value += class.value;
            request.first_submission_time.iter().for_each(|time| record(&mut first_reply, time));
            if let Some((after, FinalOutcome::Delivered)) = request.outcome {
                delivered += 1;
                within_soft_deadline += u64::from(after <= class.soft_deadline);
                earned += class.value * class.value_share(after);
                record(&mut outcome_time, &after);
            }
        }
        self.requests.rejection_times.iter().for_each(|time| record(&mut rejection_time, time));
        let count = self.count.max(1) as f64;
        let quantile_s =
            |histogram: &Histogram<u64>, quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e6;
        let cpu =
            (self.final_usage.processor_time.saturating_sub(self.usage[0].processor_time)).as_secs_f64();
        let memory =
            self.usage.iter().chain([&self.final_usage]).map(|used| used.memory_kb).max().unwrap_or(0);
        let figures = [
            ("notices", count),
            ("earned", earned / f64::max(value, f64::MIN_POSITIVE)),
            ("handled", delivered as f64 / count),
            ("handled a second", delivered as f64 / self.scenario.length.as_secs_f64()),
            ("in contract", within_soft_deadline as f64 / count),
            ("sends each", self.endpoint_counts.attempts as f64 / count),
            ("turned away each", self.endpoint_counts.rejected as f64 / count),
            ("ran again", self.endpoint_counts.repeated_executions as f64),
            ("denied at once", self.requests.rejected as f64),
            ("no word", self.requests.failed as f64),
            ("word p50 s", quantile_s(&first_reply, 0.5)),
            ("word p99 s", quantile_s(&first_reply, 0.99)),
            ("denial p99 s", quantile_s(&rejection_time, 0.99)),
            ("p50 s", quantile_s(&outcome_time, 0.5)),
            ("p99 s", quantile_s(&outcome_time, 0.99)),
            ("p99.9 s", quantile_s(&outcome_time, 0.999)),
            ("cpu us each", cpu * 1e6 / count),
            ("memory MB", memory as f64 / 1024.0),
        ];
        let cpu = self
            .usage
            .windows(2)
            .map(|w| round((w[1].processor_time.saturating_sub(w[0].processor_time)).as_secs_f64()));
        Step {
            experiment: experiment.into(),
            rate,
            figures: figures.map(|(name, value)| (name.into(), round(value))).into(),
            cpu: cpu.collect(),
            memory_kb: self.usage.iter().map(|used| used.memory_kb).collect(),
        }
    }
}

/// Runs a step for each of `rates`, and writes table and charts into `directory`. Without rates, searches for the
/// highest sustained rate: doubles the scenario's rate until a rate is exceeded or above `MAX_RATE_PER_S`, then
/// bisects.
///
/// # Errors
///
/// Returns a message if the scenario cannot be run on sockets, a step fails, or the results cannot be written.
pub fn run(
    plan: &ExperimentPlan,
    rates: &[f64],
    options: &LoadOptions,
    directory: &Path,
) -> Result<Vec<Step>, String> {
    let scenario = &plan.variants[0].scenario;
    endpoints::check_supported(scenario)?;
    if scenario.instances.count != 1 {
        return Err(format!("couriers.count: expected 1, found {}", scenario.instances.count));
    }
    std::fs::create_dir_all(directory).map_err(|e| format!("{}: {e}", directory.display()))?;
    let scenario_rate: f64 = scenario.arrivals.iter().map(|stream| stream.per_s).sum();
    let mut steps = Vec::new();
    let mut measure = |rate: f64| -> Result<bool, String> {
        let step = run_step(plan, rate / scenario_rate, options)?;
        println!("{}", summary(&step));
        let is_sustained = step.figure("in contract") >= MIN_ON_TIME_SHARE;
        steps.push(step);
        Ok(is_sustained)
    };
    if rates.is_empty() {
        let (mut sustained, mut exceeded) = (0.0, scenario_rate);
        while exceeded <= MAX_RATE_PER_S && measure(exceeded)? {
            (sustained, exceeded) = (exceeded, exceeded * 2.0);
        }
        for _ in 0..BISECTION_STEPS {
            let middle = (sustained + exceeded) / 2.0;
            *(if measure(middle)? { &mut sustained } else { &mut exceeded }) = middle;
        }
        println!(
            "highest sustained rate between {sustained:.0} and {exceeded:.0} messages per second, for a share of \
             {MIN_ON_TIME_SHARE} delivered by the soft deadline"
        );
    } else {
        for rate in rates {
            measure(*rate)?;
        }
    }
    steps.sort_by(|a, b| a.rate.total_cmp(&b.rate));
    write(directory, &steps)?;
    Ok(steps)
}

/// Returns a one-line summary for the terminal.
fn summary(step: &Step) -> String {
    let figure = |name| step.figure(name);
    format!(
        "{:8.0}/s offered {:8.0}/s delivered  on time {:.4}  first reply {:.4}/{:.4} s  delivery {:.4}/{:.4}/{:.4} s  \
         rejected submissions {:.0}  {:.0} us CPU per message  {:.1} MB",
        step.rate,
        figure("delivered a second"),
        figure("in contract"),
        figure("first_reply p50 s"),
        figure("first_reply p99 s"),
        figure("p50 s"),
        figure("p99 s"),
        figure("p99.9 s"),
        figure("denied at once"),
        figure("cpu us each"),
        figure("memory MB"),
    )
}

fn write(directory: &Path, steps: &[Step]) -> Result<(), String> {
    let write_file = |name: &str, text: String| {
        let path = directory.join(name);
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))
    };
    let lines: Result<Vec<_>, _> = steps.iter().map(serde_json::to_string).collect();
    write_file(
        "load.jsonl",
        lines.map_err(|e| format!("a step cannot be serialized: {e}"))?.join("\n") + "\n",
    )?;
    let names: Vec<String> = steps.first().map(|s| s.figures.keys().cloned().collect()).unwrap_or_default();
    let mut csv = format!("rate,{}\n", names.join(","));
    for step in steps {
        let row: Vec<_> = names.iter().map(|name| step.figure(name).to_string()).collect();
        csv.push_str(&format!("{},{}\n", step.rate, row.join(",")));
    }
    write_file("load.csv", csv)?;
    let lines = |wanted: &[&str]| -> Vec<Series> {
        let points = |name: &str| steps.iter().map(|step| (step.rate, step.figure(name))).collect();
        wanted.iter().map(|name| Series { name: (*name).into(), points: points(name) }).collect()
    };
    write_file(
        "load-delivered.svg",
        chart::over_rate("delivered a second", &lines(&["delivered a second"]))?,
    )?;
    write_file(
        "load-latency.svg",
        chart::over_rate("time to delivery", &lines(&["p50 s", "p99 s", "p99.9 s", "first_reply p99 s"]))?,
    )
}
