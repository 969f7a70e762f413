//! Experiments with gateway instances in the simulator and on loopback, baselines to compare the dispatcher with, and
//! reports on the results.
//!
//! An [`experiment::Experiment`] holds the contents of a file with a question, a scenario and the values to vary.
//! [`sweep::run`] simulates all its runs in parallel and writes each result as one JSON line as soon as it is
//! available; [`report`] and [`compare`] read these lines.

pub mod baselines;
pub mod capacity;
pub mod chart;
pub mod command;
pub mod compare;
pub mod cost;
pub mod experiment;
pub mod explain;
pub mod load;
pub mod report;
pub mod results;
pub mod scale;
pub mod sweep;
