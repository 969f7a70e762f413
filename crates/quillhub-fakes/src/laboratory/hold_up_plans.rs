//! Plans of runs in which the ends of messages are to be late: hold-ups at each of their stages, and thousands of deadlines on
//! the same moment.

use super::builders::{MAX_PAUSE, draw_restarts};
use super::plan::{
    BurstPlan, CopyPlan, CopyShape, CopyTiming, CrowdPlan, HangPlan, HoldUpPlan, Pause, Plan,
    PlatformFaultPlan, Reload, Restart, SilencePlan,
};
use crate::process::Signal;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

impl Plan {
    /// Returns the plan that `seed` determines, with hold-ups at every stage of a message, a platform that loses requests or
    /// answers late and moves in half of the runs, endpoints that hang, lose responses, close resting connections or answer
    /// just in time, pipelined and short-lived messages, SIGHUP in series, up to two restarts, a crowd of idle clients in one
    /// run out of three, and copies of responses in half of the runs.
    pub fn with_hold_ups(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(!seed);
        let millis = Duration::from_millis;
        let start = millis(rng.random_range(500..2_000));
        let hangs = HangPlan::without_copies(
            rng.random_range(1..=2),
            start..start + millis(rng.random_range(2_500..6_000)),
        );
        let copies = CopyPlan {
            one_endpoint_in: 1,
            share: rng.random_range(0.005..0.03),
            timing: CopyTiming::Directly(millis(1)..millis(40)),
            shape: CopyShape::Identical,
        };
        let plan = Self::without_faults(seed);
        let platform_faults = PlatformFaultPlan {
            late_share: 0.2,
            late_by: millis(250),
            lost_share: 0.2,
            moves_at: rng.random::<bool>().then(|| plan.load_time.mul_f64(rng.random_range(0.2..0.9))),
        };
        let crowd = CrowdPlan { clients: 300, interval: millis(1_500) };
        let reload = |rng: &mut Pcg64Mcg| Reload {
            at: plan.load_time.mul_f64(rng.random()),
            instance: rng.random_range(0..plan.instances),
        };
        let mut reloads: Vec<_> = (0..rng.random_range(0..6)).map(|_| reload(&mut rng)).collect();
        reloads.sort_by_key(|reload| reload.at);
        Self {
            time_to_live: millis(2_000),
            short_lived_share: 0.1,
            pipelined_share: 0.1,
            just_in_time_share: 0.05,
            path_time: millis(15)..millis(45),
            silences: Some(SilencePlan { dropped_below: millis(80), lost_share: 0.05 }),
            copies: rng.random::<bool>().then_some(copies),
            hangs: Some(hangs),
            rest_before_close: rng.random::<bool>().then_some(millis(100)..millis(1_500)),
            hold_ups: Some(HoldUpPlan {
                length: MAX_PAUSE,
                submission_length: MAX_PAUSE,
                messages: 2,
                cycle: millis(2_700),
            }),
            platform_faults: Some(platform_faults),
            crowd: (rng.random_range(0..3) == 0).then_some(crowd),
            reloads,
            restarts: draw_restarts(&mut rng, &plan, 0..=2),
            ..plan
        }
    }

    /// Returns the plan of [`Self::with_hold_ups`] with messages that wait for others with the same ordering key.
    pub fn with_hold_ups_and_ordering_keys(seed: u64) -> Self {
        Self { ordering_keys: Some(60), ..Self::with_hold_ups(seed) }
    }

    /// Returns the plan of [`Self::with_hold_ups`] on a system that does not stamp input.
    pub fn with_hold_ups_and_unstamped_input(seed: u64) -> Self {
        Self { is_input_unstamped: true, ..Self::with_hold_ups(seed) }
    }

    /// Returns the plan that `seed` determines, with thousands of messages whose endpoints hang and whose deadlines fall on
    /// the same moment, a platform that loses requests or answers late, a crowd that fills the table of connections in half
    /// of the runs, either a hold-up at the deadline or a restart around it, and discovery that does not respond around the
    /// deadline in half of the runs.
    pub fn with_simultaneous_deadlines(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(!seed);
        let millis = Duration::from_millis;
        let plan = Self::without_faults(seed);
        let deadline = millis(4_000);
        let burst = BurstPlan {
            messages: rng.random_range(1_000..4_000),
            messages_per_connection: 50,
            interval: millis(25),
            deadline,
        };
        let hangs = HangPlan::without_copies(1, Duration::ZERO..millis(10_000));
        let platform_faults =
            PlatformFaultPlan { late_share: 0.2, late_by: millis(250), lost_share: 0.2, moves_at: None };
        let crowd = CrowdPlan { clients: 700, interval: millis(1_500) };
        let has_crowd = rng.random();
        let restart = Restart {
            at: deadline - millis(rng.random_range(0..1_500)),
            signal: if rng.random_range(0..3) == 0 { Signal::TERM } else { Signal::KILL },
            ..Restart::kill(deadline)
        };
        let is_restarted = rng.random::<bool>();
        let hold_up = Pause {
            at: deadline - MAX_PAUSE + 2 * MAX_PAUSE.mul_f64(rng.random()),
            instance: 0,
            length: MAX_PAUSE,
        };
        let discovery_outage = deadline - millis(2_000)..deadline + millis(2_000);
        let has_discovery_outage = rng.random();
        Self {
            rate_per_s: 5.0,
            path_time: millis(15)..millis(45),
            burst: Some(burst),
            hangs: Some(hangs),
            platform_faults: Some(platform_faults),
            discovery_outage: Some(discovery_outage).filter(|_| has_discovery_outage),
            crowd: Some(crowd).filter(|_| has_crowd),
            restarts: if is_restarted { vec![restart] } else { Vec::new() },
            pauses: if is_restarted { Vec::new() } else { vec![hold_up] },
            ..plan
        }
    }
}
