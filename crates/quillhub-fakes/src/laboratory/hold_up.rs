//! Hold-ups: stops instances for a moment while clients submit messages, at the deadline of these messages, and in between.

use super::client::{self, Message};
use super::plan::{HoldUpPlan, Plan};
use super::run::{Processes, signal};
use super::state::SharedRun;
use crate::process::Signal;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// What happens to an instance at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Stop,
    /// Stops the instance, and clients submit messages to it.
    StopAndSubmit,
    Continue,
}

/// Returns the events of a run with their times from the start of the load and their instances, in order of time.
fn schedule(plan: &Plan, hold_ups: &HoldUpPlan) -> Vec<(Duration, usize, Event)> {
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed.wrapping_mul(41));
    let mut events = Vec::new();
    for instance in 0..plan.instances {
        let mut start = hold_ups.cycle.mul_f64(rng.random());
        while start < plan.load_time {
            let at_random = start + plan.time_to_live.mul_f64(rng.random_range(0.35..0.6));
            // From a hold-up that ends with the deadline to one that starts a hold-up's length after it.
            let after_deadline = 2 * hold_ups.length.mul_f64(rng.random());
            let at_deadline = start + plan.time_to_live - hold_ups.length + after_deadline;
            let stops = [
                (start, Event::StopAndSubmit, hold_ups.submission_length),
                (at_random, Event::Stop, hold_ups.length),
                (at_deadline, Event::Stop, hold_ups.length),
            ];
            for (at, stop, length) in stops {
                events.push((at, instance, stop));
                events.push((at + length, instance, Event::Continue));
            }
            start += hold_ups.cycle;
        }
    }
    events.sort();
    events
}

/// Holds up the instances as planned.
pub(super) async fn hold_up_instances(
    run: &SharedRun,
    plan: &Plan,
    processes: &Processes,
    addresses: &[SocketAddr],
) -> io::Result<()> {
    let Some(hold_ups) = &plan.hold_ups else { return Ok(()) };
    let started = run.borrow().record.started;
    for (number, (at, instance, event)) in (0..).zip(schedule(plan, hold_ups)) {
        sleep_until(started + at).await;
        signal(processes, instance, if event == Event::Continue { Signal::CONT } else { Signal::STOP })?;
        if event == Event::StopAndSubmit {
            submit_in_all_ways(run, plan, (instance, addresses[instance]), (number, hold_ups.messages));
        }
    }
    Ok(())
}

/// Submits messages on open, on new and on pipelined connections.
fn submit_in_all_ways(
    run: &SharedRun,
    plan: &Plan,
    (instance, address): (usize, SocketAddr),
    (hold_up, messages): (u32, u64),
) {
    let message = |kind: char, number: u64| {
        let rng = &mut run.borrow_mut().rng;
        let id = format!("{kind}{instance:03x}{hold_up:06x}{number:06x}");
        Message::draw(rng, plan, instance, id)
    };
    let idle = run.borrow().idle_connections(instance);
    for number in 0..messages {
        spawn_local(client::submit_one(run.clone(), idle.clone(), address, message('o', number)));
        spawn_local(client::submit_one(run.clone(), Default::default(), address, message('n', number)));
    }
    let pipelined = (0..messages).map(|number| message('q', number)).collect();
    spawn_local(client::submit_pipelined(run.clone(), address, pipelined));
}
