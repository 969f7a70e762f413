//! Short scenario with faults, played over loopback with the fakes: whatever the timing, every message gets one
//! outcome, and almost no message with an idempotency key is executed twice.

use quillhub_fakes::clients::{self, RequestLog, ScheduledMessage};
use quillhub_fakes::endpoints::{self, EndpointEventKind};
use quillhub_fakes::platform::{self, Discovery};
use quillhub_fakes::{configuration, scratch};
use quillhub_simulator::{FinalOutcome, Scenario, arrivals};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::Instant;

const SCENARIO: &str = "length = '2 s'
[couriers]
slots = 32
room = 400
[[grades]]
name = 'order'
effect = 'fingerprinted'
memory = '1 min'
contract = '1 s'
limit = '6 s'
[[grades]]
name = 'status'
effect = 'retriable'
contract = '1 s'
limit = '4 s'
[[destinations]]
kind = 'library'
count = 4
endpoints = 2
workers = 4
service = { mean = '10 ms' }
reports = true
[[destinations]]
kind = 'school'
workers = 2
service = { mean = '10 ms' }
limit = { per_s = 10.0, span = '1 s', tells = 0.5 }
[[arrivals]]
per_s = 60.0
[[faults]]
at = '500 ms'
lasts = '700 ms'
what = 'refuse'
whom = { ids = [1] }
[[faults]]
at = '500 ms'
lasts = '700 ms'
what = { errors = { share = 0.5 } }
whom = { ids = [2] }
[[faults]]
at = '800 ms'
lasts = '500 ms'
what = { mute = { share = 0.3 } }
[[faults]]
at = '900 ms'
lasts = '500 ms'
what = { drain = { gone_after = '300 ms', same_address = true } }
whom = { ids = [3], endpoints = 1 }
[[faults]]
at = '300 ms'
lasts = '300 ms'
what = { crowd = { factor = 3.0 } }
";

fn scenario(text: &str) -> &'static Scenario {
    let scenario: Scenario = toml::from_str(text).unwrap_or_else(|e| panic!("{e}"));
    scenario.check().unwrap();
    Box::leak(Box::new(scenario))
}

/// Runs an instance on a separate thread until `stopped` completes.
fn serve(
    configuration: String,
    state: PathBuf,
    stopped: oneshot::Receiver<()>,
) -> JoinHandle<Result<(), quillhub_server::ServeError>> {
    std::thread::spawn(move || {
        scratch::on_one_thread(async {
            let stop = async { drop(stopped.await) };
            quillhub_server::serve(&configuration, &state, stop, std::future::pending).await
        })
    })
}

#[test]
fn every_message_of_a_short_scenario_has_one_outcome() {
    let (scenario, state) = (scenario(SCENARIO), scratch::ScratchDirectory::new());
    endpoints::check_supported(scenario).unwrap();
    scratch::on_one_thread(async {
        let started = Instant::now() + Duration::from_millis(200);
        let ((event_sender, mut events), (outcome_sender, mut outcomes)) =
            (unbounded_channel(), unbounded_channel());
        let listed = endpoints::start(scenario, 7, started, event_sender).await.unwrap();
        let discovery = Discovery::new(&listed);
        let platform_address = platform::start(discovery.clone(), outcome_sender).await.unwrap();
        platform::schedule_faults(scenario, 7, started, &discovery);
        let listen = scratch::unused_address();
        let known = discovery.borrow().list();
        let text = configuration::instance(scenario, 7, listen, platform_address, known, 256).to_string();
        quillhub_server::check(&text).unwrap();
        let (stop, stopped) = oneshot::channel::<()>();
        let instance = serve(text, state.0.clone(), stopped);
        assert!(clients::wait_until_ready(listen, Duration::from_secs(30)).await);
        let requests = RequestLog::new(scenario, 7, started);
        let messages: Vec<_> = arrivals(scenario, 7).into_iter().map(ScheduledMessage::from).collect();
        let count = messages.len();
        let playback = spawn_local(clients::submit_scheduled(requests.clone(), listen, messages, 16, 50));
        let mut executions = BTreeMap::<String, u32>::new();
        while !(playback.is_finished() && requests.borrow().is_finished()) {
            tokio::select! {
                Some(event) = events.recv() => {
                    let is_execution = matches!(event.kind, EndpointEventKind::Delivered | EndpointEventKind::ExecutedResponseLost);
                    if let Some(key) = event.idempotency_key.filter(|_| is_execution) {
                        *executions.entry(key).or_default() += 1;
                    }
                    if event.kind == EndpointEventKind::Delivered {
                        requests.borrow_mut().finish(&event.id, event.time, FinalOutcome::Delivered);
                    }
                }
                Some(outcome) = outcomes.recv() => {
                    let order = requests.borrow().ids.get(&outcome.id).copied();
                    match order.filter(|_| outcome.rejected) {
                        Some(order) => clients::retry_rejected(requests.clone(), listen, order, outcome.retry_after, 50),
                        None => drop(requests.borrow_mut().finish(&outcome.id, outcome.received_at, FinalOutcome::Abandoned)),
                    }
                }
                () = tokio::time::sleep(Duration::from_millis(50)) => {}
            }
        }
        let requests = requests.borrow();
        let delivered = requests
            .requests
            .iter()
            .filter(|request| matches!(request.outcome, Some((_, FinalOutcome::Delivered))))
            .count();
        assert!(
            requests.requests.len() == count && delivered * 2 > count,
            "{delivered} of {count} delivered"
        );
        drop(stop);
        instance.join().unwrap().unwrap();
        // A retry with the same key counts as an execution, although the destination discards its effect; fewer than a
        // tenth of the keys may have more than one.
        let repeated = executions.values().filter(|times| **times > 1).count();
        println!("{repeated} of {} keys were executed more than once", executions.len());
        assert!(repeated * 10 < executions.len().max(10));
    });
}

#[test]
fn a_fault_that_sockets_cannot_reproduce_is_refused_with_a_single_line() {
    let text = SCENARIO.replace("what = 'refuse'", "what = { cut = {} }");
    let error = endpoints::check_supported(scenario(&text)).unwrap_err();
    assert!(
        error.starts_with("faults[0].what: expected a fault that sockets can reproduce")
            && !error.contains('\n')
    );
}
