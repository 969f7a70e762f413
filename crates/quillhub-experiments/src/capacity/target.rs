//! Target of the operators for the whole system, and arithmetic on it. Everything else on the capacity page is measured
//! or marked as an estimate.

/// Number of gateway instances of the whole system.
pub const INSTANCES: f64 = 1_300.0;
/// Messages per second of the whole system.
pub const MESSAGES_PER_S: f64 = 550_000.0;
/// Number of destinations.
pub const DESTINATIONS: f64 = 320_000.0;
/// Share of the destinations that are down at any time.
pub const DOWN_SHARE: f64 = 0.011;
/// Number of messages in the full backlog of the whole system.
pub const BACKLOG_MESSAGES: f64 = 6.6e9;
/// Number of zones, in two regions.
pub const ZONES: f64 = 7.0;
/// Number of configuration changes per day.
pub const CHANGES_PER_DAY: f64 = 1_700.0;
/// Maximum time until all instances have applied a change, in seconds.
pub const MAX_PROPAGATION_S: f64 = 16.0;
/// Maximum processor time of an instance for control traffic, in percent of a core.
pub const MAX_CONTROL_CPU_PERCENT: f64 = 4.7;
/// Maximum memory of an instance for control traffic, in MB.
pub const MAX_CONTROL_MEMORY_MB: f64 = 32.0;
/// Maximum control traffic of an instance, in bytes per second.
pub const MAX_CONTROL_BYTES_PER_S: f64 = 6_000.0;
/// Number of machines reserved for discovery and other control services.
pub const CONTROL_MACHINES: f64 = 20.0;
/// Number of machines that are down on an ordinary day.
pub const FAILED_MACHINES: f64 = 3.0;
/// Maximum time until a restarted instance is ready, in seconds.
pub const MAX_READY_S: f64 = 10.0;
/// Maximum number of destinations per instance that the page assumes, if destinations are divided among instances.
pub const DESTINATIONS_EACH: f64 = 740.0;

/// Number of seconds per day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;
/// Number of hours per day.
pub const HOURS_PER_DAY: f64 = 24.0;

/// Returns the messages per second of one instance if `instances` share the load of the whole system.
pub fn messages_per_s_each(instances: f64) -> f64 {
    MESSAGES_PER_S / instances
}

/// Returns the number of messages of the full backlog at one instance.
pub fn backlog_per_instance() -> f64 {
    BACKLOG_MESSAGES / INSTANCES
}
