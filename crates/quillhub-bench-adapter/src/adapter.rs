//! Adapter between the simulator and the running instances: passes each event to the dispatcher of its instance, then
//! applies the dispatcher's rules.
//!
//! Invariant: instances share only the clock and the endpoint lists.

use crate::error::LineError;
use crate::events::{self, EndedAttempt, Event, InstanceEvent, ListAnnouncement, ListForm, SubmittedMessage};
use crate::fields::Fields;
use crate::lists::{EndpointLists, Entry};
use crate::reply::Reply;
use quillhub::{AttemptResult, Dispatcher, EndpointUpdate, LoadReport, NewMessage};
use quillhub_settings::ReportPositions;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Running instance and its dispatcher, whose time counts from the start of the instance.
struct HostedInstance {
    dispatcher: Dispatcher,
    report_positions: ReportPositions,
    /// Start of the instance, in microseconds on the simulator's clock.
    started_us: u64,
}

impl HostedInstance {
    /// Converts a time on the simulator's clock to the dispatcher's time; a time before the start becomes zero.
    fn since_start(&self, clock_us: u64) -> Duration {
        Duration::from_micros(clock_us.saturating_sub(self.started_us))
    }

    fn handle_event(&mut self, event: InstanceEvent, fields: &mut Fields) -> Result<(), LineError> {
        match event {
            InstanceEvent::Inbound => self.submit(&SubmittedMessage::parse(fields)?)?,
            InstanceEvent::Resolved => self.attempt_ended(EndedAttempt::parse(fields)?),
            InstanceEvent::Timer => {
                events::skip_timer(fields)?;
                self.dispatcher.timer_fired();
            }
            InstanceEvent::ClientLeft => self.dispatcher.finish(events::parse_client_left(fields)?),
            InstanceEvent::Memo => self.dispatcher.gossip_received(&events::parse_gossip(fields)?),
            InstanceEvent::StatusBack => events::skip_health_check(fields)?,
            InstanceEvent::Established => events::skip_established(fields)?,
        }
        Ok(())
    }

    fn submit(&mut self, submitted: &SubmittedMessage) -> Result<(), LineError> {
        let deadline = self.since_start(submitted.deadline_us);
        let accepted = self.dispatcher.accept(NewMessage {
            id: submitted.message,
            service_class: submitted.service_class,
            ordering_key: submitted.ordering_key,
            deadline,
            tenant: submitted.tenant,
            destination: submitted.destination,
        });
        accepted
            .map_err(|_| LineError::unexpected("a configured service class as qos", submitted.service_class))
    }

    fn attempt_ended(&mut self, ended: EndedAttempt) {
        let load_report = ended.report.and_then(|values| self.load_report(&values));
        self.dispatcher.attempt_ended(AttemptResult {
            message: ended.message,
            attempt: ended.attempt,
            outcome: ended.outcome,
            duration: ended.duration,
            finished: ended.finished,
            load_report,
            connection: None,
        });
    }

    /// Builds the load report from the values that the settings select, or returns `None` if one of them is missing.
    fn load_report(&self, values: &[f64]) -> Option<LoadReport> {
        let value = |position: Option<usize>| position.and_then(|position| values.get(position)).copied();
        let remaining_share = value(self.report_positions.remaining_share)?;
        let rate_limit = value(self.report_positions.rate_limit)?;
        Some(LoadReport { remaining_share, rate_limit })
    }

    fn update_endpoints(&mut self, entries: &[String], form: ListForm) -> Result<(), LineError> {
        let mut names = BTreeSet::new();
        for line in entries {
            let Entry { name, zone, kind, destination, state, rate } = Entry::parse(line)?;
            names.insert(name.to_owned());
            let update = EndpointUpdate { name, zone, kind, destination, state, listed_rate: rate };
            self.dispatcher.endpoint_updated(update);
        }
        let snapshot = (form != ListForm::Delta).then_some(&names);
        self.dispatcher.endpoint_list_ended(snapshot, form != ListForm::Cached);
        Ok(())
    }
}

/// Running instances by name, with the clock and the endpoint lists that they share.
#[derive(Default)]
pub struct Adapter {
    clock_us: u64,
    instances: BTreeMap<String, HostedInstance>,
    lists: EndpointLists,
}

impl Adapter {
    /// Sets the simulator's clock to the time of a batch, in microseconds.
    pub fn set_clock(&mut self, clock_us: u64) {
        self.clock_us = clock_us;
    }

    /// Returns `true` if no endpoint list lacks an entry, so that the batch may end.
    pub fn has_complete_lists(&self) -> bool {
        self.lists.are_complete()
    }

    /// Handles one line of a batch, and appends the resulting actions of its instance to `reply`.
    pub fn handle_line(&mut self, line: &str, reply: &mut String) -> Result<(), LineError> {
        if self.lists.add_missing_entry(line)? {
            return Ok(());
        }
        let mut fields = Fields::new(line);
        let event = fields.text("an event")?;
        if event == "LIST" {
            return self.lists.start(&mut fields);
        }
        let event = Event::parse(event).ok_or_else(|| LineError::unexpected("an event", line))?;
        let instance = fields.text("courierId")?;
        match event {
            Event::Hello => self.start_instance(instance, &mut fields)?,
            Event::Announce => self.handle_announcement(instance, &mut fields)?,
            Event::Instance(event) => self.instance_mut(instance)?.handle_event(event, &mut fields)?,
            Event::Shutdown => {
                fields.end()?;
                self.instances.remove(instance);
                return Ok(());
            }
        }
        fields.end()?;
        self.instance_mut(instance)?.dispatcher.apply_rules(&mut Reply::new(instance, reply));
        Ok(())
    }

    fn start_instance(&mut self, instance: &str, fields: &mut Fields) -> Result<(), LineError> {
        let seed = fields.number("randomSeed")?;
        let (dispatcher, report_positions) =
            quillhub_settings::dispatcher_from_text(seed, fields.take_rest())?;
        let hosted = HostedInstance { dispatcher, report_positions, started_us: self.clock_us };
        self.instances.insert(instance.into(), hosted);
        Ok(())
    }

    fn handle_announcement(&mut self, instance: &str, fields: &mut Fields) -> Result<(), LineError> {
        let announcement = ListAnnouncement::parse(fields)?;
        let hosted = find_instance(&mut self.instances, instance, self.clock_us)?;
        if announcement.is_failure() {
            hosted.dispatcher.endpoint_list_failed();
            return Ok(());
        }
        let form = ListForm::parse(announcement.form)?;
        hosted.update_endpoints(self.lists.get(announcement.list)?, form)
    }

    fn instance_mut(&mut self, name: &str) -> Result<&mut HostedInstance, LineError> {
        find_instance(&mut self.instances, name, self.clock_us)
    }
}

/// Returns the instance with `name`, with its time advanced to `clock_us`.
///
/// Not a method of [`Adapter`], so that the endpoint lists can be borrowed at the same time.
fn find_instance<'a>(
    instances: &'a mut BTreeMap<String, HostedInstance>,
    name: &str,
    clock_us: u64,
) -> Result<&'a mut HostedInstance, LineError> {
    let hosted = instances
        .get_mut(name)
        .ok_or_else(|| LineError::unexpected("a started instance as courierId", name))?;
    let now = hosted.since_start(clock_us);
    hosted.dispatcher.advance_to(now);
    Ok(hosted)
}
