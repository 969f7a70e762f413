//! Plans of runs: which faults a kind of run has, as a seed determines them.

use super::plan::{
    ClumpPlan, CopyPlan, CopyShape, CopyTiming, HangPlan, OverPlan, Pause, Plan, Reload, Restart,
    SilencePlan, SpoiltRejectionPlan, StorageFaults,
};
use super::shim::{ShortIo, SocketFaults};
use crate::process::Signal;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Maximum time for which an instance is paused, which it must bear without breaking a rule.
pub(super) const MAX_PAUSE: Duration = Duration::from_millis(150);

impl Plan {
    /// Returns the plan without faults that `seed` determines.
    pub fn without_faults(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let millis = Duration::from_millis;
        Self {
            seed,
            instances: rng.random_range(2..=3),
            destinations: rng.random_range(6..=10),
            endpoints_per_destination: 2,
            load_time: millis(6_000),
            rate_per_s: rng.random_range(40.0..80.0),
            time_to_live: millis(4_000),
            short_lived_share: 0.0,
            ordering_keys: None,
            pipelined_share: 0.0,
            just_in_time_share: 0.0,
            path_time: Duration::ZERO..Duration::ZERO,
            service_time: millis(30)..millis(rng.random_range(120..250)),
            rejected_share: rng.random_range(0.03..0.12),
            failed_share: 0.03,
            endless_share: 0.0,
            silences: None,
            clumps: None,
            burst: None,
            copies: None,
            spoilt_rejections: None,
            hangs: None,
            over: None,
            rest_before_close: None,
            restarts: Vec::new(),
            reloads: Vec::new(),
            pauses: Vec::new(),
            hold_ups: None,
            platform_faults: None,
            discovery_outage: None,
            crowd: None,
            is_input_unstamped: false,
            short_io: None,
            socket_faults: None,
            storage_faults: None,
        }
    }

    /// Returns the plan without other faults that `seed` determines, with shortened and interrupted reads and writes.
    pub fn with_short_io(seed: u64) -> Self {
        let short_io = ShortIo { shortened_percent: 6, interrupted_percent: 2 };
        Self { short_io: Some(short_io), ..Self::without_faults(seed) }
    }

    /// Returns the plan without other faults that `seed` determines, with failing calls on sockets.
    pub fn with_socket_faults(seed: u64) -> Self {
        let socket_faults = SocketFaults { failed_percent: 5, broken_permille: 5 };
        Self { socket_faults: Some(socket_faults), ..Self::without_faults(seed) }
    }

    /// Returns the plan that `seed` determines, with surplus responses of any timing and shape, and a killed instance
    /// in one run out of three.
    pub fn with_surplus_responses(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(!seed);
        let timings = [
            CopyTiming::Late(Duration::from_millis(8)),
            CopyTiming::Late(Duration::from_millis(60)),
            CopyTiming::Late(Duration::from_millis(300)),
            CopyTiming::Late(Duration::from_millis(1_500)),
            CopyTiming::BehindNextRequest(Duration::from_millis(5)),
        ];
        let shapes = CopyShape::ALL;
        // Half of the runs have identical copies, as in the incident.
        let shape = if rng.random::<bool>() { shapes[0] } else { shapes[rng.random_range(0..shapes.len())] };
        let copies = CopyPlan {
            one_endpoint_in: rng.random_range(2..=10),
            share: rng.random_range(0.05..0.5),
            timing: timings[rng.random_range(0..timings.len())].clone(),
            shape,
        };
        let plan = Self::without_faults(seed);
        let is_killed = rng.random_range(0..3) == 0;
        let kill = Restart::kill(plan.load_time / 2);
        Self { copies: Some(copies), restarts: if is_killed { vec![kill] } else { Vec::new() }, ..plan }
    }

    /// Returns the plan that `seed` determines, with malformed rejections, a killed instance in one run out of three, and
    /// surplus responses as well in one out of four.
    pub fn with_spoilt_rejections(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(!seed);
        let share = rng.random_range(0.05..0.25);
        let max_delay = [100, 1_000, 4_000][rng.random_range(0..3)];
        let spoilt_rejections = SpoiltRejectionPlan { share, max_delay: Duration::from_millis(max_delay) };
        let has_copies = rng.random_range(0..4) == 0;
        let plan = Self::with_surplus_responses(seed);
        Self {
            spoilt_rejections: Some(spoilt_rejections),
            copies: plan.copies.clone().filter(|_| has_copies),
            ..plan
        }
    }

    /// Returns the plan that `seed` determines, with copies of responses before endpoints stop answering, a killed instance
    /// in one run out of three, and surplus responses as well in one out of four.
    pub fn with_copies_before_hangs(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(!seed);
        let millis = Duration::from_millis;
        let start = millis(rng.random_range(800..2_500));
        let hangs = HangPlan {
            one_endpoint_in: rng.random_range(2..=5),
            time: start..start + millis(rng.random_range(2_500..8_000)),
            copied_share: rng.random_range(0.3..1.0),
            max_copy_delay: millis([8, 60, 300][rng.random_range(0..3)]),
        };
        let has_copies = rng.random_range(0..4) == 0;
        let plan = Self::with_surplus_responses(seed);
        Self { hangs: Some(hangs), copies: plan.copies.clone().filter(|_| has_copies), ..plan }
    }

    /// Returns the plan that `seed` determines, with a path on which requests are under way when endpoints write copies
    /// directly behind their responses, calls that are dropped or whose responses are lost, destinations that are called
    /// seldom, hangs in half of the runs, interim responses without end in half of the runs, and a killed instance in one
    /// run out of three.
    pub fn with_copies_on_the_way(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(!seed);
        let millis = Duration::from_millis;
        let copies = CopyPlan {
            one_endpoint_in: 1,
            share: rng.random_range(0.005..0.03),
            timing: CopyTiming::Directly(millis(1)..millis(40)),
            shape: [CopyShape::Identical, CopyShape::Noise, CopyShape::OtherStatus][rng.random_range(0..3)],
        };
        let start = millis(rng.random_range(800..2_500));
        let hangs = HangPlan::without_copies(
            rng.random_range(2..=4),
            start..start + millis(rng.random_range(2_500..8_000)),
        );
        // Without other copies, those before hangs are the first ones that an instance meets.
        let has_other_copies = rng.random_range(0..4) == 0;
        let endless_share = if rng.random() { rng.random_range(0.01..0.05) } else { 0.0 };
        let plan = Self::without_faults(seed);
        let is_killed = rng.random_range(0..3) == 0;
        let kill = Restart::kill(plan.load_time / 2);
        Self {
            path_time: millis(15)..millis(45),
            short_lived_share: 0.15,
            endless_share,
            silences: Some(SilencePlan { dropped_below: millis(150), lost_share: 0.02 }),
            clumps: Some(ClumpPlan {
                destinations: 48,
                messages: 3,
                interval: millis(400),
                hang_time: millis(5_000),
                copy_delay: millis(1)..millis(40),
            }),
            copies: has_other_copies.then_some(copies),
            hangs: rng.random::<bool>().then_some(hangs),
            restarts: if is_killed { vec![kill] } else { Vec::new() },
            ..plan
        }
    }

    /// Returns the plan that `seed` determines, with responses that say that the message is over, endpoints that close
    /// resting connections in half of the runs, up to three restarts, SIGHUP, pauses, and surplus responses as well in one
    /// run out of four.
    pub fn with_over_responses(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(!seed);
        let millis = Duration::from_millis;
        let plan = Self::with_surplus_responses(seed);
        let over = OverPlan { share: rng.random_range(0.08..0.2), exhausted_share: 0.02, has_surplus: true };
        let closes = rng.random::<bool>();
        let has_copies = rng.random_range(0..4) == 0;
        let reload = Reload { at: plan.load_time.mul_f64(rng.random()), instance: 0 };
        Self {
            over: Some(over),
            rest_before_close: closes.then_some(millis(30)..millis(400)),
            copies: plan.copies.clone().filter(|_| has_copies),
            restarts: draw_restarts(&mut rng, &plan, 0..=3),
            pauses: draw_pauses(&mut rng, &plan, 0..=4),
            reloads: vec![reload],
            ..plan
        }
    }

    /// Returns the plan of [`Self::with_over_responses`] without surplus responses and restarts, in which each response is its
    /// call's own: it shows what the defence against others costs.
    pub fn with_own_over_responses(seed: u64) -> Self {
        let plan = Self::with_over_responses(seed);
        let over = plan.over.clone().map(|over| OverPlan { has_surplus: false, ..over });
        let rest_before_close = Some(Duration::from_millis(30)..Duration::from_millis(400));
        Self { over, rest_before_close, copies: None, restarts: Vec::new(), ..plan }
    }

    /// Returns the plan that `seed` determines, with an instance that is killed and restarted after its wall clock was
    /// set by seconds or by an hour, forward or back.
    pub fn with_wall_clock_step(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(!seed);
        let plan = Self::without_faults(seed);
        let step = [-3_600, -5, 5, 3_600][rng.random_range(0..4)];
        let kill = Restart { wall_clock_step_s: step, ..Restart::kill(plan.load_time / 2) };
        Self { restarts: vec![kill], rejected_share: 0.3, ..plan }
    }

    /// Returns the plan that `seed` determines, with an instance whose file operations fail for a while, and which is
    /// killed during that time or after it.
    pub fn with_storage_faults(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(!seed);
        let millis = Duration::from_millis;
        let plan = Self::without_faults(seed);
        let start = millis(rng.random_range(1_000..2_500));
        let time = start..start + millis(rng.random_range(100..900));
        let failed_percent = [30, 60, 100][rng.random_range(0..3)];
        let kill = Restart::kill(millis(rng.random_range(3_000..4_000)));
        Self { storage_faults: Some(StorageFaults { time, failed_percent }), restarts: vec![kill], ..plan }
    }

    /// Returns the plan that `seed` determines, with several kinds of faults at once, pauses, and a series of restarts.
    pub fn with_all_faults(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(!seed);
        let plan = Self::without_faults(seed);
        let restarts = draw_restarts(&mut rng, &plan, 1..=3);
        let pauses = draw_pauses(&mut rng, &plan, 0..=6);
        let short_io = ShortIo { shortened_percent: 3, interrupted_percent: 1 };
        let socket_faults = SocketFaults { failed_percent: 2, broken_permille: 1 };
        Self {
            copies: Self::with_surplus_responses(seed).copies.filter(|_| rng.random()),
            spoilt_rejections: Self::with_spoilt_rejections(seed).spoilt_rejections.filter(|_| rng.random()),
            hangs: Self::with_copies_before_hangs(seed).hangs.filter(|_| rng.random_range(0..4) == 0),
            short_io: rng.random::<bool>().then_some(short_io),
            socket_faults: rng.random::<bool>().then_some(socket_faults),
            storage_faults: Self::with_storage_faults(seed).storage_faults.filter(|_| rng.random()),
            restarts,
            pauses,
            ..plan
        }
    }
}

/// Draws a series of restarts whose length is in `count`, in order of time.
pub(super) fn draw_restarts(rng: &mut Pcg64Mcg, plan: &Plan, count: RangeInclusive<usize>) -> Vec<Restart> {
    let mut restarts: Vec<_> = (0..rng.random_range(count)).map(|_| draw_restart(rng, plan)).collect();
    restarts.sort_by_key(|restart| restart.at);
    restarts
}

/// Draws a series of pauses whose length is in `count`, in order of time.
fn draw_pauses(rng: &mut Pcg64Mcg, plan: &Plan, count: RangeInclusive<usize>) -> Vec<Pause> {
    let mut pauses: Vec<_> = (0..rng.random_range(count)).map(|_| draw_pause(rng, plan)).collect();
    pauses.sort_by_key(|pause| pause.at);
    pauses
}

/// Draws the restart of an instance during the load, with the wall clock set in two of three.
fn draw_restart(rng: &mut Pcg64Mcg, plan: &Plan) -> Restart {
    Restart {
        at: plan.load_time.mul_f64(rng.random_range(0.2..0.9)),
        instance: rng.random_range(0..plan.instances),
        signal: if rng.random_range(0..3) == 0 { Signal::TERM } else { Signal::KILL },
        wall_clock_step_s: [0, 0, -3_600, -5, 5, 3_600][rng.random_range(0..6)],
    }
}

/// Draws a pause of an instance during the load.
fn draw_pause(rng: &mut Pcg64Mcg, plan: &Plan) -> Pause {
    Pause {
        at: plan.load_time.mul_f64(rng.random()),
        instance: rng.random_range(0..plan.instances),
        length: MAX_PAUSE.mul_f64(rng.random()),
    }
}
