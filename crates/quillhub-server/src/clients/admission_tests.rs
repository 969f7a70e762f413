use super::*;

fn admission() -> Rc<Admission> {
    Admission::new(watch::channel(Phase::Serving).1, Arc::new(Semaphore::new(9)), 1, EventLoopClock::new())
}

/// Returns the numbers of the connections that are neither closed nor evicted.
fn registered_numbers(admission: &Admission) -> Vec<u64> {
    admission.entries.borrow().keys().copied().collect()
}

#[test]
fn eviction_starts_with_connections_past_the_grace_period_without_success_then_idle_ones_each_oldest_first() {
    let admission = admission();
    let now = Instant::now();
    for (seconds, activity, holds_large_permit) in [
        (9, Activity::Idle, false),
        (3, Activity::Idle, false),
        (8, Activity::Receiving, true),
        (2, Activity::NoSuccessYet, true),
        (1, Activity::NoSuccessYet, false),
        (0, Activity::NoSuccessYet, false),
    ] {
        let since = now - Duration::from_secs(seconds);
        admission.register().update(|entry| {
            (entry.since, entry.activity, entry.holds_large_permit) = (since, activity, holds_large_permit);
        });
    }
    let mut evicted = Vec::new();
    for resource in [[Resource::LargeCommand; 3].as_slice(), &[Resource::Connection; 4]].concat() {
        let before = registered_numbers(&admission);
        admission.evict_one(resource);
        evicted.extend(before.into_iter().find(|number| !admission.entries.borrow().contains_key(number)));
    }
    assert_eq!(evicted, [3, 2, 4, 0, 1, 5]);
}

#[test]
fn a_half_closed_connection_is_evicted_before_all_others() {
    let admission = admission();
    let (idle, half_closed) = (admission.register(), admission.register());
    idle.update(|entry| {
        (entry.since, entry.activity) = (entry.since - 5 * FIRST_SUCCESS_GRACE, Activity::Idle);
    });
    half_closed.update(|entry| entry.activity = Activity::HalfClosed);
    admission.evict_one(Resource::Connection);
    assert_eq!(registered_numbers(&admission), [idle.number]);
}

/// Guards against a crowd of new connections that displace each other before they can send their commands.
#[test]
fn waiting_connections_together_evict_few_on_which_a_command_is_expected() {
    let admission = admission();
    let (new, idle) = ([(); 3].map(|()| admission.register()), admission.register());
    idle.update(|entry| entry.activity = Activity::Idle);
    admission.evict_if_due(Resource::Connection);
    assert_eq!(
        registered_numbers(&admission),
        new.each_ref().map(|new| new.number),
        "the idle one goes first"
    );
    for _ in 0..3 {
        admission.evict_if_due(Resource::Connection);
    }
    assert_eq!(registered_numbers(&admission).len(), 2, "one in the time of an eviction");
}
