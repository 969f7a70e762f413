//! Report schedule: when a report of final outcomes to the platform is repeated, and how many reports are under way.
//!
//! Reports are under way beside each other, so that one without an answer delays no other outcome. One that is not confirmed
//! soon is repeated while the earlier requests are still open: a report that is read twice does no harm.

use super::deadline_budget::REPORT_REPEAT_DELAY;
use crate::ms;
use std::time::Duration;

/// Maximum number of outcomes in one report, which keeps it to a few kilobytes.
pub const MAX_OUTCOMES_PER_REPORT: usize = 64;
/// Maximum number of reports under way.
pub const MAX_REPORTS: usize = 8;
/// Maximum number of open requests of one report. The oldest is given up for a further one.
pub const MAX_REQUESTS_PER_REPORT: usize = 3;
/// Maximum time between two requests of a report, for a platform that has become slow.
const MAX_REPEAT_DELAY: Duration = ms(1_000);
/// Time from the failure of the last open request of a report to the next request.
pub const FAILURE_PAUSE: Duration = ms(50);

/// Times of the requests of one report.
#[derive(Debug)]
pub struct ReportSchedule {
    delay: Duration,
}

impl ReportSchedule {
    /// Returns the schedule of a report of which no request was sent.
    pub fn new() -> Self {
        Self { delay: REPORT_REPEAT_DELAY }
    }

    /// Returns the time from the request that is sent now to its repetition. The time doubles with each request.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.delay;
        self.delay = (delay * 2).min(MAX_REPEAT_DELAY);
        delay
    }
}

impl Default for ReportSchedule {
    fn default() -> Self {
        Self::new()
    }
}

#[cfg(test)]
#[path = "tests/report_schedule.rs"]
mod tests;
