//! Experiment files of scale tests: one size varies, and all others are fixed.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;
use std::time::Duration;

/// Maximum size of a message's body that an instance accepts, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Version of the file format.
const FORMAT: u32 = 1;
/// Minimum number of sizes. Fewer cannot show a shape: one is held out for the prediction, and any two lie on a line.
const MIN_SIZES: usize = 4;
/// Minimum number of repetitions of each size; fewer cannot show a spread.
const MIN_REPETITIONS: u32 = 2;
/// Maximum number of points; more are probably a mistake in the file.
const MAX_POINTS: usize = 200;
/// Minimum ratio of a size to the one before.
const MIN_SIZE_RATIO: f64 = 1.5;
/// Maximum time limit of a point, and of its load; longer ones are probably a mistake in the file.
const MAX_POINT_TIME: Duration = Duration::from_secs(600);

/// Reason why a run does not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Key in the experiment file, or another place of the error.
    pub place: String,
    /// Description of the allowed values.
    pub expected: String,
    /// Value that was found.
    pub found: String,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: expected {}, found {}", self.place, self.expected, self.found)
    }
}

/// Returns a [`Refusal`] as an error.
pub(crate) fn refuse<T>(
    place: impl Into<String>,
    expected: impl Into<String>,
    found: impl fmt::Display,
) -> Result<T, Refusal> {
    Err(Refusal { place: place.into(), expected: expected.into(), found: found.to_string() })
}

/// Size that an experiment varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Slope {
    /// Number of destinations in the endpoint list.
    Destinations,
    /// Number of pending messages for destinations that do not respond.
    Backlog,
    /// Number of lightweight instances beside the real one.
    #[serde(rename = "couriers")]
    Instances,
    /// Number of changes of the endpoint list per hour.
    Changes,
}

impl Slope {
    /// All varied sizes, in the order of the capacity page.
    pub const ALL: [Slope; 4] = [Self::Destinations, Self::Backlog, Self::Instances, Self::Changes];

    /// Returns the name in experiment files and kept results.
    pub fn name(self) -> &'static str {
        match self {
            Self::Destinations => "destinations",
            Self::Backlog => "backlog",
            Self::Instances => "couriers",
            Self::Changes => "changes",
        }
    }

    /// Returns the unit of the size for tables and charts.
    pub fn unit(self) -> &'static str {
        match self {
            Self::Destinations => "destinations known",
            Self::Backlog => "pending messages",
            Self::Instances => "lightweight instances",
            Self::Changes => "changes an hour",
        }
    }
}

/// Sizes of one point.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sizes {
    /// Destinations in the endpoint list that respond, with one endpoint each.
    pub destinations: u64,
    /// Pending messages for destinations that do not respond.
    pub backlog: u64,
    /// Lightweight instances beside the real one.
    #[serde(rename = "couriers")]
    pub lightweight_instances: u64,
    /// Changes of the endpoint list per hour.
    pub changes: u64,
}

impl Sizes {
    /// Returns these sizes with the one that `slope` varies set to `size`.
    pub fn with(mut self, slope: Slope, size: u64) -> Self {
        *match slope {
            Slope::Destinations => &mut self.destinations,
            Slope::Backlog => &mut self.backlog,
            Slope::Instances => &mut self.lightweight_instances,
            Slope::Changes => &mut self.changes,
        } = size;
        self
    }
}

/// Load on the real instance.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Messages submitted per second.
    pub per_s: f64,
    /// Number of client connections that submit messages.
    pub connections: usize,
    /// Size of a message's body in bytes.
    #[serde(rename = "body")]
    pub body_bytes: usize,
    /// Time for which the instance is measured without load.
    #[serde(rename = "idle", with = "humantime_serde")]
    pub idle_duration: Duration,
    /// Time for which the instance is measured under load.
    #[serde(rename = "loaded", with = "humantime_serde")]
    pub loaded_duration: Duration,
}

/// Scale experiment, as in its file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Version of the file format, 1.
    pub format: u32,
    /// Question that the experiment answers, for its readers.
    pub question: String,
    /// Answer found by the experiment; empty if there is none yet.
    #[serde(default)]
    pub found: String,
    /// Size that the experiment varies.
    pub slope: Slope,
    /// Values of the varied size, in increasing order.
    pub sizes: Vec<u64>,
    /// Number of repetitions of each size.
    pub plays: u32,
    /// Seed of the instances' random draws, to which the number of the repetition is added.
    pub seed: u64,
    /// Time limit of a point. A point that exceeds it ends early; if its load was not measured, larger sizes are not
    /// measured either.
    #[serde(rename = "most_per_point", with = "humantime_serde")]
    pub point_time_limit: Duration,
    /// Sizes that are fixed; the varied one is replaced by the values in `sizes`.
    pub base: Sizes,
    /// Load on the real instance.
    pub load: Load,
}

/// Returns the line and the column of the byte at `offset` in `text`, both counted from 1.
pub fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = &text[..offset.min(text.len())];
    let line = before.matches('\n').count() + 1;
    (line, before.len() - before.rfind('\n').map_or(0, |end| end + 1) + 1)
}

impl Plan {
    /// Reads and checks the file at `path`.
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::parse(&text).map_err(|what| format!("{}:{what}", path.display()))
    }

    /// Parses and checks `text`; errors start with line and column.
    pub fn parse(text: &str) -> Result<Self, String> {
        let plan: Self = toml::from_str(text).map_err(|e| {
            let (line, column) = position(text, e.span().map_or(0, |span| span.start));
            let what = e.message().lines().map(str::trim).collect::<Vec<_>>().join("; ");
            format!("{line}:{column}: {what}")
        })?;
        plan.check().map_err(|refusal| {
            let key = refusal.place.rsplit('.').next().unwrap_or_default().to_owned();
            let key = key.split('[').next().unwrap_or_default();
            let offset = text.find(&format!("\n{key} =")).map_or(0, |newline| newline + 1);
            let (line, column) = position(text, offset);
            format!("{line}:{column}: {refusal}")
        })?;
        Ok(plan)
    }

    /// Checks all values that can be checked without knowing the machine.
    fn check(&self) -> Result<(), Refusal> {
        if self.format != FORMAT {
            return refuse("format", FORMAT.to_string(), self.format);
        }
        if self.question.trim().is_empty() {
            return refuse("question", "a text", "none");
        }
        if self.sizes.len() < MIN_SIZES {
            return refuse("sizes", format!("at least {MIN_SIZES} sizes"), self.sizes.len());
        }
        for (index, pair) in self.sizes.windows(2).enumerate() {
            if pair[0] == 0 || (pair[1] as f64) < pair[0] as f64 * MIN_SIZE_RATIO {
                let place = format!("sizes[{}]", index + 1);
                let min = pair[0] as f64 * MIN_SIZE_RATIO;
                return refuse(
                    place,
                    format!("at least {min:.0}, {MIN_SIZE_RATIO} times the one before"),
                    pair[1],
                );
            }
        }
        if self.plays < MIN_REPETITIONS {
            return refuse("plays", format!("at least {MIN_REPETITIONS}"), self.plays);
        }
        let points = self.sizes.len().saturating_mul(self.plays as usize);
        if points > MAX_POINTS {
            return refuse("plays", format!("at most {MAX_POINTS} points in all"), points);
        }
        if self.point_time_limit.is_zero() || self.point_time_limit > MAX_POINT_TIME {
            let found = format!("{} s", self.point_time_limit.as_secs_f64());
            return refuse(
                "most_per_point",
                format!("over 0 s, at most {} s", MAX_POINT_TIME.as_secs()),
                found,
            );
        }
        if self.base.destinations < 2 {
            return refuse("base.destinations", "at least 2", self.base.destinations);
        }
        self.check_load()
    }

    fn check_load(&self) -> Result<(), Refusal> {
        let load = &self.load;
        if !(load.per_s.is_finite() && load.per_s > 0.0) {
            return refuse("load.per_s", "a number over 0", load.per_s);
        }
        if load.connections == 0 {
            return refuse("load.connections", "at least 1", load.connections);
        }
        if load.body_bytes > MAX_BODY_BYTES {
            return refuse("load.body", format!("at most {MAX_BODY_BYTES} bytes"), load.body_bytes);
        }
        for (place, duration) in [("load.idle", load.idle_duration), ("load.loaded", load.loaded_duration)] {
            if duration.is_zero() || duration > MAX_POINT_TIME {
                let expected = format!("over 0 s, at most {} s", MAX_POINT_TIME.as_secs());
                return refuse(place, expected, format!("{} s", duration.as_secs_f64()));
            }
        }
        Ok(())
    }

    /// Returns each value of the varied size with all sizes of its point.
    pub fn points(&self) -> impl Iterator<Item = (u64, Sizes)> + '_ {
        self.sizes.iter().map(|size| (*size, self.base.with(self.slope, *size)))
    }
}

#[cfg(test)]
#[path = "plan_tests.rs"]
mod tests;
