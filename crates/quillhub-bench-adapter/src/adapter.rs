//! The hosted instances: applies events to their dispatchers and lets these act.
//!
//! Invariant: instances share nothing but the clock and the endpoint lists.

use crate::error::LineError;
use crate::events::{self, Announced, AnnouncedForm, Event, InstanceEvent, Resolved, Submitted};
use crate::fields::Fields;
use crate::lists::{EndpointLists, Entry};
use crate::reply::Reply;
use quillhub::{AttemptResult, Dispatcher, EndpointUpdate, LoadReport, NewMessage};
use quillhub_settings::ReportColumns;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One instance, with its own start of time.
struct HostedInstance {
    dispatcher: Dispatcher,
    report_columns: ReportColumns,
    started_us: u64,
}

impl HostedInstance {
    fn since_start(&self, clock_us: u64) -> Duration {
        Duration::from_micros(clock_us.saturating_sub(self.started_us))
    }

    fn handle_event(&mut self, event: InstanceEvent, fields: &mut Fields) -> Result<(), LineError> {
        match event {
            InstanceEvent::Inbound => self.submit(&Submitted::parse(fields)?)?,
            InstanceEvent::Resolved => self.attempt_ended(Resolved::parse(fields)?),
            InstanceEvent::Timer => {
                events::parse_timer(fields)?;
                self.dispatcher.timer_fired();
            }
            InstanceEvent::ClientLeft => self.dispatcher.finish(events::parse_client_left(fields)?),
            InstanceEvent::Memo => self.dispatcher.gossip_received(&events::parse_gossip(fields)?),
            InstanceEvent::StatusBack => events::skip_health_check(fields)?,
            InstanceEvent::Established => events::skip_established(fields)?,
        }
        Ok(())
    }

    fn submit(&mut self, submitted: &Submitted) -> Result<(), LineError> {
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

    fn attempt_ended(&mut self, resolved: Resolved) {
        let load_report = resolved.report.and_then(|values| self.load_report(&values));
        self.dispatcher.attempt_ended(AttemptResult {
            message: resolved.message,
            attempt: resolved.attempt,
            outcome: resolved.outcome,
            duration: resolved.duration,
            finished: resolved.finished,
            load_report,
        });
    }

    /// The share left and the limit, where the report has both.
    fn load_report(&self, values: &[f64]) -> Option<LoadReport> {
        let value = |column: Option<usize>| column.and_then(|column| values.get(column)).copied();
        let remaining_share = value(self.report_columns.remaining_share)?;
        let rate_limit = value(self.report_columns.rate_limit)?;
        Some(LoadReport { remaining_share, rate_limit })
    }

    fn update_endpoints(&mut self, entries: &[String], form: AnnouncedForm) -> Result<(), LineError> {
        let mut names = BTreeSet::new();
        for line in entries {
            let Entry { name, zone, kind, destination, state, rate } = Entry::parse(line)?;
            names.insert(name.to_owned());
            let update = EndpointUpdate { name, zone, kind, destination, state, listed_rate: rate };
            self.dispatcher.endpoint_updated(update);
        }
        let complete = (form != AnnouncedForm::Delta).then_some(&names);
        self.dispatcher.endpoint_list_ended(complete, form != AnnouncedForm::Cached);
        Ok(())
    }
}

/// The instances that were started and not shut down.
#[derive(Default)]
pub struct Adapter {
    clock_us: u64,
    instances: BTreeMap<String, HostedInstance>,
    lists: EndpointLists,
}

impl Adapter {
    pub fn set_clock(&mut self, clock_us: u64) {
        self.clock_us = clock_us;
    }

    /// Whether a batch may end here.
    pub fn awaits_no_entry(&self) -> bool {
        self.lists.are_complete()
    }

    /// Applies the event of one line, and adds the actions that it leads to to `reply`.
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
            Event::Hello => self.start(instance, &mut fields)?,
            Event::Announce => self.announce(instance, &mut fields)?,
            Event::Instance(event) => self.instance(instance)?.handle_event(event, &mut fields)?,
            Event::Shutdown => {
                fields.end()?;
                self.instances.remove(instance);
                return Ok(());
            }
        }
        fields.end()?;
        self.instance(instance)?.dispatcher.apply_rules(&mut Reply::new(instance, reply));
        Ok(())
    }

    fn start(&mut self, instance: &str, fields: &mut Fields) -> Result<(), LineError> {
        let seed = fields.number("randomSeed")?;
        let (dispatcher, report_columns) = quillhub_settings::read_text(seed, fields.take_rest())?;
        let hosted = HostedInstance { dispatcher, report_columns, started_us: self.clock_us };
        self.instances.insert(instance.into(), hosted);
        Ok(())
    }

    fn announce(&mut self, instance: &str, fields: &mut Fields) -> Result<(), LineError> {
        let announced = Announced::parse(fields)?;
        let hosted = find(&mut self.instances, instance, self.clock_us)?;
        if announced.is_failure() {
            hosted.dispatcher.endpoint_list_failed();
            return Ok(());
        }
        let form = AnnouncedForm::parse(announced.form)?;
        hosted.update_endpoints(self.lists.get(announced.list)?, form)
    }

    fn instance(&mut self, name: &str) -> Result<&mut HostedInstance, LineError> {
        find(&mut self.instances, name, self.clock_us)
    }
}

/// The instance of that name, with its time set. Apart from [`Adapter`], so that its lists can be read meanwhile.
fn find<'a>(
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
