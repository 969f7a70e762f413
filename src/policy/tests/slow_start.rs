use super::*;
use crate::ms;
use crate::policy::outlier::{EndpointHealth, Health};
use crate::policy::test_support::rng;

impl SlowStartBudget {
    /// Fills the part earned by time, so that one attempt may start.
    pub(crate) fn fill(&mut self) {
        self.by_time = ATTEMPT_COST;
    }
}

/// Returns the attempts that `instances` make in 3 s to a recovering destination of 10 calls per second, if all
/// instances together accept `messages_per_s` messages per second for it.
fn attempts_during_warm_up(instances: u32, messages_per_s: f64) -> f64 {
    let slow_start = SlowStart { overload_factor: 2.0, initial_share: 0.2, warm_up: ms(10_000) };
    let (mut rng, mut sent) = (rng(), 0);
    for _ in 0..instances {
        let mut budget = SlowStartBudget::new(rng.random(), ms(100));
        let mut health = EndpointHealth::new(Health::WarmingUp { since: ms(100) });
        for at in (100..3_100).step_by(20) {
            if rng.random_bool(messages_per_s * 0.02 / f64::from(instances)) {
                budget.on_message(health.update_allowed_share(ms(at), slow_start), 1.0);
            }
            let share = health.update_allowed_share(budget.midpoint_since_refill(ms(at)), slow_start);
            let rate_per_instance = 10.0 / f64::from(instances);
            budget.refill(ms(at), (share * rate_per_instance).max(health.min_check_rate(instances, 1)));
            if budget.is_ready() {
                budget.spend();
                sent += 1;
            }
        }
    }
    f64::from(sent)
}

/// Hundreds of instances that each make one health check per second would overload a destination: the sum must not grow
/// with the number of instances.
#[test]
fn a_recovering_destination_receives_no_more_from_many_instances_than_from_few() {
    // The load that the destination withstands: twice its capacity, which grows from 0.2 of 10/s by 0.08 per second,
    // over 3 s.
    let allowed = 2.0 * 10.0 * (0.2 * 3.0 + 0.08 * 3.0 * 3.0 / 2.0);
    for (instances, messages_per_s) in [(1, 8.0), (4, 8.0), (250, 8.0), (250, 12.0)] {
        let sent = attempts_during_warm_up(instances, messages_per_s);
        assert!(sent > allowed * 0.3 && sent < allowed, "{instances} {messages_per_s}: {sent} of {allowed}");
    }
}
