//! Couriers that stand still, die and start again.

use super::World;
use super::couriers::HeldMessage;
use super::event::Event;
use crate::day::{EffectOf, GradeOf};
use crate::decider::Input;
use crate::fact::Fact;
use quillhub::{DestinationId, MessageId, NewMessage, PossibleExecution, RecoveredAttempts};
use std::collections::BTreeMap;
use std::time::Duration;

/// A message that is read back from the state directory; instants by the courier's own clock.
struct Recovered {
    notice: MessageId,
    grade: usize,
    key: Option<u64>,
    deadline: Duration,
    destination: DestinationId,
    attempts: u32,
    /// The first attempt that may have run: when, and at which endpoint.
    may_have_run: Option<(Duration, String)>,
}

impl Recovered {
    /// What its courier is told of it.
    fn inputs<'s>(&'s self, grades: &'s [GradeOf]) -> [Input<'s>; 2] {
        let Self { notice: id, key, deadline, destination, attempts, .. } = *self;
        let grade = &grades[self.grade].name;
        let first_execution = self
            .may_have_run
            .as_ref()
            .map(|(started, endpoint)| PossibleExecution { started: *started, endpoint });
        let message =
            NewMessage { id, service_class: grade, ordering_key: key, deadline, tenant: None, destination };
        let attempts = RecoveredAttempts { count: attempts, first_execution };
        [Input::Message(message), Input::Recovered { message: id, attempts }]
    }
}

impl World<'_> {
    /// A courier stands still; what happens meanwhile it learns afterwards.
    pub(super) fn stall(&mut self, courier: usize, until: Duration) {
        let host = &mut self.couriers[courier];
        host.stalled_until = host.stalled_until.max(until);
        self.fact(&Fact::Still { courier, until });
    }

    /// A courier dies, and starts again at `until`.
    pub(super) fn kill(&mut self, courier: usize, folder_lost: bool, until: Duration) {
        if !self.couriers[courier].alive {
            return;
        }
        let folder = self.day.couriers.folder && !folder_lost;
        let lost = self.end_process(courier, folder);
        self.fact(&Fact::Died { courier, folder });
        self.drop_calls_of(courier);
        for message in lost.into_values() {
            self.lost_with_courier(&message);
        }
        self.clock.at(until, Event::Restart { courier });
    }

    /// Ends the process; what was held and does not outlast it.
    fn end_process(&mut self, courier: usize, folder: bool) -> BTreeMap<MessageId, HeldMessage> {
        let now = self.clock.now();
        let host = &mut self.couriers[courier];
        host.alive = false;
        host.life += 1;
        host.watches = false;
        host.stalled_until = now;
        host.trusted_until = now + self.day.clients.notices_dead;
        if folder { BTreeMap::new() } else { std::mem::take(&mut host.held) }
    }

    /// Clients come again with what is lost, unless it may have taken effect and must not do so twice.
    fn lost_with_courier(&mut self, message: &HeldMessage) {
        let at_most_once = self.day.grades[message.grade].effect == EffectOf::Binding;
        if at_most_once && !message.may_have_run.is_empty() {
            return self.unserved(message.order);
        }
        let wait = self.client_wait();
        self.after(wait, Event::Submission { order: message.order });
    }

    /// A courier that died starts again, with what its state directory holds.
    pub(super) fn restart(&mut self, courier: usize) {
        let decider = (self.make)(&self.start(courier, self.couriers[courier].life));
        let host = &mut self.couriers[courier];
        host.alive = true;
        host.decider = decider;
        // Its clock begins with the oldest of what is owed from before.
        let attempts = host.held.values().flat_map(|message| message.may_have_run.values());
        host.epoch = attempts.map(|(at, _)| *at).min().unwrap_or(self.clock.now());
        let folder = !host.held.is_empty();
        self.fact(&Fact::Began { courier, folder });
        self.tell_first_list(courier);
        self.hand_back(courier);
    }

    /// Driver a courier what its state directory holds.
    fn hand_back(&mut self, courier: usize) {
        let recovered = self.recovered(courier);
        let inputs: Vec<_> = recovered.iter().flat_map(|message| message.inputs(&self.day.grades)).collect();
        self.tell(courier, &inputs);
    }

    fn recovered(&self, courier: usize) -> Vec<Recovered> {
        let host = &self.couriers[courier];
        let recover = |(notice, message): (&MessageId, &HeldMessage)| Recovered {
            notice: *notice,
            grade: message.grade,
            key: message.key,
            deadline: message.deadline.max(self.clock.now()) - host.epoch,
            destination: message.destination,
            attempts: message.attempts,
            may_have_run: message.may_have_run.values().min().map(|(at, entry)| {
                let endpoint = self.discovery.entries[*entry].name.clone();
                (*at - host.epoch, endpoint)
            }),
        };
        host.held.iter().map(recover).collect()
    }
}
