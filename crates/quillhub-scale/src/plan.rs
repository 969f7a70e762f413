//! Reading a scale experiment: one size that varies, all others held still.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;
use std::time::Duration;

/// Longest body of a message that an instance accepts.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// The version of the format.
const FORMAT: u32 = 1;
/// Fewer sizes show no shape: one is held out, and two lie on any line.
const LEAST_SIZES: usize = 4;
/// Fewer plays show no spread.
const LEAST_PLAYS: u32 = 2;
/// More points are taken for a mistake.
const MOST_POINTS: usize = 200;
/// Sizes are spaced by factors of at least this.
const LEAST_FACTOR: f64 = 1.5;
/// Longer spans of one point are taken for a mistake.
const LONGEST_POINT: Duration = Duration::from_secs(600);

/// Why a run does not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The key of the experiment, or what else the fault lies in.
    pub place: String,
    /// What may stand there.
    pub expected: String,
    /// What stands there.
    pub found: String,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: expected {}, found {}", self.place, self.expected, self.found)
    }
}

/// A [`Refusal`] as a result.
pub fn refuse<T>(
    place: impl Into<String>,
    expected: impl Into<String>,
    found: impl fmt::Display,
) -> Result<T, Refusal> {
    Err(Refusal { place: place.into(), expected: expected.into(), found: found.to_string() })
}

/// The size that an experiment varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Slope {
    /// Destinations that an instance knows.
    Destinations,
    /// Messages that an instance holds for destinations that hang.
    Backlog,
    /// Lightweight instances beside the real one.
    Couriers,
    /// Changes of the endpoint list an hour.
    Changes,
}

impl Slope {
    /// All, in the order of the capacity page.
    pub const ALL: [Slope; 4] = [Self::Destinations, Self::Backlog, Self::Couriers, Self::Changes];

    /// As written in experiment files.
    pub fn name(self) -> &'static str {
        match self {
            Self::Destinations => "destinations",
            Self::Backlog => "backlog",
            Self::Couriers => "couriers",
            Self::Changes => "changes",
        }
    }

    /// What a size counts.
    pub fn counts(self) -> &'static str {
        match self {
            Self::Destinations => "destinations known",
            Self::Backlog => "messages held",
            Self::Couriers => "hollow couriers",
            Self::Changes => "changes an hour",
        }
    }
}

/// The sizes of one point.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sizes {
    /// Destinations that discovery lists, one endpoint each.
    pub destinations: u64,
    /// Messages held for destinations that hang.
    pub backlog: u64,
    /// Lightweight instances.
    pub couriers: u64,
    /// Changes of the endpoint list an hour.
    pub changes: u64,
}

impl Sizes {
    /// The same with the size that `slope` varies.
    pub fn with(mut self, slope: Slope, size: u64) -> Self {
        *match slope {
            Slope::Destinations => &mut self.destinations,
            Slope::Backlog => &mut self.backlog,
            Slope::Couriers => &mut self.couriers,
            Slope::Changes => &mut self.changes,
        } = size;
        self
    }
}

/// The load on the real instance.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Messages offered a second.
    pub per_s: f64,
    /// Connections that offer them.
    pub connections: usize,
    /// Bytes of a message's body.
    pub body: usize,
    /// How long the instance is watched without load.
    #[serde(with = "humantime_serde")]
    pub idle: Duration,
    /// How long it is loaded.
    #[serde(with = "humantime_serde")]
    pub loaded: Duration,
}

/// A scale experiment as written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Version of the format.
    pub format: u32,
    /// What is asked.
    pub question: String,
    /// What was found.
    #[serde(default)]
    pub found: String,
    /// The size that varies.
    pub slope: Slope,
    /// Its values, rising.
    pub sizes: Vec<u64>,
    /// How often each is played.
    pub plays: u32,
    /// Seed of the instances' chance; each play adds its number.
    pub seed: u64,
    /// A point that takes longer breaks there, and larger sizes are not played.
    #[serde(with = "humantime_serde")]
    pub most_per_point: Duration,
    /// The sizes that are held still; that of the slope is replaced.
    pub base: Sizes,
    /// The load on the real instance.
    pub load: Load,
}

/// Line and column of a byte, from 1.
pub fn position(text: &str, at: usize) -> (usize, usize) {
    let before = &text[..at.min(text.len())];
    let line = before.matches('\n').count() + 1;
    (line, before.len() - before.rfind('\n').map_or(0, |end| end + 1) + 1)
}

impl Plan {
    /// Reads and checks the file at `path`.
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::parse(&text).map_err(|what| format!("{}:{what}", path.display()))
    }

    /// Reads and checks `text`; a fault is told with line and column where the text itself is at fault.
    pub fn parse(text: &str) -> Result<Self, String> {
        let plan: Self = toml::from_str(text).map_err(|e| {
            let (line, column) = position(text, e.span().map_or(0, |span| span.start));
            let what = e.message().lines().map(str::trim).collect::<Vec<_>>().join("; ");
            format!("{line}:{column}: {what}")
        })?;
        plan.check().map_err(|refusal| {
            let key = refusal.place.rsplit('.').next().unwrap_or_default().to_owned();
            let key = key.split('[').next().unwrap_or_default();
            let at = text.find(&format!("\n{key} =")).map_or(0, |at| at + 1);
            let (line, column) = position(text, at);
            format!("{line}:{column}: {refusal}")
        })?;
        Ok(plan)
    }

    /// Whether the experiment can be played at all, wherever it is.
    pub fn check(&self) -> Result<(), Refusal> {
        if self.format != FORMAT {
            return refuse("format", FORMAT.to_string(), self.format);
        }
        if self.question.trim().is_empty() {
            return refuse("question", "a text", "none");
        }
        if self.sizes.len() < LEAST_SIZES {
            return refuse("sizes", format!("at least {LEAST_SIZES}"), self.sizes.len());
        }
        for (nth, pair) in self.sizes.windows(2).enumerate() {
            if pair[0] == 0 || (pair[1] as f64) < pair[0] as f64 * LEAST_FACTOR {
                let place = format!("sizes[{}]", nth + 1);
                let least = pair[0] as f64 * LEAST_FACTOR;
                return refuse(
                    place,
                    format!("at least {least:.0}, {LEAST_FACTOR} times the one before"),
                    pair[1],
                );
            }
        }
        if self.plays < LEAST_PLAYS {
            return refuse("plays", format!("at least {LEAST_PLAYS}"), self.plays);
        }
        let points = self.sizes.len().saturating_mul(self.plays as usize);
        if points > MOST_POINTS {
            return refuse("plays", format!("at most {MOST_POINTS} points in all"), points);
        }
        if self.most_per_point.is_zero() || self.most_per_point > LONGEST_POINT {
            let found = format!("{} s", self.most_per_point.as_secs_f64());
            return refuse(
                "most_per_point",
                format!("over 0 s, at most {} s", LONGEST_POINT.as_secs()),
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
        if load.body > MAX_BODY_BYTES {
            return refuse("load.body", format!("at most {MAX_BODY_BYTES}"), load.body);
        }
        for (place, span) in [("load.idle", load.idle), ("load.loaded", load.loaded)] {
            if span.is_zero() || span > LONGEST_POINT {
                let expected = format!("over 0 s, at most {} s", LONGEST_POINT.as_secs());
                return refuse(place, expected, format!("{} s", span.as_secs_f64()));
            }
        }
        Ok(())
    }

    /// Every size with what it stands for.
    pub fn points(&self) -> impl Iterator<Item = (u64, Sizes)> + '_ {
        self.sizes.iter().map(|size| (*size, self.base.with(self.slope, *size)))
    }
}

#[cfg(test)]
#[path = "plan_tests.rs"]
mod tests;
