//! Connections of this instance to endpoints: takes one for an attempt, returns it after that, watches it while it is idle,
//! and reports surplus responses.
//!
//! Invariant: a connection is closed only after the input on it was looked at, as it may show that the responses before it
//! are not their calls' own.

use super::attribution::{ConnectionEffects, SurplusResponse};
use super::{AttemptId, Instance};
use crate::attempts::{self, ConnectionState, STATUS_OVER, UsedConnection};
use crate::connection::HttpConnection;
use crate::pool::Watcher;
use quillhub::{CallId, CallTimes, ConnectionLedger, ConnectionUse, MessageId, ResponseMeaning};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Reason for which this instance takes a connection out of the pool, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The call on it has ended, and it cannot carry another one.
    CallEnded,
    /// Input or the end of the stream arrived while it was idle.
    IdleInput,
    /// It was found closed or with input when a call was to use it.
    Unusable,
    /// Another connection needs its place.
    Evicted,
    /// A message is attempted again whose earlier call may still be out on it.
    EarlierCall,
    /// A call on it may never have been answered.
    Unanswered,
}

impl Instance {
    /// Takes an idle connection for a call that may be answered until `deadline`. Returns it with the time until it is at
    /// rest.
    pub(super) fn take_connection(
        &mut self,
        endpoint: &str,
        deadline: Duration,
    ) -> Option<(HttpConnection, Duration)> {
        let taken = self.pool.take(endpoint, CallTimes { now: self.now(), deadline });
        for connection in taken.unusable {
            self.close_later(endpoint.to_owned(), connection, CloseReason::Unusable, Vec::new());
        }
        taken.connection
    }

    /// Returns the time from the last response on a connection to the start of a call after `wait`, if there was one.
    pub(super) fn rest_before_call(&self, connection: &HttpConnection, wait: Duration) -> Option<Duration> {
        let ledger = &connection.ledger;
        ledger.is_used().then(|| (self.now() + wait).saturating_sub(ledger.last_response()))
    }

    /// Closes the oldest idle connections until at most `max` are left.
    pub(super) fn close_oldest_connections(&mut self, max: usize) {
        for (endpoint, connection) in self.pool.close_oldest_beyond(max) {
            self.close_later(endpoint, connection, CloseReason::Evicted, Vec::new());
        }
    }

    /// Handles the input and the end of a connection, which is closed, after the current event. `unproven` are calls on it
    /// whose results were taken back already.
    fn close_later(
        &self,
        endpoint: String,
        mut connection: HttpConnection,
        reason: CloseReason,
        unproven: Vec<CallId>,
    ) {
        let weak = self.weak.clone();
        spawn_local(async move {
            let state = connection.unexpected_input().into();
            if let Some(instance) = weak.upgrade() {
                let mut instance = instance.borrow_mut();
                let mut effects = ConnectionEffects::default();
                if connection.is_status_in_surplus(STATUS_OVER) {
                    effects.update.possibly_over.extend(unproven);
                }
                let used = UsedConnection { connection, state };
                instance.end_connection(&endpoint, used, reason, &mut effects);
                instance.apply_effects(effects);
            }
        });
    }

    /// Handles the connections that an attempt has used, and returns the effects, which must be reported to the
    /// dispatcher after the end of the attempt.
    pub(super) fn attempt_connections_ended(
        &mut self,
        id: &AttemptId,
        connection: Option<UsedConnection>,
        replaced: Vec<UsedConnection>,
        response: Option<ResponseMeaning>,
    ) -> ConnectionEffects {
        let mut effects = ConnectionEffects::default();
        let is_replaced = !replaced.is_empty();
        for used in replaced {
            self.end_connection(&id.endpoint, used, CloseReason::CallEnded, &mut effects);
        }
        let Some(UsedConnection { mut connection, state }) = connection else {
            // The connection of an aborted attempt is closed, with whatever was outstanding on it.
            if let Some(connection) = id.pooled.filter(|_| !is_replaced) {
                effects.update.misattributed.extend(self.unattributed.calls_on(connection));
            }
            return effects;
        };
        if let Some(meaning) = response {
            let now = self.now();
            let ledger: &mut ConnectionLedger = &mut connection.ledger;
            effects.add(ledger.on_response(id.call(), meaning, &id.plan.attribution, now));
        }
        connection.client_ids.swap(0, 1);
        connection.client_ids[0].clone_from(&id.client_id);
        match state {
            ConnectionState::Reusable if id.plan.connection != ConnectionUse::Single => {
                self.park(id, connection, false);
            }
            ConnectionState::Reusable | ConnectionState::Closing => {
                self.park(id, connection, true);
            }
            _ => {
                let used = UsedConnection { connection, state };
                self.end_connection(&id.endpoint, used, CloseReason::CallEnded, &mut effects);
            }
        }
        effects
    }

    /// Adds a connection to the pool and watches it. A retired one stays open only until its responses are attributed.
    fn park(&mut self, id: &AttemptId, connection: HttpConnection, is_retired: bool) {
        let endpoint = &id.endpoint;
        let watcher = Some(self.watch(endpoint, &connection));
        if is_retired {
            self.pool.put_back_retired(endpoint, connection, watcher);
        } else {
            self.close_oldest_connections(self.pool.max_idle().saturating_sub(1));
            self.pool.put_back(endpoint, id.process, connection, watcher);
        }
    }

    /// Starts a task that reports unexpected input on an idle connection, and the time at which its responses are
    /// attributed.
    fn watch(&self, endpoint: &str, connection: &HttpConnection) -> Watcher {
        let (weak, endpoint, number) = (self.weak.clone(), endpoint.to_owned(), connection.number());
        let input = connection.input();
        let quiet_in = connection.ledger.quiet_at().map(|at| at.saturating_sub(self.now()));
        let task = spawn_local(async move {
            tokio::pin!(input);
            let is_quiet = match quiet_in {
                Some(wait) => timeout(wait, &mut input).await.is_err(),
                None => {
                    input.as_mut().await;
                    false
                }
            };
            if is_quiet {
                if let Some(instance) = weak.upgrade() {
                    instance.borrow_mut().connection_quiet(&endpoint, number);
                }
                input.await;
            }
            if let Some(instance) = weak.upgrade() {
                instance.borrow_mut().idle_connection_input(&endpoint, number);
            }
        });
        Watcher::new(task.abort_handle())
    }

    /// Handles a connection on which nothing was received for the time after which its responses are attributed.
    fn connection_quiet(&mut self, endpoint: &str, number: u64) {
        let now = self.now();
        let Some(connection) = self.pool.get_mut(endpoint, number) else { return };
        if !connection.is_idle() {
            return; // the watcher reports the input
        }
        let mut effects = ConnectionEffects::default();
        effects.add(connection.ledger.on_quiet(now));
        self.pool.drop_retired();
        self.apply_effects(effects);
    }

    /// Handles input on an idle connection, or its end.
    fn idle_connection_input(&mut self, endpoint: &str, number: u64) {
        if let Some(connection) = self.pool.remove(endpoint, number) {
            self.close_later(endpoint.to_owned(), connection, CloseReason::IdleInput, Vec::new());
        }
    }

    /// Handles the end of a connection, which is closed.
    fn end_connection(
        &mut self,
        endpoint: &str,
        used: UsedConnection,
        reason: CloseReason,
        effects: &mut ConnectionEffects,
    ) {
        let UsedConnection { mut connection, state } = used;
        let now = self.now();
        let has_uncertain_call = connection.ledger.has_uncertain_call();
        let may_be_over = connection.is_status_in_surplus(STATUS_OVER);
        let mut update = match state {
            ConnectionState::Malformed => connection.ledger.on_malformed(),
            ConnectionState::Surplus if may_be_over => connection.ledger.on_surplus_over(),
            ConnectionState::Surplus => connection.ledger.on_surplus(),
            ConnectionState::Ended => connection.ledger.on_ended(now),
            _ => connection.ledger.on_closed(now),
        };
        let age = now.saturating_sub(connection.ledger.last_response());
        let number = connection.number();
        let [last_client_id, previous_client_id] =
            connection.client_ids.each_ref().map(|id| String::from_utf8_lossy(id));
        let is_unusual = has_uncertain_call && !update.misattributed.is_empty();
        if state == ConnectionState::Surplus {
            // An endpoint that had stopped answering does so again: the quiet time of the connection proved nothing.
            let uncertain = self.unattributed.uncertain_calls_on(number);
            if may_be_over {
                update.possibly_over.extend(&uncertain);
            }
            update.misattributed.extend(uncertain);
            let head = connection.surplus_head();
            let status = head.as_ref().map(|head| head.status);
            let retry_after = head.as_ref().and_then(attempts::retry_after);
            tracing::warn!(
                endpoint,
                connection = number,
                ?age,
                status,
                %last_client_id,
                %previous_client_id,
                ?reason,
                "surplus response"
            );
            effects.surplus.push(SurplusResponse { endpoint: endpoint.to_owned(), age, retry_after });
        } else if is_unusual {
            tracing::warn!(
                endpoint,
                connection = number,
                ?age,
                ?state,
                ?reason,
                %last_client_id,
                "connection ended early"
            );
        } else {
            tracing::info!(endpoint, connection = number, ?age, ?state, ?reason, "connection ended");
        }
        effects.add(update);
    }

    /// Closes the connections on which an earlier attempt of a message may still be out, before it is attempted again.
    /// Those that are not quiet stay open, as other responses on them are still to be attributed.
    pub(super) fn close_quiet_connections_of(&mut self, message: MessageId) {
        let now = self.now();
        for (endpoint, number) in self.unattributed.connections_of(message) {
            let connection = self.pool.get_mut(&endpoint, number);
            if connection.is_some_and(|connection| connection.ledger.is_quiet(now)) {
                self.close_idle_connection(endpoint, number, CloseReason::EarlierCall, Vec::new());
            }
        }
    }

    pub(super) fn close_idle_connection(
        &mut self,
        endpoint: String,
        number: u64,
        reason: CloseReason,
        unproven: Vec<CallId>,
    ) {
        if let Some(connection) = self.pool.remove(&endpoint, number) {
            self.close_later(endpoint, connection, reason, unproven);
        }
    }
}
