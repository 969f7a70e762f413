//! Faults of the platform: which requests it loses or confirms late.
//!
//! Invariant: each message meets at most one of the faults, except that all requests to an old address are lost.

use super::plan::PlatformFaultPlan;
use super::state::SharedRun;
use crate::platform::{OutcomeNotification, PlatformBehaviour, PlatformReply};
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

/// Messages that have met a fault.
type Affected = Rc<RefCell<BTreeSet<String>>>;

/// Addresses of the platform, of which one is in use at a time.
pub(super) struct PlatformFaults {
    run: SharedRun,
    plan: Option<PlatformFaultPlan>,
    affected: Affected,
    /// Number of the address in use.
    current: Rc<Cell<usize>>,
}

impl PlatformFaults {
    pub(super) fn new(run: SharedRun, plan: Option<PlatformFaultPlan>) -> Self {
        Self { run, plan, affected: Affected::default(), current: Rc::default() }
    }

    /// Makes the platform lose all requests at any other address than this one.
    pub(super) fn move_to(&self, address: usize) {
        self.current.set(address);
    }

    /// Returns the behaviour of the platform at one of its addresses.
    pub(super) fn behaviour(&self, address: usize) -> PlatformBehaviour {
        let (run, plan) = (self.run.clone(), self.plan.clone());
        let (affected, current) = (self.affected.clone(), self.current.clone());
        Rc::new(move |outcomes| {
            if current.get() != address {
                return PlatformReply::Lost;
            }
            let Some(plan) = &plan else { return PlatformReply::Prompt };
            draw_reply(&run, plan, &mut affected.borrow_mut(), outcomes)
        })
    }
}

fn draw_reply(
    run: &SharedRun,
    plan: &PlatformFaultPlan,
    affected: &mut BTreeSet<String>,
    outcomes: &[OutcomeNotification],
) -> PlatformReply {
    let drawn: f64 = run.borrow_mut().rng.random();
    let reply = if drawn < plan.lost_share {
        PlatformReply::Lost
    } else if drawn < plan.lost_share + plan.late_share {
        PlatformReply::Late(plan.late_by)
    } else {
        PlatformReply::Prompt
    };
    if reply == PlatformReply::Prompt || outcomes.iter().any(|outcome| affected.contains(&outcome.id)) {
        return PlatformReply::Prompt;
    }
    affected.extend(outcomes.iter().map(|outcome| outcome.id.clone()));
    reply
}
