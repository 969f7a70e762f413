//! Counts that an instance logs regularly.

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Commands that waited for long before they were executed.
    pub waited_commands: u64,
    /// Submissions that were rejected since they had waited for too long.
    pub stale_submissions: u64,
    /// Final outcomes that were decided after the deadline, or confirmed slowly.
    pub slow_outcomes: u64,
    /// Messages that were delivered after their deadline.
    pub late_deliveries: u64,
}
