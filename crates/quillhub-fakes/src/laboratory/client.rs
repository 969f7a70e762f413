//! Clients of a run: submit messages at planned times and record which were accepted.

use super::plan::{Plan, SERVICE_CLASSES, SHORT_TIME_TO_LIVE};
use super::record::Submission;
use super::state::SharedRun;
use crate::clients::{command, open, send_command};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout};

/// Time for which a client waits for the reply to a submission.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// Submits messages to one instance until the load ends.
pub(super) async fn submit(run: SharedRun, plan: Plan, instance: usize, address: SocketAddr) {
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed.wrapping_mul(31).wrapping_add(instance as u64));
    let started = run.borrow().record.started;
    let idle = Rc::new(RefCell::new(Vec::new()));
    let mut at = Duration::ZERO;
    for number in 0.. {
        at += Duration::from_secs_f64(rng.random_range(0.2..1.8) / plan.rate_per_s);
        if at > plan.load_time {
            return;
        }
        sleep_until(started + at).await;
        let class = rng.random_range(0..SERVICE_CLASSES.len());
        let destination = rng.random_range(1..=plan.destinations);
        let id = format!("{instance:04x}{number:012x}");
        let is_short_lived = plan.short_lived_share > 0.0 && rng.random::<f64>() < plan.short_lived_share;
        let time_to_live = if is_short_lived { SHORT_TIME_TO_LIVE } else { plan.time_to_live };
        let message = Message { id, class, destination, instance, time_to_live };
        spawn_local(submit_one(run.clone(), idle.clone(), address, message));
    }
}

/// Submits clumps of messages to one instance, each for one of the destinations that get nothing else, until the load ends.
pub(super) async fn submit_clumps(run: SharedRun, plan: Plan, instance: usize, address: SocketAddr) {
    let Some(clumps) = &plan.clumps else { return };
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed.wrapping_mul(37).wrapping_add(instance as u64));
    let started = run.borrow().record.started;
    let idle = Rc::new(RefCell::new(Vec::new()));
    let mut at = clumps.interval;
    let mut number = 0;
    for clump in 0.. {
        if at > plan.load_time {
            return;
        }
        sleep_until(started + at).await;
        let destination =
            plan.destinations + 1 + (clump * plan.instances + instance) as u64 % clumps.destinations;
        for _ in 0..clumps.messages {
            number += 1;
            let id = format!("c{instance:03x}{number:012x}");
            let class = rng.random_range(0..SERVICE_CLASSES.len());
            let message = Message { id, class, destination, instance, time_to_live: plan.time_to_live };
            spawn_local(submit_one(run.clone(), idle.clone(), address, message));
        }
        at += clumps.interval;
    }
}

struct Message {
    id: String,
    class: usize,
    destination: u64,
    instance: usize,
    time_to_live: Duration,
}

async fn submit_one(
    run: SharedRun,
    idle: Rc<RefCell<Vec<TcpStream>>>,
    address: SocketAddr,
    message: Message,
) {
    let submitted = Instant::now();
    let Message { id, class, destination, instance, time_to_live } = message;
    run.borrow_mut().record.submissions.insert(
        id.clone(),
        Submission { class, instance, submitted, deadline: submitted + time_to_live, accepted: false },
    );
    let fields =
        format!("c={},d={},k={id},dest={destination}", SERVICE_CLASSES[class].name, time_to_live.as_millis());
    let command = command(&["SUBMIT", "0000000000000000", &id, &fields, "body"].map(str::as_bytes));
    let pooled = idle.borrow_mut().pop();
    let exchange = async {
        let mut stream = match pooled {
            Some(stream) => stream,
            None => open(address).await?,
        };
        let reply = send_command(&mut stream, &command).await?;
        std::io::Result::Ok((stream, reply))
    };
    if let Ok(Ok((stream, reply))) = timeout(REPLY_TIMEOUT, exchange).await {
        idle.borrow_mut().push(stream);
        if let Some(submission) = run.borrow_mut().record.submissions.get_mut(&id) {
            submission.accepted = reply.starts_with('+');
        }
    }
}
