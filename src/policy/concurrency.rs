//! Concurrency limits: attempts in flight of the whole instance, of a destination and of one endpoint.

/// Share of the slots for one destination: the design page's.
const DESTINATION_SHARE: f64 = 0.75;
/// Share of the slots for all destinations that fail or are slow together: the design page's, for one.
const IMPAIRED_SHARE: f64 = 0.5;
/// First limit of an endpoint: as many as one of typical latency serves at once; a slow one takes no more slots.
const FIRST_LIMIT: f64 = 2.0;
/// The most that an endpoint which proves itself may earn.
const MOST_LIMIT: f64 = 32.0;
/// What a lost call divides the limit by.
const LOSS_DIVISOR: f64 = 2.0;

/// Slots for attempts in flight at once.
pub(crate) struct Slots {
    most: usize,
}

impl Slots {
    pub(crate) fn new(most: usize) -> Self {
        Self { most }
    }

    pub(crate) fn set(&mut self, most: usize) {
        self.most = most;
    }

    /// Bounds the slots by what the host has capacity for.
    pub(crate) fn cap(&mut self, most: usize) {
        self.most = self.most.min(most.max(1));
    }

    pub(super) fn are_full(&self, in_use: usize) -> bool {
        in_use >= self.most
    }

    /// The share of the slots that is free while `in_use` are taken.
    pub(super) fn free_share(&self, in_use: usize) -> f64 {
        1.0 - in_use.min(self.most) as f64 / self.most as f64
    }

    /// Slots that one destination may take.
    pub(super) fn for_destination(&self) -> usize {
        self.part(DESTINATION_SHARE)
    }

    /// Slots that all impaired destinations may take together.
    pub(super) fn for_impaired(&self) -> usize {
        self.part(IMPAIRED_SHARE)
    }

    fn part(&self, share: f64) -> usize {
        ((self.most as f64 * share) as usize).max(1)
    }
}

/// What is in flight to one destination.
#[derive(Clone, Copy, Default)]
pub(super) struct DestinationLoad {
    /// Slots that its attempts take.
    pub(super) slots: usize,
    /// Whether it is slow, or all its endpoints are ejected.
    pub(super) impaired: bool,
}

/// Whether a destination has its share of the slots; `impaired` if it fails or is slow, and `impaired_slots` are
/// taken by all that do.
pub(super) fn share_is_used(
    slots: &Slots,
    load: DestinationLoad,
    impaired: bool,
    impaired_slots: usize,
) -> bool {
    load.slots >= slots.for_destination() || impaired && impaired_slots >= slots.for_impaired()
}

/// Concurrency limit of one endpoint at this instance: grows with deliveries while it is well used, and is cut by
/// lost calls. Bounds what is in flight at an endpoint that hangs before anyone knows.
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    in_flight: u32,
}

impl ConcurrencyLimit {
    pub(super) fn new() -> Self {
        Self { limit: FIRST_LIMIT, in_flight: 0 }
    }

    /// Permits left; below zero after a cut.
    pub(super) fn available(&self) -> i64 {
        self.limit as i64 - i64::from(self.in_flight)
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn acquire(&mut self) {
        self.in_flight += 1;
    }

    /// An attempt ended; `lost` if it tells that the endpoint does not answer.
    pub(super) fn release(&mut self, lost: bool) {
        if lost {
            self.limit = (self.limit / LOSS_DIVISOR).max(1.0);
        } else if f64::from(self.in_flight) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(MOST_LIMIT);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

#[cfg(test)]
#[path = "tests/concurrency.rs"]
mod tests;
