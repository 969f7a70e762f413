//! Timeline of a message, for the log: when it passed each stage from its arrival to the confirmation of its final outcome.

use quillhub::CommandAge;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Time from the decision on a final outcome to its confirmation by the platform above which the outcome is logged as slow.
const MAX_UNLOGGED_REPORT_TIME: Duration = Duration::from_millis(100);

/// When a command arrived at this machine, and when it was read.
#[derive(Clone, Copy, Debug)]
pub struct CommandTimes {
    /// Earliest possible arrival of its last byte.
    pub arrived: Instant,
    /// Latest possible arrival of its last byte.
    pub arrived_by: Instant,
    /// Time at which its last byte was read.
    pub read: Instant,
}

impl CommandTimes {
    /// Returns the times of a command that arrives and is read now.
    #[cfg(test)]
    pub fn now() -> Self {
        let now = Instant::now();
        Self { arrived: now, arrived_by: now, read: now }
    }

    /// Returns the age of the command.
    pub fn age(&self) -> CommandAge {
        CommandAge { at_least: self.arrived_by.elapsed(), at_most: self.arrived.elapsed() }
    }
}

/// Times at which a message passed each stage; `None` for those that it has not passed, or passed before a restart.
#[derive(Clone, Copy, Debug)]
pub struct MessageTimeline {
    command: Option<CommandTimes>,
    /// Acceptance, or recovery after a restart.
    accepted: Instant,
    /// Deadline; the time of the recovery if it passed before that.
    deadline: Instant,
    last_call: Option<Instant>,
    call_ended: Option<Instant>,
    decided: Option<Instant>,
    sent: Option<Instant>,
}

impl MessageTimeline {
    /// Returns the timeline of a message that is accepted now, with this deadline.
    pub fn accepted(command: CommandTimes, deadline: Instant) -> Self {
        Self { command: Some(command), ..Self::recovered(deadline.saturating_duration_since(Instant::now())) }
    }

    /// Returns the timeline of a message that is recovered now, with `time_left` to its deadline.
    pub fn recovered(time_left: Duration) -> Self {
        let now = Instant::now();
        Self {
            command: None,
            accepted: now,
            deadline: now + time_left,
            last_call: None,
            call_ended: None,
            decided: None,
            sent: None,
        }
    }

    /// Records the start of a call.
    pub fn call_started(&mut self) {
        self.last_call = Some(Instant::now());
        self.call_ended = None;
    }

    /// Records the end of a call.
    pub fn call_ended(&mut self) {
        self.call_ended = Some(Instant::now());
    }

    /// Records the decision on the final outcome.
    pub fn decided(&mut self) {
        self.decided = Some(Instant::now());
    }

    /// Records the first request to the platform with the final outcome.
    pub fn sent(&mut self) {
        self.sent.get_or_insert_with(Instant::now);
    }

    /// Returns `true` if the message is past its deadline.
    pub fn is_late(&self) -> bool {
        Instant::now() > self.deadline
    }

    /// Returns `true` if a final outcome that the platform confirms now was decided or confirmed slowly.
    pub fn is_slow(&self) -> bool {
        self.decided.is_some_and(|at| at > self.deadline || at.elapsed() > MAX_UNLOGGED_REPORT_TIME)
    }
}

impl fmt::Display for MessageTimeline {
    /// Writes the time of each stage, and the current time, since the arrival.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let start = self.command.map_or(self.accepted, |command| command.arrived);
        let since_start = |at: Instant| at.saturating_duration_since(start).as_millis();
        let stages = [
            ("read", self.command.map(|command| command.read)),
            ("accepted", Some(self.accepted)),
            ("last_call", self.last_call),
            ("call_ended", self.call_ended),
            ("deadline", Some(self.deadline)),
            ("decided", self.decided),
            ("sent", self.sent),
            ("now", Some(Instant::now())),
        ];
        write!(f, "{}=0", if self.command.is_some() { "arrived" } else { "recovered" })?;
        for (name, at) in stages {
            if let Some(at) = at {
                write!(f, " {name}={}ms", since_start(at))?;
            }
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "timeline_tests.rs"]
mod tests;
