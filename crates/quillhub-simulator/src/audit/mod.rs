//! Auditor: checks a run against the six rules, from its facts alone.
//!
//! The auditor implements the rules independently: it shares no code with the dispatcher and does not see the internal
//! state of an instance.

mod attempts;
mod breach;
mod overload;
mod records;

use crate::fact::{Fact, FinalOutcome};
use crate::scenario::{RetrySafetyKind, RuleSettings, Scenario, ServiceClassSpec};
use quillhub::{EndpointState, MessageId};
use records::{Endpoint, Instance, Message, OrderingQueue, Route};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

pub use breach::{Breach, Rule};

/// Max breaches reported per run; further ones are dropped, as the run has failed anyway.
const MAX_BREACHES: usize = 1_000;
/// Time for which a finished message is kept, to detect attempts and executions after its final outcome.
const FINISHED_RETENTION: Duration = Duration::from_secs(120);
/// Time that an instance has after a restart or a stall to finish the messages whose deadline passed meanwhile.
const CATCH_UP_GRACE: Duration = Duration::from_millis(100);

/// Identifies an attempt and the instance that makes it.
#[derive(Clone, Copy)]
struct AttemptId {
    instance: usize,
    message_id: MessageId,
    attempt: u32,
}

/// Receives the facts of a run one by one and finds the breaches of the six rules.
pub struct Auditor {
    service_classes: Vec<ServiceClassSpec>,
    rules: RuleSettings,
    /// `true` if drains and retry-afters are checked when the first byte of a call is sent; otherwise they are checked
    /// when the attempt starts.
    checks_before_first_byte: bool,
    /// Added endpoints, by name.
    endpoints: BTreeMap<String, Endpoint>,
    /// Zone numbers in the order of first use, by name.
    zones: BTreeMap<String, usize>,
    messages: BTreeMap<MessageId, Message>,
    /// Times of the final outcomes of finished messages that are still kept, in ascending order.
    finished_messages: VecDeque<(Duration, MessageId)>,
    /// Messages of ordered service classes, by instance and ordering key.
    ordering: BTreeMap<(usize, u64), OrderingQueue>,
    instances: BTreeMap<usize, Instance>,
    routes: BTreeMap<usize, Route>,
    breaches: Vec<Breach>,
}

impl Auditor {
    /// Creates an auditor with the service classes and rule settings of `scenario`.
    pub fn new(scenario: &Scenario) -> Self {
        Self {
            service_classes: scenario.service_classes.clone(),
            rules: scenario.rules.clone(),
            checks_before_first_byte: scenario.instances.checks_before_first_byte,
            endpoints: BTreeMap::new(),
            zones: BTreeMap::new(),
            messages: BTreeMap::new(),
            finished_messages: VecDeque::new(),
            ordering: BTreeMap::new(),
            instances: BTreeMap::new(),
            routes: BTreeMap::new(),
            breaches: Vec::new(),
        }
    }

    fn report(&mut self, breach: Breach) {
        if self.breaches.len() < MAX_BREACHES {
            self.breaches.push(breach);
        }
    }

    /// Checks and records the next fact; `now` must not decrease from one call to the next.
    pub fn record(&mut self, now: Duration, fact: &Fact) {
        self.remove_expired_messages(now);
        match *fact {
            Fact::EndpointPlaced { endpoint, zone, route } => self.endpoint_placed(endpoint, zone, route),
            Fact::EndpointLearned { instance, endpoint, state } => {
                self.endpoint_learned(now, instance, endpoint, state);
            }
            Fact::InstanceStarted { instance, .. } => self.instance(instance).unavailable_until = now,
            Fact::InstanceStalled { instance, until } => {
                let instance = self.instance(instance);
                instance.unavailable_until = instance.unavailable_until.max(until);
            }
            Fact::InstanceDied { instance, state_kept } => self.instance_died(instance, state_kept),
            Fact::Accepted { instance, message_id, service_class, ordering_key, deadline, .. } => {
                let service_class = self.service_class_number(service_class);
                let ordering_key = ordering_key.filter(|_| self.service_classes[service_class].ordered);
                let message = Message {
                    instance,
                    service_class,
                    ordering_key,
                    deadline,
                    accepted_at: now,
                    attempts: BTreeMap::new(),
                    finished: None,
                    executed: None,
                };
                self.accepted(message_id, message);
            }
            Fact::AttemptStarted { instance, message_id, attempt, endpoint, .. } => {
                self.attempt_started(now, AttemptId { instance, message_id, attempt }, endpoint);
            }
            Fact::FirstByteSent { instance, message_id, attempt } => {
                if self.checks_before_first_byte {
                    self.check_drain_and_retry_after(now, AttemptId { instance, message_id, attempt });
                }
            }
            Fact::AttemptArrived { instance, message_id, attempt } => {
                self.attempt_arrived(now, AttemptId { instance, message_id, attempt });
            }
            Fact::Executed { message_id, deduplicated, .. } => self.executed(now, message_id, deduplicated),
            Fact::AttemptEnded { instance, message_id, attempt, outcome } => {
                self.attempt_ended(now, AttemptId { instance, message_id, attempt }, outcome);
            }
            Fact::Finished { message_id, outcome, .. } => self.finished(now, message_id, outcome),
            Fact::RouteDown { route } => {
                self.routes.insert(route, Route { is_down: true, ..Route::default() });
            }
            Fact::RouteRecovered { route, milli_per_s } => self.route_recovered(now, route, milli_per_s),
            Fact::RouteOverloaded { .. } | Fact::FaultChanged { .. } => {}
        }
    }

    /// Ends the audit and returns all breaches, including those of messages without a final outcome whose deadline is
    /// before `now`.
    pub fn finish(mut self, now: Duration) -> Vec<Breach> {
        let is_lost = |message: &Message| message.finished.is_none() && message.deadline < now;
        let lost = self.messages.iter().filter(|(_, message)| is_lost(message));
        let lost: Vec<_> = lost.map(|(id, message)| (*id, message.deadline)).collect();
        for (id, deadline) in lost {
            self.report(Breach {
                rule: Rule::OneAnswer,
                message_id: Some(id),
                since: deadline,
                at: now,
                description: "no final answer",
            });
        }
        self.breaches
    }

    fn remove_expired_messages(&mut self, now: Duration) {
        while let Some((_, id)) = self
            .finished_messages
            .front()
            .copied()
            .filter(|(finished_at, _)| *finished_at + FINISHED_RETENTION < now)
        {
            self.finished_messages.pop_front();
            self.messages.remove(&id);
        }
    }

    fn service_class_number(&self, name: &str) -> usize {
        self.service_classes.iter().position(|class| class.name == name).unwrap_or_default()
    }

    fn instance(&mut self, instance: usize) -> &mut Instance {
        self.instances.entry(instance).or_default()
    }

    fn endpoint_placed(&mut self, name: &str, zone: &str, route: usize) {
        let zones = self.zones.len();
        let zone = *self.zones.entry(zone.into()).or_insert(zones);
        let number = self.endpoints.len();
        self.endpoints.insert(name.into(), Endpoint { number, zone, route });
    }

    fn endpoint_learned(&mut self, now: Duration, instance: usize, name: &str, state: EndpointState) {
        let Some(endpoint) = self.endpoints.get(name).map(|endpoint| endpoint.number) else { return };
        let drains = &mut self.instance(instance).drains;
        if state == EndpointState::Available {
            drains.remove(&endpoint);
        } else {
            drains.entry(endpoint).or_insert(now);
        }
    }

    fn instance_died(&mut self, instance: usize, state_kept: bool) {
        // The retry-afters are lost with the process; the drains are not, as the instance's endpoint list is persisted.
        self.instance(instance).retry_after.clear();
        self.ordering.retain(|(owner, _), _| state_kept || *owner != instance);
        let mut lost = Vec::new();
        for (id, message) in self.messages.iter_mut().filter(|(_, message)| message.instance == instance) {
            for attempt in message.attempts.values_mut() {
                attempt.orphaned |= attempt.outcome.is_none();
            }
            if message.finished.is_none() && !state_kept {
                lost.push(*id);
            }
        }
        for id in lost {
            self.messages.remove(&id); // lost with its state directory, so it needs no final outcome
        }
    }

    fn accepted(&mut self, id: MessageId, message: Message) {
        if let Some(key) = message.ordering_key {
            self.ordering.entry((message.instance, key)).or_default().messages.push_back(id);
        }
        self.messages.insert(id, message);
    }

    /// Checks an execution at the destination, which must be the only one of an at-most-once message.
    fn executed(&mut self, now: Duration, id: MessageId, deduplicated: bool) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        // Deduplication windows constrain the start of attempts and are checked there: an instance is not responsible
        // for an attempt that starts in time and is executed late.
        let class = &self.service_classes[message.service_class];
        if deduplicated || class.retry_safety != RetrySafetyKind::AtMostOnce {
            return;
        }
        if let Some(since) = message.executed.replace(now) {
            self.report(Breach {
                rule: Rule::OneEffect,
                message_id: Some(id),
                since,
                at: now,
                description: "took effect twice",
            });
        }
    }

    /// Checks and records the final outcome of a message.
    fn finished(&mut self, now: Duration, id: MessageId, outcome: FinalOutcome) {
        let breach =
            |rule, since, description| Breach { rule, message_id: Some(id), since, at: now, description };
        let Some(message) = self.messages.get_mut(&id) else {
            return self.report(breach(Rule::OneAnswer, now, "answered, though long over or never taken"));
        };
        if let Some((since, _)) = message.finished {
            return self.report(breach(Rule::OneAnswer, since, "answered a second time"));
        }
        message.finished = Some((now, outcome));
        let deadline = message.deadline;
        let safety = self.service_classes[message.service_class].retry_safety;
        let may_have_executed = message.first_possible_execution().map(|attempt| attempt.started_at);
        let instance = self.instances.get(&message.instance);
        let excused_until =
            instance.map_or(Duration::ZERO, |instance| instance.unavailable_until + CATCH_UP_GRACE);
        if now > deadline && now > excused_until {
            self.report(breach(Rule::OneAnswer, deadline, "answered after its time"));
        }
        let is_rejected = matches!(outcome, FinalOutcome::Rejected { .. });
        if let Some(since) =
            may_have_executed.filter(|_| is_rejected && safety == RetrySafetyKind::AtMostOnce)
        {
            self.report(breach(Rule::OneEffect, since, "binding, denied though it may have run"));
        }
        self.finished_messages.push_back((now, id));
    }
}
