//! Concurrency limits: calls in flight of the whole instance, of a destination and of one endpoint.

/// Maximum share of the slots that one destination may use.
const MAX_DESTINATION_SLOT_SHARE: f64 = 0.75;
/// Maximum share of the slots that all impaired destinations may use together.
const MAX_IMPAIRED_SLOT_SHARE: f64 = 0.5;
/// Initial concurrency limit of an endpoint, in calls. Enough for an endpoint of typical latency; bounds the slots held
/// by a slow one.
const INITIAL_LIMIT: f64 = 2.0;
/// Maximum concurrency limit of an endpoint, in calls, which it reaches through calls that do not indicate an outage.
const MAX_LIMIT: f64 = 32.0;
/// Divisor of an endpoint's concurrency limit after a call that indicates an outage of the endpoint.
const OUTAGE_DIVISOR: f64 = 2.0;

/// Slots of the instance, which bound the calls in flight.
pub(crate) struct Slots {
    max: usize,
}

impl Slots {
    pub(super) fn new(max: usize) -> Self {
        Self { max }
    }

    /// Sets the number of slots.
    pub(crate) fn set(&mut self, max: usize) {
        self.max = max;
    }

    /// Lowers the number of slots to `max_slots`, the most that the host supports, or to 1 if that is 0.
    pub(crate) fn cap(&mut self, max_slots: usize) {
        self.max = self.max.min(max_slots.max(1));
    }

    /// Returns `true` if no slot is free while `in_use` are used.
    pub(super) fn are_full(&self, in_use: usize) -> bool {
        in_use >= self.max
    }

    /// Returns the share of the slots that is free while `in_use` are used, from 0 to 1.
    pub(super) fn free_share(&self, in_use: usize) -> f64 {
        1.0 - in_use.min(self.max) as f64 / self.max as f64
    }

    /// Returns the number of slots that one destination may use, at least 1.
    pub(super) fn for_destination(&self) -> usize {
        self.portion(MAX_DESTINATION_SLOT_SHARE)
    }

    /// Returns the number of slots that all impaired destinations may use together, at least 1.
    pub(super) fn for_impaired(&self) -> usize {
        self.portion(MAX_IMPAIRED_SLOT_SHARE)
    }

    /// Returns the number of slots in `share` of all slots, rounded down but at least 1.
    fn portion(&self, share: f64) -> usize {
        ((self.max as f64 * share) as usize).max(1)
    }
}

/// Slots in use for one destination, and its condition.
#[derive(Clone, Copy, Default)]
pub(super) struct DestinationLoad {
    /// Number of slots used by calls to the destination.
    pub(super) slots: usize,
    /// `true` if the destination is slow or all its available endpoints are ejected.
    pub(super) impaired: bool,
}

/// Returns `true` if a destination with this load may use no further slot.
///
/// `impaired` also covers a destination without attempts in flight, whose `load` is the default; all impaired
/// destinations together use `impaired_slots`.
pub(super) fn is_share_exhausted(
    slots: &Slots,
    load: DestinationLoad,
    impaired: bool,
    impaired_slots: usize,
) -> bool {
    load.slots >= slots.for_destination() || impaired && impaired_slots >= slots.for_impaired()
}

/// Concurrency limit of one endpoint at this instance.
///
/// The limit grows, while at least half of it is used, with calls that do not indicate an outage of the endpoint, and
/// is halved by each call that does. Until the failure of an endpoint is detected, the limit bounds the calls in flight
/// there.
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    in_flight: u32,
}

impl ConcurrencyLimit {
    pub(super) fn new() -> Self {
        Self { limit: INITIAL_LIMIT, in_flight: 0 }
    }

    /// Returns the number of free permits, which is negative after the limit was lowered below the calls in flight.
    pub(super) fn free_permits(&self) -> i64 {
        self.limit as i64 - i64::from(self.in_flight)
    }

    /// Returns the number of calls in flight.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Takes a permit, whether or not one is left.
    pub(super) fn acquire(&mut self) {
        self.in_flight += 1;
    }

    /// Releases a permit and adapts the limit; `indicates_outage` is `true` if the call indicates that the endpoint
    /// does not respond.
    pub(super) fn release(&mut self, indicates_outage: bool) {
        if indicates_outage {
            self.limit = (self.limit / OUTAGE_DIVISOR).max(1.0);
        } else if f64::from(self.in_flight) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

#[cfg(test)]
#[path = "tests/concurrency.rs"]
mod tests;
