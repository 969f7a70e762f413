//! State of a run that its tasks share, on one thread.

use super::plan::Plan;
use super::record::Record;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// State of a run that all its tasks share.
pub(super) struct RunState {
    pub(super) record: Record,
    pub(super) rng: Pcg64Mcg,
    connections: u64,
    /// Time until which an endpoint does not answer after its first response, by endpoint.
    pub(super) hung_until: BTreeMap<usize, Instant>,
    /// Idle connections of the clients to each instance.
    idle_connections: BTreeMap<usize, IdleConnections>,
}

/// Idle connections of clients to one instance.
pub(super) type IdleConnections = Rc<RefCell<Vec<TcpStream>>>;

/// State of a run, on one thread.
pub(super) type SharedRun = Rc<RefCell<RunState>>;

impl RunState {
    /// Returns the state of a run of `plan` that starts now.
    pub(super) fn shared(plan: &Plan) -> SharedRun {
        let mut record = Record::new(Instant::now());
        record.max_path_time = plan.path_time.end;
        let hold_ups = plan.hold_ups.iter().flat_map(|plan| [plan.length, plan.submission_length]);
        record.max_hold_up = hold_ups.max().unwrap_or_default();
        record.is_input_unstamped = plan.is_input_unstamped;
        record.reads_may_fail = plan.socket_faults.is_some_and(|faults| faults.broken_permille > 0);
        let rng = Pcg64Mcg::seed_from_u64(plan.seed);
        Rc::new(RefCell::new(Self {
            record,
            rng,
            connections: 0,
            hung_until: BTreeMap::new(),
            idle_connections: (0..plan.instances)
                .map(|instance| (instance, IdleConnections::default()))
                .collect(),
        }))
    }

    /// Returns the idle connections of the clients to an instance.
    pub(super) fn idle_connections(&self, instance: usize) -> IdleConnections {
        self.idle_connections.get(&instance).cloned().unwrap_or_default()
    }

    /// Returns the number of a new connection at an endpoint.
    pub(super) fn next_connection(&mut self) -> u64 {
        self.connections += 1;
        self.connections
    }
}
