//! The operators' target, and plain arithmetic on it. Everything else on the page is measured or called an estimate.

/// Instances of the whole system.
pub const COURIERS: f64 = 1_300.0;
/// Messages a second of the whole system.
pub const MESSAGES_PER_S: f64 = 550_000.0;
/// Destinations.
pub const DESTINATIONS: f64 = 320_000.0;
/// Share of the destinations that is down at any time.
pub const DOWN: f64 = 0.011;
/// Messages of the full backlog.
pub const BACKLOG: f64 = 6.6e9;
/// Zones, over two regions.
pub const ZONES: f64 = 7.0;
/// Changes of the configuration a day.
pub const CHANGES_PER_DAY: f64 = 1_700.0;
/// Within which a change is in force everywhere, in seconds.
pub const IN_FORCE_S: f64 = 16.0;
/// What an instance may spend on control, as a share of a core in percent.
pub const CONTROL_CPU_PERCENT: f64 = 4.7;
/// What it may spend of memory on control, in MB.
pub const CONTROL_MEMORY_MB: f64 = 32.0;
/// What it may spend of the network on control, in bytes a second.
pub const CONTROL_BYTES_PER_S: f64 = 6_000.0;
/// Machines set aside for control.
pub const CONTROL_MACHINES: f64 = 20.0;
/// Machines that fail on an ordinary day.
pub const MACHINES_DOWN: f64 = 3.0;
/// Within which a restarted instance is ready, in seconds.
pub const READY_S: f64 = 10.0;
/// Destinations that an instance serves where they are divided: the largest share that the page plans with.
pub const SHARE: f64 = 740.0;

/// Seconds of a day.
pub const DAY_S: f64 = 86_400.0;
/// Hours of a day.
pub const DAY_H: f64 = 24.0;

/// Messages a second of one instance when `instances` share all.
pub fn rate(couriers: f64) -> f64 {
    MESSAGES_PER_S / couriers
}

/// Messages of the full backlog at one instance.
pub fn backlog_each() -> f64 {
    BACKLOG / COURIERS
}
