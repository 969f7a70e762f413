//! The course of one message in a run, line by line. The run is played again: the same seed gives the same run.

use crate::experiment::Planned;
use crate::results::Kept;
use crate::sweep::Run;
use quillhub_simulator::{Fact, line};
use std::collections::BTreeSet;

/// The lines on a message, by its number or by its client's (`request`); faults that began or ended are among them.
pub fn explain(planned: &Planned, run: &Kept, wanted: u64) -> Result<Vec<String>, String> {
    let variant = planned.variants.iter().find(|variant| variant.name == run.variant);
    let variant = variant.ok_or(format!("expected days named '{}', found none", run.variant))?;
    let decider = planned.of.deciders.iter().find(|named| named.word() == run.decider);
    let decider = *decider.ok_or(format!("expected a decider '{}', found none", run.decider))?;
    let mut lines = Vec::new();
    let mut names = BTreeSet::from([wanted]);
    let mut about = 0;
    let report = planned.play(&Run { variant, decider, seed: run.seed }, |at, fact| {
        if let Fact::Accepted { message_id, request, .. } = fact
            && *request == wanted
        {
            names.insert(*message_id);
        }
        let is_about = fact.message_id().is_some_and(|id| names.contains(&id));
        about += usize::from(is_about);
        if is_about || matches!(fact, Fact::FaultChanged { .. }) {
            lines.push(line(at, fact));
        }
    });
    if about == 0 {
        let last = report.tally.submitted;
        return Err(format!("expected the number of a notice of that run, of {last}, found {wanted}"));
    }
    let broken = report.breaches.iter().filter(|b| b.message_id.is_some_and(|id| names.contains(&id)));
    lines.extend(broken.map(|breach| format!("broken: {breach}")));
    let same = format!("{:016x}", report.hash) == run.hash;
    if !same {
        lines.push("the run that is kept was another build's: this is what this build does".into());
    }
    Ok(lines)
}
