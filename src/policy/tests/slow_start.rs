use super::*;
use crate::ms;
use crate::policy::outlier::{EndpointHealth, Health};
use crate::policy::test_support::rng;

impl SlowStartBudget {
    /// Enough for one attempt, earned by time.
    pub(crate) fn fill(&mut self) {
        self.by_time = ATTEMPT;
    }
}

/// What `instances` send in 3 s to a destination that returns and takes 10/s, if it is asked for `asked`/s.
fn sent_while_warming_up(instances: u32, asked: f64) -> f64 {
    let slow_start = SlowStart { overload_factor: 2.0, initial_share: 0.2, warm_up: ms(10_000) };
    let (mut rng, mut sent) = (rng(), 0);
    for _ in 0..instances {
        let mut budget = SlowStartBudget::new(rng.random(), ms(100));
        let mut health = EndpointHealth::new(Health::WarmingUp { since: ms(100) });
        for at in (100..3_100).step_by(20) {
            if rng.random_bool(asked * 0.02 / f64::from(instances)) {
                budget.on_message(health.allowed_share(ms(at), slow_start), 1.0);
            }
            let share = health.allowed_share(budget.middle(ms(at)), slow_start);
            let part = 10.0 / f64::from(instances);
            budget.refill(ms(at), (share * part).max(health.min_check_rate(instances, 1)));
            if budget.is_ready() {
                budget.spend();
                sent += 1;
            }
        }
    }
    f64::from(sent)
}

/// The sum must not grow with the number of instances: hundreds each checked a dead destination once a second.
#[test]
fn a_returning_destination_gets_no_more_from_many_instances_than_from_few() {
    // Against the rule's budget: twice 10/s, warming from 0.2 by 0.08 a second, for 3 s.
    let allowed = 2.0 * 10.0 * (0.2 * 3.0 + 0.08 * 3.0 * 3.0 / 2.0);
    for (instances, asked) in [(1, 8.0), (4, 8.0), (250, 8.0), (250, 12.0)] {
        let sent = sent_while_warming_up(instances, asked);
        assert!(sent > allowed * 0.3 && sent < allowed, "{instances} {asked}: {sent} of {allowed}");
    }
}
