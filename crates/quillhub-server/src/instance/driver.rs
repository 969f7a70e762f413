//! Implementation of [`Driver`]: starts attempts, finishes messages and sets timers as the dispatcher decides.

use super::attempt_results::InstanceControl;
use super::messages::PendingMessage;
use super::{AttemptId, AttemptTask, Instance, log_failed_write};
use crate::attempts::{Attempt, AttemptEnd};
use crate::http;
use crate::wal::{FinalResult, RecordKind};
use quillhub::{
    AttemptPlan, AttributionGround, CallId, ConnectionUse, Dispatcher, Driver, LogEvent, MessageId,
};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// HTTP path at endpoints that messages are delivered to.
const DELIVERY_PATH: &str = "/events";

/// Returns a function that encodes the request to deliver `message`. Its argument is the time that the attempt will
/// still wait for the response, which the request states to the endpoint.
fn delivery_request(
    message: &PendingMessage,
    address: Option<SocketAddr>,
) -> impl Fn(Duration) -> Vec<u8> + 'static {
    let (client_id, idempotency_key) = (message.client_id.clone(), message.idempotency_key.clone());
    let body = message.body.clone();
    let host = address.map(|address| address.to_string()).unwrap_or_default();
    move |time_left: Duration| {
        let deadline = format!("{:.3}", time_left.as_secs_f64());
        let mut headers = vec![("X-Request-Id", &client_id[..])];
        headers.extend(idempotency_key.as_deref().map(|key| ("Idempotency-Key", key)));
        headers.push(("X-Deadline", deadline.as_bytes()));
        http::request("POST", DELIVERY_PATH, &host, &headers, &body)
    }
}

impl Instance {
    /// Runs an attempt in a task of its own, which reports the attempt's end to the instance. `attempt` is `None` if
    /// the attempt cannot be made; its end is then reported as not sent.
    fn spawn_attempt<R>(
        &mut self,
        id: AttemptId,
        started: Instant,
        attempt: Option<Attempt<R, InstanceControl>>,
    ) where
        R: Fn(Duration) -> Vec<u8> + 'static,
    {
        let weak = self.weak.clone();
        let task = spawn_local(async move {
            match attempt {
                Some(attempt) => attempt.run().await,
                None => AttemptEnd::not_sent(),
            }
        });
        let attempt_task = AttemptTask { abort: task.abort_handle(), pooled: id.pooled };
        self.attempt_tasks.insert(id.call(), attempt_task);
        spawn_local(async move {
            // A panic in the attempt's task, or its abortion, ends only that attempt. The message may have been executed.
            let end = task.await.unwrap_or_else(|_| AttemptEnd::connection_reset());
            if let Some(instance) = weak.upgrade() {
                instance.borrow_mut().attempt_ended(&id, end, started.elapsed());
            }
        });
    }
}

impl Driver for Instance {
    fn start_attempt(&mut self, id: MessageId, endpoint: &str, plan: AttemptPlan) {
        let started = Instant::now();
        self.close_quiet_connections_of(id);
        let written = self.write_acceptance(id);
        let Some(message) = self.messages.get_mut(id) else { return };
        let (attempt, last_outcome) = (message.begin_attempt(), message.last_outcome);
        message.timeline.call_started();
        let process = self.pool.process(endpoint);
        let address = process.map(|process| process.address);
        let request = delivery_request(message, address);
        let client_id = message.client_id.clone();
        let recorded = written.is_ok();
        log_failed_write(id, RecordKind::Accepted, written);
        let pooled = match plan.connection {
            ConnectionUse::Pooled => self.take_connection(endpoint, plan.attribution.call_deadline),
            ConnectionUse::New | ConnectionUse::Single => None,
        };
        if pooled.is_none() {
            let in_use = self.attempt_tasks.len() + 1;
            self.close_oldest_connections(self.max_connections.saturating_sub(in_use));
        }
        let rest = pooled.as_ref().and_then(|(connection, wait)| self.rest_before_call(connection, *wait));
        tracing::debug!(
            message_id = id,
            attempt,
            endpoint,
            timeout = ?plan.timeout,
            connection_use = ?plan.connection,
            connection = pooled.as_ref().map(|(pooled, _)| pooled.number()),
            wait = ?pooled.as_ref().map(|(_, wait)| *wait),
            ?rest,
            "attempt starts"
        );
        if attempt > 0 {
            let client_id = String::from_utf8_lossy(&client_id);
            tracing::info!(message_id = id, %client_id, attempt, endpoint, ?last_outcome, "message is attempted again");
        }
        let endpoint = endpoint.to_owned();
        let pooled_number = pooled.as_ref().map(|(pooled, _)| pooled.number());
        let id = AttemptId {
            message: id,
            attempt,
            endpoint,
            process,
            client_id,
            plan,
            pooled: pooled_number,
            rest,
        };
        let control = InstanceControl { instance: self.weak.clone(), id: id.clone() };
        let connect_timeout = self.connect_timeout;
        let attempt = address.filter(|_| recorded).map(|address| Attempt {
            pooled,
            address,
            connect_timeout,
            timeout: plan.timeout,
            request,
            control,
        });
        self.spawn_attempt(id, started, attempt);
    }

    fn reject(&mut self, id: MessageId, retry_after: Option<Duration>) {
        self.finish_undelivered(id, FinalResult::Rejected { retry_after });
    }

    fn abandon(&mut self, id: MessageId) {
        self.finish_undelivered(id, FinalResult::Abandoned);
    }

    fn response_attributed(&mut self, call: CallId, ground: AttributionGround) {
        self.record_attributed(call, ground);
    }

    fn response_misattributed(&mut self, call: CallId) {
        self.end_unanswered_call(call);
    }

    fn close_idle_connections(&mut self, endpoint: &str) {
        self.pool.retire(endpoint);
    }

    fn broadcast(&mut self, gossip: &[u8]) {
        if let Some(socket) = &self.gossip {
            socket.broadcast(gossip);
        }
    }

    fn set_timer(&mut self, wait: Duration) {
        let weak = self.weak.clone();
        spawn_local(async move {
            tokio::time::sleep(wait).await;
            if let Some(instance) = weak.upgrade() {
                instance.borrow_mut().handle_event(Dispatcher::timer_fired);
            }
        });
    }

    fn watch_endpoints(&mut self) {
        self.watch_requested.notify_one();
    }

    fn log(&mut self, event: &LogEvent) {
        match event {
            LogEvent::HealthChanged { endpoint, destination, before, after } => {
                tracing::info!(endpoint, destination, %before, %after, "endpoint health changed");
            }
            LogEvent::QueueNearlyFull { pending, in_flight } => {
                tracing::info!(pending, in_flight, "queue is nearly full");
            }
        }
    }
}
