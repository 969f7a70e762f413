//! Clients of a run: submit messages at planned times and record which were accepted.

use super::plan::{Plan, SERVICE_CLASSES, SHORT_TIME_TO_LIVE};
use super::record::Submission;
use super::state::{IdleConnections, SharedRun};
use crate::clients::{command, open, send_command};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout};

/// Time for which a client waits for the reply to a submission.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// Submits messages to one instance until the load ends.
pub(super) async fn submit(run: SharedRun, plan: Plan, instance: usize, address: SocketAddr) {
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed.wrapping_mul(31).wrapping_add(instance as u64));
    let started = run.borrow().record.started;
    let idle = run.borrow().idle_connections(instance);
    let mut at = Duration::ZERO;
    for number in 0.. {
        at += Duration::from_secs_f64(rng.random_range(0.2..1.8) / plan.rate_per_s);
        if at > plan.load_time {
            return;
        }
        sleep_until(started + at).await;
        let message = Message::draw(&mut rng, &plan, instance, format!("{instance:04x}{number:012x}"));
        if plan.pipelined_share > 0.0 && rng.random::<f64>() < plan.pipelined_share {
            let further = ["r", "s"].map(|kind| {
                Message::draw(&mut rng, &plan, instance, format!("{kind}{instance:03x}{number:012x}"))
            });
            let messages = [message].into_iter().chain(further).collect();
            spawn_local(submit_pipelined(run.clone(), address, messages));
        } else {
            spawn_local(submit_one(run.clone(), idle.clone(), address, message));
        }
    }
}

/// Submits clumps of messages to one instance, each for one of the destinations that get nothing else, until the load ends.
pub(super) async fn submit_clumps(run: SharedRun, plan: Plan, instance: usize, address: SocketAddr) {
    let Some(clumps) = &plan.clumps else { return };
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed.wrapping_mul(37).wrapping_add(instance as u64));
    let started = run.borrow().record.started;
    let idle = IdleConnections::default();
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
            let time_to_live = plan.time_to_live;
            let message = Message { id, class, destination, instance, time_to_live, ordering_key: 0 };
            spawn_local(submit_one(run.clone(), idle.clone(), address, message));
        }
        at += clumps.interval;
    }
}

/// Submits messages with a common deadline to one instance.
pub(super) async fn submit_burst(run: SharedRun, plan: Plan, instance: usize, address: SocketAddr) {
    let Some(burst) = &plan.burst else { return };
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed.wrapping_mul(43).wrapping_add(instance as u64));
    let started = run.borrow().record.started;
    let deadline = started + burst.deadline;
    let mut at = started;
    for first in (0..burst.messages).step_by(burst.messages_per_connection as usize) {
        sleep_until(at).await;
        let numbers = first..burst.messages.min(first + burst.messages_per_connection);
        let time_to_live = deadline.saturating_duration_since(Instant::now());
        let messages = numbers.map(|number| {
            let id = format!("b{instance:03x}{number:012x}");
            Message { time_to_live, ..Message::draw(&mut rng, &plan, instance, id) }
        });
        spawn_local(submit_pipelined(run.clone(), address, messages.collect()));
        at += burst.interval;
    }
}

/// Message that a client submits.
pub(super) struct Message {
    id: String,
    class: usize,
    destination: u64,
    instance: usize,
    time_to_live: Duration,
    /// Ordering key; 0 if the message has none.
    ordering_key: u64,
}

impl Message {
    /// Draws a message for one of the regular destinations.
    pub(super) fn draw(rng: &mut Pcg64Mcg, plan: &Plan, instance: usize, id: String) -> Self {
        let class = rng.random_range(0..SERVICE_CLASSES.len());
        let destination = rng.random_range(1..=plan.destinations);
        let is_short_lived = plan.short_lived_share > 0.0 && rng.random::<f64>() < plan.short_lived_share;
        let time_to_live = if is_short_lived { SHORT_TIME_TO_LIVE } else { plan.time_to_live };
        let ordering_key = plan.ordering_keys.map_or(0, |keys| rng.random_range(1..=keys));
        Self { id, class, destination, instance, time_to_live, ordering_key }
    }

    /// Returns the command that submits it.
    fn command(&self) -> Vec<u8> {
        let Self { id, class, destination, time_to_live, ordering_key, .. } = self;
        let (class, millis) = (SERVICE_CLASSES[*class].name, time_to_live.as_millis());
        let fields = format!("c={class},d={millis},k={id},dest={destination}");
        let ordering_key = format!("{ordering_key:016x}");
        command(&["SUBMIT", &ordering_key, id, &fields, "body"].map(str::as_bytes))
    }

    /// Records that its command is being written.
    fn record_submission(&self, run: &SharedRun) {
        let submitted = Instant::now();
        let deadline = submitted + self.time_to_live;
        let (class, instance) = (self.class, self.instance);
        let submission = Submission { class, instance, submitted, deadline, accepted: false };
        run.borrow_mut().record.submissions.insert(self.id.clone(), submission);
    }

    /// Records the reply.
    fn record_reply(&self, run: &SharedRun, reply: &str) {
        if let Some(submission) = run.borrow_mut().record.submissions.get_mut(&self.id) {
            submission.accepted = reply.starts_with('+');
        }
    }
}

/// Submits a message on an idle connection, or on a new one if there is none. Its time counts from the write of its command,
/// and its client waits for [`REPLY_TIMEOUT`] from then on.
pub(super) async fn submit_one(run: SharedRun, idle: IdleConnections, address: SocketAddr, message: Message) {
    let pooled = idle.borrow_mut().pop();
    let stream = match pooled {
        Some(stream) => Ok(stream),
        None => open(address).await,
    };
    let Ok(mut stream) = stream else { return };
    let command = message.command();
    message.record_submission(&run);
    if let Ok(Ok(reply)) = timeout(REPLY_TIMEOUT, send_command(&mut stream, &command)).await {
        idle.borrow_mut().push(stream);
        message.record_reply(&run, &reply);
    }
}

/// Submits messages in one write on a new connection, and reads the replies.
pub(super) async fn submit_pipelined(run: SharedRun, address: SocketAddr, messages: Vec<Message>) {
    let Ok(mut stream) = open(address).await else { return };
    let commands: Vec<u8> = messages.iter().flat_map(Message::command).collect();
    messages.iter().for_each(|message| message.record_submission(&run));
    let exchange = async {
        stream.write_all(&commands).await?;
        let mut replies = BufReader::new(&mut stream).lines();
        for message in &messages {
            let Some(reply) = replies.next_line().await? else { break };
            message.record_reply(&run, &reply);
        }
        std::io::Result::Ok(())
    };
    let _ = timeout(REPLY_TIMEOUT, exchange).await;
}
