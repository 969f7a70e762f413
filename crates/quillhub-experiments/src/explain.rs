//! The events of one message in a kept run. The run is simulated again, as the same seed gives the same run.

use crate::experiment::ExperimentPlan;
use crate::results::RunRecord;
use crate::sweep::Run;
use quillhub_simulator::{Fact, line};
use std::collections::BTreeSet;

/// Returns one line per event of the message with id `wanted`, or of the messages that a client submitted under that
/// number (`request`), together with faults that began or ended and with breaches.
///
/// # Errors
///
/// Returns a message if the experiment lacks the variant or decider of the run, or the run has no such message.
pub fn explain(plan: &ExperimentPlan, run: &RunRecord, wanted: u64) -> Result<Vec<String>, String> {
    let variant = plan.variants.iter().find(|variant| variant.name == run.variant);
    let variant = variant.ok_or(format!("expected a variant '{}', found none", run.variant))?;
    let decider = plan.definition.deciders.iter().find(|kind| kind.name() == run.decider);
    let decider = *decider.ok_or(format!("expected a decider '{}', found none", run.decider))?;
    let mut lines = Vec::new();
    let mut ids = BTreeSet::from([wanted]);
    let mut matching_facts = 0;
    let report = plan.simulate(&Run { variant, decider, seed: run.seed }, |at, fact| {
        if let Fact::Accepted { message_id, request, .. } = fact
            && *request == wanted
        {
            ids.insert(*message_id);
        }
        let is_matching = fact.message_id().is_some_and(|id| ids.contains(&id));
        matching_facts += usize::from(is_matching);
        if is_matching || matches!(fact, Fact::FaultChanged { .. }) {
            lines.push(line(at, fact));
        }
    });
    if matching_facts == 0 {
        let count = report.tally.submitted;
        return Err(format!("expected the id of a message of that run, up to {count}, found {wanted}"));
    }
    let breaches =
        report.breaches.iter().filter(|breach| breach.message_id.is_some_and(|id| ids.contains(&id)));
    lines.extend(breaches.map(|breach| format!("breach: {breach}")));
    let is_same_run = format!("{:016x}", report.hash) == run.hash;
    if !is_same_run {
        lines.push("this run differs from the kept one: the kept one was made by another build".into());
    }
    Ok(lines)
}
