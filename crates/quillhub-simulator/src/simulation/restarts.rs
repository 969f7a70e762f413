//! Stalls, crashes and restarts of instances.

use super::Simulation;
use super::event::Event;
use super::instances::PendingMessage;
use crate::decider::Input;
use crate::fact::Fact;
use crate::scenario::{RetrySafetyKind, ServiceClassSpec};
use quillhub::{DestinationId, MessageId, NewMessage, PossibleExecution, RecoveredAttempts};
use std::collections::BTreeMap;
use std::time::Duration;

/// Message recovered from the state directory; its times are by the instance's own clock.
struct Recovered {
    message_id: MessageId,
    service_class: usize,
    ordering_key: Option<u64>,
    deadline: Duration,
    destination: DestinationId,
    attempts: u32,
    /// Start time and endpoint of the first attempt that may have been executed, if any.
    first_possible_execution: Option<(Duration, String)>,
}

impl Recovered {
    /// Returns the inputs that report the message to the decider.
    fn inputs<'s>(&'s self, service_classes: &'s [ServiceClassSpec]) -> [Input<'s>; 2] {
        let Self { message_id: id, ordering_key, deadline, destination, attempts, .. } = *self;
        let service_class = &service_classes[self.service_class].name;
        let first_execution = self
            .first_possible_execution
            .as_ref()
            .map(|(started, endpoint)| PossibleExecution { started: *started, endpoint });
        let message = NewMessage { id, service_class, ordering_key, deadline, tenant: None, destination };
        let attempts = RecoveredAttempts { count: attempts, first_execution };
        [Input::Message(message), Input::Recovered { message: id, attempts }]
    }
}

impl Simulation<'_> {
    /// Stalls an instance until `until`. Events for it are delayed until then.
    pub(super) fn stall(&mut self, instance: usize, until: Duration) {
        let host = &mut self.instances[instance];
        host.stalled_until = host.stalled_until.max(until);
        self.record_fact(&Fact::InstanceStalled { instance, until });
    }

    /// Crashes an instance, and schedules its restart at `until`.
    pub(super) fn kill(&mut self, instance: usize, state_directory_lost: bool, until: Duration) {
        if !self.instances[instance].alive {
            return;
        }
        let state_kept = self.scenario.instances.state_directory && !state_directory_lost;
        let lost = self.end_process(instance, state_kept);
        self.record_fact(&Fact::InstanceDied { instance, state_kept });
        self.drop_calls(instance);
        for message in lost.into_values() {
            self.resubmit_lost(&message);
        }
        self.clock.schedule(until, Event::Restart { instance });
    }

    /// Ends the process of an instance, and returns the pending messages that are lost with it.
    fn end_process(&mut self, instance: usize, state_kept: bool) -> BTreeMap<MessageId, PendingMessage> {
        let now = self.clock.now();
        let host = &mut self.instances[instance];
        host.alive = false;
        host.incarnation += 1;
        host.is_watching = false;
        host.stalled_until = now;
        host.assumed_alive_until = now + self.scenario.clients.failure_detection_delay;
        if state_kept { BTreeMap::new() } else { std::mem::take(&mut host.pending) }
    }

    /// Schedules another submission of a message lost in a crash, unless it may have been executed and must not be
    /// executed twice.
    fn resubmit_lost(&mut self, message: &PendingMessage) {
        let at_most_once =
            self.scenario.service_classes[message.service_class].retry_safety == RetrySafetyKind::AtMostOnce;
        if at_most_once && !message.possible_executions.is_empty() {
            return self.give_up(message.request);
        }
        let wait = self.draw_client_wait();
        self.schedule_after(wait, Event::Submission { request: message.request });
    }

    /// Restarts a crashed instance, and recovers the pending messages from its state directory.
    pub(super) fn restart(&mut self, instance: usize) {
        let decider =
            (self.make_decider)(&self.start_parameters(instance, self.instances[instance].incarnation));
        let host = &mut self.instances[instance];
        host.alive = true;
        host.decider = decider;
        // The clock must start no later than the oldest recovered attempt, as its times cannot be negative.
        let attempts = host.pending.values().flat_map(|message| message.possible_executions.values());
        host.epoch = attempts.map(|(at, _)| *at).min().unwrap_or(self.clock.now());
        let state_recovered = !host.pending.is_empty();
        self.record_fact(&Fact::InstanceStarted { instance, state_recovered });
        self.report_initial_list(instance);
        self.recover_pending(instance);
    }

    /// Reports the messages recovered from the state directory to the instance's decider.
    fn recover_pending(&mut self, instance: usize) {
        let recovered = self.recovered_messages(instance);
        let inputs: Vec<_> =
            recovered.iter().flat_map(|message| message.inputs(&self.scenario.service_classes)).collect();
        self.process_inputs(instance, &inputs);
    }

    fn recovered_messages(&self, instance: usize) -> Vec<Recovered> {
        let host = &self.instances[instance];
        let recover = |(message_id, message): (&MessageId, &PendingMessage)| Recovered {
            message_id: *message_id,
            service_class: message.service_class,
            ordering_key: message.ordering_key,
            deadline: message.deadline.max(self.clock.now()) - host.epoch,
            destination: message.destination,
            attempts: message.attempts,
            first_possible_execution: message.possible_executions.values().min().map(|(at, entry)| {
                let endpoint = self.discovery.entries[*entry].name.clone();
                (*at - host.epoch, endpoint)
            }),
        };
        host.pending.iter().map(recover).collect()
    }
}
